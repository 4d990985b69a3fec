#include "galenarelay/schedule/scheduler.h"

#include "galenarelay/schedule/impl/scheduler_state.h"

namespace galenarelay::schedule {

using common::TimePoint;

Scheduler::Scheduler(SchedulerOptions Options)
    : State(std::make_unique<impl::SchedulerState>(Options)) {}
Scheduler::Scheduler(Scheduler &&) noexcept = default;
Scheduler &Scheduler::operator=(Scheduler &&) noexcept = default;
Scheduler::~Scheduler() = default;

std::uint32_t Scheduler::busySlots() const noexcept { return State->busySlots(); }

std::size_t Scheduler::queued() const noexcept { return State->queued(); }

std::uint32_t Scheduler::longRunning(TimePoint Now) const noexcept {
  return State->longRunning(Now);
}

LoadReport Scheduler::report(TimePoint Now) const { return State->report(Now); }

std::optional<TimePoint> Scheduler::nextTimer() const noexcept { return State->nextTimer(); }

std::vector<Decision> Scheduler::onArrival(const RequestInfo &Request, TimePoint Now) {
  std::vector<Decision> Out;
  State->onArrival(Request, Now, Out);
  return Out;
}

std::vector<Decision> Scheduler::onFeedStarted(RequestId Id, TimePoint Now) {
  std::vector<Decision> Out;
  State->onFeedStarted(Id, Now, Out);
  return Out;
}

std::vector<Decision> Scheduler::onFinished(RequestId Id, Completion How, TimePoint Now) {
  std::vector<Decision> Out;
  State->onFinished(Id, How, Now, Out);
  return Out;
}

std::vector<Decision> Scheduler::onCancelled(RequestId Id, TimePoint Now) {
  std::vector<Decision> Out;
  State->onCancelled(Id, Now, Out);
  return Out;
}

std::vector<Decision> Scheduler::onTimer(TimePoint Now) {
  std::vector<Decision> Out;
  State->advance(Now, Out);
  return Out;
}

bool Scheduler::takeRetry(TimePoint /*Now*/) { return State->takeRetry(); }

} // namespace galenarelay::schedule
