#ifndef GALENARELAY_RELAY_POLICY_ADMISSION_H
#define GALENARELAY_RELAY_POLICY_ADMISSION_H

#include "galenarelay/relay/policy/waiting_flow.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace galenarelay::relay::policy {

/// Time window in which releases are counted: several times the service time of a request.
inline constexpr common::Duration ReleaseWindow = std::chrono::milliseconds(500);
/// Maximum number of releases kept. Beyond it the rate is that of the newest ones.
inline constexpr std::size_t MaxReleases = 1000;
/// Factor by which the release rate may rise over the measured one, since cold upstreams warm up
/// and others come back.
inline constexpr double RateMargin = 2;
/// Flows that a caller opens for one request until it gives up: the first try and two retries.
inline constexpr std::uint32_t MaxCallerTries = 3;
/// Part of the latency objective that a request may take once it is placed, with its time in the
/// upstream's queue: the other part is for its wait here. A request with less than this left of its
/// time budget is not placed any more, since its answer would come too late.
inline constexpr int ServiceTimeDivisor = 2;

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

/// What is known about the wait of a flow.
struct WaitForecast {
  std::size_t FlowsAhead = 0;   ///< Flows of the service that are to be released first.
  double ReleasesPerSecond = 0; ///< 0 while it is unknown.

  /// The least time until the flow is released; empty while no release rate is known.
  [[nodiscard]] std::optional<common::Duration> leastWait() const noexcept {
    if (ReleasesPerSecond <= 0)
      return std::nullopt;
    return std::chrono::duration_cast<common::Duration>(std::chrono::duration<double>(
        static_cast<double>(FlowsAhead) / (RateMargin * ReleasesPerSecond)));
  }

  friend bool operator==(const WaitForecast &, const WaitForecast &) = default;
};

/// What becomes of a flow that waits.
enum class AdmissionVerdict : std::uint8_t {
  Wait,
  RefuseAtOnce,  ///< It can't be served: a refusal now saves the caller the wait.
  RefuseForRetry ///< The time of this try is over, and the caller's next one may be served.
};

/// A policy that decides whether a flow goes on waiting.
template <typename T>
concept Admission = requires(const T &Policy, const WaitingFlow &Flow, const WaitForecast &Forecast,
                             common::TimePoint Now) {
  { Policy.judge(Flow, Forecast, Now) } -> std::same_as<AdmissionVerdict>;
};

/// Considers only the present try: refuses a flow that would expire before it is released.
struct OneTryAdmission {
  [[nodiscard]] AdmissionVerdict judge(const WaitingFlow &Flow, const WaitForecast &Forecast,
                                       common::TimePoint Now) const noexcept {
    const bool Refused = expired(Flow, Now) ||
                         wouldExpire(Flow, Forecast.FlowsAhead, Forecast.ReleasesPerSecond, Now);
    return Refused ? AdmissionVerdict::RefuseAtOnce : AdmissionVerdict::Wait;
  }
};

/// Considers all tries of the request. Each try may wait for an equal part of what is left of the
/// time budget, so that the tries span the budget also where a balancer doesn't know of the earlier
/// ones. A request that none of its tries can get placed in time is refused at once.
struct AllTriesAdmission {
  /// Tries that are left to the caller, including the present one.
  [[nodiscard]] static std::uint32_t triesLeft(const WaitingFlow &Flow) noexcept {
    return MaxCallerTries - std::min(Flow.EarlierTries, MaxCallerTries - 1);
  }
  /// Time from the first SYN of this try in which the request can be placed, by its time budget;
  /// empty without a budget.
  [[nodiscard]] static std::optional<common::Duration>
  placementTime(const WaitingFlow &Flow) noexcept {
    if (Flow.Deadline <= common::Duration::zero())
      return std::nullopt;
    return Flow.Deadline - Flow.LatencyObjective / ServiceTimeDivisor - Flow.EarlierTime;
  }
  /// Time for which this try may wait: at most HoldTimeout.
  [[nodiscard]] static common::Duration holdTime(const WaitingFlow &Flow) noexcept {
    const auto Left = placementTime(Flow);
    return Left ? std::min(HoldTimeout, *Left / triesLeft(Flow)) : HoldTimeout;
  }
  /// Time from now in which a try of the request can still be placed; not positive if none can.
  [[nodiscard]] static common::Duration remainingTime(const WaitingFlow &Flow,
                                                      common::TimePoint Now) noexcept {
    const auto Tries = static_cast<int>(triesLeft(Flow));
    const auto ByTries = std::max(common::Duration::zero(), holdTime(Flow) - Flow.age(Now)) +
                         (Tries - 1) * HoldTimeout;
    const auto ByBudget = placementTime(Flow);
    return ByBudget ? std::min(ByTries, *ByBudget - Flow.age(Now)) : ByTries;
  }

  [[nodiscard]] AdmissionVerdict judge(const WaitingFlow &Flow, const WaitForecast &Forecast,
                                       common::TimePoint Now) const noexcept {
    const auto Remaining = remainingTime(Flow, Now);
    if (Remaining <= common::Duration::zero() || Forecast.leastWait() > Remaining)
      return AdmissionVerdict::RefuseAtOnce;
    return Flow.age(Now) < holdTime(Flow) ? AdmissionVerdict::Wait
                                          : AdmissionVerdict::RefuseForRetry;
  }
};

static_assert(Admission<OneTryAdmission> && Admission<AllTriesAdmission>);

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_ADMISSION_H
