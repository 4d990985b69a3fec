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

/// Remaining time of a request, in milliseconds, set by callers and towards the upstream.
inline constexpr std::string_view DeadlineHeader = "Galenarelay-Deadline-Ms";
/// Set to "1" by an upstream on a 503 for a request that it did not run.
inline constexpr std::string_view NotRunHeader = "Galenarelay-Not-Run";
/// Name of the result code, on each answer that the agent itself makes.
inline constexpr std::string_view ResultHeader = "Galenarelay-Result";
/// Textual request ID, chosen by the caller or else by the agent.
inline constexpr std::string_view RequestIdHeader = "Galenarelay-Request-Id";
inline constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";
/// Longest deadline that a caller may state.
inline constexpr common::Duration MaxDeadline = std::chrono::hours(1);
/// Longest accepted request ID and idempotency key, in bytes.
inline constexpr std::size_t MaxTokenBytes = 128;

using Header = std::pair<std::string, std::string>;

/// First lines of a request, without hop-by-hop headers.
struct RequestHead {
  std::string Method;
  std::string Target;
  std::vector<Header> Headers;
  std::optional<std::uint64_t> Length; ///< Declared body length in bytes; empty if chunked.
  bool Chunked = false;
  unsigned Version = 11; ///< 10 or 11.
  bool KeepAlive = true;

  friend bool operator==(const RequestHead &, const RequestHead &) = default;
};

/// First lines of a response, without hop-by-hop headers.
struct ResponseHead {
  unsigned Status = 200;
  std::string Reason; ///< Empty for the standard phrase.
  std::vector<Header> Headers;
  std::optional<std::uint64_t> Length; ///< Declared body length in bytes; empty if unknown.

  friend bool operator==(const ResponseHead &, const ResponseHead &) = default;
};

/// A whole response.
struct Answer {
  unsigned Status = 200;
  std::vector<Header> Headers;
  std::string Body;

  friend bool operator==(const Answer &, const Answer &) = default;
};

/// Value of a header, compared without case; empty if absent.
[[nodiscard]] std::string_view headerValue(const std::vector<Header> &Headers,
                                           std::string_view Name) noexcept;
/// Compares header names without case.
[[nodiscard]] bool sameHeader(std::string_view Left, std::string_view Right) noexcept;
/// True for the idempotent methods of RFC 9110.
[[nodiscard]] bool isIdempotent(std::string_view Method) noexcept;
/// First path segment. Example: `routeOf("/orders/7?x=1")` is "/orders".
[[nodiscard]] std::string routeOf(std::string_view Target);
/// Base-4 logarithm of the body's kilobytes, 0 up to 1 KB.
[[nodiscard]] std::uint8_t sizeClassOf(std::uint64_t Bytes) noexcept;
/// Deadline stated in Galenarelay-Deadline-Ms, at most MaxDeadline; empty if absent or malformed.
[[nodiscard]] std::optional<common::Duration> statedDeadline(const RequestHead &Head) noexcept;

/// 503 with Retry-After: the request was not run and will not be.
[[nodiscard]] Answer notRunAnswer(common::ResultCode Reason, common::Duration RetryAfter,
                                  std::string_view Detail);
/// 502: the request was sent and its outcome is unknown.
[[nodiscard]] Answer unknownAnswer(std::string_view Detail);
/// 504: the deadline passed after the request was sent; its outcome is unknown.
[[nodiscard]] Answer timeoutAnswer(std::string_view Detail);
/// 409: a request with the same Idempotency-Key is running, or its answer is no longer kept.
[[nodiscard]] Answer conflictAnswer(std::string_view Detail);
/// 400: the request is malformed and was not run.
[[nodiscard]] Answer malformedAnswer(std::string_view Detail);

} // namespace galenarelay::request

#endif // GALENARELAY_REQUEST_MESSAGE_H
