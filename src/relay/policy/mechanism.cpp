#include "galenarelay/relay/policy/mechanism.h"

#include <algorithm>
#include <array>

namespace galenarelay::relay::policy {

namespace {

constexpr std::array<std::string_view, MechanismCount> Names{
    "load_questions",   "busy_decline",      "holding",           "release_order",
    "room_notices",     "long_flow_balance", "cold_discount",     "placement_count",
    "own_zone",         "loss_witnesses",    "loss_reset",        "common_start",
    "copy_age",         "absent_callers",    "predicted_wait",    "request_patience",
    "wide_pace",        "upstream_damping",  "shared_contention", "zone_placement",
    "restart_recovery", "learned_capacity"};

} // namespace

std::string_view name(Mechanism Which) noexcept { return Names[static_cast<std::size_t>(Which)]; }

std::optional<Mechanism> parseMechanism(std::string_view Name) noexcept {
  const auto Found = std::find(Names.begin(), Names.end(), Name);
  if (Found == Names.end())
    return std::nullopt;
  return static_cast<Mechanism>(Found - Names.begin());
}

std::vector<std::string> changedNames(const Mechanisms &InUse) {
  std::vector<std::string> Changed;
  for (std::size_t I = 0; I < MechanismCount; ++I) {
    const auto Which = static_cast<Mechanism>(I);
    if (InUse.uses(Which) == isOptional(Which))
      Changed.emplace_back(Names[I]);
  }
  return Changed;
}

} // namespace galenarelay::relay::policy
