#include "galenarelay/common/udp_socket.h"

#include <boost/asio/buffer.hpp>

namespace galenarelay::common {

using boost::asio::ip::udp;

namespace {

udp::endpoint toAsio(Endpoint Value) {
  return {boost::asio::ip::address_v4(Value.Address), Value.Port};
}

Endpoint fromAsio(const udp::endpoint &Value) {
  return {Value.address().to_v4().to_uint(), Value.port()};
}

/// Room for bursts of several thousand packets while a handler runs.
constexpr int SocketBufferBytes = 4 * 1024 * 1024;

} // namespace

UdpSocket::UdpSocket(boost::asio::io_context &Io, Endpoint Local, Receiver Receive)
    : Socket(Io), Receive(std::move(Receive)) {
  Socket.open(udp::v4());
  boost::system::error_code Ignored;
  Socket.set_option(boost::asio::socket_base::receive_buffer_size(SocketBufferBytes), Ignored);
  Socket.set_option(boost::asio::socket_base::send_buffer_size(SocketBufferBytes), Ignored);
  Socket.bind(toAsio(Local));
  Socket.non_blocking(true);
  waitForData();
}

Endpoint UdpSocket::local() const noexcept {
  boost::system::error_code Ignored;
  return fromAsio(Socket.local_endpoint(Ignored));
}

void UdpSocket::send(std::span<const std::uint8_t> Bytes, Endpoint To) noexcept {
  boost::system::error_code Ignored;
  Socket.send_to(boost::asio::buffer(Bytes.data(), Bytes.size()), toAsio(To), 0, Ignored);
}

void UdpSocket::close() {
  boost::system::error_code Ignored;
  Socket.close(Ignored);
}

void UdpSocket::waitForData() {
  Socket.async_wait(udp::socket::wait_read, [this](boost::system::error_code Failure) {
    if (Failure || !Socket.is_open())
      return;
    for (int Count = 0; Count < BatchSize; ++Count) {
      udp::endpoint From;
      boost::system::error_code ReadFailure;
      const std::size_t Size =
          Socket.receive_from(boost::asio::buffer(Buffer), From, 0, ReadFailure);
      if (ReadFailure == boost::asio::error::connection_refused)
        continue; // An earlier datagram met a closed port; nothing was received.
      if (ReadFailure)
        break;
      Receive(std::span(Buffer.data(), Size), fromAsio(From));
    }
    if (Socket.is_open())
      waitForData();
  });
}

} // namespace galenarelay::common
