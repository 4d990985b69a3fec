#include "galenarelay/schedule/impl/return_plan.h"

#include <algorithm>
#include <cmath>

namespace galenarelay::schedule::impl {

using common::Duration;
using common::TimePoint;

namespace {

/// Weight kept by earlier completions: the rate covers about the last 50.
constexpr double KeptShare = 0.98;
/// Completions before the measured rate is used.
constexpr double EnoughCompletions = 5;
/// Returns are spread by this share of the planned delay to either side. A spread to one side only
/// would bring them back faster than planned.
constexpr double JitterShare = 0.25;

double seconds(Duration Value) noexcept { return std::chrono::duration<double>(Value).count(); }

Duration fromSeconds(double Value) noexcept {
  return Duration(std::llround(Value * std::micro::den));
}

} // namespace

RetryAfterPlanner::RetryAfterPlanner(std::uint64_t Seed, double ReturnShare, Duration Longest)
    : Random(Seed), ReturnShare(ReturnShare), Longest(Longest) {}

double RetryAfterPlanner::drainRate() const noexcept {
  return Completions < EnoughCompletions || Seconds <= 0 ? 0 : Completions / Seconds;
}

void RetryAfterPlanner::onCompleted(bool Backlogged, TimePoint Now) noexcept {
  if (Backlogged) {
    Completions = Completions * KeptShare + 1;
    Seconds = Seconds * KeptShare + seconds(Now - LastCompletion);
  }
  LastCompletion = Now;
}

Duration RetryAfterPlanner::planReturn(std::size_t QueuedRequests, double Fallback, TimePoint Now) {
  const double Measured = drainRate();
  const double Rate = std::max(Measured > 0 ? Measured : Fallback, 1e-6);
  const double Longest = seconds(this->Longest);
  // Promises are made one after the other, at the share of the drain rate that new requests leave.
  PromisedUntil =
      std::max(PromisedUntil, Now + fromSeconds(std::min(Longest, double(QueuedRequests) / Rate)));
  PromisedUntil += fromSeconds(std::min(Longest, 1.0 / (Rate * ReturnShare)));
  PromisedUntil = std::min(PromisedUntil, Now + this->Longest);
  const double Delay = seconds(PromisedUntil - Now);
  const double Jittered = Delay * (1 + JitterShare * (2 * common::uniformUnit(Random) - 1));
  // The header carries whole seconds. Rounding up or down by chance keeps the mean and spreads
  // requests that were rejected in the same moment.
  const double Whole = std::floor(Jittered + common::uniformUnit(Random));
  return fromSeconds(std::max(1.0, Whole));
}

} // namespace galenarelay::schedule::impl
