#include "galenarelay/common/random.h"
#include "galenarelay/routing/routing_view.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace galenarelay::tests {

using namespace routing;
using config::Configuration;
using membership::Member;
using membership::MemberKind;
using membership::MemberState;

class RoutingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutingTest);
  CPPUNIT_TEST(testTable_joinAndLeave_moveOnlySlotsOfThatMember);
  CPPUNIT_TEST(testView_incremental_equalsFreshBuild);
  CPPUNIT_TEST(testView_memberState_decidesCandidatesAndOwners);
  CPPUNIT_TEST(testRoute_changingView_staysWithinService);
  CPPUNIT_TEST(testRoute_withoutTarget_isDropped);
  CPPUNIT_TEST_SUITE_END();

  static std::string id(std::size_t I) { return "agent-" + std::to_string(I); }
  static common::Endpoint address(std::size_t Service) {
    return {0x0a010000 + static_cast<std::uint32_t>(Service), 80};
  }

  static Configuration document(std::size_t Services, std::size_t Agents) {
    Configuration Document;
    for (std::size_t I = 0; I < Services; ++I)
      Document.Services["service-" + std::to_string(I)] = {address(I),
                                                           "role=r" + std::to_string(I)};
    for (std::size_t I = 0; I < Agents; ++I)
      Document.UpstreamLabels[id(I)] = {{"role", "r" + std::to_string(I % Services)}};
    return Document;
  }

  static Member agent(std::size_t I) {
    Member Agent;
    Agent.Id = id(I);
    Agent.Zone = "zone-" + std::to_string(I % 3);
    Agent.Data = {0x0a000000 + static_cast<std::uint32_t>(I), 1};
    Agent.State = MemberState::Active;
    return Agent;
  }

  static std::vector<Member> agents(std::size_t Count) {
    std::vector<Member> All;
    for (std::size_t I = 0; I < Count; ++I)
      All.push_back(agent(I));
    return All;
  }

  static std::vector<std::string> ids(const std::vector<Member> &Members) {
    std::vector<std::string> Ids;
    for (const Member &Each : Members)
      Ids.push_back(Each.Id);
    return Ids;
  }

  static packet::RouteView flow(common::Engine &Random, common::Endpoint Service) {
    packet::RouteView Packet;
    Packet.Key = {{static_cast<std::uint32_t>(Random()), static_cast<std::uint16_t>(Random())},
                  Service};
    return Packet;
  }

  static std::string memberAt(const ServiceTable &Table, std::uint16_t Position) {
    return Position == NoMemberPosition ? std::string() : Table.members()[Position];
  }

public:
  // Guards against joins and leaves that move flows between other members, and against slots of a
  // joined member whose second choice isn't their previous home.
  void testTable_joinAndLeave_moveOnlySlotsOfThatMember() {
    for (std::size_t MemberCount = 1; MemberCount <= 12; ++MemberCount) {
      const ServiceTable TableWithout("desk", ids(agents(MemberCount)));
      const ServiceTable TableWith("desk", ids(agents(MemberCount + 1)));
      const std::string JoinedId = id(MemberCount);
      for (std::uint64_t Slot = 0; Slot < TableSlots; ++Slot) {
        const std::string PreviousHome = memberAt(TableWithout, TableWithout.choose(Slot).First);
        const SlotMembers SlotChoice = TableWith.choose(Slot);
        if (memberAt(TableWith, SlotChoice.First) == JoinedId)
          CPPUNIT_ASSERT_EQUAL(PreviousHome, memberAt(TableWith, SlotChoice.Second));
        else
          CPPUNIT_ASSERT_EQUAL(PreviousHome, memberAt(TableWith, SlotChoice.First));
      }
    }
  }

  // Guards against views, and so routing tables, that depend on the order in which changes arrived.
  void testView_incremental_equalsFreshBuild() {
    constexpr std::size_t Services = 4;
    constexpr std::size_t MaxAgents = 24;
    constexpr MemberState States[] = {MemberState::Joining, MemberState::Active,
                                      MemberState::Suspect, MemberState::Leaving,
                                      MemberState::Dead};
    common::Engine Random(21);
    const auto RandomBelow = [&](std::size_t Bound) { return common::uniformBelow(Random, Bound); };
    Configuration Document = document(Services, MaxAgents);
    std::vector<Member> Members = agents(MaxAgents / 2);
    RoutingView Incremental(Document, Members);
    for (int Step = 0; Step < 300; ++Step) {
      const std::size_t ChangedAgent = RandomBelow(MaxAgents);
      std::erase_if(Members,
                    [&](const Member &Existing) { return Existing.Id == id(ChangedAgent); });
      if (RandomBelow(4) != 0) {
        Members.insert(Members.begin(), agent(ChangedAgent));
        Members.front().State = States[RandomBelow(5)];
        Members.front().Kind = RandomBelow(8) == 0 ? MemberKind::Balancer : MemberKind::Agent;
        if (RandomBelow(3) == 0)
          Members.front().ResidualServices = {"service-1"};
      }
      if (RandomBelow(5) == 0)
        Document.UpstreamLabels[id(RandomBelow(MaxAgents))]["role"] =
            "r" + std::to_string(RandomBelow(Services));
      if (RandomBelow(9) == 0)
        Document.Services["service-" + std::to_string(RandomBelow(Services))].Selector =
            "role=r" + std::to_string(RandomBelow(Services));
      Incremental = RoutingView(Incremental, Document, Members);
      const RoutingView Fresh(Document, Members);
      for (const auto &Entry : Document.Services)
        CPPUNIT_ASSERT(*Fresh.service(Entry.first) == *Incremental.service(Entry.first));
    }
  }

  // Guards against new flows to members that take none, and against the reset of a flow whose
  // holder isn't asked for it because it is missing from PossibleOwners.
  void testView_memberState_decidesCandidatesAndOwners() {
    struct TestCase {
      MemberState State;
      bool Eligible;
      bool Residual;
      bool Candidate;
      bool Owner;
    };
    const TestCase TestCases[] = {{MemberState::Joining, true, false, false, false},
                                  {MemberState::Active, true, false, true, true},
                                  {MemberState::Suspect, true, false, true, true},
                                  {MemberState::Leaving, true, false, false, true},
                                  {MemberState::Dead, true, false, false, false},
                                  {MemberState::Active, false, false, false, false},
                                  {MemberState::Active, false, true, false, true},
                                  {MemberState::Leaving, false, true, false, true},
                                  {MemberState::Dead, false, true, false, false}};
    for (const TestCase &Case : TestCases) {
      Member Agent = agent(Case.Eligible ? 0 : 1);
      Agent.State = Case.State;
      if (Case.Residual)
        Agent.ResidualServices = {"service-0"};
      const RoutingView View(document(2, 2), {Agent});
      const ServiceRoute &Route = *View.service("service-0");
      CPPUNIT_ASSERT_EQUAL(Case.Candidate, !Route.Candidates.empty());
      CPPUNIT_ASSERT_EQUAL(Case.Candidate, !Route.Table.empty());
      CPPUNIT_ASSERT_EQUAL(Case.Owner, !Route.PossibleOwners.empty());
    }
  }

  // Guards against a packet that is forwarded to an agent of another service while labels and
  // member states change.
  void testRoute_changingView_staysWithinService() {
    constexpr std::size_t Services = 5;
    constexpr std::size_t Agents = 20;
    common::Engine Random(22);
    Configuration Document = document(Services, Agents);
    std::vector<Member> Members = agents(Agents);
    RoutingView View(Document, Members);
    for (int Step = 0; Step < 100; ++Step) {
      const std::size_t Relabelled = common::uniformBelow(Random, Agents);
      Document.UpstreamLabels[id(Relabelled)]["role"] =
          "r" + std::to_string(common::uniformBelow(Random, Services));
      Members[common::uniformBelow(Random, Agents)].State =
          common::uniformBelow(Random, 4) == 0 ? MemberState::Leaving : MemberState::Active;
      View = RoutingView(View, Document, Members);
      for (std::size_t Service = 0; Service < Services; ++Service) {
        const auto Decision = routeFromFabric(View, flow(Random, address(Service)));
        const auto *Target = std::get_if<ForwardTo>(&Decision);
        if (Target == nullptr)
          continue;
        CPPUNIT_ASSERT_EQUAL("r" + std::to_string(Service),
                             Document.UpstreamLabels.at(Target->MemberId).at("role"));
        CPPUNIT_ASSERT(View.member(Target->MemberId)->Data == Target->Data);
      }
    }
  }

  // Guards against packets without a target that are dropped without a reason to count.
  void testRoute_withoutTarget_isDropped() {
    common::Engine Random(23);
    const RoutingView View(document(2, 2), {agent(0)});
    CPPUNIT_ASSERT(routeFromFabric(View, flow(Random, address(7))) ==
                   BalancerDecision(DropPacket{common::ResultCode::PacketUnknownService}));
    CPPUNIT_ASSERT(routeFromFabric(View, flow(Random, address(1))) ==
                   BalancerDecision(DropPacket{common::ResultCode::NoUpstream}));
    CPPUNIT_ASSERT(
        std::holds_alternative<ForwardTo>(routeFromFabric(View, flow(Random, address(0)))));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);

} // namespace galenarelay::tests
