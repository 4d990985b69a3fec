#ifndef GALENARELAY_SCHEDULE_LOAD_VIEW_H
#define GALENARELAY_SCHEDULE_LOAD_VIEW_H

#include "galenarelay/common/random.h"
#include "galenarelay/common/time.h"
#include "galenarelay/routing/routing_view.h"
#include "galenarelay/schedule/scheduler.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace galenarelay::schedule {

/// How often an agent sends its load report to the agents of its service.
inline constexpr common::Duration ReportInterval = std::chrono::milliseconds(250);

/// A home's view of its peers' load, from aged reports and its own recent assignments.
class LoadView {
public:
  explicit LoadView(std::uint64_t Seed);

  /// Takes a peer's or the own report; an older sequence is ignored.
  void onReport(const LoadReport &Report, common::TimePoint Now);
  /// Picks the upstream for a new flow and remembers the assignment.
  /// Returns a position in Route.Candidates; empty if there is none.
  [[nodiscard]] std::optional<std::size_t> choose(const routing::ServiceRoute &Route,
                                                  const std::string &Self, common::TimePoint Now);
};

} // namespace galenarelay::schedule

#endif // GALENARELAY_SCHEDULE_LOAD_VIEW_H
