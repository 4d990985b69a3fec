#include "galenarelay/node/relay_settings.h"

namespace galenarelay::node {

using common::SettingKind;
using common::SettingRule;

namespace {

std::vector<std::string> mechanismNames(bool Optional) {
  std::vector<std::string> Names;
  for (std::size_t I = 0; I < relay::policy::MechanismCount; ++I) {
    const auto Which = static_cast<relay::policy::Mechanism>(I);
    if (relay::policy::isOptional(Which) == Optional)
      Names.emplace_back(relay::policy::name(Which));
  }
  return Names;
}

} // namespace

std::vector<SettingRule> relaySettingRules() {
  const auto Address = [](const char *Key, const char *Brief) {
    return SettingRule{"node", Key, SettingKind::Address, std::nullopt, 0, 0, Brief};
  };
  return {{"node", "id", SettingKind::Text, std::nullopt, 0, 0, "unique name"},
          {"node", "zone", SettingKind::Text, std::nullopt, 0, 0, "availability zone"},
          Address("packets", "UDP address for packets, with the same port on all nodes"),
          Address("peers", "UDP address for messages between nodes, with the same port on all"),
          Address("admin", "TCP address of the admin endpoints, with the same port on all nodes"),
          Address("control", "TCP address for heartbeats of upstreams"),
          Address("readiness", "TCP address for readiness checks"),
          {"node", "seeds", SettingKind::AddressList, "", 0, 0,
           "addresses of balancers, comma-separated; their ports aren't used"},
          {"node", "seed", SettingKind::Integer, "0", 0, 0,
           "seed of the random engine; 0 takes one from the system"},
          {"store", "address", SettingKind::Address, std::nullopt, 0, 0,
           "address of the key-value store"},
          {"policy", "without", SettingKind::NameList, "", 0, 0,
           "mechanisms switched off for an experiment, comma-separated", mechanismNames(false)},
          {"policy", "with", SettingKind::NameList, "", 0, 0,
           "optional mechanisms to use, comma-separated", mechanismNames(true)}};
}

std::vector<SettingRule> relayAgentSettingRules() {
  auto Rules = relaySettingRules();
  Rules.push_back({"upstream", "service", SettingKind::Text, std::nullopt, 0, 0,
                   "service of the upstream until its first heartbeat"});
  Rules.push_back({"upstream", "address", SettingKind::Address, std::nullopt, 0, 0,
                   "UDP address at which the upstream takes packets"});
  Rules.push_back({"upstream", "outbound", SettingKind::Address, std::nullopt, 0, 0,
                   "UDP address to which the upstream sends its packets"});
  Rules.push_back({"upstream", "heartbeat_ms", SettingKind::Integer, std::nullopt, 10, 60000,
                   "interval of the upstream's heartbeats"});
  Rules.push_back({"upstream", "cold_overage", SettingKind::Real, "1", 0, 1000,
                   "factor of the rate that a cold upstream bears, for the bound of openings"});
  Rules.push_back(
      {"upstream", "cold_slack", SettingKind::Real, "0", 0, 10'000, "openings a second beside it"});
  return Rules;
}

RelayOptions relayOptionsFrom(const common::Settings &Values) {
  RelayOptions Options;
  Options.Id = Values.text("node", "id");
  Options.Zone = Values.text("node", "zone");
  Options.Packets = Values.endpoint("node", "packets");
  Options.Peers = Values.endpoint("node", "peers");
  Options.Admin = Values.endpoint("node", "admin");
  Options.Control = Values.endpoint("node", "control");
  Options.Readiness = Values.endpoint("node", "readiness");
  Options.Seeds = Values.endpoints("node", "seeds");
  Options.Store = Values.endpoint("store", "address");
  Options.RandomSeed = Values.seed("node", "seed");
  for (const std::string &Name : Values.names("policy", "without"))
    if (const auto Disabled = relay::policy::parseMechanism(Name))
      Options.EnabledMechanisms = Options.EnabledMechanisms.without(*Disabled);
  for (const std::string &Name : Values.names("policy", "with"))
    if (const auto Enabled = relay::policy::parseMechanism(Name))
      Options.EnabledMechanisms = Options.EnabledMechanisms.with(*Enabled);
  return Options;
}

RelayAgentOptions relayAgentOptionsFrom(const common::Settings &Values) {
  RelayAgentOptions Options;
  Options.Node = relayOptionsFrom(Values);
  Options.Service = Values.text("upstream", "service");
  Options.Upstream = Values.endpoint("upstream", "address");
  Options.FromUpstream = Values.endpoint("upstream", "outbound");
  Options.ColdStart = {Values.real("upstream", "cold_overage"),
                       Values.real("upstream", "cold_slack")};
  Options.HeartbeatInterval = std::chrono::milliseconds(Values.integer("upstream", "heartbeat_ms"));
  return Options;
}

} // namespace galenarelay::node
