#include "galenarelay/node/node_settings.h"

namespace galenarelay::node {

using common::SettingKind;

std::vector<common::SettingRule> nodeSettingRules() {
  return {{"node", "id", SettingKind::Text, std::nullopt, 0, 0,
           "unique name; an agent's is also the ID of its upstream"},
          {"node", "zone", SettingKind::Text, std::nullopt, 0, 0, "availability zone"},
          {"node", "data", SettingKind::Address, std::nullopt, 0, 0,
           "UDP address for packets; port 0 takes a free port"},
          {"node", "control", SettingKind::Address, std::nullopt, 0, 0,
           "UDP address for control messages; port 0 takes a free port"},
          {"node", "admin", SettingKind::Address, std::nullopt, 0, 0,
           "TCP address of the admin endpoints; port 0 takes a free port"},
          {"node", "seeds", SettingKind::AddressList, "", 0, 0,
           "control addresses of peers, comma-separated"},
          {"node", "seed", SettingKind::Integer, "0", 0, 0,
           "seed of the random engine; 0 takes one from the system"},
          {"store", "address", SettingKind::Address, std::nullopt, 0, 0,
           "address of the key-value store"}};
}

// By default each node takes a random seed: nodes that share one would probe the same peers at the
// same time, and agents would draw the same initial sequence numbers.
NodeOptions nodeOptionsFrom(const common::Settings &Settings) {
  NodeOptions Options;
  Options.Self.Id = Settings.text("node", "id");
  Options.Self.Zone = Settings.text("node", "zone");
  Options.Self.Data = Settings.endpoint("node", "data");
  Options.Self.Control = Settings.endpoint("node", "control");
  Options.Self.Admin = Settings.endpoint("node", "admin");
  Options.Seeds = Settings.endpoints("node", "seeds");
  Options.Store = Settings.endpoint("store", "address");
  Options.Seed = Settings.seed("node", "seed");
  return Options;
}

} // namespace galenarelay::node
