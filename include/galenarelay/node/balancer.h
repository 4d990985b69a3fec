#ifndef GALENARELAY_NODE_BALANCER_H
#define GALENARELAY_NODE_BALANCER_H

#include "galenarelay/common/log.h"
#include "galenarelay/common/udp_socket.h"
#include "galenarelay/node/node.h"

#include <map>

namespace galenarelay::node {

/// A draining balancer keeps forwarding for at least this time after it announced that it leaves,
/// and until no packet has arrived for this time, so that the fabric has time to stop sending.
inline constexpr common::Duration DrainQuietPeriod = std::chrono::seconds(5);

/// Stateless packet forwarder from the fabric to the home agents of the packets' flows.
class Balancer {
public:
  /// Binds the data socket at Options.Self.Data. Throws boost::system::system_error if that fails.
  Balancer(boost::asio::io_context &Io, NodeOptions Options, common::Metrics &Metrics);

  [[nodiscard]] const Node &node() const noexcept { return BalancerNode; }

  void start();
  /// Announces that this balancer leaves, forwards packets until none has arrived for QuietPeriod,
  /// then announces the end of the member, deletes its store record and stops.
  [[nodiscard]] boost::asio::awaitable<void> drain(common::Duration QuietPeriod = DrainQuietPeriod);
  void stop();

private:
  void forward(std::span<std::uint8_t> Packet);
  void drop(common::ResultCode Reason);

  common::Metrics &Metrics;
  common::UdpSocket DataSocket;
  Node BalancerNode;
  prometheus::Counter &ForwardedPackets;
  std::map<common::ResultCode, prometheus::Counter *> DroppedPackets;
  common::TimePoint LastPacketTime{};
  common::LogRateLimit DropLog;
};

} // namespace galenarelay::node

#endif // GALENARELAY_NODE_BALANCER_H
