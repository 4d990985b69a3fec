#include "galenarelay/schedule/impl/concurrency_limit.h"

#include <algorithm>

namespace galenarelay::schedule::impl {

using common::Duration;
using common::TimePoint;

namespace {

Duration perSlot(Duration Whole, std::uint32_t Slots) noexcept {
  return Whole / std::max<std::int64_t>(Slots, 1);
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t Slots, Duration SlowStart, Duration ShedRecovery)
    : Slots(std::max(Slots, 1U)), SlowStartStep(perSlot(SlowStart, Slots)),
      ShedStep(perSlot(ShedRecovery, Slots)) {}

std::uint32_t ConcurrencyLimit::allowed(TimePoint Now) const noexcept {
  if (Step <= Duration::zero())
    return Slots;
  const auto Added =
      static_cast<std::uint64_t>(std::max<std::int64_t>((Now - RampStart) / Step, 0));
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(Slots, BaseSlots + Added));
}

std::optional<TimePoint> ConcurrencyLimit::nextStep(TimePoint Now) const noexcept {
  if (allowed(Now) >= Slots)
    return std::nullopt;
  return RampStart + Step * (allowed(Now) - BaseSlots + 1);
}

void ConcurrencyLimit::onRequest(TimePoint Now) noexcept {
  if (Started)
    return;
  Started = true;
  startRamp(1, SlowStartStep, Now);
}

void ConcurrencyLimit::onShed(std::uint32_t Busy, TimePoint Now) noexcept {
  // The upstream was able to serve the other requests. Several requests shed at the same time lower
  // the limit once each, down to one slot.
  const std::uint32_t Served = Busy > 1 ? Busy - 1 : 1;
  startRamp(std::min(Served, allowed(Now)), ShedStep, Now);
}

void ConcurrencyLimit::onUnreachable(TimePoint Now) noexcept { startRamp(1, SlowStartStep, Now); }

void ConcurrencyLimit::startRamp(std::uint32_t InitialSlots, Duration NewStep,
                                 TimePoint Now) noexcept {
  BaseSlots = InitialSlots;
  Step = NewStep;
  RampStart = Now;
}

} // namespace galenarelay::schedule::impl
