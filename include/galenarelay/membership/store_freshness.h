#ifndef GALENARELAY_MEMBERSHIP_STORE_FRESHNESS_H
#define GALENARELAY_MEMBERSHIP_STORE_FRESHNESS_H

#include "galenarelay/common/random.h"
#include "galenarelay/common/time.h"

#include <cstdint>
#include <optional>

namespace galenarelay::membership {

/// When a node reads the store itself because no recent read of any node is known to it.
struct FreshnessBounds {
  common::Duration MinAge;        ///< No node reads before its knowledge has this age.
  common::Duration MaxAge;        ///< Every node reads when its knowledge has this age.
  common::Duration RetryInterval; ///< Mean time between reads that fail, of each node.

  friend bool operator==(const FreshnessBounds &, const FreshnessBounds &) = default;
};

/// After a pause of the process, messages that have waited in its sockets are read within this
/// time. Their ages lack the wait.
inline constexpr common::Duration BacklogTime = std::chrono::seconds(1);

/// How old a node's knowledge of the store's contents is. Nodes name this age in their messages, so
/// that one read of the store counts for all nodes that hear of it, directly or through others.
///
/// Nodes that hear of no read have to read themselves. So that not all of them do so at once, each
/// node waits for an age of its own between the bounds: few nodes have a low one, and their reads
/// keep the others from reading (feedback suppression by random timers, as in RFC 4654, section
/// 2.5.1).
class StoreFreshness {
public:
  StoreFreshness(FreshnessBounds Bounds, std::uint64_t Seed, common::TimePoint Now);

  /// Everything that the store held at AsOf is known here, by an own read. Returns true if other
  /// nodes should be told at once, as their knowledge has probably reached MinAge too.
  bool noteRead(common::TimePoint AsOf, common::TimePoint Now);
  /// The same by a message of another node. No effect within BacklogTime after a pause.
  bool noteHeard(common::TimePoint AsOf, common::TimePoint Now);
  /// An own read has failed.
  void noteFailure(common::TimePoint Now);
  /// Other bounds are in force from now on.
  void setBounds(FreshnessBounds NewBounds) noexcept { Bounds = NewBounds; }
  /// The process has been paused.
  void onResume(common::TimePoint Now);

  /// Whether this node has to read the store now.
  [[nodiscard]] bool readDue(common::TimePoint Now) const noexcept { return Now >= nextRead(); }
  /// When the next read is due if nothing is heard until then.
  [[nodiscard]] common::TimePoint nextRead() const noexcept;
  /// Whether the last own read failed.
  [[nodiscard]] bool lastReadFailed() const noexcept { return LastReadFailed; }
  /// Age of the knowledge; empty before the first read is known.
  [[nodiscard]] std::optional<common::Duration> age(common::TimePoint Now) const noexcept;

private:
  bool advance(common::TimePoint AsOf, common::TimePoint Now);
  /// How long after MinAge this node reads.
  [[nodiscard]] common::Duration readDelay() const noexcept;

  FreshnessBounds Bounds;
  common::Engine Random;
  double DelayFraction;        ///< Of the time between the bounds, in [0, 1).
  common::TimePoint KnownAt;   ///< All that the store held then is known; or the start.
  common::TimePoint NotBefore; ///< Earliest time of the next read.
  common::TimePoint TrustsPeersAt{};
  bool Known = false;
  bool LastReadFailed = false;
};

} // namespace galenarelay::membership

#endif // GALENARELAY_MEMBERSHIP_STORE_FRESHNESS_H
