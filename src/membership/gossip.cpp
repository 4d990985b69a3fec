#include "galenarelay/membership/gossip.h"

#include "galenarelay/common/hash.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace galenarelay::membership {

using common::Endpoint;
using common::Error;
using common::ResultCode;
using common::TimePoint;
using nlohmann::json;

namespace {

/// Larger incarnations are refused, so that a refutation can always go one higher.
constexpr std::uint64_t MaxIncarnation = std::uint64_t{1} << 62;
/// Room for the keys and the array header that the record list adds to a datagram.
constexpr std::size_t FrameBytes = 8;
/// Size of a record in a JSON member list, for the rate of full synchronisations.
constexpr double ListedRecordBytes = 220;

/// Suspicion is temporary and each node ends it at its own time, so it doesn't count.
std::uint64_t recordDigest(const Member &Of) {
  if (Of.State == MemberState::Dead)
    return 0;
  const bool Suspected = Of.State == MemberState::Suspect;
  const auto State = static_cast<std::uint64_t>(Suspected ? MemberState::Active : Of.State);
  return common::hash64(Of.Id, Of.Incarnation * 8 + State);
}

/// A state that a peer observed, for members whose record everyone has.
json shortRecord(const Member &Of) { return json::array({Of.Id, Of.Incarnation, Of.State}); }

json fullRecord(Member Of) {
  json Record = toJson(Of);
  while (!Of.Residual.empty() && impl::cborBytes(Record) > MaxRecordBytes) {
    Of.Residual.pop_back();
    Record = toJson(Of);
  }
  return Record;
}

bool isSettled(const Member &Of) noexcept {
  return Of.State == MemberState::Active || Of.State == MemberState::Suspect;
}

std::uint64_t unsignedField(const json &Message, const char *Key) {
  return Message.at(Key).get<std::uint64_t>();
}

} // namespace

std::vector<std::string> storeWatchers(const std::vector<Member> &Members,
                                       const std::string &Zone) {
  constexpr std::uint64_t WatchSeed = 0x7761746368;
  std::vector<std::pair<std::uint64_t, std::string>> Scores;
  for (const Member &Candidate : Members)
    if (Candidate.Zone == Zone && isSettled(Candidate))
      Scores.emplace_back(common::hash64(Candidate.Id, WatchSeed), Candidate.Id);
  std::sort(Scores.rbegin(), Scores.rend());
  std::vector<std::string> Ids;
  for (std::size_t I = 0; I < Scores.size() && I < WatchersPerZone; ++I)
    Ids.push_back(Scores[I].second);
  return Ids;
}

Gossip::Gossip(Member Self, std::vector<Endpoint> Seeds, std::uint64_t Seed)
    : Own(std::move(Self)), Random(Seed) {
  addContacts(Seeds);
  Digest = recordDigest(Own);
}

std::vector<Member> Gossip::members() const {
  std::vector<Member> All;
  All.reserve(Peers.size() + 1);
  for (const auto &Entry : Peers)
    All.push_back(Entry.second.Record);
  const auto At = std::lower_bound(
      All.begin(), All.end(), Own.Id,
      [](const Member &Left, const std::string &Right) { return Left.Id < Right; });
  All.insert(At, Own);
  return All;
}

const Member *Gossip::member(const std::string &Id) const noexcept {
  if (Id == Own.Id)
    return &Own;
  const auto Found = Peers.find(Id);
  return Found == Peers.end() ? nullptr : &Found->second.Record;
}

std::size_t Gossip::liveCount() const { return liveIds().size() + 1; }

bool Gossip::hasUnsentChanges() const noexcept { return pushIsDue(); }

void Gossip::addContacts(const std::vector<Endpoint> &Addresses) {
  for (const Endpoint &Address : Addresses) {
    const bool Known = std::find(Contacts.begin(), Contacts.end(), Address) != Contacts.end();
    if (!Known && Address != Own.Control && Contacts.size() < MaxContacts)
      Contacts.push_back(Address);
  }
  UntriedContacts = Contacts.size();
}

TimePoint Gossip::nextTimer() const {
  TimePoint Next = std::min(NextProbe, NextDeadProbe);
  if (Current && !Current->Asked)
    Next = std::min(Next, IndirectAt);
  if (!Suspicions.empty())
    Next = std::min(Next, Suspicions.begin()->first);
  if (pushIsDue())
    Next = std::min(Next, NextPush);
  return Next;
}

GossipActions Gossip::start(TimePoint Now) {
  // Nodes that start together spread their probes over the interval.
  const auto Offset =
      common::uniformBelow(Random, static_cast<std::uint64_t>(ProbeInterval.count()));
  NextProbe = Now + common::Duration(static_cast<std::int64_t>(Offset));
  NextDeadProbe = Now + DeadProbeInterval;
  NextPush = Now;
  BudgetAt = Now;
  NextSync = Now;
  LastChange = Now;
  broadcast(Own);
  contactSeed(Now);
  return takeActions();
}

GossipActions Gossip::onTimer(TimePoint Now) {
  refill(Now);
  if (Now - NextProbe > AckTimeout)
    resumeAfterPause(Now);
  expireSuspicions(Now);
  if (Current && !Current->Asked && Now >= IndirectAt)
    askIndirect();
  if (Now >= NextProbe) {
    endProbe(Now);
    probeNext(Now);
    forgetDead(Now);
    NextProbe += ProbeInterval;
    if (!Joined || UntriedContacts > 0 || Now >= NextSeedContact)
      contactSeed(Now);
  }
  if (Now >= NextDeadProbe)
    probeDead(Now);
  if (pushIsDue() && Now >= NextPush)
    pushChanges(Now);
  return takeActions();
}

GossipActions Gossip::onMessage(const json &Message, Endpoint From, TimePoint Now) {
  refill(Now);
  try {
    readMessage(Message, From, Now);
  } catch (const json::exception &Problem) {
    Out.emplace_back(RejectInput{Error{ResultCode::MessageMalformed, Problem.what()}});
  }
  return takeActions();
}

GossipActions Gossip::onMembers(const std::vector<Member> &List, TimePoint Now) {
  refill(Now);
  // A list with many news is a join or a healed partition; the others ask for it themselves.
  const auto IsNews = [&](const Member &Offered) {
    const Member *Known = member(Offered.Id);
    return Known == nullptr || supersedes(Offered, *Known);
  };
  const auto News = static_cast<std::size_t>(std::count_if(List.begin(), List.end(), IsNews));
  const bool PassOn = Joined && News <= MaxRelayedRecords;
  for (const Member &Offered : List)
    if (apply(Offered, Source::List, Now) && PassOn && Offered.Id != Own.Id)
      broadcast(Peers.at(Offered.Id).Record);
  Joined = true;
  return takeActions();
}

GossipActions Gossip::announce(MemberState State, std::vector<std::string> Residual,
                               TimePoint Now) {
  const Member Before = Own;
  Own.State = State;
  Own.Residual = std::move(Residual);
  if (Own == Before)
    return takeActions();
  // Always higher, so that a suspicion of the old state can't outlive the announcement.
  ++Own.Incarnation;
  refreshOwnDigest(Before);
  broadcast(Own);
  LastChange = Now;
  Changed = true;
  return takeActions();
}

GossipActions Gossip::setRevision(std::uint64_t Held, TimePoint Now) {
  if (Held > Revision) {
    Revision = Held;
    RevisionRounds = PushRounds;
    NextPush = std::max(NextPush, Now);
  }
  return takeActions();
}

GossipActions Gossip::takeActions() {
  if (Changed)
    Out.emplace_back(ViewChanged{});
  Changed = false;
  return std::exchange(Out, {});
}

void Gossip::readMessage(const json &Message, Endpoint From, TimePoint Now) {
  const auto Type = Message.at("t").get<std::string>();
  const auto Sender = Message.at("f").get<std::string>();
  const std::uint64_t Theirs = unsignedField(Message, "rev");
  const std::uint64_t TheirDigest = unsignedField(Message, "d");
  readRecords(Message.at("u"), Now);
  const auto Found = Peers.find(Sender);
  const Peer *Known = Found == Peers.end() ? nullptr : &Found->second;
  if (Known != nullptr && Theirs > Revision)
    Out.emplace_back(FetchConfiguration{Known->Record.Admin, Theirs});
  if (Type == "ping") {
    json Fields{{"n", unsignedField(Message, "n")}};
    if (Message.contains("j"))
      Fields["u"] = json::array({fullRecord(Own)});
    send("ack", From, Known, std::move(Fields));
  } else if (Type == "ack") {
    onAck(unsignedField(Message, "n"));
  } else if (Type == "pingreq") {
    relayProbe(Message, From, Now);
  } else if (Type != "push") {
    Out.emplace_back(RejectInput{Error{ResultCode::MessageMalformed, "type '" + Type + "'"}});
    return;
  }
  if (Known != nullptr)
    noteDigest(*Known, TheirDigest, Now);
}

void Gossip::readRecords(const json &Records, TimePoint Now) {
  for (const json &Record : Records) {
    if (Record.is_array()) {
      applyShort(Record, Now);
      continue;
    }
    const auto Parsed = common::capture([&] { return memberFromJson(Record); });
    if (!Parsed)
      Out.emplace_back(RejectInput{Parsed.Failure});
    else if (apply(*Parsed, Source::Datagram, Now) && Parsed->Id != Own.Id)
      broadcast(Peers.at(Parsed->Id).Record);
  }
}

void Gossip::applyShort(const json &Record, TimePoint Now) {
  const auto Id = Record.at(0).get<std::string>();
  const auto State = Record.at(2).get<unsigned>();
  if (State > static_cast<unsigned>(MemberState::Dead)) {
    Out.emplace_back(RejectInput{Error{ResultCode::MessageMalformed, "unknown member state"}});
    return;
  }
  const Member *Known = member(Id);
  if (Known == nullptr)
    return;
  Member Offered = *Known;
  Offered.Incarnation = Record.at(1).get<std::uint64_t>();
  Offered.State = static_cast<MemberState>(State);
  // A short record repeats an observed state; the member's own news come in full records.
  const bool Newer = Offered.Incarnation > Known->Incarnation && Id != Own.Id;
  if (!Newer && apply(Offered, Source::Datagram, Now) && Id != Own.Id)
    Queue.put(Id, shortRecord(Peers.at(Id).Record));
}

bool Gossip::apply(const Member &Offered, Source From, TimePoint Now) {
  if (Offered.Incarnation > MaxIncarnation) {
    Out.emplace_back(RejectInput{Error{ResultCode::MessageMalformed, "incarnation too high"}});
    return false;
  }
  if (Offered.Id == Own.Id) {
    refute(Offered, Now);
    return false;
  }
  const auto Found = Peers.find(Offered.Id);
  if (Found == Peers.end()) {
    if (Peers.size() + 1 >= MaxMembers) {
      Out.emplace_back(RejectInput{Error{ResultCode::MessageMalformed, "too many members"}});
      return false;
    }
    // Kept even if dead, so that an older record can't bring the member back.
    store(Peers[Offered.Id], Offered, Now);
    return true;
  }
  Peer &Known = Found->second;
  if (!supersedes(Offered, Known.Record))
    return false;
  // After a partition, the other side reports this side's members dead. Believing that would empty
  // this side's tables. The member is probed with the report instead, so that it can refute it.
  const bool Hearsay = Offered.State == MemberState::Dead &&
                       Offered.Incarnation == Known.Record.Incarnation &&
                       (Known.Record.State != MemberState::Suspect || From == Source::List);
  if (Hearsay) {
    Doubts.insert(Offered.Id);
    return false;
  }
  store(Known, Offered, Now);
  return true;
}

void Gossip::store(Peer &Into, const Member &Offered, TimePoint Now) {
  const bool WasLive = !Into.Record.Id.empty() && Into.Record.State != MemberState::Dead;
  const bool IsLive = Offered.State != MemberState::Dead;
  if (WasLive)
    Digest ^= recordDigest(Into.Record);
  Into.Record = Offered;
  Into.FailedProbes = 0;
  Digest ^= recordDigest(Offered);
  std::erase_if(Suspicions, [&](const auto &Entry) { return Entry.second == Offered.Id; });
  if (Offered.State == MemberState::Suspect)
    Suspicions.emplace(Now + SuspicionTimeout, Offered.Id);
  if (!IsLive)
    Into.DeadSince = Now;
  Doubts.erase(Offered.Id);
  LiveStale = LiveStale || WasLive != IsLive;
  LastChange = Now;
  Changed = true;
}

void Gossip::refute(const Member &Offered, TimePoint Now) {
  const bool Left = Own.State == MemberState::Dead;
  if (Left || Offered == Own || !supersedes(Offered, Own))
    return;
  const Member Before = Own;
  Own.Incarnation = Offered.Incarnation + 1;
  refreshOwnDigest(Before);
  broadcast(Own);
  LastChange = Now;
  Changed = true;
}

void Gossip::refreshOwnDigest(const Member &Before) {
  Digest ^= recordDigest(Before) ^ recordDigest(Own);
}

void Gossip::changeState(Peer &Of, MemberState State, TimePoint Now) {
  Member Observed = Of.Record;
  Observed.State = State;
  store(Of, Observed, Now);
  Queue.put(Observed.Id, shortRecord(Observed));
}

void Gossip::broadcast(const Member &Record) { Queue.put(Record.Id, fullRecord(Record)); }

void Gossip::noteDigest(const Peer &Sender, std::uint64_t Theirs, TimePoint Now) {
  if (Theirs == Digest) {
    Mismatches = 0;
    // Equal views need no list: the second node of a system has the first one's from its ack.
    Joined = true;
    return;
  }
  ++Mismatches;
  // A message from a member that is dead here means that a partition has healed.
  const bool Expected = Mismatches < SyncMismatches || Now - LastChange < SyncQuietTime;
  const bool Healed = Sender.Record.State == MemberState::Dead;
  const bool Early = EarlySyncs > 0;
  if (Now < NextSync || (Expected && !Healed && !Early))
    return;
  Mismatches = 0;
  EarlySyncs -= Early && Joined ? 1 : 0;
  const double ListBytes = static_cast<double>(Peers.size() + 1) * ListedRecordBytes;
  const auto Pause = std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double>(ListBytes / SyncBytesPerSecond));
  NextSync = Now + (Early ? ProbeInterval : std::max(SyncInterval, Pause));
  Out.emplace_back(FetchMembers{Sender.Record.Admin});
}

void Gossip::onAck(std::uint64_t Number) {
  const auto Relayed = Relays.find(Number);
  if (Relayed != Relays.end()) {
    send("ack", Relayed->second.To, nullptr, {{"n", Relayed->second.Number}});
    Relays.erase(Relayed);
  }
  if (!Current || Current->Number != Number)
    return;
  const auto Found = Peers.find(Current->Id);
  if (Found != Peers.end())
    Found->second.FailedProbes = 0;
  Doubts.erase(Current->Id);
  Current.reset();
}

void Gossip::relayProbe(const json &Message, Endpoint From, TimePoint Now) {
  const auto Id = Message.at("id").get<std::string>();
  const std::uint64_t Number = unsignedField(Message, "n");
  const auto Found = Peers.find(Id);
  std::erase_if(Relays, [Now](const auto &Entry) { return Entry.second.Expires <= Now; });
  if (Found == Peers.end() || Relays.size() >= MaxRelays)
    return;
  const std::uint64_t Mine = NextNumber++;
  Relays[Mine] = {From, Number, Now + ProbeInterval};
  send("ping", Found->second.Record.Control, &Found->second, {{"n", Mine}});
}

// A process that was paused finds its timeouts passed while the answers wait in its socket.
void Gossip::resumeAfterPause(TimePoint Now) {
  Current.reset();
  NextProbe = Now;
  std::set<std::pair<TimePoint, std::string>> Restarted;
  for (const auto &Entry : Suspicions)
    Restarted.emplace(Now + SuspicionTimeout, Entry.second);
  Suspicions = std::move(Restarted);
}

std::optional<std::string> Gossip::nextTarget() {
  if (!Doubts.empty()) {
    auto At = Doubts.begin();
    std::advance(At, static_cast<std::ptrdiff_t>(common::uniformBelow(Random, Doubts.size())));
    return *At;
  }
  while (true) {
    while (!Round.empty()) {
      std::string Id = std::move(Round.back());
      Round.pop_back();
      const auto Found = Peers.find(Id);
      if (Found != Peers.end() && Found->second.Record.State != MemberState::Dead)
        return Id;
    }
    Round = liveIds();
    if (Round.empty())
      return std::nullopt;
    for (std::size_t I = Round.size() - 1; I > 0; --I)
      std::swap(Round[I], Round[common::uniformBelow(Random, I + 1)]);
  }
}

void Gossip::probeNext(TimePoint Now) {
  const auto Id = nextTarget();
  if (!Id)
    return;
  Peer &Target = Peers.at(*Id);
  Current = Probe{*Id, NextNumber++, false};
  IndirectAt = Now + AckTimeout;
  json Fields{{"n", Current->Number}};
  if (Doubts.contains(*Id)) {
    Member Reported = Target.Record;
    Reported.State = MemberState::Dead;
    Fields["u"] = json::array({shortRecord(Reported)});
  }
  send("ping", Target.Record.Control, &Target, std::move(Fields));
}

void Gossip::askIndirect() {
  Current->Asked = true;
  const auto Found = Peers.find(Current->Id);
  if (Found == Peers.end())
    return;
  for (const std::string &Helper : randomPeers(IndirectProbes, Current->Id)) {
    const Peer &Asked = Peers.at(Helper);
    send("pingreq", Asked.Record.Control, &Asked, {{"n", Current->Number}, {"id", Current->Id}});
  }
}

void Gossip::endProbe(TimePoint Now) {
  if (!Current)
    return;
  const Probe Failed = *std::exchange(Current, std::nullopt);
  const auto Found = Peers.find(Failed.Id);
  if (Found == Peers.end() || Found->second.Record.State == MemberState::Dead)
    return;
  Peer &Silent = Found->second;
  ++Silent.FailedProbes;
  if (Doubts.contains(Failed.Id)) {
    changeState(Silent, MemberState::Dead, Now);
  } else if (Silent.Record.State == MemberState::Active) {
    changeState(Silent, MemberState::Suspect, Now);
  } else if (Silent.Record.State != MemberState::Suspect) {
    if (Silent.FailedProbes >= UnsettledProbes)
      changeState(Silent, MemberState::Dead, Now);
    else
      Round.push_back(Failed.Id);
  }
}

void Gossip::expireSuspicions(TimePoint Now) {
  while (!Suspicions.empty() && Suspicions.begin()->first <= Now) {
    const std::string Id = Suspicions.begin()->second;
    Suspicions.erase(Suspicions.begin());
    changeState(Peers.at(Id), MemberState::Dead, Now);
  }
}

void Gossip::forgetDead(TimePoint Now) {
  std::erase_if(Peers, [&](const auto &Entry) {
    return Entry.second.Record.State == MemberState::Dead &&
           Now - Entry.second.DeadSince >= DeadRetention;
  });
}

void Gossip::probeDead(TimePoint Now) {
  NextDeadProbe = Now + DeadProbeInterval;
  std::vector<const Peer *> Dead;
  for (const auto &Entry : Peers)
    if (Entry.second.Record.State == MemberState::Dead)
      Dead.push_back(&Entry.second);
  if (Dead.empty())
    return;
  const Peer &Chosen = *Dead[common::uniformBelow(Random, Dead.size())];
  send("ping", Chosen.Record.Control, &Chosen, {{"n", NextNumber++}});
}

void Gossip::contactSeed(TimePoint Now) {
  NextSeedContact = Now + SeedInterval;
  std::set<Endpoint> Known;
  if (Joined)
    for (const std::string &Id : liveIds())
      Known.insert(Peers.at(Id).Record.Control);
  for (std::size_t Tried = 0; Tried < Contacts.size(); ++Tried) {
    const Endpoint Seed = Contacts[NextContact++ % Contacts.size()];
    UntriedContacts -= std::min<std::size_t>(UntriedContacts, 1);
    if (Known.contains(Seed))
      continue;
    json Fields{{"n", NextNumber++}, {"j", 1}, {"u", json::array({fullRecord(Own)})}};
    send("ping", Seed, nullptr, std::move(Fields));
    return;
  }
}

bool Gossip::pushIsDue() const noexcept {
  const bool Fresh = !Queue.empty() && Queue.leastSent() < PushRounds * PushFanout;
  return (Fresh || RevisionRounds > 0) && !liveIds().empty();
}

void Gossip::pushChanges(TimePoint Now) {
  NextPush = Now + PushInterval;
  if (RevisionRounds == 0 && Budget < static_cast<double>(MaxRecordBytes))
    return;
  for (const std::string &Id : randomPeers(PushFanout, {})) {
    const Peer &Receiver = Peers.at(Id);
    send("push", Receiver.Record.Control, &Receiver, json::object());
  }
  if (RevisionRounds > 0)
    --RevisionRounds;
}

const std::vector<std::string> &Gossip::liveIds() const {
  if (!LiveStale)
    return Live;
  Live.clear();
  for (const auto &[Id, Known] : Peers)
    if (Known.Record.State != MemberState::Dead)
      Live.push_back(Id);
  LiveStale = false;
  return Live;
}

std::uint32_t Gossip::transmitLimit() const {
  constexpr double Factor = 3;
  return static_cast<std::uint32_t>(std::ceil(Factor * std::log2(double(liveCount()) + 1)));
}

std::vector<std::string> Gossip::randomPeers(std::size_t Count, const std::string &Except) {
  const std::vector<std::string> &All = liveIds();
  std::vector<std::string> Chosen;
  // Duplicates are drawn again; a few more draws than needed suffice unless there are few peers.
  const std::size_t Draws = Count * 4;
  for (std::size_t I = 0; I < Draws && Chosen.size() < Count && !All.empty(); ++I) {
    const std::string &Id = All[common::uniformBelow(Random, All.size())];
    if (Id != Except && std::find(Chosen.begin(), Chosen.end(), Id) == Chosen.end())
      Chosen.push_back(Id);
  }
  return Chosen;
}

void Gossip::refill(TimePoint Now) {
  const std::chrono::duration<double> Passed = Now - BudgetAt;
  BudgetAt = Now;
  Budget = std::min(GossipBurstBytes, Budget + Passed.count() * GossipBytesPerSecond);
}

void Gossip::send(const std::string &Type, Endpoint To, const Peer *Receiver, json Fields) {
  json Message = std::move(Fields);
  Message["t"] = Type;
  Message["f"] = Own.Id;
  Message["rev"] = Revision;
  Message["d"] = Digest;
  if (!Message.contains("u"))
    Message["u"] = json::array();
  // The receiver can refute what is believed of it only if it learns of it.
  const bool Accused = Receiver != nullptr && (Receiver->Record.State == MemberState::Suspect ||
                                               Receiver->Record.State == MemberState::Dead);
  if (Accused)
    Message["u"].push_back(shortRecord(Receiver->Record));
  const std::size_t Frame = impl::cborBytes(Message) + FrameBytes;
  const std::size_t Room = Frame < MaxDatagramBytes ? MaxDatagramBytes - Frame : 0;
  const auto Allowed = static_cast<std::size_t>(std::max(0.0, Budget));
  Budget -= static_cast<double>(Queue.take(Message["u"], std::min(Room, Allowed), transmitLimit()));
  Out.emplace_back(SendDatagram{To, json::to_cbor(Message)});
}

} // namespace galenarelay::membership
