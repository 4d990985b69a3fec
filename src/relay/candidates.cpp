#include "galenarelay/relay/candidates.h"

#include "galenarelay/common/hash_mix.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace galenarelay::relay {

std::vector<NodeAddress> rankNodes(std::uint64_t Hash, std::span<const NodeAddress> Nodes,
                                   std::size_t Count) {
  std::vector<std::pair<std::uint64_t, NodeAddress>> Scores;
  Scores.reserve(Nodes.size());
  for (const NodeAddress Node : Nodes)
    Scores.emplace_back(common::mixHash(Hash, Node), Node);
  const auto RankedCount = static_cast<std::ptrdiff_t>(std::min(Count, Scores.size()));
  std::partial_sort(Scores.begin(), Scores.begin() + RankedCount, Scores.end(), std::greater<>());
  std::vector<NodeAddress> Ranked;
  Ranked.reserve(static_cast<std::size_t>(RankedCount));
  for (auto It = Scores.begin(); It != Scores.begin() + RankedCount; ++It)
    Ranked.push_back(It->second);
  return Ranked;
}

std::vector<NodeAddress> rankCandidates(const packet::FlowKey &Key,
                                        std::span<const NodeAddress> Agents, std::size_t Count) {
  return rankNodes(packet::hash(Key), Agents, Count);
}

std::vector<NodeAddress> rankZoneCandidates(const packet::FlowKey &Key,
                                            std::span<const NodeAddress> Near,
                                            std::span<const NodeAddress> Far, std::size_t Count) {
  const std::size_t FarCount = std::min(Count / 2, Far.size());
  auto Ranked = rankCandidates(Key, Near, Count - FarCount);
  const auto Others = rankCandidates(Key, Far, Count - Ranked.size());
  Ranked.insert(Ranked.end(), Others.begin(), Others.end());
  return Ranked;
}

std::optional<NodeAddress> Rotation::next(std::span<const NodeAddress> Sorted) {
  if (Sorted.empty())
    return std::nullopt;
  const auto Next = std::upper_bound(Sorted.begin(), Sorted.end(), Last);
  Last = Next == Sorted.end() ? Sorted.front() : *Next;
  return Last;
}

} // namespace galenarelay::relay
