#ifndef GALENARELAY_RELAY_POLICY_RELEASE_ORDER_H
#define GALENARELAY_RELAY_POLICY_RELEASE_ORDER_H

#include "galenarelay/relay/policy/waiting_flow.h"

#include <concepts>
#include <cstdint>
#include <tuple>

namespace galenarelay::relay::policy {

/// Sort key of a waiting flow. Flows are released in ascending order.
struct ReleaseRank {
  bool CallerGone = false; ///< The caller has probably given up.
  bool Late = false;       ///< The latency objective is already missed.
  std::uint32_t Priority = 0;
  common::Duration AgeOrder{}; ///< Compared last: the age of the flow, or its negative.

  friend bool operator==(const ReleaseRank &, const ReleaseRank &) = default;
  friend bool operator<(const ReleaseRank &A, const ReleaseRank &B) noexcept {
    return std::tie(A.CallerGone, A.Late, A.Priority, A.AgeOrder) <
           std::tie(B.CallerGone, B.Late, B.Priority, B.AgeOrder);
  }
};

/// A policy that ranks waiting flows while their upstreams are full.
template <typename T>
concept ReleaseOrder = requires(const T &Order, const WaitingFlow &Flow, common::TimePoint Now) {
  { Order.rank(Flow, Now) } -> std::same_as<ReleaseRank>;
};

/// Releases flows that can still meet their latency objective before late ones, by priority, then
/// the newest first: under sustained overload or with a backlog after an outage, release in the
/// order of arrival would make all flows wait until they are late. Late flows are released by
/// priority, then by arrival.
struct UrgentAndFreshFirst {
  bool GoneCallersLast = true; ///< Flows whose callers are probably gone are ranked last.

  [[nodiscard]] ReleaseRank rank(const WaitingFlow &Flow, common::TimePoint Now) const noexcept {
    const auto Age = Flow.age(Now);
    const bool Late = Age >= Flow.LatencyObjective;
    return {GoneCallersLast && Flow.callerProbablyGone(Now), Late, Flow.Priority,
            Late ? -Age : Age};
  }
};

/// Releases flows in the order of arrival.
struct OldestFirst {
  [[nodiscard]] ReleaseRank rank(const WaitingFlow &Flow, common::TimePoint Now) const noexcept {
    return {false, false, 0, -Flow.age(Now)};
  }
};

static_assert(ReleaseOrder<UrgentAndFreshFirst> && ReleaseOrder<OldestFirst>);

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_RELEASE_ORDER_H
