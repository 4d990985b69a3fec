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
                     node::Node &Node, PacketPath &Packets, std::function<bool()> HasPendingWork,
                     std::function<void()> OnLeft)
    : Io(Io), Machine(std::move(Chart)), Node(Node), Packets(Packets),
      HasPendingWork(std::move(HasPendingWork)), OnLeft(std::move(OnLeft)), Timer(Io) {}

void Lifecycle::onUpstreamState(UpstreamState State) {
  if (State == UpstreamState::Unreachable)
    processEvent(Chart::Event::Unreachable);
  if (State == UpstreamState::Draining)
    processEvent(Chart::Event::Drain);
  if (State != UpstreamState::Serving)
    return;
  processEvent(Chart::Event::Reachable);
  if (!DrainedByOperator)
    processEvent(Chart::Event::Resume);
}

void Lifecycle::drain() {
  DrainedByOperator = true;
  processEvent(Chart::Event::Drain);
}

void Lifecycle::stop() {
  processEvent(Chart::Event::Stop);
  if (std::exchange(Stopping, true))
    return;
  Packets.drain();
  asio::co_spawn(Io, leaveWhenIdle(), asio::detached);
}

void Lifecycle::announceResidualServices() {
  auto CurrentServices = Packets.router().residualServices();
  if (CurrentServices == ResidualServices)
    return;
  ResidualServices = std::move(CurrentServices);
  Node.announce(AnnouncedState, ResidualServices);
}

void Lifecycle::processEvent(Chart::Event Event) {
  const auto Actions = Machine.process(Event);
  if (!Actions)
    return;
  for (const Chart::Action Action : *Actions)
    runAction(Action);
}

void Lifecycle::runAction(Chart::Action Action) {
  switch (Action) {
  case Chart::Action::AnnounceJoining:
    announce(MemberState::Joining);
    break;
  case Chart::Action::AnnounceActive:
    announce(MemberState::Active);
    break;
  case Chart::Action::AnnounceLeaving:
    announce(MemberState::Leaving);
    Packets.moveOrDrainFlows();
    break;
  case Chart::Action::AcceptNewFlows:
  case Chart::Action::RefuseNewFlows:
    // Nothing to do: the flow router follows the announced state in this node's own view. Only
    // stop(), which can't be undone, also drains the packet path directly.
    break;
  case Chart::Action::Leave:
    OnLeft();
    break;
  }
}

void Lifecycle::announce(MemberState State) {
  common::log(common::LogLevel::Info, "upstream_state", {{"state", membership::name(State)}});
  AnnouncedState = State;
  Node.announce(State, ResidualServices);
}

asio::awaitable<void> Lifecycle::leaveWhenIdle() {
  const auto Earliest = steadyNow() + MinStopTime;
  while (Packets.servedFlows() > 0 || HasPendingWork() || steadyNow() < Earliest) {
    Timer.expires_after(StopPollInterval);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_await Node.leave();
  processEvent(Chart::Event::Idle);
}

} // namespace galenarelay::agent
