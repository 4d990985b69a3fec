#ifndef GALENARELAY_COMMON_UDP_SOCKET_H
#define GALENARELAY_COMMON_UDP_SOCKET_H

#include "galenarelay/common/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <span>

namespace galenarelay::common {

/// Non-blocking UDP socket that hands each datagram to a callback, which may change it in place.
class UdpSocket {
public:
  using Receiver = std::function<void(std::span<std::uint8_t>, Endpoint)>;

  /// Binds at once; port 0 takes a free port. Throws boost::system::system_error if it can't bind.
  UdpSocket(boost::asio::io_context &Io, Endpoint Local, Receiver Receive);

  [[nodiscard]] Endpoint local() const noexcept;
  /// Sends or drops: a full socket buffer loses the datagram, as a network would.
  void send(std::span<const std::uint8_t> Bytes, Endpoint To) noexcept;
  void close();

private:
  void waitForData();

  static constexpr std::size_t MaxDatagramBytes = 65536;
  /// Datagrams read in one turn before other handlers run.
  static constexpr int BatchSize = 64;

  boost::asio::ip::udp::socket Socket;
  Receiver Receive;
  std::array<std::uint8_t, MaxDatagramBytes> Buffer{};
};

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_UDP_SOCKET_H
