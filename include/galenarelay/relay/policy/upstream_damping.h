#ifndef GALENARELAY_RELAY_POLICY_UPSTREAM_DAMPING_H
#define GALENARELAY_RELAY_POLICY_UPSTREAM_DAMPING_H

#include "galenarelay/common/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <utility>

namespace galenarelay::relay::policy {

/// Penalties decay by half in this time: several seconds, so that an upstream which loses its flows
/// every few seconds stays out, and one that did so once is back within the life of a few flows.
inline constexpr common::Duration PenaltyHalfLife = std::chrono::seconds(4);
/// Penalty for a loss of all flows, the unit of the other values as in RFC 2439.
inline constexpr double LossPenalty = 1000;
/// While an upstream is away its penalty decays this many times slower: a short absence proves
/// nothing (RFC 2439, half-life of unreachable routes).
inline constexpr int AbsenceFactor = 3;
/// Bound of the penalty for losses. Reached by sustained flapping; it bounds the time until an
/// upstream that has become steady is tried again (RFC 2439, maximum suppress time).
inline constexpr double MaxLossPenalty = 3000;
/// Penalty for a failed request of an upstream that fails all of them. The penalty for a failure is
/// this times the share of failures among the latest requests.
inline constexpr double FailurePenalty = 350;
/// After this many failures of different callers without an answer between them, all requests count
/// as failing: an upstream that has just gone down has a long history of answers.
inline constexpr std::uint32_t MinConsecutiveFailures = 3;
/// Bound of the penalty for failed requests: less than two losses, as other requests may succeed.
inline constexpr double MaxFailurePenalty = 1000;
/// An upstream is spared at this penalty: after one loss, or after the failures of three callers.
inline constexpr double SpareThreshold = 750;
/// Below this penalty a spared upstream gets single flows with idempotent requests.
inline constexpr double ProbeThreshold = 400;
/// Below this penalty an upstream is steady again.
inline constexpr double RestoreThreshold = 200;
/// Requests that an upstream which is tried again may have at a time.
inline constexpr std::uint32_t MaxProbeRequests = 1;
/// Number of callers with recent failures that are remembered.
inline constexpr std::size_t MaxFailedCallers = 8;
/// What an upstream did to its flows, as far as it can be told without the contents of packets.
enum class UpstreamFault : std::uint8_t {
  FlowsLost,         ///< It restarted without notice, or its machine did.
  Reset,             ///< It reset a flow with an unanswered request.
  ClosedUnanswered,  ///< It closed a flow with an unanswered request.
  RequestUnanswered, ///< It hasn't begun to answer a request in time.
  OpeningUnanswered, ///< It left a SYN unanswered.
  OpeningRefused     ///< It returned a SYN.
};
inline constexpr std::size_t UpstreamFaultCount = 6;

[[nodiscard]] std::string_view name(UpstreamFault Fault) noexcept;

/// What an upstream gets of the new flows.
enum class Standing : std::uint8_t {
  Steady,  ///< Any flow.
  Probing, ///< At most MaxProbeRequests at a time, from flows with idempotent requests.
  Spared   ///< None.
};

[[nodiscard]] std::string_view name(Standing Which) noexcept;

/// Standing and penalty, as agents tell them to balancers.
struct DampingState {
  Standing Which = Standing::Steady;
  std::uint32_t Penalty = 0;

  friend bool operator==(const DampingState &, const DampingState &) = default;
};

/// A value that decays by half in PenaltyHalfLife.
class DecayingValue {
public:
  [[nodiscard]] double at(common::TimePoint Now) const noexcept;
  void add(double Amount, double Maximum, common::TimePoint Now) noexcept;

private:
  double Value = 0;
  common::TimePoint Since{};
};

/// Penalty of an upstream for its faults: route flap damping (RFC 2439) for losses of all flows,
/// and a share of failed requests as in outlier detection. The larger one of both counts, as a loss
/// shows as failed requests too.
class UpstreamDamping {
public:
  /// Notes that the upstream is back and has lost all of its flows at a time.
  void noteLoss(common::TimePoint LostAt, common::TimePoint Now);
  /// Notes a failed request or SYN of a caller. A caller counts once in PenaltyHalfLife, so that
  /// none can get an upstream spared alone.
  void noteFailure(UpstreamFault Fault, std::uint32_t Caller, common::TimePoint Now);
  void noteAnswer(common::TimePoint Now) noexcept;

  [[nodiscard]] double penalty(common::TimePoint Now) const noexcept;
  /// Penalty and standing. Between the thresholds the standing depends on the one before.
  [[nodiscard]] DampingState update(common::TimePoint Now) noexcept;
  /// Number of faults since the upstream was last steady.
  [[nodiscard]] std::uint32_t faults(UpstreamFault Fault) const noexcept {
    return Faults[static_cast<std::size_t>(Fault)];
  }

private:
  void countFault(UpstreamFault Fault, common::TimePoint Now) noexcept;

  DecayingValue Losses;
  DecayingValue Failures;
  DecayingValue RecentFailures; ///< Number of failed requests.
  DecayingValue RecentAnswers;  ///< Number of answered requests.
  std::uint32_t ConsecutiveFailures = 0;
  std::deque<std::pair<std::uint32_t, common::TimePoint>> FailedCallers;
  std::array<std::uint32_t, UpstreamFaultCount> Faults{};
  Standing Current = Standing::Steady;
};

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_UPSTREAM_DAMPING_H
