#ifndef GALENARELAY_NODE_RELAY_PLATFORM_H
#define GALENARELAY_NODE_RELAY_PLATFORM_H

#include "galenarelay/common/http.h"
#include "galenarelay/relay/packet_head.h"
#include "galenarelay/relay/registration.h"
#include "galenarelay/relay/route_table.h"
#include "galenarelay/relay/store_call.h"

#include <concepts>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace galenarelay::node {

/// Parses and modifies packets in the format that routers, callers and upstreams use.
template <typename T>
concept PacketProtocol = requires(std::span<const std::uint8_t> Packet,
                                  std::span<std::uint8_t> Writable, relay::Side From,
                                  const relay::Transit &Fields, const packet::FlowKey &Key,
                                  std::uint32_t Sequence) {
  { T::decode(Packet, From) } -> std::same_as<std::optional<relay::PacketHeader>>;
  { T::readTransit(Packet) } -> std::same_as<relay::Transit>;
  T::writeTransit(Writable, Fields);
  T::clearReturned(Writable);
  {std::span<const std::uint8_t>(T::reset(Key, Sequence))};
};

/// Parses the HTTP calls of upstreams (heartbeat, departure) and routers (readiness check), and
/// builds the response to an upstream. heartbeatId and departureId return an empty string for any
/// other call.
template <typename T>
concept CallProtocol = requires(const common::HttpRequest &Request, std::string Id,
                                std::string_view Body) {
  { T::asksReadiness(Request) } -> std::same_as<bool>;
  { T::heartbeatId(Request) } -> std::same_as<std::string>;
  { T::departureId(Request) } -> std::same_as<std::string>;
  { T::readHeartbeat(Id, Body) } -> std::same_as<common::Outcome<relay::Heartbeat>>;
  { T::readDeparture(Id, Body) } -> std::same_as<common::Outcome<relay::Departure>>;
  { T::acknowledge() } -> std::same_as<common::HttpResponse>;
};

/// All formats of the environment in which relayed flows run: packets, HTTP calls, the store's
/// protocol, and the configuration.
template <typename T>
concept RelayPlatform = PacketProtocol<typename T::Packets> && CallProtocol<typename T::Calls> &&
    relay::StoreProtocol<typename T::Store> && requires(std::string_view Text) {
  { T::readConfiguration(Text) } -> std::same_as<common::Outcome<relay::Configuration>>;
};

} // namespace galenarelay::node

#endif // GALENARELAY_NODE_RELAY_PLATFORM_H
