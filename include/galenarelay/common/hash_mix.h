#ifndef GALENARELAY_COMMON_HASH_MIX_H
#define GALENARELAY_COMMON_HASH_MIX_H

#include <cstdint>

namespace galenarelay::common {

/// Mixes a number into a 64-bit hash (the finalizer of SplitMix64, Steele et al. 2014).
[[nodiscard]] constexpr std::uint64_t mixHash(std::uint64_t Hash, std::uint64_t Number) noexcept {
  std::uint64_t Mixed = Hash + (Number + 1) * 0x9e3779b97f4a7c15ULL;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
  return Mixed ^ (Mixed >> 31);
}

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_HASH_MIX_H
