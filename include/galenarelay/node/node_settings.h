#ifndef GALENARELAY_NODE_NODE_SETTINGS_H
#define GALENARELAY_NODE_NODE_SETTINGS_H

#include "galenarelay/common/settings.h"
#include "galenarelay/node/node.h"

#include <vector>

namespace galenarelay::node {

/// The settings that balancers and agents share: [node] and [store].
[[nodiscard]] std::vector<common::SettingRule> nodeRules();

/// Reads them; a seed of 0 is replaced by one from the system's random source.
[[nodiscard]] NodeOptions nodeOptionsFrom(const common::Settings &Values);

} // namespace galenarelay::node

#endif // GALENARELAY_NODE_NODE_SETTINGS_H
