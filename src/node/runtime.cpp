#include "galenarelay/node/impl/runtime.h"

#include "galenarelay/common/hash.h"
#include "galenarelay/common/json_fields.h"
#include "galenarelay/config/edit_loop.h"
#include "galenarelay/node/impl/call_pause.h"
#include "galenarelay/node/impl/configuration_difference.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <array>
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

bool isGossipType(const std::string &Type) {
  return Type == "ping" || Type == "ack" || Type == "pingreq" || Type == "push";
}

Outcome<std::vector<Member>> parseMembers(const std::string &Body) {
  try {
    return {membership::membersFromJson(
                common::parseJson(Body).at("members"),
                [](const Error &Reason) {
                  log(LogLevel::Warning, "member_unreadable", {{"detail", Reason.Detail}});
                }),
            {}};
  } catch (const json::exception &Problem) {
    return {std::nullopt, {ResultCode::MessageMalformed, Problem.what()}};
  }
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
      RefusedConfigurations(Metrics.counter("configuration_refused_total",
                                            "Configurations refused for their revision")) {}

const Member &Runtime::self() const noexcept {
  return GossipCore ? GossipCore->self() : Options.Self;
}

void Runtime::onControl(const std::string &Type, ControlHandler Handler) {
  ControlHandlers[Type] = std::move(Handler);
}

void Runtime::sendControl(Endpoint To, const json &Message) {
  if (Stopped || !ControlSocket)
    return;
  const auto Bytes = json::to_cbor(Message);
  if (Bytes.size() > membership::MaxDatagramBytes)
    return reject(
        {ResultCode::MessageTooLong, "outgoing control message exceeds the datagram limit"}, To);
  performAction(membership::SendDatagram{To, Bytes});
}

void Runtime::start() {
  Member &Self = Options.Self;
  ControlSocket = std::make_unique<common::UdpSocket>(
      Io, Self.Control,
      [this](std::span<const std::uint8_t> Bytes, Endpoint From) { receiveControl(Bytes, From); });
  addStandardRoutes();
  AdminServer = std::make_unique<common::HttpServer>(
      Io, Self.Admin,
      [Weak = weak_from_this()](common::HttpRequest Request) -> awaitable<common::HttpResponse> {
        const auto Alive = Weak.lock();
        if (!Alive || Alive->Stopped)
          co_return common::HttpResponse{503, R"({"error":"stopping"})"};
        co_return co_await Alive->serve(std::move(Request));
      });
  Self.Control = ControlSocket->local();
  Self.Admin = AdminServer->local();
  // Incarnations start at the wall clock, so that a restarted member with the same ID starts above
  // all incarnations of its earlier run.
  if (Self.Incarnation == 0)
    Self.Incarnation = static_cast<std::uint64_t>(common::wallMilliseconds());
  GossipCore.emplace(Self, Options.Seeds, Random());
  perform(GossipCore->start(steadyNow()));
  buildView();
  Store.onRestored([this] {
    perform(GossipCore->setStoreEra(Store.era(), steadyNow()));
    registerAgain();
  });
  RegistrationRunning = true;
  asio::co_spawn(Io, registerInStore(), asio::detached);
  asio::co_spawn(Io, joinThroughStore(), asio::detached);
  asio::co_spawn(Io, watchStore(), asio::detached);
}

void Runtime::announce(MemberState State, std::vector<std::string> Residual) {
  if (GossipCore && !Stopped)
    perform(GossipCore->announce(State, std::move(Residual), steadyNow()));
}

awaitable<void> Runtime::leave() {
  const auto Alive = shared_from_this();
  if (!GossipCore || Stopped)
    co_return;
  announce(MemberState::Dead, {});
  const auto Deadline = steadyNow() + LeaveAnnouncementTimeout;
  while (!Stopped && GossipCore->hasPushRoundsLeft() && steadyNow() < Deadline)
    co_await sleepFor(std::chrono::milliseconds(10));
  for (int Attempt = 0; Attempt < MaxRemoveAttempts && RecordVersion.Number != 0 && !Stopped;
       ++Attempt) {
    const auto Removed = co_await Store.removeMember(Options.Self.Id, RecordVersion);
    if (Removed)
      co_return;
    if (Removed.Failure.Code == ResultCode::StoreConflict) {
      // In the same era, a restarted member with this ID has replaced the record.
      if (RecordVersion.Era == Store.era())
        co_return;
      if (const auto Again = co_await Store.registerMember(self()))
        RecordVersion = *Again;
      continue;
    }
    co_await sleepFor(jittered(MinStoreBackoff, Random));
  }
}

void Runtime::stop() {
  Stopped = true;
  GossipTimer.cancel();
  BuildTimer.cancel();
  if (ControlSocket)
    ControlSocket->close();
  if (AdminServer)
    AdminServer->close();
}

void Runtime::receiveControl(std::span<const std::uint8_t> Bytes, Endpoint From) {
  if (Stopped || !GossipCore)
    return;
  ReceivedDatagrams.Increment();
  ReceivedBytes.Increment(static_cast<double>(Bytes.size()));
  if (Bytes.size() > membership::MaxDatagramBytes)
    return reject({ResultCode::MessageTooLong,
                   std::to_string(Bytes.size()) + " bytes exceed the datagram limit"},
                  From);
  try {
    dispatchControl(json::from_cbor(Bytes.begin(), Bytes.end()), From);
  } catch (const json::exception &Problem) {
    reject({ResultCode::MessageMalformed, Problem.what()}, From);
  }
}

void Runtime::dispatchControl(const json &Message, Endpoint From) {
  const auto Type = Message.at("t").get<std::string>();
  if (isGossipType(Type))
    return perform(GossipCore->onMessage(Message, From, steadyNow()));
  const auto Entry = ControlHandlers.find(Type);
  if (Entry == ControlHandlers.end())
    return reject({ResultCode::MessageMalformed, "unknown message type"}, From);
  Entry->second(Message, From);
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
    std::visit([this](const auto &ConcreteAction) { performAction(ConcreteAction); }, Action);
  armGossipTimer();
}

void Runtime::performAction(const membership::SendDatagram &Action) {
  SentDatagrams.Increment();
  SentBytes.Increment(static_cast<double>(Action.Bytes.size()));
  ControlSocket->send(Action.Bytes, Action.To);
}

void Runtime::performAction(const membership::NotifyViewChanged &) { scheduleViewBuild(); }

void Runtime::performAction(const membership::FetchMembers &Action) {
  asio::co_spawn(Io, fetchMembers(Action.Admin), asio::detached);
}

void Runtime::performAction(const membership::FetchConfiguration &Action) {
  if (!PendingFetch || Action.Revision > PendingFetch->Revision)
    PendingFetch = Action;
  if (!std::exchange(FetchRunning, true))
    asio::co_spawn(Io, fetchConfiguration(), asio::detached);
}

void Runtime::performAction(const membership::CheckStore &Action) {
  if (Action.Era > HeardStoreEra && Action.Era > Store.era()) {
    HeardStoreEra = Action.Era;
    registerAgain();
  }
}

void Runtime::performAction(const membership::ReadStore &) {
  asio::co_spawn(Io, readStore(), asio::detached);
}

void Runtime::performAction(const membership::RejectInput &Action) { reject(Action.Reason, {}); }

void Runtime::armGossipTimer() {
  if (Stopped)
    return;
  const auto NextExpiry = GossipCore->nextTimer();
  if (NextExpiry == GossipTimerExpiry)
    return;
  GossipTimerExpiry = NextExpiry;
  GossipTimer.expires_at(std::chrono::steady_clock::time_point(NextExpiry.time_since_epoch()));
  GossipTimer.async_wait([Alive = shared_from_this()](boost::system::error_code Failure) {
    if (Failure || Alive->Stopped)
      return;
    Alive->GossipTimerExpiry = {};
    Alive->perform(Alive->GossipCore->onTimer(steadyNow()));
  });
}

void Runtime::scheduleViewBuild() {
  if (Stopped || std::exchange(ViewBuildPending, true))
    return;
  BuildTimer.expires_after(BuildPause);
  BuildTimer.async_wait([Alive = shared_from_this()](boost::system::error_code Failure) {
    if (!Failure && !Alive->Stopped)
      Alive->buildView();
  });
}

void Runtime::buildView() {
  ViewBuildPending = false;
  const auto BuildStart = steadyNow();
  const auto Document = Tracker.current();
  View = std::make_shared<routing::RoutingView>(
      *View, Document ? *Document : config::Configuration{}, GossipCore->members());
  BuildPause = std::max(MinBuildPause, BuildPauseFactor * (steadyNow() - BuildStart));
  MemberGauge.Set(static_cast<double>(GossipCore->liveCount()));
  RevisionGauge.Set(static_cast<double>(Tracker.revision()));
  for (const auto &Observer : ViewObservers)
    Observer();
}

void Runtime::offerConfiguration(config::Configuration Offered, const char *Source) {
  const config::Revision OfferedRevision = Offered.RevisionNumber;
  const auto Decision = Tracker.offer(std::move(Offered));
  if (Decision == config::Acceptance::Refused) {
    RefusedConfigurations.Increment();
    log(LogLevel::Warning, "configuration_refused",
        {{"offered", OfferedRevision}, {"revision", Tracker.revision()}, {"source", Source}});
  }
  if (Decision != config::Acceptance::Accepted)
    return;
  log(LogLevel::Info, "configuration_accepted",
      {{"revision", OfferedRevision}, {"source", Source}});
  if (ConfigurationEra == 0)
    ConfigurationEra = Store.era();
  scheduleViewBuild();
  perform(GossipCore->setRevision(OfferedRevision, steadyNow()));
}

awaitable<void> Runtime::registerInStore() {
  const auto Alive = shared_from_this();
  Backoff Backoff(MinStoreBackoff, MaxStoreBackoff, Random);
  while (!Stopped) {
    const auto Version = co_await Store.registerMember(GossipCore->self());
    if (Version) {
      RecordVersion = *Version;
      RegistrationRunning = false;
      if (std::exchange(RegistrationDoubted, false))
        registerAgain();
      perform(GossipCore->setStoreEra(Store.era(), steadyNow()));
      co_return co_await addStoreContacts();
    }
    log(LogLevel::Warning, "store_registration_failed",
        {{"reason", name(Version.Failure.Code)}, {"detail", Version.Failure.Detail}});
    co_await sleepFor(Backoff.nextDelay());
  }
}

/// The store has been restored, so that this member's record may be missing or have another
/// version.
void Runtime::registerAgain() {
  if (std::exchange(RegistrationRunning, true))
    RegistrationDoubted = true;
  else
    asio::co_spawn(Io, registerAfterPause(), asio::detached);
}

// All nodes register at that time, so that each waits for a random time.
awaitable<void> Runtime::registerAfterPause() {
  const auto Alive = shared_from_this();
  co_await sleepFor(jittered(MinStoreBackoff, Random));
  // A member that has left has removed its record.
  if (!Stopped && self().State != MemberState::Dead)
    co_await registerInStore();
}

/// Takes what the store has for the configuration key. If the store has been restored since the
/// configuration in force was accepted, first writes back the edits that it has lost: an accepted
/// edit is not taken back. Returns false if the store has to be read again.
awaitable<bool> Runtime::takeFromStore(config::StoreVersion Version, config::Configuration Stored) {
  const auto InForce = Tracker.current();
  if (InForce && ConfigurationEra != 0 && ConfigurationEra != Version.Era) {
    auto Edited = common::capture(
        [&] { return config::reapplyLostEdits(Stored, *InForce, announcedUpstreams()); });
    if (!Edited) {
      log(LogLevel::Error, "lost_edits_not_reapplied", {{"detail", Edited.Failure.Detail}});
    } else if (Edited->Next != Stored) {
      const auto Written = co_await writeBack(Version, *Edited);
      log(Written ? LogLevel::Info : LogLevel::Warning, "configuration_written_back",
          {{"revision", Edited->Next.RevisionNumber},
           {"stored", Stored.RevisionNumber},
           {"era", Version.Era},
           {"result", name(Written ? ResultCode::Ok : Written.Failure.Code)}});
      if (!Written)
        co_return false;
      Stored = std::move(Edited->Next);
    }
  }
  if (Stored.RevisionNumber != 0) {
    ConfigurationEra = Version.Era;
    offerConfiguration(std::move(Stored), "store");
  }
  co_return true;
}

awaitable<Outcome<config::StoreVersion>> Runtime::writeBack(config::StoreVersion Expected,
                                                            const config::EditedDocument &Edited) {
  for (const auto &Entry : Edited.EntriesToArchive) {
    const std::array Keys{config::editIdKey(Entry.EditId),
                          config::auditKey(Entry.AcceptedRevision)};
    for (const std::string &Key : Keys) {
      auto Archived = co_await Store.write(Key, {}, config::toJson(Entry).dump());
      // Each key is written only once, so that a conflict means that it has been.
      if (!Archived && Archived.Failure.Code != ResultCode::StoreConflict)
        co_return Archived;
    }
  }
  co_return co_await Store.write(config::ConfigurationKey, Expected,
                                 config::toJson(Edited.Next).dump());
}

std::vector<config::AnnouncedUpstream> Runtime::announcedUpstreams() const {
  std::vector<config::AnnouncedUpstream> Announced;
  for (const Member &Each : View->members())
    if (Each.Kind == membership::MemberKind::Agent)
      Announced.push_back({Each.Id, Each.Zone});
  return Announced;
}

// Adds all registered members as gossip contacts; runs once this node's own record is
// written. Of two nodes that start at the same time, the one that registers later therefore reads
// the other's record. Without this read, nodes that had already joined others could form two
// separate groups.
awaitable<void> Runtime::addStoreContacts() {
  Backoff Backoff(MinStoreBackoff, MaxStoreBackoff, Random);
  while (!Stopped) {
    const auto Contacts = co_await Store.registeredContacts();
    if (Contacts) {
      GossipCore->addContacts(*Contacts);
      co_return;
    }
    co_await sleepFor(Backoff.nextDelay());
  }
}

awaitable<void> Runtime::joinThroughStore() {
  const auto Alive = shared_from_this();
  if (!Options.Seeds.empty())
    co_await sleepFor(SeedJoinTimeout);
  Backoff Backoff(MinStoreBackoff, MaxStoreBackoff, Random);
  while (!Stopped && !GossipCore->joined()) {
    const auto Contacts = co_await Store.registeredContacts();
    if (Contacts)
      GossipCore->addContacts(*Contacts);
    co_await sleepFor(Backoff.nextDelay());
  }
}

bool Runtime::watchesStore() const {
  const auto Watchers = membership::storeWatchers(View->members(), self().Zone);
  return std::find(Watchers.begin(), Watchers.end(), self().Id) != Watchers.end();
}

awaitable<void> Runtime::watchStore() {
  const auto Alive = shared_from_this();
  // The node waits until it has joined: before that it knows only itself and would select itself as
  // a watcher.
  const auto JoinDeadline =
      steadyNow() + (Options.Seeds.empty() ? Duration::zero() : SeedJoinTimeout);
  while (!Stopped && !GossipCore->joined() && steadyNow() < JoinDeadline)
    co_await sleepFor(std::chrono::milliseconds(20));
  std::optional<config::StoreVersion> Known;
  bool AfterFailure = false;
  Backoff Backoff(MinStoreBackoff, MaxStoreBackoff, Random);
  while (!Stopped) {
    if (!watchesStore()) {
      Known.reset();
      co_await sleepFor(jittered(WatchRoleCheckInterval, Random));
      continue;
    }
    // After a failure the store may have been restored. Without a wait, the answer tells at once.
    const auto Wait = AfterFailure ? std::chrono::milliseconds(0) : NodeStoreClient::MaxWatchWait;
    const auto Code = co_await readConfiguration(Known, Wait);
    AfterFailure = Code != ResultCode::Ok;
    if (!AfterFailure) {
      Backoff.reset();
      continue;
    }
    // The first configuration must be in force within 4 s, so a missing key restarts the backoff
    // from a short pause.
    if (Code == ResultCode::StoreKeyNotFound)
      Backoff.setNextBase(MissingKeyPause);
    co_await sleepFor(Backoff.nextDelay());
  }
}

/// Waits for a version of the configuration after Known for up to Wait, and puts it into force.
/// Known is then its version, or empty if the next call has to read the value whatever its version.
/// Errors: those of NodeStoreClient::watchConfiguration but NotInForce; StoreConflict if edits that
/// a restore has lost couldn't be written back.
awaitable<ResultCode> Runtime::readConfiguration(std::optional<config::StoreVersion> &Known,
                                                 std::chrono::milliseconds Wait) {
  const auto SentAt = steadyNow();
  const auto Entry = co_await Store.watchConfiguration(Known, Wait);
  if (Stopped)
    co_return ResultCode::Ok;
  if (!Entry && Entry.Failure.Code == ResultCode::NotInForce) {
    bool Taken = true;
    if (!Known) {
      // Without a known version, the store has none.
      const config::StoreVersion Missing{Store.era(), 0};
      config::Configuration Empty;
      Taken = co_await takeFromStore(Missing, std::move(Empty));
    }
    if (Taken)
      noteStoreRead(std::min(SentAt + Wait, steadyNow()));
    co_return Taken ? ResultCode::Ok : ResultCode::StoreConflict;
  }
  if (!Entry) {
    const auto Code = Entry.Failure.Code;
    if (Code == ResultCode::StoreKeyNotFound || Code == ResultCode::StoreEraEnded ||
        Code == ResultCode::StoreHistoryGone)
      Known.reset();
    if (Code == ResultCode::StoreKeyNotFound)
      noteStoreRead(SentAt);
    co_return Code;
  }
  Known = Entry->Version;
  const json Document = common::parseJsonOrDiscard(Entry->Value);
  auto Parsed = common::capture([&] { return config::configurationFromJson(Document); });
  if (!Parsed) {
    log(LogLevel::Error, "configuration_malformed", {{"detail", Parsed.Failure.Detail}});
    noteStoreRead(SentAt);
    co_return ResultCode::Ok;
  }
  const bool Taken = co_await takeFromStore(Entry->Version, std::move(*Parsed));
  if (!Taken) {
    Known.reset();
    co_return ResultCode::StoreConflict;
  }
  noteStoreRead(SentAt);
  co_return ResultCode::Ok;
}

void Runtime::noteStoreRead(common::TimePoint AsOf) {
  if (!Stopped)
    perform(GossipCore->noteStoreRead(AsOf, steadyNow()));
}

/// Reads the configuration because no member is known to have read it lately. The store may turn
/// away those that watch it, or have lost their connections without a sign.
awaitable<void> Runtime::readStore() {
  const auto Alive = shared_from_this();
  constexpr std::chrono::milliseconds NoWait(0);
  auto Known = LastRead;
  auto Code = co_await readConfiguration(Known, NoWait);
  if (!Stopped && (Code == ResultCode::StoreEraEnded || Code == ResultCode::StoreHistoryGone))
    Code = co_await readConfiguration(Known, NoWait);
  LastRead = Known;
  if (Stopped || Code == ResultCode::Ok || Code == ResultCode::StoreKeyNotFound)
    co_return;
  GossipCore->noteStoreReadFailed(steadyNow());
  armGossipTimer();
}

awaitable<void> Runtime::fetchMembers(Endpoint Admin) {
  const auto Alive = shared_from_this();
  const auto Response = co_await common::httpCall(Admin, "GET", "/v1/members", "", PeerCallTimeout);
  if (Stopped || !Response || Response->Status != 200)
    co_return;
  const auto Members = parseMembers(Response->Body);
  if (Members)
    perform(GossipCore->onMembers(*Members, steadyNow()));
  else
    reject(Members.Failure, Admin);
}

awaitable<Outcome<config::Configuration>> Runtime::requestConfiguration(Endpoint Admin,
                                                                        config::Revision After) {
  const std::string Query = After > 0 ? "?after=" + std::to_string(After) : std::string();
  const auto Response =
      co_await common::httpCall(Admin, "GET", "/v1/config" + Query, "", PeerCallTimeout);
  if (!Response)
    co_return Outcome<config::Configuration>{std::nullopt, Response.Failure};
  if (Response->Status != 200)
    co_return Outcome<config::Configuration>{
        std::nullopt,
        {ResultCode::PeerUnreachable,
         "the peer answered with status " + std::to_string(Response->Status)}};
  const json Document = common::parseJsonOrDiscard(Response->Body);
  const auto Current = Tracker.current();
  co_return common::capture([&] {
    return configurationFromResponse(Current ? *Current : config::Configuration{}, Document);
  });
}

awaitable<void> Runtime::fetchConfiguration() {
  const auto Alive = shared_from_this();
  while (!Stopped && PendingFetch && PendingFetch->Revision > Tracker.revision()) {
    const Endpoint Admin = std::exchange(PendingFetch, std::nullopt)->Admin;
    auto Received = co_await requestConfiguration(Admin, Tracker.revision());
    if (!Stopped && !Received && Received.Failure.Code == ResultCode::RevisionUnknown)
      Received = co_await requestConfiguration(Admin, 0);
    if (Stopped)
      break;
    if (Received)
      offerConfiguration(std::move(*Received), "peer");
    else if (RejectLog.allow(steadyNow()))
      log(LogLevel::Warning, "configuration_fetch_failed",
          {{"peer", common::toString(Admin)}, {"detail", Received.Failure.Detail}});
  }
  PendingFetch.reset();
  FetchRunning = false;
}

} // namespace galenarelay::node::impl
