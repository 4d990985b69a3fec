#ifndef GALENARELAY_RELAY_POLICY_SPARING_H
#define GALENARELAY_RELAY_POLICY_SPARING_H

#include "galenarelay/relay/policy/placement.h"
#include "galenarelay/relay/policy/upstream_damping.h"

#include <cstdint>
#include <span>
#include <vector>

namespace galenarelay::relay::policy {

/// Maximum share of a service's upstreams that are spared.
inline constexpr double MaxSparedShare = 1.0 / 3;
/// Above this share of unsteady upstreams none is spared: a fault of most of them has another cause
/// than any one of them, and the others can't carry the demand.
inline constexpr double CommonFaultShare = 0.5;

/// An upstream of a service.
struct SparingInput {
  std::uint32_t Agent = 0; ///< Address; decides between equal penalties.
  DampingState Damping;
  std::uint32_t Slots = 0;
  double Requests = 0; ///< Mean number in progress; 0 if it gets no flows now.
  bool Exempt = false; ///< By the decision before.
};

/// The agents of a service that get flows though their upstreams are unsteady: those with the
/// lowest penalties beyond MaxSparedShare, as many as it takes if the others can't carry the
/// requests in progress, and all if more than CommonFaultShare are unsteady. The result is in
/// ascending order, and the same on all balancers with the same figures.
[[nodiscard]] std::vector<std::uint32_t> agentsNotSpared(std::span<const SparingInput> Upstreams);

/// The upstream's availability for a flow within the limits of its standing. An exempt one comes
/// last for flows whose requests must not be repeated.
[[nodiscard]] Fitness availabilityFor(const UpstreamStatus &Status, FlowKind Kind) noexcept;

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_SPARING_H
