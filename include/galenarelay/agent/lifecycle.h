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

/// A stopping agent forwards packets for at least this time, so that balancers and peers have
/// learnt that it is leaving; an announcement reaches 6,900 nodes in under 2 s.
inline constexpr common::Duration MinStopTime = std::chrono::seconds(5);
/// How often a stopping agent looks whether it is empty.
inline constexpr common::Duration StopPollInterval = std::chrono::milliseconds(100);

/// Drives charts/upstream.json: announces the upstream's state, drains it and ends the agent.
class Lifecycle {
public:
  Lifecycle(boost::asio::io_context &Io, std::shared_ptr<const statechart::ChartTable> Chart,
            node::Node &Node, PacketPath &Packets, std::function<bool()> Busy,
            std::function<void()> Left);

  [[nodiscard]] statechart::UpstreamChart::State state() const noexcept { return Machine.state(); }

  /// The judgement of the upstream; may be repeated.
  void onUpstream(UpstreamState State);
  /// The operator drains the upstream.
  void drain();
  /// The process was asked to stop; Left is called when it may exit.
  void stop();
  /// Announces a change of the services of which flows are left here although new ones no longer
  /// come.
  void refreshResidual();

private:
  using Chart = statechart::UpstreamChart;

  void process(Chart::Event Event);
  void run(Chart::Action Action);
  void announce(membership::MemberState State);
  [[nodiscard]] boost::asio::awaitable<void> leaveWhenEmpty();

  boost::asio::io_context &Io;
  statechart::Machine<Chart> Machine;
  node::Node &Node;
  PacketPath &Packets;
  std::function<bool()> Busy; ///< True while something other than a flow holds the agent.
  std::function<void()> Left;
  boost::asio::steady_timer Timer;
  membership::MemberState Announced = membership::MemberState::Joining;
  std::vector<std::string> Residual;
  bool DrainedByOperator = false;
  bool Stopping = false;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_LIFECYCLE_H
