#ifndef GALENARELAY_COMMON_RANDOM_H
#define GALENARELAY_COMMON_RANDOM_H

#include <cstdint>
#include <random>

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

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_RANDOM_H
