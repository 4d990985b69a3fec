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

/// Reports this agent's load to the other agents of its services and keeps a view of their loads.
class LoadReporter {
public:
  LoadReporter(boost::asio::io_context &Io, node::Node &Node, const Dispatcher &RequestDispatcher,
               std::uint64_t Seed);

  /// Picks the upstream for a new flow with a fresh report of this agent's own load; returns a
  /// position in Route.Candidates.
  [[nodiscard]] std::optional<std::size_t> choose(const routing::ServiceRoute &Route,
                                                  const std::string &Self, common::TimePoint Now);

  /// Starts the reports, one each schedule::ReportInterval if the load has changed.
  void start();
  void stop();
  /// Makes the next report due even if the load has not changed: agents that joined need one.
  void onViewChange() noexcept { ReportDue = true; }

private:
  void onMessage(const nlohmann::json &Message);
  void tick();

  node::Node &Node;
  const Dispatcher &RequestDispatcher;
  schedule::LoadView Loads;
  boost::asio::steady_timer Timer;
  /// Starts at the wall clock time in milliseconds, so that it rises across restarts.
  std::uint64_t Sequence;
  schedule::LoadReport LastReport;
  common::LogRateLimit MalformedLog{1};
  bool ReportDue = true;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_LOAD_REPORTER_H
