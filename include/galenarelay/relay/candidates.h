#ifndef GALENARELAY_RELAY_CANDIDATES_H
#define GALENARELAY_RELAY_CANDIDATES_H

#include "galenarelay/packet/packet.h"
#include "galenarelay/relay/peer_message.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace galenarelay::relay {

/// Agents that a flow is placed at, and looked for, first: the best of three random choices stays
/// within about one flow of the mean (Mitzenmacher 2001).
inline constexpr std::size_t NearCandidates = 3;
/// Agents that a flow is placed at, or looked for, before all agents come into question.
inline constexpr std::size_t MaxCandidates = 12;

/// The first Count agents for a flow by rendezvous hashing (Thaler and Ravishankar 1998). Nodes
/// that know the same agents name the same ones; an agent that one of them doesn't know changes
/// only its own place.
[[nodiscard]] std::vector<NodeAddress>
rankCandidates(const packet::FlowKey &Key, std::span<const NodeAddress> Agents, std::size_t Count);

/// The first Count of Nodes for a number, in the same way.
[[nodiscard]] std::vector<NodeAddress>
rankNodes(std::uint64_t Hash, std::span<const NodeAddress> Nodes, std::size_t Count);

/// Goes through a changing set of addresses in turn.
class Rotation {
public:
  /// The address after the last one that was returned. Sorted must be in ascending order.
  [[nodiscard]] std::optional<NodeAddress> next(std::span<const NodeAddress> Sorted);

private:
  NodeAddress Last = 0;
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_CANDIDATES_H
