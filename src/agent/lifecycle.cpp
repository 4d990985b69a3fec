#include "galenarelay/agent/lifecycle.h"

#include "galenarelay/common/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace galenarelay::agent {

namespace asio = boost::asio;
using common::steadyNow;
using membership::MemberState;

Lifecycle::Lifecycle(asio::io_context &Io, std::shared_ptr<const statechart::ChartTable> Chart,
                     node::Node &Node, PacketPath &Packets, std::function<bool()> Busy,
                     std::function<void()> Left)
    : Io(Io), Machine(std::move(Chart)), Node(Node), Packets(Packets), Busy(std::move(Busy)),
      Left(std::move(Left)), Timer(Io) {}

void Lifecycle::onUpstream(UpstreamState State) {
  if (State == UpstreamState::Unreachable)
    process(Chart::Event::Unreachable);
  if (State == UpstreamState::Draining)
    process(Chart::Event::Drain);
  if (State != UpstreamState::Serving)
    return;
  process(Chart::Event::Reachable);
  if (!DrainedByOperator)
    process(Chart::Event::Resume);
}

void Lifecycle::drain() {
  DrainedByOperator = true;
  process(Chart::Event::Drain);
}

void Lifecycle::stop() {
  process(Chart::Event::Stop);
  if (std::exchange(Stopping, true))
    return;
  Packets.drain();
  asio::co_spawn(Io, leaveWhenEmpty(), asio::detached);
}

void Lifecycle::refreshResidual() {
  auto Now = Packets.router().residualServices();
  if (Now == Residual)
    return;
  Residual = std::move(Now);
  Node.announce(Announced, Residual);
}

void Lifecycle::process(Chart::Event Event) {
  const auto Actions = Machine.process(Event);
  if (!Actions)
    return;
  for (const Chart::Action Action : *Actions)
    run(Action);
}

void Lifecycle::run(Chart::Action Action) {
  switch (Action) {
  case Chart::Action::AnnounceJoining:
    announce(MemberState::Joining);
    break;
  case Chart::Action::AnnounceActive:
    announce(MemberState::Active);
    break;
  case Chart::Action::AnnounceLeaving:
    announce(MemberState::Leaving);
    Packets.drainFlows();
    break;
  case Chart::Action::AcceptNewFlows:
  case Chart::Action::RefuseNewFlows:
    // The flow router follows the announced state in this node's own view. Only a stop, which has
    // no way back, also tells the router itself.
    break;
  case Chart::Action::Leave:
    Left();
    break;
  }
}

void Lifecycle::announce(MemberState State) {
  common::log(common::LogLevel::Info, "upstream_state", {{"state", membership::name(State)}});
  Announced = State;
  Node.announce(State, Residual);
}

asio::awaitable<void> Lifecycle::leaveWhenEmpty() {
  const auto Earliest = steadyNow() + MinStopTime;
  while (Packets.servedFlows() > 0 || Busy() || steadyNow() < Earliest) {
    Timer.expires_after(StopPollInterval);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_await Node.leave();
  process(Chart::Event::Idle);
}

} // namespace galenarelay::agent
