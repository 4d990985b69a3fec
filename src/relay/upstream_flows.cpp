#include "galenarelay/relay/upstream_flows.h"

#include <algorithm>
#include <array>
#include <utility>

namespace galenarelay::relay {

namespace {

/// Buckets of the flow table that one timer call checks for expired flows.
constexpr std::size_t SweepBuckets = 256;
/// An upstream that has sent nothing for this many heartbeat intervals has ended: it would have
/// sent two heartbeats in this time.
constexpr double GoneIntervals = 2.5;
/// Heartbeat intervals after its start for which an agent without a heartbeat relies on its
/// settings. A live upstream sends one within the first interval; after this time it has ended.
constexpr double UnheardIntervals = 1.4;
/// Maximum distance of a caller's acknowledgement from the end of the upstream's data in a flow
/// whose opening this process has not seen. An upstream has at most a quarter of it in flight.
constexpr std::uint32_t AdoptedWindow = 76'800;

} // namespace

std::string_view name(FlowEvent Event) noexcept {
  constexpr std::array<std::string_view, FlowEventCount> Names{
      "open_offered", "open_declined",    "accepted", "delivered", "doubted",       "not_held",
      "room_again",   "lost_by_upstream", "adopted",  "to_caller", "zone_evacuated"};
  return Names[static_cast<std::size_t>(Event)];
}

UpstreamFlows::UpstreamFlows(std::string SettingsService, common::Duration HeartbeatInterval,
                             common::TimePoint StartedAt, policy::Mechanisms InUse)
    : HeartbeatInterval(HeartbeatInterval), InUse(InUse),
      Upstream(std::move(SettingsService), HeartbeatInterval), LastSignAt(StartedAt),
      ListeningSince(StartedAt) {}

HeartbeatEffect UpstreamFlows::onHeartbeat(const Heartbeat &Received, common::TimePoint Now) {
  const bool EndedBefore = upstreamEnded(Now);
  const auto Effect = Upstream.onHeartbeat(Received, Now);
  // A heartbeat without effect may still be that of the running upstream, whose flows must stay.
  LastSignAt = Now;
  if (EndedBefore)
    TableComplete = false; // The upstream may still hold flows that were closed here.
  if (Effect == HeartbeatEffect::Outdated || Effect == HeartbeatEffect::Unproven) {
    // Without an earlier heartbeat, the settings and this one disagree about the service.
    SettingsValid = SettingsValid && Upstream.known();
    return Effect;
  }
  Unresponsive = false;
  // The time since this process started proves nothing: heartbeats of an upstream that was
  // suspended or couldn't send them have lower sequence numbers than its age suggests.
  if (Effect == HeartbeatEffect::NewIncarnation)
    TableComplete = Upstream.startSeen();
  return Effect;
}

bool UpstreamFlows::onDeparture(const Departure &Received, common::TimePoint Now) {
  const bool DepartedBefore = Upstream.departed();
  const bool Known = Upstream.onDeparture(Received);
  if (Upstream.departed() && !DepartedBefore)
    DepartedAt = Now;
  return Known;
}

UpstreamState UpstreamFlows::state(common::TimePoint Now) const {
  if (upstreamEnded(Now))
    return UpstreamState::Ended;
  if (Stopping)
    return UpstreamState::Stopping;
  if (Upstream.leaving())
    return UpstreamState::Draining;
  if (Unresponsive)
    return UpstreamState::Silent;
  if (Upstream.fresh(Now))
    return UpstreamState::Ready;
  return Upstream.known() || !SettingsValid ? UpstreamState::Silent : UpstreamState::Unknown;
}

FlowActions UpstreamFlows::onBalancerPacket(const PacketHeader &Head, const Transit &Fields,
                                            std::span<const std::uint8_t> Raw, NodeAddress Balancer,
                                            common::TimePoint Now) {
  FlowActions Actions;
  if (Head.opensFlow()) {
    onSyn(Head, Fields, Raw, Balancer, Now, Actions);
    return Actions;
  }
  const auto It = Flows.find(Head.Key);
  const bool Matched = It != Flows.end() && matches(Head, It->second);
  if (!Matched) {
    if (It != Flows.end() || TableComplete) {
      Actions.push_back(
          {.Operation = Fields.Search ? FlowAction::Kind::Deny : FlowAction::Kind::Return,
           .Event = FlowEvent::NotHeld,
           .Key = Head.Key,
           .Balancer = Balancer,
           .Reason = ReturnReason::NotHeld});
      return Actions;
    }
    Flow &NewEntry = Flows[Head.Key];
    NewEntry.Balancer = Balancer;
    NewEntry.Searched = Fields.Search;
    NewEntry.LastPacketAt = Now;
    saveUnlessSearched(NewEntry, Raw);
    noteCallerData(Head, NewEntry, Now);
    Actions.push_back(
        {.Operation = FlowAction::Kind::Deliver, .Event = FlowEvent::Doubted, .Key = Head.Key});
    return Actions;
  }
  Flow &Entry = It->second;
  Entry.LastPacketAt = Now;
  // Notifies a balancer that searches for the flow or has taken it over from another one.
  if (Entry.State != Phase::Unconfirmed && (Fields.Search || Entry.Balancer != Balancer))
    Actions.push_back({.Operation = FlowAction::Kind::Notify,
                       .Event = FlowEvent::Delivered,
                       .Key = Head.Key,
                       .Balancer = Balancer});
  Entry.Balancer = Balancer;
  Entry.Searched = Fields.Search;
  if (Entry.State == Phase::Unconfirmed)
    saveUnlessSearched(Entry, Raw);
  noteCallerData(Head, Entry, Now);
  if (Head.Flags.Rst) {
    close(Entry);
  } else if (Head.Flags.Fin) {
    Entry.CallerFinSeen = true;
    unmarkLong(Entry);
    if (Entry.UpstreamFinSeen)
      close(Entry);
  }
  Actions.push_back(
      {.Operation = FlowAction::Kind::Deliver, .Event = FlowEvent::Delivered, .Key = Head.Key});
  return Actions;
}

// A balancer that searches for a flow has kept its packet.
void UpstreamFlows::saveUnlessSearched(Flow &Entry, std::span<const std::uint8_t> Raw) {
  if (!Entry.Searched && !Entry.SavedPacket)
    Entry.SavedPacket = std::make_shared<const Bytes>(Raw.begin(), Raw.end());
}

FlowAnswer UpstreamFlows::onQuery(const FlowQuery &Query, common::TimePoint Now) const {
  FlowAnswer Answer{Query.Id, {}, {}};
  // An upstream that has ended holds no flows.
  if (upstreamEnded(Now))
    return Answer;
  const std::size_t Count = std::min(Query.Rows.size(), MaxQueriedFlows);
  for (std::size_t I = 0; I < Count; ++I) {
    PacketHeader CallerHead;
    CallerHead.Flags.Ack = true;
    CallerHead.Acknowledgement = Query.Rows[I].Acknowledgement;
    const auto It = Flows.find(Query.Rows[I].Key);
    const bool Known = It != Flows.end() && It->second.State != Phase::Unconfirmed;
    if (Known && matches(CallerHead, It->second))
      Answer.Held.push_back(static_cast<std::uint8_t>(I));
    else if (!Known && !TableComplete)
      Answer.Unsure.push_back(static_cast<std::uint8_t>(I));
  }
  return Answer;
}

LoadAnswer UpstreamFlows::onLoadQuery(const LoadQuery &Query, NodeAddress Balancer,
                                      common::TimePoint Now) {
  if (full())
    addWaitingBalancer(Balancer);
  return {state(Now), load(), Query.Stamp};
}

bool UpstreamFlows::upstreamEnded(common::TimePoint Now) const {
  const double Intervals = Upstream.known() ? GoneIntervals : UnheardIntervals;
  const auto Silence = std::chrono::duration_cast<common::Duration>(HeartbeatInterval * Intervals);
  // While this process was suspended, signs of the upstream may have waited.
  const auto ListenedUntil = LastTimerAt ? std::min(Now, *LastTimerAt + SuspensionThreshold) : Now;
  const bool Departed = Upstream.departed() && Now - DepartedAt >= DepartureGrace;
  return Departed || ListenedUntil - std::max(LastSignAt, ListeningSince) > Silence;
}

std::optional<ReturnReason> UpstreamFlows::declineReason(const Transit &Fields,
                                                         common::TimePoint Now) {
  if (Fields.ServiceDigest != serviceDigest(Upstream.service()))
    return ReturnReason::WrongService;
  const UpstreamState State = state(Now);
  if (State == UpstreamState::Silent)
    return ReturnReason::Unanswered;
  if (State != UpstreamState::Ready && State != UpstreamState::Unknown)
    return ReturnReason::Leaving;
  // Balancers place a flow elsewhere for this reason, also those of earlier versions.
  if (Evacuated)
    return ReturnReason::Leaving;
  if (full() || exceedsColdBound(Now))
    return ReturnReason::Full;
  if (InUse.uses(policy::Mechanism::BusyDecline) && !Fields.Insist && slots() != 0 &&
      Unanswered >= slots())
    return ReturnReason::Busy;
  if (Flows.size() >= MaxUpstreamFlows)
    return ReturnReason::Refused;
  return std::nullopt;
}

// Before its first heartbeat to this process the upstream may have just started.
bool UpstreamFlows::exceedsColdBound(common::TimePoint Now) {
  const bool MayBeCold = !Upstream.known() || Upstream.coldFor(Now) > common::Duration::zero();
  return ColdBound && MayBeCold && !Openings.allows(*ColdBound, Now);
}

std::uint32_t UpstreamFlows::slots() const noexcept {
  return Upstream.last() ? Upstream.last()->Slots : 0;
}

bool UpstreamFlows::full() const noexcept {
  return slots() != 0 && Unanswered >= requestLimit(slots());
}

void UpstreamFlows::addWaitingBalancer(NodeAddress Balancer) {
  if (InUse.uses(policy::Mechanism::SlotNotices) && WaitingBalancers.size() < MaxWaitingBalancers &&
      std::find(WaitingBalancers.begin(), WaitingBalancers.end(), Balancer) ==
          WaitingBalancers.end())
    WaitingBalancers.push_back(Balancer);
}

// Notifies one balancer for each request that ends, in the order in which they were declined. If
// all were notified, they would all send a flow for the same free place.
void UpstreamFlows::notifyWaitingBalancer(FlowActions &Actions) {
  if (WaitingBalancers.empty() || full())
    return;
  Actions.push_back({.Operation = FlowAction::Kind::Report,
                     .Event = FlowEvent::RoomAgain,
                     .Balancer = WaitingBalancers.front()});
  WaitingBalancers.pop_front();
}

void UpstreamFlows::onSyn(const PacketHeader &Head, const Transit &Fields,
                          std::span<const std::uint8_t> Raw, NodeAddress Balancer,
                          common::TimePoint Now, FlowActions &Actions) {
  const auto It = Flows.find(Head.Key);
  const bool Known =
      It != Flows.end() && (It->second.State == Phase::Offered || It->second.State == Phase::Open);
  // Copies of a SYN have its sequence number. A caller that uses a port again chooses another one.
  const bool Repeated = Known && It->second.CallerInitialSequence == Head.Sequence;
  // Only the upstream can tell whether the SYN is that of an adopted flow. Capacity is no reason to
  // decline it, as the flow may be counted already.
  const bool MayBeRepeated = Known && !It->second.CallerInitialSequence;
  if (!Repeated) {
    const auto Reason = declineReason(Fields, Now);
    const bool LacksCapacity = Reason == ReturnReason::Full || Reason == ReturnReason::Busy ||
                               Reason == ReturnReason::Refused;
    if (Reason && !(MayBeRepeated && LacksCapacity)) {
      if (*Reason == ReturnReason::Full)
        addWaitingBalancer(Balancer);
      const bool ByOperator = Evacuated && *Reason == ReturnReason::Leaving;
      Actions.push_back({.Operation = FlowAction::Kind::Return,
                         .Event = ByOperator ? FlowEvent::ZoneEvacuated : FlowEvent::OpenDeclined,
                         .Key = Head.Key,
                         .Balancer = Balancer,
                         .Reason = *Reason});
      return;
    }
    if (It != Flows.end() && !MayBeRepeated)
      eraseFlow(It);
  }
  if (!Repeated)
    Openings.note(Now);
  Flow &Entry = Flows[Head.Key];
  Entry.Balancer = Balancer;
  Entry.LastPacketAt = Now;
  if (!Repeated && !MayBeRepeated) {
    Entry.State = Phase::Offered;
    Entry.CallerInitialSequence = Head.Sequence;
    Entry.HasCallerDataEnd = true;
    Entry.CallerDataEnd = Head.Sequence;
    Entry.SavedPacket = std::make_shared<const Bytes>(Raw.begin(), Raw.end());
    // Callers open a flow to send a request, which follows within their round trip time.
    expectRequest(Entry);
    if (Fields.Long)
      markLong(Entry);
    if (Fields.OthersWait)
      addWaitingBalancer(Balancer);
    AnswerDeadlines.emplace_back(Now + FirstAnswerTimeout, Head.Key);
  }
  Actions.push_back(
      {.Operation = FlowAction::Kind::Deliver, .Event = FlowEvent::OpenOffered, .Key = Head.Key});
}

FlowActions UpstreamFlows::onUpstreamPacket(const PacketHeader &Head, const Transit &Fields,
                                            common::TimePoint Now) {
  FlowActions Actions;
  Unresponsive = Unresponsive && Head.Returned;
  // A returned packet isn't a sign of life: it says nothing about the flows that the upstream
  // holds.
  if (Head.Returned) {
    onReturnedByUpstream(Head, Fields, Actions);
    return Actions;
  }
  if (!Upstream.departed() && upstreamEnded(Now))
    TableComplete = false; // The upstream may still hold flows that were closed here.
  LastSignAt = Now;
  Flow &Entry = Flows[Head.Key];
  Entry.LastPacketAt = Now;
  if (Entry.State == Phase::Unconfirmed && Entry.Balancer != 0 && Head.Flags.Rst) {
    // The upstream rejected a packet that may belong to another upstream's flow, so the reset must
    // not reach the caller. The entry stays for resets that answer further packets.
    // A balancer that relies on this upstream gets its packet back and searches for the flow.
    const auto Unsearched = Entry.SavedPacket ? FlowAction::Kind::Return : FlowAction::Kind::Drop;
    Actions.push_back({.Operation = Entry.Searched ? FlowAction::Kind::Deny : Unsearched,
                       .Event = FlowEvent::NotHeld,
                       .Key = Head.Key,
                       .Balancer = Entry.Balancer,
                       .Reason = ReturnReason::NotHeld,
                       .SavedPacket = std::move(Entry.SavedPacket)});
    endRequest(Entry);
    return Actions;
  }
  const bool Accepts = Head.Flags.Syn && Head.Flags.Ack;
  if (Accepts && Entry.State != Phase::Open) {
    Entry.State = Phase::Open;
    Entry.CallerAcknowledgement.reset();
    Entry.HasInitialSequence = true;
    Entry.InitialSequence = Head.Sequence;
    Entry.HasUpstreamDataEnd = true;
    Entry.UpstreamDataEnd = Head.Sequence;
    Entry.SavedPacket.reset();
    Entry.AcceptedAt = Now;
    FlowsAwaitingRequest.emplace_back(Now, Head.Key);
  } else if (Accepts && !Entry.HasInitialSequence) {
    // It may open another flow with other sequence numbers, or be repeated for the adopted one.
    Entry.HasUpstreamDataEnd = false;
  }
  if (!Head.Flags.Syn)
    Entry.Established = true;
  // An upstream sends a SYN-ACK first. If an incomplete table lacks it, the upstream accepted the
  // flow before this process saw the SYN.
  const bool OpenBefore =
      Entry.State == Phase::Offered && !TableComplete && !Head.Flags.Syn && !Head.Flags.Rst;
  const bool Adopted = Entry.State == Phase::Unconfirmed || OpenBefore;
  if (Adopted) {
    Entry.State = Phase::Open;
    Entry.SavedPacket.reset();
  }
  if ((Accepts || Adopted) && Entry.Balancer != 0 && !Entry.BalancerNotified) {
    Entry.BalancerNotified = true;
    Actions.push_back({.Operation = FlowAction::Kind::Notify,
                       .Event = Accepts ? FlowEvent::Accepted : FlowEvent::Adopted,
                       .Key = Head.Key,
                       .Balancer = Entry.Balancer});
  }
  const bool WasPending = Entry.RequestPending;
  noteUpstreamData(Head, Entry, Now);
  Actions.push_back(
      {.Operation = FlowAction::Kind::SendToCaller, .Event = FlowEvent::ToCaller, .Key = Head.Key});
  if (WasPending && !Entry.RequestPending)
    notifyWaitingBalancer(Actions);
  if (Head.Flags.Rst) {
    close(Entry);
  } else if (Head.Flags.Fin) {
    Entry.UpstreamFinSeen = true;
    unmarkLong(Entry);
    if (Entry.CallerFinSeen)
      close(Entry);
  }
  return Actions;
}

void UpstreamFlows::onReturnedByUpstream(const PacketHeader &Head, const Transit &Fields,
                                         FlowActions &Actions) {
  const auto It = Flows.find(Head.Key);
  FlowAction ReturnAction{.Operation = FlowAction::Kind::Return,
                          .Event = FlowEvent::NotHeld,
                          .Key = Head.Key,
                          .Balancer = Fields.Balancer,
                          .Reason = ReturnReason::NotHeld};
  if (Head.opensFlow()) {
    ReturnAction.Event = FlowEvent::OpenDeclined;
    ReturnAction.Reason = ReturnReason::Refused;
    // An upstream that refuses flows and has sent no heartbeat to this agent yet is about to end.
    Unresponsive = Unresponsive || !Upstream.known();
    if (It != Flows.end() && It->second.State == Phase::Offered)
      eraseFlow(It);
    Actions.push_back(std::move(ReturnAction));
    return;
  }
  if (It == Flows.end()) {
    Actions.push_back(std::move(ReturnAction));
    return;
  }
  Flow &Entry = It->second;
  if (Entry.State == Phase::Unconfirmed) {
    if (Entry.Searched)
      ReturnAction.Operation = FlowAction::Kind::Deny;
    eraseFlow(It);
    Actions.push_back(std::move(ReturnAction));
    return;
  }
  // The upstream no longer holds a flow that it had, so it has restarted. A reset lets the caller
  // use the rest of its time elsewhere.
  if (Entry.State == Phase::Open && Entry.Established && matches(Head, Entry)) {
    ReturnAction.Operation = FlowAction::Kind::ResetCaller;
    ReturnAction.Event = FlowEvent::LostByUpstream;
    ReturnAction.Sequence = Head.Acknowledgement;
    eraseFlow(It);
  }
  Actions.push_back(std::move(ReturnAction));
}

// True if the packet can belong to this upstream's flow: the caller acknowledges no more than the
// data sent through this agent, plus one each for the SYN and the FIN. Another upstream that
// accepted the same SYN has a different, random initial sequence number.
bool UpstreamFlows::matches(const PacketHeader &Head, const Flow &Entry) noexcept {
  // A caller that continues before this upstream has accepted the flow was accepted by another one.
  // If the packet were delivered here, this upstream would reset the flow.
  if (Entry.State == Phase::Offered)
    return false;
  if (!Head.Flags.Ack)
    return true;
  if (!Entry.HasInitialSequence)
    return !Entry.HasUpstreamDataEnd ||
           Head.Acknowledgement - Entry.UpstreamDataEnd + AdoptedWindow <= 2 * AdoptedWindow;
  const std::uint32_t SentBytes = Entry.UpstreamDataEnd - Entry.InitialSequence;
  const std::uint32_t SentFlags = Entry.UpstreamFinSeen ? 2 : 1;
  return Head.Acknowledgement - Entry.InitialSequence <= SentBytes + SentFlags;
}

// A request starts with new data from the caller after the upstream has answered the previous one.
void UpstreamFlows::noteCallerData(const PacketHeader &Head, Flow &Entry, common::TimePoint Now) {
  if (Head.Flags.Ack)
    Entry.CallerAcknowledgement = Head.Acknowledgement;
  const std::uint32_t End = Head.Sequence + Head.PayloadBytes;
  const bool HasNewData = !Entry.HasCallerDataEnd || sequenceBefore(Entry.CallerDataEnd, End);
  if (Head.PayloadBytes == 0 || !HasNewData)
    return;
  Entry.HasCallerDataEnd = true;
  Entry.CallerDataEnd = End;
  if (Entry.State == Phase::Closed || (Entry.RequestPending && Entry.Requests > 0))
    return;
  expectRequest(Entry);
  Entry.RequestStartedAt = Now;
  if (Entry.Requests == 0 && Entry.AcceptedAt != common::TimePoint{})
    RequestDelay.onAnswer(Now - Entry.AcceptedAt, Now);
  if (Entry.Requests < UINT16_MAX && ++Entry.Requests > 1)
    markLong(Entry);
}

common::Duration UpstreamFlows::requestTimeout() const noexcept {
  if (!InUse.uses(policy::Mechanism::RequestPatience) || !RequestDelay.known())
    return MaxRequestTimeout;
  return RequestDelay.timeout(MinRequestTimeout, MaxRequestTimeout);
}

// A SYN that waited at a balancer may be placed after its caller has given up. Its flow
// occupies a place that no other flow can use until it is released here.
void UpstreamFlows::releaseAbandoned(common::TimePoint Now, FlowActions &Actions) {
  const auto Timeout = requestTimeout();
  while (!FlowsAwaitingRequest.empty() && Now - FlowsAwaitingRequest.front().first > Timeout) {
    const auto It = Flows.find(FlowsAwaitingRequest.front().second);
    FlowsAwaitingRequest.pop_front();
    if (It == Flows.end() || It->second.Requests > 0 || !It->second.RequestPending)
      continue;
    endRequest(It->second);
    notifyWaitingBalancer(Actions);
  }
}

void UpstreamFlows::expectRequest(Flow &Entry) {
  if (!std::exchange(Entry.RequestPending, true))
    ++Unanswered;
}

void UpstreamFlows::endRequest(Flow &Entry) {
  if (std::exchange(Entry.RequestPending, false))
    --Unanswered;
}

void UpstreamFlows::noteUpstreamData(const PacketHeader &Head, Flow &Entry, common::TimePoint Now) {
  const std::uint32_t End = Head.Sequence + Head.PayloadBytes;
  const bool HasNewData = !Entry.HasUpstreamDataEnd || sequenceBefore(Entry.UpstreamDataEnd, End);
  if (Head.PayloadBytes == 0 || !HasNewData)
    return;
  Entry.HasUpstreamDataEnd = true;
  Entry.UpstreamDataEnd = End;
  if (Entry.RequestPending && Entry.Requests > 0 && AnswerTimes.size() < MaxAnswerTimes)
    AnswerTimes.push_back({Head.Key, Now - Entry.RequestStartedAt});
  endRequest(Entry);
}

void UpstreamFlows::markLong(Flow &Entry) {
  if (!std::exchange(Entry.Long, true))
    ++LongFlows;
}

void UpstreamFlows::unmarkLong(Flow &Entry) {
  if (std::exchange(Entry.Long, false))
    --LongFlows;
}

void UpstreamFlows::close(Flow &Entry) {
  endRequest(Entry);
  unmarkLong(Entry);
  Entry.State = Phase::Closed;
  Entry.SavedPacket.reset();
}

void UpstreamFlows::eraseFlow(FlowMap::iterator Position) {
  close(Position->second);
  Flows.erase(Position);
}

FlowActions UpstreamFlows::onTimer(common::TimePoint Now) {
  FlowActions Actions;
  LastTimerAt = Now;
  while (!AnswerDeadlines.empty() && AnswerDeadlines.front().first <= Now) {
    const packet::FlowKey Key = AnswerDeadlines.front().second;
    AnswerDeadlines.pop_front();
    const auto It = Flows.find(Key);
    if (It == Flows.end() || It->second.State != Phase::Offered)
      continue;
    Unresponsive = true;
    Actions.push_back({.Operation = FlowAction::Kind::Return,
                       .Event = FlowEvent::OpenDeclined,
                       .Key = Key,
                       .Balancer = It->second.Balancer,
                       .Reason = ReturnReason::Unanswered,
                       .SavedPacket = It->second.SavedPacket});
  }
  releaseAbandoned(Now, Actions);
  eraseExpired(Now);
  return Actions;
}

void UpstreamFlows::eraseExpired(common::TimePoint Now) {
  const auto Expired = Sweep.next(Flows, SweepBuckets, [&](FlowMap::value_type &Pair) {
    Flow &Entry = Pair.second;
    const common::Duration Idle = Now - Entry.LastPacketAt;
    if (Entry.Requests == 0 && Idle > MaxRequestTimeout)
      endRequest(Entry);
    if (Idle > AbandonedTimeout) {
      endRequest(Entry);
      unmarkLong(Entry);
    }
    return (Entry.State == Phase::Closed && Idle > ClosedRetention) ||
           (Entry.State == Phase::Unconfirmed && Idle > UnconfirmedRetention) ||
           (Entry.State == Phase::Offered && Idle > UnconfirmedRetention) ||
           Idle > IdleFlowRetention;
  });
  for (const auto &Key : Expired)
    eraseFlow(Flows.find(Key));
}

FlowActions UpstreamFlows::resetOpenFlows() {
  FlowActions Actions;
  for (auto &[Key, Entry] : Flows) {
    if (Entry.State != Phase::Open)
      continue;
    if (Entry.CallerAcknowledgement)
      Actions.push_back({.Operation = FlowAction::Kind::ResetCaller,
                         .Event = FlowEvent::LostByUpstream,
                         .Key = Key,
                         .Sequence = *Entry.CallerAcknowledgement});
    close(Entry);
  }
  return Actions;
}

} // namespace galenarelay::relay
