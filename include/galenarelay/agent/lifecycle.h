#ifndef GALENARELAY_AGENT_LIFECYCLE_H
#define GALENARELAY_AGENT_LIFECYCLE_H

#include "galenarelay/agent/packet_path.h"
#include "galenarelay/agent/upstream_health.h"
#include "galenarelay/node/node.h"
#include "galenarelay/statechart/charts.h"
#include "galenarelay/statechart/machine.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace galenarelay::agent {

/// Minimum time for which a stopping agent still forwards packets, so that balancers and peers
/// learn that it is leaving; an announcement reaches 6,900 nodes in under 2 s.
inline constexpr common::Duration MinStopTime = std::chrono::seconds(5);
/// Interval at which a stopping agent checks whether its flows and other work have ended.
inline constexpr common::Duration StopPollInterval = std::chrono::milliseconds(100);

/// Runs the state machine of charts/upstream.json: announces the upstream's state, drains the
/// upstream and makes a stopping agent leave.
class Lifecycle {
public:
  Lifecycle(boost::asio::io_context &Io, std::shared_ptr<const statechart::ChartTable> Chart,
            node::Node &Node, PacketPath &Packets, std::function<bool()> HasPendingWork,
            std::function<void()> OnLeft);

  [[nodiscard]] statechart::UpstreamChart::State state() const noexcept { return Machine.state(); }

  /// Handles the state of the upstream; the same state may be passed repeatedly.
  void onUpstreamState(UpstreamState State);
  /// Drains the upstream at the operator's request. It stays drained although it is healthy.
  void drain();
  /// Starts to leave because the process was asked to stop. OnLeft is called when it may exit.
  void stop();
  /// Announces the residual services if they changed: those that still have flows at this agent
  /// but route no new flows to it.
  void announceResidualServices();

private:
  using Chart = statechart::UpstreamChart;

  void processEvent(Chart::Event Event);
  void runAction(Chart::Action Action);
  void announce(membership::MemberState State);
  [[nodiscard]] boost::asio::awaitable<void> leaveWhenIdle();

  boost::asio::io_context &Io;
  statechart::Machine<Chart> Machine;
  node::Node &Node;
  PacketPath &Packets;
  /// True while work other than flows must end before the leave.
  std::function<bool()> HasPendingWork;
  std::function<void()> OnLeft;
  boost::asio::steady_timer Timer;
  membership::MemberState AnnouncedState = membership::MemberState::Joining;
  std::vector<std::string> ResidualServices;
  bool DrainedByOperator = false;
  bool Stopping = false;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_LIFECYCLE_H
