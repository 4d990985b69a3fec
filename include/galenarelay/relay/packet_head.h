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

/// Header of a packet whose flow ends at the upstream: nodes read it and never change it.
struct PacketHead {
  packet::FlowKey Key; ///< The caller's and the service's endpoint, in both directions.
  packet::Flags Bits;
  bool TowardsCaller = false; ///< The service's endpoint is the sender.
  bool Returned = false;      ///< The upstream handed the packet back.
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgement = 0; ///< In a first packet of a flow: how many copies came before.
  std::uint16_t PayloadBytes = 0;

  [[nodiscard]] bool opensFlow() const noexcept { return Bits.Syn && !Bits.Ack; }

  friend bool operator==(const PacketHead &, const PacketHead &) = default;
};

/// Requests that may run or wait at an upstream before new flows wait elsewhere: one that runs for
/// each slot, half as many that wait so that few slots are idle between two, and one on its way
/// from a balancer. More would only wait where no more urgent request can overtake them.
[[nodiscard]] constexpr std::uint32_t usefulRequests(std::uint32_t Slots) noexcept {
  return Slots + (Slots + 1) / 2 + 1;
}

/// What a balancer writes into the free fields of a packet for the agent that receives it.
struct Transit {
  std::uint32_t Balancer = 0;      ///< IPv4 address; the upstream keeps it in a returned packet.
  std::uint16_t ServiceDigest = 0; ///< serviceDigest() of the service that the packet is for.
  bool Search = false;     ///< Sent to several agents: one that doesn't hold the flow drops it.
  bool Insist = false;     ///< Open the flow although the upstream is busy.
  bool Long = false;       ///< The flow is expected to carry many requests.
  bool OthersWait = false; ///< The balancer has further flows that wait for room.

  friend bool operator==(const Transit &, const Transit &) = default;
};

/// Short form of a service's name in Transit; 0 stands for any service.
[[nodiscard]] std::uint16_t serviceDigest(std::string_view Service) noexcept;

/// Direction in which a socket receives packets.
enum class Side : std::uint8_t { Caller, Upstream };

/// True if A comes before B in the sequence space of a flow (RFC 1982).
[[nodiscard]] constexpr bool sequenceBefore(std::uint32_t A, std::uint32_t B) noexcept {
  return static_cast<std::int32_t>(A - B) < 0;
}

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_PACKET_HEAD_H
