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
/// Agents that a balancer asks at a time if it hears none.
constexpr std::size_t AskedIfCutOff = 3;

/// See LoadQuery::Stamp.
std::uint16_t stampOf(common::TimePoint Now) noexcept {
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now.time_since_epoch()).count();
  return static_cast<std::uint16_t>(Milliseconds);
}

} // namespace

LoadQuery UpstreamDirectory::repeatedQuestion(common::TimePoint Now) noexcept {
  return {std::max<std::uint16_t>(1, stampOf(Now))};
}

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
  const bool WasListed = !Added && Held.State != UpstreamState::Ended;
  const bool Listed = Report.State != UpstreamState::Ended;
  if (WasListed && (!Listed || Held.Service != Report.Service))
    delist(From, Held.Service);
  if (Listed && (!WasListed || Held.Service != Report.Service))
    enlist(From, Report.Service);
  Agent.View.Address = From;
  Agent.View.Report = Report;
  Agent.View.Load = Report.Load;
  Agent.View.LoadAt = Now;
  Agent.View.ColdUntil = Now + Report.ColdFor;
  noteHeard(Agent, Now);
  dropCounted(Agent);
  if (!Changed)
    return Change::None;
  return Added ? Change::Appeared : Change::StateChanged;
}

void UpstreamDirectory::enlist(NodeAddress Agent, const std::string &Service) {
  ByService[Service].push_back(Agent);
}

void UpstreamDirectory::delist(NodeAddress Agent, const std::string &Service) {
  const auto Found = ByService.find(Service);
  if (Found == ByService.end())
    return;
  std::erase(Found->second, Agent);
  if (Found->second.empty())
    ByService.erase(Found);
}

std::span<const NodeAddress> UpstreamDirectory::agentsOf(const std::string &Service) const {
  const auto Found = ByService.find(Service);
  if (Found == ByService.end())
    return {};
  return Found->second;
}

void UpstreamDirectory::noteHeard(Known &Agent, common::TimePoint Now) {
  LastHeardAt = Now;
  Agent.View.HeardAt = Now;
  Agent.View.SuspectUntil = {};
  Agent.TakenAsLost = false;
  Agent.UnansweredSince.reset();
  Agent.Unanswered = 0;
  Agent.Witnesses.clear();
}

void UpstreamDirectory::onHeard(NodeAddress From, common::TimePoint Now) {
  if (const auto Found = Agents.find(From); Found != Agents.end())
    noteHeard(Found->second, Now);
}

void UpstreamDirectory::onLoad(NodeAddress From, const UpstreamLoad &Load, common::TimePoint Now) {
  const auto Found = Agents.find(From);
  if (Found == Agents.end())
    return;
  noteHeard(Found->second, Now);
  Found->second.View.Load = Load;
  Found->second.View.LoadAt = Now;
  dropCounted(Found->second);
}

// A report about the end of an upstream may have overtaken the answer, and isn't taken back by it.
void UpstreamDirectory::onAnswer(NodeAddress From, const LoadAnswer &Answer,
                                 common::TimePoint Now) {
  const auto Found = Agents.find(From);
  if (Found == Agents.end())
    return;
  if (Answer.Stamp != 0)
    Answers.onAnswer(
        std::chrono::milliseconds(static_cast<std::uint16_t>(stampOf(Now) - Answer.Stamp)), Now);
  else if (const auto Since = Found->second.UnansweredSince)
    Answers.onAnswer(Now - *Since, Now);
  onLoad(From, Answer.Load, Now);
  AgentReport &Held = Found->second.View.Report;
  if (Held.State != UpstreamState::Ended && Answer.State != UpstreamState::Ended)
    Held.State = Answer.State;
}

void UpstreamDirectory::suspect(NodeAddress Agent, common::TimePoint Now) {
  const auto Found = Agents.find(Agent);
  if (Found != Agents.end())
    Found->second.View.SuspectUntil = Now + SuspicionTime;
}

std::vector<NodeAddress> UpstreamDirectory::candidates(const std::string &Service,
                                                       const packet::FlowKey &Key) const {
  return rankCandidates(Key, agentsOf(Service), MaxCandidates);
}

std::vector<NodeAddress> UpstreamDirectory::candidatesOfAll(const packet::FlowKey &Key) const {
  std::vector<NodeAddress> Found;
  if (ByService.size() * NearCandidates > MaxCandidates)
    return Found;
  for (const auto &[Service, Own] : ByService)
    for (const NodeAddress Agent : rankCandidates(Key, Own, NearCandidates))
      Found.push_back(Agent);
  return Found;
}

bool UpstreamDirectory::silent(const Known &Agent, common::TimePoint Now) const {
  return Agent.UnansweredSince && Now - *Agent.UnansweredSince > patience(AnswerTimeout);
}

bool UpstreamDirectory::needsLoadQuery(NodeAddress Agent, common::TimePoint Now) const {
  const auto Found = Agents.find(Agent);
  return Found != Agents.end() && Now - Found->second.View.LoadAt > LoadFreshness &&
         !Found->second.UnansweredSince && fitness(Found->second, Now) != Fitness::Unfit;
}

bool UpstreamDirectory::awaitsLoadAnswer(NodeAddress Agent, common::TimePoint Now) const {
  const auto Found = Agents.find(Agent);
  return Found != Agents.end() && Found->second.UnansweredSince && !silent(Found->second, Now);
}

void UpstreamDirectory::noteQuery(NodeAddress Agent, common::TimePoint Now) {
  const auto Found = Agents.find(Agent);
  if (Found == Agents.end())
    return;
  Known &Asked = Found->second;
  Asked.AskedAt = Now;
  ++Asked.Unanswered;
  if (!Asked.UnansweredSince)
    Asked.UnansweredSince = Now;
}

bool UpstreamDirectory::questionDue(const Known &Agent, common::TimePoint Now) {
  constexpr std::uint32_t MostDoublings = 4; // MaxQueryRepeat / QueryRepeat
  if (Agent.UnansweredSince) {
    // Until an agent is taken for lost, it is asked often enough for MinUnansweredQueries.
    const std::uint32_t Doublings =
        Agent.TakenAsLost ? MostDoublings : std::min(std::max(Agent.Unanswered, 1U) - 1, 1U);
    return Now - Agent.AskedAt >= QueryRepeat * (1U << Doublings);
  }
  const UpstreamState State = Agent.View.Report.State;
  return State != UpstreamState::Ready && State != UpstreamState::Ended &&
         Now - Agent.View.HeardAt > UnfitQueryDelay;
}

std::vector<NodeAddress> UpstreamDirectory::takeQuestions(common::TimePoint Now) {
  std::vector<NodeAddress> Due;
  for (const auto &[Address, Agent] : Agents) {
    if (Due.size() >= MaxRepeatedQueries)
      break;
    if (questionDue(Agent, Now))
      Due.push_back(Address);
  }
  if (Now - LastHeardAt > IsolationQueryDelay && Now - AskedWhenCutOffAt > QueryRepeat) {
    AskedWhenCutOffAt = Now;
    const auto All = agents();
    for (std::size_t I = 0; I < AskedIfCutOff && I < All.size(); ++I)
      if (Due.size() < MaxRepeatedQueries)
        Due.push_back(*AskedWhenCutOff.next(All));
  }
  for (const NodeAddress Agent : Due)
    noteQuery(Agent, Now);
  return Due;
}

void UpstreamDirectory::forgetSilent(common::TimePoint Now) {
  for (auto At = Agents.begin(); At != Agents.end();) {
    const AgentView &View = At->second.View;
    if (Now - View.HeardAt <= AgentRetention) {
      ++At;
      continue;
    }
    if (View.Report.State != UpstreamState::Ended)
      delist(At->first, View.Report.Service);
    At = Agents.erase(At);
  }
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
    return Fitness::Doubtful;
  case UpstreamState::Ready:
    break;
  }
  const bool Doubtful = silent(Agent, Now) || View.SuspectUntil > Now;
  return Doubtful ? Fitness::Doubtful : Fitness::Good;
}

double UpstreamDirectory::score(const Known &Agent, FlowKind Kind, common::TimePoint Now) const {
  const AgentView &View = Agent.View;
  const auto Placed = [&Agent](FlowKind Which) {
    return static_cast<double>(
        std::count_if(Agent.Placements.begin(), Agent.Placements.end(),
                      [Which](const Placement &Each) { return Each.Kind == Which; }));
  };
  double Slots = std::max<std::uint32_t>(1, View.Report.Slots);
  if (View.ColdUntil > Now && InUse.uses(policy::Mechanism::ColdDiscount))
    Slots *= ColdSlotShare;
  const double Present = (View.Load.Unanswered + Placed(FlowKind::Short)) / Slots;
  const bool Near = View.Report.Zone == OwnZone || !InUse.uses(policy::Mechanism::OwnZone);
  const double Distance = Near ? 0 : OtherZoneCost;
  if (Kind == FlowKind::Short || !InUse.uses(policy::Mechanism::LongFlowBalance))
    return Present + Distance;
  const double Lasting = (View.Load.LongFlows + Placed(FlowKind::Long)) / Slots;
  return Lasting + PresentWorkWeight * Present + Distance;
}

std::optional<NodeAddress> UpstreamDirectory::chooseAmong(std::span<const NodeAddress> Among,
                                                          FlowKind Kind,
                                                          std::span<const NodeAddress> Excluded,
                                                          common::TimePoint Now) const {
  const Known *Best = nullptr;
  Fitness BestFitness = Fitness::Unfit;
  double BestScore = 0;
  for (const NodeAddress Address : Among) {
    const auto Found = Agents.find(Address);
    if (Found == Agents.end() ||
        std::find(Excluded.begin(), Excluded.end(), Address) != Excluded.end())
      continue;
    const Known &Agent = Found->second;
    const Fitness Own = fitness(Agent, Now);
    if (Own == Fitness::Unfit || Own > BestFitness || full(Agent))
      continue;
    const double Score = score(Agent, Kind, Now);
    if (Own == BestFitness && Best != nullptr && Score >= BestScore)
      continue;
    Best = &Agent;
    BestFitness = Own;
    BestScore = Score;
  }
  if (Best == nullptr)
    return std::nullopt;
  return Best->View.Address;
}

std::optional<NodeAddress> UpstreamDirectory::choose(const std::string &Service, FlowKind Kind,
                                                     std::span<const NodeAddress> Excluded,
                                                     common::TimePoint Now) {
  std::vector<NodeAddress> Best;
  Fitness BestFitness = Fitness::Unfit;
  for (const NodeAddress Address : agentsOf(Service)) {
    const Known &Agent = Agents.at(Address);
    const Fitness Own = fitness(Agent, Now);
    if (Own == Fitness::Unfit || Own > BestFitness || full(Agent) ||
        std::find(Excluded.begin(), Excluded.end(), Address) != Excluded.end())
      continue;
    if (Own < BestFitness)
      Best.clear();
    BestFitness = Own;
    Best.push_back(Address);
  }
  // A flow that stays is worth a look at all agents; a short one follows the crowd's old figures
  // less if it compares only a few.
  const std::size_t Compared =
      Kind == FlowKind::Long ? Best.size() : std::min(RandomChoices, Best.size());
  for (std::size_t I = 0; I < Compared; ++I)
    std::swap(Best[I], Best[I + common::uniformBelow(Random, Best.size() - I)]);
  return chooseAmong(std::span(Best).first(Compared), Kind, {}, Now);
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

bool UpstreamDirectory::isBusy(NodeAddress Agent) const {
  const auto Found = Agents.find(Agent);
  if (Found == Agents.end())
    return false;
  const AgentView &View = Found->second.View;
  return View.Report.Slots != 0 &&
         View.Load.Unanswered + Found->second.Placements.size() >= View.Report.Slots;
}

bool UpstreamDirectory::hasFullAgent(const std::string &Service,
                                     std::span<const NodeAddress> Excluded,
                                     common::TimePoint Now) const {
  const auto Own = agentsOf(Service);
  return std::any_of(Own.begin(), Own.end(), [&](NodeAddress Address) {
    const Known &Agent = Agents.at(Address);
    return full(Agent) && fitness(Agent, Now) != Fitness::Unfit &&
           std::find(Excluded.begin(), Excluded.end(), Address) == Excluded.end();
  });
}

void UpstreamDirectory::notePlacement(NodeAddress Agent, FlowKind Kind, common::TimePoint Now) {
  const auto Found = Agents.find(Agent);
  if (Found == Agents.end() || !InUse.uses(policy::Mechanism::PlacementCount))
    return;
  auto &Placements = Found->second.Placements;
  Placements.push_back({Now, Kind});
  if (Placements.size() > MaxPlacements)
    Placements.pop_front();
}

void UpstreamDirectory::undoPlacement(NodeAddress Agent, FlowKind Kind) {
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
    Expected.try_emplace(Agent, Expectation{.Since = Now});
}

std::vector<NodeAddress> UpstreamDirectory::expectNamed(std::span<const NodeAddress> Named,
                                                        common::TimePoint Now) {
  std::vector<NodeAddress> Unheard;
  for (const NodeAddress Agent : Named) {
    if (Agents.contains(Agent))
      continue;
    expect(Agent, Now);
    Unheard.push_back(Agent);
  }
  return Unheard;
}

bool UpstreamDirectory::lost(const Known &Agent, common::TimePoint Now) const {
  if (!Agent.UnansweredSince || Agent.Unanswered < MinUnansweredQueries)
    return false;
  const bool Announced = Agent.View.Report.State == UpstreamState::Stopping;
  return Now - std::max(*Agent.UnansweredSince, ListeningSince) >
         (Announced ? StoppingLostTime : LostTime) + 2 * Answers.slowest(Now);
}

std::vector<NodeAddress> UpstreamDirectory::reportingHolders(common::TimePoint Now) const {
  std::vector<NodeAddress> Found;
  for (const auto &[Address, Agent] : Agents)
    if (!lost(Agent, Now) && Agent.View.Report.State != UpstreamState::Ended)
      Found.push_back(Address);
  return Found;
}

// A record alone doesn't say whether its agent runs. One that has not been asked often enough may
// only have lost a datagram.
bool UpstreamDirectory::awaited(const Expectation &Each, common::TimePoint Now) {
  return Now - Each.Since <= LostTime || Each.Questions < MinUnansweredQueries;
}

std::vector<NodeAddress> UpstreamDirectory::expectedHolders(common::TimePoint Now) const {
  std::vector<NodeAddress> Found;
  for (const auto &[Address, Each] : Expected)
    if (awaited(Each, Now))
      Found.push_back(Address);
  return Found;
}

bool UpstreamDirectory::upstreamsStartedTogether(common::TimePoint Now) const {
  std::size_t Cold = 0;
  for (const auto &[Address, Agent] : Agents) {
    const AgentReport &Report = Agent.View.Report;
    if (Report.State == UpstreamState::Ended || Report.UpstreamIncarnation == 0)
      continue; // No upstream, or none that has spoken yet.
    if (Agent.View.ColdUntil <= Now)
      return false;
    ++Cold;
  }
  return Cold >= MinStartedTogether && Cold >= expectedHolders(Now).size();
}

std::vector<NodeAddress> UpstreamDirectory::takeExpected(common::TimePoint Now) {
  std::vector<NodeAddress> Due;
  for (auto &[Address, Each] : Expected) {
    if (!awaited(Each, Now) || Now - Each.AskedAt < QueryRepeat)
      continue;
    Each.AskedAt = Now;
    ++Each.Questions;
    Due.push_back(Address);
  }
  return Due;
}

std::vector<std::pair<NodeAddress, LossQuery>>
UpstreamDirectory::takeLossQueries(std::span<const NodeAddress> Balancers, common::TimePoint Now) {
  if (Now - LossQueryAt < LossQueryInterval)
    return {};
  LossQueryAt = Now;
  std::map<NodeAddress, LossQuery> Queries;
  for (const auto &[Address, Agent] : Agents) {
    if (!Agent.UnansweredSince || Agent.TakenAsLost ||
        Now - *Agent.UnansweredSince < LossQueryDelay)
      continue;
    for (const NodeAddress Witness : rankNodes(Address, Balancers, LossWitnesses)) {
      auto &Asked = Queries[Witness].Agents;
      if (Asked.size() < MaxDoubtedAgents)
        Asked.push_back(Address);
    }
  }
  return {Queries.begin(), Queries.end()};
}

LossAnswer UpstreamDirectory::onLossQuery(const LossQuery &Question, common::TimePoint Now) {
  LossAnswer Answer;
  for (const NodeAddress Address : Question.Agents) {
    const auto Found = Agents.find(Address);
    if (Found == Agents.end())
      continue;
    Known &Agent = Found->second;
    if (lost(Agent, Now)) {
      Answer.Silent.push_back(Address);
    } else if (!Agent.UnansweredSince && Now - Agent.View.HeardAt > LossQueryDelay) {
      // Due at once: no question has left yet.
      Agent.UnansweredSince = Now;
      Agent.AskedAt = Now - MaxQueryRepeat;
    }
  }
  return Answer;
}

void UpstreamDirectory::onLossAnswer(const LossAnswer &Answer, NodeAddress From) {
  for (const NodeAddress Address : Answer.Silent)
    if (const auto Found = Agents.find(Address);
        Found != Agents.end() && Found->second.UnansweredSince)
      Found->second.Witnesses.insert(From);
}

std::vector<NodeAddress> UpstreamDirectory::takeLost(std::size_t Balancers, common::TimePoint Now) {
  std::size_t Silent = 0;
  std::size_t Heard = 0;
  for (const auto &[Address, Agent] : Agents) {
    Silent += lost(Agent, Now) ? 1 : 0;
    Heard += Agent.View.HeardAt + LostTime > Now ? 1 : 0;
  }
  std::vector<NodeAddress> Found;
  if (Silent >= Heard)
    return Found;
  const std::size_t Needed =
      InUse.uses(policy::Mechanism::LossWitnesses) ? std::min(MinLossWitnesses, Balancers) : 0;
  for (auto &[Address, Agent] : Agents)
    if (lost(Agent, Now) && Agent.Witnesses.size() >= Needed &&
        !std::exchange(Agent.TakenAsLost, true))
      Found.push_back(Address);
  return Found;
}

bool UpstreamDirectory::hearsAgents(common::TimePoint Now) const {
  return !Agents.empty() && Now - LastHeardAt <= IsolationTimeout;
}

} // namespace galenarelay::relay
