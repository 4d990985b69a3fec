#ifndef GALENARELAY_COMMON_ENDPOINT_H
#define GALENARELAY_COMMON_ENDPOINT_H

#include "galenarelay/common/error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace galenarelay::common {

/// An IPv4 address and port, both in host byte order.
struct Endpoint {
  std::uint32_t Address = 0;
  std::uint16_t Port = 0;

  // clang-tidy 14 checks the code that the compiler generates here.
  // NOLINTNEXTLINE(readability-identifier-naming,modernize-use-nullptr)
  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// Parses "127.0.0.1:8080". Errors: SettingsBadValue.
[[nodiscard]] Result<Endpoint> parseEndpoint(std::string_view Text);

/// Writes "127.0.0.1:8080".
[[nodiscard]] std::string toString(const Endpoint &Value);

/// Writes an IPv4 address in host byte order as "127.0.0.1".
[[nodiscard]] std::string addressToString(std::uint32_t Address);

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_ENDPOINT_H
