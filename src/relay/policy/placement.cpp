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

/// Relative answer time from which another upstream is looked for: there a request may wait for
/// half of another one's work and still end earlier.
constexpr double SlowRelativeTime = 1.5;
/// Weight of the requests that a free upstream has in progress, against the expected time of one
/// more. They don't delay it, but its figure may be old, and other balancers choose too.
constexpr double SpreadWeight = 0.5;

/// Expected time of one more request while Load, itself included, is in progress for each slot, in
/// usual answer times; see SpreadWeight.
double expectedTime(double Load, double RelativeTime) noexcept {
  return RelativeTime * (std::max(1.0, Load) + SpreadWeight * Load);
}

std::uint32_t placed(const UpstreamStatus &Status) noexcept {
  return Status.PlacedShort + Status.PlacedLong;
}

} // namespace

bool UpstreamStatus::busy() const noexcept {
  return capacity() != 0 && Unanswered + placed(*this) >= capacity();
}

bool UpstreamStatus::slow() const noexcept { return RelativeTime >= SlowRelativeTime; }

bool UpstreamStatus::full() const noexcept {
  return capacity() != 0 && Unanswered + placed(*this) >= requestLimit(capacity());
}

double loadFor(const UpstreamStatus &Status, FlowKind Kind, const Mechanisms &InUse) noexcept {
  double Slots = std::max<std::uint32_t>(1, Status.capacity());
  // A learned answer time shows already that the upstream is cold.
  if (Status.Cold && !Status.TimeKnown && InUse.uses(Mechanism::ColdDiscount))
    Slots *= ColdSlotShare;
  const bool BySpeed = InUse.uses(Mechanism::LearnedCapacity);
  const double Requests = Status.Unanswered + Status.PlacedShort;
  const double RequestLoad =
      BySpeed ? expectedTime((Requests + 1) / Slots, Status.RelativeTime) : Requests / Slots;
  if (Kind == FlowKind::Short || !InUse.uses(Mechanism::LongFlowBalance))
    return RequestLoad;
  const double LongFlows = Status.LongFlows + Status.PlacedLong;
  const double LongFlowLoad =
      BySpeed ? (LongFlows + 1) / Slots * Status.RelativeTime : LongFlows / Slots;
  return LongFlowLoad + PresentWorkWeight * RequestLoad;
}

PlacementRank LeastLoad::rank(const UpstreamStatus &Status, FlowKind Kind) const noexcept {
  const bool CountsZone = !Status.OwnZone && InUse.uses(Mechanism::OwnZone);
  return {Status.Availability, false, false,
          loadFor(Status, Kind, InUse) + (CountsZone ? OtherZoneCost : 0)};
}

PlacementRank OwnZoneWhileFree::rank(const UpstreamStatus &Status, FlowKind Kind) const noexcept {
  return {Status.Availability, !Status.answersSoon(), !Status.OwnZone,
          loadFor(Status, Kind, InUse)};
}

} // namespace galenarelay::relay::policy
