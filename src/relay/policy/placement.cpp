#include "galenarelay/relay/policy/placement.h"

#include "galenarelay/relay/packet_head.h"

#include <algorithm>

namespace galenarelay::relay::policy {

namespace {

/// Slots of a cold upstream count as this fraction, since it takes longer for each request.
constexpr double ColdSlotShare = 0.5;
/// Penalty for another availability zone, in requests per slot. Traffic between zones is charged
/// for, so that it decides between equal upstreams, but is too small to outweigh one request.
constexpr double OtherZoneCost = 0.15;
/// Weight of the requests in progress for a long flow, which lasts long after these have ended.
constexpr double PresentWorkWeight = 0.3;

std::uint32_t placed(const UpstreamStatus &Status) noexcept {
  return Status.PlacedShort + Status.PlacedLong;
}

} // namespace

bool UpstreamStatus::busy() const noexcept {
  return Slots != 0 && Unanswered + placed(*this) >= Slots;
}

bool UpstreamStatus::full() const noexcept {
  return UnderWay >= MaxUnderWay ||
         (Slots != 0 && Unanswered + placed(*this) >= requestLimit(Slots));
}

double loadFor(const UpstreamStatus &Status, FlowKind Kind, const Mechanisms &InUse) noexcept {
  double Slots = std::max<std::uint32_t>(1, Status.Slots);
  if (Status.Cold && InUse.uses(Mechanism::ColdDiscount))
    Slots *= ColdSlotShare;
  const double RequestLoad = (Status.Unanswered + Status.PlacedShort) / Slots;
  if (Kind == FlowKind::Short || !InUse.uses(Mechanism::LongFlowBalance))
    return RequestLoad;
  return (Status.LongFlows + Status.PlacedLong) / Slots + PresentWorkWeight * RequestLoad;
}

PlacementRank LeastLoad::rank(const UpstreamStatus &Status, FlowKind Kind) const noexcept {
  const bool CountsZone = !Status.OwnZone && InUse.uses(Mechanism::OwnZone);
  return {Status.Availability, false, false,
          loadFor(Status, Kind, InUse) + (CountsZone ? OtherZoneCost : 0)};
}

PlacementRank OwnZoneWhileFree::rank(const UpstreamStatus &Status, FlowKind Kind) const noexcept {
  return {Status.Availability, Status.busy(), !Status.OwnZone, loadFor(Status, Kind, InUse)};
}

} // namespace galenarelay::relay::policy
