#ifndef GALENARELAY_SCHEDULE_IMPL_CONCURRENCY_LIMIT_H
#define GALENARELAY_SCHEDULE_IMPL_CONCURRENCY_LIMIT_H

#include "galenarelay/common/time.h"

#include <cstdint>
#include <optional>

namespace galenarelay::schedule::impl {

/// Slots that may be used now: a ramp after a cold start, and fewer after the upstream shed.
class ConcurrencyLimit {
public:
  ConcurrencyLimit(std::uint32_t Slots, common::Duration SlowStart, common::Duration ShedRecovery);

  /// Usable slots, from 1 to the number of slots.
  [[nodiscard]] std::uint32_t allowed(common::TimePoint Now) const noexcept;
  /// Next moment at which a slot is added; empty if all are usable.
  [[nodiscard]] std::optional<common::TimePoint> nextStep(common::TimePoint Now) const noexcept;

  /// The first request has come: the ramp begins.
  void onFirstWork(common::TimePoint Now) noexcept;
  /// The upstream refused work while Busy slots, this one included, were in use.
  void onShed(std::uint32_t Busy, common::TimePoint Now) noexcept;
  /// The upstream couldn't be reached and will be cold when it is back.
  void onUnreachable(common::TimePoint Now) noexcept;

private:
  void restart(std::uint32_t From, common::Duration Step, common::TimePoint Now) noexcept;

  std::uint32_t Slots;
  common::Duration SlowStartStep;
  common::Duration ShedStep;
  bool Started = false;
  std::uint32_t Base = 1;  ///< Usable slots at Since.
  common::Duration Step{}; ///< Time per added slot.
  common::TimePoint Since{};
};

} // namespace galenarelay::schedule::impl

#endif // GALENARELAY_SCHEDULE_IMPL_CONCURRENCY_LIMIT_H
