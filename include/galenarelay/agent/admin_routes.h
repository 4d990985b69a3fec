#ifndef GALENARELAY_AGENT_ADMIN_ROUTES_H
#define GALENARELAY_AGENT_ADMIN_ROUTES_H

#include "galenarelay/agent/dispatcher.h"
#include "galenarelay/agent/lifecycle.h"
#include "galenarelay/agent/packet_path.h"
#include "galenarelay/node/node.h"

#include <nlohmann/json.hpp>

namespace galenarelay::agent {

/// Limit of the flows that /v1/flows lists.
inline constexpr std::size_t MaxListedFlows = 1000;

/// Describes a request of the ledger: its state, how often it was dispatched, and its outcome or
/// why it was refused.
[[nodiscard]] nlohmann::json toJson(const request::RequestRecord &Record);

/// Adds /v1/requests, /v1/flows, /v1/explain and /v1/drain to the node's admin endpoints.
void addAdminRoutes(node::Node &Node, const Dispatcher &RequestDispatcher,
                    const PacketPath &Packets, Lifecycle &UpstreamLifecycle);

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_ADMIN_ROUTES_H
