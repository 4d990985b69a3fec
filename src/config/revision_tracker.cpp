#include "galenarelay/config/revision_tracker.h"

namespace galenarelay::config {

Acceptance RevisionTracker::offer(Configuration Offered) {
  const bool Newer = !Current || Offered.RevisionNumber > Current->RevisionNumber;
  if (Newer) {
    Current = std::make_shared<const Configuration>(std::move(Offered));
    return Acceptance::Accepted;
  }
  if (Offered == *Current)
    return Acceptance::Unchanged;
  ++Refusals;
  return Acceptance::Refused;
}

} // namespace galenarelay::config
