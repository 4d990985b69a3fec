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
  /// How many of these don't run at first; join() starts them.
  std::size_t LateBalancers = 0;
  std::size_t LateHosts = 0;
  std::size_t CallerAddresses = 4;
  std::uint64_t Seed = 1;
  /// Whether the first hosts are in a zone of their own, EvacuatedZone.
  bool TwoZones = false;
};

inline constexpr const char *EvacuatedZone = "b";
/// Hosts in EvacuatedZone: one in three of the least number, of each service.
inline constexpr std::size_t HostsInEvacuatedZone = 3;

/// A process of the product: its settings, its log, and its present run.
class Program {
public:
  Program(std::string Binary, std::string Settings, std::string Log)
      : Binary(std::move(Binary)), Settings(std::move(Settings)), Log(std::move(Log)) {}

  void start();
  /// Sends a signal to the process; nothing if it doesn't run.
  void signal(int Number);
  [[nodiscard]] bool running();
  /// True once the process has logged its start; until then a signal may end it.
  [[nodiscard]] bool started() const;
  /// Exit code of the last run, negative if a signal ended it.
  [[nodiscard]] int exitCode() const { return Run.native_exit_code(); }

  bool Wanted = false; ///< False while the soak keeps it from running.
  bool Paused = false;

private:
  std::string Binary;
  std::string Settings;
  std::string Log;    ///< Each run appends its number.
  std::string RunLog; ///< Of the last run.
  int Runs = 0;
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
  /// The operator evacuates EvacuatedZone, or takes it back.
  void evacuate(bool Wanted);
  /// The operator writes the newest configuration and request again, after a restore of the store.
  void writeAgain();
  [[nodiscard]] std::size_t nodes() const noexcept { return Nodes.size(); }
  [[nodiscard]] std::size_t balancers() const noexcept { return Chosen.Balancers; }
  [[nodiscard]] std::size_t hosts() const noexcept { return Hosts.size(); }
  /// Starts the next late balancer for the first time; false if there is none.
  bool joinBalancer();
  /// The same for an upstream with its agent.
  bool joinHost();
  /// SIGTERM, and a start after the process has ended.
  boost::asio::awaitable<void> restart(std::size_t Node);
  boost::asio::awaitable<void> kill(std::size_t Node, common::Duration Down);
  boost::asio::awaitable<void> pause(std::size_t Node, common::Duration Time);
  void reload(std::size_t Node);
  /// Drains an upstream; another one starts at its address a while after its end.
  boost::asio::awaitable<void> replaceHost(std::size_t Host);
  boost::asio::awaitable<void> crashHost(std::size_t Host, common::Duration Down);

  /// Names what is missing, empty if nothing: the record of a running node in the store, or the
  /// newest configuration on a running balancer.
  boost::asio::awaitable<std::string> missingState();

  void onTimer(Clock::time_point Now);

  std::unique_ptr<StoreStandin> Store;
  std::unique_ptr<StoreLink> Link;
  Network Links;
  std::unique_ptr<Callers> Users;

private:
  struct Rotation {
    bool Known = false; ///< To the routers, from its first start on.
    bool Ready = false;
    int Misses = 0;
  };

  void writeConfiguration();
  void writeEvacuation();
  [[nodiscard]] std::string zoneOf(std::size_t Node) const;
  void startBalancer(std::size_t Number);
  void startHost(std::size_t Number);
  [[nodiscard]] std::uint32_t machine(std::size_t Node) const;
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
  std::size_t Joined = 0;      ///< Balancers that have started.
  std::size_t JoinedHosts = 0; ///< The same of upstreams.
  std::uint64_t Version = 0;
  std::string Configuration; ///< The newest one, as the operator writes it.
  bool EvacuationWanted = false;
};

} // namespace galenarelay::soak

#endif // GALENARELAY_TESTS_SOAK_FLEET_H
