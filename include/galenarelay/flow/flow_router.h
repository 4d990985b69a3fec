#ifndef GALENARELAY_FLOW_FLOW_ROUTER_H
#define GALENARELAY_FLOW_FLOW_ROUTER_H

#include "galenarelay/common/random.h"
#include "galenarelay/common/time.h"
#include "galenarelay/packet/packet.h"
#include "galenarelay/routing/routing_view.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace galenarelay::flow {

using Bytes = std::vector<std::uint8_t>;

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
  /// Stops taking new flows, for a drain.
  void refuseNewFlows() noexcept;
  [[nodiscard]] std::vector<Action> onTimer(common::TimePoint Now);
};

} // namespace galenarelay::flow

#endif // GALENARELAY_FLOW_FLOW_ROUTER_H
