#include "galenarelay/relay/balancer_peers.h"
#include "relay_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace galenarelay::tests {

using relay::FlowKind;
using relay::UpstreamDirectory;
using relay::UpstreamState;
using Change = UpstreamDirectory::Change;

/// What a node believes of others, and how it chooses among them.
class RelayViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayViewTest);
  CPPUNIT_TEST(testReport_outOfOrder_isIgnored);
  CPPUNIT_TEST(testChoice_unusableAgents_arePassedOver);
  CPPUNIT_TEST(testChoice_doubtfulAgents_areUsedOnlyWithoutBetter);
  CPPUNIT_TEST(testChoice_longFlows_spreadOverSlots);
  CPPUNIT_TEST(testChoice_returnedFlow_isNotCountedAtItsAgent);
  CPPUNIT_TEST(testChoice_fullAgents_areLeftUntilTheyReport);
  CPPUNIT_TEST(testChoice_ownPlacements_countUntilReported);
  CPPUNIT_TEST(testChoice_equalAgents_preferOwnZone);
  CPPUNIT_TEST(testLost_mostAgentsSilent_blamesOwnNode);
  CPPUNIT_TEST(testLost_announcedStop_isNotLost);
  CPPUNIT_TEST(testRoute_split_sameOnEveryNode);
  CPPUNIT_TEST(testPeers_beacons_leadToLiveAndContacts);
  CPPUNIT_TEST(testMessage_allTypes_readBack);
  CPPUNIT_TEST(testMessage_damaged_isRefused);
  CPPUNIT_TEST_SUITE_END();

  static UpstreamDirectory directory() {
    UpstreamDirectory Made("a", 1);
    for (const auto Agent : {AgentOne, AgentTwo})
      (void)Made.onReport(Agent, agentReport(1), RelayStart);
    return Made;
  }

public:
  void testReport_outOfOrder_isIgnored() {
    auto Directory = directory();
    CPPUNIT_ASSERT(Directory.onReport(AgentOne, agentReport(1), RelayStart) == Change::Outdated);
    CPPUNIT_ASSERT(Directory.onReport(AgentOne, agentReport(2), RelayStart) == Change::None);
    auto Restarted = agentReport(1);
    Restarted.Incarnation = 2;
    CPPUNIT_ASSERT(Directory.onReport(AgentOne, Restarted, RelayStart) == Change::StateChanged);
    CPPUNIT_ASSERT(Directory.onReport(AgentOne, agentReport(9), RelayStart) == Change::Outdated);
  }

  void testChoice_unusableAgents_arePassedOver() {
    for (const auto State :
         {UpstreamState::Draining, UpstreamState::Silent, UpstreamState::Stopping}) {
      auto Directory = directory();
      auto Report = agentReport(2);
      Report.State = State;
      (void)Directory.onReport(AgentOne, Report, RelayStart);
      for (int I = 0; I < 20; ++I)
        CPPUNIT_ASSERT(Directory.choose("desk", FlowKind::Short, {}, RelayStart) == AgentTwo);
      const std::vector Excluded{AgentTwo};
      CPPUNIT_ASSERT(!Directory.choose("desk", FlowKind::Short, Excluded, RelayStart));
    }
    CPPUNIT_ASSERT(!directory().choose("intake", FlowKind::Short, {}, RelayStart));
  }

  void testChoice_doubtfulAgents_areUsedOnlyWithoutBetter() {
    auto Directory = directory();
    Directory.suspect(AgentOne, RelayStart);
    CPPUNIT_ASSERT(Directory.choose("desk", FlowKind::Short, {}, RelayStart) == AgentTwo);
    const std::vector Excluded{AgentTwo};
    CPPUNIT_ASSERT(Directory.choose("desk", FlowKind::Short, Excluded, RelayStart) == AgentOne);
  }

  void testChoice_longFlows_spreadOverSlots() {
    auto Directory = directory();
    auto Large = agentReport(2);
    Large.Slots = 6;
    (void)Directory.onReport(AgentTwo, Large, RelayStart);
    // Own placements count before a report does: two and six slots take two and six flows.
    std::map<relay::NodeAddress, std::uint32_t> Placed;
    const auto Place = [&](common::TimePoint Now) {
      const auto Agent = Directory.choose("desk", FlowKind::Long, {}, Now);
      CPPUNIT_ASSERT(Agent.has_value());
      ++Placed[*Agent];
      Directory.notePlacement(*Agent, FlowKind::Long, Now);
      return *Agent;
    };
    for (int I = 0; I < 8; ++I)
      (void)Place(RelayStart);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, Placed[AgentOne]);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{6}, Placed[AgentTwo]);
    auto Now = RelayStart + 50ms;
    for (int I = 8; I < 40; ++I, Now += 50ms)
      for (const auto Agent : {AgentOne, AgentTwo, Place(Now)})
        Directory.onLoad(Agent, {0, Placed[Agent]}, Now + 30ms);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{10}, Placed[AgentOne]);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{30}, Placed[AgentTwo]);
  }

  void testChoice_returnedFlow_isNotCountedAtItsAgent() {
    auto Directory = directory();
    Directory.onLoad(AgentTwo, {1, 0}, RelayStart);
    Directory.notePlacement(AgentOne, FlowKind::Short, RelayStart);
    Directory.notePlacement(AgentOne, FlowKind::Short, RelayStart);
    CPPUNIT_ASSERT(Directory.choose("desk", FlowKind::Short, {}, RelayStart) == AgentTwo);
    Directory.dropPlacement(AgentOne, FlowKind::Short);
    Directory.dropPlacement(AgentOne, FlowKind::Short);
    CPPUNIT_ASSERT(Directory.choose("desk", FlowKind::Short, {}, RelayStart) == AgentOne);
  }

  // The queue behind a full upstream is left to the requests of its open flows.
  void testChoice_fullAgents_areLeftUntilTheyReport() {
    auto Directory = directory();
    for (std::uint32_t I = 0; I < 2 * relay::usefulRequests(2); ++I) {
      const auto Agent = Directory.choose("desk", FlowKind::Short, {}, RelayStart);
      CPPUNIT_ASSERT(Agent.has_value());
      Directory.notePlacement(*Agent, FlowKind::Short, RelayStart);
    }
    CPPUNIT_ASSERT(!Directory.choose("desk", FlowKind::Short, {}, RelayStart));
    CPPUNIT_ASSERT(Directory.hasFull("desk", {}, RelayStart));
    Directory.onLoad(AgentTwo, {1, 0}, RelayStart + 1s);
    CPPUNIT_ASSERT(Directory.choose("desk", FlowKind::Short, {}, RelayStart) == AgentTwo);
  }

  void testChoice_ownPlacements_countUntilReported() {
    auto Directory = directory();
    Directory.notePlacement(AgentOne, FlowKind::Short, RelayStart);
    CPPUNIT_ASSERT(Directory.choose("desk", FlowKind::Short, {}, RelayStart) == AgentTwo);
    Directory.notePlacement(AgentTwo, FlowKind::Short, RelayStart + 10ms);
    // A figure made later than a placement contains it.
    Directory.onLoad(AgentOne, {0, 0}, RelayStart + 50ms);
    CPPUNIT_ASSERT(Directory.choose("desk", FlowKind::Short, {}, RelayStart + 50ms) == AgentOne);
  }

  void testChoice_equalAgents_preferOwnZone() {
    auto Directory = directory();
    auto Far = agentReport(2);
    Far.Zone = "b";
    (void)Directory.onReport(AgentOne, Far, RelayStart);
    for (int I = 0; I < 20; ++I)
      CPPUNIT_ASSERT(Directory.choose("desk", FlowKind::Short, {}, RelayStart) == AgentTwo);
    Directory.onLoad(AgentTwo, {1, 0}, RelayStart);
    CPPUNIT_ASSERT(Directory.choose("desk", FlowKind::Short, {}, RelayStart) == AgentOne);
  }

  void testLost_mostAgentsSilent_blamesOwnNode() {
    auto Directory = directory();
    CPPUNIT_ASSERT(Directory.takeLost(RelayStart + 5s).empty());
    Directory.restartListening(RelayStart + 5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Directory.reportingHolders(RelayStart + 5s).size());
  }

  void testLost_announcedStop_isNotLost() {
    auto Directory = directory();
    (void)Directory.onReport(AgentThree, agentReport(1), RelayStart + 2s);
    auto Stopping = agentReport(2);
    Stopping.State = UpstreamState::Stopping;
    (void)Directory.onReport(AgentOne, Stopping, RelayStart);
    (void)Directory.onReport(AgentTwo, agentReport(2), RelayStart + 2s);
    CPPUNIT_ASSERT(Directory.takeLost(RelayStart + 2s).empty());
  }

  void testRoute_split_sameOnEveryNode() {
    const relay::Route Split{"r", DeskAddress, {{"a", 90}, {"b", 10}}};
    std::map<std::string, int> Share;
    for (std::uint16_t Port = 1; Port <= 2000; ++Port) {
      const auto &Service = relay::RouteTable::serviceFor(Split, relayKey(Port));
      CPPUNIT_ASSERT_EQUAL(Service, relay::RouteTable::serviceFor(Split, relayKey(Port)));
      ++Share[Service];
    }
    // Six standard deviations of a binomial count around 200.
    CPPUNIT_ASSERT(Share["b"] > 120 && Share["b"] < 280);
    CPPUNIT_ASSERT(relay::RouteTable::serviceFor({"r", DeskAddress, {}}, relayKey(1)).empty());
  }

  void testPeers_beacons_leadToLiveAndContacts() {
    relay::BalancerPeers Peers(BalancerOne);
    Peers.addSeed(BalancerOne);
    Peers.addSeed(BalancerTwo);
    CPPUNIT_ASSERT((Peers.contacts(RelayStart) == std::vector{BalancerTwo}));
    constexpr relay::NodeAddress Third = 0x0a010003;
    relay::BalancerBeacon Beacon{"two", "a", 5, 7, false, {BalancerOne, Third}, {}};
    CPPUNIT_ASSERT(Peers.onBeacon(BalancerTwo, Beacon, RelayStart));
    CPPUNIT_ASSERT(!Peers.onBeacon(BalancerTwo, Beacon, RelayStart));
    CPPUNIT_ASSERT((Peers.live(RelayStart) == std::vector{BalancerTwo}));
    CPPUNIT_ASSERT((Peers.contacts(RelayStart) == std::vector{Third}));
    CPPUNIT_ASSERT(Peers.aheadOf(6, RelayStart) == BalancerTwo);
    CPPUNIT_ASSERT(!Peers.aheadOf(7, RelayStart));
    Beacon.Incarnation = 6;
    CPPUNIT_ASSERT(Peers.onBeacon(BalancerTwo, Beacon, RelayStart));
    CPPUNIT_ASSERT(Peers.live(RelayStart + 10s).empty());
  }

  void testMessage_allTypes_readBack() {
    const std::vector<relay::PeerMessage> Messages{
        agentReport(3, 4, 5),
        relay::BalancerBeacon{"b", "z", 1, 2, true, {1, 2}, {3}},
        relay::FlowNotice{relayKey(1), {1, 2}},
        relay::ReturnedPacket{ReturnReason::Busy, {3, 4}, {0, 255, 7}},
        relay::FlowShare{{{relayKey(1), 9}, {relayKey(2), 8}}},
        relay::FlowAbsence{relayKey(4)},
        relay::FlowQuery{7, {{relayKey(1), 5}, {relayKey(2), 6}}},
        relay::FlowAnswer{7, {0}, {1}}};
    for (const auto &Message : Messages) {
      const auto Read = relay::decodeMessage(relay::encode(Message));
      CPPUNIT_ASSERT(Read && *Read == Message);
    }
  }

  void testMessage_damaged_isRefused() {
    const relay::PeerMessage Whole = agentReport(3);
    const auto Raw = relay::encode(Whole);
    for (std::size_t Size = 0; Size < Raw.size(); ++Size)
      CPPUNIT_ASSERT(!relay::decodeMessage(std::span(Raw).first(Size)));
    for (std::size_t At = 0; At < Raw.size(); ++At)
      for (const std::uint8_t Byte : {0x00, 0x7f, 0xff}) {
        auto Damaged = Raw;
        Damaged[At] = Byte;
        (void)relay::decodeMessage(Damaged); // Must neither throw nor crash.
      }
  }

  using ReturnReason = relay::ReturnReason;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayViewTest);

} // namespace galenarelay::tests
