#include "galenarelay/relay/registration.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace galenarelay::relay {

namespace {

bool sameStatus(const Heartbeat &A, const Heartbeat &B) {
  return A.Draining == B.Draining && A.Service == B.Service && A.Slots == B.Slots;
}

} // namespace

std::string_view name(HeartbeatEffect Effect) noexcept {
  constexpr std::array<std::string_view, 4> Names{"refreshed", "changed", "new_incarnation",
                                                  "outdated"};
  return Names[static_cast<std::size_t>(Effect)];
}

HeartbeatEffect Registration::onHeartbeat(const Heartbeat &Received, common::TimePoint Now) {
  if (Last) {
    const auto Version = std::tie(Received.Incarnation, Received.Sequence);
    const bool SameIncarnation =
        Last->Id == Received.Id && Last->Incarnation == Received.Incarnation;
    if (Received.Incarnation < Last->Incarnation ||
        (SameIncarnation && Version <= std::tie(Last->Incarnation, Last->Sequence)))
      return HeartbeatEffect::Outdated;
    if (SameIncarnation) {
      // Draining is final within an incarnation: a later heartbeat without it doesn't end it.
      const bool WasDraining = Last->Draining;
      const bool SameStatus = sameStatus(*Last, Received);
      Last = Received;
      Last->Draining = Last->Draining || WasDraining;
      ReceivedAt = Now;
      // The departure was that of an earlier incarnation with the same ID.
      Departed = false;
      return SameStatus ? HeartbeatEffect::Refreshed : HeartbeatEffect::Changed;
    }
  }
  Last = Received;
  ReceivedAt = Now;
  Departed = false;
  return HeartbeatEffect::NewIncarnation;
}

bool Registration::onDeparture(const std::string &Id) {
  if (Last && Last->Id != Id)
    return false;
  Departed = true;
  return true;
}

bool Registration::fresh(common::TimePoint Now) const noexcept {
  return Last && Now - ReceivedAt <=
                     std::chrono::duration_cast<common::Duration>(Interval * SilentIntervals);
}

common::Duration Registration::coldFor(common::TimePoint Now) const noexcept {
  if (!Last)
    return {};
  return std::max(common::Duration::zero(), Last->ColdFor - (Now - ReceivedAt));
}

} // namespace galenarelay::relay
