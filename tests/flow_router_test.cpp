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

Member makeAgent(int Number, MemberState State = MemberState::Active) {
  Member Agent;
  Agent.Id = "agent-" + std::to_string(Number);
  Agent.Zone = "a";
  Agent.Data = {0x7f000001, static_cast<std::uint16_t>(1000 + Number)};
  Agent.Control = {0x7f000001, static_cast<std::uint16_t>(2000 + Number)};
  Agent.State = State;
  return Agent;
}

/// Builds a view in which agents 1 to 5 and 9 serve the dealer desk and 6 to 8 serve warranty
/// claims, unless LabelOverrides gives an agent another label.
ViewPointer makeView(const std::vector<Member> &Members,
                     const std::map<std::string, std::string> &LabelOverrides = {}) {
  config::Configuration Document;
  Document.Services["desk"] = {DealerDesk, "work=desk"};
  Document.Services["warranty"] = {Warranty, "work=warranty"};
  for (int I = 1; I <= 9; ++I)
    Document.UpstreamLabels["agent-" + std::to_string(I)] = {
        {"work", I <= 5 || I == 9 ? "desk" : "warranty"}};
  for (const auto &[Id, Work] : LabelOverrides)
    Document.UpstreamLabels[Id] = {{"work", Work}};
  return std::make_shared<RoutingView>(Document, Members);
}

std::vector<Member> makeAgents(int Count) {
  std::vector<Member> Members;
  for (int I = 1; I <= Count; ++I)
    Members.push_back(makeAgent(I));
  return Members;
}

FlowKey flowKey(std::uint32_t Number, Endpoint Service = DealerDesk) {
  return {{0x0a000000 + Number, 4000}, Service};
}

Bytes rawPacket(const FlowKey &Key, packet::Flags Bits, std::uint8_t Ttl = packet::InitialTtl,
                std::uint32_t Sequence = 100, std::uint32_t Ack = 0) {
  Packet Outgoing;
  Outgoing.Key = Key;
  Outgoing.Bits = Bits;
  Outgoing.Ttl = Ttl;
  Outgoing.Sequence = Sequence;
  Outgoing.Acknowledgement = Ack;
  return packet::serialize(Outgoing);
}

/// Simulates agents, balancers and callers on a network with seeded random delays; each agent and
/// balancer has its own view.
class FlowNetwork {
public:
  explicit FlowNetwork(std::uint64_t Seed, ViewPointer InitialView)
      : Random(Seed), BalancerViews(3, InitialView) {
    for (const Member &Self : InitialView->members())
      start(Self, InitialView);
  }

  void start(const Member &Self, const ViewPointer &View) {
    auto &Started = Agents[Self.Data];
    Started = std::make_unique<Agent>(
        Agent{Self,
              FlowRouter(
                  Self.Id,
                  [this](const routing::ServiceRoute &Route, const std::string &,
                         TimePoint) -> std::optional<std::size_t> {
                    if (Route.Candidates.empty())
                      return std::nullopt;
                    return common::uniformBelow(Random, Route.Candidates.size());
                  },
                  [Data = Self.Data, this](const packet::RouteView &Route) {
                    const auto &Streams = Agents.at(Data)->Streams;
                    const auto Entry = Streams.find(Route.Key);
                    return Entry != Streams.end() && Entry->second.matches(Route);
                  },
                  Random()),
              {}});
    perform(*Started, Started->Router.onViewChange(View, Now));
  }

  /// Delivers the view to every node, each after its own random delay of at most Spread.
  void changeView(const ViewPointer &View, Duration Spread) {
    for (auto &BalancerView : BalancerViews)
      at(delay(Spread), [&BalancerView, View] { BalancerView = View; });
    for (auto &[Data, Node] : Agents)
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

  /// Lets about a quarter of the callers, and each that has not written yet, write random amounts;
  /// the owner echoes the bytes.
  void writeFromSomeCallers() {
    for (auto &[Key, Caller] : Callers) {
      if (WrittenBytes.contains(Key) && common::uniformBelow(Random, 4) != 0)
        continue;
      const Bytes Data(common::uniformBelow(Random, 4000) + 1, 7);
      WrittenBytes[Key] += Caller.write(Data);
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
      for (auto &[Data, Node] : Agents)
        onAgentTimer(*Node);
      startTimers();
    });
  }

  [[nodiscard]] std::string ownerOf(const FlowKey &Key) const {
    const auto Entry = Readers.find(Key);
    return Entry == Readers.end() ? std::string() : *Entry->second.begin();
  }

  /// Asserts that each flow has one owner, which has echoed every byte unless it is DeadId.
  void assertFlowsIntact(const std::string &DeadId = {}) {
    for (auto &[Key, Caller] : Callers) {
      const std::string FlowText = packet::toString(Key) + " of " + ownerOf(Key);
      CPPUNIT_ASSERT_MESSAGE(FlowText, Readers[Key].size() == 1);
      if (ownerOf(Key) == DeadId)
        continue;
      CPPUNIT_ASSERT_MESSAGE(FlowText, Caller.state() == StreamState::Established);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(FlowText, WrittenBytes[Key], EchoedBytes[Key]);
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
  std::map<FlowKey, std::size_t> WrittenBytes;
  std::map<FlowKey, std::size_t> EchoedBytes;
  std::set<std::string> DrainingAgents; ///< IDs of agents that must not accept new flows.
  std::size_t ExpiredStreams = 0;
  double SynDuplicationRate = 0;

private:
  TimePoint delay(Duration MaxDelay) {
    return Now + Duration(common::uniformBelow(Random, MaxDelay.count() + 1));
  }

  void at(TimePoint When, std::function<void()> Event) { Events.emplace(When, std::move(Event)); }

  void sendFromCaller(const FlowKey &Key) {
    for (const Packet &Outgoing : Callers.at(Key).takeOutput(Now)) {
      const int Copies =
          Outgoing.Bits.Syn && common::uniformUnit(Random) < SynDuplicationRate ? 3 : 1;
      for (int I = 0; I < Copies; ++I)
        spray(packet::serialize(Outgoing));
    }
  }

  void spray(const Bytes &Raw) {
    const auto &View = BalancerViews[common::uniformBelow(Random, BalancerViews.size())];
    const auto Decision = routing::routeFromFabric(*View, *packet::readRoute(Raw));
    if (const auto *Forward = std::get_if<routing::ForwardTo>(&Decision))
      at(delay(2ms), [this, Data = Forward->Data, Raw] { deliver(Data, Raw); });
  }

  void deliver(Endpoint Data, const Bytes &Raw) {
    const auto Entry = Agents.find(Data);
    if (Entry != Agents.end())
      perform(*Entry->second, Entry->second->Router.onPacket(Raw, Now));
  }

  void perform(Agent &ThisAgent, const std::vector<Action> &Actions) {
    for (const Action &Next : Actions) {
      if (const auto *Accepted = std::get_if<AcceptFlow>(&Next)) {
        CPPUNIT_ASSERT(!DrainingAgents.contains(ThisAgent.Self.Id));
        const auto Syn = common::capture([&] { return packet::parseFromCaller(Accepted->Packet); });
        const auto Isn = static_cast<std::uint32_t>(Random());
        ThisAgent.Streams.insert_or_assign(Accepted->Key, Stream::accept(*Syn, Isn, Now));
        serve(ThisAgent, Accepted->Key);
      } else if (const auto *Delivered = std::get_if<DeliverPacket>(&Next)) {
        const auto Received =
            common::capture([&] { return packet::parseFromCaller(Delivered->Packet); });
        ThisAgent.Streams.at(Delivered->Key).onPacket(*Received, Now);
        serve(ThisAgent, Delivered->Key);
      } else if (const auto *Forwarded = std::get_if<ForwardPacket>(&Next)) {
        at(delay(2ms), [this, Forward = *Forwarded] { deliver(Forward.Data, Forward.Packet); });
      } else if (const auto *Control = std::get_if<SendControl>(&Next)) {
        CPPUNIT_ASSERT(nlohmann::json::to_cbor(Control->Message).size() <= 1200);
        at(delay(2ms),
           [this, Sent = *Control, From = ThisAgent.Self.Control] { deliverControl(Sent, From); });
      } else if (const auto *Answer = std::get_if<SendReset>(&Next)) {
        sendToCaller(Answer->Reset);
      }
    }
  }

  void deliverControl(const SendControl &Sent, Endpoint From) {
    for (auto &[Data, Receiver] : Agents)
      if (Receiver->Self.Control == Sent.Control)
        perform(*Receiver, Receiver->Router.onControl(Sent.Message, From, Now));
  }

  /// Runs the agent's application, which echoes every byte that it reads.
  void serve(Agent &ThisAgent, const FlowKey &Key) {
    Stream &Served = ThisAgent.Streams.at(Key);
    const Bytes Read = Served.read();
    if (!Read.empty())
      Readers[Key].insert(ThisAgent.Self.Id);
    CPPUNIT_ASSERT_EQUAL(Read.size(), Served.write(Read));
    for (const Packet &Outgoing : Served.takeOutput(Now))
      sendToCaller(Outgoing);
  }

  void onAgentTimer(Agent &ThisAgent) {
    perform(ThisAgent, ThisAgent.Router.onTimer(Now));
    for (const FlowKey &Key : ThisAgent.Router.takeExpiredFlows())
      ExpiredStreams += ThisAgent.Streams.erase(Key);
    for (auto &[Key, Served] : ThisAgent.Streams) {
      Served.onTimer(Now);
      serve(ThisAgent, Key);
    }
  }

  void sendToCaller(const Packet &Answer) {
    at(delay(2ms), [this, Answer] {
      Stream &Caller = Callers.at(Answer.Key);
      Caller.onPacket(Answer, Now);
      EchoedBytes[Answer.Key] += Caller.read().size();
      sendFromCaller(Answer.Key);
    });
  }

  std::multimap<TimePoint, std::function<void()>> Events;
  std::uint32_t NextCaller = 1;
};

/// Creates a router without a network. Its streams match acknowledgement number 501 and a SYN with
/// sequence number 100.
FlowRouter makeRouter(int Number, std::size_t Choice = 0) {
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

const TimePoint StartTime = TimePoint(1000s);

} // namespace

class FlowRouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowRouterTest);
  CPPUNIT_TEST(testPackets_sprayedOverBalancers_reachOneOwner);
  CPPUNIT_TEST(testView_agentJoins_openFlowsKeepTheirOwner);
  CPPUNIT_TEST(testView_agentLeaves_openFlowsKeepTheirOwner);
  CPPUNIT_TEST(testView_agentRelabelled_openFlowsKeepTheirOwner);
  CPPUNIT_TEST(testHome_dies_onlyItsFlowsBreak);
  CPPUNIT_TEST(testSyn_duplicatedToTwoHomes_oneRunsAndOneExpires);
  CPPUNIT_TEST(testPacket_notRoutable_isCountedAsDropped);
  CPPUNIT_TEST(testUnknownFlow_soonAfterStart_isNeverReset);
  CPPUNIT_TEST(testLocate_answersOfPossibleOwners_decideReset);
  CPPUNIT_TEST(testControl_malformed_isCounted);
  CPPUNIT_TEST(testRegistration_oddKey_keepsOthers);
  CPPUNIT_TEST(testRegistration_viewChange_staysBelowRate);
  CPPUNIT_TEST(testDrain_homeOrTargetDraining_forwardsNewFlows);
  CPPUNIT_TEST(testHandOff_cycleOfEntries_isBroken);
  CPPUNIT_TEST(testHandOff_endedOrIdle_isRemoved);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a flow that is served by two agents or by an agent of another service.
  void testPackets_sprayedOverBalancers_reachOneOwner() {
    FlowNetwork Network(1, makeView(makeAgents(8)));
    openFlows(Network);
    exchangeData(Network, 5s);
    Network.assertFlowsIntact();
    for (const auto &[Key, Readers] : Network.Readers)
      CPPUNIT_ASSERT_EQUAL(Key.Service == DealerDesk, *Readers.begin() <= "agent-5");
  }

  // Guards against broken flows after a join: the new home must learn who owns the open flows.
  void testView_agentJoins_openFlowsKeepTheirOwner() {
    for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
      FlowNetwork Network(Seed, makeView(makeAgents(8)));
      openFlows(Network);
      const auto Joined = makeView(makeAgents(9));
      Network.start(makeAgent(9), Joined);
      Network.changeView(Joined, 3s);
      exchangeData(Network, 10s);
      Network.connect(50, DealerDesk);
      exchangeData(Network, 10s);
      Network.assertFlowsIntact();
    }
  }

  // Guards against flows that break during a graceful stop, and new flows at the leaving agent.
  void testView_agentLeaves_openFlowsKeepTheirOwner() {
    for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
      FlowNetwork Network(Seed, makeView(makeAgents(8)));
      openFlows(Network);
      const std::size_t Before = Network.Agents.at(makeAgent(2).Data)->Router.servedFlows();
      Network.Agents.at(makeAgent(2).Data)->Router.refuseNewFlows();
      Network.DrainingAgents.insert("agent-2");
      auto Members = makeAgents(8);
      Members[1].State = MemberState::Leaving;
      Network.changeView(makeView(Members), 3s);
      Network.connect(100, DealerDesk);
      exchangeData(Network, 10s);
      Network.assertFlowsIntact();
      CPPUNIT_ASSERT_EQUAL(Before, Network.Agents.at(makeAgent(2).Data)->Router.servedFlows());
    }
  }

  // Guards against a label change that breaks open flows or moves them to another service.
  void testView_agentRelabelled_openFlowsKeepTheirOwner() {
    for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
      FlowNetwork Network(Seed, makeView(makeAgents(8)));
      openFlows(Network);
      Network.changeView(makeView(makeAgents(8), {{"agent-3", "warranty"}}), 2s);
      exchangeData(Network, 2s);
      const auto Residual = Network.Agents.at(makeAgent(3).Data)->Router.residualServices();
      CPPUNIT_ASSERT(Residual == std::vector<std::string>{"desk"});
      auto Members = makeAgents(8);
      Members[2].ResidualServices = Residual;
      const auto Relabelled = makeView(Members, {{"agent-3", "warranty"}});
      Network.changeView(Relabelled, 2s);
      exchangeData(Network, 2s);
      const auto OldFlows = Network.Callers;
      Network.connect(60, DealerDesk);
      Network.connect(60, Warranty);
      exchangeData(Network, 10s);
      Network.assertFlowsIntact();
      for (const auto &[Key, Owners] : Network.Readers)
        if (!OldFlows.contains(Key))
          CPPUNIT_ASSERT(Key.Service == Warranty || *Owners.begin() != "agent-3");
    }
  }

  // Guards against flows that break because their home died, although another agent serves them.
  void testHome_dies_onlyItsFlowsBreak() {
    for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
      FlowNetwork Network(Seed, makeView(makeAgents(8)));
      openFlows(Network);
      Network.Agents.erase(makeAgent(4).Data);
      exchangeData(Network, 5s);
      auto Members = makeAgents(8);
      Members[3].State = MemberState::Dead;
      Network.changeView(makeView(Members), 2s);
      exchangeData(Network, 20s);
      Network.assertFlowsIntact("agent-4");
      for (auto &[Key, Caller] : Network.Callers)
        if (Network.ownerOf(Key) == "agent-4")
          CPPUNIT_ASSERT(Caller.state() == StreamState::Broken);
      Network.connect(50, DealerDesk);
      exchangeData(Network, 10s);
      Network.assertFlowsIntact("agent-4");
    }
  }

  // Guards against a request that runs twice because, during a view change, copies of its SYN reach
  // two agents that both consider themselves the home.
  void testSyn_duplicatedToTwoHomes_oneRunsAndOneExpires() {
    FlowNetwork Network(1, makeView(makeAgents(8)));
    Network.startTimers();
    const auto Joined = makeView(makeAgents(9));
    Network.start(makeAgent(9), Joined);
    Network.BalancerViews[0] = Joined;
    Network.SynDuplicationRate = 1;
    Network.connect(200, DealerDesk);
    exchangeData(Network, 1s);
    Network.changeView(Joined, 1s);
    exchangeData(Network, 12s);
    Network.assertFlowsIntact();
    std::size_t Served = 0;
    for (const auto &[Data, Agent] : Network.Agents)
      Served += Agent->Router.servedFlows();
    CPPUNIT_ASSERT_EQUAL(Network.Callers.size(), Served);
    CPPUNIT_ASSERT(Network.ExpiredStreams > 0);
  }

  // Guards against routing a packet that no rule allows, and against forwarding cycles.
  void testPacket_notRoutable_isCountedAsDropped() {
    const FlowKey Elsewhere = flowKey(1, {0x0a010009, 80});
    struct Row {
      const char *Name;
      Bytes Packet;
      ResultCode Reason;
    };
    const Row Rows[] = {
        {"not IPv4", Bytes(30, 0), ResultCode::PacketMalformed},
        {"unknown service", rawPacket(Elsewhere, {.Syn = true}), ResultCode::PacketUnknownService},
        {"TTL used up", rawPacket(flowKey(2), {.Syn = true}, 1), ResultCode::PacketHopLimit},
        {"not a candidate", rawPacket(flowKey(3, Warranty), {.Syn = true}, 7),
         ResultCode::PacketWrongService},
        {"SYN with another sequence number", rawPacket(flowKey(4), {.Syn = true}, 7, 99),
         ResultCode::FlowUnknown},
    };
    for (const Row &Case : Rows) {
      FlowRouter Router = makeRouter(1, 1);
      (void)Router.onViewChange(makeView(makeAgents(5)), {});
      (void)Router.onPacket(rawPacket(flowKey(4), {.Syn = true}, 7), StartTime);
      if (Case.Reason == ResultCode::PacketHopLimit)
        Router.refuseNewFlows();
      const std::vector<Action> Expected = {CountDrop{Case.Reason}};
      CPPUNIT_ASSERT_MESSAGE(Case.Name, Router.onPacket(Case.Packet, StartTime) == Expected);
    }
    // The address of an open flow's service is given to another service.
    FlowRouter Router = makeRouter(1);
    (void)Router.onViewChange(makeView(makeAgents(5)), {});
    (void)Router.onPacket(rawPacket(flowKey(4), {.Syn = true}, 7), StartTime);
    config::Configuration Moved;
    Moved.Services["other"] = {DealerDesk, "work=desk"};
    (void)Router.onViewChange(std::make_shared<RoutingView>(Moved, makeAgents(5)), StartTime);
    const std::vector<Action> Expected = {CountDrop{ResultCode::PacketWrongService}};
    CPPUNIT_ASSERT(Router.onPacket(rawPacket(flowKey(4), {.Ack = true}, 8, 101, 501), StartTime) ==
                   Expected);
  }

  // Guards against an agent that resets an open flow because it has just started and has not
  // learned who owns it.
  void testUnknownFlow_soonAfterStart_isNeverReset() {
    for (const std::uint8_t Ttl : {std::uint8_t{8}, std::uint8_t{7}}) {
      FlowRouter Router = makeRouter(1);
      TimePoint Now = StartTime;
      (void)Router.onViewChange(makeView(makeAgents(1)), Now);
      for (int I = 0; I < 20; ++I) {
        const auto Actions = Router.onPacket(rawPacket(flowKey(1), {.Ack = true}, Ttl), Now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count<SendReset>(Actions));
        Now += 200ms;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count<SendReset>(Router.onTimer(Now)));
      }
    }
  }

  // Guards against a reset after inconclusive answers, and against a lost flow whose caller never
  // gets a reset.
  void testLocate_answersOfPossibleOwners_decideReset() {
    enum class Peer { Agrees, OtherView, Silent, ServesOther };
    struct Row {
      const char *Name;
      Peer Second;
      Duration SinceChange;
      std::size_t Resets;
      /// The asker has an open flow with the same key but other sequence numbers.
      bool AskerServesOther = false;
    };
    const Row Rows[] = {
        {"all negative, view settled", Peer::Agrees, ViewSettleTime, 1},
        {"all negative, view changed", Peer::Agrees, ViewSettleTime - 1ms, 0},
        {"a peer has another view", Peer::OtherView, ViewSettleTime, 0},
        {"a peer is silent", Peer::Silent, ViewSettleTime, 0},
        {"a peer has an open flow of the key", Peer::ServesOther, ViewSettleTime, 0},
        {"the asker has an open flow of the key", Peer::Agrees, ViewSettleTime, 0, true},
    };
    for (const Row &Case : Rows) {
      FlowRouter Asker = makeRouter(1);
      FlowRouter Peers[] = {makeRouter(2), makeRouter(3)};
      (void)Asker.onViewChange(makeView(makeAgents(3)), StartTime - Case.SinceChange);
      (void)Peers[0].onViewChange(makeView(makeAgents(3)), StartTime);
      (void)Peers[1].onViewChange(makeView(makeAgents(Case.Second == Peer::OtherView ? 4 : 3)),
                                  StartTime);
      const auto OpenFlow = [](FlowRouter &Router) {
        (void)Router.onPacket(rawPacket(flowKey(1), {.Syn = true}, 7), StartTime);
        (void)Router.onPacket(rawPacket(flowKey(1), {.Ack = true}, 7, 101, 501), StartTime);
      };
      if (Case.AskerServesOther)
        OpenFlow(Asker);
      if (Case.Second == Peer::ServesOther)
        OpenFlow(Peers[1]);
      std::vector<Action> Actions =
          Asker.onPacket(rawPacket(flowKey(1), {.Ack = true}, 7, 150, 777), StartTime);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, std::size_t{2}, count<SendControl>(Actions));
      const std::size_t Answering = Case.Second == Peer::Silent ? 1 : 2;
      std::vector<Action> Results;
      for (std::size_t I = 0; I < Answering; ++I) {
        const auto Reply =
            Peers[I].onControl(std::get<SendControl>(Actions[I]).Message, {}, StartTime);
        const auto Result =
            Asker.onControl(std::get<SendControl>(Reply.at(0)).Message, {}, StartTime);
        Results.insert(Results.end(), Result.begin(), Result.end());
      }
      for (int I = 1; I <= LocateAttempts; ++I)
        for (const Action &Resulting : Asker.onTimer(StartTime + I * LocateInterval))
          Results.push_back(Resulting);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, Case.Resets, count<SendReset>(Results));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, std::size_t{1}, count<CountDrop>(Results));
      if (Case.Resets == 1) {
        const Packet Reset = std::get<SendReset>(Results.front()).Reset;
        CPPUNIT_ASSERT(Reset.Bits.Rst && Reset.Sequence == 777 && Reset.Acknowledgement == 150);
      }
    }
  }

  // Guards against a malformed control datagram that makes the agent fail.
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
      FlowRouter Router = makeRouter(1);
      (void)Router.onViewChange(makeView(makeAgents(3)), {});
      const std::vector<Action> Expected = {CountDrop{ResultCode::MessageMalformed}};
      CPPUNIT_ASSERT_MESSAGE(Text, Router.onControl(nlohmann::json::parse(Text), {}, StartTime) ==
                                       Expected);
    }
  }

  // Guards against flows that aren't found because of an odd key in the same registration.
  void testRegistration_oddKey_keepsOthers() {
    FlowRouter Router = makeRouter(1);
    (void)Router.onViewChange(makeView(makeAgents(3)), {});
    const nlohmann::json Message{
        {"t", "register"},
        {"owner", "agent-2"},
        {"flows", {7, "x", packet::toString(flowKey(1)), nullptr, packet::toString(flowKey(2))}}};
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Router.onControl(Message, {}, StartTime).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Router.handedOffFlows());
  }

  // Guards against unbounded control traffic after a view change.
  void testRegistration_viewChange_staysBelowRate() {
    FlowRouter Router = makeRouter(1);
    (void)Router.onViewChange(makeView({makeAgent(1)}), {});
    for (std::uint32_t I = 0; I < 1000; ++I)
      (void)Router.onPacket(rawPacket(flowKey(I), {.Syn = true}, 7), StartTime);
    (void)Router.onViewChange(makeView(makeAgents(5)), StartTime);
    (void)Router.onViewChange(makeView({makeAgent(1)}), StartTime);
    (void)Router.onViewChange(makeView(makeAgents(5)), StartTime);
    std::set<std::string> Registered;
    std::size_t Sent = 0;
    for (int Second = 0; Second < 10; ++Second) {
      const std::size_t Before = Registered.size();
      for (Duration Step = 0ms; Step < 1s; Step += 10ms)
        for (const Action &Next : Router.onTimer(StartTime + Second * 1s + Step))
          if (const auto *Message = std::get_if<SendControl>(&Next)) {
            CPPUNIT_ASSERT(nlohmann::json::to_cbor(Message->Message).size() <= 1200);
            Sent += Message->Message.at("flows").size();
            for (const auto &Flow : Message->Message.at("flows"))
              Registered.insert(Flow.get<std::string>());
          }
      CPPUNIT_ASSERT(Registered.size() - Before <= RegistrationsPerSecond);
    }
    // About a fifth of the flows still have the agent itself as home and need no registration.
    CPPUNIT_ASSERT(Registered.size() > 700);
    CPPUNIT_ASSERT_EQUAL(Registered.size(), Sent);
  }

  // Guards against a draining agent that accepts new flows, or drops them instead of forwarding
  // them.
  void testDrain_homeOrTargetDraining_forwardsNewFlows() {
    const auto View = makeView(makeAgents(3));
    for (std::uint32_t I = 0; I < 50; ++I) {
      for (const std::uint8_t Ttl : {std::uint8_t{8}, std::uint8_t{7}}) {
        FlowRouter Router = makeRouter(1, 0);
        (void)Router.onViewChange(View, {});
        Router.refuseNewFlows();
        const auto Actions = Router.onPacket(rawPacket(flowKey(I), {.Syn = true}, Ttl), StartTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count<ForwardPacket>(Actions));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count<AcceptFlow>(Actions));
        const Endpoint Target = std::get<ForwardPacket>(Actions.at(0)).Data;
        CPPUNIT_ASSERT(Target != makeAgent(1).Data);
        const auto Home = std::get<routing::ForwardTo>(routing::routeFromFabric(
            *View, *packet::readRoute(rawPacket(flowKey(I), {.Syn = true}))));
        const bool HomeKnows = Ttl == 8 || Home.MemberId == "agent-1" || Home.Data == Target;
        CPPUNIT_ASSERT_EQUAL(std::size_t{HomeKnows ? 0U : 1U}, count<SendControl>(Actions));
      }
    }
  }

  // Guards against two outdated hand-off entries that forward a flow's packets in a cycle until
  // their TTL runs out.
  void testHandOff_cycleOfEntries_isBroken() {
    FlowRouter First = makeRouter(1);
    FlowRouter Second = makeRouter(2);
    const std::string Flow = packet::toString(flowKey(1));
    const auto Entry = [&](const char *Owner) {
      return nlohmann::json{{"t", "register"}, {"owner", Owner}, {"flows", {Flow}}};
    };
    for (FlowRouter *Router : {&First, &Second})
      (void)Router->onViewChange(makeView(makeAgents(3)), {});
    (void)First.onControl(Entry("agent-2"), {}, StartTime);
    (void)Second.onControl(Entry("agent-1"), {}, StartTime);
    std::vector<Action> Actions = First.onPacket(rawPacket(flowKey(1), {.Ack = true}), StartTime);
    for (int Hops = 0; count<ForwardPacket>(Actions) == 1; ++Hops) {
      const ForwardPacket Sent = std::get<ForwardPacket>(Actions.at(0));
      Actions = (Sent.Data == makeAgent(1).Data ? First : Second).onPacket(Sent.Packet, StartTime);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count<SendControl>(Actions));
  }

  // Guards against a hand-off table that grows without bound.
  void testHandOff_endedOrIdle_isRemoved() {
    const nlohmann::json Entries = {
        {"t", "register"},
        {"owner", "agent-2"},
        {"flows", {packet::toString(flowKey(1)), packet::toString(flowKey(2))}}};
    FlowRouter Router = makeRouter(1);
    (void)Router.onViewChange(makeView(makeAgents(3)), {});
    (void)Router.onControl(Entries, {}, StartTime);
    (void)Router.onControl(
        {{"t", "register"}, {"owner", "agent-3"}, {"ended", {packet::toString(flowKey(1))}}}, {},
        StartTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Router.handedOffFlows());
    (void)Router.onControl(
        {{"t", "register"}, {"owner", "agent-2"}, {"ended", {packet::toString(flowKey(1))}}}, {},
        StartTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Router.handedOffFlows());
    TimePoint Now = StartTime;
    for (; Now < StartTime + HandOffIdleTimeout; Now += 1s)
      (void)Router.onTimer(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Router.handedOffFlows());
    for (; Now < StartTime + HandOffIdleTimeout + 60s; Now += 1s)
      (void)Router.onTimer(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Router.handedOffFlows());
    CPPUNIT_ASSERT(!Router.nextTimer());
  }

private:
  /// Opens flows of both services and sends their first bytes.
  static void openFlows(FlowNetwork &Network) {
    Network.startTimers();
    Network.connect(150, DealerDesk);
    Network.connect(50, Warranty);
    exchangeData(Network, 2s);
  }

  /// Lets callers write for the given time, then waits for the last bytes to be echoed.
  static void exchangeData(FlowNetwork &Network, Duration Length) {
    const TimePoint Stop = Network.Now + Length;
    while (Network.Now < Stop) {
      Network.writeFromSomeCallers();
      Network.run(200ms);
    }
    Network.run(3s);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowRouterTest);

} // namespace galenarelay::tests
