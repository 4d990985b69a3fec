#ifndef GALENARELAY_SCHEDULE_IMPL_RETURN_PLAN_H
#define GALENARELAY_SCHEDULE_IMPL_RETURN_PLAN_H

#include "galenarelay/common/random.h"
#include "galenarelay/common/time.h"

#include <cstdint>

namespace galenarelay::schedule::impl {

/// Measures the drain rate of the queue (completions per second) and from it computes Retry-After
/// delays that spread the retries of rejected requests over time.
class RetryAfterPlanner {
public:
  RetryAfterPlanner(std::uint64_t Seed, double RetryAfterShare, common::Duration MaxDelay);

  /// Completions per second over recent backlogged time; 0 until enough were measured.
  [[nodiscard]] double drainRate() const noexcept;

  /// Counts a completion. Backlogged: requests were queued since the previous completion.
  void onCompleted(bool Backlogged, common::TimePoint Now) noexcept;
  /// Plans the retry of a rejected request after those planned before, and returns its Retry-After
  /// delay: whole seconds, at least 1. QueuedRequests is the length of the queue; Fallback is the
  /// drain rate used until one is measured.
  [[nodiscard]] common::Duration planRetry(std::size_t QueuedRequests, double Fallback,
                                           common::TimePoint Now);

private:
  common::Engine Random;
  double RetryAfterShare;
  common::Duration MaxDelay;
  double Completions = 0; ///< Completions in backlogged time, decayed.
  double Seconds = 0;     ///< Backlogged time, decayed.
  common::TimePoint LastCompletion{};
  common::TimePoint LastPlannedRetry{}; ///< Planned time of the latest retry.
};

} // namespace galenarelay::schedule::impl

#endif // GALENARELAY_SCHEDULE_IMPL_RETURN_PLAN_H
