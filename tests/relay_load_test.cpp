#include "relay_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenarelay::tests {

/// What callers get from placing, queueing and refusing under load. The bounds are the targets of
/// docs/design.md, 1.4: goodput of 0.95 of capacity, and 0.8 of the mean for the worst caller.
class RelayLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayLoadTest);
  CPPUNIT_TEST(testLoad_halfOfCapacity_isServedInTime);
  CPPUNIT_TEST(testLoad_twiceCapacity_keepsGoodputAndShedsNothing);
  CPPUNIT_TEST(testLoad_twiceCapacity_treatsCallersEqually);
  CPPUNIT_TEST(testLoad_afterBurst_isInTimeAgainWithinTwoSeconds);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double GoodputTarget = 0.95;
  static constexpr double WorstCallerTarget = 0.8;
  static constexpr std::size_t CallerCount = 8;

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
      Fleet.runFor(200ms);
      Fleet.offer(2 * Fleet.capacity(), 5s, CallerCount);
      Fleet.runFor(4s);
      const auto All = Fleet.total();
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, All.Shed);
      CPPUNIT_ASSERT_EQUAL(All.Asked, All.Served + All.Refused);
      CPPUNIT_ASSERT(static_cast<double>(All.Served) >= GoodputTarget * 5 * Fleet.capacity());
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayLoadTest);

} // namespace galenarelay::tests
