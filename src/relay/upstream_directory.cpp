#include "galenarelay/relay/upstream_directory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace galenarelay::relay {

namespace {

/// Slots of a cold upstream count as this part: it takes longer for each request.
constexpr double ColdSlotShare = 0.5;
/// Disadvantage of another availability zone, in requests per slot: enough to decide between equal
/// upstreams, since bytes between zones are paid for, and too little to outweigh one request.
constexpr double OtherZoneCost = 0.15;
/// Weight of the requests in progress for a flow that will carry many: it stays long after these.
constexpr double PresentWorkWeight = 0.3;
/// Placements remembered for an agent; beyond it the oldest are counted as arrived.
constexpr std::size_t MaxPlacements = 256;

} // namespace

UpstreamDirectory::Change UpstreamDirectory::onReport(NodeAddress From, const AgentReport &Report,
                                                      common::TimePoint Now) {
  Expected.erase(From);
  auto [Found, Added] = Agents.try_emplace(From);
  Known &Agent = Found->second;
  const AgentReport &Held = Agent.View.Report;
  if (!Added &&
      std::tie(Report.Incarnation, Report.Number) <= std::tie(Held.Incarnation, Held.Number))
    return Change::Outdated;
  const bool Changed = Added || Held.State != Report.State || Held.Service != Report.Service ||
                       Held.Incarnation != Report.Incarnation;
  Agent.View.Address = From;
  Agent.View.Report = Report;
  Agent.View.HeardAt = Now;
  Agent.TakenAsLost = false;
  Agent.View.SuspectUntil = {};
  Agent.View.Load = Report.Load;
  Agent.View.LoadAt = Now;
  dropCounted(Agent);
  if (!Changed)
    return Change::None;
  return Added ? Change::Appeared : Change::StateChanged;
}

void UpstreamDirectory::onLoad(NodeAddress From, const UpstreamLoad &Load, common::TimePoint Now) {
  const auto Found = Agents.find(From);
  if (Found == Agents.end())
    return;
  Found->second.View.Load = Load;
  Found->second.View.LoadAt = Now;
  Found->second.View.SuspectUntil = {};
  dropCounted(Found->second);
}

void UpstreamDirectory::suspect(NodeAddress Agent, common::TimePoint Now) {
  const auto Found = Agents.find(Agent);
  if (Found != Agents.end())
    Found->second.View.SuspectUntil = Now + SuspicionTime;
}

void UpstreamDirectory::forgetSilent(common::TimePoint Now) {
  std::erase_if(
      Agents, [Now](const auto &Entry) { return Now - Entry.second.View.HeardAt > ReportForget; });
}

void UpstreamDirectory::dropCounted(Known &Agent) {
  auto &Placements = Agent.Placements;
  while (!Placements.empty() && Placements.front().At + PlacementDelay <= Agent.View.LoadAt)
    Placements.pop_front();
}

UpstreamDirectory::Fitness UpstreamDirectory::fitness(const Known &Agent,
                                                      common::TimePoint Now) const {
  const AgentView &View = Agent.View;
  switch (View.Report.State) {
  case UpstreamState::Draining:
  case UpstreamState::Stopping:
  case UpstreamState::Silent:
  case UpstreamState::Ended:
    return Fitness::Unfit;
  case UpstreamState::Unknown:
    return Now - View.HeardAt > ReportStale ? Fitness::Unfit : Fitness::Doubtful;
  case UpstreamState::Ready:
    break;
  }
  const bool Doubtful = Now - View.HeardAt > ReportStale || View.SuspectUntil > Now;
  return Doubtful ? Fitness::Doubtful : Fitness::Good;
}

double UpstreamDirectory::score(const Known &Agent, FlowKind Kind) const {
  const AgentView &View = Agent.View;
  const auto Placed = [&Agent](FlowKind Which) {
    return static_cast<double>(
        std::count_if(Agent.Placements.begin(), Agent.Placements.end(),
                      [Which](const Placement &Each) { return Each.Kind == Which; }));
  };
  double Slots = std::max<std::uint32_t>(1, View.Report.Slots);
  if (View.Report.ColdFor > common::Duration::zero())
    Slots *= ColdSlotShare;
  const double Present = (View.Load.Unanswered + Placed(FlowKind::Short)) / Slots;
  const double Distance = View.Report.Zone == OwnZone ? 0 : OtherZoneCost;
  if (Kind == FlowKind::Short)
    return Present + Distance;
  const double Lasting = (View.Load.LongFlows + Placed(FlowKind::Long)) / Slots;
  return Lasting + PresentWorkWeight * Present + Distance;
}

std::optional<NodeAddress> UpstreamDirectory::choose(const std::string &Service, FlowKind Kind,
                                                     std::span<const NodeAddress> Excluded,
                                                     common::TimePoint Now) {
  std::vector<const Known *> Best;
  Fitness BestFitness = Fitness::Unfit;
  for (const auto &[Address, Agent] : Agents) {
    if (Agent.View.Report.Service != Service ||
        std::find(Excluded.begin(), Excluded.end(), Address) != Excluded.end())
      continue;
    const Fitness Own = fitness(Agent, Now);
    if (Own == Fitness::Unfit || Own > BestFitness || full(Agent))
      continue;
    if (Own < BestFitness)
      Best.clear();
    BestFitness = Own;
    Best.push_back(&Agent);
  }
  if (Best.empty())
    return std::nullopt;
  // A flow that stays is worth a look at all agents; a short one follows the crowd's old figures
  // less if it compares only a few.
  const std::size_t Compared =
      Kind == FlowKind::Long ? Best.size() : std::min(PlacementChoices, Best.size());
  for (std::size_t I = 0; I < Compared; ++I)
    std::swap(Best[I], Best[I + common::uniformBelow(Random, Best.size() - I)]);
  const auto *Chosen = *std::min_element(
      Best.begin(), Best.begin() + static_cast<std::ptrdiff_t>(Compared),
      [&](const Known *A, const Known *B) { return score(*A, Kind) < score(*B, Kind); });
  return Chosen->View.Address;
}

bool UpstreamDirectory::full(const Known &Agent) {
  const std::uint32_t Slots = Agent.View.Report.Slots;
  return Slots != 0 &&
         Agent.View.Load.Unanswered + Agent.Placements.size() >= usefulRequests(Slots);
}

bool UpstreamDirectory::isFull(NodeAddress Agent) const {
  const auto Found = Agents.find(Agent);
  return Found != Agents.end() && full(Found->second);
}

bool UpstreamDirectory::hasFull(const std::string &Service, std::span<const NodeAddress> Excluded,
                                common::TimePoint Now) const {
  return std::any_of(Agents.begin(), Agents.end(), [&](const auto &Entry) {
    const auto &[Address, Agent] = Entry;
    return Agent.View.Report.Service == Service && full(Agent) &&
           fitness(Agent, Now) != Fitness::Unfit &&
           std::find(Excluded.begin(), Excluded.end(), Address) == Excluded.end();
  });
}

void UpstreamDirectory::notePlacement(NodeAddress Agent, FlowKind Kind, common::TimePoint Now) {
  const auto Found = Agents.find(Agent);
  if (Found == Agents.end())
    return;
  auto &Placements = Found->second.Placements;
  Placements.push_back({Now, Kind});
  if (Placements.size() > MaxPlacements)
    Placements.pop_front();
}

void UpstreamDirectory::dropPlacement(NodeAddress Agent, FlowKind Kind) {
  const auto Found = Agents.find(Agent);
  if (Found == Agents.end())
    return;
  auto &Placements = Found->second.Placements;
  const auto Newest = std::find_if(Placements.rbegin(), Placements.rend(),
                                   [Kind](const Placement &Each) { return Each.Kind == Kind; });
  if (Newest != Placements.rend())
    Placements.erase(std::next(Newest).base());
}

const AgentView *UpstreamDirectory::find(NodeAddress Agent) const {
  const auto Found = Agents.find(Agent);
  return Found == Agents.end() ? nullptr : &Found->second.View;
}

std::vector<NodeAddress> UpstreamDirectory::agents() const {
  std::vector<NodeAddress> Found;
  for (const auto &[Address, Agent] : Agents)
    Found.push_back(Address);
  return Found;
}

void UpstreamDirectory::expect(NodeAddress Agent, common::TimePoint Now) {
  if (!Agents.contains(Agent))
    Expected.try_emplace(Agent, Now);
}

bool UpstreamDirectory::lost(const Known &Agent, common::TimePoint Now) const {
  const bool Announced = Agent.View.Report.State == UpstreamState::Stopping;
  return Now - std::max(Agent.View.HeardAt, ListeningSince) >
         (Announced ? StoppedLostTime : LostTime);
}

std::vector<NodeAddress> UpstreamDirectory::reportingHolders(common::TimePoint Now) const {
  std::vector<NodeAddress> Found;
  for (const auto &[Address, Agent] : Agents)
    if (!lost(Agent, Now) && Agent.View.Report.State != UpstreamState::Ended)
      Found.push_back(Address);
  return Found;
}

std::vector<NodeAddress> UpstreamDirectory::expectedHolders(common::TimePoint Now) const {
  std::vector<NodeAddress> Found;
  for (const auto &[Address, Since] : Expected)
    if (Now - Since <= LostTime)
      Found.push_back(Address);
  return Found;
}

std::vector<NodeAddress> UpstreamDirectory::takeLost(common::TimePoint Now) {
  const auto Silent = static_cast<std::size_t>(std::count_if(
      Agents.begin(), Agents.end(), [&](const auto &Entry) { return lost(Entry.second, Now); }));
  std::vector<NodeAddress> Found;
  if (Silent * 2 >= Agents.size())
    return Found;
  for (auto &[Address, Agent] : Agents)
    if (lost(Agent, Now) && !std::exchange(Agent.TakenAsLost, true))
      Found.push_back(Address);
  return Found;
}

bool UpstreamDirectory::hearsAgents(common::TimePoint Now) const {
  return std::any_of(Agents.begin(), Agents.end(), [Now](const auto &Entry) {
    return Now - Entry.second.View.HeardAt <= ReportStale;
  });
}

} // namespace galenarelay::relay
