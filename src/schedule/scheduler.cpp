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

std::uint32_t Scheduler::runningStragglers(TimePoint Now) const noexcept {
  return State->runningStragglers(Now);
}

LoadReport Scheduler::report(TimePoint Now) const { return State->report(Now); }

std::optional<TimePoint> Scheduler::nextTimer() const noexcept { return State->nextTimer(); }

std::vector<Decision> Scheduler::onArrival(const RequestInfo &Request, TimePoint Now) {
  std::vector<Decision> Decisions;
  State->onArrival(Request, Now, Decisions);
  return Decisions;
}

std::vector<Decision> Scheduler::onFeedStarted(RequestId Id, TimePoint Now) {
  std::vector<Decision> Decisions;
  State->onFeedStarted(Id, Now, Decisions);
  return Decisions;
}

std::vector<Decision> Scheduler::onFinished(RequestId Id, Completion Outcome, TimePoint Now) {
  std::vector<Decision> Decisions;
  State->onFinished(Id, Outcome, Now, Decisions);
  return Decisions;
}

std::vector<Decision> Scheduler::onCancelled(RequestId Id, TimePoint Now) {
  std::vector<Decision> Decisions;
  State->onCancelled(Id, Now, Decisions);
  return Decisions;
}

std::vector<Decision> Scheduler::onTimer(TimePoint Now) {
  std::vector<Decision> Decisions;
  State->advance(Now, Decisions);
  return Decisions;
}

bool Scheduler::tryTakeRetry(TimePoint /*Now*/) { return State->tryTakeRetry(); }

} // namespace galenarelay::schedule
