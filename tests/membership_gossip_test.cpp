#include "tests/gossip_network.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace galenarelay::tests {

using namespace membership;
using std::chrono::seconds;

class GossipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GossipTest);
  CPPUNIT_TEST(testJoin_lossyNetwork_viewsConverge);
  CPPUNIT_TEST(testJoin_twoNodes_bothJoin);
  CPPUNIT_TEST(testLeave_announced_isKnownEverywhere);
  CPPUNIT_TEST(testKill_node_isDeclaredDeadInTime);
  CPPUNIT_TEST(testPartition_healed_viewsConvergeWithoutEmptyTables);
  CPPUNIT_TEST(testPartition_longerThanRetention_healsThroughSeeds);
  CPPUNIT_TEST(testSuspicion_false_isRefuted);
  CPPUNIT_TEST(testPause_resumedNode_killsNobody);
  CPPUNIT_TEST(testRevision_raised_reachesEveryNode);
  CPPUNIT_TEST(testSupersedes_table_followsPrecedence);
  CPPUNIT_TEST(testMessage_malformed_isRejectedWithoutChange);
  CPPUNIT_TEST(testDatagram_manyChanges_staysWithinLimit);
  CPPUNIT_TEST(testWatchers_zone_areThreeAndStable);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t Count = 40;
  /// An edit must be in effect within 4 s (design section 1.7).
  static constexpr seconds EditLimit{4};
  /// One probe interval, one more until the suspicion, 3 s of suspicion, and the dissemination.
  static constexpr seconds DeathLimit{8};
  static constexpr seconds JoinLimit{30};

  static void form(GossipNetwork &Network, std::size_t Size = Count) {
    Network.add(Size);
    CPPUNIT_ASSERT(Network.runUntil(JoinLimit, [&] { return Network.converged(); }));
  }

  static bool seesState(Gossip &Core, const std::string &Id, MemberState State) {
    const Member *Found = Core.member(Id);
    return Found != nullptr && Found->State == State;
  }

public:
  // Guards against newcomers that stay unknown to some members when datagrams are lost.
  void testJoin_lossyNetwork_viewsConverge() {
    GossipNetwork Network(11, 0.1);
    form(Network);
    Network.add(3);
    CPPUNIT_ASSERT(Network.runUntil(JoinLimit, [&] { return Network.converged(); }));
  }

  // Guards against nodes that never count as joined, and so keep asking seeds and store, because
  // their views were equal from the first ack.
  void testJoin_twoNodes_bothJoin() {
    GossipNetwork Network(20);
    Network.add(2);
    const auto Joined = [&] {
      return Network.countUnless([](Gossip &Core) { return Core.joined(); }) == 0;
    };
    CPPUNIT_ASSERT(Network.runUntil(JoinLimit, Joined));
  }

  // Guards against a leave that some members learn of too late or not at all.
  void testLeave_announced_isKnownEverywhere() {
    GossipNetwork Network(12, 0.05);
    form(Network);
    Network.perform(7, Network.core(7).announce(MemberState::Leaving, {}, Network.now()));
    const auto Known = [&] {
      return Network.countUnless([](Gossip &Core) {
        return seesState(Core, GossipNetwork::id(7), MemberState::Leaving);
      }) == 0;
    };
    CPPUNIT_ASSERT(Network.runUntil(EditLimit, Known));
  }

  // Guards against a dead member that keeps getting new flows.
  void testKill_node_isDeclaredDeadInTime() {
    GossipNetwork Network(13);
    form(Network);
    Network.kill(5);
    CPPUNIT_ASSERT(Network.runUntil(DeathLimit, [&] { return Network.converged(); }));
  }

  // Guards against views that stay split after a partition, and against a side that takes the
  // other's reports of death for true and loses its own members.
  void testPartition_healed_viewsConvergeWithoutEmptyTables() {
    GossipNetwork Network(14, 0.02);
    form(Network);
    const auto Side = [](std::size_t I) { return I < Count / 2; };
    Network.setReachable([&](std::size_t From, std::size_t To) { return Side(From) == Side(To); });
    const auto Split = [&] {
      return Network.countUnless([](Gossip &Core) { return Core.liveCount() == Count / 2; }) == 0;
    };
    CPPUNIT_ASSERT(Network.runUntil(seconds(60), Split));
    Network.setReachable(nullptr);
    const auto Converged = [&] {
      for (std::size_t I = 0; I < Network.size(); ++I)
        CPPUNIT_ASSERT(Network.core(I).liveCount() >= Count / 2);
      return Network.converged();
    };
    CPPUNIT_ASSERT(Network.runUntil(seconds(60), Converged));
  }

  // Guards against dead records that are kept forever, and against halves that never meet again
  // because each has forgotten the other.
  void testPartition_longerThanRetention_healsThroughSeeds() {
    constexpr std::size_t Few = 8;
    GossipNetwork Network(24);
    form(Network, Few);
    const auto Side = [](std::size_t I) { return I < Few / 2; };
    Network.setReachable([&](std::size_t From, std::size_t To) { return Side(From) == Side(To); });
    const auto Forgotten = [&] {
      return Network.countUnless([](Gossip &Core) { return Core.members().size() == Few / 2; }) ==
             0;
    };
    CPPUNIT_ASSERT(Network.runUntil(DeadMemberRetention + seconds(60), Forgotten));
    Network.setReachable(nullptr);
    CPPUNIT_ASSERT(
        Network.runUntil(SeedContactInterval + JoinLimit, [&] { return Network.converged(); }));
  }

  // Guards against a live member that stays dead or suspect because its denial is ignored.
  void testSuspicion_false_isRefuted() {
    GossipNetwork Network(15);
    form(Network);
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
  // acks and refutations wait in its socket.
  void testPause_resumedNode_killsNobody() {
    GossipNetwork Network(16);
    form(Network, 3);
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

  // Guards against an edit that doesn't reach a node within the stated 4 s.
  void testRevision_raised_reachesEveryNode() {
    GossipNetwork Network(17, 0.05);
    form(Network);
    Network.perform(9, Network.core(9).setRevision(5, Network.now()));
    const auto Known = [&] {
      return Network.countUnless([](Gossip &Core) { return Core.revision() == 5; }) == 0;
    };
    CPPUNIT_ASSERT(Network.runUntil(EditLimit, Known));
    Network.perform(9, Network.core(9).setRevision(4, Network.now()));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, Network.core(9).revision());
  }

  // Guards against an order of states in which an old record replaces a newer one.
  void testSupersedes_table_followsPrecedence() {
    constexpr MemberState Rising[] = {MemberState::Joining, MemberState::Active,
                                      MemberState::Suspect, MemberState::Leaving,
                                      MemberState::Dead};
    for (const MemberState Offered : Rising)
      for (const MemberState Known : Rising)
        for (const std::uint64_t Incarnation : {1U, 2U, 3U}) {
          Member Left;
          Left.State = Offered;
          Left.Incarnation = Incarnation;
          Member Right;
          Right.State = Known;
          Right.Incarnation = 2;
          const bool Expected = Incarnation > 2 || (Incarnation == 2 && Offered > Known);
          CPPUNIT_ASSERT_EQUAL(Expected, supersedes(Left, Right));
        }
  }

  // Guards against input from the network that throws or changes the view.
  void testMessage_malformed_isRejectedWithoutChange() {
    using nlohmann::json;
    GossipNetwork Network(18);
    form(Network, 2);
    const json Good{{"t", "push"}, {"f", "agent-1"}, {"rev", 0}, {"d", 0}, {"u", json::array()}};
    const auto With = [&Good](const char *Key, json Value) {
      json Changed = Good;
      Changed[Key] = std::move(Value);
      return Changed;
    };
    json TooHigh = toJson(GossipNetwork::record(1));
    TooHigh["inc"] = ~std::uint64_t{0};
    const json Rows[] = {json::object(),
                         json::array(),
                         json(7),
                         With("t", "other"),
                         With("t", 3),
                         With("rev", "x"),
                         With("u", json::array({3})),
                         With("u", json::array({json::array({"agent-1", 9})})),
                         With("u", json::array({json::array({"agent-1", 1, 77})})),
                         With("u", json::array({json::object()})),
                         With("u", json::array({TooHigh}))};
    for (const json &Row : Rows) {
      const std::uint64_t Before = Network.core(0).digest();
      const auto Actions = Network.core(0).onMessage(Row, {1, 1}, Network.now());
      const bool Rejected = std::any_of(Actions.begin(), Actions.end(), [](const auto &Each) {
        return std::holds_alternative<RejectInput>(Each);
      });
      CPPUNIT_ASSERT_MESSAGE(Row.dump(), Rejected);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Row.dump(), Before, Network.core(0).digest());
    }
  }

  // Guards against datagrams that are fragmented or refused when many records change at once.
  void testDatagram_manyChanges_staysWithinLimit() {
    GossipNetwork Network(19);
    form(Network, 3);
    std::vector<Member> Many;
    for (std::size_t I = 100; I < 150; ++I) {
      Many.push_back(GossipNetwork::record(I));
      Many.back().Residual.assign(60, "a-service-with-a-long-name-" + std::to_string(I));
    }
    static_cast<void>(Network.core(0).onMembers(Many, Network.now()));
    for (int Turn = 0; Turn < 100; ++Turn)
      for (const auto &Action : Network.core(0).onTimer(Network.core(0).nextTimer()))
        if (const auto *Sent = std::get_if<SendDatagram>(&Action))
          CPPUNIT_ASSERT(Sent->Bytes.size() <= MaxDatagramBytes);
  }

  // Guards against a zone without watchers, or with so many that store calls grow with the fleet.
  void testWatchers_zone_areThreeAndStable() {
    std::vector<Member> Members;
    for (std::size_t I = 0; I < 30; ++I)
      Members.push_back(GossipNetwork::record(I));
    const auto Chosen = storeWatchers(Members, "zone-1");
    CPPUNIT_ASSERT_EQUAL(WatchersPerZone, Chosen.size());
    std::reverse(Members.begin(), Members.end());
    CPPUNIT_ASSERT(Chosen == storeWatchers(Members, "zone-1"));
    for (Member &Each : Members)
      if (Each.Id == Chosen[0])
        Each.State = MemberState::Leaving;
    const auto After = storeWatchers(Members, "zone-1");
    CPPUNIT_ASSERT_EQUAL(WatchersPerZone, After.size());
    CPPUNIT_ASSERT_EQUAL(Chosen[1], After[0]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipTest);

} // namespace galenarelay::tests
