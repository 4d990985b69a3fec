#include "galenarelay/standins/fabric/impl/connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace galenarelay::standins::fabric::impl {

using boost::system::error_code;
using common::steadyNow;
using flow::StreamState;

Connection::Connection(boost::asio::ip::tcp::socket Socket, packet::FlowKey Key,
                       std::uint32_t InitialSequence, Sender Send, Observer Changed)
    : Socket(std::move(Socket)), Flow(flow::Stream::connect(Key, InitialSequence, steadyNow())),
      Send(std::move(Send)), Changed(std::move(Changed)) {
  error_code Ignored;
  this->Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
}

void Connection::onPacket(const packet::Packet &Received) {
  Flow.onPacket(Received, steadyNow());
  proceed();
}

void Connection::onTimer() {
  Flow.onTimer(steadyNow());
  proceed();
}

void Connection::close() {
  error_code Ignored;
  Socket.close(Ignored);
  SocketClosed = true;
}

// Moves bytes both ways as far as the buffers allow: a full stream stops reading from the client,
// and a slow client leaves bytes in the stream, which closes the window towards the service.
void Connection::proceed() {
  const auto Self = shared_from_this();
  readClient();
  writeClient();
  for (const packet::Packet &Each : Flow.takeOutput(steadyNow()))
    Send(Each);
  endClient();
  Changed(Self);
}

void Connection::readClient() {
  const std::size_t Room = std::min(Flow.writable(), ReadBytes);
  if (Reading || ClientFinished || SocketClosed || Room == 0)
    return;
  Reading = true;
  Socket.async_read_some(boost::asio::buffer(Incoming.data(), Room),
                         [Self = shared_from_this()](error_code Failure, std::size_t Size) {
                           Self->Reading = false;
                           if (Self->SocketClosed)
                             return;
                           if (Failure == boost::asio::error::eof) {
                             Self->ClientFinished = true;
                             Self->Flow.finish();
                           } else if (Failure) {
                             Self->resetByClient();
                           }
                           Self->Flow.write(std::span(Self->Incoming).first(Size));
                           Self->proceed();
                         });
}

void Connection::writeClient() {
  if (Writing || SocketClosed)
    return;
  Outgoing = Flow.read();
  if (Outgoing.empty())
    return;
  Writing = true;
  boost::asio::async_write(Socket, boost::asio::buffer(Outgoing),
                           [Self = shared_from_this()](error_code Failure, std::size_t) {
                             Self->Writing = false;
                             if (Self->SocketClosed)
                               return;
                             if (Failure)
                               Self->resetByClient();
                             Self->proceed();
                           });
}

void Connection::resetByClient() {
  ResetByClient = Flow.state() != StreamState::Broken;
  Flow.reset();
}

void Connection::endClient() {
  if (SocketClosed)
    return;
  error_code Ignored;
  if (Flow.state() == StreamState::Broken) {
    // Closing with a zero linger time sends a reset.
    Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
    close();
    return;
  }
  if (Flow.peerFinished() && !Writing && !SendShutDown) {
    SendShutDown = true;
    Socket.shutdown(boost::asio::socket_base::shutdown_send, Ignored);
  }
  if (SendShutDown && Flow.state() == StreamState::Closed)
    close();
}

} // namespace galenarelay::standins::fabric::impl
