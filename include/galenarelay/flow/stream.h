#ifndef GALENARELAY_FLOW_STREAM_H
#define GALENARELAY_FLOW_STREAM_H

#include "galenarelay/common/time.h"
#include "galenarelay/packet/packet.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace galenarelay::flow {

/// Connection state of a stream.
enum class StreamState : std::uint8_t {
  Opening,     ///< A SYN was sent or received but not yet acknowledged.
  Established, ///< The handshake is complete and this side has not sent FIN; the peer may have.
  Closing,     ///< This side has sent FIN.
  Closed,      ///< Both sides have sent FIN and everything is acknowledged.
  Broken,      ///< Reset, or aborted because the peer did not answer for DeadPeerTimeout.
};

/// State of an established stream with nothing in flight, for its transfer to another agent.
struct IdleStream {
  packet::FlowKey Key;
  std::uint32_t InitialSend = 0;
  std::uint32_t SendNext = 0;
  std::uint32_t InitialReceive = 0;
  std::uint32_t ReceiveNext = 0;
  std::uint32_t PeerWindow = 0; ///< Bytes.
  /// So much was sent that InitialSend no longer bounds the acknowledgement numbers that
  /// Stream::matches() accepts.
  bool InitialSendOutOfRange = false;
  std::vector<std::uint8_t> Unread;

  friend bool operator==(const IdleStream &, const IdleStream &) = default;
};

/// One end of a reliable byte stream over packets, a subset of TCP (RFC 9293).
/// Example: `Stream S = Stream::accept(Syn, Isn, Now); send(S.takeOutput(Now));`
class Stream {
public:
  /// Limit of the send buffer and of the bytes received but not read; the advertised receive window
  /// is what remains of the latter.
  static constexpr std::size_t MaxBufferedBytes = 256 * 1024;
  /// Limit of segments held until an earlier one arrives. More are dropped; the peer retransmits
  /// them.
  static constexpr std::size_t MaxOutOfOrderSegments = 512;
  /// Retransmission timeout before the first round-trip sample.
  static constexpr common::Duration InitialRetransmissionTimeout = std::chrono::milliseconds(250);
  static constexpr common::Duration MinRetransmissionTimeout = std::chrono::milliseconds(100);
  static constexpr common::Duration MaxRetransmissionTimeout = std::chrono::seconds(8);
  /// An idle stream sends a keepalive probe after this time; the peer answers it with an ACK.
  static constexpr common::Duration KeepaliveInterval = std::chrono::seconds(30);
  static constexpr common::Duration ProbeRetryInterval = std::chrono::seconds(10);
  /// The stream breaks if the peer answers no retransmission or probe for this time.
  static constexpr common::Duration DeadPeerTimeout = std::chrono::seconds(60);
  /// Unread bytes that an idle stream may carry to another agent; with this limit the transfer fits
  /// in one control datagram.
  static constexpr std::size_t MaxTransferredUnreadBytes = 512;
  /// A closed stream acknowledges a retransmitted FIN for this time, like TIME-WAIT in TCP but on
  /// both sides.
  static constexpr common::Duration TimeWaitDuration = std::chrono::seconds(5);

  /// Opens a stream as the caller; the first output is a SYN.
  [[nodiscard]] static Stream connect(packet::FlowKey Key, std::uint32_t InitialSequence,
                                      common::TimePoint Now);
  /// Answers a SYN as the service; the first output is a SYN-ACK.
  [[nodiscard]] static Stream accept(const packet::Packet &Syn, std::uint32_t InitialSequence,
                                     common::TimePoint Now);

  /// Continues a service-side stream from the state that idleState() returned; the first output is
  /// an ACK.
  [[nodiscard]] static Stream resume(const IdleStream &Saved, common::TimePoint Now);

  [[nodiscard]] StreamState state() const noexcept;
  [[nodiscard]] const packet::FlowKey &key() const noexcept;
  /// True once the FIN of the peer has arrived and all bytes before it were read.
  [[nodiscard]] bool peerFinished() const noexcept;
  /// True once the stream is broken, or closed for TimeWaitDuration. The owner may discard it when
  /// takeOutput() returns nothing.
  [[nodiscard]] bool discardable() const noexcept;
  /// True if the packet's numbers are plausible for this stream. False for a packet of another flow
  /// with the same key, which another agent may own, and for a very old duplicate.
  [[nodiscard]] bool matches(const packet::RouteView &Route) const noexcept;
  /// Bytes that write() accepts now.
  [[nodiscard]] std::size_t writable() const noexcept;
  /// True if idleState() will return a value once the peer has acknowledged everything.
  [[nodiscard]] bool movable() const noexcept;
  /// State for a transfer to another agent. Empty unless the stream is established, nothing is in
  /// flight or buffered for sending, neither side has finished, and at most
  /// MaxTransferredUnreadBytes are unread.
  [[nodiscard]] std::optional<IdleStream> idleState() const;
  /// True if Other has this stream's two initial sequence numbers, so that it describes the same
  /// connection.
  [[nodiscard]] bool sameInitialSequenceNumbers(const IdleStream &Other) const noexcept;
  /// Bytes written, sent or not, that the peer has not acknowledged.
  [[nodiscard]] std::size_t unacknowledged() const noexcept;
  /// Bytes of memory allocated for this stream's buffers.
  [[nodiscard]] std::size_t memoryBytes() const noexcept;
  /// When onTimer must be called; empty if no timer runs.
  [[nodiscard]] std::optional<common::TimePoint> nextTimer() const noexcept;

  /// Processes a packet from the peer; packets that don't fit the stream are ignored.
  void onPacket(const packet::Packet &Received, common::TimePoint Now);
  void onTimer(common::TimePoint Now);
  /// Appends up to writable() bytes to the send buffer; returns how many were accepted.
  std::size_t write(std::span<const std::uint8_t> Bytes);
  /// Returns and removes all bytes received in order, which reopens the receive window.
  [[nodiscard]] std::vector<std::uint8_t> read();
  /// Queues a FIN after the bytes written so far; write() accepts no more.
  void finish();
  /// Breaks the stream and queues a RST; no effect on a closed or broken stream.
  void reset();
  /// Returns the packets to send now.
  [[nodiscard]] std::vector<packet::Packet> takeOutput(common::TimePoint Now);

private:
  /// A segment that arrived out of order.
  struct Segment {
    std::uint32_t Sequence = 0;
    std::vector<std::uint8_t> Bytes;
  };

  Stream() = default;

  /// Bytes in the send buffer that are not acknowledged.
  [[nodiscard]] std::uint32_t sendBuffered() const noexcept;
  /// Sequence numbers, including those of SYN and FIN, that were sent and are not acknowledged.
  [[nodiscard]] std::uint32_t inFlight() const noexcept { return SendMax - SendUnacked; }
  [[nodiscard]] bool isOpen() const noexcept;
  [[nodiscard]] bool waitsForWindow() const noexcept;
  [[nodiscard]] bool waitsForPeer() const noexcept;
  [[nodiscard]] std::uint32_t receiveWindow() const noexcept;
  [[nodiscard]] bool matches(packet::Flags Bits, std::uint32_t Sequence,
                             std::uint32_t Acknowledgement) const noexcept;
  [[nodiscard]] common::TimePoint peerSilentSince() const noexcept;
  [[nodiscard]] packet::Packet makePacket(std::uint32_t Sequence) const;
  [[nodiscard]] packet::Packet makeSegment(std::uint32_t Sequence, std::size_t Limit);

  [[nodiscard]] packet::Packet makeSyn() const;
  void retransmitFirstUnacknowledged(std::vector<packet::Packet> &Output);
  void sendNewData(std::vector<packet::Packet> &Output, common::TimePoint Now);

  void onReset(const packet::Packet &Received);
  void onSyn(const packet::Packet &Received, common::TimePoint Now);
  void onAcknowledgement(const packet::Packet &Received, common::TimePoint Now);
  void onNewlyAcknowledged(std::uint32_t Acknowledged, common::TimePoint Now);
  void onDuplicateAcknowledgement(common::TimePoint Now) noexcept;
  [[nodiscard]] common::Duration reorderWindow() const noexcept;
  void startRecovery(common::TimePoint Now) noexcept;
  void onPayload(const packet::Packet &Received);
  void onRetransmissionTimeout(common::TimePoint Now);
  void storeSegment(std::uint32_t Sequence, std::span<const std::uint8_t> Bytes);
  void appendInOrder(std::uint32_t Sequence, std::span<const std::uint8_t> Bytes);
  void drainOutOfOrder();
  void discardAcknowledged(std::uint32_t Count);
  void sampleRoundTrip(common::Duration Sample) noexcept;
  void updateRetransmissionTimeout() noexcept;
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
  bool TimeWaitElapsed = false;
  bool Recovering = false;    ///< In fast recovery until RecoveryPoint is acknowledged.
  bool RecoveryArmed = false; ///< Fast recovery starts at RecoveryAt unless bytes are acknowledged.
  bool SamplingRoundTrip = false;
  bool Probing = false; ///< A keepalive probe was sent and no packet has arrived since.
  bool RetransmissionTimerRunning = false; ///< TimerAt holds the retransmission timer.
  bool InitialSendOutOfRange = false;      ///< See IdleStream::InitialSendOutOfRange.
  std::uint8_t DuplicateAcks = 0;

  // Send side. Once the stream is open, SendBuffer[SendHead] has the sequence number SendUnacked.
  std::uint32_t InitialSend = 0;
  std::uint32_t SendUnacked = 0;
  std::uint32_t SendNext = 0;
  /// One past the highest number sent. SendNext falls back to SendUnacked on a timeout.
  std::uint32_t SendMax = 0;
  std::uint32_t PeerWindow = 0;
  std::uint32_t CongestionWindow = 0;
  std::uint32_t SlowStartThreshold = 0;
  std::uint32_t RecoveryPoint = 0;
  std::uint32_t WindowBeforeRecovery = 0;
  std::uint32_t SampleSequence = 0;
  std::uint32_t SendHead = 0;
  std::vector<std::uint8_t> SendBuffer;

  // Receive side.
  std::uint32_t InitialReceive = 0;
  std::uint32_t ReceiveNext = 0;
  std::uint32_t PeerFinSequence = 0;
  std::uint32_t AdvertisedWindow = 0;
  std::uint32_t OutOfOrderBytes = 0;
  std::vector<std::uint8_t> ReadBuffer;
  std::vector<Segment> OutOfOrder; ///< Sorted by sequence number.

  common::Duration SmoothedRoundTrip{};
  common::Duration RoundTripVariance{};
  common::Duration RetransmissionTimeout = InitialRetransmissionTimeout;
  common::TimePoint SampleStart{};
  common::TimePoint LastReceivedAt{};
  /// Start of the wait for an answer: the last progress of acknowledgement, or the first
  /// transmission or probe after it.
  common::TimePoint UnansweredSince{};
  common::TimePoint RecoveryAt{}; ///< Start of fast recovery, planned or past.
  common::TimePoint TimerAt{};    ///< Expiry of the retransmission, probe or TIME-WAIT timer.
};

} // namespace galenarelay::flow

#endif // GALENARELAY_FLOW_STREAM_H
