#ifndef GALENARELAY_TESTS_RELAY_FIXTURE_H
#define GALENARELAY_TESTS_RELAY_FIXTURE_H

#include "galenarelay/relay/flow_steering.h"
#include "galenarelay/relay/upstream_flows.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace galenarelay::tests {

using namespace std::chrono_literals;

inline constexpr common::TimePoint RelayStart{std::chrono::seconds(100)};
inline constexpr relay::NodeAddress BalancerOne = 0x0a010001;
inline constexpr relay::NodeAddress BalancerTwo = 0x0a010002;
inline constexpr relay::NodeAddress AgentOne = 0x0a020001;
inline constexpr relay::NodeAddress AgentTwo = 0x0a020002;
inline constexpr relay::NodeAddress AgentThree = 0x0a020003;
inline constexpr common::Endpoint DeskAddress{0xc6120001, 443};
inline constexpr common::Endpoint IntakeAddress{0xc6120002, 443};
/// Endpoint of "desk" for requests that are more urgent and must not be repeated.
inline constexpr common::Endpoint OrdersAddress{0xc6120001, 8080};

inline packet::FlowKey relayKey(std::uint16_t Port, common::Endpoint Service = DeskAddress) {
  return {{0x64400007, Port}, Service};
}

/// First packet of a flow; Copy is the number of earlier copies.
inline relay::PacketHeader firstPacket(const packet::FlowKey &Key, std::uint32_t Copy = 0) {
  relay::PacketHeader Head;
  Head.Key = Key;
  Head.Flags.Syn = true;
  Head.Sequence = 1000;
  Head.Acknowledgement = Copy;
  return Head;
}

inline relay::PacketHeader callerData(const packet::FlowKey &Key, std::uint32_t Acknowledgement,
                                      std::uint32_t Sequence = 1000,
                                      std::uint16_t PayloadBytes = 100) {
  relay::PacketHeader Head;
  Head.Key = Key;
  Head.Flags.Ack = true;
  Head.Sequence = Sequence;
  Head.Acknowledgement = Acknowledgement;
  Head.PayloadBytes = PayloadBytes;
  return Head;
}

inline relay::PacketHeader upstreamAccept(const packet::FlowKey &Key, std::uint32_t Sequence) {
  relay::PacketHeader Head;
  Head.Key = Key;
  Head.Flags = {.Syn = true, .Ack = true};
  Head.TowardsCaller = true;
  Head.Sequence = Sequence;
  return Head;
}

inline relay::PacketHeader upstreamData(const packet::FlowKey &Key, std::uint32_t Sequence,
                                        std::uint16_t PayloadBytes = 100) {
  relay::PacketHeader Head;
  Head.Key = Key;
  Head.Flags.Ack = true;
  Head.TowardsCaller = true;
  Head.Sequence = Sequence;
  Head.PayloadBytes = PayloadBytes;
  return Head;
}

/// The packet as the upstream returns it.
inline relay::PacketHeader returned(relay::PacketHeader Head) {
  Head.Returned = true;
  return Head;
}

inline relay::Heartbeat heartbeat(std::uint64_t Sequence, std::uint64_t Incarnation = 10,
                                  bool Draining = false) {
  relay::Heartbeat Message;
  Message.Id = "up-" + std::to_string(Incarnation);
  Message.Service = "desk";
  Message.Zone = "a";
  Message.Slots = 2;
  Message.Draining = Draining;
  Message.Incarnation = Incarnation;
  Message.Sequence = Sequence;
  return Message;
}

inline relay::AgentReport agentReport(std::uint64_t Number, std::uint32_t Unanswered = 0,
                                      std::uint32_t LongFlows = 0) {
  relay::AgentReport Report;
  Report.Id = "agent";
  Report.Zone = "a";
  Report.Incarnation = 1;
  Report.Sequence = Number;
  Report.Service = "desk";
  Report.State = relay::UpstreamState::Ready;
  Report.Slots = 2;
  Report.Load = {Unanswered, LongFlows};
  return Report;
}

/// Routes to two services, "desk" and "intake". Only requests to DeskAddress may be repeated.
inline std::shared_ptr<const relay::RouteTable> relayRoutes(relay::Revision Number = 1,
                                                            common::Duration Deadline = 3s) {
  relay::Configuration Config;
  Config.Number = Number;
  Config.Routes.push_back({"desk", DeskAddress, {{"desk", 1}}, true, Deadline, 200ms, 1});
  Config.Routes.push_back({"orders", OrdersAddress, {{"desk", 1}}, false, Deadline, 200ms, 0});
  Config.Routes.push_back({"intake", IntakeAddress, {{"intake", 1}}, false, Deadline, 200ms, 1});
  return std::make_shared<const relay::RouteTable>(std::move(Config));
}

template <typename Actions, typename Kind>
std::size_t countActions(const Actions &List, Kind Expected) {
  return static_cast<std::size_t>(
      std::count_if(List.begin(), List.end(),
                    [Expected](const auto &Action) { return Action.Operation == Expected; }));
}

} // namespace galenarelay::tests

#endif // GALENARELAY_TESTS_RELAY_FIXTURE_H
