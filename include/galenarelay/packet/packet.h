#ifndef GALENARELAY_PACKET_PACKET_H
#define GALENARELAY_PACKET_PACKET_H

#include "galenarelay/common/endpoint.h"
#include "galenarelay/common/error.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenarelay::packet {

/// Hops that a packet may take inside the system; a balancer sets it, each forwarding agent takes
/// one.
inline constexpr std::uint8_t InitialTtl = 8;
/// TCP payload of one packet, in bytes; with the headers it fits an Ethernet frame.
inline constexpr std::size_t MaxPayloadBytes = 1400;

/// Identity of a flow: the caller's endpoint and the service's.
struct FlowKey {
  common::Endpoint Caller;
  common::Endpoint Service;

  // clang-tidy 14 reports the code that the compiler generates for this operator.
  // NOLINTNEXTLINE(readability-identifier-naming,modernize-use-nullptr)
  friend auto operator<=>(const FlowKey &, const FlowKey &) = default;
};

/// Control bits of a TCP header (RFC 9293).
struct Flags {
  bool Syn = false;
  bool Ack = false;
  bool Fin = false;
  bool Rst = false;

  friend auto operator<=>(const Flags &, const Flags &) = default;
};

/// One packet. Towards a service Key.Caller is the source; towards a caller Key.Service is.
struct Packet {
  FlowKey Key;
  bool TowardsCaller = false;
  Flags Bits;
  std::uint8_t Ttl = InitialTtl;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgement = 0;
  std::uint32_t Window = 0; ///< Receive window in units of WindowUnitBytes, at most 65,535.
  std::vector<std::uint8_t> Payload;

  friend bool operator==(const Packet &, const Packet &) = default;
};

/// Bytes per unit of Packet::Window (a fixed window scale of 6, RFC 7323).
inline constexpr std::uint32_t WindowUnitBytes = 64;

/// Header fields that routing needs, read without copying the payload.
struct RouteView {
  FlowKey Key;
  Flags Bits;
  std::uint8_t Ttl = 0;
  std::uint32_t Acknowledgement = 0;
  std::uint32_t Sequence = 0;
};

/// 64-bit hash of a flow key, the same on every machine.
[[nodiscard]] std::uint64_t hash(const FlowKey &Key) noexcept;

/// Writes "10.0.0.9:4000-10.1.0.1:80" (caller-service).
[[nodiscard]] std::string toString(const FlowKey &Key);

/// Parses the form that toString writes. Errors: SettingsBadValue.
[[nodiscard]] common::Result<FlowKey> parseFlowKey(std::string_view Text);

/// Parses an IPv4+TCP packet towards a service. Errors: PacketMalformed.
[[nodiscard]] common::Result<Packet> parseFromCaller(std::span<const std::uint8_t> Bytes);

/// Parses an IPv4+TCP packet towards a caller. Errors: PacketMalformed.
[[nodiscard]] common::Result<Packet> parseFromService(std::span<const std::uint8_t> Bytes);

/// Reads only the header fields of a packet towards a service; empty if malformed.
[[nodiscard]] std::optional<RouteView> readRoute(std::span<const std::uint8_t> Bytes) noexcept;

/// Writes a packet as IPv4+TCP bytes with valid checksums.
[[nodiscard]] std::vector<std::uint8_t> serialize(const Packet &Value);

/// Sets the TTL of a serialized packet in place and keeps its header checksum valid (RFC 1624).
void rewriteTtl(std::span<std::uint8_t> Bytes, std::uint8_t Ttl) noexcept;

/// Packet hash functor for unordered containers.
struct FlowKeyHash {
  [[nodiscard]] std::size_t operator()(const FlowKey &Key) const noexcept { return hash(Key); }
};

} // namespace galenarelay::packet

#endif // GALENARELAY_PACKET_PACKET_H
