#include "galenarelay/schedule/impl/scheduler_state.h"

#include <algorithm>
#include <cmath>

namespace galenarelay::schedule::impl {

using common::Duration;
using common::ResultCode;
using common::TimePoint;

namespace {

/// Weight of the newest completion in the error share: about the last 20 count.
constexpr double ErrorWeight = 0.05;

/// A request that ran longer than predicted puts its caller at most this many requests ahead of its
/// share. A straggler of 50x would otherwise shut its caller out for many rounds.
constexpr int MaxAheadRequests = 8;

double milliseconds(Duration Value) noexcept {
  return std::chrono::duration<double, std::milli>(Value).count();
}

} // namespace

SchedulerState::SchedulerState(SchedulerOptions Options)
    : Options(Options), Estimates(Options.DefaultDuration, Options.LongFactor, Options.LongMinimum),
      Limit(Options.Slots, Options.SlowStart, Options.ShedRecovery),
      Returns(Options.Seed, Options.ReturnShare, Options.MaxRetryAfter),
      Retries(Options.RetryShare, Options.RetryBurst) {}

std::uint32_t SchedulerState::busySlots() const noexcept {
  return static_cast<std::uint32_t>(OnSlots.size());
}

std::uint32_t SchedulerState::longRunning(TimePoint Now) const noexcept {
  return static_cast<std::uint32_t>(
      std::count_if(OnSlots.begin(), OnSlots.end(), [&](const auto &Entry) {
        const Running &Item = Entry.second;
        return Item.Predicted.Long || Now - Item.Started > Estimates.longThreshold();
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
  if (busySlots() >= Limit.allowed(LastEvent)) {
    Consider(Limit.nextStep(LastEvent));
    return Next;
  }
  // A free slot beside waiting work: only stragglers wait, and the reserve holds them back.
  if (!Long.Queue.empty()) {
    if (!longAged(LastEvent))
      Consider(longDue());
    if (shortExpected(LastEvent))
      Consider(LastShort + Options.ReserveHold);
    Consider(Limit.nextStep(LastEvent));
  }
  return Next;
}

void SchedulerState::onArrival(const RequestInfo &Request, TimePoint Now,
                               std::vector<Decision> &Out) {
  if (OnSlots.contains(Request.Id) || Short.Queue.contains(Request.Id) ||
      Long.Queue.contains(Request.Id)) {
    advance(Now, Out);
    return;
  }
  Limit.onFirstWork(Now);
  Retries.onRequest();
  advance(Now, Out);
  const Prediction Predicted = Estimates.predict(Request.Class);
  if (!Predicted.Long) {
    LastShort = Now;
    SeenShort = true;
  }
  const bool HasDeadline = Request.Deadline != TimePoint{};
  const TimePoint LatestStart = Request.Deadline - Predicted.Likely;
  if (HasDeadline && Now + predictedWait(Predicted, Request.Caller, Now) > LatestStart) {
    reject(Request.Id, ResultCode::RequestDeadline, Now, Out);
    return;
  }
  Lane &To = laneOf(Predicted);
  To.Queue.push({Request, Predicted, Now}, To.Ledger.startTag(Request.Caller),
                To.Ledger.usedTag(Request.Caller, credit(Predicted)));
  if (HasDeadline)
    LatestStarts.emplace(LatestStart, Request.Id);
  dispatch(Now, Out);
  enforceBounds(Now, Out);
}

void SchedulerState::onFeedStarted(RequestId Id, TimePoint Now, std::vector<Decision> &Out) {
  const auto Found = OnSlots.find(Id);
  if (Found != OnSlots.end()) {
    const Running Ended = Found->second;
    OnSlots.erase(Found);
    settle(Ended, Now - Ended.Started);
    Returns.onCompleted(queued() > 0, Now);
  }
  advance(Now, Out);
}

void SchedulerState::onFinished(RequestId Id, Completion How, TimePoint Now,
                                std::vector<Decision> &Out) {
  const auto Found = OnSlots.find(Id);
  if (Found == OnSlots.end()) {
    advance(Now, Out);
    return;
  }
  const Running Ended = Found->second;
  const std::uint32_t Busy = busySlots();
  OnSlots.erase(Found);
  const bool Good = How == Completion::Succeeded;
  ErrorShare += ErrorWeight * ((Good ? 0.0 : 1.0) - ErrorShare);
  // The duration of a failure says nothing of the class: an upstream that fails fast would
  // otherwise look quick.
  if (Good) {
    settle(Ended, Now - Ended.Started);
    Returns.onCompleted(queued() > 0, Now);
  } else {
    const Duration Used = How == Completion::Failed ? Now - Ended.Started : Duration{};
    charge(Ended, Used);
  }
  if (How == Completion::Shed)
    Limit.onShed(Busy, Now);
  if (How == Completion::NotSent)
    Limit.onUnreachable(Now);
  advance(Now, Out);
}

void SchedulerState::onCancelled(RequestId Id, TimePoint Now, std::vector<Decision> &Out) {
  std::optional<Waiting> Left = Short.Queue.remove(Id);
  if (!Left)
    Left = Long.Queue.remove(Id);
  if (Left)
    forget(*Left);
  advance(Now, Out);
}

void SchedulerState::advance(TimePoint Now, std::vector<Decision> &Out) {
  LastEvent = Now;
  expire(Now, Out);
  dispatch(Now, Out);
}

std::uint32_t SchedulerState::longLimit() const noexcept {
  const auto Reserved =
      static_cast<std::uint32_t>(std::lround(Options.ReservedShare * Options.Slots));
  return Reserved >= Options.Slots ? 1 : Options.Slots - Reserved;
}

bool SchedulerState::shortExpected(TimePoint Now) const noexcept {
  return !Short.Queue.empty() || (SeenShort && Now - LastShort < Options.ReserveHold);
}

/// When stragglers have waited long enough to use the reserve. It counts from the last start of
/// one: in a backlog each has waited long, and would take a slot more than the limit all the time.
TimePoint SchedulerState::longDue() const noexcept {
  return std::max(Long.Queue.oldestArrival(), LastLongStart) + Options.LongPatience;
}

bool SchedulerState::longAged(TimePoint Now) const noexcept {
  return !Long.Queue.empty() && Now >= longDue();
}

SchedulerState::Pick SchedulerState::pick(TimePoint Now) const noexcept {
  if (Long.Queue.empty())
    return Short.Queue.empty() ? Pick::None : Pick::NextShort;
  const std::uint32_t Stragglers = longRunning(Now);
  // An aged straggler may use one slot of the reserve, so that stragglers beyond the limit neither
  // wait without bound nor take every slot.
  if (longAged(Now) && Stragglers <= longLimit())
    return Pick::OldestLong;
  const bool LongMayRun = Stragglers < longLimit() || !shortExpected(Now);
  if (Short.Queue.empty())
    return LongMayRun ? Pick::NextLong : Pick::None;
  return LongMayRun && Long.Queue.nextTag() < Short.Queue.nextTag() ? Pick::NextLong
                                                                    : Pick::NextShort;
}

/// The work that is likely served before the request: none if its tag is the lowest; otherwise a
/// request of each waiting caller, and of each as much as this caller is ahead of its share.
Duration SchedulerState::predictedWait(const Prediction &Of, std::uint32_t Caller,
                                       TimePoint Now) const noexcept {
  const FairQueue &Queue = Of.Long ? Long.Queue : Short.Queue;
  const CallerLedger &Ledger = Of.Long ? Long.Ledger : Short.Ledger;
  const bool SlotFree = queued() == 0 && busySlots() < Limit.allowed(Now);
  if (SlotFree || Queue.empty())
    return Duration{};
  const Duration Start = Ledger.startTag(Caller);
  const Duration Own = Queue.work(Caller);
  if (Own == Duration{} && Start < Queue.nextTag())
    return Duration{};
  const Duration Ahead = Start - Ledger.now() + Own + Of.Mean;
  const Duration Before =
      std::min(Queue.work(), Ahead * static_cast<std::int64_t>(Queue.callers()));
  return Before / (Of.Long ? longLimit() : shortServers(Now));
}

/// Slots that serve short work while the stragglers that run now go on.
std::uint32_t SchedulerState::shortServers(TimePoint Now) const noexcept {
  const std::uint32_t Stragglers = longRunning(Now);
  return std::max(Limit.allowed(Now), Stragglers + 1) - Stragglers;
}

bool SchedulerState::overBound(const FairQueue &Queue, Duration Bound,
                               std::uint32_t Servers) const noexcept {
  // One waiting request per slot is always allowed: a bound below the duration of a single request
  // would otherwise leave slots idle between requests.
  return Queue.size() > Options.Slots && Queue.work() / Servers > Bound;
}

// Until durations are learnt, a bound on the delay would refuse work for a guess: a cold upstream
// with one slot open evicted the sixth of a few requests that then took a millisecond each.
void SchedulerState::enforceBounds(TimePoint Now, std::vector<Decision> &Out) {
  const auto Evict = [&](Lane &From) {
    const Waiting Last = From.Queue.takeLast();
    forget(Last);
    reject(Last.Request.Id, ResultCode::RequestQueueFull, Now, Out);
  };
  while (Estimates.learnt() && overBound(Short.Queue, Options.MaxQueueDelay, shortServers(Now)))
    Evict(Short);
  while (Estimates.learnt() && overBound(Long.Queue, Options.MaxLongDelay, longLimit()))
    Evict(Long);
  while (queued() > Options.MaxQueued)
    Evict(Short.Queue.size() >= Long.Queue.size() ? Short : Long);
}

void SchedulerState::expire(TimePoint Now, std::vector<Decision> &Out) {
  while (!LatestStarts.empty() && LatestStarts.begin()->first < Now) {
    const RequestId Id = LatestStarts.begin()->second;
    LatestStarts.erase(LatestStarts.begin());
    if (!Short.Queue.remove(Id))
      Long.Queue.remove(Id);
    reject(Id, ResultCode::RequestDeadline, Now, Out);
  }
}

void SchedulerState::dispatch(TimePoint Now, std::vector<Decision> &Out) {
  while (queued() > 0 && busySlots() < Limit.allowed(Now)) {
    switch (pick(Now)) {
    case Pick::NextShort:
      start(Short, Short.Queue.takeNext(), Now, Out);
      break;
    case Pick::NextLong:
      start(Long, Long.Queue.takeNext(), Now, Out);
      break;
    case Pick::OldestLong:
      start(Long, Long.Queue.takeOldest(), Now, Out);
      break;
    case Pick::None:
      return;
    }
  }
}

void SchedulerState::start(Lane &From, std::pair<Waiting, FairQueue::Tag> Taken, TimePoint Now,
                           std::vector<Decision> &Out) {
  const Waiting &Item = Taken.first;
  const std::uint32_t Caller = Item.Request.Caller;
  if (Item.Predicted.Long)
    LastLongStart = Now;
  forget(Item);
  From.Ledger.dispatched(Caller, Taken.second, Item.Predicted.Mean, credit(Item.Predicted));
  retag(From, Caller, Item.Predicted);
  OnSlots.emplace(Item.Request.Id, Running{Item.Request, Item.Predicted, Now});
  Out.push_back({Item.Request.Id, true, ResultCode::Ok, Duration{}});
}

void SchedulerState::reject(RequestId Id, ResultCode Reason, TimePoint Now,
                            std::vector<Decision> &Out) {
  const double PerSecond = 1e6 * Options.Slots / std::max<double>(1, Estimates.mean().count());
  Out.push_back({Id, false, Reason, Returns.plan(queued(), PerSecond, Now)});
}

void SchedulerState::forget(const Waiting &Item) {
  LatestStarts.erase({Item.Request.Deadline - Item.Predicted.Likely, Item.Request.Id});
}

void SchedulerState::settle(const Running &Ended, Duration Used) {
  Estimates.add(Ended.Request.Class, Used);
  charge(Ended, Used);
}

void SchedulerState::charge(const Running &Ended, Duration Used) {
  Lane &Of = laneOf(Ended.Predicted);
  const std::uint32_t Caller = Ended.Request.Caller;
  const Duration MaxAhead = Ended.Predicted.Mean * MaxAheadRequests;
  Of.Ledger.corrected(Caller, Used - Ended.Predicted.Mean, MaxAhead);
  retag(Of, Caller, Ended.Predicted);
}

Duration SchedulerState::credit(const Prediction &Of) const noexcept {
  return Of.Mean * Options.CreditRequests;
}

void SchedulerState::retag(Lane &Of, std::uint32_t Caller, const Prediction &Predicted) {
  Of.Queue.retag(Caller, Of.Ledger.startTag(Caller), Of.Ledger.usedTag(Caller, credit(Predicted)));
}

} // namespace galenarelay::schedule::impl
