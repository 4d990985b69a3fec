#include "relay_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenarelay::tests {

using relay::HeartbeatEffect;
using relay::Registration;

class RelayRegistrationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayRegistrationTest);
  CPPUNIT_TEST(testHeartbeat_orderOfLives_decides);
  CPPUNIT_TEST(testHeartbeat_lateOneOfDeadUpstream_changesNothing);
  CPPUNIT_TEST(testDrain_withinIncarnation_isNotTakenBack);
  CPPUNIT_TEST(testSilence_beforeAddressIsReused_endsNewFlows);
  CPPUNIT_TEST(testDeparture_ofOwnUpstreamOnly_isTaken);
  CPPUNIT_TEST(testCold_restOfTime_runsOff);
  CPPUNIT_TEST_SUITE_END();

public:
  void testHeartbeat_orderOfLives_decides() {
    Registration Upstream(1200ms);
    struct Row {
      std::uint64_t Incarnation;
      std::uint64_t Sequence;
      HeartbeatEffect Expected;
    };
    for (const Row &Each : std::initializer_list<Row>{{10, 1, HeartbeatEffect::NewIncarnation},
                                                      {10, 2, HeartbeatEffect::Refreshed},
                                                      {10, 2, HeartbeatEffect::Outdated},
                                                      {10, 1, HeartbeatEffect::Outdated},
                                                      {11, 1, HeartbeatEffect::NewIncarnation},
                                                      {10, 9, HeartbeatEffect::Outdated},
                                                      {11, 2, HeartbeatEffect::Refreshed}})
      CPPUNIT_ASSERT(Upstream.onHeartbeat(heartbeat(Each.Sequence, Each.Incarnation), RelayStart) ==
                     Each.Expected);
  }

  void testHeartbeat_lateOneOfDeadUpstream_changesNothing() {
    Registration Upstream(1200ms);
    auto Next = heartbeat(1, 20);
    Next.Service = "intake";
    (void)Upstream.onHeartbeat(heartbeat(4, 10), RelayStart);
    (void)Upstream.onHeartbeat(Next, RelayStart + 3s);
    (void)Upstream.onHeartbeat(heartbeat(5, 10, true), RelayStart + 4s);
    CPPUNIT_ASSERT_EQUAL(std::string("intake"), Upstream.last()->Service);
    CPPUNIT_ASSERT(!Upstream.leaving());
  }

  void testDrain_withinIncarnation_isNotTakenBack() {
    Registration Upstream(1200ms);
    (void)Upstream.onHeartbeat(heartbeat(1, 10, true), RelayStart);
    (void)Upstream.onHeartbeat(heartbeat(2, 10, false), RelayStart);
    CPPUNIT_ASSERT(Upstream.leaving());
    (void)Upstream.onHeartbeat(heartbeat(1, 11), RelayStart);
    CPPUNIT_ASSERT(!Upstream.leaving() && Upstream.takesFlows(RelayStart));
  }

  // Addresses are used again from two seconds after an upstream's end.
  void testSilence_beforeAddressIsReused_endsNewFlows() {
    Registration Upstream(1200ms);
    CPPUNIT_ASSERT(!Upstream.takesFlows(RelayStart));
    (void)Upstream.onHeartbeat(heartbeat(1), RelayStart);
    CPPUNIT_ASSERT(Upstream.takesFlows(RelayStart + 1500ms));
    CPPUNIT_ASSERT(!Upstream.takesFlows(RelayStart + 1900ms));
  }

  void testDeparture_ofOwnUpstreamOnly_isTaken() {
    Registration Upstream(1200ms);
    (void)Upstream.onHeartbeat(heartbeat(1), RelayStart);
    CPPUNIT_ASSERT(!Upstream.onDeparture("up-9"));
    CPPUNIT_ASSERT(!Upstream.leaving());
    CPPUNIT_ASSERT(Upstream.onDeparture("up-10"));
    CPPUNIT_ASSERT(Upstream.leaving());
  }

  void testCold_restOfTime_runsOff() {
    Registration Upstream(1200ms);
    auto Cold = heartbeat(1);
    Cold.ColdFor = 2s;
    (void)Upstream.onHeartbeat(Cold, RelayStart);
    CPPUNIT_ASSERT(Upstream.coldFor(RelayStart + 500ms) == 1500ms);
    CPPUNIT_ASSERT(Upstream.coldFor(RelayStart + 5s) == 0s);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayRegistrationTest);

} // namespace galenarelay::tests
