#ifndef GALENARELAY_RELAY_POLICY_PLACEMENT_H
#define GALENARELAY_RELAY_POLICY_PLACEMENT_H

#include "galenarelay/relay/policy/mechanism.h"

#include <concepts>
#include <cstdint>
#include <tuple>

namespace galenarelay::relay::policy {

/// Expected number of requests of a new flow.
enum class FlowKind : std::uint8_t {
  Short, ///< One request.
  Long   ///< Many requests over its life.
};

/// Upstreams of a worse fitness are chosen only if none of a better one is available. Unfit ones
/// are never chosen.
enum class Fitness : std::uint8_t { Good, Doubtful, Unfit };

/// What a balancer knows about an upstream: the input of the decisions on new flows.
struct UpstreamStatus {
  Fitness Availability = Fitness::Good;
  bool Cold = false; ///< Slow, since it has just started.
  bool OwnZone = true;
  std::uint32_t Slots = 0;       ///< 0 if unknown.
  std::uint32_t Unanswered = 0;  ///< Requests in progress, by the upstream's latest load figure.
  std::uint32_t LongFlows = 0;   ///< By the same figure.
  std::uint32_t PlacedShort = 0; ///< Flows sent to it that the figure doesn't include yet.
  std::uint32_t PlacedLong = 0;
  std::uint32_t Capacity = 0; ///< Learned one; 0 for the slots.
  double RelativeTime = 1;    ///< To answer a request, as a factor of the usual time.
  bool TimeKnown = false;     ///< RelativeTime is that of the upstream.

  /// Requests that the upstream takes well: the learned capacity or the slots; 0 if unknown.
  [[nodiscard]] std::uint32_t capacity() const noexcept { return Capacity != 0 ? Capacity : Slots; }

  /// Whether all slots are taken.
  [[nodiscard]] bool busy() const noexcept;
  /// Whether a request takes much longer than at other upstreams of the service.
  [[nodiscard]] bool slow() const noexcept;
  /// Whether a request would be worked on at once and at the usual speed.
  [[nodiscard]] bool answersSoon() const noexcept { return !busy() && !slow(); }
  /// Whether the upstream takes no further flow; see requestLimit().
  [[nodiscard]] bool full() const noexcept;

  friend bool operator==(const UpstreamStatus &, const UpstreamStatus &) = default;
};

/// Sort key of an upstream for a new flow. The least one is the best.
struct PlacementRank {
  Fitness Availability = Fitness::Good;
  bool Busy = false;
  bool OtherZone = false;
  double Load = 0;

  friend bool operator==(const PlacementRank &, const PlacementRank &) = default;
  friend bool operator<(const PlacementRank &A, const PlacementRank &B) noexcept {
    return std::tie(A.Availability, A.Busy, A.OtherZone, A.Load) <
           std::tie(B.Availability, B.Busy, B.OtherZone, B.Load);
  }
};

/// Load that a flow would meet, in requests or long flows per slot.
[[nodiscard]] double loadFor(const UpstreamStatus &Status, FlowKind Kind,
                             const Mechanisms &InUse) noexcept;

/// A policy that compares upstreams for a new flow.
template <typename T>
concept PlacementRule = requires(const T &Rule, const UpstreamStatus &Status, FlowKind Kind) {
  { Rule.rank(Status, Kind) } -> std::same_as<PlacementRank>;
};

/// Compares upstreams by their load; another zone counts like a small additional load.
struct LeastLoad {
  Mechanisms InUse;

  [[nodiscard]] PlacementRank rank(const UpstreamStatus &Status, FlowKind Kind) const noexcept;
};

/// Prefers the own zone while it has a free slot, then free slots of other zones. A request that
/// waits for a slot waits for the work of another one, which takes longer than the way to another
/// zone of a region.
struct OwnZoneWhileFree {
  Mechanisms InUse;

  [[nodiscard]] PlacementRank rank(const UpstreamStatus &Status, FlowKind Kind) const noexcept;
};

static_assert(PlacementRule<LeastLoad> && PlacementRule<OwnZoneWhileFree>);

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_PLACEMENT_H
