#ifndef GALENARELAY_TESTS_SOAK_HOST_H
#define GALENARELAY_TESTS_SOAK_HOST_H

#include "ledger.h"
#include "network.h"

#include "galenarelay/common/udp_socket.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <string>

namespace galenarelay::soak {

/// A request as callers send it to upstreams; the body is a pattern that depends on the attempt.
struct Request {
  std::uint64_t Id = 0;
  std::uint64_t Attempt = 0; ///< Of all requests; each try has its own.
  Kind What = Kind::Feed;

  [[nodiscard]] std::string encode(std::size_t Bytes) const;
  /// Empty if the text isn't whole.
  [[nodiscard]] static std::optional<Request> decode(const std::string &Text);
};

/// An upstream's answer.
struct Reply {
  std::uint64_t Attempt = 0;
  bool NotRun = false;

  [[nodiscard]] std::string encode(std::size_t Bytes) const;
  [[nodiscard]] static std::optional<Reply> decode(const std::string &Text);
};

/// An upstream of the platform beside an agent: accepts flows, works on requests, sends heartbeats.
class Host {
public:
  struct Addresses {
    common::Endpoint App;      ///< Its own, for packets.
    common::Endpoint Outbound; ///< The agent's, for its packets.
    common::Endpoint Control;  ///< The agent's, for heartbeats.
  };

  Host(boost::asio::io_context &Io, std::string Name, std::string Zone, Addresses Where,
       Ledger &Seen, Network &Links, std::uint64_t Seed);

  /// A new life with another ID, which knows nothing of earlier flows.
  void start(const std::string &Service);
  /// Ends without a word.
  void crash();
  [[nodiscard]] std::uint32_t machine() const noexcept { return Where.App.Address; }
  /// Takes no new work once its agent has acknowledged, then says that it ends, and ends.
  void drain() { Draining = true; }

  [[nodiscard]] bool lives() const noexcept { return Life != 0; }
  [[nodiscard]] bool draining() const noexcept { return Draining; }
  [[nodiscard]] const std::string &id() const noexcept { return Id; }
  [[nodiscard]] const std::string &service() const noexcept { return Service; }
  [[nodiscard]] bool holds(const packet::FlowKey &Key) const;
  void onTimer(Clock::time_point Now);

private:
  struct Flow {
    std::uint32_t Start = 0;
    std::optional<Stream> Data;
    bool Established = false; ///< The caller has acknowledged this upstream's first number.
    bool Ending = false;      ///< This end has sent its end.
    bool Ended = false;       ///< Both ends have.
  };
  struct Work {
    packet::FlowKey Flow;
    Request Asked;
  };

  void onPacket(std::span<const std::uint8_t> Raw);
  void open(const relay::PacketHeader &Head);
  void onRequest(const packet::FlowKey &Key, const std::string &Text);
  boost::asio::awaitable<void> run(Work Next);
  void answer(const packet::FlowKey &Key, const Reply &Made);
  boost::asio::awaitable<void> sendHeartbeats();
  /// Milliseconds for which this life is slow.
  [[nodiscard]] std::int64_t remainingCold() const;
  /// Sends one; true if the agent acknowledged it.
  boost::asio::awaitable<bool> sendHeartbeat(std::uint64_t Sequence);

  boost::asio::io_context &Io;
  std::string Name;
  std::string Zone;
  Addresses Where;
  Ledger &Seen;
  Network &Links;
  common::Engine Random;
  std::unique_ptr<common::UdpSocket> Socket;
  std::string Id;
  std::string Service;
  std::uint64_t Life = 0; ///< 0 while it doesn't run.
  std::uint64_t Lives = 0;
  std::uint64_t Born = 0;
  bool Draining = false;
  bool TakesWork = true;
  std::map<packet::FlowKey, Flow> Flows;
  std::uint32_t Running = 0;
  std::deque<Work> Queue;
};

} // namespace galenarelay::soak

#endif // GALENARELAY_TESTS_SOAK_HOST_H
