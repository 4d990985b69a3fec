#include "galenarelay/relay/flow_steering.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

namespace galenarelay::relay {

namespace {

/// Buckets of the flow table that one timer call checks for expired flows.
constexpr std::size_t SweepBuckets = 512;

} // namespace

std::string_view name(SteeringReason Reason) noexcept {
  constexpr std::array<std::string_view, SteeringReasonCount> Names{
      "placed",    "placed_again",   "insisted",   "known",        "searched",
      "no_route",  "no_upstream",    "held",       "asked",        "overloaded",
      "not_ready", "search_limited", "table_full", "held_nowhere", "caller_gone"};
  return Names[static_cast<std::size_t>(Reason)];
}

FlowSteering::FlowSteering(NodeAddress Self, UpstreamDirectory &Directory,
                           common::TimePoint StartedAt, policy::Mechanisms InUse)
    : Self(Self), Directory(Directory), StartedAt(StartedAt), InUse(InUse) {
  Search.setPacedByFleetSize(InUse.uses(policy::Mechanism::BroadcastPace));
}

NodeAddress FlowSteering::agentOf(const packet::FlowKey &Key) const {
  const auto It = Flows.find(Key);
  return It == Flows.end() ? 0 : It->second.Agent;
}

Transit FlowSteering::transitTo(std::string_view Service, bool Search, bool Insist) const {
  return {Self, serviceDigest(Service), Search, Insist};
}

SteeringActions FlowSteering::onPacket(const PacketHeader &Head, std::span<const std::uint8_t> Raw,
                                       common::TimePoint Now) {
  SteeringActions Actions;
  const auto It = Flows.find(Head.Key);
  if (Head.opensFlow()) {
    // Retransmissions have the sequence number of the first SYN. A caller that uses its port for
    // another flow chooses a new one; the entry is then that of the earlier flow.
    if (It != Flows.end() && It->second.InitialSequence == Head.Sequence) {
      onRetransmittedSyn(Head, It->second, Now, Actions);
    } else {
      eraseFlow(It);
      onNewSyn(Head, Raw, Now, Actions);
    }
    return Actions;
  }
  if (It == Flows.end()) {
    if (Flows.size() >= MaxSteeredFlows) {
      Actions.push_back({.Reason = SteeringReason::TableFull, .Key = Head.Key});
      return Actions;
    }
    if (Head.Flags.Rst)
      return Actions; // An RST of an unknown flow needs no search: the flow has ended.
    FlowEntry &Entry = Flows[Head.Key];
    Entry.LastUsedAt = Now;
    trackAcknowledgement(Head, Entry);
    addToSearch(Head.Key, Entry, Raw, Now, Actions);
    return Actions;
  }
  FlowEntry &Entry = It->second;
  Entry.LastUsedAt = Now;
  trackAcknowledgement(Head, Entry);
  if (Entry.State == Phase::Searching) {
    addToSearch(Head.Key, Entry, Raw, Now, Actions);
  } else {
    forwardEstablished(Head, Entry, Raw, Now, Actions);
    trackCallerData(Head, Entry, Now, Actions);
  }
  if (Head.Flags.Fin || Head.Flags.Rst)
    setState(Entry, Phase::Ended, Now);
  return Actions;
}

void FlowSteering::onNewSyn(const PacketHeader &Head, std::span<const std::uint8_t> Raw,
                            common::TimePoint Now, SteeringActions &Actions) {
  const Route *MatchedRoute = Routes->find(Head.Key.Service);
  if (MatchedRoute == nullptr) {
    // Routes that may be outdated refuse only a retransmitted SYN: its first transmission has left
    // the time to load newer ones.
    if (Routes->revision() != 0 && (RoutesCurrent || Head.Acknowledgement > 0))
      refuse(Head.Key, SteeringReason::NoRoute, Actions);
    else
      Actions.push_back({.Reason = SteeringReason::NotReady, .Key = Head.Key});
    return;
  }
  if (Flows.size() >= MaxSteeredFlows) {
    Actions.push_back({.Reason = SteeringReason::TableFull, .Key = Head.Key});
    return;
  }
  FlowEntry &Entry = Flows[Head.Key];
  setState(Entry, Phase::Opening, Now);
  Entry.LastUsedAt = Now;
  Entry.InitialSequence = Head.Sequence;
  Entry.Pending = std::make_unique<PendingFlow>();
  Entry.Pending->Service = RouteTable::serviceFor(*MatchedRoute, Head.Key);
  // Callers reuse a flow for idempotent requests, and open a flow for each other request.
  Entry.Pending->Kind = MatchedRoute->Idempotent ? FlowKind::Long : FlowKind::Short;
  Entry.Pending->Packet = std::make_shared<const Bytes>(Raw.begin(), Raw.end());
  // Head.Acknowledgement counts the earlier transmissions of the SYN, which were lost or reached
  // another balancer.
  const std::uint32_t Retransmissions =
      InUse.uses(policy::Mechanism::FirstSynAge) ? Head.Acknowledgement : 0;
  Entry.Pending->ReleaseInput = {Now - policy::retransmissionTime(Retransmissions),
                                 Head.Acknowledgement, MatchedRoute->LatencyObjective,
                                 MatchedRoute->Deadline, MatchedRoute->Priority};
  if (HeldFlows.empty())
    return place(Head.Key, Entry, Scope::Candidates, Now, Actions);
  // Other flows are held already: which one is placed next is decided among all of them.
  Entry.Pending->Held = true;
  HeldFlows.push_back(Head.Key);
  releaseHeld(Now, Actions);
}

// A caller retransmits its SYN if it has seen no answer. An upstream that has accepted the flow
// answers again; without one, the agent that has the SYN is suspected and the SYN goes to another.
void FlowSteering::onRetransmittedSyn(const PacketHeader &Head, FlowEntry &Entry,
                                      common::TimePoint Now, SteeringActions &Actions) {
  Entry.LastUsedAt = Now;
  if (Entry.State != Phase::Opening || Entry.Pending == nullptr) {
    if (Entry.Agent != 0)
      Actions.push_back({.Operation = SteeringAction::Kind::Forward,
                         .Reason = SteeringReason::Known,
                         .Key = Head.Key,
                         .Agent = Entry.Agent,
                         .TransitFields = {Self, Entry.ServiceDigest, false, true}});
    return;
  }
  Entry.Pending->ReleaseInput.Retransmissions =
      std::max(Entry.Pending->ReleaseInput.Retransmissions, Head.Acknowledgement);
  if (Entry.Pending->Held || Entry.Pending->AwaitingLoad) {
    Actions.push_back({.Reason = Entry.Pending->Held ? SteeringReason::Held : SteeringReason::Asked,
                       .Key = Head.Key});
    return;
  }
  if (std::exchange(Entry.Pending->AwaitingAnswer, false) && !Entry.Pending->TriedAgents.empty())
    Directory.suspect(Entry.Pending->TriedAgents.back(), Now);
  place(Head.Key, Entry, Scope::Candidates, Now, Actions);
}

void FlowSteering::place(const packet::FlowKey &Key, FlowEntry &Entry, Scope PlacementScope,
                         common::TimePoint Now, SteeringActions &Actions) {
  PendingFlow &Pending = *Entry.Pending;
  if (!followRoute(Key, Pending)) {
    refuse(Key, SteeringReason::NoRoute, Actions);
    Flows.erase(Key);
    return;
  }
  std::optional<NodeAddress> Chosen = chooseNext(Key, Pending, PlacementScope, Now, Actions);
  if (Pending.AwaitingLoad)
    return;
  // Without another agent, keep waiting for the one that has the SYN.
  if (!Chosen && Pending.AwaitingAnswer)
    return;
  // If all candidates are busy, the least busy one has to queue the flow's requests.
  bool Insist = Chosen && PlacementScope == Scope::Candidates && Directory.isBusy(*Chosen, Now);
  if (!Chosen) {
    Chosen = takeLeastBusy(Pending, Now);
    Insist = true;
  }
  const bool ViewSettled = Now - StartedAt >= ViewSettleTime;
  if (!Chosen && (!ViewSettled || Pending.MetFullAgent ||
                  Directory.hasFullAgent(Pending.Service, Pending.TriedAgents, Now))) {
    hold(Key, Entry, Now, Actions);
    return;
  }
  if (!Chosen) {
    refuse(Key, SteeringReason::NoUpstream, Actions);
    Flows.erase(Key);
    return;
  }
  sendTo(*Chosen, Insist, Key, Entry, Now, Actions);
}

// The configuration may change while a flow waits or between the transmissions of its SYN.
bool FlowSteering::followRoute(const packet::FlowKey &Key, PendingFlow &Pending) const {
  const Route *MatchedRoute = Routes->find(Key.Service);
  if (MatchedRoute == nullptr)
    return false;
  const std::string &Service = RouteTable::serviceFor(*MatchedRoute, Key);
  if (Pending.Service == Service)
    return true;
  Pending.Service = Service;
  Pending.Candidates.clear();
  Pending.ConsideredCount = NearCandidates;
  Pending.TriedAgents.clear();
  Pending.BusyAgents.clear();
  Pending.AwaitingAnswer = false;
  Pending.MetFullAgent = false;
  return true;
}

// Compares the flow's first candidates by their current load. Further candidates are considered
// only if all the earlier ones are busy, so that a search that queries the first candidates finds
// most flows.
std::optional<NodeAddress> FlowSteering::chooseNext(const packet::FlowKey &Key,
                                                    PendingFlow &Pending, Scope PlacementScope,
                                                    common::TimePoint Now,
                                                    SteeringActions &Actions) {
  if (Pending.TriedAgents.size() >= MaxPlacements || Pending.BusyAgents.size() > MaxBusyDeclines)
    return std::nullopt;
  if (PlacementScope == Scope::Service)
    return Directory.choose(Pending.Service, Pending.Kind, Pending.TriedAgents, Now);
  if (Pending.Candidates.empty())
    Pending.Candidates = Directory.placementCandidates(Pending.Service, Key);
  while (true) {
    if (queryConsidered(Key, Pending, Now, Actions)) {
      Pending.AwaitingLoad = true;
      LoadQueryFlows.push_back(Key);
      return std::nullopt;
    }
    const auto ConsideredAgents =
        std::span(Pending.Candidates)
            .first(std::min(Pending.ConsideredCount, Pending.Candidates.size()));
    const auto Best =
        Directory.chooseAmong(ConsideredAgents, Pending.Kind, Pending.TriedAgents, Now);
    const bool HasFreeSlot = Best && !Directory.isBusy(*Best, Now);
    if (HasFreeSlot || ConsideredAgents.size() == Pending.Candidates.size())
      return Best;
    Pending.ConsideredCount += NearCandidates;
  }
}

bool FlowSteering::queryConsidered(const packet::FlowKey &Key, const PendingFlow &Pending,
                                   common::TimePoint Now, SteeringActions &Actions) {
  bool AnswerPending = false;
  for (std::size_t I = 0; I < std::min(Pending.ConsideredCount, Pending.Candidates.size()); ++I) {
    const NodeAddress Agent = Pending.Candidates[I];
    if (std::find(Pending.TriedAgents.begin(), Pending.TriedAgents.end(), Agent) !=
        Pending.TriedAgents.end())
      continue;
    if (InUse.uses(policy::Mechanism::LoadQueries) && Directory.needsLoadQuery(Agent, Now))
      queryLoad(Agent, Key, Now, Actions);
    AnswerPending = AnswerPending || Directory.awaitsLoadAnswer(Agent, Now);
  }
  return AnswerPending;
}

void FlowSteering::queryLoad(NodeAddress Agent, const packet::FlowKey &Key, common::TimePoint Now,
                             SteeringActions &Actions) {
  Directory.noteQuery(Agent, Now);
  Actions.push_back({.Operation = SteeringAction::Kind::QueryLoad,
                     .Reason = SteeringReason::Asked,
                     .Key = Key,
                     .Agent = Agent});
}

void FlowSteering::placeAfterLoadAnswers(common::TimePoint Now, SteeringActions &Actions) {
  for (const auto &Key : std::exchange(LoadQueryFlows, {})) {
    const auto It = Flows.find(Key);
    if (It == Flows.end() || It->second.Pending == nullptr || !It->second.Pending->AwaitingLoad)
      continue;
    It->second.Pending->AwaitingLoad = false;
    place(Key, It->second, Scope::Candidates, Now, Actions);
  }
}

void FlowSteering::sendTo(NodeAddress Agent, bool Insist, const packet::FlowKey &Key,
                          FlowEntry &Entry, common::TimePoint Now, SteeringActions &Actions) {
  PendingFlow &Pending = *Entry.Pending;
  const SteeringReason Reason = Insist                        ? SteeringReason::Insisted
                                : Pending.TriedAgents.empty() ? SteeringReason::Placed
                                                              : SteeringReason::PlacedAgain;
  Pending.TriedAgents.push_back(Agent);
  Pending.AwaitingAnswer = true;
  Entry.Agent = Agent;
  Directory.notePlacement(Agent, Pending.Kind, Now);
  Pending.Placement = ++LastPlacement;
  PlacementChecks.push_back(
      {Now + Directory.answerTimeout(PlacementTimeout), Key, Pending.Placement});
  Transit Fields = transitTo(Pending.Service, false, Insist);
  Entry.ServiceDigest = Fields.ServiceDigest;
  Fields.Long = Pending.Kind == FlowKind::Long;
  Fields.OthersWait = Pending.OthersWait && InUse.uses(policy::Mechanism::SlotNotices);
  Actions.push_back({.Operation = SteeringAction::Kind::Forward,
                     .Reason = Reason,
                     .Key = Key,
                     .Agent = Agent,
                     .TransitFields = Fields,
                     .Attempt = static_cast<std::uint8_t>(Pending.TriedAgents.size()),
                     .SavedPacket = Pending.Packet});
}

std::optional<NodeAddress> FlowSteering::takeLeastBusy(PendingFlow &Pending,
                                                       common::TimePoint Now) const {
  std::erase_if(Pending.BusyAgents, [&](NodeAddress Agent) {
    return Directory.isFull(Agent, Now) || Directory.isEvacuated(Agent);
  });
  const auto Load = [this](NodeAddress Agent) {
    const AgentView *View = Directory.find(Agent);
    return View != nullptr ? View->Load.Unanswered : UINT32_MAX;
  };
  const auto Least =
      std::min_element(Pending.BusyAgents.begin(), Pending.BusyAgents.end(),
                       [&](NodeAddress A, NodeAddress B) { return Load(A) < Load(B); });
  if (Least == Pending.BusyAgents.end())
    return std::nullopt;
  const NodeAddress Chosen = *Least;
  Pending.BusyAgents.erase(Least);
  return Chosen;
}

void FlowSteering::hold(const packet::FlowKey &Key, FlowEntry &Entry, common::TimePoint Now,
                        SteeringActions &Actions) {
  if (HeldFlows.size() >= MaxHeldFlows || policy::expired(Entry.Pending->ReleaseInput, Now) ||
      !InUse.uses(policy::Mechanism::Holding)) {
    refuseWaitingFlow(Key, Now, Actions);
    return;
  }
  Entry.Agent = 0;
  Entry.Pending->AwaitingAnswer = false;
  Entry.Pending->MetFullAgent = false;
  Entry.Pending->TriedAgents.clear();
  Entry.Pending->BusyAgents.clear();
  enqueueHeld(Key, Entry, Actions);
}

void FlowSteering::releaseHeld(common::TimePoint Now, SteeringActions &Actions) {
  using policy::Mechanism;
  if (InUse.uses(Mechanism::ReleaseOrder))
    releaseInOrder(policy::UrgentAndFreshFirst{InUse.uses(Mechanism::GoneCallersLast)}, Now,
                   Actions);
  else
    releaseInOrder(policy::OldestFirst{}, Now, Actions);
}

template <policy::ReleaseOrder Order>
void FlowSteering::releaseInOrder(const Order &Policy, common::TimePoint Now,
                                  SteeringActions &Actions) {
  struct RankedFlow {
    policy::ReleaseRank Rank;
    packet::FlowKey Key;
  };
  std::vector<RankedFlow> Waiting;
  Waiting.reserve(HeldFlows.size());
  for (const auto &Key : HeldFlows)
    if (const FlowEntry *Entry = heldFlow(Key))
      Waiting.push_back({Policy.rank(Entry->Pending->ReleaseInput, Now), Key});
  HeldFlows.clear();
  std::map<std::string, std::size_t> Remaining;
  for (const auto &Ranked : Waiting)
    ++Remaining[heldFlow(Ranked.Key)->Pending->Service];
  std::sort(Waiting.begin(), Waiting.end(),
            [](const RankedFlow &A, const RankedFlow &B) { return A.Rank < B.Rank; });
  std::map<std::string, std::size_t> StillWaiting; // Flows per service that stay held.
  std::set<std::string> FullServices; // Services without an agent that could take another flow now.
  for (const auto &[Rank, Key] : Waiting) {
    FlowEntry *Entry = heldFlow(Key);
    // A key is listed twice if its caller has reused it.
    if (Entry == nullptr)
      continue;
    const std::string Service = Entry->Pending->Service;
    Entry->Pending->OthersWait = --Remaining[Service] > 0;
    const double ReleasesPerSecond =
        InUse.uses(policy::Mechanism::PredictedWait) ? Releases[Service].perSecond(Now) : 0;
    if (policy::expired(Entry->Pending->ReleaseInput, Now) ||
        policy::wouldExpire(Entry->Pending->ReleaseInput, StillWaiting[Service], ReleasesPerSecond,
                            Now)) {
      refuseWaitingFlow(Key, Now, Actions);
      continue;
    }
    if (FullServices.contains(Service)) {
      ++StillWaiting[Service];
      enqueueHeld(Key, *Entry, Actions);
      continue;
    }
    Entry->Pending->Held = false;
    place(Key, *Entry, Scope::Service, Now, Actions);
    if (heldFlow(Key) != nullptr) {
      ++StillWaiting[Service];
      FullServices.insert(Service);
    } else {
      Releases[Service].note(Now);
    }
  }
}

// A caller that doesn't retransmit its SYN here any more may have opened the flow through another
// balancer: a reset would then strike an open flow.
void FlowSteering::refuseWaitingFlow(const packet::FlowKey &Key, common::TimePoint Now,
                                     SteeringActions &Actions) {
  const auto It = Flows.find(Key);
  if (It->second.Pending->ReleaseInput.callerProbablyGone(Now))
    Actions.push_back({.Reason = SteeringReason::CallerGone, .Key = Key});
  else
    refuse(Key, SteeringReason::Overloaded, Actions);
  Flows.erase(It);
}

void FlowSteering::enqueueHeld(const packet::FlowKey &Key, FlowEntry &Entry,
                               SteeringActions &Actions) {
  Entry.Pending->Held = true;
  HeldFlows.push_back(Key);
  if (!std::exchange(Entry.Pending->WasHeld, true))
    Actions.push_back({.Reason = SteeringReason::Held, .Key = Key});
}

FlowSteering::FlowEntry *FlowSteering::heldFlow(const packet::FlowKey &Key) {
  const auto It = Flows.find(Key);
  const bool IsHeld =
      It != Flows.end() && It->second.Pending != nullptr && It->second.Pending->Held;
  return IsHeld ? &It->second : nullptr;
}

void FlowSteering::forwardKnown(const packet::FlowKey &Key, const FlowEntry &Entry,
                                SteeringActions &Actions,
                                std::shared_ptr<const Bytes> Saved) const {
  Actions.push_back({.Operation = SteeringAction::Kind::Forward,
                     .Reason = SteeringReason::Known,
                     .Key = Key,
                     .Agent = Entry.Agent,
                     .TransitFields = transitTo("", false, false),
                     .SavedPacket = std::move(Saved)});
}

void FlowSteering::forwardSearch(const packet::FlowKey &Key, NodeAddress Agent,
                                 SteeringActions &Actions,
                                 std::shared_ptr<const Bytes> Saved) const {
  Actions.push_back({.Operation = SteeringAction::Kind::Forward,
                     .Reason = SteeringReason::Searched,
                     .Key = Key,
                     .Agent = Agent,
                     .TransitFields = transitTo("", true, false),
                     .SavedPacket = std::move(Saved)});
}

void FlowSteering::refuse(const packet::FlowKey &Key, SteeringReason Reason,
                          SteeringActions &Actions) {
  Actions.push_back({.Operation = SteeringAction::Kind::Reset, .Reason = Reason, .Key = Key});
}

void FlowSteering::trackAcknowledgement(const PacketHeader &Head, FlowEntry &Entry) {
  if (!Head.Flags.Ack)
    return;
  Entry.HasAcknowledgement = true;
  Entry.Acknowledgement = Head.Acknowledgement;
}

// A caller retransmits data that its upstream has not acknowledged. Responses bypass this node, so
// that a retransmission is its only sign of an agent that doesn't run.
void FlowSteering::trackCallerData(const PacketHeader &Head, FlowEntry &Entry,
                                   common::TimePoint Now, SteeringActions &Actions) {
  if (Head.PayloadBytes == 0 || Entry.Agent == 0)
    return;
  const std::uint32_t End = Head.Sequence + Head.PayloadBytes;
  const bool Repeated = Entry.HasData && !sequenceBefore(Entry.DataEnd, End);
  if (!Repeated) {
    Entry.HasData = true;
    Entry.DataEnd = End;
    return;
  }
  const AgentView *View = Directory.find(Entry.Agent);
  if (View != nullptr && Now - View->HeardAt > RetransmissionDoubt &&
      Directory.needsLoadQuery(Entry.Agent, Now))
    queryLoad(Entry.Agent, Head.Key, Now, Actions);
}

void FlowSteering::forwardEstablished(const PacketHeader &Head, FlowEntry &Entry,
                                      std::span<const std::uint8_t> Raw, common::TimePoint Now,
                                      SteeringActions &Actions) {
  if (Entry.State == Phase::Opening && Entry.Pending != nullptr &&
      Entry.Pending->TriedAgents.size() > 1) {
    // Several upstreams may have accepted the flow; the caller's packet answers one of them, or one
    // that another balancer chose. Further packets wait in a search until an agent claims the flow.
    if (std::exchange(Entry.Pending->SentToTriedAgents, true))
      return addToSearch(Head.Key, Entry, Raw, Now, Actions);
    for (const NodeAddress Agent : Entry.Pending->TriedAgents)
      forwardSearch(Head.Key, Agent, Actions);
    return;
  }
  if (Entry.Agent == 0) {
    addToSearch(Head.Key, Entry, Raw, Now, Actions);
    return;
  }
  // Only one upstream has received the SYN, and the caller has answered its SYN-ACK.
  if (Entry.State == Phase::Opening) {
    Entry.Pending.reset();
    setState(Entry, Phase::Open, Now);
  }
  forwardKnown(Head.Key, Entry, Actions);
}

void FlowSteering::addToSearch(const packet::FlowKey &Key, FlowEntry &Entry,
                               std::span<const std::uint8_t> Raw, common::TimePoint Now,
                               SteeringActions &Actions) {
  Entry.Agent = 0;
  Entry.Pending.reset();
  if (Entry.State != Phase::Searching)
    setState(Entry, Phase::Searching, Now);
  const bool Stored = Search.add(Key, Entry.Acknowledgement, Raw, Now);
  Actions.push_back(
      {.Reason = Stored ? SteeringReason::Searched : SteeringReason::SearchLimited, .Key = Key});
}

std::vector<NodeAddress> FlowSteering::candidatesOf(const packet::FlowKey &Key) const {
  const Route *MatchedRoute = Routes->find(Key.Service);
  // Open flows need no configuration: they are also found if all processes restart while the store
  // is unreachable.
  if (MatchedRoute == nullptr)
    return Routes->revision() == 0 ? Directory.candidatesOfAll(Key) : std::vector<NodeAddress>{};
  return Directory.candidates(RouteTable::serviceFor(*MatchedRoute, Key), Key);
}

// The last stage of a search queries all agents, including those of other services: the route may
// have changed while the flow was open.
FlowSearch::Questions FlowSteering::takeFlowQueries(common::TimePoint Now,
                                                    SteeringActions &Actions) {
  Search.setMayBroadcast(agentsKnown(Now));
  auto Queries = Search.takeCandidateQueries(
      [this](const packet::FlowKey &Key) { return candidatesOf(Key); }, Now);
  if (Search.broadcastDue(Now)) {
    auto Holders = Directory.reportingHolders(Now);
    const auto Expected = Directory.expectedHolders(Now);
    Holders.insert(Holders.end(), Expected.begin(), Expected.end());
    FlowSearch::Outcome Result;
    for (auto &BroadcastQuery : Search.takeBroadcastQueries(Holders, Now, Result))
      Queries.push_back(std::move(BroadcastQuery));
    for (const auto &Key : Result.DeniedByAll)
      resetIfDeniedByAll(Key, Now, Actions);
  }
  for (const auto &Query : Queries)
    Directory.noteQuery(Query.Agent, Now);
  return Queries;
}

SteeringActions FlowSteering::onAnswer(const FlowAnswer &Answer, NodeAddress From,
                                       common::TimePoint Now) {
  SteeringActions Actions;
  Directory.onHeard(From, Now);
  const auto Result = Search.onAnswer(Answer, From);
  for (const auto &Key : Result.HeldByAgent) {
    const auto NoticeActions = onFlowNotice({Key, {}}, From, Now);
    Actions.insert(Actions.end(), NoticeActions.begin(), NoticeActions.end());
  }
  for (const auto &Key : Result.Unsure) {
    if (UnsurePackets >= MaxUnsurePackets)
      break;
    if (auto Packet = Search.oldestPacket(Key)) {
      ++UnsurePackets;
      forwardSearch(Key, From, Actions, std::move(Packet));
    }
  }
  for (const auto &Key : Result.DeniedByAll)
    resetIfDeniedByAll(Key, Now, Actions);
  return Actions;
}

/// Forwards the waiting packets of a flow to the agent that a search has found.
void FlowSteering::finishSearch(const packet::FlowKey &Key, FlowEntry &Entry,
                                SteeringActions &Actions) {
  for (auto &Packet : Search.finish(Key))
    forwardKnown(Key, Entry, Actions, std::move(Packet));
}

// Right after a start, agents may exist that no node has named yet. If all known upstreams have
// started at the same time, the upstream of such an agent holds no earlier flows either.
bool FlowSteering::agentsKnown(common::TimePoint Now) const {
  if (Now - StartedAt >= ViewSettleTime)
    return true;
  return AgentsListedAt &&
         (Now - *AgentsListedAt >= AgentListSettleTime ||
          (InUse.uses(policy::Mechanism::CommonStart) && Directory.upstreamsStartedTogether(Now)));
}

SteeringActions FlowSteering::onAbsence(const FlowAbsence &Absence, NodeAddress From,
                                        common::TimePoint Now) {
  SteeringActions Actions;
  Directory.onHeard(From, Now);
  if (Search.onAbsence(Absence.Key, From))
    resetIfDeniedByAll(Absence.Key, Now, Actions);
  return Actions;
}

void FlowSteering::resetIfDeniedByAll(const packet::FlowKey &Key, common::TimePoint Now,
                                      SteeringActions &Actions) {
  const auto It = Flows.find(Key);
  if (It == Flows.end() || It->second.State != Phase::Searching || !It->second.HasAcknowledgement ||
      !agentsKnown(Now))
    return;
  // As in onAgentLost, an upstream that still runs may have the response of an order ready.
  if (!isIdempotent(Key) && Directory.hasRecentlyLostAgent(Now))
    return;
  // Other balancers may know agents that this one has missed.
  const auto ConfirmedSince = std::max(Search.progress(Key).StartedAt, Now - ConfirmationValidity);
  if (SurveyPossible && HoldersConfirmedAt < ConfirmedSince) {
    DenialUnconfirmed = true;
    return;
  }
  Actions.push_back({.Operation = SteeringAction::Kind::Reset,
                     .Reason = SteeringReason::HeldNowhere,
                     .Key = Key,
                     .Sequence = It->second.Acknowledgement,
                     .SearchProgress = Search.progress(Key)});
  (void)Search.finish(Key); // The flow of the waiting packets has ended.
  Flows.erase(It);
}

void FlowSteering::onHoldersConfirmed(common::TimePoint At) {
  HoldersConfirmedAt = At;
  DenialUnconfirmed = false;
  Search.repeatDeniedBroadcasts();
}

bool FlowSteering::isIdempotent(const packet::FlowKey &Key) const noexcept {
  const Route *MatchedRoute = Routes->find(Key.Service);
  return MatchedRoute != nullptr && MatchedRoute->Idempotent;
}

// The flow may be open at another upstream that accepted an earlier SYN of its caller.
void FlowSteering::onAgentLost(NodeAddress Agent, common::TimePoint Now) {
  if (!InUse.uses(policy::Mechanism::LossReset))
    return;
  for (auto &[Key, Entry] : Flows) {
    if (Entry.Agent != Agent || Entry.State != Phase::Open || !Entry.HasAcknowledgement ||
        !isIdempotent(Key))
      continue;
    Entry.Agent = 0;
    setState(Entry, Phase::Searching, Now);
    Search.begin(Key, Entry.Acknowledgement, Now);
  }
}

SteeringActions FlowSteering::onReturned(const PacketHeader &Head, const ReturnedPacket &Returned,
                                         NodeAddress From, common::TimePoint Now) {
  SteeringActions Actions;
  Directory.onLoad(From, Returned.Load, Now);
  const auto It = Flows.find(Head.Key);
  if (Head.opensFlow()) {
    // Another upstream has accepted the flow, its entry has expired, or its port is used again.
    if (It == Flows.end() || It->second.State != Phase::Opening || It->second.Pending == nullptr ||
        It->second.InitialSequence != Head.Sequence)
      return Actions;
    PendingFlow &Pending = *It->second.Pending;
    Directory.undoPlacement(From, Pending.Kind);
    if (Returned.Reason == ReturnReason::Unanswered)
      Directory.suspect(From, Now);
    if (Returned.Reason == ReturnReason::Busy)
      Pending.BusyAgents.push_back(From);
    if (Returned.Reason == ReturnReason::Busy || Returned.Reason == ReturnReason::Full)
      Pending.MetFullAgent = true;
    if (!Pending.TriedAgents.empty() && Pending.TriedAgents.back() != From)
      return Actions; // The SYN has already been sent to a later agent.
    Pending.AwaitingAnswer = false;
    if (!Pending.AwaitingLoad)
      place(Head.Key, It->second, Scope::Candidates, Now, Actions);
    return Actions;
  }
  FlowEntry &Entry = It == Flows.end() ? Flows[Head.Key] : It->second;
  Entry.LastUsedAt = Now;
  const bool FoundElsewhere = Entry.Agent != 0 && Entry.Agent != From;
  if (FoundElsewhere || Entry.SecondAgent != 0) {
    if (!FoundElsewhere)
      Entry.Agent = std::exchange(Entry.SecondAgent, 0);
    forwardKnown(Head.Key, Entry, Actions, std::make_shared<const Bytes>(Returned.Packet));
    return Actions;
  }
  if (Entry.State == Phase::Ended)
    return Actions;
  trackAcknowledgement(Head, Entry);
  addToSearch(Head.Key, Entry, Returned.Packet, Now, Actions);
  return Actions;
}

SteeringActions FlowSteering::onFlowNotice(const FlowNotice &Notice, NodeAddress From,
                                           common::TimePoint Now) {
  SteeringActions Actions;
  if (Flows.size() >= MaxSteeredFlows && !Flows.contains(Notice.Key))
    return Actions;
  FlowEntry &Entry = Flows[Notice.Key];
  if (Entry.State == Phase::Open && Entry.Agent != From && Entry.Agent != 0) {
    Entry.SecondAgent = From;
    return Actions;
  }
  const bool NewlyOpen = Entry.State != Phase::Open;
  if (Entry.Pending != nullptr && OpeningTimes.size() < MaxOpeningTimes)
    OpeningTimes.push_back(Entry.Pending->ReleaseInput.age(Now));
  Entry.Agent = From;
  Entry.Pending.reset();
  Entry.LastUsedAt = Now;
  if (NewlyOpen && Entry.State != Phase::Ended)
    setState(Entry, Phase::Open, Now);
  finishSearch(Notice.Key, Entry, Actions);
  return Actions;
}

SteeringActions FlowSteering::onLoadReported(common::TimePoint Now) {
  SteeringActions Actions;
  placeAfterLoadAnswers(Now, Actions);
  if (!HeldFlows.empty())
    releaseHeld(Now, Actions);
  return Actions;
}

SteeringActions FlowSteering::refuseWaiting() {
  SteeringActions Actions;
  std::vector<packet::FlowKey> WaitingKeys = std::exchange(HeldFlows, {});
  const auto LoadQueryKeys = std::exchange(LoadQueryFlows, {});
  WaitingKeys.insert(WaitingKeys.end(), LoadQueryKeys.begin(), LoadQueryKeys.end());
  for (const auto &Key : WaitingKeys) {
    const auto It = Flows.find(Key);
    if (It == Flows.end() || It->second.Pending == nullptr ||
        !(It->second.Pending->Held || It->second.Pending->AwaitingLoad))
      continue;
    // An agent that still has the SYN may answer.
    if (It->second.Pending->AwaitingAnswer)
      continue;
    refuse(Key, SteeringReason::Overloaded, Actions);
    Flows.erase(It);
  }
  return Actions;
}

SteeringActions FlowSteering::onTimer(common::TimePoint Now) {
  SteeringActions Actions;
  while (!PlacementChecks.empty() && PlacementChecks.front().At <= Now) {
    const auto [At, Key, Placement] = PlacementChecks.front();
    PlacementChecks.pop_front();
    const auto It = Flows.find(Key);
    if (It == Flows.end() || It->second.Pending == nullptr ||
        It->second.Pending->Placement != Placement)
      continue;
    FlowEntry &Entry = It->second;
    const bool Unanswered = Entry.State == Phase::Opening && Entry.Pending->AwaitingAnswer &&
                            !Entry.Pending->Held &&
                            Entry.Pending->ReleaseInput.age(Now) < CallerConnectTimeout;
    if (!Unanswered)
      continue;
    Directory.suspect(Entry.Pending->TriedAgents.back(), Now);
    if (!Entry.Pending->AwaitingLoad)
      place(Key, Entry, Scope::Candidates, Now, Actions);
  }
  UnsurePackets = 0;
  placeAfterLoadAnswers(Now, Actions);
  releaseHeld(Now, Actions);
  expireFlows(Now);
  Search.onTimer(Now);
  return Actions;
}

void FlowSteering::eraseFlow(FlowMap::iterator Position) {
  if (Position == Flows.end())
    return;
  const packet::FlowKey Key = Position->first;
  if (Position->second.State == Phase::Searching)
    (void)Search.finish(Key); // Its packets are late ones of the ended flow.
  if (Position->second.Pending != nullptr) {
    std::erase(HeldFlows, Key);
    std::erase(LoadQueryFlows, Key);
  }
  Flows.erase(Position);
}

void FlowSteering::expireFlows(common::TimePoint Now) {
  const auto Old = Sweep.next(Flows, SweepBuckets, [Now](const FlowMap::value_type &KeyAndEntry) {
    const FlowEntry &Entry = KeyAndEntry.second;
    const common::Duration Unused = Now - Entry.LastUsedAt;
    return (Entry.State == Phase::Ended && Unused > EndedRetention) ||
           (Entry.State == Phase::Opening && Unused > 2 * CallerConnectTimeout) ||
           Unused > IdleRetention;
  });
  for (const auto &Key : Old)
    Flows.erase(Key);
}

} // namespace galenarelay::relay
