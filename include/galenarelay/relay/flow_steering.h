#ifndef GALENARELAY_RELAY_FLOW_STEERING_H
#define GALENARELAY_RELAY_FLOW_STEERING_H

#include "galenarelay/common/bucket_sweep.h"
#include "galenarelay/relay/flow_search.h"
#include "galenarelay/relay/packet_head.h"
#include "galenarelay/relay/peer_message.h"
#include "galenarelay/relay/policy/admission.h"
#include "galenarelay/relay/policy/mechanism.h"
#include "galenarelay/relay/policy/release_order.h"
#include "galenarelay/relay/route_table.h"
#include "galenarelay/relay/upstream_directory.h"

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

/// A SYN that no upstream has accepted within this time is sent to another agent: several times the
/// round trip to an agent in another zone, including the answer of its upstream.
inline constexpr common::Duration PlacementTimeout = std::chrono::milliseconds(60);
/// Agents that may decline a SYN because they are busy before one of them is made to accept it.
inline constexpr std::size_t MaxBusyDeclines = 2;
/// Maximum number of agents that a SYN is offered to.
inline constexpr std::size_t MaxPlacements = 8;
/// Callers give up connecting if their SYN is unanswered for this time.
inline constexpr common::Duration CallerConnectTimeout = std::chrono::milliseconds(1400);
/// Time after the store's list of agents is read in which peers may name agents that are missing
/// from it.
inline constexpr common::Duration AgentListSettleTime = std::chrono::milliseconds(300);
/// Maximum number of held SYNs. At the bound a new SYN is refused at once.
inline constexpr std::size_t MaxHeldFlows = 1000;
/// Minimum time between two rankings of the held SYNs for each of them, except by the timer:
/// several times what ranking one takes, so that a full queue leaves the processor to the packets
/// that wait in the socket.
inline constexpr common::Duration RankingPause = std::chrono::microseconds(10);
/// A caller's retransmission is taken as a sign that the flow's agent may be lost if the agent has
/// not been heard for this time: half of a caller's first retransmission interval.
inline constexpr common::Duration RetransmissionDoubt = std::chrono::milliseconds(100);
/// Maximum number of packets sent between two timer calls to agents that are unsure whether they
/// hold a flow, so that a restart of all agents doesn't flood upstreams with packets of flows that
/// they don't hold.
inline constexpr std::size_t MaxUnsurePackets = 200;
/// An ended flow is kept for this time for its last packets: longer than three retransmissions.
inline constexpr common::Duration EndedRetention = std::chrono::seconds(4);
/// A flow without packets is removed from the table after this time; a search finds it again.
inline constexpr common::Duration IdleRetention = std::chrono::seconds(60);
/// The agents that other balancers named are asked again if a flow is denied later than this after
/// it: they may have stopped to expect an agent that was named then.
inline constexpr common::Duration ConfirmationValidity = std::chrono::milliseconds(1000);
/// Maximum number of opening times kept between two calls of takeOpeningTimes; further ones are
/// missing from the metrics.
inline constexpr std::size_t MaxOpeningTimes = 1000;
/// Maximum number of flows in the table. At the bound a new flow's packet is dropped, and its
/// caller retransmits it.
inline constexpr std::size_t MaxSteeredFlows = 500'000;
/// A balancer that started less than this ago may not know all agents, and so neither refuses a new
/// flow for lack of an upstream nor resets a flow that the known agents deny
/// (but see AgentListSettleTime).
inline constexpr common::Duration ViewSettleTime = std::chrono::milliseconds(1500);

/// Why a packet was forwarded, reset or dropped; for logs and counters.
enum class SteeringReason : std::uint8_t {
  Placed,      ///< New flow.
  PlacedAgain, ///< New flow that an earlier agent did not accept.
  Insisted,   ///< New flow that a busy upstream has to accept: all candidates are busy, or too many
              ///< agents declined.
  Known,      ///< The flow's agent is known.
  Searched,   ///< Agents are queried for which of them holds the flow.
  NoRoute,    ///< The configuration has no such service endpoint.
  NoUpstream, ///< No upstream of the service accepts the flow.
  Held,       ///< All upstreams are full; the flow waits for one of them.
  Asked,      ///< An agent is queried for its load before a new flow is placed.
  Overloaded, ///< The flow expires before it can be placed, or too many flows wait.
  NotReady,   ///< The endpoint is unknown, but the configuration may be outdated.
  SearchLimited, ///< Too many packets wait for searches.
  TableFull,     ///< MaxSteeredFlows flows are in the table.
  HeldNowhere,   ///< All agents deny that they hold the flow: its upstream has ended.
  CallerGone     ///< A waiting SYN is dropped: its caller has given up or reaches another node.
};
inline constexpr std::size_t SteeringReasonCount = 15;

[[nodiscard]] std::string_view name(SteeringReason Reason) noexcept;

/// What the balancer does with one packet.
struct SteeringAction {
  enum class Kind : std::uint8_t {
    Forward,
    Reset,
    QueryLoad, ///< Send a LoadQuery to the agent.
    Drop
  };

  Kind Operation = Kind::Drop;
  SteeringReason Reason = SteeringReason::NotReady;
  packet::FlowKey Key;
  NodeAddress Agent = 0;      ///< For Forward and QueryLoad.
  Transit TransitFields;      ///< For Forward.
  std::uint32_t Sequence = 0; ///< For Reset: sequence number of the RST.
  std::uint8_t Attempt = 0;   ///< Agents that have been sent the SYN so far.
  /// For a Reset with HeldNowhere: the search that found no agent.
  FlowSearch::Progress SearchProgress;
  /// The packet to forward, if it isn't the one just received.
  std::shared_ptr<const Bytes> SavedPacket;
};

/// Two actions fit without a heap allocation: most packets lead to one or two.
using SteeringActions = boost::container::small_vector<SteeringAction, 2>;

/// Decides what a balancer does with packets from callers: places new flows, and forwards packets
/// of open flows to the agent whose upstream holds the flow. The state is a cache: after its loss
/// open flows are found again by asking agents.
class FlowSteering {
public:
  FlowSteering(NodeAddress Self, UpstreamDirectory &Directory, common::TimePoint StartedAt,
               policy::Mechanisms InUse = {});

  void setRoutes(std::shared_ptr<const RouteTable> Table) { Routes = std::move(Table); }
  [[nodiscard]] const RouteTable &routes() const noexcept { return *Routes; }
  /// Called after this process was suspended: ViewSettleTime begins anew.
  void restartSettling(common::TimePoint Now) noexcept { StartedAt = Now; }
  /// Called once the store's list of agents is read: AgentListSettleTime later a flow that all
  /// agents deny is reset, even before ViewSettleTime is over.
  void noteAgentsListed(common::TimePoint Now) noexcept { AgentsListedAt = Now; }
  /// Sets whether other balancers can be asked for agents that this one doesn't know. If so, a flow
  /// that all agents known here deny is reset only after onHoldersConfirmed.
  void setSurveyPossible(bool Possible) noexcept { SurveyPossible = Possible; }
  /// Whether other balancers are to be asked for the agents that may hold flows.
  [[nodiscard]] bool needsHolderSurvey() const noexcept {
    return SurveyPossible &&
           (DenialUnconfirmed || Search.latestBroadcastStart() > HoldersConfirmedAt);
  }
  /// Called once the agents that other balancers knew at a time, or later, are in the directory.
  void onHoldersConfirmed(common::TimePoint At);
  /// Whether this balancer has had the time to hear of all agents.
  [[nodiscard]] bool agentsKnown(common::TimePoint Now) const;
  /// Sets whether the routes are known to be current. If so, an unknown endpoint is refused at
  /// once.
  void setRoutesCurrent(bool Current) noexcept { RoutesCurrent = Current; }
  [[nodiscard]] std::size_t flows() const noexcept { return Flows.size(); }
  [[nodiscard]] std::size_t searches() const noexcept { return Search.size(); }
  /// The agent that holds a flow; 0 if it isn't known.
  [[nodiscard]] NodeAddress agentOf(const packet::FlowKey &Key) const;

  /// The search for a flow; empty if it isn't searched.
  [[nodiscard]] std::optional<FlowSearch::Progress> searchOf(const packet::FlowKey &Key) const {
    return Search.contains(Key) ? std::optional(Search.progress(Key)) : std::nullopt;
  }

  [[nodiscard]] SteeringActions onPacket(const PacketHeader &Head,
                                         std::span<const std::uint8_t> Raw, common::TimePoint Now);
  /// Handles a packet that an agent returned. Returned.Packet doesn't carry the mark of its
  /// upstream.
  [[nodiscard]] SteeringActions onReturned(const PacketHeader &Head, const ReturnedPacket &Returned,
                                           NodeAddress From, common::TimePoint Now);
  /// Returns the due queries to agents for flows that are searched, and adds resets of flows that
  /// all agents deny.
  [[nodiscard]] FlowSearch::Questions takeFlowQueries(common::TimePoint Now,
                                                      SteeringActions &Actions);
  [[nodiscard]] SteeringActions onAnswer(const FlowAnswer &Answer, NodeAddress From,
                                         common::TimePoint Now);
  /// Handles an agent's message that its upstream doesn't hold a flow.
  [[nodiscard]] SteeringActions onAbsence(const FlowAbsence &Absence, NodeAddress From,
                                          common::TimePoint Now);
  /// Searches the flows of an agent that can't be reached, if their requests are idempotent; those
  /// that no other agent holds are reset. Other flows stay: an upstream that still runs may have a
  /// response ready.
  void onAgentLost(NodeAddress Agent, common::TimePoint Now);
  [[nodiscard]] SteeringActions onFlowNotice(const FlowNotice &Notice, NodeAddress From,
                                             common::TimePoint Now);
  /// Called after an agent has reported its load: places flows that wait for that or for capacity.
  [[nodiscard]] SteeringActions onLoadReported(common::TimePoint Now);
  /// Whether packets wait that no other node has: SYNs without an upstream, and packets of flows
  /// that are searched.
  [[nodiscard]] bool hasWaitingPackets() const noexcept {
    return !HeldFlows.empty() || !LoadQueryFlows.empty() || Search.size() > 0;
  }
  /// Called at shutdown: refuses the waiting SYNs. No upstream has accepted them, so that their
  /// callers may connect again at once.
  [[nodiscard]] SteeringActions refuseWaiting();
  /// Times from a SYN to its acceptance for the flows opened since the last call.
  [[nodiscard]] std::vector<common::Duration> takeOpeningTimes() {
    return std::exchange(OpeningTimes, {});
  }
  /// Places flows again whose agent has not answered, releases held flows and removes old ones.
  [[nodiscard]] SteeringActions onTimer(common::TimePoint Now);

private:
  /// A new flow that no upstream has accepted yet.
  struct PendingFlow {
    std::string Service;
    FlowKind Kind = FlowKind::Short;
    policy::WaitingFlow ReleaseInput;
    std::shared_ptr<const Bytes> Packet;
    std::vector<NodeAddress> Candidates;          ///< Best first.
    std::size_t ConsideredCount = NearCandidates; ///< Of Candidates, so far.
    std::vector<NodeAddress> TriedAgents;         ///< In order; the last one has the SYN.
    std::vector<NodeAddress> BusyAgents;          ///< Those of TriedAgents that declined as busy.
    std::uint32_t Placement = 0;                  ///< LastPlacement when the SYN was last sent.
    bool AwaitingAnswer = false; ///< The last one of TriedAgents has not answered yet.
    bool AwaitingLoad = false;   ///< Waits for load answers; its key is in LoadQueryFlows.
    bool Held = false;           ///< Waits for capacity; its key is in HeldFlows.
    bool WasHeld = false;
    bool OthersWait = false;        ///< Further flows are held for the same service.
    bool MetFullAgent = false;      ///< An agent declined as busy or full.
    bool SentToTriedAgents = false; ///< A packet after the SYN was sent to all TriedAgents.
  };
  enum class Phase : std::uint8_t { Opening, Open, Searching, Ended };
  struct FlowEntry {
    Phase State = Phase::Opening;
    NodeAddress Agent = 0;
    NodeAddress SecondAgent = 0; ///< A second agent whose upstream accepted the SYN.
    common::TimePoint StateSince{};
    common::TimePoint LastUsedAt{};
    bool HasAcknowledgement = false;
    bool HasData = false;
    std::uint16_t ServiceDigest = 0; ///< Of the service that the SYN was sent to.
    /// Of the caller's SYN; empty if this process has not seen it.
    std::optional<std::uint32_t> InitialSequence;
    std::uint32_t Acknowledgement = 0; ///< The caller's latest, which a reset must be close to.
    std::uint32_t DataEnd = 0;         ///< Sequence number after the caller's latest data.
    std::unique_ptr<PendingFlow> Pending;
  };
  using FlowMap = std::unordered_map<packet::FlowKey, FlowEntry, packet::FlowKeyHash>;

  void onNewSyn(const PacketHeader &Head, std::span<const std::uint8_t> Raw, common::TimePoint Now,
                SteeringActions &Actions);
  void onRetransmittedSyn(const PacketHeader &Head, FlowEntry &Entry, common::TimePoint Now,
                          SteeringActions &Actions);
  /// The agents that are considered for a new flow.
  enum class Scope : std::uint8_t {
    Candidates, ///< The flow's candidates, queried for their load if the known figure is old.
    Service     ///< Any agent of the service, by the known load figures.
  };
  void place(const packet::FlowKey &Key, FlowEntry &Entry, Scope PlacementScope,
             common::TimePoint Now, SteeringActions &Actions);
  void sendTo(NodeAddress Agent, bool Insist, const packet::FlowKey &Key, FlowEntry &Entry,
              common::TimePoint Now, SteeringActions &Actions);
  /// Updates the service of a pending flow if its route has changed. False without a route.
  [[nodiscard]] bool followRoute(const packet::FlowKey &Key, PendingFlow &Pending) const;
  /// The best agent that has not been tried and isn't full. Empty if there is none, if enough were
  /// tried, or while load queries are unanswered (PendingFlow::AwaitingLoad).
  [[nodiscard]] std::optional<NodeAddress> chooseNext(const packet::FlowKey &Key,
                                                      PendingFlow &Pending, Scope PlacementScope,
                                                      common::TimePoint Now,
                                                      SteeringActions &Actions);
  /// Queries the considered agents whose load figures are old. True while an answer may come.
  bool queryConsidered(const packet::FlowKey &Key, const PendingFlow &Pending,
                       common::TimePoint Now, SteeringActions &Actions);
  void placeAfterLoadAnswers(common::TimePoint Now, SteeringActions &Actions);
  void hold(const packet::FlowKey &Key, FlowEntry &Entry, common::TimePoint Now,
            SteeringActions &Actions);
  /// Removes a flow that can't be placed in time, and refuses it unless its caller is gone.
  void refuseWaitingFlow(const packet::FlowKey &Key, common::TimePoint Now,
                         SteeringActions &Actions);
  void enqueueHeld(const packet::FlowKey &Key, FlowEntry &Entry, SteeringActions &Actions);
  void releaseHeld(common::TimePoint Now, SteeringActions &Actions);
  /// Releases held flows unless they were ranked less than RankingPause for each of them ago.
  void releaseHeldIfDue(common::TimePoint Now, SteeringActions &Actions);
  template <policy::ReleaseOrder Order>
  void releaseInOrder(const Order &Policy, common::TimePoint Now, SteeringActions &Actions);
  [[nodiscard]] std::optional<NodeAddress> takeLeastBusy(PendingFlow &Pending,
                                                         common::TimePoint Now) const;
  /// The entry of a flow that waits in HeldFlows; null for other flows.
  [[nodiscard]] FlowEntry *heldFlow(const packet::FlowKey &Key);
  void refuse(const packet::FlowKey &Key, SteeringReason Reason, SteeringActions &Actions);
  /// Forwards the packet just received, or a saved one, to the agent of its flow.
  void forwardKnown(const packet::FlowKey &Key, const FlowEntry &Entry, SteeringActions &Actions,
                    std::shared_ptr<const Bytes> Saved = {}) const;
  /// Forwards the packet just received, or a saved one, to an agent that may hold its flow.
  void forwardSearch(const packet::FlowKey &Key, NodeAddress Agent, SteeringActions &Actions,
                     std::shared_ptr<const Bytes> Saved = {}) const;
  void forwardEstablished(const PacketHeader &Head, FlowEntry &Entry,
                          std::span<const std::uint8_t> Raw, common::TimePoint Now,
                          SteeringActions &Actions);
  void addToSearch(const packet::FlowKey &Key, FlowEntry &Entry, std::span<const std::uint8_t> Raw,
                   common::TimePoint Now, SteeringActions &Actions);
  /// Sends packets of searched flows to agents that need them to ask their upstreams.
  void sendCopies(common::TimePoint Now, SteeringActions &Actions);
  void finishSearch(const packet::FlowKey &Key, FlowEntry &Entry, SteeringActions &Actions);
  void resetIfDeniedByAll(const packet::FlowKey &Key, common::TimePoint Now,
                          SteeringActions &Actions);
  static void trackAcknowledgement(const PacketHeader &Head, FlowEntry &Entry);
  /// Queries the agent of a flow for its load if the caller retransmits data.
  void trackCallerData(const PacketHeader &Head, FlowEntry &Entry, common::TimePoint Now,
                       SteeringActions &Actions);
  void queryLoad(NodeAddress Agent, const packet::FlowKey &Key, common::TimePoint Now,
                 SteeringActions &Actions);
  [[nodiscard]] std::vector<NodeAddress> candidatesOf(const packet::FlowKey &Key) const;
  /// Whether callers may retry the requests of a flow.
  [[nodiscard]] bool isIdempotent(const packet::FlowKey &Key) const noexcept;
  [[nodiscard]] Transit transitTo(std::string_view Service, bool Search, bool Insist) const;
  /// Removes a flow, if there is one, whose caller uses its port for another one.
  void eraseFlow(FlowMap::iterator Position);
  void expireFlows(common::TimePoint Now);
  void setState(FlowEntry &Entry, Phase State, common::TimePoint Now) {
    Entry.State = State;
    Entry.StateSince = Now;
  }

  NodeAddress Self;
  UpstreamDirectory &Directory;
  common::TimePoint StartedAt;
  policy::Mechanisms InUse;
  std::shared_ptr<const RouteTable> Routes = std::make_shared<RouteTable>();
  bool RoutesCurrent = false;
  std::optional<common::TimePoint> AgentsListedAt;
  FlowMap Flows;
  /// A time at which a flow is placed again if its agent has not answered.
  struct PlacementCheck {
    common::TimePoint At{};
    packet::FlowKey Key;
    std::uint32_t Placement = 0; ///< PendingFlow::Placement of the transmission.
  };
  std::deque<PlacementCheck> PlacementChecks;
  std::uint32_t LastPlacement = 0; ///< Number of SYNs sent to agents.
  FlowSearch Search;
  bool SurveyPossible = false;
  common::TimePoint HoldersConfirmedAt{};
  bool DenialUnconfirmed = false; ///< All agents known here deny a flow; others may know more.
  std::vector<packet::FlowKey> HeldFlows;
  common::TimePoint ReleasedAt{}; ///< Time of the latest ranking of HeldFlows.
  std::unordered_map<std::string, policy::ReleaseRate> Releases; ///< By service.
  std::vector<packet::FlowKey> LoadQueryFlows;
  std::size_t UnsurePackets = 0; ///< Sent since the last timer call; see MaxUnsurePackets.
  std::vector<common::Duration> OpeningTimes;
  common::BucketSweep Sweep;
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_FLOW_STEERING_H
