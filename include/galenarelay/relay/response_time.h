#ifndef GALENARELAY_RELAY_RESPONSE_TIME_H
#define GALENARELAY_RELAY_RESPONSE_TIME_H

#include "galenarelay/common/time.h"

#include <algorithm>

namespace galenarelay::relay {

/// The slowest answer of this time back counts for how long silence is still no sign of a loss.
inline constexpr common::Duration SlowestMemory = std::chrono::seconds(10);

/// Estimates how long answers take from those that came, with the smoothing of RFC 6298. The way
/// to all nodes is one estimate: what grows is the queue of this node's own link.
class ResponseTime {
public:
  void onAnswer(common::Duration Taken, common::TimePoint Now) noexcept {
    if (!Known) {
      Mean = Taken;
      Deviation = Taken / 2;
      Known = true;
    } else {
      const common::Duration Error = Taken > Mean ? Taken - Mean : Mean - Taken;
      Deviation = (3 * Deviation + Error) / 4;
      Mean = (7 * Mean + Taken) / 8;
    }
    if (Taken >= Slowest || Now - SlowestAt > SlowestMemory) {
      Slowest = Taken;
      SlowestAt = Now;
    }
  }

  /// Whether any answer has come.
  [[nodiscard]] bool known() const noexcept { return Known; }
  /// Time after which an answer isn't expected any more, within bounds.
  [[nodiscard]] common::Duration patience(common::Duration Least,
                                          common::Duration Most) const noexcept {
    return std::clamp(Mean + 4 * Deviation, Least, Most);
  }
  [[nodiscard]] common::Duration slowest(common::TimePoint Now) const noexcept {
    return Now - SlowestAt <= SlowestMemory ? Slowest : common::Duration{};
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
