#include "galenarelay/config/revision_tracker.h"

namespace galenarelay::config {

Acceptance RevisionTracker::offer(Configuration Offered) {
  const bool Newer = !InForce || Offered.Number > InForce->Number;
  if (Newer) {
    InForce = std::make_shared<const Configuration>(std::move(Offered));
    return Acceptance::Accepted;
  }
  if (Offered == *InForce)
    return Acceptance::Unchanged;
  ++Refusals;
  return Acceptance::Refused;
}

} // namespace galenarelay::config
