#ifndef GALENARELAY_RELAY_POLICY_COLD_START_LIMIT_H
#define GALENARELAY_RELAY_POLICY_COLD_START_LIMIT_H

#include "galenarelay/common/time.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <optional>

namespace galenarelay::relay::policy {

/// The span of the limit: any second.
inline constexpr common::Duration ColdStartWindow = std::chrono::seconds(1);
/// Maximum bound. A larger one limits nothing that a single upstream could take.
inline constexpr double MaxColdOpenings = 10'000;

/// How a service's rate for a cold upstream becomes a bound: Rate * Overage + Slack.
struct ColdStartAllowance {
  double Overage = 1;
  double Slack = 0; ///< Openings.

  /// Maximum number of openings in any ColdStartWindow; empty if RatePerSecond states no bound,
  /// which 0 and any odd value do. At least 1: an upstream without openings would stay unused.
  [[nodiscard]] std::optional<std::size_t> bound(double RatePerSecond) const noexcept {
    if (!(RatePerSecond > 0) || !std::isfinite(RatePerSecond))
      return std::nullopt;
    const double Openings = std::clamp(RatePerSecond * Overage + Slack, 1.0, MaxColdOpenings);
    return static_cast<std::size_t>(Openings);
  }

  friend bool operator==(const ColdStartAllowance &, const ColdStartAllowance &) = default;
};

/// Counts the openings at one upstream in the last ColdStartWindow. All of them pass its agent, so
/// that the count is that of all machines. They are counted while the upstream is warm as well: the
/// window may begin before it is known to be cold.
class ColdStartLimit {
public:
  /// Notes an opening. Two calls may have the same time.
  void note(common::TimePoint Now) {
    dropOld(Now);
    Openings.push_back(Now);
    if (Openings.size() > static_cast<std::size_t>(MaxColdOpenings))
      Openings.pop_front();
  }
  /// Whether one more opening stays within Bound in every window of which Now is a part.
  [[nodiscard]] bool allows(std::size_t Bound, common::TimePoint Now) {
    dropOld(Now);
    return Openings.size() < Bound;
  }

private:
  void dropOld(common::TimePoint Now) {
    while (!Openings.empty() && Now - Openings.front() > ColdStartWindow)
      Openings.pop_front();
  }

  std::deque<common::TimePoint> Openings; ///< Ascending.
};

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_COLD_START_LIMIT_H
