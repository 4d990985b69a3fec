#ifndef GALENARELAY_RELAY_POLICY_RELEASE_ORDER_H
#define GALENARELAY_RELAY_POLICY_RELEASE_ORDER_H

#include "galenarelay/relay/policy/waiting_flow.h"

#include <concepts>
#include <cstdint>
#include <tuple>

namespace galenarelay::relay::policy {

/// Place of a waiting flow in the order of release; the smallest is first.
struct ReleaseRank {
  bool Absent = false; ///< The caller is probably not there any more.
  bool Late = false;   ///< The latency objective has passed.
  std::uint32_t Priority = 0;
  common::Duration Order{};

  friend bool operator==(const ReleaseRank &, const ReleaseRank &) = default;
  friend bool operator<(const ReleaseRank &A, const ReleaseRank &B) noexcept {
    return std::tie(A.Absent, A.Late, A.Priority, A.Order) <
           std::tie(B.Absent, B.Late, B.Priority, B.Order);
  }
};

/// Ranks waiting flows while their upstreams are full.
template <typename T>
concept ReleaseOrder = requires(const T &Order, const WaitingFlow &Flow, common::TimePoint Now) {
  { Order.rank(Flow, Now) } -> std::same_as<ReleaseRank>;
};

/// For sustained load above capacity, and for a backlog after an outage: flows that can be in time
/// go before late ones, the more urgent first, then the newest, since in the order of arrival all
/// would wait until they are late. Late ones go by urgency and arrival.
struct UrgentAndFreshFirst {
  bool GoneCallersLast = true; ///< Flows whose callers are probably gone take only what is left.

  [[nodiscard]] ReleaseRank rank(const WaitingFlow &Flow, common::TimePoint Now) const noexcept {
    const auto Age = Flow.age(Now);
    const bool Late = Age >= Flow.LatencyObjective;
    return {GoneCallersLast && Flow.callerProbablyGone(Now), Late, Flow.Priority,
            Late ? -Age : Age};
  }
};

/// The neutral order: by arrival.
struct OldestFirst {
  [[nodiscard]] ReleaseRank rank(const WaitingFlow &Flow, common::TimePoint Now) const noexcept {
    return {false, false, 0, -Flow.age(Now)};
  }
};

static_assert(ReleaseOrder<UrgentAndFreshFirst> && ReleaseOrder<OldestFirst>);

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_RELEASE_ORDER_H
