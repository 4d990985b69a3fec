#ifndef GALENARELAY_RELAY_PACKET_HEAD_H
#define GALENARELAY_RELAY_PACKET_HEAD_H

#include "galenarelay/packet/packet.h"

#include <compare>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace galenarelay::relay {

using Bytes = std::vector<std::uint8_t>;

/// Header of a packet between a caller and an upstream. The upstream is the endpoint of the flow,
/// so nodes read the header and never change it.
struct PacketHeader {
  packet::FlowKey Key; ///< The caller's and the service's endpoint; the same in both directions.
  packet::Flags Flags;
  bool TowardsCaller = false; ///< The packet was sent from the service's endpoint.
  bool Returned = false;      ///< The upstream returned the packet.
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgement = 0; ///< In a SYN: number of its earlier transmissions.
  std::uint16_t PayloadBytes = 0;

  [[nodiscard]] bool opensFlow() const noexcept { return Flags.Syn && !Flags.Ack; }

  friend bool operator==(const PacketHeader &, const PacketHeader &) = default;
};

/// Maximum number of requests at an upstream; further new flows wait at balancers or go to other
/// upstreams. For each slot one request runs. Half as many wait, so that few slots are idle between
/// two requests, and one more is on its way from a balancer. Any more would only wait in a queue in
/// which more urgent requests can't overtake them.
[[nodiscard]] constexpr std::uint32_t requestLimit(std::uint32_t Slots) noexcept {
  return Slots + (Slots + 1) / 2 + 1;
}

/// Data that a balancer writes into unused header fields of a packet for the receiving agent.
struct Transit {
  std::uint32_t Balancer = 0;      ///< IPv4 address; kept in a packet that the upstream returns.
  std::uint16_t ServiceDigest = 0; ///< In a SYN: serviceDigest() of the target service.
  bool Search = false;     ///< Sent to several agents; those without the flow answer FlowAbsence.
  bool Insist = false;     ///< Open the flow even if all slots of the upstream are in use.
  bool Long = false;       ///< The flow is expected to carry many requests.
  bool OthersWait = false; ///< The balancer has more flows that wait for room.

  friend bool operator==(const Transit &, const Transit &) = default;
};

/// 16-bit hash of a service name for Transit; never 0 for a name, and 0 for an empty one. Packets
/// that open no flow have 0.
[[nodiscard]] std::uint16_t serviceDigest(std::string_view Service) noexcept;

/// Side from which a socket receives packets.
enum class Side : std::uint8_t { Caller, Upstream };

/// True if A precedes B in serial number arithmetic (RFC 1982).
[[nodiscard]] constexpr bool sequenceBefore(std::uint32_t A, std::uint32_t B) noexcept {
  return static_cast<std::int32_t>(A - B) < 0;
}

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_PACKET_HEAD_H
