#ifndef GALENARELAY_TESTS_SOAK_FLEET_H
#define GALENARELAY_TESTS_SOAK_FLEET_H

#include "callers.h"
#include "store_standin.h"

#include <boost/process/child.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace galenarelay::soak {

struct FleetOptions {
  std::string Programs; ///< Folder with the programs of the product.
  std::string Work;     ///< Folder for settings and logs.
  std::size_t Balancers = 3;
  std::size_t Hosts = 6;
  std::size_t CallerAddresses = 4;
  std::uint64_t Seed = 1;
};

/// A process of the product: its settings, its log, and its present run.
class Program {
public:
  Program(std::string Binary, std::string Settings, std::string Log)
      : Binary(std::move(Binary)), Settings(std::move(Settings)), Log(std::move(Log)) {}

  void start();
  /// Sends a signal to the process; nothing if it doesn't run.
  void signal(int Number);
  [[nodiscard]] bool running();
  /// Exit code of the last run, negative if a signal ended it.
  [[nodiscard]] int exitCode() const { return Run.native_exit_code(); }

  bool Wanted = true; ///< False while the soak keeps it from running.
  bool Paused = false;

private:
  std::string Binary;
  std::string Settings;
  std::string Log;
  boost::process::child Run;
};

/// Store, balancers, agents with their upstreams, routers and callers on addresses of their own
/// within 127/8.
class Fleet {
public:
  Fleet(boost::asio::io_context &Io, FleetOptions Chosen, Ledger &Seen);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  // Configuration, planned work and faults. Numbers are positions in the lists of nodes.

  /// Writes the next configuration; Split sends some photos to the other service.
  void configure(bool Split);
  [[nodiscard]] std::size_t nodes() const noexcept { return Nodes.size(); }
  [[nodiscard]] std::size_t balancers() const noexcept { return Chosen.Balancers; }
  [[nodiscard]] std::size_t hosts() const noexcept { return Hosts.size(); }
  /// SIGTERM, and a start after the process has ended.
  boost::asio::awaitable<void> restart(std::size_t Node);
  boost::asio::awaitable<void> kill(std::size_t Node, common::Duration Down);
  boost::asio::awaitable<void> pause(std::size_t Node, common::Duration Time);
  void reload(std::size_t Node) { Nodes[Node]->signal(SIGHUP); }
  /// Drains an upstream; another one starts at its address a while after its end.
  boost::asio::awaitable<void> replaceHost(std::size_t Host);
  boost::asio::awaitable<void> crashHost(std::size_t Host, common::Duration Down);

  void onTimer(Clock::time_point Now);

  std::unique_ptr<StoreStandin> Store;
  std::unique_ptr<StoreLink> Link;
  Network Links;
  std::unique_ptr<Callers> Users;

private:
  struct Rotation {
    bool Ready = false;
    int Misses = 0;
  };

  [[nodiscard]] common::Endpoint address(std::uint32_t Group, std::size_t Number,
                                         std::uint16_t Port) const;
  /// Service is that of an agent's upstream.
  void writeSettings(std::size_t Node, const std::string &Service) const;
  [[nodiscard]] std::string nameOf(std::size_t Node) const;
  std::optional<common::Endpoint> route(const packet::FlowKey &Key) const;
  boost::asio::awaitable<void> checkReadiness(std::size_t Balancer);
  /// Service of an upstream at first.
  [[nodiscard]] static std::string serviceOf(std::size_t Host);

  boost::asio::io_context &Io;
  FleetOptions Chosen;
  Ledger &Seen;
  std::uint32_t Net = 0; ///< Second octet of all addresses.
  common::Engine Random;
  std::vector<std::unique_ptr<Program>> Nodes; ///< Balancers, then agents.
  std::vector<Rotation> Rotations;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::uint64_t Version = 0;
};

} // namespace galenarelay::soak

#endif // GALENARELAY_TESTS_SOAK_FLEET_H
