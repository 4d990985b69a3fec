#include "galenarelay/membership/store_freshness.h"

#include <algorithm>

namespace galenarelay::membership {

namespace {

/// The maximum of three uniform values: few of many nodes draw a low one, and not too many a high
/// one, for the case that none keeps the others from reading.
double drawDelayFraction(common::Engine &Random) {
  double Highest = 0;
  for (int I = 0; I < 3; ++I)
    Highest = std::max(Highest, common::uniformUnit(Random));
  return Highest;
}

} // namespace

StoreFreshness::StoreFreshness(FreshnessBounds Bounds, std::uint64_t Seed, common::TimePoint Now)
    : Bounds(Bounds), Random(Seed), DelayFraction(drawDelayFraction(Random)), KnownAt(Now),
      NotBefore(Now) {}

common::Duration StoreFreshness::readDelay() const noexcept {
  return std::chrono::duration_cast<common::Duration>((Bounds.MaxAge - Bounds.MinAge) *
                                                      DelayFraction);
}

bool StoreFreshness::noteRead(common::TimePoint AsOf, common::TimePoint Now) {
  LastReadFailed = false;
  return advance(AsOf, Now);
}

bool StoreFreshness::noteHeard(common::TimePoint AsOf, common::TimePoint Now) {
  return Now >= TrustsPeersAt && advance(AsOf, Now);
}

bool StoreFreshness::advance(common::TimePoint AsOf, common::TimePoint Now) {
  if (Known && AsOf <= KnownAt)
    return false;
  const bool WasOld = !Known || Now - KnownAt >= Bounds.MinAge;
  Known = true;
  KnownAt = AsOf;
  return WasOld && Now - AsOf < Bounds.MinAge;
}

// The retries of nodes that the store turns away together are spread over the interval.
void StoreFreshness::noteFailure(common::TimePoint Now) {
  LastReadFailed = true;
  const auto Delay = Bounds.RetryInterval * (0.5 + common::uniformUnit(Random));
  NotBefore = Now + std::chrono::duration_cast<common::Duration>(Delay);
}

// Machines that were suspended together go on together, so that each waits as if its knowledge had
// just reached MinAge.
void StoreFreshness::onResume(common::TimePoint Now) {
  TrustsPeersAt = Now + BacklogTime;
  NotBefore = std::max(NotBefore, Now + readDelay());
}

common::TimePoint StoreFreshness::nextRead() const noexcept {
  return std::max(KnownAt + Bounds.MinAge + readDelay(), NotBefore);
}

std::optional<common::Duration> StoreFreshness::age(common::TimePoint Now) const noexcept {
  if (!Known)
    return std::nullopt;
  return std::max(Now - KnownAt, common::Duration::zero());
}

} // namespace galenarelay::membership
