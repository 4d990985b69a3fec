#ifndef GALENARELAY_AGENT_LOAD_MESSAGE_H
#define GALENARELAY_AGENT_LOAD_MESSAGE_H

#include "galenarelay/common/error.h"
#include "galenarelay/routing/routing_view.h"
#include "galenarelay/schedule/scheduler.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace galenarelay::agent {

/// Writes the control message of type "load".
[[nodiscard]] nlohmann::json toMessage(const schedule::LoadReport &Report);

/// Reads a control message of type "load". Errors: MessageMalformed.
[[nodiscard]] common::Result<schedule::LoadReport> loadFromMessage(const nlohmann::json &Message);

/// Returns the control addresses of the other candidates of all services that SelfId is a candidate
/// for, each once.
[[nodiscard]] std::vector<common::Endpoint> reportTargets(const routing::RoutingView &View,
                                                          const std::string &SelfId);

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_LOAD_MESSAGE_H
