#ifndef GALENARELAY_STANDINS_FABRIC_IMPL_CONNECTION_H
#define GALENARELAY_STANDINS_FABRIC_IMPL_CONNECTION_H

#include "galenarelay/common/time.h"
#include "galenarelay/flow/stream.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <vector>

namespace galenarelay::standins::fabric::impl {

/// One client's TCP connection and the stream that carries its bytes through the balancers.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  using Sender = std::function<void(const packet::Packet &)>;
  /// Called after each event, to renew the connection's timer or to remove it.
  using Observer = std::function<void(const std::shared_ptr<Connection> &)>;

  Connection(boost::asio::ip::tcp::socket Socket, packet::FlowKey Key,
             std::uint32_t InitialSequence, Sender Send, Observer Changed);

  [[nodiscard]] const packet::FlowKey &key() const noexcept { return Flow.key(); }
  [[nodiscard]] std::optional<common::TimePoint> nextTimer() const noexcept {
    return Flow.nextTimer();
  }
  /// True once neither the client nor the service needs the connection.
  [[nodiscard]] bool finished() const noexcept { return SocketClosed && Flow.discardable(); }
  /// True if the service's side reset the flow or stopped answering.
  [[nodiscard]] bool brokenByService() const noexcept {
    return Flow.state() == flow::StreamState::Broken && !ResetByClient;
  }

  void start() { proceed(); }
  void onPacket(const packet::Packet &Received);
  void onTimer();
  /// Closes the socket without telling the client or the service more.
  void close();

private:
  /// Bytes read from the client at once.
  static constexpr std::size_t ReadBytes = 16 * 1024;

  void proceed();
  void readClient();
  void writeClient();
  void endClient();
  void resetByClient();

  boost::asio::ip::tcp::socket Socket;
  flow::Stream Flow;
  Sender Send;
  Observer Changed;
  std::array<std::uint8_t, ReadBytes> Incoming{};
  std::vector<std::uint8_t> Outgoing;
  bool Reading = false;
  bool Writing = false;
  bool ClientFinished = false;
  bool SendShutDown = false;
  bool ResetByClient = false;
  bool SocketClosed = false;
};

} // namespace galenarelay::standins::fabric::impl

#endif // GALENARELAY_STANDINS_FABRIC_IMPL_CONNECTION_H
