#include "host.h"

#include "galenarelay/common/http.h"
#include "galenarelay/node/impl/call_pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace galenarelay::review {

using node::impl::sleepFor;

namespace {

constexpr std::uint32_t Slots = 5;
constexpr std::size_t QueueLimit = 20;
constexpr auto CheckInInterval = std::chrono::milliseconds(1200);
/// A check-in that isn't acknowledged within this time has failed.
constexpr auto CheckInTimeout = std::chrono::milliseconds(1000);

} // namespace

void Host::start(std::string NewId, std::string OfService) {
  Id = std::move(NewId);
  Service = std::move(OfService);
  Life = ++Lives;
  Born = static_cast<std::uint64_t>(common::wallMilliseconds());
  Sequence = 0;
  Socket = std::make_unique<common::UdpSocket>(
      Io, Where.App, [this](std::span<std::uint8_t> Raw, common::Endpoint) { onPacket(Raw); });
  Notes.note("host " + Id + " of " + Service + " starts at " + common::toString(Where.App) +
             ", born " + std::to_string(Born));
  boost::asio::co_spawn(Io, sendCheckIns(), boost::asio::detached);
}

void Host::crash() {
  Notes.note("host " + Id + " ends, born " + std::to_string(Born));
  Life = 0;
  Flows.clear();
  Queue.clear();
  Running = 0;
  Socket->close();
}

void Host::onTimer(Clock::time_point Now) {
  for (auto &[Key, Each] : Flows)
    if (Each.Data)
      Each.Data->onTimer(Now);
}

void Host::onPacket(std::span<const std::uint8_t> Raw) {
  if (!lives())
    return;
  const auto Head = platform::PacketCodec::decode(Raw, relay::Side::Caller);
  if (!Head || !soak::isGenuine(Raw))
    return Notes.violation("UNASKED: host " + Id + " gets a packet that no caller wrote");
  if (Head->opensFlow())
    return open(*Head);
  const auto Found = Flows.find(Head->Key);
  const bool Holds = Found != Flows.end() && (Found->second.Established ||
                                              Head->Acknowledgement == Found->second.Start + 1);
  if (!Holds)
    return Socket->send(soak::markReturned(Raw), Where.Outbound);
  Flow &Held = Found->second;
  Held.Established = true;
  Held.Data->onPacket(*Head, soak::payloadOf(Raw), Clock::now());
  while (const auto Text = Held.Data->takeMessage())
    onRequest(Head->Key, *Text);
  if (Held.Ended || !Held.Data->peerEnded())
    return;
  Held.Data->sendEnd(Clock::now());
  Held.Ended = true;
}

void Host::open(const relay::PacketHeader &Head) {
  auto [Found, Added] = Flows.try_emplace(Head.Key);
  Flow &Held = Found->second;
  if (Added) {
    Held.Start = static_cast<std::uint32_t>(Random());
    Held.Data.emplace(Head.Key, false, Held.Start, Head.Sequence,
                      [this, Of = Life, Key = Head.Key](const relay::Bytes &Packet) {
                        if (Life == Of)
                          send(Key, Packet);
                      });
  }
  relay::PacketHeader Accept;
  Accept.Key = Head.Key;
  Accept.TowardsCaller = true;
  Accept.Flags.Syn = Accept.Flags.Ack = true;
  Accept.Sequence = Held.Start;
  Accept.Acknowledgement = Head.Sequence + 1;
  Socket->send(soak::buildPacket(Accept, ""), Where.Outbound);
}

// An end acknowledges every second packet.
void Host::send(const packet::FlowKey &Key, const relay::Bytes &Packet) {
  const auto Head = platform::PacketCodec::decode(Packet, relay::Side::Upstream);
  const bool OnlyAcknowledges = Head->PayloadBytes == 0 && !Head->Flags.Fin;
  if (OnlyAcknowledges && ++Flows.at(Key).Acknowledgements % 2 != 0)
    return;
  Socket->send(Packet, Where.Outbound);
}

void Host::onRequest(const packet::FlowKey &Key, std::string Text) {
  if (Running < Slots)
    boost::asio::co_spawn(Io, run(Key, std::move(Text)), boost::asio::detached);
  else if (Queue.size() < QueueLimit)
    Queue.emplace_back(Key, std::move(Text));
  else
    Flows.at(Key).Data->sendMessage("not run " + Text, Clock::now());
}

boost::asio::awaitable<void> Host::run(packet::FlowKey Key, std::string Text) {
  const auto Of = Life;
  ++Running;
  Notes.note("host " + Id + " of " + Service + " runs " + Text + " on " + packet::toString(Key));
  co_await sleepFor(WorkTime);
  if (Life != Of)
    co_return;
  --Running;
  const auto Found = Flows.find(Key);
  if (Found != Flows.end() && !Found->second.Ended)
    Found->second.Data->sendMessage("answer to " + Text, Clock::now());
  if (Queue.empty() || Running >= Slots)
    co_return;
  auto Next = std::move(Queue.front());
  Queue.pop_front();
  boost::asio::co_spawn(Io, run(Next.first, std::move(Next.second)), boost::asio::detached);
}

std::string Host::checkIn() {
  return nlohmann::json{{"service", Service},
                        {"address", common::toString(Where.App)},
                        {"zone", Zone},
                        {"version", "v1"},
                        {"concurrencyLimit", Slots},
                        {"state", "ready"},
                        {"remainingColdMs", 0},
                        {"sequence", ++Sequence},
                        {"born", Born}}
      .dump();
}

boost::asio::awaitable<void> Host::sendCheckIns() {
  const auto Of = Life;
  while (Life == Of) {
    const std::string Body = checkIn();
    const std::string Number = std::to_string(Sequence);
    const auto Answer =
        co_await common::httpCall(Where.Control, "PUT", "/-/instances/" + Id, Body, CheckInTimeout);
    Notes.note("host " + Id + " check-in " + Number +
               (Answer && Answer->Status == 200 ? " acknowledged" : " not acknowledged"));
    co_await sleepFor(CheckInInterval);
  }
}

} // namespace galenarelay::review
