#ifndef GALENARELAY_REVIEW_STANDINS_3_FLEET_H
#define GALENARELAY_REVIEW_STANDINS_3_FLEET_H

#include "callers.h"
#include "host.h"
#include "process.h"
#include "record.h"
#include "tests/soak/store_standin.h"

#include <memory>
#include <string>
#include <vector>

namespace galenarelay::review {

/// Interval of check-ins, as on the site sunbox-relay.
inline constexpr std::chrono::milliseconds CheckInInterval{1200};
/// The rules call a machine stable after this time without an impairment (stableWindowMs).
inline constexpr std::chrono::milliseconds StableWindow{4000};
/// Time after which the platform starts a process again that has ended.
inline constexpr std::chrono::milliseconds RestartDelay{150};

/// A small deployment on loopback addresses: the store, balancers, agents with their hosts, and
/// callers.
class Fleet {
public:
  struct Sizes {
    std::size_t Balancers = 3;
    std::size_t Hosts = 4;
  };

  Fleet(boost::asio::io_context &Io, Record &Notes, std::string Programs, std::string Work,
        Sizes Wanted);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// Starts the processes and the hosts; completes when all balancers are ready. False if they
  /// aren't within ten seconds.
  boost::asio::awaitable<bool> start();
  /// SIGTERM, and a new start once the process has ended; SIGKILL after graceS.
  boost::asio::awaitable<void> restartAgent(std::size_t Number);

  [[nodiscard]] boost::asio::io_context &context() noexcept { return Io; }
  [[nodiscard]] std::size_t hosts() const noexcept { return Hosts.size(); }
  [[nodiscard]] Host &host(std::size_t Number) { return *Hosts.at(Number); }
  [[nodiscard]] Process &agent(std::size_t Number) { return *Agents.at(Number); }
  [[nodiscard]] Callers &callers() { return *Users; }
  /// A service endpoint whose flows go to the first service.
  [[nodiscard]] common::Endpoint feedRoute() const;
  [[nodiscard]] common::Endpoint orderRoute() const;
  /// Whether a program ended by itself.
  [[nodiscard]] bool programEnded();

private:
  [[nodiscard]] common::Endpoint address(std::uint32_t Group, std::size_t Number,
                                         std::uint16_t Port) const;
  [[nodiscard]] std::string settingsOf(bool IsBalancer, std::size_t Number) const;
  [[nodiscard]] std::string configuration() const;

  boost::asio::io_context &Io;
  Record &Notes;
  std::uint32_t Net = 0;
  std::unique_ptr<soak::StoreStandin> Store;
  std::vector<std::unique_ptr<Process>> Balancers;
  std::vector<std::unique_ptr<Process>> Agents;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::unique_ptr<Callers> Users;
};

} // namespace galenarelay::review

#endif // GALENARELAY_REVIEW_STANDINS_3_FLEET_H
