#ifndef GALENARELAY_REVIEW_STANDINS_2_PARTS_H
#define GALENARELAY_REVIEW_STANDINS_2_PARTS_H

#include "galenarelay/common/http.h"
#include "galenarelay/common/random.h"
#include "galenarelay/common/udp_socket.h"
#include "tests/soak/store_standin.h"
#include "tests/soak/stream.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

namespace galenarelay::review {

using soak::Clock;

/// Bounds and figures of the site sunbox-relay, as its page states them.
inline constexpr auto StableWindow = std::chrono::milliseconds(4000);
inline constexpr auto ConfigApply = std::chrono::milliseconds(3000);
inline constexpr auto ReuseAfter = std::chrono::milliseconds(2000);
inline constexpr auto Heartbeat = std::chrono::milliseconds(1200);
inline constexpr auto HeartbeatTimeout = std::chrono::milliseconds(1000);
inline constexpr auto WorkTime = std::chrono::milliseconds(44);

/// What was sent, answered and run, with the time since the start in milliseconds.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path), StartedAt(Clock::now()) {}

  void write(const std::string &Line);
  [[nodiscard]] std::int64_t now() const;

private:
  std::ofstream File;
  Clock::time_point StartedAt;
};

/// A process of the product.
class Program {
public:
  Program(std::string Binary, std::string Settings, std::string Log)
      : Binary(std::move(Binary)), Settings(std::move(Settings)), Log(std::move(Log)) {}
  ~Program();
  Program(const Program &) = delete;
  Program &operator=(const Program &) = delete;

  void start();
  void signal(int Number) const;
  /// False once the process has ended.
  [[nodiscard]] bool running();

private:
  std::string Binary;
  std::string Settings;
  std::string Log;
  pid_t Process = 0;
};

/// The way of one node to the store.
class StoreProxy {
public:
  StoreProxy(boost::asio::io_context &Io, common::Endpoint Local, common::Endpoint Behind);

  /// Connections that are open now carry nothing more, without a reset, while new ones work.
  /// Returns their number.
  std::size_t silenceOpen();
  /// The store turns this node away: connections are reset, as long as On is set.
  void turnAway(bool On);
  [[nodiscard]] std::size_t open() const;

private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Connection {
    explicit Connection(boost::asio::io_context &Io) : Node(Io), Store(Io) {}
    Socket Node;
    Socket Store;
    bool Silent = false;
    bool Ended = false;
  };

  static void reset(Connection &Each);
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(std::shared_ptr<Connection> Each);
  static boost::asio::awaitable<void> copy(std::shared_ptr<Connection> Each, bool FromStore);

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  common::Endpoint Behind;
  std::vector<std::weak_ptr<Connection>> Connections;
  bool TurnsAway = false;
};

/// Passes connections on. While it holds, what comes on new connections waits until release().
class HoldingProxy {
public:
  HoldingProxy(boost::asio::io_context &Io, common::Endpoint Local, common::Endpoint Behind);

  void hold() { Holding = true; }
  /// Connections that begin from now on pass at once.
  void endHold() { Holding = false; }
  /// Lets the held ones go on.
  void release() { Released = true; }
  /// Number of connections that are held.
  [[nodiscard]] std::size_t held() const noexcept { return Held; }

private:
  using Socket = boost::asio::ip::tcp::socket;

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(std::shared_ptr<Socket> Host);
  static boost::asio::awaitable<void> copy(std::shared_ptr<Socket> From,
                                           std::shared_ptr<Socket> To);

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  common::Endpoint Behind;
  bool Holding = false;
  bool Released = false;
  std::size_t Held = 0;
};

/// A request of a caller.
struct Attempt {
  std::uint64_t Id = 0;
  common::Endpoint Route;
  Clock::time_point SentAt;
  std::size_t Balancer = 0; ///< Number of the balancer that takes its packets.
};

/// A host of the platform beside an agent.
class Host {
public:
  struct Addresses {
    common::Endpoint App;
    common::Endpoint Outbound;
    common::Endpoint Control;
  };
  /// Called when the host begins to work on the attempt with this ID.
  using OnRun = std::function<void(const Host &, std::uint64_t Id, common::Endpoint Route)>;

  Host(boost::asio::io_context &Io, Addresses Where, std::string Zone, Record &Log, OnRun Ran,
       std::uint64_t Seed)
      : Io(Io), Where(Where), Zone(std::move(Zone)), Log(Log), Ran(std::move(Ran)), Random(Seed) {}

  /// A new lifetime, with an ID of its own.
  void start(std::string NewId, std::string Of);
  /// Ends without a word; the address falls silent.
  void crash();
  [[nodiscard]] const std::string &id() const noexcept { return Id; }
  [[nodiscard]] const std::string &service() const noexcept { return Service; }
  /// Number of check-ins that were acknowledged.
  [[nodiscard]] std::uint64_t acknowledged() const noexcept { return Acknowledged; }
  /// Whether it holds an open flow.
  [[nodiscard]] bool holds(const packet::FlowKey &Key) const;
  void onTimer(Clock::time_point Now);

private:
  struct Flow {
    std::uint32_t Start = 0;
    std::optional<soak::Stream> Data;
    bool Open = false;
    bool Ended = false;
  };

  void onPacket(std::span<const std::uint8_t> Raw);
  void accept(const relay::PacketHeader &Head);
  boost::asio::awaitable<void> run(packet::FlowKey Key, std::string Text);
  boost::asio::awaitable<void> checkIn();

  boost::asio::io_context &Io;
  Addresses Where;
  std::string Zone;
  Record &Log;
  OnRun Ran;
  common::Engine Random;
  std::unique_ptr<common::UdpSocket> Socket;
  std::string Id;
  std::string Service;
  std::uint64_t Born = 0;
  std::uint64_t Life = 0; ///< 0 while it doesn't run.
  std::uint64_t Lives = 0;
  std::uint64_t Acknowledged = 0;
  std::map<packet::FlowKey, Flow> Flows;
};

/// Callers that open a flow for each request, and the routers that pick a balancer for them.
class Callers {
public:
  Callers(boost::asio::io_context &Io, common::Endpoint Local, Record &Log, std::uint64_t Seed);

  /// Sets the balancers in rotation.
  void setBalancers(std::vector<common::Endpoint> Ready) { Balancers = std::move(Ready); }
  /// Sends a request on a new flow, which stays open if Keep is set; returns its attempt.
  Attempt ask(common::Endpoint Route, bool Keep = false);
  /// Sends a request on each of the kept flows that are open.
  void askOnKept();
  /// The kept flows, each with the number of the balancer that got the first SYN.
  [[nodiscard]] std::vector<std::pair<packet::FlowKey, std::size_t>> keptFlows() const;
  /// Called with the flow of each reset of the system that an open flow accepts.
  void onOpenFlowReset(std::function<void(const packet::FlowKey &)> Callback) {
    OnOpenFlowReset = std::move(Callback);
  }
  void onTimer(Clock::time_point Now);
  [[nodiscard]] std::size_t answered() const noexcept { return Answered; }
  [[nodiscard]] std::size_t refused() const noexcept { return Refused; }

private:
  struct Flow {
    Attempt Asked;
    std::uint32_t Start = 0;
    std::uint32_t Copies = 0;
    std::uint32_t Acknowledged = 0; ///< Of the last packet sent.
    std::optional<soak::Stream> Data;
    bool Keep = false;
    bool Done = false; ///< No answer is awaited.
    bool Reset = false;
  };

  void onPacket(std::span<const std::uint8_t> Raw);
  void onReset(const relay::PacketHeader &Head, bool BySystem, Flow &Of);
  void sendSyn(const packet::FlowKey &Key, Flow &Of);
  void send(const packet::FlowKey &Key, const relay::Bytes &Packet);
  [[nodiscard]] std::size_t balancerOf(const packet::FlowKey &Key) const;

  common::Endpoint Local;
  Record &Log;
  common::Engine Random;
  common::UdpSocket Socket;
  std::vector<common::Endpoint> Balancers;
  std::map<packet::FlowKey, Flow> Flows;
  std::uint64_t NextId = 1;
  std::uint16_t NextPort = 2000;
  std::size_t Answered = 0;
  std::size_t Refused = 0;
  std::function<void(const packet::FlowKey &)> OnOpenFlowReset;
};

struct DeploymentOptions {
  std::string Programs; ///< Folder with the programs of the deploy file.
  std::string Work;     ///< Folder for settings and logs.
  std::size_t Balancers = 7;
  std::size_t Zones = 3;             ///< To which balancers and hosts belong in turn.
  std::vector<std::string> Services; ///< Of the hosts, one each.
  bool DelaysFirstCheckIn = false;   ///< Of the first host, until its link is released.
};

/// Ports, the same on all nodes.
inline constexpr std::uint16_t PacketPort = 7001;

/// A small deployment on addresses of its own within 127/8: the store behind a proxy, balancers,
/// agents with their hosts, and callers.
class Deployment {
public:
  Deployment(boost::asio::io_context &Io, DeploymentOptions Chosen, Record &Log, Host::OnRun Ran);

  /// Waits until all balancers are ready; false if they aren't in time.
  boost::asio::awaitable<bool> start();
  /// Writes a manifest: the service of each route. Logs the acknowledgement.
  void configure(const std::map<common::Endpoint, std::string> &Services,
                 const std::string &Type = "unsafe");
  [[nodiscard]] Program &agent(std::size_t Number) { return *Agents.at(Number); }
  [[nodiscard]] Program &balancer(std::size_t Number) { return *Entries.at(Number); }
  [[nodiscard]] Host &host(std::size_t Number) { return *Hosts.at(Number); }
  /// The ways of the balancers to the store.
  [[nodiscard]] std::vector<std::unique_ptr<StoreProxy>> &storeLinks() { return StoreLinks; }
  [[nodiscard]] HoldingProxy &checkInLink(std::size_t Number) { return *CheckInLinks.at(Number); }
  /// SIGTERM, SIGKILL after the grace time, and a start this long after the end.
  static boost::asio::awaitable<void> restart(Program &Node, std::chrono::milliseconds Pause);
  /// Lets the routers use these balancers only.
  void rotate(const std::vector<std::size_t> &Numbers);
  /// Writes the settings file of an agent, as the platform does when the host changes.
  void writeAgentSettings(std::size_t Number, const std::string &Service) const;
  /// A process has ended by itself.
  [[nodiscard]] bool lostProcess();

  std::unique_ptr<soak::StoreStandin> Store;
  std::unique_ptr<Callers> Users;

private:
  [[nodiscard]] common::Endpoint address(std::uint32_t Group, std::size_t Number,
                                         std::uint16_t Port) const;
  void writeSettings(const std::string &Name, std::uint32_t Group, std::size_t Number,
                     const std::string &Service) const;
  boost::asio::awaitable<void> tick();
  [[nodiscard]] std::string zoneOf(std::size_t Number) const;
  [[nodiscard]] common::Endpoint storeLink(std::size_t Balancer) const;

  boost::asio::io_context &Io;
  DeploymentOptions Chosen;
  Record &Log;
  std::uint32_t Net = 0; ///< Second octet of all addresses.
  std::uint64_t Version = 0;
  std::vector<std::unique_ptr<Program>> Entries;
  std::vector<std::unique_ptr<Program>> Agents;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<std::unique_ptr<HoldingProxy>> CheckInLinks;
  std::vector<std::unique_ptr<StoreProxy>> StoreLinks;
};

} // namespace galenarelay::review

#endif // GALENARELAY_REVIEW_STANDINS_2_PARTS_H
