#ifndef GALENARELAY_COMMON_HASH_H
#define GALENARELAY_COMMON_HASH_H

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace galenarelay::common {

/// 64-bit XXH3 hash, the same on every machine. Example: `hash64("agent-1", 7)`
[[nodiscard]] inline std::uint64_t hash64(std::string_view Bytes, std::uint64_t Seed = 0) noexcept {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_HASH_H
