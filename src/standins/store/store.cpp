#include "galenarelay/standins/store/store.h"

#include "galenarelay/config/store_client.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace galenarelay::standins::store {

using common::HttpRequest;
using common::HttpResponse;
using common::TimePoint;
using nlohmann::json;

namespace {

constexpr std::string_view KeyPath = "/v1/kv/";
constexpr std::string_view ListPath = "/v1/kv";
constexpr std::string_view WatchPath = "/v1/watch/";
constexpr std::string_view LeasePath = "/v1/lease";

HttpResponse answer(unsigned Status, const json &Body) {
  return {Status, Body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

HttpResponse problem(unsigned Status, const std::string &Detail) {
  return answer(Status, {{"error", Detail}});
}

json entryJson(const std::string &Key, std::uint64_t Version, const std::string &Value) {
  return {{"key", Key}, {"version", Version}, {"value", Value}};
}

std::optional<std::uint64_t> parseNumber(const std::string &Text) {
  std::uint64_t Value = 0;
  const char *Last = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), Last, Value);
  const bool Whole = Parsed.ec == std::errc() && Parsed.ptr == Last && !Text.empty();
  return Whole ? std::optional(Value) : std::nullopt;
}

std::optional<std::uint64_t> number(const HttpRequest &Request, const char *Name) {
  const auto Found = Request.Query.find(Name);
  return Found == Request.Query.end() ? std::nullopt : parseNumber(Found->second);
}

bool isWatch(const HttpRequest &Request) {
  return Request.Method == "GET" && Request.Path.starts_with(WatchPath);
}

bool isLease(const HttpRequest &Request) {
  return Request.Method == "POST" && Request.Path.starts_with(LeasePath);
}

bool isRead(const HttpRequest &Request) { return Request.Method == "GET"; }

} // namespace

Store::Store(StoreLimits Limits) : Reads(Limits.ReadsPerSecond), Writes(Limits.WritesPerSecond) {}

std::optional<TimePoint> Store::nextExpiry() const noexcept {
  std::optional<TimePoint> Earliest;
  for (const auto &Held : Data.Leases)
    if (!Earliest || Held.second.Expiry < *Earliest)
      Earliest = Held.second.Expiry;
  return Earliest;
}

std::optional<HttpResponse> Store::watchAnswer(const std::string &Key, std::uint64_t After) const {
  if (Active.Outage)
    return problem(503, "the store is unavailable");
  if (After > Data.LastVersion)
    return problem(410, "the store hasn't given out this version");
  const auto Found = Data.Entries.find(Key);
  if (Found == Data.Entries.end())
    return After > 0 ? std::optional(problem(404, "the key was deleted")) : std::nullopt;
  if (Found->second.Version <= After)
    return std::nullopt;
  return answer(200, entryJson(Key, Found->second.Version, Found->second.Value));
}

HttpResponse Store::handle(const HttpRequest &Request, TimePoint Now) {
  auto Answer = handleWithoutEra(Request, Now);
  Answer.Headers.emplace_back(config::StoreEraHeader, std::to_string(Era));
  return Answer;
}

void Store::restore(std::uint64_t LastVersion) {
  const auto Found = std::find_if(Copies.begin(), Copies.end(), [LastVersion](const State &Each) {
    return Each.LastVersion >= LastVersion;
  });
  if (Found != Copies.end())
    Data = *Found;
  // Copies of the ended era would bring its changes back.
  Copies.erase(Found, Copies.end());
  ++Era;
  changed();
}

void Store::keepCopy() {
  Copies.push_back(Data);
  if (Copies.size() > MaxCopies)
    Copies.pop_front();
}

HttpResponse Store::handleWithoutEra(const HttpRequest &Request, TimePoint Now) {
  expire(Now);
  const bool Reading = isRead(Request);
  std::uint64_t &Counter = isWatch(Request)   ? Counts.Watches
                           : isLease(Request) ? Counts.Leases
                           : Reading          ? Counts.Reads
                                              : Counts.Writes;
  ++Counter;
  if (Active.Outage) {
    ++Counts.Failed;
    return problem(503, "the store is unavailable");
  }
  if (!(Reading ? Reads : Writes).take(Now)) {
    ++Counts.Limited;
    return problem(429, "the rate of calls is above the limit");
  }
  if (isWatch(Request))
    return watch(Request);
  if (isLease(Request)) {
    keepCopy();
    return lease(Request, Now);
  }
  if (Reading)
    return read(Request);
  if (Active.LoseRequests > 0) {
    --Active.LoseRequests;
    return {common::NoAnswer, ""};
  }
  keepCopy();
  const HttpResponse Written = write(Request);
  if (Active.LoseAnswers == 0)
    return Written;
  --Active.LoseAnswers;
  return {common::NoAnswer, ""};
}

void Store::setFaults(const Faults &Next) noexcept {
  // Waiting watches look again, so that an outage ends them.
  if (Next.Outage != Active.Outage)
    changed();
  Active = Next;
}

void Store::expire(TimePoint Now) {
  for (auto Held = Data.Leases.begin(); Held != Data.Leases.end();) {
    if (Held->second.Expiry > Now) {
      ++Held;
      continue;
    }
    const std::uint64_t Id = Held->first;
    if (std::erase_if(Data.Entries, [Id](const auto &Each) { return Each.second.Lease == Id; }) > 0)
      changed();
    Held = Data.Leases.erase(Held);
  }
}

HttpResponse Store::read(const HttpRequest &Request) const {
  if (Request.Path == ListPath)
    return list(Request.Query.contains("prefix") ? Request.Query.at("prefix") : std::string());
  if (!Request.Path.starts_with(KeyPath))
    return problem(404, "no such endpoint");
  const std::string Key = Request.Path.substr(KeyPath.size());
  const auto Found = Data.Entries.find(Key);
  if (Found == Data.Entries.end())
    return problem(404, "no such key");
  return answer(200, entryJson(Key, Found->second.Version, Found->second.Value));
}

HttpResponse Store::list(const std::string &Prefix) const {
  json Items = json::array();
  for (auto It = Data.Entries.lower_bound(Prefix); It != Data.Entries.end(); ++It) {
    if (!It->first.starts_with(Prefix))
      break;
    Items.push_back(entryJson(It->first, It->second.Version, It->second.Value));
  }
  return answer(200, {{"items", std::move(Items)}});
}

HttpResponse Store::watch(const HttpRequest &Request) const {
  const auto After = number(Request, "after");
  if (!After)
    return problem(400, "after=VERSION is required");
  const auto Ready = watchAnswer(Request.Path.substr(WatchPath.size()), *After);
  return Ready ? *Ready : HttpResponse{204, ""};
}

HttpResponse Store::write(const HttpRequest &Request) {
  if (!Request.Path.starts_with(KeyPath))
    return problem(404, "no such endpoint");
  const std::string Key = Request.Path.substr(KeyPath.size());
  const auto Expected = number(Request, "version");
  if (Key.empty() || Key.size() > MaxKeyBytes || !Expected)
    return problem(400, "a key and version=VERSION are required");
  if (Request.Body.size() > MaxValueBytes)
    return problem(413, "the value is too large");
  const auto Found = Data.Entries.find(Key);
  const std::uint64_t Current = Found == Data.Entries.end() ? 0 : Found->second.Version;
  const bool Removing = Request.Method == "DELETE";
  if (Removing && Current == 0)
    return problem(404, "no such key");
  // The era of the expected version, where the caller states it.
  if (*Expected != Current || number(Request, "era").value_or(Era) != Era)
    return answer(409, {{"key", Key}, {"version", Current}});
  if (!Removing)
    return Request.Method == "PUT" ? put(Key, Request) : problem(405, "no such method");
  Data.Entries.erase(Found);
  changed();
  return answer(200, {{"key", Key}, {"version", Current}});
}

HttpResponse Store::put(const std::string &Key, const HttpRequest &Request) {
  const std::uint64_t LeaseId =
      Request.Query.contains("lease") ? number(Request, "lease").value_or(0) : 0;
  if (Request.Query.contains("lease") && !Data.Leases.contains(LeaseId))
    return problem(404, "no such lease");
  if (!Data.Entries.contains(Key) && Data.Entries.size() >= MaxEntries)
    return problem(507, "the store is full");
  Data.Entries[Key] = {++Data.LastVersion, Request.Body, LeaseId};
  changed();
  return answer(200, {{"key", Key}, {"version", Data.LastVersion}});
}

HttpResponse Store::lease(const HttpRequest &Request, TimePoint Now) {
  if (Request.Path == LeasePath) {
    const auto TtlMs = number(Request, "ttl");
    const auto Ttl = std::chrono::milliseconds(TtlMs.value_or(0));
    if (!TtlMs || Ttl <= Ttl.zero() || Ttl > MaxLeaseTtl)
      return problem(400, "ttl=MILLISECONDS is required, at most an hour");
    if (Data.Leases.size() >= MaxEntries)
      return problem(507, "the store is full");
    Data.Leases[++Data.LastLease] = {Now + Ttl, Ttl};
    return answer(200, {{"lease", Data.LastLease}, {"ttl", *TtlMs}});
  }
  const auto Id = parseNumber(Request.Path.substr(LeasePath.size() + 1));
  const auto Held = Id ? Data.Leases.find(*Id) : Data.Leases.end();
  if (Held == Data.Leases.end())
    return problem(404, "no such lease");
  Held->second.Expiry = Now + Held->second.Ttl;
  return answer(200, {{"lease", *Id}});
}

} // namespace galenarelay::standins::store
