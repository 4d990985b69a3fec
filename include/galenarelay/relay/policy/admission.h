#ifndef GALENARELAY_RELAY_POLICY_ADMISSION_H
#define GALENARELAY_RELAY_POLICY_ADMISSION_H

#include "galenarelay/relay/policy/waiting_flow.h"

#include <cstddef>
#include <deque>

namespace galenarelay::relay::policy {

/// Span over which releases are counted: several times the work of a request.
inline constexpr common::Duration ReleaseWindow = std::chrono::milliseconds(500);
/// Releases remembered; beyond it the rate is taken as that of the newest ones.
inline constexpr std::size_t MaxReleases = 1000;
/// Cold upstreams warm up and others come back: places may come free this many times as often as
/// lately.
inline constexpr double RateMargin = 2;

/// How often places came free for the waiting flows of a service.
class ReleaseRate {
public:
  void note(common::TimePoint Now) {
    Times.push_back(Now);
    if (Times.size() > MaxReleases)
      Times.pop_front();
  }
  /// Releases a second; 0 while too little is known.
  [[nodiscard]] double perSecond(common::TimePoint Now) {
    while (!Times.empty() && Now - Times.front() > ReleaseWindow)
      Times.pop_front();
    if (Times.empty() || Now - Times.front() < ReleaseWindow / 2)
      return 0;
    return static_cast<double>(Times.size()) /
           std::chrono::duration<double>(Now - Times.front()).count();
  }

private:
  std::deque<common::TimePoint> Times;
};

/// The flow can't begin any more while its caller waits.
[[nodiscard]] inline bool expired(const WaitingFlow &Flow, common::TimePoint Now) noexcept {
  const bool Overdue = Flow.Deadline > common::Duration::zero() && Flow.age(Now) >= Flow.Deadline;
  return Overdue || Flow.age(Now) >= HoldTimeout;
}

/// For load above capacity that lasts: with so many flows before it, the flow would be expired
/// before a place comes free for it, even at RateMargin times the present rate.
[[nodiscard]] inline bool wouldExpire(const WaitingFlow &Flow, std::size_t Before, double PerSecond,
                                      common::TimePoint Now) noexcept {
  if (PerSecond <= 0)
    return false;
  const std::chrono::duration<double> Wait(static_cast<double>(Before) / (RateMargin * PerSecond));
  return expired(Flow, Now + std::chrono::duration_cast<common::Duration>(Wait));
}

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_ADMISSION_H
