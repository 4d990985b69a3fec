#ifndef GALENARELAY_COMMON_RANDOM_H
#define GALENARELAY_COMMON_RANDOM_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

namespace galenarelay::common {

/// Seeded engine that is handed to decision code.
using Engine = std::mt19937_64;

/// Uniform value in [0, Bound); 0 if Bound is 0. The same on every machine, unlike std
/// distributions.
[[nodiscard]] inline std::uint64_t uniformBelow(Engine &Random, std::uint64_t Bound) {
  if (Bound == 0)
    return 0;
  const auto Wide = static_cast<unsigned __int128>(Random()) * Bound;
  return static_cast<std::uint64_t>(Wide >> 64);
}

/// Uniform value in [0, 1). Example: `if (uniformUnit(Random) < LossProbability)`
[[nodiscard]] inline double uniformUnit(Engine &Random) {
  constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(Random() >> 11) * Scale;
}

/// Keeps at most Count random elements, in random order.
template <typename T> void chooseAtRandom(std::vector<T> &All, std::size_t Count, Engine &Random) {
  const std::size_t Kept = std::min(Count, All.size());
  for (std::size_t I = 0; I < Kept; ++I)
    std::swap(All[I], All[I + uniformBelow(Random, All.size() - I)]);
  All.resize(Kept);
}

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_RANDOM_H
