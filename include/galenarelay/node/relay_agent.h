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

/// Interval of reports to one balancer in turn: they tell nodes that missed a change, and that the
/// agent exists. Load is asked for.
inline constexpr common::Duration ReportInterval = std::chrono::milliseconds(200);
/// A change is reported to all balancers once more after this time, as datagrams may be lost.
inline constexpr common::Duration ReportRepeat = std::chrono::milliseconds(300);
/// Interval of reports to all addresses that may be balancers while none has answered.
inline constexpr common::Duration FirstContactInterval = std::chrono::milliseconds(60);
/// The store is asked for balancers again if none has been heard when this time has passed.
inline constexpr common::Duration LookupInterval = std::chrono::seconds(2);
/// An answer that took this long gets a log line: about a latency objective.
inline constexpr common::Duration SlowAnswer = std::chrono::milliseconds(300);
/// A stopping agent ends after this time, in which its last messages leave.
inline constexpr common::Duration AgentStopTime = std::chrono::milliseconds(20);

/// An agent of relayed flows: connects its decisions to sockets, timers and the store.
template <RelayPlatform Platform> class RelayAgent : impl::RelayNode<Platform> {
  using Base = impl::RelayNode<Platform>;
  template <typename T> using Awaitable = typename Base::template Awaitable<T>;

public:
  RelayAgent(boost::asio::io_context &Io, RelayAgentOptions Settings, common::Metrics &Metrics)
      : Base(Io, std::move(Settings.Node), Metrics, impl::AgentRecords),
        Upstream(Settings.Upstream), FromUpstream(Settings.FromUpstream),
        Flows(std::move(Settings.Service), Settings.HeartbeatInterval, StartedAt, Options.InUse),
        UnansweredGauge(
            Metrics.gauge("unanswered_requests", "Requests that the upstream has not answered")),
        AnswerSeconds(Metrics.histogram("upstream_answer_seconds",
                                        "Time from a request to the first data of its answer",
                                        {0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10})) {
    for (std::size_t I = 0; I < relay::FlowEvents; ++I)
      EventCounters[I] =
          &Metrics.counter("packets_total", "Packets by event",
                           {{"event", std::string(name(static_cast<relay::FlowEvent>(I)))}});
  }

  void start() {
    Packets = std::make_unique<common::UdpSocket>(
        Io, Options.Packets, [this](std::span<std::uint8_t> Raw, common::Endpoint From) {
          onBalancerPacket(Raw, From.Address);
        });
    Outbound = std::make_unique<common::UdpSocket>(
        Io, FromUpstream,
        [this](std::span<std::uint8_t> Raw, common::Endpoint) { onUpstreamPacket(Raw); });
    this->listen([this](std::span<std::uint8_t> Raw,
                        common::Endpoint From) { onPeerDatagram(Raw, From.Address); },
                 [this](common::HttpRequest Request) { return serve(std::move(Request)); });
    this->logStart({{"service", Flows.service()}});
    spawn(findBalancers());
    this->startTimer([this](common::TimePoint Now, common::Duration Pause) { onTick(Now, Pause); });
  }

  /// The upstream goes on without this process if it lives: flows wait until the agent is back, so
  /// that it ends soon. The flows of an upstream that has ended are reset.
  Awaitable<void> drain() {
    Flows.stop();
    const auto Now = common::suspendAwareNow();
    const bool UpstreamEnded = Flows.registration().departed();
    common::log(common::LogLevel::Info, "stopping",
                {{"flows", Flows.flows()}, {"upstream_ended", UpstreamEnded}});
    if (UpstreamEnded)
      perform(Flows.resetAll(), {}, Now);
    reportToAll(Now);
    if (UpstreamEnded)
      co_await Record.remove();
    else
      co_await impl::pauseFor(AgentStopTime);
    common::log(common::LogLevel::Info, "stopped");
  }

  void reload(const RelayAgentOptions &Fresh) { this->takeSeeds(Fresh.Node); }

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
    switch (Action.What) {
    case Kind::Deliver:
      return Outbound->send(Raw, Upstream);
    case Kind::SendToCaller:
      return Packets->send(Raw, Caller);
    case Kind::ResetCaller:
      return Packets->send(Platform::Packets::reset(Action.Key, Action.Sequence), Caller);
    case Kind::Return: {
      relay::Bytes Packet = Action.Saved ? *Action.Saved : relay::Bytes(Raw.begin(), Raw.end());
      Platform::Packets::clearReturned(Packet);
      return sendTo(Action.Balancer,
                    relay::ReturnedPacket{Action.Reason, Flows.load(), std::move(Packet)});
    }
    case Kind::Notify:
      return sendTo(Action.Balancer, relay::FlowNotice{Action.Key, Flows.load()});
    case Kind::Deny:
      return sendTo(Action.Balancer, relay::FlowAbsence{Action.Key});
    case Kind::Report:
      return sendTo(Action.Balancer, report(Now));
    case Kind::Drop:
      return;
    }
  }

  void logEvent(const relay::FlowAction &Action, common::TimePoint Now) {
    using Event = relay::FlowEvent;
    if (Action.Event == Event::Delivered || Action.Event == Event::ToCaller ||
        Action.Event == Event::RoomAgain || !mayLogFlow(Now))
      return;
    common::log(
        common::LogLevel::Info, "flow_event",
        {{"flow", packet::toString(Action.Key)},
         {"event", name(Action.Event)},
         {"reason", Action.What == relay::FlowAction::Kind::Return ? name(Action.Reason) : ""},
         {"state", name(Flows.state(Now))},
         {"unanswered", Flows.load().Unanswered},
         {"flows", Flows.flows()}});
  }

  // --- messages between nodes

  void onPeerDatagram(std::span<const std::uint8_t> Raw, relay::NodeAddress From) {
    const auto Now = common::suspendAwareNow();
    const auto Message = relay::decodeMessage(Raw);
    if (const auto *Query = Message ? std::get_if<relay::FlowQuery>(&*Message) : nullptr) {
      Peers.addContact(From, Now);
      return sendTo(From, Flows.onQuery(*Query, Now));
    }
    if (const auto *Question = Message ? std::get_if<relay::LoadQuery>(&*Message) : nullptr) {
      Peers.addContact(From, Now);
      // The balancer has missed an answer, or knows this agent only from the store.
      if (Question->Stamp != 0)
        sendTo(From, report(Now));
      return sendTo(From, Flows.onLoadQuery(*Question, From, Now));
    }
    const auto *Beacon = Message ? std::get_if<relay::BalancerBeacon>(&*Message) : nullptr;
    if (Beacon == nullptr)
      return MalformedPackets.Increment();
    const auto Before = Peers.all();
    const bool New = Peers.onBeacon(From, *Beacon, Now);
    introduce(Before, From, Now);
    if (!New)
      return;
    common::log(common::LogLevel::Info, "balancer_appeared",
                {{"balancer", Beacon->Id},
                 {"address", common::addressToString(From)},
                 {"incarnation", Beacon->Incarnation}});
    sendTo(From, report(Now));
  }

  relay::AgentReport report(common::TimePoint Now) {
    const auto &Last = Flows.registration().last();
    relay::AgentReport Made;
    Made.Id = Options.Id;
    Made.Zone = Options.Zone;
    Made.Incarnation = Incarnation;
    Made.Number = ++ReportNumber;
    Made.Service = Flows.service();
    Made.State = Flows.state(Now);
    Made.UpstreamIncarnation = Last ? Last->Incarnation : 0;
    Made.Slots = Last ? Last->Slots : 0;
    Made.Load = Flows.load();
    Made.ColdFor = Flows.registration().coldFor(Now);
    return Made;
  }

  /// Reports to balancers that have just become known, except From: a flow of this upstream may
  /// move to any of them, and one that doesn't know this agent would take the flow for ended.
  void introduce(const std::vector<relay::NodeAddress> &Before, relay::NodeAddress From,
                 common::TimePoint Now) {
    auto Fresh = Peers.all();
    std::erase_if(Fresh, [&](relay::NodeAddress Each) {
      return Each == From || std::binary_search(Before.begin(), Before.end(), Each);
    });
    if (!Fresh.empty())
      sendToAll(Fresh, report(Now));
  }

  void reportToAll(common::TimePoint Now) { sendToAll(Peers.all(), report(Now)); }

  void reportChange(common::TimePoint Now) {
    reportToAll(Now);
    RepeatAt = Now + ReportRepeat;
  }

  void sendReports(common::TimePoint Now) {
    if (RepeatAt && Now >= *RepeatAt) {
      RepeatAt.reset();
      reportToAll(Now);
    }
    if (Now < NextReport)
      return;
    if (Peers.live(Now).empty()) {
      NextReport = Now + FirstContactInterval;
      return reportToAll(Now);
    }
    NextReport = Now + ReportInterval;
    if (const auto Balancer = NextBalancer.next(Peers.all()))
      sendTo(*Balancer, report(Now));
  }

  void onTick(common::TimePoint Now, common::Duration Pause) {
    if (Pause > common::Duration::zero())
      Flows.restartListening(Now);
    noteUpstreamGone(Now);
    perform(Flows.onTimer(Now), {}, Now);
    noteState(Now);
    sendReports(Now);
    Peers.forgetOld(Now);
    for (const auto &Answer : Flows.takeAnswerTimes())
      noteAnswer(Answer, Now);
    FlowGauge.Set(static_cast<double>(Flows.flows()));
    UnansweredGauge.Set(Flows.load().Unanswered);
  }

  void noteAnswer(const relay::AnswerTime &Answer, common::TimePoint Now) {
    AnswerSeconds.Observe(std::chrono::duration<double>(Answer.Time).count());
    if (Answer.Time < SlowAnswer || !mayLogFlow(Now))
      return;
    common::log(common::LogLevel::Info, "slow_answer",
                {{"flow", packet::toString(Answer.Key)},
                 {"answer_ms", common::wholeMilliseconds(Answer.Time)},
                 {"unanswered", Flows.load().Unanswered},
                 {"state", name(Flows.state(Now))}});
  }

  /// The flows of an upstream that has ended are reset, so that their callers can use the time
  /// left.
  void noteUpstreamGone(common::TimePoint Now) {
    const bool Is = Flows.upstreamGone(Now);
    if (std::exchange(UpstreamGone, Is) || !Is)
      return;
    common::log(common::LogLevel::Warning, "upstream_gone", {{"flows", Flows.flows()}});
    perform(Flows.resetAll(), {}, Now);
  }

  /// Balancers learn of a change at once.
  void noteState(common::TimePoint Now) {
    const auto Is = Flows.state(Now);
    if (std::exchange(LastState, Is) == Is)
      return;
    common::log(common::LogLevel::Info, "upstream_state_changed",
                {{"state", name(Is)},
                 {"service", Flows.service()},
                 {"flows", Flows.flows()},
                 {"unanswered", Flows.load().Unanswered}});
    // A balancer that starts waits for every agent in the store before it takes a flow for ended.
    Record.want(Is != relay::UpstreamState::Ended);
    reportChange(Now);
  }

  // --- heartbeats and admin

  Awaitable<common::HttpResponse> serve(common::HttpRequest Request) {
    const auto Now = common::suspendAwareNow();
    if (auto Id = Platform::Calls::heartbeatId(Request); !Id.empty())
      co_return takeHeartbeat(std::move(Id), Request.Body, Now);
    if (const auto Id = Platform::Calls::departureId(Request); !Id.empty())
      co_return takeDeparture(Id, Now);
    if (Platform::Calls::asksReadiness(Request))
      co_return common::HttpResponse{200, "{}"};
    co_return this->answerCommon(Request.Path);
  }

  common::HttpResponse takeHeartbeat(std::string Id, const std::string &Body,
                                     common::TimePoint Now) {
    const auto Heard = Platform::Calls::readHeartbeat(std::move(Id), Body);
    if (!Heard) {
      if (RejectLog.allow(Now))
        common::log(common::LogLevel::Warning, "heartbeat_unreadable",
                    {{"detail", Heard.Failure.Detail}});
      return {400, R"({"error":"unreadable heartbeat"})"};
    }
    const auto Effect = Flows.onHeartbeat(*Heard, Now);
    if (Effect != relay::HeartbeatEffect::Refreshed)
      common::log(common::LogLevel::Info, "heartbeat_taken",
                  {{"upstream", Heard->Id},
                   {"service", Heard->Service},
                   {"draining", Heard->Draining},
                   {"incarnation", Heard->Incarnation},
                   {"sequence", Heard->Sequence},
                   {"effect", name(Effect)}});
    noteState(Now);
    return Platform::Calls::acknowledge();
  }

  common::HttpResponse takeDeparture(const std::string &Id, common::TimePoint Now) {
    const bool Known = Flows.onDeparture(Id);
    common::log(common::LogLevel::Info, "upstream_departed", {{"upstream", Id}, {"known", Known}});
    noteState(Now);
    return Platform::Calls::acknowledge();
  }

  // --- balancers in the store

  Awaitable<void> findBalancers() {
    impl::CallPause Pause(impl::MinCallPause, impl::MaxCallPause, Random);
    bool Listed = false;
    while (true) {
      if (!Listed || Peers.live(common::suspendAwareNow()).empty()) {
        // Balancers that this list misses learn of the agent from its own record.
        const auto Page = co_await Store.listRecent(impl::BalancerRecords);
        if (Page) {
          takeRecords(*Page);
          Listed = true;
        }
        co_await impl::pauseFor(Pause.take());
      } else {
        Pause.reset();
        co_await impl::pauseFor(LookupInterval);
      }
    }
  }

  void takeRecords(const relay::StorePage &Page) {
    const auto Now = common::suspendAwareNow();
    this->readRecords(Page, [&](const std::string &, relay::NodeAddress Address) {
      Peers.addContact(Address, Now);
    });
    reportChange(Now);
  }

  common::Endpoint Upstream;     ///< UDP, packets for the upstream.
  common::Endpoint FromUpstream; ///< UDP, packets of the upstream.
  relay::UpstreamFlows Flows;
  std::unique_ptr<common::UdpSocket> Outbound;
  common::TimePoint NextReport{};
  std::optional<common::TimePoint> RepeatAt;
  relay::Rotation NextBalancer;
  std::uint64_t ReportNumber = 0;
  bool UpstreamGone = false;
  relay::UpstreamState LastState = relay::UpstreamState::Unknown;

  std::array<prometheus::Counter *, relay::FlowEvents> EventCounters{};
  prometheus::Gauge &UnansweredGauge;
  prometheus::Histogram &AnswerSeconds;
};

} // namespace galenarelay::node

#endif // GALENARELAY_NODE_RELAY_AGENT_H
