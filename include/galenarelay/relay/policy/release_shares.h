#ifndef GALENARELAY_RELAY_POLICY_RELEASE_SHARES_H
#define GALENARELAY_RELAY_POLICY_RELEASE_SHARES_H

#include "galenarelay/common/caller_ledger.h"
#include "galenarelay/relay/policy/waiting_flow.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace galenarelay::relay::policy {

/// While less urgent flows wait that can still be in time, at least one of UrgentRun + 1 releases
/// is theirs: a longer crest of urgent requests would otherwise use up all tries of the others.
inline constexpr std::uint32_t UrgentRun = 4;

/// The order in which the waiting flows of one service are released, and the shares of their
/// callers and priorities. Flows that can meet their latency objective go before late ones and
/// these before flows whose callers are probably gone. In each of these classes the most urgent
/// flows go first, but for the floor of UrgentRun. Among equal flows callers take turns by
/// start-time fair queueing: of two callers whose flows wait all the time in the same class and
/// priority, neither gets more than one release ahead of the other. The flows of one caller go as
/// in UrgentAndFreshFirst, with the age of the request instead of that of its present try.
class ReleaseShares {
public:
  /// Indices of the flows, in the order of release.
  [[nodiscard]] std::vector<std::size_t> order(std::span<const WaitingFlow> Flows,
                                               common::TimePoint Now) const;
  /// Notes a release. Contended: flows of another priority waited.
  void noteReleased(const WaitingFlow &Flow, bool MostUrgent, bool Contended);

private:
  common::CallerLedger Ledger;
  std::uint32_t Run = 0; ///< Releases of most urgent flows since a less urgent one.
};

} // namespace galenarelay::relay::policy

#endif // GALENARELAY_RELAY_POLICY_RELEASE_SHARES_H
