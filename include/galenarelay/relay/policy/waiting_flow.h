#ifndef GALENARELAY_RELAY_POLICY_WAITING_FLOW_H
#define GALENARELAY_RELAY_POLICY_WAITING_FLOW_H

#include "galenarelay/common/time.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace galenarelay::relay::policy {

/// Times at which a caller sends its SYN and the retransmissions of it, from the first SYN on.
inline constexpr std::array<common::Duration, 3> SynTimes{
    std::chrono::milliseconds(0), std::chrono::milliseconds(200), std::chrono::milliseconds(600)};
/// A retransmission that is overdue by more than this isn't expected any more: half of the time
/// from the SYN to its first retransmission.
inline constexpr common::Duration RetransmissionDelay = std::chrono::milliseconds(100);
/// A SYN waits at most this long for an upstream that isn't full. Its caller gives up 200 ms later,
/// of which the opening of the flow needs some.
inline constexpr common::Duration HoldTimeout = std::chrono::milliseconds(1200);

/// Time from a caller's SYN to retransmission number Retransmission, 0 being the SYN itself.
/// Numbers beyond the last retransmission count as the last one.
[[nodiscard]] constexpr common::Duration retransmissionTime(std::uint32_t Retransmission) noexcept {
  return SynTimes[std::min<std::size_t>(Retransmission, SynTimes.size() - 1)];
}

/// A flow whose SYN waits for an upstream: the input of the decisions on its release and refusal.
struct WaitingFlow {
  common::TimePoint FirstSynAt{};    ///< Time of the caller's first SYN, also if it was lost.
  std::uint32_t Retransmissions = 0; ///< Number of the latest retransmission received.
  common::Duration LatencyObjective{};
  common::Duration Deadline{}; ///< Deadline of the flow's first request; 0 if it has none.
  std::uint32_t Priority = 0;  ///< 0 is the most urgent.
  std::uint32_t Caller = 0;    ///< Address of the caller.
  /// Tries of the request that were refused before, as far as they are known, and the time from
  /// the first SYN of the first try to FirstSynAt.
  std::uint32_t EarlierTries = 0;
  common::Duration EarlierTime{};

  [[nodiscard]] common::Duration age(common::TimePoint Now) const noexcept {
    return Now - FirstSynAt;
  }
  /// Time since the first SYN of the request's first known try.
  [[nodiscard]] common::Duration requestAge(common::TimePoint Now) const noexcept {
    return age(Now) + EarlierTime;
  }
  /// Whether the next retransmission is overdue: the caller has given up, or its packets reach
  /// another node.
  [[nodiscard]] bool callerProbablyGone(common::TimePoint Now) const noexcept {
    return Retransmissions + 1 < SynTimes.size() &&
           age(Now) > retransmissionTime(Retransmissions + 1) + RetransmissionDelay;
  }

  friend bool operator==(const WaitingFlow &, const WaitingFlow &) = default;
};

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_WAITING_FLOW_H
