#ifndef GALENARELAY_AGENT_UPSTREAM_MONITOR_H
#define GALENARELAY_AGENT_UPSTREAM_MONITOR_H

#include "galenarelay/agent/upstream_health.h"
#include "galenarelay/common/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace galenarelay::agent {

/// Delay between requests to the health endpoint of a reachable upstream, and timeout of each.
inline constexpr common::Duration HealthCheckInterval = std::chrono::seconds(1);
/// Delay between requests to the health endpoint of an unreachable upstream.
inline constexpr common::Duration UnreachableCheckInterval = std::chrono::milliseconds(100);

/// Polls the upstream's health endpoint. Calls the listener with the state of the upstream after
/// each poll, and when the outcome of a request changes it.
class UpstreamMonitor {
public:
  using StateListener = std::function<void(UpstreamState State)>;

  UpstreamMonitor(boost::asio::io_context &Io, common::Endpoint Upstream,
                  StateListener NotifyState);

  [[nodiscard]] UpstreamState state() const noexcept { return Health.state(); }

  void start();
  void stop();
  /// Records the outcome of a dispatched request.
  void onResult(schedule::Completion Outcome);

private:
  [[nodiscard]] boost::asio::awaitable<void> pollHealth();
  [[nodiscard]] boost::asio::awaitable<void> checkHealth();

  boost::asio::io_context &Io;
  common::Endpoint Upstream;
  StateListener NotifyState;
  UpstreamHealth Health;
  boost::asio::steady_timer Timer;
  bool Stopped = false;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_UPSTREAM_MONITOR_H
