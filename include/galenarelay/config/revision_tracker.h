#ifndef GALENARELAY_CONFIG_REVISION_TRACKER_H
#define GALENARELAY_CONFIG_REVISION_TRACKER_H

#include "galenarelay/config/configuration.h"

#include <cstdint>
#include <memory>

namespace galenarelay::config {

/// What a node does with a document that it was offered.
enum class Acceptance : std::uint8_t {
  Accepted,  ///< Newer than the one in force, which it replaces.
  Unchanged, ///< The one in force.
  Refused,   ///< Older, or another document under the same revision.
};

/// The configuration in force on a node. Its revision only rises.
/// Example: `if (Tracker.offer(std::move(Document)) == Acceptance::Accepted) rebuild();`
class RevisionTracker {
public:
  /// The document in force; null until the first one is accepted.
  [[nodiscard]] std::shared_ptr<const Configuration> current() const noexcept { return InForce; }
  /// Revision in force; 0 before the first document.
  [[nodiscard]] Revision revision() const noexcept { return InForce ? InForce->Number : 0; }
  [[nodiscard]] std::uint64_t refusals() const noexcept { return Refusals; }

  Acceptance offer(Configuration Offered);

private:
  std::shared_ptr<const Configuration> InForce;
  std::uint64_t Refusals = 0;
};

} // namespace galenarelay::config

#endif // GALENARELAY_CONFIG_REVISION_TRACKER_H
