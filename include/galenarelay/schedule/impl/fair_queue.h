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

/// A request that waits.
struct Waiting {
  RequestInfo Request;
  Prediction Predicted;
  common::TimePoint Arrived{};

  friend bool operator==(const Waiting &, const Waiting &) = default;
};

/// Waiting requests, ordered between callers by start tag and within a caller by arrival.
class FairQueue {
public:
  using Tag = common::Duration;

  [[nodiscard]] bool empty() const noexcept { return Index.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return Index.size(); }
  [[nodiscard]] std::size_t callers() const noexcept { return Lanes.size(); }
  /// Predicted service time of all waiting requests.
  [[nodiscard]] common::Duration work() const noexcept { return Work; }
  /// Predicted service time of one caller's waiting requests.
  [[nodiscard]] common::Duration work(std::uint32_t Caller) const noexcept;
  [[nodiscard]] bool contains(RequestId Id) const noexcept { return Index.contains(Id); }
  /// Start tag of the next request. Precondition: not empty.
  [[nodiscard]] Tag nextTag() const noexcept { return ByStart.begin()->first; }
  /// Arrival of the request that has waited longest. Precondition: not empty.
  [[nodiscard]] common::TimePoint oldestArrival() const noexcept;

  /// Appends to the caller's lane; the tags are set if the lane is new.
  void push(Waiting Item, Tag Start, Tag Used);
  /// Takes the request with the lowest start tag and returns it with the tag.
  [[nodiscard]] std::pair<Waiting, Tag> takeNext();
  /// Takes the request that has waited longest.
  [[nodiscard]] std::pair<Waiting, Tag> takeOldest();
  /// Takes the newest request of the caller with the most service time used and waited for.
  [[nodiscard]] Waiting takeLast();
  std::optional<Waiting> remove(RequestId Id);
  /// Sets the tags of a caller's lane, if the caller waits.
  void retag(std::uint32_t Caller, Tag Start, Tag Used);

private:
  struct Lane {
    std::list<Waiting> Items;
    Tag Start{}; ///< Orders dispatch between callers.
    Tag Used{};  ///< Service time used; with the lane's work, orders eviction.
    common::Duration Work{};
  };
  using Position = std::pair<common::TimePoint, RequestId>;
  using Place = std::pair<Tag, Position>; ///< Equal tags are served in the order of arrival.

  static Position positionOf(const Waiting &Item) noexcept {
    return {Item.Arrived, Item.Request.Id};
  }

  void unlink(const Lane &From);
  void link(const Lane &To);
  Waiting take(std::uint32_t Caller, std::list<Waiting>::iterator Item);

  std::unordered_map<std::uint32_t, Lane> Lanes;                     ///< Never iterated.
  std::unordered_map<RequestId, std::list<Waiting>::iterator> Index; ///< Never iterated.
  std::set<Place> ByStart;                                           ///< Each lane's first request.
  std::set<Place> ByFinish;                                          ///< Each lane's last request.
  std::set<Position> ByArrival;
  common::Duration Work{};
};

} // namespace galenarelay::schedule::impl

#endif // GALENARELAY_SCHEDULE_IMPL_FAIR_QUEUE_H
