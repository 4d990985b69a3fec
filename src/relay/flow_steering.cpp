#include "galenarelay/relay/flow_steering.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

namespace galenarelay::relay {

namespace {

/// Buckets of the flow table that one timer call looks at for old flows.
constexpr std::size_t SweepBuckets = 512;

} // namespace

std::string_view name(SteeringReason Reason) noexcept {
  constexpr std::array<std::string_view, SteeringReasons> Names{
      "placed",    "placed_again",   "insisted",   "known",        "searched",
      "no_route",  "no_upstream",    "held",       "asked",        "overloaded",
      "not_ready", "search_limited", "table_full", "held_nowhere", "agent_lost"};
  return Names[static_cast<std::size_t>(Reason)];
}

FlowSteering::FlowSteering(NodeAddress Self, UpstreamDirectory &Directory,
                           common::TimePoint StartedAt, policy::Mechanisms InUse)
    : Self(Self), Directory(Directory), StartedAt(StartedAt), InUse(InUse) {
  Search.setPaced(InUse.uses(policy::Mechanism::WidePace));
}

NodeAddress FlowSteering::agentOf(const packet::FlowKey &Key) const {
  const auto Found = Flows.find(Key);
  return Found == Flows.end() ? 0 : Found->second.Agent;
}

Transit FlowSteering::transitTo(std::string_view Service, bool Search, bool Insist) const {
  return {Self, serviceDigest(Service), Search, Insist};
}

SteeringActions FlowSteering::onPacket(const PacketHead &Head, std::span<const std::uint8_t> Raw,
                                       common::TimePoint Now) {
  SteeringActions Out;
  const auto Found = Flows.find(Head.Key);
  if (Head.opensFlow()) {
    if (Found == Flows.end())
      openFlow(Head, Raw, Now, Out);
    else
      repeatFirstPacket(Head, Found->second, Now, Out);
    return Out;
  }
  if (Found == Flows.end()) {
    if (Flows.size() >= MaxSteeredFlows) {
      Out.push_back({.Reason = SteeringReason::TableFull, .Key = Head.Key});
      return Out;
    }
    if (Head.Bits.Rst)
      return Out; // Nobody has to hear of the end of a flow that nobody here knows.
    Flow &Held = Flows[Head.Key];
    Held.UsedAt = Now;
    noteAcknowledgement(Head, Held);
    search(Head.Key, Held, Raw, Now, Out);
    return Out;
  }
  Flow &Held = Found->second;
  Held.UsedAt = Now;
  noteAcknowledgement(Head, Held);
  if (Held.State == Phase::Searching) {
    search(Head.Key, Held, Raw, Now, Out);
  } else {
    forwardOpen(Head, Held, Raw, Now, Out);
    noteCallerData(Head, Held, Now, Out);
  }
  if (Head.Bits.Fin || Head.Bits.Rst)
    setState(Held, Phase::Ended, Now);
  return Out;
}

void FlowSteering::openFlow(const PacketHead &Head, std::span<const std::uint8_t> Raw,
                            common::TimePoint Now, SteeringActions &Out) {
  const Route *Found = Routes->find(Head.Key.Service);
  if (Found == nullptr) {
    // A copy of a first packet gives a node that may be behind the time to catch up.
    if (Routes->revision() != 0 && (RoutesCurrent || Head.Acknowledgement > 0))
      refuse(Head.Key, SteeringReason::NoRoute, Out);
    else
      Out.push_back({.Reason = SteeringReason::NotReady, .Key = Head.Key});
    return;
  }
  if (Flows.size() >= MaxSteeredFlows) {
    Out.push_back({.Reason = SteeringReason::TableFull, .Key = Head.Key});
    return;
  }
  Flow &Held = Flows[Head.Key];
  setState(Held, Phase::Opening, Now);
  Held.UsedAt = Now;
  Held.Open = std::make_unique<Opening>();
  Held.Open->Service = RouteTable::serviceFor(*Found, Head.Key);
  // Callers keep a flow for requests that they may repeat, and open one for each other request.
  Held.Open->Kind = Found->Idempotent ? FlowKind::Long : FlowKind::Short;
  Held.Open->Packet = std::make_shared<const Bytes>(Raw.begin(), Raw.end());
  // The first packets before this one were lost, or reached another balancer.
  const std::uint32_t Copies = InUse.uses(policy::Mechanism::CopyAge) ? Head.Acknowledgement : 0;
  Held.Open->Caller = {Now - policy::copyTime(Copies), Head.Acknowledgement,
                       Found->LatencyObjective, Found->Deadline, Found->Priority};
  if (HeldFlows.empty())
    return place(Head.Key, Held, Scope::Candidates, Now, Out);
  // Others wait already: the next one to be placed is chosen among all.
  Held.Open->Held = true;
  HeldFlows.push_back(Head.Key);
  releaseHeld(Now, Out);
}

// A caller repeats its first packet if it has seen no answer. The upstream that accepted the flow
// answers again; otherwise the agent that has the packet is passed over.
void FlowSteering::repeatFirstPacket(const PacketHead &Head, Flow &Held, common::TimePoint Now,
                                     SteeringActions &Out) {
  Held.UsedAt = Now;
  if (Held.State != Phase::Opening || Held.Open == nullptr) {
    if (Held.Agent != 0)
      Out.push_back({.What = SteeringAction::Kind::Forward,
                     .Reason = SteeringReason::Known,
                     .Key = Head.Key,
                     .Agent = Held.Agent,
                     .Fields = transitTo("", false, true)});
    return;
  }
  Held.Open->Caller.Copies = std::max(Held.Open->Caller.Copies, Head.Acknowledgement);
  if (Held.Open->Held || Held.Open->Asking) {
    Out.push_back({.Reason = Held.Open->Held ? SteeringReason::Held : SteeringReason::Asked,
                   .Key = Head.Key});
    return;
  }
  if (std::exchange(Held.Open->Waiting, false) && !Held.Open->Tried.empty())
    Directory.suspect(Held.Open->Tried.back(), Now);
  place(Head.Key, Held, Scope::Candidates, Now, Out);
}

void FlowSteering::place(const packet::FlowKey &Key, Flow &Held, Scope Where, common::TimePoint Now,
                         SteeringActions &Out) {
  Opening &Open = *Held.Open;
  std::optional<NodeAddress> Chosen = nextChoice(Key, Open, Where, Now, Out);
  if (Open.Asking)
    return;
  // Without another agent, the late answer of the one that has the packet is better than none.
  if (!Chosen && Open.Waiting)
    return;
  // If all candidates are busy, the one that is least so has to queue the flow's work.
  bool Insist = Chosen && Where == Scope::Candidates && Directory.isBusy(*Chosen);
  if (!Chosen) {
    Chosen = leastBusy(Open);
    Insist = true;
  }
  const bool Settled = Now - StartedAt >= ViewSettleTime;
  if (!Chosen && (!Settled || Open.MetFull || Directory.hasFull(Open.Service, Open.Tried, Now))) {
    hold(Key, Held, Now, Out);
    return;
  }
  if (!Chosen) {
    refuse(Key, SteeringReason::NoUpstream, Out);
    Flows.erase(Key);
    return;
  }
  placeAt(*Chosen, Insist, Key, Held, Now, Out);
}

// The flow's first candidates are compared by their present load. Further ones are considered only
// while these are all busy, so that a search that asks the first candidates finds most flows.
std::optional<NodeAddress> FlowSteering::nextChoice(const packet::FlowKey &Key, Opening &Open,
                                                    Scope Where, common::TimePoint Now,
                                                    SteeringActions &Out) {
  if (Open.Tried.size() >= MaxPlacements || Open.Busy.size() > MaxBusyReturns)
    return std::nullopt;
  if (Where == Scope::Service)
    return Directory.choose(Open.Service, Open.Kind, Open.Tried, Now);
  if (Open.Candidates.empty())
    Open.Candidates = Directory.candidates(Open.Service, Key);
  while (true) {
    if (askConsidered(Key, Open, Now, Out)) {
      Open.Asking = true;
      AskingFlows.push_back(Key);
      return std::nullopt;
    }
    const auto Considered =
        std::span(Open.Candidates).first(std::min(Open.Considered, Open.Candidates.size()));
    const auto Best = Directory.chooseAmong(Considered, Open.Kind, Open.Tried, Now);
    const bool Idle = Best && !Directory.isBusy(*Best);
    if (Idle || Considered.size() == Open.Candidates.size())
      return Best;
    Open.Considered += NearCandidates;
  }
}

bool FlowSteering::askConsidered(const packet::FlowKey &Key, const Opening &Open,
                                 common::TimePoint Now, SteeringActions &Out) {
  bool Awaited = false;
  for (std::size_t I = 0; I < std::min(Open.Considered, Open.Candidates.size()); ++I) {
    const NodeAddress Agent = Open.Candidates[I];
    if (std::find(Open.Tried.begin(), Open.Tried.end(), Agent) != Open.Tried.end())
      continue;
    if (InUse.uses(policy::Mechanism::LoadQuestions) && Directory.needsQuestion(Agent, Now))
      ask(Agent, Key, Now, Out);
    Awaited = Awaited || Directory.awaitsAnswer(Agent, Now);
  }
  return Awaited;
}

void FlowSteering::ask(NodeAddress Agent, const packet::FlowKey &Key, common::TimePoint Now,
                       SteeringActions &Out) {
  Directory.noteQuestion(Agent, Now);
  Out.push_back({.What = SteeringAction::Kind::Ask,
                 .Reason = SteeringReason::Asked,
                 .Key = Key,
                 .Agent = Agent});
}

void FlowSteering::continueAsking(common::TimePoint Now, SteeringActions &Out) {
  for (const auto &Key : std::exchange(AskingFlows, {})) {
    const auto Found = Flows.find(Key);
    if (Found == Flows.end() || Found->second.Open == nullptr || !Found->second.Open->Asking)
      continue;
    Found->second.Open->Asking = false;
    place(Key, Found->second, Scope::Candidates, Now, Out);
  }
}

void FlowSteering::placeAt(NodeAddress Agent, bool Insist, const packet::FlowKey &Key, Flow &Held,
                           common::TimePoint Now, SteeringActions &Out) {
  Opening &Open = *Held.Open;
  const SteeringReason Reason = Insist               ? SteeringReason::Insisted
                                : Open.Tried.empty() ? SteeringReason::Placed
                                                     : SteeringReason::PlacedAgain;
  Open.Tried.push_back(Agent);
  Open.Waiting = true;
  Held.Agent = Agent;
  Directory.notePlacement(Agent, Open.Kind, Now);
  PlacementChecks.emplace_back(Now + Directory.patience(PlacementTimeout), Key);
  Transit Fields = transitTo(Open.Service, false, Insist);
  Fields.Long = Open.Kind == FlowKind::Long;
  Fields.OthersWait = Open.OthersWait && InUse.uses(policy::Mechanism::RoomNotices);
  Out.push_back({.What = SteeringAction::Kind::Forward,
                 .Reason = Reason,
                 .Key = Key,
                 .Agent = Agent,
                 .Fields = Fields,
                 .Attempt = static_cast<std::uint8_t>(Open.Tried.size()),
                 .Saved = Open.Packet});
}

std::optional<NodeAddress> FlowSteering::leastBusy(Opening &Open) const {
  std::erase_if(Open.Busy, [this](NodeAddress Agent) { return Directory.isFull(Agent); });
  const auto Load = [this](NodeAddress Agent) {
    const AgentView *View = Directory.find(Agent);
    return View != nullptr ? View->Load.Unanswered : UINT32_MAX;
  };
  const auto Least =
      std::min_element(Open.Busy.begin(), Open.Busy.end(),
                       [&](NodeAddress A, NodeAddress B) { return Load(A) < Load(B); });
  if (Least == Open.Busy.end())
    return std::nullopt;
  const NodeAddress Chosen = *Least;
  Open.Busy.erase(Least);
  return Chosen;
}

void FlowSteering::hold(const packet::FlowKey &Key, Flow &Held, common::TimePoint Now,
                        SteeringActions &Out) {
  if (HeldFlows.size() >= MaxHeldFlows || policy::expired(Held.Open->Caller, Now) ||
      !InUse.uses(policy::Mechanism::Holding)) {
    refuse(Key, SteeringReason::Overloaded, Out);
    Flows.erase(Key);
    return;
  }
  Held.Agent = 0;
  Held.Open->Waiting = false;
  Held.Open->MetFull = false;
  Held.Open->Tried.clear();
  Held.Open->Busy.clear();
  keepHeld(Key, Held, Out);
}

void FlowSteering::releaseHeld(common::TimePoint Now, SteeringActions &Out) {
  using policy::Mechanism;
  if (InUse.uses(Mechanism::ReleaseOrder))
    releaseBy(policy::UrgentAndFreshFirst{InUse.uses(Mechanism::AbsentCallers)}, Now, Out);
  else
    releaseBy(policy::OldestFirst{}, Now, Out);
}

template <policy::ReleaseOrder Order>
void FlowSteering::releaseBy(const Order &Ranking, common::TimePoint Now, SteeringActions &Out) {
  struct Candidate {
    policy::ReleaseRank Rank;
    packet::FlowKey Key;
  };
  std::vector<Candidate> Waiting;
  Waiting.reserve(HeldFlows.size());
  for (const auto &Key : HeldFlows)
    if (const Flow *Held = heldFlow(Key))
      Waiting.push_back({Ranking.rank(Held->Open->Caller, Now), Key});
  HeldFlows.clear();
  std::map<std::string, std::size_t> Remaining;
  for (const auto &Each : Waiting)
    ++Remaining[heldFlow(Each.Key)->Open->Service];
  std::sort(Waiting.begin(), Waiting.end(),
            [](const Candidate &A, const Candidate &B) { return A.Rank < B.Rank; });
  std::map<std::string, std::size_t> Before; // Flows of a service that go on waiting.
  std::set<std::string> Exhausted; // Services without an agent that could take another flow now.
  for (const auto &[Rank, Key] : Waiting) {
    Flow *Held = heldFlow(Key);
    // A key stands here twice if its caller has used it again.
    if (Held == nullptr)
      continue;
    const std::string Service = Held->Open->Service;
    Held->Open->OthersWait = --Remaining[Service] > 0;
    const double Rate =
        InUse.uses(policy::Mechanism::PredictedWait) ? Releases[Service].perSecond(Now) : 0;
    if (policy::expired(Held->Open->Caller, Now) ||
        policy::unservable(Held->Open->Caller, Before[Service], Rate, Now)) {
      refuse(Key, SteeringReason::Overloaded, Out);
      Flows.erase(Key);
      continue;
    }
    if (Exhausted.contains(Service)) {
      ++Before[Service];
      keepHeld(Key, *Held, Out);
      continue;
    }
    Held->Open->Held = false;
    place(Key, *Held, Scope::Service, Now, Out);
    if (heldFlow(Key) != nullptr) {
      ++Before[Service];
      Exhausted.insert(Service);
    } else {
      Releases[Service].note(Now);
    }
  }
}

void FlowSteering::keepHeld(const packet::FlowKey &Key, Flow &Held, SteeringActions &Out) {
  Held.Open->Held = true;
  HeldFlows.push_back(Key);
  if (!std::exchange(Held.Open->WasHeld, true))
    Out.push_back({.Reason = SteeringReason::Held, .Key = Key});
}

FlowSteering::Flow *FlowSteering::heldFlow(const packet::FlowKey &Key) {
  const auto Found = Flows.find(Key);
  const bool Is = Found != Flows.end() && Found->second.Open != nullptr && Found->second.Open->Held;
  return Is ? &Found->second : nullptr;
}

void FlowSteering::forwardKnown(const packet::FlowKey &Key, const Flow &Held, SteeringActions &Out,
                                std::shared_ptr<const Bytes> Saved) const {
  Out.push_back({.What = SteeringAction::Kind::Forward,
                 .Reason = SteeringReason::Known,
                 .Key = Key,
                 .Agent = Held.Agent,
                 .Fields = transitTo("", false, false),
                 .Saved = std::move(Saved)});
}

void FlowSteering::forwardSearch(const packet::FlowKey &Key, NodeAddress Agent,
                                 SteeringActions &Out, std::shared_ptr<const Bytes> Saved) const {
  Out.push_back({.What = SteeringAction::Kind::Forward,
                 .Reason = SteeringReason::Searched,
                 .Key = Key,
                 .Agent = Agent,
                 .Fields = transitTo("", true, false),
                 .Saved = std::move(Saved)});
}

void FlowSteering::refuse(const packet::FlowKey &Key, SteeringReason Reason, SteeringActions &Out) {
  Out.push_back({.What = SteeringAction::Kind::Reset, .Reason = Reason, .Key = Key});
}

void FlowSteering::noteAcknowledgement(const PacketHead &Head, Flow &Held) {
  if (!Head.Bits.Ack)
    return;
  Held.HasAcknowledgement = true;
  Held.Acknowledgement = Head.Acknowledgement;
}

// A caller repeats data that its upstream has not acknowledged. Answers don't pass this node, so
// that this is the sign of an agent that doesn't run.
void FlowSteering::noteCallerData(const PacketHead &Head, Flow &Held, common::TimePoint Now,
                                  SteeringActions &Out) {
  if (Head.PayloadBytes == 0 || Held.Agent == 0)
    return;
  const std::uint32_t End = Head.Sequence + Head.PayloadBytes;
  const bool Repeated = Held.HasData && !sequenceBefore(Held.DataEnd, End);
  if (!Repeated) {
    Held.HasData = true;
    Held.DataEnd = End;
    return;
  }
  const AgentView *View = Directory.find(Held.Agent);
  if (View != nullptr && Now - View->HeardAt > RepeatDoubt &&
      Directory.needsQuestion(Held.Agent, Now))
    ask(Held.Agent, Head.Key, Now, Out);
}

void FlowSteering::forwardOpen(const PacketHead &Head, Flow &Held,
                               std::span<const std::uint8_t> Raw, common::TimePoint Now,
                               SteeringActions &Out) {
  if (Held.State == Phase::Opening && Held.Open != nullptr && Held.Open->Tried.size() > 1) {
    // Several upstreams may have accepted the flow; the caller has answered one of them.
    for (const NodeAddress Agent : Held.Open->Tried)
      forwardSearch(Head.Key, Agent, Out);
    return;
  }
  if (Held.Agent == 0) {
    search(Head.Key, Held, Raw, Now, Out);
    return;
  }
  // Only one upstream has seen the flow, and the caller has its answer.
  if (Held.State == Phase::Opening) {
    Held.Open.reset();
    setState(Held, Phase::Open, Now);
  }
  forwardKnown(Head.Key, Held, Out);
}

void FlowSteering::search(const packet::FlowKey &Key, Flow &Held, std::span<const std::uint8_t> Raw,
                          common::TimePoint Now, SteeringActions &Out) {
  Held.Agent = 0;
  Held.Open.reset();
  if (Held.State != Phase::Searching)
    setState(Held, Phase::Searching, Now);
  const bool Kept = Search.add(Key, Held.Acknowledgement, Raw, Now);
  Out.push_back(
      {.Reason = Kept ? SteeringReason::Searched : SteeringReason::SearchLimited, .Key = Key});
}

std::vector<NodeAddress> FlowSteering::candidatesOf(const packet::FlowKey &Key) const {
  const Route *Found = Routes->find(Key.Service);
  // Open flows need no configuration. After the end of all processes while the store is away they
  // are found without it.
  if (Found == nullptr)
    return Routes->revision() == 0 ? Directory.candidatesOfAll(Key) : std::vector<NodeAddress>{};
  return Directory.candidates(RouteTable::serviceFor(*Found, Key), Key);
}

// In the last stage all agents are asked, also those of other services: the route may have changed
// while the flow was open.
FlowSearch::Questions FlowSteering::takeQuestions(common::TimePoint Now, SteeringActions &Out) {
  Search.setMayWiden(mayConclude(Now));
  auto Questions =
      Search.takeNarrow([this](const packet::FlowKey &Key) { return candidatesOf(Key); }, Now);
  if (Search.wideDue(Now)) {
    auto Holders = Directory.reportingHolders(Now);
    const auto Expected = Directory.expectedHolders(Now);
    Holders.insert(Holders.end(), Expected.begin(), Expected.end());
    FlowSearch::Outcome Settled;
    for (auto &Wide : Search.takeWide(Holders, Now, Settled))
      Questions.push_back(std::move(Wide));
    for (const auto &Key : Settled.Nowhere)
      concludeNowhere(Key, Now, Out);
  }
  for (const auto &Each : Questions)
    Directory.noteQuestion(Each.Agent, Now);
  return Questions;
}

SteeringActions FlowSteering::onAnswer(const FlowAnswer &Answer, NodeAddress From,
                                       common::TimePoint Now) {
  SteeringActions Out;
  Directory.onHeard(From, Now);
  const auto Settled = Search.onAnswer(Answer, From);
  for (const auto &Key : Settled.Held) {
    const auto Found = onNotice({Key, {}}, From, Now);
    Out.insert(Out.end(), Found.begin(), Found.end());
  }
  for (const auto &Key : Settled.Unsure) {
    if (DoubtedPackets >= MaxDoubtedPackets)
      break;
    if (auto Packet = Search.anyPacket(Key)) {
      ++DoubtedPackets;
      forwardSearch(Key, From, Out, std::move(Packet));
    }
  }
  for (const auto &Key : Settled.Nowhere)
    concludeNowhere(Key, Now, Out);
  return Out;
}

/// Sends the packets that waited to the agent that was found.
void FlowSteering::endSearch(const packet::FlowKey &Key, Flow &Held, SteeringActions &Out) {
  for (auto &Packet : Search.finish(Key))
    forwardKnown(Key, Held, Out, std::move(Packet));
}

// Right after a start, agents may exist that nobody has named yet. If all upstreams have started at
// the same time, such an agent's upstream has no earlier flows either.
bool FlowSteering::mayConclude(common::TimePoint Now) const {
  if (Now - StartedAt >= ViewSettleTime)
    return true;
  return AgentsListedAt &&
         (Now - *AgentsListedAt >= ListSettleTime ||
          (InUse.uses(policy::Mechanism::CommonStart) && Directory.upstreamsStartedTogether(Now)));
}

SteeringActions FlowSteering::onAbsence(const FlowAbsence &Absence, NodeAddress From,
                                        common::TimePoint Now) {
  SteeringActions Out;
  Directory.onHeard(From, Now);
  if (Search.onAbsence(Absence.Key, From))
    concludeNowhere(Absence.Key, Now, Out);
  return Out;
}

void FlowSteering::concludeNowhere(const packet::FlowKey &Key, common::TimePoint Now,
                                   SteeringActions &Out) {
  const auto Found = Flows.find(Key);
  if (Found == Flows.end() || Found->second.State != Phase::Searching ||
      !Found->second.HasAcknowledgement || !mayConclude(Now))
    return;
  Out.push_back({.What = SteeringAction::Kind::Reset,
                 .Reason = SteeringReason::HeldNowhere,
                 .Key = Key,
                 .Sequence = Found->second.Acknowledgement});
  (void)Search.finish(Key); // Their flow has ended.
  Flows.erase(Found);
}

bool FlowSteering::repeatable(const packet::FlowKey &Key) const noexcept {
  const Route *Found = Routes->find(Key.Service);
  return Found != nullptr && Found->Idempotent;
}

SteeringActions FlowSteering::onAgentLost(NodeAddress Agent) {
  SteeringActions Out;
  if (!InUse.uses(policy::Mechanism::LossReset))
    return Out;
  for (auto At = Flows.begin(); At != Flows.end();) {
    const Flow &Held = At->second;
    if (Held.Agent != Agent || Held.State != Phase::Open || !Held.HasAcknowledgement ||
        !repeatable(At->first)) {
      ++At;
      continue;
    }
    Out.push_back({.What = SteeringAction::Kind::Reset,
                   .Reason = SteeringReason::AgentLost,
                   .Key = At->first,
                   .Sequence = Held.Acknowledgement});
    At = Flows.erase(At);
  }
  return Out;
}

SteeringActions FlowSteering::onReturned(const PacketHead &Head, const ReturnedPacket &Returned,
                                         NodeAddress From, common::TimePoint Now) {
  SteeringActions Out;
  Directory.onLoad(From, Returned.Load, Now);
  const auto Found = Flows.find(Head.Key);
  if (Head.opensFlow()) {
    if (Found == Flows.end() || Found->second.State != Phase::Opening ||
        Found->second.Open == nullptr)
      return Out; // Another upstream has accepted the flow meanwhile, or the caller gave up.
    Opening &Open = *Found->second.Open;
    Directory.dropPlacement(From, Open.Kind);
    if (Returned.Reason == ReturnReason::Unanswered)
      Directory.suspect(From, Now);
    if (Returned.Reason == ReturnReason::Busy)
      Open.Busy.push_back(From);
    if (Returned.Reason == ReturnReason::Busy || Returned.Reason == ReturnReason::Full)
      Open.MetFull = true;
    if (!Open.Tried.empty() && Open.Tried.back() != From)
      return Out; // A later agent has the packet already.
    Open.Waiting = false;
    if (!Open.Asking)
      place(Head.Key, Found->second, Scope::Candidates, Now, Out);
    return Out;
  }
  Flow &Held = Found == Flows.end() ? Flows[Head.Key] : Found->second;
  Held.UsedAt = Now;
  const bool FoundElsewhere = Held.Agent != 0 && Held.Agent != From;
  if (FoundElsewhere || Held.Other != 0) {
    if (!FoundElsewhere)
      Held.Agent = std::exchange(Held.Other, 0);
    forwardKnown(Head.Key, Held, Out, std::make_shared<const Bytes>(Returned.Packet));
    return Out;
  }
  if (Held.State == Phase::Ended)
    return Out;
  noteAcknowledgement(Head, Held);
  search(Head.Key, Held, Returned.Packet, Now, Out);
  return Out;
}

SteeringActions FlowSteering::onNotice(const FlowNotice &Notice, NodeAddress From,
                                       common::TimePoint Now) {
  SteeringActions Out;
  if (Flows.size() >= MaxSteeredFlows && !Flows.contains(Notice.Key))
    return Out;
  Flow &Held = Flows[Notice.Key];
  if (Held.State == Phase::Open && Held.Agent != From && Held.Agent != 0) {
    Held.Other = From;
    return Out;
  }
  const bool New = Held.State != Phase::Open;
  if (Held.Open != nullptr && OpeningTimes.size() < MaxOpeningTimes)
    OpeningTimes.push_back(Held.Open->Caller.age(Now));
  Held.Agent = From;
  Held.Open.reset();
  Held.UsedAt = Now;
  if (New && Held.State != Phase::Ended)
    setState(Held, Phase::Open, Now);
  endSearch(Notice.Key, Held, Out);
  return Out;
}

SteeringActions FlowSteering::onLoadKnown(common::TimePoint Now) {
  SteeringActions Out;
  continueAsking(Now, Out);
  if (!HeldFlows.empty())
    releaseHeld(Now, Out);
  return Out;
}

SteeringActions FlowSteering::refuseWaiting() {
  SteeringActions Out;
  std::vector<packet::FlowKey> Waiting = std::exchange(HeldFlows, {});
  const auto Asking = std::exchange(AskingFlows, {});
  Waiting.insert(Waiting.end(), Asking.begin(), Asking.end());
  for (const auto &Key : Waiting) {
    const auto Found = Flows.find(Key);
    if (Found == Flows.end() || Found->second.Open == nullptr ||
        !(Found->second.Open->Held || Found->second.Open->Asking))
      continue;
    // An agent that still has the packet may answer.
    if (Found->second.Open->Waiting)
      continue;
    refuse(Key, SteeringReason::Overloaded, Out);
    Flows.erase(Found);
  }
  return Out;
}

SteeringActions FlowSteering::onTimer(common::TimePoint Now) {
  SteeringActions Out;
  while (!PlacementChecks.empty() && PlacementChecks.front().first <= Now) {
    const packet::FlowKey Key = PlacementChecks.front().second;
    PlacementChecks.pop_front();
    const auto Found = Flows.find(Key);
    if (Found == Flows.end() || Found->second.Open == nullptr)
      continue;
    Flow &Held = Found->second;
    const bool Unanswered = Held.State == Phase::Opening && Held.Open->Waiting &&
                            !Held.Open->Held && Held.Open->Caller.age(Now) < OpenTimeout;
    if (!Unanswered)
      continue;
    Directory.suspect(Held.Open->Tried.back(), Now);
    if (!Held.Open->Asking)
      place(Key, Held, Scope::Candidates, Now, Out);
  }
  DoubtedPackets = 0;
  continueAsking(Now, Out);
  releaseHeld(Now, Out);
  forgetOld(Now);
  Search.onTimer(Now);
  return Out;
}

void FlowSteering::forgetOld(common::TimePoint Now) {
  const auto Old = Sweep.next(Flows, SweepBuckets, [Now](const FlowMap::value_type &Entry) {
    const Flow &Held = Entry.second;
    const common::Duration Unused = Now - Held.UsedAt;
    return (Held.State == Phase::Ended && Unused > EndedRetention) ||
           (Held.State == Phase::Opening && Unused > 2 * OpenTimeout) || Unused > IdleRetention;
  });
  for (const auto &Key : Old)
    Flows.erase(Key);
}

} // namespace galenarelay::relay
