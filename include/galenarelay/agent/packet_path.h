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

/// Settings of the packet path.
struct PacketPathOptions {
  std::string SelfId;
  common::Endpoint Data;   ///< Local address of the data socket.
  common::Endpoint Return; ///< Where packets to callers are sent: the fabric.
  std::uint64_t Seed = 1;
};

/// Moves packets between the data socket, the flow router and the flows served here.
class PacketPath {
public:
  using ControlSender = std::function<void(common::Endpoint To, const nlohmann::json &Message)>;

  /// Binds the data socket at once. Throws boost::system::system_error if it can't bind.
  PacketPath(boost::asio::io_context &Io, PacketPathOptions Options, FlowContext Context,
             flow::UpstreamChooser Choose, common::Metrics &Metrics);
  ~PacketPath();
  PacketPath(const PacketPath &) = delete;
  PacketPath &operator=(const PacketPath &) = delete;

  [[nodiscard]] common::Endpoint local() const noexcept { return Socket.local(); }
  [[nodiscard]] std::size_t servedFlows() const noexcept { return Flows.size(); }
  [[nodiscard]] const flow::FlowRouter &router() const noexcept { return Router; }
  /// Describes up to Limit flows.
  [[nodiscard]] nlohmann::json describeFlows(std::size_t Limit) const;
  [[nodiscard]] nlohmann::json explain(const packet::FlowKey &Key) const;

  void onSendControl(ControlSender Sender) { SendControl = std::move(Sender); }
  void onControl(const nlohmann::json &Message, common::Endpoint From);
  void onViewChange(const std::shared_ptr<const routing::RoutingView> &View);
  /// Called after a flow has ended.
  void onFlowsChange(std::function<void()> Callback) { FlowsChanged = std::move(Callback); }
  /// Moves the served flows to other agents, or ends them where there are none, as their requests
  /// end.
  void drainFlows();
  /// Takes no new flows for good, and drains the served ones.
  void drain();
  void stop();

private:
  struct Entry {
    std::shared_ptr<FlowConnection> Connection;
    std::optional<common::TimePoint> Timer; ///< As entered in Timers.
  };

  void onDatagram(std::span<const std::uint8_t> Bytes);
  void endReusedFlow(std::span<const std::uint8_t> Bytes);
  [[nodiscard]] bool fits(const packet::RouteView &Route) const;
  void apply(const std::vector<flow::Action> &Actions);
  void apply(const flow::AcceptFlow &Action);
  void apply(const flow::DeliverPacket &Action);
  void apply(const flow::ForwardPacket &Action);
  void apply(const flow::SendToCaller &Action);
  void apply(const flow::SendControl &Action);
  void apply(const flow::CountDrop &Action);
  void deliver(const packet::FlowKey &Key, std::span<const std::uint8_t> Bytes);
  void send(const packet::Packet &Packet);
  /// Decides for each served flow whether it has to move to another agent.
  void refreshMoves();
  void refreshMove(FlowConnection &Connection);
  void tryMove(const packet::FlowKey &Key, FlowConnection &Connection);
  void onOffer(const nlohmann::json &Message, common::Endpoint From);
  void onOfferAnswer(const nlohmann::json &Message);
  [[nodiscard]] bool adopt(const FlowOffer &Offer);
  void addFlow(const packet::FlowKey &Key, const config::ServiceName &Service, flow::Stream Stream);
  void runMoves(common::TimePoint Now);
  void touch(const packet::FlowKey &Key);
  void advanceTouched();
  void advance(const packet::FlowKey &Key);
  void updateTimer(const packet::FlowKey &Key, Entry &Known);
  /// Drops a flow and its timer; false if it is not known.
  bool forget(const packet::FlowKey &Key);
  /// Drops a flow and tells the router.
  void remove(const packet::FlowKey &Key);
  void armTimer();
  void onTimer();

  boost::asio::io_context &Io;
  PacketPathOptions Options;
  FlowContext Context;
  common::Engine Random;
  common::UdpSocket Socket;
  flow::FlowRouter Router;
  FlowMover Mover;
  std::unordered_map<packet::FlowKey, Entry, packet::FlowKeyHash> Flows;
  std::set<std::pair<common::TimePoint, packet::FlowKey>> Timers;
  std::set<packet::FlowKey> Touched;
  bool AdvanceScheduled = false;
  bool Draining = false;
  bool Leaving = false; ///< Flows that can't move end after their requests.
  boost::asio::steady_timer Timer;
  std::optional<common::TimePoint> ArmedFor; ///< When Timer fires; empty if it is not set.
  ControlSender SendControl;
  std::function<void()> FlowsChanged;
  prometheus::Counter &Received;
  prometheus::Counter &Forwarded;
  prometheus::Counter &Answered;
  prometheus::Counter &Accepted;
  prometheus::Counter &MovedAway;
  prometheus::Counter &Adopted;
  prometheus::Gauge &Open;
  common::Metrics &Metrics;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_PACKET_PATH_H
