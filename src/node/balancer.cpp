#include "galenarelay/node/balancer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace galenarelay::node {

namespace asio = boost::asio;
using common::Endpoint;
using common::log;
using common::LogLevel;
using common::ResultCode;
using common::steadyNow;
using common::TimePoint;

namespace {

constexpr const char *PacketCounterName = "balancer_packets_total";
constexpr const char *PacketCounterHelp = "Packets from the fabric, by result";
/// Maximum log lines per second about dropped packets.
constexpr std::uint32_t DropLogLimit = 5;

NodeOptions balancerOptions(NodeOptions Options, Endpoint DataAddress) {
  Options.Self.Kind = membership::MemberKind::Balancer;
  Options.Self.State = membership::MemberState::Active;
  Options.Self.Data = DataAddress;
  return Options;
}

} // namespace

Balancer::Balancer(asio::io_context &Io, NodeOptions Options, common::Metrics &Metrics)
    : Metrics(Metrics),
      DataSocket(Io, Options.Self.Data,
                 [this](std::span<std::uint8_t> Packet, Endpoint) { forward(Packet); }),
      BalancerNode(Io, balancerOptions(std::move(Options), DataSocket.local()), Metrics),
      ForwardedPackets(
          Metrics.counter(PacketCounterName, PacketCounterHelp, {{"result", "forwarded"}})),
      DropLog(DropLogLimit) {}

void Balancer::start() {
  BalancerNode.start();
  const membership::Member &Self = BalancerNode.self();
  log(LogLevel::Info, "listening",
      {{"id", Self.Id},
       {"data", common::toString(Self.Data)},
       {"control", common::toString(Self.Control)},
       {"admin", common::toString(Self.Admin)}});
}

void Balancer::forward(std::span<std::uint8_t> Packet) {
  LastPacketTime = steadyNow();
  const auto Header = packet::readRoute(Packet);
  if (!Header)
    return drop(ResultCode::PacketMalformed);
  const auto Decision = routing::routeFromFabric(*BalancerNode.view(), *Header);
  if (const auto *DropDecision = std::get_if<routing::DropPacket>(&Decision))
    return drop(DropDecision->Reason);
  packet::rewriteTtl(Packet, packet::InitialTtl);
  DataSocket.send(Packet, std::get<routing::ForwardTo>(Decision).Data);
  ForwardedPackets.Increment();
}

void Balancer::drop(ResultCode Reason) {
  prometheus::Counter *&Counter = DroppedPackets[Reason];
  if (Counter == nullptr)
    Counter = &Metrics.counter(PacketCounterName, PacketCounterHelp,
                               {{"result", std::string(name(Reason))}});
  Counter->Increment();
  if (DropLog.allow(steadyNow()))
    log(LogLevel::Warning, "packet_dropped", {{"reason", name(Reason)}});
}

asio::awaitable<void> Balancer::drain(common::Duration QuietPeriod) {
  log(LogLevel::Info, "draining");
  BalancerNode.announce(membership::MemberState::Leaving);
  const TimePoint DrainStart = steadyNow();
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (true) {
    const TimePoint QuietEnd = std::max(DrainStart, LastPacketTime) + QuietPeriod;
    if (steadyNow() >= QuietEnd)
      break;
    Timer.expires_at(std::chrono::steady_clock::time_point(QuietEnd.time_since_epoch()));
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_await BalancerNode.leave();
  stop();
  log(LogLevel::Info, "stopped");
}

void Balancer::stop() {
  DataSocket.close();
  BalancerNode.stop();
}

} // namespace galenarelay::node
