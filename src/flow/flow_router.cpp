#include "galenarelay/flow/flow_router.h"

#include "galenarelay/common/hash.h"
#include "galenarelay/common/json_fields.h"

#include <algorithm>

namespace galenarelay::flow {

using common::Duration;
using common::Endpoint;
using common::ResultCode;
using common::TimePoint;
using membership::Member;
using membership::MemberState;
using nlohmann::json;
using packet::FlowKey;
using packet::InitialTtl;
using packet::RouteView;
using routing::NoMemberPosition;
using routing::RoutingView;
using routing::ServiceRoute;

namespace {

/// The longest correct path visits four agents: the home, the second choice, the one that an
/// outdated hand-off entry names, and the owner. A packet whose TTL has dropped to this value may
/// be in a cycle of outdated entries.
constexpr std::uint8_t CycleSuspectTtl = InitialTtl - 4;
/// Time between two batches of registrations; a batch has at most RegistrationsPerMessage flows.
constexpr Duration RegistrationInterval =
    std::chrono::microseconds(1'000'000 * RegistrationsPerMessage / RegistrationsPerSecond);
/// Once RegisterQueue has this length, ended flows are no longer reported to their homes, whose
/// hand-off entries then expire as idle.
constexpr std::size_t MaxQueuedEndReports = 10'000;
constexpr Duration SweepInterval = std::chrono::seconds(1);
/// Each sweep visits one of this many parts of the hand-off table, which keeps its pause short.
constexpr std::size_t SweepParts = 32;

/// Exception id, from nlohmann-json's user range, for a flow key that can't be parsed.
constexpr int InvalidFlowKey = 599;

constexpr unsigned SynBit = 0x02;
constexpr unsigned AckBit = 0x10;
constexpr unsigned FinBit = 0x01;
constexpr unsigned RstBit = 0x04;

unsigned toBits(packet::Flags Value) noexcept {
  return (Value.Syn ? SynBit : 0) | (Value.Ack ? AckBit : 0) | (Value.Fin ? FinBit : 0) |
         (Value.Rst ? RstBit : 0);
}

packet::Flags fromBits(unsigned Bits) noexcept {
  return {(Bits & SynBit) != 0, (Bits & AckBit) != 0, (Bits & FinBit) != 0, (Bits & RstBit) != 0};
}

// Constructs the action in place, because g++ 12 warns that a moved temporary variant may be
// uninitialized.
template <typename T> void addAction(std::vector<Action> &Actions, T &&Value) {
  Actions.emplace_back(std::in_place_type<std::decay_t<T>>, std::forward<T>(Value));
}

void addDrop(std::vector<Action> &Actions, ResultCode Reason) {
  addAction(Actions, CountDrop{Reason});
}

std::uint32_t secondsSinceEpoch(TimePoint Now) noexcept {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(Now.time_since_epoch()).count());
}

/// Digest of the possible owners of a service; two agents with equal digests query the same peers.
std::uint64_t ownersDigest(const ServiceRoute &Route) {
  std::uint64_t Digest = 0;
  for (const Member &Owner : Route.PossibleOwners)
    Digest = common::hash64(Owner.Id, Digest);
  return Digest;
}

/// Parses a flow key in a control message. Throws json::exception if the value isn't a flow key.
FlowKey flowKeyFromJson(const json &Text) {
  const auto &KeyText = Text.get_ref<const std::string &>();
  const auto Parsed = common::capture([&] { return packet::parseFlowKey(KeyText); });
  if (!Parsed)
    throw json::other_error::create(InvalidFlowKey, Parsed.Failure.Detail, &Text);
  return *Parsed;
}

/// Builds the RST that answers a segment without a connection (RFC 9293, section 3.10.7.1). Empty
/// for a malformed packet, a RST and a segment without ACK.
std::optional<SendReset> makeReset(std::span<const std::uint8_t> Raw) {
  const auto Parsed = common::capture([&] { return packet::parseFromCaller(Raw); });
  if (!Parsed || Parsed->Bits.Rst || !Parsed->Bits.Ack)
    return std::nullopt;
  packet::Packet Reset;
  Reset.Key = Parsed->Key;
  Reset.TowardsCaller = true;
  Reset.Bits = {.Ack = true, .Rst = true};
  Reset.Sequence = Parsed->Acknowledgement;
  Reset.Acknowledgement = Parsed->Sequence + static_cast<std::uint32_t>(Parsed->Payload.size()) +
                          (Parsed->Bits.Fin ? 1 : 0);
  return SendReset{std::move(Reset)};
}

} // namespace

FlowRouter::NameId FlowRouter::NameTable::idOf(const std::string &Name) {
  const auto [Entry, Added] = IdsByName.try_emplace(Name, static_cast<NameId>(NamesById.size()));
  if (Added)
    NamesById.push_back(Name);
  return Entry->second;
}

FlowRouter::FlowRouter(std::string SelfId, UpstreamChooser ChooseUpstream,
                       StreamMatcher MatchesStream, std::uint64_t Seed)
    : SelfId(std::move(SelfId)), ChooseUpstream(std::move(ChooseUpstream)),
      MatchesStream(std::move(MatchesStream)), Random(Seed), View(std::make_shared<RoutingView>()) {
  SelfNameId = MemberNames.idOf(this->SelfId);
}

std::size_t FlowRouter::servedFlows() const noexcept { return Served.size(); }

std::size_t FlowRouter::handedOffFlows() const noexcept { return HandOffs.size(); }

std::vector<config::ServiceName> FlowRouter::residualServices() const {
  std::vector<config::ServiceName> Residual;
  for (const auto &[Service, Count] : ServedCountByService) {
    const ServiceRoute *Route = View->service(ServiceNames.nameOf(Service));
    if (Route == nullptr || !isCandidate(*Route))
      Residual.push_back(ServiceNames.nameOf(Service));
  }
  std::sort(Residual.begin(), Residual.end());
  return Residual;
}

json FlowRouter::explainRoute(const FlowKey &Key) const {
  json Report = {{"flow", packet::toString(Key)}, {"agent", SelfId}};
  const ServiceRoute *Route = View->serviceAt(Key.Service);
  if (Route == nullptr) {
    Report["reason"] = "no service has this address";
    return Report;
  }
  Report["service"] = Route->Name;
  const routing::SlotMembers Choice = Route->Table.choose(packet::hash(Key));
  if (Choice.First != NoMemberPosition)
    Report["home"] = Route->Candidates[Choice.First].Id;
  if (Choice.Second != NoMemberPosition)
    Report["second"] = Route->Candidates[Choice.Second].Id;
  const auto ServedEntry = Served.find(Key);
  const auto HandOffEntry = HandOffs.find(Key);
  if (ServedEntry != Served.end()) {
    Report["owner"] = SelfId;
    Report["state"] = ServedEntry->second.Open ? "open" : "half-open";
    Report["reason"] = "served here";
  } else if (HandOffEntry != HandOffs.end()) {
    Report["owner"] = MemberNames.nameOf(HandOffEntry->second.Owner);
    Report["reason"] = "handed off or located";
  } else if (PendingLocates.contains(Key)) {
    Report["reason"] = "unknown, being located";
  } else {
    Report["reason"] = "unknown: a SYN goes by the home's decision, other packets by the second "
                       "choice and locate";
  }
  return Report;
}

std::optional<TimePoint> FlowRouter::nextTimer() const noexcept {
  TimePoint Next = TimePoint::max();
  if (!HalfOpenDeadlines.empty())
    Next = std::min(Next, HalfOpenDeadlines.front().first);
  if (!LocateDeadlines.empty())
    Next = std::min(Next, LocateDeadlines.front().first);
  if (!RegisterQueue.empty())
    Next = std::min(Next, NextRegistration);
  if (!HandOffs.empty())
    Next = std::min(Next, NextSweep);
  return Next == TimePoint::max() ? std::nullopt : std::optional(Next);
}

bool FlowRouter::isCandidate(const ServiceRoute &Route) const {
  const auto &CandidateIds = Route.Table.members();
  return std::binary_search(CandidateIds.begin(), CandidateIds.end(), SelfId);
}

bool FlowRouter::acceptsNewFlow(const ServiceRoute &Route) const {
  return !RefusingNewFlows && isCandidate(Route);
}

std::string FlowRouter::homeOf(const FlowKey &Key) const {
  const ServiceRoute *Route = View->serviceAt(Key.Service);
  if (Route == nullptr)
    return {};
  const routing::SlotMembers Choice = Route->Table.choose(packet::hash(Key));
  return Choice.First == NoMemberPosition ? std::string() : Route->Candidates[Choice.First].Id;
}

const Member *FlowRouter::liveMember(const std::string &Id) const {
  const Member *Candidate = View->member(Id);
  return Candidate != nullptr && Candidate->State != MemberState::Dead ? Candidate : nullptr;
}

bool FlowRouter::viewSettled(TimePoint Now) const noexcept {
  return Now - LastViewChange >= ViewSettleTime;
}

std::vector<Action> FlowRouter::onPacket(std::span<const std::uint8_t> Packet, TimePoint Now) {
  std::vector<Action> Actions;
  const auto Header = packet::readRoute(Packet);
  if (!Header) {
    addDrop(Actions, ResultCode::PacketMalformed);
    return Actions;
  }
  const ServiceRoute *Route = View->serviceAt(Header->Key.Service);
  if (Route == nullptr) {
    addDrop(Actions, ResultCode::PacketUnknownService);
    return Actions;
  }
  route({*Header, *Route, Packet, Now}, Actions);
  return Actions;
}

// Applies the routing rules of docs/design.md, section 5, in their order.
void FlowRouter::route(const PacketContext &Context, std::vector<Action> &Actions) {
  const auto ServedEntry = Served.find(Context.Header.Key);
  if (ServedEntry != Served.end()) {
    routeServed(Context, ServedEntry->second, Actions);
    return;
  }
  if (routeHandedOff(Context, Actions))
    return;
  if (Context.Header.Bits.Syn)
    routeNewFlow(Context, Actions);
  else if (Context.Header.Ttl >= InitialTtl)
    routeToOtherChoice(Context, Actions);
  else
    locate(Context, Actions);
}

void FlowRouter::routeServed(const PacketContext &Context, ServedFlow &Flow,
                             std::vector<Action> &Actions) {
  if (ServiceNames.nameOf(Flow.Service) != Context.Route.Name) {
    addDrop(Actions, ResultCode::PacketWrongService);
    return;
  }
  if (MatchesStream(Context.Header)) {
    if (Context.Header.Bits.Ack && !Context.Header.Bits.Syn && !Context.Header.Bits.Rst)
      Flow.Open = true;
    addAction(Actions, DeliverPacket{Context.Header.Key,
                                     Bytes(Context.Packet.begin(), Context.Packet.end())});
    return;
  }
  // A SYN with another sequence number opens a new flow that reuses the key. It is dropped, and its
  // caller retransmits it until the old flow has ended.
  if (Context.Header.Bits.Syn)
    addDrop(Actions, ResultCode::FlowUnknown);
  else if (!routeHandedOff(Context, Actions))
    locate(Context, Actions);
}

bool FlowRouter::routeHandedOff(const PacketContext &Context, std::vector<Action> &Actions) {
  const auto Entry = HandOffs.find(Context.Header.Key);
  if (Entry == HandOffs.end())
    return false;
  const Member *Owner = liveMember(MemberNames.nameOf(Entry->second.Owner));
  if (Owner == nullptr || Context.Header.Ttl <= CycleSuspectTtl) {
    HandOffs.erase(Entry);
    return false;
  }
  Entry->second.LastUsedSecond = secondsSinceEpoch(Context.Now);
  forward(Context.Packet, Context.Header.Ttl, *Owner, Actions);
  return true;
}

void FlowRouter::forward(std::span<const std::uint8_t> Packet, std::uint8_t Ttl,
                         const Member &Target, std::vector<Action> &Actions) const {
  if (Ttl <= 1) {
    addDrop(Actions, ResultCode::PacketHopLimit);
    return;
  }
  ForwardPacket Forwarded{Target.Data, Bytes(Packet.begin(), Packet.end())};
  packet::rewriteTtl(Forwarded.Packet, std::min<std::uint8_t>(Ttl, InitialTtl) - 1);
  addAction(Actions, std::move(Forwarded));
}

void FlowRouter::routeNewFlow(const PacketContext &Context, std::vector<Action> &Actions) {
  const bool ChosenByHome = Context.Header.Ttl < InitialTtl;
  if (ChosenByHome && acceptsNewFlow(Context.Route)) {
    acceptFlow(Context, Actions);
    return;
  }
  if (!ChosenByHome && acceptsNewFlow(Context.Route)) {
    const auto ChosenIndex = ChooseUpstream(Context.Route, SelfId, Context.Now);
    if (!ChosenIndex || *ChosenIndex >= Context.Route.Candidates.size()) {
      addDrop(Actions, ResultCode::NoUpstream);
      return;
    }
    const Member &Target = Context.Route.Candidates[*ChosenIndex];
    if (Target.Id == SelfId)
      acceptFlow(Context, Actions);
    else
      redirectFlow(Context, Target, Actions);
    return;
  }
  if (const Member *Other = chooseOther(Context.Route, Context.Now))
    redirectFlow(Context, *Other, Actions);
  else
    addDrop(Actions,
            isCandidate(Context.Route) ? ResultCode::NoUpstream : ResultCode::PacketWrongService);
}

const Member *FlowRouter::chooseOther(const ServiceRoute &Route, TimePoint Now) {
  const auto &Candidates = Route.Candidates;
  const auto ChosenIndex = ChooseUpstream(Route, SelfId, Now);
  if (ChosenIndex && *ChosenIndex < Candidates.size() && Candidates[*ChosenIndex].Id != SelfId)
    return &Candidates[*ChosenIndex];
  const std::size_t Start = common::uniformBelow(Random, Candidates.size());
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    const Member &Other = Candidates[(Start + I) % Candidates.size()];
    if (Other.Id != SelfId)
      return &Other;
  }
  return nullptr;
}

void FlowRouter::acceptFlow(const PacketContext &Context, std::vector<Action> &Actions) {
  if (Served.size() >= MaxServedFlows) {
    addDrop(Actions, ResultCode::FlowTableFull);
    return;
  }
  const FlowKey &Key = Context.Header.Key;
  const NameId Service = ServiceNames.idOf(Context.Route.Name);
  const std::string Home = homeOf(Key);
  ServedFlow &Flow = Served.emplace(Key, ServedFlow{Service, MemberNames.idOf(Home)}).first->second;
  ++ServedCountByService[Service];
  HalfOpenDeadlines.emplace_back(Context.Now + HalfOpenTimeout, Key);
  // A home that redirected the flow here has recorded the hand-off already. After a recent view
  // change, other nodes may consider another agent the home, so the flow is registered anyway.
  if (Home != SelfId && (Context.Header.Ttl >= InitialTtl || !viewSettled(Context.Now)))
    queueRegistration(Key, Flow, Context.Now);
  addAction(Actions, AcceptFlow{Key, Context.Route.Name,
                                Bytes(Context.Packet.begin(), Context.Packet.end())});
}

void FlowRouter::redirectFlow(const PacketContext &Context, const Member &Target,
                              std::vector<Action> &Actions) {
  const FlowKey &Key = Context.Header.Key;
  if (Context.Header.Ttl <= 1) {
    addDrop(Actions, ResultCode::PacketHopLimit);
    return;
  }
  if (!recordHandOff(Key, Target.Id, Context.Now)) {
    addDrop(Actions, ResultCode::FlowTableFull);
    return;
  }
  forward(Context.Packet, Context.Header.Ttl, Target, Actions);
  const Member *Home = liveMember(homeOf(Key));
  if (Context.Header.Ttl < InitialTtl && Home != nullptr && Home->Id != SelfId &&
      Home->Id != Target.Id)
    addAction(Actions, SendControl{Home->Control,
                                   {{"t", "register"},
                                    {"owner", Target.Id},
                                    {"flows", json::array({packet::toString(Key)})}}});
}

void FlowRouter::routeToOtherChoice(const PacketContext &Context, std::vector<Action> &Actions) {
  const routing::SlotMembers Choice = Context.Route.Table.choose(packet::hash(Context.Header.Key));
  const auto MemberAt = [&](std::uint16_t Index) {
    return Index == NoMemberPosition ? nullptr : &Context.Route.Candidates[Index];
  };
  const Member *Other = MemberAt(Choice.First);
  if (Other != nullptr && Other->Id == SelfId)
    Other = MemberAt(Choice.Second);
  if (Other != nullptr)
    forward(Context.Packet, Context.Header.Ttl, *Other, Actions);
  else
    locate(Context, Actions);
}

void FlowRouter::locate(const PacketContext &Context, std::vector<Action> &Actions) {
  const auto Existing = PendingLocates.find(Context.Header.Key);
  if (Existing != PendingLocates.end()) {
    holdPacket(Existing->second, Context.Packet, Actions);
    return;
  }
  if (PendingLocates.size() >= MaxPendingLocates || !takeLocateToken(Context.Now)) {
    addDrop(Actions, ResultCode::FlowUnknown);
    return;
  }
  const auto Inserted = PendingLocates.try_emplace(Context.Header.Key).first;
  PendingLocate &Pending = Inserted->second;
  Pending.Route = Context.Header;
  Pending.OwnersDigest = ownersDigest(Context.Route);
  for (const Member &Owner : Context.Route.PossibleOwners)
    if (Owner.Id != SelfId)
      Pending.AwaitedOwners.push_back(Owner.Id);
  holdPacket(Pending, Context.Packet, Actions);
  if (Pending.AwaitedOwners.empty()) {
    concludeLocate(Inserted, true, Context.Now, Actions);
    return;
  }
  LocateDeadlines.emplace_back(Context.Now + LocateInterval, Context.Header.Key);
  sendLocate(Pending, Actions);
}

void FlowRouter::holdPacket(PendingLocate &Pending, std::span<const std::uint8_t> Packet,
                            std::vector<Action> &Actions) {
  if (Pending.HeldPackets.size() >= MaxHeldPacketsPerFlow ||
      HeldBytes + Packet.size() > MaxHeldBytes) {
    addDrop(Actions, ResultCode::FlowUnknown);
    return;
  }
  HeldBytes += Packet.size();
  Pending.HeldPackets.emplace_back(Packet.begin(), Packet.end());
}

bool FlowRouter::takeLocateToken(TimePoint Now) {
  constexpr double MicrosecondsPerSecond = 1e6;
  const double Refill = static_cast<double>((Now - LocateTokensUpdatedAt).count()) *
                        MaxLocatesPerSecond / MicrosecondsPerSecond;
  LocateTokens = std::min<double>(LocateTokens + Refill, MaxLocatesPerSecond);
  LocateTokensUpdatedAt = Now;
  if (LocateTokens < 1)
    return false;
  LocateTokens -= 1;
  return true;
}

void FlowRouter::sendLocate(const PendingLocate &Pending, std::vector<Action> &Actions) const {
  const json Message = {{"t", "locate"},
                        {"flow", packet::toString(Pending.Route.Key)},
                        {"bits", toBits(Pending.Route.Bits)},
                        {"seq", Pending.Route.Sequence},
                        {"ack", Pending.Route.Acknowledgement}};
  for (const std::string &Id : Pending.AwaitedOwners)
    if (const Member *Peer = liveMember(Id))
      addAction(Actions, SendControl{Peer->Control, Message});
}

void FlowRouter::concludeLocate(PendingLocateMap::iterator Pending, bool AllAnswered, TimePoint Now,
                                std::vector<Action> &Actions) {
  const FlowKey Key = Pending->first;
  const PendingLocate Concluded = std::move(Pending->second);
  PendingLocates.erase(Pending);
  for (const Bytes &Raw : Concluded.HeldPackets)
    HeldBytes -= Raw.size();
  const auto ServedEntry = Served.find(Key);
  const bool ServedAndOpen = ServedEntry != Served.end() && ServedEntry->second.Open;
  if (AllAnswered && Concluded.Conclusive && viewSettled(Now) && !ServedAndOpen &&
      !Concluded.HeldPackets.empty()) {
    if (auto Reset = makeReset(Concluded.HeldPackets.back()))
      addAction(Actions, std::move(*Reset));
  }
  for (std::size_t I = 0; I < Concluded.HeldPackets.size(); ++I)
    addDrop(Actions, ResultCode::FlowUnknown);
}

std::vector<Action> FlowRouter::onControl(const json &Message, Endpoint From, TimePoint Now) {
  std::vector<Action> Actions;
  try {
    dispatchControl(Message, From, Now, Actions);
  } catch (const json::exception &) {
    addDrop(Actions, ResultCode::MessageMalformed);
  }
  return Actions;
}

void FlowRouter::dispatchControl(const json &Message, Endpoint From, TimePoint Now,
                                 std::vector<Action> &Actions) {
  const auto &Type = Message.at("t").get_ref<const std::string &>();
  if (Type == "locate")
    onLocate(Message, From, Actions);
  else if (Type == "found")
    onFound(Message, Now, Actions);
  else if (Type == "notfound")
    onNotFound(Message, Now, Actions);
  else if (Type == "register")
    onRegister(Message, Now, Actions);
  else
    addDrop(Actions, ResultCode::MessageMalformed);
}

void FlowRouter::onLocate(const json &Message, Endpoint From, std::vector<Action> &Actions) {
  RouteView Requested;
  Requested.Key = flowKeyFromJson(Message.at("flow"));
  Requested.Bits = fromBits(common::readUnsigned<unsigned>(Message.at("bits")));
  Requested.Sequence = common::readUnsigned<std::uint32_t>(Message.at("seq"));
  Requested.Acknowledgement = common::readUnsigned<std::uint32_t>(Message.at("ack"));
  const auto ServedEntry = Served.find(Requested.Key);
  json Response = {{"flow", Message.at("flow")}, {"owner", SelfId}};
  if (ServedEntry != Served.end() && MatchesStream(Requested)) {
    Response["t"] = "found";
  } else {
    // An open flow with the same key but other sequence numbers doesn't prove that the requested
    // flow has ended. A digest of 0 makes the requester's result inconclusive.
    const bool OpenWithOtherNumbers = ServedEntry != Served.end() && ServedEntry->second.Open;
    const ServiceRoute *Route = View->serviceAt(Requested.Key.Service);
    Response["t"] = "notfound";
    Response["owners"] = Route == nullptr || OpenWithOtherNumbers ? 0 : ownersDigest(*Route);
  }
  addAction(Actions, SendControl{From, std::move(Response)});
}

void FlowRouter::onFound(const json &Message, TimePoint Now, std::vector<Action> &Actions) {
  const FlowKey Key = flowKeyFromJson(Message.at("flow"));
  const auto Pending = PendingLocates.find(Key);
  const Member *Owner = liveMember(Message.at("owner").get<std::string>());
  if (Pending == PendingLocates.end() || Owner == nullptr || Owner->Id == SelfId)
    return;
  recordHandOff(Key, Owner->Id, Now);
  const PendingLocate Concluded = std::move(Pending->second);
  PendingLocates.erase(Pending);
  for (const Bytes &Raw : Concluded.HeldPackets) {
    HeldBytes -= Raw.size();
    const auto Header = packet::readRoute(Raw);
    forward(Raw, Header->Ttl, *Owner, Actions);
  }
}

void FlowRouter::onNotFound(const json &Message, TimePoint Now, std::vector<Action> &Actions) {
  const FlowKey Key = flowKeyFromJson(Message.at("flow"));
  const auto Pending = PendingLocates.find(Key);
  if (Pending == PendingLocates.end())
    return;
  PendingLocate &Request = Pending->second;
  const auto Answered = std::find(Request.AwaitedOwners.begin(), Request.AwaitedOwners.end(),
                                  Message.at("owner").get_ref<const std::string &>());
  if (Answered == Request.AwaitedOwners.end())
    return;
  Request.AwaitedOwners.erase(Answered);
  // The result is inconclusive if a peer knows other possible owners than this agent does.
  if (common::readUnsigned<std::uint64_t>(Message.at("owners")) != Request.OwnersDigest)
    Request.Conclusive = false;
  if (Request.AwaitedOwners.empty())
    concludeLocate(Pending, true, Now, Actions);
}

void FlowRouter::onRegister(const json &Message, TimePoint Now, std::vector<Action> &Actions) {
  const auto Owner = Message.at("owner").get<std::string>();
  const json NoFlows = json::array();
  if (Owner == SelfId || liveMember(Owner) == nullptr)
    return;
  // An unreadable key doesn't hide the others.
  const auto ForEachKey = [&](const char *Field, auto &&Apply) {
    for (const json &FlowText : Message.value(Field, NoFlows)) {
      try {
        Apply(flowKeyFromJson(FlowText));
      } catch (const json::exception &) {
        addDrop(Actions, ResultCode::MessageMalformed);
      }
    }
  };
  ForEachKey("flows", [&](const FlowKey &Key) { recordHandOff(Key, Owner, Now); });
  ForEachKey("ended", [&](const FlowKey &Key) {
    const auto Entry = HandOffs.find(Key);
    if (Entry != HandOffs.end() && MemberNames.nameOf(Entry->second.Owner) == Owner)
      HandOffs.erase(Entry);
  });
}

bool FlowRouter::recordHandOff(const FlowKey &Key, const std::string &Owner, TimePoint Now) {
  const HandOff Entry{MemberNames.idOf(Owner), secondsSinceEpoch(Now)};
  const auto Existing = HandOffs.find(Key);
  if (Existing != HandOffs.end()) {
    Existing->second = Entry;
    return true;
  }
  if (HandOffs.size() >= MaxHandOffs)
    return false;
  if (HandOffs.empty())
    NextSweep = Now + SweepInterval;
  HandOffs.emplace(Key, Entry);
  return true;
}

std::vector<Action> FlowRouter::onViewChange(std::shared_ptr<const RoutingView> NewView,
                                             TimePoint Now) {
  const std::shared_ptr<const RoutingView> Previous = std::exchange(View, std::move(NewView));
  LastViewChange = Now;
  removeHandOffsToDeadOwners();
  queueRegistrations(Previous.get(), Now);
  return {};
}

void FlowRouter::removeHandOffsToDeadOwners() {
  DeadOwners.resize(MemberNames.size(), false);
  bool NewlyDead = false;
  for (NameId Id = 0; Id < DeadOwners.size(); ++Id) {
    const bool Dead = liveMember(MemberNames.nameOf(Id)) == nullptr;
    NewlyDead = NewlyDead || (Dead && !DeadOwners[Id]);
    DeadOwners[Id] = Dead;
  }
  if (NewlyDead)
    std::erase_if(HandOffs, [&](const auto &Entry) { return DeadOwners[Entry.second.Owner]; });
}

void FlowRouter::queueRegistrations(const RoutingView *Previous, TimePoint Now) {
  const bool Changed =
      std::any_of(ServedCountByService.begin(), ServedCountByService.end(), [&](const auto &Entry) {
        const std::string &Name = ServiceNames.nameOf(Entry.first);
        return View->service(Name) != Previous->service(Name);
      });
  if (!Changed)
    return;
  for (auto &[Key, Flow] : Served) {
    const std::string Home = homeOf(Key);
    const NameId HomeId = MemberNames.idOf(Home);
    if (HomeId == Flow.Home)
      continue;
    Flow.Home = HomeId;
    if (!Home.empty() && HomeId != SelfNameId)
      queueRegistration(Key, Flow, Now);
  }
}

void FlowRouter::queueRegistration(const FlowKey &Key, ServedFlow &Flow, TimePoint Now) {
  if (!std::exchange(Flow.RegistrationQueued, true))
    appendRegistration(Key, Now);
}

void FlowRouter::appendRegistration(const FlowKey &Key, TimePoint Now) {
  if (RegisterQueue.empty())
    NextRegistration = std::max(NextRegistration, Now);
  RegisterQueue.push_back(Key);
}

std::vector<Action> FlowRouter::onFlowEnded(const FlowKey &Key, TimePoint Now) {
  const auto ServedEntry = Served.find(Key);
  if (ServedEntry == Served.end())
    return {};
  const bool HomeIsRemote = ServedEntry->second.Home != SelfNameId;
  decrementServedCount(ServedEntry->second.Service);
  Served.erase(ServedEntry);
  if (HomeIsRemote && RegisterQueue.size() < MaxQueuedEndReports)
    appendRegistration(Key, Now);
  return {};
}

bool FlowRouter::mayServe(const config::ServiceName &Service) const {
  const ServiceRoute *Route = View->service(Service);
  return Route != nullptr && acceptsNewFlow(*Route);
}

bool FlowRouter::hasOtherCandidate(const config::ServiceName &Service) const {
  const ServiceRoute *Route = View->service(Service);
  return Route != nullptr &&
         std::any_of(Route->Candidates.begin(), Route->Candidates.end(),
                     [this](const Member &Candidate) { return Candidate.Id != SelfId; });
}

const Member *FlowRouter::chooseMoveTarget(const config::ServiceName &Service, TimePoint Now) {
  const ServiceRoute *Route = View->service(Service);
  return Route == nullptr ? nullptr : chooseOther(*Route, Now);
}

bool FlowRouter::adoptFlow(const FlowKey &Key, const config::ServiceName &Service, TimePoint Now) {
  const ServiceRoute *Route = View->serviceAt(Key.Service);
  const bool CanAccept = Route != nullptr && Route->Name == Service && acceptsNewFlow(*Route);
  if (!CanAccept || Served.size() >= MaxServedFlows || Served.contains(Key))
    return false;
  const NameId ServiceId = ServiceNames.idOf(Service);
  const std::string Home = homeOf(Key);
  ServedFlow &Flow =
      Served.emplace(Key, ServedFlow{ServiceId, MemberNames.idOf(Home)}).first->second;
  Flow.Open = true;
  ++ServedCountByService[ServiceId];
  HandOffs.erase(Key);
  if (Home != SelfId)
    queueRegistration(Key, Flow, Now);
  return true;
}

void FlowRouter::moveFlow(const FlowKey &Key, const std::string &Owner, TimePoint Now) {
  const auto ServedEntry = Served.find(Key);
  if (ServedEntry == Served.end())
    return;
  decrementServedCount(ServedEntry->second.Service);
  Served.erase(ServedEntry);
  // If the table is full, the owner is located when the next packet of the flow arrives.
  static_cast<void>(recordHandOff(Key, Owner, Now));
}

void FlowRouter::decrementServedCount(NameId Service) {
  const auto Count = ServedCountByService.find(Service);
  if (Count != ServedCountByService.end() && --Count->second == 0)
    ServedCountByService.erase(Count);
}

void FlowRouter::refuseNewFlows() noexcept { RefusingNewFlows = true; }

std::vector<FlowKey> FlowRouter::takeExpiredFlows() { return std::exchange(ExpiredFlows, {}); }

std::vector<Action> FlowRouter::onTimer(TimePoint Now) {
  std::vector<Action> Actions;
  expireHalfOpenFlows(Now);
  retransmitLocates(Now, Actions);
  sendRegistrations(Now, Actions);
  expireIdleHandOffs(Now);
  return Actions;
}

void FlowRouter::expireHalfOpenFlows(TimePoint Now) {
  while (!HalfOpenDeadlines.empty() && HalfOpenDeadlines.front().first <= Now) {
    const FlowKey Key = HalfOpenDeadlines.front().second;
    HalfOpenDeadlines.pop_front();
    const auto ServedEntry = Served.find(Key);
    if (ServedEntry == Served.end() || ServedEntry->second.Open)
      continue;
    decrementServedCount(ServedEntry->second.Service);
    Served.erase(ServedEntry);
    ExpiredFlows.push_back(Key);
  }
}

void FlowRouter::retransmitLocates(TimePoint Now, std::vector<Action> &Actions) {
  while (!LocateDeadlines.empty() && LocateDeadlines.front().first <= Now) {
    const FlowKey Key = LocateDeadlines.front().second;
    LocateDeadlines.pop_front();
    const auto Pending = PendingLocates.find(Key);
    if (Pending == PendingLocates.end())
      continue;
    if (Pending->second.Attempts++ >= LocateAttempts) {
      concludeLocate(Pending, false, Now, Actions);
      continue;
    }
    LocateDeadlines.emplace_back(Now + LocateInterval, Key);
    sendLocate(Pending->second, Actions);
  }
}

void FlowRouter::sendRegistrations(TimePoint Now, std::vector<Action> &Actions) {
  if (RegisterQueue.empty() || Now < NextRegistration)
    return;
  std::map<std::string, json> Messages;
  for (std::size_t I = 0; I < RegistrationsPerMessage && !RegisterQueue.empty(); ++I) {
    const FlowKey Key = RegisterQueue.front();
    RegisterQueue.pop_front();
    const auto ServedEntry = Served.find(Key);
    if (ServedEntry != Served.end())
      ServedEntry->second.RegistrationQueued = false;
    const std::string Home = homeOf(Key);
    if (Home.empty() || Home == SelfId)
      continue;
    auto &Message = Messages[Home];
    Message["t"] = "register";
    Message["owner"] = SelfId;
    Message[ServedEntry != Served.end() ? "flows" : "ended"].push_back(packet::toString(Key));
  }
  for (auto &[Home, Message] : Messages)
    if (const Member *Peer = liveMember(Home))
      addAction(Actions, SendControl{Peer->Control, std::move(Message)});
  NextRegistration = Now + RegistrationInterval;
}

void FlowRouter::expireIdleHandOffs(TimePoint Now) {
  if (HandOffs.empty() || Now < NextSweep)
    return;
  NextSweep = Now + SweepInterval;
  const auto LimitSeconds = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(HandOffIdleTimeout).count());
  const std::uint32_t NowSeconds = secondsSinceEpoch(Now);
  const std::size_t Buckets = HandOffs.bucket_count() / SweepParts + 1;
  const auto IdleKeys = HandOffSweep.next(HandOffs, Buckets, [&](const auto &Entry) {
    return NowSeconds - Entry.second.LastUsedSecond > LimitSeconds;
  });
  for (const FlowKey &Key : IdleKeys)
    HandOffs.erase(Key);
}

} // namespace galenarelay::flow
