#include "galenarelay/common/random.h"
#include "galenarelay/routing/routing_view.h"
#include "tests/gossip_network.h"

#include <cxxopts.hpp>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <vector>

namespace galenarelay::bench {

using membership::Gossip;
using membership::Member;
using membership::MemberState;
using json = nlohmann::ordered_json;
using tests::GossipNetwork;

namespace {

using HostClock = std::chrono::steady_clock;

double microsecondsSince(HostClock::time_point Begin) {
  return std::chrono::duration<double, std::micro>(HostClock::now() - Begin).count();
}

double heapMegabytes() {
  const auto Usage = mallinfo2();
  return static_cast<double>(Usage.uordblks + Usage.hblkhd) / 1e6;
}

common::Endpoint serviceAddress(std::size_t Service) {
  return {0x0b000000 + static_cast<std::uint32_t>(Service), 80};
}

config::Configuration document(std::size_t Services, std::size_t Agents) {
  config::Configuration Document;
  Document.RevisionNumber = 1;
  for (std::size_t I = 0; I < Services; ++I)
    Document.Services["service-" + std::to_string(I)] = {serviceAddress(I),
                                                         "role=role-" + std::to_string(I)};
  for (std::size_t I = 0; I < Agents; ++I)
    Document.UpstreamLabels[GossipNetwork::id(I)] = {
        {"role", "role-" + std::to_string(I % Services)}};
  return Document;
}

std::vector<Member> agents(std::size_t Count) {
  std::vector<Member> All;
  for (std::size_t I = 0; I < Count; ++I)
    All.push_back(GossipNetwork::record(I));
  return All;
}

std::vector<std::vector<std::uint8_t>> packets(std::size_t Services, common::Engine &Random) {
  constexpr std::size_t Count = 4096;
  std::vector<std::vector<std::uint8_t>> All;
  for (std::size_t I = 0; I < Count; ++I) {
    packet::Packet Packet;
    Packet.Key = {{static_cast<std::uint32_t>(Random()), static_cast<std::uint16_t>(Random())},
                  serviceAddress(common::uniformBelow(Random, Services))};
    Packet.Bits.Ack = true;
    Packet.Payload.assign(200, 'x');
    All.push_back(packet::serialize(Packet));
  }
  return All;
}

double decisionNanoseconds(const routing::RoutingView &View, std::size_t Services,
                           common::Engine &Random) {
  constexpr int Passes = 200;
  auto Packets = packets(Services, Random);
  std::uint64_t AddressSum = 0;
  const auto StartedAt = HostClock::now();
  for (int Pass = 0; Pass < Passes; ++Pass)
    for (auto &Bytes : Packets) {
      const auto Header = packet::readRoute(Bytes);
      const auto Decision = routing::routeFromFabric(View, *Header);
      packet::rewriteTtl(Bytes, packet::InitialTtl);
      if (const auto *Target = std::get_if<routing::ForwardTo>(&Decision))
        AddressSum += Target->Data.Address;
    }
  const double TotalNanoseconds = microsecondsSince(StartedAt) * 1000;
  // Using the result keeps the compiler from removing the loop.
  if (AddressSum == 1)
    std::cerr << AddressSum;
  return TotalNanoseconds / (Passes * static_cast<double>(Packets.size()));
}

json routingRow(std::size_t Services, std::size_t Agents, common::Engine &Random) {
  auto Document = document(Services, Agents);
  auto Members = agents(Agents);
  const double HeapBefore = heapMegabytes();
  auto StartedAt = HostClock::now();
  const routing::RoutingView View(Document, Members);
  const double FullBuildTime = microsecondsSince(StartedAt);
  const double ViewHeap = heapMegabytes() - HeapBefore;
  Members[Agents / 2].State = MemberState::Leaving;
  StartedAt = HostClock::now();
  const routing::RoutingView AfterLeave(View, Document, Members);
  const double LeaveBuildTime = microsecondsSince(StartedAt);
  Document.UpstreamLabels[GossipNetwork::id(0)] = {{"role", "role-0"}, {"tier", "a"}};
  ++Document.RevisionNumber;
  StartedAt = HostClock::now();
  const routing::RoutingView AfterEdit(AfterLeave, Document, Members);
  const double EditBuildTime = microsecondsSince(StartedAt);
  return {{"services", Services},
          {"agents", Agents},
          {"decision_ns", decisionNanoseconds(View, Services, Random)},
          {"full_build_ms", FullBuildTime / 1000},
          {"leave_build_ms", LeaveBuildTime / 1000},
          {"edit_build_ms", EditBuildTime / 1000},
          {"view_mb", ViewHeap}};
}

struct Spread {
  double Median = 0;
  double Maximum = 0;
};

Spread spread(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return {Values[Values.size() / 2], Values.back()};
}

double secondsUntil(GossipNetwork &Network, const std::function<bool(Gossip &)> &KnowsChange) {
  constexpr std::chrono::seconds Limit{60};
  const auto Begin = Network.now();
  Network.runUntil(Limit, [&] { return Network.countUnless(KnowsChange) == 0; });
  return std::chrono::duration<double>(Network.now() - Begin).count();
}

/// Measures one gossip network. Rates are per node and second of simulated time. cpu_us_s is the
/// host time spent in the gossip state machines and the simulated network. zone_s is the time until
/// all live nodes know that a fifth of the nodes has failed. B_change is the number of bytes that a
/// node sends for one change beyond the idle rate.
json gossipRow(std::size_t Count, double Loss, std::uint64_t Seed) {
  constexpr int Trials = 10;
  constexpr std::chrono::seconds SettleTime{30};
  /// Time until all records of the joins have reached their transmit limit.
  constexpr std::chrono::seconds JoinSettleTime{120};
  constexpr std::chrono::seconds MeasuredTime{60};
  const double HeapBefore = heapMegabytes();
  GossipNetwork Network(Seed, Loss);
  Network.add(Count);
  const auto JoinStartedAt = Network.now();
  const bool Converged =
      Network.runUntil(std::chrono::seconds(120), [&] { return Network.converged(); });
  const double JoinSeconds = std::chrono::duration<double>(Network.now() - JoinStartedAt).count();
  Network.run(JoinSettleTime);
  const double NetworkHeap = heapMegabytes() - HeapBefore;
  const auto SumOverNodes = [&](std::uint64_t GossipNetwork::Node::*Field) {
    std::uint64_t Total = 0;
    for (std::size_t I = 0; I < Network.size(); ++I)
      Total += Network.node(I).*Field;
    return Total;
  };
  const auto SentBefore = SumOverNodes(&GossipNetwork::Node::SentBytes);
  const auto ReceivedBefore = SumOverNodes(&GossipNetwork::Node::ReceivedBytes);
  const auto MessagesBefore = SumOverNodes(&GossipNetwork::Node::SentMessages);
  const auto HostStartedAt = HostClock::now();
  Network.run(MeasuredTime);
  const double NodeSeconds = double(Count) * MeasuredTime.count();
  const double CpuRate = microsecondsSince(HostStartedAt) / NodeSeconds;
  const double SentRate =
      double(SumOverNodes(&GossipNetwork::Node::SentBytes) - SentBefore) / NodeSeconds;
  const double ReceivedRate =
      double(SumOverNodes(&GossipNetwork::Node::ReceivedBytes) - ReceivedBefore) / NodeSeconds;
  const double MessageRate =
      double(SumOverNodes(&GossipNetwork::Node::SentMessages) - MessagesBefore) / NodeSeconds;
  std::vector<double> EditSeconds;
  std::vector<double> LeaveSeconds;
  std::vector<double> ChangeBytes;
  for (int Trial = 0; Trial < Trials; ++Trial) {
    const std::size_t Origin = static_cast<std::size_t>(Trial) * Count / Trials;
    const std::uint64_t Number = static_cast<std::uint64_t>(Trial) + 1;
    Network.perform(Origin, Network.core(Origin).setRevision(Number, Network.now()));
    EditSeconds.push_back(
        secondsUntil(Network, [&](Gossip &Core) { return Core.revision() >= Number; }));
    Network.run(SettleTime);
    const std::uint64_t SentBeforeLeave = SumOverNodes(&GossipNetwork::Node::SentBytes);
    const auto LeaveStartedAt = Network.now();
    Network.perform(Origin, Network.core(Origin).announce(MemberState::Leaving, {}, Network.now()));
    const std::string Id = GossipNetwork::id(Origin);
    LeaveSeconds.push_back(secondsUntil(Network, [&](Gossip &Core) {
      const Member *Found = Core.member(Id);
      return Found != nullptr && Found->State == MemberState::Leaving;
    }));
    Network.run(SettleTime);
    const double ElapsedSeconds =
        std::chrono::duration<double>(Network.now() - LeaveStartedAt).count();
    const double SentPerNode =
        double(SumOverNodes(&GossipNetwork::Node::SentBytes) - SentBeforeLeave) / double(Count);
    ChangeBytes.push_back(SentPerNode - SentRate * ElapsedSeconds);
    Network.perform(Origin, Network.core(Origin).announce(MemberState::Active, {}, Network.now()));
    Network.run(SettleTime);
  }
  // One of five availability zones fails: every fifth node is stopped.
  const auto ReceivedAtFailure = SumOverNodes(&GossipNetwork::Node::ReceivedBytes);
  for (std::size_t I = 0; I < Count; I += 5)
    Network.kill(I);
  const auto FailedAt = Network.now();
  Network.runUntil(std::chrono::seconds(120), [&] { return Network.converged(); });
  const double ZoneSeconds = std::chrono::duration<double>(Network.now() - FailedAt).count();
  const double ZoneBytes =
      double(SumOverNodes(&GossipNetwork::Node::ReceivedBytes) - ReceivedAtFailure) /
      (double(Count) * 0.8);
  const Spread EditSpread = spread(EditSeconds);
  const Spread LeaveSpread = spread(LeaveSeconds);
  const double PushRoundSeconds = std::chrono::duration<double>(membership::PushInterval).count();
  return {{"nodes", Count},
          {"loss", Loss},
          {"converged", Converged},
          {"join_s", JoinSeconds},
          {"sent_B_s", SentRate},
          {"recv_B_s", ReceivedRate},
          {"sent_msg_s", MessageRate},
          {"cpu_us_s", CpuRate},
          {"heap_kb", NetworkHeap * 1000 / double(Count)},
          {"edit_s_p50", EditSpread.Median},
          {"edit_s_max", EditSpread.Maximum},
          {"edit_rounds", EditSpread.Maximum / PushRoundSeconds},
          {"leave_s_p50", LeaveSpread.Median},
          {"leave_s_max", LeaveSpread.Maximum},
          {"leave_rounds", LeaveSpread.Maximum / PushRoundSeconds},
          {"zone_s", ZoneSeconds},
          {"zone_recv_B", ZoneBytes},
          {"B_change", spread(ChangeBytes).Median}};
}

std::string cell(const json &Value) {
  if (!Value.is_number_float())
    return Value.dump();
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.3f", Value.get<double>());
  return Text;
}

void printTable(const json &Rows) {
  static constexpr std::size_t MinWidth = 9;
  const auto Print = [](const std::string &Text, const std::string &Column) {
    const auto Width = static_cast<int>(std::max(MinWidth, Column.size()) + 1);
    std::printf("%*s", Width, Text.c_str());
  };
  for (const auto &Column : Rows.front().items())
    Print(Column.key(), Column.key());
  std::printf("\n");
  for (const json &Row : Rows) {
    for (const auto &Column : Row.items())
      Print(cell(Column.value()), Column.key());
    std::printf("\n");
  }
}

int run(std::uint64_t Seed, std::size_t MaxNodes, const std::string &Path) {
  struct RoutingSize {
    std::size_t Services;
    std::size_t Agents;
  };
  constexpr RoutingSize RoutingSizes[] = {{1, 10},     {1, 100},    {10, 100},   {10, 1000},
                                          {100, 1000}, {100, 6200}, {710, 6200}, {1, 6200}};
  constexpr std::size_t GossipSizes[] = {10, 25, 50, 100, 200, 400, 800};
  constexpr double LossRates[] = {0, 0.02};
  common::Engine Random(Seed);
  json Report{{"benchmark", "routing"}, {"seed", Seed}};
  for (const RoutingSize &Size : RoutingSizes)
    Report["routing"].push_back(routingRow(Size.Services, Size.Agents, Random));
  for (const std::size_t Count : GossipSizes)
    for (const double LossRate : LossRates)
      if (Count <= MaxNodes)
        Report["gossip"].push_back(gossipRow(Count, LossRate, Seed + Count));
  std::printf("bench-routing, seed %llu\n", static_cast<unsigned long long>(Seed));
  printTable(Report["routing"]);
  printTable(Report["gossip"]);
  if (!Path.empty())
    std::ofstream(Path) << Report.dump(2) << "\n";
  return 0;
}

} // namespace

} // namespace galenarelay::bench

int main(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options("bench-routing",
                           "Measures balancer decisions, table builds and gossip in one process.");
  Options.add_options()("h,help", "Print this help")(
      "seed", "Seed of the random engines", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "nodes", "Largest number of gossip nodes",
      cxxopts::value<std::size_t>()->default_value("200"))(
      "json", "File to write the results to as JSON",
      cxxopts::value<std::string>()->default_value(""));
  try {
    const auto Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help") != 0) {
      std::cout << Options.help();
      return 0;
    }
    return galenarelay::bench::run(Parsed["seed"].as<std::uint64_t>(),
                                   Parsed["nodes"].as<std::size_t>(),
                                   Parsed["json"].as<std::string>());
  } catch (const cxxopts::exceptions::exception &Problem) {
    std::cerr << Problem.what() << "\n";
    return static_cast<int>(galenarelay::common::ResultCode::Usage);
  }
}
