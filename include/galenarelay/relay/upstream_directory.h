#ifndef GALENARELAY_RELAY_UPSTREAM_DIRECTORY_H
#define GALENARELAY_RELAY_UPSTREAM_DIRECTORY_H

#include "galenarelay/common/random.h"
#include "galenarelay/common/time.h"
#include "galenarelay/relay/candidates.h"
#include "galenarelay/relay/peer_message.h"
#include "galenarelay/relay/policy/mechanism.h"
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

/// A balancer that has heard no agent for this time is cut off from them: several answers to
/// questions, which it asks after IsolationQueryDelay.
inline constexpr common::Duration IsolationTimeout = std::chrono::milliseconds(600);
/// A balancer that has heard no agent for this time asks some.
inline constexpr common::Duration IsolationQueryDelay = std::chrono::milliseconds(200);
/// An agent that has said nothing for this time is forgotten: twice the time in which its reports
/// go round 700 balancers.
inline constexpr common::Duration AgentRetention = std::chrono::minutes(5);
/// A load figure is used for further placements for this time: about the work of a request or two.
inline constexpr common::Duration LoadFreshness = std::chrono::milliseconds(60);
/// A placement waits this long for an answer: several times the way between zones; longer while
/// answers are slow, but no longer than a caller's first copy takes.
inline constexpr common::Duration AnswerTimeout = std::chrono::milliseconds(20);
inline constexpr common::Duration MaxAnswerTimeout = std::chrono::milliseconds(200);
/// An unanswered question is repeated after this time, doubled up to MaxQueryRepeat.
inline constexpr common::Duration QueryRepeat = std::chrono::milliseconds(100);
inline constexpr common::Duration MaxQueryRepeat = std::chrono::milliseconds(1600);
/// An agent whose upstream took no new flows by its last message is asked after this time, since
/// the report of the change may have been lost.
inline constexpr common::Duration UnfitQueryDelay = std::chrono::milliseconds(500);
/// Questions repeated in one call, so that a lost zone doesn't fill a link.
inline constexpr std::size_t MaxRepeatedQueries = 20;
/// An agent that has left questions unanswered for this time, and did not say that it stops,
/// doesn't run or can't be reached: longer than a start. While answers are slow, the time that two
/// of them take is added.
inline constexpr common::Duration LostTime = std::chrono::milliseconds(1200);
/// Other balancers are asked about an agent that has left questions unanswered for this time, at
/// this interval.
inline constexpr common::Duration LossQueryDelay = std::chrono::milliseconds(300);
inline constexpr common::Duration LossQueryInterval = std::chrono::milliseconds(200);
/// Balancers that are asked about an agent, and those of them that must find it silent as well:
/// what is silent may be this node's own link. They are the same ones for all who ask.
inline constexpr std::size_t LossWitnesses = 4;
inline constexpr std::size_t MinLossWitnesses = 2;
/// So many questions must have been lost, as a datagram may be lost at any time.
inline constexpr std::uint32_t MinUnansweredQueries = 4;
/// An agent that said that it stops is back after this time, or never: several times the second
/// that a restart takes.
inline constexpr common::Duration StoppingLostTime = std::chrono::milliseconds(2500);
/// An agent that left a first packet unanswered gets no new flows for this time, unless it reports.
inline constexpr common::Duration SuspicionTime = std::chrono::milliseconds(500);
/// A flow placed this long before a load figure came is part of it, since an agent counts a flow
/// from its first packet: two ways between zones and the agent's turn.
inline constexpr common::Duration PlacementDelay = std::chrono::milliseconds(5);
/// Agents compared for a short flow among all: the power of two choices (Mitzenmacher 2001).
inline constexpr std::size_t RandomChoices = 2;

/// Upstreams that must be cold before their start counts as one event: a single new one is no sign
/// of what happened to the others.
inline constexpr std::size_t MinStartedTogether = 3;

/// What a new flow is likely to be.
enum class FlowKind : std::uint8_t {
  Short, ///< One request.
  Long   ///< Many requests over its life.
};

/// An agent as a balancer knows it.
struct AgentView {
  NodeAddress Address = 0;
  AgentReport Report;
  common::TimePoint HeardAt{};
  UpstreamLoad Load; ///< Newest figure, from a report, a notice or a returned packet.
  common::TimePoint LoadAt{};
  common::TimePoint ColdUntil{}; ///< The upstream is slow until then.
  common::TimePoint SuspectUntil{};

  friend bool operator==(const AgentView &, const AgentView &) = default;
};

/// A balancer's knowledge of agents, and the choice of one for a new flow.
class UpstreamDirectory {
public:
  /// Whether a report changed which flows the agent may get.
  enum class Change : std::uint8_t { None, Appeared, StateChanged, Outdated };

  UpstreamDirectory(std::string OwnZone, std::uint64_t Seed, policy::Mechanisms InUse = {})
      : OwnZone(std::move(OwnZone)), Random(Seed), InUse(InUse) {}

  Change onReport(NodeAddress From, const AgentReport &Report, common::TimePoint Now);
  /// Takes a load figure that came with a packet.
  void onLoad(NodeAddress From, const UpstreamLoad &Load, common::TimePoint Now);
  /// Takes the answer to a question.
  void onAnswer(NodeAddress From, const LoadAnswer &Answer, common::TimePoint Now);
  /// Any other message of the agent: it runs.
  void onHeard(NodeAddress From, common::TimePoint Now);
  /// A first packet sent to the agent stayed unanswered.
  void suspect(NodeAddress Agent, common::TimePoint Now);
  void forgetSilent(common::TimePoint Now);
  /// The store, or a peer, knows an agent that has not reported here.
  void expect(NodeAddress Agent, common::TimePoint Now);
  /// Expects the agents that a peer has named; returns those that have not reported here.
  std::vector<NodeAddress> expectNamed(std::span<const NodeAddress> Named, common::TimePoint Now);
  /// This process stood still: nobody is taken for lost before it could be heard again.
  void restartListening(common::TimePoint Now) noexcept { ListeningSince = Now; }

  /// The first agents of a service for a flow, by rendezvous hashing.
  [[nodiscard]] std::vector<NodeAddress> candidates(const std::string &Service,
                                                    const packet::FlowKey &Key) const;
  /// The nearest candidates for a flow of an unknown service, at most MaxCandidates of all services
  /// together; empty with more services than that.
  [[nodiscard]] std::vector<NodeAddress> candidatesOfAll(const packet::FlowKey &Key) const;
  /// Whether a placement at the agent should ask it for its load first.
  [[nodiscard]] bool needsLoadQuery(NodeAddress Agent, common::TimePoint Now) const;
  /// Whether an answer may still come in time for a placement.
  [[nodiscard]] bool awaitsLoadAnswer(NodeAddress Agent, common::TimePoint Now) const;
  /// A question to the agent is about to leave.
  void noteQuery(NodeAddress Agent, common::TimePoint Now);
  /// Agents that are to be asked again: those that left questions unanswered, those that took no
  /// flows when they were last heard, and some others if nobody has been heard for
  /// IsolationQueryDelay.
  [[nodiscard]] std::vector<NodeAddress> takeQuestions(common::TimePoint Now);
  /// Expected agents that have not reported and are to be asked (again).
  [[nodiscard]] std::vector<NodeAddress> takeExpected(common::TimePoint Now);
  /// The question for agents of takeQuestions and takeExpected. Its answer comes with a report.
  [[nodiscard]] static LoadQuery repeatedQuestion(common::TimePoint Now) noexcept;
  /// How long to wait for something that an agent does at once.
  [[nodiscard]] common::Duration patience(common::Duration Least) const noexcept {
    return Answers.patience(Least, std::max(Least, MaxAnswerTimeout));
  }

  /// Chooses the best of some agents for a new flow, none of Excluded and none that is full; empty
  /// without a usable one.
  [[nodiscard]] std::optional<NodeAddress> chooseAmong(std::span<const NodeAddress> Among,
                                                       FlowKind Kind,
                                                       std::span<const NodeAddress> Excluded,
                                                       common::TimePoint Now) const;
  /// Chooses an agent of the service for a new flow, none of Excluded and none that is full; empty
  /// without a usable one.
  [[nodiscard]] std::optional<NodeAddress> choose(const std::string &Service, FlowKind Kind,
                                                  std::span<const NodeAddress> Excluded,
                                                  common::TimePoint Now);
  /// True if an agent of the service, none of Excluded, is usable but full.
  [[nodiscard]] bool hasFullAgent(const std::string &Service, std::span<const NodeAddress> Excluded,
                                  common::TimePoint Now) const;
  [[nodiscard]] bool isFull(NodeAddress Agent) const;
  /// All slots of the agent's upstream are taken.
  [[nodiscard]] bool isBusy(NodeAddress Agent) const;
  /// Counts a flow that was sent to an agent and is in no load figure yet.
  void notePlacement(NodeAddress Agent, FlowKind Kind, common::TimePoint Now);

  /// The agent gave a flow back that was noted as placed there.
  void undoPlacement(NodeAddress Agent, FlowKind Kind);

  [[nodiscard]] const AgentView *find(NodeAddress Agent) const;
  /// Agents that have reported.
  [[nodiscard]] std::vector<NodeAddress> agents() const;
  /// Agents that may hold any flow: those that have reported and aren't lost.
  [[nodiscard]] std::vector<NodeAddress> reportingHolders(common::TimePoint Now) const;
  /// Those that are expected, have not reported, and may still do so.
  [[nodiscard]] std::vector<NodeAddress> expectedHolders(common::TimePoint Now) const;
  /// Whether all upstreams have just started: after a loss of everything none of them holds an
  /// earlier flow. False while most agents of the store's records have not reported.
  [[nodiscard]] bool upstreamsStartedTogether(common::TimePoint Now) const;
  /// Questions to Balancers about agents that may be lost, with the balancer to ask.
  [[nodiscard]] std::vector<std::pair<NodeAddress, LossQuery>>
  takeLossQueries(std::span<const NodeAddress> Balancers, common::TimePoint Now);
  /// Answers another balancer. Its doubtful agents that have not been heard here are asked by
  /// takeQuestions from now on.
  [[nodiscard]] LossAnswer onLossQuery(const LossQuery &Question, common::TimePoint Now);
  void onLossAnswer(const LossAnswer &Answer, NodeAddress From);
  /// Agents that have become lost since the last call: silent here and towards MinLossWitnesses of
  /// the Balancers known, or all if there are fewer. None are while more agents are silent than
  /// heard: then this node is the one that is cut off.
  [[nodiscard]] std::vector<NodeAddress> takeLost(std::size_t Balancers, common::TimePoint Now);
  /// True if any agent has reported lately.
  [[nodiscard]] bool hearsAgents(common::TimePoint Now) const;
  [[nodiscard]] std::size_t size() const noexcept { return Agents.size(); }

private:
  struct Placement {
    common::TimePoint At{};
    FlowKind Kind = FlowKind::Short;
  };
  struct Known {
    AgentView View;
    std::deque<Placement> Placements;                 ///< Those that no load figure contains.
    common::TimePoint AskedAt{};                      ///< The last question.
    std::optional<common::TimePoint> UnansweredSince; ///< The first question without an answer.
    std::uint32_t Unanswered = 0;                     ///< Questions since then.
    std::set<NodeAddress> Witnesses;                  ///< Balancers that find it silent as well.
    bool TakenAsLost = false;
  };
  struct Expectation {
    common::TimePoint Since{};
    common::TimePoint AskedAt{};
    std::uint32_t Questions = 0;
  };
  /// Preference between groups of agents; the best group with a member is used.
  enum class Fitness : std::uint8_t { Good, Doubtful, Unfit };

  [[nodiscard]] Fitness fitness(const Known &Agent, common::TimePoint Now) const;
  [[nodiscard]] static bool full(const Known &Agent);
  [[nodiscard]] double score(const Known &Agent, FlowKind Kind, common::TimePoint Now) const;
  /// True if the agent has left a question unanswered for AnswerTimeout.
  [[nodiscard]] bool silent(const Known &Agent, common::TimePoint Now) const;
  [[nodiscard]] std::span<const NodeAddress> agentsOf(const std::string &Service) const;
  /// True if an agent of the store's records may still report.
  [[nodiscard]] static bool awaited(const Expectation &Each, common::TimePoint Now);
  [[nodiscard]] static bool questionDue(const Known &Agent, common::TimePoint Now);
  void noteHeard(Known &Agent, common::TimePoint Now);
  void enlist(NodeAddress Agent, const std::string &Service);
  void delist(NodeAddress Agent, const std::string &Service);
  [[nodiscard]] bool lost(const Known &Agent, common::TimePoint Now) const;
  static void dropCounted(Known &Agent);

  std::string OwnZone;
  common::Engine Random;
  policy::Mechanisms InUse;
  std::map<NodeAddress, Known> Agents;
  std::unordered_map<std::string, std::vector<NodeAddress>> ByService; ///< Without ended ones.
  std::map<NodeAddress, Expectation> Expected;
  Rotation AskedWhenCutOff;
  common::TimePoint AskedWhenCutOffAt{};
  common::TimePoint LastHeardAt{};
  common::TimePoint LossQueryAt{};
  ResponseTime Answers;
  common::TimePoint ListeningSince{};
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_UPSTREAM_DIRECTORY_H
