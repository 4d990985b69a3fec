#include "relay_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenarelay::tests {

using relay::HeartbeatEffect;
using relay::Registration;

class RelayRegistrationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayRegistrationTest);
  CPPUNIT_TEST(testHeartbeat_incarnationAndSequence_decideEffect);
  CPPUNIT_TEST(testHeartbeat_lateFromEarlierIncarnation_isIgnored);
  CPPUNIT_TEST(testDrain_withinIncarnation_isFinal);
  CPPUNIT_TEST(testSilence_beforeAddressReuse_stopsNewFlows);
  CPPUNIT_TEST(testDeparture_ofOtherUpstream_isIgnored);
  CPPUNIT_TEST(testColdFor_afterHeartbeat_decreasesToZero);
  CPPUNIT_TEST(testHeartbeat_afterDeparture_showsThatUpstreamLives);
  CPPUNIT_TEST_SUITE_END();

public:
  void testHeartbeat_incarnationAndSequence_decideEffect() {
    Registration Upstream(1200ms);
    struct Case {
      std::uint64_t Incarnation;
      std::uint64_t Sequence;
      HeartbeatEffect Expected;
    };
    for (const Case &Each : std::initializer_list<Case>{{10, 1, HeartbeatEffect::NewIncarnation},
                                                        {10, 2, HeartbeatEffect::Refreshed},
                                                        {10, 2, HeartbeatEffect::Outdated},
                                                        {10, 1, HeartbeatEffect::Outdated},
                                                        {11, 1, HeartbeatEffect::NewIncarnation},
                                                        {10, 9, HeartbeatEffect::Outdated},
                                                        {11, 2, HeartbeatEffect::Refreshed}})
      CPPUNIT_ASSERT(Upstream.onHeartbeat(heartbeat(Each.Sequence, Each.Incarnation), RelayStart) ==
                     Each.Expected);
  }

  void testHeartbeat_lateFromEarlierIncarnation_isIgnored() {
    Registration Upstream(1200ms);
    auto Next = heartbeat(1, 20);
    Next.Service = "intake";
    (void)Upstream.onHeartbeat(heartbeat(4, 10), RelayStart);
    (void)Upstream.onHeartbeat(Next, RelayStart + 3s);
    (void)Upstream.onHeartbeat(heartbeat(5, 10, true), RelayStart + 4s);
    CPPUNIT_ASSERT_EQUAL(std::string("intake"), Upstream.last()->Service);
    CPPUNIT_ASSERT(!Upstream.leaving());
  }

  void testDrain_withinIncarnation_isFinal() {
    Registration Upstream(1200ms);
    (void)Upstream.onHeartbeat(heartbeat(1, 10, true), RelayStart);
    (void)Upstream.onHeartbeat(heartbeat(2, 10, false), RelayStart);
    CPPUNIT_ASSERT(Upstream.leaving());
    (void)Upstream.onHeartbeat(heartbeat(1, 11), RelayStart);
    CPPUNIT_ASSERT(!Upstream.leaving() && Upstream.takesFlows(RelayStart));
  }

  // Addresses are reused from two seconds after an upstream has ended.
  void testSilence_beforeAddressReuse_stopsNewFlows() {
    Registration Upstream(1200ms);
    CPPUNIT_ASSERT(!Upstream.takesFlows(RelayStart));
    (void)Upstream.onHeartbeat(heartbeat(1), RelayStart);
    CPPUNIT_ASSERT(Upstream.takesFlows(RelayStart + 1500ms));
    CPPUNIT_ASSERT(!Upstream.takesFlows(RelayStart + 1900ms));
  }

  void testDeparture_ofOtherUpstream_isIgnored() {
    Registration Upstream(1200ms);
    (void)Upstream.onHeartbeat(heartbeat(1), RelayStart);
    CPPUNIT_ASSERT(!Upstream.onDeparture("up-9"));
    CPPUNIT_ASSERT(!Upstream.leaving());
    CPPUNIT_ASSERT(Upstream.onDeparture("up-10"));
    CPPUNIT_ASSERT(Upstream.leaving());
  }

  void testColdFor_afterHeartbeat_decreasesToZero() {
    Registration Upstream(1200ms);
    auto Cold = heartbeat(1);
    Cold.ColdFor = 2s;
    (void)Upstream.onHeartbeat(Cold, RelayStart);
    CPPUNIT_ASSERT(Upstream.coldFor(RelayStart + 500ms) == 1500ms);
    CPPUNIT_ASSERT(Upstream.coldFor(RelayStart + 5s) == 0s);
  }

  // An upstream may start again under the ID of an earlier one, whose departure may arrive late.
  void testHeartbeat_afterDeparture_showsThatUpstreamLives() {
    Registration Upstream(1200ms);
    auto Restarted = heartbeat(1, 11);
    Restarted.Id = "up-10";
    (void)Upstream.onHeartbeat(heartbeat(9, 10), RelayStart);
    (void)Upstream.onHeartbeat(Restarted, RelayStart + 2s);
    (void)Upstream.onDeparture("up-10");
    Restarted.Sequence = 2;
    (void)Upstream.onHeartbeat(Restarted, RelayStart + 3s);
    CPPUNIT_ASSERT(!Upstream.leaving());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayRegistrationTest);

} // namespace galenarelay::tests
