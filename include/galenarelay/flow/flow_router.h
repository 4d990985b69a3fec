#ifndef GALENARELAY_FLOW_FLOW_ROUTER_H
#define GALENARELAY_FLOW_FLOW_ROUTER_H

#include "galenarelay/common/bucket_sweep.h"
#include "galenarelay/common/random.h"
#include "galenarelay/common/time.h"
#include "galenarelay/packet/packet.h"
#include "galenarelay/routing/routing_view.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace galenarelay::flow {

using Bytes = std::vector<std::uint8_t>;

/// A reset needs a view that has not changed for this time.
inline constexpr common::Duration ViewSettle = std::chrono::seconds(5);
/// A flow that its caller has not acknowledged for this time is dropped.
inline constexpr common::Duration HalfOpenTimeout = std::chrono::seconds(10);
/// Flows that an agent registers with their homes per second, and per datagram of 1,200 bytes.
inline constexpr std::size_t RegistrationsPerSecond = 200;
inline constexpr std::size_t RegistrationsPerMessage = 20;
/// A hand-off entry without packets is forgotten after four keepalive intervals of a stream.
inline constexpr common::Duration HandOffIdleTimeout = std::chrono::seconds(120);
/// An unanswered locate message is repeated after this time, at most LocateAttempts times in all.
inline constexpr common::Duration LocateInterval = std::chrono::milliseconds(200);
inline constexpr int LocateAttempts = 3;
/// Bounds of the tables. At a bound the packet is dropped with FlowTableFull (a new flow) or
/// FlowUnknown (a packet to locate), and the caller retransmits it.
inline constexpr std::size_t MaxServedFlows = 600'000;
inline constexpr std::size_t MaxHandOffs = 1'000'000;
inline constexpr std::size_t MaxLocates = 1024;
inline constexpr std::size_t MaxLocatesPerSecond = 500;
inline constexpr std::size_t MaxHeldPerFlow = 8;
inline constexpr std::size_t MaxHeldBytes = 4 * 1024 * 1024;

/// Open a flow for this service and give it the SYN.
struct AcceptFlow {
  packet::FlowKey Key;
  config::ServiceName Service;
  Bytes Packet;

  friend bool operator==(const AcceptFlow &, const AcceptFlow &) = default;
};

/// Give the packet to the flow served here.
struct DeliverPacket {
  packet::FlowKey Key;
  Bytes Packet;

  friend bool operator==(const DeliverPacket &, const DeliverPacket &) = default;
};

/// Send the packet (its TTL already lowered) to a peer's data address.
struct ForwardPacket {
  common::Endpoint Data;
  Bytes Packet;

  friend bool operator==(const ForwardPacket &, const ForwardPacket &) = default;
};

/// Send a packet to the caller (a reset).
struct SendToCaller {
  packet::Packet Answer;

  friend bool operator==(const SendToCaller &, const SendToCaller &) = default;
};

/// Send a control datagram to a peer's control address.
struct SendControl {
  common::Endpoint Control;
  nlohmann::json Message;

  friend bool operator==(const SendControl &, const SendControl &) = default;
};

/// The packet was dropped; count it.
struct CountDrop {
  common::ResultCode Reason = common::ResultCode::PacketMalformed;

  friend bool operator==(const CountDrop &, const CountDrop &) = default;
};

using Action =
    std::variant<AcceptFlow, DeliverPacket, ForwardPacket, SendToCaller, SendControl, CountDrop>;

/// Picks the upstream for a new flow at its home; returns a position in Route.Candidates.
/// Example: a load view, or round robin in a test.
using UpstreamChooser = std::function<std::optional<std::size_t>(
    const routing::ServiceRoute &Route, const std::string &Self, common::TimePoint Now)>;

/// Tells whether a packet fits the stream of a flow served here.
using FlowFits = std::function<bool(const packet::RouteView &Route)>;

/// An agent's routing decisions for packets and control messages about flows.
class FlowRouter {
public:
  FlowRouter(std::string SelfId, UpstreamChooser Choose, FlowFits Fits, std::uint64_t Seed);

  [[nodiscard]] std::size_t servedFlows() const noexcept;
  [[nodiscard]] std::size_t handedOffFlows() const noexcept;
  /// Services of which flows are served here although new ones no longer come.
  [[nodiscard]] std::vector<config::ServiceName> residualServices() const;
  /// Why a flow goes where it goes, for /v1/explain.
  [[nodiscard]] nlohmann::json explain(const packet::FlowKey &Key) const;
  [[nodiscard]] std::optional<common::TimePoint> nextTimer() const noexcept;

  [[nodiscard]] std::vector<Action> onPacket(std::span<const std::uint8_t> Packet,
                                             common::TimePoint Now);
  [[nodiscard]] std::vector<Action> onControl(const nlohmann::json &Message, common::Endpoint From,
                                              common::TimePoint Now);
  [[nodiscard]] std::vector<Action> onViewChange(std::shared_ptr<const routing::RoutingView> View,
                                                 common::TimePoint Now);
  /// The flow served here has ended.
  [[nodiscard]] std::vector<Action> onFlowEnded(const packet::FlowKey &Key, common::TimePoint Now);
  /// True if this agent is a candidate for the service and takes new flows.
  [[nodiscard]] bool mayServe(const config::ServiceName &Service) const;
  /// True if another agent is a candidate for the service.
  [[nodiscard]] bool hasOtherCandidate(const config::ServiceName &Service) const;
  /// Chooses another agent of the service for a flow that moves; null if there is none.
  [[nodiscard]] const membership::Member *moveTarget(const config::ServiceName &Service,
                                                     common::TimePoint Now);
  /// Takes an open flow that a peer gives up; false if it can't be served here.
  [[nodiscard]] bool adoptFlow(const packet::FlowKey &Key, const config::ServiceName &Service,
                               common::TimePoint Now);
  /// The flow served here now lives at a peer, to which its packets are forwarded from now on.
  void moveFlow(const packet::FlowKey &Key, const std::string &Owner, common::TimePoint Now);
  /// Stops taking new flows, for a drain.
  void refuseNewFlows() noexcept;
  [[nodiscard]] std::vector<Action> onTimer(common::TimePoint Now);
  /// Returns and forgets the flows that were dropped because their callers never acknowledged
  /// them. Their streams must be discarded without a reset: another agent may own the flow.
  [[nodiscard]] std::vector<packet::FlowKey> takeExpired();

private:
  /// Small number for a member ID or service name.
  using NameId = std::uint32_t;

  class Names {
  public:
    NameId idOf(const std::string &Name);
    [[nodiscard]] const std::string &nameOf(NameId Id) const { return Texts[Id]; }
    [[nodiscard]] std::size_t size() const noexcept { return Texts.size(); }

  private:
    std::deque<std::string> Texts;
    std::unordered_map<std::string, NameId> Ids;
  };

  struct ServedFlow {
    NameId Service = 0;
    NameId Home = 0;     ///< The home that knows of the flow, or will once RegisterQueue is empty.
    bool Open = false;   ///< The caller has acknowledged the SYN-ACK.
    bool Queued = false; ///< In RegisterQueue, so that changes of the view don't repeat it there.
  };

  struct HandOff {
    NameId Owner = 0;
    std::uint32_t UsedSecond = 0;
  };

  struct Locate {
    packet::RouteView Route;
    std::vector<Bytes> Held;
    std::vector<std::string> Waiting; ///< Possible owners that have not answered.
    std::uint64_t OwnersDigest = 0;
    int Attempts = 1;
    bool Conclusive = true; ///< All answers so far came from agents with the same possible owners.
  };

  using Deadlines = std::deque<std::pair<common::TimePoint, packet::FlowKey>>;
  using LocateMap = std::unordered_map<packet::FlowKey, Locate, packet::FlowKeyHash>;

  /// One packet on its way through the rules.
  struct Arrival {
    const packet::RouteView &Header;
    const routing::ServiceRoute &Route;
    std::span<const std::uint8_t> Packet;
    common::TimePoint Now;
  };

  [[nodiscard]] bool isCandidate(const routing::ServiceRoute &Route) const;
  [[nodiscard]] bool takesNewFlow(const routing::ServiceRoute &Route) const;
  [[nodiscard]] std::string homeOf(const packet::FlowKey &Key) const;
  [[nodiscard]] const membership::Member *liveMember(const std::string &Id) const;
  [[nodiscard]] bool settled(common::TimePoint Now) const noexcept;

  void route(const Arrival &In, std::vector<Action> &Out);
  void routeServed(const Arrival &In, ServedFlow &Flow, std::vector<Action> &Out);
  bool routeHandedOff(const Arrival &In, std::vector<Action> &Out);
  void routeNewFlow(const Arrival &In, std::vector<Action> &Out);
  void routeToOtherChoice(const Arrival &In, std::vector<Action> &Out);
  void acceptFlow(const Arrival &In, std::vector<Action> &Out);
  void redirectFlow(const Arrival &In, const membership::Member &Target, std::vector<Action> &Out);
  [[nodiscard]] const membership::Member *chooseOther(const routing::ServiceRoute &Route,
                                                      common::TimePoint Now);
  void forward(std::span<const std::uint8_t> Packet, std::uint8_t Ttl,
               const membership::Member &Target, std::vector<Action> &Out) const;

  void locate(const Arrival &In, std::vector<Action> &Out);
  void hold(Locate &Pending, std::span<const std::uint8_t> Packet, std::vector<Action> &Out);
  [[nodiscard]] bool takeLocateToken(common::TimePoint Now);
  void sendLocate(const Locate &Pending, std::vector<Action> &Out) const;
  void concludeLocate(LocateMap::iterator Pending, bool AllAnswered, common::TimePoint Now,
                      std::vector<Action> &Out);
  void onLocate(const nlohmann::json &Message, common::Endpoint From, std::vector<Action> &Out);
  void onFound(const nlohmann::json &Message, common::TimePoint Now, std::vector<Action> &Out);
  void onNotFound(const nlohmann::json &Message, common::TimePoint Now, std::vector<Action> &Out);
  void onRegister(const nlohmann::json &Message, common::TimePoint Now);
  void dispatchControl(const nlohmann::json &Message, common::Endpoint From, common::TimePoint Now,
                       std::vector<Action> &Out);

  bool recordHandOff(const packet::FlowKey &Key, const std::string &Owner, common::TimePoint Now);
  void forgetDeadOwners();
  void queueRegistrations(const routing::RoutingView *Previous, common::TimePoint Now);
  void queueRegistration(const packet::FlowKey &Key, ServedFlow &Flow, common::TimePoint Now);
  void appendRegistration(const packet::FlowKey &Key, common::TimePoint Now);
  void dropHalfOpen(common::TimePoint Now);
  void repeatLocates(common::TimePoint Now, std::vector<Action> &Out);
  void sendRegistrations(common::TimePoint Now, std::vector<Action> &Out);
  void forgetIdleHandOffs(common::TimePoint Now);
  void forgetService(NameId Service);

  std::string SelfId;
  UpstreamChooser Choose;
  FlowFits Fits;
  common::Engine Random;
  bool Refusing = false;

  std::shared_ptr<const routing::RoutingView> View;
  common::TimePoint LastViewChange{};
  Names MemberNames;
  std::vector<bool> DeadOwners; ///< By number of the member; no hand-off entry names one of these.
  Names ServiceNames;
  NameId SelfName = 0;

  std::unordered_map<packet::FlowKey, ServedFlow, packet::FlowKeyHash> Served;
  std::unordered_map<NameId, std::size_t> ServedByService;
  std::unordered_map<packet::FlowKey, HandOff, packet::FlowKeyHash> HandOffs;
  std::vector<packet::FlowKey> Expired;
  Deadlines HalfOpen;

  LocateMap Locates;
  Deadlines LocateDeadlines;
  std::size_t HeldBytes = 0;
  double LocateTokens = MaxLocatesPerSecond;
  common::TimePoint LocateTokensAt{};

  std::deque<packet::FlowKey> RegisterQueue;
  common::TimePoint NextRegistration{};
  common::BucketSweep Sweep;
  common::TimePoint NextSweep{};
};

} // namespace galenarelay::flow

#endif // GALENARELAY_FLOW_FLOW_ROUTER_H
