#ifndef GALENARELAY_SCHEDULE_IMPL_CONCURRENCY_LIMIT_H
#define GALENARELAY_SCHEDULE_IMPL_CONCURRENCY_LIMIT_H

#include "galenarelay/common/time.h"

#include <cstdint>
#include <optional>

namespace galenarelay::schedule::impl {

/// Number of slots that may be used now: ramped up after a cold start (slow start), and lowered for
/// a while after load shedding by the upstream.
class ConcurrencyLimit {
public:
  ConcurrencyLimit(std::uint32_t Slots, common::Duration SlowStart, common::Duration ShedRecovery);

  /// Usable slots, from 1 to the number of slots.
  [[nodiscard]] std::uint32_t allowed(common::TimePoint Now) const noexcept;
  /// Time at which the next slot is added; empty if all are usable.
  [[nodiscard]] std::optional<common::TimePoint> nextStep(common::TimePoint Now) const noexcept;

  /// Called for each request; the first one starts the ramp, later ones have no effect.
  void onRequest(common::TimePoint Now) noexcept;
  /// The upstream shed a request while Busy slots, that of the request included, were in use.
  void onShed(std::uint32_t Busy, common::TimePoint Now) noexcept;
  /// Restarts the slow start: the upstream was unreachable and will be cold when it is back.
  void onUnreachable(common::TimePoint Now) noexcept;

private:
  /// Starts a ramp from InitialSlots that adds a slot every Step.
  void startRamp(std::uint32_t InitialSlots, common::Duration Step, common::TimePoint Now) noexcept;

  std::uint32_t Slots;
  common::Duration SlowStartStep;
  common::Duration ShedStep;
  bool Started = false;
  std::uint32_t BaseSlots = 1; ///< Usable slots at the start of the ramp.
  common::Duration Step{};     ///< Time per added slot.
  common::TimePoint RampStart{};
};

} // namespace galenarelay::schedule::impl

#endif // GALENARELAY_SCHEDULE_IMPL_CONCURRENCY_LIMIT_H
