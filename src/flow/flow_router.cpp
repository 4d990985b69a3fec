#include "galenarelay/flow/flow_router.h"

#include "galenarelay/common/hash.h"

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
using routing::NoMember;
using routing::RoutingView;
using routing::ServiceRoute;

namespace {

/// The longest correct path is home, second choice, outdated entry, owner. A packet with fewer hops
/// left than that path leaves may be in a cycle of outdated entries.
constexpr std::uint8_t CycleTtl = InitialTtl - 4;
/// Registrations go out in batches of one datagram.
constexpr Duration RegistrationInterval =
    std::chrono::microseconds(1'000'000 * RegistrationsPerMessage / RegistrationsPerSecond);
/// Ended flows beyond this are not reported to their homes; idle entries expire there.
constexpr std::size_t MaxQueuedEnds = 10'000;
constexpr Duration SweepInterval = std::chrono::seconds(1);
/// A sweep looks at one of this many parts of the hand-off table, so that it takes no long pause.
constexpr std::size_t SweepParts = 32;

/// Exception id of nlohmann-json's user range for a flow key that can't be parsed.
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

// Constructs the action in place: g++ 12 reports a moved temporary variant as maybe uninitialized.
template <typename T> void add(std::vector<Action> &Out, T &&Value) {
  Out.emplace_back(std::in_place_type<std::decay_t<T>>, std::forward<T>(Value));
}

void drop(std::vector<Action> &Out, ResultCode Reason) { add(Out, CountDrop{Reason}); }

std::uint32_t secondOf(TimePoint Now) noexcept {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(Now.time_since_epoch()).count());
}

/// Identifies a set of possible owners; two agents with the same digest would ask the same peers.
std::uint64_t ownersDigest(const ServiceRoute &Route) {
  std::uint64_t Digest = 0;
  for (const Member &Owner : Route.PossibleOwners)
    Digest = common::hash64(Owner.Id, Digest);
  return Digest;
}

/// Reads a flow key of a control message. Throws json::exception if the text is none.
FlowKey flowOf(const json &Text) {
  const auto &Written = Text.get_ref<const std::string &>();
  const auto Parsed = common::capture([&] { return packet::parseFlowKey(Written); });
  if (!Parsed)
    throw json::other_error::create(InvalidFlowKey, Parsed.Failure.Detail, &Text);
  return *Parsed;
}

/// A reset as TCP answers a segment for no connection (RFC 9293, section 3.10.7.1).
std::optional<SendToCaller> resetFor(std::span<const std::uint8_t> Raw) {
  const auto Parsed = common::capture([&] { return packet::parseFromCaller(Raw); });
  if (!Parsed || Parsed->Bits.Rst || !Parsed->Bits.Ack)
    return std::nullopt;
  packet::Packet Answer;
  Answer.Key = Parsed->Key;
  Answer.TowardsCaller = true;
  Answer.Bits = {.Ack = true, .Rst = true};
  Answer.Sequence = Parsed->Acknowledgement;
  Answer.Acknowledgement = Parsed->Sequence + static_cast<std::uint32_t>(Parsed->Payload.size()) +
                           (Parsed->Bits.Fin ? 1 : 0);
  return SendToCaller{std::move(Answer)};
}

} // namespace

FlowRouter::NameId FlowRouter::Names::idOf(const std::string &Name) {
  const auto [Found, Added] = Ids.try_emplace(Name, static_cast<NameId>(Texts.size()));
  if (Added)
    Texts.push_back(Name);
  return Found->second;
}

FlowRouter::FlowRouter(std::string SelfId, UpstreamChooser Choose, FlowFits Fits,
                       std::uint64_t Seed)
    : SelfId(std::move(SelfId)), Choose(std::move(Choose)), Fits(std::move(Fits)), Random(Seed),
      View(std::make_shared<RoutingView>()) {
  SelfName = MemberNames.idOf(this->SelfId);
}

std::size_t FlowRouter::servedFlows() const noexcept { return Served.size(); }

std::size_t FlowRouter::handedOffFlows() const noexcept { return HandOffs.size(); }

std::vector<config::ServiceName> FlowRouter::residualServices() const {
  std::vector<config::ServiceName> Residual;
  for (const auto &[Service, Count] : ServedByService) {
    const ServiceRoute *Route = View->service(ServiceNames.nameOf(Service));
    if (Route == nullptr || !isCandidate(*Route))
      Residual.push_back(ServiceNames.nameOf(Service));
  }
  std::sort(Residual.begin(), Residual.end());
  return Residual;
}

json FlowRouter::explain(const FlowKey &Key) const {
  json Answer = {{"flow", packet::toString(Key)}, {"agent", SelfId}};
  const ServiceRoute *Route = View->serviceAt(Key.Service);
  if (Route == nullptr) {
    Answer["reason"] = "no service has this address";
    return Answer;
  }
  Answer["service"] = Route->Name;
  const routing::Choice Choice = Route->Table.choose(packet::hash(Key));
  if (Choice.First != NoMember)
    Answer["home"] = Route->Candidates[Choice.First].Id;
  if (Choice.Second != NoMember)
    Answer["second"] = Route->Candidates[Choice.Second].Id;
  const auto Here = Served.find(Key);
  const auto There = HandOffs.find(Key);
  if (Here != Served.end()) {
    Answer["owner"] = SelfId;
    Answer["state"] = Here->second.Open ? "open" : "half-open";
    Answer["reason"] = "served here";
  } else if (There != HandOffs.end()) {
    Answer["owner"] = MemberNames.nameOf(There->second.Owner);
    Answer["reason"] = "handed off or located";
  } else if (Locates.contains(Key)) {
    Answer["reason"] = "unknown, being located";
  } else {
    Answer["reason"] = "unknown: a SYN goes by the home's decision, other packets by the second "
                       "choice and locate";
  }
  return Answer;
}

std::optional<TimePoint> FlowRouter::nextTimer() const noexcept {
  TimePoint Next = TimePoint::max();
  if (!HalfOpen.empty())
    Next = std::min(Next, HalfOpen.front().first);
  if (!LocateDeadlines.empty())
    Next = std::min(Next, LocateDeadlines.front().first);
  if (!RegisterQueue.empty())
    Next = std::min(Next, NextRegistration);
  if (!HandOffs.empty())
    Next = std::min(Next, NextSweep);
  return Next == TimePoint::max() ? std::nullopt : std::optional(Next);
}

bool FlowRouter::isCandidate(const ServiceRoute &Route) const {
  const auto &Ids = Route.Table.members();
  return std::binary_search(Ids.begin(), Ids.end(), SelfId);
}

bool FlowRouter::takesNewFlow(const ServiceRoute &Route) const {
  return !Refusing && isCandidate(Route);
}

std::string FlowRouter::homeOf(const FlowKey &Key) const {
  const ServiceRoute *Route = View->serviceAt(Key.Service);
  if (Route == nullptr)
    return {};
  const routing::Choice Choice = Route->Table.choose(packet::hash(Key));
  return Choice.First == NoMember ? std::string() : Route->Candidates[Choice.First].Id;
}

const Member *FlowRouter::liveMember(const std::string &Id) const {
  const Member *Found = View->member(Id);
  return Found != nullptr && Found->State != MemberState::Dead ? Found : nullptr;
}

bool FlowRouter::settled(TimePoint Now) const noexcept {
  return Now - LastViewChange >= ViewSettle;
}

std::vector<Action> FlowRouter::onPacket(std::span<const std::uint8_t> Packet, TimePoint Now) {
  std::vector<Action> Out;
  const auto Header = packet::readRoute(Packet);
  if (!Header) {
    drop(Out, ResultCode::PacketMalformed);
    return Out;
  }
  const ServiceRoute *Route = View->serviceAt(Header->Key.Service);
  if (Route == nullptr) {
    drop(Out, ResultCode::PacketUnknownService);
    return Out;
  }
  route({*Header, *Route, Packet, Now}, Out);
  return Out;
}

// The rules of docs/design.md, section 5, in their order.
void FlowRouter::route(const Arrival &In, std::vector<Action> &Out) {
  const auto Here = Served.find(In.Header.Key);
  if (Here != Served.end()) {
    routeServed(In, Here->second, Out);
    return;
  }
  if (routeHandedOff(In, Out))
    return;
  if (In.Header.Bits.Syn)
    routeNewFlow(In, Out);
  else if (In.Header.Ttl >= InitialTtl)
    routeToOtherChoice(In, Out);
  else
    locate(In, Out);
}

void FlowRouter::routeServed(const Arrival &In, ServedFlow &Flow, std::vector<Action> &Out) {
  if (ServiceNames.nameOf(Flow.Service) != In.Route.Name) {
    drop(Out, ResultCode::PacketWrongService);
    return;
  }
  if (Fits(In.Header)) {
    if (In.Header.Bits.Ack && !In.Header.Bits.Syn && !In.Header.Bits.Rst)
      Flow.Open = true;
    add(Out, DeliverPacket{In.Header.Key, Bytes(In.Packet.begin(), In.Packet.end())});
    return;
  }
  // A SYN with other numbers opens a new flow with an old key. Its caller repeats it until the old
  // flow has ended.
  if (In.Header.Bits.Syn)
    drop(Out, ResultCode::FlowUnknown);
  else if (!routeHandedOff(In, Out))
    locate(In, Out);
}

bool FlowRouter::routeHandedOff(const Arrival &In, std::vector<Action> &Out) {
  const auto Entry = HandOffs.find(In.Header.Key);
  if (Entry == HandOffs.end())
    return false;
  const Member *Owner = liveMember(MemberNames.nameOf(Entry->second.Owner));
  if (Owner == nullptr || In.Header.Ttl <= CycleTtl) {
    HandOffs.erase(Entry);
    return false;
  }
  Entry->second.UsedSecond = secondOf(In.Now);
  forward(In.Packet, In.Header.Ttl, *Owner, Out);
  return true;
}

void FlowRouter::forward(std::span<const std::uint8_t> Packet, std::uint8_t Ttl,
                         const Member &Target, std::vector<Action> &Out) const {
  if (Ttl <= 1) {
    drop(Out, ResultCode::PacketHopLimit);
    return;
  }
  ForwardPacket Forwarded{Target.Data, Bytes(Packet.begin(), Packet.end())};
  packet::rewriteTtl(Forwarded.Packet, std::min<std::uint8_t>(Ttl, InitialTtl) - 1);
  add(Out, std::move(Forwarded));
}

void FlowRouter::routeNewFlow(const Arrival &In, std::vector<Action> &Out) {
  const bool ChosenByHome = In.Header.Ttl < InitialTtl;
  if (ChosenByHome && takesNewFlow(In.Route)) {
    acceptFlow(In, Out);
    return;
  }
  if (!ChosenByHome && takesNewFlow(In.Route)) {
    const auto Chosen = Choose(In.Route, SelfId, In.Now);
    if (!Chosen || *Chosen >= In.Route.Candidates.size()) {
      drop(Out, ResultCode::NoUpstream);
      return;
    }
    const Member &Target = In.Route.Candidates[*Chosen];
    if (Target.Id == SelfId)
      acceptFlow(In, Out);
    else
      redirectFlow(In, Target, Out);
    return;
  }
  if (const Member *Other = chooseOther(In.Route, In.Now))
    redirectFlow(In, *Other, Out);
  else
    drop(Out, isCandidate(In.Route) ? ResultCode::NoUpstream : ResultCode::PacketWrongService);
}

const Member *FlowRouter::chooseOther(const ServiceRoute &Route, TimePoint Now) {
  const auto &Candidates = Route.Candidates;
  const auto Chosen = Choose(Route, SelfId, Now);
  if (Chosen && *Chosen < Candidates.size() && Candidates[*Chosen].Id != SelfId)
    return &Candidates[*Chosen];
  const std::size_t Start = common::uniformBelow(Random, Candidates.size());
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    const Member &Other = Candidates[(Start + I) % Candidates.size()];
    if (Other.Id != SelfId)
      return &Other;
  }
  return nullptr;
}

void FlowRouter::acceptFlow(const Arrival &In, std::vector<Action> &Out) {
  if (Served.size() >= MaxServedFlows) {
    drop(Out, ResultCode::FlowTableFull);
    return;
  }
  const FlowKey &Key = In.Header.Key;
  const NameId Service = ServiceNames.idOf(In.Route.Name);
  const std::string Home = homeOf(Key);
  ServedFlow &Flow = Served.emplace(Key, ServedFlow{Service, MemberNames.idOf(Home)}).first->second;
  ++ServedByService[Service];
  HalfOpen.emplace_back(In.Now + HalfOpenTimeout, Key);
  // The home that handed the flow off has recorded it. After a recent change of the view that home
  // may not be the one that other nodes see.
  if (Home != SelfId && (In.Header.Ttl >= InitialTtl || !settled(In.Now)))
    queueRegistration(Key, Flow, In.Now);
  add(Out, AcceptFlow{Key, In.Route.Name, Bytes(In.Packet.begin(), In.Packet.end())});
}

void FlowRouter::redirectFlow(const Arrival &In, const Member &Target, std::vector<Action> &Out) {
  const FlowKey &Key = In.Header.Key;
  if (In.Header.Ttl <= 1) {
    drop(Out, ResultCode::PacketHopLimit);
    return;
  }
  if (!recordHandOff(Key, Target.Id, In.Now)) {
    drop(Out, ResultCode::FlowTableFull);
    return;
  }
  forward(In.Packet, In.Header.Ttl, Target, Out);
  const Member *Home = liveMember(homeOf(Key));
  if (In.Header.Ttl < InitialTtl && Home != nullptr && Home->Id != SelfId && Home->Id != Target.Id)
    add(Out, SendControl{Home->Control,
                         {{"t", "register"},
                          {"owner", Target.Id},
                          {"flows", json::array({packet::toString(Key)})}}});
}

void FlowRouter::routeToOtherChoice(const Arrival &In, std::vector<Action> &Out) {
  const routing::Choice Choice = In.Route.Table.choose(packet::hash(In.Header.Key));
  const auto Id = [&](std::uint16_t At) {
    return At == NoMember ? nullptr : &In.Route.Candidates[At];
  };
  const Member *Other = Id(Choice.First);
  if (Other != nullptr && Other->Id == SelfId)
    Other = Id(Choice.Second);
  if (Other != nullptr)
    forward(In.Packet, In.Header.Ttl, *Other, Out);
  else
    locate(In, Out);
}

void FlowRouter::locate(const Arrival &In, std::vector<Action> &Out) {
  const auto Known = Locates.find(In.Header.Key);
  if (Known != Locates.end()) {
    hold(Known->second, In.Packet, Out);
    return;
  }
  if (Locates.size() >= MaxLocates || !takeLocateToken(In.Now)) {
    drop(Out, ResultCode::FlowUnknown);
    return;
  }
  const auto Added = Locates.try_emplace(In.Header.Key).first;
  Locate &Pending = Added->second;
  Pending.Route = In.Header;
  Pending.OwnersDigest = ownersDigest(In.Route);
  for (const Member &Owner : In.Route.PossibleOwners)
    if (Owner.Id != SelfId)
      Pending.Waiting.push_back(Owner.Id);
  hold(Pending, In.Packet, Out);
  if (Pending.Waiting.empty()) {
    concludeLocate(Added, true, In.Now, Out);
    return;
  }
  LocateDeadlines.emplace_back(In.Now + LocateInterval, In.Header.Key);
  sendLocate(Pending, Out);
}

void FlowRouter::hold(Locate &Pending, std::span<const std::uint8_t> Packet,
                      std::vector<Action> &Out) {
  if (Pending.Held.size() >= MaxHeldPerFlow || HeldBytes + Packet.size() > MaxHeldBytes) {
    drop(Out, ResultCode::FlowUnknown);
    return;
  }
  HeldBytes += Packet.size();
  Pending.Held.emplace_back(Packet.begin(), Packet.end());
}

bool FlowRouter::takeLocateToken(TimePoint Now) {
  constexpr double MicrosecondsPerSecond = 1e6;
  const double Refill = static_cast<double>((Now - LocateTokensAt).count()) * MaxLocatesPerSecond /
                        MicrosecondsPerSecond;
  LocateTokens = std::min<double>(LocateTokens + Refill, MaxLocatesPerSecond);
  LocateTokensAt = Now;
  if (LocateTokens < 1)
    return false;
  LocateTokens -= 1;
  return true;
}

void FlowRouter::sendLocate(const Locate &Pending, std::vector<Action> &Out) const {
  const json Message = {{"t", "locate"},
                        {"flow", packet::toString(Pending.Route.Key)},
                        {"bits", toBits(Pending.Route.Bits)},
                        {"seq", Pending.Route.Sequence},
                        {"ack", Pending.Route.Acknowledgement}};
  for (const std::string &Id : Pending.Waiting)
    if (const Member *Peer = liveMember(Id))
      add(Out, SendControl{Peer->Control, Message});
}

void FlowRouter::concludeLocate(LocateMap::iterator Pending, bool AllAnswered, TimePoint Now,
                                std::vector<Action> &Out) {
  const FlowKey Key = Pending->first;
  const Locate Done = std::move(Pending->second);
  Locates.erase(Pending);
  for (const Bytes &Raw : Done.Held)
    HeldBytes -= Raw.size();
  const auto Here = Served.find(Key);
  const bool OpenHere = Here != Served.end() && Here->second.Open;
  if (AllAnswered && Done.Conclusive && settled(Now) && !OpenHere && !Done.Held.empty()) {
    if (auto Reset = resetFor(Done.Held.back()))
      add(Out, std::move(*Reset));
  }
  for (std::size_t I = 0; I < Done.Held.size(); ++I)
    drop(Out, ResultCode::FlowUnknown);
}

std::vector<Action> FlowRouter::onControl(const json &Message, Endpoint From, TimePoint Now) {
  std::vector<Action> Out;
  try {
    dispatchControl(Message, From, Now, Out);
  } catch (const json::exception &) {
    drop(Out, ResultCode::MessageMalformed);
  }
  return Out;
}

void FlowRouter::dispatchControl(const json &Message, Endpoint From, TimePoint Now,
                                 std::vector<Action> &Out) {
  const auto &Type = Message.at("t").get_ref<const std::string &>();
  if (Type == "locate")
    onLocate(Message, From, Out);
  else if (Type == "found")
    onFound(Message, Now, Out);
  else if (Type == "notfound")
    onNotFound(Message, Now, Out);
  else if (Type == "register")
    onRegister(Message, Now);
  else
    drop(Out, ResultCode::MessageMalformed);
}

void FlowRouter::onLocate(const json &Message, Endpoint From, std::vector<Action> &Out) {
  RouteView Asked;
  Asked.Key = flowOf(Message.at("flow"));
  Asked.Bits = fromBits(Message.at("bits").get<unsigned>());
  Asked.Sequence = Message.at("seq").get<std::uint32_t>();
  Asked.Acknowledgement = Message.at("ack").get<std::uint32_t>();
  const auto Here = Served.find(Asked.Key);
  json Answer = {{"flow", Message.at("flow")}, {"owner", SelfId}};
  if (Here != Served.end() && Fits(Asked)) {
    Answer["t"] = "found";
  } else {
    // An open flow with the same key and other numbers is no proof that the asked one has ended.
    const bool Doubtful = Here != Served.end() && Here->second.Open;
    const ServiceRoute *Route = View->serviceAt(Asked.Key.Service);
    Answer["t"] = "notfound";
    Answer["owners"] = Route == nullptr || Doubtful ? 0 : ownersDigest(*Route);
  }
  add(Out, SendControl{From, std::move(Answer)});
}

void FlowRouter::onFound(const json &Message, TimePoint Now, std::vector<Action> &Out) {
  const FlowKey Key = flowOf(Message.at("flow"));
  const auto Pending = Locates.find(Key);
  const Member *Owner = liveMember(Message.at("owner").get<std::string>());
  if (Pending == Locates.end() || Owner == nullptr || Owner->Id == SelfId)
    return;
  recordHandOff(Key, Owner->Id, Now);
  const Locate Done = std::move(Pending->second);
  Locates.erase(Pending);
  for (const Bytes &Raw : Done.Held) {
    HeldBytes -= Raw.size();
    const auto Header = packet::readRoute(Raw);
    forward(Raw, Header->Ttl, *Owner, Out);
  }
}

void FlowRouter::onNotFound(const json &Message, TimePoint Now, std::vector<Action> &Out) {
  const FlowKey Key = flowOf(Message.at("flow"));
  const auto Pending = Locates.find(Key);
  if (Pending == Locates.end())
    return;
  Locate &Asked = Pending->second;
  const auto Known = std::find(Asked.Waiting.begin(), Asked.Waiting.end(),
                               Message.at("owner").get_ref<const std::string &>());
  if (Known == Asked.Waiting.end())
    return;
  Asked.Waiting.erase(Known);
  // A peer that knows of other possible owners than this agent makes the answers inconclusive.
  if (Message.at("owners").get<std::uint64_t>() != Asked.OwnersDigest)
    Asked.Conclusive = false;
  if (Asked.Waiting.empty())
    concludeLocate(Pending, true, Now, Out);
}

void FlowRouter::onRegister(const json &Message, TimePoint Now) {
  const auto Owner = Message.at("owner").get<std::string>();
  const json None = json::array();
  if (Owner == SelfId || liveMember(Owner) == nullptr)
    return;
  for (const json &Text : Message.value("flows", None))
    recordHandOff(flowOf(Text), Owner, Now);
  for (const json &Text : Message.value("ended", None)) {
    const auto Entry = HandOffs.find(flowOf(Text));
    if (Entry != HandOffs.end() && MemberNames.nameOf(Entry->second.Owner) == Owner)
      HandOffs.erase(Entry);
  }
}

bool FlowRouter::recordHandOff(const FlowKey &Key, const std::string &Owner, TimePoint Now) {
  const HandOff Entry{MemberNames.idOf(Owner), secondOf(Now)};
  const auto Known = HandOffs.find(Key);
  if (Known != HandOffs.end()) {
    Known->second = Entry;
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
  forgetDeadOwners();
  queueRegistrations(Previous.get(), Now);
  return {};
}

void FlowRouter::forgetDeadOwners() {
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
      std::any_of(ServedByService.begin(), ServedByService.end(), [&](const auto &Entry) {
        const std::string &Name = ServiceNames.nameOf(Entry.first);
        return View->service(Name) != Previous->service(Name);
      });
  if (!Changed)
    return;
  for (auto &[Key, Flow] : Served) {
    const std::string Home = homeOf(Key);
    const NameId HomeName = MemberNames.idOf(Home);
    if (HomeName == Flow.Home)
      continue;
    Flow.Home = HomeName;
    if (!Home.empty() && HomeName != SelfName)
      queueRegistration(Key, Flow, Now);
  }
}

void FlowRouter::queueRegistration(const FlowKey &Key, ServedFlow &Flow, TimePoint Now) {
  if (!std::exchange(Flow.Queued, true))
    appendRegistration(Key, Now);
}

void FlowRouter::appendRegistration(const FlowKey &Key, TimePoint Now) {
  if (RegisterQueue.empty())
    NextRegistration = std::max(NextRegistration, Now);
  RegisterQueue.push_back(Key);
}

std::vector<Action> FlowRouter::onFlowEnded(const FlowKey &Key, TimePoint Now) {
  const auto Ended = Served.find(Key);
  if (Ended == Served.end())
    return {};
  const bool HomeKnows = Ended->second.Home != SelfName;
  forgetService(Ended->second.Service);
  Served.erase(Ended);
  if (HomeKnows && RegisterQueue.size() < MaxQueuedEnds)
    appendRegistration(Key, Now);
  return {};
}

bool FlowRouter::mayServe(const config::ServiceName &Service) const {
  const ServiceRoute *Route = View->service(Service);
  return Route != nullptr && takesNewFlow(*Route);
}

bool FlowRouter::hasOtherCandidate(const config::ServiceName &Service) const {
  const ServiceRoute *Route = View->service(Service);
  return Route != nullptr &&
         std::any_of(Route->Candidates.begin(), Route->Candidates.end(),
                     [this](const Member &Candidate) { return Candidate.Id != SelfId; });
}

const Member *FlowRouter::moveTarget(const config::ServiceName &Service, TimePoint Now) {
  const ServiceRoute *Route = View->service(Service);
  return Route == nullptr ? nullptr : chooseOther(*Route, Now);
}

bool FlowRouter::adoptFlow(const FlowKey &Key, const config::ServiceName &Service, TimePoint Now) {
  const ServiceRoute *Route = View->serviceAt(Key.Service);
  const bool Allowed = Route != nullptr && Route->Name == Service && takesNewFlow(*Route);
  if (!Allowed || Served.size() >= MaxServedFlows || Served.contains(Key))
    return false;
  const NameId Known = ServiceNames.idOf(Service);
  const std::string Home = homeOf(Key);
  ServedFlow &Flow = Served.emplace(Key, ServedFlow{Known, MemberNames.idOf(Home)}).first->second;
  Flow.Open = true;
  ++ServedByService[Known];
  HandOffs.erase(Key);
  if (Home != SelfId)
    queueRegistration(Key, Flow, Now);
  return true;
}

void FlowRouter::moveFlow(const FlowKey &Key, const std::string &Owner, TimePoint Now) {
  const auto Moved = Served.find(Key);
  if (Moved == Served.end())
    return;
  forgetService(Moved->second.Service);
  Served.erase(Moved);
  // Without room for the entry, packets of the flow go by locate.
  static_cast<void>(recordHandOff(Key, Owner, Now));
}

void FlowRouter::forgetService(NameId Service) {
  const auto Count = ServedByService.find(Service);
  if (Count != ServedByService.end() && --Count->second == 0)
    ServedByService.erase(Count);
}

void FlowRouter::refuseNewFlows() noexcept { Refusing = true; }

std::vector<FlowKey> FlowRouter::takeExpired() { return std::exchange(Expired, {}); }

std::vector<Action> FlowRouter::onTimer(TimePoint Now) {
  std::vector<Action> Out;
  dropHalfOpen(Now);
  repeatLocates(Now, Out);
  sendRegistrations(Now, Out);
  forgetIdleHandOffs(Now);
  return Out;
}

void FlowRouter::dropHalfOpen(TimePoint Now) {
  while (!HalfOpen.empty() && HalfOpen.front().first <= Now) {
    const FlowKey Key = HalfOpen.front().second;
    HalfOpen.pop_front();
    const auto Here = Served.find(Key);
    if (Here == Served.end() || Here->second.Open)
      continue;
    forgetService(Here->second.Service);
    Served.erase(Here);
    Expired.push_back(Key);
  }
}

void FlowRouter::repeatLocates(TimePoint Now, std::vector<Action> &Out) {
  while (!LocateDeadlines.empty() && LocateDeadlines.front().first <= Now) {
    const FlowKey Key = LocateDeadlines.front().second;
    LocateDeadlines.pop_front();
    const auto Pending = Locates.find(Key);
    if (Pending == Locates.end())
      continue;
    if (Pending->second.Attempts++ >= LocateAttempts) {
      concludeLocate(Pending, false, Now, Out);
      continue;
    }
    LocateDeadlines.emplace_back(Now + LocateInterval, Key);
    sendLocate(Pending->second, Out);
  }
}

void FlowRouter::sendRegistrations(TimePoint Now, std::vector<Action> &Out) {
  if (RegisterQueue.empty() || Now < NextRegistration)
    return;
  std::map<std::string, json> Messages;
  for (std::size_t I = 0; I < RegistrationsPerMessage && !RegisterQueue.empty(); ++I) {
    const FlowKey Key = RegisterQueue.front();
    RegisterQueue.pop_front();
    const auto Here = Served.find(Key);
    if (Here != Served.end())
      Here->second.Queued = false;
    const std::string Home = homeOf(Key);
    if (Home.empty() || Home == SelfId)
      continue;
    auto &Message = Messages[Home];
    Message["t"] = "register";
    Message["owner"] = SelfId;
    Message[Here != Served.end() ? "flows" : "ended"].push_back(packet::toString(Key));
  }
  for (auto &[Home, Message] : Messages)
    if (const Member *Peer = liveMember(Home))
      add(Out, SendControl{Peer->Control, std::move(Message)});
  NextRegistration = Now + RegistrationInterval;
}

void FlowRouter::forgetIdleHandOffs(TimePoint Now) {
  if (HandOffs.empty() || Now < NextSweep)
    return;
  NextSweep = Now + SweepInterval;
  const auto Limit = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(HandOffIdleTimeout).count());
  const std::uint32_t Second = secondOf(Now);
  const std::size_t Buckets = HandOffs.bucket_count() / SweepParts + 1;
  const auto Idle = Sweep.next(HandOffs, Buckets, [&](const auto &Entry) {
    return Second - Entry.second.UsedSecond > Limit;
  });
  for (const FlowKey &Key : Idle)
    HandOffs.erase(Key);
}

} // namespace galenarelay::flow
