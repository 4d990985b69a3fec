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

Answer agentAnswer(unsigned Status, ResultCode Reason, std::string_view Detail) {
  Answer Made;
  Made.Status = Status;
  Made.Headers.emplace_back("Content-Type", "application/json");
  Made.Headers.emplace_back(ResultHeader, common::name(Reason));
  const nlohmann::json Body{{"result", common::name(Reason)}, {"detail", Detail}};
  Made.Body = Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  return Made;
}

} // namespace

bool sameHeader(std::string_view Left, std::string_view Right) noexcept {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(), [](char A, char B) {
    return std::tolower(static_cast<unsigned char>(A)) ==
           std::tolower(static_cast<unsigned char>(B));
  });
}

std::string_view headerValue(const std::vector<Header> &Headers, std::string_view Name) noexcept {
  for (const Header &Field : Headers)
    if (sameHeader(Field.first, Name))
      return Field.second;
  return {};
}

bool isIdempotent(std::string_view Method) noexcept {
  constexpr std::array<std::string_view, 6> Methods{"GET",    "HEAD",    "PUT",
                                                    "DELETE", "OPTIONS", "TRACE"};
  return std::find(Methods.begin(), Methods.end(), Method) != Methods.end();
}

std::string routeOf(std::string_view Target) {
  const std::string_view Path = Target.substr(0, Target.find_first_of("?#"));
  const auto Second = Path.size() > 1 ? Path.find('/', 1) : std::string_view::npos;
  return std::string(Path.substr(0, Second));
}

std::uint8_t sizeClassOf(std::uint64_t Bytes) noexcept {
  std::uint8_t Class = 0;
  for (std::uint64_t Limit = 1024; Bytes > Limit && Class < 16; Limit *= 4)
    ++Class;
  return Class;
}

std::optional<Duration> statedDeadline(const RequestHead &Head) noexcept {
  const std::string_view Text = headerValue(Head.Headers, DeadlineHeader);
  std::int64_t Milliseconds = 0;
  const auto Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Milliseconds);
  const bool Whole = Parsed.ec == std::errc() && Parsed.ptr == Text.data() + Text.size();
  if (Text.empty() || !Whole || Milliseconds < 0)
    return std::nullopt;
  return std::chrono::milliseconds(std::min(Milliseconds, common::wholeMilliseconds(MaxDeadline)));
}

Answer notRunAnswer(ResultCode Reason, Duration RetryAfter, std::string_view Detail) {
  Answer Made = agentAnswer(503, Reason, Detail);
  // Retry-After has whole seconds; rounding up never invites a caller before the stated time.
  const auto Seconds = std::chrono::ceil<std::chrono::seconds>(RetryAfter).count();
  Made.Headers.emplace_back("Retry-After", std::to_string(std::max<std::int64_t>(Seconds, 1)));
  return Made;
}

Answer unknownAnswer(std::string_view Detail) {
  return agentAnswer(502, ResultCode::RequestOutcomeUnknown, Detail);
}

Answer timeoutAnswer(std::string_view Detail) {
  return agentAnswer(504, ResultCode::RequestOutcomeUnknown, Detail);
}

Answer conflictAnswer(std::string_view Detail) {
  return agentAnswer(409, ResultCode::RequestInProgress, Detail);
}

Answer malformedAnswer(std::string_view Detail) {
  return agentAnswer(400, ResultCode::RequestMalformed, Detail);
}

} // namespace galenarelay::request
