#include "host.h"

#include "galenarelay/common/http.h"
#include "galenarelay/node/impl/relay_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/endian/conversion.hpp>
#include <nlohmann/json.hpp>

namespace galenarelay::soak {

namespace endian = boost::endian;
using node::impl::sleepFor;

namespace {

constexpr std::uint32_t Slots = 2;
constexpr std::size_t QueueLimit = 8;
constexpr auto WorkTime = std::chrono::milliseconds(20);
/// A life is slower at first, by this factor.
constexpr auto ColdTime = std::chrono::milliseconds(3000);
constexpr int ColdFactor = 2;
constexpr auto HeartbeatInterval = std::chrono::milliseconds(800);
constexpr auto HeartbeatTimeout = std::chrono::milliseconds(1000);
/// How long it goes on after the drain was acknowledged.
constexpr auto DrainServing = DrainBound + std::chrono::milliseconds(1000);
constexpr std::size_t HeaderBytes = 17;
constexpr std::size_t ReplyBytes = 2000;

void storeNumber(std::string &Text, std::size_t At, std::uint64_t Value) {
  endian::store_little_u64(reinterpret_cast<unsigned char *>(Text.data() + At), Value);
}

std::uint64_t loadNumber(const std::string &Text, std::size_t At) {
  return endian::load_little_u64(reinterpret_cast<const unsigned char *>(Text.data() + At));
}

char patternOf(std::uint64_t Attempt) { return static_cast<char>('a' + Attempt % 26); }

bool hasPattern(const std::string &Text, std::uint64_t Attempt) {
  return Text.find_first_not_of(patternOf(Attempt), HeaderBytes) == std::string::npos;
}

} // namespace

std::string Request::encode(std::size_t Bytes) const {
  std::string Text(std::max(Bytes, HeaderBytes), patternOf(Attempt));
  storeNumber(Text, 0, Id);
  storeNumber(Text, 8, Attempt);
  Text[16] = static_cast<char>(What);
  return Text;
}

std::optional<Request> Request::decode(const std::string &Text) {
  if (Text.size() < HeaderBytes || static_cast<std::size_t>(Text[16]) >= Kinds)
    return std::nullopt;
  const Request Read{loadNumber(Text, 0), loadNumber(Text, 8), static_cast<Kind>(Text[16])};
  return hasPattern(Text, Read.Attempt) ? std::optional(Read) : std::nullopt;
}

std::string Reply::encode(std::size_t Bytes) const {
  std::string Text(std::max(Bytes, HeaderBytes), patternOf(Attempt));
  storeNumber(Text, 0, 0);
  storeNumber(Text, 8, Attempt);
  Text[16] = NotRun ? 1 : 0;
  return Text;
}

std::optional<Reply> Reply::decode(const std::string &Text) {
  if (Text.size() < HeaderBytes)
    return std::nullopt;
  const Reply Read{loadNumber(Text, 8), Text[16] == 1};
  return hasPattern(Text, Read.Attempt) ? std::optional(Read) : std::nullopt;
}

Host::Host(boost::asio::io_context &Io, std::string Name, std::string Zone, Addresses Where,
           Ledger &Seen, Network &Links, std::uint64_t Seed)
    : Io(Io), Name(std::move(Name)), Zone(std::move(Zone)), Where(Where), Seen(Seen), Links(Links),
      Random(Seed) {}

void Host::start(const std::string &Of) {
  Service = Of;
  Life = ++Lives;
  Id = Name + "-" + std::to_string(Life);
  Born = static_cast<std::uint64_t>(common::wallMilliseconds());
  Draining = false;
  TakesWork = true;
  Running = 0;
  Socket = std::make_unique<common::UdpSocket>(
      Io, Where.App, [this](std::span<std::uint8_t> Raw, common::Endpoint) { onPacket(Raw); });
  boost::asio::co_spawn(Io, sendHeartbeats(), boost::asio::detached);
}

void Host::crash() {
  Life = 0;
  for (const auto &[Key, Each] : Flows)
    if (Each.Established)
      Seen.onFlowEnded(Key);
  Flows.clear();
  Queue.clear();
  // The socket may be the caller of this function.
  if (Socket)
    Socket->close();
}

bool Host::holds(const packet::FlowKey &Key) const {
  const auto Found = Flows.find(Key);
  return lives() && Found != Flows.end() && Found->second.Established && !Found->second.Ended;
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
  if (!Head || !isGenuine(Raw))
    return Seen.violation("unchanged packets", Id + " got a packet that no caller sent");
  if (Head->opensFlow())
    return open(*Head);
  const auto Found = Flows.find(Head->Key);
  // Until the caller acknowledges the first number of this upstream, the flow may be at another
  // one.
  const bool Holds = Found != Flows.end() && (Found->second.Established ||
                                              Head->Acknowledgement == Found->second.Start + 1);
  if (!Holds || !Found->second.Ended)
    Seen.onFlowPacket(Head->Key, Id, machine(), Holds);
  if (!Holds)
    return Socket->send(markReturned(Raw), Where.Outbound);
  Flow &Held = Found->second;
  Held.Established = true;
  const auto Now = Clock::now();
  Held.Data->onPacket(*Head, payloadOf(Raw), Now);
  while (const auto Text = Held.Data->takeMessage())
    if (!Held.Ending)
      onRequest(Head->Key, *Text);
  if (Held.Ended || !(Held.Data->peerEnded() || Head->Flags.Rst))
    return;
  if (!Held.Ending)
    Held.Data->sendEnd(Now);
  Held.Ending = Held.Ended = true;
  Seen.onFlowEnded(Head->Key);
}

void Host::open(const relay::PacketHeader &Head) {
  auto [Found, Added] = Flows.try_emplace(Head.Key);
  Flow &Held = Found->second;
  if (Added) {
    Held.Start = static_cast<std::uint32_t>(Random());
    Held.Data.emplace(Head.Key, false, Held.Start, Head.Sequence, [this](relay::Bytes Packet) {
      Links.carry([this, Of = Life, Packet = std::move(Packet)] {
        if (lives() && Life == Of)
          Socket->send(Packet, Where.Outbound);
      });
    });
    Seen.onOpened(Id, Service, Zone, Head.Key);
  }
  relay::PacketHeader Accept;
  Accept.Key = Head.Key;
  Accept.TowardsCaller = true;
  Accept.Flags.Syn = Accept.Flags.Ack = true;
  Accept.Sequence = Held.Start;
  Accept.Acknowledgement = Head.Sequence + 1;
  Socket->send(buildPacket(Accept, ""), Where.Outbound);
}

void Host::onRequest(const packet::FlowKey &Key, const std::string &Text) {
  const auto Asked = Request::decode(Text);
  if (!Asked)
    return Seen.violation("unchanged packets", Id + " got a request that no caller sent");
  if (Running < Slots)
    boost::asio::co_spawn(Io, run({Key, *Asked}), boost::asio::detached);
  else if (Queue.size() < QueueLimit)
    Queue.push_back({Key, *Asked});
  else
    answer(Key, {Asked->Attempt, true});
}

boost::asio::awaitable<void> Host::run(Work Next) {
  const auto Of = Life;
  ++Running;
  Seen.onRun(Next.Asked.Id, Next.Asked.Attempt, Next.Asked.What);
  co_await sleepFor(remainingCold() > 0 ? WorkTime * ColdFactor : WorkTime);
  if (Life != Of)
    co_return;
  --Running;
  answer(Next.Flow, {Next.Asked.Attempt, false});
  if (Queue.empty() || Running >= Slots)
    co_return;
  const Work Following = Queue.front();
  Queue.pop_front();
  boost::asio::co_spawn(Io, run(Following), boost::asio::detached);
}

void Host::answer(const packet::FlowKey &Key, const Reply &Made) {
  const auto Found = Flows.find(Key);
  if (Found == Flows.end() || Found->second.Ending)
    return;
  const auto Now = Clock::now();
  Found->second.Data->sendMessage(Made.encode(ReplyBytes), Now);
  if (!Draining)
    return;
  Found->second.Data->sendEnd(Now);
  Found->second.Ending = true;
}

std::int64_t Host::remainingCold() const {
  const auto Age = common::wallMilliseconds() - static_cast<std::int64_t>(Born);
  return std::max<std::int64_t>(0, ColdTime.count() - Age);
}

boost::asio::awaitable<void> Host::sendHeartbeats() {
  const auto Of = Life;
  std::uint64_t Sequence = 0;
  std::optional<Clock::time_point> LeavingSince;
  while (Life == Of) {
    const bool Leaving = Draining;
    const bool Acknowledged = co_await sendHeartbeat(++Sequence);
    if (Life != Of)
      co_return;
    if (Leaving && Acknowledged && !LeavingSince) {
      LeavingSince = Clock::now();
      Seen.onDrainAcknowledged(Id);
    }
    if (LeavingSince && Clock::now() - *LeavingSince > DrainServing) {
      (void)co_await common::httpCall(Where.Control, "DELETE", "/-/instances/" + Id, "",
                                      HeartbeatTimeout);
      if (Life == Of)
        crash();
      co_return;
    }
    co_await sleepFor(HeartbeatInterval);
  }
}

boost::asio::awaitable<bool> Host::sendHeartbeat(std::uint64_t Sequence) {
  const nlohmann::json Body{{"service", Service},
                            {"address", common::toString(Where.App)},
                            {"zone", Zone},
                            {"version", "v1"},
                            {"concurrencyLimit", Slots},
                            {"state", Draining ? "draining" : "ready"},
                            {"remainingColdMs", remainingCold()},
                            {"sequence", Sequence},
                            {"born", Born}};
  const auto Answer = co_await common::httpCall(Where.Control, "PUT", "/-/instances/" + Id,
                                                Body.dump(), HeartbeatTimeout);
  co_return Answer && Answer->Status == 200;
}

} // namespace galenarelay::soak
