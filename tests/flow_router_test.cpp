#include "galenarelay/flow/flow_router.h"
#include "galenarelay/flow/stream.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

namespace galenarelay::tests {

using namespace std::chrono_literals;
using namespace flow;
using common::Duration;
using common::Endpoint;
using common::ResultCode;
using common::TimePoint;
using membership::Member;
using membership::MemberState;
using packet::FlowKey;
using packet::Packet;
using routing::RoutingView;
using ViewPointer = std::shared_ptr<const RoutingView>;

namespace {

const Endpoint DealerDesk{0x0a010001, 80};
const Endpoint Warranty{0x0a010002, 80};

Member agent(int Number, MemberState State = MemberState::Active) {
  Member Made;
  Made.Id = "agent-" + std::to_string(Number);
  Made.Zone = "a";
  Made.Data = {0x7f000001, static_cast<std::uint16_t>(1000 + Number)};
  Made.Control = {0x7f000001, static_cast<std::uint16_t>(2000 + Number)};
  Made.State = State;
  return Made;
}

/// Agents 1 to 5 carry the dealer desk, 6 to 8 warranty claims, unless Labels say otherwise.
ViewPointer view(const std::vector<Member> &Members,
                 const std::map<std::string, std::string> &Relabelled = {}) {
  config::Configuration Document;
  Document.Services["desk"] = {DealerDesk, "work=desk"};
  Document.Services["warranty"] = {Warranty, "work=warranty"};
  for (int I = 1; I <= 9; ++I)
    Document.UpstreamLabels["agent-" + std::to_string(I)] = {
        {"work", I <= 5 || I == 9 ? "desk" : "warranty"}};
  for (const auto &[Id, Work] : Relabelled)
    Document.UpstreamLabels[Id] = {{"work", Work}};
  return std::make_shared<RoutingView>(Document, Members);
}

std::vector<Member> agents(int Count) {
  std::vector<Member> Made;
  for (int I = 1; I <= Count; ++I)
    Made.push_back(agent(I));
  return Made;
}

FlowKey flowKey(std::uint32_t Number, Endpoint Service = DealerDesk) {
  return {{0x0a000000 + Number, 4000}, Service};
}

Bytes rawPacket(const FlowKey &Key, packet::Flags Bits, std::uint8_t Ttl = packet::InitialTtl,
                std::uint32_t Sequence = 100, std::uint32_t Ack = 0) {
  Packet Made;
  Made.Key = Key;
  Made.Bits = Bits;
  Made.Ttl = Ttl;
  Made.Sequence = Sequence;
  Made.Acknowledgement = Ack;
  return packet::serialize(Made);
}

/// Agents, balancers and callers with their own views on a network with delays, seeded.
class Group {
public:
  explicit Group(std::uint64_t Seed, ViewPointer First) : Random(Seed), BalancerViews(3, First) {
    for (const Member &Each : First->members())
      start(Each, First);
  }

  void start(const Member &Self, const ViewPointer &View) {
    auto &Made = Agents[Self.Data];
    Made = std::make_unique<Agent>(
        Agent{Self,
              FlowRouter(
                  Self.Id,
                  [this](const routing::ServiceRoute &Route, const std::string &,
                         TimePoint) -> std::optional<std::size_t> {
                    if (Route.Candidates.empty())
                      return std::nullopt;
                    return common::uniformBelow(Random, Route.Candidates.size());
                  },
                  [Raw = Self.Data, this](const packet::RouteView &Route) {
                    const auto &Streams = Agents.at(Raw)->Streams;
                    const auto Found = Streams.find(Route.Key);
                    return Found != Streams.end() && Found->second.fits(Route);
                  },
                  Random()),
              {}});
    perform(*Made, Made->Router.onViewChange(View, Now));
  }

  /// Gives the view to every node, each at its own time within the spread.
  void changeView(const ViewPointer &View, Duration Spread) {
    for (auto &Each : BalancerViews)
      at(delay(Spread), [&Each, View] { Each = View; });
    for (auto &[Data, Each] : Agents)
      at(delay(Spread), [this, Data = Data, View] {
        if (Agents.contains(Data))
          perform(*Agents.at(Data), Agents.at(Data)->Router.onViewChange(View, Now));
      });
  }

  void connect(std::uint32_t Count, Endpoint Service) {
    for (std::uint32_t I = 0; I < Count; ++I) {
      const FlowKey Key = flowKey(NextCaller++, Service);
      Callers.emplace(Key, Stream::connect(Key, static_cast<std::uint32_t>(Random()), Now));
      sendFromCaller(Key);
    }
  }

  /// About a quarter of the callers writes some bytes, which the owner returns.
  void writeSome() {
    for (auto &[Key, Caller] : Callers) {
      if (Written.contains(Key) && common::uniformBelow(Random, 4) != 0)
        continue;
      const Bytes Data(common::uniformBelow(Random, 4000) + 1, 7);
      Written[Key] += Caller.write(Data);
      sendFromCaller(Key);
    }
  }

  void run(Duration Length) {
    const TimePoint Stop = Now + Length;
    while (!Events.empty() && Events.begin()->first <= Stop) {
      Now = Events.begin()->first;
      const auto Event = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Event();
    }
    Now = Stop;
  }

  void startTimers() {
    at(Now + 50ms, [this] {
      for (auto &[Key, Caller] : Callers) {
        Caller.onTimer(Now);
        sendFromCaller(Key);
      }
      for (auto &[Data, Each] : Agents)
        onAgentTimer(*Each);
      startTimers();
    });
  }

  [[nodiscard]] std::string ownerOf(const FlowKey &Key) const {
    const auto Found = Readers.find(Key);
    return Found == Readers.end() ? std::string() : *Found->second.begin();
  }

  /// Checks that each flow whose owner did not die has one owner, which returned every byte.
  void assertFlowsWhole(const std::string &DeadId = {}) {
    for (auto &[Key, Caller] : Callers) {
      const std::string Row = packet::toString(Key) + " of " + ownerOf(Key);
      CPPUNIT_ASSERT_MESSAGE(Row, Readers[Key].size() == 1);
      if (ownerOf(Key) == DeadId)
        continue;
      CPPUNIT_ASSERT_MESSAGE(Row, Caller.state() == StreamState::Established);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Row, Written[Key], Returned[Key]);
    }
  }

  struct Agent {
    Member Self;
    FlowRouter Router;
    std::map<FlowKey, Stream> Streams;
  };

  common::Engine Random;
  TimePoint Now = TimePoint(100s);
  std::map<Endpoint, std::unique_ptr<Agent>> Agents;
  std::vector<ViewPointer> BalancerViews;
  std::map<FlowKey, Stream> Callers;
  std::map<FlowKey, std::set<std::string>> Readers; ///< Agents that read a byte of the flow.
  std::map<FlowKey, std::size_t> Written;
  std::map<FlowKey, std::size_t> Returned;
  std::set<std::string> RefusedWork; ///< Agents that must not accept a flow any more.
  std::size_t Expired = 0;
  double DuplicateSyn = 0;

private:
  TimePoint delay(Duration Most) {
    return Now + Duration(common::uniformBelow(Random, Most.count() + 1));
  }

  void at(TimePoint When, std::function<void()> Event) { Events.emplace(When, std::move(Event)); }

  void sendFromCaller(const FlowKey &Key) {
    for (const Packet &Each : Callers.at(Key).takeOutput(Now)) {
      const int Copies = Each.Bits.Syn && common::uniformUnit(Random) < DuplicateSyn ? 3 : 1;
      for (int I = 0; I < Copies; ++I)
        spray(packet::serialize(Each));
    }
  }

  void spray(const Bytes &Raw) {
    const auto &View = BalancerViews[common::uniformBelow(Random, BalancerViews.size())];
    const auto Chosen = routing::routeFromFabric(*View, *packet::readRoute(Raw));
    if (const auto *To = std::get_if<routing::ForwardTo>(&Chosen))
      at(delay(2ms), [this, Data = To->Data, Raw] { deliver(Data, Raw); });
  }

  void deliver(Endpoint Data, const Bytes &Raw) {
    const auto Found = Agents.find(Data);
    if (Found != Agents.end())
      perform(*Found->second, Found->second->Router.onPacket(Raw, Now));
  }

  void perform(Agent &By, const std::vector<Action> &Actions) {
    for (const Action &Each : Actions) {
      if (const auto *Accepted = std::get_if<AcceptFlow>(&Each)) {
        CPPUNIT_ASSERT(!RefusedWork.contains(By.Self.Id));
        const auto Syn = common::capture([&] { return packet::parseFromCaller(Accepted->Packet); });
        const auto Isn = static_cast<std::uint32_t>(Random());
        By.Streams.insert_or_assign(Accepted->Key, Stream::accept(*Syn, Isn, Now));
        serve(By, Accepted->Key);
      } else if (const auto *Delivered = std::get_if<DeliverPacket>(&Each)) {
        const auto In = common::capture([&] { return packet::parseFromCaller(Delivered->Packet); });
        By.Streams.at(Delivered->Key).onPacket(*In, Now);
        serve(By, Delivered->Key);
      } else if (const auto *Forwarded = std::get_if<ForwardPacket>(&Each)) {
        at(delay(2ms), [this, F = *Forwarded] { deliver(F.Data, F.Packet); });
      } else if (const auto *Control = std::get_if<SendControl>(&Each)) {
        CPPUNIT_ASSERT(nlohmann::json::to_cbor(Control->Message).size() <= 1200);
        at(delay(2ms), [this, C = *Control, From = By.Self.Control] { control(C, From); });
      } else if (const auto *Answer = std::get_if<SendToCaller>(&Each)) {
        toCaller(Answer->Answer);
      }
    }
  }

  void control(const SendControl &Sent, Endpoint From) {
    for (auto &[Data, Each] : Agents)
      if (Each->Self.Control == Sent.Control)
        perform(*Each, Each->Router.onControl(Sent.Message, From, Now));
  }

  /// The agent's program returns every byte that it reads.
  void serve(Agent &By, const FlowKey &Key) {
    Stream &Served = By.Streams.at(Key);
    const Bytes Read = Served.read();
    if (!Read.empty())
      Readers[Key].insert(By.Self.Id);
    CPPUNIT_ASSERT_EQUAL(Read.size(), Served.write(Read));
    for (const Packet &Each : Served.takeOutput(Now))
      toCaller(Each);
  }

  void onAgentTimer(Agent &Of) {
    perform(Of, Of.Router.onTimer(Now));
    for (const FlowKey &Key : Of.Router.takeExpired())
      Expired += Of.Streams.erase(Key);
    for (auto &[Key, Served] : Of.Streams) {
      Served.onTimer(Now);
      serve(Of, Key);
    }
  }

  void toCaller(const Packet &Answer) {
    at(delay(2ms), [this, Answer] {
      Stream &Caller = Callers.at(Answer.Key);
      Caller.onPacket(Answer, Now);
      Returned[Answer.Key] += Caller.read().size();
      sendFromCaller(Answer.Key);
    });
  }

  std::multimap<TimePoint, std::function<void()>> Events;
  std::uint32_t NextCaller = 1;
};

/// One router without network; its streams fit acknowledgement number 501 and the first SYN.
FlowRouter router(int Number, std::size_t Choice = 0) {
  return FlowRouter(
      "agent-" + std::to_string(Number),
      [Choice](const routing::ServiceRoute &, const std::string &, TimePoint) { return Choice; },
      [](const packet::RouteView &Route) {
        return Route.Bits.Syn ? Route.Sequence == 100 : Route.Acknowledgement == 501;
      },
      1);
}

template <typename T> std::size_t count(const std::vector<Action> &Actions) {
  return static_cast<std::size_t>(
      std::count_if(Actions.begin(), Actions.end(),
                    [](const Action &Each) { return std::holds_alternative<T>(Each); }));
}

const TimePoint Later = TimePoint(1000s);

} // namespace

class FlowRouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowRouterTest);
  CPPUNIT_TEST(testPackets_sprayedOverBalancers_reachOneOwner);
  CPPUNIT_TEST(testView_agentJoins_openFlowsKeepTheirOwner);
  CPPUNIT_TEST(testView_agentLeaves_openFlowsKeepTheirOwner);
  CPPUNIT_TEST(testView_agentRelabelled_openFlowsKeepTheirOwner);
  CPPUNIT_TEST(testHome_dies_onlyItsFlowsBreak);
  CPPUNIT_TEST(testSyn_duplicatedToTwoHomes_oneRunsAndOneExpires);
  CPPUNIT_TEST(testPacket_refusedKinds_areCounted);
  CPPUNIT_TEST(testStart_unknownFlow_isNeverReset);
  CPPUNIT_TEST(testLocate_answers_decideAboutReset);
  CPPUNIT_TEST(testControl_malformed_isCounted);
  CPPUNIT_TEST(testRegistration_viewChange_staysBelowRate);
  CPPUNIT_TEST(testDrain_homeAndTarget_passNewFlowsOn);
  CPPUNIT_TEST(testHandOff_cycleOfEntries_isBroken);
  CPPUNIT_TEST(testHandOff_endedOrIdle_isForgotten);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a flow that two agents serve, or a packet of one service at another's agent.
  void testPackets_sprayedOverBalancers_reachOneOwner() {
    Group All(1, view(agents(8)));
    open(All);
    exchange(All, 5s);
    All.assertFlowsWhole();
    for (const auto &[Key, Readers] : All.Readers)
      CPPUNIT_ASSERT_EQUAL(Key.Service == DealerDesk, *Readers.begin() <= "agent-5");
  }

  // Guards against new homes that don't know where the flows of their slots are.
  void testView_agentJoins_openFlowsKeepTheirOwner() {
    for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
      Group All(Seed, view(agents(8)));
      open(All);
      const auto Joined = view(agents(9));
      All.start(agent(9), Joined);
      All.changeView(Joined, 3s);
      exchange(All, 10s);
      All.connect(50, DealerDesk);
      exchange(All, 10s);
      All.assertFlowsWhole();
    }
  }

  // Guards against flows that a graceful stop breaks, and against new flows at a leaving agent.
  void testView_agentLeaves_openFlowsKeepTheirOwner() {
    for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
      Group All(Seed, view(agents(8)));
      open(All);
      const std::size_t Before = All.Agents.at(agent(2).Data)->Router.servedFlows();
      All.Agents.at(agent(2).Data)->Router.refuseNewFlows();
      All.RefusedWork.insert("agent-2");
      auto Members = agents(8);
      Members[1].State = MemberState::Leaving;
      All.changeView(view(Members), 3s);
      All.connect(100, DealerDesk);
      exchange(All, 10s);
      All.assertFlowsWhole();
      CPPUNIT_ASSERT_EQUAL(Before, All.Agents.at(agent(2).Data)->Router.servedFlows());
    }
  }

  // Guards against an edit of labels that breaks running flows or moves them to another service.
  void testView_agentRelabelled_openFlowsKeepTheirOwner() {
    for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
      Group All(Seed, view(agents(8)));
      open(All);
      All.changeView(view(agents(8), {{"agent-3", "warranty"}}), 2s);
      exchange(All, 2s);
      const auto Residual = All.Agents.at(agent(3).Data)->Router.residualServices();
      CPPUNIT_ASSERT(Residual == std::vector<std::string>{"desk"});
      auto Members = agents(8);
      Members[2].Residual = Residual;
      const auto Relabelled = view(Members, {{"agent-3", "warranty"}});
      All.changeView(Relabelled, 2s);
      exchange(All, 2s);
      const auto OldFlows = All.Callers;
      All.connect(60, DealerDesk);
      All.connect(60, Warranty);
      exchange(All, 10s);
      All.assertFlowsWhole();
      for (const auto &[Key, Owners] : All.Readers)
        if (!OldFlows.contains(Key))
          CPPUNIT_ASSERT(Key.Service == Warranty || *Owners.begin() != "agent-3");
    }
  }

  // Guards against a dead home that takes the flows of other agents with it.
  void testHome_dies_onlyItsFlowsBreak() {
    for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
      Group All(Seed, view(agents(8)));
      open(All);
      All.Agents.erase(agent(4).Data);
      exchange(All, 5s);
      auto Members = agents(8);
      Members[3].State = MemberState::Dead;
      All.changeView(view(Members), 2s);
      exchange(All, 20s);
      All.assertFlowsWhole("agent-4");
      for (auto &[Key, Caller] : All.Callers)
        if (All.ownerOf(Key) == "agent-4")
          CPPUNIT_ASSERT(Caller.state() == StreamState::Broken);
      All.connect(50, DealerDesk);
      exchange(All, 10s);
      All.assertFlowsWhole("agent-4");
    }
  }

  // Guards against one request that runs twice because two agents thought they were the home.
  void testSyn_duplicatedToTwoHomes_oneRunsAndOneExpires() {
    Group All(1, view(agents(8)));
    All.startTimers();
    const auto Joined = view(agents(9));
    All.start(agent(9), Joined);
    All.BalancerViews[0] = Joined;
    All.DuplicateSyn = 1;
    All.connect(200, DealerDesk);
    exchange(All, 1s);
    All.changeView(Joined, 1s);
    exchange(All, 12s);
    All.assertFlowsWhole();
    std::size_t Served = 0;
    for (const auto &[Data, Each] : All.Agents)
      Served += Each->Router.servedFlows();
    CPPUNIT_ASSERT_EQUAL(All.Callers.size(), Served);
    CPPUNIT_ASSERT(All.Expired > 0);
  }

  // Guards against packets that pass although no rule allows them, and against cycles.
  void testPacket_refusedKinds_areCounted() {
    const FlowKey Elsewhere = flowKey(1, {0x0a010009, 80});
    struct Row {
      const char *Name;
      Bytes Packet;
      ResultCode Reason;
    };
    const Row Rows[] = {
        {"no IPv4", Bytes(30, 0), ResultCode::PacketMalformed},
        {"unknown service", rawPacket(Elsewhere, {.Syn = true}), ResultCode::PacketUnknownService},
        {"hop limit", rawPacket(flowKey(2), {.Syn = true}, 1), ResultCode::PacketHopLimit},
        {"other service", rawPacket(flowKey(3, Warranty), {.Syn = true}, 7),
         ResultCode::PacketWrongService},
        {"old numbers", rawPacket(flowKey(4), {.Syn = true}, 7, 99), ResultCode::FlowUnknown},
    };
    for (const Row &Case : Rows) {
      FlowRouter Router = router(1, 1);
      (void)Router.onViewChange(view(agents(5)), {});
      (void)Router.onPacket(rawPacket(flowKey(4), {.Syn = true}, 7), Later);
      if (Case.Reason == ResultCode::PacketHopLimit)
        Router.refuseNewFlows();
      const std::vector<Action> Expected = {CountDrop{Case.Reason}};
      CPPUNIT_ASSERT_MESSAGE(Case.Name, Router.onPacket(Case.Packet, Later) == Expected);
    }
    // The address of an open flow's service is given to another service.
    FlowRouter Router = router(1);
    (void)Router.onViewChange(view(agents(5)), {});
    (void)Router.onPacket(rawPacket(flowKey(4), {.Syn = true}, 7), Later);
    config::Configuration Moved;
    Moved.Services["other"] = {DealerDesk, "work=desk"};
    (void)Router.onViewChange(std::make_shared<RoutingView>(Moved, agents(5)), Later);
    const std::vector<Action> Expected = {CountDrop{ResultCode::PacketWrongService}};
    CPPUNIT_ASSERT(Router.onPacket(rawPacket(flowKey(4), {.Ack = true}, 8, 101, 501), Later) ==
                   Expected);
  }

  // Guards against an agent that resets a running flow because it has not learnt of it yet.
  void testStart_unknownFlow_isNeverReset() {
    for (const std::uint8_t Ttl : {std::uint8_t{8}, std::uint8_t{7}}) {
      FlowRouter Router = router(1);
      TimePoint Now = Later;
      (void)Router.onViewChange(view(agents(1)), Now);
      for (int I = 0; I < 20; ++I) {
        const auto Out = Router.onPacket(rawPacket(flowKey(1), {.Ack = true}, Ttl), Now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count<SendToCaller>(Out));
        Now += 200ms;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count<SendToCaller>(Router.onTimer(Now)));
      }
    }
  }

  // Guards against a reset after an answer that proves nothing, and against callers of a lost flow
  // that never learn of it.
  void testLocate_answers_decideAboutReset() {
    enum class Peer { Agrees, OtherView, Silent, ServesOther };
    struct Row {
      const char *Name;
      Peer Second;
      Duration SinceChange;
      std::size_t Resets;
      bool AskerServesOther = false; ///< An open flow with the same key and other numbers.
    };
    const Row Rows[] = {
        {"all negative, view settled", Peer::Agrees, ViewSettle, 1},
        {"all negative, view changed", Peer::Agrees, ViewSettle - 1ms, 0},
        {"a peer has another view", Peer::OtherView, ViewSettle, 0},
        {"a peer is silent", Peer::Silent, ViewSettle, 0},
        {"a peer has an open flow of the key", Peer::ServesOther, ViewSettle, 0},
        {"the asker has an open flow of the key", Peer::Agrees, ViewSettle, 0, true},
    };
    for (const Row &Case : Rows) {
      FlowRouter Asker = router(1);
      FlowRouter Peers[] = {router(2), router(3)};
      (void)Asker.onViewChange(view(agents(3)), Later - Case.SinceChange);
      (void)Peers[0].onViewChange(view(agents(3)), Later);
      (void)Peers[1].onViewChange(view(agents(Case.Second == Peer::OtherView ? 4 : 3)), Later);
      const auto Open = [](FlowRouter &At) {
        (void)At.onPacket(rawPacket(flowKey(1), {.Syn = true}, 7), Later);
        (void)At.onPacket(rawPacket(flowKey(1), {.Ack = true}, 7, 101, 501), Later);
      };
      if (Case.AskerServesOther)
        Open(Asker);
      if (Case.Second == Peer::ServesOther)
        Open(Peers[1]);
      std::vector<Action> Out =
          Asker.onPacket(rawPacket(flowKey(1), {.Ack = true}, 7, 150, 777), Later);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, std::size_t{2}, count<SendControl>(Out));
      const std::size_t Answering = Case.Second == Peer::Silent ? 1 : 2;
      std::vector<Action> Results;
      for (std::size_t I = 0; I < Answering; ++I) {
        const auto Reply = Peers[I].onControl(std::get<SendControl>(Out[I]).Message, {}, Later);
        const auto Result = Asker.onControl(std::get<SendControl>(Reply.at(0)).Message, {}, Later);
        Results.insert(Results.end(), Result.begin(), Result.end());
      }
      for (int I = 1; I <= LocateAttempts; ++I)
        for (const Action &Each : Asker.onTimer(Later + I * LocateInterval))
          Results.push_back(Each);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, Case.Resets, count<SendToCaller>(Results));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, std::size_t{1}, count<CountDrop>(Results));
      if (Case.Resets == 1) {
        const Packet Reset = std::get<SendToCaller>(Results.front()).Answer;
        CPPUNIT_ASSERT(Reset.Bits.Rst && Reset.Sequence == 777 && Reset.Acknowledgement == 150);
      }
    }
  }

  // Guards against a control datagram that stops the agent.
  void testControl_malformed_isCounted() {
    const char *Rows[] = {"{}",
                          R"({"t":7})",
                          R"({"t":"other"})",
                          R"({"t":"locate"})",
                          R"({"t":"locate","flow":"x","bits":0,"seq":0,"ack":0})",
                          R"({"t":"locate","flow":7,"bits":0,"seq":0,"ack":0})",
                          R"({"t":"register","flows":["x"]})",
                          R"({"t":"register","owner":"agent-2","flows":[7]})",
                          R"([])"};
    for (const char *Text : Rows) {
      FlowRouter Router = router(1);
      (void)Router.onViewChange(view(agents(3)), {});
      const std::vector<Action> Expected = {CountDrop{ResultCode::MessageMalformed}};
      CPPUNIT_ASSERT_MESSAGE(Text,
                             Router.onControl(nlohmann::json::parse(Text), {}, Later) == Expected);
    }
  }

  // Guards against control traffic that a change of the view makes unbounded.
  void testRegistration_viewChange_staysBelowRate() {
    FlowRouter Router = router(1);
    (void)Router.onViewChange(view({agent(1)}), {});
    for (std::uint32_t I = 0; I < 1000; ++I)
      (void)Router.onPacket(rawPacket(flowKey(I), {.Syn = true}, 7), Later);
    (void)Router.onViewChange(view(agents(5)), Later);
    (void)Router.onViewChange(view({agent(1)}), Later);
    (void)Router.onViewChange(view(agents(5)), Later);
    std::set<std::string> Registered;
    std::size_t Sent = 0;
    for (int Second = 0; Second < 10; ++Second) {
      const std::size_t Before = Registered.size();
      for (Duration Step = 0ms; Step < 1s; Step += 10ms)
        for (const Action &Each : Router.onTimer(Later + Second * 1s + Step))
          if (const auto *Message = std::get_if<SendControl>(&Each)) {
            CPPUNIT_ASSERT(nlohmann::json::to_cbor(Message->Message).size() <= 1200);
            Sent += Message->Message.at("flows").size();
            for (const auto &Flow : Message->Message.at("flows"))
              Registered.insert(Flow.get<std::string>());
          }
      CPPUNIT_ASSERT(Registered.size() - Before <= RegistrationsPerSecond);
    }
    // The home of about a fifth of the flows is still the agent itself.
    CPPUNIT_ASSERT(Registered.size() > 700);
    CPPUNIT_ASSERT_EQUAL(Registered.size(), Sent);
  }

  // Guards against a leaving agent that serves new flows or leaves them without an upstream.
  void testDrain_homeAndTarget_passNewFlowsOn() {
    const auto View = view(agents(3));
    for (std::uint32_t I = 0; I < 50; ++I) {
      for (const std::uint8_t Ttl : {std::uint8_t{8}, std::uint8_t{7}}) {
        FlowRouter Router = router(1, 0);
        (void)Router.onViewChange(View, {});
        Router.refuseNewFlows();
        const auto Out = Router.onPacket(rawPacket(flowKey(I), {.Syn = true}, Ttl), Later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count<ForwardPacket>(Out));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count<AcceptFlow>(Out));
        const Endpoint Target = std::get<ForwardPacket>(Out.at(0)).Data;
        CPPUNIT_ASSERT(Target != agent(1).Data);
        const auto Home = std::get<routing::ForwardTo>(routing::routeFromFabric(
            *View, *packet::readRoute(rawPacket(flowKey(I), {.Syn = true}))));
        const bool HomeKnows = Ttl == 8 || Home.MemberId == "agent-1" || Home.Data == Target;
        CPPUNIT_ASSERT_EQUAL(std::size_t{HomeKnows ? 0U : 1U}, count<SendControl>(Out));
      }
    }
  }

  // Guards against two outdated entries that send a flow's packets round until they expire.
  void testHandOff_cycleOfEntries_isBroken() {
    FlowRouter First = router(1);
    FlowRouter Second = router(2);
    const std::string Flow = packet::toString(flowKey(1));
    const auto Entry = [&](const char *Owner) {
      return nlohmann::json{{"t", "register"}, {"owner", Owner}, {"flows", {Flow}}};
    };
    for (FlowRouter *Each : {&First, &Second})
      (void)Each->onViewChange(view(agents(3)), {});
    (void)First.onControl(Entry("agent-2"), {}, Later);
    (void)Second.onControl(Entry("agent-1"), {}, Later);
    std::vector<Action> Out = First.onPacket(rawPacket(flowKey(1), {.Ack = true}), Later);
    for (int Hops = 0; count<ForwardPacket>(Out) == 1; ++Hops) {
      const ForwardPacket Sent = std::get<ForwardPacket>(Out.at(0));
      Out = (Sent.Data == agent(1).Data ? First : Second).onPacket(Sent.Packet, Later);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count<SendControl>(Out));
  }

  // Guards against a hand-off table that only grows.
  void testHandOff_endedOrIdle_isForgotten() {
    const nlohmann::json Entries = {
        {"t", "register"},
        {"owner", "agent-2"},
        {"flows", {packet::toString(flowKey(1)), packet::toString(flowKey(2))}}};
    FlowRouter Router = router(1);
    (void)Router.onViewChange(view(agents(3)), {});
    (void)Router.onControl(Entries, {}, Later);
    (void)Router.onControl(
        {{"t", "register"}, {"owner", "agent-3"}, {"ended", {packet::toString(flowKey(1))}}}, {},
        Later);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Router.handedOffFlows());
    (void)Router.onControl(
        {{"t", "register"}, {"owner", "agent-2"}, {"ended", {packet::toString(flowKey(1))}}}, {},
        Later);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Router.handedOffFlows());
    TimePoint Now = Later;
    for (; Now < Later + HandOffIdleTimeout; Now += 1s)
      (void)Router.onTimer(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Router.handedOffFlows());
    for (; Now < Later + HandOffIdleTimeout + 60s; Now += 1s)
      (void)Router.onTimer(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Router.handedOffFlows());
    CPPUNIT_ASSERT(!Router.nextTimer());
  }

private:
  /// Opens flows of both services and sends their first bytes.
  static void open(Group &All) {
    All.startTimers();
    All.connect(150, DealerDesk);
    All.connect(50, Warranty);
    exchange(All, 2s);
  }

  /// Lets all callers write now and then, then waits for the last bytes to return.
  static void exchange(Group &All, Duration Length) {
    const TimePoint Stop = All.Now + Length;
    while (All.Now < Stop) {
      All.writeSome();
      All.run(200ms);
    }
    All.run(3s);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowRouterTest);

} // namespace galenarelay::tests
