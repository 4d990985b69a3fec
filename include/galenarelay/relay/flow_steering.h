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

/// A first packet that no upstream has accepted within this time goes to another agent: several
/// times the way to an agent in another zone and the answer of its upstream.
inline constexpr common::Duration PlacementTimeout = std::chrono::milliseconds(60);
/// Agents that may decline a first packet because they are busy before one of them must take it.
inline constexpr std::size_t MaxBusyReturns = 2;
/// Agents that a first packet is offered to in all.
inline constexpr std::size_t MaxPlacements = 8;
/// Callers stop waiting for the answer to a first packet after this time.
inline constexpr common::Duration OpenTimeout = std::chrono::milliseconds(1400);
/// Time for peers to name agents that are in no record of the store.
inline constexpr common::Duration ListSettleTime = std::chrono::milliseconds(300);
/// First packets that wait. At the bound a new one is refused at once.
inline constexpr std::size_t MaxHeldFlows = 1000;
/// A caller's packet that repeats an earlier one is taken for a sign that its agent may be lost if
/// the agent has not been heard for this time: half a caller's first retransmission interval.
inline constexpr common::Duration RepeatDoubt = std::chrono::milliseconds(100);
/// Packets that agents which are unsure of flows are given in one call, so that the restart of all
/// agents doesn't flood upstreams with packets of flows that they don't hold.
inline constexpr std::size_t MaxDoubtedPackets = 200;
/// An ended flow is remembered for its last packets: longer than three retransmissions.
inline constexpr common::Duration EndedRetention = std::chrono::seconds(4);
/// A flow without packets is forgotten after this time; a search finds it again.
inline constexpr common::Duration IdleRetention = std::chrono::seconds(60);
/// Opening times kept until they are taken; further ones are left out of the metrics.
inline constexpr std::size_t MaxOpeningTimes = 1000;
/// Flows in the table. At the bound a new flow is dropped, and its caller tries again.
inline constexpr std::size_t MaxSteeredFlows = 500'000;
/// A node that started less than this ago may not know all agents, and refuses nothing finally.
inline constexpr common::Duration ViewSettleTime = std::chrono::milliseconds(1500);

/// Why a packet was treated as it was, for logs and counters.
enum class SteeringReason : std::uint8_t {
  Placed,        ///< New flow.
  PlacedAgain,   ///< New flow that an earlier agent did not take.
  Insisted,      ///< New flow at a busy upstream, since all are.
  Known,         ///< The flow's agent is known.
  Searched,      ///< Waits until agents have told which of them holds the flow.
  NoRoute,       ///< The configuration has no such service endpoint.
  NoUpstream,    ///< No upstream of the service takes the flow.
  Held,          ///< All upstreams are full; the flow waits for one of them.
  Asked,         ///< The agent tells its load before a new flow is placed.
  Overloaded,    ///< The flow has waited for as long as its caller does, or too many wait.
  NotReady,      ///< This node doesn't know enough yet.
  SearchLimited, ///< Dropped since too many packets wait for searches.
  TableFull,
  HeldNowhere, ///< All agents deny the flow: its upstream has ended.
  AgentLost    ///< The flow's agent is unreachable, and the caller may repeat its requests.
};
inline constexpr std::size_t SteeringReasons = 15;

[[nodiscard]] std::string_view name(SteeringReason Reason) noexcept;

/// What to do with a packet.
struct SteeringAction {
  enum class Kind : std::uint8_t {
    Forward,
    Reset,
    Ask, ///< Send a LoadQuery to the agent.
    Drop
  };

  Kind What = Kind::Drop;
  SteeringReason Reason = SteeringReason::NotReady;
  packet::FlowKey Key;
  NodeAddress Agent = 0;              ///< For Forward and Ask.
  Transit Fields;                     ///< For Forward.
  std::uint32_t Sequence = 0;         ///< For Reset.
  std::uint8_t Attempt = 0;           ///< Placements of the flow so far.
  std::shared_ptr<const Bytes> Saved; ///< The packet, if it isn't the one that just arrived.
};

/// Most packets lead to one or two actions, which then need no memory of their own.
using SteeringActions = boost::container::small_vector<SteeringAction, 2>;

/// A balancer's decisions on packets from callers: places new flows, and forwards the others to
/// the agent whose upstream holds their flow. All its state may be lost at any time.
class FlowSteering {
public:
  FlowSteering(NodeAddress Self, UpstreamDirectory &Directory, common::TimePoint StartedAt,
               policy::Mechanisms InUse = {});

  void setRoutes(std::shared_ptr<const RouteTable> Table) { Routes = std::move(Table); }
  [[nodiscard]] const RouteTable &routes() const noexcept { return *Routes; }
  /// This process stood still: until its view has settled again, nothing is refused finally.
  void restartSettling(common::TimePoint Now) noexcept { StartedAt = Now; }
  /// The store has told which agents exist, so that a search that all of them deny is complete.
  void setAgentsListed(common::TimePoint Now) noexcept { AgentsListedAt = Now; }
  /// Whether the routes are known to be current, so that an unknown endpoint is refused at once.
  void setRoutesCurrent(bool Current) noexcept { RoutesCurrent = Current; }
  [[nodiscard]] std::size_t flows() const noexcept { return Flows.size(); }
  [[nodiscard]] std::size_t searches() const noexcept { return Search.size(); }
  /// The agent of a flow; 0 if it isn't known.
  [[nodiscard]] NodeAddress agentOf(const packet::FlowKey &Key) const;

  [[nodiscard]] SteeringActions onPacket(const PacketHead &Head, std::span<const std::uint8_t> Raw,
                                         common::TimePoint Now);
  /// A packet that an agent gave back, without the mark of its upstream.
  [[nodiscard]] SteeringActions onReturned(const PacketHead &Head, const ReturnedPacket &Returned,
                                           NodeAddress From, common::TimePoint Now);
  /// Questions to agents for flows that are searched, and resets of flows that nobody holds.
  [[nodiscard]] FlowSearch::Questions takeQuestions(common::TimePoint Now, SteeringActions &Out);
  [[nodiscard]] SteeringActions onAnswer(const FlowAnswer &Answer, NodeAddress From,
                                         common::TimePoint Now);
  /// An agent's upstream has denied a flow.
  [[nodiscard]] SteeringActions onAbsence(const FlowAbsence &Absence, NodeAddress From,
                                          common::TimePoint Now);
  /// Resets the flows of an agent that can't be reached, if their requests may be repeated. Others
  /// wait: an upstream that lives may have an answer ready.
  [[nodiscard]] SteeringActions onAgentLost(NodeAddress Agent);
  [[nodiscard]] SteeringActions onNotice(const FlowNotice &Notice, NodeAddress From,
                                         common::TimePoint Now);
  /// An agent has told its load: flows that wait for that, or for room, may be placed.
  [[nodiscard]] SteeringActions onLoadKnown(common::TimePoint Now);
  /// Whether packets wait here that nobody else knows of: first packets without an upstream, and
  /// those of flows that are searched.
  [[nodiscard]] bool holdsPackets() const noexcept {
    return !HeldFlows.empty() || !AskingFlows.empty() || Search.size() > 0;
  }
  /// This process ends: refuses the first packets that wait, which have not run, so that their
  /// callers try again at once.
  [[nodiscard]] SteeringActions refuseWaiting();
  /// Times from first packets to their acceptance, since the last call.
  [[nodiscard]] std::vector<common::Duration> takeOpeningTimes() {
    return std::exchange(OpeningTimes, {});
  }
  /// Places flows again whose agent has not answered; forgets old flows.
  [[nodiscard]] SteeringActions onTimer(common::TimePoint Now);

private:
  /// A new flow until an upstream accepts it.
  struct Opening {
    std::string Service;
    FlowKind Kind = FlowKind::Short;
    policy::WaitingFlow Caller;
    std::shared_ptr<const Bytes> Packet;
    std::vector<NodeAddress> Candidates;     ///< Best first.
    std::size_t Considered = NearCandidates; ///< How many of them may get the flow so far.
    std::vector<NodeAddress> Tried;          ///< In order; the last one has the packet.
    std::vector<NodeAddress> Busy; ///< Those of Tried that declined because they are busy.
    bool Waiting = false;          ///< The last one of Tried has not declined yet.
    bool Asking = false;           ///< In AskingFlows.
    bool Held = false;             ///< In HeldFlows.
    bool WasHeld = false;
    bool OthersWait = false; ///< Further held flows go to the same service.
    bool MetFull = false;    ///< An agent declined because its upstream has enough work.
  };
  enum class Phase : std::uint8_t { Opening, Open, Searching, Ended };
  struct Flow {
    Phase State = Phase::Opening;
    NodeAddress Agent = 0;
    NodeAddress Other = 0; ///< A second agent whose upstream accepted the first packet.
    common::TimePoint StateAt{};
    common::TimePoint UsedAt{};
    bool HasAcknowledgement = false;
    bool HasData = false;
    std::uint32_t Acknowledgement = 0; ///< The caller's last one, near which a reset must be.
    std::uint32_t DataEnd = 0;         ///< Sequence number after the caller's data so far.
    std::unique_ptr<Opening> Open;
  };
  using FlowMap = std::unordered_map<packet::FlowKey, Flow, packet::FlowKeyHash>;

  void openFlow(const PacketHead &Head, std::span<const std::uint8_t> Raw, common::TimePoint Now,
                SteeringActions &Out);
  void repeatFirstPacket(const PacketHead &Head, Flow &Held, common::TimePoint Now,
                         SteeringActions &Out);
  /// Where a new flow may go.
  enum class Scope : std::uint8_t {
    Candidates, ///< Those of the flow, asked for their load if the figure is old.
    Service     ///< Any agent of the service, by the figures at hand.
  };
  void place(const packet::FlowKey &Key, Flow &Held, Scope Where, common::TimePoint Now,
             SteeringActions &Out);
  void placeAt(NodeAddress Agent, bool Insist, const packet::FlowKey &Key, Flow &Held,
               common::TimePoint Now, SteeringActions &Out);
  /// An agent that has not been tried and isn't full; empty if there is none, or enough were tried,
  /// or while agents are asked (Opening::Asking).
  [[nodiscard]] std::optional<NodeAddress> nextChoice(const packet::FlowKey &Key, Opening &Open,
                                                      Scope Where, common::TimePoint Now,
                                                      SteeringActions &Out);
  /// Asks the agents under consideration whose figures are old; true while an answer may come.
  bool askConsidered(const packet::FlowKey &Key, const Opening &Open, common::TimePoint Now,
                     SteeringActions &Out);
  void continueAsking(common::TimePoint Now, SteeringActions &Out);
  void hold(const packet::FlowKey &Key, Flow &Held, common::TimePoint Now, SteeringActions &Out);
  void keepHeld(const packet::FlowKey &Key, Flow &Held, SteeringActions &Out);
  void releaseHeld(common::TimePoint Now, SteeringActions &Out);
  template <policy::ReleaseOrder Order>
  void releaseBy(const Order &Ranking, common::TimePoint Now, SteeringActions &Out);
  [[nodiscard]] std::optional<NodeAddress> leastBusy(Opening &Open) const;
  /// The flow, if it is held; null otherwise.
  [[nodiscard]] Flow *heldFlow(const packet::FlowKey &Key);
  void refuse(const packet::FlowKey &Key, SteeringReason Reason, SteeringActions &Out);
  /// Sends the packet that just arrived, or a saved one, to the agent of a flow.
  void forwardKnown(const packet::FlowKey &Key, const Flow &Held, SteeringActions &Out,
                    std::shared_ptr<const Bytes> Saved = {}) const;
  /// Sends it to an agent that may hold the flow.
  void forwardSearch(const packet::FlowKey &Key, NodeAddress Agent, SteeringActions &Out,
                     std::shared_ptr<const Bytes> Saved = {}) const;
  void forwardOpen(const PacketHead &Head, Flow &Held, std::span<const std::uint8_t> Raw,
                   common::TimePoint Now, SteeringActions &Out);
  void search(const packet::FlowKey &Key, Flow &Held, std::span<const std::uint8_t> Raw,
              common::TimePoint Now, SteeringActions &Out);
  void endSearch(const packet::FlowKey &Key, Flow &Held, SteeringActions &Out);
  void concludeNowhere(const packet::FlowKey &Key, common::TimePoint Now, SteeringActions &Out);
  static void noteAcknowledgement(const PacketHead &Head, Flow &Held);
  /// Asks the agent of a flow whose caller repeats itself.
  void noteCallerData(const PacketHead &Head, Flow &Held, common::TimePoint Now,
                      SteeringActions &Out);
  void ask(NodeAddress Agent, const packet::FlowKey &Key, common::TimePoint Now,
           SteeringActions &Out);
  [[nodiscard]] std::vector<NodeAddress> candidatesOf(const packet::FlowKey &Key) const;
  [[nodiscard]] bool mayConclude(common::TimePoint Now) const;
  /// Whether a caller may repeat the requests of a flow.
  [[nodiscard]] bool repeatable(const packet::FlowKey &Key) const noexcept;
  [[nodiscard]] Transit transitTo(std::string_view Service, bool Search, bool Insist) const;
  void forgetOld(common::TimePoint Now);
  void setState(Flow &Held, Phase State, common::TimePoint Now) {
    Held.State = State;
    Held.StateAt = Now;
  }

  NodeAddress Self;
  UpstreamDirectory &Directory;
  common::TimePoint StartedAt;
  policy::Mechanisms InUse;
  std::shared_ptr<const RouteTable> Routes = std::make_shared<RouteTable>();
  bool RoutesCurrent = false;
  std::optional<common::TimePoint> AgentsListedAt;
  FlowMap Flows;
  std::deque<std::pair<common::TimePoint, packet::FlowKey>> PlacementChecks;
  FlowSearch Search;
  std::vector<packet::FlowKey> HeldFlows;
  std::unordered_map<std::string, policy::ReleaseRate> Releases; ///< By service.
  std::vector<packet::FlowKey> AskingFlows;
  std::size_t DoubtedPackets = 0; ///< Since the last timer call.
  std::vector<common::Duration> OpeningTimes;
  common::BucketSweep Sweep;
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_FLOW_STEERING_H
