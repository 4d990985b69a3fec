#ifndef GALENARELAY_SCHEDULE_IMPL_FAIR_QUEUE_H
#define GALENARELAY_SCHEDULE_IMPL_FAIR_QUEUE_H

#include "galenarelay/schedule/impl/duration_estimates.h"
#include "galenarelay/schedule/scheduler.h"

#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace galenarelay::schedule::impl {

/// A request that waits for a slot.
struct QueuedRequest {
  RequestInfo Request;
  Prediction Predicted;
  common::TimePoint Arrived{};

  friend bool operator==(const QueuedRequest &, const QueuedRequest &) = default;
};

/// Queue ordered between callers by start tag (start-time fair queueing) and within a caller by
/// arrival.
class FairQueue {
public:
  using Tag = common::Duration;

  [[nodiscard]] bool empty() const noexcept { return RequestsById.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return RequestsById.size(); }
  [[nodiscard]] std::size_t callerCount() const noexcept { return CallerQueues.size(); }
  /// Predicted service time of all queued requests.
  [[nodiscard]] common::Duration work() const noexcept { return Work; }
  /// Predicted service time of one caller's queued requests; 0 if it has none.
  [[nodiscard]] common::Duration work(std::uint32_t Caller) const noexcept;
  [[nodiscard]] bool contains(RequestId Id) const noexcept { return RequestsById.contains(Id); }
  /// Start tag of the request that takeNext returns. Precondition: not empty.
  [[nodiscard]] Tag nextStartTag() const noexcept { return ByStart.begin()->first; }
  /// Arrival time of the request that has waited longest. Precondition: not empty.
  [[nodiscard]] common::TimePoint oldestArrival() const noexcept;

  /// Appends to the caller's queue. Start and Finish apply only if the caller had no queued
  /// request.
  void push(QueuedRequest Item, Tag Start, Tag Finish);
  /// Removes and returns the request with the lowest start tag, with that tag. Precondition: not
  /// empty.
  [[nodiscard]] std::pair<QueuedRequest, Tag> takeNext();
  /// Removes and returns the request that has waited longest, with its caller's start tag.
  /// Precondition: not empty.
  [[nodiscard]] std::pair<QueuedRequest, Tag> takeOldest();
  /// Removes and returns the newest request of the caller whose used plus queued service time is
  /// the largest. Precondition: not empty.
  [[nodiscard]] QueuedRequest takeEvictionVictim();
  /// Removes and returns a request; empty if it isn't queued.
  std::optional<QueuedRequest> remove(RequestId Id);
  /// Sets the tags of a caller's queue; no effect if the caller has no queued request.
  void updateTags(std::uint32_t Caller, Tag Start, Tag Finish);

private:
  /// Queued requests of one caller, oldest first.
  struct CallerQueue {
    std::list<QueuedRequest> Requests;
    Tag Start{};             ///< Orders dispatch between callers.
    Tag Finish{};            ///< The caller's finish tag; plus Work, it orders eviction.
    common::Duration Work{}; ///< Predicted service time of Requests.
  };
  using ArrivalKey = std::pair<common::TimePoint, RequestId>;
  using TagKey = std::pair<Tag, ArrivalKey>; ///< Orders by tag, then by arrival.

  static ArrivalKey arrivalKey(const QueuedRequest &Item) noexcept {
    return {Item.Arrived, Item.Request.Id};
  }

  /// Removes a caller's queue from ByStart and ByFinish, before its requests or tags change.
  void removeFromOrder(const CallerQueue &Queue);
  /// Enters a caller's queue in ByStart and ByFinish.
  void addToOrder(const CallerQueue &Queue);
  QueuedRequest take(std::uint32_t Caller, std::list<QueuedRequest>::iterator Item);

  // The unordered maps are never iterated, so that decisions don't depend on their unspecified
  // order.
  std::unordered_map<std::uint32_t, CallerQueue> CallerQueues;
  std::unordered_map<RequestId, std::list<QueuedRequest>::iterator> RequestsById;
  std::set<TagKey> ByStart;  ///< Oldest request of each caller, by start tag.
  std::set<TagKey> ByFinish; ///< Newest request of each caller, by Finish plus Work.
  std::set<ArrivalKey> ByArrival;
  common::Duration Work{};
};

} // namespace galenarelay::schedule::impl

#endif // GALENARELAY_SCHEDULE_IMPL_FAIR_QUEUE_H
