#ifndef GALENARELAY_NODE_NODE_SETTINGS_H
#define GALENARELAY_NODE_NODE_SETTINGS_H

#include "galenarelay/common/settings.h"
#include "galenarelay/node/node.h"

#include <vector>

namespace galenarelay::node {

/// Rules of the settings that balancers and agents share: the sections [node] and [store].
[[nodiscard]] std::vector<common::SettingRule> nodeSettingRules();

/// Node options from settings that follow nodeSettingRules(). A seed of 0 is replaced by one from
/// the system's random source.
[[nodiscard]] NodeOptions nodeOptionsFrom(const common::Settings &Settings);

} // namespace galenarelay::node

#endif // GALENARELAY_NODE_NODE_SETTINGS_H
