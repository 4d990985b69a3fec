#ifndef GALENARELAY_STANDINS_UPSTREAM_SLOT_POOL_H
#define GALENARELAY_STANDINS_UPSTREAM_SLOT_POOL_H

#include "galenarelay/common/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>

namespace galenarelay::standins::upstream {

/// Load as /load reports it.
struct LoadSample {
  common::TimePoint At{};
  std::uint32_t Busy = 0;
  std::uint32_t Waiting = 0;
  bool Healthy = true;

  friend bool operator==(const LoadSample &, const LoadSample &) = default;
};

/// The slots of the upstream and the requests that wait for one, first come, first served.
class SlotPool {
public:
  /// Load samples kept for reports that lag; the oldest is dropped first.
  static constexpr std::size_t MaxSamples = 10'000;
  using Ticket = std::list<std::function<void()>>::iterator;

  [[nodiscard]] std::uint32_t busy() const noexcept { return Busy; }
  [[nodiscard]] std::size_t waiting() const noexcept { return Waiters.size(); }
  /// The newest sample that is at least Lag old; the oldest one if none is.
  [[nodiscard]] LoadSample sample(common::TimePoint Now, common::Duration Lag) const;

  /// Takes a free slot; false if there is none.
  [[nodiscard]] bool tryTake(std::uint32_t Slots);
  /// Waits: Granted is called once, when a slot was taken for the waiter.
  [[nodiscard]] Ticket wait(std::function<void()> Granted);
  void abandon(Ticket Waiter);
  /// Frees a slot and hands it to the first waiter.
  void release(std::uint32_t Slots);
  /// Hands free slots to waiters, after a change of the number of slots.
  void grant(std::uint32_t Slots);
  void note(common::TimePoint Now, bool Healthy);

private:
  std::uint32_t Busy = 0;
  std::list<std::function<void()>> Waiters;
  std::deque<LoadSample> Samples;
};

} // namespace galenarelay::standins::upstream

#endif // GALENARELAY_STANDINS_UPSTREAM_SLOT_POOL_H
