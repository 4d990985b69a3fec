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

/// What a request's duration is predicted from.
struct WorkClass {
  std::string Service;
  std::string Method;
  std::string Route;          ///< First path segment.
  std::uint8_t SizeClass = 0; ///< Base-4 logarithm of the body's kilobytes.

  // NOLINTNEXTLINE: clang-tidy 14 reports the defaulted operator's own code.
  friend auto operator<=>(const WorkClass &, const WorkClass &) = default;
};

/// A request that asks for a slot.
struct RequestInfo {
  RequestId Id = 0;
  std::uint32_t Caller = 0; ///< The caller's IPv4 address, the identity for fairness.
  WorkClass Class;
  common::TimePoint Deadline{};

  friend bool operator==(const RequestInfo &, const RequestInfo &) = default;
};

/// Static properties of the upstream and of the policy.
/// docs/tuning.md describes each member for operators.
struct SchedulerOptions {
  std::uint32_t Slots = 5;
  std::uint64_t Seed = 1;
  std::uint32_t MaxQueued = 1024; ///< Waiting requests; one more evicts or is rejected.
  common::Duration MaxQueueDelay = std::chrono::milliseconds(500); ///< Of predicted short work.
  common::Duration MaxLongDelay = std::chrono::seconds(30);        ///< Of predicted straggler work.
  common::Duration DefaultDuration = std::chrono::milliseconds(100); ///< Until one is learnt.
  double LongFactor = 8; ///< Work is a straggler above this multiple of the median.
  /// Shorter work is never a straggler: beside many requests of a millisecond, an order of 20 ms
  /// would otherwise wait for an upload.
  common::Duration LongMinimum = std::chrono::milliseconds(200);
  double ReservedShare = 0.6; ///< Of the slots, kept free of stragglers for short work.
  common::Duration ReserveHold = std::chrono::seconds(1); ///< Reserve after the last short arrival.
  common::Duration LongPatience = std::chrono::seconds(5); ///< Time without a straggler started.
  common::Duration SlowStart = std::chrono::seconds(2);    ///< Ramp from one slot to all.
  common::Duration ShedRecovery = std::chrono::seconds(2); ///< The same after shedding.
  std::uint32_t CreditRequests = 2; ///< Unused share that a caller keeps, in requests.
  double RetryShare = 0.1;          ///< Retries per request.
  double RetryBurst = 10;           ///< Retries saved up.
  double ReturnShare = 0.3; ///< Share of the drain rate that is promised to returning requests.
  common::Duration MaxRetryAfter = std::chrono::seconds(120);

  friend bool operator==(const SchedulerOptions &, const SchedulerOptions &) = default;
};

/// What to do with one request.
struct Decision {
  RequestId Id = 0;
  bool Dispatch = false; ///< True: send it to the upstream now. False: answer with Reason at once.
  common::ResultCode Reason = common::ResultCode::Ok;
  common::Duration RetryAfter{}; ///< When the caller should come back, for a rejection.

  friend bool operator==(const Decision &, const Decision &) = default;
};

/// What peers learn of this agent's load.
struct LoadReport {
  std::string MemberId;
  std::uint32_t Slots = 0;
  std::uint32_t Busy = 0;
  std::uint32_t Queued = 0;
  double QueuedWorkMs = 0; ///< Predicted service time of the queue.
  double ErrorShare = 0;   ///< Recent share of failed or shed requests.
  std::uint64_t Sequence = 0;

  friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

namespace impl {
class SchedulerState;
} // namespace impl

/// Queues and schedules requests on one upstream's slots.
/// Each call returns what to do now, in order; a decision may concern another request than the
/// call's, for example an evicted one. Example: `for (const Decision &D : S.onArrival(Request,
/// Now))`
class Scheduler {
public:
  explicit Scheduler(SchedulerOptions Options);
  Scheduler(Scheduler &&) noexcept;
  Scheduler &operator=(Scheduler &&) noexcept;
  ~Scheduler();

  [[nodiscard]] std::uint32_t busySlots() const noexcept;
  [[nodiscard]] std::size_t queued() const noexcept;
  /// Running requests that are stragglers by prediction or by the time they have run.
  [[nodiscard]] std::uint32_t longRunning(common::TimePoint Now) const noexcept;
  /// Load for peers; the caller sets MemberId and Sequence.
  [[nodiscard]] LoadReport report(common::TimePoint Now) const;
  /// When onTimer is due; empty if nothing waits.
  [[nodiscard]] std::optional<common::TimePoint> nextTimer() const noexcept;

  /// Queues, dispatches or rejects a request. A request whose ID is known is ignored. A deadline
  /// at the clock's origin means none.
  [[nodiscard]] std::vector<Decision> onArrival(const RequestInfo &Request, common::TimePoint Now);
  /// The response has become a feed: it keeps its connection and frees its slot.
  [[nodiscard]] std::vector<Decision> onFeedStarted(RequestId Id, common::TimePoint Now);
  [[nodiscard]] std::vector<Decision> onFinished(RequestId Id, Completion How,
                                                 common::TimePoint Now);
  /// The caller went away; a queued request leaves the queue, a running one frees its slot on
  /// onFinished.
  [[nodiscard]] std::vector<Decision> onCancelled(RequestId Id, common::TimePoint Now);
  [[nodiscard]] std::vector<Decision> onTimer(common::TimePoint Now);
  /// Asks the retry budget; true takes one retry from it.
  [[nodiscard]] bool takeRetry(common::TimePoint Now);

private:
  std::unique_ptr<impl::SchedulerState> State;
};

} // namespace galenarelay::schedule

#endif // GALENARELAY_SCHEDULE_SCHEDULER_H
