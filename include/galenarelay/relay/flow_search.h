#ifndef GALENARELAY_RELAY_FLOW_SEARCH_H
#define GALENARELAY_RELAY_FLOW_SEARCH_H

#include "galenarelay/common/time.h"
#include "galenarelay/relay/candidates.h"
#include "galenarelay/relay/peer_message.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace galenarelay::relay {

/// Questions to a flow's candidates leave at most this often, so that one message asks an agent for
/// many flows.
inline constexpr common::Duration CandidateQueryInterval = std::chrono::milliseconds(10);
/// Searches whose candidates are asked at a time.
inline constexpr std::size_t MaxCandidateSearches = 200;
/// Questions to all agents leave at most this often, for MaxQueriedFlows flows at a time. With
/// fewer agents they leave more often, at BroadcastTimePerAgent for each one asked.
inline constexpr common::Duration BroadcastInterval = std::chrono::milliseconds(50);
inline constexpr common::Duration BroadcastTimePerAgent = std::chrono::milliseconds(1);
/// Candidates that have not answered after this time are passed over: several times the way between
/// zones and an agent's turn.
inline constexpr common::Duration StageTimeout = std::chrono::milliseconds(60);
/// A flow that nobody is known to hold is asked for again after this time, doubled with each
/// question up to MaxSearchRepeat: first shorter than a caller's first retransmission.
inline constexpr common::Duration SearchRepeat = std::chrono::milliseconds(150);
inline constexpr common::Duration MaxSearchRepeat = std::chrono::milliseconds(1200);
/// A search without packets is given up after this time.
inline constexpr common::Duration SearchRetention = std::chrono::seconds(4);
/// Bounds; beyond them packets are dropped, and their callers repeat them.
inline constexpr std::size_t MaxSearches = 4000;
inline constexpr std::size_t MaxHeldPerFlow = 16; ///< A sender's packets in flight.
inline constexpr std::size_t MaxHeldPackets = 2000;
/// Questions whose answers are accepted; beyond it the oldest are forgotten.
inline constexpr std::size_t MaxPendingQueries = 4000;

/// Flows whose agent a balancer doesn't know, the packets that wait for it, and the questions to
/// agents that could hold them: first to a flow's nearest candidates, then to its other candidates,
/// and to all agents only if none of these holds it.
class FlowSearch {
public:
  using Packets = std::vector<std::shared_ptr<const Bytes>>;

  /// A message to one agent.
  struct Question {
    NodeAddress Agent = 0;
    FlowQuery Message;
  };
  using Questions = std::vector<Question>;

  /// What an answer, or the lack of one, settles.
  struct Outcome {
    std::vector<packet::FlowKey> Held;        ///< At the agent that answered.
    std::vector<packet::FlowKey> Unsure;      ///< The agent has to ask its upstream with a packet.
    std::vector<packet::FlowKey> DeniedByAll; ///< All agents deny these.
  };

  /// Whether small fleets are asked more often than at BroadcastInterval.
  void setPacedByFleetSize(bool Is) noexcept { Paced = Is; }
  /// Whether all agents are known, so that a flow that no candidate holds is asked for everywhere.
  void setMayBroadcast(bool May) noexcept { MayWiden = May; }
  /// Begins or continues a search; false if the packet had to be dropped.
  bool add(const packet::FlowKey &Key, std::uint32_t Acknowledgement,
           std::span<const std::uint8_t> Packet, common::TimePoint Now);
  /// Questions to candidates that are due. CandidatesOf(Key) names those of a flow, best first.
  template <typename F>
  requires std::convertible_to<std::invoke_result_t<F, const packet::FlowKey &>,
                               std::vector<NodeAddress>>
  [[nodiscard]] Questions takeCandidateQueries(F &&CandidatesOf, common::TimePoint Now);
  [[nodiscard]] bool broadcastDue(common::TimePoint Now) const noexcept;
  /// Questions to all agents that may hold a flow, if some are due. Settled gets the flows that
  /// all of them have denied.
  [[nodiscard]] Questions takeBroadcastQueries(std::span<const NodeAddress> Holders,
                                               common::TimePoint Now, Outcome &Settled);
  [[nodiscard]] Outcome onAnswer(const FlowAnswer &Answer, NodeAddress From);
  /// The agent's upstream doesn't hold the flow. True if all agents have denied it.
  bool onAbsence(const packet::FlowKey &Key, NodeAddress From);
  /// A packet of the flow, for an agent that is unsure; null if there is none.
  [[nodiscard]] std::shared_ptr<const Bytes> oldestPacket(const packet::FlowKey &Key) const;
  /// Ends a search and returns the packets that waited.
  [[nodiscard]] Packets finish(const packet::FlowKey &Key);
  /// Goes on with searches whose agents don't answer; forgets those whose callers have gone.
  void onTimer(common::TimePoint Now);
  [[nodiscard]] std::size_t size() const noexcept { return Searches.size(); }

private:
  enum class Stage : std::uint8_t {
    Nearest,
    Candidates,
    Paused, ///< Until the next round, since not all agents are known yet.
    Everyone
  };
  struct Search {
    Packets Waiting;
    std::uint32_t Acknowledgement = 0;
    Stage At = Stage::Nearest;
    bool Queued = false; ///< In the queue of its stage.
    bool Asked = false;  ///< In this stage.
    std::uint32_t Rounds = 0;
    std::vector<NodeAddress> Unanswered;
    std::vector<NodeAddress> Denied;
    common::TimePoint AskedAt{};
    common::TimePoint UsedAt{};
  };
  struct OpenQuestion {
    NodeAddress Agent = 0;
    std::vector<packet::FlowKey> Keys;
  };
  using SearchMap = std::unordered_map<packet::FlowKey, Search, packet::FlowKeyHash>;
  using RowsByAgent = std::unordered_map<NodeAddress, std::vector<FlowQuery::Row>>;

  void enter(const packet::FlowKey &Key, Search &Held, Stage Next);
  /// Nobody is left to wait for in a stage before the last one.
  void goOn(const packet::FlowKey &Key, Search &Held);
  /// Adds a row for each agent that has not denied the flow.
  static void ask(const packet::FlowKey &Key, Search &Held, std::span<const NodeAddress> Agents,
                  common::TimePoint Now, RowsByAgent &Rows);
  [[nodiscard]] Questions makeQuestions(const RowsByAgent &Rows);
  /// The search of a key that was taken from a queue; null if it has ended or left that queue.
  [[nodiscard]] Search *takeQueued(const packet::FlowKey &Key, bool Wide);

  SearchMap Searches;
  std::deque<packet::FlowKey> NarrowQueue;
  std::deque<packet::FlowKey> WideQueue;
  std::unordered_map<std::uint64_t, OpenQuestion> Open; ///< By number.
  std::uint64_t NextNumber = 1;
  std::uint64_t OldestNumber = 1;
  std::size_t HeldPackets = 0;
  bool MayWiden = false;
  bool Paced = true;
  common::TimePoint NarrowAt{};
  common::TimePoint WideAt{};
  common::Duration WidePause = CandidateQueryInterval; ///< After the last questions to all agents.
};

template <typename F>
requires std::convertible_to<std::invoke_result_t<F, const packet::FlowKey &>,
                             std::vector<NodeAddress>>
    FlowSearch::Questions FlowSearch::takeCandidateQueries(F &&CandidatesOf,
                                                           common::TimePoint Now) {
  if (NarrowQueue.empty() || Now - NarrowAt < CandidateQueryInterval)
    return {};
  NarrowAt = Now;
  RowsByAgent Rows;
  for (std::size_t Taken = 0; Taken < MaxCandidateSearches && !NarrowQueue.empty(); ++Taken) {
    const packet::FlowKey Key = NarrowQueue.front();
    NarrowQueue.pop_front();
    Search *Held = takeQueued(Key, false);
    if (Held == nullptr)
      continue;
    const std::vector<NodeAddress> Candidates = CandidatesOf(Key);
    const auto Near = std::min(NearCandidates, Candidates.size());
    const std::span All(Candidates);
    const bool Nearest = Held->At == Stage::Nearest;
    ask(Key, *Held, Nearest ? All.first(Near) : All.subspan(Near), Now, Rows);
    if (Held->Unanswered.empty())
      goOn(Key, *Held);
  }
  return makeQuestions(Rows);
}

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_FLOW_SEARCH_H
