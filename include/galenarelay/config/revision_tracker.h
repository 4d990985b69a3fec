#ifndef GALENARELAY_CONFIG_REVISION_TRACKER_H
#define GALENARELAY_CONFIG_REVISION_TRACKER_H

#include "galenarelay/config/configuration.h"

#include <cstdint>
#include <memory>

namespace galenarelay::config {

/// Whether a node accepted a configuration document that it was offered.
enum class Acceptance : std::uint8_t {
  Accepted,  ///< It is newer than the one in force and has replaced it.
  Unchanged, ///< It equals the one in force.
  Refused,   ///< It is older, or differs from the one in force under the same revision.
};

/// The configuration in force on a node. Its revision never decreases.
/// Example: `if (Tracker.offer(std::move(Document)) == Acceptance::Accepted) rebuild();`
class RevisionTracker {
public:
  /// The document in force; null until the first one is accepted.
  [[nodiscard]] std::shared_ptr<const Configuration> current() const noexcept { return Current; }
  /// Revision in force; 0 before the first document.
  [[nodiscard]] Revision revision() const noexcept { return Current ? Current->RevisionNumber : 0; }
  /// Number of documents refused so far.
  [[nodiscard]] std::uint64_t refusals() const noexcept { return Refusals; }

  /// Puts the document in force if it is newer than the current one.
  Acceptance offer(Configuration Offered);

private:
  std::shared_ptr<const Configuration> Current;
  std::uint64_t Refusals = 0;
};

} // namespace galenarelay::config

#endif // GALENARELAY_CONFIG_REVISION_TRACKER_H
