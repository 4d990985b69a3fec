#ifndef GALENARELAY_RELAY_POLICY_RESTART_RECOVERY_H
#define GALENARELAY_RELAY_POLICY_RESTART_RECOVERY_H

#include "galenarelay/common/time.h"

#include <cstdint>

namespace galenarelay::relay::policy {

/// A load figure up to this age tells how many places are free: about the service time of one or
/// two requests.
inline constexpr common::Duration PlaceFreshness = std::chrono::milliseconds(60);
/// A busy upstream stays known as busy for this time, unless its agent reports a place.
inline constexpr common::Duration BusyFreshness = std::chrono::milliseconds(500);
/// Flows that one balancer may have under way to an upstream whose free places it doesn't know. The
/// answer to the first one tells them.
inline constexpr std::uint32_t UnknownPlaces = 1;
/// Requests that an agent admits while its upstream has not reported how many slots it has.
/// Upstreams run some requests at the same time and queue a few more.
inline constexpr std::uint32_t UnreportedRequestLimit = 4;

/// What a balancer knows about the free places of an upstream.
struct PlaceKnowledge {
  std::uint32_t Slots = 0;      ///< 0 if unknown.
  std::uint32_t Unanswered = 0; ///< By the latest load figure.
  common::Duration FigureAge{};
  /// Whether the agent has reported a place since the last flow was sent to it.
  bool PlaceReported = false;
  bool Cold = false; ///< It has just started, which its agent has told all balancers.

  friend bool operator==(const PlaceKnowledge &, const PlaceKnowledge &) = default;
};

/// Number of flows that may be under way to an upstream. After a loss of everything all balancers
/// have flows to place and old or no figures; without this bound each of them sends a full load to
/// the same upstreams, and most flows come back. All of them also learn of a start at once, so that
/// the free slots of a cold upstream aren't one balancer's. A place behind requests that run is
/// taken only if its agent reports it, which it does to one waiting balancer at a time.
[[nodiscard]] constexpr std::uint32_t maxUnderWay(const PlaceKnowledge &Known) noexcept {
  const bool Busy = Known.Unanswered >= Known.Slots;
  if (Known.Slots == 0 || Known.FigureAge > (Busy ? BusyFreshness : PlaceFreshness))
    return UnknownPlaces;
  if (Busy)
    return Known.PlaceReported ? 1 : 0;
  return Known.Cold ? UnknownPlaces : Known.Slots - Known.Unanswered;
}

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_RESTART_RECOVERY_H
