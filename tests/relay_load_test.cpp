#include "relay_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenarelay::tests {

/// What callers get from placing, queueing and refusing under load. The bounds are the targets of
/// docs/design.md, 1.4: goodput of 0.95 of capacity, of which 0.8 within the latency objective,
/// and 0.8 of the mean for the worst caller.
class RelayLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayLoadTest);
  CPPUNIT_TEST(testLoad_halfOfCapacity_isServedInTime);
  CPPUNIT_TEST(testLoad_twiceCapacity_keepsGoodputAndShedsNothing);
  CPPUNIT_TEST(testLoad_twiceCapacity_treatsCallersEqually);
  CPPUNIT_TEST(testLoad_twiceCapacity_isInTimeForMostOfWhatIsServed);
  CPPUNIT_TEST(testLoad_twiceCapacity_keepsUrgentRequestsInTime);
  CPPUNIT_TEST(testLoad_afterBurst_isInTimeAgainWithinTwoSeconds);
  CPPUNIT_TEST(testLoad_backlogOfGoneCallers_leavesOthersInTime);
  CPPUNIT_TEST(testLoad_threeTimesCapacity_refusesWhatItCannotServe);
  CPPUNIT_TEST(testLoad_anyFleetSize_isServedInTime);
  CPPUNIT_TEST(testLoad_ofDesignSize_staysBelowControlBytes);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double GoodputTarget = 0.95;
  static constexpr double InTimeTarget = 0.8;
  static constexpr double WorstCallerTarget = 0.8;
  static constexpr std::size_t CallerCount = 8;

  /// Offers a load for a second, then for four more; returns what these four seconds brought.
  struct Steady {
    RelayFleet::Caller All;
    RelayFleet::Caller Urgent;
    double Capacity = 0; ///< Requests that could be served in the time.
  };
  static Steady steadyLoad(RelayFleet &Fleet, double Load) {
    Fleet.runFor(200ms);
    Fleet.offer(Load * Fleet.capacity(), 1s, CallerCount);
    const auto All = Fleet.total();
    const auto Urgent = Fleet.kind(OrdersAddress);
    Fleet.offer(Load * Fleet.capacity(), 4s, CallerCount);
    return {Fleet.total() - All, Fleet.kind(OrdersAddress) - Urgent, 4 * Fleet.capacity()};
  }

  template <typename F> static void forSeeds(F &&Check) {
    for (const std::uint64_t Seed : {1, 2, 3})
      Check(RelayFleet::Options{.Seed = Seed});
  }

public:
  void testLoad_halfOfCapacity_isServedInTime() {
    forSeeds([](const RelayFleet::Options &Chosen) {
      RelayFleet Fleet(Chosen);
      Fleet.runFor(200ms);
      Fleet.offer(0.5 * Fleet.capacity(), 5s, CallerCount);
      Fleet.runFor(4s);
      const auto All = Fleet.total();
      CPPUNIT_ASSERT_EQUAL(All.Asked, All.Served);
      CPPUNIT_ASSERT(static_cast<double>(All.InTime) >=
                     GoodputTarget * static_cast<double>(All.Asked));
    });
  }

  void testLoad_twiceCapacity_keepsGoodputAndShedsNothing() {
    forSeeds([](const RelayFleet::Options &Chosen) {
      RelayFleet Fleet(Chosen);
      const auto Got = steadyLoad(Fleet, 2);
      CPPUNIT_ASSERT(static_cast<double>(Got.All.Served) >= GoodputTarget * Got.Capacity);
      Fleet.runFor(4s);
      const auto All = Fleet.total();
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, All.Shed);
      CPPUNIT_ASSERT_EQUAL(All.Asked, All.Served + All.Refused);
    });
  }

  void testLoad_twiceCapacity_treatsCallersEqually() {
    forSeeds([](const RelayFleet::Options &Chosen) {
      RelayFleet Fleet(Chosen);
      Fleet.runFor(200ms);
      Fleet.offer(2 * Fleet.capacity(), 5s, CallerCount);
      Fleet.runFor(4s);
      const auto All = Fleet.total();
      const double Mean = static_cast<double>(All.Served) / static_cast<double>(All.Asked);
      for (const auto &[Who, Each] : Fleet.callers())
        CPPUNIT_ASSERT(static_cast<double>(Each.Served) / static_cast<double>(Each.Asked) >=
                       WorstCallerTarget * Mean);
    });
  }

  void testLoad_twiceCapacity_isInTimeForMostOfWhatIsServed() {
    forSeeds([](const RelayFleet::Options &Chosen) {
      RelayFleet Fleet(Chosen);
      const auto Got = steadyLoad(Fleet, 2);
      CPPUNIT_ASSERT(static_cast<double>(Got.All.InTime) >= InTimeTarget * Got.Capacity);
    });
  }

  // The urgent requests alone need 0.4 of the capacity; the others get the rest of it.
  void testLoad_twiceCapacity_keepsUrgentRequestsInTime() {
    forSeeds([](RelayFleet::Options Chosen) {
      Chosen.UrgentShare = 0.2;
      RelayFleet Fleet(Chosen);
      const auto Got = steadyLoad(Fleet, 2);
      CPPUNIT_ASSERT(static_cast<double>(Got.Urgent.InTime) >=
                     GoodputTarget * static_cast<double>(Got.Urgent.Asked));
      CPPUNIT_ASSERT(static_cast<double>(Got.All.Served) >= GoodputTarget * Got.Capacity);
    });
  }

  void testLoad_afterBurst_isInTimeAgainWithinTwoSeconds() {
    forSeeds([](const RelayFleet::Options &Chosen) {
      RelayFleet Fleet(Chosen);
      Fleet.runFor(200ms);
      Fleet.offer(3 * Fleet.capacity(), 1s, CallerCount);
      Fleet.offer(0.3 * Fleet.capacity(), 2s, CallerCount);
      const auto Before = Fleet.total();
      Fleet.offer(0.3 * Fleet.capacity(), 2s, CallerCount);
      Fleet.runFor(4s);
      const auto After = Fleet.total();
      CPPUNIT_ASSERT(static_cast<double>(After.InTime - Before.InTime) >=
                     GoodputTarget * static_cast<double>(After.Asked - Before.Asked));
    });
  }

  // What follows an outage: first packets of callers that have gone, as many as the upstreams can
  // serve in a second, and then a load that they can serve.
  void testLoad_backlogOfGoneCallers_leavesOthersInTime() {
    forSeeds([](const RelayFleet::Options &Chosen) {
      RelayFleet Fleet(Chosen);
      Fleet.runFor(200ms);
      Fleet.offer(0.5 * Fleet.capacity(), 1s, CallerCount);
      const auto Before = Fleet.total();
      Fleet.abandon(static_cast<std::size_t>(Fleet.capacity()));
      Fleet.offer(0.7 * Fleet.capacity(), 1s, CallerCount);
      const auto Asked = Fleet.total().Asked - Before.Asked;
      Fleet.runFor(1s);
      CPPUNIT_ASSERT(static_cast<double>(Fleet.total().InTime - Before.InTime) >=
                     InTimeTarget * static_cast<double>(Asked));
    });
  }

  // Two of three requests can't be served. Their callers learn it earlier than at the end of the
  // time for which a first packet may wait.
  void testLoad_threeTimesCapacity_refusesWhatItCannotServe() {
    forSeeds([](const RelayFleet::Options &Chosen) {
      RelayFleet Fleet(Chosen);
      const auto Got = steadyLoad(Fleet, 3);
      CPPUNIT_ASSERT(static_cast<double>(Got.All.Served) >= GoodputTarget * Got.Capacity);
      CPPUNIT_ASSERT(Got.All.Refused > 0);
      CPPUNIT_ASSERT(Got.All.RefusedAfter / static_cast<std::int64_t>(Got.All.Refused) <
                     relay::policy::HoldTimeout);
    });
  }

  // Figures of load are asked for from a few agents, whatever the number of agents and balancers.
  void testLoad_anyFleetSize_isServedInTime() {
    for (const std::size_t Agents : {7, 70, 700}) {
      RelayFleet Fleet({.Balancers = std::max<std::size_t>(3, Agents / 3), .Agents = Agents});
      Fleet.runFor(200ms);
      Fleet.offer(0.7 * Fleet.capacity(), 2s, CallerCount);
      Fleet.runFor(4s);
      const auto All = Fleet.total();
      CPPUNIT_ASSERT_EQUAL(All.Asked, All.Served);
      CPPUNIT_ASSERT(static_cast<double>(All.InTime) >=
                     GoodputTarget * static_cast<double>(All.Asked));
    }
  }

  // A tenth of the design size, with its ratios: 700 balancers, 6,200 agents, 42,000 new flows a
  // second; for control 15 KB/s a node.
  void testLoad_ofDesignSize_staysBelowControlBytes() {
    constexpr std::size_t Balancers = 70;
    constexpr double NewFlows = 4200;
    constexpr double MaxBytesPerSecond = 15'000;
    RelayFleet Fleet({.Balancers = Balancers, .Agents = 620});
    Fleet.runFor(200ms);
    const auto Before = Fleet.controlBytes();
    Fleet.offer(NewFlows, 2s, CallerCount);
    // All of them pass a balancer, in or out; an agent has a ninth of this.
    CPPUNIT_ASSERT(static_cast<double>(Fleet.controlBytes() - Before) / Balancers / 2 <=
                   MaxBytesPerSecond);
    Fleet.runFor(1s);
    const auto All = Fleet.total();
    CPPUNIT_ASSERT(static_cast<double>(All.InTime) >=
                   GoodputTarget * static_cast<double>(All.Asked));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayLoadTest);

} // namespace galenarelay::tests
