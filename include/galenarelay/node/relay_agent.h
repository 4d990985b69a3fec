#ifndef GALENARELAY_NODE_RELAY_AGENT_H
#define GALENARELAY_NODE_RELAY_AGENT_H

#include "galenarelay/node/impl/relay_node.h"
#include "galenarelay/relay/upstream_flows.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace galenarelay::node {

/// Interval of periodic reports, each to one balancer in rotation. They update balancers that
/// missed a change or don't know the agent yet. They needn't keep the load current: balancers query
/// it.
inline constexpr common::Duration ReportInterval = std::chrono::milliseconds(200);
/// A change is reported to all balancers a second time after this delay, as datagrams may be lost.
inline constexpr common::Duration ReportRepeatDelay = std::chrono::milliseconds(300);
/// Interval of reports to all addresses that may be balancers while no balancer is live.
inline constexpr common::Duration DiscoveryReportInterval = std::chrono::milliseconds(60);
/// Interval of checks whether a balancer is live; if none is, their records are read from the store
/// again.
inline constexpr common::Duration BalancerLookupInterval = std::chrono::seconds(2);
/// Answers of the upstream that take at least this long are logged. The value is about that of a
/// latency objective.
inline constexpr common::Duration SlowAnswerThreshold = std::chrono::milliseconds(300);
/// Time that a stopping agent leaves for its last messages to be sent.
inline constexpr common::Duration StopFlushTime = std::chrono::milliseconds(20);
/// RelayAgent calls onResume() for the pauses that UpstreamFlows doesn't count as silence.
static_assert(relay::SuspensionThreshold == impl::ProcessPauseThreshold);

/// An agent of relayed flows: connects the flow logic to sockets, timers and the store.
template <RelayPlatform Platform> class RelayAgent : impl::RelayNode<Platform> {
  using Base = impl::RelayNode<Platform>;
  template <typename T> using Awaitable = typename Base::template Awaitable<T>;

public:
  RelayAgent(boost::asio::io_context &Io, RelayAgentOptions Settings, common::Metrics &Metrics)
      : Base(Io, std::move(Settings.Node), Metrics, impl::AgentRecordPrefix),
        Upstream(Settings.Upstream), FromUpstream(Settings.FromUpstream),
        ColdStart(Settings.ColdStart),
        Flows(std::move(Settings.Service), Settings.HeartbeatInterval, StartedAt,
              Options.EnabledMechanisms),
        UnansweredGauge(
            Metrics.gauge("unanswered_requests", "Requests that the upstream has not answered")),
        AnswerSeconds(Metrics.histogram("upstream_answer_seconds",
                                        "Time from a request to the first data of its answer",
                                        {0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10})) {
    for (std::size_t I = 0; I < relay::FlowEventCount; ++I)
      EventCounters[I] =
          &Metrics.counter("packets_total", "Packets by event",
                           {{"event", std::string(name(static_cast<relay::FlowEvent>(I)))}});
  }

  void start() {
    PacketSocket = std::make_unique<common::UdpSocket>(
        Io, Options.Packets, [this](std::span<std::uint8_t> Raw, common::Endpoint From) {
          onBalancerPacket(Raw, From.Address);
        });
    UpstreamSocket = std::make_unique<common::UdpSocket>(
        Io, FromUpstream,
        [this](std::span<std::uint8_t> Raw, common::Endpoint) { onUpstreamPacket(Raw); });
    this->listen([this](std::span<std::uint8_t> Raw,
                        common::Endpoint From) { onPeerDatagram(Raw, From.Address); },
                 [this](common::HttpRequest Request) { return serve(std::move(Request)); });
    this->logStart({{"service", Flows.service()}});
    spawn(findBalancers());
    this->startTimer(
        [this](common::TimePoint Now, common::Duration PausedFor) { onTick(Now, PausedFor); });
  }

  /// Stops the agent. A live upstream keeps running, and its flows wait for the agent's restart, so
  /// the agent exits soon and keeps its record. If the upstream has ended, its flows are reset and
  /// the record is removed.
  Awaitable<void> drain() {
    Flows.stop();
    const auto Now = common::suspendAwareNow();
    const bool UpstreamEnded = Flows.registration().departed();
    common::log(common::LogLevel::Info, "stopping",
                {{"flows", Flows.flows()}, {"upstream_ended", UpstreamEnded}});
    if (UpstreamEnded)
      perform(Flows.resetOpenFlows(), {}, Now);
    reportToAll(Now);
    if (UpstreamEnded)
      co_await Record.remove();
    else
      co_await impl::sleepFor(StopFlushTime);
    common::log(common::LogLevel::Info, "stopped");
  }

  void reload(const RelayAgentOptions &NewOptions) { this->addSeeds(NewOptions.Node); }

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
  using Base::RejectLogLimiter;
  using Base::sendTo;
  using Base::sendToAll;
  using Base::spawn;
  using Base::StartedAt;
  using Base::Store;
  using Base::Zones;

  // --- packets

  void onBalancerPacket(std::span<std::uint8_t> Raw, relay::NodeAddress From) {
    const auto Now = common::suspendAwareNow();
    const auto Head = Platform::Packets::decode(Raw, relay::Side::Caller);
    if (!Head)
      return MalformedPackets.Increment();
    const auto Fields = Platform::Packets::readTransit(Raw);
    perform(Flows.onBalancerPacket(*Head, Fields, Raw, From, Now), Raw, Now);
  }

  void onUpstreamPacket(std::span<std::uint8_t> Raw) {
    const auto Now = common::suspendAwareNow();
    const auto Head = Platform::Packets::decode(Raw, relay::Side::Upstream);
    if (!Head)
      return MalformedPackets.Increment();
    const auto Fields = Platform::Packets::readTransit(Raw);
    perform(Flows.onUpstreamPacket(*Head, Fields, Now), Raw, Now);
  }

  void perform(const relay::FlowActions &Actions, std::span<std::uint8_t> Raw,
               common::TimePoint Now) {
    for (const auto &Action : Actions) {
      EventCounters[static_cast<std::size_t>(Action.Event)]->Increment();
      logEvent(Action, Now);
      performOne(Action, Raw, Now);
    }
  }

  void performOne(const relay::FlowAction &Action, std::span<std::uint8_t> Raw,
                  common::TimePoint Now) {
    using Kind = relay::FlowAction::Kind;
    const common::Endpoint Caller{Action.Key.Caller.Address, Options.Packets.Port};
    switch (Action.Operation) {
    case Kind::Deliver:
      return UpstreamSocket->send(Raw, Upstream);
    case Kind::SendToCaller:
      return PacketSocket->send(Raw, Caller);
    case Kind::ResetCaller:
      return PacketSocket->send(Platform::Packets::reset(Action.Key, Action.Sequence), Caller);
    case Kind::Return: {
      relay::Bytes Packet =
          Action.SavedPacket ? *Action.SavedPacket : relay::Bytes(Raw.begin(), Raw.end());
      Platform::Packets::clearReturned(Packet);
      return sendTo(Action.Balancer,
                    relay::ReturnedPacket{Action.Reason, Flows.load(), std::move(Packet)});
    }
    case Kind::Notify:
      return sendTo(Action.Balancer, relay::FlowNotice{Action.Key, Flows.load()});
    case Kind::Deny:
      return sendTo(Action.Balancer, relay::FlowAbsence{Action.Key});
    case Kind::Report:
      return sendTo(Action.Balancer, makeReport(Now));
    case Kind::Drop:
      return;
    }
  }

  void logEvent(const relay::FlowAction &Action, common::TimePoint Now) {
    using Event = relay::FlowEvent;
    if (Action.Event == Event::Delivered || Action.Event == Event::ToCaller ||
        Action.Event == Event::RoomAgain)
      return;
    if (!(Action.Event == Event::LostByUpstream ? mayLogReset(Now) : mayLogFlow(Now)))
      return;
    common::log(
        common::LogLevel::Info, "flow_event",
        {{"flow", packet::toString(Action.Key)},
         {"decision", name(Action.Event)},
         {"reason", Action.Operation == relay::FlowAction::Kind::Return ? name(Action.Reason) : ""},
         {"state", name(Flows.state(Now))},
         {"unanswered", Flows.load().Unanswered},
         {"flows", Flows.flows()}});
  }

  // --- messages between nodes

  void onPeerDatagram(std::span<const std::uint8_t> Raw, relay::NodeAddress From) {
    const auto Now = common::suspendAwareNow();
    const auto Message = relay::decodeMessage(Raw);
    if (!Message)
      return this->rejectMessage(Message.Failure, From, Now);
    if (const auto *Query = std::get_if<relay::FlowQuery>(&*Message)) {
      Peers.addContact(From, Now);
      return sendTo(From, Flows.onQuery(*Query, Now));
    }
    if (const auto *Query = std::get_if<relay::LoadQuery>(&*Message)) {
      Peers.addContact(From, Now);
      // A repeated query: the balancer has missed an answer, or knows this agent only from the
      // store or a peer.
      if (Query->Stamp != 0)
        sendTo(From, makeReport(Now));
      return sendTo(From, Flows.onLoadQuery(*Query, From, Now));
    }
    const auto *Beacon = std::get_if<relay::BalancerBeacon>(&*Message);
    if (Beacon == nullptr)
      return MalformedPackets.Increment();
    const auto KnownBefore = Peers.all();
    const bool IsNew = Peers.onBeacon(From, *Beacon, Now);
    this->hearStoreEra(Beacon->Era);
    // Balancers that know this agent name no other zone.
    if (Beacon->EvacuationsComplete) {
      Zones.take(Beacon->EvacuatedZones.ofZone(Options.Zone), "balancer");
      Flows.setEvacuated(Zones.current().contains(Options.Zone));
    }
    hearColdRate(*Beacon);
    reportToNewBalancers(KnownBefore, From, Now);
    if (!IsNew)
      return;
    common::log(common::LogLevel::Info, "balancer_appeared",
                {{"balancer", Beacon->Id},
                 {"address", common::addressToString(From)},
                 {"incarnation", Beacon->Incarnation}});
    sendTo(From, makeReport(Now));
  }

  /// The newest configuration that a balancer has states the bound.
  void hearColdRate(const relay::BalancerBeacon &Beacon) {
    if (!Beacon.ColdRate || Beacon.ConfigurationRevision < ColdRateRevision)
      return;
    ColdRateRevision = Beacon.ConfigurationRevision;
    const auto Bound = ColdStart.bound(*Beacon.ColdRate);
    if (std::exchange(LastColdBound, Bound) == Bound)
      return;
    Flows.setColdBound(Bound);
    common::log(common::LogLevel::Info, "cold_bound_changed",
                {{"openings_per_s", Bound.value_or(0)}, {"revision", ColdRateRevision}});
  }

  relay::AgentReport makeReport(common::TimePoint Now) {
    const auto &LastHeartbeat = Flows.registration().last();
    relay::AgentReport Report;
    Report.Id = Options.Id;
    Report.Zone = Options.Zone;
    Report.Incarnation = Incarnation;
    Report.Sequence = ++ReportNumber;
    Report.Service = Flows.service();
    Report.State = Flows.state(Now);
    Report.UpstreamIncarnation = LastHeartbeat ? LastHeartbeat->Incarnation : 0;
    Report.Slots = LastHeartbeat ? LastHeartbeat->Slots : 0;
    Report.Load = Flows.load();
    Report.ColdFor = Flows.registration().coldFor(Now);
    return Report;
  }

  /// Reports to all balancers that aren't in KnownBefore, except From. A flow of this upstream may
  /// move to any of them, and a balancer that doesn't know this agent would treat the flow as
  /// ended.
  void reportToNewBalancers(const std::vector<relay::NodeAddress> &KnownBefore,
                            relay::NodeAddress From, common::TimePoint Now) {
    auto NewBalancers = Peers.all();
    std::erase_if(NewBalancers, [&](relay::NodeAddress Balancer) {
      return Balancer == From ||
             std::binary_search(KnownBefore.begin(), KnownBefore.end(), Balancer);
    });
    if (!NewBalancers.empty())
      sendToAll(NewBalancers, makeReport(Now));
  }

  void reportToAll(common::TimePoint Now) { sendToAll(Peers.all(), makeReport(Now)); }

  void reportToAllTwice(common::TimePoint Now) {
    reportToAll(Now);
    RepeatAt = Now + ReportRepeatDelay;
  }

  void sendReports(common::TimePoint Now) {
    if (RepeatAt && Now >= *RepeatAt) {
      RepeatAt.reset();
      reportToAll(Now);
    }
    if (Now < NextReportAt)
      return;
    if (Peers.live(Now).empty()) {
      NextReportAt = Now + DiscoveryReportInterval;
      return reportToAll(Now);
    }
    NextReportAt = Now + ReportInterval;
    if (const auto Balancer = BalancerRotation.next(Peers.all()))
      sendTo(*Balancer, makeReport(Now));
  }

  void onTick(common::TimePoint Now, common::Duration PausedFor) {
    if (PausedFor > common::Duration::zero())
      Flows.onResume(Now);
    checkUpstreamGone(Now);
    perform(Flows.onTimer(Now), {}, Now);
    checkState(Now);
    sendReports(Now);
    Peers.expirePeers(Now);
    for (const auto &Answer : Flows.takeAnswerTimes())
      recordAnswerTime(Answer, Now);
    FlowGauge.Set(static_cast<double>(Flows.flows()));
    UnansweredGauge.Set(Flows.load().Unanswered);
  }

  void recordAnswerTime(const relay::AnswerTime &Answer, common::TimePoint Now) {
    AnswerSeconds.Observe(std::chrono::duration<double>(Answer.Time).count());
    if (Answer.Time < SlowAnswerThreshold || !mayLogFlow(Now))
      return;
    common::log(common::LogLevel::Info, "slow_answer",
                {{"flow", packet::toString(Answer.Key)},
                 {"answer_ms", common::wholeMilliseconds(Answer.Time)},
                 {"unanswered", Flows.load().Unanswered},
                 {"state", name(Flows.state(Now))}});
  }

  /// Resets the flows of an upstream that has ended, so that their callers can use their remaining
  /// time.
  void checkUpstreamGone(common::TimePoint Now) {
    const bool Gone = Flows.upstreamEnded(Now);
    if (std::exchange(UpstreamGone, Gone) || !Gone)
      return;
    common::log(common::LogLevel::Warning, "upstream_gone", {{"flows", Flows.flows()}});
    perform(Flows.resetOpenFlows(), {}, Now);
  }

  /// Reports a change of the upstream's state to all balancers at once.
  void checkState(common::TimePoint Now) {
    const auto State = Flows.state(Now);
    if (std::exchange(LastState, State) == State)
      return;
    common::log(common::LogLevel::Info, "upstream_state_changed",
                {{"state", name(State)},
                 {"service", Flows.service()},
                 {"flows", Flows.flows()},
                 {"unanswered", Flows.load().Unanswered}});
    // A new balancer waits for every agent with a record before it treats a flow as ended, so the
    // record of an ended upstream's agent would only delay it.
    Record.setWanted(State != relay::UpstreamState::Ended);
    reportToAllTwice(Now);
  }

  // --- heartbeats and admin

  Awaitable<common::HttpResponse> serve(common::HttpRequest Request) {
    const auto Now = common::suspendAwareNow();
    if (auto Id = Platform::Calls::heartbeatId(Request); !Id.empty())
      co_return handleHeartbeat(std::move(Id), Request.Body, Now);
    if (auto Id = Platform::Calls::departureId(Request); !Id.empty())
      co_return handleDeparture(std::move(Id), Request.Body, Now);
    if (Platform::Calls::asksReadiness(Request))
      co_return common::HttpResponse{200, "{}"};
    co_return this->serveCommonPath(Request.Path);
  }

  common::HttpResponse handleHeartbeat(std::string Id, const std::string &Body,
                                       common::TimePoint Now) {
    const auto Heartbeat = Platform::Calls::readHeartbeat(std::move(Id), Body);
    if (!Heartbeat) {
      if (RejectLogLimiter.allow(Now))
        common::log(common::LogLevel::Warning, "heartbeat_unreadable",
                    {{"detail", Heartbeat.Failure.Detail}});
      return {400, R"({"error":"unreadable heartbeat"})"};
    }
    using Effect = relay::HeartbeatEffect;
    const auto Result = Flows.onHeartbeat(*Heartbeat, Now);
    const bool Ignored = Result == Effect::Outdated || Result == Effect::Unproven;
    if (Result != Effect::Refreshed && (!Ignored || RejectLogLimiter.allow(Now)))
      common::log(Ignored ? common::LogLevel::Warning : common::LogLevel::Info, "heartbeat_taken",
                  {{"upstream", Heartbeat->Id},
                   {"service", Heartbeat->Service},
                   {"draining", Heartbeat->Draining},
                   {"incarnation", Heartbeat->Incarnation},
                   {"sequence", Heartbeat->Sequence},
                   {"effect", name(Result)}});
    checkState(Now);
    return Platform::Calls::acknowledge();
  }

  common::HttpResponse handleDeparture(std::string Id, const std::string &Body,
                                       common::TimePoint Now) {
    const auto Departure = Platform::Calls::readDeparture(std::move(Id), Body);
    if (!Departure) {
      if (RejectLogLimiter.allow(Now))
        common::log(common::LogLevel::Warning, "departure_unreadable",
                    {{"detail", Departure.Failure.Detail}});
      return {400, R"({"error":"unreadable departure"})"};
    }
    const bool Known = Flows.onDeparture(*Departure, Now);
    common::log(common::LogLevel::Info, "upstream_departed",
                {{"upstream", Departure->Id}, {"known", Known}});
    checkState(Now);
    return Platform::Calls::acknowledge();
  }

  // --- balancer records in the store

  Awaitable<void> findBalancers() {
    impl::Backoff Backoff(impl::MinCallBackoff, impl::MaxCallBackoff, Random);
    bool Listed = false;
    while (true) {
      if (!Listed || Peers.live(common::suspendAwareNow()).empty()) {
        // Balancers that this list misses find the agent through its own record.
        const auto Page = co_await Store.listRecent(impl::BalancerRecordPrefix);
        if (Page) {
          contactRecordedBalancers(*Page);
          Listed = true;
        }
        co_await impl::sleepFor(Backoff.nextDelay());
      } else {
        Backoff.reset();
        co_await impl::sleepFor(BalancerLookupInterval);
      }
    }
  }

  void contactRecordedBalancers(const relay::StorePage &Page) {
    const auto Now = common::suspendAwareNow();
    this->forEachRecord(Page, [&](const std::string &, relay::NodeAddress Address) {
      Peers.addContact(Address, Now);
    });
    reportToAllTwice(Now);
  }

  common::Endpoint Upstream;     ///< UDP address to which packets for the upstream are sent.
  common::Endpoint FromUpstream; ///< UDP address that receives the upstream's packets.
  relay::policy::ColdStartAllowance ColdStart;
  std::optional<std::size_t> LastColdBound;
  relay::Revision ColdRateRevision = 0;
  relay::UpstreamFlows Flows;
  std::unique_ptr<common::UdpSocket> UpstreamSocket;
  common::TimePoint NextReportAt{};
  std::optional<common::TimePoint> RepeatAt;
  relay::Rotation BalancerRotation;
  std::uint64_t ReportNumber = 0;
  bool UpstreamGone = false;
  relay::UpstreamState LastState = relay::UpstreamState::Unknown;

  std::array<prometheus::Counter *, relay::FlowEventCount> EventCounters{};
  prometheus::Gauge &UnansweredGauge;
  prometheus::Histogram &AnswerSeconds;
};

} // namespace galenarelay::node

#endif // GALENARELAY_NODE_RELAY_AGENT_H
