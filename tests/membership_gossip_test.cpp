#include "tests/gossip_network.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace galenarelay::tests {

using namespace membership;
using std::chrono::seconds;

class GossipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GossipTest);
  CPPUNIT_TEST(testJoin_lossyNetwork_viewsConverge);
  CPPUNIT_TEST(testJoin_twoNodes_bothReportJoined);
  CPPUNIT_TEST(testLeave_announced_isKnownEverywhere);
  CPPUNIT_TEST(testKill_node_isDeclaredDeadInTime);
  CPPUNIT_TEST(testPartition_healed_viewsConvergeWithoutEmptyTables);
  CPPUNIT_TEST(testPartition_longerThanRetention_viewsConvergeThroughSeeds);
  CPPUNIT_TEST(testPing_ofForgottenMember_asksForItsRecord);
  CPPUNIT_TEST(testSuspicion_false_isRefuted);
  CPPUNIT_TEST(testPause_resumedNode_declaresNoPeerDead);
  CPPUNIT_TEST(testRevision_raised_reachesEveryNode);
  CPPUNIT_TEST(testStoreEra_seenByOne_reachesEveryNode);
  CPPUNIT_TEST(testSupersedes_allStatesAndIncarnations_followsPrecedence);
  CPPUNIT_TEST(testMessage_malformed_isRejectedAndViewUnchanged);
  CPPUNIT_TEST(testMessage_oddRecord_keepsOthers);
  CPPUNIT_TEST(testDatagram_manyChanges_staysWithinLimit);
  CPPUNIT_TEST(testWatchers_zone_countAndOrderAreStable);
  CPPUNIT_TEST(testStoreReads_mostMembersTurnedAway_areKnownToAll);
  CPPUNIT_TEST(testStoreReads_messageOfPeer_countsWithItsRevisionOnly);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t ClusterSize = 40;
  /// A configuration change must be in effect within 4 s (design section 1.7).
  static constexpr seconds PropagationLimit{4};
  /// Sum of one probe interval until the probe, one until the suspicion, 3 s of suspicion timeout
  /// and the dissemination.
  static constexpr seconds DeathLimit{8};
  static constexpr seconds JoinLimit{30};

  static void formCluster(GossipNetwork &Network, std::size_t Size = ClusterSize) {
    Network.add(Size);
    CPPUNIT_ASSERT(Network.runUntil(JoinLimit, [&] { return Network.converged(); }));
  }

  static bool seesState(Gossip &Core, const std::string &Id, MemberState State) {
    const Member *Found = Core.member(Id);
    return Found != nullptr && Found->State == State;
  }

public:
  // Guards against joining members that stay unknown to some members when datagrams are lost.
  void testJoin_lossyNetwork_viewsConverge() {
    GossipNetwork Network(11, 0.1);
    formCluster(Network);
    Network.add(3);
    CPPUNIT_ASSERT(Network.runUntil(JoinLimit, [&] { return Network.converged(); }));
  }

  // Guards against nodes that never report joined, and so keep contacting seeds and the store. It
  // happens if joining requires a member list, since views that are equal from the first ack need
  // none.
  void testJoin_twoNodes_bothReportJoined() {
    GossipNetwork Network(20);
    Network.add(2);
    const auto Joined = [&] {
      return Network.countUnless([](Gossip &Core) { return Core.joined(); }) == 0;
    };
    CPPUNIT_ASSERT(Network.runUntil(JoinLimit, Joined));
  }

  // Guards against a leave that reaches some members late or not at all.
  void testLeave_announced_isKnownEverywhere() {
    GossipNetwork Network(12, 0.05);
    formCluster(Network);
    Network.perform(7, Network.core(7).announce(MemberState::Leaving, {}, Network.now()));
    const auto AllKnowLeave = [&] {
      return Network.countUnless([](Gossip &Core) {
        return seesState(Core, GossipNetwork::id(7), MemberState::Leaving);
      }) == 0;
    };
    CPPUNIT_ASSERT(Network.runUntil(PropagationLimit, AllKnowLeave));
  }

  // Guards against a failed member that isn't declared dead and keeps getting new flows.
  void testKill_node_isDeclaredDeadInTime() {
    GossipNetwork Network(13);
    formCluster(Network);
    Network.kill(5);
    CPPUNIT_ASSERT(Network.runUntil(DeathLimit, [&] { return Network.converged(); }));
  }

  // Guards against views that stay split after a partition, and against a side that accepts the
  // other side's reports that its own members are dead, and so removes them.
  void testPartition_healed_viewsConvergeWithoutEmptyTables() {
    GossipNetwork Network(14, 0.02);
    formCluster(Network);
    const auto InFirstHalf = [](std::size_t I) { return I < ClusterSize / 2; };
    Network.setReachable(
        [&](std::size_t From, std::size_t To) { return InFirstHalf(From) == InFirstHalf(To); });
    const auto Split = [&] {
      return Network.countUnless(
                 [](Gossip &Core) { return Core.liveCount() == ClusterSize / 2; }) == 0;
    };
    CPPUNIT_ASSERT(Network.runUntil(seconds(60), Split));
    Network.setReachable(nullptr);
    const auto Converged = [&] {
      for (std::size_t I = 0; I < Network.size(); ++I)
        CPPUNIT_ASSERT(Network.core(I).liveCount() >= ClusterSize / 2);
      return Network.converged();
    };
    CPPUNIT_ASSERT(Network.runUntil(seconds(60), Converged));
  }

  // Guards against dead records that are kept forever, and against halves that stay split because
  // each has removed the records of the other.
  void testPartition_longerThanRetention_viewsConvergeThroughSeeds() {
    constexpr std::size_t NodeCount = 8;
    GossipNetwork Network(24);
    formCluster(Network, NodeCount);
    const auto InFirstHalf = [](std::size_t I) { return I < NodeCount / 2; };
    Network.setReachable(
        [&](std::size_t From, std::size_t To) { return InFirstHalf(From) == InFirstHalf(To); });
    const auto Forgotten = [&] {
      return Network.countUnless(
                 [](Gossip &Core) { return Core.members().size() == NodeCount / 2; }) == 0;
    };
    CPPUNIT_ASSERT(Network.runUntil(DeadMemberRetention + seconds(60), Forgotten));
    Network.setReachable(nullptr);
    CPPUNIT_ASSERT(
        Network.runUntil(SeedContactInterval + JoinLimit, [&] { return Network.converged(); }));
  }

  // Guards against a view that never gets a member back which it has forgotten: views of members
  // that have all forgotten it are equal, so that none of them asks for a list.
  void testPing_ofForgottenMember_asksForItsRecord() {
    GossipNetwork Network(31);
    formCluster(Network, 3);
    const nlohmann::json Ping{{"t", "ping"}, {"f", "forgotten"}, {"rev", 0},
                              {"era", 0},    {"d", 1},           {"u", nlohmann::json::array()},
                              {"n", 5}};
    const common::Endpoint From{0x0a0000ff, 2};
    std::vector<std::string> Answers;
    for (const auto &Action : Network.core(0).onMessage(Ping, From, Network.now())) {
      const auto &Sent = std::get<SendDatagram>(Action);
      CPPUNIT_ASSERT(Sent.To == From);
      const auto Message = nlohmann::json::from_cbor(Sent.Bytes);
      Answers.push_back(Message.at("t").get<std::string>() + (Message.contains("j") ? " j" : ""));
    }
    CPPUNIT_ASSERT((Answers == std::vector<std::string>{"ack", "ping j"}));
  }

  // Guards against a live member that stays suspect or dead because its refutation is ignored.
  void testSuspicion_false_isRefuted() {
    GossipNetwork Network(15);
    formCluster(Network);
    Network.setReachable([](std::size_t From, std::size_t To) { return From != 3 && To != 3; });
    const auto Suspected = [&] {
      return seesState(Network.core(0), GossipNetwork::id(3), MemberState::Suspect);
    };
    CPPUNIT_ASSERT(Network.runUntil(DeathLimit, Suspected));
    Network.setReachable(nullptr);
    const auto Refuted = [&] {
      CPPUNIT_ASSERT(!seesState(Network.core(0), GossipNetwork::id(3), MemberState::Dead));
      return Network.converged() && Network.core(0).member(GossipNetwork::id(3))->Incarnation > 1 &&
             seesState(Network.core(0), GossipNetwork::id(3), MemberState::Active);
    };
    CPPUNIT_ASSERT(Network.runUntil(SuspicionTimeout, Refuted));
  }

  // Guards against a paused process that declares its peers dead when it resumes, although their
  // acks and refutations are waiting in its socket.
  void testPause_resumedNode_declaresNoPeerDead() {
    GossipNetwork Network(16);
    formCluster(Network, 3);
    Gossip &Paused = Network.core(0);
    const auto Suspicion = nlohmann::json::array({"agent-1", 1, MemberState::Suspect});
    static_cast<void>(Paused.onMessage({{"t", "push"},
                                        {"f", "agent-2"},
                                        {"rev", 0},
                                        {"d", 0},
                                        {"u", nlohmann::json::array({Suspicion})}},
                                       GossipNetwork::record(2).Control, Network.now()));
    CPPUNIT_ASSERT(seesState(Paused, "agent-1", MemberState::Suspect));
    const auto SendsPing = [](const GossipAction &Action) {
      const auto *Sent = std::get_if<SendDatagram>(&Action);
      return Sent != nullptr && nlohmann::json::from_cbor(Sent->Bytes).at("t") == "ping";
    };
    GossipActions Actions;
    while (std::none_of(Actions.begin(), Actions.end(), SendsPing))
      Actions = Paused.onTimer(Paused.nextTimer());
    static_cast<void>(Paused.onTimer(Paused.nextTimer() + seconds(20)));
    CPPUNIT_ASSERT(seesState(Paused, "agent-1", MemberState::Suspect));
    CPPUNIT_ASSERT(seesState(Paused, "agent-2", MemberState::Active));
  }

  // Guards against a configuration change that doesn't reach a node within PropagationLimit, 4 s,
  // and against a lower revision that replaces a higher one.
  void testRevision_raised_reachesEveryNode() {
    GossipNetwork Network(17, 0.05);
    formCluster(Network);
    Network.perform(9, Network.core(9).setRevision(5, Network.now()));
    const auto AllKnowRevision = [&] {
      return Network.countUnless([](Gossip &Core) { return Core.revision() == 5; }) == 0;
    };
    CPPUNIT_ASSERT(Network.runUntil(PropagationLimit, AllKnowRevision));
    Network.perform(9, Network.core(9).setRevision(4, Network.now()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, Network.core(9).revision());
  }

  // Guards against a restore of the store that only the nodes notice that watch it.
  void testStoreEra_seenByOne_reachesEveryNode() {
    GossipNetwork Network(17, 0.05);
    formCluster(Network);
    Network.perform(9, Network.core(9).setStoreEra(2, Network.now()));
    const auto AllKnowEra = [&] {
      return Network.countUnless([](Gossip &Core) { return Core.storeEra() == 2; }) == 0;
    };
    CPPUNIT_ASSERT(Network.runUntil(PropagationLimit, AllKnowEra));
  }

  // Guards against a precedence of states by which an older record supersedes a newer one.
  void testSupersedes_allStatesAndIncarnations_followsPrecedence() {
    constexpr MemberState AscendingStates[] = {MemberState::Joining, MemberState::Active,
                                               MemberState::Suspect, MemberState::Leaving,
                                               MemberState::Dead};
    for (const MemberState IncomingState : AscendingStates)
      for (const MemberState KnownState : AscendingStates)
        for (const std::uint64_t Incarnation : {1U, 2U, 3U}) {
          Member Incoming;
          Incoming.State = IncomingState;
          Incoming.Incarnation = Incarnation;
          Member Known;
          Known.State = KnownState;
          Known.Incarnation = 2;
          const bool Expected = Incarnation > 2 || (Incarnation == 2 && IncomingState > KnownState);
          CPPUNIT_ASSERT_EQUAL(Expected, supersedes(Incoming, Known));
        }
  }

  // Guards against malformed messages that throw an exception or change the view.
  void testMessage_malformed_isRejectedAndViewUnchanged() {
    using nlohmann::json;
    GossipNetwork Network(18);
    formCluster(Network, 2);
    const json ValidMessage{
        {"t", "push"}, {"f", "agent-1"}, {"rev", 0}, {"d", 0}, {"u", json::array()}};
    const auto WithField = [&ValidMessage](const char *Key, json Value) {
      json Changed = ValidMessage;
      Changed[Key] = std::move(Value);
      return Changed;
    };
    json TooHigh = toJson(GossipNetwork::record(1));
    TooHigh["inc"] = ~std::uint64_t{0};
    const json MalformedMessages[] = {
        json::object(),
        json::array(),
        json(7),
        WithField("t", "other"),
        WithField("t", 3),
        WithField("rev", "x"),
        WithField("u", json::array({3})),
        WithField("u", json::array({json::array({"agent-1", 9})})),
        WithField("u", json::array({json::array({"agent-1", 1, 77})})),
        WithField("u", json::array({json::object()})),
        WithField("u", json::array({TooHigh}))};
    for (const json &Message : MalformedMessages) {
      const std::uint64_t Before = Network.core(0).digest();
      const auto Actions = Network.core(0).onMessage(Message, {1, 1}, Network.now());
      const bool Rejected = std::any_of(Actions.begin(), Actions.end(), [](const auto &Action) {
        return std::holds_alternative<RejectInput>(Action);
      });
      CPPUNIT_ASSERT_MESSAGE(Message.dump(), Rejected);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Message.dump(), Before, Network.core(0).digest());
    }
  }

  // Guards against one odd record that hides the others of its message.
  void testMessage_oddRecord_keepsOthers() {
    using nlohmann::json;
    GossipNetwork Network(18);
    formCluster(Network, 2);
    json Odd = toJson(GossipNetwork::record(6));
    Odd["slots"] = -1;
    const std::vector<json> OddRecords{3,
                                       nullptr,
                                       "agent-6",
                                       json::array(),
                                       json::array({"agent-1", true, 1}),
                                       json::array({"agent-1", 1, 2.5}),
                                       json::array({7, 1, 1}),
                                       Odd};
    for (std::size_t I = 0; I < OddRecords.size(); ++I) {
      const json Message{{"t", "push"},
                         {"f", "agent-1"},
                         {"rev", 0},
                         {"d", 0},
                         {"u", {OddRecords[I], toJson(GossipNetwork::record(10 + I))}}};
      const auto Actions = Network.core(0).onMessage(Message, {1, 1}, Network.now());
      CPPUNIT_ASSERT_MESSAGE(Message.dump(), Network.core(0).member(GossipNetwork::id(10 + I)));
      CPPUNIT_ASSERT_MESSAGE(Message.dump(),
                             std::any_of(Actions.begin(), Actions.end(), [](const auto &Action) {
                               return std::holds_alternative<RejectInput>(Action);
                             }));
    }
    CPPUNIT_ASSERT(Network.core(0).member("agent-6") == nullptr);
  }

  // Guards against datagrams above the size limit, which are fragmented or rejected, when many
  // records change at once.
  void testDatagram_manyChanges_staysWithinLimit() {
    GossipNetwork Network(19);
    formCluster(Network, 3);
    std::vector<Member> ChangedMembers;
    for (std::size_t I = 100; I < 150; ++I) {
      ChangedMembers.push_back(GossipNetwork::record(I));
      ChangedMembers.back().ResidualServices.assign(60, "a-service-with-a-long-name-" +
                                                            std::to_string(I));
    }
    static_cast<void>(Network.core(0).onMembers(ChangedMembers, Network.now()));
    for (int Tick = 0; Tick < 100; ++Tick)
      for (const auto &Action : Network.core(0).onTimer(Network.core(0).nextTimer()))
        if (const auto *Sent = std::get_if<SendDatagram>(&Action))
          CPPUNIT_ASSERT(Sent->Bytes.size() <= MaxDatagramBytes);
  }

  // Guards against a zone without watchers, against a number of watchers, and so of store requests,
  // that grows with the zone, and against a selection that depends on the order of members.
  void testWatchers_zone_countAndOrderAreStable() {
    std::vector<Member> Members;
    for (std::size_t I = 0; I < 30; ++I)
      Members.push_back(GossipNetwork::record(I));
    const auto Watchers = storeWatchers(Members, "zone-1");
    CPPUNIT_ASSERT_EQUAL(WatchersPerZone, Watchers.size());
    std::reverse(Members.begin(), Members.end());
    CPPUNIT_ASSERT(Watchers == storeWatchers(Members, "zone-1"));
    for (Member &Candidate : Members)
      if (Candidate.Id == Watchers[0])
        Candidate.State = MemberState::Leaving;
    const auto WatchersAfterLeave = storeWatchers(Members, "zone-1");
    CPPUNIT_ASSERT_EQUAL(WatchersPerZone, WatchersAfterLeave.size());
    CPPUNIT_ASSERT_EQUAL(Watchers[1], WatchersAfterLeave[0]);
  }

  // Guards against members that wait without limit for others which the store turns away, and
  // against reads whose number grows with the system.
  void testStoreReads_mostMembersTurnedAway_areKnownToAll() {
    GossipNetwork Network(23);
    Network.StoreServes = [](std::size_t I) { return I % 3 == 0; };
    formCluster(Network, 150);
    Network.run(std::chrono::seconds(10));
    const auto Reads = [&] {
      std::uint64_t Sum = 0;
      for (std::size_t I = 0; I < Network.size(); ++I)
        Sum += Network.node(I).StoreReads;
      return Sum;
    };
    const auto Before = Reads();
    for (int Second = 0; Second < 30; ++Second) {
      Network.run(std::chrono::seconds(1));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Network.countUnless([&](Gossip &Core) {
        const auto Age = Core.storeReadAge(Network.now());
        return Age && *Age <= StoreReadBounds.MaxAge + ProbeInterval;
      }));
    }
    // Each read keeps the others from reading for MinAge; some are done beside it.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Reads() - Before), Reads() - Before <= 60);
  }

  // Guards against knowledge of a sender that has a configuration which isn't here yet, and against
  // messages of earlier versions that are refused.
  void testStoreReads_messageOfPeer_countsWithItsRevisionOnly() {
    GossipNetwork Network(29);
    formCluster(Network, 2);
    Gossip &Core = Network.core(0);
    const auto Hear = [&](std::uint64_t Revision, std::optional<int> Age) {
      nlohmann::json Message{{"t", "push"},        {"f", GossipNetwork::id(1)},
                             {"rev", Revision},    {"era", 0},
                             {"d", Core.digest()}, {"u", nlohmann::json::array()}};
      if (Age)
        Message["age"] = *Age;
      for (const auto &Action :
           Core.onMessage(Message, GossipNetwork::record(1).Control, Network.now()))
        CPPUNIT_ASSERT(!std::holds_alternative<RejectInput>(Action));
      return Core.storeReadAge(Network.now());
    };
    Network.run(std::chrono::seconds(2));
    const auto Before = Core.storeReadAge(Network.now());
    CPPUNIT_ASSERT(Hear(Core.revision(), std::nullopt) == Before);
    CPPUNIT_ASSERT(Hear(Core.revision() + 1, 1) == Before);
    CPPUNIT_ASSERT(Hear(Core.revision(), 1) == std::chrono::milliseconds(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipTest);

} // namespace galenarelay::tests
