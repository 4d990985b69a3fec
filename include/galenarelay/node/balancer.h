#ifndef GALENARELAY_NODE_BALANCER_H
#define GALENARELAY_NODE_BALANCER_H

#include "galenarelay/common/log.h"
#include "galenarelay/common/udp_socket.h"
#include "galenarelay/node/node.h"

#include <map>

namespace galenarelay::node {

/// A leaving balancer forwards at least this long and until no packet came for as long, so that
/// the fabric has time to stop sending.
inline constexpr common::Duration BalancerDrain = std::chrono::seconds(5);

/// Forwards packets from the fabric to the home agents of their flows; keeps no flow state.
class Balancer {
public:
  /// Binds the data socket at Options.Self.Data. Throws boost::system::system_error if it can't.
  Balancer(boost::asio::io_context &Io, NodeOptions Options, common::Metrics &Metrics);

  [[nodiscard]] const Node &node() const noexcept { return Runtime; }

  void start();
  /// Announces leaving, forwards until the fabric has stopped sending, leaves and stops.
  [[nodiscard]] boost::asio::awaitable<void> drain(common::Duration Quiet = BalancerDrain);
  void stop();

private:
  void forward(std::span<std::uint8_t> Packet);
  void drop(common::ResultCode Reason);

  common::Metrics &Metrics;
  common::UdpSocket Data;
  Node Runtime;
  prometheus::Counter &Forwarded;
  std::map<common::ResultCode, prometheus::Counter *> Dropped;
  common::TimePoint LastPacket{};
  common::LogRateLimit DropLog;
};

} // namespace galenarelay::node

#endif // GALENARELAY_NODE_BALANCER_H
