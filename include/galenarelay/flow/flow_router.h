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

/// A flow is reset as unknown only if the routing view has not changed for this time.
inline constexpr common::Duration ViewSettleTime = std::chrono::seconds(5);
/// A served flow is dropped if its caller has not acknowledged the SYN-ACK after this time.
inline constexpr common::Duration HalfOpenTimeout = std::chrono::seconds(10);
/// Rate limit of registrations: the flows per second that an agent registers with their homes, and
/// the flows per datagram of at most 1,200 bytes.
inline constexpr std::size_t RegistrationsPerSecond = 200;
inline constexpr std::size_t RegistrationsPerMessage = 20;
/// A hand-off entry expires after this time without packets: four keepalive intervals of a stream.
inline constexpr common::Duration HandOffIdleTimeout = std::chrono::seconds(120);
/// An unanswered locate message is retransmitted after this time; LocateAttempts counts all
/// transmissions, the first one included.
inline constexpr common::Duration LocateInterval = std::chrono::milliseconds(200);
inline constexpr int LocateAttempts = 3;
/// Bounds of the flow tables. Beyond a bound a packet is dropped, with FlowTableFull if it opens a
/// flow and with FlowUnknown if its owner must be located; the caller retransmits it.
inline constexpr std::size_t MaxServedFlows = 600'000;
inline constexpr std::size_t MaxHandOffs = 1'000'000;
inline constexpr std::size_t MaxPendingLocates = 1024;
inline constexpr std::size_t MaxLocatesPerSecond = 500;
inline constexpr std::size_t MaxHeldPacketsPerFlow = 8;
inline constexpr std::size_t MaxHeldBytes = 4 * 1024 * 1024;

/// Action: open a flow of this service and pass it the SYN.
struct AcceptFlow {
  packet::FlowKey Key;
  config::ServiceName Service;
  Bytes Packet;

  friend bool operator==(const AcceptFlow &, const AcceptFlow &) = default;
};

/// Action: pass the packet to a flow that this agent serves.
struct DeliverPacket {
  packet::FlowKey Key;
  Bytes Packet;

  friend bool operator==(const DeliverPacket &, const DeliverPacket &) = default;
};

/// Action: send the packet, whose TTL is already decremented, to a peer's data address.
struct ForwardPacket {
  common::Endpoint Data;
  Bytes Packet;

  friend bool operator==(const ForwardPacket &, const ForwardPacket &) = default;
};

/// Action: send a RST segment to the caller.
struct SendReset {
  packet::Packet Reset;

  friend bool operator==(const SendReset &, const SendReset &) = default;
};

/// Action: send a control datagram to a peer's control address.
struct SendControl {
  common::Endpoint Control;
  nlohmann::json Message;

  friend bool operator==(const SendControl &, const SendControl &) = default;
};

/// Action: count a packet or control message that the router dropped.
struct CountDrop {
  common::ResultCode Reason = common::ResultCode::PacketMalformed;

  friend bool operator==(const CountDrop &, const CountDrop &) = default;
};

using Action =
    std::variant<AcceptFlow, DeliverPacket, ForwardPacket, SendReset, SendControl, CountDrop>;

/// Selects the upstream of a new flow, on its home agent. Returns an index into Route.Candidates,
/// or empty if no upstream is available. Examples: selection by load, or round robin in a test.
using UpstreamChooser = std::function<std::optional<std::size_t>(
    const routing::ServiceRoute &Route, const std::string &Self, common::TimePoint Now)>;

/// Returns whether a packet's header fields match the stream of the flow that this agent serves
/// under the packet's key.
using StreamMatcher = std::function<bool(const packet::RouteView &Route)>;

/// Decides where an agent routes the packets of flows, and handles the control messages by which
/// agents tell each other who owns a flow. It does no I/O: each event returns the actions to
/// perform. A flow's home is the first choice of its service's table; its owner is the agent that
/// serves it.
class FlowRouter {
public:
  FlowRouter(std::string SelfId, UpstreamChooser ChooseUpstream, StreamMatcher MatchesStream,
             std::uint64_t Seed);

  [[nodiscard]] std::size_t servedFlows() const noexcept;
  [[nodiscard]] std::size_t handedOffFlows() const noexcept;
  /// Services, sorted by name, of which this agent still serves flows although it isn't a candidate
  /// for new ones.
  [[nodiscard]] std::vector<config::ServiceName> residualServices() const;
  /// Reports how packets of the flow are routed and why, for /v1/explain.
  [[nodiscard]] nlohmann::json explainRoute(const packet::FlowKey &Key) const;
  [[nodiscard]] std::optional<common::TimePoint> nextTimer() const noexcept;

  /// Routes one packet that arrived from the fabric or from a peer.
  [[nodiscard]] std::vector<Action> onPacket(std::span<const std::uint8_t> Packet,
                                             common::TimePoint Now);
  /// Handles a control message from a peer at address From; a malformed one is dropped with
  /// MessageMalformed.
  [[nodiscard]] std::vector<Action> onControl(const nlohmann::json &Message, common::Endpoint From,
                                              common::TimePoint Now);
  [[nodiscard]] std::vector<Action> onViewChange(std::shared_ptr<const routing::RoutingView> View,
                                                 common::TimePoint Now);
  /// Removes a served flow that has ended; if another agent is its home, queues a notice to it.
  [[nodiscard]] std::vector<Action> onFlowEnded(const packet::FlowKey &Key, common::TimePoint Now);
  /// True if this agent is a candidate for the service and accepts new flows.
  [[nodiscard]] bool mayServe(const config::ServiceName &Service) const;
  /// True if another agent is a candidate for the service.
  [[nodiscard]] bool hasOtherCandidate(const config::ServiceName &Service) const;
  /// Selects another candidate of the service as the new owner of a flow; null if there is none.
  [[nodiscard]] const membership::Member *chooseMoveTarget(const config::ServiceName &Service,
                                                           common::TimePoint Now);
  /// Takes over an open flow from a peer. Returns false if this agent doesn't accept new flows of
  /// the service, serves MaxServedFlows already, or already has a flow with this key.
  [[nodiscard]] bool adoptFlow(const packet::FlowKey &Key, const config::ServiceName &Service,
                               common::TimePoint Now);
  /// Removes a served flow that a peer has taken over; its packets are forwarded to that peer.
  void moveFlow(const packet::FlowKey &Key, const std::string &Owner, common::TimePoint Now);
  /// Stops accepting new flows while the agent is draining; other candidates get them instead.
  void refuseNewFlows() noexcept;
  [[nodiscard]] std::vector<Action> onTimer(common::TimePoint Now);
  /// Returns and clears the list of flows dropped after HalfOpenTimeout. Their streams must be
  /// discarded without a reset, because another agent may own the flow.
  [[nodiscard]] std::vector<packet::FlowKey> takeExpiredFlows();

private:
  /// Compact number that stands for a member ID or a service name in the flow tables.
  using NameId = std::uint32_t;

  /// Maps names to numbers in the order of their first use; entries are never removed.
  class NameTable {
  public:
    NameId idOf(const std::string &Name);
    [[nodiscard]] const std::string &nameOf(NameId Id) const { return NamesById[Id]; }
    [[nodiscard]] std::size_t size() const noexcept { return NamesById.size(); }

  private:
    std::deque<std::string> NamesById;
    std::unordered_map<std::string, NameId> IdsByName;
  };

  struct ServedFlow {
    NameId Service = 0;
    /// The home that knows of the flow, or will once its registration in RegisterQueue is sent.
    NameId Home = 0;
    bool Open = false; ///< The caller has acknowledged the SYN-ACK.
    /// The flow is in RegisterQueue; further view changes don't queue it a second time.
    bool RegistrationQueued = false;
  };

  /// Records that a peer owns a flow and when a packet was last forwarded to it.
  struct HandOff {
    NameId Owner = 0;
    std::uint32_t LastUsedSecond = 0;
  };

  /// A search for the owner of a flow that this agent doesn't know, with the packets that wait for
  /// its result.
  struct PendingLocate {
    packet::RouteView Route;
    std::vector<Bytes> HeldPackets;
    std::vector<std::string> AwaitedOwners; ///< Possible owners that have not answered.
    /// Digest of the possible owners known here. A response with another digest makes the search
    /// inconclusive; 0 stands for a responder that can't tell.
    std::uint64_t OwnersDigest = 0;
    int Attempts = 1;
    /// All responders so far know the same set of possible owners as this agent.
    bool Conclusive = true;
  };

  using Deadlines = std::deque<std::pair<common::TimePoint, packet::FlowKey>>;
  using PendingLocateMap = std::unordered_map<packet::FlowKey, PendingLocate, packet::FlowKeyHash>;

  /// A received packet with its parsed header, the route of its service and its time of arrival;
  /// the parameter of the routing functions.
  struct PacketContext {
    const packet::RouteView &Header;
    const routing::ServiceRoute &Route;
    std::span<const std::uint8_t> Packet;
    common::TimePoint Now;
  };

  [[nodiscard]] bool isCandidate(const routing::ServiceRoute &Route) const;
  [[nodiscard]] bool acceptsNewFlow(const routing::ServiceRoute &Route) const;
  [[nodiscard]] std::string homeOf(const packet::FlowKey &Key) const;
  [[nodiscard]] const membership::Member *liveMember(const std::string &Id) const;
  [[nodiscard]] bool viewSettled(common::TimePoint Now) const noexcept;

  /// Routes a packet of a known service. Forwarding decrements the TTL, so a TTL below InitialTtl
  /// means that another agent forwarded the packet.
  void route(const PacketContext &Context, std::vector<Action> &Actions);
  void routeServed(const PacketContext &Context, ServedFlow &Flow, std::vector<Action> &Actions);
  bool routeHandedOff(const PacketContext &Context, std::vector<Action> &Actions);
  void routeNewFlow(const PacketContext &Context, std::vector<Action> &Actions);
  /// Forwards to the first choice, or to the second if this agent is the first; locates the owner
  /// if there is no second.
  void routeToOtherChoice(const PacketContext &Context, std::vector<Action> &Actions);
  void acceptFlow(const PacketContext &Context, std::vector<Action> &Actions);
  void redirectFlow(const PacketContext &Context, const membership::Member &Target,
                    std::vector<Action> &Actions);
  [[nodiscard]] const membership::Member *chooseOther(const routing::ServiceRoute &Route,
                                                      common::TimePoint Now);
  void forward(std::span<const std::uint8_t> Packet, std::uint8_t Ttl,
               const membership::Member &Target, std::vector<Action> &Actions) const;

  void locate(const PacketContext &Context, std::vector<Action> &Actions);
  void holdPacket(PendingLocate &Pending, std::span<const std::uint8_t> Packet,
                  std::vector<Action> &Actions);
  [[nodiscard]] bool takeLocateToken(common::TimePoint Now);
  void sendLocate(const PendingLocate &Pending, std::vector<Action> &Actions) const;
  void concludeLocate(PendingLocateMap::iterator Pending, bool AllAnswered, common::TimePoint Now,
                      std::vector<Action> &Actions);
  void onLocate(const nlohmann::json &Message, common::Endpoint From, std::vector<Action> &Actions);
  void onFound(const nlohmann::json &Message, common::TimePoint Now, std::vector<Action> &Actions);
  void onNotFound(const nlohmann::json &Message, common::TimePoint Now,
                  std::vector<Action> &Actions);
  void onRegister(const nlohmann::json &Message, common::TimePoint Now,
                  std::vector<Action> &Actions);
  void dispatchControl(const nlohmann::json &Message, common::Endpoint From, common::TimePoint Now,
                       std::vector<Action> &Actions);

  bool recordHandOff(const packet::FlowKey &Key, const std::string &Owner, common::TimePoint Now);
  void removeHandOffsToDeadOwners();
  void queueRegistrations(const routing::RoutingView *Previous, common::TimePoint Now);
  void queueRegistration(const packet::FlowKey &Key, ServedFlow &Flow, common::TimePoint Now);
  void appendRegistration(const packet::FlowKey &Key, common::TimePoint Now);
  void expireHalfOpenFlows(common::TimePoint Now);
  void retransmitLocates(common::TimePoint Now, std::vector<Action> &Actions);
  void sendRegistrations(common::TimePoint Now, std::vector<Action> &Actions);
  void expireIdleHandOffs(common::TimePoint Now);
  void decrementServedCount(NameId Service);

  std::string SelfId;
  UpstreamChooser ChooseUpstream;
  StreamMatcher MatchesStream;
  common::Engine Random;
  bool RefusingNewFlows = false;

  std::shared_ptr<const routing::RoutingView> View;
  common::TimePoint LastViewChange{};
  NameTable MemberNames;
  std::vector<bool> DeadOwners; ///< Indexed by NameId; no hand-off entry names a dead member.
  NameTable ServiceNames;
  NameId SelfNameId = 0;

  std::unordered_map<packet::FlowKey, ServedFlow, packet::FlowKeyHash> Served;
  /// Number of served flows by service.
  std::unordered_map<NameId, std::size_t> ServedCountByService;
  std::unordered_map<packet::FlowKey, HandOff, packet::FlowKeyHash> HandOffs;
  std::vector<packet::FlowKey> ExpiredFlows;
  Deadlines HalfOpenDeadlines;

  PendingLocateMap PendingLocates;
  Deadlines LocateDeadlines;
  std::size_t HeldBytes = 0;
  double LocateTokens = MaxLocatesPerSecond;
  common::TimePoint LocateTokensUpdatedAt{};

  std::deque<packet::FlowKey> RegisterQueue;
  common::TimePoint NextRegistration{};
  common::BucketSweep HandOffSweep;
  common::TimePoint NextSweep{};
};

} // namespace galenarelay::flow

#endif // GALENARELAY_FLOW_FLOW_ROUTER_H
