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

/// Routing data of one service.
struct ServiceRoute {
  config::ServiceName Name;
  config::Service Definition;
  ServiceTable Table; ///< Assigns flow hashes to positions in Candidates.
  /// Eligible agents that are active or suspect, in the order of Table.members().
  std::vector<membership::Member> Candidates;
  /// Agents that may hold flows of the service, sorted by ID.
  std::vector<membership::Member> PossibleOwners;

  friend bool operator==(const ServiceRoute &, const ServiceRoute &) = default;
};

/// Immutable routing state, a pure function of configuration and members: nodes with equal inputs
/// get equal views.
class RoutingView {
public:
  RoutingView() = default;
  RoutingView(config::Configuration Configuration, std::vector<membership::Member> Members);
  /// Builds a view equal to that of a full build. Only changed agents, and services with changed
  /// selectors, are matched again; unchanged routes are shared with Previous.
  RoutingView(const RoutingView &Previous, config::Configuration Configuration,
              std::vector<membership::Member> Members);

  [[nodiscard]] const config::Configuration &configuration() const noexcept { return Config; }
  [[nodiscard]] const std::vector<membership::Member> &members() const noexcept {
    return AllMembers;
  }
  [[nodiscard]] const membership::Member *member(const std::string &Id) const noexcept;
  /// The route of the service at an address; null if there is none.
  [[nodiscard]] const ServiceRoute *serviceAt(common::Endpoint Address) const noexcept;
  [[nodiscard]] const ServiceRoute *service(const config::ServiceName &Name) const noexcept;
  /// Number of service addresses in this view.
  [[nodiscard]] std::size_t serviceAddressCount() const noexcept { return Routes.size(); }

private:
  /// An agent with its operator-assigned labels, looked up once for all selectors.
  struct LabelledAgent {
    const membership::Member *Agent = nullptr;
    const config::Labels *Labels = nullptr;
  };

  void build(const RoutingView *Previous);
  /// Agents whose kind, zone or labels differ from the previous view; all agents if there is none.
  [[nodiscard]] std::vector<LabelledAgent> agentsToMatch(const RoutingView *Previous) const;
  /// Sorted IDs of the agents that match a service's selector. PreviousIds, the result of the
  /// previous view, covers agents outside AgentsToMatch; null if there is none.
  [[nodiscard]] std::vector<std::string>
  eligibleAgentIds(const config::Service &Definition, const std::vector<std::string> *PreviousIds,
                   const std::vector<LabelledAgent> &AgentsToMatch) const;
  [[nodiscard]] std::shared_ptr<const ServiceRoute>
  buildRoute(const config::ServiceName &Name, const config::Service &Definition,
             const std::vector<const membership::Member *> &AgentsWithResidualServices,
             const ServiceRoute *Previous) const;

  config::Configuration Config;
  std::vector<membership::Member> AllMembers; ///< Sorted by ID.
  /// For each service, the sorted IDs of the agents in any state that match its selector.
  std::map<config::ServiceName, std::vector<std::string>> EligibleIdsByService;
  std::map<common::Endpoint, std::shared_ptr<const ServiceRoute>> Routes;
};

/// Decision to forward the packet to a member's data address.
struct ForwardTo {
  common::Endpoint Data;
  std::string MemberId;

  friend bool operator==(const ForwardTo &, const ForwardTo &) = default;
};

/// Decision to drop the packet, with the reason.
struct DropPacket {
  common::ResultCode Reason = common::ResultCode::PacketMalformed;

  friend bool operator==(const DropPacket &, const DropPacket &) = default;
};

using BalancerDecision = std::variant<ForwardTo, DropPacket>;

/// Decides where a balancer sends a packet from the fabric: to the flow's home, the first choice of
/// its slot. Drops it with PacketUnknownService if no service has the address, and with NoUpstream
/// if the service has no candidate.
[[nodiscard]] BalancerDecision routeFromFabric(const RoutingView &View,
                                               const packet::RouteView &Header);

} // namespace galenarelay::routing

#endif // GALENARELAY_ROUTING_ROUTING_VIEW_H
