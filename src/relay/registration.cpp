#include "galenarelay/relay/registration.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace galenarelay::relay {

namespace {

bool sameStanding(const Heartbeat &A, const Heartbeat &B) {
  return A.Draining == B.Draining && A.Service == B.Service && A.Slots == B.Slots;
}

} // namespace

std::string_view name(HeartbeatEffect Effect) noexcept {
  constexpr std::array<std::string_view, 4> Names{"refreshed", "changed", "new_incarnation",
                                                  "outdated"};
  return Names[static_cast<std::size_t>(Effect)];
}

HeartbeatEffect Registration::onHeartbeat(const Heartbeat &Heard, common::TimePoint Now) {
  if (Last) {
    const auto Position = std::tie(Heard.Incarnation, Heard.Sequence);
    const bool SameLife = Last->Id == Heard.Id && Last->Incarnation == Heard.Incarnation;
    if (Heard.Incarnation < Last->Incarnation ||
        (SameLife && Position <= std::tie(Last->Incarnation, Last->Sequence)))
      return HeartbeatEffect::Outdated;
    if (SameLife) {
      // A drain isn't taken back within an incarnation.
      const bool StillLeaves = Last->Draining;
      const bool Same = sameStanding(*Last, Heard);
      Last = Heard;
      Last->Draining = Last->Draining || StillLeaves;
      HeardAt = Now;
      return Same ? HeartbeatEffect::Refreshed : HeartbeatEffect::Changed;
    }
  }
  Last = Heard;
  HeardAt = Now;
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
  return Last &&
         Now - HeardAt <= std::chrono::duration_cast<common::Duration>(Interval * SilentIntervals);
}

common::Duration Registration::coldFor(common::TimePoint Now) const noexcept {
  if (!Last)
    return {};
  return std::max(common::Duration::zero(), Last->ColdFor - (Now - HeardAt));
}

} // namespace galenarelay::relay
