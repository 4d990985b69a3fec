#include "relay_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>
#include <set>

namespace galenarelay::tests {

using relay::FlowSteering;
using relay::ReturnReason;
using relay::SteeringAction;
using relay::SteeringActions;
using relay::SteeringReason;
using relay::UpstreamDirectory;
using Kind = SteeringAction::Kind;

class RelaySteeringTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelaySteeringTest);
  CPPUNIT_TEST(testSyn_knownRoute_goesToAgentOfItsService);
  CPPUNIT_TEST(testSyn_withoutRoute_isResetOnceRoutesAreCurrent);
  CPPUNIT_TEST(testSyn_withoutUpstream_isResetAtOnce);
  CPPUNIT_TEST(testSyn_justAfterStart_isNotRefused);
  CPPUNIT_TEST(testSynRetransmission_notYetAccepted_goesToAnotherAgent);
  CPPUNIT_TEST(testSynRetransmission_ofAcceptedFlow_goesToTheSameAgent);
  CPPUNIT_TEST(testSyn_ofPortUsedAgain_isPlacedByItsRoute);
  CPPUNIT_TEST(testSyn_ofPortUsedAgain_replacesWaitingFlow);
  CPPUNIT_TEST(testSyn_ofPortUsedAgain_ignoresMessagesAboutEarlierFlow);
  CPPUNIT_TEST(testSynRetransmission_routeChanged_followsTheRoute);
  CPPUNIT_TEST(testHeld_routeChanged_followsTheRoute);
  CPPUNIT_TEST(testPlacement_unanswered_isRepeatedBeforeTheRetransmission);
  CPPUNIT_TEST(testPlacement_checkOfEarlierAgent_doesNotConcernTheNext);
  CPPUNIT_TEST(testReturn_allAgentsRefuse_resets);
  CPPUNIT_TEST(testReturn_allBusy_insistsOnTheLeastBusy);
  CPPUNIT_TEST(testSyn_allUpstreamsFull_waitsForCapacity);
  CPPUNIT_TEST(testHeld_flowsThatCanBeInTime_goFirst);
  CPPUNIT_TEST(testHeld_urgentFlows_goBeforeOthersInTime);
  CPPUNIT_TEST(testSyn_whileUrgentFlowsWait_doesNotOvertakeThem);
  CPPUNIT_TEST(testHeld_holdTimeoutExpires_isRefused);
  CPPUNIT_TEST(testHeld_callerWithoutRetransmissions_isNotReset);
  CPPUNIT_TEST(testHeld_synRetransmission_isRankedByAgeOfFirstSyn);
  CPPUNIT_TEST(testHeld_callerWithoutRetransmissions_goesLast);
  CPPUNIT_TEST(testHeld_tooManyAhead_isRefusedBeforeItExpires);
  CPPUNIT_TEST(testHeld_releaseOrderOff_goesByArrival);
  CPPUNIT_TEST(testPacket_ofUnknownFlow_isSearchedAndThenKnown);
  CPPUNIT_TEST(testSearch_unsureAgent_getsThePacket);
  CPPUNIT_TEST(testSearch_allAgentsDeny_resetsAtAcknowledgement);
  CPPUNIT_TEST(testSearch_manyFlowsAtOnce_shareQueries);
  CPPUNIT_TEST(testSearch_expectedAgentSilent_doesNotDelayQueries);
  CPPUNIT_TEST(testSearch_oneAgentSilent_doesNotReset);
  CPPUNIT_TEST(testSearch_justAfterStart_doesNotReset);
  CPPUNIT_TEST(testSearch_afterCommonStart_resetsWithoutSettling);
  CPPUNIT_TEST(testSearch_agentsComeOneAfterTheOther_endsWithTheLastOne);
  CPPUNIT_TEST(testSearch_agentOfStoreRecordNotHeard_blocksReset);
  CPPUNIT_TEST(testSearch_agentSilentTowardsThisNodeOnly_doesNotReset);
  CPPUNIT_TEST(testSearch_agentLost_resetsIdempotentFlowsOnly);
  CPPUNIT_TEST(testSearch_agentKnownToOthersOnly_isAskedBeforeReset);
  CPPUNIT_TEST(testSearch_othersNameNoFurtherAgent_resetsOnceConfirmed);
  CPPUNIT_TEST(testPacket_noTriedAgentClaimsTheFlow_isSearched);
  CPPUNIT_TEST(testReturn_flowNotHeld_goesToSecondAcceptingAgent);
  CPPUNIT_TEST(testAgentLost_idempotentFlows_areReset);
  CPPUNIT_TEST(testAgentLost_flowOpenElsewhere_isFoundThere);
  CPPUNIT_TEST(testAgentSilent_lessThanLostTime_keepsOpenFlows);
  CPPUNIT_TEST(testSearch_withoutConfiguration_findsOpenFlows);
  CPPUNIT_TEST(testShutdown_synsHeld_areRefused);
  CPPUNIT_TEST(testShutdown_flowsSearched_countAsHeldPackets);
  CPPUNIT_TEST(testSearch_manyUnsureAgents_onlyCandidatesGetThePacket);
  CPPUNIT_TEST(testSearch_manyUnsureAgents_getThePacketOneAfterTheOther);
  CPPUNIT_TEST(testSearch_allFlowsMoved_areFoundWithOneRoundOfQueries);
  CPPUNIT_TEST(testCandidates_oneAgentMore_keepsOrderOfOthers);
  CPPUNIT_TEST(testSyn_oldLoadFigures_queriesCandidatesAndTakesTheLeastLoaded);
  CPPUNIT_TEST(testSyn_candidateSilent_isPlacedElsewhereInTime);
  CPPUNIT_TEST(testSyn_nearCandidatesBusy_considersFurtherOnes);
  CPPUNIT_TEST(testRemovedRoute_openFlow_staysAtItsAgent);
  CPPUNIT_TEST_SUITE_END();

  struct Node {
    explicit Node(common::TimePoint StartedAt = RelayStart - 60s,
                  relay::policy::Mechanisms InUse = {})
        : Directory("a", 1, InUse), Steering(BalancerOne, Directory, StartedAt, InUse) {
      Steering.setRoutes(relayRoutes());
      Steering.setRoutesCurrent(true);
      for (const auto Agent : {AgentOne, AgentTwo})
        report(Agent);
      auto Intake = agentReport(1);
      Intake.Service = "intake";
      (void)Directory.onReport(AgentThree, Intake, RelayStart);
    }
    void report(relay::NodeAddress Agent, std::uint64_t Number = 1,
                common::TimePoint Now = RelayStart) {
      (void)Directory.onReport(Agent, agentReport(Number), Now);
    }
    SteeringActions send(const relay::PacketHeader &Head, common::TimePoint Now = RelayStart) {
      const relay::Bytes Raw{1, 2, 3};
      return Steering.onPacket(Head, Raw, Now);
    }
    /// Opens a flow. Returns the agent that holds it.
    relay::NodeAddress open(const packet::FlowKey &Key) {
      const auto Placed = send(firstPacket(Key));
      (void)Steering.onFlowNotice({Key, {}}, Placed.at(0).Agent, RelayStart);
      (void)send(callerData(Key, 77));
      return Placed[0].Agent;
    }
    SteeringActions returnPacket(const relay::PacketHeader &Head, ReturnReason Reason,
                                 relay::NodeAddress From, std::uint32_t Unanswered = 0,
                                 common::TimePoint Now = RelayStart) {
      return Steering.onReturned(Head, {Reason, {Unanswered, 0}, {1, 2, 3}}, From, Now);
    }
    SteeringActions deny(const packet::FlowKey &Key, relay::NodeAddress From,
                         common::TimePoint Now = RelayStart) {
      return Steering.onAbsence({Key}, From, Now);
    }

    /// Calls AnswerQuery for each query that is due on a tick of 20 ms, up to Until. Returns all
    /// actions except queries.
    template <typename F>
    SteeringActions answerQueriesUntil(common::TimePoint Until, F &&AnswerQuery,
                                       common::TimePoint Now = RelayStart) {
      SteeringActions All;
      const auto Append = [&All](const SteeringActions &More) {
        for (const auto &Action : More)
          All.push_back(Action);
      };
      for (; Now < Until; Now += 20ms) {
        SteeringActions Resets;
        for (const auto &Query : Steering.takeFlowQueries(Now, Resets))
          Append(AnswerQuery(Query, Now));
        Append(Resets);
        Append(Steering.onTimer(Now));
      }
      return All;
    }
    SteeringActions answer(const relay::FlowSearch::Question &Query, common::TimePoint Now,
                           std::vector<std::uint8_t> HeldRows = {},
                           std::vector<std::uint8_t> UnsureRows = {}) {
      return Steering.onAnswer({Query.Message.Id, std::move(HeldRows), std::move(UnsureRows)},
                               Query.Agent, Now);
    }
    /// Lets all agents deny all queried flows, except Silent, which doesn't answer.
    SteeringActions denyAll(relay::NodeAddress Silent = 0, common::Duration For = 1s) {
      return answerQueriesUntil(RelayStart + For, [&](const auto &Query, common::TimePoint Now) {
        return Query.Agent == Silent ? SteeringActions{} : answer(Query, Now);
      });
    }

    UpstreamDirectory Directory;
    FlowSteering Steering;
  };

  /// A balancer that knows many agents of the service desk.
  struct Fleet : Node {
    explicit Fleet(std::size_t Agents) {
      for (const auto Agent : {AgentOne, AgentTwo}) {
        auto Ended = agentReport(2);
        Ended.State = relay::UpstreamState::Ended;
        (void)Directory.onReport(Agent, Ended, RelayStart);
      }
      for (std::size_t I = 0; I < Agents; ++I)
        report(address(I));
    }
    static relay::NodeAddress address(std::size_t I) {
      return 0x0a030000U + static_cast<relay::NodeAddress>(I);
    }
  };

  static std::set<relay::NodeAddress> targets(const SteeringActions &Actions) {
    std::set<relay::NodeAddress> Agents;
    for (const auto &Action : Actions)
      if (Action.Operation == Kind::Forward)
        Agents.insert(Action.Agent);
    return Agents;
  }

public:
  void testSyn_knownRoute_goesToAgentOfItsService() {
    Node Balancer;
    const auto Placed = Balancer.send(firstPacket(relayKey(1, IntakeAddress)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Placed.size());
    CPPUNIT_ASSERT_EQUAL(AgentThree, Placed[0].Agent);
    CPPUNIT_ASSERT_EQUAL(relay::serviceDigest("intake"), Placed[0].TransitFields.ServiceDigest);
    CPPUNIT_ASSERT_EQUAL(BalancerOne, Placed[0].TransitFields.Balancer);
  }

  void testSyn_withoutRoute_isResetOnceRoutesAreCurrent() {
    Node Balancer;
    const auto Unknown = firstPacket(relayKey(1, {1, 1}));
    CPPUNIT_ASSERT(Balancer.send(Unknown)[0].Operation == Kind::Reset);
    Balancer.Steering.setRoutesCurrent(false);
    CPPUNIT_ASSERT(Balancer.send(Unknown)[0].Operation == Kind::Drop);
    CPPUNIT_ASSERT(Balancer.send(firstPacket(relayKey(1, {1, 1}), 1))[0].Operation == Kind::Reset);
  }

  void testSyn_withoutUpstream_isResetAtOnce() {
    Node Balancer;
    auto Draining = agentReport(2);
    Draining.State = relay::UpstreamState::Draining;
    for (const auto Agent : {AgentOne, AgentTwo})
      (void)Balancer.Directory.onReport(Agent, Draining, RelayStart);
    const auto Refused = Balancer.send(firstPacket(relayKey(1)));
    CPPUNIT_ASSERT(Refused[0].Operation == Kind::Reset);
    CPPUNIT_ASSERT(Refused[0].Reason == SteeringReason::NoUpstream);
  }

  /// Makes both upstreams of desk full.
  static void fill(Node &Balancer, common::TimePoint Now) {
    for (const auto Agent : {AgentOne, AgentTwo})
      Balancer.Directory.onLoad(Agent, {relay::requestLimit(2), 0}, Now);
  }

  /// Returns the caller ports of held flows in the order in which they are placed from 300 ms on,
  /// with capacity for one flow at a time. The latency objective is 200 ms.
  static std::vector<std::uint16_t> releaseOrder(Node &Balancer) {
    std::vector<std::uint16_t> Order;
    for (common::TimePoint Now = RelayStart + 300ms; Now < RelayStart + 400ms; Now += 30ms) {
      Balancer.Directory.onLoad(AgentTwo, {relay::requestLimit(2) - 1, 0}, Now);
      for (const auto &Action : Balancer.Steering.onTimer(Now))
        if (Action.Operation == Kind::Forward && Action.Reason == SteeringReason::Placed)
          Order.push_back(Action.Key.Caller.Port);
    }
    return Order;
  }

  void testSyn_allUpstreamsFull_waitsForCapacity() {
    Node Balancer;
    fill(Balancer, RelayStart);
    const auto Held = Balancer.send(firstPacket(relayKey(1)));
    CPPUNIT_ASSERT(Held[0].Operation == Kind::Drop && Held[0].Reason == SteeringReason::Held);
    CPPUNIT_ASSERT(Balancer.Steering.onTimer(RelayStart + 20ms).empty());
    Balancer.Directory.onLoad(AgentTwo, {1, 0}, RelayStart + 30ms);
    const auto Placed = Balancer.Steering.onTimer(RelayStart + 40ms);
    CPPUNIT_ASSERT(Placed.size() == 1 && Placed[0].Agent == AgentTwo);
  }

  void testHeld_flowsThatCanBeInTime_goFirst() {
    Node Balancer;
    fill(Balancer, RelayStart);
    (void)Balancer.send(firstPacket(relayKey(1)), RelayStart);
    (void)Balancer.send(firstPacket(relayKey(2)), RelayStart + 250ms);
    (void)Balancer.send(firstPacket(relayKey(3)), RelayStart + 260ms);
    CPPUNIT_ASSERT((releaseOrder(Balancer) == std::vector<std::uint16_t>{3, 2, 1}));
  }

  // Guards against a retransmitted SYN being ranked by its own arrival: after a power cut,
  // retransmissions of SYNs sent before the balancers' start were placed ahead of callers that
  // could still be served in time (seen in nkabom-relay trouble-2).
  void testHeld_synRetransmission_isRankedByAgeOfFirstSyn() {
    Node Balancer;
    fill(Balancer, RelayStart + 200ms);
    (void)Balancer.send(firstPacket(relayKey(1)), RelayStart + 200ms);
    (void)Balancer.send(firstPacket(relayKey(2), 2), RelayStart + 260ms);
    (void)Balancer.send(firstPacket(relayKey(3), 1), RelayStart + 270ms);
    CPPUNIT_ASSERT((releaseOrder(Balancer) == std::vector<std::uint16_t>{1, 2, 3}));
  }

  void testHeld_callerWithoutRetransmissions_goesLast() {
    Node Balancer;
    fill(Balancer, RelayStart);
    (void)Balancer.send(firstPacket(relayKey(1)), RelayStart - 60ms);
    (void)Balancer.send(firstPacket(relayKey(2)), RelayStart - 50ms);
    (void)Balancer.send(firstPacket(relayKey(2), 1), RelayStart + 150ms);
    CPPUNIT_ASSERT((releaseOrder(Balancer) == std::vector<std::uint16_t>{2, 1}));
  }

  void testHeld_releaseOrderOff_goesByArrival() {
    Node Balancer(RelayStart - 60s,
                  relay::policy::Mechanisms().without(relay::policy::Mechanism::ReleaseOrder));
    fill(Balancer, RelayStart);
    for (const std::uint16_t Port : {1, 2, 3})
      (void)Balancer.send(firstPacket(relayKey(Port)), RelayStart + 10ms * Port);
    CPPUNIT_ASSERT((releaseOrder(Balancer) == std::vector<std::uint16_t>{1, 2, 3}));
  }

  // Two slots come free every 30 ms for 150 flows: the last ones can't be placed within 1.2 s.
  void testHeld_tooManyAhead_isRefusedBeforeItExpires() {
    Node Balancer;
    fill(Balancer, RelayStart);
    for (std::uint16_t Port = 1; Port <= 150; ++Port)
      (void)Balancer.send(firstPacket(relayKey(Port)), RelayStart);
    std::size_t Refused = 0;
    std::size_t Placed = 0;
    for (auto Now = RelayStart; Now < RelayStart + 600ms; Now += 30ms) {
      for (std::uint16_t Port = 1; Now == RelayStart + 210ms && Port <= 150; ++Port)
        (void)Balancer.send(firstPacket(relayKey(Port), 1), Now);
      Balancer.Directory.onLoad(AgentTwo, {relay::requestLimit(2) - 2, 0}, Now);
      for (const auto &Action : Balancer.Steering.onTimer(Now)) {
        Refused += Action.Operation == Kind::Reset ? 1 : 0;
        Placed += Action.Operation == Kind::Forward ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT(Placed > 10);
    // Even at RateMargin times the measured rate not all flows can be placed in the time left.
    CPPUNIT_ASSERT(Refused >= 30 && Refused + Placed < 150);
  }

  void testHeld_urgentFlows_goBeforeOthersInTime() {
    Node Balancer;
    fill(Balancer, RelayStart);
    (void)Balancer.send(firstPacket(relayKey(1, OrdersAddress)), RelayStart);
    (void)Balancer.send(firstPacket(relayKey(2, OrdersAddress)), RelayStart + 250ms);
    (void)Balancer.send(firstPacket(relayKey(3)), RelayStart + 260ms);
    CPPUNIT_ASSERT((releaseOrder(Balancer) == std::vector<std::uint16_t>{2, 3, 1}));
  }

  void testSyn_whileUrgentFlowsWait_doesNotOvertakeThem() {
    Node Balancer;
    fill(Balancer, RelayStart);
    (void)Balancer.send(firstPacket(relayKey(1, OrdersAddress)), RelayStart);
    // Capacity for one flow.
    Balancer.Directory.onLoad(AgentTwo, {relay::requestLimit(2) - 1, 0}, RelayStart + 30ms);
    const auto Next = Balancer.send(firstPacket(relayKey(2)), RelayStart + 30ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Next.size());
    CPPUNIT_ASSERT(Next[0].Operation == Kind::Forward && Next[0].Key == relayKey(1, OrdersAddress));
    CPPUNIT_ASSERT(Next[1].Operation == Kind::Drop && Next[1].Key == relayKey(2));
  }

  void testHeld_holdTimeoutExpires_isRefused() {
    Node Balancer;
    fill(Balancer, RelayStart);
    (void)Balancer.send(firstPacket(relayKey(1)));
    common::TimePoint Now = RelayStart;
    SteeringActions Last;
    for (; Last.empty() && Now < RelayStart + 2s; Now += 20ms) {
      if (Now == RelayStart + 200ms || Now == RelayStart + 600ms)
        (void)Balancer.send(firstPacket(relayKey(1), Now < RelayStart + 400ms ? 1 : 2), Now);
      fill(Balancer, Now);
      Balancer.report(AgentOne, 2 + static_cast<std::uint64_t>((Now - RelayStart).count()), Now);
      fill(Balancer, Now);
      Last = Balancer.Steering.onTimer(Now);
    }
    CPPUNIT_ASSERT(Last.size() == 1 && Last[0].Operation == Kind::Reset);
    CPPUNIT_ASSERT(Last[0].Reason == SteeringReason::Overloaded);
    CPPUNIT_ASSERT(Now < RelayStart + relay::CallerConnectTimeout);
  }

  // Guards against the reset of a flow that its caller has opened through another balancer.
  void testHeld_callerWithoutRetransmissions_isNotReset() {
    Node Balancer;
    fill(Balancer, RelayStart);
    (void)Balancer.send(firstPacket(relayKey(1)));
    SteeringActions Last;
    for (auto Now = RelayStart; Last.empty() && Now < RelayStart + 2s; Now += 20ms) {
      fill(Balancer, Now);
      Last = Balancer.Steering.onTimer(Now);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countActions(Last, Kind::Reset));
    CPPUNIT_ASSERT(Last.size() == 1 && Last[0].Reason == SteeringReason::CallerGone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Balancer.Steering.flows());
  }

  // Guards against a shutdown that leaves callers of held flows waiting. Callers retransmit their
  // SYN after 200 and 600 ms, so that a balancer from which routers had moved traffic away received
  // nothing for 400 ms and ended while it still held flows.
  void testShutdown_synsHeld_areRefused() {
    Node Balancer;
    fill(Balancer, RelayStart);
    CPPUNIT_ASSERT(!Balancer.Steering.hasWaitingPackets());
    (void)Balancer.send(firstPacket(relayKey(1)));
    CPPUNIT_ASSERT(Balancer.Steering.hasWaitingPackets());
    const auto Refused = Balancer.Steering.refuseWaiting();
    CPPUNIT_ASSERT(Refused.size() == 1 && Refused[0].Operation == Kind::Reset);
    CPPUNIT_ASSERT(Refused[0].Key == relayKey(1));
    CPPUNIT_ASSERT(!Balancer.Steering.hasWaitingPackets());
    // A SYN that was sent to an agent may have been accepted.
    Balancer.Directory.onLoad(AgentOne, {}, RelayStart);
    (void)Balancer.send(firstPacket(relayKey(2)));
    CPPUNIT_ASSERT(Balancer.Steering.refuseWaiting().empty());
  }

  void testShutdown_flowsSearched_countAsHeldPackets() {
    Node Balancer;
    (void)Balancer.send(callerData(relayKey(1), 77));
    CPPUNIT_ASSERT(Balancer.Steering.hasWaitingPackets());
    (void)Balancer.denyAll();
    CPPUNIT_ASSERT(!Balancer.Steering.hasWaitingPackets());
  }

  void testSyn_justAfterStart_isNotRefused() {
    UpstreamDirectory Nobody("a", 1);
    FlowSteering NewBalancer(BalancerOne, Nobody, RelayStart);
    NewBalancer.setRoutes(relayRoutes());
    const relay::Bytes Raw{1};
    CPPUNIT_ASSERT(NewBalancer.onPacket(firstPacket(relayKey(1)), Raw, RelayStart)[0].Operation ==
                   Kind::Drop);
  }

  void testSynRetransmission_notYetAccepted_goesToAnotherAgent() {
    Node Balancer;
    const auto First = Balancer.send(firstPacket(relayKey(1)))[0].Agent;
    const auto Retransmitted = Balancer.send(firstPacket(relayKey(1), 1), RelayStart + 50ms);
    CPPUNIT_ASSERT(Retransmitted[0].Operation == Kind::Forward && Retransmitted[0].Agent != First);
  }

  void testSynRetransmission_ofAcceptedFlow_goesToTheSameAgent() {
    Node Balancer;
    const auto Agent = Balancer.open(relayKey(1));
    const auto Retransmitted = Balancer.send(firstPacket(relayKey(1), 1), RelayStart + 200ms);
    CPPUNIT_ASSERT_EQUAL(Agent, Retransmitted[0].Agent);
    CPPUNIT_ASSERT_EQUAL(relay::serviceDigest("desk"),
                         Retransmitted[0].TransitFields.ServiceDigest);
  }

  /// Routes that send the flows of DeskAddress to "intake", or without DeskAddress.
  static std::shared_ptr<const relay::RouteTable> changedRoutes(bool Dropped) {
    relay::Configuration Config;
    Config.Number = 2;
    if (!Dropped)
      Config.Routes.push_back({"desk", DeskAddress, {{"intake", 1}}, true, 3s, 200ms, 1});
    return std::make_shared<const relay::RouteTable>(std::move(Config));
  }

  static relay::PacketHeader laterSyn(const packet::FlowKey &Key) {
    auto Head = firstPacket(Key);
    Head.Sequence = 70'000;
    return Head;
  }

  // Guards against a SYN being taken for a copy because its port had another flow before: it went
  // to the agent of that flow, whatever the agent's service and the route were (review/1).
  void testSyn_ofPortUsedAgain_isPlacedByItsRoute() {
    const auto Search = [](Node &Balancer) { (void)Balancer.send(callerData(relayKey(1), 77)); };
    const auto Open = [](Node &Balancer) { (void)Balancer.open(relayKey(1)); };
    const auto Notice = [](Node &Balancer) {
      (void)Balancer.Steering.onFlowNotice({relayKey(1), {}}, AgentOne, RelayStart);
    };
    const auto End = [](Node &Balancer) {
      (void)Balancer.open(relayKey(1));
      auto Fin = callerData(relayKey(1), 77, 1100, 0);
      Fin.Flags.Fin = true;
      (void)Balancer.send(Fin);
    };
    const auto Offer = [](Node &Balancer) { (void)Balancer.send(firstPacket(relayKey(1))); };
    const std::vector<std::pair<const char *, std::function<void(Node &)>>> Earlier{
        {"open", Open},
        {"opening", Offer},
        {"ended", End},
        {"named", Notice},
        {"searched", Search}};
    for (const auto &[Name, Prepare] : Earlier) {
      Node Balancer;
      Prepare(Balancer);
      const auto Placed = Balancer.send(laterSyn(relayKey(1)));
      CPPUNIT_ASSERT_MESSAGE(Name, Placed[0].Operation == Kind::Forward);
      CPPUNIT_ASSERT_MESSAGE(Name, Placed[0].Reason == SteeringReason::Placed);
      CPPUNIT_ASSERT_MESSAGE(Name,
                             Placed[0].TransitFields.ServiceDigest == relay::serviceDigest("desk"));
      for (const bool Dropped : {false, true}) {
        Node Changed;
        Prepare(Changed);
        Changed.Steering.setRoutes(changedRoutes(Dropped));
        const auto Steered = Changed.send(laterSyn(relayKey(1)));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, std::size_t{1}, Steered.size());
        if (Dropped)
          CPPUNIT_ASSERT_MESSAGE(Name, Steered[0].Reason == SteeringReason::NoRoute);
        else
          CPPUNIT_ASSERT_MESSAGE(Name, Steered[0].Agent == AgentThree);
      }
    }
  }

  void testSyn_ofPortUsedAgain_replacesWaitingFlow() {
    Node Balancer;
    fill(Balancer, RelayStart);
    (void)Balancer.send(firstPacket(relayKey(1)));
    (void)Balancer.send(laterSyn(relayKey(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Balancer.Steering.flows());
    Balancer.Directory.onLoad(AgentTwo, {0, 0}, RelayStart + 30ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         countActions(Balancer.Steering.onTimer(RelayStart + 40ms), Kind::Forward));
    // Packets of a flow that was searched are dropped with it.
    Node Searching;
    (void)Searching.send(callerData(relayKey(1), 77));
    (void)Searching.send(laterSyn(relayKey(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Searching.Steering.searches());
  }

  void testSyn_ofPortUsedAgain_ignoresMessagesAboutEarlierFlow() {
    Node Balancer;
    const auto First = Balancer.send(firstPacket(relayKey(1))).at(0).Agent;
    (void)Balancer.send(laterSyn(relayKey(1)), RelayStart + 10ms);
    const auto Due = RelayStart + relay::PlacementTimeout;
    CPPUNIT_ASSERT(
        Balancer.returnPacket(firstPacket(relayKey(1)), ReturnReason::Refused, First, 0, Due - 1ms)
            .empty());
    // The time to place the earlier flow again isn't that of the later one.
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         countActions(Balancer.Steering.onTimer(Due), Kind::Forward));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         countActions(Balancer.Steering.onTimer(Due + 10ms), Kind::Forward));
  }

  // Guards against a flow that opens at the service that its route had when the first SYN arrived.
  void testSynRetransmission_routeChanged_followsTheRoute() {
    for (const bool Dropped : {false, true}) {
      Node Balancer;
      (void)Balancer.send(firstPacket(relayKey(1)));
      Balancer.Steering.setRoutes(changedRoutes(Dropped));
      const auto Steered = Balancer.send(firstPacket(relayKey(1), 1), RelayStart + 50ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Steered.size());
      if (Dropped) {
        CPPUNIT_ASSERT(Steered[0].Operation == Kind::Reset);
        CPPUNIT_ASSERT(Steered[0].Reason == SteeringReason::NoRoute);
        continue;
      }
      CPPUNIT_ASSERT_EQUAL(AgentThree, Steered[0].Agent);
      CPPUNIT_ASSERT_EQUAL(relay::serviceDigest("intake"), Steered[0].TransitFields.ServiceDigest);
    }
  }

  void testHeld_routeChanged_followsTheRoute() {
    for (const bool Dropped : {false, true}) {
      Node Balancer;
      fill(Balancer, RelayStart);
      (void)Balancer.send(firstPacket(relayKey(1)));
      Balancer.Steering.setRoutes(changedRoutes(Dropped));
      const auto Steered = Balancer.Steering.onTimer(RelayStart + 20ms);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Steered.size());
      CPPUNIT_ASSERT(Dropped ? Steered[0].Reason == SteeringReason::NoRoute
                             : Steered[0].Agent == AgentThree);
    }
  }

  void testPlacement_unanswered_isRepeatedBeforeTheRetransmission() {
    Node Balancer;
    const auto First = Balancer.send(firstPacket(relayKey(1)))[0].Agent;
    const auto Due = RelayStart + relay::PlacementTimeout;
    CPPUNIT_ASSERT(Due < RelayStart + 200ms);
    CPPUNIT_ASSERT(Balancer.Steering.onTimer(Due - 1ms).empty());
    const auto Again = Balancer.Steering.onTimer(Due);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Again.size());
    CPPUNIT_ASSERT(Again[0].Agent != First && Again[0].SavedPacket->size() == 3);
  }

  // Guards against a SYN that is sent to a third agent while the second one is about to accept it.
  void testPlacement_checkOfEarlierAgent_doesNotConcernTheNext() {
    Node Balancer;
    Balancer.report(0x0a020004);
    const auto Head = firstPacket(relayKey(1));
    const auto First = Balancer.send(Head)[0].Agent;
    const auto Due = RelayStart + relay::PlacementTimeout;
    const auto Second =
        Balancer.returnPacket(Head, ReturnReason::Refused, First, 0, Due - 1ms).at(0);
    CPPUNIT_ASSERT(Second.Operation == Kind::Forward);
    CPPUNIT_ASSERT(Balancer.Steering.onTimer(Due).empty());
    const auto SecondDue = Due - 1ms + relay::PlacementTimeout;
    CPPUNIT_ASSERT(countActions(Balancer.Steering.onTimer(SecondDue), Kind::QueryLoad) > 0);
    const auto Third = Balancer.Steering.onTimer(SecondDue + relay::AnswerTimeout + 1ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countActions(Third, Kind::Forward));
  }

  void testReturn_allAgentsRefuse_resets() {
    Node Balancer;
    const auto Head = firstPacket(relayKey(1));
    const auto First = Balancer.send(Head)[0].Agent;
    const auto Second = Balancer.returnPacket(Head, ReturnReason::Refused, First);
    CPPUNIT_ASSERT(Second[0].Operation == Kind::Forward && Second[0].Agent != First);
    const auto Last = Balancer.returnPacket(Head, ReturnReason::Refused, Second[0].Agent);
    CPPUNIT_ASSERT(Last[0].Operation == Kind::Reset);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Balancer.Steering.flows());
  }

  void testReturn_allBusy_insistsOnTheLeastBusy() {
    Node Balancer;
    const auto Head = firstPacket(relayKey(1));
    const auto First = Balancer.send(Head)[0].Agent;
    const auto Second = Balancer.returnPacket(Head, ReturnReason::Busy, First, 3);
    const auto Last = Balancer.returnPacket(Head, ReturnReason::Busy, Second[0].Agent, 5);
    CPPUNIT_ASSERT(Last[0].Operation == Kind::Forward && Last[0].TransitFields.Insist);
    CPPUNIT_ASSERT_EQUAL(First, Last[0].Agent);
  }

  void testPacket_ofUnknownFlow_isSearchedAndThenKnown() {
    Node Balancer;
    const auto Data = callerData(relayKey(1), 77);
    CPPUNIT_ASSERT(Balancer.send(Data)[0].Operation == Kind::Drop);
    SteeringActions Resets;
    const auto Queries = Balancer.Steering.takeFlowQueries(RelayStart, Resets);
    // At first only agents of the flow's service are queried.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Queries.size());
    for (const auto &Query : Queries) {
      CPPUNIT_ASSERT(Query.Agent == AgentOne || Query.Agent == AgentTwo);
      CPPUNIT_ASSERT(Query.Message.Rows.size() == 1 && Query.Message.Rows[0].Key == relayKey(1));
    }
    (void)Balancer.send(Data);
    const auto Forwarded = Balancer.answer(Queries[1], RelayStart, {0});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, countActions(Forwarded, Kind::Forward));
    CPPUNIT_ASSERT((targets(Forwarded) == std::set{Queries[1].Agent}));
    CPPUNIT_ASSERT((targets(Balancer.send(Data)) == std::set{Queries[1].Agent}));
  }

  void testSearch_unsureAgent_getsThePacket() {
    Node Balancer;
    (void)Balancer.send(callerData(relayKey(1), 77));
    SteeringActions UnsureActions;
    const auto Last = Balancer.answerQueriesUntil(
        RelayStart + 1s, [&](const auto &Query, common::TimePoint Now) -> SteeringActions {
          if (Query.Agent != AgentTwo)
            return Balancer.answer(Query, Now);
          UnsureActions = Balancer.answer(Query, Now, {}, {0});
          return Balancer.deny(relayKey(1), AgentTwo, Now);
        });
    CPPUNIT_ASSERT(UnsureActions.size() == 1 && UnsureActions[0].Agent == AgentTwo &&
                   UnsureActions[0].TransitFields.Search);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countActions(Last, Kind::Reset));
  }

  void testSearch_allAgentsDeny_resetsAtAcknowledgement() {
    Node Balancer;
    (void)Balancer.send(callerData(relayKey(1), 77));
    const auto Last = Balancer.denyAll();
    CPPUNIT_ASSERT(Last.size() == 1 && Last[0].Operation == Kind::Reset);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{77}, Last[0].Sequence);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Balancer.Steering.flows());
  }

  void testSearch_oneAgentSilent_doesNotReset() {
    for (const auto Silent : {AgentOne, AgentTwo, AgentThree}) {
      Node Balancer;
      (void)Balancer.send(callerData(relayKey(1), 77));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countActions(Balancer.denyAll(Silent), Kind::Reset));
    }
  }

  void testSearch_justAfterStart_doesNotReset() {
    Node Balancer(RelayStart);
    (void)Balancer.send(callerData(relayKey(1), 77));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countActions(Balancer.denyAll(), Kind::Reset));
  }

  // Guards against a delayed reset after a power cut: every earlier flow waited 300 ms for its
  // reset, and all callers then reconnected at once (seen in nkabom-relay trouble-1).
  void testSearch_afterCommonStart_resetsWithoutSettling() {
    const auto ResetsWith = [](common::Duration ColdOfLast) {
      Node Balancer(RelayStart);
      std::uint64_t Upstream = 100;
      for (const auto Agent : {AgentOne, AgentTwo, AgentThree}) {
        auto Report = agentReport(2);
        Report.Service = Agent == AgentThree ? "intake" : "desk";
        Report.UpstreamIncarnation = ++Upstream;
        Report.ColdFor = Agent == AgentThree ? ColdOfLast : 2s;
        (void)Balancer.Directory.onReport(Agent, Report, RelayStart);
      }
      Balancer.Steering.noteAgentsListed(RelayStart);
      (void)Balancer.send(callerData(relayKey(1), 77));
      return countActions(Balancer.denyAll(0, relay::AgentListSettleTime - 20ms), Kind::Reset);
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ResetsWith(2s));
    // The last upstream is not cold: only some upstreams have restarted, and flows may still be
    // held.
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ResetsWith(0s));
  }

  // Guards against searches that go on for seconds after a loss of everything, and against the
  // reset of a flow whose upstream has survived it and reports last.
  void testSearch_agentsComeOneAfterTheOther_endsWithTheLastOne() {
    constexpr std::size_t Agents = 10;
    constexpr auto Apart = 50ms;
    for (const bool LastSurvived : {false, true}) {
      UpstreamDirectory Directory("a", 1);
      FlowSteering Balancer(BalancerOne, Directory, RelayStart);
      Balancer.setRoutes(relayRoutes());
      for (std::size_t I = 0; I < Agents; ++I)
        Directory.noteExpected(Fleet::address(I), RelayStart);
      Balancer.noteAgentsListed(RelayStart);
      const relay::Bytes Raw{1, 2, 3};
      (void)Balancer.onPacket(callerData(relayKey(1), 77), Raw, RelayStart);
      const auto Last = Fleet::address(Agents - 1);
      std::size_t Started = 0;
      std::size_t Resets = 0;
      const auto Count = [&](const SteeringActions &Actions) {
        Resets += countActions(Actions, Kind::Reset);
      };
      auto Now = RelayStart;
      for (; Now < RelayStart + Agents * Apart + 300ms; Now += 10ms) {
        if (Started < Agents && Now >= RelayStart + Started * Apart) {
          auto Report = agentReport(1);
          Report.UpstreamIncarnation = 100 + Started;
          Report.ColdFor = LastSurvived && Started == Agents - 1 ? 0ms : 2000ms;
          (void)Directory.onReport(Fleet::address(Started++), Report, Now);
        }
        SteeringActions Actions;
        for (const auto &Query : Balancer.takeFlowQueries(Now, Actions)) {
          if (Query.Agent >= Fleet::address(Started))
            continue; // It has not started yet.
          const bool Holds = LastSurvived && Query.Agent == Last;
          Count(
              Balancer.onAnswer({Query.Message.Id,
                                 Holds ? std::vector<std::uint8_t>{0} : std::vector<std::uint8_t>{},
                                 {}},
                                Query.Agent, Now));
        }
        Count(Actions);
        Count(Balancer.onTimer(Now));
        CPPUNIT_ASSERT(Resets == 0 || Started == Agents);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{LastSurvived ? 0U : 1U}, Resets);
      CPPUNIT_ASSERT_EQUAL(LastSurvived ? Last : 0, Balancer.agentOf(relayKey(1)));
    }
  }

  /// Leaves queries to AgentOne unanswered until it is lost, or silent for as long. Returns the
  /// time.
  static common::TimePoint silenceAgentOne(Node &Balancer, std::size_t OtherBalancers) {
    auto Now = RelayStart;
    Balancer.Directory.noteQuery(AgentOne, Now);
    for (; Now < RelayStart + 2s; Now += 20ms) {
      (void)Balancer.Directory.takeRepeatedQueries(Now);
      for (const auto Agent : {AgentTwo, AgentThree})
        Balancer.Directory.onHeard(Agent, Now);
      (void)Balancer.Directory.takeLost(OtherBalancers, Now);
    }
    return Now;
  }

  /// Searches a flow from a time on. All agents deny it, except AgentOne, which doesn't answer.
  static std::size_t resetsWithoutAgentOne(Node &Balancer, const packet::FlowKey &Key,
                                           common::TimePoint From) {
    (void)Balancer.send(callerData(Key, 77), From);
    const auto Actions = Balancer.answerQueriesUntil(
        From + 500ms,
        [&](const auto &Query, common::TimePoint Now) {
          return Query.Agent == AgentOne ? SteeringActions{} : Balancer.answer(Query, Now);
        },
        From);
    return countActions(Actions, Kind::Reset);
  }

  // Guards against a reset by a balancer whose own link to the flow's agent is cut.
  void testSearch_agentSilentTowardsThisNodeOnly_doesNotReset() {
    Node Balancer;
    const auto Now = silenceAgentOne(Balancer, 4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, resetsWithoutAgentOne(Balancer, relayKey(1), Now));
  }

  // Guards against the reset of an order whose upstream runs while its agent is restarting.
  void testSearch_agentLost_resetsIdempotentFlowsOnly() {
    Node Balancer;
    const auto Now = silenceAgentOne(Balancer, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, resetsWithoutAgentOne(Balancer, relayKey(1), Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         resetsWithoutAgentOne(Balancer, relayKey(2, OrdersAddress), Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, resetsWithoutAgentOne(Balancer, relayKey(3, OrdersAddress),
                                                               Now + relay::LostHolderRetention));
  }

  // Guards against the reset of an open flow by a balancer that doesn't know the flow's agent.
  void testSearch_agentKnownToOthersOnly_isAskedBeforeReset() {
    constexpr relay::NodeAddress Missed = 0x0a020009;
    Node Balancer;
    Balancer.Steering.setSurveyPossible(true);
    (void)Balancer.send(callerData(relayKey(1), 77));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countActions(Balancer.denyAll(), Kind::Reset));
    CPPUNIT_ASSERT(Balancer.Steering.needsHolderSurvey());
    const auto Later = RelayStart + 1s;
    (void)Balancer.Directory.noteHolders(std::vector<relay::KnownAgent>{{Missed, 1, 1}}, Later);
    Balancer.Steering.onHoldersConfirmed(Later);
    const auto Forwarded = Balancer.answerQueriesUntil(
        Later + 200ms,
        [&](const auto &Query, common::TimePoint Now) {
          return Query.Agent == Missed ? Balancer.answer(Query, Now, {0})
                                       : Balancer.answer(Query, Now);
        },
        Later);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countActions(Forwarded, Kind::Reset));
    CPPUNIT_ASSERT((targets(Forwarded) == std::set{Missed}));
  }

  void testSearch_othersNameNoFurtherAgent_resetsOnceConfirmed() {
    Node Balancer;
    Balancer.Steering.setSurveyPossible(true);
    (void)Balancer.send(callerData(relayKey(1), 77));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countActions(Balancer.denyAll(), Kind::Reset));
    // Answers to a query that was sent before the search say nothing about its flow.
    Balancer.Steering.onHoldersConfirmed(RelayStart - 1ms);
    CPPUNIT_ASSERT(Balancer.Steering.needsHolderSurvey());
    Balancer.Steering.onHoldersConfirmed(RelayStart + 1s);
    CPPUNIT_ASSERT(!Balancer.Steering.needsHolderSurvey());
    const auto Resets = Balancer.answerQueriesUntil(
        RelayStart + 1100ms,
        [&](const auto &Query, common::TimePoint Now) { return Balancer.answer(Query, Now); },
        RelayStart + 1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countActions(Resets, Kind::Reset));
  }

  void testSearch_agentOfStoreRecordNotHeard_blocksReset() {
    Node Balancer;
    constexpr relay::NodeAddress Unheard = 0x0a020009;
    Balancer.Directory.noteExpected(Unheard, RelayStart);
    (void)Balancer.send(callerData(relayKey(1), 77));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countActions(Balancer.denyAll(Unheard), Kind::Reset));
  }

  // Guards against one query per packet and agent: after a power cut of everything the packets of
  // all flows arrive at once, and such queries kept balancers busy for ten seconds (seen on
  // sunbox-relay-grown).
  void testSearch_manyFlowsAtOnce_shareQueries() {
    Node Balancer;
    constexpr std::uint16_t Count = 200;
    for (std::uint16_t Port = 1; Port <= Count; ++Port)
      (void)Balancer.send(callerData(relayKey(Port), 77));
    std::size_t Messages = 0;
    std::map<relay::NodeAddress, std::set<packet::FlowKey>> Asked;
    const auto Resets =
        Balancer.answerQueriesUntil(RelayStart + 1s, [&](const auto &Query, common::TimePoint Now) {
          ++Messages;
          for (const auto &Row : Query.Message.Rows)
            CPPUNIT_ASSERT(Asked[Query.Agent].insert(Row.Key).second);
          return Balancer.answer(Query, Now);
        });
    for (const auto Agent : {AgentOne, AgentTwo, AgentThree})
      CPPUNIT_ASSERT_EQUAL(std::size_t{Count}, Asked[Agent].size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3} * Count / relay::MaxQueriedFlows, Messages);
    CPPUNIT_ASSERT_EQUAL(std::size_t{Count}, countActions(Resets, Kind::Reset));
  }

  // Guards against agents that never answer slowing down searches: after a power cut of everything
  // the store still had records of two agents that were gone, and only three queries were sent
  // every 400 ms (seen in sunbox-relay-grown trouble-1).
  void testSearch_expectedAgentSilent_doesNotDelayQueries() {
    Node Balancer;
    Balancer.Directory.noteExpected(0x0a020009, RelayStart);
    constexpr std::uint16_t Count = 400;
    for (std::uint16_t Port = 1; Port <= Count; ++Port)
      (void)Balancer.send(callerData(relayKey(Port), 77));
    std::set<packet::FlowKey> Asked;
    (void)Balancer.answerQueriesUntil(
        RelayStart + 400ms, [&](const auto &Query, common::TimePoint Now) -> SteeringActions {
          if (Query.Agent == 0x0a020009)
            return {};
          for (const auto &Row : Query.Message.Rows)
            Asked.insert(Row.Key);
          return Balancer.answer(Query, Now);
        });
    CPPUNIT_ASSERT_EQUAL(std::size_t{Count}, Asked.size());
  }

  // Guards against a flood of forwarded packets after all processes are killed while the upstreams
  // keep running: agents that knew no flows were sent the packets of all flows of all balancers for
  // twelve seconds (seen on nkabom-relay-grown).
  void testSearch_manyUnsureAgents_onlyCandidatesGetThePacket() {
    Fleet Balancer(200);
    std::set<relay::NodeAddress> PacketReceivers;
    const auto Key = relayKey(1);
    const auto Holder = Balancer.Directory.candidates("desk", Key).at(1);
    (void)Balancer.send(callerData(Key, 77));
    (void)Balancer.answerQueriesUntil(
        RelayStart + 1s, [&](const auto &Query, common::TimePoint Now) -> SteeringActions {
          for (const auto &Action : Balancer.answer(Query, Now, {}, {0}))
            PacketReceivers.insert(Action.Agent);
          return Query.Agent == Holder ? Balancer.Steering.onFlowNotice({Key, {}}, Holder, Now)
                                       : Balancer.deny(Key, Query.Agent, Now);
        });
    CPPUNIT_ASSERT(PacketReceivers.contains(Holder));
    CPPUNIT_ASSERT(PacketReceivers.size() <= relay::NearCandidates);
    CPPUNIT_ASSERT_EQUAL(Holder, Balancer.Steering.agentOf(Key));
  }

  // Guards against copies of a packet that reach other upstreams after the flow's own has one: an
  // idle caller's packets then reached three others and not its own (soak 777021).
  void testSearch_manyUnsureAgents_getThePacketOneAfterTheOther() {
    constexpr std::size_t Agents = 20;
    Fleet Balancer(Agents);
    const auto Key = relayKey(1);
    (void)Balancer.send(callerData(Key, 77));
    std::vector<relay::NodeAddress> Receivers;
    const auto Note = [&](const SteeringActions &Actions) {
      for (const auto &Action : Actions)
        if (Action.Operation == Kind::Forward)
          Receivers.push_back(Action.Agent);
    };
    auto Now = RelayStart;
    // All agents are unsure; the upstream of the eighth one that has a copy holds the flow, and
    // answers only after a second.
    constexpr std::size_t Own = 8;
    for (; Now < RelayStart + 1s && Receivers.size() < Own; Now += 5ms) {
      Note(Balancer.Steering.onTimer(Now));
      SteeringActions Resets;
      for (const auto &Query : Balancer.Steering.takeFlowQueries(Now, Resets))
        Note(Balancer.answer(Query, Now, {}, {0}));
      const auto Copies = Receivers.size();
      if (Copies > 0 && Copies < Own)
        Note(Balancer.deny(Key, Receivers.back(), Now));
      CPPUNIT_ASSERT(Receivers.size() <= Copies + 1);
    }
    CPPUNIT_ASSERT_EQUAL(Own, Receivers.size());
    for (const auto Until = Now + 1s; Now < Until; Now += 5ms) {
      Note(Balancer.Steering.onTimer(Now));
      SteeringActions Resets;
      for (const auto &Query : Balancer.Steering.takeFlowQueries(Now, Resets))
        Note(Balancer.answer(Query, Now, {}, {0}));
    }
    // FLOW counts three packets that reach other upstreams and none its own.
    CPPUNIT_ASSERT(Receivers.size() <= Own + 2);
    (void)Balancer.Steering.onFlowNotice({Key, {}}, Receivers[Own - 1], Now);
    CPPUNIT_ASSERT_EQUAL(Receivers[Own - 1], Balancer.Steering.agentOf(Key));
  }

  // Guards against searches that need the configuration: all processes ended while the store was
  // unreachable, and open flows of running upstreams stalled until the store was back (seen in
  // burbuja-xela trouble-3).
  void testSearch_withoutConfiguration_findsOpenFlows() {
    UpstreamDirectory Directory("a", 1);
    (void)Directory.onReport(AgentOne, agentReport(1), RelayStart);
    auto Intake = agentReport(1);
    Intake.Service = "intake";
    (void)Directory.onReport(AgentTwo, Intake, RelayStart);
    FlowSteering NewBalancer(BalancerOne, Directory, RelayStart);
    const relay::Bytes Raw{1, 2, 3};
    (void)NewBalancer.onPacket(callerData(relayKey(1), 77), Raw, RelayStart);
    SteeringActions Resets;
    SteeringActions Forwarded;
    for (auto Now = RelayStart; Now < RelayStart + 200ms; Now += 20ms) {
      for (const auto &Query : NewBalancer.takeFlowQueries(Now, Resets))
        for (const auto &Action :
             NewBalancer.onAnswer({Query.Message.Id,
                                   Query.Agent == AgentTwo ? std::vector<std::uint8_t>{0}
                                                           : std::vector<std::uint8_t>{},
                                   {}},
                                  Query.Agent, Now))
          Forwarded.push_back(Action);
      (void)NewBalancer.onTimer(Now);
    }
    CPPUNIT_ASSERT((targets(Forwarded) == std::set{AgentTwo}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countActions(Forwarded, Kind::Reset));
  }

  // A change of the set of balancers of a zone moves nearly all flows to other balancers at once.
  void testSearch_allFlowsMoved_areFoundWithOneRoundOfQueries() {
    Fleet Balancer(163);
    constexpr std::uint16_t Count = 70;
    std::map<packet::FlowKey, relay::NodeAddress> At;
    for (std::uint16_t Port = 1; Port <= Count; ++Port) {
      const auto Key = relayKey(Port);
      At[Key] = Balancer.Directory.candidates("desk", Key).at(Port % relay::NearCandidates);
      (void)Balancer.send(callerData(Key, 77));
    }
    SteeringActions Resets;
    std::size_t Rows = 0;
    for (const auto &Query : Balancer.Steering.takeFlowQueries(RelayStart, Resets)) {
      std::vector<std::uint8_t> HeldRows;
      for (std::size_t I = 0; I < Query.Message.Rows.size(); ++I)
        if (At[Query.Message.Rows[I].Key] == Query.Agent)
          HeldRows.push_back(static_cast<std::uint8_t>(I));
      Rows += Query.Message.Rows.size();
      (void)Balancer.answer(Query, RelayStart, std::move(HeldRows));
    }
    CPPUNIT_ASSERT_EQUAL(relay::NearCandidates * Count, Rows);
    for (const auto &[Key, Agent] : At)
      CPPUNIT_ASSERT_EQUAL(Agent, Balancer.Steering.agentOf(Key));
  }

  // Balancers that know nearly the same agents rank nearly the same candidates for a flow.
  void testCandidates_oneAgentMore_keepsOrderOfOthers() {
    Fleet Fewer(50);
    Fleet More(51);
    for (std::uint16_t Port = 1; Port <= 100; ++Port) {
      auto Expected = Fewer.Directory.candidates("desk", relayKey(Port));
      auto Ranked = More.Directory.candidates("desk", relayKey(Port));
      CPPUNIT_ASSERT_EQUAL(relay::MaxCandidates, Ranked.size());
      if (std::erase(Ranked, Fleet::address(50)) > 0)
        Expected.pop_back();
      CPPUNIT_ASSERT(Ranked == Expected);
    }
  }

  void testSyn_oldLoadFigures_queriesCandidatesAndTakesTheLeastLoaded() {
    Fleet Balancer(40);
    const auto Key = relayKey(1);
    const auto Candidates = Balancer.Directory.candidates("desk", Key);
    const auto Now = RelayStart + relay::LoadFreshness + 1ms;
    const auto Asked = Balancer.send(firstPacket(Key), Now);
    CPPUNIT_ASSERT_EQUAL(relay::NearCandidates, countActions(Asked, Kind::QueryLoad));
    CPPUNIT_ASSERT_EQUAL(relay::NearCandidates, Asked.size());
    SteeringActions Placed;
    for (std::size_t I = 0; I < relay::NearCandidates; ++I) {
      CPPUNIT_ASSERT(Placed.empty());
      Balancer.Directory.onAnswer(
          Candidates[I], {relay::UpstreamState::Ready, {I == 2 ? 0U : 1U, I == 2 ? 3U : 9U}},
          Now + 3ms);
      Placed = Balancer.Steering.onLoadReported(Now + 3ms);
    }
    CPPUNIT_ASSERT(Placed.size() == 1 && Placed[0].Operation == Kind::Forward);
    CPPUNIT_ASSERT_EQUAL(Candidates[2], Placed[0].Agent);
  }

  // If an agent is killed while its upstream runs, a new flow is delayed by one query at most.
  void testSyn_candidateSilent_isPlacedElsewhereInTime() {
    Fleet Balancer(40);
    const auto Key = relayKey(1);
    const auto Candidates = Balancer.Directory.candidates("desk", Key);
    const auto Now = RelayStart + 1s;
    (void)Balancer.send(firstPacket(Key), Now);
    for (std::size_t I = 1; I < relay::NearCandidates; ++I)
      Balancer.Directory.onAnswer(Candidates[I], {relay::UpstreamState::Ready, {1, 1}}, Now + 3ms);
    const auto Late = Now + relay::AnswerTimeout + 1ms;
    const auto Placed = Balancer.Steering.onTimer(Late);
    CPPUNIT_ASSERT(Placed.size() == 1 && Placed[0].Operation == Kind::Forward);
    CPPUNIT_ASSERT(Placed[0].Agent != Candidates[0]);
    // The next flow does not query the silent agent again.
    const auto Next = Balancer.Steering.onPacket(firstPacket(Key), relay::Bytes{1}, Late);
    CPPUNIT_ASSERT(std::none_of(Next.begin(), Next.end(), [&](const auto &Action) {
      return Action.Operation == Kind::QueryLoad && Action.Agent == Candidates[0];
    }));
  }

  void testSyn_nearCandidatesBusy_considersFurtherOnes() {
    Fleet Balancer(40);
    const auto Key = relayKey(1, OrdersAddress);
    const auto Candidates = Balancer.Directory.candidates("desk", Key);
    for (std::size_t I = 0; I < relay::NearCandidates; ++I)
      Balancer.Directory.onLoad(Candidates[I], {2, 0}, RelayStart);
    const auto Placed = Balancer.send(firstPacket(Key));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Placed.size());
    const auto Position = std::find(Candidates.begin(), Candidates.end(), Placed[0].Agent);
    CPPUNIT_ASSERT(Position >= Candidates.begin() + relay::NearCandidates &&
                   Position < Candidates.end());
  }

  // Guards against packets that go to the agents of a late copy of the SYN only.
  void testPacket_noTriedAgentClaimsTheFlow_isSearched() {
    Fleet Balancer(40);
    const auto Key = relayKey(1);
    const auto First = Balancer.send(firstPacket(Key))[0].Agent;
    const auto Second = Balancer.send(firstPacket(Key, 1))[0].Agent;
    const auto Candidates = Balancer.Directory.candidates("desk", Key);
    const auto Holder = *std::find_if(Candidates.begin(), Candidates.end(), [&](auto Agent) {
      return Agent != First && Agent != Second;
    });
    const auto Data = callerData(Key, 77);
    CPPUNIT_ASSERT((targets(Balancer.send(Data)) == std::set{First, Second}));
    (void)Balancer.deny(Key, First);
    (void)Balancer.deny(Key, Second);
    (void)Balancer.send(Data, RelayStart + 200ms);
    const auto Found = Balancer.answerQueriesUntil(
        RelayStart + 400ms,
        [&](const auto &Query, common::TimePoint Now) {
          return Query.Agent == Holder ? Balancer.answer(Query, Now, {0})
                                       : Balancer.answer(Query, Now);
        },
        RelayStart + 200ms);
    CPPUNIT_ASSERT((targets(Found) == std::set{Holder}));
    CPPUNIT_ASSERT_EQUAL(Holder, Balancer.Steering.agentOf(Key));
  }

  void testReturn_flowNotHeld_goesToSecondAcceptingAgent() {
    Node Balancer;
    const auto Head = firstPacket(relayKey(1));
    const auto First = Balancer.send(Head)[0].Agent;
    const auto Second = Balancer.send(firstPacket(relayKey(1), 1))[0].Agent;
    (void)Balancer.Steering.onFlowNotice({relayKey(1), {}}, First, RelayStart);
    (void)Balancer.Steering.onFlowNotice({relayKey(1), {}}, Second, RelayStart);
    const auto Data = callerData(relayKey(1), 77);
    CPPUNIT_ASSERT_EQUAL(First, Balancer.send(Data)[0].Agent);
    const auto Moved = Balancer.returnPacket(Data, ReturnReason::NotHeld, First);
    CPPUNIT_ASSERT(Moved.size() == 1 && Moved[0].Agent == Second);
    CPPUNIT_ASSERT_EQUAL(Second, Balancer.send(Data)[0].Agent);
  }

  /// Retransmits a caller's request until its agent is declared lost, for at most 3 s, while all
  /// other agents answer. Returns the time that this took.
  static common::Duration repeatUntilLost(Node &Balancer, const packet::FlowKey &Key,
                                          relay::NodeAddress Agent) {
    common::Duration Waited{};
    for (; Waited < 3s; Waited += 20ms) {
      const auto Now = RelayStart + Waited;
      if (Waited == 0ms || Waited == 200ms || Waited == 600ms || Waited == 1400ms)
        (void)Balancer.send(callerData(Key, 77, 2000), Now);
      for (const auto Asked : Balancer.Directory.takeRepeatedQueries(Now))
        if (Asked != Agent)
          Balancer.Directory.onAnswer(Asked, {relay::UpstreamState::Ready, {}}, Now);
      for (const auto Other : {AgentOne, AgentTwo, AgentThree})
        if (Other != Agent)
          Balancer.Directory.onHeard(Other, Now);
      if (Balancer.Directory.takeLost(0, Now) == std::vector{Agent})
        return Waited;
    }
    return Waited;
  }

  void testAgentLost_idempotentFlows_areReset() {
    Node Balancer;
    const auto Agent = Balancer.open(relayKey(1));
    const auto Order = Balancer.open(relayKey(2, IntakeAddress));
    const auto Waited = repeatUntilLost(Balancer, relayKey(1), Agent);
    // Detection must not take longer after the caller's first retransmission than it did when
    // agents reported on their own initiative.
    CPPUNIT_ASSERT(Waited >= relay::LostTime && Waited <= relay::LostTime + 300ms);
    CPPUNIT_ASSERT(Balancer.Directory.takeLost(0, RelayStart + Waited).empty());
    const auto Lost = RelayStart + Waited;
    Balancer.Steering.onAgentLost(Agent, Lost);
    // Requests of this flow aren't idempotent, and a response may be ready.
    Balancer.Steering.onAgentLost(Order, Lost);
    const auto Resets = Balancer.answerQueriesUntil(
        Lost + 300ms,
        [&](const auto &Query, common::TimePoint Now) {
          return Query.Agent == Agent ? SteeringActions{} : Balancer.answer(Query, Now);
        },
        Lost);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countActions(Resets, Kind::Reset));
    CPPUNIT_ASSERT(Resets[0].Key == relayKey(1));
  }

  // Guards against the reset of a flow that this balancer placed again but is open elsewhere.
  void testAgentLost_flowOpenElsewhere_isFoundThere() {
    Node Balancer;
    const auto Agent = Balancer.open(relayKey(1));
    const auto Other = Agent == AgentOne ? AgentTwo : AgentOne;
    const auto Lost = RelayStart + repeatUntilLost(Balancer, relayKey(1), Agent);
    Balancer.Steering.onAgentLost(Agent, Lost);
    const auto Actions = Balancer.answerQueriesUntil(
        Lost + 200ms,
        [&](const auto &Query, common::TimePoint Now) {
          if (Query.Agent == Agent)
            return SteeringActions{};
          return Query.Agent == Other ? Balancer.answer(Query, Now, {0})
                                      : Balancer.answer(Query, Now);
        },
        Lost);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countActions(Actions, Kind::Reset));
    CPPUNIT_ASSERT_EQUAL(Other, Balancer.Steering.agentOf(relayKey(1)));
  }

  // Flows of an agent that is silent for less than LostTime are not reset.
  void testAgentSilent_lessThanLostTime_keepsOpenFlows() {
    Node Balancer;
    const auto Agent = Balancer.open(relayKey(1));
    for (common::Duration Waited{}; Waited < relay::LostTime; Waited += 20ms) {
      const auto Now = RelayStart + Waited;
      if (Waited == 0ms || Waited == 200ms || Waited == 600ms)
        (void)Balancer.send(callerData(relayKey(1), 77, 2000), Now);
      (void)Balancer.Directory.takeRepeatedQueries(Now);
      Balancer.Directory.onHeard(Agent == AgentOne ? AgentTwo : AgentOne, Now);
      CPPUNIT_ASSERT(Balancer.Directory.takeLost(0, Now).empty());
    }
    Balancer.Directory.onAnswer(Agent, {relay::UpstreamState::Ready, {}},
                                RelayStart + relay::LostTime);
    CPPUNIT_ASSERT(Balancer.Directory.takeLost(0, RelayStart + 5s).empty());
    CPPUNIT_ASSERT_EQUAL(Agent, Balancer.Steering.agentOf(relayKey(1)));
  }

  void testRemovedRoute_openFlow_staysAtItsAgent() {
    Node Balancer;
    const auto Agent = Balancer.open(relayKey(1));
    Balancer.Steering.setRoutes(
        std::make_shared<const relay::RouteTable>(relay::Configuration{2, {}, {}}));
    CPPUNIT_ASSERT_EQUAL(Agent, Balancer.send(callerData(relayKey(1), 77))[0].Agent);
    CPPUNIT_ASSERT(Balancer.send(firstPacket(relayKey(5)))[0].Operation == Kind::Reset);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelaySteeringTest);

} // namespace galenarelay::tests
