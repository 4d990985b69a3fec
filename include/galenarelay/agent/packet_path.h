#ifndef GALENARELAY_AGENT_PACKET_PATH_H
#define GALENARELAY_AGENT_PACKET_PATH_H

#include "galenarelay/agent/flow_connection.h"
#include "galenarelay/agent/flow_mover.h"
#include "galenarelay/common/metrics.h"
#include "galenarelay/common/random.h"
#include "galenarelay/common/udp_socket.h"
#include "galenarelay/flow/flow_router.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace galenarelay::agent {

/// Settings of a PacketPath.
struct PacketPathOptions {
  std::string SelfId;
  common::Endpoint Data; ///< Local address to bind the data socket to.
  /// The fabric's address; packets to callers are sent there.
  common::Endpoint CallerReturnAddress;
  std::uint64_t Seed = 1;
};

/// Passes packets between the data socket, the flow router and the flows that this agent serves.
class PacketPath {
public:
  using ControlSender = std::function<void(common::Endpoint To, const nlohmann::json &Message)>;

  /// Binds the data socket. Throws boost::system::system_error if that fails.
  PacketPath(boost::asio::io_context &Io, PacketPathOptions Options, FlowContext Context,
             flow::UpstreamChooser Choose, common::Metrics &Metrics);
  ~PacketPath();
  PacketPath(const PacketPath &) = delete;
  PacketPath &operator=(const PacketPath &) = delete;

  [[nodiscard]] common::Endpoint local() const noexcept { return Socket.local(); }
  [[nodiscard]] std::size_t servedFlows() const noexcept { return Flows.size(); }
  [[nodiscard]] const flow::FlowRouter &router() const noexcept { return Router; }
  /// Returns the numbers of served and handed-off flows, and the state of up to Limit served flows.
  [[nodiscard]] nlohmann::json describeFlows(std::size_t Limit) const;
  /// Explains how packets of a flow are routed, with the state of the flow if it is served here.
  [[nodiscard]] nlohmann::json explainRoute(const packet::FlowKey &Key) const;

  /// Sets the function that sends control messages to other agents.
  void setControlSender(ControlSender Sender) { SendControl = std::move(Sender); }
  /// Handles a control message about a flow from another agent.
  void onControl(const nlohmann::json &Message, common::Endpoint From);
  /// Applies a new routing view. Resets flows whose move was unanswered when the target died.
  void onViewChange(const std::shared_ptr<const routing::RoutingView> &View);
  /// Sets the callback that runs after a flow has ended here or moved to another agent.
  void onFlowEnded(std::function<void()> Callback) { FlowEndedCallback = std::move(Callback); }
  /// Moves the flows of services that this agent may not serve to other agents as they become idle.
  /// Where no other agent can take them, their next response is the last one.
  void moveOrDrainFlows();
  /// Refuses new flows permanently and drains the served flows.
  void drain();
  /// Closes the socket and discards all flows.
  void stop();

private:
  struct ServedFlow {
    std::shared_ptr<FlowConnection> Connection;
    std::optional<common::TimePoint> NextTimer; ///< Time of its entry in FlowTimers, if any.
  };

  void onDatagram(std::span<const std::uint8_t> Bytes);
  /// Ends a closed flow whose caller opens a new one from the same port.
  void endReusedFlow(std::span<const std::uint8_t> Bytes);
  [[nodiscard]] bool matches(const packet::RouteView &Route) const;
  void apply(const std::vector<flow::Action> &Actions);
  void apply(const flow::AcceptFlow &Action);
  void apply(const flow::DeliverPacket &Action);
  void apply(const flow::ForwardPacket &Action);
  void apply(const flow::SendReset &Action);
  void apply(const flow::SendControl &Action);
  void apply(const flow::CountDrop &Action);
  void deliver(const packet::FlowKey &Key, std::span<const std::uint8_t> Bytes);
  void send(const packet::Packet &Packet);
  /// Decides for each served flow whether it should move to another agent.
  void updateMovingFlows();
  void updateMoving(FlowConnection &Connection);
  void tryMove(const packet::FlowKey &Key, FlowConnection &Connection);
  void onOffer(const nlohmann::json &Message, common::Endpoint From);
  void onOfferAnswer(const nlohmann::json &Message);
  [[nodiscard]] bool adopt(const FlowOffer &Offer);
  void addFlow(const packet::FlowKey &Key, const config::ServiceName &Service, flow::Stream Stream);
  void runMoves(common::TimePoint Now);
  /// Schedules one call of advance() for the flow on the event loop.
  void scheduleAdvance(const packet::FlowKey &Key);
  void advancePending();
  void advance(const packet::FlowKey &Key);
  void updateTimer(const packet::FlowKey &Key, ServedFlow &Flow);
  /// Discards a served flow and its timer, and cancels its request in progress. Returns false if no
  /// such flow is served here.
  bool discardFlow(const packet::FlowKey &Key);
  /// Discards a served flow, then notifies the router and the owner's callback.
  void endFlow(const packet::FlowKey &Key);
  void armTimer();
  void onTimer();

  boost::asio::io_context &Io;
  PacketPathOptions Options;
  FlowContext Context;
  common::Engine Random;
  common::UdpSocket Socket;
  flow::FlowRouter Router;
  FlowMover Mover;
  std::unordered_map<packet::FlowKey, ServedFlow, packet::FlowKeyHash> Flows;
  std::set<std::pair<common::TimePoint, packet::FlowKey>> FlowTimers;
  std::set<packet::FlowKey> PendingAdvances;
  bool AdvancePosted = false;
  bool Draining = false;
  bool EndUnmovableFlows = false; ///< Flows that can't move are drained here.
  boost::asio::steady_timer Timer;
  std::optional<common::TimePoint> TimerDeadline; ///< When Timer fires; empty if it is not running.
  ControlSender SendControl;
  std::function<void()> FlowEndedCallback;
  prometheus::Counter &PacketsReceived;
  prometheus::Counter &PacketsForwarded;
  prometheus::Counter &PacketsToCallers;
  prometheus::Counter &FlowsAccepted;
  prometheus::Counter &FlowsMovedAway;
  prometheus::Counter &FlowsAdopted;
  prometheus::Gauge &FlowsOpen;
  common::Metrics &Metrics;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_PACKET_PATH_H
