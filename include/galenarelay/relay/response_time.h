#ifndef GALENARELAY_RELAY_RESPONSE_TIME_H
#define GALENARELAY_RELAY_RESPONSE_TIME_H

#include "galenarelay/common/time.h"

#include <algorithm>

namespace galenarelay::relay {

/// How long ResponseTimeEstimator remembers the slowest answer. Silence shorter than that answer
/// took isn't taken as a sign of loss.
inline constexpr common::Duration SlowestRetention = std::chrono::seconds(10);

/// Estimates response times from those seen so far, with the smoothing of RFC 6298. One estimate
/// serves all peers, because the part that grows is the queue of this node's own link.
class ResponseTimeEstimator {
public:
  void onAnswer(common::Duration Elapsed, common::TimePoint Now) noexcept {
    if (!Known) {
      Mean = Elapsed;
      Deviation = Elapsed / 2;
      Known = true;
    } else {
      const common::Duration Error = Elapsed > Mean ? Elapsed - Mean : Mean - Elapsed;
      Deviation = (3 * Deviation + Error) / 4;
      Mean = (7 * Mean + Elapsed) / 8;
    }
    if (Elapsed >= Slowest || Now - SlowestAt > SlowestRetention) {
      Slowest = Elapsed;
      SlowestAt = Now;
    }
  }

  /// True after the first answer.
  [[nodiscard]] bool known() const noexcept { return Known; }
  /// Timeout for an answer: the mean plus four deviations, clamped to [Min, Max].
  [[nodiscard]] common::Duration timeout(common::Duration Min,
                                         common::Duration Max) const noexcept {
    return std::clamp(Mean + 4 * Deviation, Min, Max);
  }
  /// Slowest response within SlowestRetention; 0 without one.
  [[nodiscard]] common::Duration slowest(common::TimePoint Now) const noexcept {
    return Now - SlowestAt <= SlowestRetention ? Slowest : common::Duration{};
  }

private:
  bool Known = false;
  common::Duration Mean{};
  common::Duration Deviation{};
  common::Duration Slowest{};
  common::TimePoint SlowestAt{};
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_RESPONSE_TIME_H
