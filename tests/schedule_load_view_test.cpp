#include "galenarelay/schedule/load_view.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <limits>

namespace galenarelay::tests {

using namespace schedule;
using common::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::array<const char *, 3> Ids{"a", "b", "c"};

routing::ServiceRoute makeRoute() {
  routing::ServiceRoute Route;
  Route.Name = "desk";
  for (const char *Id : Ids)
    Route.Candidates.push_back({.Id = Id, .State = membership::MemberState::Active, .Slots = 5});
  return Route;
}

LoadReport makeReport(const std::string &Id, std::uint32_t Busy, std::uint64_t Sequence = 1) {
  return {.MemberId = Id, .Slots = 5, .Busy = Busy, .Sequence = Sequence};
}

/// Counts how often home "a" chooses each candidate in 300 choices, repeating the reports before
/// each.
std::array<int, 3> countChoices(LoadView &View, const std::vector<LoadReport> &Reports,
                                TimePoint Now) {
  const routing::ServiceRoute Route = makeRoute();
  std::array<int, 3> Counts{};
  auto Sequence = static_cast<std::uint64_t>(Now.time_since_epoch().count());
  for (int I = 0; I < 300; ++I) {
    ++Sequence;
    for (LoadReport Report : Reports) {
      Report.Sequence = Sequence;
      View.onReport(Report, Now);
    }
    ++Counts.at(*View.chooseUpstream(Route, "a", Now));
  }
  return Counts;
}

} // namespace

class LoadViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadViewTest);
  CPPUNIT_TEST(testChoose_noCandidate_isEmpty);
  CPPUNIT_TEST(testChoose_noHealthyCandidate_stillPicksOne);
  CPPUNIT_TEST(testReport_errorShareOutOfRange_isIgnored);
  CPPUNIT_TEST(testChoose_balancedPeers_keepsFlowAtHome);
  CPPUNIT_TEST(testChoose_fullHome_spreadsOverFreePeers);
  CPPUNIT_TEST(testChoose_failingPeer_getsNoWork);
  CPPUNIT_TEST(testChoose_joiningPeer_rampsUp);
  CPPUNIT_TEST(testChoose_ownAssignments_countBeforeTheNextReport);
  CPPUNIT_TEST(testChoose_ownAssignmentsAtHome_doNotFillIt);
  CPPUNIT_TEST(testChoose_unevenTable_movesTheExcessOnly);
  CPPUNIT_TEST(testReport_olderSequence_isIgnored);
  CPPUNIT_TEST(testReport_restartedMember_isAccepted);
  CPPUNIT_TEST(testChoose_sameSeed_sameChoices);
  CPPUNIT_TEST_SUITE_END();

  const TimePoint Now{seconds(100)};

public:
  // Guards against an index into an empty candidate list.
  void testChoose_noCandidate_isEmpty() {
    LoadView View(1);
    CPPUNIT_ASSERT(!View.chooseUpstream({}, "a", TimePoint{}));
  }

  // Guards against rejecting flows when all upstreams fail or are suspected at the same time.
  void testChoose_noHealthyCandidate_stillPicksOne() {
    for (const auto State : {membership::MemberState::Active, membership::MemberState::Suspect}) {
      LoadView View(1);
      routing::ServiceRoute Route = makeRoute();
      for (membership::Member &Member : Route.Candidates) {
        Member.State = State;
        LoadReport Report = makeReport(Member.Id, 5);
        Report.ErrorShare = 1;
        View.onReport(Report, Now);
      }
      CPPUNIT_ASSERT(View.chooseUpstream(Route, "not a candidate", Now).has_value());
    }
  }

  // Guards against a malformed report that makes every weight NaN.
  void testReport_errorShareOutOfRange_isIgnored() {
    LoadView View(1);
    for (const double Share : {-0.1, 1.1, std::numeric_limits<double>::quiet_NaN()}) {
      LoadReport Report = makeReport("b", 5);
      Report.ErrorShare = Share;
      View.onReport(Report, Now);
    }
    CPPUNIT_ASSERT(!View.expectedLoad("b", Now));
  }

  // Guards against needless hand-offs, each of which costs a hop per packet.
  void testChoose_balancedPeers_keepsFlowAtHome() {
    LoadView View(1);
    const auto Counts =
        countChoices(View, {makeReport("a", 2), makeReport("b", 2), makeReport("c", 2)}, Now);
    CPPUNIT_ASSERT_EQUAL(300, Counts[0]);
  }

  // Guards against all homes choosing the same least loaded peer.
  void testChoose_fullHome_spreadsOverFreePeers() {
    LoadView View(1);
    const auto Counts =
        countChoices(View, {makeReport("a", 5), makeReport("b", 1), makeReport("c", 1)}, Now);
    CPPUNIT_ASSERT_EQUAL(0, Counts[0]);
    CPPUNIT_ASSERT(Counts[1] > 100 && Counts[2] > 100);
  }

  // Guards against an upstream that fails fast, looks idle and attracts all work.
  void testChoose_failingPeer_getsNoWork() {
    LoadView View(1);
    LoadReport Failing = makeReport("b", 0);
    Failing.ErrorShare = 0.9;
    const auto Counts = countChoices(View, {makeReport("a", 5), Failing, makeReport("c", 4)}, Now);
    CPPUNIT_ASSERT_EQUAL(0, Counts[1]);
  }

  // Guards against a cold upstream that gets its full share of flows as soon as it joins.
  void testChoose_joiningPeer_rampsUp() {
    LoadView View(1);
    View.onReport(makeReport("a", 5), TimePoint{});
    View.onReport(makeReport("b", 2), TimePoint{});
    const std::vector<LoadReport> Reports{makeReport("a", 5), makeReport("b", 2),
                                          makeReport("c", 2)};
    const auto AtFirst = countChoices(View, Reports, Now);
    const auto Later = countChoices(View, Reports, Now + seconds(10));
    CPPUNIT_ASSERT(AtFirst[2] > 0 && AtFirst[2] < 60);
    CPPUNIT_ASSERT(Later[2] > 120);
  }

  // Guards against a burst of flows to the peer with the lowest load in its last report.
  void testChoose_ownAssignments_countBeforeTheNextReport() {
    LoadView View(1);
    const routing::ServiceRoute Route = makeRoute();
    View.onReport(makeReport("a", 5), Now);
    View.onReport(makeReport("b", 0), Now);
    View.onReport(makeReport("c", 0), Now);
    std::array<int, 3> Counts{};
    for (int I = 0; I < 20; ++I)
      ++Counts.at(*View.chooseUpstream(Route, "a", Now));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Counts[1] / 5.0, *View.expectedLoad("b", Now), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Counts[2] / 5.0, *View.expectedLoad("c", Now), 1e-9);
    // Ten slots were free. The other flows queue at the home rather than at a peer.
    CPPUNIT_ASSERT(Counts[1] <= 5 && Counts[2] <= 5 && Counts[0] >= 10);
  }

  // Guards against a home that counts its flows twice, in its current load and as assignments, and
  // therefore hands off most of them.
  void testChoose_ownAssignmentsAtHome_doNotFillIt() {
    LoadView View(1);
    const routing::ServiceRoute Route = makeRoute();
    for (const char *Id : Ids)
      View.onReport(makeReport(Id, 2), Now);
    for (int I = 0; I < 50; ++I)
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *View.chooseUpstream(Route, "a", Now));
  }

  // Guards against load that is as uneven as the shares of the table: up to 28% for 70 members.
  void testChoose_unevenTable_movesTheExcessOnly() {
    routing::ServiceRoute Route = makeRoute();
    Route.Table = routing::ServiceTable("desk", {Ids.begin(), Ids.end()});
    std::array<double, 3> Flows{};
    for (std::size_t Home = 0; Home < Ids.size(); ++Home) {
      LoadView View(Home + 1);
      for (std::uint64_t Hash = 0; Hash < 20 * routing::TableSlots; ++Hash) {
        for (const char *Id : Ids)
          View.onReport(makeReport(Id, 2, Hash), Now);
        if (Route.Table.choose(Hash).First == Home)
          Flows.at(*View.chooseUpstream(Route, Ids.at(Home), Now)) +=
              1.0 / (20 * routing::TableSlots);
      }
    }
    for (const double Share : Flows)
      CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 3, Share, 0.01);
  }

  // Guards against a late datagram that replaces a newer load report.
  void testReport_olderSequence_isIgnored() {
    LoadView View(1);
    View.onReport(makeReport("b", 4, 7), Now);
    View.onReport(makeReport("b", 0, 6), Now);
    CPPUNIT_ASSERT_EQUAL(0.8, *View.expectedLoad("b", Now));
  }

  // Guards against ignoring a restarted agent, whose sequence numbers start from 1 again.
  void testReport_restartedMember_isAccepted() {
    LoadView View(1);
    View.onReport(makeReport("b", 4, 7000), Now);
    View.onReport(makeReport("b", 1, 1), Now + seconds(3));
    CPPUNIT_ASSERT_EQUAL(0.2, *View.expectedLoad("b", Now));
  }

  // Guards against choices that differ between two runs with the same seed.
  void testChoose_sameSeed_sameChoices() {
    const std::vector<LoadReport> Reports{makeReport("a", 5), makeReport("b", 1),
                                          makeReport("c", 3)};
    LoadView First(7);
    LoadView Second(7);
    CPPUNIT_ASSERT(countChoices(First, Reports, Now) == countChoices(Second, Reports, Now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadViewTest);

} // namespace galenarelay::tests
