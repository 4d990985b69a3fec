#ifndef GALENARELAY_RELAY_UPSTREAM_FLOWS_H
#define GALENARELAY_RELAY_UPSTREAM_FLOWS_H

#include "galenarelay/common/bucket_sweep.h"
#include "galenarelay/relay/packet_head.h"
#include "galenarelay/relay/peer_message.h"
#include "galenarelay/relay/policy/cold_start_limit.h"
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

/// Time within which the upstream must answer the SYN of a flow; after it the SYN is
/// returned to the balancer, which tries another upstream. An upstream on the same instance answers
/// within a millisecond. Shorter than a caller's first retransmission interval (200 ms).
inline constexpr common::Duration FirstAnswerTimeout = std::chrono::milliseconds(80);
/// Maximum number of flows in the table. At the bound new flows are declined.
inline constexpr std::size_t MaxUpstreamFlows = 50'000;
/// How long a closed flow stays in the table, so that its last packets are still delivered.
inline constexpr common::Duration ClosedRetention = std::chrono::seconds(4);
/// How long a flow without packets stays in the table; the upstream closes it long before.
inline constexpr common::Duration IdleFlowRetention = std::chrono::seconds(90);
/// Bounds of the time for which an accepted flow counts as load before its first request arrives.
/// After it the caller has given up or answered another upstream. The time is estimated from the
/// delays seen so far. The lower bound is a round trip to a caller, the upper one covers a
/// retransmission by the caller.
inline constexpr common::Duration MinRequestTimeout = std::chrono::milliseconds(20);
inline constexpr common::Duration MaxRequestTimeout = std::chrono::milliseconds(500);
/// A flow without packets for this time no longer counts as load: its caller gave up without
/// closing it. Longer than a sender's longest retransmission interval (1.6 s) and than the upstream
/// works on any request.
inline constexpr common::Duration AbandonedTimeout = std::chrono::seconds(10);
/// Balancers that are notified when the upstream has room again; further ones learn it from the
/// agent's next report.
inline constexpr std::size_t MaxWaitingBalancers = 100;
/// How long a flow that the upstream has not confirmed or accepted stays in the table.
inline constexpr common::Duration UnconfirmedRetention = std::chrono::seconds(2);
/// An upstream exits once its departure is acknowledged. Its flows count as ended after this time,
/// in which an acknowledgement that waits behind other work is sent.
inline constexpr common::Duration DepartureGrace = std::chrono::milliseconds(100);
/// A longer time between two timer calls means that the process was suspended in between.
inline constexpr common::Duration SuspensionThreshold = std::chrono::milliseconds(500);

/// Reason of an action, which the metrics count and the log names.
enum class FlowEvent : std::uint8_t {
  OpenOffered,    ///< SYN delivered to the upstream.
  OpenDeclined,   ///< SYN returned to the balancer.
  Accepted,       ///< The upstream answered a SYN.
  Delivered,      ///< Packet of a known flow, delivered to the upstream.
  Doubted,        ///< Packet of an unknown flow, delivered to see whether the upstream holds it.
  NotHeld,        ///< Packet of a flow that the upstream doesn't hold.
  RoomAgain,      ///< The upstream can accept a flow again after it was full.
  LostByUpstream, ///< The upstream restarted or ended and lost a flow that it held.
  Adopted,        ///< The upstream holds a flow whose opening this process has not seen.
  ToCaller,
  ZoneEvacuated ///< SYN returned to the balancer, as the operator has evacuated the zone.
};
inline constexpr std::size_t FlowEventCount = 11;

[[nodiscard]] std::string_view name(FlowEvent Event) noexcept;

/// An action that the caller of UpstreamFlows carries out.
struct FlowAction {
  enum class Kind : std::uint8_t {
    Deliver,
    SendToCaller,
    ResetCaller,
    Return, ///< Send the packet back to a balancer.
    Notify, ///< Tell a balancer that the upstream holds the flow.
    Deny,   ///< Answer a search: the upstream doesn't hold the flow.
    Report, ///< Send a report to a balancer that waits until the upstream has room.
    Drop
  };

  Kind Operation = Kind::Drop;
  FlowEvent Event = FlowEvent::NotHeld;
  packet::FlowKey Key;
  NodeAddress Balancer = 0; ///< For Return, Notify, Deny and Report.
  ReturnReason Reason = ReturnReason::NotHeld;
  std::uint32_t Sequence = 0; ///< For ResetCaller: sequence number of the reset.
  /// The packet; null if it is the one that just arrived.
  std::shared_ptr<const Bytes> SavedPacket;
};

/// Most packets lead to one or two actions, which are stored without an allocation.
using FlowActions = boost::container::small_vector<FlowAction, 2>;

/// Time from a request's first packet to the first data of the upstream's response.
struct AnswerTime {
  packet::FlowKey Key;
  common::Duration Time{};

  friend bool operator==(const AnswerTime &, const AnswerTime &) = default;
};

/// Answer times kept between calls of takeAnswerTimes(); further ones are missing in the metrics.
inline constexpr std::size_t MaxAnswerTimes = 1000;

/// Tracks the flows of an agent's upstream and decides what happens to their packets. The upstream
/// is the authority on its flows: if the table may be incomplete, a packet of an unknown flow is
/// delivered to the upstream, whose response tells whether it holds the flow.
class UpstreamFlows {
public:
  UpstreamFlows(std::string SettingsService, common::Duration HeartbeatInterval,
                common::TimePoint StartedAt, policy::Mechanisms InUse = {});

  [[nodiscard]] HeartbeatEffect onHeartbeat(const Heartbeat &Received, common::TimePoint Now);
  /// Notes that the upstream is about to exit. Returns false if it is another one that exits.
  bool onDeparture(const Departure &Received, common::TimePoint Now);
  /// Declines new flows from now on, as this process is about to stop.
  void stop() noexcept { Stopping = true; }
  /// Sets whether the operator has evacuated the upstream's zone. If so, new flows are declined;
  /// open ones stay.
  void setEvacuated(bool IsEvacuated) noexcept { Evacuated = IsEvacuated; }

  /// Sets the bound of openings in any second while the upstream is cold; empty for none.
  void setColdBound(std::optional<std::size_t> Openings) noexcept { ColdBound = Openings; }

  [[nodiscard]] FlowActions onBalancerPacket(const PacketHeader &Head, const Transit &Fields,
                                             std::span<const std::uint8_t> Raw,
                                             NodeAddress Balancer, common::TimePoint Now);
  [[nodiscard]] FlowActions onUpstreamPacket(const PacketHeader &Head, const Transit &Fields,
                                             common::TimePoint Now);
  /// Tells which of the flows the upstream holds.
  [[nodiscard]] FlowAnswer onQuery(const FlowQuery &Query, common::TimePoint Now) const;
  /// Returns the upstream's load. If the upstream is full, the balancer is notified when it has
  /// room again.
  [[nodiscard]] LoadAnswer onLoadQuery(const LoadQuery &Query, NodeAddress Balancer,
                                       common::TimePoint Now);
  /// True if the upstream said DepartureGrace ago that it ends, or has been silent for so long that
  /// it must have ended.
  [[nodiscard]] bool upstreamEnded(common::TimePoint Now) const;
  /// To be called after this process was suspended. The upstream's silence counts from now on, and
  /// the settings are no longer relied on: they may name the service of an earlier upstream.
  void onResume(common::TimePoint Now) noexcept {
    ListeningSince = Now;
    SettingsValid = false;
  }
  /// Returns unanswered SYNs, stops counting abandoned flows and erases expired ones.
  [[nodiscard]] FlowActions onTimer(common::TimePoint Now);
  /// Returns the answer times since the last call.
  [[nodiscard]] std::vector<AnswerTime> takeAnswerTimes() { return std::exchange(AnswerTimes, {}); }
  /// Resets and closes the open flows of an upstream that has ended. An accepted flow that its
  /// caller never continued here may be open at another upstream, and isn't reset.
  [[nodiscard]] FlowActions resetOpenFlows();

  [[nodiscard]] const Registration &registration() const noexcept { return Upstream; }
  [[nodiscard]] const std::string &service() const noexcept { return Upstream.service(); }
  [[nodiscard]] UpstreamState state(common::TimePoint Now) const;
  [[nodiscard]] UpstreamLoad load() const noexcept { return {Unanswered, LongFlows}; }
  [[nodiscard]] std::size_t flows() const noexcept { return Flows.size(); }

private:
  enum class Phase : std::uint8_t {
    Unconfirmed, ///< A packet was delivered; the upstream has not shown that it holds the flow.
    Offered,     ///< The SYN was delivered; the upstream has not answered it.
    Open,
    Closed
  };
  struct Flow {
    Phase State = Phase::Unconfirmed;
    NodeAddress Balancer = 0;      ///< The one that forwarded the last packet.
    bool Searched = false;         ///< The last packet was sent to several agents.
    bool BalancerNotified = false; ///< A FlowNotice was sent to the balancer.
    bool HasInitialSequence = false;
    bool HasCallerDataEnd = false;
    bool HasUpstreamDataEnd = false;
    bool Established = false; ///< The upstream has sent more than its SYN-ACK.
    bool RequestPending = false;
    bool Long = false;
    bool CallerFinSeen = false;
    bool UpstreamFinSeen = false;
    std::uint16_t Requests = 0;
    std::uint32_t InitialSequence = 0;                  ///< Of the upstream.
    std::optional<std::uint32_t> CallerInitialSequence; ///< Known if this process saw the SYN.
    std::uint32_t CallerDataEnd = 0; ///< Sequence number after the caller's last data.
    /// The latest one; unknown until the caller has acknowledged a number of this upstream.
    std::optional<std::uint32_t> CallerAcknowledgement;
    std::uint32_t UpstreamDataEnd = 0; ///< Sequence number after the upstream's last data.
    common::TimePoint LastPacketAt{};
    common::TimePoint RequestStartedAt{};
    common::TimePoint AcceptedAt{}; ///< Time of the upstream's SYN-ACK.
    /// The SYN while the flow is Offered; the first packet outside a search while Unconfirmed.
    std::shared_ptr<const Bytes> SavedPacket;
  };
  using FlowMap = std::unordered_map<packet::FlowKey, Flow, packet::FlowKeyHash>;

  void onSyn(const PacketHeader &Head, const Transit &Fields, std::span<const std::uint8_t> Raw,
             NodeAddress Balancer, common::TimePoint Now, FlowActions &Actions);
  [[nodiscard]] std::optional<ReturnReason> declineReason(const Transit &Fields,
                                                          common::TimePoint Now);
  /// Whether one more opening would exceed the bound of a cold upstream.
  [[nodiscard]] bool exceedsColdBound(common::TimePoint Now);
  /// Slots of the upstream; 0 if unknown.
  [[nodiscard]] std::uint32_t slots() const noexcept;
  [[nodiscard]] bool full() const noexcept;
  void addWaitingBalancer(NodeAddress Balancer);
  void notifyWaitingBalancer(FlowActions &Actions);
  void onReturnedByUpstream(const PacketHeader &Head, const Transit &Fields, FlowActions &Actions);
  static void saveUnlessSearched(Flow &Entry, std::span<const std::uint8_t> Raw);
  void noteCallerData(const PacketHeader &Head, Flow &Entry, common::TimePoint Now);
  void noteUpstreamData(const PacketHeader &Head, Flow &Entry, common::TimePoint Now);
  [[nodiscard]] static bool matches(const PacketHeader &Head, const Flow &Entry) noexcept;
  void expectRequest(Flow &Entry);
  void endRequest(Flow &Entry);
  /// How long an accepted flow counts as load before its first request arrives.
  [[nodiscard]] common::Duration requestTimeout() const noexcept;
  void releaseAbandoned(common::TimePoint Now, FlowActions &Actions);
  void markLong(Flow &Entry);
  void unmarkLong(Flow &Entry);
  void close(Flow &Entry);
  void eraseFlow(FlowMap::iterator Position);
  void eraseExpired(common::TimePoint Now);

  common::Duration HeartbeatInterval;
  policy::Mechanisms InUse;
  Registration Upstream;
  common::TimePoint LastSignAt; ///< Last heartbeat or packet of the upstream.
  common::TimePoint ListeningSince;
  std::optional<common::TimePoint> LastTimerAt;
  common::TimePoint DepartedAt{};
  /// True if the table has all flows of the upstream: this process has seen the upstream start, and
  /// has not taken it for ended since.
  bool TableComplete = false;
  bool Stopping = false;
  bool Evacuated = false;
  std::optional<std::size_t> ColdBound;
  policy::ColdStartLimit Openings;
  /// Until the first heartbeat the settings name the upstream's service; false after a suspension,
  /// or after a heartbeat that names another service.
  bool SettingsValid = true;
  /// The upstream left a SYN unanswered, or refused one before its first heartbeat. Its
  /// next heartbeat or packet clears this.
  bool Unresponsive = false;
  FlowMap Flows;
  std::uint32_t Unanswered = 0;
  std::uint32_t LongFlows = 0;
  std::deque<std::pair<common::TimePoint, packet::FlowKey>> AnswerDeadlines;
  /// Accepted flows with the time of their acceptance, the oldest one first.
  std::deque<std::pair<common::TimePoint, packet::FlowKey>> FlowsAwaitingRequest;
  ResponseTimeEstimator RequestDelay;       ///< From accepting a flow to its first request.
  std::deque<NodeAddress> WaitingBalancers; ///< Balancers to notify of room, in order of arrival.
  std::vector<AnswerTime> AnswerTimes;
  common::BucketSweep Sweep;
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_UPSTREAM_FLOWS_H
