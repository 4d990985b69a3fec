#include "galenarelay/membership/gossip.h"

#include "galenarelay/common/hash.h"
#include "galenarelay/common/json_fields.h"

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

/// Records with a higher incarnation are rejected, so that a refutation can always increment it
/// without overflow.
constexpr std::uint64_t MaxIncarnation = std::uint64_t{1} << 62;
/// Bytes that the key and the array header of the record list add to a datagram.
constexpr std::size_t RecordListOverheadBytes = 8;
/// Estimated bytes per record in a JSON member list, to limit the rate of full synchronizations.
constexpr double ListedRecordBytes = 220;

/// Hash of a record for the view digest. A suspect counts as active, because suspicion is temporary
/// and each node ends it at its own time; a dead member counts as absent.
std::uint64_t recordDigest(const Member &Value) {
  if (Value.State == MemberState::Dead)
    return 0;
  const bool Suspected = Value.State == MemberState::Suspect;
  const auto State = static_cast<std::uint64_t>(Suspected ? MemberState::Active : Value.State);
  return common::hash64(Value.Id, Value.Incarnation * 8 + State);
}

/// Short form of a record: a state that a peer observed, for a member whose full record is already
/// known to all.
json shortRecord(const Member &Value) {
  return json::array({Value.Id, Value.Incarnation, Value.State});
}

json fullRecord(Member Value) {
  json Record = toJson(Value);
  while (!Value.ResidualServices.empty() && impl::cborBytes(Record) > MaxRecordBytes) {
    Value.ResidualServices.pop_back();
    Record = toJson(Value);
  }
  return Record;
}

bool isActiveOrSuspect(const Member &Value) noexcept {
  return Value.State == MemberState::Active || Value.State == MemberState::Suspect;
}

std::uint64_t unsignedField(const json &Message, const char *Key) {
  return common::readUnsigned<std::uint64_t>(Message.at(Key));
}

} // namespace

std::vector<std::string> storeWatchers(const std::vector<Member> &Members,
                                       const std::string &Zone) {
  constexpr std::uint64_t WatcherHashSeed = 0x7761746368; // "watch" in ASCII
  std::vector<std::pair<std::uint64_t, std::string>> Scores;
  for (const Member &Candidate : Members)
    if (Candidate.Zone == Zone && isActiveOrSuspect(Candidate))
      Scores.emplace_back(common::hash64(Candidate.Id, WatcherHashSeed), Candidate.Id);
  std::sort(Scores.rbegin(), Scores.rend());
  std::vector<std::string> Ids;
  for (std::size_t I = 0; I < Scores.size() && I < WatchersPerZone; ++I)
    Ids.push_back(Scores[I].second);
  return Ids;
}

Gossip::Gossip(Member Self, std::vector<Endpoint> Seeds, std::uint64_t RandomSeed)
    : OwnRecord(std::move(Self)), Random(RandomSeed),
      Freshness(StoreReadBounds, common::hash64(OwnRecord.Id, OwnRecord.Incarnation), TimePoint{}) {
  addContacts(Seeds);
  Digest = recordDigest(OwnRecord);
}

std::vector<Member> Gossip::members() const {
  std::vector<Member> Records;
  Records.reserve(Peers.size() + 1);
  for (const auto &Entry : Peers)
    Records.push_back(Entry.second.Record);
  const auto InsertPosition = std::lower_bound(
      Records.begin(), Records.end(), OwnRecord.Id,
      [](const Member &Left, const std::string &Right) { return Left.Id < Right; });
  Records.insert(InsertPosition, OwnRecord);
  return Records;
}

const Member *Gossip::member(const std::string &Id) const noexcept {
  if (Id == OwnRecord.Id)
    return &OwnRecord;
  const auto Found = Peers.find(Id);
  return Found == Peers.end() ? nullptr : &Found->second.Record;
}

std::size_t Gossip::liveCount() const { return liveIds().size() + 1; }

bool Gossip::hasPushRoundsLeft() const noexcept { return hasPendingPush(); }

void Gossip::addContacts(const std::vector<Endpoint> &Addresses) {
  for (const Endpoint &Address : Addresses) {
    const bool AlreadyKnown =
        std::find(Contacts.begin(), Contacts.end(), Address) != Contacts.end();
    if (!AlreadyKnown && Address != OwnRecord.Control && Contacts.size() < MaxContacts)
      Contacts.push_back(Address);
  }
  UntriedContacts = Contacts.size();
}

TimePoint Gossip::nextTimer() const {
  TimePoint Next = std::min(NextProbeAt, NextDeadProbeAt);
  if (PendingProbe && !PendingProbe->IndirectSent)
    Next = std::min(Next, IndirectProbesAt);
  if (!Suspicions.empty())
    Next = std::min(Next, Suspicions.begin()->first);
  if (hasPendingPush())
    Next = std::min(Next, NextPushAt);
  if (!ReadingStore)
    Next = std::min(Next, Freshness.nextRead());
  return Next;
}

GossipActions Gossip::start(TimePoint Now) {
  // A random offset spreads the probes of nodes that start together over the interval.
  const auto Offset =
      common::uniformBelow(Random, static_cast<std::uint64_t>(ProbeInterval.count()));
  NextProbeAt = Now + common::Duration(static_cast<std::int64_t>(Offset));
  NextDeadProbeAt = Now + DeadProbeInterval;
  NextPushAt = Now;
  BudgetRefilledAt = Now;
  NextSyncAt = Now;
  LastChangeAt = Now;
  Freshness = {StoreReadBounds, common::hash64(OwnRecord.Id, OwnRecord.Incarnation), Now};
  broadcast(OwnRecord);
  contactSeed(Now);
  return takeActions();
}

GossipActions Gossip::onTimer(TimePoint Now) {
  refillByteBudget(Now);
  if (Now - NextProbeAt > AckTimeout)
    resumeAfterPause(Now);
  expireSuspicions(Now);
  if (PendingProbe && !PendingProbe->IndirectSent && Now >= IndirectProbesAt)
    sendIndirectProbes(Now);
  readStoreIfDue(Now);
  if (Now >= NextProbeAt) {
    failUnansweredProbe(Now);
    probeNext(Now);
    removeExpiredDeadMembers(Now);
    NextProbeAt += ProbeInterval;
    if (!Joined || UntriedContacts > 0 || Now >= NextSeedContactAt)
      contactSeed(Now);
  }
  if (Now >= NextDeadProbeAt)
    probeDeadMember(Now);
  if (hasPendingPush() && Now >= NextPushAt)
    pushChanges(Now);
  return takeActions();
}

GossipActions Gossip::onMessage(const json &Message, Endpoint From, TimePoint Now) {
  refillByteBudget(Now);
  try {
    handleMessage(Message, From, Now);
  } catch (const json::exception &Problem) {
    Actions.emplace_back(RejectInput{Error{ResultCode::MessageMalformed, Problem.what()}});
  }
  return takeActions();
}

GossipActions Gossip::onMembers(const std::vector<Member> &List, TimePoint Now) {
  refillByteBudget(Now);
  // Many newer records mean a join or a healed partition; the other members then request the list
  // themselves, so its records aren't broadcast.
  const auto IsNewer = [&](const Member &Incoming) {
    const Member *Known = member(Incoming.Id);
    return Known == nullptr || supersedes(Incoming, *Known);
  };
  const auto NewerCount =
      static_cast<std::size_t>(std::count_if(List.begin(), List.end(), IsNewer));
  const bool ForwardRecords = Joined && NewerCount <= MaxForwardedRecords;
  for (const Member &Incoming : List)
    if (applyRecord(Incoming, RecordSource::List, Now) && ForwardRecords &&
        Incoming.Id != OwnRecord.Id)
      broadcast(Peers.at(Incoming.Id).Record);
  Joined = true;
  return takeActions();
}

GossipActions Gossip::announce(MemberState State, std::vector<std::string> Residual,
                               TimePoint Now) {
  const Member Previous = OwnRecord;
  OwnRecord.State = State;
  OwnRecord.ResidualServices = std::move(Residual);
  if (OwnRecord == Previous)
    return takeActions();
  // Always incremented, so that a suspicion of the previous state can't outlive the announcement.
  ++OwnRecord.Incarnation;
  updateOwnDigest(Previous);
  broadcast(OwnRecord);
  LastChangeAt = Now;
  ViewChangePending = true;
  return takeActions();
}

GossipActions Gossip::setRevision(std::uint64_t NewRevision, TimePoint Now) {
  pushIfNewer(Revision, NewRevision, Now);
  return takeActions();
}

GossipActions Gossip::setStoreEra(std::uint64_t NewEra, TimePoint Now) {
  pushIfNewer(StoreEra, NewEra, Now);
  return takeActions();
}

GossipActions Gossip::noteStoreRead(TimePoint AsOf, TimePoint Now) {
  ReadingStore = false;
  if (Freshness.noteRead(AsOf, Now))
    pushStoreReadAge(Now);
  return takeActions();
}

void Gossip::noteStoreReadFailed(TimePoint Now) {
  ReadingStore = false;
  Freshness.noteFailure(Now);
}

void Gossip::pushStoreReadAge(TimePoint Now) {
  for (const std::string &Id : randomPeers(PushFanout, {})) {
    const Peer &Receiver = Peers.at(Id);
    send("push", Receiver.Record.Control, &Receiver, {{"o", 1}}, Now);
  }
}

void Gossip::pushIfNewer(std::uint64_t &Current, std::uint64_t Offered, TimePoint Now) {
  if (Offered <= Current)
    return;
  Current = Offered;
  ChangePushRoundsLeft = PushRoundsPerChange;
  NextPushAt = std::max(NextPushAt, Now);
}

GossipActions Gossip::takeActions() {
  if (ViewChangePending)
    Actions.emplace_back(NotifyViewChanged{});
  ViewChangePending = false;
  return std::exchange(Actions, {});
}

/// Message fields: t type, f ID of the sender, rev configuration revision, era of the store, d
/// digest, age of the last known read of the store in milliseconds, u records, n sequence number of
/// a probe, id target of a pingreq, j request for the receiver's own record, o of a push for the
/// age alone.
void Gossip::handleMessage(const json &Message, Endpoint From, TimePoint Now) {
  const auto Type = Message.at("t").get<std::string>();
  const auto Sender = Message.at("f").get<std::string>();
  const std::uint64_t SenderRevision = unsignedField(Message, "rev");
  const std::uint64_t SenderDigest = unsignedField(Message, "d");
  applyRecords(Message.at("u"), Now);
  const auto Found = Peers.find(Sender);
  const Peer *SenderPeer = Found == Peers.end() ? nullptr : &Found->second;
  if (SenderPeer != nullptr && SenderRevision > Revision)
    Actions.emplace_back(FetchConfiguration{SenderPeer->Record.Admin, SenderRevision});
  // Earlier versions don't send it.
  const std::uint64_t SenderEra = Message.contains("era") ? unsignedField(Message, "era") : 0;
  if (SenderEra > StoreEra)
    Actions.emplace_back(CheckStore{SenderEra});
  if (SenderRevision <= Revision)
    hearStoreRead(Message, Now);
  if (Type == "ping") {
    json Fields{{"n", unsignedField(Message, "n")}};
    if (Message.contains("j"))
      Fields["u"] = json::array({fullRecord(OwnRecord)});
    send("ack", From, SenderPeer, std::move(Fields), Now);
    // A member that this node has forgotten during a partition. Its digest can't be compared, and
    // members that have forgotten it too have equal views.
    if (SenderPeer == nullptr)
      send("ping", From, nullptr, {{"n", NextSequence++}, {"j", 1}}, Now);
  } else if (Type == "ack") {
    onAck(unsignedField(Message, "n"), Now);
  } else if (Type == "pingreq") {
    relayProbe(Message, From, Now);
  } else if (Type != "push") {
    Actions.emplace_back(
        RejectInput{Error{ResultCode::MessageMalformed, "unknown message type '" + Type + "'"}});
    return;
  }
  // Frequent messages of peers with this node's view would hide the mismatches of others.
  if (SenderPeer != nullptr && !Message.contains("o"))
    compareDigest(*SenderPeer, SenderDigest, Now);
}

void Gossip::hearStoreRead(const json &Message, TimePoint Now) {
  // Earlier versions don't send it.
  if (!Message.contains("age"))
    return;
  const auto Age = common::readMilliseconds(Message.at("age"));
  if (Freshness.noteHeard(Now - Age, Now))
    pushStoreReadAge(Now);
}

void Gossip::readStoreIfDue(TimePoint Now) {
  const auto Members = static_cast<double>(liveCount());
  const double MembersWithinBounds =
      MaxStoreReadsPerSecond * std::chrono::duration<double>(StoreReadBounds.RetryInterval).count();
  const double Scale = std::max(1.0, Members / MembersWithinBounds);
  const auto Scaled = [Scale](common::Duration Time) {
    return std::chrono::duration_cast<common::Duration>(Time * Scale);
  };
  Freshness.setBounds(
      {StoreReadBounds.MinAge,
       StoreReadBounds.MinAge + Scaled(StoreReadBounds.MaxAge - StoreReadBounds.MinAge),
       Scaled(StoreReadBounds.RetryInterval)});
  if (!ReadingStore && Freshness.readDue(Now)) {
    ReadingStore = true;
    Actions.emplace_back(ReadStore{});
  }
}

void Gossip::applyRecords(const json &Records, TimePoint Now) {
  for (const json &Record : Records) {
    if (Record.is_array()) {
      // An unreadable record doesn't hide the others.
      try {
        applyShortRecord(Record, Now);
      } catch (const json::exception &Problem) {
        Actions.emplace_back(RejectInput{Error{ResultCode::MessageMalformed, Problem.what()}});
      }
      continue;
    }
    const auto Parsed = common::capture([&] { return memberFromJson(Record); });
    if (!Parsed)
      Actions.emplace_back(RejectInput{Parsed.Failure});
    else if (applyRecord(*Parsed, RecordSource::Datagram, Now) && Parsed->Id != OwnRecord.Id)
      broadcast(Peers.at(Parsed->Id).Record);
  }
}

void Gossip::applyShortRecord(const json &Record, TimePoint Now) {
  const auto Id = Record.at(0).get<std::string>();
  const auto State = common::readUnsigned<unsigned>(Record.at(2));
  if (State > static_cast<unsigned>(MemberState::Dead)) {
    Actions.emplace_back(RejectInput{Error{ResultCode::MessageMalformed, "unknown member state"}});
    return;
  }
  const Member *Known = member(Id);
  if (Known == nullptr)
    return;
  Member Incoming = *Known;
  Incoming.Incarnation = common::readUnsigned<std::uint64_t>(Record.at(1));
  Incoming.State = static_cast<MemberState>(State);
  // A short record only repeats a state that a peer observed. A higher incarnation comes from the
  // member itself, in a full record.
  const bool Newer = Incoming.Incarnation > Known->Incarnation && Id != OwnRecord.Id;
  if (!Newer && applyRecord(Incoming, RecordSource::Datagram, Now) && Id != OwnRecord.Id)
    Broadcasts.put(Id, shortRecord(Peers.at(Id).Record));
}

bool Gossip::applyRecord(const Member &Incoming, RecordSource Source, TimePoint Now) {
  if (Incoming.Incarnation > MaxIncarnation) {
    Actions.emplace_back(
        RejectInput{Error{ResultCode::MessageMalformed, "incarnation exceeds the maximum"}});
    return false;
  }
  if (Incoming.Id == OwnRecord.Id) {
    refute(Incoming, Now);
    return false;
  }
  const auto Found = Peers.find(Incoming.Id);
  if (Found == Peers.end()) {
    if (Peers.size() + 1 >= MaxMembers) {
      Actions.emplace_back(
          RejectInput{Error{ResultCode::MessageMalformed, "member limit reached"}});
      return false;
    }
    // A dead record is stored too, as a tombstone: an older record can't resurrect the member.
    storeRecord(Peers[Incoming.Id], Incoming, Now);
    return true;
  }
  Peer &Known = Found->second;
  if (!supersedes(Incoming, Known.Record))
    return false;
  // After a partition, the other side reports this side's members as dead. Accepting these reports
  // would empty the routing tables on this side. Instead, the member is probed and the probe
  // carries the report, so that the member can refute it.
  const bool UnconfirmedDeath =
      Incoming.State == MemberState::Dead && Incoming.Incarnation == Known.Record.Incarnation &&
      (Known.Record.State != MemberState::Suspect || Source == RecordSource::List);
  if (UnconfirmedDeath) {
    UnconfirmedDeaths.insert(Incoming.Id);
    return false;
  }
  storeRecord(Known, Incoming, Now);
  return true;
}

void Gossip::storeRecord(Peer &Target, const Member &Incoming, TimePoint Now) {
  const bool WasLive = !Target.Record.Id.empty() && Target.Record.State != MemberState::Dead;
  const bool IsLive = Incoming.State != MemberState::Dead;
  if (WasLive)
    Digest ^= recordDigest(Target.Record);
  Target.Record = Incoming;
  Target.FailedProbes = 0;
  Digest ^= recordDigest(Incoming);
  std::erase_if(Suspicions, [&](const auto &Entry) { return Entry.second == Incoming.Id; });
  if (Incoming.State == MemberState::Suspect)
    Suspicions.emplace(Now + SuspicionTimeout, Incoming.Id);
  if (!IsLive)
    Target.DeadSince = Now;
  UnconfirmedDeaths.erase(Incoming.Id);
  LiveIdsStale = LiveIdsStale || WasLive != IsLive;
  LastChangeAt = Now;
  ViewChangePending = true;
}

void Gossip::refute(const Member &Incoming, TimePoint Now) {
  const bool HasLeft = OwnRecord.State == MemberState::Dead;
  if (HasLeft || Incoming == OwnRecord || !supersedes(Incoming, OwnRecord))
    return;
  const Member Previous = OwnRecord;
  OwnRecord.Incarnation = Incoming.Incarnation + 1;
  updateOwnDigest(Previous);
  broadcast(OwnRecord);
  LastChangeAt = Now;
  ViewChangePending = true;
}

void Gossip::updateOwnDigest(const Member &Previous) {
  Digest ^= recordDigest(Previous) ^ recordDigest(OwnRecord);
}

void Gossip::changeState(Peer &Target, MemberState State, TimePoint Now) {
  Member Observed = Target.Record;
  Observed.State = State;
  storeRecord(Target, Observed, Now);
  Broadcasts.put(Observed.Id, shortRecord(Observed));
}

void Gossip::broadcast(const Member &Record) { Broadcasts.put(Record.Id, fullRecord(Record)); }

void Gossip::compareDigest(const Peer &Sender, std::uint64_t SenderDigest, TimePoint Now) {
  if (SenderDigest == Digest) {
    DigestMismatches = 0;
    // Equal views need no member list: in a system of two nodes, the second one already has the
    // first one's record from its ack.
    Joined = true;
    return;
  }
  ++DigestMismatches;
  // A message from a member that is dead in this view means that a partition has healed.
  const bool MismatchExpected =
      DigestMismatches < SyncMismatchThreshold || Now - LastChangeAt < DigestSettleTime;
  const bool PartitionHealed = Sender.Record.State == MemberState::Dead;
  const bool Early = EarlySyncsLeft > 0;
  if (Now < NextSyncAt || (MismatchExpected && !PartitionHealed && !Early))
    return;
  DigestMismatches = 0;
  EarlySyncsLeft -= Early && Joined ? 1 : 0;
  const double ListBytes = static_cast<double>(Peers.size() + 1) * ListedRecordBytes;
  const auto ListPause = std::chrono::duration_cast<common::Duration>(
      std::chrono::duration<double>(ListBytes / SyncBytesPerSecond));
  NextSyncAt = Now + (Early ? ProbeInterval : std::max(SyncInterval, ListPause));
  Actions.emplace_back(FetchMembers{Sender.Record.Admin});
}

void Gossip::onAck(std::uint64_t Sequence, TimePoint Now) {
  const auto Relayed = RelayedProbes.find(Sequence);
  if (Relayed != RelayedProbes.end()) {
    send("ack", Relayed->second.Requester, nullptr, {{"n", Relayed->second.Sequence}}, Now);
    RelayedProbes.erase(Relayed);
  }
  if (!PendingProbe || PendingProbe->Sequence != Sequence)
    return;
  const auto Found = Peers.find(PendingProbe->Id);
  if (Found != Peers.end())
    Found->second.FailedProbes = 0;
  UnconfirmedDeaths.erase(PendingProbe->Id);
  PendingProbe.reset();
}

void Gossip::relayProbe(const json &Message, Endpoint From, TimePoint Now) {
  const auto Id = Message.at("id").get<std::string>();
  const std::uint64_t RequesterSequence = unsignedField(Message, "n");
  const auto Found = Peers.find(Id);
  std::erase_if(RelayedProbes, [Now](const auto &Entry) { return Entry.second.Expires <= Now; });
  if (Found == Peers.end() || RelayedProbes.size() >= MaxRelayedProbes)
    return;
  const std::uint64_t OwnSequence = NextSequence++;
  RelayedProbes[OwnSequence] = {From, RequesterSequence, Now + ProbeInterval};
  send("ping", Found->second.Record.Control, &Found->second, {{"n", OwnSequence}}, Now);
}

// Discards the pending probe, makes the next one due and restarts the suspicion timeouts. Timeouts
// run out while the process is paused, although the acks and refutations may be waiting in this
// node's socket.
void Gossip::resumeAfterPause(TimePoint Now) {
  PendingProbe.reset();
  NextProbeAt = Now;
  Freshness.onResume(Now);
  std::set<std::pair<TimePoint, std::string>> RestartedSuspicions;
  for (const auto &Entry : Suspicions)
    RestartedSuspicions.emplace(Now + SuspicionTimeout, Entry.second);
  Suspicions = std::move(RestartedSuspicions);
}

std::optional<std::string> Gossip::nextProbeTarget() {
  if (!UnconfirmedDeaths.empty()) {
    auto Chosen = UnconfirmedDeaths.begin();
    std::advance(Chosen, static_cast<std::ptrdiff_t>(
                             common::uniformBelow(Random, UnconfirmedDeaths.size())));
    return *Chosen;
  }
  while (true) {
    while (!ProbeQueue.empty()) {
      std::string Id = std::move(ProbeQueue.back());
      ProbeQueue.pop_back();
      const auto Found = Peers.find(Id);
      if (Found != Peers.end() && Found->second.Record.State != MemberState::Dead)
        return Id;
    }
    ProbeQueue = liveIds();
    if (ProbeQueue.empty())
      return std::nullopt;
    for (std::size_t I = ProbeQueue.size() - 1; I > 0; --I)
      std::swap(ProbeQueue[I], ProbeQueue[common::uniformBelow(Random, I + 1)]);
  }
}

void Gossip::probeNext(TimePoint Now) {
  const auto Id = nextProbeTarget();
  if (!Id)
    return;
  Peer &Target = Peers.at(*Id);
  PendingProbe = Probe{*Id, NextSequence++, false};
  IndirectProbesAt = Now + AckTimeout;
  json Fields{{"n", PendingProbe->Sequence}};
  if (UnconfirmedDeaths.contains(*Id)) {
    Member Reported = Target.Record;
    Reported.State = MemberState::Dead;
    Fields["u"] = json::array({shortRecord(Reported)});
  }
  send("ping", Target.Record.Control, &Target, std::move(Fields), Now);
}

void Gossip::sendIndirectProbes(TimePoint Now) {
  PendingProbe->IndirectSent = true;
  const auto Found = Peers.find(PendingProbe->Id);
  if (Found == Peers.end())
    return;
  for (const std::string &HelperId : randomPeers(IndirectProbeCount, PendingProbe->Id)) {
    const Peer &HelperPeer = Peers.at(HelperId);
    send("pingreq", HelperPeer.Record.Control, &HelperPeer,
         {{"n", PendingProbe->Sequence}, {"id", PendingProbe->Id}}, Now);
  }
}

void Gossip::failUnansweredProbe(TimePoint Now) {
  if (!PendingProbe)
    return;
  const Probe FailedProbe = *std::exchange(PendingProbe, std::nullopt);
  const auto Found = Peers.find(FailedProbe.Id);
  if (Found == Peers.end() || Found->second.Record.State == MemberState::Dead)
    return;
  Peer &Target = Found->second;
  ++Target.FailedProbes;
  if (UnconfirmedDeaths.contains(FailedProbe.Id)) {
    changeState(Target, MemberState::Dead, Now);
  } else if (Target.Record.State == MemberState::Active) {
    changeState(Target, MemberState::Suspect, Now);
  } else if (Target.Record.State != MemberState::Suspect) {
    if (Target.FailedProbes >= JoinLeaveProbeFailures)
      changeState(Target, MemberState::Dead, Now);
    else
      ProbeQueue.push_back(FailedProbe.Id);
  }
}

void Gossip::expireSuspicions(TimePoint Now) {
  while (!Suspicions.empty() && Suspicions.begin()->first <= Now) {
    const std::string Id = Suspicions.begin()->second;
    Suspicions.erase(Suspicions.begin());
    changeState(Peers.at(Id), MemberState::Dead, Now);
  }
}

void Gossip::removeExpiredDeadMembers(TimePoint Now) {
  std::erase_if(Peers, [&](const auto &Entry) {
    return Entry.second.Record.State == MemberState::Dead &&
           Now - Entry.second.DeadSince >= DeadMemberRetention;
  });
}

void Gossip::probeDeadMember(TimePoint Now) {
  NextDeadProbeAt = Now + DeadProbeInterval;
  std::vector<const Peer *> DeadPeers;
  for (const auto &Entry : Peers)
    if (Entry.second.Record.State == MemberState::Dead)
      DeadPeers.push_back(&Entry.second);
  if (DeadPeers.empty())
    return;
  const Peer &Chosen = *DeadPeers[common::uniformBelow(Random, DeadPeers.size())];
  send("ping", Chosen.Record.Control, &Chosen, {{"n", NextSequence++}}, Now);
}

void Gossip::contactSeed(TimePoint Now) {
  NextSeedContactAt = Now + SeedContactInterval;
  std::set<Endpoint> LiveAddresses;
  if (Joined)
    for (const std::string &Id : liveIds())
      LiveAddresses.insert(Peers.at(Id).Record.Control);
  for (std::size_t Attempt = 0; Attempt < Contacts.size(); ++Attempt) {
    const Endpoint Contact = Contacts[NextContact++ % Contacts.size()];
    UntriedContacts -= std::min<std::size_t>(UntriedContacts, 1);
    if (LiveAddresses.contains(Contact))
      continue;
    json Fields{{"n", NextSequence++}, {"j", 1}, {"u", json::array({fullRecord(OwnRecord)})}};
    send("ping", Contact, nullptr, std::move(Fields), Now);
    return;
  }
}

bool Gossip::hasPendingPush() const noexcept {
  const bool HasFreshRecords =
      !Broadcasts.empty() && Broadcasts.minSendCount() < PushRoundsPerChange * PushFanout;
  return (HasFreshRecords || ChangePushRoundsLeft > 0) && !liveIds().empty();
}

void Gossip::pushChanges(TimePoint Now) {
  NextPushAt = Now + PushInterval;
  if (ChangePushRoundsLeft == 0 && ByteBudget < static_cast<double>(MaxRecordBytes))
    return;
  for (const std::string &Id : randomPeers(PushFanout, {})) {
    const Peer &Receiver = Peers.at(Id);
    send("push", Receiver.Record.Control, &Receiver, json::object(), Now);
  }
  if (ChangePushRoundsLeft > 0)
    --ChangePushRoundsLeft;
}

const std::vector<std::string> &Gossip::liveIds() const {
  if (!LiveIdsStale)
    return CachedLiveIds;
  CachedLiveIds.clear();
  for (const auto &[Id, KnownPeer] : Peers)
    if (KnownPeer.Record.State != MemberState::Dead)
      CachedLiveIds.push_back(Id);
  LiveIdsStale = false;
  return CachedLiveIds;
}

std::uint32_t Gossip::transmitLimit() const {
  constexpr double TransmitFactor = 3;
  return static_cast<std::uint32_t>(std::ceil(TransmitFactor * std::log2(double(liveCount()) + 1)));
}

std::vector<std::string> Gossip::randomPeers(std::size_t Count, const std::string &ExcludedId) {
  const std::vector<std::string> &Ids = liveIds();
  std::vector<std::string> Chosen;
  // Duplicates are drawn again. Four draws per wanted peer suffice unless there are few peers.
  const std::size_t MaxDraws = Count * 4;
  for (std::size_t I = 0; I < MaxDraws && Chosen.size() < Count && !Ids.empty(); ++I) {
    const std::string &Id = Ids[common::uniformBelow(Random, Ids.size())];
    if (Id != ExcludedId && std::find(Chosen.begin(), Chosen.end(), Id) == Chosen.end())
      Chosen.push_back(Id);
  }
  return Chosen;
}

void Gossip::refillByteBudget(TimePoint Now) {
  const std::chrono::duration<double> Elapsed = Now - BudgetRefilledAt;
  BudgetRefilledAt = Now;
  ByteBudget = std::min(GossipBurstBytes, ByteBudget + Elapsed.count() * GossipBytesPerSecond);
}

void Gossip::send(const std::string &Type, Endpoint To, const Peer *Receiver, json Fields,
                  TimePoint Now) {
  json Message = std::move(Fields);
  Message["t"] = Type;
  Message["f"] = OwnRecord.Id;
  Message["rev"] = Revision;
  Message["era"] = StoreEra;
  Message["d"] = Digest;
  if (const auto Age = Freshness.age(Now); Age && *Age < StoreReadBounds.MaxAge)
    Message["age"] = std::chrono::ceil<std::chrono::milliseconds>(*Age).count();
  if (!Message.contains("u"))
    Message["u"] = json::array();
  if (Message.contains("o")) {
    Actions.emplace_back(SendDatagram{To, json::to_cbor(Message)});
    return;
  }
  // A receiver that is believed suspect or dead gets its record, so that it can refute it.
  const bool ReceiverBelievedFaulty =
      Receiver != nullptr && (Receiver->Record.State == MemberState::Suspect ||
                              Receiver->Record.State == MemberState::Dead);
  if (ReceiverBelievedFaulty)
    Message["u"].push_back(shortRecord(Receiver->Record));
  const std::size_t MessageBytes = impl::cborBytes(Message) + RecordListOverheadBytes;
  const std::size_t FreeBytes =
      MessageBytes < MaxDatagramBytes ? MaxDatagramBytes - MessageBytes : 0;
  const auto AffordableBytes = static_cast<std::size_t>(std::max(0.0, ByteBudget));
  ByteBudget -= static_cast<double>(
      Broadcasts.take(Message["u"], std::min(FreeBytes, AffordableBytes), transmitLimit()));
  Actions.emplace_back(SendDatagram{To, json::to_cbor(Message)});
}

} // namespace galenarelay::membership
