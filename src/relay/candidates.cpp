#include "galenarelay/relay/candidates.h"

#include "galenarelay/common/hash_mix.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace galenarelay::relay {

std::vector<NodeAddress> rankCandidates(const packet::FlowKey &Key,
                                        std::span<const NodeAddress> Agents, std::size_t Count) {
  const std::uint64_t Hash = packet::hash(Key);
  std::vector<std::pair<std::uint64_t, NodeAddress>> Scores;
  Scores.reserve(Agents.size());
  for (const NodeAddress Agent : Agents)
    Scores.emplace_back(common::mixHash(Hash, Agent), Agent);
  const auto Taken = static_cast<std::ptrdiff_t>(std::min(Count, Scores.size()));
  std::partial_sort(Scores.begin(), Scores.begin() + Taken, Scores.end(), std::greater<>());
  std::vector<NodeAddress> Ranked;
  Ranked.reserve(static_cast<std::size_t>(Taken));
  for (auto At = Scores.begin(); At != Scores.begin() + Taken; ++At)
    Ranked.push_back(At->second);
  return Ranked;
}

std::optional<NodeAddress> Rotation::next(std::span<const NodeAddress> Sorted) {
  if (Sorted.empty())
    return std::nullopt;
  const auto After = std::upper_bound(Sorted.begin(), Sorted.end(), Last);
  Last = After == Sorted.end() ? Sorted.front() : *After;
  return Last;
}

} // namespace galenarelay::relay
