// Cost of an agent's flow table: time per packet and memory per flow, from 1,000 to 500,000 flows.
#include "galenarelay/bench/report.h"
#include "galenarelay/flow/flow_router.h"
#include "galenarelay/flow/stream.h"

#include <malloc.h>

#include <chrono>
#include <unordered_map>

namespace galenarelay::bench {

namespace {

using common::Endpoint;
using common::TimePoint;
using flow::Bytes;
using flow::FlowRouter;
using flow::Stream;
using packet::FlowKey;
using packet::Packet;
using std::chrono::seconds;
using Streams = std::unordered_map<FlowKey, Stream, packet::FlowKeyHash>;
using ViewPointer = std::shared_ptr<const routing::RoutingView>;

constexpr std::size_t FlowCounts[] = {1'000, 10'000, 100'000, 500'000};
/// Services of the design scale; the agents are those of the one service that is measured.
constexpr std::uint32_t ServiceCount = 710;
constexpr std::uint32_t AgentCount = 9;
constexpr double PacketsPerMeasurement = 1'000'000;
constexpr std::uint32_t InitialSequence = 500;
const TimePoint Start{seconds(1000)};

/// Bytes that the process has allocated.
double allocatedBytes() { return static_cast<double>(mallinfo2().uordblks); }

template <typename F> double nanosecondsPerCall(std::size_t Calls, F &&Function) {
  const auto From = std::chrono::steady_clock::now();
  for (std::size_t I = 0; I < Calls; ++I)
    Function(I);
  const std::chrono::duration<double, std::nano> Taken = std::chrono::steady_clock::now() - From;
  return Taken.count() / static_cast<double>(Calls);
}

Endpoint serviceAddress(std::uint32_t Number) { return {0x0a010000 + Number, 80}; }

ViewPointer makeView(std::uint32_t Agents) {
  config::Configuration Document;
  for (std::uint32_t I = 0; I < ServiceCount; ++I)
    Document.Services["service-" + std::to_string(I)] = {serviceAddress(I),
                                                         "work=" + std::to_string(I)};
  std::vector<membership::Member> Members;
  for (std::uint32_t I = 0; I < Agents; ++I) {
    membership::Member Made;
    Made.Id = "agent-" + std::to_string(I);
    Made.Data = {0x0a020000 + I, 7000};
    Made.Control = {0x0a020000 + I, 7001};
    Made.State = membership::MemberState::Active;
    Document.UpstreamLabels[Made.Id] = {{"work", "0"}};
    Members.push_back(Made);
  }
  return std::make_shared<routing::RoutingView>(Document, Members);
}

Packet callerPacket(std::size_t Flow, packet::Flags Bits, std::size_t PayloadBytes) {
  Packet Made;
  Made.Key = {{0x0b000000 + static_cast<std::uint32_t>(Flow), 4000}, serviceAddress(0)};
  Made.Bits = Bits;
  Made.Sequence = Bits.Syn ? 100 : 101;
  Made.Acknowledgement = Bits.Syn ? 0 : InitialSequence + 1;
  Made.Window = 4096;
  Made.Payload.resize(PayloadBytes);
  return Made;
}

FlowRouter makeRouter(const Streams &Served, std::size_t Choice) {
  return FlowRouter(
      "agent-0",
      [Choice](const routing::ServiceRoute &, const std::string &, TimePoint) { return Choice; },
      [&Served](const packet::RouteView &Route) {
        const auto Found = Served.find(Route.Key);
        return Found != Served.end() && Found->second.fits(Route);
      },
      1);
}

/// Serialized packets of flows spread over the table, so that the caches miss as in operation.
std::vector<Bytes> sample(std::size_t Flows, packet::Flags Bits, std::size_t PayloadBytes) {
  constexpr std::size_t MaxSamples = 10'000;
  constexpr std::size_t Stride = 7919; // Prime, so that all flows are visited.
  std::vector<Bytes> Made;
  for (std::size_t I = 0; I < std::min(Flows, MaxSamples); ++I)
    Made.push_back(packet::serialize(callerPacket(I * Stride % Flows, Bits, PayloadBytes)));
  return Made;
}

double packetCost(FlowRouter &Router, const std::vector<Bytes> &Packets, double Scale) {
  std::size_t Actions = 0;
  const auto Calls = static_cast<std::size_t>(PacketsPerMeasurement * Scale);
  const double Cost = nanosecondsPerCall(Calls, [&](std::size_t I) {
    Actions += Router.onPacket(Packets[I % Packets.size()], Start).size();
  });
  return Actions == Calls ? Cost : -1; // -1: a packet did not lead to one action.
}

Row servedRow(std::size_t Flows, double Scale, const ViewPointer &View,
              const ViewPointer &Changed) {
  const double Empty = allocatedBytes();
  Streams Served;
  for (std::size_t I = 0; I < Flows; ++I) {
    const Packet Syn = callerPacket(I, {.Syn = true}, 0);
    Stream Opened = Stream::accept(Syn, InitialSequence, Start);
    Opened.onPacket(callerPacket(I, {.Ack = true}, 0), Start);
    (void)Opened.takeOutput(Start);
    Served.emplace(Syn.Key, std::move(Opened));
  }
  const double WithStreams = allocatedBytes();
  FlowRouter Router = makeRouter(Served, 0);
  (void)Router.onViewChange(View, Start);
  const double SynCost = nanosecondsPerCall(Flows, [&](std::size_t I) {
    const Bytes Syn = packet::serialize(callerPacket(I, {.Syn = true}, 0));
    (void)Router.onPacket(Syn, Start);
  });
  for (std::size_t I = 0; I < Flows; ++I)
    (void)Router.onPacket(packet::serialize(callerPacket(I, {.Ack = true}, 0)), Start);
  (void)Router.onTimer(Start + flow::HalfOpenTimeout); // Releases the queue of half-open flows.
  const double WithRouter = allocatedBytes();
  const auto Acks = sample(Flows, {.Ack = true}, 0);
  const auto Data = sample(Flows, {.Ack = true}, packet::MaxPayloadBytes);
  const double AckCost = packetCost(Router, Acks, Scale);
  const double DataCost = packetCost(Router, Data, Scale);
  const double ChangeCost = nanosecondsPerCall(
      1, [&](std::size_t) { (void)Router.onViewChange(Changed, Start + seconds(20)); });
  const auto PerFlow = [&](double Total) { return Total / static_cast<double>(Flows); };
  return {{"flows", Flows},
          {"syn_ns", SynCost},
          {"ack_ns", AckCost},
          {"data_1400_ns", DataCost},
          {"router_bytes", PerFlow(WithRouter - WithStreams)},
          {"stream_bytes", PerFlow(WithStreams - Empty)},
          {"view_change_ms", ChangeCost / 1e6}};
}

Row handedOffRow(std::size_t Flows, double Scale, const ViewPointer &View) {
  const Streams None;
  const double Empty = allocatedBytes();
  FlowRouter Router = makeRouter(None, 1);
  (void)Router.onViewChange(View, Start);
  const double SynCost = nanosecondsPerCall(Flows, [&](std::size_t I) {
    const Bytes Syn = packet::serialize(callerPacket(I, {.Syn = true}, 0));
    (void)Router.onPacket(Syn, Start);
  });
  const double Total = allocatedBytes() - Empty;
  const double AckCost = packetCost(Router, sample(Flows, {.Ack = true}, 0), Scale);
  const double DataCost =
      packetCost(Router, sample(Flows, {.Ack = true}, packet::MaxPayloadBytes), Scale);
  const double SweepCost =
      nanosecondsPerCall(1, [&](std::size_t) { (void)Router.onTimer(Start + seconds(2)); });
  return {{"flows", Flows},
          {"syn_ns", SynCost},
          {"ack_ns", AckCost},
          {"data_1400_ns", DataCost},
          {"bytes", Total / static_cast<double>(Flows)},
          {"sweep_ms", SweepCost / 1e6}};
}

/// Sends the given bytes through two streams without a network between them.
Row streamRow(const char *Name, std::size_t WriteBytes, double Scale) {
  const FlowKey Key{{0x0b000001, 4000}, serviceAddress(0)};
  Stream Caller = Stream::connect(Key, 1, Start);
  Stream Service = Stream::accept(Caller.takeOutput(Start).at(0), InitialSequence, Start);
  const Bytes Data(WriteBytes);
  std::size_t Packets = 0;
  std::size_t Read = 0;
  const auto Exchange = [&] {
    Caller.write(Data);
    for (const Packet &Each : Caller.takeOutput(Start)) {
      ++Packets;
      Service.onPacket(Each, Start);
    }
    Read += Service.read().size();
    for (const Packet &Each : Service.takeOutput(Start)) {
      ++Packets;
      Caller.onPacket(Each, Start);
    }
  };
  const auto Rounds = static_cast<std::size_t>(PacketsPerMeasurement * Scale / 2);
  const double Round = nanosecondsPerCall(Rounds, [&](std::size_t) { Exchange(); });
  const double PerPacket = Round * static_cast<double>(Rounds) / static_cast<double>(Packets);
  return {{"write", Name},
          {"packets", Packets},
          {"ns_per_packet", PerPacket},
          {"mb_per_s", static_cast<double>(Read) * 1e3 / (Round * static_cast<double>(Rounds))}};
}

std::vector<Table> measure(const BenchArguments &Given) {
  const ViewPointer View = makeView(AgentCount);
  const ViewPointer Changed = makeView(AgentCount + 1);
  Table Served{"flows served here: router and idle stream", {}};
  Table HandedOff{"flows handed off to a peer", {}};
  for (const std::size_t Flows : FlowCounts) {
    Served.Rows.push_back(servedRow(Flows, Given.Scale, View, Changed));
    HandedOff.Rows.push_back(handedOffRow(Flows, Given.Scale, View));
  }
  Table Through{"two streams, both ends counted", {}};
  Through.Rows.push_back(streamRow("1 byte", 1, Given.Scale));
  Through.Rows.push_back(streamRow("1,400 bytes", packet::MaxPayloadBytes, Given.Scale));
  Through.Rows.push_back(streamRow("14,000 bytes", 10 * packet::MaxPayloadBytes, Given.Scale / 10));
  return {Served, HandedOff, Through};
}

} // namespace

} // namespace galenarelay::bench

int main(int ArgumentCount, char **Arguments) {
  return galenarelay::bench::runBench("flow", ArgumentCount, Arguments,
                                      galenarelay::bench::measure);
}
