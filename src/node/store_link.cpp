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
using config::StoreVersion;
using nlohmann::json;

namespace {

std::string memberKey(const std::string &Id) { return "members/" + Id; }

Error statusError(const HttpResponse &Response) {
  const std::string Detail =
      "the store answered with HTTP status " + std::to_string(Response.Status);
  switch (Response.Status) {
  case 404:
    return {ResultCode::StoreKeyNotFound, Detail};
  case 409:
    return {ResultCode::StoreConflict, Detail};
  case 410:
    return {ResultCode::StoreHistoryGone, Detail};
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

Outcome<StoreVersion> parseVersion(const HttpResponse &Response, std::uint64_t Era) {
  try {
    return {config::impl::versionFromJson(common::parseJson(Response.Body), Era), {}};
  } catch (const json::exception &Problem) {
    return {std::nullopt, malformedResponse(Problem)};
  }
}

Outcome<StoreEntry> parseEntry(const HttpResponse &Response, std::uint64_t Era) {
  try {
    const json Document = common::parseJson(Response.Body);
    return {StoreEntry{config::impl::versionFromJson(Document, Era),
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

Error eraEnded() { return {ResultCode::StoreEraEnded, "the store has been restored from a copy"}; }

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
    co_return Response;
  }
  co_return inNewestEra(std::move(*Response));
}

Outcome<HttpResponse> NodeStoreClient::inNewestEra(HttpResponse Response) {
  const auto Named = config::readStoreEra(Response);
  if (!Named)
    return {std::nullopt, Named.Failure};
  const auto Found = Newest.note(*Named);
  if (Found == NewestEra::Finding::Ended)
    return {std::nullopt, eraEnded()};
  if (Found == NewestEra::Finding::Restored && OnRestored)
    OnRestored();
  return {std::move(Response), {}};
}

awaitable<Outcome<StoreVersion>> NodeStoreClient::registerMember(membership::Member Self) {
  const std::string Key = memberKey(Self.Id);
  const std::string Value = membership::toJson(Self).dump();
  const auto Response = co_await call("GET", config::impl::keyTarget(Key), "", CallTimeout);
  if (!Response)
    co_return Outcome<StoreVersion>{std::nullopt, Response.Failure};
  if (Response->Status != 200 && Response->Status != 404)
    co_return Outcome<StoreVersion>{std::nullopt, statusError(*Response)};
  StoreVersion Expected;
  if (Response->Status == 200) {
    const auto Current = parseEntry(*Response, era());
    if (!Current)
      co_return Outcome<StoreVersion>{std::nullopt, Current.Failure};
    if (Current->Value == Value)
      co_return Outcome<StoreVersion>{Current->Version, {}};
    Expected = Current->Version;
  }
  co_return co_await write(Key, Expected, Value);
}

awaitable<Outcome<StoreVersion>> NodeStoreClient::write(std::string Key, StoreVersion Expected,
                                                        std::string Value) {
  const auto Response =
      co_await call("PUT", config::impl::keyTarget(Key, Expected), std::move(Value), CallTimeout);
  if (!Response)
    co_return Outcome<StoreVersion>{std::nullopt, Response.Failure};
  if (Response->Status != 200)
    co_return Outcome<StoreVersion>{std::nullopt, statusError(*Response)};
  co_return parseVersion(*Response, era());
}

awaitable<Outcome<StoreVersion>> NodeStoreClient::removeMember(std::string Id,
                                                               StoreVersion Version) {
  const auto Response =
      co_await call("DELETE", config::impl::keyTarget(memberKey(Id), Version), "", CallTimeout);
  if (!Response)
    co_return Outcome<StoreVersion>{std::nullopt, Response.Failure};
  // Status 404: an earlier delete took effect although its response was lost.
  if (Response->Status != 200 && Response->Status != 404)
    co_return Outcome<StoreVersion>{std::nullopt, statusError(*Response)};
  co_return Outcome<StoreVersion>{Version, {}};
}

awaitable<Outcome<std::vector<Endpoint>>> NodeStoreClient::registeredContacts() {
  const auto Response = co_await call("GET", "/v1/kv?prefix=members/", "", CallTimeout);
  if (!Response)
    co_return Outcome<std::vector<Endpoint>>{std::nullopt, Response.Failure};
  if (Response->Status != 200)
    co_return Outcome<std::vector<Endpoint>>{std::nullopt, statusError(*Response)};
  co_return parseContacts(*Response);
}

awaitable<Outcome<StoreEntry>>
NodeStoreClient::watchConfiguration(std::optional<StoreVersion> After,
                                    std::chrono::milliseconds Wait) {
  if (After && After->Era != era())
    co_return Outcome<StoreEntry>{std::nullopt, eraEnded()};
  const std::uint64_t AfterNumber = After ? After->Number : 0;
  const std::string Target = std::string("/v1/watch/") + config::ConfigurationKey +
                             "?after=" + std::to_string(AfterNumber) +
                             "&wait=" + std::to_string(Wait.count());
  const auto Response = co_await call("GET", Target, "", Wait + CallTimeout);
  if (!Response)
    co_return Outcome<StoreEntry>{std::nullopt, Response.Failure};
  if (After && After->Era != era())
    co_return Outcome<StoreEntry>{std::nullopt, eraEnded()};
  if (Response->Status == 204)
    co_return Outcome<StoreEntry>{
        std::nullopt, {ResultCode::NotInForce, "no newer configuration within the wait time"}};
  if (Response->Status != 200)
    co_return Outcome<StoreEntry>{std::nullopt, statusError(*Response)};
  co_return parseEntry(*Response, era());
}

} // namespace galenarelay::node::impl
