#ifndef GALENARELAY_RELAY_ROUTE_TABLE_H
#define GALENARELAY_RELAY_ROUTE_TABLE_H

#include "galenarelay/common/time.h"
#include "galenarelay/packet/packet.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenarelay::relay {

using Revision = std::uint64_t;

/// Part of a route's new flows that goes to one service.
struct ServiceShare {
  std::string Service;
  std::uint32_t Weight = 1;

  friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

/// Where the new flows of one service endpoint go, and what their requests need.
struct Route {
  std::string Name;
  common::Endpoint Address;
  std::vector<ServiceShare> Shares;
  bool Idempotent = false; ///< Callers may repeat the requests.
  common::Duration Deadline{};
  common::Duration LatencyObjective{};
  std::uint32_t Priority = 0; ///< 0 is the most important.

  friend bool operator==(const Route &, const Route &) = default;
};

/// The operator's configuration as relayed flows need it.
struct Configuration {
  Revision Number = 0;
  std::vector<Route> Routes;
  common::Duration IdleTimeout{}; ///< An idle flow may be forgotten after this time.

  friend bool operator==(const Configuration &, const Configuration &) = default;
};

/// Routes by service endpoint.
class RouteTable {
public:
  RouteTable() = default;
  explicit RouteTable(Configuration Document);

  [[nodiscard]] Revision revision() const noexcept { return Held.Number; }
  [[nodiscard]] std::size_t size() const noexcept { return Held.Routes.size(); }
  /// The route of a service endpoint; null if there is none.
  [[nodiscard]] const Route *find(common::Endpoint Service) const noexcept;
  /// The service for a new flow, empty without one. It depends on the flow alone, so that copies
  /// of a packet get the same answer on every node.
  [[nodiscard]] static const std::string &serviceFor(const Route &For,
                                                     const packet::FlowKey &Key) noexcept;

private:
  [[nodiscard]] static std::uint64_t endpointKey(common::Endpoint Service) noexcept {
    return (std::uint64_t{Service.Address} << 16U) | Service.Port;
  }

  Configuration Held;
  std::unordered_map<std::uint64_t, std::size_t> ByAddress;
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_ROUTE_TABLE_H
