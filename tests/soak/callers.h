#ifndef GALENARELAY_TESTS_SOAK_CALLERS_H
#define GALENARELAY_TESTS_SOAK_CALLERS_H

#include "host.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace galenarelay::soak {

/// Service endpoints of the kinds of request.
inline constexpr std::array<common::Endpoint, Kinds> KindEndpoints{
    common::Endpoint{0xc6120001, 8443}, common::Endpoint{0xc6120001, 8080},
    common::Endpoint{0xc6120002, 8443}};

/// Callers that keep flows for feeds and open one for each other request, and the routers that pick
/// a balancer for each of their packets.
class Callers {
public:
  /// Balancer for a flow at this moment; empty without one.
  using Router = std::function<std::optional<common::Endpoint>(const packet::FlowKey &)>;
  /// The living upstream that holds a flow; null without one.
  using Finder = std::function<const Host *(const packet::FlowKey &)>;

  Callers(boost::asio::io_context &Io, std::vector<common::Endpoint> Addresses, Router Route,
          Finder Find, Ledger &Seen, Network &Links, std::uint64_t Seed);

  /// Begins a request of a random caller.
  void ask(Kind What);
  void onTimer(Clock::time_point Now);
  [[nodiscard]] std::size_t pending() const noexcept;

private:
  struct Asked {
    std::uint64_t Id = 0;
    Kind What = Kind::Feed;
    Clock::time_point Deadline;
    int TriesLeft = 0;
    std::uint64_t Attempt = 0;
  };
  struct Flow {
    packet::FlowKey Key;
    std::uint32_t Start = 0;
    int Copies = 0;             ///< First packets sent.
    Clock::time_point OpenedAt; ///< Of the first one.
    std::optional<Stream> Data; ///< Once it is open.
    std::optional<Asked> Current;
    bool Ending = false;
    bool Kept = false; ///< In use until its upstream ends it.
    Clock::time_point UsedAt;
  };

  void onPacket(std::size_t Caller, std::span<const std::uint8_t> Raw, common::Endpoint From);
  void onReply(Flow &Held, const std::string &Text);
  /// Sender is the address of the node that made the reset; empty if an upstream did.
  void onReset(const packet::FlowKey &Key, std::optional<std::uint32_t> Sender);
  void attempt(Asked Next);
  /// A flow for another feed; null if a new one is to be opened.
  Flow *idleFlow(common::Endpoint Caller, common::Endpoint Service);
  void sendFirst(Flow &Held);
  void sendRequest(Flow &Held);
  /// The attempt on a flow has ended without an answer; tries again where that does no harm.
  void onLost(Asked Failed, bool MayHaveRun);
  void send(const packet::FlowKey &Key, relay::Bytes Packet);

  boost::asio::io_context &Io;
  std::vector<common::Endpoint> Addresses;
  Router Route;
  Finder Find;
  Ledger &Seen;
  Network &Links;
  common::Engine Random;
  std::vector<std::unique_ptr<common::UdpSocket>> Sockets;
  std::map<packet::FlowKey, Flow> Flows;
  std::uint64_t NextRequest = 1;
  std::uint64_t NextAttempt = 1;
  std::uint16_t NextPort = 1024;
};

} // namespace galenarelay::soak

#endif // GALENARELAY_TESTS_SOAK_CALLERS_H
