#include "galenarelay/schedule/impl/return_plan.h"

#include <algorithm>
#include <cmath>

namespace galenarelay::schedule::impl {

using common::Duration;
using common::TimePoint;

namespace {

/// Decay of earlier completions at each new one: the rate covers about the last 50.
constexpr double DecayFactor = 0.98;
/// Completions, decayed, that are needed before the measured rate is used.
constexpr double MinCompletions = 5;
/// Jitter, as a share of the planned delay to either side. Jitter to one side only would bring
/// requests back faster than planned.
constexpr double JitterShare = 0.25;

double seconds(Duration Value) noexcept { return std::chrono::duration<double>(Value).count(); }

Duration fromSeconds(double Value) noexcept {
  return Duration(std::llround(Value * std::micro::den));
}

} // namespace

RetryAfterPlanner::RetryAfterPlanner(std::uint64_t Seed, double RetryAfterShare, Duration MaxDelay)
    : Random(Seed), RetryAfterShare(RetryAfterShare), MaxDelay(MaxDelay) {}

double RetryAfterPlanner::drainRate() const noexcept {
  return Completions < MinCompletions || Seconds <= 0 ? 0 : Completions / Seconds;
}

void RetryAfterPlanner::onCompleted(bool Backlogged, TimePoint Now) noexcept {
  if (Backlogged) {
    Completions = Completions * DecayFactor + 1;
    Seconds = Seconds * DecayFactor + seconds(Now - LastCompletion);
  }
  LastCompletion = Now;
}

Duration RetryAfterPlanner::planRetry(std::size_t QueuedRequests, double Fallback, TimePoint Now) {
  const double MeasuredRate = drainRate();
  const double Rate = std::max(MeasuredRate > 0 ? MeasuredRate : Fallback, 1e-6);
  const double MaxDelay = seconds(this->MaxDelay);
  // Retries are planned one after the other, at RetryAfterShare of the drain rate; the rest of the
  // rate is for new requests.
  LastPlannedRetry = std::max(LastPlannedRetry,
                              Now + fromSeconds(std::min(MaxDelay, double(QueuedRequests) / Rate)));
  LastPlannedRetry += fromSeconds(std::min(MaxDelay, 1.0 / (Rate * RetryAfterShare)));
  LastPlannedRetry = std::min(LastPlannedRetry, Now + this->MaxDelay);
  const double Delay = seconds(LastPlannedRetry - Now);
  const double Jittered = Delay * (1 + JitterShare * (2 * common::uniformUnit(Random) - 1));
  // Retry-After has whole seconds. Random rounding up or down keeps the mean and spreads requests
  // that were rejected at the same time.
  const double WholeSeconds = std::floor(Jittered + common::uniformUnit(Random));
  return fromSeconds(std::max(1.0, WholeSeconds));
}

} // namespace galenarelay::schedule::impl
