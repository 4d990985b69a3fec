#ifndef GALENARELAY_REVIEW_STANDINS_3_CALLERS_H
#define GALENARELAY_REVIEW_STANDINS_3_CALLERS_H

#include "record.h"

#include "galenarelay/common/random.h"
#include "galenarelay/common/udp_socket.h"
#include "tests/soak/stream.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenarelay::review {

/// Callers with their flows, and the routers that hand their packets to balancers.
class Callers {
public:
  enum class Phase { Opening, Open, Closed };
  struct Flow {
    Phase State = Phase::Opening;
    std::uint32_t Start = 0;
    Clock::time_point OpenedAt{};
    std::uint32_t Copies = 0;
    std::uint32_t Acknowledged = 0; ///< The caller's latest.
    std::optional<soak::Stream> Data;
    std::string Pending; ///< The request that isn't answered yet.
    std::uint32_t Answers = 0;
    bool WasOpen = false;
    bool NotRun = false; ///< The host said so of the latest request.
  };
  Callers(boost::asio::io_context &Io, Record &Notes, std::vector<common::Endpoint> Own,
          std::vector<common::Endpoint> Balancers, std::uint64_t Seed);

  /// Opens a flow and sends the request as soon as it is open. The caller's address is chosen by
  /// its number.
  packet::FlowKey open(std::size_t Caller, common::Endpoint Service, std::string Request);
  void close(const packet::FlowKey &Key);
  /// Sends nothing more on a flow.
  void giveUp(const packet::FlowKey &Key) { Flows.at(Key).State = Phase::Closed; }
  [[nodiscard]] const Flow &flow(const packet::FlowKey &Key) const { return Flows.at(Key); }
  void onTimer(Clock::time_point Now);

private:
  void send(const packet::FlowKey &Key, const relay::Bytes &Packet);
  void sendSyn(const packet::FlowKey &Key, const Flow &Entry);
  void onPacket(std::span<const std::uint8_t> Raw);

  Record &Notes;
  std::vector<common::Endpoint> Own;
  std::vector<common::Endpoint> Balancers;
  common::Engine Random;
  std::vector<std::unique_ptr<common::UdpSocket>> Sockets;
  std::map<packet::FlowKey, Flow> Flows;
  std::uint16_t NextPort = 20'000;
};

} // namespace galenarelay::review

#endif // GALENARELAY_REVIEW_STANDINS_3_CALLERS_H
