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

/// Minimum time between two rounds of queries to candidates, so that one message asks an agent for
/// many flows.
inline constexpr common::Duration CandidateQueryInterval = std::chrono::milliseconds(10);
/// Maximum number of searches whose candidates are queried in one round.
inline constexpr std::size_t MaxCandidateSearches = 200;
/// Minimum time between two rounds of queries to all agents, each for at most MaxQueriedFlows
/// flows. For small fleets the time is shorter: BroadcastTimePerAgent for each queried agent, but
/// at least CandidateQueryInterval.
inline constexpr common::Duration BroadcastInterval = std::chrono::milliseconds(50);
inline constexpr common::Duration BroadcastTimePerAgent = std::chrono::milliseconds(1);
/// A search goes on to its next stage if candidates have not answered for this time: several times
/// the round trip between zones and the time that an agent takes to answer.
inline constexpr common::Duration StageTimeout = std::chrono::milliseconds(60);
/// A search that has found no agent starts again after this time, doubled with each round up to
/// MaxSearchRepeat. The initial value is less than a caller's first retransmission interval.
inline constexpr common::Duration SearchRepeat = std::chrono::milliseconds(150);
inline constexpr common::Duration MaxSearchRepeat = std::chrono::milliseconds(1200);
/// A packet of a searched flow goes to one unsure agent at a time, so that no copies are under way
/// once the flow's upstream has one. The next agent gets it if the last one denies the flow, or has
/// not answered for this time. An upstream returns a packet of a flow that it doesn't hold within
/// milliseconds, but its agent answers for a flow that it holds only with the upstream's next
/// packet, which may be the response to the request; hence twice a caller's first retransmission
/// interval.
inline constexpr common::Duration CopyTimeout = std::chrono::milliseconds(400);
/// A search is given up if no packet of its flow arrives for this time.
inline constexpr common::Duration SearchRetention = std::chrono::seconds(4);
/// Bounds of searches and waiting packets. Beyond them packets are dropped, and their callers
/// retransmit them.
inline constexpr std::size_t MaxSearches = 4000;
inline constexpr std::size_t MaxHeldPerFlow = 16; ///< Packets that a sender may have in flight.
inline constexpr std::size_t MaxHeldPackets = 2000;
/// Answers are accepted only to this many of the latest queries.
inline constexpr std::size_t MaxRecentQueries = 4000;

/// Searches for the agents of flows that a balancer doesn't know, and keeps the packets of these
/// flows meanwhile. A search queries a flow's first candidates, then its other candidates, and all
/// agents only if none of the candidates holds the flow.
class FlowSearch {
public:
  using Packets = std::vector<std::shared_ptr<const Bytes>>;

  /// A query to one agent for one or more flows.
  struct Question {
    NodeAddress Agent = 0;
    FlowQuery Message;
  };
  using Questions = std::vector<Question>;

  /// Flows whose search has made progress.
  struct Outcome {
    std::vector<packet::FlowKey> HeldByAgent; ///< Held by the agent that answered.
    std::vector<packet::FlowKey> DeniedByAll; ///< Denied by all agents.
  };

  /// Progress of the search for one flow.
  struct Progress {
    std::size_t Denials = 0;       ///< Agents that have denied the flow.
    std::size_t Awaited = 0;       ///< Agents whose answer is outstanding.
    common::TimePoint StartedAt{}; ///< Arrival of the flow's first packet.

    friend bool operator==(const Progress &, const Progress &) = default;
  };

  /// Sets whether small fleets are queried more often than at BroadcastInterval.
  void setPacedByFleetSize(bool Enabled) noexcept { PacedByFleetSize = Enabled; }
  /// Sets whether a flow that no candidate holds is searched at all agents. To be false until all
  /// agents are known.
  void setMayBroadcast(bool Allowed) noexcept { MayBroadcast = Allowed; }
  /// Starts or continues a search without a packet. Returns false if there are too many searches.
  bool begin(const packet::FlowKey &Key, std::uint32_t Acknowledgement, common::TimePoint Now);
  /// Starts or continues the search for the flow of a packet. Returns false if the packet is
  /// dropped.
  bool add(const packet::FlowKey &Key, std::uint32_t Acknowledgement,
           std::span<const std::uint8_t> Packet, common::TimePoint Now);
  /// Returns the due queries to candidates. CandidatesOf(Key) returns those of a flow, best first.
  template <typename F>
  requires std::convertible_to<std::invoke_result_t<F, const packet::FlowKey &>,
                               std::vector<NodeAddress>>
  [[nodiscard]] Questions takeCandidateQueries(F &&CandidatesOf, common::TimePoint Now);
  [[nodiscard]] bool broadcastDue(common::TimePoint Now) const noexcept;
  /// Returns the next queries to all agents that may hold a flow; to be called if broadcastDue.
  /// Adds to Result the flows that all of them have already denied.
  [[nodiscard]] Questions takeBroadcastQueries(std::span<const NodeAddress> Holders,
                                               common::TimePoint Now, Outcome &Result);
  [[nodiscard]] Outcome onAnswer(const FlowAnswer &Answer, NodeAddress From);
  /// Notes that the agent's upstream doesn't hold the flow. Returns true once all agents have
  /// denied the flow.
  bool onAbsence(const packet::FlowKey &Key, NodeAddress From);
  /// A waiting packet for an agent that is unsure whether its upstream holds the flow.
  struct PacketCopy {
    packet::FlowKey Key;
    NodeAddress Agent = 0;
    std::shared_ptr<const Bytes> Packet;
  };
  /// Returns the packets that are due for unsure agents, at most Limit.
  [[nodiscard]] std::vector<PacketCopy> takeCopies(std::size_t Limit, common::TimePoint Now);
  /// The progress of a flow's search, which must not have ended.
  [[nodiscard]] Progress progress(const packet::FlowKey &Key) const;
  [[nodiscard]] bool contains(const packet::FlowKey &Key) const { return Searches.contains(Key); }
  /// Start of the latest search that has reached its last stage.
  [[nodiscard]] common::TimePoint latestBroadcastStart() const noexcept {
    return LatestBroadcastStart;
  }
  /// For flows that all queried agents have denied: queries those that have become known since.
  void repeatDeniedBroadcasts();
  /// Ends a search and returns its waiting packets.
  [[nodiscard]] Packets finish(const packet::FlowKey &Key);
  /// Advances searches whose agents don't answer, and gives up those without packets from callers.
  void onTimer(common::TimePoint Now);
  [[nodiscard]] std::size_t size() const noexcept { return Searches.size(); }

private:
  enum class Stage : std::uint8_t {
    Nearest,
    Candidates,
    Paused, ///< Waits for the next round, since not all agents are known yet.
    AllAgents
  };
  struct Search {
    Packets Waiting;
    std::uint32_t Acknowledgement = 0;
    Stage CurrentStage = Stage::Nearest;
    bool Queued = false;     ///< In the queue of its stage.
    bool Queried = false;    ///< Queries of this stage have been sent.
    bool CopyQueued = false; ///< In CopyQueue.
    std::uint32_t Rounds = 0;
    std::vector<NodeAddress> AwaitingAnswer;
    std::vector<NodeAddress> DeniedBy;
    std::vector<NodeAddress> UnsureAgents; ///< Those that have no copy of a packet yet, in order.
    NodeAddress CopiedTo = 0; ///< The agent that has the latest copy; 0 once it denies.
    common::TimePoint CopiedAt{};
    common::TimePoint StartedAt{};
    common::TimePoint QueriedAt{};
    common::TimePoint LastPacketAt{};
  };
  struct PendingQuery {
    NodeAddress Agent = 0;
    std::vector<packet::FlowKey> Keys;
  };
  using SearchMap = std::unordered_map<packet::FlowKey, Search, packet::FlowKeyHash>;
  using RowsByAgent = std::unordered_map<NodeAddress, std::vector<FlowQuery::Row>>;

  void enqueue(const packet::FlowKey &Key, Search &Entry, Stage Next);
  void enqueueCopy(const packet::FlowKey &Key, Search &Entry);
  /// Notes that an agent needs a packet of the flow to ask its upstream; see takeCopies.
  void noteUnsure(const packet::FlowKey &Key, NodeAddress From);
  /// Goes from a candidate stage to the next stage.
  void advance(const packet::FlowKey &Key, Search &Entry);
  /// Adds a row for each agent that has not denied the flow. The search then awaits their answers.
  static void addRows(const packet::FlowKey &Key, Search &Entry,
                      std::span<const NodeAddress> Agents, common::TimePoint Now,
                      RowsByAgent &Rows);
  [[nodiscard]] Questions makeQueries(const RowsByAgent &Rows);
  /// The search of a key just taken from a queue; null if it has ended or isn't in that queue now.
  [[nodiscard]] Search *takeQueued(const packet::FlowKey &Key, bool IsBroadcast);

  SearchMap Searches;
  std::deque<packet::FlowKey> CandidateQueue;
  std::deque<packet::FlowKey> BroadcastQueue;
  std::deque<packet::FlowKey> CopyQueue; ///< Searches whose next copy may be due.
  std::unordered_map<std::uint64_t, PendingQuery> PendingQueries; ///< By query number.
  std::uint64_t NextNumber = 1;
  std::uint64_t OldestNumber = 1;
  std::size_t WaitingPackets = 0;
  bool MayBroadcast = false;
  bool PacedByFleetSize = true;
  common::TimePoint LastCandidateQueryAt{};
  common::TimePoint LastBroadcastAt{};
  common::TimePoint LatestBroadcastStart{};
  common::Duration BroadcastPause = CandidateQueryInterval; ///< After the last broadcast.
};

template <typename F>
requires std::convertible_to<std::invoke_result_t<F, const packet::FlowKey &>,
                             std::vector<NodeAddress>>
    FlowSearch::Questions FlowSearch::takeCandidateQueries(F &&CandidatesOf,
                                                           common::TimePoint Now) {
  if (CandidateQueue.empty() || Now - LastCandidateQueryAt < CandidateQueryInterval)
    return {};
  LastCandidateQueryAt = Now;
  RowsByAgent Rows;
  for (std::size_t Taken = 0; Taken < MaxCandidateSearches && !CandidateQueue.empty(); ++Taken) {
    const packet::FlowKey Key = CandidateQueue.front();
    CandidateQueue.pop_front();
    Search *Entry = takeQueued(Key, false);
    if (Entry == nullptr)
      continue;
    const std::vector<NodeAddress> Candidates = CandidatesOf(Key);
    const auto Near = std::min(NearCandidates, Candidates.size());
    const std::span All(Candidates);
    const bool Nearest = Entry->CurrentStage == Stage::Nearest;
    addRows(Key, *Entry, Nearest ? All.first(Near) : All.subspan(Near), Now, Rows);
    if (Entry->AwaitingAnswer.empty())
      advance(Key, *Entry);
  }
  return makeQueries(Rows);
}

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_FLOW_SEARCH_H
