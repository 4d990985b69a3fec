#ifndef GALENARELAY_REVIEW_STANDINS_3_HOST_H
#define GALENARELAY_REVIEW_STANDINS_3_HOST_H

#include "record.h"

#include "galenarelay/common/random.h"
#include "galenarelay/common/udp_socket.h"
#include "tests/soak/stream.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace galenarelay::review {

/// A host of the platform beside an agent: accepts flows, runs requests, sends check-ins.
class Host {
public:
  struct Addresses {
    common::Endpoint App;      ///< Its own, for packets.
    common::Endpoint Outbound; ///< The agent's, for its packets.
    common::Endpoint Control;  ///< The agent's, for check-ins.
  };

  Host(boost::asio::io_context &Io, Record &Notes, Addresses Where, std::string Zone,
       std::uint64_t Seed)
      : Io(Io), Notes(Notes), Where(Where), Zone(std::move(Zone)), Random(Seed) {}

  /// A new lifetime, which holds and knows nothing of earlier ones. Its address may have been that
  /// of another service's host.
  void start(std::string NewId, std::string OfService);
  /// Ends without a word.
  void crash();

  [[nodiscard]] bool lives() const noexcept { return Life != 0; }
  void onTimer(Clock::time_point Now);
  /// How long a request takes.
  std::chrono::milliseconds WorkTime{35};

private:
  struct Flow {
    std::uint32_t Start = 0;
    std::uint32_t Acknowledgements = 0; ///< Packets without data that were due.
    std::optional<soak::Stream> Data;
    bool Established = false;
    bool Ended = false;
  };

  void onPacket(std::span<const std::uint8_t> Raw);
  void open(const relay::PacketHeader &Head);
  void send(const packet::FlowKey &Key, const relay::Bytes &Packet);
  void onRequest(const packet::FlowKey &Key, std::string Text);
  boost::asio::awaitable<void> run(packet::FlowKey Key, std::string Text);
  boost::asio::awaitable<void> sendCheckIns();
  [[nodiscard]] std::string checkIn();

  boost::asio::io_context &Io;
  Record &Notes;
  Addresses Where;
  std::string Zone;
  std::string Service;
  common::Engine Random;
  std::unique_ptr<common::UdpSocket> Socket;
  std::string Id;
  std::uint64_t Life = 0; ///< 0 while it doesn't run.
  std::uint64_t Lives = 0;
  std::uint64_t Born = 0;
  std::uint64_t Sequence = 0;
  std::map<packet::FlowKey, Flow> Flows;
  std::uint32_t Running = 0;
  std::deque<std::pair<packet::FlowKey, std::string>> Queue;
};

} // namespace galenarelay::review

#endif // GALENARELAY_REVIEW_STANDINS_3_HOST_H
