#include "galenarelay/relay/packet_head.h"

#include "galenarelay/common/hash.h"

#include <algorithm>

namespace galenarelay::relay {

std::uint16_t serviceDigest(std::string_view Service) noexcept {
  if (Service.empty())
    return 0;
  return std::max<std::uint16_t>(1, static_cast<std::uint16_t>(common::hash64(Service)));
}

} // namespace galenarelay::relay
