#include "callers.h"

namespace galenarelay::soak {

namespace {

using std::chrono::milliseconds;

/// When copies of a first packet leave, and when the caller stops waiting.
constexpr std::array<milliseconds, 3> CopyTimes{milliseconds(0), milliseconds(200),
                                                milliseconds(600)};
constexpr milliseconds OpenLimit(1400);
constexpr std::array<milliseconds, Kinds> Deadlines{milliseconds(3000), milliseconds(4000),
                                                    milliseconds(8000)};
constexpr std::array<std::size_t, Kinds> RequestBytes{100, 900, 12'000};
constexpr int Retries = 2;
/// This share of the flows of feeds stays in use until its upstream ends, however often the routers
/// move it; the others are closed after some of their answers.
constexpr double KeptShare = 0.5;
constexpr double CloseShare = 0.1;
/// Flows that a caller keeps for feeds, and how often it opens another one up to that: pauses
/// between the requests of a flow are then as long as a restart.
constexpr std::size_t KeptFlows = 20;
constexpr double OpenShare = 0.4;
/// An ended flow is kept for its last packets.
constexpr milliseconds EndRetention(2000);

} // namespace

Callers::Callers(boost::asio::io_context &Io, std::vector<common::Endpoint> Addresses, Router Route,
                 Finder Find, Ledger &Seen, Network &Links, std::uint64_t Seed)
    : Io(Io), Addresses(std::move(Addresses)), Route(std::move(Route)), Find(std::move(Find)),
      Seen(Seen), Links(Links), Random(Seed) {
  for (std::size_t I = 0; I < this->Addresses.size(); ++I)
    Sockets.push_back(std::make_unique<common::UdpSocket>(
        Io, this->Addresses[I],
        [this, I](std::span<std::uint8_t> Raw, common::Endpoint From) { onPacket(I, Raw, From); }));
}

std::size_t Callers::pending() const noexcept {
  std::size_t Count = 0;
  for (const auto &[Key, Each] : Flows)
    Count += Each.Current ? 1 : 0;
  return Count;
}

void Callers::ask(Kind What) {
  ++Seen.Counts.Asked;
  attempt(
      {NextRequest++, What, Clock::now() + Deadlines[static_cast<std::size_t>(What)], Retries, 0});
}

void Callers::attempt(Asked Next) {
  Next.Attempt = NextAttempt++;
  const auto Who = common::uniformBelow(Random, Addresses.size());
  const auto To = KindEndpoints[static_cast<std::size_t>(Next.What)];
  if (Next.What == Kind::Feed)
    if (Flow *Idle = idleFlow(Addresses[Who], To)) {
      Idle->Current = Next;
      return sendRequest(*Idle);
    }
  NextPort = NextPort == UINT16_MAX ? 1024 : static_cast<std::uint16_t>(NextPort + 1);
  const packet::FlowKey Key{{Addresses[Who].Address, NextPort}, To};
  Flow Made;
  Made.Key = Key;
  Made.Start = static_cast<std::uint32_t>(Random());
  Made.OpenedAt = Clock::now();
  Made.Current = Next;
  Made.UsedAt = Made.OpenedAt;
  Made.Kept = Next.What == Kind::Feed && common::uniformUnit(Random) < KeptShare;
  auto &Held = Flows[Key] = std::move(Made);
  Seen.onFirstPacket(Key);
  sendFirst(Held);
}

Callers::Flow *Callers::idleFlow(common::Endpoint Caller, common::Endpoint Service) {
  std::vector<Flow *> Idle;
  for (auto &[Key, Each] : Flows)
    if (Key.Caller.Address == Caller.Address && Key.Service == Service && Each.Data &&
        !Each.Current && !Each.Ending)
      Idle.push_back(&Each);
  const bool OpenAnother = Idle.size() < KeptFlows && common::uniformUnit(Random) < OpenShare;
  return Idle.empty() || OpenAnother ? nullptr : Idle[common::uniformBelow(Random, Idle.size())];
}

void Callers::sendFirst(Flow &Held) {
  relay::PacketHeader First;
  First.Key = Held.Key;
  First.Flags.Syn = true;
  First.Sequence = Held.Start;
  First.Acknowledgement = static_cast<std::uint32_t>(Held.Copies++);
  send(Held.Key, buildPacket(First, ""));
}

void Callers::sendRequest(Flow &Held) {
  const Asked &Of = *Held.Current;
  Held.UsedAt = Clock::now();
  Held.Data->sendMessage(
      Request{Of.Id, Of.Attempt, Of.What}.encode(RequestBytes[static_cast<std::size_t>(Of.What)]),
      Held.UsedAt);
}

void Callers::send(const packet::FlowKey &Key, relay::Bytes Packet) {
  const auto Who = static_cast<std::size_t>(Key.Caller.Address - Addresses.front().Address);
  Links.carry([this, Key, Who, Packet = std::move(Packet)] {
    if (const auto To = Route(Key)) {
      Seen.onSent(Key, To->Address);
      Sockets[Who]->send(Packet, *To);
    }
  });
}

void Callers::onPacket(std::size_t Caller, std::span<const std::uint8_t> Raw,
                       common::Endpoint From) {
  const auto Head = platform::PacketCodec::decode(Raw, relay::Side::Upstream);
  const bool BySystem = isSystemReset(Raw);
  if (!Head || (!BySystem && !isGenuine(Raw)) ||
      Head->Key.Caller.Address != Addresses[Caller].Address)
    return Seen.violation("unchanged packets", "a caller got a packet that no upstream sent");
  if (Head->Flags.Rst)
    return onReset(Head->Key, BySystem ? std::optional(From.Address) : std::nullopt);
  const auto Found = Flows.find(Head->Key);
  if (Found == Flows.end())
    return;
  Flow &Held = Found->second;
  const auto Now = Clock::now();
  Held.UsedAt = Now;
  if (Head->Flags.Syn) {
    if (Held.Data)
      return; // Another upstream has accepted a copy; the flow is at the first one.
    Held.Data.emplace(
        Held.Key, true, Held.Start, Head->Sequence,
        [this, Key = Held.Key](relay::Bytes Packet) { send(Key, std::move(Packet)); });
    return sendRequest(Held);
  }
  if (!Held.Data)
    return;
  Held.Data->onPacket(*Head, payloadOf(Raw), Now);
  while (const auto Text = Held.Data->takeMessage())
    onReply(Held, *Text);
  if (Held.Data->peerEnded() && !Held.Ending) {
    Held.Ending = true;
    Held.Data->sendEnd(Now);
    if (const auto Lost = std::exchange(Held.Current, std::nullopt))
      onLost(*Lost, true);
  }
}

void Callers::onReply(Flow &Held, const std::string &Text) {
  const auto Read = Reply::decode(Text);
  const auto Current = std::exchange(Held.Current, std::nullopt);
  if (!Read || !Current || Read->Attempt != Current->Attempt)
    return Seen.violation("own answers", packet::toString(Held.Key) + " got another answer");
  const bool Late = Clock::now() > Current->Deadline;
  if (Read->NotRun) {
    Seen.onNotRun(Read->Attempt);
    onLost(*Current, false);
  } else {
    ++(Late ? Seen.Counts.Failed : Seen.Counts.Served);
  }
  if (Held.Kept || (Current->What == Kind::Feed && common::uniformUnit(Random) >= CloseShare))
    return;
  Held.Ending = true;
  Held.Data->sendEnd(Clock::now());
}

void Callers::onReset(const packet::FlowKey &Key, std::optional<std::uint32_t> Sender) {
  // Counts whether or not this caller still uses the flow.
  if (Sender)
    if (const Host *Holder = Find(Key))
      Seen.onOpenFlowReset(packet::toString(Key), Holder->id(), *Sender, Holder->machine());
  const auto Found = Flows.find(Key);
  if (Found == Flows.end())
    return;
  const bool WasOpen = Found->second.Data.has_value();
  const auto Lost = std::exchange(Found->second.Current, std::nullopt);
  Flows.erase(Found);
  if (!Lost)
    return;
  if (!WasOpen)
    Seen.onNotRun(Lost->Attempt);
  onLost(*Lost, WasOpen);
}

void Callers::onLost(Asked Failed, bool MayHaveRun) {
  const bool Harmless = !MayHaveRun || Failed.What == Kind::Feed;
  if (!Harmless || Failed.TriesLeft == 0 || Clock::now() >= Failed.Deadline) {
    ++(MayHaveRun ? Seen.Counts.Failed : Seen.Counts.Refused);
    return;
  }
  --Failed.TriesLeft;
  // Not from within a packet's handler: the flows may change.
  boost::asio::post(Io, [this, Failed] { attempt(Failed); });
}

void Callers::onTimer(Clock::time_point Now) {
  std::vector<packet::FlowKey> Gone;
  for (auto &[Key, Each] : Flows) {
    if (!Each.Data) {
      const auto Copy = static_cast<std::size_t>(Each.Copies);
      if (Now - Each.OpenedAt > OpenLimit)
        Gone.push_back(Key);
      else if (Copy < CopyTimes.size() && Now - Each.OpenedAt >= CopyTimes[Copy])
        sendFirst(Each);
      continue;
    }
    Each.Data->onTimer(Now);
    const bool TooLate = Each.Current && Now > Each.Current->Deadline;
    if (TooLate || Each.Data->gaveUp() || (Each.Ending && Now - Each.UsedAt > EndRetention))
      Gone.push_back(Key);
  }
  for (const auto &Key : Gone) {
    const auto Found = Flows.find(Key);
    const bool WasOpen = Found->second.Data.has_value();
    const auto Lost = std::exchange(Found->second.Current, std::nullopt);
    Flows.erase(Found);
    if (!Lost)
      continue;
    if (!WasOpen)
      Seen.onNotRun(Lost->Attempt);
    onLost(*Lost, WasOpen);
  }
}

} // namespace galenarelay::soak
