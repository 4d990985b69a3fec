// Benchmarks an agent's flow table: time per packet and memory per flow, with 1,000 to 500,000
// flows. Also measures the throughput of two connected streams.
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
/// Number of services in the view, that of the design scale; all agents serve the one service that
/// is measured.
constexpr std::uint32_t ServiceCount = 710;
constexpr std::uint32_t AgentCount = 9;
constexpr double PacketsPerMeasurement = 1'000'000;
constexpr std::uint32_t InitialSequence = 500;
const TimePoint StartTime{seconds(1000)};

/// Bytes that the process has allocated on the heap.
double allocatedBytes() { return static_cast<double>(mallinfo2().uordblks); }

template <typename F> double nanosecondsPerCall(std::size_t Calls, F &&Function) {
  const auto Begin = std::chrono::steady_clock::now();
  for (std::size_t I = 0; I < Calls; ++I)
    Function(I);
  const std::chrono::duration<double, std::nano> Elapsed = std::chrono::steady_clock::now() - Begin;
  return Elapsed.count() / static_cast<double>(Calls);
}

Endpoint serviceAddress(std::uint32_t Number) { return {0x0a010000 + Number, 80}; }

ViewPointer makeView(std::uint32_t Agents) {
  config::Configuration Document;
  for (std::uint32_t I = 0; I < ServiceCount; ++I)
    Document.Services["service-" + std::to_string(I)] = {serviceAddress(I),
                                                         "work=" + std::to_string(I)};
  std::vector<membership::Member> Members;
  for (std::uint32_t I = 0; I < Agents; ++I) {
    membership::Member Agent;
    Agent.Id = "agent-" + std::to_string(I);
    Agent.Data = {0x0a020000 + I, 7000};
    Agent.Control = {0x0a020000 + I, 7001};
    Agent.State = membership::MemberState::Active;
    Document.UpstreamLabels[Agent.Id] = {{"work", "0"}};
    Members.push_back(Agent);
  }
  return std::make_shared<routing::RoutingView>(Document, Members);
}

Packet callerPacket(std::size_t Flow, packet::Flags Bits, std::size_t PayloadBytes) {
  Packet Outgoing;
  Outgoing.Key = {{0x0b000000 + static_cast<std::uint32_t>(Flow), 4000}, serviceAddress(0)};
  Outgoing.Bits = Bits;
  Outgoing.Sequence = Bits.Syn ? 100 : 101;
  Outgoing.Acknowledgement = Bits.Syn ? 0 : InitialSequence + 1;
  Outgoing.Window = 4096;
  Outgoing.Payload.resize(PayloadBytes);
  return Outgoing;
}

FlowRouter makeRouter(const Streams &Served, std::size_t Choice) {
  return FlowRouter(
      "agent-0",
      [Choice](const routing::ServiceRoute &, const std::string &, TimePoint) { return Choice; },
      [&Served](const packet::RouteView &Route) {
        const auto Entry = Served.find(Route.Key);
        return Entry != Served.end() && Entry->second.matches(Route);
      },
      1);
}

/// Serialized packets of flows spread over the whole table, so that CPU caches miss as they do in
/// operation.
std::vector<Bytes> samplePackets(std::size_t Flows, packet::Flags Bits, std::size_t PayloadBytes) {
  constexpr std::size_t MaxSamples = 10'000;
  constexpr std::size_t Stride = 7919; // A prime, so that the samples spread over all flows.
  std::vector<Bytes> Packets;
  for (std::size_t I = 0; I < std::min(Flows, MaxSamples); ++I)
    Packets.push_back(packet::serialize(callerPacket(I * Stride % Flows, Bits, PayloadBytes)));
  return Packets;
}

double nanosecondsPerPacket(FlowRouter &Router, const std::vector<Bytes> &Packets, double Scale) {
  std::size_t Actions = 0;
  const auto Calls = static_cast<std::size_t>(PacketsPerMeasurement * Scale);
  const double Cost = nanosecondsPerCall(Calls, [&](std::size_t I) {
    Actions += Router.onPacket(Packets[I % Packets.size()], StartTime).size();
  });
  return Actions == Calls ? Cost : -1; // -1: some packet did not cause exactly one action.
}

Row servedRow(std::size_t Flows, double Scale, const ViewPointer &View,
              const ViewPointer &ChangedView) {
  const double BaselineBytes = allocatedBytes();
  Streams Served;
  for (std::size_t I = 0; I < Flows; ++I) {
    const Packet Syn = callerPacket(I, {.Syn = true}, 0);
    Stream Established = Stream::accept(Syn, InitialSequence, StartTime);
    Established.onPacket(callerPacket(I, {.Ack = true}, 0), StartTime);
    (void)Established.takeOutput(StartTime);
    Served.emplace(Syn.Key, std::move(Established));
  }
  const double BytesWithStreams = allocatedBytes();
  FlowRouter Router = makeRouter(Served, 0);
  (void)Router.onViewChange(View, StartTime);
  const double SynCost = nanosecondsPerCall(Flows, [&](std::size_t I) {
    const Bytes Syn = packet::serialize(callerPacket(I, {.Syn = true}, 0));
    (void)Router.onPacket(Syn, StartTime);
  });
  for (std::size_t I = 0; I < Flows; ++I)
    (void)Router.onPacket(packet::serialize(callerPacket(I, {.Ack = true}, 0)), StartTime);
  (void)Router.onTimer(StartTime + flow::HalfOpenTimeout); // Empties the half-open deadline queue.
  const double BytesWithRouter = allocatedBytes();
  const auto Acks = samplePackets(Flows, {.Ack = true}, 0);
  const auto Data = samplePackets(Flows, {.Ack = true}, packet::MaxPayloadBytes);
  const double AckCost = nanosecondsPerPacket(Router, Acks, Scale);
  const double DataCost = nanosecondsPerPacket(Router, Data, Scale);
  const double ChangeCost = nanosecondsPerCall(
      1, [&](std::size_t) { (void)Router.onViewChange(ChangedView, StartTime + seconds(20)); });
  const auto PerFlow = [&](double Total) { return Total / static_cast<double>(Flows); };
  return {{"flows", Flows},
          {"syn_ns", SynCost},
          {"ack_ns", AckCost},
          {"data_1400_ns", DataCost},
          {"router_bytes", PerFlow(BytesWithRouter - BytesWithStreams)},
          {"stream_bytes", PerFlow(BytesWithStreams - BaselineBytes)},
          {"view_change_ms", ChangeCost / 1e6}};
}

Row handedOffRow(std::size_t Flows, double Scale, const ViewPointer &View) {
  const Streams NoStreams;
  const double BaselineBytes = allocatedBytes();
  FlowRouter Router = makeRouter(NoStreams, 1);
  (void)Router.onViewChange(View, StartTime);
  const double SynCost = nanosecondsPerCall(Flows, [&](std::size_t I) {
    const Bytes Syn = packet::serialize(callerPacket(I, {.Syn = true}, 0));
    (void)Router.onPacket(Syn, StartTime);
  });
  const double RouterBytes = allocatedBytes() - BaselineBytes;
  const double AckCost =
      nanosecondsPerPacket(Router, samplePackets(Flows, {.Ack = true}, 0), Scale);
  const double DataCost = nanosecondsPerPacket(
      Router, samplePackets(Flows, {.Ack = true}, packet::MaxPayloadBytes), Scale);
  const double SweepCost =
      nanosecondsPerCall(1, [&](std::size_t) { (void)Router.onTimer(StartTime + seconds(2)); });
  return {{"flows", Flows},
          {"syn_ns", SynCost},
          {"ack_ns", AckCost},
          {"data_1400_ns", DataCost},
          {"bytes", RouterBytes / static_cast<double>(Flows)},
          {"sweep_ms", SweepCost / 1e6}};
}

/// Measures two streams that exchange packets directly; the caller writes WriteBytes per round.
Row streamRow(const char *Name, std::size_t WriteBytes, double Scale) {
  const FlowKey Key{{0x0b000001, 4000}, serviceAddress(0)};
  Stream Caller = Stream::connect(Key, 1, StartTime);
  Stream Service = Stream::accept(Caller.takeOutput(StartTime).at(0), InitialSequence, StartTime);
  const Bytes Data(WriteBytes);
  std::size_t Packets = 0;
  std::size_t BytesRead = 0;
  const auto Exchange = [&] {
    Caller.write(Data);
    for (const Packet &Outgoing : Caller.takeOutput(StartTime)) {
      ++Packets;
      Service.onPacket(Outgoing, StartTime);
    }
    BytesRead += Service.read().size();
    for (const Packet &Outgoing : Service.takeOutput(StartTime)) {
      ++Packets;
      Caller.onPacket(Outgoing, StartTime);
    }
  };
  const auto Rounds = static_cast<std::size_t>(PacketsPerMeasurement * Scale / 2);
  const double NanosecondsPerRound = nanosecondsPerCall(Rounds, [&](std::size_t) { Exchange(); });
  const double PerPacket =
      NanosecondsPerRound * static_cast<double>(Rounds) / static_cast<double>(Packets);
  return {{"write", Name},
          {"packets", Packets},
          {"ns_per_packet", PerPacket},
          {"mb_per_s", static_cast<double>(BytesRead) * 1e3 /
                           (NanosecondsPerRound * static_cast<double>(Rounds))}};
}

std::vector<Table> measure(const BenchArguments &Arguments) {
  const ViewPointer View = makeView(AgentCount);
  const ViewPointer ChangedView = makeView(AgentCount + 1);
  Table Served{"flows served here: router and idle stream", {}};
  Table HandedOff{"flows handed off to a peer", {}};
  for (const std::size_t Flows : FlowCounts) {
    Served.Rows.push_back(servedRow(Flows, Arguments.Scale, View, ChangedView));
    HandedOff.Rows.push_back(handedOffRow(Flows, Arguments.Scale, View));
  }
  Table Throughput{"two streams, both ends counted", {}};
  Throughput.Rows.push_back(streamRow("1 byte", 1, Arguments.Scale));
  Throughput.Rows.push_back(streamRow("1,400 bytes", packet::MaxPayloadBytes, Arguments.Scale));
  Throughput.Rows.push_back(
      streamRow("14,000 bytes", 10 * packet::MaxPayloadBytes, Arguments.Scale / 10));
  return {Served, HandedOff, Throughput};
}

} // namespace

} // namespace galenarelay::bench

int main(int ArgumentCount, char **Arguments) {
  return galenarelay::bench::runBench("flow", ArgumentCount, Arguments,
                                      galenarelay::bench::measure);
}
