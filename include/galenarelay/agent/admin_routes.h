#ifndef GALENARELAY_AGENT_ADMIN_ROUTES_H
#define GALENARELAY_AGENT_ADMIN_ROUTES_H

#include "galenarelay/agent/dispatcher.h"
#include "galenarelay/agent/lifecycle.h"
#include "galenarelay/agent/packet_path.h"
#include "galenarelay/node/node.h"

#include <nlohmann/json.hpp>

namespace galenarelay::agent {

/// Flows listed by /v1/flows at most.
inline constexpr std::size_t MaxListedFlows = 1000;

/// Why a request was refused, or where and how often it was dispatched.
[[nodiscard]] nlohmann::json toJson(const request::RequestRecord &Record);

/// Adds /v1/requests, /v1/flows, /v1/explain and /v1/drain to the node's admin endpoints.
void addAdminRoutes(node::Node &Node, const Dispatcher &Requests, const PacketPath &Packets,
                    Lifecycle &Life);

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_ADMIN_ROUTES_H
