#include "galenarelay/node/impl/runtime.h"

#include "galenarelay/common/hash.h"
#include "galenarelay/node/impl/call_pause.h"
#include "galenarelay/node/impl/configuration_difference.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <set>

namespace galenarelay::node::impl {

namespace asio = boost::asio;
using asio::awaitable;
using common::Duration;
using common::Endpoint;
using common::Error;
using common::log;
using common::LogLevel;
using common::Outcome;
using common::ResultCode;
using common::steadyNow;
using membership::Member;
using membership::MemberState;
using nlohmann::json;

namespace {

bool isGossip(const std::string &Type) {
  return Type == "ping" || Type == "ack" || Type == "pingreq" || Type == "push";
}

Outcome<std::vector<Member>> membersOf(const std::string &Body) {
  std::vector<Member> List;
  try {
    const json Document = json::parse(Body);
    for (const json &Record : Document.at("members")) {
      const auto Parsed = common::capture([&] { return membership::memberFromJson(Record); });
      if (!Parsed)
        return {std::nullopt, Parsed.Failure};
      List.push_back(*Parsed);
    }
  } catch (const json::exception &Problem) {
    return {std::nullopt, {ResultCode::MessageMalformed, Problem.what()}};
  }
  return {std::move(List), {}};
}

} // namespace

Runtime::Runtime(asio::io_context &Io, NodeOptions Options, common::Metrics &Metrics)
    : Io(Io), Options(std::move(Options)), Metrics(Metrics),
      Random(common::hash64(this->Options.Self.Id, this->Options.Seed)),
      Store(this->Options.Store, Metrics), View(std::make_shared<routing::RoutingView>()),
      GossipTimer(Io), BuildTimer(Io),
      ReceivedDatagrams(
          Metrics.counter("control_received_datagrams_total", "Control datagrams received")),
      ReceivedBytes(Metrics.counter("control_received_bytes_total", "Control bytes received")),
      SentDatagrams(Metrics.counter("control_sent_datagrams_total", "Control datagrams sent")),
      SentBytes(Metrics.counter("control_sent_bytes_total", "Control bytes sent")),
      RevisionGauge(Metrics.gauge("configuration_revision", "Configuration revision in force")),
      MemberGauge(Metrics.gauge("members", "Members that aren't dead, with this node")),
      Refusals(Metrics.counter("configuration_refused_total",
                               "Configurations refused for their revision")) {}

const Member &Runtime::self() const noexcept { return Core ? Core->self() : Options.Self; }

void Runtime::onControl(const std::string &Type, ControlHandler Handler) {
  Handlers[Type] = std::move(Handler);
}

void Runtime::sendControl(Endpoint To, const json &Message) {
  if (Stopped || !Control)
    return;
  const auto Bytes = json::to_cbor(Message);
  if (Bytes.size() > membership::MaxDatagramBytes)
    return reject({ResultCode::MessageTooLong, "outgoing control message"}, To);
  performOne(membership::SendDatagram{To, Bytes});
}

void Runtime::start() {
  Member &Self = Options.Self;
  Control = std::make_unique<common::UdpSocket>(
      Io, Self.Control,
      [this](std::span<const std::uint8_t> Bytes, Endpoint From) { receiveControl(Bytes, From); });
  addStandardRoutes();
  Admin = std::make_unique<common::HttpServer>(
      Io, Self.Admin,
      [Weak = weak_from_this()](common::HttpRequest Request) -> awaitable<common::HttpResponse> {
        const auto Alive = Weak.lock();
        if (!Alive || Alive->Stopped)
          co_return common::HttpResponse{503, R"({"error":"stopping"})"};
        co_return co_await Alive->serve(std::move(Request));
      });
  Self.Control = Control->local();
  Self.Admin = Admin->local();
  // A later life of the same ID starts above all incarnations of the earlier one.
  if (Self.Incarnation == 0)
    Self.Incarnation = static_cast<std::uint64_t>(common::wallMilliseconds());
  Core.emplace(Self, Options.Seeds, Random());
  perform(Core->start(steadyNow()));
  buildView();
  asio::co_spawn(Io, registerInStore(), asio::detached);
  asio::co_spawn(Io, findContacts(), asio::detached);
  asio::co_spawn(Io, watchStore(), asio::detached);
}

void Runtime::announce(MemberState State, std::vector<std::string> Residual) {
  if (Core && !Stopped)
    perform(Core->announce(State, std::move(Residual), steadyNow()));
}

awaitable<void> Runtime::leave() {
  const auto Alive = shared_from_this();
  if (!Core || Stopped)
    co_return;
  announce(MemberState::Dead, {});
  const auto Limit = steadyNow() + LeaveLimit;
  while (!Stopped && Core->hasUnsentChanges() && steadyNow() < Limit)
    co_await pauseFor(std::chrono::milliseconds(10));
  for (int Attempt = 0; Attempt < RemoveAttempts && StoreVersion != 0 && !Stopped; ++Attempt) {
    const auto Removed = co_await Store.removeMember(Options.Self.Id, StoreVersion);
    // A conflict means that a later life of this member has registered itself.
    if (Removed || Removed.Failure.Code == ResultCode::StoreConflict)
      co_return;
    co_await pauseFor(jittered(MinStorePause, Random));
  }
}

void Runtime::stop() {
  Stopped = true;
  GossipTimer.cancel();
  BuildTimer.cancel();
  if (Control)
    Control->close();
  if (Admin)
    Admin->close();
}

void Runtime::receiveControl(std::span<const std::uint8_t> Bytes, Endpoint From) {
  if (Stopped || !Core)
    return;
  ReceivedDatagrams.Increment();
  ReceivedBytes.Increment(static_cast<double>(Bytes.size()));
  if (Bytes.size() > membership::MaxDatagramBytes)
    return reject({ResultCode::MessageTooLong, std::to_string(Bytes.size()) + " bytes"}, From);
  try {
    dispatchControl(json::from_cbor(Bytes.begin(), Bytes.end()), From);
  } catch (const json::exception &Problem) {
    reject({ResultCode::MessageMalformed, Problem.what()}, From);
  }
}

void Runtime::dispatchControl(const json &Message, Endpoint From) {
  const auto Type = Message.at("t").get<std::string>();
  if (isGossip(Type))
    return perform(Core->onMessage(Message, From, steadyNow()));
  const auto Found = Handlers.find(Type);
  if (Found == Handlers.end())
    return reject({ResultCode::MessageMalformed, "unknown message type"}, From);
  Found->second(Message, From);
}

void Runtime::reject(const Error &Reason, Endpoint From) {
  const std::string Code(name(Reason.Code));
  Metrics
      .counter("control_rejected_total", "Control messages and records dropped", {{"reason", Code}})
      .Increment();
  if (RejectLog.allow(steadyNow()))
    log(LogLevel::Warning, "control_rejected",
        {{"reason", Code}, {"detail", Reason.Detail}, {"peer", common::toString(From)}});
}

void Runtime::perform(const membership::GossipActions &Actions) {
  for (const auto &Action : Actions)
    std::visit([this](const auto &Each) { performOne(Each); }, Action);
  armGossipTimer();
}

void Runtime::performOne(const membership::SendDatagram &Action) {
  SentDatagrams.Increment();
  SentBytes.Increment(static_cast<double>(Action.Bytes.size()));
  Control->send(Action.Bytes, Action.To);
}

void Runtime::performOne(const membership::ViewChanged &) { scheduleBuild(); }

void Runtime::performOne(const membership::FetchMembers &Action) {
  asio::co_spawn(Io, fetchMembers(Action.Admin), asio::detached);
}

void Runtime::performOne(const membership::FetchConfiguration &Action) {
  if (!Wanted || Action.Revision > Wanted->Revision)
    Wanted = Action;
  if (!std::exchange(Fetching, true))
    asio::co_spawn(Io, fetchConfiguration(), asio::detached);
}

void Runtime::performOne(const membership::RejectInput &Action) { reject(Action.Reason, {}); }

void Runtime::armGossipTimer() {
  if (Stopped)
    return;
  const auto Next = Core->nextTimer();
  if (Next == GossipAt)
    return;
  GossipAt = Next;
  GossipTimer.expires_at(std::chrono::steady_clock::time_point(Next.time_since_epoch()));
  GossipTimer.async_wait([Alive = shared_from_this()](boost::system::error_code Failure) {
    if (Failure || Alive->Stopped)
      return;
    Alive->GossipAt = {};
    Alive->perform(Alive->Core->onTimer(steadyNow()));
  });
}

void Runtime::scheduleBuild() {
  if (Stopped || std::exchange(BuildPending, true))
    return;
  BuildTimer.expires_after(BuildPause);
  BuildTimer.async_wait([Alive = shared_from_this()](boost::system::error_code Failure) {
    if (!Failure && !Alive->Stopped)
      Alive->buildView();
  });
}

void Runtime::buildView() {
  BuildPending = false;
  const auto Begin = steadyNow();
  const auto Document = Tracker.current();
  View = std::make_shared<routing::RoutingView>(
      *View, Document ? *Document : config::Configuration{}, Core->members());
  BuildPause = std::max(MinBuildPause, BuildPauseFactor * (steadyNow() - Begin));
  MemberGauge.Set(static_cast<double>(Core->liveCount()));
  RevisionGauge.Set(static_cast<double>(Tracker.revision()));
  for (const auto &Observer : Observers)
    Observer();
}

void Runtime::offer(config::Configuration Offered, const char *Source) {
  const config::Revision Number = Offered.Number;
  const auto Taken = Tracker.offer(std::move(Offered));
  if (Taken == config::Acceptance::Refused) {
    Refusals.Increment();
    log(LogLevel::Warning, "configuration_refused",
        {{"offered", Number}, {"revision", Tracker.revision()}, {"source", Source}});
  }
  if (Taken != config::Acceptance::Accepted)
    return;
  log(LogLevel::Info, "configuration_accepted", {{"revision", Number}, {"source", Source}});
  scheduleBuild();
  perform(Core->setRevision(Number, steadyNow()));
}

awaitable<void> Runtime::registerInStore() {
  const auto Alive = shared_from_this();
  CallPause Pause(MinStorePause, MaxStorePause, Random);
  while (!Stopped) {
    const auto Written = co_await Store.registerMember(Core->self());
    if (Written) {
      StoreVersion = *Written;
      co_return co_await readContacts();
    }
    log(LogLevel::Warning, "store_registration_failed",
        {{"reason", name(Written.Failure.Code)}, {"detail", Written.Failure.Detail}});
    co_await pauseFor(Pause.take());
  }
}

// Of two nodes that start at the same time, the one that registers later reads the other's record.
// Without this read, nodes that had joined each other before could form two groups.
awaitable<void> Runtime::readContacts() {
  CallPause Pause(MinStorePause, MaxStorePause, Random);
  while (!Stopped) {
    const auto Found = co_await Store.contacts();
    if (Found) {
      Core->addContacts(*Found);
      co_return;
    }
    co_await pauseFor(Pause.take());
  }
}

awaitable<void> Runtime::findContacts() {
  const auto Alive = shared_from_this();
  if (!Options.Seeds.empty())
    co_await pauseFor(SeedPatience);
  CallPause Pause(MinStorePause, MaxStorePause, Random);
  while (!Stopped && !Core->joined()) {
    const auto Found = co_await Store.contacts();
    if (Found)
      Core->addContacts(*Found);
    co_await pauseFor(Pause.take());
  }
}

bool Runtime::watchesStore() const {
  const auto Chosen = membership::storeWatchers(View->members(), self().Zone);
  return std::find(Chosen.begin(), Chosen.end(), self().Id) != Chosen.end();
}

awaitable<void> Runtime::watchStore() {
  const auto Alive = shared_from_this();
  // Before it has joined, a node knows only itself and would take itself for a watcher.
  const auto JoinLimit = steadyNow() + (Options.Seeds.empty() ? Duration::zero() : SeedPatience);
  while (!Stopped && !Core->joined() && steadyNow() < JoinLimit)
    co_await pauseFor(std::chrono::milliseconds(20));
  std::uint64_t Version = 0;
  CallPause Pause(MinStorePause, MaxStorePause, Random);
  while (!Stopped) {
    if (!watchesStore()) {
      co_await pauseFor(jittered(WatchRoleInterval, Random));
      continue;
    }
    const auto Found = co_await Store.watchConfiguration(Version);
    if (Stopped)
      co_return;
    if (!Found && Found.Failure.Code == ResultCode::NotInForce) {
      Pause.reset();
      continue;
    }
    if (!Found) {
      // The first configuration must be in force within 4 s, so an absent key isn't backed off
      // from.
      const bool Absent = Found.Failure.Code == ResultCode::StoreKeyNotFound;
      if (Absent) {
        Version = 0;
        Pause.restartFrom(MaxAbsentPause);
      }
      co_await pauseFor(Pause.take());
      continue;
    }
    Pause.reset();
    Version = Found->Version;
    const json Document = json::parse(Found->Value, nullptr, false);
    auto Parsed = common::capture([&] { return config::configurationFromJson(Document); });
    if (Parsed)
      offer(std::move(*Parsed), "store");
    else
      log(LogLevel::Error, "configuration_malformed", {{"detail", Parsed.Failure.Detail}});
  }
}

awaitable<void> Runtime::fetchMembers(Endpoint Admin) {
  const auto Alive = shared_from_this();
  const auto Answer = co_await common::httpCall(Admin, "GET", "/v1/members", "", PeerCallTimeout);
  if (Stopped || !Answer || Answer->Status != 200)
    co_return;
  const auto List = membersOf(Answer->Body);
  if (List)
    perform(Core->onMembers(*List, steadyNow()));
  else
    reject(List.Failure, Admin);
}

awaitable<Outcome<config::Configuration>> Runtime::askConfiguration(Endpoint Admin,
                                                                    config::Revision After) {
  const std::string Query = After > 0 ? "?after=" + std::to_string(After) : std::string();
  const auto Answer =
      co_await common::httpCall(Admin, "GET", "/v1/config" + Query, "", PeerCallTimeout);
  if (!Answer)
    co_return Outcome<config::Configuration>{std::nullopt, Answer.Failure};
  if (Answer->Status != 200)
    co_return Outcome<config::Configuration>{
        std::nullopt, {ResultCode::PeerUnreachable, "status " + std::to_string(Answer->Status)}};
  const json Document = json::parse(Answer->Body, nullptr, false);
  const auto Held = Tracker.current();
  co_return common::capture(
      [&] { return readConfiguration(Held ? *Held : config::Configuration{}, Document); });
}

awaitable<void> Runtime::fetchConfiguration() {
  const auto Alive = shared_from_this();
  while (!Stopped && Wanted && Wanted->Revision > Tracker.revision()) {
    const Endpoint Admin = std::exchange(Wanted, std::nullopt)->Admin;
    auto Found = co_await askConfiguration(Admin, Tracker.revision());
    if (!Stopped && !Found && Found.Failure.Code == ResultCode::RevisionUnknown)
      Found = co_await askConfiguration(Admin, 0);
    if (Stopped)
      break;
    if (Found)
      offer(std::move(*Found), "peer");
    else if (RejectLog.allow(steadyNow()))
      log(LogLevel::Warning, "configuration_fetch_failed",
          {{"peer", common::toString(Admin)}, {"detail", Found.Failure.Detail}});
  }
  Wanted.reset();
  Fetching = false;
}

} // namespace galenarelay::node::impl
