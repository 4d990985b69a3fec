#ifndef GALENARELAY_RELAY_PEER_MESSAGE_H
#define GALENARELAY_RELAY_PEER_MESSAGE_H

#include "galenarelay/common/error.h"
#include "galenarelay/relay/packet_head.h"
#include "galenarelay/relay/route_table.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace galenarelay::relay {

/// IPv4 address of a node in host byte order. The ports are the same on all nodes.
using NodeAddress = std::uint32_t;

/// What an agent knows of its upstream's readiness for new flows.
enum class UpstreamState : std::uint8_t {
  Unknown, ///< The agent has just started and has heard no heartbeat.
  Ready,
  Draining,
  Silent,   ///< No recent heartbeat, or no answer to packets.
  Stopping, ///< The agent itself is about to stop; its upstream may live on.
  Ended     ///< The upstream has ended, and its flows with it.
};

/// Work at an upstream as its agent sees it in the packets.
struct UpstreamLoad {
  /// Requests that the upstream has not begun to answer, and flows that opened for one.
  std::uint32_t Unanswered = 0;
  std::uint32_t LongFlows = 0; ///< Open flows that carry, or are expected to, many requests.

  friend bool operator==(const UpstreamLoad &, const UpstreamLoad &) = default;
};

/// An agent describes itself and its upstream to balancers.
struct AgentReport {
  std::string Id;
  std::string Zone;
  std::uint64_t Incarnation = 0; ///< Start of the agent, Unix milliseconds.
  std::uint64_t Number = 0;      ///< Rises with each report.
  std::string Service;
  UpstreamState State = UpstreamState::Unknown;
  std::uint64_t UpstreamIncarnation = 0;
  std::uint32_t Slots = 0;
  UpstreamLoad Load;
  common::Duration ColdFor{}; ///< How long the upstream stays slow.

  friend bool operator==(const AgentReport &, const AgentReport &) = default;
};

/// A balancer describes itself to balancers and agents.
struct BalancerBeacon {
  std::string Id;
  std::string Zone;
  std::uint64_t Incarnation = 0;
  Revision Held = 0; ///< Revision of its configuration; 0 without one.
  bool Leaving = false;
  std::vector<NodeAddress> Balancers; ///< Live ones that it knows, without itself.
  std::vector<NodeAddress> Agents;    ///< Live ones that it knows; empty towards agents.

  friend bool operator==(const BalancerBeacon &, const BalancerBeacon &) = default;
};

/// An agent tells the balancer that sent a packet that the flow is at its upstream.
struct FlowNotice {
  packet::FlowKey Key;
  UpstreamLoad Load;

  friend bool operator==(const FlowNotice &, const FlowNotice &) = default;
};

/// Why an agent gives a packet back.
enum class ReturnReason : std::uint8_t {
  Busy,         ///< All slots of the upstream are taken; another one may start earlier.
  Full,         ///< As many requests wait at the upstream as are useful.
  Refused,      ///< The upstream handed the first packet back.
  Leaving,      ///< The upstream drains or ended, or the agent stops.
  Unanswered,   ///< The upstream did not answer the first packet in time.
  WrongService, ///< The upstream belongs to another service.
  NotHeld       ///< The upstream has no such flow.
};

/// An agent gives a packet back to the balancer, which sends it elsewhere.
struct ReturnedPacket {
  ReturnReason Reason = ReturnReason::NotHeld;
  UpstreamLoad Load;
  Bytes Packet;

  friend bool operator==(const ReturnedPacket &, const ReturnedPacket &) = default;
};

/// A balancer asks which of these flows the agent's upstream holds.
struct FlowQuery {
  /// The caller's last acknowledgement number tells upstreams apart that accepted one first packet.
  struct Row {
    packet::FlowKey Key;
    std::uint32_t Acknowledgement = 0;

    friend bool operator==(const Row &, const Row &) = default;
  };
  std::uint64_t Number = 0;
  std::vector<Row> Rows;

  friend bool operator==(const FlowQuery &, const FlowQuery &) = default;
};

/// Answer to a FlowQuery. The flows that it doesn't name aren't there.
struct FlowAnswer {
  std::uint64_t Number = 0;
  std::vector<std::uint8_t> Held;   ///< Positions in the query.
  std::vector<std::uint8_t> Unsure; ///< Those of which only the upstream can tell.

  friend bool operator==(const FlowAnswer &, const FlowAnswer &) = default;
};

/// An agent answers a search: its upstream doesn't hold the flow.
struct FlowAbsence {
  packet::FlowKey Key;

  friend bool operator==(const FlowAbsence &, const FlowAbsence &) = default;
};

/// A balancer asks an agent for its load.
struct LoadQuery {
  /// Time at which a repeated question left, in milliseconds of the balancer's clock modulo 2^16;
  /// 0 in a first one, which is shorter without it.
  std::uint16_t Stamp = 0;

  friend bool operator==(const LoadQuery &, const LoadQuery &) = default;
};

/// Answer to a LoadQuery.
struct LoadAnswer {
  UpstreamState State = UpstreamState::Unknown;
  UpstreamLoad Load;
  std::uint16_t Stamp = 0; ///< Of the question.

  friend bool operator==(const LoadAnswer &, const LoadAnswer &) = default;
};

/// A balancer asks another one whether these agents answer it.
struct LossQuery {
  std::vector<NodeAddress> Agents;

  friend bool operator==(const LossQuery &, const LossQuery &) = default;
};

/// Answer to a LossQuery: those of the agents that are silent towards the sender as well.
struct LossAnswer {
  std::vector<NodeAddress> Silent;

  friend bool operator==(const LossAnswer &, const LossAnswer &) = default;
};

using PeerMessage =
    std::variant<AgentReport, BalancerBeacon, FlowNotice, ReturnedPacket, FlowAbsence, FlowQuery,
                 FlowAnswer, LoadQuery, LoadAnswer, LossQuery, LossAnswer>;

/// Flows in one FlowQuery: it stays below an Ethernet frame.
inline constexpr std::size_t MaxQueriedFlows = 40;
/// Addresses of one kind in a beacon, for the same reason.
inline constexpr std::size_t MaxBeaconAddresses = 100;
/// Agents in one LossQuery, for the same reason.
inline constexpr std::size_t MaxDoubtedAgents = 100;

[[nodiscard]] std::string_view name(UpstreamState State) noexcept;
[[nodiscard]] std::string_view name(ReturnReason Reason) noexcept;

/// Writes a message as a CBOR datagram.
[[nodiscard]] Bytes encode(const PeerMessage &Message);

/// Reads a datagram; one with more entries than the bounds above is malformed. Errors:
/// MessageMalformed.
[[nodiscard]] common::Outcome<PeerMessage> decodeMessage(std::span<const std::uint8_t> Datagram);

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_PEER_MESSAGE_H
