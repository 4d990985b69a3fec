#include "galenarelay/relay/upstream_flows.h"

#include <algorithm>
#include <array>
#include <utility>

namespace galenarelay::relay {

namespace {

/// Buckets of the flow table that one timer call looks at for old flows.
constexpr std::size_t SweepBuckets = 256;
/// An upstream that has given no sign of life for this many heartbeat intervals has ended: it would
/// have tried twice.
constexpr double GoneIntervals = 2.5;
/// An upstream that lives calls within one heartbeat interval of its agent's start. Until this many
/// have passed, an agent that has heard nothing relies on its settings.
constexpr double UnheardIntervals = 1.4;

} // namespace

std::string_view name(FlowEvent Event) noexcept {
  constexpr std::array<std::string_view, FlowEvents> Names{
      "open_offered", "open_declined", "accepted",         "delivered", "doubted",
      "not_held",     "room_again",    "lost_by_upstream", "adopted",   "to_caller"};
  return Names[static_cast<std::size_t>(Event)];
}

UpstreamFlows::UpstreamFlows(std::string SettingsService, common::Duration HeartbeatInterval,
                             common::TimePoint StartedAt, policy::Mechanisms InUse)
    : SettingsService(std::move(SettingsService)), HeartbeatInterval(HeartbeatInterval),
      InUse(InUse), Upstream(HeartbeatInterval), StartedAt(StartedAt), LastSignAt(StartedAt),
      ListeningSince(StartedAt) {}

HeartbeatEffect UpstreamFlows::onHeartbeat(const Heartbeat &Heard, common::TimePoint Now) {
  const auto Effect = Upstream.onHeartbeat(Heard, Now);
  if (Effect == HeartbeatEffect::Outdated)
    return Effect;
  Mute = false;
  LastSignAt = Now;
  // The upstream counts its heartbeats from its start, so that the number of this one tells how
  // long it has run.
  if (Effect == HeartbeatEffect::NewIncarnation)
    KnowsAllFlows =
        Heard.Sequence <= 1 ||
        Now - StartedAt >= HeartbeatInterval * static_cast<std::int64_t>(Heard.Sequence + 1);
  return Effect;
}

std::string UpstreamFlows::service() const {
  return Upstream.last() ? Upstream.last()->Service : SettingsService;
}

UpstreamState UpstreamFlows::state(common::TimePoint Now) const {
  if (upstreamGone(Now))
    return UpstreamState::Ended;
  if (Stopping)
    return UpstreamState::Stopping;
  if (Upstream.leaving())
    return UpstreamState::Draining;
  if (Mute)
    return UpstreamState::Silent;
  if (Upstream.fresh(Now))
    return UpstreamState::Ready;
  return Upstream.known() || !SettingsTrusted ? UpstreamState::Silent : UpstreamState::Unknown;
}

FlowActions UpstreamFlows::onBalancerPacket(const PacketHead &Head, const Transit &Fields,
                                            std::span<const std::uint8_t> Raw, NodeAddress Balancer,
                                            common::TimePoint Now) {
  FlowActions Out;
  if (Head.opensFlow()) {
    onFirstPacket(Head, Fields, Raw, Balancer, Now, Out);
    return Out;
  }
  const auto Found = Flows.find(Head.Key);
  const bool Held = Found != Flows.end() && fits(Head, Found->second);
  if (!Held) {
    if (Found != Flows.end() || KnowsAllFlows) {
      Out.push_back({.What = Fields.Search ? FlowAction::Kind::Deny : FlowAction::Kind::Return,
                     .Event = FlowEvent::NotHeld,
                     .Key = Head.Key,
                     .Balancer = Balancer,
                     .Reason = ReturnReason::NotHeld});
      return Out;
    }
    Flow &Doubt = Flows[Head.Key];
    Doubt.Balancer = Balancer;
    Doubt.Searched = Fields.Search;
    Doubt.UsedAt = Now;
    noteCallerData(Head, Doubt, Now);
    Out.push_back(
        {.What = FlowAction::Kind::Deliver, .Event = FlowEvent::Doubted, .Key = Head.Key});
    return Out;
  }
  Flow &Known = Found->second;
  Known.UsedAt = Now;
  // The balancer that forwards now may be another one than before, and asks if it doesn't know.
  if (Known.State != Phase::Doubted && (Fields.Search || Known.Balancer != Balancer))
    Out.push_back({.What = FlowAction::Kind::Notify,
                   .Event = FlowEvent::Delivered,
                   .Key = Head.Key,
                   .Balancer = Balancer});
  Known.Balancer = Balancer;
  Known.Searched = Fields.Search;
  noteCallerData(Head, Known, Now);
  if (Head.Bits.Rst) {
    close(Known);
  } else if (Head.Bits.Fin) {
    Known.CallerEnded = true;
    endLong(Known);
    if (Known.UpstreamEnded)
      close(Known);
  }
  Out.push_back(
      {.What = FlowAction::Kind::Deliver, .Event = FlowEvent::Delivered, .Key = Head.Key});
  return Out;
}

FlowAnswer UpstreamFlows::onQuery(const FlowQuery &Query, common::TimePoint Now) const {
  FlowAnswer Answer{Query.Number, {}, {}};
  // Nobody is left who could hold a flow.
  if (upstreamGone(Now))
    return Answer;
  const std::size_t Size = std::min(Query.Rows.size(), MaxQueriedFlows);
  for (std::size_t I = 0; I < Size; ++I) {
    PacketHead Asked;
    Asked.Bits.Ack = true;
    Asked.Acknowledgement = Query.Rows[I].Acknowledgement;
    const auto Found = Flows.find(Query.Rows[I].Key);
    const bool Known = Found != Flows.end() && Found->second.State != Phase::Doubted;
    if (Known && fits(Asked, Found->second))
      Answer.Held.push_back(static_cast<std::uint8_t>(I));
    else if (!Known && !KnowsAllFlows)
      Answer.Unsure.push_back(static_cast<std::uint8_t>(I));
  }
  return Answer;
}

LoadAnswer UpstreamFlows::onLoadQuery(const LoadQuery &Question, NodeAddress Balancer,
                                      common::TimePoint Now) {
  if (full())
    noteWaiting(Balancer);
  return {state(Now), load(), Question.Stamp};
}

bool UpstreamFlows::upstreamGone(common::TimePoint Now) const {
  const double Intervals = Upstream.known() ? GoneIntervals : UnheardIntervals;
  const auto Silence = std::chrono::duration_cast<common::Duration>(HeartbeatInterval * Intervals);
  return Upstream.departed() || Now - std::max(LastSignAt, ListeningSince) > Silence;
}

std::optional<ReturnReason> UpstreamFlows::whyDeclined(const Transit &Fields,
                                                       common::TimePoint Now) const {
  if (Fields.ServiceDigest != 0 && Fields.ServiceDigest != serviceDigest(service()))
    return ReturnReason::WrongService;
  const UpstreamState State = state(Now);
  if (State == UpstreamState::Silent)
    return ReturnReason::Unanswered;
  if (State != UpstreamState::Ready && State != UpstreamState::Unknown)
    return ReturnReason::Leaving;
  if (full())
    return ReturnReason::Full;
  if (InUse.uses(policy::Mechanism::BusyDecline) && !Fields.Insist && slots() != 0 &&
      Unanswered >= slots())
    return ReturnReason::Busy;
  if (Flows.size() >= MaxUpstreamFlows)
    return ReturnReason::Refused;
  return std::nullopt;
}

std::uint32_t UpstreamFlows::slots() const noexcept {
  return Upstream.last() ? Upstream.last()->Slots : 0;
}

bool UpstreamFlows::full() const noexcept {
  return slots() != 0 && Unanswered >= usefulRequests(slots());
}

void UpstreamFlows::noteWaiting(NodeAddress Balancer) {
  if (InUse.uses(policy::Mechanism::RoomNotices) && Waiting.size() < MaxWaitingBalancers &&
      std::find(Waiting.begin(), Waiting.end(), Balancer) == Waiting.end())
    Waiting.push_back(Balancer);
}

// One balancer for each place that becomes free, in the order in which they were declined, so that
// not all of them send a flow for the same place.
void UpstreamFlows::tellOfRoom(FlowActions &Out) {
  if (Waiting.empty() || full())
    return;
  Out.push_back({.What = FlowAction::Kind::Report,
                 .Event = FlowEvent::RoomAgain,
                 .Balancer = Waiting.front()});
  Waiting.pop_front();
}

void UpstreamFlows::onFirstPacket(const PacketHead &Head, const Transit &Fields,
                                  std::span<const std::uint8_t> Raw, NodeAddress Balancer,
                                  common::TimePoint Now, FlowActions &Out) {
  const auto Found = Flows.find(Head.Key);
  const bool Repeated = Found != Flows.end() && (Found->second.State == Phase::Offered ||
                                                 Found->second.State == Phase::Open);
  if (!Repeated) {
    if (const auto Reason = whyDeclined(Fields, Now)) {
      if (*Reason == ReturnReason::Full)
        noteWaiting(Balancer);
      Out.push_back({.What = FlowAction::Kind::Return,
                     .Event = FlowEvent::OpenDeclined,
                     .Key = Head.Key,
                     .Balancer = Balancer,
                     .Reason = *Reason});
      return;
    }
    if (Found != Flows.end())
      forget(Found);
  }
  Flow &Held = Flows[Head.Key];
  Held.Balancer = Balancer;
  Held.UsedAt = Now;
  if (!Repeated) {
    Held.State = Phase::Offered;
    Held.HasCallerSequence = true;
    Held.CallerSequence = Head.Sequence;
    Held.FirstPacket = std::make_shared<const Bytes>(Raw.begin(), Raw.end());
    // A flow opens for a request that follows within the caller's round trip.
    expectRequest(Held);
    if (Fields.Long)
      setLong(Held);
    if (Fields.OthersWait)
      noteWaiting(Balancer);
    AnswerChecks.emplace_back(Now + FirstAnswerTimeout, Head.Key);
  }
  Out.push_back(
      {.What = FlowAction::Kind::Deliver, .Event = FlowEvent::OpenOffered, .Key = Head.Key});
}

FlowActions UpstreamFlows::onUpstreamPacket(const PacketHead &Head, const Transit &Fields,
                                            common::TimePoint Now) {
  FlowActions Out;
  Mute = Mute && Head.Returned;
  // A packet that comes back says nothing of the flows that the upstream holds.
  if (!Head.Returned)
    LastSignAt = Now;
  if (Head.Returned) {
    onReturnedByUpstream(Head, Fields, Out);
    return Out;
  }
  Flow &Held = Flows[Head.Key];
  Held.UsedAt = Now;
  if (Held.State == Phase::Doubted && Held.Balancer != 0 && Head.Bits.Rst) {
    // The upstream refuses a packet that may be meant for another one: no word for the caller.
    Out.push_back({.What = Held.Searched ? FlowAction::Kind::Deny : FlowAction::Kind::Drop,
                   .Event = FlowEvent::NotHeld,
                   .Key = Head.Key,
                   .Balancer = Held.Balancer});
    forget(Flows.find(Head.Key));
    return Out;
  }
  const bool Accepts = Head.Bits.Syn && Head.Bits.Ack;
  if (Accepts && Held.State != Phase::Open) {
    Held.State = Phase::Open;
    Held.HasFirstSequence = true;
    Held.FirstSequence = Head.Sequence;
    Held.HasUpstreamSequence = true;
    Held.UpstreamSequence = Head.Sequence;
    Held.FirstPacket.reset();
    Held.AcceptedAt = Now;
    AcceptedFlows.emplace_back(Now, Head.Key);
  }
  if (!Head.Bits.Syn)
    Held.Established = true;
  const bool Adopted = Held.State == Phase::Doubted;
  if (Adopted)
    Held.State = Phase::Open;
  if ((Accepts || Adopted) && Held.Balancer != 0 && !Held.Noticed) {
    Held.Noticed = true;
    Out.push_back({.What = FlowAction::Kind::Notify,
                   .Event = Accepts ? FlowEvent::Accepted : FlowEvent::Adopted,
                   .Key = Head.Key,
                   .Balancer = Held.Balancer});
  }
  const bool Pending = Held.RequestPending;
  noteUpstreamData(Head, Held, Now);
  Out.push_back(
      {.What = FlowAction::Kind::SendToCaller, .Event = FlowEvent::ToCaller, .Key = Head.Key});
  if (Pending && !Held.RequestPending)
    tellOfRoom(Out);
  if (Head.Bits.Rst) {
    close(Held);
  } else if (Head.Bits.Fin) {
    Held.UpstreamEnded = true;
    endLong(Held);
    if (Held.CallerEnded)
      close(Held);
  }
  return Out;
}

void UpstreamFlows::onReturnedByUpstream(const PacketHead &Head, const Transit &Fields,
                                         FlowActions &Out) {
  const auto Found = Flows.find(Head.Key);
  FlowAction Back{.What = FlowAction::Kind::Return,
                  .Event = FlowEvent::NotHeld,
                  .Key = Head.Key,
                  .Balancer = Fields.Balancer,
                  .Reason = ReturnReason::NotHeld};
  if (Head.opensFlow()) {
    Back.Event = FlowEvent::OpenDeclined;
    Back.Reason = ReturnReason::Refused;
    // An upstream that has said nothing of itself yet and refuses is one that ends.
    Mute = Mute || !Upstream.known();
    if (Found != Flows.end() && Found->second.State == Phase::Offered)
      forget(Found);
    Out.push_back(std::move(Back));
    return;
  }
  if (Found == Flows.end()) {
    Out.push_back(std::move(Back));
    return;
  }
  Flow &Held = Found->second;
  if (Held.State == Phase::Doubted) {
    if (Held.Searched)
      Back.What = FlowAction::Kind::Deny;
    forget(Found);
    Out.push_back(std::move(Back));
    return;
  }
  // The upstream had the flow and has it no longer, so that its earlier incarnation has ended. The
  // caller can use the rest of its time elsewhere.
  if (Held.State == Phase::Open && Held.Established && fits(Head, Held)) {
    Back.What = FlowAction::Kind::ResetCaller;
    Back.Event = FlowEvent::LostByUpstream;
    Back.Sequence = Head.Acknowledgement;
    forget(Found);
  }
  Out.push_back(std::move(Back));
}

// The caller acknowledges what came through this agent, at most one more for the end of the data.
// Another upstream that accepted a copy of the first packet has other, random numbers.
bool UpstreamFlows::fits(const PacketHead &Head, const Flow &Held) noexcept {
  // A caller that goes on before this upstream has accepted the flow has another one's answer. An
  // upstream that were given such a packet would reset the flow.
  if (Held.State == Phase::Offered)
    return false;
  if (!Held.HasFirstSequence || !Head.Bits.Ack)
    return true;
  const std::uint32_t Sent = Held.UpstreamSequence - Held.FirstSequence;
  return Head.Acknowledgement - Held.FirstSequence <= Sent + 1;
}

// A request begins with new data from the caller after the upstream has answered the one before.
void UpstreamFlows::noteCallerData(const PacketHead &Head, Flow &Held, common::TimePoint Now) {
  if (Head.Bits.Ack)
    Held.CallerAcknowledgement = Head.Acknowledgement;
  const std::uint32_t End = Head.Sequence + Head.PayloadBytes;
  const bool New = !Held.HasCallerSequence || sequenceBefore(Held.CallerSequence, End);
  if (Head.PayloadBytes == 0 || !New)
    return;
  Held.HasCallerSequence = true;
  Held.CallerSequence = End;
  if (Held.State == Phase::Closed || (Held.RequestPending && Held.Requests > 0))
    return;
  expectRequest(Held);
  Held.RequestAt = Now;
  if (Held.Requests == 0 && Held.AcceptedAt != common::TimePoint{})
    RequestDelay.onAnswer(Now - Held.AcceptedAt, Now);
  if (Held.Requests < UINT16_MAX && ++Held.Requests > 1)
    setLong(Held);
}

common::Duration UpstreamFlows::requestPatience() const noexcept {
  if (!InUse.uses(policy::Mechanism::RequestPatience) || !RequestDelay.known())
    return RequestExpectation;
  return RequestDelay.patience(MinRequestExpectation, RequestExpectation);
}

// A first packet that waited may be placed after its caller has gone. Until its place is free
// again, no other flow gets it.
void UpstreamFlows::endAbandoned(common::TimePoint Now, FlowActions &Out) {
  const auto Patience = requestPatience();
  while (!AcceptedFlows.empty() && Now - AcceptedFlows.front().first > Patience) {
    const auto Found = Flows.find(AcceptedFlows.front().second);
    AcceptedFlows.pop_front();
    if (Found == Flows.end() || Found->second.Requests > 0 || !Found->second.RequestPending)
      continue;
    endRequest(Found->second);
    tellOfRoom(Out);
  }
}

void UpstreamFlows::expectRequest(Flow &Held) {
  if (!std::exchange(Held.RequestPending, true))
    ++Unanswered;
}

void UpstreamFlows::endRequest(Flow &Held) {
  if (std::exchange(Held.RequestPending, false))
    --Unanswered;
}

void UpstreamFlows::noteUpstreamData(const PacketHead &Head, Flow &Held, common::TimePoint Now) {
  const std::uint32_t End = Head.Sequence + Head.PayloadBytes;
  const bool New = !Held.HasUpstreamSequence || sequenceBefore(Held.UpstreamSequence, End);
  if (Head.PayloadBytes == 0 || !New)
    return;
  Held.HasUpstreamSequence = true;
  Held.UpstreamSequence = End;
  if (Held.RequestPending && Held.Requests > 0 && Answers.size() < MaxAnswerTimes)
    Answers.push_back({Head.Key, Now - Held.RequestAt});
  endRequest(Held);
}

void UpstreamFlows::setLong(Flow &Held) {
  if (!std::exchange(Held.Long, true))
    ++LongFlows;
}

void UpstreamFlows::endLong(Flow &Held) {
  if (std::exchange(Held.Long, false))
    --LongFlows;
}

void UpstreamFlows::close(Flow &Held) {
  endRequest(Held);
  endLong(Held);
  Held.State = Phase::Closed;
  Held.FirstPacket.reset();
}

void UpstreamFlows::forget(FlowMap::iterator Entry) {
  close(Entry->second);
  Flows.erase(Entry);
}

FlowActions UpstreamFlows::onTimer(common::TimePoint Now) {
  FlowActions Out;
  while (!AnswerChecks.empty() && AnswerChecks.front().first <= Now) {
    const packet::FlowKey Key = AnswerChecks.front().second;
    AnswerChecks.pop_front();
    const auto Found = Flows.find(Key);
    if (Found == Flows.end() || Found->second.State != Phase::Offered)
      continue;
    Mute = true;
    Out.push_back({.What = FlowAction::Kind::Return,
                   .Event = FlowEvent::OpenDeclined,
                   .Key = Key,
                   .Balancer = Found->second.Balancer,
                   .Reason = ReturnReason::Unanswered,
                   .Saved = Found->second.FirstPacket});
  }
  endAbandoned(Now, Out);
  forgetOld(Now);
  return Out;
}

void UpstreamFlows::forgetOld(common::TimePoint Now) {
  const auto Old = Sweep.next(Flows, SweepBuckets, [&](FlowMap::value_type &Entry) {
    Flow &Held = Entry.second;
    const common::Duration Unused = Now - Held.UsedAt;
    if (Held.Requests == 0 && Unused > RequestExpectation)
      endRequest(Held);
    if (Unused > AbandonedAge) {
      endRequest(Held);
      endLong(Held);
    }
    return (Held.State == Phase::Closed && Unused > ClosedRetention) ||
           (Held.State == Phase::Doubted && Unused > DoubtRetention) ||
           (Held.State == Phase::Offered && Unused > DoubtRetention) || Unused > UnusedRetention;
  });
  for (const auto &Key : Old)
    forget(Flows.find(Key));
}

FlowActions UpstreamFlows::resetAll() {
  FlowActions Out;
  for (auto &[Key, Held] : Flows) {
    if (Held.State != Phase::Open)
      continue;
    Out.push_back({.What = FlowAction::Kind::ResetCaller,
                   .Event = FlowEvent::LostByUpstream,
                   .Key = Key,
                   .Sequence = Held.CallerAcknowledgement});
    close(Held);
  }
  return Out;
}

} // namespace galenarelay::relay
