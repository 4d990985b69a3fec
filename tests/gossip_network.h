#ifndef GALENARELAY_TESTS_GOSSIP_NETWORK_H
#define GALENARELAY_TESTS_GOSSIP_NETWORK_H

#include "galenarelay/membership/gossip.h"

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace galenarelay::tests {

/// Gossip cores on a simulated clock and a seeded network that loses and delays datagrams.
class GossipNetwork {
public:
  using TimePoint = common::TimePoint;
  using Duration = common::Duration;
  /// Tells whether the second node hears the first.
  using Reachable = std::function<bool(std::size_t From, std::size_t To)>;

  struct Node {
    std::unique_ptr<membership::Gossip> Core;
    bool Alive = true;
    TimePoint Scheduled{};
    std::uint64_t SentBytes = 0;
    std::uint64_t ReceivedBytes = 0;
    std::uint64_t SentMessages = 0;
    std::uint64_t Rejected = 0;
    std::uint64_t Lists = 0;
  };

  explicit GossipNetwork(std::uint64_t Seed, double Loss = 0) : Random(Seed), Loss(Loss) {}

  [[nodiscard]] TimePoint now() const noexcept { return Now; }
  [[nodiscard]] std::size_t size() const noexcept { return Nodes.size(); }
  [[nodiscard]] const Node &node(std::size_t I) const { return Nodes[I]; }
  [[nodiscard]] membership::Gossip &core(std::size_t I) { return *Nodes[I].Core; }
  static std::string id(std::size_t I) { return "agent-" + std::to_string(I); }

  static membership::Member record(std::size_t I) {
    const auto Address = static_cast<std::uint32_t>(0x0a000000 + I);
    membership::Member Self;
    Self.Id = id(I);
    Self.Zone = "zone-" + std::to_string(I % 3);
    Self.Data = {Address, 1};
    Self.Control = {Address, 2};
    Self.Admin = {Address, 3};
    Self.Upstream = {Address, 4};
    Self.Slots = 5;
    Self.Incarnation = 1;
    Self.State = membership::MemberState::Active;
    return Self;
  }

  /// Starts a node whose seed is node 0; returns its position.
  std::size_t add() {
    const std::size_t I = Nodes.size();
    std::vector<common::Endpoint> Seeds;
    if (I > 0)
      Seeds.push_back(record(0).Control);
    Nodes.emplace_back();
    Nodes[I].Core = std::make_unique<membership::Gossip>(record(I), Seeds, Random());
    perform(I, core(I).start(Now));
    return I;
  }

  void add(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      add();
  }

  void kill(std::size_t I) { Nodes[I].Alive = false; }
  void setReachable(Reachable Function) { CanReach = std::move(Function); }

  void perform(std::size_t I, const membership::GossipActions &Actions) {
    for (const auto &Action : Actions)
      std::visit([&](const auto &Each) { performOne(I, Each); }, Action);
    schedule(I);
  }

  /// Runs until the time has passed or the condition holds; tells whether it held.
  bool runUntil(Duration Limit, const std::function<bool()> &Holds) {
    const TimePoint End = Now + Limit;
    while (!Holds()) {
      if (Events.empty() || Events.top().At > End) {
        Now = End;
        return Holds();
      }
      step();
    }
    return true;
  }

  void run(Duration For) {
    runUntil(For, [] { return false; });
  }

  /// True if all live nodes have the same digest and count the live nodes exactly.
  [[nodiscard]] bool converged() {
    std::size_t Alive = 0;
    for (const Node &Each : Nodes)
      Alive += Each.Alive ? 1 : 0;
    std::optional<std::uint64_t> Common;
    for (const Node &Each : Nodes) {
      if (!Each.Alive)
        continue;
      if (Each.Core->liveCount() != Alive ||
          Each.Core->digest() != Common.value_or(Each.Core->digest()))
        return false;
      Common = Each.Core->digest();
    }
    return true;
  }

  /// Live nodes for which the condition doesn't hold.
  [[nodiscard]] std::size_t countUnless(const std::function<bool(membership::Gossip &)> &Holds) {
    std::size_t Count = 0;
    for (const Node &Each : Nodes)
      Count += Each.Alive && !Holds(*Each.Core) ? 1 : 0;
    return Count;
  }

private:
  struct Event {
    TimePoint At;
    std::uint64_t Order;
    std::function<void()> Run;
    bool operator<(const Event &Other) const {
      return std::pair(Other.At, Other.Order) < std::pair(At, Order);
    }
  };

  void at(TimePoint When, std::function<void()> Run) {
    Events.push({When, NextOrder++, std::move(Run)});
  }

  void step() {
    const Event Next = Events.top();
    Events.pop();
    Now = std::max(Now, Next.At);
    Next.Run();
  }

  void schedule(std::size_t I) {
    const TimePoint When = std::max(core(I).nextTimer(), Now + Duration(1));
    if (Nodes[I].Scheduled > Now && Nodes[I].Scheduled <= When)
      return;
    Nodes[I].Scheduled = When;
    at(When, [this, I, When] {
      if (Nodes[I].Scheduled == When && Nodes[I].Alive)
        perform(I, core(I).onTimer(Now));
    });
  }

  static std::size_t indexOf(common::Endpoint Address) { return Address.Address - 0x0a000000; }

  [[nodiscard]] bool reaches(std::size_t From, std::size_t To) const {
    return To < Nodes.size() && Nodes[To].Alive && (!CanReach || CanReach(From, To));
  }

  /// One-way delays between 0.5 ms and 3 ms, as between zones and to clients.
  Duration delay() { return Duration(500 + common::uniformBelow(Random, 2500)); }

  void performOne(std::size_t I, const membership::SendDatagram &Action) {
    Nodes[I].SentBytes += Action.Bytes.size();
    ++Nodes[I].SentMessages;
    const std::size_t To = indexOf(Action.To);
    if (common::uniformUnit(Random) < Loss)
      return;
    at(Now + delay(), [this, I, To, Bytes = Action.Bytes] {
      if (!reaches(I, To))
        return;
      Nodes[To].ReceivedBytes += Bytes.size();
      const auto Message = nlohmann::json::from_cbor(Bytes);
      perform(To, core(To).onMessage(Message, record(I).Control, Now));
    });
  }

  void performOne(std::size_t I, const membership::FetchMembers &Action) {
    const std::size_t From = indexOf(Action.Admin);
    at(Now + delay() + delay(), [this, I, From] {
      if (!reaches(I, From) || !reaches(From, I))
        return;
      ++Nodes[I].Lists;
      perform(I, core(I).onMembers(core(From).members(), Now));
    });
  }

  void performOne(std::size_t I, const membership::FetchConfiguration &Action) {
    const std::size_t From = indexOf(Action.Admin);
    at(Now + delay() + delay(), [this, I, From] {
      if (reaches(I, From) && reaches(From, I))
        perform(I, core(I).setRevision(core(From).revision(), Now));
    });
  }

  void performOne(std::size_t I, const membership::RejectInput &) { ++Nodes[I].Rejected; }
  void performOne(std::size_t, const membership::ViewChanged &) {}

  common::Engine Random;
  double Loss;
  Reachable CanReach;
  TimePoint Now{std::chrono::seconds(1)};
  std::vector<Node> Nodes;
  std::priority_queue<Event> Events;
  std::uint64_t NextOrder = 0;
};

} // namespace galenarelay::tests

#endif // GALENARELAY_TESTS_GOSSIP_NETWORK_H
