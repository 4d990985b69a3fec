#include "galenarelay/schedule/impl/scheduler_state.h"

#include <algorithm>
#include <cmath>

namespace galenarelay::schedule::impl {

using common::Duration;
using common::ResultCode;
using common::TimePoint;

namespace {

/// Weight of the newest completion in the moving average of the error share, which thus covers
/// about the last 20 completions.
constexpr double ErrorWeight = 0.05;

/// Bound, in requests, on how far a request that ran longer than predicted puts its caller ahead of
/// its fair share. A request of 50 times the prediction would otherwise starve its caller for many
/// rounds.
constexpr int MaxAheadRequests = 8;

double milliseconds(Duration Value) noexcept {
  return std::chrono::duration<double, std::milli>(Value).count();
}

} // namespace

SchedulerState::SchedulerState(SchedulerOptions Options)
    : Options(Options), Estimates(Options.DefaultDuration, Options.LongFactor, Options.LongMinimum),
      Limit(Options.Slots, Options.SlowStart, Options.ShedRecovery),
      RetryPlanner(Options.Seed, Options.ReturnShare, Options.MaxRetryAfter),
      Retries(Options.RetryShare, Options.RetryBurst) {}

std::uint32_t SchedulerState::busySlots() const noexcept {
  return static_cast<std::uint32_t>(RunningRequests.size());
}

std::uint32_t SchedulerState::longRunning(TimePoint Now) const noexcept {
  return static_cast<std::uint32_t>(
      std::count_if(RunningRequests.begin(), RunningRequests.end(), [&](const auto &Entry) {
        const RunningRequest &Request = Entry.second;
        return Request.Predicted.Long || Now - Request.Started > Estimates.longThreshold();
      }));
}

LoadReport SchedulerState::report(TimePoint /*Now*/) const {
  LoadReport Report;
  Report.Slots = Options.Slots;
  Report.Busy = busySlots();
  Report.Queued = static_cast<std::uint32_t>(queued());
  Report.QueuedWorkMs = milliseconds(Short.Queue.work() + Long.Queue.work());
  Report.ErrorShare = ErrorShare;
  return Report;
}

std::optional<TimePoint> SchedulerState::nextTimer() const noexcept {
  std::optional<TimePoint> Next;
  const auto Consider = [&Next](std::optional<TimePoint> At) {
    if (At && (!Next || *At < *Next))
      Next = At;
  };
  if (!LatestStarts.empty())
    Consider(LatestStarts.begin()->first + Duration(1));
  if (queued() == 0)
    return Next;
  if (busySlots() >= Limit.allowed(LastEventTime)) {
    Consider(Limit.nextStep(LastEventTime));
    return Next;
  }
  // If a slot is free while requests are queued, all of them are stragglers held back by the
  // reserve.
  if (!Long.Queue.empty()) {
    if (!longAged(LastEventTime))
      Consider(longAgedFrom());
    if (reserveInForce(LastEventTime))
      Consider(LastShortArrival + Options.ReserveHold);
    Consider(Limit.nextStep(LastEventTime));
  }
  return Next;
}

void SchedulerState::onArrival(const RequestInfo &Request, TimePoint Now,
                               std::vector<Decision> &Decisions) {
  if (RunningRequests.contains(Request.Id) || Short.Queue.contains(Request.Id) ||
      Long.Queue.contains(Request.Id)) {
    advance(Now, Decisions);
    return;
  }
  Limit.onFirstRequest(Now);
  Retries.onRequest();
  advance(Now, Decisions);
  const Prediction Predicted = Estimates.predict(Request.Class);
  if (!Predicted.Long) {
    LastShortArrival = Now;
    ShortArrived = true;
  }
  const bool HasDeadline = Request.Deadline != TimePoint{};
  const TimePoint LatestStart = Request.Deadline - Predicted.Percentile90;
  if (HasDeadline && Now + predictedWait(Predicted, Request.Caller, Now) > LatestStart) {
    reject(Request.Id, ResultCode::RequestDeadline, Now, Decisions);
    return;
  }
  Lane &Target = laneOf(Predicted);
  Target.Queue.push({Request, Predicted, Now}, Target.Ledger.startTag(Request.Caller),
                    Target.Ledger.usedTag(Request.Caller, maxCredit(Predicted)));
  if (HasDeadline)
    LatestStarts.emplace(LatestStart, Request.Id);
  dispatch(Now, Decisions);
  enforceQueueBounds(Now, Decisions);
}

void SchedulerState::onFeedStarted(RequestId Id, TimePoint Now, std::vector<Decision> &Decisions) {
  const auto It = RunningRequests.find(Id);
  if (It != RunningRequests.end()) {
    const RunningRequest Ended = It->second;
    RunningRequests.erase(It);
    recordDuration(Ended, Now - Ended.Started);
    RetryPlanner.onCompleted(queued() > 0, Now);
  }
  advance(Now, Decisions);
}

void SchedulerState::onFinished(RequestId Id, Completion Outcome, TimePoint Now,
                                std::vector<Decision> &Decisions) {
  const auto It = RunningRequests.find(Id);
  if (It == RunningRequests.end()) {
    advance(Now, Decisions);
    return;
  }
  const RunningRequest Ended = It->second;
  const std::uint32_t Busy = busySlots();
  RunningRequests.erase(It);
  const bool Succeeded = Outcome == Completion::Succeeded;
  ErrorShare += ErrorWeight * ((Succeeded ? 0.0 : 1.0) - ErrorShare);
  // Failures don't train the estimates: an upstream that fails fast would otherwise look quick.
  if (Succeeded) {
    recordDuration(Ended, Now - Ended.Started);
    RetryPlanner.onCompleted(queued() > 0, Now);
  } else {
    const Duration Used = Outcome == Completion::Failed ? Now - Ended.Started : Duration{};
    correctCharge(Ended, Used);
  }
  if (Outcome == Completion::Shed)
    Limit.onShed(Busy, Now);
  if (Outcome == Completion::NotSent)
    Limit.onUnreachable(Now);
  advance(Now, Decisions);
}

void SchedulerState::onCancelled(RequestId Id, TimePoint Now, std::vector<Decision> &Decisions) {
  std::optional<QueuedRequest> Removed = Short.Queue.remove(Id);
  if (!Removed)
    Removed = Long.Queue.remove(Id);
  if (Removed)
    removeLatestStart(*Removed);
  advance(Now, Decisions);
}

void SchedulerState::advance(TimePoint Now, std::vector<Decision> &Decisions) {
  LastEventTime = Now;
  rejectExpired(Now, Decisions);
  dispatch(Now, Decisions);
}

std::uint32_t SchedulerState::longSlotLimit() const noexcept {
  const auto Reserved =
      static_cast<std::uint32_t>(std::lround(Options.ReservedShare * Options.Slots));
  return Reserved >= Options.Slots ? 1 : Options.Slots - Reserved;
}

bool SchedulerState::reserveInForce(TimePoint Now) const noexcept {
  return !Short.Queue.empty() || (ShortArrived && Now - LastShortArrival < Options.ReserveHold);
}

/// Time from which the oldest straggler may use the reserve. The wait is counted from the last
/// start of a straggler at the earliest: in a backlog every straggler has waited long, so the limit
/// would otherwise be exceeded permanently.
TimePoint SchedulerState::longAgedFrom() const noexcept {
  return std::max(Long.Queue.oldestArrival(), LastLongStart) + Options.LongPatience;
}

bool SchedulerState::longAged(TimePoint Now) const noexcept {
  return !Long.Queue.empty() && Now >= longAgedFrom();
}

SchedulerState::Selection SchedulerState::selectNext(TimePoint Now) const noexcept {
  if (Long.Queue.empty())
    return Short.Queue.empty() ? Selection::None : Selection::NextShort;
  const std::uint32_t Stragglers = longRunning(Now);
  // An aged straggler may use one slot of the reserve. Stragglers beyond the limit thus neither
  // starve nor occupy every slot.
  if (longAged(Now) && Stragglers <= longSlotLimit())
    return Selection::OldestLong;
  const bool LongMayRun = Stragglers < longSlotLimit() || !reserveInForce(Now);
  if (Short.Queue.empty())
    return LongMayRun ? Selection::NextLong : Selection::None;
  return LongMayRun && Long.Queue.nextStartTag() < Short.Queue.nextStartTag()
             ? Selection::NextLong
             : Selection::NextShort;
}

/// Predicts the queueing delay of a new request: zero if a slot is free or the request would have
/// the lowest start tag. Otherwise each queued caller is assumed to be served first for as long as
/// this caller is ahead of its fair share, this request included.
Duration SchedulerState::predictedWait(const Prediction &Predicted, std::uint32_t Caller,
                                       TimePoint Now) const noexcept {
  const FairQueue &Queue = Predicted.Long ? Long.Queue : Short.Queue;
  const CallerLedger &Ledger = Predicted.Long ? Long.Ledger : Short.Ledger;
  const bool SlotFree = queued() == 0 && busySlots() < Limit.allowed(Now);
  if (SlotFree || Queue.empty())
    return Duration{};
  const Duration Start = Ledger.startTag(Caller);
  const Duration OwnWork = Queue.work(Caller);
  if (OwnWork == Duration{} && Start < Queue.nextStartTag())
    return Duration{};
  const Duration AheadOfShare = Start - Ledger.virtualTime() + OwnWork + Predicted.Mean;
  const Duration WorkBefore =
      std::min(Queue.work(), AheadOfShare * static_cast<std::int64_t>(Queue.callers()));
  return WorkBefore / (Predicted.Long ? longSlotLimit() : shortSlots(Now));
}

/// Slots that serve short work while the current stragglers run; at least 1.
std::uint32_t SchedulerState::shortSlots(TimePoint Now) const noexcept {
  const std::uint32_t Stragglers = longRunning(Now);
  return std::max(Limit.allowed(Now), Stragglers + 1) - Stragglers;
}

bool SchedulerState::exceedsMaxDelay(const FairQueue &Queue, Duration MaxDelay,
                                     std::uint32_t Servers) const noexcept {
  // One queued request per slot is always allowed. A bound below the duration of a single request
  // would otherwise leave slots idle between requests.
  return Queue.size() > Options.Slots && Queue.work() / Servers > MaxDelay;
}

/// Evicts queued requests until the delay bounds and MaxQueued hold. The delay bounds apply only
/// once durations have been measured, as the default is a guess: a cold upstream with one open slot
/// evicted the sixth of a few requests that took 1 ms each.
void SchedulerState::enforceQueueBounds(TimePoint Now, std::vector<Decision> &Decisions) {
  const auto Evict = [&](Lane &From) {
    const QueuedRequest Evicted = From.Queue.takeEvictionVictim();
    removeLatestStart(Evicted);
    reject(Evicted.Request.Id, ResultCode::RequestQueueFull, Now, Decisions);
  };
  while (Estimates.hasEnoughSamples() &&
         exceedsMaxDelay(Short.Queue, Options.MaxQueueDelay, shortSlots(Now)))
    Evict(Short);
  while (Estimates.hasEnoughSamples() &&
         exceedsMaxDelay(Long.Queue, Options.MaxLongDelay, longSlotLimit()))
    Evict(Long);
  while (queued() > Options.MaxQueued)
    Evict(Short.Queue.size() >= Long.Queue.size() ? Short : Long);
}

void SchedulerState::rejectExpired(TimePoint Now, std::vector<Decision> &Decisions) {
  while (!LatestStarts.empty() && LatestStarts.begin()->first < Now) {
    const RequestId Id = LatestStarts.begin()->second;
    LatestStarts.erase(LatestStarts.begin());
    if (!Short.Queue.remove(Id))
      Long.Queue.remove(Id);
    reject(Id, ResultCode::RequestDeadline, Now, Decisions);
  }
}

void SchedulerState::dispatch(TimePoint Now, std::vector<Decision> &Decisions) {
  while (queued() > 0 && busySlots() < Limit.allowed(Now)) {
    switch (selectNext(Now)) {
    case Selection::NextShort:
      start(Short, Short.Queue.takeNext(), Now, Decisions);
      break;
    case Selection::NextLong:
      start(Long, Long.Queue.takeNext(), Now, Decisions);
      break;
    case Selection::OldestLong:
      start(Long, Long.Queue.takeOldest(), Now, Decisions);
      break;
    case Selection::None:
      return;
    }
  }
}

void SchedulerState::start(Lane &From, std::pair<QueuedRequest, FairQueue::Tag> Tagged,
                           TimePoint Now, std::vector<Decision> &Decisions) {
  const QueuedRequest &Item = Tagged.first;
  const std::uint32_t Caller = Item.Request.Caller;
  if (Item.Predicted.Long)
    LastLongStart = Now;
  removeLatestStart(Item);
  From.Ledger.chargeDispatch(Caller, Tagged.second, Item.Predicted.Mean, maxCredit(Item.Predicted));
  updateTags(From, Caller, Item.Predicted);
  RunningRequests.emplace(Item.Request.Id, RunningRequest{Item.Request, Item.Predicted, Now});
  Decisions.push_back({Item.Request.Id, true, ResultCode::Ok, Duration{}});
}

void SchedulerState::reject(RequestId Id, ResultCode Reason, TimePoint Now,
                            std::vector<Decision> &Decisions) {
  const double PerSecond = 1e6 * Options.Slots / std::max<double>(1, Estimates.mean().count());
  Decisions.push_back({Id, false, Reason, RetryPlanner.planReturn(queued(), PerSecond, Now)});
}

void SchedulerState::removeLatestStart(const QueuedRequest &Item) {
  LatestStarts.erase({Item.Request.Deadline - Item.Predicted.Percentile90, Item.Request.Id});
}

void SchedulerState::recordDuration(const RunningRequest &Ended, Duration Used) {
  Estimates.add(Ended.Request.Class, Used);
  correctCharge(Ended, Used);
}

void SchedulerState::correctCharge(const RunningRequest &Ended, Duration Used) {
  Lane &Target = laneOf(Ended.Predicted);
  const std::uint32_t Caller = Ended.Request.Caller;
  const Duration MaxAhead = Ended.Predicted.Mean * MaxAheadRequests;
  Target.Ledger.correctCharge(Caller, Used - Ended.Predicted.Mean, MaxAhead);
  updateTags(Target, Caller, Ended.Predicted);
}

Duration SchedulerState::maxCredit(const Prediction &Predicted) const noexcept {
  return Predicted.Mean * Options.CreditRequests;
}

void SchedulerState::updateTags(Lane &Target, std::uint32_t Caller, const Prediction &Predicted) {
  Target.Queue.updateTags(Caller, Target.Ledger.startTag(Caller),
                          Target.Ledger.usedTag(Caller, maxCredit(Predicted)));
}

} // namespace galenarelay::schedule::impl
