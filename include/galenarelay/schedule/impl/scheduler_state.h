#ifndef GALENARELAY_SCHEDULE_IMPL_SCHEDULER_STATE_H
#define GALENARELAY_SCHEDULE_IMPL_SCHEDULER_STATE_H

#include "galenarelay/common/caller_ledger.h"
#include "galenarelay/schedule/impl/concurrency_limit.h"
#include "galenarelay/schedule/impl/duration_estimates.h"
#include "galenarelay/schedule/impl/fair_queue.h"
#include "galenarelay/schedule/impl/retry_budget.h"
#include "galenarelay/schedule/impl/return_plan.h"
#include "galenarelay/schedule/scheduler.h"

#include <map>
#include <set>
#include <utility>

namespace galenarelay::schedule::impl {

/// A request that holds a slot.
struct RunningRequest {
  RequestInfo Request;
  Prediction Predicted;
  common::TimePoint Started{};

  friend bool operator==(const RunningRequest &, const RunningRequest &) = default;
};

/// Queue and service accounting of one kind of work, short or straggler. Each kind is accounted
/// separately so that a caller's stragglers don't delay its short requests.
struct Lane {
  FairQueue Queue;
  common::CallerLedger Ledger;
};

/// Implementation of Scheduler: owns the queues, estimates and limits, and decides which request
/// runs next.
class SchedulerState {
public:
  explicit SchedulerState(SchedulerOptions Options);

  [[nodiscard]] std::uint32_t busySlots() const noexcept;
  [[nodiscard]] std::size_t queued() const noexcept {
    return ShortLane.Queue.size() + StragglerLane.Queue.size();
  }
  [[nodiscard]] std::uint32_t runningStragglers(common::TimePoint Now) const noexcept;
  [[nodiscard]] LoadReport report(common::TimePoint Now) const;
  [[nodiscard]] std::optional<common::TimePoint> nextTimer() const noexcept;

  void onArrival(const RequestInfo &Request, common::TimePoint Now,
                 std::vector<Decision> &Decisions);
  void onFeedStarted(RequestId Id, common::TimePoint Now, std::vector<Decision> &Decisions);
  void onFinished(RequestId Id, Completion Outcome, common::TimePoint Now,
                  std::vector<Decision> &Decisions);
  void onCancelled(RequestId Id, common::TimePoint Now, std::vector<Decision> &Decisions);
  /// Rejects requests that can no longer meet their deadline and fills the free slots.
  void advance(common::TimePoint Now, std::vector<Decision> &Decisions);
  [[nodiscard]] bool tryTakeRetry() noexcept { return Retries.take(); }

private:
  /// Queue and order from which the next request is taken.
  enum class Selection : std::uint8_t { None, NextShort, NextStraggler, OldestStraggler };

  /// Slots that stragglers may use while the reserve is in force; at least 1.
  [[nodiscard]] std::uint32_t stragglerSlotLimit() const noexcept;
  /// True while short work is queued or arrived within ReserveHoldTime.
  [[nodiscard]] bool reserveInForce(common::TimePoint Now) const noexcept;
  [[nodiscard]] common::TimePoint stragglerAgedFrom() const noexcept;
  [[nodiscard]] bool stragglerAged(common::TimePoint Now) const noexcept;
  [[nodiscard]] Selection selectNext(common::TimePoint Now) const noexcept;
  [[nodiscard]] common::Duration predictedWait(const Prediction &Predicted, std::uint32_t Caller,
                                               common::TimePoint Now) const noexcept;
  [[nodiscard]] bool exceedsMaxDelay(const FairQueue &Queue, common::Duration MaxDelay,
                                     std::uint32_t Servers) const noexcept;

  void enforceQueueBounds(common::TimePoint Now, std::vector<Decision> &Decisions);
  void rejectExpired(common::TimePoint Now, std::vector<Decision> &Decisions);
  void dispatch(common::TimePoint Now, std::vector<Decision> &Decisions);
  void start(Lane &From, std::pair<QueuedRequest, FairQueue::Tag> Tagged, common::TimePoint Now,
             std::vector<Decision> &Decisions);
  void reject(RequestId Id, common::ResultCode Reason, common::TimePoint Now,
              std::vector<Decision> &Decisions);
  void removeLatestStart(const QueuedRequest &Item);
  /// Learns the duration of a request that completed and charges it to the caller.
  void recordDuration(const RunningRequest &Ended, common::Duration Used);
  [[nodiscard]] common::Duration maxCredit(const Prediction &Predicted) const noexcept;
  void updateTags(Lane &Target, std::uint32_t Caller, const Prediction &Predicted);
  /// Replaces the predicted service time charged to the caller by the time used.
  void correctCharge(const RunningRequest &Ended, common::Duration Used);
  [[nodiscard]] Lane &laneOf(const Prediction &Predicted) noexcept {
    return Predicted.IsStraggler ? StragglerLane : ShortLane;
  }
  [[nodiscard]] std::uint32_t shortSlots(common::TimePoint Now) const noexcept;

  SchedulerOptions Options;
  DurationEstimates Estimates;
  Lane ShortLane;
  Lane StragglerLane;
  ConcurrencyLimit Limit;
  RetryAfterPlanner RetryPlanner;
  RetryBudget Retries;
  std::map<RequestId, RunningRequest> RunningRequests;
  /// Latest start of each queued request that has a deadline.
  std::set<std::pair<common::TimePoint, RequestId>> LatestStarts;
  common::TimePoint LastShortArrival{}; ///< Latest arrival of short work.
  bool ShortArrived = false;
  common::TimePoint LastStragglerStart{};
  double ErrorShare = 0;
  common::TimePoint LastEventTime{};
};

} // namespace galenarelay::schedule::impl

#endif // GALENARELAY_SCHEDULE_IMPL_SCHEDULER_STATE_H
