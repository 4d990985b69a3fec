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

constexpr const char *PacketMetric = "balancer_packets_total";
constexpr const char *PacketHelp = "Packets from the fabric, by result";
/// Log lines per second about dropped packets.
constexpr std::uint32_t DropLogLimit = 5;

NodeOptions withData(NodeOptions Options, Endpoint Data) {
  Options.Self.Kind = membership::MemberKind::Balancer;
  Options.Self.State = membership::MemberState::Active;
  Options.Self.Data = Data;
  return Options;
}

} // namespace

Balancer::Balancer(asio::io_context &Io, NodeOptions Options, common::Metrics &Metrics)
    : Metrics(Metrics), Data(Io, Options.Self.Data,
                             [this](std::span<std::uint8_t> Packet, Endpoint) { forward(Packet); }),
      Runtime(Io, withData(std::move(Options), Data.local()), Metrics),
      Forwarded(Metrics.counter(PacketMetric, PacketHelp, {{"result", "forwarded"}})),
      DropLog(DropLogLimit) {}

void Balancer::start() {
  Runtime.start();
  const membership::Member &Self = Runtime.self();
  log(LogLevel::Info, "listening",
      {{"id", Self.Id},
       {"data", common::toString(Self.Data)},
       {"control", common::toString(Self.Control)},
       {"admin", common::toString(Self.Admin)}});
}

void Balancer::forward(std::span<std::uint8_t> Packet) {
  LastPacket = steadyNow();
  const auto Header = packet::readRoute(Packet);
  if (!Header)
    return drop(ResultCode::PacketMalformed);
  const auto Decision = routing::routeFromFabric(*Runtime.view(), *Header);
  if (const auto *Refused = std::get_if<routing::Drop>(&Decision))
    return drop(Refused->Reason);
  packet::rewriteTtl(Packet, packet::InitialTtl);
  Data.send(Packet, std::get<routing::ForwardTo>(Decision).Data);
  Forwarded.Increment();
}

void Balancer::drop(ResultCode Reason) {
  prometheus::Counter *&Counter = Dropped[Reason];
  if (Counter == nullptr)
    Counter = &Metrics.counter(PacketMetric, PacketHelp, {{"result", std::string(name(Reason))}});
  Counter->Increment();
  if (DropLog.allow(steadyNow()))
    log(LogLevel::Warning, "packet_dropped", {{"reason", name(Reason)}});
}

asio::awaitable<void> Balancer::drain(common::Duration Quiet) {
  log(LogLevel::Info, "draining");
  Runtime.announce(membership::MemberState::Leaving);
  const TimePoint Begin = steadyNow();
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (true) {
    const TimePoint End = std::max(Begin, LastPacket) + Quiet;
    if (steadyNow() >= End)
      break;
    Timer.expires_at(std::chrono::steady_clock::time_point(End.time_since_epoch()));
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_await Runtime.leave();
  stop();
  log(LogLevel::Info, "stopped");
}

void Balancer::stop() {
  Data.close();
  Runtime.stop();
}

} // namespace galenarelay::node
