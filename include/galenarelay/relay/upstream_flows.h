#ifndef GALENARELAY_RELAY_UPSTREAM_FLOWS_H
#define GALENARELAY_RELAY_UPSTREAM_FLOWS_H

#include "galenarelay/common/bucket_sweep.h"
#include "galenarelay/relay/packet_head.h"
#include "galenarelay/relay/peer_message.h"
#include "galenarelay/relay/policy/mechanism.h"
#include "galenarelay/relay/registration.h"
#include "galenarelay/relay/response_time.h"

#include <boost/container/small_vector.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace galenarelay::relay {

/// An upstream on the same instance answers a first packet within a millisecond; after this time
/// the packet goes to another one. Below a caller's first copy (200 ms).
inline constexpr common::Duration FirstAnswerTimeout = std::chrono::milliseconds(80);
/// Flows of one upstream. At the bound a new flow is declined.
inline constexpr std::size_t MaxUpstreamFlows = 50'000;
/// An ended flow is remembered for its last packets.
inline constexpr common::Duration ClosedRetention = std::chrono::seconds(4);
/// A flow without packets is forgotten after this time; the upstream closed it long before.
inline constexpr common::Duration UnusedRetention = std::chrono::seconds(90);
/// A flow that has opened without a request isn't counted as work any longer than callers usually
/// take for it: its caller gave up or answered another upstream. Bounds of that time: a packet's
/// way to a caller and back, and what a caller's second try at a packet takes.
inline constexpr common::Duration MinRequestExpectation = std::chrono::milliseconds(20);
inline constexpr common::Duration RequestExpectation = std::chrono::milliseconds(500);
/// A flow without packets for this time is no load any more: its caller gave up without a word.
/// Longer than a sender's longest retransmission interval (1.6 s) and any request's work.
inline constexpr common::Duration AbandonedAge = std::chrono::seconds(10);
/// Balancers that are told of room at the upstream; further ones learn of it from the next report.
inline constexpr std::size_t MaxWaitingBalancers = 100;
/// A packet of an unknown flow that the upstream has not answered is forgotten after this time.
inline constexpr common::Duration DoubtRetention = std::chrono::seconds(2);

/// Why an agent treated a packet as it did.
enum class FlowEvent : std::uint8_t {
  OpenOffered,    ///< First packet given to the upstream.
  OpenDeclined,   ///< First packet returned to the balancer.
  Accepted,       ///< The upstream answered a first packet.
  Delivered,      ///< Packet of a flow that the upstream holds.
  Doubted,        ///< Packet of an unknown flow, given to the upstream to find out.
  NotHeld,        ///< Packet of a flow that the upstream doesn't hold.
  RoomAgain,      ///< The upstream can take a flow after it had to decline one.
  LostByUpstream, ///< The upstream no longer holds a flow that it had: it started again.
  Adopted,        ///< The upstream holds a flow that this process has not seen open.
  ToCaller
};
inline constexpr std::size_t FlowEvents = 10;

[[nodiscard]] std::string_view name(FlowEvent Event) noexcept;

/// What to do with a packet.
struct FlowAction {
  enum class Kind : std::uint8_t {
    Deliver,
    SendToCaller,
    ResetCaller,
    Return, ///< The packet itself, to a balancer.
    Notify, ///< The flow is here.
    Deny,   ///< The flow is not here; the answer to a search.
    Report, ///< The upstream has room again, to a balancer whose flow it had none for.
    Drop
  };

  Kind What = Kind::Drop;
  FlowEvent Event = FlowEvent::NotHeld;
  packet::FlowKey Key;
  NodeAddress Balancer = 0; ///< For Return, Notify, Deny and Report.
  ReturnReason Reason = ReturnReason::NotHeld;
  std::uint32_t Sequence = 0;         ///< For ResetCaller.
  std::shared_ptr<const Bytes> Saved; ///< The packet, if it isn't the one that just arrived.
};

/// Most packets lead to one or two actions, which then need no memory of their own.
using FlowActions = boost::container::small_vector<FlowAction, 2>;

/// Time from a request's first packet to the upstream's first data.
struct AnswerTime {
  packet::FlowKey Key;
  common::Duration Time{};

  friend bool operator==(const AnswerTime &, const AnswerTime &) = default;
};

/// Answer times kept until they are taken; further ones are left out of the metrics.
inline constexpr std::size_t MaxAnswerTimes = 1000;

/// An agent's decisions on the packets of its upstream's flows. The upstream is the authority on
/// its flows: what this table has forgotten is found out by giving it the packet.
class UpstreamFlows {
public:
  UpstreamFlows(std::string SettingsService, common::Duration HeartbeatInterval,
                common::TimePoint StartedAt, policy::Mechanisms InUse = {});

  [[nodiscard]] HeartbeatEffect onHeartbeat(const Heartbeat &Heard, common::TimePoint Now);
  bool onDeparture(const std::string &Id) { return Upstream.onDeparture(Id); }
  /// New flows go elsewhere from now on: this process is about to end.
  void stop() noexcept { Stopping = true; }

  [[nodiscard]] FlowActions onBalancerPacket(const PacketHead &Head, const Transit &Fields,
                                             std::span<const std::uint8_t> Raw,
                                             NodeAddress Balancer, common::TimePoint Now);
  [[nodiscard]] FlowActions onUpstreamPacket(const PacketHead &Head, const Transit &Fields,
                                             common::TimePoint Now);
  /// Which of the flows are here.
  [[nodiscard]] FlowAnswer onQuery(const FlowQuery &Query, common::TimePoint Now) const;
  /// The upstream's load. If it is full, the balancer is told when there is room again.
  [[nodiscard]] LoadAnswer onLoadQuery(const LoadQuery &Question, NodeAddress Balancer,
                                       common::TimePoint Now);
  /// True if the upstream has given no sign of life for so long that it has ended.
  [[nodiscard]] bool upstreamGone(common::TimePoint Now) const;
  /// This process stood still: the upstream's silence counts from now on, and the settings may name
  /// the service of an earlier upstream.
  void restartListening(common::TimePoint Now) noexcept {
    ListeningSince = Now;
    SettingsTrusted = false;
  }
  [[nodiscard]] FlowActions onTimer(common::TimePoint Now);
  /// Answers since the last call.
  [[nodiscard]] std::vector<AnswerTime> takeAnswerTimes() { return std::exchange(Answers, {}); }
  /// Resets for the open flows of an upstream that has ended.
  [[nodiscard]] FlowActions resetAll();

  [[nodiscard]] const Registration &registration() const noexcept { return Upstream; }
  [[nodiscard]] std::string service() const;
  [[nodiscard]] UpstreamState state(common::TimePoint Now) const;
  [[nodiscard]] UpstreamLoad load() const noexcept { return {Unanswered, LongFlows}; }
  [[nodiscard]] std::size_t flows() const noexcept { return Flows.size(); }

private:
  enum class Phase : std::uint8_t {
    Doubted, ///< The upstream was given a packet and may not hold the flow.
    Offered, ///< The upstream has the first packet.
    Open,
    Closed
  };
  struct Flow {
    Phase State = Phase::Doubted;
    NodeAddress Balancer = 0; ///< The last one that forwarded a packet.
    bool Searched = false;    ///< The last packet went to several agents.
    bool Noticed = false;     ///< The balancer knows that the flow is here.
    bool HasFirstSequence = false;
    bool HasCallerSequence = false;
    bool HasUpstreamSequence = false;
    bool Established = false; ///< The upstream went on after its answer to the first packet.
    bool RequestPending = false;
    bool Long = false;
    bool CallerEnded = false;
    bool UpstreamEnded = false;
    std::uint16_t Requests = 0;
    std::uint32_t FirstSequence = 0;  ///< Of the upstream.
    std::uint32_t CallerSequence = 0; ///< End of the caller's data so far.
    std::uint32_t CallerAcknowledgement = 0;
    std::uint32_t UpstreamSequence = 0; ///< End of the upstream's data so far.
    common::TimePoint UsedAt{};
    common::TimePoint RequestAt{};
    common::TimePoint AcceptedAt{};           ///< The upstream's answer to the first packet.
    std::shared_ptr<const Bytes> FirstPacket; ///< While offered.
  };
  using FlowMap = std::unordered_map<packet::FlowKey, Flow, packet::FlowKeyHash>;

  void onFirstPacket(const PacketHead &Head, const Transit &Fields,
                     std::span<const std::uint8_t> Raw, NodeAddress Balancer, common::TimePoint Now,
                     FlowActions &Out);
  [[nodiscard]] std::optional<ReturnReason> whyDeclined(const Transit &Fields,
                                                        common::TimePoint Now) const;
  /// Slots of the upstream; 0 if it has not told.
  [[nodiscard]] std::uint32_t slots() const noexcept;
  [[nodiscard]] bool full() const noexcept;
  void noteWaiting(NodeAddress Balancer);
  void tellOfRoom(FlowActions &Out);
  void onReturnedByUpstream(const PacketHead &Head, const Transit &Fields, FlowActions &Out);
  void noteCallerData(const PacketHead &Head, Flow &Held, common::TimePoint Now);
  void noteUpstreamData(const PacketHead &Head, Flow &Held, common::TimePoint Now);
  [[nodiscard]] static bool fits(const PacketHead &Head, const Flow &Held) noexcept;
  void expectRequest(Flow &Held);
  void endRequest(Flow &Held);
  /// How long an accepted flow counts as work before its request has come.
  [[nodiscard]] common::Duration requestPatience() const noexcept;
  void endAbandoned(common::TimePoint Now, FlowActions &Out);
  void setLong(Flow &Held);
  void endLong(Flow &Held);
  void close(Flow &Held);
  void forget(FlowMap::iterator Entry);
  void forgetOld(common::TimePoint Now);

  std::string SettingsService;
  common::Duration HeartbeatInterval;
  policy::Mechanisms InUse;
  Registration Upstream;
  common::TimePoint StartedAt;
  common::TimePoint LastSignAt; ///< Last heartbeat or packet of the upstream.
  common::TimePoint ListeningSince;
  /// This process has run since before the upstream started, so that the table is complete.
  bool KnowsAllFlows = false;
  bool Stopping = false;
  bool SettingsTrusted = true; ///< The settings describe the upstream until its first heartbeat.
  /// The upstream left first packets unanswered; anything that it says clears this.
  bool Mute = false;
  FlowMap Flows;
  std::uint32_t Unanswered = 0;
  std::uint32_t LongFlows = 0;
  std::deque<std::pair<common::TimePoint, packet::FlowKey>> AnswerChecks;
  std::deque<std::pair<common::TimePoint, packet::FlowKey>> AcceptedFlows; ///< Without a request.
  ResponseTime RequestDelay;       ///< From an accepted flow to its first request.
  std::deque<NodeAddress> Waiting; ///< Balancers that wait for room, the first one first.
  std::vector<AnswerTime> Answers;
  common::BucketSweep Sweep;
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_UPSTREAM_FLOWS_H
