#include "relay_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

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
  CPPUNIT_TEST(testFirstPacket_readyUpstream_opensAndNotifies);
  CPPUNIT_TEST(testFirstPacket_whileUpstreamCantTakeIt_isGivenBack);
  CPPUNIT_TEST(testFirstPacket_busyUpstream_isGivenBackUnlessInsisted);
  CPPUNIT_TEST(testFirstPacket_afterPauseBeforeFirstHeartbeat_isGivenBack);
  CPPUNIT_TEST(testAnswer_afterFullDeclines_tellsOneBalancerForEachPlace);
  CPPUNIT_TEST(testFirstPacket_unansweredByUpstream_goesBackInTime);
  CPPUNIT_TEST(testFirstPacket_refusedByUpstream_isGivenBack);
  CPPUNIT_TEST(testPacket_ofFlowThatAnotherUpstreamTook_isGivenBack);
  CPPUNIT_TEST(testPacket_beforeUpstreamAccepts_isNotForIt);
  CPPUNIT_TEST(testReset_ofDoubtedFlow_doesNotReachCaller);
  CPPUNIT_TEST(testPacket_ofEstablishedFlowLostByUpstream_resetsCaller);
  CPPUNIT_TEST(testPacket_unknownAfterRestart_asksUpstream);
  CPPUNIT_TEST(testPacket_unknownToCompleteTable_isDenied);
  CPPUNIT_TEST(testQuery_flows_areHeldUnsureOrAbsent);
  CPPUNIT_TEST(testQuery_justAfterStart_isUnsureUntilUpstreamMustHaveCalled);
  CPPUNIT_TEST(testFlow_ofDrainingUpstream_goesOn);
  CPPUNIT_TEST(testLoad_requestsAndFlows_areCounted);
  CPPUNIT_TEST(testLoad_adoptedFlow_isWorkUntilAnswered);
  CPPUNIT_TEST(testLoad_endedOrAbandonedFlow_isNone);
  CPPUNIT_TEST(testLoad_flowWithoutRequest_isNoWorkForLong);
  CPPUNIT_TEST(testLoad_callerGone_freesItsPlaceAfterTheUsualDelay);
  CPPUNIT_TEST(testDeparture_openFlows_areResetNearAcknowledgement);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint32_t Sequence = 5000;

  static UpstreamFlows readyFlows() {
    UpstreamFlows Flows("desk", 1200ms, RelayStart - 60s);
    (void)Flows.onHeartbeat(heartbeat(1), RelayStart);
    return Flows;
  }

  static FlowActions fromBalancer(UpstreamFlows &Flows, const relay::PacketHead &Head,
                                  Transit Fields = {BalancerOne, 0},
                                  common::TimePoint Now = RelayStart) {
    const relay::Bytes Raw{1, 2, 3};
    return Flows.onBalancerPacket(Head, Fields, Raw, BalancerOne, Now);
  }

  static FlowActions fromUpstream(UpstreamFlows &Flows, const relay::PacketHead &Head,
                                  common::TimePoint Now = RelayStart) {
    return Flows.onUpstreamPacket(Head, {BalancerOne}, Now);
  }

  static void open(UpstreamFlows &Flows, const packet::FlowKey &Key, Transit Fields = {}) {
    (void)fromBalancer(Flows, firstPacket(Key), Fields);
    (void)fromUpstream(Flows, upstreamAccept(Key, Sequence));
  }

  /// One request and its answer of 100 bytes.
  static void exchange(UpstreamFlows &Flows, const packet::FlowKey &Key, std::uint32_t Number) {
    (void)fromBalancer(Flows, callerData(Key, Sequence + 100 * Number, 1000 + 100 * Number));
    (void)fromUpstream(Flows, upstreamData(Key, Sequence + 100 * Number));
  }

public:
  void testFirstPacket_readyUpstream_opensAndNotifies() {
    auto Flows = readyFlows();
    const auto Offered = fromBalancer(Flows, firstPacket(relayKey(1)));
    CPPUNIT_ASSERT(Offered.size() == 1 && Offered[0].What == Kind::Deliver);
    const auto Accepted = fromUpstream(Flows, upstreamAccept(relayKey(1), Sequence));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countKind(Accepted, Kind::Notify));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countKind(Accepted, Kind::SendToCaller));
    CPPUNIT_ASSERT_EQUAL(BalancerOne, Accepted[0].Balancer);
  }

  void testFirstPacket_whileUpstreamCantTakeIt_isGivenBack() {
    struct Row {
      const char *Name;
      std::function<void(UpstreamFlows &)> Prepare;
      Transit Fields;
      common::Duration Later;
      ReturnReason Expected;
    };
    const auto None = [](UpstreamFlows &) {};
    const std::vector<Row> Rows{
        {"draining",
         [](UpstreamFlows &F) { (void)F.onHeartbeat(heartbeat(2, 10, true), RelayStart); },
         {},
         0s,
         ReturnReason::Leaving},
        {"departed",
         [](UpstreamFlows &F) { (void)F.onDeparture("up-10"); },
         {},
         0s,
         ReturnReason::Leaving},
        {"stopping", [](UpstreamFlows &F) { F.stop(); }, {}, 0s, ReturnReason::Leaving},
        {"silent", None, {}, 2s, ReturnReason::Unanswered},
        {"other service",
         None,
         {BalancerOne, relay::serviceDigest("intake")},
         0s,
         ReturnReason::WrongService},
        {"address used again",
         [](UpstreamFlows &F) {
           auto Next = heartbeat(1, 20);
           Next.Service = "intake";
           (void)F.onHeartbeat(Next, RelayStart);
         },
         {BalancerOne, relay::serviceDigest("desk")},
         0s,
         ReturnReason::WrongService}};
    for (const Row &Each : Rows) {
      auto Flows = readyFlows();
      Each.Prepare(Flows);
      const auto Given =
          fromBalancer(Flows, firstPacket(relayKey(1)), Each.Fields, RelayStart + Each.Later);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Given.size() == 1 && Given[0].What == Kind::Return);
      CPPUNIT_ASSERT_MESSAGE(Each.Name, Given[0].Reason == Each.Expected);
    }
  }

  void testFirstPacket_busyUpstream_isGivenBackUnlessInsisted() {
    auto Flows = readyFlows();
    for (const std::uint16_t Port : {1, 2})
      open(Flows, relayKey(Port));
    const auto Declined = fromBalancer(Flows, firstPacket(relayKey(3)));
    CPPUNIT_ASSERT(Declined[0].What == Kind::Return && Declined[0].Reason == ReturnReason::Busy);
    const auto Taken = fromBalancer(Flows, firstPacket(relayKey(3)), {.Insist = true});
    CPPUNIT_ASSERT(Taken[0].What == Kind::Deliver);
  }

  // While the agent stood still, its address may have been given to another service.
  void testFirstPacket_afterPauseBeforeFirstHeartbeat_isGivenBack() {
    UpstreamFlows Flows("desk", 1200ms, RelayStart);
    const Transit Fields{BalancerOne, relay::serviceDigest("desk")};
    CPPUNIT_ASSERT(fromBalancer(Flows, firstPacket(relayKey(1)), Fields)[0].What == Kind::Deliver);
    Flows.restartListening(RelayStart + 3s);
    const auto Later = fromBalancer(Flows, firstPacket(relayKey(2)), Fields, RelayStart + 3s);
    CPPUNIT_ASSERT(Later[0].What == Kind::Return && Later[0].Reason == ReturnReason::Unanswered);
    (void)Flows.onHeartbeat(heartbeat(4), RelayStart + 3s);
    const auto Known = fromBalancer(Flows, firstPacket(relayKey(3)), Fields, RelayStart + 3s);
    CPPUNIT_ASSERT(Known[0].What == Kind::Deliver);
  }

  void testAnswer_afterFullDeclines_tellsOneBalancerForEachPlace() {
    auto Flows = readyFlows();
    const auto Places = static_cast<std::uint16_t>(relay::usefulRequests(2));
    for (std::uint16_t Port = 1; Port <= Places; ++Port) {
      (void)fromBalancer(Flows, firstPacket(relayKey(Port)), {.Insist = true});
      (void)fromUpstream(Flows, upstreamAccept(relayKey(Port), Sequence));
      (void)fromBalancer(Flows, callerData(relayKey(Port), Sequence));
    }
    const relay::Bytes Raw{1, 2, 3};
    for (const auto Balancer : {BalancerOne, BalancerTwo, BalancerOne}) {
      const auto Declined =
          Flows.onBalancerPacket(firstPacket(relayKey(50)), {}, Raw, Balancer, RelayStart);
      CPPUNIT_ASSERT(Declined[0].Reason == ReturnReason::Full);
    }
    std::vector<relay::NodeAddress> Told;
    for (const std::uint16_t Port : {1, 2, 3})
      for (const auto &Each : fromUpstream(Flows, upstreamData(relayKey(Port), Sequence)))
        if (Each.What == Kind::Report)
          Told.push_back(Each.Balancer);
    CPPUNIT_ASSERT((Told == std::vector{BalancerOne, BalancerTwo}));
  }

  void testFirstPacket_unansweredByUpstream_goesBackInTime() {
    auto Flows = readyFlows();
    (void)fromBalancer(Flows, firstPacket(relayKey(1)));
    const auto Due = RelayStart + relay::FirstAnswerTimeout;
    CPPUNIT_ASSERT(Due < RelayStart + 200ms);
    CPPUNIT_ASSERT(Flows.onTimer(Due - 1ms).empty());
    const auto Given = Flows.onTimer(Due);
    CPPUNIT_ASSERT(Given.size() == 1 && Given[0].What == Kind::Return);
    CPPUNIT_ASSERT(Given[0].Reason == ReturnReason::Unanswered && Given[0].Saved->size() == 3);
    CPPUNIT_ASSERT(Flows.state(Due) == UpstreamState::Silent);
    (void)Flows.onHeartbeat(heartbeat(2), Due);
    CPPUNIT_ASSERT(Flows.state(Due) == UpstreamState::Ready);
  }

  void testFirstPacket_refusedByUpstream_isGivenBack() {
    auto Flows = readyFlows();
    (void)fromBalancer(Flows, firstPacket(relayKey(1)));
    const auto Given = fromUpstream(Flows, returned(firstPacket(relayKey(1))));
    CPPUNIT_ASSERT(Given[0].What == Kind::Return && Given[0].Reason == ReturnReason::Refused);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, Flows.load().Unanswered);
  }

  // Hunt, burbuja-xela trouble-1 --seed 727759498958: two upstreams had accepted a flow, the caller
  // answered the other one, and this agent reset the flow when its upstream returned the packet.
  void testPacket_ofFlowThatAnotherUpstreamTook_isGivenBack() {
    auto Flows = readyFlows();
    open(Flows, relayKey(1));
    const auto Foreign = callerData(relayKey(1), Sequence + 0x01000000);
    const auto Given = fromBalancer(Flows, Foreign);
    CPPUNIT_ASSERT(Given[0].What == Kind::Return && Given[0].Reason == ReturnReason::NotHeld);
    const auto Unlucky = callerData(relayKey(1), Sequence);
    (void)fromBalancer(Flows, Unlucky);
    const auto Back = fromUpstream(Flows, returned(Unlucky));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countKind(Back, Kind::ResetCaller));
  }

  // sunbox-relay-grown trouble-1: the upstream was slower than another one that the first packet
  // also went to, and reset the flow that the caller had opened there.
  void testPacket_beforeUpstreamAccepts_isNotForIt() {
    auto Flows = readyFlows();
    (void)fromBalancer(Flows, firstPacket(relayKey(1)));
    const auto Denied = fromBalancer(Flows, callerData(relayKey(1), 99), {.Search = true});
    CPPUNIT_ASSERT(Denied.size() == 1 && Denied[0].What == Kind::Deny);
    const auto Given = fromBalancer(Flows, callerData(relayKey(1), 99));
    CPPUNIT_ASSERT(Given.size() == 1 && Given[0].What == Kind::Return);
  }

  void testReset_ofDoubtedFlow_doesNotReachCaller() {
    UpstreamFlows Flows("desk", 1200ms, RelayStart);
    (void)Flows.onHeartbeat(heartbeat(30), RelayStart);
    (void)fromBalancer(Flows, callerData(relayKey(1), 99),
                       {.Balancer = BalancerOne, .Search = true});
    auto Reset = upstreamData(relayKey(1), 99, 0);
    Reset.Bits = {.Rst = true};
    const auto Told = fromUpstream(Flows, Reset);
    CPPUNIT_ASSERT(Told.size() == 1 && Told[0].What == Kind::Deny);
  }

  void testPacket_ofEstablishedFlowLostByUpstream_resetsCaller() {
    auto Flows = readyFlows();
    open(Flows, relayKey(1));
    exchange(Flows, relayKey(1), 0);
    const auto Next = callerData(relayKey(1), Sequence + 100, 1100);
    (void)fromBalancer(Flows, Next);
    const auto Lost = fromUpstream(Flows, returned(Next));
    CPPUNIT_ASSERT(Lost[0].What == Kind::ResetCaller);
    CPPUNIT_ASSERT_EQUAL(Sequence + 100, Lost[0].Sequence);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, Flows.load().Unanswered);
  }

  void testPacket_unknownAfterRestart_asksUpstream() {
    UpstreamFlows Flows("desk", 1200ms, RelayStart);
    (void)Flows.onHeartbeat(heartbeat(30), RelayStart);
    const auto Next = callerData(relayKey(1), Sequence);
    CPPUNIT_ASSERT(fromBalancer(Flows, Next)[0].What == Kind::Deliver);
    const auto Adopted = fromUpstream(Flows, upstreamData(relayKey(1), Sequence));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countKind(Adopted, Kind::Notify));
    for (const bool Search : {false, true}) {
      const auto Other = callerData(relayKey(2), Sequence);
      (void)fromBalancer(Flows, Other, {.Balancer = BalancerOne, .Search = Search});
      const auto Back = fromUpstream(Flows, returned(Other));
      CPPUNIT_ASSERT(Back[0].What == (Search ? Kind::Deny : Kind::Return));
    }
  }

  void testPacket_unknownToCompleteTable_isDenied() {
    auto Flows = readyFlows();
    const auto Given = fromBalancer(Flows, callerData(relayKey(1), Sequence), {.Search = true});
    CPPUNIT_ASSERT(Given[0].What == Kind::Deny);
  }

  void testQuery_flows_areHeldUnsureOrAbsent() {
    auto Complete = readyFlows();
    open(Complete, relayKey(1));
    const relay::FlowQuery Query{7, {{relayKey(1), Sequence}, {relayKey(2), Sequence}}};
    CPPUNIT_ASSERT((Complete.onQuery(Query, RelayStart) == relay::FlowAnswer{7, {0}, {}}));
    UpstreamFlows Restarted("desk", 1200ms, RelayStart);
    (void)Restarted.onHeartbeat(heartbeat(30), RelayStart);
    open(Restarted, relayKey(1));
    CPPUNIT_ASSERT((Restarted.onQuery(Query, RelayStart) == relay::FlowAnswer{7, {0}, {1}}));
    // The first heartbeat of all is heard by the agent that the upstream started beside.
    UpstreamFlows Together("desk", 1200ms, RelayStart);
    (void)Together.onHeartbeat(heartbeat(1), RelayStart);
    CPPUNIT_ASSERT((Together.onQuery(Query, RelayStart) == relay::FlowAnswer{7, {}, {}}));
  }

  // A new agent took its upstream for ended until the first heartbeat, and denied flows of an
  // upstream that lives, so that a balancer could reset them.
  void testQuery_justAfterStart_isUnsureUntilUpstreamMustHaveCalled() {
    UpstreamFlows Flows("desk", 1000ms, RelayStart);
    const relay::FlowQuery Query{1, {{relayKey(1), 77}}};
    CPPUNIT_ASSERT(Flows.state(RelayStart + 10ms) == UpstreamState::Unknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Flows.onQuery(Query, RelayStart + 10ms).Unsure.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Flows.onQuery(Query, RelayStart + 1300ms).Unsure.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Flows.onQuery(Query, RelayStart + 1500ms).Unsure.size());
    CPPUNIT_ASSERT(Flows.state(RelayStart + 1500ms) == UpstreamState::Ended);
  }

  void testFlow_ofDrainingUpstream_goesOn() {
    auto Flows = readyFlows();
    open(Flows, relayKey(1));
    (void)Flows.onHeartbeat(heartbeat(2, 10, true), RelayStart);
    CPPUNIT_ASSERT(fromBalancer(Flows, callerData(relayKey(1), Sequence))[0].What == Kind::Deliver);
  }

  void testLoad_requestsAndFlows_areCounted() {
    auto Flows = readyFlows();
    (void)fromBalancer(Flows, firstPacket(relayKey(1)), {.Long = true});
    CPPUNIT_ASSERT((Flows.load() == relay::UpstreamLoad{1, 1}));
    (void)fromUpstream(Flows, upstreamAccept(relayKey(1), Sequence));
    (void)fromBalancer(Flows, callerData(relayKey(1), Sequence));
    CPPUNIT_ASSERT((Flows.load() == relay::UpstreamLoad{1, 1}));
    (void)fromUpstream(Flows, upstreamData(relayKey(1), Sequence));
    CPPUNIT_ASSERT((Flows.load() == relay::UpstreamLoad{0, 1}));
    // A retransmission of the answered request is no new one.
    (void)fromBalancer(Flows, callerData(relayKey(1), Sequence));
    CPPUNIT_ASSERT((Flows.load() == relay::UpstreamLoad{0, 1}));
    auto End = callerData(relayKey(1), Sequence + 100, 1100, 0);
    End.Bits.Rst = true;
    (void)fromBalancer(Flows, End);
    CPPUNIT_ASSERT((Flows.load() == relay::UpstreamLoad{0, 0}));
  }

  // burbuja-xela scale-1: after all processes had been killed, agents counted requests of adopted
  // flows for ever, took their upstreams for full, and declined new flows.
  void testLoad_adoptedFlow_isWorkUntilAnswered() {
    for (const std::uint32_t Origin : {5U, 0x7fffff00U, 0x80000100U, 0xfffffff0U}) {
      UpstreamFlows Flows("desk", 1200ms, RelayStart);
      (void)Flows.onHeartbeat(heartbeat(30), RelayStart);
      (void)fromBalancer(Flows, callerData(relayKey(1), Origin, Origin));
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, Flows.load().Unanswered);
      (void)fromUpstream(Flows, upstreamData(relayKey(1), Origin));
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, Flows.load().Unanswered);
    }
  }

  // sunbox-relay-grown trouble-2: agents reported 88 long flows where 30 were open, since callers
  // that give up end their flows without a word.
  void testLoad_endedOrAbandonedFlow_isNone() {
    auto Flows = readyFlows();
    for (const std::uint16_t Port : {1, 2})
      open(Flows, relayKey(Port), {.Long = true});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, Flows.load().LongFlows);
    auto End = upstreamData(relayKey(1), Sequence, 0);
    End.Bits.Fin = true;
    (void)fromUpstream(Flows, End);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, Flows.load().LongFlows);
    (void)fromBalancer(Flows, callerData(relayKey(2), Sequence));
    for (common::TimePoint Now = RelayStart; Now < RelayStart + 11s; Now += 20ms)
      (void)Flows.onTimer(Now);
    CPPUNIT_ASSERT((Flows.load() == relay::UpstreamLoad{0, 0}));
  }

  void testLoad_flowWithoutRequest_isNoWorkForLong() {
    auto Flows = readyFlows();
    open(Flows, relayKey(1));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, Flows.load().Unanswered);
    for (common::TimePoint Now = RelayStart; Now < RelayStart + 1s; Now += 20ms)
      (void)Flows.onTimer(Now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, Flows.load().Unanswered);
  }

  // nkabom-relay trouble-2: after a power cut, callers that had gone kept upstreams full for half a
  // second each, while those that were there waited.
  void testLoad_callerGone_freesItsPlaceAfterTheUsualDelay() {
    auto Flows = readyFlows();
    auto Now = RelayStart;
    const auto Open = [&](std::uint16_t Port) {
      (void)fromBalancer(Flows, firstPacket(relayKey(Port)), {.Insist = true, .OthersWait = true},
                         Now);
      (void)fromUpstream(Flows, upstreamAccept(relayKey(Port), Sequence), Now);
    };
    for (std::uint16_t Port = 1; Port <= 20; ++Port) {
      Open(Port);
      Now += 7ms; // The caller's way.
      (void)fromBalancer(Flows, callerData(relayKey(Port), Sequence), {BalancerOne, 0}, Now);
      (void)fromUpstream(Flows, upstreamData(relayKey(Port), Sequence), Now);
    }
    for (std::uint16_t Port = 101; Port <= 110; ++Port)
      Open(Port);
    const auto Most = Flows.load().Unanswered;
    CPPUNIT_ASSERT(Most >= 2);
    std::size_t Notices = 0;
    for (const auto End = Now + 60ms; Now < End; Now += 20ms)
      Notices += countKind(Flows.onTimer(Now), Kind::Report);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, Flows.load().Unanswered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Notices); // One balancer waits, and is told once.
  }

  void testDeparture_openFlows_areResetNearAcknowledgement() {
    auto Flows = readyFlows();
    open(Flows, relayKey(1));
    exchange(Flows, relayKey(1), 0);
    (void)fromBalancer(Flows, callerData(relayKey(1), Sequence + 100, 1100, 0));
    (void)Flows.onDeparture("up-10");
    const auto Resets = Flows.resetAll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countKind(Resets, Kind::ResetCaller));
    CPPUNIT_ASSERT_EQUAL(Sequence + 100, Resets[0].Sequence);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayUpstreamFlowsTest);

} // namespace galenarelay::tests
