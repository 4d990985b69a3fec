#ifndef GALENARELAY_RELAY_FLOW_SEARCH_H
#define GALENARELAY_RELAY_FLOW_SEARCH_H

#include "galenarelay/common/time.h"
#include "galenarelay/packet/packet.h"
#include "galenarelay/relay/peer_message.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace galenarelay::relay {

/// Queries leave at most this often, so that one message asks for many flows.
inline constexpr common::Duration QueryInterval = std::chrono::milliseconds(20);
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
/// Queries that may await answers at a time, so that a busy node isn't asked faster than it and the
/// balancer can follow; one that isn't answered in full counts for this time.
inline constexpr std::size_t MaxOpenQueries = 3;
inline constexpr common::Duration QueryTimeout = std::chrono::milliseconds(400);
/// Queries that late answers are still accepted for.
inline constexpr std::size_t RememberedQueries = 64;

/// Flows whose agent a balancer doesn't know, the packets that wait for it, and the questions to
/// all agents that could hold them.
class FlowSearch {
public:
  using Packets = std::vector<std::shared_ptr<const Bytes>>;

  /// A question and whom to ask.
  struct Query {
    FlowQuery Message;
    std::vector<NodeAddress> Agents;
    /// Agents that had not answered for a flow that is asked for again.
    std::vector<NodeAddress> Silent;
  };

  /// What an answer settles.
  struct Outcome {
    std::vector<packet::FlowKey> Held;    ///< At the agent that answered.
    std::vector<packet::FlowKey> Unsure;  ///< The agent has to ask its upstream with a packet.
    std::vector<packet::FlowKey> Nowhere; ///< All agents that were asked deny these.
  };

  /// Begins or continues a search; false if the packet had to be dropped.
  bool add(const packet::FlowKey &Key, std::uint32_t Acknowledgement,
           std::span<const std::uint8_t> Packet, common::TimePoint Now);
  [[nodiscard]] bool queryDue(common::TimePoint Now) const noexcept;
  /// The next question, if one is due. Agents in Expected may not run: their answers settle flows
  /// as those of the others do, but the next question doesn't wait for them.
  [[nodiscard]] std::optional<Query> takeQuery(const std::vector<NodeAddress> &Reporting,
                                               const std::vector<NodeAddress> &Expected,
                                               common::TimePoint Now);
  [[nodiscard]] Outcome onAnswer(const FlowAnswer &Answer, NodeAddress From);
  /// The agent's upstream doesn't hold the flow. True if nobody is left who could.
  bool onAbsence(const packet::FlowKey &Key, NodeAddress From);
  /// A packet of the flow, for an agent that is unsure; null if there is none.
  [[nodiscard]] std::shared_ptr<const Bytes> anyPacket(const packet::FlowKey &Key) const;
  /// Ends a search and returns the packets that waited.
  [[nodiscard]] Packets finish(const packet::FlowKey &Key);
  /// Asks again for flows that are not settled; forgets those whose callers have gone.
  void onTimer(common::TimePoint Now);

private:
  struct Search {
    Packets Waiting;
    std::uint32_t Acknowledgement = 0;
    std::vector<NodeAddress> Unanswered;
    common::TimePoint AskedAt{};
    common::TimePoint UsedAt{};
    bool Queued = false; ///< In Unasked.
    std::uint32_t TimesAsked = 0;
  };
  struct OpenQuery {
    FlowQuery Message;
    std::size_t Missing = 0; ///< Answers of agents that have reported.
    common::TimePoint SentAt{};
  };
  using SearchMap = std::unordered_map<packet::FlowKey, Search, packet::FlowKeyHash>;

  void queueIfDue(const packet::FlowKey &Key, Search &Held, common::TimePoint Now);

  SearchMap Searches;
  std::deque<packet::FlowKey> Unasked;
  std::deque<OpenQuery> Queries;
  std::uint64_t NextNumber = 1;
  std::size_t HeldPackets = 0;
  common::TimePoint LastQueryAt{};
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_FLOW_SEARCH_H
