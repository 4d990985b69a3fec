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
                                 StateListener Listen)
    : Io(Io), Upstream(Upstream), Listen(std::move(Listen)), Timer(Io) {}

void UpstreamMonitor::start() { asio::co_spawn(Io, watch(), asio::detached); }

void UpstreamMonitor::stop() {
  Stopped = true;
  Timer.cancel();
}

void UpstreamMonitor::onResult(schedule::Completion How) {
  const UpstreamState Before = Health.state();
  Health.onResult(How, steadyNow());
  if (Health.state() != Before)
    Listen(Health.state());
}

asio::awaitable<void> UpstreamMonitor::watch() {
  while (!Stopped) {
    co_await ask();
    if (Stopped)
      break;
    Listen(Health.state());
    const bool Reachable = Health.state() != UpstreamState::Unreachable;
    Timer.expires_after(Reachable ? HealthInterval : ReachInterval);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

asio::awaitable<void> UpstreamMonitor::ask() {
  const auto Answer = co_await common::httpCall(Upstream, "GET", "/health", "", HealthInterval);
  if (!Answer && Answer.Failure.Code == ResultCode::PeerUnreachable) {
    Health.onConnectFailed();
    co_return;
  }
  Health.onConnected();
  if (Answer)
    Health.onHealthReport(Answer->Status < 500, steadyNow());
}

} // namespace galenarelay::agent
