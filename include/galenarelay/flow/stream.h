#ifndef GALENARELAY_FLOW_STREAM_H
#define GALENARELAY_FLOW_STREAM_H

#include "galenarelay/common/time.h"
#include "galenarelay/packet/packet.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace galenarelay::flow {

/// Life of a stream.
enum class StreamState : std::uint8_t {
  Opening,     ///< SYN sent or received, not yet acknowledged.
  Established, ///< Bytes flow both ways.
  Closing,     ///< This side has sent FIN.
  Closed,      ///< Both sides have sent FIN and everything is acknowledged.
  Broken,      ///< Reset, or given up on after too many retransmissions.
};

/// One end of a reliable byte stream over packets, a subset of TCP (RFC 9293).
/// Example: `Stream S = Stream::accept(Syn, Isn, Now); send(S.takeOutput(Now));`
class Stream {
public:
  /// Bytes buffered for sending or waiting to be read; the peer's window follows from it.
  static constexpr std::size_t MaxBufferedBytes = 256 * 1024;

  /// Opens a stream from the caller's side; the first output is a SYN.
  [[nodiscard]] static Stream connect(packet::FlowKey Key, std::uint32_t InitialSequence,
                                      common::TimePoint Now);
  /// Answers a SYN from the service's side; the first output is a SYN with ACK.
  [[nodiscard]] static Stream accept(const packet::Packet &Syn, std::uint32_t InitialSequence,
                                     common::TimePoint Now);

  [[nodiscard]] StreamState state() const noexcept;
  [[nodiscard]] const packet::FlowKey &key() const noexcept;
  /// True once the peer has sent FIN and all bytes before it were read.
  [[nodiscard]] bool peerFinished() const noexcept;
  /// True if the acknowledgement number fits this stream; false marks another owner's flow.
  [[nodiscard]] bool fits(const packet::RouteView &Route) const noexcept;
  /// Bytes that write() accepts now.
  [[nodiscard]] std::size_t writable() const noexcept;
  /// Bytes written that the peer has not acknowledged.
  [[nodiscard]] std::size_t unacknowledged() const noexcept;
  /// Bytes of memory that this stream's buffers hold.
  [[nodiscard]] std::size_t memoryBytes() const noexcept;
  /// When onTimer must be called; empty if no timer runs.
  [[nodiscard]] std::optional<common::TimePoint> nextTimer() const noexcept;

  void onPacket(const packet::Packet &Received, common::TimePoint Now);
  void onTimer(common::TimePoint Now);
  /// Takes up to writable() bytes; returns how many were taken.
  std::size_t write(std::span<const std::uint8_t> Bytes);
  /// Returns and removes all bytes received in order; this opens the window again.
  [[nodiscard]] std::vector<std::uint8_t> read();
  /// Sends FIN after the bytes written so far.
  void finish();
  /// Sends RST and breaks the stream.
  void reset();
  /// Returns the packets to send now.
  [[nodiscard]] std::vector<packet::Packet> takeOutput(common::TimePoint Now);

private:
  Stream() = default;
};

} // namespace galenarelay::flow

#endif // GALENARELAY_FLOW_STREAM_H
