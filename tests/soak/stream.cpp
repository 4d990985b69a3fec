#include "stream.h"

#include <boost/endian/conversion.hpp>
#include <xxhash.h>

#include <algorithm>

namespace galenarelay::soak {

namespace {

namespace endian = boost::endian;

constexpr std::size_t HeadBytes = platform::PacketCodec::HeadBytes;
constexpr std::size_t MaxPayload = platform::PacketCodec::MaxPayloadBytes;
constexpr std::uint8_t Returned = 1;
constexpr std::uint8_t Ack = 4;
constexpr std::uint8_t Syn = 8;
constexpr std::uint8_t Fin = 32;
constexpr std::uint8_t Rst = 64;
constexpr std::size_t PadAt = 1;
constexpr std::size_t SumAt = 6;
constexpr std::size_t EchoAt = 18;
constexpr std::uint32_t SumKey = 0x5eed;
constexpr auto FirstRetransmission = std::chrono::milliseconds(200);

/// The keyed sum over everything that nodes may not change.
std::uint32_t sumOf(std::span<const std::uint8_t> Packet) {
  relay::Bytes Copy(Packet.begin(), Packet.end());
  Copy[0] = static_cast<std::uint8_t>(Copy[0] & ~Returned);
  std::fill_n(Copy.begin() + PadAt, 3, 0);
  std::fill_n(Copy.begin() + SumAt, 4, 0);
  std::fill_n(Copy.begin() + EchoAt, 4, 0);
  // 0 marks resets of the system.
  return std::max(1U, XXH32(Copy.data(), Copy.size(), SumKey));
}

} // namespace

relay::Bytes buildPacket(const relay::PacketHeader &Head, std::string_view Payload) {
  relay::Bytes Raw(HeadBytes + Payload.size());
  Raw[0] = static_cast<std::uint8_t>((Head.Flags.Syn ? Syn : 0) | (Head.Flags.Ack ? Ack : 0) |
                                     (Head.Flags.Fin ? Fin : 0) | (Head.Flags.Rst ? Rst : 0));
  const auto &From = Head.TowardsCaller ? Head.Key.Service : Head.Key.Caller;
  const auto &To = Head.TowardsCaller ? Head.Key.Caller : Head.Key.Service;
  endian::store_little_u16(Raw.data() + 4, static_cast<std::uint16_t>(Payload.size()));
  endian::store_little_u32(Raw.data() + 10, Head.Sequence);
  endian::store_little_u32(Raw.data() + 14, Head.Acknowledgement);
  endian::store_little_u32(Raw.data() + 22, From.Address);
  endian::store_little_u16(Raw.data() + 26, From.Port);
  endian::store_little_u32(Raw.data() + 28, To.Address);
  endian::store_little_u16(Raw.data() + 32, To.Port);
  std::copy(Payload.begin(), Payload.end(), Raw.begin() + HeadBytes);
  endian::store_little_u32(Raw.data() + SumAt, sumOf(Raw));
  return Raw;
}

std::string_view payloadOf(std::span<const std::uint8_t> Packet) {
  const auto Payload = Packet.subspan(HeadBytes);
  return {reinterpret_cast<const char *>(Payload.data()), Payload.size()};
}

bool isGenuine(std::span<const std::uint8_t> Packet) {
  return endian::load_little_u32(Packet.data() + SumAt) == sumOf(Packet);
}

bool isSystemReset(std::span<const std::uint8_t> Packet) {
  return Packet.size() == HeadBytes && Packet[0] == Rst &&
         endian::load_little_u32(Packet.data() + SumAt) == 0;
}

relay::Bytes markReturned(std::span<const std::uint8_t> Packet) {
  relay::Bytes Raw(Packet.begin(), Packet.end());
  Raw[0] = static_cast<std::uint8_t>(Raw[0] | Returned);
  std::fill_n(Raw.begin() + PadAt, 3, 0);
  return Raw;
}

void Stream::transmit(const Segment &Part) {
  relay::PacketHeader Head;
  Head.Key = Key;
  Head.TowardsCaller = !IsCaller;
  Head.Flags.Ack = true;
  Head.Flags.Fin = Part.End;
  Head.Sequence = Part.Sequence;
  Head.Acknowledgement = Expected;
  Send(buildPacket(Head, Part.Data));
}

void Stream::acknowledge() { transmit({NextSequence, "", false}); }

void Stream::restartTimer(Clock::time_point Now) {
  Retransmissions = 0;
  RetransmitAt = Now + FirstRetransmission;
}

void Stream::sendMessage(const std::string &Body, Clock::time_point Now) {
  std::string Framed(4, '\0');
  endian::store_little_u32(reinterpret_cast<unsigned char *>(Framed.data()),
                           static_cast<std::uint32_t>(Body.size()));
  Framed += Body;
  if (Unacknowledged.empty())
    restartTimer(Now);
  for (std::size_t At = 0; At < Framed.size(); At += MaxPayload) {
    Unacknowledged.push_back({NextSequence, Framed.substr(At, MaxPayload), false});
    NextSequence += static_cast<std::uint32_t>(Unacknowledged.back().Data.size());
  }
  for (; InFlight < std::min(Window, Unacknowledged.size()); ++InFlight)
    transmit(Unacknowledged[InFlight]);
}

void Stream::sendEnd(Clock::time_point Now) {
  if (Unacknowledged.empty())
    restartTimer(Now);
  Unacknowledged.push_back({NextSequence++, "", true});
  for (; InFlight < std::min(Window, Unacknowledged.size()); ++InFlight)
    transmit(Unacknowledged[InFlight]);
}

void Stream::onPacket(const relay::PacketHeader &Head, std::string_view Payload,
                      Clock::time_point Now) {
  const auto EndOf = [](const Segment &Part) {
    return Part.Sequence + static_cast<std::uint32_t>(Part.Data.size()) + (Part.End ? 1U : 0U);
  };
  bool Progress = false;
  while (Head.Flags.Ack && InFlight > 0 &&
         !relay::sequenceBefore(Head.Acknowledgement, EndOf(Unacknowledged.front()))) {
    Unacknowledged.pop_front();
    --InFlight;
    Progress = true;
  }
  if (Progress)
    restartTimer(Now);
  for (; InFlight < std::min(Window, Unacknowledged.size()); ++InFlight)
    transmit(Unacknowledged[InFlight]);
  if (Payload.empty() && !Head.Flags.Fin)
    return;
  if (Head.Sequence == Expected) {
    Received += Payload;
    Expected += static_cast<std::uint32_t>(Payload.size()) + (Head.Flags.Fin ? 1U : 0U);
    PeerEnded = PeerEnded || Head.Flags.Fin;
  }
  acknowledge();
}

std::optional<std::string> Stream::takeMessage() {
  if (Received.size() < 4)
    return std::nullopt;
  const auto Size =
      endian::load_little_u32(reinterpret_cast<const unsigned char *>(Received.data()));
  if (Received.size() < 4 + std::size_t{Size})
    return std::nullopt;
  std::string Body = Received.substr(4, Size);
  Received.erase(0, 4 + std::size_t{Size});
  return Body;
}

void Stream::onTimer(Clock::time_point Now) {
  if (InFlight == 0 || Now < RetransmitAt || gaveUp())
    return;
  ++Retransmissions;
  transmit(Unacknowledged.front());
  RetransmitAt = Now + FirstRetransmission * (1U << std::min(Retransmissions, 3));
}

} // namespace galenarelay::soak
