#include "galenarelay/standins/upstream/slot_pool.h"

#include <utility>

namespace galenarelay::standins::upstream {

using common::Duration;
using common::TimePoint;

LoadSample SlotPool::sample(TimePoint Now, Duration Lag) const {
  if (Samples.empty())
    return {};
  for (auto Sample = Samples.rbegin(); Sample != Samples.rend(); ++Sample)
    if (Now - Sample->At >= Lag)
      return *Sample;
  return Samples.front();
}

bool SlotPool::tryTake(std::uint32_t Slots) {
  if (Busy >= Slots || !Waiters.empty())
    return false;
  ++Busy;
  return true;
}

SlotPool::Ticket SlotPool::wait(std::function<void()> Granted) {
  return Waiters.insert(Waiters.end(), std::move(Granted));
}

void SlotPool::abandon(Ticket Waiter) { Waiters.erase(Waiter); }

void SlotPool::release(std::uint32_t Slots) {
  --Busy;
  grant(Slots);
}

void SlotPool::grant(std::uint32_t Slots) {
  while (Busy < Slots && !Waiters.empty()) {
    const auto Granted = std::move(Waiters.front());
    Waiters.pop_front();
    ++Busy;
    Granted();
  }
}

void SlotPool::note(TimePoint Now, bool Healthy) {
  Samples.push_back({Now, Busy, static_cast<std::uint32_t>(Waiters.size()), Healthy});
  if (Samples.size() > MaxSamples)
    Samples.pop_front();
}

} // namespace galenarelay::standins::upstream
