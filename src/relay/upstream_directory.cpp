#include "galenarelay/relay/upstream_directory.h"

#include "galenarelay/common/hash_mix.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace galenarelay::relay {

using policy::Fitness;
using policy::Mechanism;

namespace {

/// Maximum number of placements kept for an agent. Beyond it the oldest are taken as included in
/// its load figure.
constexpr std::size_t MaxUnreportedPlacements = 256;
/// Number of agents queried at a time while none is heard.
constexpr std::size_t IsolationQueries = 3;

/// The value of LoadQuery::Stamp for a time.
std::uint16_t timestampOf(common::TimePoint Now) noexcept {
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now.time_since_epoch()).count();
  return static_cast<std::uint16_t>(Milliseconds);
}

} // namespace

LoadQuery UpstreamDirectory::repeatedQuery(common::TimePoint Now) noexcept {
  return {std::max<std::uint16_t>(1, timestampOf(Now))};
}

UpstreamDirectory::Change UpstreamDirectory::onReport(NodeAddress From, const AgentReport &Report,
                                                      common::TimePoint Now) {
  auto [It, Added] = Agents.try_emplace(From);
  AgentEntry &Agent = It->second;
  const AgentReport &Previous = Agent.View.Report;
  if (!Added && !succeeds(Agent, Report, Now)) {
    // The answer to a query shows which process runs; until then the agent may hold flows.
    if (Agent.Contender)
      Expected.try_emplace(From, ExpectedAgent{.Since = Now});
    return Change::Outdated;
  }
  Expected.erase(From);
  if (!Added && Previous.Incarnation != Report.Incarnation)
    Agent.ReplacedIncarnation = Previous.Incarnation;
  Agent.Contender.reset();
  const bool Changed = Added || Previous.State != Report.State ||
                       Previous.Service != Report.Service ||
                       Previous.Incarnation != Report.Incarnation;
  const bool WasListed = !Added && Previous.State != UpstreamState::Ended;
  const bool Listed = Report.State != UpstreamState::Ended;
  if (WasListed && (!Listed || Previous.Service != Report.Service))
    removeFromService(From, Previous.Service);
  if (Listed && (!WasListed || Previous.Service != Report.Service))
    addToService(From, Report.Service);
  Agent.View.Address = From;
  Agent.View.Report = Report;
  Agent.View.Load = Report.Load;
  Agent.View.LoadAt = Now;
  Agent.View.ColdUntil = Now + Report.ColdFor;
  noteHeard(Agent, Now);
  dropReportedPlacements(Agent);
  if (!Changed)
    return Change::None;
  return Added ? Change::Appeared : Change::StateChanged;
}

// Reports may arrive late, and an agent whose clock was set back states an earlier start than the
// process before it. A report with an earlier start takes effect if its sender goes on reporting
// while the process in effect is silent.
bool UpstreamDirectory::succeeds(AgentEntry &Agent, const AgentReport &Report,
                                 common::TimePoint Now) {
  const AgentReport &Previous = Agent.View.Report;
  if (Report.Incarnation == Previous.Incarnation)
    return Report.Sequence > Previous.Sequence;
  if (Report.Incarnation > Previous.Incarnation && Report.Incarnation != Agent.ReplacedIncarnation)
    return true;
  auto &Contender = Agent.Contender;
  if (!Contender || Contender->Incarnation != Report.Incarnation) {
    Contender = {Report.Incarnation, Report.Sequence, Now};
    return false;
  }
  if (Report.Sequence <= Contender->Sequence)
    return false;
  Contender->Sequence = Report.Sequence;
  return Now - Contender->FirstAt >= ContenderProofTime;
}

void UpstreamDirectory::addToService(NodeAddress Agent, const std::string &Service) {
  ByService[Service].push_back(Agent);
}

void UpstreamDirectory::removeFromService(NodeAddress Agent, const std::string &Service) {
  const auto It = ByService.find(Service);
  if (It == ByService.end())
    return;
  std::erase(It->second, Agent);
  if (It->second.empty())
    ByService.erase(It);
}

std::span<const NodeAddress> UpstreamDirectory::agentsOf(const std::string &Service) const {
  const auto It = ByService.find(Service);
  if (It == ByService.end())
    return {};
  return It->second;
}

void UpstreamDirectory::noteHeard(AgentEntry &Agent, common::TimePoint Now) {
  LastHeardAt = Now;
  Agent.View.HeardAt = Now;
  Agent.View.SuspectUntil = {};
  Agent.ReportedLost = false;
  Agent.UnansweredSince.reset();
  Agent.UnansweredQueries = 0;
  Agent.Witnesses.clear();
}

void UpstreamDirectory::onHeard(NodeAddress From, common::TimePoint Now) {
  if (const auto It = Agents.find(From); It != Agents.end())
    noteHeard(It->second, Now);
}

void UpstreamDirectory::onLoad(NodeAddress From, const UpstreamLoad &Load, common::TimePoint Now) {
  const auto It = Agents.find(From);
  if (It == Agents.end())
    return;
  noteHeard(It->second, Now);
  It->second.View.Load = Load;
  It->second.View.LoadAt = Now;
  dropReportedPlacements(It->second);
}

// A report that the upstream has ended may have overtaken the answer, so that the answer doesn't
// change that state.
void UpstreamDirectory::onAnswer(NodeAddress From, const LoadAnswer &Answer,
                                 common::TimePoint Now) {
  const auto It = Agents.find(From);
  if (It == Agents.end())
    return;
  if (Answer.Stamp != 0)
    AnswerTimes.onAnswer(
        std::chrono::milliseconds(static_cast<std::uint16_t>(timestampOf(Now) - Answer.Stamp)),
        Now);
  else if (const auto Since = It->second.UnansweredSince)
    AnswerTimes.onAnswer(Now - *Since, Now);
  onLoad(From, Answer.Load, Now);
  AgentReport &Report = It->second.View.Report;
  if (Report.State != UpstreamState::Ended && Answer.State != UpstreamState::Ended)
    Report.State = Answer.State;
}

void UpstreamDirectory::suspect(NodeAddress Agent, common::TimePoint Now) {
  const auto It = Agents.find(Agent);
  if (It != Agents.end())
    It->second.View.SuspectUntil = Now + SuspicionTime;
}

std::vector<NodeAddress> UpstreamDirectory::candidates(const std::string &Service,
                                                       const packet::FlowKey &Key) const {
  return rankByZone(Key, agentsOf(Service));
}

std::vector<NodeAddress> UpstreamDirectory::placementCandidates(const std::string &Service,
                                                                const packet::FlowKey &Key) const {
  const auto ServiceAgents = agentsOf(Service);
  if (EvacuatedZones.zones().empty())
    return rankByZone(Key, ServiceAgents);
  std::vector<NodeAddress> Usable;
  std::copy_if(ServiceAgents.begin(), ServiceAgents.end(), std::back_inserter(Usable),
               [this](NodeAddress Agent) { return !isEvacuated(Agent); });
  return rankByZone(Key, Usable);
}

std::vector<NodeAddress>
UpstreamDirectory::rankByZone(const packet::FlowKey &Key,
                              std::span<const NodeAddress> ServiceAgents) const {
  if (!InUse.uses(Mechanism::ZonePlacement))
    return rankCandidates(Key, ServiceAgents, MaxCandidates);
  std::vector<NodeAddress> Near;
  std::vector<NodeAddress> Far;
  for (const NodeAddress Agent : ServiceAgents)
    (Agents.at(Agent).View.Report.Zone == OwnZone ? Near : Far).push_back(Agent);
  return rankZoneCandidates(Key, Near, Far, MaxCandidates);
}

std::vector<NodeAddress> UpstreamDirectory::candidatesOfAll(const packet::FlowKey &Key) const {
  std::vector<NodeAddress> Candidates;
  if (ByService.size() * NearCandidates > MaxCandidates)
    return Candidates;
  for (const auto &[Service, ServiceAgents] : ByService)
    for (const NodeAddress Agent : rankCandidates(Key, ServiceAgents, NearCandidates))
      Candidates.push_back(Agent);
  return Candidates;
}

bool UpstreamDirectory::answerOverdue(const AgentEntry &Agent, common::TimePoint Now) const {
  return Agent.UnansweredSince && Now - *Agent.UnansweredSince > answerTimeout(AnswerTimeout);
}

bool UpstreamDirectory::needsLoadQuery(NodeAddress Agent, common::TimePoint Now) const {
  const auto It = Agents.find(Agent);
  return It != Agents.end() && Now - It->second.View.LoadAt > LoadFreshness &&
         !It->second.UnansweredSince && fitness(It->second, Now) != Fitness::Unfit;
}

bool UpstreamDirectory::awaitsLoadAnswer(NodeAddress Agent, common::TimePoint Now) const {
  const auto It = Agents.find(Agent);
  return It != Agents.end() && It->second.UnansweredSince && !answerOverdue(It->second, Now);
}

void UpstreamDirectory::noteQuery(NodeAddress Agent, common::TimePoint Now) {
  const auto It = Agents.find(Agent);
  if (It == Agents.end())
    return;
  AgentEntry &Entry = It->second;
  Entry.LastQueryAt = Now;
  ++Entry.UnansweredQueries;
  if (!Entry.UnansweredSince)
    Entry.UnansweredSince = Now;
}

bool UpstreamDirectory::queryDue(const AgentEntry &Agent, common::TimePoint Now) {
  constexpr std::uint32_t MaxDoublings = 4; // MaxQueryRepeat / QueryRepeat
  if (Agent.UnansweredSince) {
    // Until an agent is reported lost, it is queried often enough to reach MinUnansweredQueries.
    const std::uint32_t Doublings =
        Agent.ReportedLost ? MaxDoublings : std::min(std::max(Agent.UnansweredQueries, 1U) - 1, 1U);
    return Now - Agent.LastQueryAt >= QueryRepeat * (1U << Doublings);
  }
  const UpstreamState State = Agent.View.Report.State;
  return State != UpstreamState::Ready && State != UpstreamState::Ended &&
         Now - Agent.View.HeardAt > UnfitQueryDelay;
}

std::vector<NodeAddress> UpstreamDirectory::takeRepeatedQueries(common::TimePoint Now) {
  std::vector<NodeAddress> Due;
  for (const auto &[Address, Agent] : Agents) {
    if (Due.size() >= MaxRepeatedQueries)
      break;
    if (queryDue(Agent, Now))
      Due.push_back(Address);
  }
  if (Now - LastHeardAt > IsolationQueryDelay && Now - LastIsolationQueryAt > QueryRepeat) {
    LastIsolationQueryAt = Now;
    const auto AllAgents = agents();
    for (std::size_t I = 0; I < IsolationQueries && I < AllAgents.size(); ++I)
      if (Due.size() < MaxRepeatedQueries)
        Due.push_back(*IsolationQueryRotation.next(AllAgents));
  }
  for (const NodeAddress Agent : Due)
    noteQuery(Agent, Now);
  return Due;
}

void UpstreamDirectory::expireAgents(common::TimePoint Now) {
  for (auto It = Agents.begin(); It != Agents.end();) {
    const AgentView &View = It->second.View;
    if (Now - View.HeardAt <= AgentRetention) {
      ++It;
      continue;
    }
    if (View.Report.State != UpstreamState::Ended)
      removeFromService(It->first, View.Report.Service);
    It = Agents.erase(It);
  }
}

void UpstreamDirectory::dropReportedPlacements(AgentEntry &Agent) {
  auto &Placements = Agent.Placements;
  while (!Placements.empty() && Placements.front().At + PlacementDelay <= Agent.View.LoadAt)
    Placements.pop_front();
}

Fitness UpstreamDirectory::fitness(const AgentEntry &Agent, common::TimePoint Now) const {
  const AgentView &View = Agent.View;
  if (EvacuatedZones.contains(View.Report.Zone))
    return Fitness::Unfit;
  switch (View.Report.State) {
  case UpstreamState::Draining:
  case UpstreamState::Stopping:
  case UpstreamState::Silent:
  case UpstreamState::Ended:
    return Fitness::Unfit;
  case UpstreamState::Unknown:
    return Fitness::Doubtful;
  case UpstreamState::Ready:
    break;
  }
  const bool Doubtful = answerOverdue(Agent, Now) || View.SuspectUntil > Now;
  return Doubtful ? Fitness::Doubtful : Fitness::Good;
}

policy::UpstreamStatus UpstreamDirectory::statusOf(const AgentEntry &Agent,
                                                   common::TimePoint Now) const {
  const AgentView &View = Agent.View;
  const auto PlacedLong =
      std::count_if(Agent.Placements.begin(), Agent.Placements.end(),
                    [](const Placement &Placed) { return Placed.Kind == FlowKind::Long; });
  policy::UpstreamStatus Status;
  Status.Availability = fitness(Agent, Now);
  Status.Cold = View.ColdUntil > Now;
  Status.OwnZone = View.Report.Zone == OwnZone;
  Status.Slots = View.Report.Slots;
  Status.Unanswered = View.Load.Unanswered;
  Status.LongFlows = View.Load.LongFlows;
  Status.PlacedLong = static_cast<std::uint32_t>(PlacedLong);
  Status.PlacedShort = static_cast<std::uint32_t>(Agent.Placements.size()) - Status.PlacedLong;
  return Status;
}

policy::PlacementRank UpstreamDirectory::rank(const policy::UpstreamStatus &Status,
                                              FlowKind Kind) const noexcept {
  if (InUse.uses(Mechanism::ZonePlacement))
    return policy::OwnZoneWhileFree{InUse}.rank(Status, Kind);
  return policy::LeastLoad{InUse}.rank(Status, Kind);
}

std::optional<NodeAddress> UpstreamDirectory::chooseAmong(std::span<const NodeAddress> Considered,
                                                          FlowKind Kind,
                                                          std::span<const NodeAddress> Excluded,
                                                          common::TimePoint Now) const {
  std::optional<NodeAddress> Best;
  policy::PlacementRank BestRank;
  for (const NodeAddress Address : Considered) {
    const auto It = Agents.find(Address);
    if (It == Agents.end() ||
        std::find(Excluded.begin(), Excluded.end(), Address) != Excluded.end())
      continue;
    const auto Status = statusOf(It->second, Now);
    if (Status.Availability == Fitness::Unfit || Status.full())
      continue;
    const auto Rank = rank(Status, Kind);
    if (Best && !(Rank < BestRank))
      continue;
    Best = Address;
    BestRank = Rank;
  }
  return Best;
}

std::optional<NodeAddress> UpstreamDirectory::choose(const std::string &Service, FlowKind Kind,
                                                     std::span<const NodeAddress> Excluded,
                                                     common::TimePoint Now) {
  // Equal but for their load, which the last comparison decides.
  std::vector<NodeAddress> Best;
  policy::PlacementRank BestRank;
  for (const NodeAddress Address : agentsOf(Service)) {
    const auto Status = statusOf(Agents.at(Address), Now);
    if (Status.Availability == Fitness::Unfit || Status.full() ||
        std::find(Excluded.begin(), Excluded.end(), Address) != Excluded.end())
      continue;
    auto Rank = rank(Status, Kind);
    Rank.Load = 0;
    if (!Best.empty() && BestRank < Rank)
      continue;
    if (Rank < BestRank)
      Best.clear();
    BestRank = Rank;
    Best.push_back(Address);
  }
  // A long flow justifies a comparison of all agents. For short flows only a few are compared,
  // since otherwise all balancers would send them to the same agents by the same old load figures.
  const std::size_t Compared =
      Kind == FlowKind::Long ? Best.size() : std::min(RandomChoices, Best.size());
  for (std::size_t I = 0; I < Compared; ++I)
    std::swap(Best[I], Best[I + common::uniformBelow(Random, Best.size() - I)]);
  return chooseAmong(std::span(Best).first(Compared), Kind, {}, Now);
}

bool UpstreamDirectory::isFull(NodeAddress Agent, common::TimePoint Now) const {
  const auto It = Agents.find(Agent);
  return It != Agents.end() && statusOf(It->second, Now).full();
}

bool UpstreamDirectory::isBusy(NodeAddress Agent, common::TimePoint Now) const {
  const auto It = Agents.find(Agent);
  return It != Agents.end() && statusOf(It->second, Now).busy();
}

bool UpstreamDirectory::hasFullAgent(const std::string &Service,
                                     std::span<const NodeAddress> Excluded,
                                     common::TimePoint Now) const {
  const auto ServiceAgents = agentsOf(Service);
  return std::any_of(ServiceAgents.begin(), ServiceAgents.end(), [&](NodeAddress Address) {
    const auto Status = statusOf(Agents.at(Address), Now);
    return Status.full() && Status.Availability != Fitness::Unfit &&
           std::find(Excluded.begin(), Excluded.end(), Address) == Excluded.end();
  });
}

void UpstreamDirectory::notePlacement(NodeAddress Agent, FlowKind Kind, common::TimePoint Now) {
  const auto It = Agents.find(Agent);
  if (It == Agents.end() || !InUse.uses(Mechanism::PlacementCount))
    return;
  auto &Placements = It->second.Placements;
  Placements.push_back({Now, Kind});
  if (Placements.size() > MaxUnreportedPlacements)
    Placements.pop_front();
}

void UpstreamDirectory::undoPlacement(NodeAddress Agent, FlowKind Kind) {
  const auto It = Agents.find(Agent);
  if (It == Agents.end())
    return;
  auto &Placements = It->second.Placements;
  const auto Newest = std::find_if(Placements.rbegin(), Placements.rend(),
                                   [Kind](const Placement &Placed) { return Placed.Kind == Kind; });
  if (Newest != Placements.rend())
    Placements.erase(std::next(Newest).base());
}

const AgentView *UpstreamDirectory::find(NodeAddress Agent) const {
  const auto It = Agents.find(Agent);
  return It == Agents.end() ? nullptr : &It->second.View;
}

std::vector<NodeAddress> UpstreamDirectory::agents() const {
  std::vector<NodeAddress> Addresses;
  for (const auto &[Address, Agent] : Agents)
    Addresses.push_back(Address);
  return Addresses;
}

bool UpstreamDirectory::isEvacuated(NodeAddress Agent) const {
  const AgentView *View = find(Agent);
  return View != nullptr && EvacuatedZones.contains(View->Report.Zone);
}

std::vector<NodeAddress> UpstreamDirectory::agentsInZone(const std::string &Zone) const {
  std::vector<NodeAddress> Addresses;
  for (const auto &[Address, Agent] : Agents)
    if (Agent.View.Report.Zone == Zone)
      Addresses.push_back(Address);
  return Addresses;
}

void UpstreamDirectory::noteExpected(NodeAddress Agent, common::TimePoint Now) {
  if (!Agents.contains(Agent))
    Expected.try_emplace(Agent, ExpectedAgent{.Since = Now});
}

std::vector<NodeAddress> UpstreamDirectory::noteExpectedAgents(std::span<const NodeAddress> Named,
                                                               common::TimePoint Now) {
  std::vector<NodeAddress> Unheard;
  for (const NodeAddress Agent : Named) {
    if (Agents.contains(Agent))
      continue;
    noteExpected(Agent, Now);
    Unheard.push_back(Agent);
  }
  return Unheard;
}

bool UpstreamDirectory::isLost(const AgentEntry &Agent, common::TimePoint Now) const {
  if (!Agent.UnansweredSince || Agent.UnansweredQueries < MinUnansweredQueries)
    return false;
  const bool Announced = Agent.View.Report.State == UpstreamState::Stopping;
  return Now - std::max(*Agent.UnansweredSince, ListeningSince) >
         (Announced ? StoppingLostTime : LostTime) + 2 * AnswerTimes.slowest(Now);
}

// An agent that is silent towards this balancer only may hold flows: it counts as lost once other
// balancers find it silent too.
bool UpstreamDirectory::isAgreedLost(const AgentEntry &Agent, common::TimePoint Now) const {
  return Agent.ReportedLost && isLost(Agent, Now);
}

bool UpstreamDirectory::mayHoldFlows(const AgentEntry &Agent, common::TimePoint Now) const {
  return !isAgreedLost(Agent, Now) && Agent.View.Report.State != UpstreamState::Ended;
}

std::vector<NodeAddress> UpstreamDirectory::reportingHolders(common::TimePoint Now) const {
  std::vector<NodeAddress> Holders;
  for (const auto &[Address, Agent] : Agents)
    if (mayHoldFlows(Agent, Now))
      Holders.push_back(Address);
  return Holders;
}

std::vector<KnownAgent> UpstreamDirectory::knownHolders(common::TimePoint Now) const {
  std::vector<KnownAgent> Holders;
  for (const auto &[Address, Agent] : Agents)
    if (mayHoldFlows(Agent, Now))
      Holders.push_back({Address, Agent.View.Report.Incarnation, Agent.View.Report.Sequence});
  return Holders;
}

std::uint64_t UpstreamDirectory::holderDigest(common::TimePoint Now) const {
  std::uint64_t Digest = 0;
  for (const auto &[Address, Agent] : Agents)
    if (mayHoldFlows(Agent, Now))
      Digest ^= common::mixHash(1, Address);
  return Digest;
}

std::vector<NodeAddress> UpstreamDirectory::noteHolders(std::span<const KnownAgent> Named,
                                                        common::TimePoint Now) {
  std::vector<NodeAddress> Unreported;
  for (const KnownAgent &Holder : Named) {
    const auto It = Agents.find(Holder.Address);
    if (It != Agents.end()) {
      const AgentReport &Report = It->second.View.Report;
      const bool IsOlder = Holder.Incarnation == Report.Incarnation
                               ? Holder.Sequence <= Report.Sequence
                               : Holder.Incarnation == It->second.ReplacedIncarnation;
      if (Report.State != UpstreamState::Ended || IsOlder)
        continue;
    }
    const auto [Entry, Added] = Expected.try_emplace(Holder.Address, ExpectedAgent{.Since = Now});
    if (!Added && mayStillReport(Entry->second, Now))
      continue;
    // Other balancers still hear an agent that has not answered this one.
    Entry->second = {.Since = Now};
    Unreported.push_back(Holder.Address);
  }
  return Unreported;
}

bool UpstreamDirectory::hasRecentlyLostAgent(common::TimePoint Now) const {
  return std::any_of(Agents.begin(), Agents.end(), [&](const auto &Entry) {
    const AgentView &View = Entry.second.View;
    return isAgreedLost(Entry.second, Now) && View.Report.State != UpstreamState::Ended &&
           Now - View.HeardAt <= LostHolderRetention;
  });
}

// A store record doesn't show whether its agent is running. An agent that has not been queried
// often enough may only have missed a lost datagram.
bool UpstreamDirectory::mayStillReport(const ExpectedAgent &Entry, common::TimePoint Now) {
  return Now - Entry.Since <= LostTime || Entry.Queries < MinUnansweredQueries;
}

std::vector<NodeAddress> UpstreamDirectory::expectedHolders(common::TimePoint Now) const {
  std::vector<NodeAddress> Holders;
  for (const auto &[Address, Entry] : Expected)
    if (mayStillReport(Entry, Now))
      Holders.push_back(Address);
  return Holders;
}

bool UpstreamDirectory::upstreamsStartedTogether(common::TimePoint Now) const {
  std::size_t ColdCount = 0;
  for (const auto &[Address, Agent] : Agents) {
    const AgentReport &Report = Agent.View.Report;
    if (Report.State == UpstreamState::Ended || Report.UpstreamIncarnation == 0)
      continue; // No upstream, or one that has not reported to its agent yet.
    if (Agent.View.ColdUntil <= Now)
      return false;
    ++ColdCount;
  }
  return ColdCount >= MinStartedTogether && ColdCount >= expectedHolders(Now).size();
}

std::vector<NodeAddress> UpstreamDirectory::takeExpectedQueries(common::TimePoint Now) {
  std::vector<NodeAddress> Due;
  for (auto &[Address, Entry] : Expected) {
    if (!mayStillReport(Entry, Now) || Now - Entry.LastQueryAt < QueryRepeat)
      continue;
    Entry.LastQueryAt = Now;
    ++Entry.Queries;
    Due.push_back(Address);
  }
  return Due;
}

std::vector<std::pair<NodeAddress, LossQuery>>
UpstreamDirectory::takeLossQueries(std::span<const NodeAddress> Balancers, common::TimePoint Now) {
  if (Now - LastLossQueryAt < LossQueryInterval)
    return {};
  LastLossQueryAt = Now;
  std::map<NodeAddress, LossQuery> Queries;
  for (const auto &[Address, Agent] : Agents) {
    if (!Agent.UnansweredSince || Agent.ReportedLost ||
        Now - *Agent.UnansweredSince < LossQueryDelay)
      continue;
    for (const NodeAddress Witness : rankNodes(Address, Balancers, LossWitnesses)) {
      auto &DoubtedAgents = Queries[Witness].Agents;
      if (DoubtedAgents.size() < MaxSuspectedAgents)
        DoubtedAgents.push_back(Address);
    }
  }
  return {Queries.begin(), Queries.end()};
}

LossAnswer UpstreamDirectory::onLossQuery(const LossQuery &Question, common::TimePoint Now) {
  LossAnswer Answer;
  for (const NodeAddress Address : Question.Agents) {
    const auto It = Agents.find(Address);
    if (It == Agents.end())
      continue;
    AgentEntry &Agent = It->second;
    if (isLost(Agent, Now)) {
      Answer.Silent.push_back(Address);
    } else if (!Agent.UnansweredSince && Now - Agent.View.HeardAt > LossQueryDelay) {
      // No query has been sent yet: due at once.
      Agent.UnansweredSince = Now;
      Agent.LastQueryAt = Now - MaxQueryRepeat;
    }
  }
  return Answer;
}

void UpstreamDirectory::onLossAnswer(const LossAnswer &Answer, NodeAddress From) {
  for (const NodeAddress Address : Answer.Silent)
    if (const auto It = Agents.find(Address); It != Agents.end() && It->second.UnansweredSince)
      It->second.Witnesses.insert(From);
}

std::vector<NodeAddress> UpstreamDirectory::takeLost(std::size_t Balancers, common::TimePoint Now) {
  std::size_t LostCount = 0;
  std::size_t HeardCount = 0;
  for (const auto &[Address, Agent] : Agents) {
    LostCount += isLost(Agent, Now) ? 1 : 0;
    HeardCount += Agent.View.HeardAt + LostTime > Now ? 1 : 0;
  }
  std::vector<NodeAddress> LostAgents;
  if (LostCount >= HeardCount)
    return LostAgents;
  const std::size_t RequiredWitnesses =
      InUse.uses(Mechanism::LossWitnesses) ? std::min(MinLossWitnesses, Balancers) : 0;
  for (auto &[Address, Agent] : Agents)
    if (isLost(Agent, Now) && Agent.Witnesses.size() >= RequiredWitnesses &&
        !std::exchange(Agent.ReportedLost, true))
      LostAgents.push_back(Address);
  return LostAgents;
}

bool UpstreamDirectory::heardAnyAgent(common::TimePoint Now) const {
  return !Agents.empty() && Now - LastHeardAt <= IsolationTimeout;
}

} // namespace galenarelay::relay
