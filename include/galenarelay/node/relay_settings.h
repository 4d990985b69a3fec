#ifndef GALENARELAY_NODE_RELAY_SETTINGS_H
#define GALENARELAY_NODE_RELAY_SETTINGS_H

#include "galenarelay/common/settings.h"
#include "galenarelay/common/time.h"
#include "galenarelay/relay/policy/cold_start_limit.h"
#include "galenarelay/relay/policy/mechanism.h"

#include <cstdint>
#include <string>
#include <vector>

namespace galenarelay::node {

/// Settings that balancers and agents of relayed flows have in common.
struct RelayOptions {
  std::string Id;
  std::string Zone;
  common::Endpoint Packets;   ///< UDP, packets from routers or balancers.
  common::Endpoint Peers;     ///< UDP, messages between nodes.
  common::Endpoint Admin;     ///< TCP, HTTP: metrics, configuration, status.
  common::Endpoint Control;   ///< TCP, HTTP: heartbeats.
  common::Endpoint Readiness; ///< TCP, HTTP: readiness.
  common::Endpoint Store;
  std::vector<common::Endpoint> Seeds; ///< Addresses of balancers, some maybe no longer in use.
  std::uint64_t RandomSeed = 0;
  relay::policy::Mechanisms EnabledMechanisms;

  friend bool operator==(const RelayOptions &, const RelayOptions &) = default;
};

/// Settings of an agent.
struct RelayAgentOptions {
  RelayOptions Node;
  std::string Service;           ///< Service of the upstream until its first heartbeat.
  common::Endpoint Upstream;     ///< UDP, packets for the upstream.
  common::Endpoint FromUpstream; ///< UDP, packets of the upstream.
  common::Duration HeartbeatInterval{};
  relay::policy::ColdStartAllowance ColdStart;

  friend bool operator==(const RelayAgentOptions &, const RelayAgentOptions &) = default;
};

/// Rules of the settings that both programs have, for common::runProgram.
[[nodiscard]] std::vector<common::SettingRule> relaySettingRules();
/// relaySettingRules and the rules of the settings that only agents have.
[[nodiscard]] std::vector<common::SettingRule> relayAgentSettingRules();

[[nodiscard]] RelayOptions relayOptionsFrom(const common::Settings &Values);
[[nodiscard]] RelayAgentOptions relayAgentOptionsFrom(const common::Settings &Values);

} // namespace galenarelay::node

#endif // GALENARELAY_NODE_RELAY_SETTINGS_H
