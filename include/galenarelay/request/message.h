#ifndef GALENARELAY_REQUEST_MESSAGE_H
#define GALENARELAY_REQUEST_MESSAGE_H

#include "galenarelay/common/result_code.h"
#include "galenarelay/common/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace galenarelay::request {

/// Remaining time of a request, in milliseconds. Set by callers, and by the agent in requests to an
/// upstream.
inline constexpr std::string_view DeadlineHeader = "Galenarelay-Deadline-Ms";
/// Set to "1" by an upstream in a 503 response to a request that it did not run.
inline constexpr std::string_view NotRunHeader = "Galenarelay-Not-Run";
/// Name of the result code, in each response that the agent itself makes.
inline constexpr std::string_view ResultHeader = "Galenarelay-Result";
/// Textual request ID, chosen by the caller or, if absent, by the agent.
inline constexpr std::string_view RequestIdHeader = "Galenarelay-Request-Id";
inline constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";
/// Longest deadline that a caller may set; a longer one is reduced to it.
inline constexpr common::Duration MaxDeadline = std::chrono::hours(1);
/// Longest accepted request ID and idempotency key, in bytes.
inline constexpr std::size_t MaxTokenBytes = 128;

using Header = std::pair<std::string, std::string>;

/// Request line and header fields of a request, without hop-by-hop fields.
struct RequestHead {
  std::string Method;
  std::string Target;
  std::vector<Header> Headers;
  std::optional<std::uint64_t> Length; ///< Declared body length in bytes; empty if chunked.
  bool Chunked = false;
  unsigned Version = 11; ///< 10 for HTTP/1.0, 11 for HTTP/1.1.
  bool KeepAlive = true;

  friend bool operator==(const RequestHead &, const RequestHead &) = default;
};

/// Status line and header fields of a response, without hop-by-hop fields.
struct ResponseHead {
  unsigned Status = 200;
  std::string Reason; ///< Reason phrase; empty for the standard one.
  std::vector<Header> Headers;
  std::optional<std::uint64_t> Length; ///< Declared body length in bytes; empty if unknown.

  friend bool operator==(const ResponseHead &, const ResponseHead &) = default;
};

/// A whole response: status, header fields and body.
struct Answer {
  unsigned Status = 200;
  std::vector<Header> Headers;
  std::string Body;

  friend bool operator==(const Answer &, const Answer &) = default;
};

/// Value of the first header field with this name, ignoring case; empty if absent.
[[nodiscard]] std::string_view headerValue(const std::vector<Header> &Headers,
                                           std::string_view Name) noexcept;
/// True if two header field names are equal, ignoring case.
[[nodiscard]] bool headerNamesEqual(std::string_view Left, std::string_view Right) noexcept;
/// True if RFC 9110 defines the method as idempotent.
[[nodiscard]] bool isIdempotent(std::string_view Method) noexcept;
/// First path segment of a request target. Example: `firstPathSegment("/orders/7?x=1")` is
/// "/orders".
[[nodiscard]] std::string firstPathSegment(std::string_view Target);
/// Logarithmic size class of a body: 0 up to 1024 bytes, then one more for each factor of 4, at
/// most 16.
[[nodiscard]] std::uint8_t sizeClassOf(std::uint64_t Bytes) noexcept;
/// Value of Galenarelay-Deadline-Ms, at most MaxDeadline; empty if absent, negative or malformed.
[[nodiscard]] std::optional<common::Duration> parseDeadline(const RequestHead &Head) noexcept;

/// 503 with Retry-After: the request was not run and never will be.
[[nodiscard]] Answer notRunAnswer(common::ResultCode Reason, common::Duration RetryAfter,
                                  std::string_view Detail);
/// 502: the request was sent and its outcome is unknown.
[[nodiscard]] Answer unknownAnswer(std::string_view Detail);
/// 504: the deadline passed after the request was sent; its outcome is unknown.
[[nodiscard]] Answer timeoutAnswer(std::string_view Detail);
/// 409: a request with the same Idempotency-Key is running, or its response is not kept.
[[nodiscard]] Answer conflictAnswer(std::string_view Detail);
/// 400: the request is malformed and was not run.
[[nodiscard]] Answer malformedAnswer(std::string_view Detail);

} // namespace galenarelay::request

#endif // GALENARELAY_REQUEST_MESSAGE_H
