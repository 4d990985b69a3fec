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
    : Options(Options),
      Estimates(Options.DefaultDuration, Options.StragglerFactor, Options.MinStragglerDuration),
      Limit(Options.Slots, Options.SlowStart, Options.ShedRecovery),
      RetryPlanner(Options.Seed, Options.RetryAfterShare, Options.MaxRetryAfter),
      Retries(Options.RetryShare, Options.RetryBurst) {}

std::uint32_t SchedulerState::busySlots() const noexcept {
  return static_cast<std::uint32_t>(RunningRequests.size());
}

std::uint32_t SchedulerState::runningStragglers(TimePoint Now) const noexcept {
  return static_cast<std::uint32_t>(
      std::count_if(RunningRequests.begin(), RunningRequests.end(), [&](const auto &Entry) {
        const RunningRequest &Request = Entry.second;
        return Request.Predicted.IsStraggler ||
               Now - Request.Started > Estimates.stragglerThreshold();
      }));
}

LoadReport SchedulerState::report(TimePoint /*Now*/) const {
  LoadReport Report;
  Report.Slots = Options.Slots;
  Report.Busy = busySlots();
  Report.Queued = static_cast<std::uint32_t>(queued());
  Report.QueuedWorkMs = milliseconds(ShortLane.Queue.work() + StragglerLane.Queue.work());
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
  if (!StragglerLane.Queue.empty()) {
    if (!stragglerAged(LastEventTime))
      Consider(stragglerAgedFrom());
    if (reserveInForce(LastEventTime))
      Consider(LastShortArrival + Options.ReserveHoldTime);
    Consider(Limit.nextStep(LastEventTime));
  }
  return Next;
}

void SchedulerState::onArrival(const RequestInfo &Request, TimePoint Now,
                               std::vector<Decision> &Decisions) {
  if (RunningRequests.contains(Request.Id) || ShortLane.Queue.contains(Request.Id) ||
      StragglerLane.Queue.contains(Request.Id)) {
    advance(Now, Decisions);
    return;
  }
  Limit.onRequest(Now);
  Retries.onRequest();
  advance(Now, Decisions);
  const Prediction Predicted = Estimates.predict(Request.Class);
  if (!Predicted.IsStraggler) {
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
                    Target.Ledger.boundedFinishTag(Request.Caller, maxCredit(Predicted)));
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
  std::optional<QueuedRequest> Removed = ShortLane.Queue.remove(Id);
  if (!Removed)
    Removed = StragglerLane.Queue.remove(Id);
  if (Removed)
    removeLatestStart(*Removed);
  advance(Now, Decisions);
}

void SchedulerState::advance(TimePoint Now, std::vector<Decision> &Decisions) {
  LastEventTime = Now;
  rejectExpired(Now, Decisions);
  dispatch(Now, Decisions);
}

std::uint32_t SchedulerState::stragglerSlotLimit() const noexcept {
  const auto Reserved =
      static_cast<std::uint32_t>(std::lround(Options.ReservedShare * Options.Slots));
  return Reserved >= Options.Slots ? 1 : Options.Slots - Reserved;
}

bool SchedulerState::reserveInForce(TimePoint Now) const noexcept {
  return !ShortLane.Queue.empty() ||
         (ShortArrived && Now - LastShortArrival < Options.ReserveHoldTime);
}

/// Time from which the oldest straggler may use the reserve. The wait is counted from the last
/// start of a straggler at the earliest: in a backlog every straggler has waited long, so the limit
/// would otherwise be exceeded permanently.
TimePoint SchedulerState::stragglerAgedFrom() const noexcept {
  return std::max(StragglerLane.Queue.oldestArrival(), LastStragglerStart) +
         Options.StragglerAgingDelay;
}

bool SchedulerState::stragglerAged(TimePoint Now) const noexcept {
  return !StragglerLane.Queue.empty() && Now >= stragglerAgedFrom();
}

SchedulerState::Selection SchedulerState::selectNext(TimePoint Now) const noexcept {
  if (StragglerLane.Queue.empty())
    return ShortLane.Queue.empty() ? Selection::None : Selection::NextShort;
  const std::uint32_t RunningStragglers = runningStragglers(Now);
  // An aged straggler may use one slot of the reserve. Stragglers beyond the limit thus neither
  // starve nor occupy every slot.
  if (stragglerAged(Now) && RunningStragglers <= stragglerSlotLimit())
    return Selection::OldestStraggler;
  const bool StragglerMayRun = RunningStragglers < stragglerSlotLimit() || !reserveInForce(Now);
  if (ShortLane.Queue.empty())
    return StragglerMayRun ? Selection::NextStraggler : Selection::None;
  return StragglerMayRun && StragglerLane.Queue.nextStartTag() < ShortLane.Queue.nextStartTag()
             ? Selection::NextStraggler
             : Selection::NextShort;
}

/// Predicts the queueing delay of a new request: zero if a slot is free or the request would have
/// the lowest start tag. Otherwise each queued caller is assumed to be served first for as long as
/// this caller is ahead of its fair share, this request included.
Duration SchedulerState::predictedWait(const Prediction &Predicted, std::uint32_t Caller,
                                       TimePoint Now) const noexcept {
  const FairQueue &Queue = Predicted.IsStraggler ? StragglerLane.Queue : ShortLane.Queue;
  const common::CallerLedger &Ledger =
      Predicted.IsStraggler ? StragglerLane.Ledger : ShortLane.Ledger;
  const bool SlotFree = queued() == 0 && busySlots() < Limit.allowed(Now);
  if (SlotFree || Queue.empty())
    return Duration{};
  const Duration Start = Ledger.startTag(Caller);
  const Duration OwnWork = Queue.work(Caller);
  if (OwnWork == Duration{} && Start < Queue.nextStartTag())
    return Duration{};
  const Duration AheadOfShare = Start - Ledger.virtualTime() + OwnWork + Predicted.Mean;
  const Duration WorkBefore =
      std::min(Queue.work(), AheadOfShare * static_cast<std::int64_t>(Queue.callerCount()));
  return WorkBefore / (Predicted.IsStraggler ? stragglerSlotLimit() : shortSlots(Now));
}

/// Slots that serve short work while the current stragglers run; at least 1.
std::uint32_t SchedulerState::shortSlots(TimePoint Now) const noexcept {
  const std::uint32_t RunningStragglers = runningStragglers(Now);
  return std::max(Limit.allowed(Now), RunningStragglers + 1) - RunningStragglers;
}

bool SchedulerState::exceedsMaxDelay(const FairQueue &Queue, Duration MaxDelay,
                                     std::uint32_t Servers) const noexcept {
  // One queued request per slot is always allowed. A bound below the duration of a single request
  // would otherwise leave slots idle between requests.
  return Queue.size() > Options.Slots && Queue.work() / Servers > MaxDelay;
}

/// Evicts queued requests until the delay bounds and MaxQueued hold. The delay bounds apply only
/// once durations have been measured, as the default is a guess: on a cold upstream with one open
/// slot, a default of 100 ms would evict the sixth queued request even if each takes 1 ms.
void SchedulerState::enforceQueueBounds(TimePoint Now, std::vector<Decision> &Decisions) {
  const auto Evict = [&](Lane &From) {
    const QueuedRequest Evicted = From.Queue.takeEvictionVictim();
    removeLatestStart(Evicted);
    reject(Evicted.Request.Id, ResultCode::RequestQueueFull, Now, Decisions);
  };
  while (Estimates.hasEnoughSamples() &&
         exceedsMaxDelay(ShortLane.Queue, Options.MaxQueueDelay, shortSlots(Now)))
    Evict(ShortLane);
  while (Estimates.hasEnoughSamples() &&
         exceedsMaxDelay(StragglerLane.Queue, Options.MaxStragglerDelay, stragglerSlotLimit()))
    Evict(StragglerLane);
  while (queued() > Options.MaxQueued)
    Evict(ShortLane.Queue.size() >= StragglerLane.Queue.size() ? ShortLane : StragglerLane);
}

void SchedulerState::rejectExpired(TimePoint Now, std::vector<Decision> &Decisions) {
  while (!LatestStarts.empty() && LatestStarts.begin()->first < Now) {
    const RequestId Id = LatestStarts.begin()->second;
    LatestStarts.erase(LatestStarts.begin());
    if (!ShortLane.Queue.remove(Id))
      StragglerLane.Queue.remove(Id);
    reject(Id, ResultCode::RequestDeadline, Now, Decisions);
  }
}

void SchedulerState::dispatch(TimePoint Now, std::vector<Decision> &Decisions) {
  while (queued() > 0 && busySlots() < Limit.allowed(Now)) {
    switch (selectNext(Now)) {
    case Selection::NextShort:
      start(ShortLane, ShortLane.Queue.takeNext(), Now, Decisions);
      break;
    case Selection::NextStraggler:
      start(StragglerLane, StragglerLane.Queue.takeNext(), Now, Decisions);
      break;
    case Selection::OldestStraggler:
      start(StragglerLane, StragglerLane.Queue.takeOldest(), Now, Decisions);
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
  if (Item.Predicted.IsStraggler)
    LastStragglerStart = Now;
  removeLatestStart(Item);
  From.Ledger.chargeDispatch(Caller, Tagged.second, Item.Predicted.Mean, maxCredit(Item.Predicted));
  updateTags(From, Caller, Item.Predicted);
  RunningRequests.emplace(Item.Request.Id, RunningRequest{Item.Request, Item.Predicted, Now});
  Decisions.push_back({Item.Request.Id, true, ResultCode::Ok, Duration{}});
}

void SchedulerState::reject(RequestId Id, ResultCode Reason, TimePoint Now,
                            std::vector<Decision> &Decisions) {
  const double PerSecond = 1e6 * Options.Slots / std::max<double>(1, Estimates.mean().count());
  Decisions.push_back({Id, false, Reason, RetryPlanner.planRetry(queued(), PerSecond, Now)});
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
                          Target.Ledger.boundedFinishTag(Caller, maxCredit(Predicted)));
}

} // namespace galenarelay::schedule::impl
