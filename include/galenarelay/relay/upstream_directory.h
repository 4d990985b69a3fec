#ifndef GALENARELAY_RELAY_UPSTREAM_DIRECTORY_H
#define GALENARELAY_RELAY_UPSTREAM_DIRECTORY_H

#include "galenarelay/common/random.h"
#include "galenarelay/common/time.h"
#include "galenarelay/relay/candidates.h"
#include "galenarelay/relay/peer_message.h"
#include "galenarelay/relay/policy/placement.h"
#include "galenarelay/relay/response_time.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace galenarelay::relay {

/// A balancer that has heard no agent for this time is considered cut off from all of them. The
/// time allows for several answers to the queries that it sends after IsolationQueryDelay.
inline constexpr common::Duration IsolationTimeout = std::chrono::milliseconds(600);
/// A balancer that has heard no agent for this time queries some of them.
inline constexpr common::Duration IsolationQueryDelay = std::chrono::milliseconds(200);
/// An agent that has not been heard for this time is removed: twice the time in which its reports
/// go round 700 balancers.
inline constexpr common::Duration AgentRetention = std::chrono::minutes(5);
/// Placements use a load figure without a new query up to this age: about the service time of one
/// or two requests.
inline constexpr common::Duration LoadFreshness = std::chrono::milliseconds(60);
/// A placement waits this long for the answer to a load query: several times the round trip between
/// zones. While answers are slow it waits longer, up to MaxAnswerTimeout, at which callers first
/// retransmit their SYN.
inline constexpr common::Duration AnswerTimeout = std::chrono::milliseconds(20);
inline constexpr common::Duration MaxAnswerTimeout = std::chrono::milliseconds(200);
/// An unanswered load query is repeated after this time, doubled up to MaxQueryRepeat.
inline constexpr common::Duration QueryRepeat = std::chrono::milliseconds(100);
inline constexpr common::Duration MaxQueryRepeat = std::chrono::milliseconds(1600);
/// An agent whose upstream accepted no new flows by its last message is queried after this time,
/// since the report of a change may have been lost.
inline constexpr common::Duration UnfitQueryDelay = std::chrono::milliseconds(500);
/// Maximum number of queries repeated in one call, so that the loss of a zone doesn't fill a link.
inline constexpr std::size_t MaxRepeatedQueries = 20;
/// An agent that has left queries unanswered for this time, and has not announced a stop, isn't
/// running or can't be reached. The time is longer than the start of an agent. Twice the slowest
/// recent answer time is added, for periods of slow answers.
inline constexpr common::Duration LostTime = std::chrono::milliseconds(1200);
/// After an agent has left queries unanswered for LossQueryDelay, other balancers are queried about
/// it every LossQueryInterval.
inline constexpr common::Duration LossQueryDelay = std::chrono::milliseconds(300);
inline constexpr common::Duration LossQueryInterval = std::chrono::milliseconds(200);
/// Number of balancers that are queried about an agent, and how many of them must also find it lost
/// before it counts as lost: the failure may be that of this balancer's own link. All balancers
/// query the same witnesses about an agent.
inline constexpr std::size_t LossWitnesses = 4;
inline constexpr std::size_t MinLossWitnesses = 2;
/// An agent is lost only after it has left this many queries unanswered, since a single datagram
/// may be lost at any time.
inline constexpr std::uint32_t MinUnansweredQueries = 4;
/// A lost agent's upstream may still answer a request that its caller must not repeat, once the
/// agent is back: for at most this time, which is longer than callers wait for an answer.
inline constexpr common::Duration LostHolderRetention = std::chrono::seconds(10);
/// Replaces LostTime for an agent that has announced a stop, which then either restarts within this
/// time or stays away: several times the second that a restart takes.
inline constexpr common::Duration StoppingLostTime = std::chrono::milliseconds(2500);
/// An agent that left a SYN unanswered is suspected, and gets new flows only if no other agent is
/// available, for this time or until it is heard.
inline constexpr common::Duration SuspicionTime = std::chrono::milliseconds(500);
/// A load figure includes flows that were placed at least this long before its arrival, since an
/// agent counts a flow from its SYN: the round trip between zones and the time that an agent takes
/// to answer.
inline constexpr common::Duration PlacementDelay = std::chrono::milliseconds(5);
/// Minimum time between two reports that prove that an agent runs which states an earlier start
/// than the process before it. Late datagrams arrive together.
inline constexpr common::Duration ContenderProofTime = std::chrono::milliseconds(100);
/// Number of random agents of a service that are compared for a short flow: the power of two
/// choices (Mitzenmacher 2001).
inline constexpr std::size_t RandomChoices = 2;

/// Minimum number of cold upstreams that are taken to have started together: a single new upstream
/// says nothing about the others.
inline constexpr std::size_t MinStartedTogether = 3;

using policy::FlowKind;

/// State of an agent as known to a balancer.
struct AgentView {
  NodeAddress Address = 0;
  AgentReport Report;
  common::TimePoint HeardAt{};
  UpstreamLoad Load; ///< Latest figure, from a report, an answer or a returned packet.
  common::TimePoint LoadAt{};
  common::TimePoint ColdUntil{}; ///< The upstream is slow until then, since it has just started.
  common::TimePoint SuspectUntil{};

  friend bool operator==(const AgentView &, const AgentView &) = default;
};

/// The agents known to a balancer and their state. Detects lost agents, and chooses agents for new
/// flows.
class UpstreamDirectory {
public:
  /// Whether a report changes which flows the agent may get.
  enum class Change : std::uint8_t { None, Appeared, StateChanged, Outdated };

  UpstreamDirectory(std::string OwnZone, std::uint64_t Seed, policy::Mechanisms InUse = {})
      : OwnZone(std::move(OwnZone)), Random(Seed), InUse(InUse) {}

  Change onReport(NodeAddress From, const AgentReport &Report, common::TimePoint Now);
  /// Updates the load of an agent from a packet that it returned.
  void onLoad(NodeAddress From, const UpstreamLoad &Load, common::TimePoint Now);
  /// Updates the load and state of an agent from its answer to a load query.
  void onAnswer(NodeAddress From, const LoadAnswer &Answer, common::TimePoint Now);
  /// Notes any other message of an agent as a sign that it is running.
  void onHeard(NodeAddress From, common::TimePoint Now);
  /// Suspects an agent for SuspicionTime because it has left a SYN unanswered.
  void suspect(NodeAddress Agent, common::TimePoint Now);
  void expireAgents(common::TimePoint Now);
  /// Notes an agent that the store or a peer knows. Without effect if it has reported here.
  void noteExpected(NodeAddress Agent, common::TimePoint Now);
  /// Notes the agents that a peer has named. Returns those that have not reported here.
  std::vector<NodeAddress> noteExpectedAgents(std::span<const NodeAddress> Named,
                                              common::TimePoint Now);
  /// Called after this process was suspended: the times after which agents count as lost begin
  /// anew.
  void onResume(common::TimePoint Now) noexcept { ListeningSince = Now; }

  /// Sets the zones whose agents get no new flows.
  void setEvacuations(Evacuations Zones) { EvacuatedZones = std::move(Zones); }
  /// The MaxCandidates first agents of a service for a flow by rendezvous hashing; with
  /// Mechanism::ZonePlacement those of the own zone come first.
  [[nodiscard]] std::vector<NodeAddress> candidates(const std::string &Service,
                                                    const packet::FlowKey &Key) const;
  /// The same out of the agents whose zone isn't evacuated, for a new flow.
  [[nodiscard]] std::vector<NodeAddress> placementCandidates(const std::string &Service,
                                                             const packet::FlowKey &Key) const;
  /// The first NearCandidates of each service, for a flow whose service is unknown. Empty if these
  /// were more than MaxCandidates in all.
  [[nodiscard]] std::vector<NodeAddress> candidatesOfAll(const packet::FlowKey &Key) const;
  /// Whether the agent is to be queried for its load before a placement.
  [[nodiscard]] bool needsLoadQuery(NodeAddress Agent, common::TimePoint Now) const;
  /// Whether the answer to a query may still come in time for a placement.
  [[nodiscard]] bool awaitsLoadAnswer(NodeAddress Agent, common::TimePoint Now) const;
  /// Notes that a load query is sent to the agent.
  void noteQuery(NodeAddress Agent, common::TimePoint Now);
  /// Agents to query now: those that have left queries unanswered, those that accepted no flows
  /// when they were last heard, and some others if no agent has been heard for IsolationQueryDelay.
  [[nodiscard]] std::vector<NodeAddress> takeRepeatedQueries(common::TimePoint Now);
  /// Agents to query now out of those that are expected but have not reported.
  [[nodiscard]] std::vector<NodeAddress> takeExpectedQueries(common::TimePoint Now);
  /// The query for the agents from takeRepeatedQueries and takeExpectedQueries. They answer with a
  /// report as well.
  [[nodiscard]] static LoadQuery repeatedQuery(common::TimePoint Now) noexcept;
  /// Time to wait for an immediate answer of an agent: Least, or longer while answers are slow.
  [[nodiscard]] common::Duration answerTimeout(common::Duration Least) const noexcept {
    return AnswerTimes.timeout(Least, std::max(Least, MaxAnswerTimeout));
  }

  /// Chooses the best of the considered agents for a new flow, except Excluded and full agents.
  /// Empty if there is none.
  [[nodiscard]] std::optional<NodeAddress> chooseAmong(std::span<const NodeAddress> Considered,
                                                       FlowKind Kind,
                                                       std::span<const NodeAddress> Excluded,
                                                       common::TimePoint Now) const;
  /// Chooses an agent of the service for a new flow, except Excluded and full agents. Empty if
  /// there is none.
  [[nodiscard]] std::optional<NodeAddress> choose(const std::string &Service, FlowKind Kind,
                                                  std::span<const NodeAddress> Excluded,
                                                  common::TimePoint Now);
  /// Whether an agent of the service, except Excluded, would be usable if it weren't full.
  [[nodiscard]] bool hasFullAgent(const std::string &Service, std::span<const NodeAddress> Excluded,
                                  common::TimePoint Now) const;
  [[nodiscard]] bool isFull(NodeAddress Agent, common::TimePoint Now) const;
  /// Whether the agent's zone is evacuated.
  [[nodiscard]] bool isEvacuated(NodeAddress Agent) const;
  /// Whether all slots of the agent's upstream are taken.
  [[nodiscard]] bool isBusy(NodeAddress Agent, common::TimePoint Now) const;
  /// Adds a flow that is sent to the agent to its load until a load figure includes it.
  void notePlacement(NodeAddress Agent, FlowKind Kind, common::TimePoint Now);

  /// Reverts notePlacement for a flow that the agent returned.
  void undoPlacement(NodeAddress Agent, FlowKind Kind);

  [[nodiscard]] const AgentView *find(NodeAddress Agent) const;
  /// Agents that have reported, in ascending order.
  [[nodiscard]] std::vector<NodeAddress> agents() const;
  /// Agents of an availability zone that have reported.
  [[nodiscard]] std::vector<NodeAddress> agentsInZone(const std::string &Zone) const;
  /// Agents that have reported and may hold flows: those whose upstream hasn't ended, and that
  /// aren't lost by the judgement of takeLost.
  [[nodiscard]] std::vector<NodeAddress> reportingHolders(common::TimePoint Now) const;
  /// The same agents with the versions of their last reports.
  [[nodiscard]] std::vector<KnownAgent> knownHolders(common::TimePoint Now) const;
  /// Digest of the addresses of reportingHolders, independent of their order.
  [[nodiscard]] std::uint64_t holderDigest(common::TimePoint Now) const;
  /// Notes the holders that a peer has named. Those that are unknown here, or that have sent the
  /// peer a newer report than the one here that says their upstream has ended, are expected to
  /// report from now on. Returns those that weren't expected already.
  std::vector<NodeAddress> noteHolders(std::span<const KnownAgent> Named, common::TimePoint Now);
  /// Whether an agent has become lost within LostHolderRetention, so that it can't be asked whether
  /// its upstream holds a flow.
  [[nodiscard]] bool hasRecentlyLostAgent(common::TimePoint Now) const;
  /// Agents that may hold flows but have not reported, or not since another balancer named them:
  /// those that are expected and may still report.
  [[nodiscard]] std::vector<NodeAddress> expectedHolders(common::TimePoint Now) const;
  /// Whether all upstreams have just started, as after a loss of everything, so that none of them
  /// holds an earlier flow. False while most expected agents have not reported.
  [[nodiscard]] bool upstreamsStartedTogether(common::TimePoint Now) const;
  /// Queries about agents that may be lost, each with the balancer out of Balancers to send it to.
  [[nodiscard]] std::vector<std::pair<NodeAddress, LossQuery>>
  takeLossQueries(std::span<const NodeAddress> Balancers, common::TimePoint Now);
  /// Answers a query of another balancer. Agents of the query that have not been heard here for
  /// LossQueryDelay are queried by takeRepeatedQueries from now on.
  [[nodiscard]] LossAnswer onLossQuery(const LossQuery &Question, common::TimePoint Now);
  void onLossAnswer(const LossAnswer &Answer, NodeAddress From);
  /// Agents that have become lost since the last call: those that are lost here and for
  /// MinLossWitnesses of the other balancers, or for all if Balancers, their number, is less. Empty
  /// unless more agents are heard than lost: otherwise this node is the one that is cut off.
  [[nodiscard]] std::vector<NodeAddress> takeLost(std::size_t Balancers, common::TimePoint Now);
  /// Whether any agent has been heard within IsolationTimeout.
  [[nodiscard]] bool heardAnyAgent(common::TimePoint Now) const;
  [[nodiscard]] std::size_t size() const noexcept { return Agents.size(); }

private:
  struct Placement {
    common::TimePoint At{};
    FlowKind Kind = FlowKind::Short;
  };
  /// A process of an agent whose reports are ignored, as they may be late ones.
  struct ReportContender {
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0; ///< Of its latest report.
    common::TimePoint FirstAt{};
  };
  struct AgentEntry {
    AgentView View;
    std::deque<Placement> Placements;                 ///< Those that no load figure includes yet.
    common::TimePoint LastQueryAt{};                  ///< Time of the last query.
    std::optional<common::TimePoint> UnansweredSince; ///< Time of the first unanswered query.
    std::uint32_t UnansweredQueries = 0;              ///< Queries since UnansweredSince.
    std::set<NodeAddress> Witnesses; ///< Balancers that find the agent lost as well.
    bool ReportedLost = false;       ///< Returned by takeLost.
    std::optional<std::uint64_t> ReplacedIncarnation; ///< The one before the one in effect.
    std::optional<ReportContender> Contender;
  };
  struct ExpectedAgent {
    common::TimePoint Since{};
    common::TimePoint LastQueryAt{};
    std::uint32_t Queries = 0;
  };
  /// Whether a report takes the place of the agent's last one. Notes one that doesn't, but may be
  /// that of the running process.
  [[nodiscard]] static bool succeeds(AgentEntry &Agent, const AgentReport &Report,
                                     common::TimePoint Now);
  [[nodiscard]] std::vector<NodeAddress>
  rankByZone(const packet::FlowKey &Key, std::span<const NodeAddress> ServiceAgents) const;
  [[nodiscard]] policy::Fitness fitness(const AgentEntry &Agent, common::TimePoint Now) const;
  [[nodiscard]] policy::UpstreamStatus statusOf(const AgentEntry &Agent,
                                                common::TimePoint Now) const;
  [[nodiscard]] policy::PlacementRank rank(const policy::UpstreamStatus &Status,
                                           FlowKind Kind) const noexcept;
  /// Whether the agent has left a query unanswered for AnswerTimeout, or longer while answers are
  /// slow.
  [[nodiscard]] bool answerOverdue(const AgentEntry &Agent, common::TimePoint Now) const;
  [[nodiscard]] std::span<const NodeAddress> agentsOf(const std::string &Service) const;
  /// Whether an expected agent may still report.
  [[nodiscard]] static bool mayStillReport(const ExpectedAgent &Entry, common::TimePoint Now);
  [[nodiscard]] static bool queryDue(const AgentEntry &Agent, common::TimePoint Now);
  void noteHeard(AgentEntry &Agent, common::TimePoint Now);
  void addToService(NodeAddress Agent, const std::string &Service);
  void removeFromService(NodeAddress Agent, const std::string &Service);
  [[nodiscard]] bool isLost(const AgentEntry &Agent, common::TimePoint Now) const;
  /// Whether takeLost has returned the agent, and it is still silent.
  [[nodiscard]] bool isAgreedLost(const AgentEntry &Agent, common::TimePoint Now) const;
  [[nodiscard]] bool mayHoldFlows(const AgentEntry &Agent, common::TimePoint Now) const;
  static void dropReportedPlacements(AgentEntry &Agent);

  std::string OwnZone;
  Evacuations EvacuatedZones;
  common::Engine Random;
  policy::Mechanisms InUse;
  std::map<NodeAddress, AgentEntry> Agents;
  std::unordered_map<std::string, std::vector<NodeAddress>>
      ByService; ///< Without agents whose upstream has ended.
  std::map<NodeAddress, ExpectedAgent> Expected;
  Rotation IsolationQueryRotation;
  common::TimePoint LastIsolationQueryAt{};
  common::TimePoint LastHeardAt{};
  common::TimePoint LastLossQueryAt{};
  ResponseTimeEstimator AnswerTimes;
  common::TimePoint ListeningSince{};
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_UPSTREAM_DIRECTORY_H
