#ifndef GALENARELAY_AGENT_LOAD_REPORTER_H
#define GALENARELAY_AGENT_LOAD_REPORTER_H

#include "galenarelay/agent/dispatcher.h"
#include "galenarelay/common/log.h"
#include "galenarelay/node/node.h"
#include "galenarelay/schedule/load_view.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <optional>

namespace galenarelay::agent {

/// Sends this agent's load to the agents of its services and keeps the view of theirs.
class LoadReporter {
public:
  LoadReporter(boost::asio::io_context &Io, node::Node &Node, const Dispatcher &Requests,
               std::uint64_t Seed);

  /// Picks the upstream for a new flow, with this agent's own load up to date.
  [[nodiscard]] std::optional<std::size_t> choose(const routing::ServiceRoute &Route,
                                                  const std::string &Self, common::TimePoint Now);

  void start();
  void stop();
  /// Peers that have joined need a report even if nothing changed.
  void onViewChange() noexcept { Changed = true; }

private:
  void onMessage(const nlohmann::json &Message);
  void tick();

  node::Node &Node;
  const Dispatcher &Requests;
  schedule::LoadView View;
  boost::asio::steady_timer Timer;
  std::uint64_t Sequence; ///< Starts at the wall clock, so that it rises across restarts.
  schedule::LoadReport Last;
  common::LogRateLimit MalformedLog{1};
  bool Changed = true;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_LOAD_REPORTER_H
