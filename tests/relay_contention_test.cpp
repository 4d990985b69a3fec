#include "relay_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenarelay::tests {

using relay::policy::AdmissionVerdict;
using relay::policy::AllTriesAdmission;
using relay::policy::Mechanism;
using relay::policy::Mechanisms;
using relay::policy::WaitingFlow;

/// What callers get while they compete for too little room, with SharedContention and without it.
/// Callers open up to three flows for a request.
class RelayContentionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayContentionTest);
  CPPUNIT_TEST(testCrest_returningCallers_getMoreThanWithoutSharing);
  CPPUNIT_TEST(testCrest_messagesOnTriesLost_servesAsManyAsWithoutSharing);
  CPPUNIT_TEST(testHeavyCaller_hundredTimesTheFlows_doesNotCrowdOutOthers);
  CPPUNIT_TEST(testUrgentCrest_aboveCapacity_leavesOthersTheirFloor);
  CPPUNIT_TEST(testJudge_tryOver_leavesTimeForTheNextTries);
  CPPUNIT_TEST(testJudge_waitBeyondAllTries_isRefusedAtOnce);
  CPPUNIT_TEST(testOrder_callersOfOnePriority_takeTurns);
  CPPUNIT_TEST(testReturn_refusedCaller_isRecognisedOnce);
  CPPUNIT_TEST(testRestart_noAgentKnown_holdsNothingBeyondItsTime);
  CPPUNIT_TEST(testHeld_boundReached_refusesNewestOfHeaviestCaller);
  CPPUNIT_TEST_SUITE_END();

  using Counts = RelayFleet::RequestCounts;
  static constexpr common::TimePoint Now = RelayStart;
  static constexpr std::size_t CallerCount = 60;
  /// The urgent requests need up to 0.6 of the capacity: nearly all of them are served.
  static constexpr double UrgentTarget = 0.99;
  /// Share of the requests in time, of that without sharing.
  static constexpr double InTimeFloor = 0.95;
  /// Served share of the worst caller and zone, of the mean. A caller has some 40 requests, so that
  /// chance alone makes a difference of a quarter.
  static constexpr double WorstCallerTarget = 0.65;
  static constexpr double WorstZoneTarget = 0.9;

  struct Result {
    Counts All;
    Counts Urgent;
    Counts Others;
    Counts Heavy;
    double WorstCaller = 1; ///< Served share.
    double WorstZone = 1;   ///< Served share.
    double Capacity = 0;    ///< Requests per second.
  };
  static double served(const Counts &C) {
    return static_cast<double>(C.Served) / static_cast<double>(C.Asked);
  }
  static double inTime(const Counts &C) {
    return static_cast<double>(C.InTime) / static_cast<double>(C.Asked);
  }
  static RelayFleet::Options fleet(bool Shared, RelayFleet::Options Config = {}) {
    Config.Agents = 6;
    Config.Tries = 3;
    Config.Zones = 2;
    Config.InUse = Shared ? Mechanisms().with(Mechanism::SharedContention) : Mechanisms();
    return Config;
  }
  /// Offers a crest of 3 s within a load of 0.6.
  static Result crest(const RelayFleet::Options &Config, double Load) {
    RelayFleet Fleet(Config);
    Fleet.runFor(200ms);
    Fleet.offer(0.6 * Fleet.capacity(), 500ms, CallerCount);
    Fleet.offer(Load * Fleet.capacity(), 3s, CallerCount);
    Fleet.offer(0.6 * Fleet.capacity(), 4s, CallerCount);
    Fleet.runFor(Config.Deadline + 1s);
    Result Outcome{.All = Fleet.total(),
                   .Urgent = Fleet.endpointCounts(OrdersAddress),
                   .Others = Fleet.endpointCounts(DeskAddress),
                   .Capacity = Fleet.capacity()};
    std::array<Counts, 2> Zones;
    for (const auto &[Caller, C] : Fleet.callers()) {
      (Caller == RelayFleet::HeavyCaller ? Outcome.Heavy : Zones.at(Caller % 2)) += C;
      if (Caller != RelayFleet::HeavyCaller)
        Outcome.WorstCaller = std::min(Outcome.WorstCaller, served(C));
    }
    Outcome.WorstZone = std::min(served(Zones[0]), served(Zones[1]));
    return Outcome;
  }

public:
  // Guards against tries that are used up within a second while room comes later, and against
  // returning tries that take the places of requests that can still be in time.
  void testCrest_returningCallers_getMoreThanWithoutSharing() {
    for (const auto Deadline : {5000ms, 2000ms}) {
      double ServedTwin = 0;
      double ServedShared = 0;
      for (const double Load : {1.5, 2.0, 3.0}) {
        const RelayFleet::Options Config{.UrgentShare = 0.2, .Deadline = Deadline};
        const auto Twin = crest(fleet(false, Config), Load);
        const auto Shared = crest(fleet(true, Config), Load);
        ServedTwin += served(Twin.All);
        ServedShared += served(Shared.All);
        CPPUNIT_ASSERT(inTime(Shared.All) >= InTimeFloor * inTime(Twin.All));
        CPPUNIT_ASSERT(served(Shared.Urgent) >= UrgentTarget);
        CPPUNIT_ASSERT(Shared.WorstCaller >= WorstCallerTarget * served(Shared.All));
        CPPUNIT_ASSERT(Shared.WorstZone >= WorstZoneTarget * served(Shared.All));
      }
      CPPUNIT_ASSERT(ServedShared >= ServedTwin);
    }
  }

  // Guards against a loss of callers' tries that makes balancers refuse more than without sharing.
  void testCrest_messagesOnTriesLost_servesAsManyAsWithoutSharing() {
    auto Config = fleet(true);
    Config.LoseTryMessages = true;
    CPPUNIT_ASSERT(served(crest(Config, 2).All) >= served(crest(fleet(false), 2).All));
  }

  void testHeavyCaller_hundredTimesTheFlows_doesNotCrowdOutOthers() {
    const RelayFleet::Options Config{.HeavyShare = 100.0 / (100 + CallerCount)};
    const auto Shared = crest(fleet(true, Config), 2);
    const auto Twin = crest(fleet(false, Config), 2);
    CPPUNIT_ASSERT(Shared.WorstCaller >= 0.95);
    CPPUNIT_ASSERT(Twin.WorstCaller < 0.95); // Otherwise the load says nothing about sharing.
    // The heavy caller gives up what the others get, and nothing is left unused.
    CPPUNIT_ASSERT(served(Shared.All) >= served(Twin.All));
  }

  // Urgent requests alone are 2.4 times the capacity during the crest.
  void testUrgentCrest_aboveCapacity_leavesOthersTheirFloor() {
    const RelayFleet::Options Config{.UrgentShare = 0.8};
    const auto Shared = crest(fleet(true, Config), 3);
    const auto Twin = crest(fleet(false, Config), 3);
    CPPUNIT_ASSERT(served(Shared.Others) >= served(Twin.Others) + 0.2);
    CPPUNIT_ASSERT(served(Shared.Urgent) >= 0.9 * served(Twin.Urgent));
  }

  void testJudge_tryOver_leavesTimeForTheNextTries() {
    struct Case {
      const char *Name;
      common::Duration Deadline;
      std::uint32_t EarlierTries;
      common::Duration EarlierTime;
      common::Duration RefusedAt; ///< Age of the try.
      AdmissionVerdict Verdict;
    };
    for (const Case &TestCase :
         {Case{"long budget", 5s, 0, 0ms, 1200ms, AdmissionVerdict::RefuseForRetry},
          {"no budget", 0s, 0, 0ms, 1200ms, AdmissionVerdict::RefuseForRetry},
          {"short budget", 1900ms, 0, 0ms, 600ms, AdmissionVerdict::RefuseForRetry},
          {"second try", 1900ms, 1, 600ms, 600ms, AdmissionVerdict::RefuseForRetry},
          {"last try", 1900ms, 2, 1200ms, 600ms, AdmissionVerdict::RefuseAtOnce},
          {"budget is over", 1900ms, 2, 1850ms, 0ms, AdmissionVerdict::RefuseAtOnce},
          {"more tries than known", 5s, 3, 3600ms, 1200ms, AdmissionVerdict::RefuseAtOnce}}) {
      const WaitingFlow Flow{.FirstSynAt = Now,
                             .Retransmissions = 2,
                             .LatencyObjective = 200ms,
                             .Deadline = TestCase.Deadline,
                             .EarlierTries = TestCase.EarlierTries,
                             .EarlierTime = TestCase.EarlierTime};
      const auto Judge = [&](common::Duration Age) {
        return AllTriesAdmission{}.judge(Flow, {}, Now + Age);
      };
      CPPUNIT_ASSERT_MESSAGE(TestCase.Name,
                             TestCase.RefusedAt == 0ms ||
                                 Judge(TestCase.RefusedAt - 1ms) == AdmissionVerdict::Wait);
      CPPUNIT_ASSERT_MESSAGE(TestCase.Name, Judge(TestCase.RefusedAt) == TestCase.Verdict);
    }
  }

  // 3.6 s remain to three tries, in which 72 flows are released at RateMargin times 10 per second.
  void testJudge_waitBeyondAllTries_isRefusedAtOnce() {
    const WaitingFlow Flow{Now, 0, 200ms, 5s, 1};
    const AllTriesAdmission Policy;
    CPPUNIT_ASSERT(Policy.judge(Flow, {71, 10}, Now) == AdmissionVerdict::Wait);
    CPPUNIT_ASSERT(Policy.judge(Flow, {73, 10}, Now) == AdmissionVerdict::RefuseAtOnce);
    CPPUNIT_ASSERT(Policy.judge(Flow, {1000, 0}, Now) == AdmissionVerdict::Wait);
  }

  void testOrder_callersOfOnePriority_takeTurns() {
    relay::policy::ReleaseShares Shares;
    std::vector<WaitingFlow> Flows;
    for (std::uint32_t I = 0; I < 12; ++I)
      Flows.push_back({Now - 10ms, 0, 200ms, 3s, 1, I < 10 ? 1U : 2U});
    std::array<std::size_t, 3> Released{};
    for (std::size_t Round = 0; Round < 4; ++Round) {
      const auto First = Shares.order(Flows, Now).front();
      ++Released.at(Flows[First].Caller);
      Shares.noteReleased(Flows[First], true, false);
      Flows.erase(Flows.begin() + static_cast<std::ptrdiff_t>(First));
    }
    CPPUNIT_ASSERT(Released[1] == 2 && Released[2] == 2);
  }

  void testReturn_refusedCaller_isRecognisedOnce() {
    relay::policy::ReturningCallers Callers;
    const relay::policy::EarlierTries Tries{1, Now - 1s};
    Callers.noteRefused(7, 443, Tries, Now);
    CPPUNIT_ASSERT(!Callers.takeReturn(7, 443, Now - 1ms, Now + 1ms));
    CPPUNIT_ASSERT(!Callers.takeReturn(7, 80, Now + 1ms, Now + 1ms));
    CPPUNIT_ASSERT(!Callers.takeReturn(8, 443, Now + 1ms, Now + 1ms));
    CPPUNIT_ASSERT(Callers.takeReturn(7, 443, Now + 1ms, Now + 2ms) == Tries);
    CPPUNIT_ASSERT(!Callers.takeReturn(7, 443, Now + 1ms, Now + 2ms));
    // A caller that has used all tries doesn't return.
    Callers.noteRefused(7, 443, {relay::policy::MaxCallerTries, Now}, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Callers.callers());
    for (std::uint32_t I = 0; I < relay::policy::MaxKeptRefusals + 5; ++I)
      Callers.noteRefused(I, 443, Tries, Now);
    CPPUNIT_ASSERT_EQUAL(relay::policy::MaxKeptRefusals, Callers.callers());
    CPPUNIT_ASSERT(!Callers.takeReturn(9, 443, Now, Now + relay::policy::ReturnWindow + 1ms));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Callers.callers());
  }

  // After a loss of everything no agent is known yet. The first try is refused in time for the next
  // one, and a request is held no longer than it can be served.
  void testRestart_noAgentKnown_holdsNothingBeyondItsTime() {
    const auto InUse = Mechanisms().with(Mechanism::SharedContention);
    relay::UpstreamDirectory Directory("a", 1, InUse);
    relay::FlowSteering Steering(BalancerOne, Directory, Now, InUse);
    Steering.setRoutes(relayRoutes(1, 1300ms));
    for (std::uint32_t Try = 0; Try < 3; ++Try) {
      const auto Key = relayKey(static_cast<std::uint16_t>(Try + 1));
      const auto Start = Now + Try * 420ms;
      relay::SteeringActions Last;
      auto At = Start;
      for (; countActions(Last, relay::SteeringAction::Kind::Reset) == 0; At += 20ms) {
        CPPUNIT_ASSERT(At < Now + 1300ms);
        const auto Copy = At - Start < 200ms ? 0U : (At - Start < 600ms ? 1U : 2U);
        (void)Steering.onPacket(firstPacket(Key, Copy), relay::Bytes{1}, At);
        for (const auto &Message : Steering.takeTryMessages())
          if (const auto Answer = Steering.onCallerTries(Message, At))
            (void)Steering.onCallerTries(*Answer, At);
        Last = Steering.onTimer(At);
      }
      CPPUNIT_ASSERT_EQUAL(Try, Last[0].Wait->EarlierTries);
      CPPUNIT_ASSERT(Last[0].Reason == (Try < 2 ? relay::SteeringReason::RetryExpected
                                                : relay::SteeringReason::Overloaded));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Steering.flows());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Steering.waitingDecisions().at("desk").RefusedForRetry);
  }

  void testHeld_boundReached_refusesNewestOfHeaviestCaller() {
    const auto InUse = Mechanisms().with(Mechanism::SharedContention);
    relay::UpstreamDirectory Directory("a", 1, InUse);
    relay::FlowSteering Steering(BalancerOne, Directory, Now, InUse);
    Steering.setRoutes(relayRoutes());
    const relay::Bytes Raw{1};
    for (std::uint16_t Port = 1; Port <= relay::MaxHeldFlows; ++Port)
      (void)Steering.onPacket(firstPacket(relayKey(Port)), Raw, Now);
    const packet::FlowKey Other{{0x64400008, 1}, DeskAddress};
    const auto Actions = Steering.onPacket(firstPacket(Other), Raw, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countActions(Actions, relay::SteeringAction::Kind::Reset));
    CPPUNIT_ASSERT(Actions[0].Key == relayKey(relay::MaxHeldFlows));
    CPPUNIT_ASSERT(Steering.waitOf(Other, Now) && !Steering.waitOf(Actions[0].Key, Now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayContentionTest);

} // namespace galenarelay::tests
