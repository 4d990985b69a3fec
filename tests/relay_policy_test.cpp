#include "galenarelay/relay/policy/admission.h"
#include "galenarelay/relay/policy/mechanism.h"
#include "galenarelay/relay/policy/release_order.h"
#include "galenarelay/relay/policy/restart_recovery.h"
#include "relay_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenarelay::tests {

using relay::policy::Mechanism;
using relay::policy::Mechanisms;
using relay::policy::WaitingFlow;

/// Tests the decisions on waiting flows, without packets or sockets.
class RelayPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayPolicyTest);
  CPPUNIT_TEST(testCaller_retransmissionOverdue_isProbablyGone);
  CPPUNIT_TEST(testRank_pairsOfFlows_areInReleaseOrder);
  CPPUNIT_TEST(testExpired_deadlineAndHoldTimeout_earlierOneCounts);
  CPPUNIT_TEST(testWouldExpire_flowsAheadAndRate_decide);
  CPPUNIT_TEST(testReleaseRate_oldReleases_areNotCounted);
  CPPUNIT_TEST(testMaxUnderWay_knownPlaces_boundFlows);
  CPPUNIT_TEST(testMechanisms_changed_differInOnlyThatOne);
  CPPUNIT_TEST(testMechanisms_unknownName_isRejected);
  CPPUNIT_TEST_SUITE_END();

  static constexpr common::TimePoint Now = RelayStart;
  static WaitingFlow flow(common::Duration Age, std::uint32_t Retransmissions = 0,
                          std::uint32_t Priority = 1) {
    return {Now - Age, Retransmissions, 200ms, 1s, Priority};
  }

public:
  void testCaller_retransmissionOverdue_isProbablyGone() {
    struct Case {
      common::Duration Age;
      std::uint32_t Retransmissions;
      bool Gone;
    };
    for (const Case &TestCase : {Case{0ms, 0, false},
                                 {250ms, 0, false},
                                 {350ms, 0, true},
                                 {350ms, 1, false},
                                 {650ms, 1, false},
                                 {750ms, 1, true},
                                 {1100ms, 2, false},
                                 {1100ms, 7, false}})
      CPPUNIT_ASSERT_EQUAL(TestCase.Gone,
                           flow(TestCase.Age, TestCase.Retransmissions).callerProbablyGone(Now));
  }

  void testRank_pairsOfFlows_areInReleaseOrder() {
    struct Case {
      const char *Name;
      WaitingFlow First;
      WaitingFlow Second;
    };
    const relay::policy::UrgentAndFreshFirst Policy;
    for (const Case &TestCase : {Case{"in time before late", flow(100ms), flow(250ms, 1)},
                                 {"urgent before others", flow(150ms, 0, 0), flow(50ms)},
                                 {"newest in time", flow(50ms), flow(150ms)},
                                 {"oldest of the late", flow(550ms, 1), flow(250ms, 1)},
                                 {"late before absent", flow(650ms, 1), flow(350ms, 0)}})
      CPPUNIT_ASSERT_MESSAGE(TestCase.Name,
                             Policy.rank(TestCase.First, Now) < Policy.rank(TestCase.Second, Now));
    const relay::policy::OldestFirst ByArrival;
    CPPUNIT_ASSERT(ByArrival.rank(flow(350ms, 0), Now) < ByArrival.rank(flow(50ms, 0, 0), Now));
  }

  void testExpired_deadlineAndHoldTimeout_earlierOneCounts() {
    CPPUNIT_ASSERT(!relay::policy::expired(flow(999ms, 2), Now));
    CPPUNIT_ASSERT(relay::policy::expired(flow(1000ms, 2), Now));
    auto Unlimited = flow(1199ms, 2);
    Unlimited.Deadline = 0ms;
    CPPUNIT_ASSERT(!relay::policy::expired(Unlimited, Now));
    CPPUNIT_ASSERT(relay::policy::expired(Unlimited, Now + 1ms));
  }

  // In the remaining 500 ms, 10 flows are released at RateMargin times 10 per second.
  void testWouldExpire_flowsAheadAndRate_decide() {
    const auto Waiting = flow(500ms, 1);
    CPPUNIT_ASSERT(!relay::policy::wouldExpire(Waiting, 9, 10, Now));
    CPPUNIT_ASSERT(relay::policy::wouldExpire(Waiting, 11, 10, Now));
    CPPUNIT_ASSERT(!relay::policy::wouldExpire(Waiting, 1000, 0, Now));
  }

  void testReleaseRate_oldReleases_areNotCounted() {
    relay::policy::ReleaseRate Rate;
    CPPUNIT_ASSERT_EQUAL(0.0, Rate.perSecond(Now));
    for (auto At = Now; At < Now + 400ms; At += 10ms)
      Rate.note(At);
    // A rate needs releases over half of ReleaseWindow: earlier it would be a guess.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, Rate.perSecond(Now + 400ms), 1);
    CPPUNIT_ASSERT_EQUAL(0.0, Rate.perSecond(Now + 2s));
  }

  void testMaxUnderWay_knownPlaces_boundFlows() {
    struct Case {
      const char *Name;
      relay::policy::PlaceKnowledge Known;
      std::uint32_t Expected;
    };
    for (const Case &TestCase : {Case{"slots unknown", {0, 0, 0ms, false}, 1},
                                 {"free slots", {3, 1, 20ms, false}, 2},
                                 {"free slots of a cold upstream", {3, 1, 20ms, false, true}, 1},
                                 {"old figure", {3, 0, 100ms, false}, 1},
                                 {"busy", {3, 4, 20ms, false}, 0},
                                 {"busy, figure of some time", {3, 4, 100ms, false}, 0},
                                 {"busy, place reported", {3, 4, 20ms, true}, 1},
                                 {"busy long ago", {3, 4, 600ms, false}, 1}})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(TestCase.Name, TestCase.Expected,
                                   relay::policy::maxUnderWay(TestCase.Known));
  }

  void testMechanisms_changed_differInOnlyThatOne() {
    for (std::size_t I = 0; I < relay::policy::MechanismCount; ++I) {
      const auto Which = static_cast<Mechanism>(I);
      CPPUNIT_ASSERT(relay::policy::parseMechanism(name(Which)) == Which);
      const bool UsedByDefault = Mechanisms().uses(Which);
      CPPUNIT_ASSERT_EQUAL(!isOptional(Which), UsedByDefault);
      const auto Changed = UsedByDefault ? Mechanisms().without(Which) : Mechanisms().with(Which);
      CPPUNIT_ASSERT(Changed.uses(Which) != UsedByDefault && !Changed.areDefault());
      CPPUNIT_ASSERT(Changed != Mechanisms());
      CPPUNIT_ASSERT(changedNames(Changed) == std::vector<std::string>{std::string(name(Which))});
      CPPUNIT_ASSERT(Changed.with(Which).uses(Which) && !Changed.without(Which).uses(Which));
    }
    CPPUNIT_ASSERT(Mechanisms().areDefault());
  }

  void testMechanisms_unknownName_isRejected() {
    for (const char *UnknownName : {"", "hold", "Holding", " holding", "holding,own_zone"})
      CPPUNIT_ASSERT_MESSAGE(UnknownName, !relay::policy::parseMechanism(UnknownName));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayPolicyTest);

} // namespace galenarelay::tests
