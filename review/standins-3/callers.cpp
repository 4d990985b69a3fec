#include "callers.h"

#include <algorithm>
#include <array>

namespace galenarelay::review {

namespace {

/// A caller sends copies of its first packet after these times.
constexpr std::array CopyTimes{std::chrono::milliseconds(200), std::chrono::milliseconds(600)};
/// A caller gives up opening after this time.
constexpr auto OpenTimeout = std::chrono::milliseconds(1400);
/// A reset of an open flow must be this close to the caller's latest acknowledgement.
constexpr std::int64_t ResetWindow = 76'800;

} // namespace

Callers::Callers(boost::asio::io_context &Io, Record &Notes, std::vector<common::Endpoint> Own,
                 std::vector<common::Endpoint> Balancers, std::uint64_t Seed)
    : Notes(Notes), Own(std::move(Own)), Balancers(std::move(Balancers)), Random(Seed) {
  for (const auto &Address : this->Own)
    Sockets.push_back(std::make_unique<common::UdpSocket>(
        Io, Address, [this](std::span<std::uint8_t> Raw, common::Endpoint) { onPacket(Raw); }));
}

packet::FlowKey Callers::open(std::size_t Caller, common::Endpoint Service, std::string Request) {
  const packet::FlowKey Key{{Own.at(Caller % Own.size()).Address, ++NextPort}, Service};
  Flow &Entry = Flows[Key];
  Entry.Start = static_cast<std::uint32_t>(Random());
  Entry.OpenedAt = Clock::now();
  Entry.Pending = std::move(Request);
  sendSyn(Key, Entry);
  return Key;
}

void Callers::close(const packet::FlowKey &Key) {
  Flow &Entry = Flows.at(Key);
  if (Entry.State == Phase::Open)
    Entry.Data->sendEnd(Clock::now());
  Entry.State = Phase::Closed;
}

// A hash of the addresses and ports over the balancers in rotation.
void Callers::send(const packet::FlowKey &Key, const relay::Bytes &Packet) {
  const auto Sender = std::find_if(Own.begin(), Own.end(), [&Key](const auto &Each) {
    return Each.Address == Key.Caller.Address;
  });
  Sockets[static_cast<std::size_t>(Sender - Own.begin())]->send(
      Packet, Balancers[packet::hash(Key) % Balancers.size()]);
}

void Callers::sendSyn(const packet::FlowKey &Key, const Flow &Entry) {
  relay::PacketHeader Head;
  Head.Key = Key;
  Head.Flags.Syn = true;
  Head.Sequence = Entry.Start;
  Head.Acknowledgement = Entry.Copies;
  send(Key, soak::buildPacket(Head, ""));
}

void Callers::onPacket(std::span<const std::uint8_t> Raw) {
  const auto Head = platform::PacketCodec::decode(Raw, relay::Side::Upstream);
  if (!Head)
    return Notes.violation("MIXED: a caller gets bytes that are no packet");
  const auto Found = Flows.find(Head->Key);
  if (Found == Flows.end() || Found->second.State == Phase::Closed)
    return;
  Flow &Entry = Found->second;
  if (Head->Flags.Rst) {
    const auto Distance = static_cast<std::int32_t>(Head->Sequence - Entry.Acknowledged);
    if (Entry.State == Phase::Open && std::abs(std::int64_t{Distance}) > ResetWindow)
      return;
    Entry.State = Phase::Closed;
    Notes.note("caller gets a reset on " + packet::toString(Head->Key) +
               (soak::isSystemReset(Raw) ? " from the system" : " from the host") +
               (Entry.Pending.empty() ? "" : ", without an answer to " + Entry.Pending));
    return;
  }
  if (!soak::isGenuine(Raw))
    return Notes.violation("MIXED: a caller gets a packet that no host wrote");
  if (Head->Flags.Syn) {
    if (Entry.State != Phase::Opening)
      return;
    Entry.State = Phase::Open;
    Entry.WasOpen = true;
    Entry.Acknowledged = Head->Sequence + 1;
    Entry.Data.emplace(
        Head->Key, true, Entry.Start, Head->Sequence,
        [this, Key = Head->Key](const relay::Bytes &Packet) {
          Flows.at(Key).Acknowledged =
              platform::PacketCodec::decode(Packet, relay::Side::Caller)->Acknowledgement;
          send(Key, Packet);
        });
    Notes.note("caller sends " + Entry.Pending + " on " + packet::toString(Head->Key));
    Entry.Data->sendMessage(Entry.Pending, Clock::now());
    return;
  }
  if (Entry.State != Phase::Open)
    return;
  Entry.Data->onPacket(*Head, soak::payloadOf(Raw), Clock::now());
  while (const auto Text = Entry.Data->takeMessage()) {
    if (*Text == "not run " + Entry.Pending) {
      Notes.note("caller gets " + *Text);
      Entry.NotRun = true;
      continue;
    }
    if (*Text != "answer to " + Entry.Pending)
      Notes.violation("MIXED: a caller gets '" + *Text + "' for " + Entry.Pending);
    Notes.note("caller gets " + *Text);
    Entry.Pending.clear();
    ++Entry.Answers;
  }
}

void Callers::onTimer(Clock::time_point Now) {
  for (auto &[Key, Entry] : Flows) {
    if (Entry.State == Phase::Open)
      Entry.Data->onTimer(Now);
    if (Entry.State != Phase::Opening)
      continue;
    if (Entry.Copies < CopyTimes.size() && Now - Entry.OpenedAt >= CopyTimes[Entry.Copies]) {
      ++Entry.Copies;
      sendSyn(Key, Entry);
    }
    if (Now - Entry.OpenedAt >= OpenTimeout) {
      Entry.State = Phase::Closed;
      Notes.note("caller gives up opening " + packet::toString(Key));
    }
  }
}

} // namespace galenarelay::review
