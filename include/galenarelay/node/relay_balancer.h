#ifndef GALENARELAY_NODE_RELAY_BALANCER_H
#define GALENARELAY_NODE_RELAY_BALANCER_H

#include "galenarelay/common/hash_mix.h"
#include "galenarelay/membership/store_freshness.h"
#include "galenarelay/node/impl/relay_node.h"
#include "galenarelay/relay/flow_steering.h"
#include "galenarelay/relay/holder_survey.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace galenarelay::node {

/// Interval of periodic beacons: each goes to one other balancer and one agent, in rotation.
inline constexpr common::Duration BeaconInterval = std::chrono::milliseconds(100);
static_assert(std::chrono::duration<double>(BeaconInterval).count() * relay::BeaconsPerSecond == 1);
/// Interval of beacons to all contacts while no other balancer is live.
inline constexpr common::Duration DiscoveryBeaconInterval = std::chrono::milliseconds(300);
/// Gossip fanout for a new configuration: each balancer that accepts it notifies this many others.
/// 98% have it after log(n) rounds (Demers et al. 1987); the rest learn of it from beacons.
inline constexpr std::size_t GossipFanout = 4;
/// Maximum number of balancers without a configuration that are notified of a new one at once.
inline constexpr std::size_t MaxUnconfiguredRecipients = 100;
/// Maximum number of agents that a balancer notifies at once of an evacuation or its end, in the
/// zones concerned. The other balancers notify theirs, and the rest learn of it from beacons; the
/// balancers themselves place no flows there from the moment on at which they know.
inline constexpr std::size_t MaxEvacuationRecipients = 200;
/// Number of balancers named in a beacon. A new balancer whose beacon names fewer knows no more
/// than these, and is sent complete lists.
inline constexpr std::size_t BeaconSampleSize = 8;
/// Interval at which a balancer that doesn't watch the store checks whether it should now.
inline constexpr common::Duration WatcherCheckInterval = std::chrono::milliseconds(500);
/// When a balancer reads the operator's keys itself because no balancer is known to have read them
/// lately. With the read and gossip, a change is in force within 3 s wherever the store answers.
inline constexpr membership::FreshnessBounds StoreReadBounds{
    std::chrono::milliseconds(1200), std::chrono::milliseconds(2400), std::chrono::seconds(2)};
/// Configuration changes within this time are coalesced into one read of the store.
inline constexpr common::Duration WatchCoalescingTime = std::chrono::milliseconds(100);
/// A balancer that watches the store fetches a newer configuration from a peer if the store has not
/// delivered it within this time.
inline constexpr common::Duration PeerFetchDelay = std::chrono::milliseconds(150);
inline constexpr common::Duration PeerFetchTimeout = std::chrono::milliseconds(1000);
/// Minimum time for which a draining balancer forwards packets: routers stop sending to it only
/// after two failed readiness checks, half a second apart.
inline constexpr common::Duration MinDrainTime = std::chrono::milliseconds(1300);
/// After MinDrainTime, draining ends once no packet has arrived for DrainQuietTime and none is
/// queued, and in any case after MaxDrainTime, which is below the termination grace period.
inline constexpr common::Duration DrainQuietTime = std::chrono::milliseconds(400);
inline constexpr common::Duration MaxDrainTime = std::chrono::milliseconds(4500);

/// A balancer of relayed flows: connects the steering logic to sockets, timers and the store.
template <RelayPlatform Platform> class RelayBalancer : impl::RelayNode<Platform> {
  using Base = impl::RelayNode<Platform>;
  template <typename T> using Awaitable = typename Base::template Awaitable<T>;

public:
  RelayBalancer(boost::asio::io_context &Io, RelayOptions Settings, common::Metrics &Metrics)
      : Base(Io, std::move(Settings), Metrics, impl::BalancerRecordPrefix),
        Directory(Options.Zone, Random(), Options.EnabledMechanisms),
        Steering(Options.Packets.Address, Directory, StartedAt, Options.EnabledMechanisms),
        Freshness(StoreReadBounds, common::mixHash(Random(), Options.Packets.Address), StartedAt),
        StoreReader(Store, Platform::Store::operatorPrefix()),
        IgnoredEvacuations(Metrics.counter("evacuation_keys_ignored_total",
                                           "Evacuation requests that name no zone")),
        RevisionGauge(Metrics.gauge("configuration_revision", "Configuration in force")),
        StoreReadAgeGauge(Metrics.gauge(
            "store_read_age_seconds",
            "Time since all that the store held was known here, by own reads or those of others")),
        AgentGauge(Metrics.gauge("agents", "Agents known")),
        UnsteadyGauge(Metrics.gauge("unsteady_upstreams",
                                    "Upstreams that are spared for their faults or tried again")),
        ExemptGauge(Metrics.gauge("exempt_upstreams",
                                  "Unsteady upstreams that get flows for lack of others")),
        OpeningSeconds(Metrics.histogram(
            "flow_opening_seconds", "Time from a flow's first packet to its acceptance",
            {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1})) {
    for (std::size_t I = 0; I < relay::SteeringReasonCount; ++I)
      PacketCounters[I] = &Metrics.counter(
          "packets_total", "Packets from callers by decision",
          {{"decision", std::string(name(static_cast<relay::SteeringReason>(I)))}});
  }

  void start() {
    PacketSocket = std::make_unique<common::UdpSocket>(
        Io, Options.Packets,
        [this](std::span<std::uint8_t> Raw, common::Endpoint) { onCallerPacket(Raw); });
    this->listen([this](std::span<std::uint8_t> Raw,
                        common::Endpoint From) { onPeerDatagram(Raw, From.Address); },
                 [this](common::HttpRequest Request) { return serve(std::move(Request)); });
    this->onStoreRestored([this] { gossipNews(common::suspendAwareNow()); });
    this->logStart();
    spawn(followConfiguration());
    spawn(lookUpNodes());
    this->startTimer(
        [this](common::TimePoint Now, common::Duration PausedFor) { onTick(Now, PausedFor); });
  }

  /// Drains the balancer: fails readiness checks, announces the departure to all nodes, and
  /// forwards packets until the routers have stopped sending (see MinDrainTime, DrainQuietTime,
  /// MaxDrainTime).
  Awaitable<void> drain() {
    Draining = true;
    const auto DrainStart = common::suspendAwareNow();
    common::log(common::LogLevel::Info, "stopping", {{"flows", Steering.flows()}});
    announce(DrainStart);
    spawn(Record.remove());
    while (true) {
      co_await impl::sleepFor(impl::RelayTickInterval);
      const auto Now = common::suspendAwareNow();
      const bool Quiet = Now - LastPacketAt >= DrainQuietTime && Now - DrainStart >= MinDrainTime &&
                         !Steering.hasWaitingPackets();
      if (Quiet || Now - DrainStart >= MaxDrainTime)
        break;
    }
    perform(Steering.refuseWaiting(), {}, common::suspendAwareNow());
    common::log(common::LogLevel::Info, "stopped",
                {{"drain_ms", common::wholeMilliseconds(common::suspendAwareNow() - DrainStart)}});
  }

  void reload(const RelayOptions &NewOptions) { this->addSeeds(NewOptions); }

private:
  using Base::FlowGauge;
  using Base::Incarnation;
  using Base::Io;
  using Base::MalformedPackets;
  using Base::mayLogFlow;
  using Base::mayLogReset;
  using Base::Options;
  using Base::PacketSocket;
  using Base::Peers;
  using Base::Random;
  using Base::Record;
  using Base::sendTo;
  using Base::sendToAll;
  using Base::spawn;
  using Base::StartedAt;
  using Base::Store;
  using Base::Zones;

  // --- packets

  void onCallerPacket(std::span<std::uint8_t> Raw) {
    const auto Now = common::suspendAwareNow();
    LastPacketAt = Now;
    const auto Head = Platform::Packets::decode(Raw, relay::Side::Caller);
    if (!Head)
      return MalformedPackets.Increment();
    perform(Steering.onPacket(*Head, Raw, Now), Raw, Now);
    sendFlowQueries(Now);
  }

  void sendFlowQueries(common::TimePoint Now) {
    relay::SteeringActions Actions;
    const auto Queries = Steering.takeFlowQueries(Now, Actions);
    std::size_t Rows = 0;
    for (const auto &Query : Queries) {
      Rows += Query.Message.Rows.size();
      sendTo(Query.Agent, Query.Message);
    }
    if (!Queries.empty() && mayLogFlow(Now))
      common::log(common::LogLevel::Info, "flows_searched",
                  {{"messages", Queries.size()},
                   {"rows", Rows},
                   {"searches", Steering.searches()},
                   {"agents_known", Directory.size()}});
    perform(Actions, {}, Now);
    surveyHolders(Now);
  }

  /// Asks other balancers for agents that may hold searched flows and aren't known here.
  void surveyHolders(common::TimePoint Now) {
    if (!Steering.needsHolderSurvey() || !Survey.due(Now))
      return;
    if (const auto Round = Survey.begin(Peers.live(Now), Directory.holderDigest(Now), Random, Now))
      sendToAll(Round->Recipients, Round->Query);
  }

  void perform(const relay::SteeringActions &Actions, std::span<std::uint8_t> Raw,
               common::TimePoint Now) {
    for (const auto &Action : Actions) {
      PacketCounters[static_cast<std::size_t>(Action.Reason)]->Increment();
      if (Action.Reason != relay::SteeringReason::Known &&
          Action.Reason != relay::SteeringReason::Asked)
        logDecision(Action, Now);
      switch (Action.Operation) {
      case relay::SteeringAction::Kind::Forward:
        forward(Action, Raw);
        break;
      case relay::SteeringAction::Kind::Reset:
        PacketSocket->send(Platform::Packets::reset(Action.Key, Action.Sequence),
                           {Action.Key.Caller.Address, Options.Packets.Port});
        break;
      case relay::SteeringAction::Kind::QueryLoad:
        sendTo(Action.Agent, relay::LoadQuery{});
        break;
      case relay::SteeringAction::Kind::Drop:
        break;
      }
    }
    exchangeTries(Now);
  }

  /// Sends what is known about callers' tries to the balancers that keep it: the first of the live
  /// ones for the address by rendezvous hashing.
  void exchangeTries(common::TimePoint Now) {
    const auto Messages = Steering.takeTryMessages();
    if (Messages.empty())
      return;
    auto Balancers = Peers.live(Now);
    Balancers.push_back(Options.Packets.Address);
    for (const auto &Message : Messages) {
      const auto Keeper = relay::rankNodes(Message.Key.Caller.Address, Balancers, 1).front();
      if (Keeper != Options.Packets.Address)
        sendTo(Keeper, Message);
      else if (const auto Answer = Steering.onCallerTries(Message, Now))
        (void)Steering.onCallerTries(*Answer, Now);
    }
  }

  void forward(const relay::SteeringAction &Action, std::span<std::uint8_t> Raw) {
    const common::Endpoint To{Action.Agent, Options.Packets.Port};
    if (!Action.SavedPacket) {
      Platform::Packets::writeTransit(Raw, Action.TransitFields);
      return PacketSocket->send(Raw, To);
    }
    auto Copy = *Action.SavedPacket;
    Platform::Packets::clearReturned(Copy);
    Platform::Packets::writeTransit(Copy, Action.TransitFields);
    PacketSocket->send(Copy, To);
  }

  /// Adds what is known about the wait of a flow. A wait that can't be predicted yet is left out.
  static void addWait(const relay::WaitState &Wait, nlohmann::json &Fields) {
    Fields["flows_ahead"] = Wait.Forecast.FlowsAhead;
    Fields["waited_ms"] = common::wholeMilliseconds(Wait.Age);
    Fields["earlier_tries"] = Wait.EarlierTries;
    if (const auto Predicted = Wait.Forecast.leastWait())
      Fields["predicted_wait_ms"] = common::wholeMilliseconds(*Predicted);
  }

  /// Brings the counters of decisions on waiting flows up to date.
  void countWaitingDecisions() {
    for (const auto &[Service, Counts] : Steering.waitingDecisions()) {
      const std::array<std::pair<const char *, std::uint64_t>, 4> Named{
          {{"waited", Counts.Waited},
           {"released", Counts.Released},
           {"refused_at_once", Counts.RefusedAtOnce},
           {"refused_for_retry", Counts.RefusedForRetry}}};
      for (const auto &[Decision, Count] : Named) {
        auto &Counter = this->Metrics.counter("waiting_flows_total",
                                              "Flows that found all upstreams full, by decision",
                                              {{"service", Service}, {"decision", Decision}});
        Counter.Increment(static_cast<double>(Count) - Counter.Value());
      }
    }
  }

  void logDecision(const relay::SteeringAction &Action, common::TimePoint Now) {
    const bool ResetsOpenFlow = Action.Reason == relay::SteeringReason::HeldNowhere;
    if (!(ResetsOpenFlow ? mayLogReset(Now) : mayLogFlow(Now)))
      return;
    nlohmann::json Fields{{"flow", packet::toString(Action.Key)},
                          {"decision", name(Action.Reason)},
                          {"revision", Steering.routes().revision()}};
    if (Action.Reason == relay::SteeringReason::HeldNowhere) {
      Fields["denials"] = Action.SearchProgress.Denials;
      Fields["searched_ms"] = common::wholeMilliseconds(Now - Action.SearchProgress.StartedAt);
      Fields["agents_known"] = Directory.size();
      Fields["uptime_ms"] = common::wholeMilliseconds(Now - StartedAt);
    }
    if (Action.Wait)
      addWait(*Action.Wait, Fields);
    if (const relay::AgentView *View = Directory.find(Action.Agent)) {
      Fields["agent"] = View->Report.Id;
      Fields["attempt"] = Action.Attempt;
      Fields["unanswered"] = View->Load.Unanswered;
      Fields["long_flows"] = View->Load.LongFlows;
      if (View->Load.Capacity != 0)
        Fields["capacity"] = View->Load.Capacity;
      if (View->Load.AnswerTime != 0)
        Fields["answer_ms"] =
            common::wholeMilliseconds(View->Load.AnswerTime * relay::AnswerTimeUnit);
      Fields["load_age_ms"] = common::wholeMilliseconds(Now - View->LoadAt);
    }
    common::log(common::LogLevel::Info, "flow_steered", Fields);
  }

  // --- messages between nodes

  void onPeerDatagram(std::span<const std::uint8_t> Raw, relay::NodeAddress From) {
    const auto Now = common::suspendAwareNow();
    auto Message = relay::decodeMessage(Raw);
    if (!Message)
      return this->rejectMessage(Message.Failure, From, Now);
    std::visit([&](auto &Body) { handle(Body, From, Now); }, *Message);
  }

  void handle(const relay::AgentReport &Report, relay::NodeAddress From, common::TimePoint Now) {
    using Change = relay::UpstreamDirectory::Change;
    const auto *Known = Directory.find(From);
    const bool IsNewProcess = Known == nullptr || Known->Report.Incarnation != Report.Incarnation;
    const auto Effect = Directory.onReport(From, Report, Now);
    // A new process knows nothing of its zone and its service's configuration.
    if (IsNewProcess && Effect != Change::Outdated)
      sendTo(From, makeAgentBeacon(From, Now));
    if (Effect == Change::Appeared || Effect == Change::StateChanged)
      common::log(common::LogLevel::Info, "agent_changed",
                  {{"agent", Report.Id},
                   {"address", common::addressToString(From)},
                   {"service", Report.Service},
                   {"state", name(Report.State)},
                   {"incarnation", Report.Incarnation},
                   {"upstream_incarnation", Report.UpstreamIncarnation},
                   {"report", Report.Sequence}});
    perform(Steering.onLoadReported(Now), {}, Now);
  }

  void handle(const relay::LoadAnswer &Answer, relay::NodeAddress From, common::TimePoint Now) {
    Directory.onAnswer(From, Answer, Now);
    perform(Steering.onLoadReported(Now), {}, Now);
  }

  void handle(const relay::BalancerBeacon &Beacon, relay::NodeAddress From, common::TimePoint Now) {
    const bool IsNew = Peers.onBeacon(From, Beacon, Now);
    if (const auto Unreported = Directory.noteExpectedAgents(Beacon.Agents, Now);
        !Unreported.empty())
      sendToAll(Unreported, makeBeacon(Now));
    if (IsNew) {
      common::log(common::LogLevel::Info, "balancer_appeared",
                  {{"balancer", Beacon.Id},
                   {"address", common::addressToString(From)},
                   {"incarnation", Beacon.Incarnation},
                   {"revision", Beacon.ConfigurationRevision}});
      if (Beacon.Balancers.size() < BeaconSampleSize)
        sendNodeLists(From, Now);
      else
        sendTo(From, makeBeacon(Now));
    }
    this->hearStoreEra(Beacon.Era);
    hearEvacuations(Beacon, From);
    hearStoreRead(Beacon, Now);
    if (Beacon.ConfigurationRevision > Steering.routes().revision() &&
        !std::exchange(FetchingFromPeers, true))
      spawn(fetchConfigurationFromPeers());
  }

  void handle(const relay::FlowNotice &Notice, relay::NodeAddress From, common::TimePoint Now) {
    Directory.onLoad(From, Notice.Load, Now);
    perform(Steering.onFlowNotice(Notice, From, Now), {}, Now);
  }

  void handle(const relay::FlowAnswer &Answer, relay::NodeAddress From, common::TimePoint Now) {
    perform(Steering.onAnswer(Answer, From, Now), {}, Now);
  }

  /// FlowQuery and LoadQuery are for agents only; at a balancer they count as malformed.
  void handle(const relay::FlowQuery &, relay::NodeAddress, common::TimePoint) {
    MalformedPackets.Increment();
  }
  void handle(const relay::LoadQuery &, relay::NodeAddress, common::TimePoint) {
    MalformedPackets.Increment();
  }

  void handle(const relay::LossQuery &Query, relay::NodeAddress From, common::TimePoint Now) {
    if (auto Answer = Directory.onLossQuery(Query, Now); !Answer.Silent.empty())
      sendTo(From, std::move(Answer));
  }

  void handle(const relay::LossAnswer &Answer, relay::NodeAddress From, common::TimePoint) {
    Directory.onLossAnswer(Answer, From);
  }

  void handle(const relay::CallerTries &Message, relay::NodeAddress From, common::TimePoint Now) {
    if (const auto Answer = Steering.onCallerTries(Message, Now))
      sendTo(From, *Answer);
  }

  void handle(const relay::HolderQuery &Query, relay::NodeAddress From, common::TimePoint Now) {
    const bool Settled = Steering.agentsKnown(Now);
    const auto Holders = Query.Digest == Directory.holderDigest(Now)
                             ? std::vector<relay::KnownAgent>{}
                             : Directory.knownHolders(Now);
    const auto Parts = std::max<std::size_t>(1, (Holders.size() + relay::MaxNamedHolders - 1) /
                                                    relay::MaxNamedHolders);
    for (std::size_t Part = 0; Part < Parts; ++Part)
      sendTo(From, relay::HolderAnswer{Query.Id, Settled, static_cast<std::uint16_t>(Part),
                                       static_cast<std::uint16_t>(Parts),
                                       slice(Holders, Part, relay::MaxNamedHolders)});
  }

  void handle(const relay::HolderAnswer &Answer, relay::NodeAddress From, common::TimePoint Now) {
    if (const auto Missed = Directory.noteHolders(Answer.Agents, Now); !Missed.empty()) {
      common::log(common::LogLevel::Info, "agents_named_by_peer",
                  {{"peer", common::addressToString(From)},
                   {"agents", Missed.size()},
                   {"agents_known", Directory.size()}});
      sendToAll(Missed, makeBeacon(Now));
    }
    if (const auto Confirmed = Survey.onAnswer(Answer, From)) {
      Steering.onHoldersConfirmed(*Confirmed);
      sendFlowQueries(Now);
    }
  }

  void handle(const relay::ReturnedPacket &Returned, relay::NodeAddress From,
              common::TimePoint Now) {
    const auto Head = Platform::Packets::decode(Returned.Packet, relay::Side::Caller);
    if (!Head)
      return MalformedPackets.Increment();
    if (mayLogFlow(Now))
      common::log(common::LogLevel::Info, "packet_returned",
                  {{"flow", packet::toString(Head->Key)},
                   {"agent", common::addressToString(From)},
                   {"opens", Head->opensFlow()},
                   {"reason", name(Returned.Reason)},
                   {"unanswered", Returned.Load.Unanswered}});
    perform(Steering.onReturned(*Head, Returned, From, Now), {}, Now);
  }

  void handle(const relay::FlowAbsence &Absence, relay::NodeAddress From, common::TimePoint Now) {
    perform(Steering.onAbsence(Absence, From, Now), {}, Now);
  }

  relay::BalancerBeacon makeBeacon(common::TimePoint Now) {
    relay::BalancerBeacon Beacon{
        Options.Id, Options.Zone, Incarnation, Steering.routes().revision(),
        Draining,   {},           {},          this->newestStoreEra()};
    const auto Live = Peers.live(Now);
    for (std::size_t I = 0; I < std::min(BeaconSampleSize, Live.size()); ++I)
      Beacon.Balancers.push_back(*SampleRotation.next(Live));
    nameEvacuations(Beacon, Zones.current());
    if (const auto Age = Freshness.age(Now); Age && *Age < StoreReadBounds.MaxAge)
      Beacon.StoreReadAge = std::chrono::ceil<std::chrono::milliseconds>(*Age);
    return Beacon;
  }

  /// A beacon for an agent, which needs to know of its own zone only.
  relay::BalancerBeacon makeAgentBeacon(relay::NodeAddress Agent, common::TimePoint Now) {
    auto Beacon = makeBeacon(Now);
    Beacon.StoreReadAge.reset();
    if (const auto *View = Directory.find(Agent)) {
      nameEvacuations(Beacon, Zones.current().ofZone(View->Report.Zone));
      if (Steering.routes().revision() != 0)
        Beacon.ColdRate = Steering.routes().coldRate(View->Report.Service);
    }
    return Beacon;
  }

  static void nameEvacuations(relay::BalancerBeacon &Beacon, relay::Evacuations Named) {
    Beacon.EvacuationsComplete = Named.fitsBeacon();
    Beacon.EvacuatedZones =
        Beacon.EvacuationsComplete ? std::move(Named) : relay::Evacuations{Named.asOf(), {}};
  }

  /// Sends a balancer that has just started the addresses of all live balancers and agents, in
  /// beacons of at most MaxBeaconAddresses each.
  void sendNodeLists(relay::NodeAddress To, common::TimePoint Now) {
    const auto Live = Peers.live(Now);
    const auto Agents = Directory.reportingHolders(Now);
    for (std::size_t Part = 0;
         Part == 0 || Part * relay::MaxBeaconAddresses < std::max(Live.size(), Agents.size());
         ++Part) {
      auto Beacon = makeBeacon(Now);
      Beacon.Balancers = slice(Live, Part, relay::MaxBeaconAddresses);
      Beacon.Agents = slice(Agents, Part, relay::MaxBeaconAddresses);
      sendTo(To, std::move(Beacon));
    }
  }

  /// The part of a list with this number, if each part has Size entries.
  template <typename T>
  static std::vector<T> slice(const std::vector<T> &All, std::size_t Part, std::size_t Size) {
    const auto From = std::min(Part * Size, All.size());
    const auto To = std::min(From + Size, All.size());
    return {All.begin() + static_cast<std::ptrdiff_t>(From),
            All.begin() + static_cast<std::ptrdiff_t>(To)};
  }

  /// Sends a beacon to every known node at once, for a change that must not wait for the rotation.
  void announce(common::TimePoint Now) {
    const relay::PeerMessage Message = makeBeacon(Now);
    sendToAll(Peers.all(), Message);
    sendToAll(Directory.agents(), Message);
  }

  /// Notifies GossipFanout random balancers of a new configuration, era of the store or evacuation,
  /// and those
  /// without any configuration, which can't serve: when all processes restart together, the first
  /// balancer that reads the store supplies the others.
  void gossipNews(common::TimePoint Now) {
    auto Recipients = Peers.withoutConfiguration(MaxUnconfiguredRecipients);
    auto Live = Peers.live(Now);
    common::chooseAtRandom(Live, GossipFanout, Random);
    Recipients.insert(Recipients.end(), Live.begin(), Live.end());
    sendToAll(Recipients, makeBeacon(Now));
  }

  void sendBeacons(common::TimePoint Now) {
    if (Now < NextBeaconAt)
      return;
    NextBeaconAt = Now + BeaconInterval;
    if (const auto Peer = PeerRotation.next(Peers.all()))
      sendTo(*Peer, makeBeacon(Now));
    if (const auto Agent = AgentRotation.next(Directory.agents()))
      sendTo(*Agent, makeAgentBeacon(*Agent, Now));
    if (Now >= NextContactAt && Peers.live(Now).empty()) {
      NextContactAt = Now + DiscoveryBeaconInterval;
      sendToAll(Peers.contacts(Now), makeBeacon(Now));
    }
  }

  void onTick(common::TimePoint Now, common::Duration PausedFor) {
    if (PausedFor > common::Duration::zero()) {
      Steering.restartSettling(Now);
      Directory.onResume(Now);
      Freshness.onResume(Now);
    }
    if (Steering.routes().revision() != 0 && Freshness.readDue(Now) &&
        !std::exchange(ReadingStore, true))
      spawn(readStore());
    Steering.setRoutesCurrent(routesCurrent(Now));
    Steering.setSurveyPossible(!Peers.live(Now).empty());
    perform(Steering.onTimer(Now), {}, Now);
    sendFlowQueries(Now);
    const auto RepeatedQuery = relay::UpstreamDirectory::repeatedQuery(Now);
    sendToAll(Directory.takeRepeatedQueries(Now), RepeatedQuery);
    sendToAll(Directory.takeExpectedQueries(Now), RepeatedQuery);
    const auto Balancers = Peers.live(Now);
    for (const auto &[Witness, Query] : Directory.takeLossQueries(Balancers, Now))
      sendTo(Witness, Query);
    for (const auto Agent : Directory.takeLost(Balancers.size(), Now)) {
      common::log(common::LogLevel::Warning, "agent_lost",
                  {{"agent", common::addressToString(Agent)},
                   {"silent_ms", common::wholeMilliseconds(Now - Directory.find(Agent)->HeardAt)}});
      Steering.onAgentLost(Agent, Now);
    }
    sendBeacons(Now);
    for (const auto Time : Steering.takeOpeningTimes())
      OpeningSeconds.Observe(std::chrono::duration<double>(Time).count());
    Directory.expireAgents(Now);
    Peers.expirePeers(Now);
    logReadinessChange(Now);
    if (const auto Age = Freshness.age(Now))
      StoreReadAgeGauge.Set(std::chrono::duration<double>(*Age).count());
    AgentGauge.Set(static_cast<double>(Directory.size()));
    UnsteadyGauge.Set(static_cast<double>(Directory.sparing().unsteady()));
    ExemptGauge.Set(static_cast<double>(Directory.sparing().exempted()));
    FlowGauge.Set(static_cast<double>(Steering.flows()));
  }

  // --- readiness and admin

  /// Whether routers should send packets here. False also while no agent reports: other balancers
  /// may reach agents and serve callers better.
  bool ready(common::TimePoint Now) const {
    return !Draining && Steering.routes().revision() != 0 && Directory.heardAnyAgent(Now);
  }

  void logReadinessChange(common::TimePoint Now) {
    const bool Ready = ready(Now);
    if (std::exchange(WasReady, Ready) == Ready)
      return;
    common::log(common::LogLevel::Info, "readiness_changed",
                {{"ready", Ready},
                 {"leaving", Draining},
                 {"revision", Steering.routes().revision()},
                 {"hears_agents", Directory.heardAnyAgent(Now)}});
  }

  Awaitable<common::HttpResponse> serve(common::HttpRequest Request) {
    const auto Now = common::suspendAwareNow();
    if (Platform::Calls::asksReadiness(Request))
      co_return common::HttpResponse{ready(Now) ? 200U : 503U, "{}"};
    if (Request.Path == "/v1/config" && !ConfigurationText.empty())
      co_return common::HttpResponse{200, ConfigurationText};
    if (Request.Path == "/v1/explain")
      co_return explain(Request);
    countWaitingDecisions();
    co_return this->serveCommonPath(Request.Path);
  }

  common::HttpResponse explain(const common::HttpRequest &Request) const {
    const auto FlowText = Request.Query.find("flow");
    if (FlowText == Request.Query.end())
      return {400, R"({"error":"the query needs flow=CALLER-SERVICE"})"};
    const auto Key = common::capture([&] { return packet::parseFlowKey(FlowText->second); });
    if (!Key)
      return {400, nlohmann::json{{"error", Key.Failure.Detail}}.dump()};
    const relay::Route *Route = Steering.routes().find(Key->Service);
    const auto Agent = Steering.agentOf(*Key);
    const relay::AgentView *View = Directory.find(Agent);
    nlohmann::json Fields{
        {"revision", Steering.routes().revision()},
        {"route", Route == nullptr ? "" : Route->Name},
        {"service", Route == nullptr ? "" : relay::RouteTable::serviceFor(*Route, *Key)},
        {"agent", Agent == 0 ? "" : common::addressToString(Agent)},
        {"agent_zone", View == nullptr ? "" : View->Report.Zone},
        {"agent_zone_evacuated", View != nullptr && Zones.current().contains(View->Report.Zone)},
        {"evacuated_zones", Zones.current().zones()},
        {"unsteady", unsteadyUpstreams()}};
    if (const auto Search = Steering.searchOf(*Key))
      Fields["search"] = {{"denials", Search->Denials},
                          {"agents_awaited", Search->Awaited},
                          {"searched_ms", common::wholeMilliseconds(common::suspendAwareNow() -
                                                                    Search->StartedAt)}};
    if (const auto Wait = Steering.waitOf(*Key, common::suspendAwareNow()))
      addWait(*Wait, Fields);
    return {200, Fields.dump()};
  }

  /// The upstreams that get fewer flows for their faults, by the addresses of their agents.
  nlohmann::json unsteadyUpstreams() const {
    auto Rows = nlohmann::json::array();
    for (const auto Agent : Directory.agents()) {
      const auto Damping = Directory.sparing().state(Agent);
      if (Damping.Penalty > 0)
        Rows.push_back({{"agent", common::addressToString(Agent)},
                        {"service", Directory.find(Agent)->Report.Service},
                        {"standing", name(Damping.Which)},
                        {"penalty", Damping.Penalty},
                        {"exempt", Directory.sparing().exempt(Agent)}});
    }
    return Rows;
  }

  // --- configuration

  /// Whether the configuration is known to be current: the store has been read lately or peers are
  /// live, and no peer has a newer revision, as after a restore of the store from an older copy.
  bool routesCurrent(common::TimePoint Now) const {
    const auto Age = Freshness.age(Now);
    const bool StoreRead = Age && *Age <= impl::StoreWatchWait + impl::StoreCallTimeout;
    return (StoreRead || !Peers.live(Now).empty()) &&
           !Peers.peerNewerThan(Steering.routes().revision(), Options.Zone);
  }

  /// Parses a configuration and puts it into force if its revision is above the current one. Logs
  /// one that is unreadable or older, and ignores it. Source is for the log.
  void applyIfNewer(const std::string &Text, const char *Source) {
    auto Parsed = Platform::readConfiguration(Text);
    if (!Parsed) {
      common::log(common::LogLevel::Error, "configuration_unreadable",
                  {{"source", Source}, {"detail", Parsed.Failure.Detail}});
      return;
    }
    const relay::Revision NewRevision = Parsed->Number;
    const relay::Revision CurrentRevision = Steering.routes().revision();
    if (NewRevision <= CurrentRevision) {
      if (NewRevision < CurrentRevision)
        common::log(common::LogLevel::Warning, "configuration_refused",
                    {{"offered", NewRevision}, {"revision", CurrentRevision}, {"source", Source}});
      return;
    }
    ConfigurationText = Text;
    Steering.setRoutes(std::make_shared<const relay::RouteTable>(std::move(*Parsed)));
    RevisionGauge.Set(static_cast<double>(NewRevision));
    common::log(common::LogLevel::Info, "configuration_accepted",
                {{"revision", NewRevision},
                 {"previous", CurrentRevision},
                 {"source", Source},
                 {"routes", Steering.routes().size()}});
    gossipNews(common::suspendAwareNow());
  }

  /// Applies the newest value of the configuration key in Page, if there is one.
  void applyNewestItem(const relay::StorePage &Page) {
    const relay::StoreItem *Newest = nullptr;
    for (const auto &Item : Page.Items)
      if (Item.Key == Platform::Store::configurationKey() && !Item.Removed &&
          (Newest == nullptr || Item.Revision > Newest->Revision))
        Newest = &Item;
    if (Newest != nullptr)
      applyIfNewer(Newest->Value, "store");
  }

  using OperatorWatch = impl::KeyWatch<typename Platform::Store>;

  /// Applies a page of the operator's keys that Watch has returned.
  void applyPage(const relay::StorePage &Page, const OperatorWatch &Watch) {
    // Before the configuration: without one no flow is placed.
    applyEvacuations(Page, Watch.hasList());
    applyNewestItem(Page);
    const auto Now = common::suspendAwareNow();
    if (Freshness.noteRead(Watch.asOf(), Now))
      gossipNews(Now);
  }

  /// Watches the operator's keys while this balancer is one of its zone's watchers, so that changes
  /// arrive at once.
  Awaitable<void> followConfiguration() {
    OperatorWatch Watch(Store, Platform::Store::operatorPrefix());
    impl::Backoff Backoff(impl::MinCallBackoff, impl::MaxCallBackoff, Random);
    while (true) {
      if (Steering.routes().revision() != 0 &&
          !Peers.isStoreWatcher(Options.Zone, common::suspendAwareNow())) {
        Watch.restart();
        co_await impl::sleepFor(WatcherCheckInterval);
        continue;
      }
      const auto Page = co_await Watch.next();
      if (!Page) {
        co_await impl::sleepFor(Backoff.nextDelay());
        continue;
      }
      Backoff.reset();
      applyPage(*Page, Watch);
      if (!Watch.hasValue())
        co_await impl::sleepFor(impl::jittered(impl::MinCallBackoff, Random));
      else if (!Page->Items.empty())
        co_await impl::sleepFor(WatchCoalescingTime);
    }
  }

  /// Reads the operator's keys because no balancer is known to have read them lately. The store may
  /// turn away those that watch it, or have lost their connections without a sign.
  Awaitable<void> readStore() {
    bool Served = true;
    if (Freshness.lastReadFailed()) {
      // Costs a tenth of another read while the store turns this balancer away.
      const auto Recent = co_await Store.listRecent(Platform::Store::operatorPrefix());
      Served = static_cast<bool>(Recent);
    }
    if (Served) {
      auto Page = co_await StoreReader.next(common::Duration::zero());
      // Changes since the last read that can't be told any more are read with all values.
      if (!Page && (Page.Failure.Code == common::ResultCode::StoreHistoryGone ||
                    Page.Failure.Code == common::ResultCode::StoreEraEnded))
        Page = co_await StoreReader.next(common::Duration::zero());
      Served = static_cast<bool>(Page);
      if (Page)
        applyPage(*Page, StoreReader);
    }
    if (!Served)
      Freshness.noteFailure(common::suspendAwareNow());
    ReadingStore = false;
  }

  /// Takes the sender's knowledge of the store for the own if it isn't ahead of this balancer's.
  void hearStoreRead(const relay::BalancerBeacon &Beacon, common::TimePoint Now) {
    if (!Beacon.StoreReadAge || Beacon.ConfigurationRevision > Steering.routes().revision() ||
        Beacon.EvacuatedZones.asOf() > Zones.current().asOf())
      return;
    if (Freshness.noteHeard(Now - *Beacon.StoreReadAge - this->sinceLastTick(Now), Now))
      gossipNews(Now);
  }

  /// Fetches the configuration from peers until no reachable one has a newer revision. A balancer
  /// that watches the store gives the store PeerFetchDelay first, which saves needless calls to
  /// peers, unless it has no configuration and can't serve.
  Awaitable<void> fetchConfigurationFromPeers() {
    if (Steering.routes().revision() != 0 &&
        Peers.isStoreWatcher(Options.Zone, common::suspendAwareNow()))
      co_await impl::sleepFor(PeerFetchDelay);
    while (const auto NewerPeer = Peers.peerNewerThan(Steering.routes().revision(), Options.Zone)) {
      const common::Endpoint Peer{*NewerPeer, Options.Admin.Port};
      const auto Answer =
          co_await common::httpCall(Peer, "GET", "/v1/config", "", PeerFetchTimeout);
      const relay::Revision PreviousRevision = Steering.routes().revision();
      if (Answer && Answer->Status == 200)
        applyIfNewer(Answer->Body, "peer");
      if (Steering.routes().revision() == PreviousRevision)
        Peers.noteUnreachable(*NewerPeer);
    }
    FetchingFromPeers = false;
  }

  // --- evacuations

  void applyEvacuations(const relay::StorePage &Page, bool IsList) {
    const auto Requests = relay::readEvacuations(Page, &Platform::Store::readEvacuationKey);
    for (const auto &Key : Requests.IgnoredKeys) {
      IgnoredEvacuations.Increment();
      common::log(common::LogLevel::Warning, "evacuation_key_ignored", {{"key", Key}});
    }
    takeEvacuations(IsList ? Requests.listed(Page.Revision)
                           : Requests.appliedTo(Zones.current(), Page.Revision),
                    "store");
  }

  /// Puts a newer value into force, and tells other balancers and the agents concerned at once.
  void takeEvacuations(const relay::Evacuations &Offered, const char *Source) {
    const auto Changed = Zones.take(Offered, Source);
    if (Changed.empty())
      return;
    const auto Now = common::suspendAwareNow();
    Directory.setEvacuations(Zones.current());
    gossipNews(Now);
    for (const auto &Zone : Changed) {
      auto Agents = Directory.agentsInZone(Zone);
      if (Agents.empty() && Zones.current().contains(Zone))
        common::log(common::LogLevel::Warning, "evacuated_zone_unknown",
                    {{"zone", Zone}, {"agents_known", Directory.size()}});
      common::chooseAtRandom(Agents, MaxEvacuationRecipients, Random);
      for (const auto Agent : Agents)
        sendTo(Agent, makeAgentBeacon(Agent, Now));
    }
    perform(Steering.onLoadReported(Now), {}, Now);
  }

  void hearEvacuations(const relay::BalancerBeacon &Beacon, relay::NodeAddress From) {
    if (Beacon.EvacuationsComplete)
      return takeEvacuations(Beacon.EvacuatedZones, "peer");
    if (Beacon.EvacuatedZones.asOf() > Zones.current().asOf() &&
        !std::exchange(FetchingEvacuations, true))
      spawn(fetchEvacuations(From));
  }

  /// Fetches a list of zones that is too long for a beacon. If it fails, the next beacon of a
  /// balancer that knows it leads to another try.
  Awaitable<void> fetchEvacuations(relay::NodeAddress From) {
    const common::Endpoint Peer{From, Options.Admin.Port};
    const auto Answer = co_await common::httpCall(Peer, "GET", "/v1/zones", "", PeerFetchTimeout);
    FetchingEvacuations = false;
    if (!Answer || Answer->Status != 200)
      co_return;
    try {
      takeEvacuations(impl::evacuationsFromJson(common::parseJson(Answer->Body)), "peer");
    } catch (const nlohmann::json::exception &Problem) {
      this->rejectMessage({common::ResultCode::MessageMalformed, Problem.what()}, From,
                          common::suspendAwareNow());
    }
  }

  // --- node records in the store

  Awaitable<void> lookUpNodes() {
    impl::Backoff Backoff(impl::MinCallBackoff, impl::MaxCallBackoff, Random);
    while (!Draining) {
      const auto Page = co_await Store.list(impl::NodeRecordPrefix);
      if (Page) {
        contactRecordedNodes(*Page);
        co_return;
      }
      co_await impl::sleepFor(Backoff.nextDelay());
    }
  }

  void contactRecordedNodes(const relay::StorePage &Page) {
    const auto Now = common::suspendAwareNow();
    std::vector<relay::NodeAddress> Agents;
    this->forEachRecord(Page, [&](const std::string &Key, relay::NodeAddress Address) {
      if (Key.starts_with(impl::BalancerRecordPrefix)) {
        Peers.addContact(Address, Now);
      } else if (Key.starts_with(impl::AgentRecordPrefix)) {
        Directory.noteExpected(Address, Now);
        Agents.push_back(Address);
      }
    });
    sendToAll(Agents, makeBeacon(Now));
    sendToAll(Peers.contacts(Now), makeBeacon(Now));
    if (!Page.More)
      Steering.noteAgentsListed(Now);
  }

  relay::UpstreamDirectory Directory;
  relay::FlowSteering Steering;
  relay::HolderSurvey Survey;
  membership::StoreFreshness Freshness;
  impl::KeyWatch<typename Platform::Store> StoreReader; ///< Of readStore() alone.
  common::TimePoint LastPacketAt{};
  common::TimePoint NextBeaconAt{};
  common::TimePoint NextContactAt{};
  relay::Rotation PeerRotation;
  relay::Rotation AgentRotation;
  relay::Rotation SampleRotation; ///< Selects the balancers named in beacons.
  std::string ConfigurationText;  ///< Unparsed, as served to peers.
  bool ReadingStore = false;
  bool FetchingFromPeers = false;
  bool FetchingEvacuations = false;
  bool Draining = false;
  bool WasReady = false;

  std::array<prometheus::Counter *, relay::SteeringReasonCount> PacketCounters{};
  prometheus::Counter &IgnoredEvacuations;
  prometheus::Gauge &RevisionGauge;
  prometheus::Gauge &StoreReadAgeGauge;
  prometheus::Gauge &AgentGauge;
  prometheus::Gauge &UnsteadyGauge;
  prometheus::Gauge &ExemptGauge;
  prometheus::Histogram &OpeningSeconds;
};

} // namespace galenarelay::node

#endif // GALENARELAY_NODE_RELAY_BALANCER_H
