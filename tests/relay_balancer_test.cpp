#include "galenarelay/node/relay_balancer.h"
#include "platform/platform.h"
#include "soak/store_standin.h"
#include "store_door.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenarelay::tests {

using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Loopback = 0x7f000001;

/// A port that is free on every loopback address, as far as one address tells.
std::uint16_t freePort(boost::asio::io_context &Io) {
  return common::UdpSocket(Io, {Loopback, 0}, [](auto, auto) {}).local().Port;
}

/// Balancers of one zone, each with its own way to the store.
class BalancerFleet {
public:
  BalancerFleet(boost::asio::io_context &Io, std::uint32_t Net, std::size_t Size)
      : Standin(Io, {Loopback, 0}, 1) {
    configure(1);
    const common::Endpoint Packets{0, freePort(Io)};
    const common::Endpoint Peers{0, freePort(Io)};
    const common::Endpoint Admin{0, freePort(Io)};
    for (std::size_t I = 0; I < Size; ++I) {
      auto &Added = *All.emplace_back(std::make_unique<Member>(Io, Standin.local()));
      const auto Address = Loopback + (Net << 8U) + static_cast<std::uint32_t>(I);
      node::RelayOptions Options;
      Options.Id = "balancer-" + std::to_string(I);
      Options.Zone = "a";
      Options.Packets = {Address, Packets.Port};
      Options.Peers = {Address, Peers.Port};
      Options.Admin = {Address, Admin.Port};
      Options.Control = {Address, 0};
      Options.Readiness = {Address, 0};
      Options.Store = Added.Door.local();
      Options.RandomSeed = I + 1;
      Options.Seeds = {{Loopback + (Net << 8U), Peers.Port}};
      Added.Node.emplace(Io, Options, Added.Metrics);
      Added.Node->start();
    }
  }

  void configure(int Version) {
    Standin.put("op/config", R"({"version":)" + std::to_string(Version) + R"(,"routes":[]})");
  }
  [[nodiscard]] StoreDoor &door(std::size_t I) { return All[I]->Door; }
  [[nodiscard]] double revision(std::size_t I) {
    return All[I]->Metrics.gauge("configuration_revision", "Configuration in force").Value();
  }
  /// Watches of this balancer that have failed.
  [[nodiscard]] double failedWatches(std::size_t I) {
    return All[I]
        ->Metrics
        .counter("store_calls_total", "Calls to the store",
                 {{"kind", "watch"},
                  {"result", std::string(name(common::ResultCode::RequestOutcomeUnknown))}})
        .Value();
  }
  [[nodiscard]] bool allHave(int Version) {
    for (std::size_t I = 0; I < All.size(); ++I)
      if (revision(I) != Version)
        return false;
    return true;
  }
  [[nodiscard]] std::vector<std::size_t> watchers() const {
    std::vector<std::size_t> Found;
    for (std::size_t I = 0; I < All.size(); ++I)
      if (All[I]->Door.watched())
        Found.push_back(I);
    return Found;
  }

private:
  struct Member {
    Member(boost::asio::io_context &Io, common::Endpoint Store) : Door(Io, Store) {}

    common::Metrics Metrics;
    StoreDoor Door;
    std::optional<node::RelayBalancer<platform::Platform>> Node;
  };

  soak::StoreStandin Standin;
  std::vector<std::unique_ptr<Member>> All;
};

} // namespace

/// Tests how balancers learn of a change of the configuration that the store serves to some of
/// them, or that their open connections don't carry.
class RelayBalancerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayBalancerTest);
  CPPUNIT_TEST(testConfiguration_watchersTurnedAway_reachesBalancersThatAreServed);
  CPPUNIT_TEST(testConfiguration_watchGoneSilent_isReadBeforeTheWatchEnds);
  CPPUNIT_TEST_SUITE_END();

  boost::asio::io_context Io{1};

  /// Runs until the condition holds. Returns false after 20 s, the most that a test waits.
  bool await(const std::function<bool()> &Condition) {
    const auto End = std::chrono::steady_clock::now() + 20s;
    while (!Condition() && std::chrono::steady_clock::now() < End)
      Io.run_one_for(10ms);
    return Condition();
  }

public:
  // Guards against balancers that the store serves and that wait for the watchers of their zone,
  // which it turns away (review/9).
  void testConfiguration_watchersTurnedAway_reachesBalancersThatAreServed() {
    const std::vector<std::pair<const char *, Treatment>> Cases{{"503", Treatment::Unavailable},
                                                                {"429", Treatment::RateLimited},
                                                                {"reset", Treatment::Reset},
                                                                {"no answer", Treatment::Silent}};
    std::vector<std::unique_ptr<BalancerFleet>> Fleets;
    for (std::size_t I = 0; I < Cases.size(); ++I)
      Fleets.push_back(std::make_unique<BalancerFleet>(Io, 77 + static_cast<std::uint32_t>(I), 5));
    const auto All = [&](const std::function<bool(BalancerFleet &)> &Holds) {
      return [&, Holds] {
        return std::all_of(Fleets.begin(), Fleets.end(),
                           [&](const auto &Each) { return Holds(*Each); });
      };
    };
    CPPUNIT_ASSERT(await(All([](BalancerFleet &Each) {
      return Each.allHave(1) && Each.watchers().size() == relay::WatchersPerZone;
    })));
    for (std::size_t I = 0; I < Cases.size(); ++I) {
      for (const auto Watcher : Fleets[I]->watchers())
        Fleets[I]->door(Watcher).Now = Cases[I].second;
      Fleets[I]->configure(2);
    }
    (void)await(All([](BalancerFleet &Each) { return Each.allHave(2); }));
    // Those that are turned away have it from the others.
    for (std::size_t I = 0; I < Cases.size(); ++I)
      CPPUNIT_ASSERT_MESSAGE(Cases[I].first, Fleets[I]->allHave(2));
  }

  // Guards against a watch that waits for its time limit of 5 s on a connection that carries
  // nothing more (review/10).
  void testConfiguration_watchGoneSilent_isReadBeforeTheWatchEnds() {
    BalancerFleet Fleet(Io, 87, 1);
    CPPUNIT_ASSERT(await([&] { return Fleet.allHave(1) && Fleet.door(0).watched(); }));
    Fleet.door(0).silenceOpenCalls();
    Fleet.configure(2);
    CPPUNIT_ASSERT(await([&] { return Fleet.allHave(2); }));
    CPPUNIT_ASSERT_EQUAL(0.0, Fleet.failedWatches(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayBalancerTest);

} // namespace galenarelay::tests
