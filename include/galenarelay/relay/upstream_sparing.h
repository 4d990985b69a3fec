#ifndef GALENARELAY_RELAY_UPSTREAM_SPARING_H
#define GALENARELAY_RELAY_UPSTREAM_SPARING_H

#include "galenarelay/relay/peer_message.h"
#include "galenarelay/relay/policy/placement.h"
#include "galenarelay/relay/policy/upstream_damping.h"

#include <algorithm>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace galenarelay::relay {

/// How often a balancer decides anew which upstreams get flows in spite of their penalties: several
/// times in the time in which a crest fills the slots of a service.
inline constexpr common::Duration SparingInterval = std::chrono::milliseconds(100);

/// Time over which the requests in progress are averaged: longer than requests take, so that chance
/// doesn't make a service look short of places, and shorter than a crest.
inline constexpr common::Duration DemandSmoothing = std::chrono::seconds(1);

/// What a balancer knows about the faults of upstreams: the penalties that agents report, and its
/// own ones for upstreams that ended together with their agents, which can't know of it.
class UpstreamSparing {
public:
  /// An upstream as an input of refresh().
  struct Upstream {
    std::string_view Service;
    NodeAddress Agent = 0;
    std::uint32_t Slots = 0;
  };

  /// Notes a report of an agent that was last heard at HeardAt. A new agent process with another
  /// upstream process than before, of which none announced a stop, means that their machine failed.
  void onReport(NodeAddress Agent, const AgentReport *Previous, common::TimePoint HeardAt,
                const AgentReport &Report, common::TimePoint Now);
  /// Notes a load figure that an agent has sent at a time which doesn't depend on its load. Those
  /// sent for a new flow include it, and would make a service look short of places.
  void onLoad(NodeAddress Agent, const UpstreamLoad &Load, common::TimePoint Now);
  /// Notes that an agent declined a flow because its upstream is spared; its report is on its way.
  void onDeclined(NodeAddress Agent);
  void forget(NodeAddress Agent);
  /// Whether a standing has changed since the last refresh(), or that is older than
  /// SparingInterval.
  [[nodiscard]] bool refreshDue(common::TimePoint Now) const noexcept {
    return StandingChanged || (!Entries.empty() && Now - RefreshedAt >= SparingInterval);
  }
  /// Decides which upstreams get flows in spite of their penalties.
  void refresh(std::span<const Upstream> Upstreams, common::TimePoint Now);

  /// The worse of the reported state and that of the own penalty.
  [[nodiscard]] policy::DampingState state(NodeAddress Agent) const;
  /// Whether the upstream gets flows in spite of its penalty.
  [[nodiscard]] bool exempt(NodeAddress Agent) const { return Exempt.contains(Agent); }
  /// Number of upstreams that are spared or tried again.
  [[nodiscard]] std::size_t unsteady() const;
  /// Number of exempt ones.
  [[nodiscard]] std::size_t exempted() const noexcept { return Exempt.size(); }

private:
  struct Entry {
    policy::DampingState Reported;
    policy::UpstreamDamping Machine;       ///< Own penalty.
    policy::DampingState OwnState;         ///< As of the last refresh() or loss.
    std::uint64_t UpstreamIncarnation = 0; ///< The latest one that a report has named.
    std::uint64_t AgentIncarnation = 0;    ///< Of the agent that named it.
    std::uint64_t ReportingAgent = 0;      ///< Incarnation of the agent in its latest report.
    common::TimePoint AgentLostAt{};       ///< When the agent process before it was last heard.
    double Requests = -1; ///< Smoothed number in progress; negative before the first figure.
    common::TimePoint RequestsAt{};
    bool Announced = false; ///< The upstream or the agent process announced its end.

    [[nodiscard]] policy::DampingState state() const noexcept {
      return {std::max(Reported.Which, OwnState.Which),
              std::max(Reported.Penalty, OwnState.Penalty)};
    }
  };

  static void noteUpstream(Entry &Known, const AgentReport &Report, common::TimePoint Now);

  std::map<NodeAddress, Entry> Entries;
  std::set<NodeAddress> Exempt;
  common::TimePoint RefreshedAt{};
  bool StandingChanged = false;
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_UPSTREAM_SPARING_H
