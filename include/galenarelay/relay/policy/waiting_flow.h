#ifndef GALENARELAY_RELAY_POLICY_WAITING_FLOW_H
#define GALENARELAY_RELAY_POLICY_WAITING_FLOW_H

#include "galenarelay/common/time.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace galenarelay::relay::policy {

/// When a caller sends its first packet and the copies of it, from its first try on.
inline constexpr std::array<common::Duration, 3> CopyTimes{
    std::chrono::milliseconds(0), std::chrono::milliseconds(200), std::chrono::milliseconds(600)};
/// A copy that is later than this isn't on its way any more: half of the time between copies.
inline constexpr common::Duration RetransmissionDelay = std::chrono::milliseconds(100);
/// A first packet waits at most this long for an upstream that isn't full: its caller stops waiting
/// 200 ms later, and a flow that opens needs some of that.
inline constexpr common::Duration HoldTimeout = std::chrono::milliseconds(1200);

/// Time between a caller's first packet and its copy of a number; a number beyond the last copy
/// counts as the last one.
[[nodiscard]] constexpr common::Duration retransmissionTime(std::uint32_t Copy) noexcept {
  return CopyTimes[std::min<std::size_t>(Copy, CopyTimes.size() - 1)];
}

/// A caller whose first packet waits for an upstream, as the decisions on it see it.
struct WaitingFlow {
  common::TimePoint StartedAt{}; ///< The caller's first packet, though it may have been lost.
  std::uint32_t Copies = 0;      ///< Number of the latest copy seen.
  common::Duration LatencyObjective{};
  common::Duration Deadline{}; ///< Of the request that follows; 0 if it has none.
  std::uint32_t Priority = 0;  ///< 0 is the most urgent.

  [[nodiscard]] common::Duration age(common::TimePoint Now) const noexcept {
    return Now - StartedAt;
  }
  /// The next copy has not come: the caller has given up, or its packets reach another node.
  [[nodiscard]] bool callerProbablyGone(common::TimePoint Now) const noexcept {
    return Copies + 1 < CopyTimes.size() &&
           age(Now) > retransmissionTime(Copies + 1) + RetransmissionDelay;
  }

  friend bool operator==(const WaitingFlow &, const WaitingFlow &) = default;
};

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_WAITING_FLOW_H
