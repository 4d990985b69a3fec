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

/// Simulation of gossip state machines on a virtual clock and a network that delays and loses
/// datagrams at random, reproducibly by seed.
class GossipNetwork {
public:
  using TimePoint = common::TimePoint;
  using Duration = common::Duration;
  /// Returns true if datagrams from node From reach node To.
  using Reachable = std::function<bool(std::size_t From, std::size_t To)>;

  struct Node {
    std::unique_ptr<membership::Gossip> Core;
    bool Alive = true;
    TimePoint TimerAt{};
    std::uint64_t SentBytes = 0;
    std::uint64_t ReceivedBytes = 0;
    std::uint64_t SentMessages = 0;
    std::uint64_t RejectedInputs = 0;
    std::uint64_t FetchedLists = 0;
    std::uint64_t StoreReads = 0; ///< Asked for.
  };

  explicit GossipNetwork(std::uint64_t Seed, double LossRate = 0)
      : Random(Seed), LossRate(LossRate) {}

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

  /// Whether the store serves a node.
  std::function<bool(std::size_t)> StoreServes = [](std::size_t) { return true; };

  /// Starts a node whose seed is node 0; returns its index.
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
  void setReachable(Reachable Function) { IsReachable = std::move(Function); }

  void perform(std::size_t I, const membership::GossipActions &Actions) {
    for (const auto &Action : Actions)
      std::visit([&](const auto &Concrete) { performOne(I, Concrete); }, Action);
    schedule(I);
  }

  /// Runs until Holds returns true or Limit has passed; returns true if the condition was met.
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

  /// True if all live nodes have the same digest and each one's live count equals the number of
  /// live nodes.
  [[nodiscard]] bool converged() {
    std::size_t Alive = 0;
    for (const Node &Current : Nodes)
      Alive += Current.Alive ? 1 : 0;
    std::optional<std::uint64_t> Common;
    for (const Node &Current : Nodes) {
      if (!Current.Alive)
        continue;
      if (Current.Core->liveCount() != Alive ||
          Current.Core->digest() != Common.value_or(Current.Core->digest()))
        return false;
      Common = Current.Core->digest();
    }
    return true;
  }

  /// Number of live nodes for which Holds returns false.
  [[nodiscard]] std::size_t countUnless(const std::function<bool(membership::Gossip &)> &Holds) {
    std::size_t Count = 0;
    for (const Node &Current : Nodes)
      Count += Current.Alive && !Holds(*Current.Core) ? 1 : 0;
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
    if (Nodes[I].TimerAt > Now && Nodes[I].TimerAt <= When)
      return;
    Nodes[I].TimerAt = When;
    at(When, [this, I, When] {
      if (Nodes[I].TimerAt == When && Nodes[I].Alive)
        perform(I, core(I).onTimer(Now));
    });
  }

  static std::size_t indexOf(common::Endpoint Address) { return Address.Address - 0x0a000000; }

  [[nodiscard]] bool reaches(std::size_t From, std::size_t To) const {
    return To < Nodes.size() && Nodes[To].Alive && (!IsReachable || IsReachable(From, To));
  }

  /// Random one-way delay between 0.5 ms and 3 ms, as between availability zones and to clients.
  Duration delay() { return Duration(500 + common::uniformBelow(Random, 2500)); }

  void performOne(std::size_t I, const membership::SendDatagram &Action) {
    Nodes[I].SentBytes += Action.Bytes.size();
    ++Nodes[I].SentMessages;
    const std::size_t To = indexOf(Action.To);
    if (common::uniformUnit(Random) < LossRate)
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
      ++Nodes[I].FetchedLists;
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

  /// The store confirms each era.
  void performOne(std::size_t I, const membership::CheckStore &Action) {
    at(Now + delay() + delay(),
       [this, I, Era = Action.Era] { perform(I, core(I).setStoreEra(Era, Now)); });
  }
  void performOne(std::size_t I, const membership::ReadStore &) {
    ++Nodes[I].StoreReads;
    if (!StoreServes(I))
      return core(I).noteStoreReadFailed(Now);
    for (const auto &Action : core(I).noteStoreRead(Now, Now))
      std::visit([&](const auto &Concrete) { performOne(I, Concrete); }, Action);
  }
  void performOne(std::size_t I, const membership::RejectInput &) { ++Nodes[I].RejectedInputs; }
  void performOne(std::size_t, const membership::NotifyViewChanged &) {}

  common::Engine Random;
  double LossRate;
  Reachable IsReachable;
  TimePoint Now{std::chrono::seconds(1)};
  std::vector<Node> Nodes;
  std::priority_queue<Event> Events;
  std::uint64_t NextOrder = 0;
};

} // namespace galenarelay::tests

#endif // GALENARELAY_TESTS_GOSSIP_NETWORK_H
