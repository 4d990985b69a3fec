#include "galenarelay/relay/route_table.h"

#include <numeric>
#include <utility>

namespace galenarelay::relay {

RouteTable::RouteTable(Configuration Document) : Config(std::move(Document)) {
  ByAddress.reserve(Config.Routes.size());
  for (std::size_t I = 0; I < Config.Routes.size(); ++I)
    ByAddress.try_emplace(endpointKey(Config.Routes[I].Address), I);
}

const Route *RouteTable::find(common::Endpoint Service) const noexcept {
  const auto It = ByAddress.find(endpointKey(Service));
  return It == ByAddress.end() ? nullptr : &Config.Routes[It->second];
}

const std::string &RouteTable::serviceFor(const Route &MatchedRoute,
                                          const packet::FlowKey &Key) noexcept {
  static const std::string NoService;
  const auto Total = std::accumulate(
      MatchedRoute.Shares.begin(), MatchedRoute.Shares.end(), std::uint64_t{0},
      [](std::uint64_t Sum, const ServiceShare &Share) { return Sum + Share.Weight; });
  if (Total == 0)
    return NoService;
  std::uint64_t Point = packet::hash(Key) % Total;
  for (const ServiceShare &Share : MatchedRoute.Shares) {
    if (Point < Share.Weight)
      return Share.Service;
    Point -= Share.Weight;
  }
  return NoService;
}

} // namespace galenarelay::relay
