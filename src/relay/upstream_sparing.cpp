#include "galenarelay/relay/upstream_sparing.h"

#include "galenarelay/relay/policy/sparing.h"

#include <algorithm>

namespace galenarelay::relay {

using policy::DampingState;
using policy::Standing;

void UpstreamSparing::onReport(NodeAddress Agent, const AgentReport *Previous,
                               common::TimePoint HeardAt, const AgentReport &Report,
                               common::TimePoint Now) {
  Entry &Known = Entries[Agent];
  if (Previous != nullptr && Previous->Service != Report.Service)
    Known = {};
  const auto StandingBefore = Known.state().Which;
  Known.Reported = Report.Damping;
  onLoad(Agent, Report.Load, Now);
  if (Known.ReportingAgent != Report.Incarnation)
    Known.AgentLostAt = HeardAt;
  Known.ReportingAgent = Report.Incarnation;
  Known.Announced = Known.Announced || Report.State == UpstreamState::Draining ||
                    Report.State == UpstreamState::Stopping || Report.State == UpstreamState::Ended;
  noteUpstream(Known, Report, Now);
  StandingChanged = StandingChanged || Known.state().Which != StandingBefore;
}

void UpstreamSparing::noteUpstream(Entry &Known, const AgentReport &Report, common::TimePoint Now) {
  // A new agent process doesn't know its upstream until that sends a heartbeat.
  if (Report.UpstreamIncarnation == 0)
    return;
  if (Report.UpstreamIncarnation == Known.UpstreamIncarnation) {
    // An agent that stopped has started again beside the same upstream.
    Known.Announced = Known.Announced && Report.State != UpstreamState::Ready;
    return;
  }
  // An agent that runs on has seen its upstream end, and reports a penalty itself.
  if (Known.UpstreamIncarnation != 0 && !Known.Announced &&
      Known.AgentIncarnation != Report.Incarnation) {
    Known.Machine.noteLoss(Known.AgentLostAt, Now);
    Known.OwnState = Known.Machine.update(Now);
  }
  Known.UpstreamIncarnation = Report.UpstreamIncarnation;
  Known.AgentIncarnation = Report.Incarnation;
  Known.Announced = false;
}

void UpstreamSparing::onDeclined(NodeAddress Agent) {
  const auto It = Entries.find(Agent);
  if (It == Entries.end() || It->second.Reported.Which != Standing::Steady)
    return;
  It->second.Reported.Which = Standing::Spared;
  StandingChanged = true;
}

void UpstreamSparing::forget(NodeAddress Agent) {
  Entries.erase(Agent);
  Exempt.erase(Agent);
}

void UpstreamSparing::onLoad(NodeAddress Agent, const UpstreamLoad &Load, common::TimePoint Now) {
  const auto It = Entries.find(Agent);
  if (It == Entries.end())
    return;
  Entry &Known = It->second;
  const double Weight = Known.Requests < 0
                            ? 1
                            : std::min(1.0, std::chrono::duration<double>(Now - Known.RequestsAt) /
                                                std::chrono::duration<double>(DemandSmoothing));
  Known.Requests += Weight * (Load.Unanswered - Known.Requests);
  Known.RequestsAt = Now;
}

void UpstreamSparing::refresh(std::span<const Upstream> Upstreams, common::TimePoint Now) {
  RefreshedAt = Now;
  StandingChanged = false;
  std::map<std::string_view, std::vector<policy::SparingInput>> Services;
  for (const Upstream &Each : Upstreams) {
    Entry &Known = Entries[Each.Agent];
    Known.OwnState = Known.Machine.update(Now);
    // Requests at a spared upstream may be those of flows that it has lost.
    const auto Damping = Known.state();
    const bool WasExempt = Exempt.contains(Each.Agent);
    const bool GetsFlows = Damping.Which == Standing::Steady || WasExempt;
    Services[Each.Service].push_back({Each.Agent, Damping, Each.Slots,
                                      GetsFlows ? std::max(0.0, Known.Requests) : 0, WasExempt});
  }
  Exempt.clear();
  for (const auto &[Service, Inputs] : Services)
    for (const NodeAddress Agent : policy::agentsNotSpared(Inputs))
      Exempt.insert(Agent);
}

DampingState UpstreamSparing::state(NodeAddress Agent) const {
  const auto It = Entries.find(Agent);
  return It == Entries.end() ? DampingState{} : It->second.state();
}

std::size_t UpstreamSparing::unsteady() const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [](const auto &Pair) {
        return Pair.second.state().Which != Standing::Steady;
      }));
}

} // namespace galenarelay::relay
