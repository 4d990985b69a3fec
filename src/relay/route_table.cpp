#include "galenarelay/relay/route_table.h"

#include <numeric>
#include <utility>

namespace galenarelay::relay {

RouteTable::RouteTable(Configuration Document) : Held(std::move(Document)) {
  ByAddress.reserve(Held.Routes.size());
  for (std::size_t I = 0; I < Held.Routes.size(); ++I)
    ByAddress.try_emplace(endpointKey(Held.Routes[I].Address), I);
}

const Route *RouteTable::find(common::Endpoint Service) const noexcept {
  const auto Found = ByAddress.find(endpointKey(Service));
  return Found == ByAddress.end() ? nullptr : &Held.Routes[Found->second];
}

const std::string &RouteTable::serviceFor(const Route &For, const packet::FlowKey &Key) noexcept {
  static const std::string None;
  const auto Total = std::accumulate(
      For.Shares.begin(), For.Shares.end(), std::uint64_t{0},
      [](std::uint64_t Sum, const ServiceShare &Each) { return Sum + Each.Weight; });
  if (Total == 0)
    return None;
  std::uint64_t Point = packet::hash(Key) % Total;
  for (const ServiceShare &Share : For.Shares) {
    if (Point < Share.Weight)
      return Share.Service;
    Point -= Share.Weight;
  }
  return None;
}

} // namespace galenarelay::relay
