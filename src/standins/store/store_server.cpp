#include "galenarelay/standins/store/store_server.h"

#include "galenarelay/config/store_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <set>
#include <string_view>

namespace galenarelay::standins::store {

namespace asio = boost::asio;
using common::HttpRequest;
using common::HttpResponse;
using common::steadyNow;
using nlohmann::json;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view WatchPath = "/v1/watch/";

std::uint64_t numberOr(const HttpRequest &Request, const char *Name, std::uint64_t Otherwise) {
  const auto Found = Request.Query.find(Name);
  if (Found == Request.Query.end())
    return Otherwise;
  const std::string &Text = Found->second;
  std::uint64_t Value = Otherwise;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

json faultsJson(const Faults &Value) {
  return {{"outage", Value.Outage},
          {"delay_ms", common::wholeMilliseconds(Value.Delay)},
          {"lose_answers", Value.LoseAnswers},
          {"lose_requests", Value.LoseRequests}};
}

Faults faultsFromJson(const json &Document, Faults Known) {
  Known.Outage = Document.value("outage", Known.Outage);
  if (Document.contains("delay_ms"))
    Known.Delay = std::chrono::milliseconds(Document.at("delay_ms").get<std::uint32_t>());
  Known.LoseAnswers = Document.value("lose_answers", Known.LoseAnswers);
  Known.LoseRequests = Document.value("lose_requests", Known.LoseRequests);
  return Known;
}

json countsJson(const CallCounts &Value) {
  return {{"reads", Value.Reads},   {"writes", Value.Writes},   {"watches", Value.Watches},
          {"leases", Value.Leases}, {"limited", Value.Limited}, {"failed", Value.Failed}};
}

} // namespace

struct StoreServer::State : std::enable_shared_from_this<StoreServer::State> {
  State(asio::io_context &Io, StoreLimits Limits) : Io(Io), Data(Limits), LeaseTimer(Io) {}

  asio::awaitable<HttpResponse> serve(HttpRequest Request) {
    // Keeps the state alive while a watch waits.
    const auto Self = shared_from_this();
    if (auto Admin = administer(Request))
      co_return *Admin;
    if (Data.faults().Delay > common::Duration::zero()) {
      asio::steady_timer Timer(Io, Data.faults().Delay);
      ++Delayed;
      co_await Timer.async_wait(AsTuple);
      --Delayed;
    }
    HttpResponse Answer = Data.handle(Request, steadyNow());
    afterChange();
    const bool Waits = Answer.Status == 204 && Request.Path.starts_with(WatchPath);
    if (Waits)
      Answer = co_await waitForChange(Request);
    co_return Answer;
  }

  std::optional<HttpResponse> administer(const HttpRequest &Request) {
    if (Request.Path == "/healthz")
      return HttpResponse{200, "{}"};
    if (Request.Path == "/v1/stats") {
      json Stats = countsJson(Data.counts());
      Stats["waiting"] = Waiting.size();
      Stats["delayed"] = Delayed;
      Stats["keys"] = Data.size();
      return HttpResponse{200, Stats.dump()};
    }
    if (Request.Path != "/v1/faults")
      return std::nullopt;
    if (Request.Method == "POST") {
      try {
        const json Document = json::parse(Request.Body);
        Data.setFaults(faultsFromJson(Document, Data.faults()));
        if (Document.contains("restore_version"))
          Data.restore(Document.at("restore_version").get<std::uint64_t>());
      } catch (const json::exception &Problem) {
        return HttpResponse{400, json{{"error", Problem.what()}}.dump()};
      }
      afterChange();
    }
    return HttpResponse{200, faultsJson(Data.faults()).dump()};
  }

  asio::awaitable<HttpResponse> waitForChange(const HttpRequest &Request) {
    const std::string Key = Request.Path.substr(WatchPath.size());
    const std::uint64_t After = numberOr(Request, "after", 0);
    const common::Duration Asked = std::chrono::milliseconds(std::min<std::uint64_t>(
        numberOr(Request, "wait", 0), MaxWatchWait / std::chrono::milliseconds(1)));
    const auto Deadline = std::chrono::steady_clock::now() + Asked;
    asio::steady_timer Timer(Io);
    Waiting.insert(&Timer);
    const std::uint64_t Era = Data.era();
    std::optional<HttpResponse> Answer;
    while (!Answer && !Closed && std::chrono::steady_clock::now() < Deadline) {
      Timer.expires_at(Deadline);
      co_await Timer.async_wait(AsTuple);
      // A restore cuts waiting watches.
      Answer =
          Data.era() == Era ? Data.watchAnswer(Key, After) : HttpResponse{common::NoAnswer, ""};
    }
    Waiting.erase(&Timer);
    if (!Answer)
      Answer = HttpResponse{204, ""};
    Answer->Headers.emplace_back(config::StoreEraHeader, std::to_string(Data.era()));
    co_return *Answer;
  }

  void afterChange() {
    if (Data.changes() == SeenChanges)
      return scheduleExpiry();
    SeenChanges = Data.changes();
    wakeAll();
    scheduleExpiry();
  }

  void wakeAll() {
    for (asio::steady_timer *Timer : Waiting)
      Timer->cancel();
  }

  void scheduleExpiry() {
    const auto Next = Data.nextExpiry();
    if (!Next || Closed)
      return;
    LeaseTimer.expires_at(std::chrono::steady_clock::time_point(Next->time_since_epoch()));
    LeaseTimer.async_wait([Self = shared_from_this()](boost::system::error_code Failure) {
      if (Failure)
        return;
      Self->Data.expire(steadyNow());
      Self->afterChange();
    });
  }

  void close() {
    Closed = true;
    LeaseTimer.cancel();
    wakeAll();
  }

  asio::io_context &Io;
  Store Data;
  asio::steady_timer LeaseTimer;
  std::set<asio::steady_timer *> Waiting;
  std::size_t Delayed = 0; ///< Calls whose effect is still to come.
  std::uint64_t SeenChanges = 0;
  bool Closed = false;
};

StoreServer::StoreServer(asio::io_context &Io, common::Endpoint Local, StoreLimits Limits)
    : Shared(std::make_shared<State>(Io, Limits)),
      Server(Io, Local,
             [State = Shared](HttpRequest Request) { return State->serve(std::move(Request)); }) {}

StoreServer::~StoreServer() { close(); }

common::Endpoint StoreServer::local() const noexcept { return Server.local(); }

void StoreServer::close() {
  Server.close();
  Shared->close();
}

} // namespace galenarelay::standins::store
