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

/// A small deployment on loopback addresses: the store, balancers, agents with their hosts, and
/// callers.
class Fleet {
public:
  struct Sizes {
    std::size_t Balancers = 3;
    std::size_t Hosts = 3; ///< The last one is of the service "intake".
  };

  Fleet(boost::asio::io_context &Io, Record &Notes, std::string Programs, std::string Work,
        Sizes Wanted);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// Starts the processes and the hosts; completes when all balancers are ready. False if they
  /// aren't within ten seconds.
  boost::asio::awaitable<bool> start();
  [[nodiscard]] boost::asio::io_context &context() noexcept { return Io; }
  [[nodiscard]] Host &host(std::size_t Number) { return *Hosts.at(Number); }
  [[nodiscard]] Callers &callers() { return *Users; }
  /// The service endpoint of orders, which the service "desk" runs.
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
