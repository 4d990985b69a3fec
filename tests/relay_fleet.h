#ifndef GALENARELAY_TESTS_RELAY_FLEET_H
#define GALENARELAY_TESTS_RELAY_FLEET_H

#include "relay_fixture.h"

#include <cmath>
#include <cstring>
#include <deque>
#include <map>
#include <queue>
#include <tuple>

namespace galenarelay::tests {

/// Balancers, agents, upstreams and callers of one service under a simulated clock. The decision
/// code is the product's; packets travel with fixed delays and are never lost.
class RelayFleet {
public:
  struct Options {
    std::size_t Balancers = 4;
    std::size_t Agents = 8;
    std::uint32_t Slots = 2;
    std::size_t QueuePerSlot = 4; ///< Requests that wait at an upstream; beyond it sheds them.
    common::Duration Work = 40ms;
    double UrgentShare = 0; ///< Part of the requests that goes to OrdersAddress.
    std::uint64_t Seed = 1;
    relay::policy::Mechanisms InUse;
  };

  /// What one caller, or one kind of request, got.
  struct Caller {
    std::size_t Asked = 0;
    std::size_t Served = 0;
    std::size_t InTime = 0;
    std::size_t Refused = 0;         ///< Reset before the flow opened.
    std::size_t Shed = 0;            ///< Refused by an upstream whose queue was full.
    common::Duration RefusedAfter{}; ///< Sum of the times from a request to its refusal.

    friend Caller operator-(const Caller &A, const Caller &B) {
      return {A.Asked - B.Asked,     A.Served - B.Served, A.InTime - B.InTime,
              A.Refused - B.Refused, A.Shed - B.Shed,     A.RefusedAfter - B.RefusedAfter};
    }
  };

  explicit RelayFleet(Options Chosen) : Chosen(Chosen), Random(Chosen.Seed) {
    for (std::size_t I = 0; I < Chosen.Balancers; ++I)
      Balancers.push_back(
          std::make_unique<BalancerNode>(balancerAddress(I), Random(), Chosen.InUse));
    for (std::size_t I = 0; I < Chosen.Agents; ++I)
      Agents.push_back(std::make_unique<AgentNode>(Chosen.InUse));
    for (auto &Each : Agents)
      (void)Each->Flows.onHeartbeat(upstreamHeartbeat(*Each), Now);
    tick();
  }

  /// Requests of equal callers, each on a flow of its own, at a rate for a time.
  void offer(double PerSecond, common::Duration For, std::size_t CallerCount) {
    const auto End = Now + For;
    while (Now < End) {
      const double Gap = -std::log(1 - common::uniformUnit(Random)) / PerSecond;
      runUntil(Now +
               std::chrono::duration_cast<common::Duration>(std::chrono::duration<double>(Gap)));
      const auto Who = static_cast<std::uint32_t>(common::uniformBelow(Random, CallerCount));
      const bool Urgent = common::uniformUnit(Random) < Chosen.UrgentShare;
      start({{0x64400000U + Who, ++NextPort}, Urgent ? OrdersAddress : DeskAddress});
    }
  }

  /// Last copies of first packets whose callers give up before they are answered.
  void abandon(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      fromCaller(firstPacket({{0x64500000U, ++NextPort}, DeskAddress}, 2));
  }

  void runUntil(common::TimePoint Until) {
    while (!Events.empty() && Events.top().At <= Until) {
      auto Next = Events.top();
      Events.pop();
      Now = Next.At;
      Next.Run();
    }
    Now = Until;
  }
  void runFor(common::Duration Time) { runUntil(Now + Time); }

  [[nodiscard]] const std::map<std::uint32_t, Caller> &callers() const { return Callers; }
  /// What requests to a service endpoint got.
  [[nodiscard]] Caller kind(common::Endpoint Service) const {
    const auto Found = Kinds.find(Service.Port);
    return Found == Kinds.end() ? Caller{} : Found->second;
  }
  [[nodiscard]] Caller total() const {
    Caller Sum;
    for (const auto &[Who, Each] : Callers) {
      Sum.Asked += Each.Asked;
      Sum.Served += Each.Served;
      Sum.InTime += Each.InTime;
      Sum.Refused += Each.Refused;
      Sum.Shed += Each.Shed;
      Sum.RefusedAfter += Each.RefusedAfter;
    }
    return Sum;
  }
  /// Control messages so far: questions, answers and reports.
  [[nodiscard]] std::size_t messages() const { return 2 * Questions + Reported; }
  /// Bytes of these messages with their IPv4 and UDP headers.
  [[nodiscard]] std::size_t controlBytes() const {
    constexpr std::size_t Headers = 28;
    const auto Size = [](const relay::PeerMessage &Message) {
      return relay::encode(Message).size() + Headers;
    };
    return Questions * (Size(relay::LoadQuery{}) +
                        Size(relay::LoadAnswer{relay::UpstreamState::Ready, {9, 99}})) +
           Reported * Size(agentReport(1'000'000, 9, 99));
  }
  /// Requests per second that all upstreams together can run.
  [[nodiscard]] double capacity() const {
    return static_cast<double>(Chosen.Agents * Chosen.Slots) /
           std::chrono::duration<double>(Chosen.Work).count();
  }

private:
  static constexpr common::Duration Hop = 500us;
  static constexpr common::Duration CallerHop = 1ms;
  static constexpr common::Duration Objective = 200ms;
  static constexpr common::Duration Deadline = 3s;

  struct BalancerNode {
    BalancerNode(relay::NodeAddress Address, std::uint64_t Seed, relay::policy::Mechanisms InUse)
        : Directory("a", Seed, InUse), Steering(Address, Directory, RelayStart - 60s, InUse) {
      Steering.setRoutes(relayRoutes());
      Steering.setRoutesCurrent(true);
    }
    relay::UpstreamDirectory Directory;
    relay::FlowSteering Steering;
  };
  struct AgentNode {
    explicit AgentNode(relay::policy::Mechanisms InUse)
        : Flows("desk", 1200ms, RelayStart - 60s, InUse) {}
    relay::UpstreamFlows Flows;
    std::uint64_t Sequence = 0;
    std::uint64_t Reports = 0;
    std::uint32_t Running = 0;
    std::deque<packet::FlowKey> Queue;
  };
  struct Request {
    common::TimePoint AskedAt;
    bool Opened = false;
  };
  struct Event {
    common::TimePoint At;
    std::uint64_t Order;
    std::function<void()> Run;
    bool operator<(const Event &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };

  static relay::NodeAddress balancerAddress(std::size_t I) {
    return 0x0a010000U + static_cast<relay::NodeAddress>(I);
  }
  static relay::NodeAddress agentAddress(std::size_t I) {
    return 0x0a020000U + static_cast<relay::NodeAddress>(I);
  }
  AgentNode &agent(relay::NodeAddress Address) { return *Agents[Address - 0x0a020000U]; }
  BalancerNode &balancer(relay::NodeAddress Address) { return *Balancers[Address - 0x0a010000U]; }
  relay::NodeAddress routerChoice(const packet::FlowKey &Key) const {
    return balancerAddress(packet::hash(Key) % Chosen.Balancers);
  }

  void after(common::Duration Delay, std::function<void()> Run) {
    Events.push({Now + Delay, ++EventOrder, std::move(Run)});
  }

  void count(const packet::FlowKey &Key, std::size_t Caller::*Field) {
    ++(Callers[Key.Caller.Address].*Field);
    ++(Kinds[Key.Service.Port].*Field);
  }

  relay::Heartbeat upstreamHeartbeat(AgentNode &Node) const {
    auto Made = heartbeat(++Node.Sequence);
    Made.Slots = Chosen.Slots;
    return Made;
  }

  /// Packets are kept here; their bytes are only their number.
  relay::Bytes store(const relay::PacketHead &Head) {
    Packets.push_back(Head);
    const std::uint64_t Number = Packets.size() - 1;
    relay::Bytes Raw(sizeof Number);
    std::memcpy(Raw.data(), &Number, sizeof Number);
    return Raw;
  }
  const relay::PacketHead &load(const relay::Bytes &Raw) const {
    std::uint64_t Number = 0;
    std::memcpy(&Number, Raw.data(), sizeof Number);
    return Packets[Number];
  }

  void start(const packet::FlowKey &Key) {
    count(Key, &Caller::Asked);
    Requests[Key] = {Now, false};
    for (std::uint32_t Copy = 0; Copy < 3; ++Copy)
      after(Copy == 0 ? 0ms : (Copy == 1 ? 200ms : 600ms), [this, Key, Copy] {
        const auto Found = Requests.find(Key);
        if (Found != Requests.end() && !Found->second.Opened)
          fromCaller(firstPacket(Key, Copy));
      });
  }

  void fromCaller(const relay::PacketHead &Head) {
    after(CallerHop, [this, Head] {
      const auto Address = routerChoice(Head.Key);
      const auto Raw = store(Head);
      steer(Address, balancer(Address).Steering.onPacket(Head, Raw, Now), Raw);
    });
  }

  void steer(relay::NodeAddress From, const relay::SteeringActions &Actions,
             const relay::Bytes &Raw) {
    for (const auto &Action : Actions) {
      if (Action.What == relay::SteeringAction::Kind::Reset)
        after(CallerHop, [this, Key = Action.Key] { onReset(Key); });
      if (Action.What == relay::SteeringAction::Kind::Ask)
        ask(From, Action.Agent);
      if (Action.What != relay::SteeringAction::Kind::Forward)
        continue;
      const auto Packet = Action.Saved ? *Action.Saved : Raw;
      after(Hop, [this, From, Action, Packet] {
        auto &Node = agent(Action.Agent);
        act(Action.Agent,
            Node.Flows.onBalancerPacket(load(Packet), Action.Fields, Packet, From, Now), Packet);
      });
    }
  }

  void act(relay::NodeAddress At, const relay::FlowActions &Actions, const relay::Bytes &Raw) {
    using Kind = relay::FlowAction::Kind;
    for (const auto &Action : Actions) {
      const auto Packet = Action.Saved ? *Action.Saved : Raw;
      const auto Load = agent(At).Flows.load();
      if (Action.What == Kind::Deliver)
        toUpstream(At, load(Packet));
      else if (Action.What == Kind::SendToCaller)
        after(CallerHop, [this, Head = load(Packet)] { toCaller(Head); });
      else if (Action.What == Kind::Report)
        report(At, Action.Balancer);
      else if (Action.What == Kind::Notify)
        after(Hop, [this, At, Action, Load] {
          auto &Node = balancer(Action.Balancer);
          Node.Directory.onLoad(At, Load, Now);
          steer(Action.Balancer, Node.Steering.onNotice({Action.Key, Load}, At, Now), {});
        });
      else if (Action.What == Kind::Return)
        after(Hop, [this, At, Action, Load, Packet] {
          steer(Action.Balancer,
                balancer(Action.Balancer)
                    .Steering.onReturned(load(Packet), {Action.Reason, Load, Packet}, At, Now),
                {});
        });
    }
  }

  void fromUpstream(relay::NodeAddress At, const relay::PacketHead &Head) {
    const auto Raw = store(Head);
    act(At, agent(At).Flows.onUpstreamPacket(Head, {}, Now), Raw);
  }

  void toUpstream(relay::NodeAddress At, const relay::PacketHead &Head) {
    if (Head.opensFlow())
      return fromUpstream(At, upstreamAccept(Head.Key, FirstSequence));
    auto &Node = agent(At);
    if (Head.PayloadBytes == 0)
      return;
    if (Node.Running < Chosen.Slots)
      return begin(At, Head.Key);
    if (Node.Queue.size() < Chosen.QueuePerSlot * Chosen.Slots)
      return Node.Queue.push_back(Head.Key);
    count(Head.Key, &Caller::Shed);
    finish(At, Head.Key, false);
  }

  void begin(relay::NodeAddress At, const packet::FlowKey &Key) {
    ++agent(At).Running;
    // Half to one and a half of the mean.
    const auto Time = std::chrono::duration_cast<common::Duration>(
        Chosen.Work * (0.5 + common::uniformUnit(Random)));
    after(Time, [this, At, Key] {
      auto &Node = agent(At);
      --Node.Running;
      finish(At, Key, true);
      if (Node.Queue.empty())
        return;
      const auto Next = Node.Queue.front();
      Node.Queue.pop_front();
      begin(At, Next);
    });
  }

  /// Answers a request and closes its flow.
  void finish(relay::NodeAddress At, const packet::FlowKey &Key, bool Ran) {
    auto Answer = upstreamData(Key, FirstSequence, Ran ? 100 : 10);
    Answer.Bits.Fin = true;
    fromUpstream(At, Answer);
  }

  void toCaller(const relay::PacketHead &Head) {
    const auto Found = Requests.find(Head.Key);
    if (Found == Requests.end())
      return;
    if (Head.Bits.Syn) {
      Found->second.Opened = true;
      return fromCaller(callerData(Head.Key, FirstSequence));
    }
    const auto Took = Now - Found->second.AskedAt;
    Requests.erase(Found);
    if (Head.PayloadBytes < 100 || Took > Deadline)
      return;
    count(Head.Key, &Caller::Served);
    if (Took <= Objective)
      count(Head.Key, &Caller::InTime);
  }

  void onReset(const packet::FlowKey &Key) {
    const auto Found = Requests.find(Key);
    if (Found == Requests.end())
      return;
    count(Key, &Caller::Refused);
    Callers[Key.Caller.Address].RefusedAfter += Now - Found->second.AskedAt;
    Requests.erase(Found);
  }

  void ask(relay::NodeAddress From, relay::NodeAddress To) {
    ++Questions;
    after(Hop, [this, From, To] {
      const auto Answer = agent(To).Flows.onLoadQuery({}, From, Now);
      after(Hop, [this, From, To, Answer] {
        balancer(From).Directory.onAnswer(To, Answer, Now);
        steer(From, balancer(From).Steering.onLoadKnown(Now), {});
      });
    });
  }

  void report(relay::NodeAddress From, relay::NodeAddress To) {
    ++Reported;
    auto &Node = agent(From);
    auto Report = agentReport(++Node.Reports);
    Report.State = Node.Flows.state(Now);
    Report.Slots = Chosen.Slots;
    Report.Load = Node.Flows.load();
    after(Hop, [this, From, To, Report] {
      (void)balancer(To).Directory.onReport(From, Report, Now);
      steer(To, balancer(To).Steering.onLoadKnown(Now), {});
    });
  }

  // As in the programs: an agent reports to one balancer at a time, and a balancer repeats
  // questions that stayed unanswered.
  void tick() {
    const bool Reports = ++Ticks % 10 == 1; // Every 200 ms.
    for (std::size_t I = 0; I < Agents.size(); ++I) {
      auto &Node = *Agents[I];
      if (Ticks % 50 == 0)
        (void)Node.Flows.onHeartbeat(upstreamHeartbeat(Node), Now);
      act(agentAddress(I), Node.Flows.onTimer(Now), {});
      if (Ticks == 1) {
        for (std::size_t B = 0; B < Balancers.size(); ++B)
          report(agentAddress(I), balancerAddress(B));
      } else if (Reports) {
        report(agentAddress(I), balancerAddress((Ticks / 10 + I) % Balancers.size()));
      }
    }
    for (std::size_t I = 0; I < Balancers.size(); ++I) {
      steer(balancerAddress(I), Balancers[I]->Steering.onTimer(Now), {});
      for (const auto Agent : Balancers[I]->Directory.takeQuestions(Now))
        ask(balancerAddress(I), Agent);
    }
    after(20ms, [this] { tick(); });
  }

  static constexpr std::uint32_t FirstSequence = 5000;

  Options Chosen;
  common::Engine Random;
  common::TimePoint Now = RelayStart;
  std::priority_queue<Event> Events;
  std::uint64_t EventOrder = 0;
  std::uint64_t Ticks = 0;
  std::size_t Questions = 0;
  std::size_t Reported = 0;
  std::uint16_t NextPort = 0;
  std::vector<std::unique_ptr<BalancerNode>> Balancers;
  std::vector<std::unique_ptr<AgentNode>> Agents;
  std::vector<relay::PacketHead> Packets;
  std::map<packet::FlowKey, Request> Requests;
  std::map<std::uint32_t, Caller> Callers;
  std::map<std::uint16_t, Caller> Kinds; ///< By the port of the service endpoint.
};

} // namespace galenarelay::tests

#endif // GALENARELAY_TESTS_RELAY_FLEET_H
