#include "galenarelay/relay/policy/restart_recovery.h"
#include "relay_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <tuple>

namespace galenarelay::tests {

using relay::FlowAction;
using relay::FlowActions;
using relay::ReturnReason;
using relay::Transit;
using relay::UpstreamFlows;
using relay::UpstreamState;
using Kind = FlowAction::Kind;

class RelayUpstreamFlowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayUpstreamFlowsTest);
  CPPUNIT_TEST(testFirstPacket_readyUpstream_opensFlowAndNotifiesBalancer);
  CPPUNIT_TEST(testFirstPacket_upstreamNotAccepting_isReturned);
  CPPUNIT_TEST(testFirstPacket_busyUpstream_isReturnedUnlessInsisted);
  CPPUNIT_TEST(testFirstPacket_afterSuspensionBeforeFirstHeartbeat_isReturned);
  CPPUNIT_TEST(testStop_justAfterStart_firstLearnsWhetherUpstreamRuns);
  CPPUNIT_TEST(testFirstPacket_slotsNotReported_isBoundedAfterRestart);
  CPPUNIT_TEST(testAnswer_afterFullDeclines_notifiesOneBalancerPerFreePlace);
  CPPUNIT_TEST(testFirstPacket_unansweredByUpstream_isReturnedBeforeRetransmission);
  CPPUNIT_TEST(testFirstPacket_refusedByUpstream_isReturned);
  CPPUNIT_TEST(testPacket_ofFlowAcceptedElsewhere_isReturned);
  CPPUNIT_TEST(testPacket_beforeUpstreamAccepts_isNotDelivered);
  CPPUNIT_TEST(testReset_ofUnconfirmedFlow_isNotSentToCaller);
  CPPUNIT_TEST(testPacket_ofEstablishedFlowLostByUpstream_resetsCaller);
  CPPUNIT_TEST(testPacket_unknownAfterRestart_isDeliveredToUpstream);
  CPPUNIT_TEST(testPacket_unknownToCompleteTable_isDenied);
  CPPUNIT_TEST(testQuery_knownAndUnknownFlows_areHeldUnsureOrAbsent);
  CPPUNIT_TEST(testQuery_afterStartWithoutHeartbeat_isUnsureUntilUpstreamEnded);
  CPPUNIT_TEST(testFlow_ofDrainingUpstream_continues);
  CPPUNIT_TEST(testLoad_requestsAndFlows_areCounted);
  CPPUNIT_TEST(testLoad_adoptedFlow_countsUntilAnswered);
  CPPUNIT_TEST(testLoad_endedOrAbandonedFlow_isNotCounted);
  CPPUNIT_TEST(testLoad_flowWithoutRequest_expires);
  CPPUNIT_TEST(testLoad_flowOfGoneCaller_expiresAfterUsualRequestDelay);
  CPPUNIT_TEST(testDeparture_openFlows_areResetAtLastAcknowledgement);
  CPPUNIT_TEST(testDeparture_flowContinuedElsewhere_isNotReset);
  CPPUNIT_TEST(testDeparture_beforeUpstreamExits_keepsItsFlows);
  CPPUNIT_TEST(testPacket_acknowledgingEndWithoutData_isDelivered);
  CPPUNIT_TEST(testFirstPacket_ofPortUsedAgain_replacesEarlierFlow);
  CPPUNIT_TEST(testFirstPacket_onAdoptedFlowsPort_isDeliveredToItsServiceOnly);
  CPPUNIT_TEST(testFlow_ofUpstreamWithEarlierStartThanLast_isNotReset);
  CPPUNIT_TEST(testFlow_heartbeatOfAnotherWriter_isNotReset);
  CPPUNIT_TEST(testFirstPacket_settingsAndHeartbeatDisagree_isReturned);
  CPPUNIT_TEST(testDeparture_ofEarlierIncarnation_keepsFlows);
  CPPUNIT_TEST(testQuery_upstreamOlderThanItsHeartbeatsSuggest_isUnsure);
  CPPUNIT_TEST(testQuery_upstreamThatReplacedAnother_isAbsent);
  CPPUNIT_TEST(testFlow_ofUpstreamHeardAgainAfterSilence_isNotDenied);
  CPPUNIT_TEST(testReset_repeatedForUnconfirmedFlow_isNotSentToCaller);
  CPPUNIT_TEST(testReset_ofUnconfirmedFlowWithoutSearch_returnsPacketToBalancer);
  CPPUNIT_TEST(testQuery_afterSuspensionBeforeTimer_isHeld);
  CPPUNIT_TEST(testFlow_openBeforeRestartAndOfferedAgain_isAdopted);
  CPPUNIT_TEST(testFlow_offeredWithCompleteTable_isNotAdopted);
  CPPUNIT_TEST(testQuery_otherFlowOfAdoptedFlowsPort_isNotHeld);
  CPPUNIT_TEST(testFlow_acceptedOnAdoptedFlowsPort_isHeld);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint32_t Sequence = 5000;
  inline static const std::uint16_t DeskDigest = relay::serviceDigest("desk");
  inline static const Transit ToDesk{BalancerOne, DeskDigest};

  static UpstreamFlows readyFlows() {
    UpstreamFlows Flows("desk", 1200ms, RelayStart - 60s);
    (void)Flows.onHeartbeat(heartbeat(1), RelayStart);
    return Flows;
  }

  static FlowActions fromBalancer(UpstreamFlows &Flows, const relay::PacketHeader &Head,
                                  Transit Fields = {BalancerOne, DeskDigest},
                                  common::TimePoint Now = RelayStart) {
    const relay::Bytes Raw{1, 2, 3};
    return Flows.onBalancerPacket(Head, Fields, Raw, BalancerOne, Now);
  }

  static FlowActions fromUpstream(UpstreamFlows &Flows, const relay::PacketHeader &Head,
                                  common::TimePoint Now = RelayStart) {
    return Flows.onUpstreamPacket(Head, {BalancerOne}, Now);
  }

  static void open(UpstreamFlows &Flows, const packet::FlowKey &Key, Transit Fields = ToDesk) {
    (void)fromBalancer(Flows, firstPacket(Key), Fields);
    (void)fromUpstream(Flows, upstreamAccept(Key, Sequence));
  }

  /// One request and its answer of 100 bytes.
  static void exchange(UpstreamFlows &Flows, const packet::FlowKey &Key, std::uint32_t Index) {
    (void)fromBalancer(Flows, callerData(Key, Sequence + 100 * Index, 1000 + 100 * Index));
    (void)fromUpstream(Flows, upstreamData(Key, Sequence + 100 * Index));
  }

public:
  void testFirstPacket_readyUpstream_opensFlowAndNotifiesBalancer() {
    auto Flows = readyFlows();
    const auto Offered = fromBalancer(Flows, firstPacket(relayKey(1)));
    CPPUNIT_ASSERT(Offered.size() == 1 && Offered[0].Operation == Kind::Deliver);
    const auto Accepted = fromUpstream(Flows, upstreamAccept(relayKey(1), Sequence));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countActions(Accepted, Kind::Notify));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countActions(Accepted, Kind::SendToCaller));
    CPPUNIT_ASSERT_EQUAL(BalancerOne, Accepted[0].Balancer);
  }

  void testFirstPacket_upstreamNotAccepting_isReturned() {
    struct Case {
      const char *Name;
      std::function<void(UpstreamFlows &)> Prepare;
      Transit Fields;
      common::Duration Delay;
      ReturnReason Expected;
    };
    const auto NoChange = [](UpstreamFlows &) {};
    const std::vector<Case> Cases{
        {"draining",
         [](UpstreamFlows &F) { (void)F.onHeartbeat(heartbeat(2, 10, true), RelayStart); }, ToDesk,
         0s, ReturnReason::Leaving},
        {"departed",
         [](UpstreamFlows &F) {
           (void)F.onDeparture({"up-10", {}}, RelayStart);
         },
         ToDesk, 0s, ReturnReason::Leaving},
        {"stopping", [](UpstreamFlows &F) { F.stop(); }, ToDesk, 0s, ReturnReason::Leaving},
        {"silent", NoChange, ToDesk, 2s, ReturnReason::Unanswered},
        {"other service",
         NoChange,
         {BalancerOne, relay::serviceDigest("intake")},
         0s,
         ReturnReason::WrongService},
        {"no service", NoChange, {BalancerOne, 0}, 0s, ReturnReason::WrongService},
        {"address used again",
         [](UpstreamFlows &F) {
           auto Next = heartbeat(1, 20);
           Next.Service = "intake";
           (void)F.onHeartbeat(Next, RelayStart + 2s);
           Next.Sequence = 2;
           (void)F.onHeartbeat(Next, RelayStart + 3200ms);
         },
         ToDesk, 3200ms, ReturnReason::WrongService}};
    for (const Case &Each : Cases) {
      auto Flows = readyFlows();
      Each.Prepare(Flows);
      const auto Actions =
          fromBalancer(Flows, firstPacket(relayKey(1)), Each.Fields, RelayStart + Each.Delay);
      CPPUNIT_ASSERT_MESSAGE(Each.Name,
                             Actions.size() == 1 && Actions[0].Operation == Kind::Return);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Actions[0].Reason == Each.Expected);
    }
  }

  void testFirstPacket_busyUpstream_isReturnedUnlessInsisted() {
    auto Flows = readyFlows();
    for (const std::uint16_t Port : {1, 2})
      open(Flows, relayKey(Port));
    const auto Declined = fromBalancer(Flows, firstPacket(relayKey(3)));
    CPPUNIT_ASSERT(Declined[0].Operation == Kind::Return &&
                   Declined[0].Reason == ReturnReason::Busy);
    const auto Insisted = fromBalancer(Flows, firstPacket(relayKey(3)),
                                       {.ServiceDigest = DeskDigest, .Insist = true});
    CPPUNIT_ASSERT(Insisted[0].Operation == Kind::Deliver);
  }

  // While the agent was suspended, its address may have been assigned to another service.
  void testFirstPacket_afterSuspensionBeforeFirstHeartbeat_isReturned() {
    UpstreamFlows Flows("desk", 1200ms, RelayStart);
    const Transit Fields{BalancerOne, relay::serviceDigest("desk")};
    CPPUNIT_ASSERT(fromBalancer(Flows, firstPacket(relayKey(1)), Fields)[0].Operation ==
                   Kind::Deliver);
    Flows.onResume(RelayStart + 3s);
    const auto AfterSuspension =
        fromBalancer(Flows, firstPacket(relayKey(2)), Fields, RelayStart + 3s);
    CPPUNIT_ASSERT(AfterSuspension[0].Operation == Kind::Return &&
                   AfterSuspension[0].Reason == ReturnReason::Unanswered);
    (void)Flows.onHeartbeat(heartbeat(4), RelayStart + 3s);
    const auto AfterHeartbeat =
        fromBalancer(Flows, firstPacket(relayKey(3)), Fields, RelayStart + 3s);
    CPPUNIT_ASSERT(AfterHeartbeat[0].Operation == Kind::Deliver);
  }

  // Guards against searches that wait for an agent that stopped for good before it could tell that
  // its upstream had ended: balancers keep the flows of such an agent (teranga-hq-grown trouble-1).
  void testStop_justAfterStart_firstLearnsWhetherUpstreamRuns() {
    UpstreamFlows Flows("desk", 1200ms, RelayStart);
    Flows.stop();
    CPPUNIT_ASSERT(!Flows.upstreamJudged(RelayStart + 1200ms));
    UpstreamFlows Heard("desk", 1200ms, RelayStart);
    (void)Heard.onHeartbeat(heartbeat(5), RelayStart + 100ms);
    Heard.stop();
    CPPUNIT_ASSERT(Heard.upstreamJudged(RelayStart + 100ms));
    CPPUNIT_ASSERT(Heard.state(RelayStart + 100ms) == relay::UpstreamState::Stopping);
    CPPUNIT_ASSERT(Flows.upstreamJudged(RelayStart + 1700ms));
    CPPUNIT_ASSERT(Flows.state(RelayStart + 1700ms) == relay::UpstreamState::Ended);
  }

  // Guards against a restarted agent that admits the backlog of all balancers before its upstream
  // says how much it can run.
  void testFirstPacket_slotsNotReported_isBoundedAfterRestart() {
    using relay::policy::Mechanism;
    for (const bool Recovers : {true, false}) {
      const auto InUse = Recovers ? relay::policy::Mechanisms().with(Mechanism::RestartRecovery)
                                  : relay::policy::Mechanisms();
      UpstreamFlows Flows("desk", 1200ms, RelayStart, InUse);
      std::size_t Admitted = 0;
      for (std::uint16_t Port = 1; Port <= 50; ++Port)
        Admitted += countActions(fromBalancer(Flows, firstPacket(relayKey(Port)),
                                              {.ServiceDigest = DeskDigest, .Insist = true}),
                                 Kind::Deliver);
      CPPUNIT_ASSERT_EQUAL(Recovers ? std::size_t{relay::policy::UnreportedRequestLimit} : 50,
                           Admitted);
      // The limit of the slots takes its place.
      (void)Flows.onHeartbeat(heartbeat(1), RelayStart);
      const auto Next = fromBalancer(Flows, firstPacket(relayKey(99)),
                                     {.ServiceDigest = DeskDigest, .Insist = true});
      CPPUNIT_ASSERT(Next[0].Operation ==
                     (Admitted < relay::requestLimit(2) ? Kind::Deliver : Kind::Return));
    }
  }

  void testAnswer_afterFullDeclines_notifiesOneBalancerPerFreePlace() {
    auto Flows = readyFlows();
    const auto Capacity = static_cast<std::uint16_t>(relay::requestLimit(2));
    for (std::uint16_t Port = 1; Port <= Capacity; ++Port) {
      (void)fromBalancer(Flows, firstPacket(relayKey(Port)),
                         {.ServiceDigest = DeskDigest, .Insist = true});
      (void)fromUpstream(Flows, upstreamAccept(relayKey(Port), Sequence));
      (void)fromBalancer(Flows, callerData(relayKey(Port), Sequence));
    }
    const relay::Bytes Raw{1, 2, 3};
    for (const auto Balancer : {BalancerOne, BalancerTwo, BalancerOne}) {
      const auto Declined =
          Flows.onBalancerPacket(firstPacket(relayKey(50)), ToDesk, Raw, Balancer, RelayStart);
      CPPUNIT_ASSERT(Declined[0].Reason == ReturnReason::Full);
    }
    std::vector<relay::NodeAddress> Notified;
    for (const std::uint16_t Port : {1, 2, 3})
      for (const auto &Each : fromUpstream(Flows, upstreamData(relayKey(Port), Sequence)))
        if (Each.Operation == Kind::Report)
          Notified.push_back(Each.Balancer);
    CPPUNIT_ASSERT((Notified == std::vector{BalancerOne, BalancerTwo}));
  }

  void testFirstPacket_unansweredByUpstream_isReturnedBeforeRetransmission() {
    auto Flows = readyFlows();
    (void)fromBalancer(Flows, firstPacket(relayKey(1)));
    const auto Deadline = RelayStart + relay::FirstAnswerTimeout;
    CPPUNIT_ASSERT(Deadline < RelayStart + 200ms);
    CPPUNIT_ASSERT(Flows.onTimer(Deadline - 1ms).empty());
    const auto Actions = Flows.onTimer(Deadline);
    CPPUNIT_ASSERT(Actions.size() == 1 && Actions[0].Operation == Kind::Return);
    CPPUNIT_ASSERT(Actions[0].Reason == ReturnReason::Unanswered &&
                   Actions[0].SavedPacket->size() == 3);
    CPPUNIT_ASSERT(Flows.state(Deadline) == UpstreamState::Silent);
    (void)Flows.onHeartbeat(heartbeat(2), Deadline);
    CPPUNIT_ASSERT(Flows.state(Deadline) == UpstreamState::Ready);
  }

  void testFirstPacket_refusedByUpstream_isReturned() {
    auto Flows = readyFlows();
    (void)fromBalancer(Flows, firstPacket(relayKey(1)));
    const auto Actions = fromUpstream(Flows, returned(firstPacket(relayKey(1))));
    CPPUNIT_ASSERT(Actions[0].Operation == Kind::Return &&
                   Actions[0].Reason == ReturnReason::Refused);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, Flows.load().Unanswered);
  }

  // burbuja-xela trouble-1 --seed 727759498958: two upstreams had accepted a flow and the caller
  // continued with the other one. This agent's upstream returned a packet of the caller, and the
  // agent reset the flow.
  void testPacket_ofFlowAcceptedElsewhere_isReturned() {
    auto Flows = readyFlows();
    open(Flows, relayKey(1));
    const auto AcceptedElsewhere = callerData(relayKey(1), Sequence + 0x01000000);
    const auto Actions = fromBalancer(Flows, AcceptedElsewhere);
    CPPUNIT_ASSERT(Actions[0].Operation == Kind::Return &&
                   Actions[0].Reason == ReturnReason::NotHeld);
    const auto Unheld = callerData(relayKey(1), Sequence);
    (void)fromBalancer(Flows, Unheld);
    const auto Returned = fromUpstream(Flows, returned(Unheld));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countActions(Returned, Kind::ResetCaller));
  }

  // sunbox-relay-grown trouble-1: copies of a first packet reached two upstreams. The caller opened
  // the flow at the faster one, and the slower one was given the caller's next packet and reset it.
  void testPacket_beforeUpstreamAccepts_isNotDelivered() {
    auto Flows = readyFlows();
    (void)fromBalancer(Flows, firstPacket(relayKey(1)));
    const auto Denied = fromBalancer(Flows, callerData(relayKey(1), 99), {.Search = true});
    CPPUNIT_ASSERT(Denied.size() == 1 && Denied[0].Operation == Kind::Deny);
    const auto Actions = fromBalancer(Flows, callerData(relayKey(1), 99));
    CPPUNIT_ASSERT(Actions.size() == 1 && Actions[0].Operation == Kind::Return);
  }

  void testReset_ofUnconfirmedFlow_isNotSentToCaller() {
    UpstreamFlows Flows("desk", 1200ms, RelayStart);
    (void)Flows.onHeartbeat(heartbeat(30), RelayStart);
    (void)fromBalancer(Flows, callerData(relayKey(1), 99),
                       {.Balancer = BalancerOne, .Search = true});
    auto Reset = upstreamData(relayKey(1), 99, 0);
    Reset.Flags = {.Rst = true};
    const auto Actions = fromUpstream(Flows, Reset);
    CPPUNIT_ASSERT(Actions.size() == 1 && Actions[0].Operation == Kind::Deny);
  }

  void testPacket_ofEstablishedFlowLostByUpstream_resetsCaller() {
    auto Flows = readyFlows();
    open(Flows, relayKey(1));
    exchange(Flows, relayKey(1), 0);
    const auto Next = callerData(relayKey(1), Sequence + 100, 1100);
    (void)fromBalancer(Flows, Next);
    const auto Actions = fromUpstream(Flows, returned(Next));
    CPPUNIT_ASSERT(Actions[0].Operation == Kind::ResetCaller);
    CPPUNIT_ASSERT_EQUAL(Sequence + 100, Actions[0].Sequence);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, Flows.load().Unanswered);
  }

  void testPacket_unknownAfterRestart_isDeliveredToUpstream() {
    UpstreamFlows Flows("desk", 1200ms, RelayStart);
    (void)Flows.onHeartbeat(heartbeat(30), RelayStart);
    const auto Next = callerData(relayKey(1), Sequence);
    CPPUNIT_ASSERT(fromBalancer(Flows, Next)[0].Operation == Kind::Deliver);
    const auto Adopted = fromUpstream(Flows, upstreamData(relayKey(1), Sequence));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countActions(Adopted, Kind::Notify));
    for (const bool Search : {false, true}) {
      const auto Unknown = callerData(relayKey(2), Sequence);
      (void)fromBalancer(Flows, Unknown, {.Balancer = BalancerOne, .Search = Search});
      const auto Returned = fromUpstream(Flows, returned(Unknown));
      CPPUNIT_ASSERT(Returned[0].Operation == (Search ? Kind::Deny : Kind::Return));
    }
  }

  void testPacket_unknownToCompleteTable_isDenied() {
    auto Flows = readyFlows();
    const auto Actions = fromBalancer(Flows, callerData(relayKey(1), Sequence), {.Search = true});
    CPPUNIT_ASSERT(Actions[0].Operation == Kind::Deny);
  }

  void testQuery_knownAndUnknownFlows_areHeldUnsureOrAbsent() {
    auto Complete = readyFlows();
    open(Complete, relayKey(1));
    const relay::FlowQuery Query{7, {{relayKey(1), Sequence}, {relayKey(2), Sequence}}};
    CPPUNIT_ASSERT((Complete.onQuery(Query, RelayStart) == relay::FlowAnswer{7, {0}, {}}));
    UpstreamFlows Restarted("desk", 1200ms, RelayStart);
    (void)Restarted.onHeartbeat(heartbeat(30), RelayStart);
    open(Restarted, relayKey(1));
    CPPUNIT_ASSERT((Restarted.onQuery(Query, RelayStart) == relay::FlowAnswer{7, {0}, {1}}));
    // An agent that receives heartbeat 1 has seen all flows of the upstream.
    UpstreamFlows StartedTogether("desk", 1200ms, RelayStart);
    (void)StartedTogether.onHeartbeat(heartbeat(1), RelayStart);
    CPPUNIT_ASSERT((StartedTogether.onQuery(Query, RelayStart) == relay::FlowAnswer{7, {}, {}}));
  }

  // A new agent considered its upstream ended until the first heartbeat and denied flows of a live
  // upstream, so that a balancer could reset them.
  void testQuery_afterStartWithoutHeartbeat_isUnsureUntilUpstreamEnded() {
    UpstreamFlows Flows("desk", 1000ms, RelayStart);
    const relay::FlowQuery Query{1, {{relayKey(1), 77}}};
    CPPUNIT_ASSERT(Flows.state(RelayStart + 10ms) == UpstreamState::Unknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Flows.onQuery(Query, RelayStart + 10ms).Unsure.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Flows.onQuery(Query, RelayStart + 1300ms).Unsure.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Flows.onQuery(Query, RelayStart + 1500ms).Unsure.size());
    CPPUNIT_ASSERT(Flows.state(RelayStart + 1500ms) == UpstreamState::Ended);
  }

  void testFlow_ofDrainingUpstream_continues() {
    auto Flows = readyFlows();
    open(Flows, relayKey(1));
    (void)Flows.onHeartbeat(heartbeat(2, 10, true), RelayStart);
    CPPUNIT_ASSERT(fromBalancer(Flows, callerData(relayKey(1), Sequence))[0].Operation ==
                   Kind::Deliver);
  }

  void testLoad_requestsAndFlows_areCounted() {
    auto Flows = readyFlows();
    (void)fromBalancer(Flows, firstPacket(relayKey(1)),
                       {.ServiceDigest = DeskDigest, .Long = true});
    CPPUNIT_ASSERT((Flows.load() == relay::UpstreamLoad{1, 1}));
    (void)fromUpstream(Flows, upstreamAccept(relayKey(1), Sequence));
    (void)fromBalancer(Flows, callerData(relayKey(1), Sequence));
    CPPUNIT_ASSERT((Flows.load() == relay::UpstreamLoad{1, 1}));
    (void)fromUpstream(Flows, upstreamData(relayKey(1), Sequence));
    CPPUNIT_ASSERT((Flows.load() == relay::UpstreamLoad{0, 1}));
    // A retransmission of the answered request doesn't count as a new one.
    (void)fromBalancer(Flows, callerData(relayKey(1), Sequence));
    CPPUNIT_ASSERT((Flows.load() == relay::UpstreamLoad{0, 1}));
    auto End = callerData(relayKey(1), Sequence + 100, 1100, 0);
    End.Flags.Rst = true;
    (void)fromBalancer(Flows, End);
    CPPUNIT_ASSERT((Flows.load() == relay::UpstreamLoad{0, 0}));
  }

  // burbuja-xela scale-1: after all processes had been killed, agents never stopped counting the
  // requests of adopted flows, considered their upstreams full and declined new flows.
  void testLoad_adoptedFlow_countsUntilAnswered() {
    for (const std::uint32_t InitialSequence : {5U, 0x7fffff00U, 0x80000100U, 0xfffffff0U}) {
      UpstreamFlows Flows("desk", 1200ms, RelayStart);
      (void)Flows.onHeartbeat(heartbeat(30), RelayStart);
      (void)fromBalancer(Flows, callerData(relayKey(1), InitialSequence, InitialSequence));
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, Flows.load().Unanswered);
      (void)fromUpstream(Flows, upstreamData(relayKey(1), InitialSequence));
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, Flows.load().Unanswered);
    }
  }

  // sunbox-relay-grown trouble-2: agents reported 88 long flows where 30 were open, since callers
  // that give up don't close their flows.
  void testLoad_endedOrAbandonedFlow_isNotCounted() {
    auto Flows = readyFlows();
    for (const std::uint16_t Port : {1, 2})
      open(Flows, relayKey(Port), {.ServiceDigest = DeskDigest, .Long = true});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, Flows.load().LongFlows);
    auto End = upstreamData(relayKey(1), Sequence, 0);
    End.Flags.Fin = true;
    (void)fromUpstream(Flows, End);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, Flows.load().LongFlows);
    (void)fromBalancer(Flows, callerData(relayKey(2), Sequence));
    for (common::TimePoint Now = RelayStart; Now < RelayStart + 11s; Now += 20ms)
      (void)Flows.onTimer(Now);
    CPPUNIT_ASSERT((Flows.load() == relay::UpstreamLoad{0, 0}));
  }

  void testLoad_flowWithoutRequest_expires() {
    auto Flows = readyFlows();
    open(Flows, relayKey(1));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, Flows.load().Unanswered);
    for (common::TimePoint Now = RelayStart; Now < RelayStart + 1s; Now += 20ms)
      (void)Flows.onTimer(Now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, Flows.load().Unanswered);
  }

  // nkabom-relay trouble-2: after a power cut, flows of callers that had gone occupied the
  // upstreams for half a second each, while live callers waited.
  void testLoad_flowOfGoneCaller_expiresAfterUsualRequestDelay() {
    auto Flows = readyFlows();
    auto Now = RelayStart;
    const auto OpenFlow = [&](std::uint16_t Port) {
      (void)fromBalancer(Flows, firstPacket(relayKey(Port)),
                         {.ServiceDigest = DeskDigest, .Insist = true, .OthersWait = true}, Now);
      (void)fromUpstream(Flows, upstreamAccept(relayKey(Port), Sequence), Now);
    };
    for (std::uint16_t Port = 1; Port <= 20; ++Port) {
      OpenFlow(Port);
      Now += 7ms; // Round trip to the caller.
      (void)fromBalancer(Flows, callerData(relayKey(Port), Sequence), {BalancerOne, 0}, Now);
      (void)fromUpstream(Flows, upstreamData(relayKey(Port), Sequence), Now);
    }
    for (std::uint16_t Port = 101; Port <= 110; ++Port)
      OpenFlow(Port);
    const auto UnansweredAtPeak = Flows.load().Unanswered;
    CPPUNIT_ASSERT(UnansweredAtPeak >= 2);
    std::size_t Notices = 0;
    for (const auto End = Now + 60ms; Now < End; Now += 20ms)
      Notices += countActions(Flows.onTimer(Now), Kind::Report);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, Flows.load().Unanswered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Notices); // Of the only waiting balancer.
  }

  void testDeparture_openFlows_areResetAtLastAcknowledgement() {
    auto Flows = readyFlows();
    open(Flows, relayKey(1));
    exchange(Flows, relayKey(1), 0);
    (void)fromBalancer(Flows, callerData(relayKey(1), Sequence + 100, 1100, 0));
    (void)Flows.onDeparture({"up-10", {}}, RelayStart);
    const auto Resets = Flows.resetOpenFlows();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countActions(Resets, Kind::ResetCaller));
    CPPUNIT_ASSERT_EQUAL(Sequence + 100, Resets[0].Sequence);
  }

  // Guards against resets and denials while the upstream awaits the answer to its departure.
  void testDeparture_beforeUpstreamExits_keepsItsFlows() {
    auto Flows = readyFlows();
    open(Flows, relayKey(1));
    exchange(Flows, relayKey(1), 0);
    (void)Flows.onDeparture({"up-10", {}}, RelayStart);
    const relay::FlowQuery Query{1, {{relayKey(1), Sequence}}};
    const auto Exit = RelayStart + relay::DepartureGrace;
    CPPUNIT_ASSERT(!Flows.upstreamEnded(Exit - 1ms));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Flows.onQuery(Query, Exit - 1ms).Held.size());
    CPPUNIT_ASSERT(Flows.state(Exit - 1ms) == relay::UpstreamState::Draining);
    CPPUNIT_ASSERT(Flows.upstreamEnded(Exit));
    CPPUNIT_ASSERT(Flows.onQuery(Query, Exit).Held.empty());
  }

  // Guards against the reset of a flow whose SYN two upstreams accepted, by the one that ends.
  void testDeparture_flowContinuedElsewhere_isNotReset() {
    auto Flows = readyFlows();
    open(Flows, relayKey(1));
    (void)fromBalancer(Flows, callerData(relayKey(1), Sequence + 7'000'000));
    (void)Flows.onDeparture({"up-10", {}}, RelayStart);
    CPPUNIT_ASSERT(Flows.resetOpenFlows().empty());
  }

  // The acknowledgement of an upstream's end counts both its SYN and its FIN.
  void testPacket_acknowledgingEndWithoutData_isDelivered() {
    for (const std::uint32_t InitialSequence : {5U, 0xfffffffdU, 0xffffffffU}) {
      auto Flows = readyFlows();
      (void)fromBalancer(Flows, firstPacket(relayKey(1)));
      (void)fromUpstream(Flows, upstreamAccept(relayKey(1), InitialSequence));
      (void)fromBalancer(Flows, callerData(relayKey(1), InitialSequence + 1, 1001, 0));
      auto End = upstreamData(relayKey(1), InitialSequence + 1, 0);
      End.Flags.Fin = true;
      (void)fromUpstream(Flows, End);
      const relay::FlowQuery Query{1, {{relayKey(1), InitialSequence + 2}}};
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Flows.onQuery(Query, RelayStart).Held.size());
      const auto Actions = fromBalancer(Flows, callerData(relayKey(1), InitialSequence + 2, 1001));
      CPPUNIT_ASSERT(Actions.size() == 1 && Actions[0].Operation == Kind::Deliver);
    }
  }

  void testFirstPacket_ofPortUsedAgain_replacesEarlierFlow() {
    auto Flows = readyFlows();
    open(Flows, relayKey(1));
    exchange(Flows, relayKey(1), 0);
    auto End = upstreamData(relayKey(1), Sequence + 100, 0);
    End.Flags.Fin = true;
    (void)fromUpstream(Flows, End);
    auto Next = firstPacket(relayKey(1));
    Next.Sequence = 70'000;
    constexpr std::uint32_t NextSequence = Sequence + 0x01000000;
    (void)fromBalancer(Flows, Next);
    (void)fromUpstream(Flows, upstreamAccept(relayKey(1), NextSequence));
    const auto Data = callerData(relayKey(1), NextSequence + 1, 70'001);
    const auto Actions = fromBalancer(Flows, Data);
    CPPUNIT_ASSERT(Actions.size() == 1 && Actions[0].Operation == Kind::Deliver);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, Flows.load().Unanswered);
    // The upstream has not ended the new flow, so an end of the caller leaves it open.
    auto CallerEnd = callerData(relayKey(1), NextSequence + 1, 70'101, 0);
    CallerEnd.Flags.Fin = true;
    (void)fromBalancer(Flows, CallerEnd);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, Flows.load().Unanswered);
  }

  // An upstream that was suspended, or whose heartbeats waited, is older than their number
  // suggests.
  // Guards against a SYN for another service, or for an upstream that leaves, being taken for a
  // copy of the SYN of a flow that was open before the agent's start.
  void testFirstPacket_onAdoptedFlowsPort_isDeliveredToItsServiceOnly() {
    for (const auto &[Digest, Draining, Expected] :
         std::initializer_list<std::tuple<std::uint16_t, bool, Kind>>{
             {DeskDigest, false, Kind::Deliver},
             {relay::serviceDigest("intake"), false, Kind::Return},
             {0, false, Kind::Return},
             {DeskDigest, true, Kind::Return}}) {
      UpstreamFlows Flows("desk", 1200ms, RelayStart);
      (void)Flows.onHeartbeat(heartbeat(30, 10, Draining), RelayStart);
      (void)fromUpstream(Flows, upstreamData(relayKey(1), Sequence));
      const auto Actions = fromBalancer(Flows, firstPacket(relayKey(1)), {BalancerOne, Digest});
      CPPUNIT_ASSERT(Actions.size() == 1 && Actions[0].Operation == Expected);
      const relay::FlowQuery Query{1, {{relayKey(1), Sequence + 100}}};
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Flows.onQuery(Query, RelayStart).Held.size());
    }
  }

  /// Calls Heard at each interval, and the timer in between, for 12 s in which a flow stays idle.
  /// Returns whether the upstream was taken for ended at any time.
  template <typename F> static bool endsWhileHeard(UpstreamFlows &Flows, F &&Heard) {
    bool Ended = false;
    for (int Tick = 0; Tick < 600; ++Tick) {
      const auto Now = RelayStart + 700ms + Tick * 20ms;
      if (Tick % 60 == 0)
        Heard(static_cast<std::uint64_t>(Tick / 60) + 1, Now);
      (void)Flows.onTimer(Now);
      Ended = Ended || Flows.upstreamEnded(Now);
    }
    return Ended;
  }

  // Guards against the reset of flows at a running upstream that has started after its machine's
  // clock was set back (review/5).
  void testFlow_ofUpstreamWithEarlierStartThanLast_isNotReset() {
    UpstreamFlows Flows("desk", 1200ms, RelayStart - 60s);
    (void)Flows.onHeartbeat(heartbeat(1, 20), RelayStart);
    open(Flows, relayKey(1));
    CPPUNIT_ASSERT(!endsWhileHeard(Flows, [&](std::uint64_t Sequence, common::TimePoint Now) {
      (void)Flows.onHeartbeat(heartbeat(Sequence, 10), Now);
    }));
    CPPUNIT_ASSERT(Flows.state(RelayStart + 12s) == UpstreamState::Ready);
    const auto Next = fromBalancer(Flows, firstPacket(relayKey(2)), ToDesk, RelayStart + 12s);
    CPPUNIT_ASSERT(Next[0].Operation == Kind::Deliver);
  }

  // Guards against one heartbeat of another writer that cuts a running upstream off.
  void testFlow_heartbeatOfAnotherWriter_isNotReset() {
    for (const char *Service : {"desk", "unnamed"}) {
      auto Flows = readyFlows();
      open(Flows, relayKey(1));
      auto Odd = heartbeat(1, 99);
      Odd.Service = Service;
      CPPUNIT_ASSERT(!endsWhileHeard(Flows, [&](std::uint64_t Sequence, common::TimePoint Now) {
        if (Sequence == 2)
          (void)Flows.onHeartbeat(Odd, Now);
        (void)Flows.onHeartbeat(heartbeat(Sequence + 1), Now);
      }));
      CPPUNIT_ASSERT(Flows.state(RelayStart + 12s) == UpstreamState::Ready);
      CPPUNIT_ASSERT_EQUAL(std::string("desk"), Flows.service());
    }
  }

  // Guards against a flow of the settings' service opening at an upstream that names another one.
  void testFirstPacket_settingsAndHeartbeatDisagree_isReturned() {
    UpstreamFlows Flows("intake", 1200ms, RelayStart);
    (void)Flows.onHeartbeat(heartbeat(1), RelayStart);
    const Transit ToIntake{BalancerOne, relay::serviceDigest("intake")};
    CPPUNIT_ASSERT(fromBalancer(Flows, firstPacket(relayKey(1)), ToIntake)[0].Operation ==
                   Kind::Return);
    (void)Flows.onHeartbeat(heartbeat(2), RelayStart + 1200ms);
    CPPUNIT_ASSERT(
        fromBalancer(Flows, firstPacket(relayKey(1)), ToDesk, RelayStart + 1200ms)[0].Operation ==
        Kind::Deliver);
  }

  // Guards against a late departure that resets the flows of the upstream that has started again.
  void testDeparture_ofEarlierIncarnation_keepsFlows() {
    auto Flows = readyFlows();
    open(Flows, relayKey(1));
    CPPUNIT_ASSERT(!Flows.onDeparture({"up-10", 9}, RelayStart));
    CPPUNIT_ASSERT(!Flows.upstreamEnded(RelayStart + 1s));
    // A departure of another upstream doesn't defer the end of one that has departed.
    CPPUNIT_ASSERT(Flows.onDeparture({"up-10", 10}, RelayStart));
    (void)Flows.onDeparture({"up-9", 9}, RelayStart + 90ms);
    CPPUNIT_ASSERT(Flows.upstreamEnded(RelayStart + relay::DepartureGrace));
  }

  void testQuery_upstreamOlderThanItsHeartbeatsSuggest_isUnsure() {
    UpstreamFlows Flows("desk", 1200ms, RelayStart);
    const auto Now = RelayStart + 10s;
    (void)Flows.onHeartbeat(heartbeat(4), Now);
    const relay::FlowQuery Query{1, {{relayKey(1), Sequence}}};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Flows.onQuery(Query, Now).Unsure.size());
    const auto Actions = fromBalancer(Flows, callerData(relayKey(1), Sequence), {}, Now);
    CPPUNIT_ASSERT(Actions[0].Operation == Kind::Deliver);
  }

  void testQuery_upstreamThatReplacedAnother_isAbsent() {
    UpstreamFlows Flows("desk", 1200ms, RelayStart);
    (void)Flows.onHeartbeat(heartbeat(30, 10), RelayStart);
    (void)Flows.onHeartbeat(heartbeat(3, 11), RelayStart + 2s);
    const relay::FlowQuery Query{1, {{relayKey(1), Sequence}}};
    CPPUNIT_ASSERT((Flows.onQuery(Query, RelayStart + 2s) == relay::FlowAnswer{1, {}, {}}));
  }

  // An upstream that was suspended resumes with its flows.
  void testFlow_ofUpstreamHeardAgainAfterSilence_isNotDenied() {
    const auto Resumed = RelayStart + 4s;
    for (const bool PacketFirst : {false, true}) {
      auto Flows = readyFlows();
      open(Flows, relayKey(1));
      CPPUNIT_ASSERT(Flows.upstreamEnded(Resumed));
      (void)Flows.resetOpenFlows();
      if (PacketFirst)
        (void)fromUpstream(Flows, upstreamData(relayKey(2), Sequence), Resumed);
      (void)Flows.onHeartbeat(heartbeat(2), Resumed);
      for (auto Now = Resumed; Now < Resumed + 2s; Now += 20ms)
        (void)Flows.onTimer(Now);
      (void)Flows.onHeartbeat(heartbeat(3), Resumed + 2s);
      const relay::FlowQuery Query{1, {{relayKey(1), Sequence}}};
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Flows.onQuery(Query, Resumed + 2s).Unsure.size());
      const auto Actions = fromBalancer(Flows, callerData(relayKey(1), Sequence), {}, Resumed + 2s);
      CPPUNIT_ASSERT(Actions[0].Operation == Kind::Deliver);
    }
  }

  void testReset_repeatedForUnconfirmedFlow_isNotSentToCaller() {
    UpstreamFlows Flows("desk", 1200ms, RelayStart);
    (void)Flows.onHeartbeat(heartbeat(30), RelayStart);
    for (const std::uint32_t Offset : {0U, 100U})
      (void)fromBalancer(Flows, callerData(relayKey(1), 99, 1000 + Offset),
                         {.Balancer = BalancerOne, .Search = true});
    auto Reset = upstreamData(relayKey(1), 99, 0);
    Reset.Flags = {.Rst = true};
    for (int Packet = 0; Packet < 2; ++Packet)
      CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                           countActions(fromUpstream(Flows, Reset), Kind::SendToCaller));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, Flows.load().Unanswered);
  }

  // A balancer that isn't told would go on sending the flow's packets to the wrong upstream.
  void testReset_ofUnconfirmedFlowWithoutSearch_returnsPacketToBalancer() {
    UpstreamFlows Flows("desk", 1200ms, RelayStart);
    (void)Flows.onHeartbeat(heartbeat(30), RelayStart);
    (void)fromBalancer(Flows, callerData(relayKey(1), 99));
    auto Reset = upstreamData(relayKey(1), 99, 0);
    Reset.Flags = {.Rst = true};
    const auto Actions = fromUpstream(Flows, Reset);
    CPPUNIT_ASSERT(Actions.size() == 1 && Actions[0].Operation == Kind::Return);
    CPPUNIT_ASSERT(Actions[0].Reason == ReturnReason::NotHeld && Actions[0].SavedPacket);
    CPPUNIT_ASSERT_EQUAL(BalancerOne, Actions[0].Balancer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Actions[0].SavedPacket->size());
  }

  // Messages that waited while this process was suspended may be handled before its first timer
  // call.
  void testQuery_afterSuspensionBeforeTimer_isHeld() {
    auto Flows = readyFlows();
    open(Flows, relayKey(1));
    (void)Flows.onTimer(RelayStart + 1s);
    const relay::FlowQuery Query{1, {{relayKey(1), Sequence}}};
    const auto Resumed = RelayStart + 6s;
    CPPUNIT_ASSERT((Flows.onQuery(Query, Resumed) == relay::FlowAnswer{1, {0}, {}}));
    CPPUNIT_ASSERT(Flows.state(Resumed) != UpstreamState::Ended);
    // Silence while the process runs still ends the upstream.
    for (auto Now = RelayStart + 1s; Now <= Resumed; Now += 20ms)
      (void)Flows.onTimer(Now);
    CPPUNIT_ASSERT(Flows.onQuery(Query, Resumed).Held.empty());
  }

  // A copy of the SYN can reach an agent that has restarted since the upstream accepted the flow.
  void testFlow_openBeforeRestartAndOfferedAgain_isAdopted() {
    UpstreamFlows Flows("desk", 1200ms, RelayStart);
    (void)Flows.onHeartbeat(heartbeat(30), RelayStart);
    (void)fromBalancer(Flows, firstPacket(relayKey(1), 1));
    const auto Adopted = fromUpstream(Flows, upstreamData(relayKey(1), Sequence + 1));
    const auto Actions = fromBalancer(Flows, callerData(relayKey(1), Sequence + 101));
    CPPUNIT_ASSERT(Actions.size() == 1 && Actions[0].Operation == Kind::Deliver);
    CPPUNIT_ASSERT(Flows.onTimer(RelayStart + relay::FirstAnswerTimeout).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countActions(Adopted, Kind::Notify));
  }

  void testFlow_offeredWithCompleteTable_isNotAdopted() {
    auto Flows = readyFlows();
    (void)fromBalancer(Flows, firstPacket(relayKey(1), 1));
    (void)fromUpstream(Flows, upstreamData(relayKey(1), Sequence + 1));
    const auto Actions = fromBalancer(Flows, callerData(relayKey(1), Sequence + 101));
    CPPUNIT_ASSERT(Actions.size() == 1 && Actions[0].Operation == Kind::Return);
  }

  // A flow that outlived its agent's restart must not be taken for a later one of the same port.
  void testQuery_otherFlowOfAdoptedFlowsPort_isNotHeld() {
    UpstreamFlows Flows("desk", 1200ms, RelayStart);
    (void)Flows.onHeartbeat(heartbeat(30), RelayStart);
    (void)fromUpstream(Flows, upstreamData(relayKey(1), Sequence));
    const relay::FlowQuery Held{1, {{relayKey(1), Sequence + 100}}};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Flows.onQuery(Held, RelayStart).Held.size());
    const relay::FlowQuery Other{2, {{relayKey(1), Sequence + 0x01000000}}};
    CPPUNIT_ASSERT((Flows.onQuery(Other, RelayStart) == relay::FlowAnswer{2, {}, {}}));
    const auto Next = callerData(relayKey(1), Sequence + 0x01000000);
    CPPUNIT_ASSERT(fromBalancer(Flows, Next)[0].Operation == Kind::Return);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         countActions(fromUpstream(Flows, returned(Next)), Kind::ResetCaller));
  }

  void testFlow_acceptedOnAdoptedFlowsPort_isHeld() {
    for (const std::uint32_t NextSequence : {Sequence + 0x01000000, Sequence - 0x01000000}) {
      UpstreamFlows Flows("desk", 1200ms, RelayStart);
      (void)Flows.onHeartbeat(heartbeat(30), RelayStart);
      (void)fromUpstream(Flows, upstreamData(relayKey(1), Sequence));
      auto Next = firstPacket(relayKey(1));
      Next.Sequence = 70'000;
      (void)fromBalancer(Flows, Next);
      (void)fromUpstream(Flows, upstreamAccept(relayKey(1), NextSequence));
      for (const std::uint32_t Sent : {0U, 100U}) {
        const relay::FlowQuery Query{1, {{relayKey(1), NextSequence + 1 + Sent}}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Flows.onQuery(Query, RelayStart).Held.size());
        const auto Data = callerData(relayKey(1), NextSequence + 1 + Sent, 70'001 + Sent);
        CPPUNIT_ASSERT(fromBalancer(Flows, Data)[0].Operation == Kind::Deliver);
        (void)fromUpstream(Flows, upstreamData(relayKey(1), NextSequence + 1 + Sent));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayUpstreamFlowsTest);

} // namespace galenarelay::tests
