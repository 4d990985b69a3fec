#ifndef GALENARELAY_SCHEDULE_IMPL_SCHEDULER_STATE_H
#define GALENARELAY_SCHEDULE_IMPL_SCHEDULER_STATE_H

#include "galenarelay/schedule/impl/caller_ledger.h"
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
struct Running {
  RequestInfo Request;
  Prediction Predicted;
  common::TimePoint Started{};

  friend bool operator==(const Running &, const Running &) = default;
};

/// Waiting work of one kind and what its callers used. The kinds have ledgers of their own: a
/// caller's photo upload doesn't delay the same caller's orders.
struct Lane {
  FairQueue Queue;
  CallerLedger Ledger;
};

/// The parts of a scheduler and the rules that connect them.
class SchedulerState {
public:
  explicit SchedulerState(SchedulerOptions Options);

  [[nodiscard]] std::uint32_t busySlots() const noexcept;
  [[nodiscard]] std::size_t queued() const noexcept {
    return Short.Queue.size() + Long.Queue.size();
  }
  [[nodiscard]] std::uint32_t longRunning(common::TimePoint Now) const noexcept;
  [[nodiscard]] LoadReport report(common::TimePoint Now) const;
  [[nodiscard]] std::optional<common::TimePoint> nextTimer() const noexcept;

  void onArrival(const RequestInfo &Request, common::TimePoint Now, std::vector<Decision> &Out);
  void onFeedStarted(RequestId Id, common::TimePoint Now, std::vector<Decision> &Out);
  void onFinished(RequestId Id, Completion How, common::TimePoint Now, std::vector<Decision> &Out);
  void onCancelled(RequestId Id, common::TimePoint Now, std::vector<Decision> &Out);
  /// Rejects what can no longer make its deadline and fills the free slots.
  void advance(common::TimePoint Now, std::vector<Decision> &Out);
  [[nodiscard]] bool takeRetry() noexcept { return Retries.take(); }

private:
  /// Which queue the next request is taken from.
  enum class Pick : std::uint8_t { None, NextShort, NextLong, OldestLong };

  [[nodiscard]] std::uint32_t longLimit() const noexcept;
  [[nodiscard]] bool shortExpected(common::TimePoint Now) const noexcept;
  [[nodiscard]] common::TimePoint longDue() const noexcept;
  [[nodiscard]] bool longAged(common::TimePoint Now) const noexcept;
  [[nodiscard]] Pick pick(common::TimePoint Now) const noexcept;
  [[nodiscard]] common::Duration predictedWait(const Prediction &Of, std::uint32_t Caller,
                                               common::TimePoint Now) const noexcept;
  [[nodiscard]] bool overBound(const FairQueue &Queue, common::Duration Bound,
                               std::uint32_t Servers) const noexcept;

  void enforceBounds(common::TimePoint Now, std::vector<Decision> &Out);
  void expire(common::TimePoint Now, std::vector<Decision> &Out);
  void dispatch(common::TimePoint Now, std::vector<Decision> &Out);
  void start(Lane &From, std::pair<Waiting, FairQueue::Tag> Taken, common::TimePoint Now,
             std::vector<Decision> &Out);
  void reject(RequestId Id, common::ResultCode Reason, common::TimePoint Now,
              std::vector<Decision> &Out);
  void forget(const Waiting &Item);
  void settle(const Running &Ended, common::Duration Used);
  [[nodiscard]] common::Duration credit(const Prediction &Of) const noexcept;
  void retag(Lane &Of, std::uint32_t Caller, const Prediction &Predicted);
  void charge(const Running &Ended, common::Duration Used);
  [[nodiscard]] Lane &laneOf(const Prediction &Of) noexcept { return Of.Long ? Long : Short; }
  [[nodiscard]] std::uint32_t shortServers(common::TimePoint Now) const noexcept;

  SchedulerOptions Options;
  DurationEstimates Estimates;
  Lane Short;
  Lane Long;
  ConcurrencyLimit Limit;
  ReturnPlan Returns;
  RetryBudget Retries;
  std::map<RequestId, Running> OnSlots;
  std::set<std::pair<common::TimePoint, RequestId>> LatestStarts; ///< Of waiting requests.
  common::TimePoint LastShort{};                                  ///< Newest arrival of short work.
  bool SeenShort = false;
  common::TimePoint LastLongStart{};
  double ErrorShare = 0;
  common::TimePoint LastEvent{};
};

} // namespace galenarelay::schedule::impl

#endif // GALENARELAY_SCHEDULE_IMPL_SCHEDULER_STATE_H
