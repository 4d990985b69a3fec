#include "galenarelay/agent/upstream_monitor.h"

#include "galenarelay/common/http.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace galenarelay::agent {

namespace asio = boost::asio;
using common::ResultCode;
using common::steadyNow;

UpstreamMonitor::UpstreamMonitor(asio::io_context &Io, common::Endpoint Upstream,
                                 StateListener NotifyState)
    : Io(Io), Upstream(Upstream), NotifyState(std::move(NotifyState)), Timer(Io) {}

void UpstreamMonitor::start() { asio::co_spawn(Io, pollHealth(), asio::detached); }

void UpstreamMonitor::stop() {
  Stopped = true;
  Timer.cancel();
}

void UpstreamMonitor::onResult(schedule::Completion Outcome) {
  const UpstreamState PreviousState = Health.state();
  Health.onResult(Outcome, steadyNow());
  if (Health.state() != PreviousState)
    NotifyState(Health.state());
}

asio::awaitable<void> UpstreamMonitor::pollHealth() {
  while (!Stopped) {
    co_await checkHealth();
    if (Stopped)
      break;
    NotifyState(Health.state());
    const bool Reachable = Health.state() != UpstreamState::Unreachable;
    Timer.expires_after(Reachable ? HealthCheckInterval : UnreachableCheckInterval);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

asio::awaitable<void> UpstreamMonitor::checkHealth() {
  const auto Response =
      co_await common::httpCall(Upstream, "GET", "/health", "", HealthCheckInterval);
  if (!Response && Response.Failure.Code == ResultCode::PeerUnreachable) {
    Health.onConnectFailed();
    co_return;
  }
  Health.onConnected();
  if (Response)
    Health.onHealthReport(Response->Status < 500, steadyNow());
}

} // namespace galenarelay::agent
