#ifndef GALENARELAY_ROUTING_ROUTING_VIEW_H
#define GALENARELAY_ROUTING_ROUTING_VIEW_H

#include "galenarelay/config/configuration.h"
#include "galenarelay/membership/member.h"
#include "galenarelay/packet/packet.h"
#include "galenarelay/routing/service_table.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace galenarelay::routing {

/// What routing knows of one service.
struct ServiceRoute {
  config::ServiceName Name;
  config::Service Definition;
  ServiceTable Table;                             ///< Over active eligible agents.
  std::vector<membership::Member> Candidates;     ///< Same order as Table.members().
  std::vector<membership::Member> PossibleOwners; ///< Agents that may hold flows of the service.

  friend bool operator==(const ServiceRoute &, const ServiceRoute &) = default;
};

/// Immutable result of (configuration, members): the same on every node with the same inputs.
class RoutingView {
public:
  RoutingView() = default;
  RoutingView(config::Configuration Configuration, std::vector<membership::Member> Members);
  /// Builds a view that shares the tables of services whose eligible agents did not change.
  RoutingView(const RoutingView &Previous, config::Configuration Configuration,
              std::vector<membership::Member> Members);

  [[nodiscard]] const config::Configuration &configuration() const noexcept { return Document; }
  [[nodiscard]] const std::vector<membership::Member> &members() const noexcept { return All; }
  [[nodiscard]] const membership::Member *member(const std::string &Id) const noexcept;
  /// The service at an address; null if there is none.
  [[nodiscard]] const ServiceRoute *serviceAt(common::Endpoint Address) const noexcept;
  [[nodiscard]] const ServiceRoute *service(const config::ServiceName &Name) const noexcept;
  /// Number of this view's services.
  [[nodiscard]] std::size_t serviceCount() const noexcept { return Routes.size(); }

private:
  /// An agent with its operator labels, looked up once for all selectors.
  struct Labelled {
    const membership::Member *Agent = nullptr;
    const config::Labels *Labels = nullptr;
  };

  void build(const RoutingView *Previous);
  /// All agents, or those whose eligibility may differ from the previous view.
  [[nodiscard]] std::vector<Labelled> agentsToMatch(const RoutingView *Previous) const;
  [[nodiscard]] std::vector<std::string> eligibleFor(const config::Service &Wanted,
                                                     const std::vector<std::string> *Known,
                                                     const std::vector<Labelled> &ToMatch) const;
  [[nodiscard]] std::shared_ptr<const ServiceRoute>
  buildRoute(const config::ServiceName &Name, const config::Service &Definition,
             const std::vector<const membership::Member *> &Residuals,
             const ServiceRoute *Previous) const;

  config::Configuration Document;
  std::vector<membership::Member> All; ///< Sorted by ID.
  /// Sorted IDs of the agents in any state that match each service's selector.
  std::map<config::ServiceName, std::vector<std::string>> Eligible;
  std::map<common::Endpoint, std::shared_ptr<const ServiceRoute>> Routes;
};

/// Forward the packet to this data address.
struct ForwardTo {
  common::Endpoint Data;
  std::string MemberId;

  friend bool operator==(const ForwardTo &, const ForwardTo &) = default;
};

/// Drop the packet for this reason.
struct Drop {
  common::ResultCode Reason = common::ResultCode::PacketMalformed;

  friend bool operator==(const Drop &, const Drop &) = default;
};

using BalancerDecision = std::variant<ForwardTo, Drop>;

/// Decides where a balancer sends a packet from the fabric: to the flow's home.
[[nodiscard]] BalancerDecision routeFromFabric(const RoutingView &View,
                                               const packet::RouteView &Packet);

} // namespace galenarelay::routing

#endif // GALENARELAY_ROUTING_ROUTING_VIEW_H
