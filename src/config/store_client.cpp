#include "galenarelay/config/store_client.h"

#include "galenarelay/common/json_fields.h"
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

Outcome<std::optional<std::uint64_t>> readStoreEra(const HttpResponse &Response) {
  auto Era = common::readNumberHeader(Response, StoreEraHeader);
  if (!Era)
    Era.Failure.Code = ResultCode::StoreBadAnswer;
  return Era;
}

namespace impl {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusTooLarge = 413;
constexpr unsigned StatusRateLimited = 429;
constexpr unsigned FirstServerError = 500;

/// Maps an HTTP error status to an error; ServerErrorCode is the result code for a status of 500 or
/// above.
Error statusError(const HttpResponse &Response, ResultCode ServerErrorCode) {
  const std::string Detail = "the store answered " + std::to_string(Response.Status);
  if (Response.Status == StatusRateLimited)
    return {ResultCode::StoreRateLimited, Detail};
  if (Response.Status >= FirstServerError)
    return {ServerErrorCode, Detail};
  return {ResultCode::StoreBadAnswer, Detail + ": " + Response.Body};
}

StoredValue valueFromJson(const json &Document, std::uint64_t Era) {
  return {Document.at("key").get<std::string>(), versionFromJson(Document, Era),
          Document.at("value").get<std::string>()};
}

/// Maps any transport error of a read to StoreUnavailable: a failed read has no effect, so its
/// outcome is never in doubt.
Error readError(const Error &Failure) { return {ResultCode::StoreUnavailable, Failure.Detail}; }

} // namespace

StoreVersion versionFromJson(const json &Document, std::uint64_t Era) {
  return {Era, common::readUnsigned<std::uint64_t>(Document.at("version"))};
}

std::string keyTarget(const std::string &Key) { return "/v1/kv/" + common::encodeQuery(Key); }

std::string keyTarget(const std::string &Key, StoreVersion Expected) {
  std::string Target = keyTarget(Key) + "?version=" + std::to_string(Expected.Number);
  if (Expected.Era != 0 && Expected.Number != 0)
    Target += "&era=" + std::to_string(Expected.Era);
  return Target;
}

std::string listTarget(const std::string &Prefix) {
  return "/v1/kv?prefix=" + common::encodeQuery(Prefix);
}

Outcome<StoredValue> parseValueResponse(const std::string &Key,
                                        const Outcome<HttpResponse> &Response) {
  if (!Response)
    return {std::nullopt, readError(Response.Failure)};
  if (Response->Status == StatusNotFound)
    return {StoredValue{Key, {}, ""}, {}};
  if (Response->Status != StatusOk)
    return {std::nullopt, statusError(*Response, ResultCode::StoreUnavailable)};
  const auto Era = readStoreEra(*Response);
  if (!Era)
    return {std::nullopt, Era.Failure};
  try {
    return {valueFromJson(common::parseJson(Response->Body), Era->value_or(0)), {}};
  } catch (const json::exception &Exception) {
    return {std::nullopt, {ResultCode::StoreBadAnswer, Exception.what()}};
  }
}

Outcome<std::vector<StoredValue>> parseListResponse(const Outcome<HttpResponse> &Response) {
  if (!Response)
    return {std::nullopt, readError(Response.Failure)};
  if (Response->Status != StatusOk)
    return {std::nullopt, statusError(*Response, ResultCode::StoreUnavailable)};
  const auto Era = readStoreEra(*Response);
  if (!Era)
    return {std::nullopt, Era.Failure};
  try {
    const json Body = common::parseJson(Response->Body);
    std::vector<StoredValue> Values;
    for (const json &Item : Body.at("items"))
      Values.push_back(valueFromJson(Item, Era->value_or(0)));
    return {std::move(Values), {}};
  } catch (const json::exception &Exception) {
    return {std::nullopt, {ResultCode::StoreBadAnswer, Exception.what()}};
  }
}

Outcome<StoreVersion> parseWriteResponse(const Outcome<HttpResponse> &Response) {
  if (!Response) {
    const bool NotSent = Response.Failure.Code == ResultCode::PeerUnreachable;
    return {std::nullopt,
            {NotSent ? ResultCode::StoreUnavailable : ResultCode::StoreOutcomeUnknown,
             Response.Failure.Detail}};
  }
  if (Response->Status == StatusConflict)
    return {std::nullopt, {ResultCode::StoreConflict, "the key has a different version"}};
  if (Response->Status == StatusTooLarge)
    return {std::nullopt,
            {ResultCode::ConfigurationTooLarge, "the store rejected the document as too large"}};
  // A server error leaves the outcome unknown: it may come from a part of the store that didn't see
  // whether the write took effect.
  if (Response->Status != StatusOk)
    return {std::nullopt, statusError(*Response, ResultCode::StoreOutcomeUnknown)};
  const auto Era = readStoreEra(*Response);
  if (!Era)
    return {std::nullopt, {ResultCode::StoreOutcomeUnknown, Era.Failure.Detail}};
  try {
    return {versionFromJson(common::parseJson(Response->Body), Era->value_or(0)), {}};
  } catch (const json::exception &Exception) {
    return {std::nullopt, {ResultCode::StoreOutcomeUnknown, Exception.what()}};
  }
}

} // namespace impl

Outcome<HttpResponse> BlockingTransport::call(const std::string &Method, const std::string &Target,
                                              const std::string &Body) const {
  return common::httpCallBlocking(Store, Method, Target, Body, Timeout);
}

void BlockingTransport::pause(std::uint32_t Attempt) {
  constexpr std::uint32_t MaxDoublings = 10;
  const auto Backoff = InitialBackoff * (1U << std::min(Attempt, MaxDoublings));
  const auto MaxDelay = std::min<common::Duration>(Backoff, MaxBackoff);
  common::Engine Random(NextSeed++);
  const auto Delay = common::uniformBelow(Random, static_cast<std::uint64_t>(MaxDelay.count()));
  std::this_thread::sleep_for(common::Duration(static_cast<std::int64_t>(Delay) + 1));
}

} // namespace galenarelay::config
