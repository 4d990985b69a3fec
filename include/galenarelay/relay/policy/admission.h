#ifndef GALENARELAY_RELAY_POLICY_ADMISSION_H
#define GALENARELAY_RELAY_POLICY_ADMISSION_H

#include "galenarelay/relay/policy/waiting_flow.h"

#include <cstddef>
#include <deque>

namespace galenarelay::relay::policy {

/// Time window in which releases are counted: several times the service time of a request.
inline constexpr common::Duration ReleaseWindow = std::chrono::milliseconds(500);
/// Maximum number of releases kept. Beyond it the rate is that of the newest ones.
inline constexpr std::size_t MaxReleases = 1000;
/// Factor by which the release rate may rise over the measured one, since cold upstreams warm up
/// and others come back.
inline constexpr double RateMargin = 2;

/// Measures the rate at which waiting flows of a service are released.
class ReleaseRate {
public:
  void note(common::TimePoint Now) {
    ReleaseTimes.push_back(Now);
    if (ReleaseTimes.size() > MaxReleases)
      ReleaseTimes.pop_front();
  }
  /// Releases per second; 0 until half of ReleaseWindow has passed since the first one, as
  /// an earlier rate would be a guess.
  [[nodiscard]] double perSecond(common::TimePoint Now) {
    while (!ReleaseTimes.empty() && Now - ReleaseTimes.front() > ReleaseWindow)
      ReleaseTimes.pop_front();
    if (ReleaseTimes.empty() || Now - ReleaseTimes.front() < ReleaseWindow / 2)
      return 0;
    return static_cast<double>(ReleaseTimes.size()) /
           std::chrono::duration<double>(Now - ReleaseTimes.front()).count();
  }

private:
  std::deque<common::TimePoint> ReleaseTimes;
};

/// Whether it is too late to open the flow: its deadline or HoldTimeout has passed.
[[nodiscard]] inline bool expired(const WaitingFlow &Flow, common::TimePoint Now) noexcept {
  const bool Overdue = Flow.Deadline > common::Duration::zero() && Flow.age(Now) >= Flow.Deadline;
  return Overdue || Flow.age(Now) >= HoldTimeout;
}

/// Whether the flow would expire before it is released after FlowsAhead others, even at RateMargin
/// times the current rate. Such a flow is refused at once, for sustained overload.
[[nodiscard]] inline bool wouldExpire(const WaitingFlow &Flow, std::size_t FlowsAhead,
                                      double ReleasesPerSecond, common::TimePoint Now) noexcept {
  if (ReleasesPerSecond <= 0)
    return false;
  const std::chrono::duration<double> Wait(static_cast<double>(FlowsAhead) /
                                           (RateMargin * ReleasesPerSecond));
  return expired(Flow, Now + std::chrono::duration_cast<common::Duration>(Wait));
}

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_ADMISSION_H
