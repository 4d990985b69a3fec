#include "galenarelay/request/message.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace galenarelay::request {

using common::Duration;
using common::ResultCode;

namespace {

Answer makeAnswer(unsigned Status, ResultCode Reason, std::string_view Detail) {
  Answer Response;
  Response.Status = Status;
  Response.Headers.emplace_back("Content-Type", "application/json");
  Response.Headers.emplace_back(ResultHeader, common::name(Reason));
  const nlohmann::json Body{{"result", common::name(Reason)}, {"detail", Detail}};
  Response.Body = Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  return Response;
}

} // namespace

bool headerNamesEqual(std::string_view Left, std::string_view Right) noexcept {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(), [](char A, char B) {
    return std::tolower(static_cast<unsigned char>(A)) ==
           std::tolower(static_cast<unsigned char>(B));
  });
}

std::string_view headerValue(const std::vector<Header> &Headers, std::string_view Name) noexcept {
  for (const Header &Field : Headers)
    if (headerNamesEqual(Field.first, Name))
      return Field.second;
  return {};
}

bool isIdempotent(std::string_view Method) noexcept {
  constexpr std::array<std::string_view, 6> Methods{"GET",    "HEAD",    "PUT",
                                                    "DELETE", "OPTIONS", "TRACE"};
  return std::find(Methods.begin(), Methods.end(), Method) != Methods.end();
}

std::string firstPathSegment(std::string_view Target) {
  const std::string_view Path = Target.substr(0, Target.find_first_of("?#"));
  const auto SecondSlash = Path.size() > 1 ? Path.find('/', 1) : std::string_view::npos;
  return std::string(Path.substr(0, SecondSlash));
}

std::uint8_t sizeClassOf(std::uint64_t Bytes) noexcept {
  std::uint8_t SizeClass = 0;
  for (std::uint64_t Limit = 1024; Bytes > Limit && SizeClass < 16; Limit *= 4)
    ++SizeClass;
  return SizeClass;
}

std::optional<Duration> parseDeadline(const RequestHead &Head) noexcept {
  const std::string_view Text = headerValue(Head.Headers, DeadlineHeader);
  std::int64_t Milliseconds = 0;
  const auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Milliseconds);
  const bool FullyParsed = Parsed.ec == std::errc() && Parsed.ptr == Text.data() + Text.size();
  if (Text.empty() || !FullyParsed || Milliseconds < 0)
    return std::nullopt;
  return std::chrono::milliseconds(std::min(Milliseconds, common::wholeMilliseconds(MaxDeadline)));
}

Answer notRunAnswer(ResultCode Reason, Duration RetryAfter, std::string_view Detail) {
  Answer Response = makeAnswer(503, Reason, Detail);
  // Retry-After has whole seconds; rounding up keeps callers from retrying before RetryAfter.
  const auto Seconds = std::chrono::ceil<std::chrono::seconds>(RetryAfter).count();
  Response.Headers.emplace_back("Retry-After", std::to_string(std::max<std::int64_t>(Seconds, 1)));
  return Response;
}

Answer unknownAnswer(std::string_view Detail) {
  return makeAnswer(502, ResultCode::RequestOutcomeUnknown, Detail);
}

Answer timeoutAnswer(std::string_view Detail) {
  return makeAnswer(504, ResultCode::RequestOutcomeUnknown, Detail);
}

Answer conflictAnswer(std::string_view Detail) {
  return makeAnswer(409, ResultCode::RequestInProgress, Detail);
}

Answer malformedAnswer(std::string_view Detail) {
  return makeAnswer(400, ResultCode::RequestMalformed, Detail);
}

} // namespace galenarelay::request
