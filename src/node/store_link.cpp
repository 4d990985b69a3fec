#include "galenarelay/node/impl/store_link.h"

#include "galenarelay/common/json_fields.h"
#include "galenarelay/common/log.h"
#include "galenarelay/config/configuration.h"

#include <nlohmann/json.hpp>

namespace galenarelay::node::impl {

using boost::asio::awaitable;
using common::Endpoint;
using common::Error;
using common::HttpResponse;
using common::Outcome;
using common::ResultCode;
using nlohmann::json;

namespace {

std::string memberTarget(const std::string &Id, std::uint64_t Version) {
  return "/v1/kv/members/" + common::encodeQuery(Id) + "?version=" + std::to_string(Version);
}

Error statusError(const HttpResponse &Response) {
  const std::string Detail =
      "the store answered with HTTP status " + std::to_string(Response.Status);
  switch (Response.Status) {
  case 404:
    return {ResultCode::StoreKeyNotFound, Detail};
  case 409:
    return {ResultCode::StoreConflict, Detail};
  case 429:
    return {ResultCode::StoreRateLimited, Detail};
  default:
    return {Response.Status >= 500 ? ResultCode::StoreUnavailable : ResultCode::StoreBadAnswer,
            Detail};
  }
}

Error malformedResponse(const json::exception &Problem) {
  return {ResultCode::StoreBadAnswer, Problem.what()};
}

Outcome<std::uint64_t> parseVersion(const HttpResponse &Response) {
  try {
    return {common::readUnsigned<std::uint64_t>(common::parseJson(Response.Body).at("version")),
            {}};
  } catch (const json::exception &Problem) {
    return {std::nullopt, malformedResponse(Problem)};
  }
}

Outcome<StoreEntry> parseEntry(const HttpResponse &Response) {
  try {
    const json Document = common::parseJson(Response.Body);
    return {StoreEntry{common::readUnsigned<std::uint64_t>(Document.at("version")),
                       Document.at("value").get<std::string>()},
            {}};
  } catch (const json::exception &Problem) {
    return {std::nullopt, malformedResponse(Problem)};
  }
}

common::Result<membership::Member> memberFromItem(const json &Item) {
  try {
    return membership::memberFromJson(common::parseJson(Item.at("value").get<std::string>()));
  } catch (const json::exception &Problem) {
    return common::fail(ResultCode::MessageMalformed, Problem.what());
  }
}

Outcome<std::vector<Endpoint>> parseContacts(const HttpResponse &Response) {
  std::vector<Endpoint> Contacts;
  try {
    const json Document = common::parseJson(Response.Body);
    for (const json &Item : Document.at("items")) {
      // An unreadable record is skipped, so that it doesn't hide the others.
      const auto Parsed = common::capture([&] { return memberFromItem(Item); });
      if (Parsed)
        Contacts.push_back(Parsed->Control);
      else
        common::log(common::LogLevel::Warning, "member_unreadable",
                    {{"detail", Parsed.Failure.Detail}});
    }
  } catch (const json::exception &Problem) {
    return {std::nullopt, malformedResponse(Problem)};
  }
  return {std::move(Contacts), {}};
}

} // namespace

NodeStoreClient::NodeStoreClient(Endpoint Store, common::Metrics &Metrics)
    : Store(Store), Calls(Metrics.counter("store_calls_total", "Calls to the store")),
      Failures(Metrics.counter("store_call_failures_total", "Calls that the store didn't answer")) {
}

awaitable<Outcome<HttpResponse>> NodeStoreClient::call(std::string Method, std::string Target,
                                                       std::string Body, common::Duration Timeout) {
  Calls.Increment();
  auto Response = co_await common::httpCall(Store, std::move(Method), std::move(Target),
                                            std::move(Body), Timeout);
  if (!Response) {
    Failures.Increment();
    Response.Failure.Code = ResultCode::StoreUnavailable;
  }
  co_return Response;
}

awaitable<Outcome<std::uint64_t>> NodeStoreClient::registerMember(membership::Member Self) {
  const std::string Value = membership::toJson(Self).dump();
  auto Response = co_await call("PUT", memberTarget(Self.Id, 0), Value, CallTimeout);
  if (!Response)
    co_return Outcome<std::uint64_t>{std::nullopt, Response.Failure};
  if (Response->Status == 409) {
    const auto Current = parseVersion(*Response);
    if (!Current)
      co_return Current;
    Response = co_await call("PUT", memberTarget(Self.Id, *Current), Value, CallTimeout);
    if (!Response)
      co_return Outcome<std::uint64_t>{std::nullopt, Response.Failure};
  }
  if (Response->Status != 200)
    co_return Outcome<std::uint64_t>{std::nullopt, statusError(*Response)};
  co_return parseVersion(*Response);
}

awaitable<Outcome<std::uint64_t>> NodeStoreClient::removeMember(std::string Id,
                                                                std::uint64_t Version) {
  const auto Response = co_await call("DELETE", memberTarget(Id, Version), "", CallTimeout);
  if (!Response)
    co_return Outcome<std::uint64_t>{std::nullopt, Response.Failure};
  // Status 404: an earlier delete took effect although its response was lost.
  if (Response->Status != 200 && Response->Status != 404)
    co_return Outcome<std::uint64_t>{std::nullopt, statusError(*Response)};
  co_return Outcome<std::uint64_t>{Version, {}};
}

awaitable<Outcome<std::vector<Endpoint>>> NodeStoreClient::registeredContacts() {
  const auto Response = co_await call("GET", "/v1/kv?prefix=members/", "", CallTimeout);
  if (!Response)
    co_return Outcome<std::vector<Endpoint>>{std::nullopt, Response.Failure};
  if (Response->Status != 200)
    co_return Outcome<std::vector<Endpoint>>{std::nullopt, statusError(*Response)};
  co_return parseContacts(*Response);
}

awaitable<Outcome<StoreEntry>> NodeStoreClient::watchConfiguration(std::uint64_t After) {
  const std::string Target = std::string("/v1/watch/") + config::ConfigurationKey +
                             "?after=" + std::to_string(After) +
                             "&wait=" + std::to_string(MaxWatchWait.count());
  const auto Response = co_await call("GET", Target, "", MaxWatchWait + CallTimeout);
  if (!Response)
    co_return Outcome<StoreEntry>{std::nullopt, Response.Failure};
  if (Response->Status == 204)
    co_return Outcome<StoreEntry>{
        std::nullopt, {ResultCode::NotInForce, "no newer configuration within the wait time"}};
  if (Response->Status != 200)
    co_return Outcome<StoreEntry>{std::nullopt, statusError(*Response)};
  co_return parseEntry(*Response);
}

} // namespace galenarelay::node::impl
