#ifndef GALENARELAY_RELAY_CANDIDATES_H
#define GALENARELAY_RELAY_CANDIDATES_H

#include "galenarelay/packet/packet.h"
#include "galenarelay/relay/peer_message.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace galenarelay::relay {

/// Number of a flow's candidates that are considered first, for its placement and in searches. The
/// load of the best of three random choices stays within about one flow of the mean (Mitzenmacher
/// 2001).
inline constexpr std::size_t NearCandidates = 3;
/// Number of a flow's candidates that are considered before all agents are.
inline constexpr std::size_t MaxCandidates = 12;

/// The first Count agents for a flow by rendezvous hashing (Thaler and Ravishankar 1998). Nodes
/// that know the same agents get the same result. An agent that one of them doesn't know doesn't
/// change the order of the others.
[[nodiscard]] std::vector<NodeAddress>
rankCandidates(const packet::FlowKey &Key, std::span<const NodeAddress> Agents, std::size_t Count);

/// The same, with agents of Near first. Half of the result is kept for agents of Far, so that a
/// flow is found there as well, unless there are fewer of them.
[[nodiscard]] std::vector<NodeAddress> rankZoneCandidates(const packet::FlowKey &Key,
                                                          std::span<const NodeAddress> Near,
                                                          std::span<const NodeAddress> Far,
                                                          std::size_t Count);

/// The first Count of Nodes for a hash value by rendezvous hashing.
[[nodiscard]] std::vector<NodeAddress>
rankNodes(std::uint64_t Hash, std::span<const NodeAddress> Nodes, std::size_t Count);

/// Iterates over a changing set of addresses, and starts over after the last one.
class Rotation {
public:
  /// The address after the one returned last; empty if Sorted is empty. Sorted must be in ascending
  /// order.
  [[nodiscard]] std::optional<NodeAddress> next(std::span<const NodeAddress> Sorted);

private:
  NodeAddress Last = 0;
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_CANDIDATES_H
