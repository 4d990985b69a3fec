// Time and allocations per packet of a known flow in a balancer and in an agent, and the time in
// which a configuration with many routes takes effect.
#include "galenarelay/bench/report.h"
#include "galenarelay/common/random.h"
#include "galenarelay/relay/flow_steering.h"
#include "galenarelay/relay/upstream_flows.h"

#include <chrono>
#include <cstdlib>
#include <new>

namespace {

std::size_t Allocations = 0;

} // namespace

void *operator new(std::size_t Size) {
  ++Allocations;
  if (void *Block = std::malloc(Size))
    return Block;
  throw std::bad_alloc();
}

void operator delete(void *Block) noexcept { std::free(Block); }
void operator delete(void *Block, std::size_t /*Size*/) noexcept { std::free(Block); }

namespace galenarelay::bench {

namespace {

using std::chrono::seconds;

constexpr std::size_t Packets = 400'000;
constexpr common::TimePoint Start{seconds(1000)};
constexpr common::Endpoint Service{0xc6120001, 443};
constexpr relay::NodeAddress Agent = 0x0a020001;
constexpr relay::NodeAddress Balancer = 0x0a010001;
constexpr std::uint32_t UpstreamStart = 5000;

packet::FlowKey keyOf(std::size_t Number) {
  const auto Address = static_cast<std::uint32_t>(0x64400000 + Number / 50'000);
  return {{Address, static_cast<std::uint16_t>(1024 + Number % 50'000)}, Service};
}

relay::PacketHeader firstPacket(const packet::FlowKey &Key) {
  relay::PacketHeader Made;
  Made.Key = Key;
  Made.Flags.Syn = true;
  return Made;
}

relay::PacketHeader acknowledgement(const packet::FlowKey &Key) {
  relay::PacketHeader Made;
  Made.Key = Key;
  Made.Flags.Ack = true;
  Made.Acknowledgement = UpstreamStart + 1;
  return Made;
}

/// Calls Handle for packets of random flows; returns a row with time and allocations for each.
template <typename F> Row perPacket(const char *Node, std::size_t Flows, F &&Handle) {
  common::Engine Random(1);
  std::size_t Actions = 0;
  const std::size_t Before = Allocations;
  const auto Begin = std::chrono::steady_clock::now();
  for (std::size_t I = 0; I < Packets; ++I)
    Actions += Handle(acknowledgement(keyOf(common::uniformBelow(Random, Flows))));
  const std::chrono::duration<double, std::nano> Taken = std::chrono::steady_clock::now() - Begin;
  return {{"node", Node},
          {"flows", Flows},
          {"ns_per_packet", Taken.count() / static_cast<double>(Packets)},
          {"allocations_per_packet",
           static_cast<double>(Allocations - Before) / static_cast<double>(Packets)},
          {"actions_per_packet", static_cast<double>(Actions) / static_cast<double>(Packets)}};
}

relay::Configuration configuration(std::size_t Routes) {
  relay::Configuration Made;
  Made.Number = 1;
  for (std::size_t I = 0; I < Routes; ++I)
    Made.Routes.push_back({"route-" + std::to_string(I),
                           {Service.Address + static_cast<std::uint32_t>(I), Service.Port},
                           {{"desk", 1}},
                           true,
                           seconds(3),
                           std::chrono::milliseconds(200),
                           1});
  return Made;
}

Row inBalancer(std::size_t Flows) {
  relay::UpstreamDirectory Directory("a", 1);
  relay::FlowSteering Steering(Balancer, Directory, Start - seconds(60));
  Steering.setRoutes(std::make_shared<const relay::RouteTable>(configuration(1)));
  relay::AgentReport Report;
  Report.Service = "desk";
  Report.Sequence = 1;
  Report.State = relay::UpstreamState::Ready;
  (void)Directory.onReport(Agent, Report, Start);
  const relay::Bytes Raw(134);
  for (std::size_t I = 0; I < Flows; ++I) {
    (void)Steering.onPacket(firstPacket(keyOf(I)), Raw, Start);
    (void)Steering.onFlowNotice({keyOf(I), {}}, Agent, Start);
  }
  return perPacket("balancer", Flows, [&](const relay::PacketHeader &Head) {
    return Steering.onPacket(Head, Raw, Start).size();
  });
}

Row inAgent(std::size_t Flows) {
  relay::UpstreamFlows Table("desk", seconds(1), Start - seconds(60));
  relay::Heartbeat Heard;
  Heard.Service = "desk";
  Heard.Sequence = 1;
  (void)Table.onHeartbeat(Heard, Start);
  const relay::Bytes Raw(134);
  for (std::size_t I = 0; I < Flows; ++I) {
    (void)Table.onBalancerPacket(firstPacket(keyOf(I)), {}, Raw, Balancer, Start);
    relay::PacketHeader Accept;
    Accept.Key = keyOf(I);
    Accept.TowardsCaller = true;
    Accept.Flags = {.Syn = true, .Ack = true};
    Accept.Sequence = UpstreamStart;
    (void)Table.onUpstreamPacket(Accept, {}, Start);
  }
  return perPacket("agent", Flows, [&](const relay::PacketHeader &Head) {
    return Table.onBalancerPacket(Head, {}, Raw, Balancer, Start).size();
  });
}

std::vector<Table> measure(const BenchArguments & /*Given*/) {
  Table Cost{"relay: packets of known flows", {}};
  for (const std::size_t Flows : {1, 1000, 100'000})
    Cost.Rows.push_back(inBalancer(Flows));
  // An agent holds at most relay::MaxUpstreamFlows.
  for (const std::size_t Flows : {1, 1000, 50'000})
    Cost.Rows.push_back(inAgent(Flows));
  Table Apply{"relay: a configuration takes effect", {}};
  for (const std::size_t Routes : {100, 500, 2000}) {
    auto Document = configuration(Routes);
    const auto Begin = std::chrono::steady_clock::now();
    const relay::RouteTable Made(std::move(Document));
    const std::chrono::duration<double, std::micro> Taken =
        std::chrono::steady_clock::now() - Begin;
    Apply.Rows.push_back({{"routes", Made.size()}, {"us", Taken.count()}});
  }
  return {Cost, Apply};
}

} // namespace

} // namespace galenarelay::bench

int main(int ArgumentCount, char **Arguments) {
  return galenarelay::bench::runBench("relay", ArgumentCount, Arguments,
                                      galenarelay::bench::measure);
}
