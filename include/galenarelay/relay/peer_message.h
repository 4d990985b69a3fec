#ifndef GALENARELAY_RELAY_PEER_MESSAGE_H
#define GALENARELAY_RELAY_PEER_MESSAGE_H

#include "galenarelay/common/error.h"
#include "galenarelay/common/time.h"
#include "galenarelay/relay/evacuations.h"
#include "galenarelay/relay/packet_head.h"
#include "galenarelay/relay/policy/upstream_damping.h"
#include "galenarelay/relay/route_table.h"
#include "galenarelay/relay/store_era.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace galenarelay::relay {

/// IPv4 address of a node in host byte order. The ports are the same on all nodes.
using NodeAddress = std::uint32_t;

/// Whether an agent's upstream accepts new flows, as far as the agent knows.
enum class UpstreamState : std::uint8_t {
  Unknown, ///< The agent has just started and has received no heartbeat.
  Ready,
  Draining,
  Silent,   ///< No recent heartbeat, or SYNs stay unanswered.
  Stopping, ///< The agent is about to stop; its upstream may continue to run.
  Ended     ///< The upstream has ended, and so have its flows.
};

/// Unit of UpstreamLoad::AnswerTime.
inline constexpr common::Duration AnswerTimeUnit = std::chrono::microseconds(100);

/// Load of an upstream, as its agent derives it from the packets.
struct UpstreamLoad {
  /// Requests that the upstream has not begun to answer, and new flows whose first request has not
  /// arrived yet.
  std::uint32_t Unanswered = 0;
  std::uint32_t LongFlows = 0; ///< Open flows that carry, or are expected to carry, many requests.
  std::uint32_t Capacity = 0;  ///< Requests that the upstream takes well; 0 for its declared slots.
  /// Time to answer one request while slots are free, in units of AnswerTimeUnit; 0 if unknown.
  std::uint32_t AnswerTime = 0;

  friend bool operator==(const UpstreamLoad &, const UpstreamLoad &) = default;
};

/// Sent by an agent to balancers: its own and its upstream's state.
struct AgentReport {
  std::string Id;
  std::string Zone;
  std::uint64_t Incarnation = 0; ///< Start time of the agent in Unix milliseconds.
  std::uint64_t Sequence = 0;    ///< Increases with each report.
  std::string Service;
  UpstreamState State = UpstreamState::Unknown;
  std::uint64_t UpstreamIncarnation = 0;
  std::uint32_t Slots = 0;
  UpstreamLoad Load;
  common::Duration ColdFor{};   ///< How much longer the upstream is slow after its start.
  policy::DampingState Damping; ///< For the upstream's faults; not encoded without a penalty.

  friend bool operator==(const AgentReport &, const AgentReport &) = default;
};

/// Sent by a balancer to other balancers and agents: its own state and the nodes that it knows.
struct BalancerBeacon {
  std::string Id;
  std::string Zone;
  std::uint64_t Incarnation = 0;
  Revision ConfigurationRevision = 0; ///< Revision of its configuration; 0 if it has none.
  bool Leaving = false;
  std::vector<NodeAddress> Balancers; ///< Live balancers known to the sender, without the sender.
  std::vector<NodeAddress> Agents; ///< Live agents known to the sender; empty in beacons to agents.
  StoreEra Era = 0;                ///< The newest era of the store that the sender has heard of.
  /// As the sender knows them; in a beacon to an agent whose zone is known, only that zone.
  Evacuations EvacuatedZones;
  /// False if the sender knows more zones than a beacon carries, and names none of them.
  bool EvacuationsComplete = true;
  /// In a beacon to an agent: openings per second that its upstream bears while it is cold, by the
  /// sender's configuration; 0 if that isn't stated. Empty for an agent whose service is unknown.
  std::optional<double> ColdRate;
  /// In a beacon to a balancer: all that the store held this long before is known to the sender.
  /// Empty if that is too long ago to be of use, or not known.
  std::optional<std::chrono::milliseconds> StoreReadAge;

  friend bool operator==(const BalancerBeacon &, const BalancerBeacon &) = default;
};

/// Sent by an agent to the balancer that forwarded a packet: the agent's upstream holds the flow.
struct FlowNotice {
  packet::FlowKey Key;
  UpstreamLoad Load;

  friend bool operator==(const FlowNotice &, const FlowNotice &) = default;
};

/// Why an agent returns a packet.
enum class ReturnReason : std::uint8_t {
  Busy,         ///< All slots of the upstream are in use; another one may be faster.
  Full,         ///< The upstream has as many requests as requestLimit() allows.
  Refused,      ///< The upstream returned the SYN, or the agent's flow table is full.
  Leaving,      ///< The upstream is draining or has ended, or the agent is about to stop.
  Unanswered,   ///< The upstream did not answer the SYN in time.
  WrongService, ///< The upstream belongs to another service.
  NotHeld,      ///< The upstream has no such flow.
  Spared        ///< The upstream is spared for its faults; see policy::Standing.
};

/// Sent by an agent to a balancer: a packet that the balancer forwards to another agent.
struct ReturnedPacket {
  ReturnReason Reason = ReturnReason::NotHeld;
  UpstreamLoad Load;
  Bytes Packet;

  friend bool operator==(const ReturnedPacket &, const ReturnedPacket &) = default;
};

/// Sent by a balancer to an agent to ask which of these flows the agent's upstream holds.
struct FlowQuery {
  /// A flow with the caller's last acknowledgement number. The number tells which upstream the
  /// caller continued with if several have accepted the SYN.
  struct Row {
    packet::FlowKey Key;
    std::uint32_t Acknowledgement = 0;

    friend bool operator==(const Row &, const Row &) = default;
  };
  std::uint64_t Id = 0;
  std::vector<Row> Rows;

  friend bool operator==(const FlowQuery &, const FlowQuery &) = default;
};

/// Answer to a FlowQuery. The upstream doesn't hold the flows that are in neither list.
struct FlowAnswer {
  std::uint64_t Id = 0;
  std::vector<std::uint8_t> Held;   ///< Indexes of rows whose flows the upstream holds.
  std::vector<std::uint8_t> Unsure; ///< Indexes of rows that only the upstream can decide.

  friend bool operator==(const FlowAnswer &, const FlowAnswer &) = default;
};

/// Sent by an agent in answer to a searching packet: its upstream doesn't hold the flow.
struct FlowAbsence {
  packet::FlowKey Key;

  friend bool operator==(const FlowAbsence &, const FlowAbsence &) = default;
};

/// Sent by a balancer to ask an agent for the load of its upstream.
struct LoadQuery {
  /// Send time of a repeated query in milliseconds of the balancer's clock modulo 2^16. A first
  /// query has 0, which isn't encoded, so that the message is shorter.
  std::uint16_t Stamp = 0;

  friend bool operator==(const LoadQuery &, const LoadQuery &) = default;
};

/// Answer to a LoadQuery.
struct LoadAnswer {
  UpstreamState State = UpstreamState::Unknown;
  UpstreamLoad Load;
  std::uint16_t Stamp = 0; ///< Stamp of the query.

  friend bool operator==(const LoadAnswer &, const LoadAnswer &) = default;
};

/// Sent by a balancer to another one to ask whether these agents answer it.
struct LossQuery {
  std::vector<NodeAddress> Agents;

  friend bool operator==(const LossQuery &, const LossQuery &) = default;
};

/// Answer to a LossQuery: the queried agents that don't answer the replying balancer either.
struct LossAnswer {
  std::vector<NodeAddress> Silent;

  friend bool operator==(const LossAnswer &, const LossAnswer &) = default;
};

/// Sent by a balancer to another one to ask which agents may hold flows.
struct HolderQuery {
  std::uint64_t Id = 0;
  std::uint64_t Digest = 0; ///< UpstreamDirectory::holderDigest() of the sender.

  friend bool operator==(const HolderQuery &, const HolderQuery &) = default;
};

/// An agent that may hold flows, with the version of its last report to the sender.
struct KnownAgent {
  NodeAddress Address = 0;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;

  friend bool operator==(const KnownAgent &, const KnownAgent &) = default;
};

/// Answer to a HolderQuery, in one or more parts. A balancer with the same digest sends one part
/// without agents.
struct HolderAnswer {
  std::uint64_t Id = 0; ///< Of the query.
  bool Settled = false; ///< The sender has had the time to hear of all agents.
  std::uint16_t Part = 0;
  std::uint16_t Parts = 1;
  std::vector<KnownAgent> Agents;

  friend bool operator==(const HolderAnswer &, const HolderAnswer &) = default;
};

/// Earlier tries of a caller's request. Balancers send each other's refusals and questions to the
/// balancer that keeps those of the caller's address.
struct CallerTries {
  enum class Purpose : std::uint8_t {
    Refused, ///< The flow was refused; Count includes it.
    Query,   ///< The flow waits: which tries were before it?
    Answer   ///< The answer to a query, if there were any.
  };

  Purpose Use = Purpose::Refused;
  packet::FlowKey Key;
  std::uint32_t Count = 0;
  /// Time since the first SYN of the first known try; for a Query, since the flow's first SYN.
  std::chrono::milliseconds Age{};

  friend bool operator==(const CallerTries &, const CallerTries &) = default;
};

using PeerMessage = std::variant<AgentReport, BalancerBeacon, FlowNotice, ReturnedPacket,
                                 FlowAbsence, FlowQuery, FlowAnswer, LoadQuery, LoadAnswer,
                                 LossQuery, LossAnswer, HolderQuery, HolderAnswer, CallerTries>;

/// Maximum number of flows in a FlowQuery, so that it fits into one Ethernet frame.
inline constexpr std::size_t MaxQueriedFlows = 40;
/// Maximum number of balancers and of agents in a beacon, so that it fits into one Ethernet frame.
inline constexpr std::size_t MaxBeaconAddresses = 100;
/// Maximum number of agents in a LossQuery, so that it fits into one Ethernet frame.
inline constexpr std::size_t MaxSuspectedAgents = 100;
/// Maximum number of agents in a part of a HolderAnswer, so that it fits into one Ethernet frame.
inline constexpr std::size_t MaxNamedHolders = 60;

/// Maximum size of a datagram. The longest messages are those with the longest lists. Decoding
/// recurses for each nested value, so that this bounds its stack as well.
inline constexpr std::size_t MaxMessageBytes = 4096;

[[nodiscard]] std::string_view name(UpstreamState State) noexcept;
[[nodiscard]] std::string_view name(ReturnReason Reason) noexcept;

/// Encodes a message as a CBOR datagram.
[[nodiscard]] Bytes encode(const PeerMessage &Message);

/// Decodes a datagram. Errors: MessageTooLong; MessageMalformed, also if a list has more entries
/// than the bounds above.
[[nodiscard]] common::Outcome<PeerMessage> decodeMessage(std::span<const std::uint8_t> Datagram);

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_PEER_MESSAGE_H
