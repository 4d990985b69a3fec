#ifndef GALENARELAY_RELAY_ROUTE_TABLE_H
#define GALENARELAY_RELAY_ROUTE_TABLE_H

#include "galenarelay/common/time.h"
#include "galenarelay/packet/packet.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenarelay::relay {

using Revision = std::uint64_t;

/// The share of a route's new flows that goes to one service, in proportion to its weight.
struct ServiceShare {
  std::string Service;
  std::uint32_t Weight = 1;

  friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

/// The services that the new flows of a service endpoint go to, and the limits of their requests.
struct Route {
  std::string Name;
  common::Endpoint Address;
  std::vector<ServiceShare> Shares;
  bool Idempotent = false; ///< Callers may retry the requests.
  common::Duration Deadline{};
  common::Duration LatencyObjective{};
  std::uint32_t Priority = 0; ///< 0 is the most important.

  friend bool operator==(const Route &, const Route &) = default;
};

/// The part of the operator's configuration that balancers and agents need.
struct Configuration {
  Revision Number = 0;
  std::vector<Route> Routes;
  common::Duration IdleTimeout{}; ///< A flow without packets may be removed after this time.
  /// Openings per second that an upstream of a service bears while it is cold; only services that
  /// state it.
  std::map<std::string, double> ColdRates;

  friend bool operator==(const Configuration &, const Configuration &) = default;
};

/// A configuration's routes, by service endpoint.
class RouteTable {
public:
  RouteTable() = default;
  explicit RouteTable(Configuration Document);

  [[nodiscard]] Revision revision() const noexcept { return Config.Number; }
  [[nodiscard]] std::size_t size() const noexcept { return Config.Routes.size(); }
  /// The route of a service endpoint; null if there is none.
  [[nodiscard]] const Route *find(common::Endpoint Service) const noexcept;
  /// Openings per second that a cold upstream of a service bears; 0 if that isn't stated.
  [[nodiscard]] double coldRate(const std::string &Service) const {
    const auto Found = Config.ColdRates.find(Service);
    return Found == Config.ColdRates.end() ? 0 : Found->second;
  }
  /// The service for a new flow; empty if the route has none. For a given route it depends only on
  /// the flow key, so that a retransmitted SYN gets the same service on every node.
  [[nodiscard]] static const std::string &serviceFor(const Route &MatchedRoute,
                                                     const packet::FlowKey &Key) noexcept;

private:
  [[nodiscard]] static std::uint64_t endpointKey(common::Endpoint Service) noexcept {
    return (std::uint64_t{Service.Address} << 16U) | Service.Port;
  }

  Configuration Config;
  std::unordered_map<std::uint64_t, std::size_t> ByAddress;
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_ROUTE_TABLE_H
