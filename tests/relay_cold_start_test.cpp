#include "galenarelay/relay/policy/cold_start_limit.h"
#include "platform/documents.h"
#include "relay_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <limits>

namespace galenarelay::tests {

using relay::policy::ColdStartAllowance;
using relay::policy::ColdStartLimit;

/// Tests the bound of openings at an upstream that has just started.
class RelayColdStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayColdStartTest);
  CPPUNIT_TEST(testBound_statedRate_isRateTimesOverageAndSlack);
  CPPUNIT_TEST(testBound_oddFigures_neverFallBelowOne);
  CPPUNIT_TEST(testLimit_burstsAcrossSeconds_holdsInEverySlidingSecond);
  CPPUNIT_TEST(testAgent_coldUpstream_takesNoMoreThanItsBound);
  CPPUNIT_TEST(testConfiguration_coldRates_areReadOrIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  void testBound_statedRate_isRateTimesOverageAndSlack() {
    const ColdStartAllowance Allowance{1.5, 5};
    CPPUNIT_ASSERT_EQUAL(std::size_t{35}, Allowance.bound(20).value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, Allowance.bound(1).value()); // 6.5
    CPPUNIT_ASSERT(!Allowance.bound(0));
  }

  // Guards against a configuration that closes all cold upstreams, or opens them without limit.
  void testBound_oddFigures_neverFallBelowOne() {
    for (const double Odd : {-1.0, -1e300, std::nan(""), std::numeric_limits<double>::infinity()})
      CPPUNIT_ASSERT(!(ColdStartAllowance{1.5, 5}.bound(Odd)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, (ColdStartAllowance{0, 0}.bound(0.1).value()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10'000}, (ColdStartAllowance{1e9, 0}.bound(1e300).value()));
  }

  // Guards against a count by whole seconds, which allows twice the bound around their ends.
  void testLimit_burstsAcrossSeconds_holdsInEverySlidingSecond() {
    ColdStartLimit Limit;
    std::vector<common::TimePoint> Opened;
    for (auto Now = RelayStart; Now < RelayStart + 5s; Now += 7ms) {
      // Bursts of 40 twice a second.
      const bool InBurst = (Now - RelayStart) % 500ms < 30ms;
      for (int I = 0; I < (InBurst ? 8 : 0); ++I)
        if (Limit.allows(10, Now)) {
          Limit.note(Now);
          Opened.push_back(Now);
        }
    }
    CPPUNIT_ASSERT(Opened.size() >= 40);
    for (std::size_t I = 10; I < Opened.size(); ++I)
      CPPUNIT_ASSERT(Opened[I] - Opened[I - 10] > 1s);
  }

  // Guards against balancers that send a returning upstream all flows at once: its agent sees those
  // of all balancers.
  void testAgent_coldUpstream_takesNoMoreThanItsBound() {
    relay::UpstreamFlows Flows("desk", 1200ms, RelayStart - 60s);
    auto Cold = heartbeat(1);
    Cold.Slots = 100;
    Cold.ColdFor = 2s;
    (void)Flows.onHeartbeat(Cold, RelayStart);
    const auto Offer = [&](std::uint16_t Port, common::TimePoint Now) {
      const relay::Bytes Raw{1, 2, 3};
      return Flows.onBalancerPacket(firstPacket(relayKey(Port)),
                                    {BalancerOne, relay::serviceDigest("desk")}, Raw, BalancerOne,
                                    Now);
    };
    const auto Taken = [&](std::uint16_t FirstPort, common::TimePoint Now) {
      std::size_t Count = 0;
      for (std::uint16_t I = 0; I < 30; ++I)
        Count += countActions(Offer(static_cast<std::uint16_t>(FirstPort + I), Now),
                              relay::FlowAction::Kind::Deliver);
      return Count;
    };
    Flows.setColdBound(12);
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, Taken(1000, RelayStart));
    CPPUNIT_ASSERT(Offer(2000, RelayStart).at(0).Reason == relay::ReturnReason::Full);
    // A copy of an opening that was taken is no further one.
    CPPUNIT_ASSERT(Offer(1000, RelayStart).at(0).Operation == relay::FlowAction::Kind::Deliver);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Taken(3000, RelayStart + 1s));
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, Taken(4000, RelayStart + 1001ms));
    Flows.setColdBound({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{30}, Taken(5000, RelayStart + 1001ms));
  }

  void testConfiguration_coldRates_areReadOrIgnored() {
    const auto Read = [](const std::string &Services) {
      return platform::readConfiguration(R"({"version":3,"routes":[],"services":)" + Services +
                                         "}");
    };
    const auto Good = Read(R"([{"name":"desk","coldPerS":20.5},{"name":"intake","coldPerS":0.0}])");
    CPPUNIT_ASSERT(Good);
    const relay::RouteTable Routes(*Good);
    CPPUNIT_ASSERT_EQUAL(20.5, Routes.coldRate("desk"));
    CPPUNIT_ASSERT_EQUAL(0.0, Routes.coldRate("intake"));
    CPPUNIT_ASSERT_EQUAL(0.0, Routes.coldRate("other"));
    for (const char *Odd :
         {R"([{"name":"desk","coldPerS":-1}])", R"([{"name":"desk","coldPerS":1e9}])",
          R"([{"name":"desk","coldPerS":"20"}])", R"([{"coldPerS":20}])",
          R"([{"name":7,"coldPerS":20}])", "[7]", "7", "null", "{}"}) {
      const auto Parsed = Read(Odd);
      CPPUNIT_ASSERT_MESSAGE(Odd, Parsed && Parsed->ColdRates.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayColdStartTest);

} // namespace galenarelay::tests
