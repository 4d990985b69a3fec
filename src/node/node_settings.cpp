#include "galenarelay/node/node_settings.h"

namespace galenarelay::node {

using common::SettingKind;

std::vector<common::SettingRule> nodeRules() {
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

// Nodes that share a seed would probe the same peers at the same time, and agents would draw the
// same initial sequence numbers.
NodeOptions nodeOptionsFrom(const common::Settings &Values) {
  NodeOptions Options;
  Options.Self.Id = Values.text("node", "id");
  Options.Self.Zone = Values.text("node", "zone");
  Options.Self.Data = Values.endpoint("node", "data");
  Options.Self.Control = Values.endpoint("node", "control");
  Options.Self.Admin = Values.endpoint("node", "admin");
  Options.Seeds = Values.endpoints("node", "seeds");
  Options.Store = Values.endpoint("store", "address");
  Options.Seed = Values.seed("node", "seed");
  return Options;
}

} // namespace galenarelay::node
