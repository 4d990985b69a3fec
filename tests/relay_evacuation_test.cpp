#include "platform/store_protocol.h"
#include "relay_fixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <string>

namespace galenarelay::tests {

using platform::StoreProtocol;
using relay::Evacuations;
using relay::ReturnReason;
using relay::SteeringAction;
using relay::SteeringReason;

/// Tests what the operator's evacuation requests mean, how they travel, and what nodes do by them.
class RelayEvacuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayEvacuationTest);
  CPPUNIT_TEST(testNewer_olderOrUnknown_changesNothing);
  CPPUNIT_TEST(testNewer_laterEra_winsWithLowerRevision);
  CPPUNIT_TEST(testList_ofStore_replacesTheSet);
  CPPUNIT_TEST(testChanges_requestAndRemovalInOneGap_leaveNone);
  CPPUNIT_TEST(testChanges_withoutRequests_keepTheRevision);
  CPPUNIT_TEST(testKeys_unreadable_areIgnoredAndNamed);
  CPPUNIT_TEST(testValue_unreadable_isARequest);
  CPPUNIT_TEST(testBeacon_withoutKnowledge_isAsBefore);
  CPPUNIT_TEST(testBeacon_withReadAge_isReadByEarlierVersions);
  CPPUNIT_TEST(testBeacon_longestLists_staysBelowTheLimit);
  CPPUNIT_TEST(testBeacon_tooManyZones_isNotComplete);
  CPPUNIT_TEST(testBeacon_oddZones_isRefused);
  CPPUNIT_TEST(testPlacement_zoneEvacuated_avoidsItUntilTheReturn);
  CPPUNIT_TEST(testPlacement_allZonesEvacuated_isRefusedAtOnce);
  CPPUNIT_TEST(testPlacement_mostAgentsEvacuated_findsTheOthers);
  CPPUNIT_TEST(testPlacement_unknownZoneEvacuated_concernsNoAgent);
  CPPUNIT_TEST(testPlacement_busyAgentOfEvacuatedZone_isNotInsistedOn);
  CPPUNIT_TEST(testOpenFlow_zoneEvacuated_staysAtItsAgent);
  CPPUNIT_TEST(testAgent_balancerDoesNotKnowYet_declinesNewFlows);
  CPPUNIT_TEST(testAgent_zoneEvacuated_keepsOpenFlows);
  CPPUNIT_TEST_SUITE_END();

  static Evacuations evacuated(std::set<std::string, std::less<>> Zones, std::uint64_t Number = 7,
                               relay::StoreEra Era = 1) {
    return {{Era, Number}, std::move(Zones)};
  }

  static relay::EvacuationRequests read(const std::string &Page) {
    const auto Parsed = StoreProtocol::readPage({200, Page});
    CPPUNIT_ASSERT(Parsed);
    return relay::readEvacuations(*Parsed, &StoreProtocol::readEvacuationKey);
  }

  static std::string row(const std::string &Key, std::uint64_t Revision,
                         const std::string &Rest = R"("value":"e30=")") {
    return R"({"key":")" + Key + R"(","revision":)" + std::to_string(Revision) + "," + Rest + "}";
  }

  static std::string page(const std::vector<std::string> &Rows) {
    std::string All;
    for (const auto &Each : Rows)
      All += (All.empty() ? "" : ",") + Each;
    return R"({"items":[)" + All + R"(],"currentRev":50})";
  }

  /// A balancer in zone a, with agents of the service desk in the zones a and b.
  struct Node {
    explicit Node(relay::policy::Mechanisms InUse = {})
        : Directory("a", 1, InUse), Steering(BalancerOne, Directory, RelayStart - 60s, InUse) {
      Steering.setRoutes(relayRoutes());
      Steering.setRoutesCurrent(true);
      report(AgentOne, "a");
      report(AgentTwo, "b");
    }
    void report(relay::NodeAddress Agent, const std::string &Zone) {
      auto Report = agentReport(1);
      Report.Zone = Zone;
      (void)Directory.onReport(Agent, Report, RelayStart);
    }
    relay::SteeringActions send(const relay::PacketHeader &Head) {
      const relay::Bytes Raw{1, 2, 3};
      return Steering.onPacket(Head, Raw, RelayStart);
    }
    /// Agents that 100 new flows go to.
    std::set<relay::NodeAddress> agentsOfNewFlows(std::uint16_t FirstPort) {
      std::set<relay::NodeAddress> Agents;
      for (std::uint16_t I = 0; I < 100; ++I) {
        // Orders, which are short: each gets an answer before the next.
        const auto Key = relayKey(static_cast<std::uint16_t>(FirstPort + I), OrdersAddress);
        for (const auto &Action : send(firstPacket(Key)))
          if (Action.Operation == SteeringAction::Kind::Forward) {
            Agents.insert(Action.Agent);
            Directory.undoPlacement(Action.Agent, relay::FlowKind::Short);
          }
      }
      return Agents;
    }

    relay::UpstreamDirectory Directory;
    relay::FlowSteering Steering;
  };

  using AgentSet = std::set<relay::NodeAddress>;

  static relay::FlowActions give(relay::UpstreamFlows &Flows, const relay::PacketHeader &Head) {
    const relay::Bytes Raw{1, 2, 3};
    return Flows.onBalancerPacket(Head, {BalancerOne, relay::serviceDigest("desk")}, Raw,
                                  BalancerOne, RelayStart);
  }

  static relay::UpstreamFlows readyFlows() {
    relay::UpstreamFlows Flows("desk", 1200ms, RelayStart - 60s);
    (void)Flows.onHeartbeat(heartbeat(1), RelayStart);
    return Flows;
  }

public:
  // Guards against a late beacon, or one of a balancer that has just started, which ends an
  // evacuation. It is also how a balancer learns that the store refuses.
  void testNewer_olderOrUnknown_changesNothing() {
    const auto Known = evacuated({"a"}, 7);
    CPPUNIT_ASSERT(Known.takingNewer({}) == Known);
    CPPUNIT_ASSERT(Known.takingNewer(evacuated({}, 6)) == Known);
    CPPUNIT_ASSERT(Known.takingNewer(evacuated({"b"}, 7)) == Known);
    CPPUNIT_ASSERT(Evacuations().takingNewer(Known) == Known);
    CPPUNIT_ASSERT(Known.takingNewer(evacuated({}, 8)) == evacuated({}, 8));
    // A node without an era has heard of no store.
    CPPUNIT_ASSERT(Evacuations().takingNewer(Evacuations{{3, 0}, {"a"}}) == Evacuations());
  }

  // Guards against a zone that stays evacuated although the restored store has lost the request.
  void testNewer_laterEra_winsWithLowerRevision() {
    const auto Known = evacuated({"a"}, 900, 1);
    const auto Restored = evacuated({}, 20, 2);
    CPPUNIT_ASSERT(Known.takingNewer(Restored) == Restored);
    CPPUNIT_ASSERT(Restored.takingNewer(Known) == Restored);
  }

  void testList_ofStore_replacesTheSet() {
    const auto Requests =
        read(page({row("op/config", 3), row("op/evacuate/b", 40), row("op/evacuate/c", 41)}));
    CPPUNIT_ASSERT((Requests.listed({1, 50}) == Evacuations{{1, 50}, {"b", "c"}}));
    CPPUNIT_ASSERT((read(page({row("op/config", 3)})).listed({1, 50}) == Evacuations{{1, 50}, {}}));
  }

  // Guards against a watch that tells of both after a gap, where the request would stay.
  void testChanges_requestAndRemovalInOneGap_leaveNone() {
    const std::string Removal = row("op/evacuate/a", 44, R"("tombstone":true)");
    const auto Both = read(page({Removal, row("op/evacuate/a", 41), row("op/evacuate/b", 42)}));
    CPPUNIT_ASSERT((Both.appliedTo({}, {1, 50}) == Evacuations{{1, 50}, {"b"}}));
    const auto Again = read(page({row("op/evacuate/a", 45), Removal}));
    CPPUNIT_ASSERT(
        (Again.appliedTo(evacuated({"c"}), {1, 50}) == Evacuations{{1, 50}, {"a", "c"}}));
    // A store that tells only of the removal.
    CPPUNIT_ASSERT((read(page({Removal})).appliedTo({}, {1, 50}) == Evacuations{{1, 50}, {}}));
  }

  // Guards against a store that tells of a change late: a node that has learned of it from a peer
  // keeps it.
  void testChanges_withoutRequests_keepTheRevision() {
    const auto Known = evacuated({"a"}, 7);
    CPPUNIT_ASSERT(read(page({row("op/config", 44)})).appliedTo(Known, {1, 50}) == Known);
  }

  void testKeys_unreadable_areIgnoredAndNamed() {
    const std::string Long(relay::MaxZoneNameBytes + 1, 'z');
    const auto Requests =
        read(page({row("op/evacuate/", 1), row("op/evacuate/a/b", 2), row("op/evacuate/ a", 3),
                   row("op/evacuate/\\u0007", 4), row("op/evacuate/\\u00e4", 5),
                   row("op/evacuate/" + Long, 6), row("op/evacuate", 7), row("op/evacuate/a", 8),
                   row("op/evacuate/", 9, R"("tombstone":true)")}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, Requests.IgnoredKeys.size());
    CPPUNIT_ASSERT((Requests.listed({1, 50}) == Evacuations{{1, 50}, {"a"}}));
  }

  // Guards against a request that is missed because of its value, which says nothing.
  void testValue_unreadable_isARequest() {
    for (const char *Rest :
         {R"("value":"not base64")", R"("value":7)", R"("lease":0)", R"("value":"","lease":"x")"}) {
      const auto Requests = read(page({row("op/evacuate/a", 40, Rest)}));
      CPPUNIT_ASSERT_MESSAGE(Rest, Requests.listed({1, 50}).contains("a"));
    }
  }

  // Guards against an encoding that nodes of the version before can't read, and against a beacon
  // without knowledge that takes effect.
  void testBeacon_withoutKnowledge_isAsBefore() {
    relay::BalancerBeacon Beacon{"b", "z", 1, 2, false, {1}, {3}, 4};
    const auto Raw = relay::encode(Beacon);
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, nlohmann::json::from_cbor(Raw).size());
    const auto Read = relay::decodeMessage(Raw);
    CPPUNIT_ASSERT(Read && std::get<relay::BalancerBeacon>(*Read) == Beacon);
    Beacon.ColdRate = 12.5;
    const auto WithRate = relay::decodeMessage(relay::encode(Beacon));
    CPPUNIT_ASSERT(WithRate && std::get<relay::BalancerBeacon>(*WithRate) == Beacon);
    Beacon.EvacuatedZones = evacuated({"a", "b"}, 70, 3);
    const auto WithZones = relay::decodeMessage(relay::encode(Beacon));
    CPPUNIT_ASSERT(WithZones && std::get<relay::BalancerBeacon>(*WithZones) == Beacon);
  }

  // Guards against a beacon with the age of a read that nodes of the version before refuse: they
  // read the fields up to the eleventh, which is a number to them.
  void testBeacon_withReadAge_isReadByEarlierVersions() {
    for (const bool NamesZones : {false, true}) {
      for (const std::optional<double> ColdRate : {std::optional<double>{}, {12.5}}) {
        relay::BalancerBeacon Beacon{"b", "z", 1, 2, false, {1}, {3}, 4};
        Beacon.StoreReadAge = 730ms;
        Beacon.ColdRate = ColdRate;
        if (NamesZones)
          Beacon.EvacuatedZones = evacuated({"a", "b"}, 70, 3);
        const auto Read = relay::decodeMessage(relay::encode(Beacon));
        CPPUNIT_ASSERT(Read && std::get<relay::BalancerBeacon>(*Read) == Beacon);
        auto Fields = nlohmann::json::from_cbor(relay::encode(Beacon));
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, Fields.size());
        CPPUNIT_ASSERT(NamesZones ? Fields.at(9).is_array() : Fields.at(9).is_null());
        CPPUNIT_ASSERT(Fields.at(10).is_number());
        for (const auto &Odd :
             {nlohmann::json(-1), nlohmann::json("1"), nlohmann::json(UINT64_MAX)}) {
          Fields.at(11) = Odd;
          CPPUNIT_ASSERT(!relay::decodeMessage(nlohmann::json::to_cbor(Fields)));
        }
      }
    }
  }

  void testBeacon_longestLists_staysBelowTheLimit() {
    const std::vector<relay::NodeAddress> Nodes(relay::MaxBeaconAddresses, 0xffffffff);
    relay::BalancerBeacon Beacon{std::string(200, 'x'),
                                 std::string(200, 'z'),
                                 UINT64_MAX,
                                 UINT64_MAX,
                                 true,
                                 Nodes,
                                 Nodes,
                                 UINT64_MAX};
    std::set<std::string, std::less<>> Zones;
    for (std::size_t I = 0; I < relay::MaxBeaconZones; ++I)
      Zones.insert(std::to_string(10 + I) + std::string(44, 'z'));
    Beacon.EvacuatedZones = {{UINT64_MAX, UINT64_MAX}, Zones};
    Beacon.StoreReadAge = 1h;
    CPPUNIT_ASSERT(Beacon.EvacuatedZones.fitsBeacon());
    CPPUNIT_ASSERT(relay::encode(Beacon).size() <= relay::MaxMessageBytes);
    CPPUNIT_ASSERT(relay::decodeMessage(relay::encode(Beacon)));
  }

  void testBeacon_tooManyZones_isNotComplete() {
    std::set<std::string, std::less<>> Zones;
    for (std::size_t I = 0; I <= relay::MaxBeaconZones; ++I)
      Zones.insert("zone-" + std::to_string(I));
    CPPUNIT_ASSERT(!evacuated(Zones).fitsBeacon());
    CPPUNIT_ASSERT(evacuated(Zones).ofZone("zone-3") == evacuated({"zone-3"}));
    CPPUNIT_ASSERT(evacuated(Zones).ofZone("other") == evacuated({}));
    CPPUNIT_ASSERT(!evacuated({std::string(128, 'a'), std::string(128, 'b'), std::string(128, 'c'),
                               std::string(128, 'd'), std::string(128, 'e'), std::string(128, 'f'),
                               std::string(128, 'g'), std::string(128, 'h'), std::string(128, 'i'),
                               std::string(128, 'j'), std::string(128, 'k'), std::string(128, 'l')})
                        .fitsBeacon());
  }

  void testBeacon_oddZones_isRefused() {
    const relay::BalancerBeacon Beacon{"b", "z", 1, 2, false, {}, {}, 4};
    const auto Reads = [&](const nlohmann::json &Odd) {
      auto Fields = nlohmann::json::from_cbor(relay::encode(Beacon));
      Fields.push_back(Odd);
      return static_cast<bool>(relay::decodeMessage(nlohmann::json::to_cbor(Fields)));
    };
    using List = nlohmann::json::array_t;
    CPPUNIT_ASSERT(Reads(List{1, 2, true, List{"a"}}));
    for (const auto &Odd :
         {nlohmann::json(3), nlohmann::json(List{}), nlohmann::json(List{1, -2, true, List{}}),
          nlohmann::json(List{1, 2, true, List{""}}), nlohmann::json(List{1, 2, true, List{"a/b"}}),
          nlohmann::json(List{1, 2, true, List{5}}), nlohmann::json(List{1, 2, 7, List{}}),
          nlohmann::json(List{1, 2, true, List(1000, "a")})})
      CPPUNIT_ASSERT_MESSAGE(Odd.dump(), !Reads(Odd));
  }

  void testPlacement_zoneEvacuated_avoidsItUntilTheReturn() {
    Node Balancer;
    CPPUNIT_ASSERT((Balancer.agentsOfNewFlows(1000).contains(AgentOne)));
    Balancer.Directory.setEvacuations(evacuated({"a"}));
    CPPUNIT_ASSERT((Balancer.agentsOfNewFlows(2000) == AgentSet{AgentTwo}));
    Balancer.Directory.setEvacuations(evacuated({}, 8));
    CPPUNIT_ASSERT((Balancer.agentsOfNewFlows(3000).contains(AgentOne)));
  }

  // Guards against flows that wait for capacity which can't come: an evacuated zone isn't full.
  void testPlacement_allZonesEvacuated_isRefusedAtOnce() {
    Node Balancer;
    Balancer.Directory.setEvacuations(evacuated({"a", "b"}));
    const auto Actions = Balancer.send(firstPacket(relayKey(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Actions.size());
    CPPUNIT_ASSERT(Actions[0].Operation == SteeringAction::Kind::Reset);
    CPPUNIT_ASSERT(Actions[0].Reason == SteeringReason::NoUpstream);
    CPPUNIT_ASSERT(Balancer.Directory.agentsInZone("b") == std::vector{AgentTwo});
  }

  // Guards against flows that are refused as their candidates happen to be in evacuated zones.
  void testPlacement_mostAgentsEvacuated_findsTheOthers() {
    using relay::policy::Mechanisms;
    for (const auto &InUse :
         {Mechanisms(), Mechanisms().with(relay::policy::Mechanism::ZonePlacement)}) {
      Node Balancer(InUse);
      for (relay::NodeAddress I = 0; I < 100; ++I)
        Balancer.report(0x0a030000 + I, "a");
      Balancer.Directory.setEvacuations(evacuated({"a"}));
      CPPUNIT_ASSERT((Balancer.agentsOfNewFlows(1000) == AgentSet{AgentTwo}));
      CPPUNIT_ASSERT(Balancer.Directory.candidates("desk", relayKey(1)).size() > 1);
    }
  }

  void testPlacement_unknownZoneEvacuated_concernsNoAgent() {
    Node Balancer;
    Balancer.Directory.setEvacuations(evacuated({"z"}));
    CPPUNIT_ASSERT(Balancer.Directory.agentsInZone("z").empty());
    CPPUNIT_ASSERT((Balancer.agentsOfNewFlows(1000).contains(AgentOne)));
  }

  // Guards against a flow that is insisted on at an agent which declined it as busy, once the
  // operator has evacuated its zone.
  void testPlacement_busyAgentOfEvacuatedZone_isNotInsistedOn() {
    Node Balancer;
    const auto Key = relayKey(1, OrdersAddress);
    const auto Decline = [&](relay::NodeAddress From) {
      return Balancer.Steering.onReturned(firstPacket(Key), {ReturnReason::Busy, {2, 0}, {1, 2, 3}},
                                          From, RelayStart);
    };
    const auto First = Balancer.send(firstPacket(Key)).at(0).Agent;
    const auto Second = Decline(First).at(0).Agent;
    CPPUNIT_ASSERT(First != Second);
    Balancer.Directory.setEvacuations(evacuated({"a", "b"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         countActions(Decline(Second), SteeringAction::Kind::Forward));
  }

  void testOpenFlow_zoneEvacuated_staysAtItsAgent() {
    Node Balancer;
    const auto Key = relayKey(1);
    const auto Agent = Balancer.send(firstPacket(Key)).at(0).Agent;
    (void)Balancer.Steering.onFlowNotice({Key, {}}, Agent, RelayStart);
    Balancer.Directory.setEvacuations(evacuated({"a", "b"}));
    for (const auto &Head : {callerData(Key, 77), firstPacket(Key, 1)}) {
      const auto Actions = Balancer.send(Head);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countActions(Actions, SteeringAction::Kind::Forward));
      CPPUNIT_ASSERT_EQUAL(Agent, Actions[0].Agent);
    }
    // Another balancer searches it there.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Balancer.Directory.reportingHolders(RelayStart).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Balancer.Directory.candidates("desk", Key).size());
  }

  // Guards against flows of a balancer that can't be told of the evacuation.
  void testAgent_balancerDoesNotKnowYet_declinesNewFlows() {
    auto Flows = readyFlows();
    Flows.setEvacuated(true);
    const auto Declined = give(Flows, firstPacket(relayKey(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Declined.size());
    CPPUNIT_ASSERT(Declined[0].Operation == relay::FlowAction::Kind::Return);
    CPPUNIT_ASSERT(Declined[0].Reason == ReturnReason::Leaving);
    CPPUNIT_ASSERT(Declined[0].Event == relay::FlowEvent::ZoneEvacuated);
    Node Balancer;
    const auto Key = relayKey(1);
    const auto First = Balancer.send(firstPacket(Key)).at(0).Agent;
    const auto Next = Balancer.Steering.onReturned(
        firstPacket(Key), {Declined[0].Reason, {}, {1, 2, 3}}, First, RelayStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countActions(Next, SteeringAction::Kind::Forward));
    CPPUNIT_ASSERT(Next[0].Agent != First);
    Flows.setEvacuated(false);
    CPPUNIT_ASSERT(give(Flows, firstPacket(relayKey(1))).at(0).Operation ==
                   relay::FlowAction::Kind::Deliver);
  }

  void testAgent_zoneEvacuated_keepsOpenFlows() {
    auto Flows = readyFlows();
    const auto Key = relayKey(1);
    (void)give(Flows, firstPacket(Key));
    (void)Flows.onUpstreamPacket(upstreamAccept(Key, 5000), {BalancerOne}, RelayStart);
    Flows.setEvacuated(true);
    for (const auto &Head : {firstPacket(Key, 1), callerData(Key, 5001)})
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           countActions(give(Flows, Head), relay::FlowAction::Kind::Deliver));
    relay::FlowQuery Query{9, {{Key, 5001}}};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Flows.onQuery(Query, RelayStart).Held.size());
    CPPUNIT_ASSERT(Flows.state(RelayStart) == relay::UpstreamState::Ready);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayEvacuationTest);

} // namespace galenarelay::tests
