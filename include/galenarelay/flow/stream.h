#ifndef GALENARELAY_FLOW_STREAM_H
#define GALENARELAY_FLOW_STREAM_H

#include "galenarelay/common/time.h"
#include "galenarelay/packet/packet.h"

#include <cstdint>
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

/// An established stream with nothing in flight, as one agent gives it to another.
struct IdleStream {
  packet::FlowKey Key;
  std::uint32_t InitialSend = 0;
  std::uint32_t SendNext = 0;
  std::uint32_t InitialReceive = 0;
  std::uint32_t ReceiveNext = 0;
  std::uint32_t PeerWindow = 0; ///< Bytes.
  bool LongLived = false;       ///< Sent so much that InitialSend is out of range.
  std::vector<std::uint8_t> Unread;

  friend bool operator==(const IdleStream &, const IdleStream &) = default;
};

/// One end of a reliable byte stream over packets, a subset of TCP (RFC 9293).
/// Example: `Stream S = Stream::accept(Syn, Isn, Now); send(S.takeOutput(Now));`
class Stream {
public:
  /// Bytes buffered for sending or waiting to be read; the peer's window follows from it.
  static constexpr std::size_t MaxBufferedBytes = 256 * 1024;
  /// Segments that wait for an earlier one; more are dropped and retransmitted by the peer.
  static constexpr std::size_t MaxReorderedSegments = 512;
  /// Retransmission timeout before the first round-trip sample.
  static constexpr common::Duration InitialTimeout = std::chrono::milliseconds(250);
  static constexpr common::Duration MinTimeout = std::chrono::milliseconds(100);
  static constexpr common::Duration MaxTimeout = std::chrono::seconds(8);
  /// A silent stream sends a probe after this time; the peer answers it with an acknowledgement.
  static constexpr common::Duration KeepaliveInterval = std::chrono::seconds(30);
  static constexpr common::Duration ProbeRetryInterval = std::chrono::seconds(10);
  /// A peer that answers nothing to retransmissions or probes for this time breaks the stream.
  static constexpr common::Duration DeadPeerTimeout = std::chrono::seconds(60);
  /// Unread bytes that may move with an idle stream; with them a move fits a control datagram.
  static constexpr std::size_t MaxMovedBytes = 512;
  /// A closed stream still acknowledges a repeated FIN for this time.
  static constexpr common::Duration LingerTime = std::chrono::seconds(5);

  /// Opens a stream from the caller's side; the first output is a SYN.
  [[nodiscard]] static Stream connect(packet::FlowKey Key, std::uint32_t InitialSequence,
                                      common::TimePoint Now);
  /// Answers a SYN from the service's side; the first output is a SYN with ACK.
  [[nodiscard]] static Stream accept(const packet::Packet &Syn, std::uint32_t InitialSequence,
                                     common::TimePoint Now);

  /// Goes on with a service-side stream that idle() returned; the first output acknowledges.
  [[nodiscard]] static Stream resume(const IdleStream &Moved, common::TimePoint Now);

  [[nodiscard]] StreamState state() const noexcept;
  [[nodiscard]] const packet::FlowKey &key() const noexcept;
  /// True once the peer has sent FIN and all bytes before it were read.
  [[nodiscard]] bool peerFinished() const noexcept;
  /// True once the stream is broken or has lingered after its end; its owner may discard it when
  /// takeOutput() returns nothing.
  [[nodiscard]] bool finished() const noexcept;
  /// True if the acknowledgement number fits this stream; false marks another owner's flow.
  [[nodiscard]] bool fits(const packet::RouteView &Route) const noexcept;
  /// Bytes that write() accepts now.
  [[nodiscard]] std::size_t writable() const noexcept;
  /// True if idle() returns a value once the peer has acknowledged everything.
  [[nodiscard]] bool movable() const noexcept;
  /// The stream's numbers if nothing is in flight and neither side has sent FIN.
  [[nodiscard]] std::optional<IdleStream> idle() const;
  /// True if this stream began with the same initial sequence numbers.
  [[nodiscard]] bool sameOrigin(const IdleStream &Other) const noexcept;
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
  /// A segment that arrived before the bytes that precede it.
  struct Segment {
    std::uint32_t Sequence = 0;
    std::vector<std::uint8_t> Bytes;
  };

  Stream() = default;

  [[nodiscard]] std::uint32_t buffered() const noexcept;
  [[nodiscard]] std::uint32_t inFlight() const noexcept { return SendMax - SendUnacked; }
  [[nodiscard]] bool opened() const noexcept;
  [[nodiscard]] bool waitsForWindow() const noexcept;
  [[nodiscard]] bool waitsForPeer() const noexcept;
  [[nodiscard]] std::uint32_t receiveWindow() const noexcept;
  [[nodiscard]] bool fits(packet::Flags Bits, std::uint32_t Sequence,
                          std::uint32_t Acknowledgement) const noexcept;
  [[nodiscard]] common::TimePoint quietSince() const noexcept;
  [[nodiscard]] packet::Packet makePacket(std::uint32_t Sequence) const;
  [[nodiscard]] packet::Packet makeSegment(std::uint32_t Sequence, std::size_t Limit);

  [[nodiscard]] packet::Packet makeSynchronise() const;
  void retransmitFirst(std::vector<packet::Packet> &Output);
  void sendNew(std::vector<packet::Packet> &Output, common::TimePoint Now);

  void onReset(const packet::Packet &Received);
  void onSynchronise(const packet::Packet &Received, common::TimePoint Now);
  void onAcknowledgement(const packet::Packet &Received, common::TimePoint Now);
  void onNewlyAcknowledged(std::uint32_t Acknowledged, common::TimePoint Now);
  void onDuplicateAcknowledgement(common::TimePoint Now) noexcept;
  [[nodiscard]] common::Duration reorderWindow() const noexcept;
  void startRecovery(common::TimePoint Now) noexcept;
  void onPayload(const packet::Packet &Received);
  void onTimeout(common::TimePoint Now);
  void storeSegment(std::uint32_t Sequence, std::span<const std::uint8_t> Bytes);
  void appendInOrder(std::uint32_t Sequence, std::span<const std::uint8_t> Bytes);
  void drainReordered();
  void discardAcknowledged(std::uint32_t Count);
  void sampleRoundTrip(common::Duration Sample) noexcept;
  void updateTimeout() noexcept;
  void restartTimer(common::TimePoint Now) noexcept;
  void closeIfDone(common::TimePoint Now) noexcept;
  void breakStream() noexcept;

  packet::FlowKey Key;
  StreamState State = StreamState::Opening;
  bool TowardsCaller = false;
  bool FinQueued = false;
  bool FinSent = false;
  bool FinAcknowledged = false;
  bool PeerFinKnown = false;
  bool PeerFinReceived = false;
  bool AckDue = false;
  bool SynDue = false;
  bool RetransmitDue = false;
  bool ProbeDue = false;
  bool ResetDue = false;
  bool Lingered = false;
  bool Recovering = false;
  bool RecoveryArmed = false; ///< Recovery starts at RecoveryAt unless bytes are acknowledged.
  bool Sampling = false;
  bool Probing = false;
  bool Retransmitting = false; ///< TimerAt is the retransmission timeout.
  bool LongLived = false;      ///< Sent so much that the initial sequence number is out of range.
  std::uint8_t DuplicateAcks = 0;

  // Send side. SendBuffer[SendHead] has the sequence number SendUnacked once opened.
  std::uint32_t InitialSend = 0;
  std::uint32_t SendUnacked = 0;
  std::uint32_t SendNext = 0;
  std::uint32_t SendMax = 0;
  std::uint32_t PeerWindow = 0;
  std::uint32_t CongestionWindow = 0;
  std::uint32_t SlowStartLimit = 0;
  std::uint32_t RecoverUntil = 0;
  std::uint32_t WindowBeforeRecovery = 0;
  std::uint32_t SampleSequence = 0;
  std::uint32_t SendHead = 0;
  std::vector<std::uint8_t> SendBuffer;

  // Receive side.
  std::uint32_t InitialReceive = 0;
  std::uint32_t ReceiveNext = 0;
  std::uint32_t PeerFinSequence = 0;
  std::uint32_t AdvertisedWindow = 0;
  std::uint32_t ReorderedBytes = 0;
  std::vector<std::uint8_t> ReadBuffer;
  std::vector<Segment> Reordered; ///< Sorted by sequence number.

  common::Duration SmoothedRoundTrip{};
  common::Duration RoundTripVariance{};
  common::Duration Timeout = InitialTimeout;
  common::TimePoint SampleStart{};
  common::TimePoint LastHeard{};
  common::TimePoint WaitStart{};  ///< First unanswered transmission or probe.
  common::TimePoint RecoveryAt{}; ///< When the recovery starts or started.
  common::TimePoint TimerAt{};    ///< Retransmission, probe or end of lingering.
};

} // namespace galenarelay::flow

#endif // GALENARELAY_FLOW_STREAM_H
