#ifndef GALENARELAY_COMMON_JSON_FIELDS_H
#define GALENARELAY_COMMON_JSON_FIELDS_H

#include "galenarelay/common/time.h"

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <limits>
#include <string_view>

namespace galenarelay::common {

/// Maximum nesting of values in a document that parseJson returns.
inline constexpr std::size_t MaxJsonDepth = 32;
/// Maximum time that a document may state, so that sums with a point in time don't overflow.
inline constexpr Duration MaxStatedTime = std::chrono::hours(24 * 365);

/// Parses JSON text from outside this process. Numbers beyond the range of a double and values
/// nested deeper than MaxJsonDepth are read as null, so that one of them makes only its own entry
/// unreadable. Throws nlohmann::json::exception for text that isn't JSON.
[[nodiscard]] nlohmann::json parseJson(std::string_view Text);

/// As parseJson, but returns a discarded value, whose fields can't be read, for other text.
[[nodiscard]] nlohmann::json parseJsonOrDiscard(std::string_view Text);

namespace impl {

/// Returns a whole number of 0 to Most; throws nlohmann::json::exception for any other value.
[[nodiscard]] std::uint64_t readWhole(const nlohmann::json &Value, std::uint64_t Most);

} // namespace impl

/// Returns a whole number of 0 to Most. nlohmann's get() also takes booleans, and wraps around
/// fractions, negative numbers and those that are too large; here they throw
/// nlohmann::json::exception. Example: `readUnsigned<std::uint16_t>(Document.at("port"))`
template <std::unsigned_integral T>
[[nodiscard]] T readUnsigned(const nlohmann::json &Value, T Most = std::numeric_limits<T>::max()) {
  return static_cast<T>(impl::readWhole(Value, Most));
}

/// Returns a time of whole milliseconds, at most MaxStatedTime. Throws nlohmann::json::exception.
[[nodiscard]] Duration readMilliseconds(const nlohmann::json &Value);

/// Returns a finite number of Least to Most. Throws nlohmann::json::exception.
[[nodiscard]] double readNumber(const nlohmann::json &Value, double Least, double Most);

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_JSON_FIELDS_H
