#ifndef GALENARELAY_NODE_RELAY_BALANCER_H
#define GALENARELAY_NODE_RELAY_BALANCER_H

#include "galenarelay/node/impl/relay_node.h"
#include "galenarelay/relay/flow_steering.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace galenarelay::node {

/// Interval of beacons to one other balancer, and to one agent, in turn.
inline constexpr common::Duration BeaconInterval = std::chrono::milliseconds(100);
static_assert(std::chrono::duration<double>(BeaconInterval).count() * relay::BeaconsPerSecond == 1);
/// Interval of beacons to all contacts while no balancer has answered.
inline constexpr common::Duration FirstBeaconInterval = std::chrono::milliseconds(300);
/// Balancers that are told at once of a new configuration, and tell as many in turn: 98% have it
/// after log(n) steps (Demers et al. 1987), and the others learn of it from beacons.
inline constexpr std::size_t SpreadFanout = 4;
/// Balancers without a configuration that are told at once.
inline constexpr std::size_t MaxToldWithout = 100;
/// Balancers named in a beacon. One that names fewer knows no more, and gets whole lists.
inline constexpr std::size_t BeaconSample = 8;
/// Interval at which a node checks whether it has become one that watches the store.
inline constexpr common::Duration WatcherCheck = std::chrono::milliseconds(500);
/// Changes of the configuration that come within this time share one read of the store.
inline constexpr common::Duration WatchPause = std::chrono::milliseconds(100);
/// A newer configuration of a peer is fetched if the store has not brought it within this time.
inline constexpr common::Duration PeerFetchDelay = std::chrono::milliseconds(150);
inline constexpr common::Duration PeerFetchTimeout = std::chrono::milliseconds(1000);
/// A stopping balancer forwards for this time at least: two readiness checks, half a second apart,
/// must fail before routers turn away.
inline constexpr common::Duration MinDrainTime = std::chrono::milliseconds(1300);
/// It ends once no packet has come for this time and none waits, or after MaxDrainTime, below the
/// grace time.
inline constexpr common::Duration QuietTime = std::chrono::milliseconds(400);
inline constexpr common::Duration MaxDrainTime = std::chrono::milliseconds(4500);

/// A balancer of relayed flows: connects its decisions to sockets, timers and the store.
template <RelayPlatform Platform> class RelayBalancer : impl::RelayNode<Platform> {
  using Base = impl::RelayNode<Platform>;
  template <typename T> using Awaitable = typename Base::template Awaitable<T>;

public:
  RelayBalancer(boost::asio::io_context &Io, RelayOptions Settings, common::Metrics &Metrics)
      : Base(Io, std::move(Settings), Metrics, impl::BalancerRecords),
        Directory(Options.Zone, Random(), Options.InUse),
        Steering(Options.Packets.Address, Directory, StartedAt, Options.InUse),
        RevisionGauge(Metrics.gauge("configuration_revision", "Configuration in force")),
        AgentGauge(Metrics.gauge("agents", "Agents known")),
        OpeningSeconds(Metrics.histogram(
            "flow_opening_seconds", "Time from a flow's first packet to its acceptance",
            {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1})) {
    for (std::size_t I = 0; I < relay::SteeringReasons; ++I)
      PacketCounters[I] = &Metrics.counter(
          "packets_total", "Packets from callers by decision",
          {{"decision", std::string(name(static_cast<relay::SteeringReason>(I)))}});
  }

  void start() {
    Packets = std::make_unique<common::UdpSocket>(
        Io, Options.Packets,
        [this](std::span<std::uint8_t> Raw, common::Endpoint) { onCallerPacket(Raw); });
    this->listen([this](std::span<std::uint8_t> Raw,
                        common::Endpoint From) { onPeerDatagram(Raw, From.Address); },
                 [this](common::HttpRequest Request) { return serve(std::move(Request)); });
    this->logStart();
    spawn(followConfiguration());
    spawn(lookUpNodes());
    this->startTimer([this](common::TimePoint Now, common::Duration Pause) { onTick(Now, Pause); });
  }

  /// Tells routers and peers, and forwards until the routers have turned away.
  Awaitable<void> drain() {
    Leaving = true;
    const auto Begin = common::suspendAwareNow();
    common::log(common::LogLevel::Info, "stopping", {{"flows", Steering.flows()}});
    announce(Begin);
    spawn(Record.remove());
    while (true) {
      co_await impl::pauseFor(impl::RelayTick);
      const auto Now = common::suspendAwareNow();
      const bool Quiet = Now - LastPacketAt >= QuietTime && Now - Begin >= MinDrainTime &&
                         !Steering.holdsPackets();
      if (Quiet || Now - Begin >= MaxDrainTime)
        break;
    }
    perform(Steering.refuseWaiting(), {}, common::suspendAwareNow());
    common::log(common::LogLevel::Info, "stopped",
                {{"drain_ms", common::wholeMilliseconds(common::suspendAwareNow() - Begin)}});
  }

  void reload(const RelayOptions &Fresh) { this->takeSeeds(Fresh); }

private:
  using Base::FlowGauge;
  using Base::Incarnation;
  using Base::Io;
  using Base::MalformedPackets;
  using Base::mayLogFlow;
  using Base::Options;
  using Base::Packets;
  using Base::Peers;
  using Base::Random;
  using Base::Record;
  using Base::RejectLog;
  using Base::sendTo;
  using Base::sendToAll;
  using Base::spawn;
  using Base::StartedAt;
  using Base::Store;

  // --- packets

  void onCallerPacket(std::span<std::uint8_t> Raw) {
    const auto Now = common::suspendAwareNow();
    LastPacketAt = Now;
    const auto Head = Platform::Packets::decode(Raw, relay::Side::Caller);
    if (!Head)
      return MalformedPackets.Increment();
    perform(Steering.onPacket(*Head, Raw, Now), Raw, Now);
    sendQuestions(Now);
  }

  void sendQuestions(common::TimePoint Now) {
    relay::SteeringActions Out;
    const auto Questions = Steering.takeQuestions(Now, Out);
    std::size_t Rows = 0;
    for (const auto &Each : Questions) {
      Rows += Each.Message.Rows.size();
      sendTo(Each.Agent, Each.Message);
    }
    if (!Questions.empty() && mayLogFlow(Now))
      common::log(common::LogLevel::Info, "flows_searched",
                  {{"messages", Questions.size()},
                   {"rows", Rows},
                   {"searches", Steering.searches()},
                   {"agents_known", Directory.size()}});
    perform(Out, {}, Now);
  }

  void perform(const relay::SteeringActions &Actions, std::span<std::uint8_t> Raw,
               common::TimePoint Now) {
    for (const auto &Action : Actions) {
      PacketCounters[static_cast<std::size_t>(Action.Reason)]->Increment();
      if (Action.Reason != relay::SteeringReason::Known &&
          Action.Reason != relay::SteeringReason::Asked)
        logDecision(Action, Now);
      switch (Action.What) {
      case relay::SteeringAction::Kind::Forward:
        forward(Action, Raw);
        break;
      case relay::SteeringAction::Kind::Reset:
        Packets->send(Platform::Packets::reset(Action.Key, Action.Sequence),
                      {Action.Key.Caller.Address, Options.Packets.Port});
        break;
      case relay::SteeringAction::Kind::Ask:
        sendTo(Action.Agent, relay::LoadQuery{});
        break;
      case relay::SteeringAction::Kind::Drop:
        break;
      }
    }
  }

  void forward(const relay::SteeringAction &Action, std::span<std::uint8_t> Raw) {
    const common::Endpoint To{Action.Agent, Options.Packets.Port};
    if (!Action.Saved) {
      Platform::Packets::writeTransit(Raw, Action.Fields);
      return Packets->send(Raw, To);
    }
    auto Copy = *Action.Saved;
    Platform::Packets::clearReturned(Copy);
    Platform::Packets::writeTransit(Copy, Action.Fields);
    Packets->send(Copy, To);
  }

  void logDecision(const relay::SteeringAction &Action, common::TimePoint Now) {
    if (!mayLogFlow(Now))
      return;
    nlohmann::json Fields{{"flow", packet::toString(Action.Key)},
                          {"decision", name(Action.Reason)},
                          {"revision", Steering.routes().revision()}};
    if (const relay::AgentView *View = Directory.find(Action.Agent)) {
      Fields["agent"] = View->Report.Id;
      Fields["attempt"] = Action.Attempt;
      Fields["unanswered"] = View->Load.Unanswered;
      Fields["long_flows"] = View->Load.LongFlows;
      Fields["load_age_ms"] = common::wholeMilliseconds(Now - View->LoadAt);
    }
    common::log(common::LogLevel::Info, "flow_steered", Fields);
  }

  // --- messages between nodes

  void onPeerDatagram(std::span<const std::uint8_t> Raw, relay::NodeAddress From) {
    const auto Now = common::suspendAwareNow();
    auto Message = relay::decodeMessage(Raw);
    if (!Message) {
      MalformedPackets.Increment();
      if (RejectLog.allow(Now))
        common::log(common::LogLevel::Warning, "peer_message_rejected",
                    {{"peer", common::addressToString(From)}, {"detail", Message.Failure.Detail}});
      return;
    }
    std::visit([&](auto &Each) { take(Each, From, Now); }, *Message);
  }

  void take(const relay::AgentReport &Report, relay::NodeAddress From, common::TimePoint Now) {
    using Change = relay::UpstreamDirectory::Change;
    const auto Effect = Directory.onReport(From, Report, Now);
    if (Effect == Change::Appeared)
      sendTo(From, beacon(Now));
    if (Effect == Change::Appeared || Effect == Change::StateChanged)
      common::log(common::LogLevel::Info, "agent_changed",
                  {{"agent", Report.Id},
                   {"address", common::addressToString(From)},
                   {"service", Report.Service},
                   {"state", name(Report.State)},
                   {"incarnation", Report.Incarnation},
                   {"upstream_incarnation", Report.UpstreamIncarnation},
                   {"report", Report.Number}});
    perform(Steering.onLoadKnown(Now), {}, Now);
  }

  void take(const relay::LoadAnswer &Answer, relay::NodeAddress From, common::TimePoint Now) {
    Directory.onAnswer(From, Answer, Now);
    perform(Steering.onLoadKnown(Now), {}, Now);
  }

  void take(const relay::BalancerBeacon &Beacon, relay::NodeAddress From, common::TimePoint Now) {
    const bool New = Peers.onBeacon(From, Beacon, Now);
    if (const auto Unheard = Directory.expectNamed(Beacon.Agents, Now); !Unheard.empty())
      sendToAll(Unheard, beacon(Now));
    if (New) {
      common::log(common::LogLevel::Info, "balancer_appeared",
                  {{"balancer", Beacon.Id},
                   {"address", common::addressToString(From)},
                   {"incarnation", Beacon.Incarnation},
                   {"revision", Beacon.Held}});
      if (Beacon.Balancers.size() < BeaconSample)
        sendLists(From, Now);
      else
        sendTo(From, beacon(Now));
    }
    if (Beacon.Held > Steering.routes().revision() && !std::exchange(Fetching, true))
      spawn(fetchFromPeers());
  }

  void take(const relay::FlowNotice &Notice, relay::NodeAddress From, common::TimePoint Now) {
    Directory.onLoad(From, Notice.Load, Now);
    perform(Steering.onNotice(Notice, From, Now), {}, Now);
  }

  void take(const relay::FlowAnswer &Answer, relay::NodeAddress From, common::TimePoint Now) {
    perform(Steering.onAnswer(Answer, From, Now), {}, Now);
  }

  /// Only agents are asked.
  void take(const relay::FlowQuery &, relay::NodeAddress, common::TimePoint) {
    MalformedPackets.Increment();
  }
  void take(const relay::LoadQuery &, relay::NodeAddress, common::TimePoint) {
    MalformedPackets.Increment();
  }

  void take(const relay::LossQuery &Question, relay::NodeAddress From, common::TimePoint Now) {
    if (auto Answer = Directory.onLossQuery(Question, Now); !Answer.Silent.empty())
      sendTo(From, std::move(Answer));
  }

  void take(const relay::LossAnswer &Answer, relay::NodeAddress From, common::TimePoint) {
    Directory.onLossAnswer(Answer, From);
  }

  void take(const relay::ReturnedPacket &Returned, relay::NodeAddress From, common::TimePoint Now) {
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

  void take(const relay::FlowAbsence &Absence, relay::NodeAddress From, common::TimePoint Now) {
    perform(Steering.onAbsence(Absence, From, Now), {}, Now);
  }

  relay::BalancerBeacon beacon(common::TimePoint Now) {
    relay::BalancerBeacon Made{Options.Id, Options.Zone, Incarnation, Steering.routes().revision(),
                               Leaving,    {},           {}};
    const auto Live = Peers.live(Now);
    for (std::size_t I = 0; I < std::min(BeaconSample, Live.size()); ++I)
      Made.Balancers.push_back(*Named.next(Live));
    return Made;
  }

  /// Tells a node that has just started of all others, in as many messages as it takes.
  void sendLists(relay::NodeAddress To, common::TimePoint Now) {
    const auto Live = Peers.live(Now);
    const auto Agents = Directory.reportingHolders(Now);
    for (std::size_t Begin = 0; Begin == 0 || Begin < std::max(Live.size(), Agents.size());
         Begin += relay::MaxBeaconAddresses) {
      auto Part = beacon(Now);
      Part.Balancers = slice(Live, Begin);
      Part.Agents = slice(Agents, Begin);
      sendTo(To, std::move(Part));
    }
  }
  static std::vector<relay::NodeAddress> slice(const std::vector<relay::NodeAddress> &All,
                                               std::size_t Begin) {
    const auto From = std::min(Begin, All.size());
    const auto To = std::min(Begin + relay::MaxBeaconAddresses, All.size());
    return {All.begin() + static_cast<std::ptrdiff_t>(From),
            All.begin() + static_cast<std::ptrdiff_t>(To)};
  }

  /// Tells every node of a change that all have to know.
  void announce(common::TimePoint Now) {
    const relay::PeerMessage Message = beacon(Now);
    sendToAll(Peers.all(), Message);
    sendToAll(Directory.agents(), Message);
  }

  /// Tells some balancers of a new configuration, and those that have none and can't serve: after
  /// the end of all processes the first one that the store answers has it for all.
  void spreadRevision(common::TimePoint Now) {
    auto Told = Peers.withoutConfiguration(MaxToldWithout);
    auto Live = Peers.live(Now);
    const auto Count = std::min(SpreadFanout, Live.size());
    for (std::size_t I = 0; I < Count; ++I)
      std::swap(Live[I], Live[I + common::uniformBelow(Random, Live.size() - I)]);
    Told.insert(Told.end(), Live.begin(), Live.begin() + static_cast<std::ptrdiff_t>(Count));
    sendToAll(Told, beacon(Now));
  }

  void sendBeacons(common::TimePoint Now) {
    if (Now < NextBeacon)
      return;
    NextBeacon = Now + BeaconInterval;
    if (const auto Peer = NextPeer.next(Peers.all()))
      sendTo(*Peer, beacon(Now));
    if (const auto Agent = NextAgent.next(Directory.agents()))
      sendTo(*Agent, beacon(Now));
    if (Now >= NextContact && Peers.live(Now).empty()) {
      NextContact = Now + FirstBeaconInterval;
      sendToAll(Peers.contacts(Now), beacon(Now));
    }
  }

  void onTick(common::TimePoint Now, common::Duration Pause) {
    if (Pause > common::Duration::zero()) {
      Steering.restartSettling(Now);
      Directory.restartListening(Now);
    }
    Steering.setRoutesCurrent(routesCurrent(Now));
    perform(Steering.onTimer(Now), {}, Now);
    sendQuestions(Now);
    const auto Repeated = relay::UpstreamDirectory::repeatedQuestion(Now);
    sendToAll(Directory.takeQuestions(Now), Repeated);
    sendToAll(Directory.takeExpected(Now), Repeated);
    const auto Balancers = Peers.live(Now);
    for (const auto &[Witness, Question] : Directory.takeLossQueries(Balancers, Now))
      sendTo(Witness, Question);
    for (const auto Agent : Directory.takeLost(Balancers.size(), Now)) {
      common::log(common::LogLevel::Warning, "agent_lost",
                  {{"agent", common::addressToString(Agent)},
                   {"silent_ms", common::wholeMilliseconds(Now - Directory.find(Agent)->HeardAt)}});
      perform(Steering.onAgentLost(Agent), {}, Now);
    }
    sendBeacons(Now);
    for (const auto Time : Steering.takeOpeningTimes())
      OpeningSeconds.Observe(std::chrono::duration<double>(Time).count());
    Directory.forgetSilent(Now);
    Peers.forgetOld(Now);
    noteReadiness(Now);
    AgentGauge.Set(static_cast<double>(Directory.size()));
    FlowGauge.Set(static_cast<double>(Steering.flows()));
  }

  // --- readiness and admin

  /// Without agents to forward to, callers are better served by other balancers.
  bool ready(common::TimePoint Now) const {
    return !Leaving && Steering.routes().revision() != 0 && Directory.hearsAgents(Now);
  }

  void noteReadiness(common::TimePoint Now) {
    const bool Is = ready(Now);
    if (std::exchange(WasReady, Is) == Is)
      return;
    common::log(common::LogLevel::Info, "readiness_changed",
                {{"ready", Is},
                 {"leaving", Leaving},
                 {"revision", Steering.routes().revision()},
                 {"hears_agents", Directory.hearsAgents(Now)}});
  }

  Awaitable<common::HttpResponse> serve(common::HttpRequest Request) {
    const auto Now = common::suspendAwareNow();
    if (Platform::Calls::asksReadiness(Request))
      co_return common::HttpResponse{ready(Now) ? 200U : 503U, "{}"};
    if (Request.Path == "/v1/config" && !ConfigurationText.empty())
      co_return common::HttpResponse{200, ConfigurationText};
    if (Request.Path == "/v1/explain")
      co_return explain(Request);
    co_return this->answerCommon(Request.Path);
  }

  common::HttpResponse explain(const common::HttpRequest &Request) const {
    const auto Text = Request.Query.find("flow");
    if (Text == Request.Query.end())
      return {400, R"({"error":"the query needs flow=CALLER-SERVICE"})"};
    const auto Key = common::capture([&] { return packet::parseFlowKey(Text->second); });
    if (!Key)
      return {400, nlohmann::json{{"error", Key.Failure.Detail}}.dump()};
    const relay::Route *Found = Steering.routes().find(Key->Service);
    const auto Agent = Steering.agentOf(*Key);
    return {200,
            nlohmann::json{
                {"revision", Steering.routes().revision()},
                {"route", Found == nullptr ? "" : Found->Name},
                {"service", Found == nullptr ? "" : relay::RouteTable::serviceFor(*Found, *Key)},
                {"agent", Agent == 0 ? "" : common::addressToString(Agent)}}
                .dump()};
  }

  // --- configuration

  bool routesCurrent(common::TimePoint Now) const {
    const bool StoreAnswers = Now - StoreAnswerAt <= impl::StoreWatchWait + impl::StoreCallTimeout;
    return StoreAnswers ||
           (!Peers.live(Now).empty() && !Peers.aheadOf(Steering.routes().revision(), Options.Zone));
  }

  void offer(const std::string &Text, const char *Source) {
    auto Read = Platform::readConfiguration(Text);
    if (!Read) {
      common::log(common::LogLevel::Error, "configuration_unreadable",
                  {{"source", Source}, {"detail", Read.Failure.Detail}});
      return;
    }
    const relay::Revision Number = Read->Number;
    const relay::Revision Held = Steering.routes().revision();
    if (Number <= Held) {
      if (Number < Held)
        common::log(common::LogLevel::Warning, "configuration_refused",
                    {{"offered", Number}, {"revision", Held}, {"source", Source}});
      return;
    }
    ConfigurationText = Text;
    Steering.setRoutes(std::make_shared<const relay::RouteTable>(std::move(*Read)));
    RevisionGauge.Set(static_cast<double>(Number));
    common::log(common::LogLevel::Info, "configuration_accepted",
                {{"revision", Number},
                 {"previous", Held},
                 {"source", Source},
                 {"routes", Steering.routes().size()}});
    spreadRevision(common::suspendAwareNow());
  }

  /// Takes the newest value of the configuration among items of the store.
  void offerItems(const relay::StorePage &Page) {
    const relay::StoreItem *Newest = nullptr;
    for (const auto &Item : Page.Items)
      if (Item.Key == Platform::Store::configurationKey() && !Item.Removed &&
          (Newest == nullptr || Item.Revision > Newest->Revision))
        Newest = &Item;
    if (Newest != nullptr)
      offer(Newest->Value, "store");
  }

  Awaitable<void> followConfiguration() {
    const std::string Key = Platform::Store::configurationKey();
    std::uint64_t After = 0;
    bool Listed = false;
    impl::CallPause Pause(impl::MinCallPause, impl::MaxCallPause, Random);
    while (true) {
      if (Steering.routes().revision() != 0 &&
          !Peers.watches(Options.Zone, common::suspendAwareNow())) {
        Listed = false;
        co_await impl::pauseFor(WatcherCheck);
        continue;
      }
      // g++ 12 destroys temporaries of a co_await within a conditional expression twice.
      common::Outcome<relay::StorePage> Page;
      if (Listed)
        Page = co_await Store.watch(Key, After);
      else
        Page = co_await Store.list(Key);
      if (Page) {
        StoreAnswerAt = common::suspendAwareNow();
        Pause.reset();
        After = Page->StoreRevision;
        offerItems(*Page);
        if (!Listed && Page->Items.empty())
          co_await impl::pauseFor(impl::jittered(impl::MinCallPause, Random));
        else
          Listed = true;
        if (Listed && !Page->Items.empty())
          co_await impl::pauseFor(WatchPause);
        continue;
      }
      if (Page.Failure.Code == common::ResultCode::StoreHistoryGone)
        Listed = false;
      co_await impl::pauseFor(Pause.take());
    }
  }

  /// One that watches the store waits for it, so that a peer isn't asked in vain, unless it can't
  /// serve without a configuration.
  Awaitable<void> fetchFromPeers() {
    if (Steering.routes().revision() != 0 && Peers.watches(Options.Zone, common::suspendAwareNow()))
      co_await impl::pauseFor(PeerFetchDelay);
    while (const auto Ahead = Peers.aheadOf(Steering.routes().revision(), Options.Zone)) {
      const common::Endpoint Peer{*Ahead, Options.Admin.Port};
      const auto Answer =
          co_await common::httpCall(Peer, "GET", "/v1/config", "", PeerFetchTimeout);
      const relay::Revision Before = Steering.routes().revision();
      if (Answer && Answer->Status == 200)
        offer(Answer->Body, "peer");
      if (Steering.routes().revision() == Before)
        Peers.noteUnreachable(*Ahead);
    }
    Fetching = false;
  }

  // --- nodes in the store

  Awaitable<void> lookUpNodes() {
    impl::CallPause Pause(impl::MinCallPause, impl::MaxCallPause, Random);
    while (!Leaving) {
      const auto Page = co_await Store.list(impl::NodeRecords);
      if (Page) {
        takeRecords(*Page);
        co_return;
      }
      co_await impl::pauseFor(Pause.take());
    }
  }

  void takeRecords(const relay::StorePage &Page) {
    const auto Now = common::suspendAwareNow();
    std::vector<relay::NodeAddress> Agents;
    this->readRecords(Page, [&](const std::string &Key, relay::NodeAddress Address) {
      if (Key.starts_with(impl::BalancerRecords)) {
        Peers.addContact(Address, Now);
      } else if (Key.starts_with(impl::AgentRecords)) {
        Directory.expect(Address, Now);
        Agents.push_back(Address);
      }
    });
    sendToAll(Agents, beacon(Now));
    sendToAll(Peers.contacts(Now), beacon(Now));
    if (!Page.More)
      Steering.setAgentsListed(Now);
  }

  relay::UpstreamDirectory Directory;
  relay::FlowSteering Steering;
  common::TimePoint LastPacketAt{};
  common::TimePoint NextBeacon{};
  common::TimePoint NextContact{};
  relay::Rotation NextPeer;
  relay::Rotation NextAgent;
  relay::Rotation Named; ///< Balancers in beacons.
  common::TimePoint StoreAnswerAt{};
  std::string ConfigurationText; ///< As the operator wrote it, for peers.
  bool Fetching = false;
  bool Leaving = false;
  bool WasReady = false;

  std::array<prometheus::Counter *, relay::SteeringReasons> PacketCounters{};
  prometheus::Gauge &RevisionGauge;
  prometheus::Gauge &AgentGauge;
  prometheus::Histogram &OpeningSeconds;
};

} // namespace galenarelay::node

#endif // GALENARELAY_NODE_RELAY_BALANCER_H
