#include "galenarelay/node/impl/store_link.h"

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

Error statusError(const HttpResponse &Answer) {
  const std::string Detail = "the store answered with status " + std::to_string(Answer.Status);
  switch (Answer.Status) {
  case 404:
    return {ResultCode::StoreKeyNotFound, Detail};
  case 409:
    return {ResultCode::StoreConflict, Detail};
  case 429:
    return {ResultCode::StoreRateLimited, Detail};
  default:
    return {Answer.Status >= 500 ? ResultCode::StoreUnavailable : ResultCode::StoreBadAnswer,
            Detail};
  }
}

Error badAnswer(const json::exception &Problem) {
  return {ResultCode::StoreBadAnswer, Problem.what()};
}

Outcome<std::uint64_t> versionOf(const HttpResponse &Answer) {
  try {
    return {json::parse(Answer.Body).at("version").get<std::uint64_t>(), {}};
  } catch (const json::exception &Problem) {
    return {std::nullopt, badAnswer(Problem)};
  }
}

Outcome<StoreEntry> entryOf(const HttpResponse &Answer) {
  try {
    const json Document = json::parse(Answer.Body);
    return {StoreEntry{Document.at("version").get<std::uint64_t>(),
                       Document.at("value").get<std::string>()},
            {}};
  } catch (const json::exception &Problem) {
    return {std::nullopt, badAnswer(Problem)};
  }
}

Outcome<std::vector<Endpoint>> contactsOf(const HttpResponse &Answer) {
  std::vector<Endpoint> Found;
  try {
    const json Document = json::parse(Answer.Body);
    for (const json &Item : Document.at("items")) {
      // One unreadable record must not hide the others.
      const json Record = json::parse(Item.at("value").get<std::string>(), nullptr, false);
      const auto Parsed = common::capture([&] { return membership::memberFromJson(Record); });
      if (Parsed)
        Found.push_back(Parsed->Control);
    }
  } catch (const json::exception &Problem) {
    return {std::nullopt, badAnswer(Problem)};
  }
  return {std::move(Found), {}};
}

} // namespace

StoreLink::StoreLink(Endpoint Store, common::Metrics &Metrics)
    : Store(Store), Calls(Metrics.counter("store_calls_total", "Calls to the store")),
      Failures(Metrics.counter("store_call_failures_total", "Calls that the store didn't answer")) {
}

awaitable<Outcome<HttpResponse>> StoreLink::call(std::string Method, std::string Target,
                                                 std::string Body, common::Duration Timeout) {
  Calls.Increment();
  auto Answer = co_await common::httpCall(Store, std::move(Method), std::move(Target),
                                          std::move(Body), Timeout);
  if (!Answer) {
    Failures.Increment();
    Answer.Failure.Code = ResultCode::StoreUnavailable;
  }
  co_return Answer;
}

awaitable<Outcome<std::uint64_t>> StoreLink::registerMember(membership::Member Self) {
  const std::string Value = membership::toJson(Self).dump();
  auto Answer = co_await call("PUT", memberTarget(Self.Id, 0), Value, CallTimeout);
  if (!Answer)
    co_return Outcome<std::uint64_t>{std::nullopt, Answer.Failure};
  if (Answer->Status == 409) {
    const auto Current = versionOf(*Answer);
    if (!Current)
      co_return Current;
    Answer = co_await call("PUT", memberTarget(Self.Id, *Current), Value, CallTimeout);
    if (!Answer)
      co_return Outcome<std::uint64_t>{std::nullopt, Answer.Failure};
  }
  if (Answer->Status != 200)
    co_return Outcome<std::uint64_t>{std::nullopt, statusError(*Answer)};
  co_return versionOf(*Answer);
}

awaitable<Outcome<std::uint64_t>> StoreLink::removeMember(std::string Id, std::uint64_t Version) {
  const auto Answer = co_await call("DELETE", memberTarget(Id, Version), "", CallTimeout);
  if (!Answer)
    co_return Outcome<std::uint64_t>{std::nullopt, Answer.Failure};
  // Not found: an earlier delete took effect although its answer was lost.
  if (Answer->Status != 200 && Answer->Status != 404)
    co_return Outcome<std::uint64_t>{std::nullopt, statusError(*Answer)};
  co_return Outcome<std::uint64_t>{Version, {}};
}

awaitable<Outcome<std::vector<Endpoint>>> StoreLink::contacts() {
  const auto Answer = co_await call("GET", "/v1/kv?prefix=members/", "", CallTimeout);
  if (!Answer)
    co_return Outcome<std::vector<Endpoint>>{std::nullopt, Answer.Failure};
  if (Answer->Status != 200)
    co_return Outcome<std::vector<Endpoint>>{std::nullopt, statusError(*Answer)};
  co_return contactsOf(*Answer);
}

awaitable<Outcome<StoreEntry>> StoreLink::watchConfiguration(std::uint64_t After) {
  const std::string Target = std::string("/v1/watch/") + config::StoreKey +
                             "?after=" + std::to_string(After) +
                             "&wait=" + std::to_string(WatchWait.count());
  const auto Answer = co_await call("GET", Target, "", WatchWait + CallTimeout);
  if (!Answer)
    co_return Outcome<StoreEntry>{std::nullopt, Answer.Failure};
  if (Answer->Status == 204)
    co_return Outcome<StoreEntry>{std::nullopt, {ResultCode::NotInForce, "nothing new"}};
  if (Answer->Status != 200)
    co_return Outcome<StoreEntry>{std::nullopt, statusError(*Answer)};
  co_return entryOf(*Answer);
}

} // namespace galenarelay::node::impl
