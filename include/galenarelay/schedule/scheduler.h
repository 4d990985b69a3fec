#ifndef GALENARELAY_SCHEDULE_SCHEDULER_H
#define GALENARELAY_SCHEDULE_SCHEDULER_H

#include "galenarelay/common/random.h"
#include "galenarelay/common/result_code.h"
#include "galenarelay/common/time.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenarelay::schedule {

using RequestId = std::uint64_t;

/// How a dispatched request ended.
enum class Completion : std::uint8_t {
  Succeeded, ///< The upstream answered with a status below 500.
  Failed,    ///< The upstream answered 5xx, or the connection broke after the request was sent.
  Shed,      ///< The upstream refused it without running it.
  NotSent,   ///< The upstream could not be reached; nothing was sent.
};

/// Attributes of a request from which its duration is predicted.
struct WorkClass {
  std::string Service;
  std::string Method;
  std::string Route;          ///< First path segment.
  std::uint8_t SizeClass = 0; ///< Base-4 logarithm of the body's size in KiB, rounded up.

  // NOLINTNEXTLINE: clang-tidy 14 reports the defaulted operator's own code.
  friend auto operator<=>(const WorkClass &, const WorkClass &) = default;
};

/// A request that asks for a slot.
struct RequestInfo {
  RequestId Id = 0;
  std::uint32_t Caller = 0; ///< The caller's IPv4 address, its identity in fair queueing.
  WorkClass Class;
  common::TimePoint Deadline{}; ///< The clock's origin means no deadline.

  friend bool operator==(const RequestInfo &, const RequestInfo &) = default;
};

/// Slots of the upstream and parameters of the scheduling policy. Work is short or, if predicted
/// to take much longer than the median, a straggler.
/// docs/tuning.md describes each member for operators.
struct SchedulerOptions {
  std::uint32_t Slots = 5;
  std::uint64_t Seed = 1;
  std::uint32_t MaxQueued = 1024; ///< Queue length; one more request evicts or is rejected.
  /// Bound on the predicted queueing delay of short work.
  common::Duration MaxQueueDelay = std::chrono::milliseconds(500);
  /// Bound on the predicted queueing delay of stragglers.
  common::Duration MaxStragglerDelay = std::chrono::seconds(30);
  /// Predicted duration until enough requests have completed.
  common::Duration DefaultDuration = std::chrono::milliseconds(100);
  double StragglerFactor = 8; ///< Work is a straggler above this multiple of the median duration.
  /// Shorter work is never a straggler. Where most requests take 1 ms, one of 20 ms would otherwise
  /// count as one and wait behind much longer requests.
  common::Duration MinStragglerDuration = std::chrono::milliseconds(200);
  double ReservedShare = 0.6; ///< Share of the slots that is reserved for short work.
  /// Time for which the reserve is held after the last arrival of short work.
  common::Duration ReserveHoldTime = std::chrono::seconds(1);
  /// Time without the start of a straggler after which a waiting one may use the reserve.
  common::Duration StragglerAgingDelay = std::chrono::seconds(5);
  common::Duration SlowStart = std::chrono::seconds(2);    ///< Ramp from one slot to all.
  common::Duration ShedRecovery = std::chrono::seconds(2); ///< The same ramp after load shedding.
  std::uint32_t CreditRequests = 2; ///< Most unused share that a caller keeps, in requests.
  double RetryShare = 0.1;          ///< Retries allowed per request.
  double RetryBurst = 10;           ///< Most retries that can be saved up.
  double RetryAfterShare =
      0.3; ///< Share of the drain rate planned for retries of rejected requests.
  common::Duration MaxRetryAfter = std::chrono::seconds(120);

  friend bool operator==(const SchedulerOptions &, const SchedulerOptions &) = default;
};

/// The scheduler's decision on one request: dispatch or rejection.
struct Decision {
  RequestId Id = 0;
  bool Dispatch = false; ///< True: send to the upstream now. False: reject now with Reason.
  common::ResultCode Reason = common::ResultCode::Ok;
  common::Duration RetryAfter{}; ///< Delay until the caller should retry; set for a rejection.

  friend bool operator==(const Decision &, const Decision &) = default;
};

/// Load of one agent, as reported to its peers.
struct LoadReport {
  std::string MemberId;
  std::uint32_t Slots = 0;
  std::uint32_t Busy = 0;
  std::uint32_t Queued = 0;
  double QueuedWorkMs = 0; ///< Predicted service time of the queued requests.
  double ErrorShare = 0;   ///< Recent share of failed or shed requests.
  std::uint64_t Sequence = 0;

  friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

namespace impl {
class SchedulerState;
} // namespace impl

/// Queues and schedules requests on one upstream's slots.
/// Each event function returns the decisions to carry out now, in order. They may concern other
/// requests than the one passed, for example an evicted one. Example:
/// `for (const Decision &Next : Scheduler.onArrival(Request, Now))`
class Scheduler {
public:
  explicit Scheduler(SchedulerOptions Options);
  Scheduler(Scheduler &&) noexcept;
  Scheduler &operator=(Scheduler &&) noexcept;
  ~Scheduler();

  [[nodiscard]] std::uint32_t busySlots() const noexcept;
  [[nodiscard]] std::size_t queued() const noexcept;
  /// Number of running requests that are stragglers, by prediction or by the time they have run.
  [[nodiscard]] std::uint32_t runningStragglers(common::TimePoint Now) const noexcept;
  /// Current load, to be sent to peers; MemberId and Sequence are left for the calling code to set.
  [[nodiscard]] LoadReport report(common::TimePoint Now) const;
  /// Time at which onTimer must be called next; empty if no timer is needed.
  [[nodiscard]] std::optional<common::TimePoint> nextTimer() const noexcept;

  /// Queues, dispatches or rejects a request. A request whose ID is queued or running is ignored.
  [[nodiscard]] std::vector<Decision> onArrival(const RequestInfo &Request, common::TimePoint Now);
  /// The response turned out to be a long-lived feed: it frees its slot and keeps its
  /// connection.
  [[nodiscard]] std::vector<Decision> onFeedStarted(RequestId Id, common::TimePoint Now);
  /// A dispatched request ended: frees its slot. An ID that holds no slot is ignored.
  [[nodiscard]] std::vector<Decision> onFinished(RequestId Id, Completion Outcome,
                                                 common::TimePoint Now);
  /// The caller cancelled the request or disconnected. A queued request leaves the queue; a running
  /// one keeps its slot until onFinished.
  [[nodiscard]] std::vector<Decision> onCancelled(RequestId Id, common::TimePoint Now);
  /// Rejects requests that can no longer meet their deadline and fills the free slots.
  [[nodiscard]] std::vector<Decision> onTimer(common::TimePoint Now);
  /// Takes one retry from the retry budget; false if the budget is spent.
  [[nodiscard]] bool tryTakeRetry(common::TimePoint Now);

private:
  std::unique_ptr<impl::SchedulerState> State;
};

} // namespace galenarelay::schedule

#endif // GALENARELAY_SCHEDULE_SCHEDULER_H
