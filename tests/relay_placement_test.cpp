#include "galenarelay/relay/policy/placement.h"
#include "relay_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

namespace galenarelay::tests {

using relay::FlowKind;
using relay::NodeAddress;
using relay::policy::Mechanism;
using relay::policy::Mechanisms;
using relay::policy::UpstreamStatus;

/// Tests the choice of an upstream for a new flow when zones differ in demand.
class RelayPlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayPlacementTest);
  CPPUNIT_TEST(testRank_pairsOfUpstreams_areOrderedByFreeSlotThenZone);
  CPPUNIT_TEST(testZones_demandBelowOwnSlots_staysInOwnZone);
  CPPUNIT_TEST(testZones_demandAboveOwnSlots_usesOtherZoneWithoutWaiting);
  CPPUNIT_TEST(testZones_ownZoneLeaving_usesOtherZone);
  CPPUNIT_TEST(testCandidates_ofOwnZone_comeFirstAndKeepTheirOrder);
  CPPUNIT_TEST(testSplit_oneServiceFull_keepsItsShare);
  CPPUNIT_TEST_SUITE_END();

  static constexpr common::TimePoint Now = RelayStart;
  static constexpr NodeAddress NearBase = 0x0a010000;
  static constexpr NodeAddress FarBase = 0x0a020000;
  static constexpr std::uint32_t AgentsPerZone = 6;
  static constexpr std::uint32_t Slots = 3;

  static relay::AgentReport report(const char *Zone,
                                   relay::UpstreamState State = relay::UpstreamState::Ready) {
    auto Report = agentReport(1);
    Report.Zone = Zone;
    Report.Slots = Slots;
    Report.State = State;
    return Report;
  }

  /// A balancer of the near zone and two zones of upstreams.
  static relay::UpstreamDirectory
  directory(relay::UpstreamState NearState = relay::UpstreamState::Ready) {
    relay::UpstreamDirectory Directory("near", 1, Mechanisms().with(Mechanism::ZonePlacement));
    for (std::uint32_t I = 0; I < AgentsPerZone; ++I) {
      (void)Directory.onReport(NearBase + I, report("near", NearState), Now);
      (void)Directory.onReport(FarBase + I, report("far"), Now);
    }
    return Directory;
  }

  /// Places Flows flows of different callers by their candidates. Returns how many stay in the near
  /// zone, and counts those that get an upstream without a free slot.
  static std::uint32_t placeAll(relay::UpstreamDirectory &Directory, std::uint32_t Flows,
                                std::uint32_t &Waiting) {
    std::uint32_t Near = 0;
    for (std::uint32_t I = 0; I < Flows; ++I) {
      auto Key = relayKey(1);
      Key.Caller.Port = static_cast<std::uint16_t>(1000 + I);
      const auto Candidates = Directory.candidates("desk", Key);
      const auto Chosen = Directory.chooseAmong(Candidates, FlowKind::Short, {}, Now);
      CPPUNIT_ASSERT(Chosen);
      Waiting += Directory.isBusy(*Chosen, Now) ? 1 : 0;
      Near += (*Chosen & 0xffff0000U) == NearBase ? 1 : 0;
      Directory.notePlacement(*Chosen, FlowKind::Short, Now);
    }
    return Near;
  }

public:
  void testRank_pairsOfUpstreams_areOrderedByFreeSlotThenZone() {
    const auto Upstream = [](bool OwnZone, std::uint32_t Unanswered) {
      UpstreamStatus Status;
      Status.OwnZone = OwnZone;
      Status.Slots = Slots;
      Status.Unanswered = Unanswered;
      return Status;
    };
    struct Case {
      const char *Name;
      UpstreamStatus Better;
      UpstreamStatus Worse;
    };
    const relay::policy::OwnZoneWhileFree Rule;
    for (const Case &TestCase :
         {Case{"a free slot at home before an idle upstream elsewhere", Upstream(true, 2),
               Upstream(false, 0)},
          {"a free slot elsewhere before none at home", Upstream(false, 2), Upstream(true, 3)},
          {"less load within a zone", Upstream(true, 1), Upstream(true, 2)},
          {"home if all are busy", Upstream(true, 4), Upstream(false, 3)}})
      CPPUNIT_ASSERT_MESSAGE(TestCase.Name, Rule.rank(TestCase.Better, FlowKind::Short) <
                                                Rule.rank(TestCase.Worse, FlowKind::Short));
  }

  void testZones_demandBelowOwnSlots_staysInOwnZone() {
    auto Directory = directory();
    std::uint32_t Waiting = 0;
    constexpr std::uint32_t Flows = AgentsPerZone * Slots;
    CPPUNIT_ASSERT_EQUAL(Flows, placeAll(Directory, Flows, Waiting));
    CPPUNIT_ASSERT_EQUAL(0U, Waiting);
  }

  // Guards against a zone that pays alone for the crest of its demand while others have room.
  void testZones_demandAboveOwnSlots_usesOtherZoneWithoutWaiting() {
    auto Directory = directory();
    std::uint32_t Waiting = 0;
    constexpr std::uint32_t OwnSlots = AgentsPerZone * Slots;
    CPPUNIT_ASSERT_EQUAL(OwnSlots, placeAll(Directory, OwnSlots * 2, Waiting));
    CPPUNIT_ASSERT_EQUAL(0U, Waiting);
  }

  void testZones_ownZoneLeaving_usesOtherZone() {
    auto Directory = directory(relay::UpstreamState::Draining);
    std::uint32_t Waiting = 0;
    CPPUNIT_ASSERT_EQUAL(0U, placeAll(Directory, AgentsPerZone * Slots, Waiting));
    CPPUNIT_ASSERT_EQUAL(0U, Waiting);
  }

  // Guards against searches that ask other agents than the ones that a flow was placed at.
  void testCandidates_ofOwnZone_comeFirstAndKeepTheirOrder() {
    auto Directory = directory();
    const auto Before = Directory.candidates("desk", relayKey(1));
    CPPUNIT_ASSERT_EQUAL(relay::MaxCandidates, Before.size());
    for (std::size_t I = 0; I < relay::MaxCandidates; ++I)
      CPPUNIT_ASSERT_EQUAL(I < relay::MaxCandidates / 2, (Before[I] & 0xffff0000U) == NearBase);
    const NodeAddress Added = NearBase + AgentsPerZone;
    (void)Directory.onReport(Added, report("near"), Now);
    auto After = Directory.candidates("desk", relayKey(1));
    std::erase(After, Added);
    CPPUNIT_ASSERT(std::equal(After.begin(), After.begin() + 5, Before.begin()));
  }

  // A flow's service depends on its key only, so that load can't move it to the other side.
  void testSplit_oneServiceFull_keepsItsShare() {
    relay::Route Split;
    Split.Shares = {{"desk", 90}, {"depot", 10}};
    constexpr int FlowsPerSecond = 1000;
    constexpr double Share = 0.1;
    const double Deviation = std::sqrt(FlowsPerSecond * Share * (1 - Share));
    for (std::uint32_t Second = 0; Second < 10; ++Second) {
      int Depot = 0;
      for (int I = 0; I < FlowsPerSecond; ++I) {
        auto Key = relayKey(1);
        Key.Caller = {0x64400000U + Second, static_cast<std::uint16_t>(20000 + I)};
        Depot += relay::RouteTable::serviceFor(Split, Key) == "depot" ? 1 : 0;
      }
      // Four standard deviations of independent flows.
      CPPUNIT_ASSERT_DOUBLES_EQUAL(FlowsPerSecond * Share, Depot, 4 * Deviation);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayPlacementTest);

} // namespace galenarelay::tests
