#ifndef GALENARELAY_TESTS_SOAK_STREAM_H
#define GALENARELAY_TESTS_SOAK_STREAM_H

#include "galenarelay/common/time.h"
#include "galenarelay/relay/packet_head.h"
#include "platform/packet_codec.h"

#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <string>

namespace galenarelay::soak {

using Clock = std::chrono::steady_clock;

/// A whole packet in the platform's form. TowardsCaller decides which end is its source.
[[nodiscard]] relay::Bytes buildPacket(const relay::PacketHeader &Head, std::string_view Payload);
/// The packet's payload.
[[nodiscard]] std::string_view payloadOf(std::span<const std::uint8_t> Packet);
/// True if the packet is as buildPacket made it; only the fields that nodes may use can differ.
[[nodiscard]] bool isGenuine(std::span<const std::uint8_t> Packet);
/// True if a node of the system made this reset.
[[nodiscard]] bool isSystemReset(std::span<const std::uint8_t> Packet);
/// Marks a packet as given back, as an upstream does that doesn't hold its flow.
[[nodiscard]] relay::Bytes markReturned(std::span<const std::uint8_t> Packet);

/// One end of a flow: a reliable stream of messages over packets, with cumulative acknowledgements
/// and retransmission of the oldest missing packet.
class Stream {
public:
  /// Longest time without progress before the end gives up.
  static constexpr int MaxRetransmissions = 8;

  using Sender = std::function<void(relay::Bytes)>;

  Stream(packet::FlowKey Key, bool IsCaller, std::uint32_t OwnStart, std::uint32_t PeerStart,
         Sender Send)
      : Key(Key), IsCaller(IsCaller), NextSequence(OwnStart + 1), Expected(PeerStart + 1),
        Send(std::move(Send)) {}

  void sendMessage(const std::string &Body, Clock::time_point Now);
  void sendEnd(Clock::time_point Now);
  /// Takes data and acknowledgements.
  void onPacket(const relay::PacketHeader &Head, std::string_view Payload, Clock::time_point Now);
  /// The next whole message that has arrived.
  [[nodiscard]] std::optional<std::string> takeMessage();
  void onTimer(Clock::time_point Now);

  [[nodiscard]] bool peerEnded() const noexcept { return PeerEnded; }
  [[nodiscard]] bool gaveUp() const noexcept { return Retransmissions >= MaxRetransmissions; }
  [[nodiscard]] bool allAcknowledged() const noexcept { return Unacknowledged.empty(); }

private:
  struct Segment {
    std::uint32_t Sequence = 0;
    std::string Data;
    bool End = false;
  };
  static constexpr std::size_t Window = 16;

  void transmit(const Segment &Part);
  void acknowledge();
  void restartTimer(Clock::time_point Now);

  packet::FlowKey Key;
  bool IsCaller;
  std::uint32_t NextSequence;
  std::uint32_t Expected; ///< Next sequence number from the peer.
  Sender Send;
  std::deque<Segment> Unacknowledged;
  std::size_t InFlight = 0; ///< Of Unacknowledged, from its front.
  std::string Received;
  bool PeerEnded = false;
  int Retransmissions = 0;
  Clock::time_point RetransmitAt{};
};

} // namespace galenarelay::soak

#endif // GALENARELAY_TESTS_SOAK_STREAM_H
