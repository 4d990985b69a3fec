#ifndef GALENARELAY_SCHEDULE_IMPL_RETURN_PLAN_H
#define GALENARELAY_SCHEDULE_IMPL_RETURN_PLAN_H

#include "galenarelay/common/random.h"
#include "galenarelay/common/time.h"

#include <cstdint>

namespace galenarelay::schedule::impl {

/// Measures completions per second and spreads the returns of rejected requests over time.
class RetryAfterPlanner {
public:
  RetryAfterPlanner(std::uint64_t Seed, double ReturnShare, common::Duration Longest);

  /// Completions per second over the recent backlogged time; 0 if none was measured.
  [[nodiscard]] double drainRate() const noexcept;

  /// Counts a completion. Backlogged: work was waiting since the completion before.
  void onCompleted(bool Backlogged, common::TimePoint Now) noexcept;
  /// When a rejected request should return: whole seconds, at least 1. QueuedRequests wait before
  /// it; Fallback is the drain rate used until one is measured.
  [[nodiscard]] common::Duration planReturn(std::size_t QueuedRequests, double Fallback,
                                            common::TimePoint Now);

private:
  common::Engine Random;
  double ReturnShare;
  common::Duration Longest;
  double Completions = 0; ///< Decayed.
  double Seconds = 0;     ///< Decayed.
  common::TimePoint LastCompletion{};
  common::TimePoint PromisedUntil{}; ///< Returns are promised up to this moment.
};

} // namespace galenarelay::schedule::impl

#endif // GALENARELAY_SCHEDULE_IMPL_RETURN_PLAN_H
