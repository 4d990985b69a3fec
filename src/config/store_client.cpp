#include "galenarelay/config/store_client.h"

#include "galenarelay/common/random.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace galenarelay::config {

using common::Error;
using common::HttpResponse;
using common::Outcome;
using common::ResultCode;
using nlohmann::json;

namespace impl {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusTooLarge = 413;
constexpr unsigned StatusRateLimited = 429;
constexpr unsigned FirstServerError = 500;

Error statusError(const HttpResponse &Answer, ResultCode ServerError) {
  const std::string Detail = "the store answered " + std::to_string(Answer.Status);
  if (Answer.Status == StatusRateLimited)
    return {ResultCode::StoreRateLimited, Detail};
  if (Answer.Status >= FirstServerError)
    return {ServerError, Detail};
  return {ResultCode::StoreBadAnswer, Detail + ": " + Answer.Body};
}

StoredValue valueFromJson(const json &Document) {
  return {Document.at("key").get<std::string>(), Document.at("version").get<std::uint64_t>(),
          Document.at("value").get<std::string>()};
}

/// A read that failed has no effect, whichever way it failed.
Error readError(const Error &Failure) { return {ResultCode::StoreUnavailable, Failure.Detail}; }

} // namespace

std::string keyTarget(const std::string &Key) { return "/v1/kv/" + common::encodeQuery(Key); }

std::string keyTarget(const std::string &Key, std::uint64_t Version) {
  return keyTarget(Key) + "?version=" + std::to_string(Version);
}

std::string listTarget(const std::string &Prefix) {
  return "/v1/kv?prefix=" + common::encodeQuery(Prefix);
}

Outcome<StoredValue> readValue(const std::string &Key, const Outcome<HttpResponse> &Answer) {
  if (!Answer)
    return {std::nullopt, readError(Answer.Failure)};
  if (Answer->Status == StatusNotFound)
    return {StoredValue{Key, 0, ""}, {}};
  if (Answer->Status != StatusOk)
    return {std::nullopt, statusError(*Answer, ResultCode::StoreUnavailable)};
  try {
    return {valueFromJson(json::parse(Answer->Body)), {}};
  } catch (const json::exception &Problem) {
    return {std::nullopt, {ResultCode::StoreBadAnswer, Problem.what()}};
  }
}

Outcome<std::vector<StoredValue>> readList(const Outcome<HttpResponse> &Answer) {
  if (!Answer)
    return {std::nullopt, readError(Answer.Failure)};
  if (Answer->Status != StatusOk)
    return {std::nullopt, statusError(*Answer, ResultCode::StoreUnavailable)};
  try {
    const json Body = json::parse(Answer->Body);
    std::vector<StoredValue> Values;
    for (const json &Item : Body.at("items"))
      Values.push_back(valueFromJson(Item));
    return {std::move(Values), {}};
  } catch (const json::exception &Problem) {
    return {std::nullopt, {ResultCode::StoreBadAnswer, Problem.what()}};
  }
}

Outcome<std::uint64_t> readWritten(const Outcome<HttpResponse> &Answer) {
  if (!Answer) {
    const bool NotSent = Answer.Failure.Code == ResultCode::PeerUnreachable;
    return {std::nullopt,
            {NotSent ? ResultCode::StoreUnavailable : ResultCode::StoreOutcomeUnknown,
             Answer.Failure.Detail}};
  }
  if (Answer->Status == StatusConflict)
    return {std::nullopt, {ResultCode::StoreConflict, "the key has another version"}};
  if (Answer->Status == StatusTooLarge)
    return {std::nullopt, {ResultCode::ConfigurationTooLarge, "the store refused the size"}};
  // A server error may come from a part of the store that didn't see whether the write took effect.
  if (Answer->Status != StatusOk)
    return {std::nullopt, statusError(*Answer, ResultCode::StoreOutcomeUnknown)};
  try {
    return {json::parse(Answer->Body).at("version").get<std::uint64_t>(), {}};
  } catch (const json::exception &Problem) {
    return {std::nullopt, {ResultCode::StoreOutcomeUnknown, Problem.what()}};
  }
}

} // namespace impl

Outcome<HttpResponse> BlockingTransport::call(const std::string &Method, const std::string &Target,
                                              const std::string &Body) const {
  return common::httpCallBlocking(Store, Method, Target, Body, Timeout);
}

void BlockingTransport::pause(std::uint32_t Attempt) {
  constexpr std::uint32_t MaxDoublings = 10;
  const auto Doubled = FirstPause * (1U << std::min(Attempt, MaxDoublings));
  const auto Bound = std::min<common::Duration>(Doubled, LongestPause);
  common::Engine Random(State++);
  const auto Chosen = common::uniformBelow(Random, static_cast<std::uint64_t>(Bound.count()));
  std::this_thread::sleep_for(common::Duration(static_cast<std::int64_t>(Chosen) + 1));
}

} // namespace galenarelay::config
