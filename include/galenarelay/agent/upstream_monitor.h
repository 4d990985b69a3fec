#ifndef GALENARELAY_AGENT_UPSTREAM_MONITOR_H
#define GALENARELAY_AGENT_UPSTREAM_MONITOR_H

#include "galenarelay/agent/upstream_health.h"
#include "galenarelay/common/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace galenarelay::agent {

/// Time between two requests to the upstream's health endpoint, while it is reachable or not.
inline constexpr common::Duration HealthInterval = std::chrono::seconds(1);
inline constexpr common::Duration ReachInterval = std::chrono::milliseconds(100);

/// Asks the upstream's health endpoint and tells when the judgement of the upstream may differ.
class UpstreamMonitor {
public:
  using StateListener = std::function<void(UpstreamState State)>;

  UpstreamMonitor(boost::asio::io_context &Io, common::Endpoint Upstream, StateListener Listen);

  [[nodiscard]] UpstreamState state() const noexcept { return Health.state(); }

  void start();
  void stop();
  void onResult(schedule::Completion How);

private:
  [[nodiscard]] boost::asio::awaitable<void> watch();
  [[nodiscard]] boost::asio::awaitable<void> ask();

  boost::asio::io_context &Io;
  common::Endpoint Upstream;
  StateListener Listen;
  UpstreamHealth Health;
  boost::asio::steady_timer Timer;
  bool Stopped = false;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_UPSTREAM_MONITOR_H
