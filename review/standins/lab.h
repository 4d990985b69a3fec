#ifndef GALENARELAY_REVIEW_LAB_H
#define GALENARELAY_REVIEW_LAB_H

// Stand-ins of the platform's store, hosts and clients for the cases of the review. They follow
// PROTOCOL.md and use loopback addresses, the real clock and POSIX calls only.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;
using Bytes = std::vector<std::uint8_t>;

struct Endpoint {
  std::uint32_t Address = 0;
  std::uint16_t Port = 0;

  friend bool operator==(const Endpoint &A, const Endpoint &B) {
    return A.Address == B.Address && A.Port == B.Port;
  }
  friend bool operator<(const Endpoint &A, const Endpoint &B) {
    return A.Address != B.Address ? A.Address < B.Address : A.Port < B.Port;
  }
};

std::string addressText(std::uint32_t Address);
std::string text(Endpoint Value);

void sleepMs(int Milliseconds);
std::int64_t wallMs();

/// Writes record.txt: what was sent, answered and run, with the seconds since the start.
class Record {
public:
  explicit Record(const std::string &Path);
  ~Record();
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;
  void line(const std::string &Text);
  [[nodiscard]] double seconds() const;

private:
  std::mutex Lock;
  int File = -1;
  Clock::time_point Start = Clock::now();
};

// --- packets

constexpr std::uint8_t FlagBounced = 1;
constexpr std::uint8_t FlagAck = 4;
constexpr std::uint8_t FlagSyn = 8;
constexpr std::uint8_t FlagFin = 32;
constexpr std::uint8_t FlagRst = 64;
constexpr std::size_t HeadBytes = 34;

struct Packet {
  std::uint8_t Flags = 0;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgement = 0;
  Endpoint Source;
  Endpoint Destination;
  std::string Data;

  [[nodiscard]] Bytes encode() const;
  /// Empty if the bytes are no packet.
  static std::optional<Packet> decode(const Bytes &Raw);
};
/// Whether the keyed sum is that of the sender.
bool genuine(const Bytes &Raw);
/// Whether the packet is a reset that the system made itself.
bool systemReset(const Bytes &Raw);

class Udp {
public:
  explicit Udp(Endpoint Local);
  ~Udp();
  Udp(const Udp &) = delete;
  Udp &operator=(const Udp &) = delete;
  void send(const Bytes &Raw, Endpoint To) const;
  /// Waits up to WaitMs for a datagram.
  std::optional<std::pair<Bytes, Endpoint>> receive(int WaitMs) const;

private:
  int Socket = -1;
};

// --- HTTP

struct HttpRequest {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::string Body;
};
struct HttpResponse {
  int Status = 200;
  std::string Body = "{}";
};

/// One call on a connection of its own; the status is 0 if no answer came in time.
HttpResponse httpCall(Endpoint Server, const std::string &Method, const std::string &Target,
                      const std::string &Body, int TimeoutMs);

class HttpServer {
public:
  using Handler = std::function<HttpResponse(const HttpRequest &)>;
  HttpServer(Endpoint Local, Handler Serve);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

private:
  void serveConnection(int Connection);

  int Listener = -1;
  Handler Serve;
  std::atomic<bool> Stopping = false;
  std::thread Acceptor;
  std::mutex Lock;
  std::vector<std::thread> Workers;
};

// --- the platform's store

class Store {
public:
  explicit Store(Endpoint Local);
  ~Store() { Stopping = true; }
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;
  /// A write of the operator.
  void put(const std::string &Key, const std::string &Value);

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };
  struct Lease {
    Clock::time_point End;
    int TtlMs = 0;
  };

  HttpResponse serve(const HttpRequest &Request);
  HttpResponse watch(const HttpRequest &Request);
  HttpResponse transact(const std::string &Body);
  void write(const std::string &Key, const std::string &Value, std::uint64_t LeaseId);
  void remove(const std::string &Key);
  void expireLeases();
  static std::string itemText(const std::string &Key, const Item &Held);

  std::mutex Lock;
  std::map<std::string, Item> Items;
  std::map<std::uint64_t, Lease> Leases;
  std::vector<std::pair<std::uint64_t, std::string>> History;
  std::uint64_t Revision = 1;
  std::uint64_t NextLease = 1;
  std::atomic<bool> Stopping = false;
  std::unique_ptr<HttpServer> Server;
};

// --- hosts

/// A request as a host ran it.
struct Run {
  std::string Attempt;
  std::string Service; ///< Of the host.
  std::string Host;
  Endpoint Route;
};

/// A host beside an agent. Its flows carry HTTP/1.1 requests of one packet each.
class Host {
public:
  struct Place {
    Endpoint App;      ///< Where it gets packets.
    Endpoint Outbound; ///< Where its packets go.
    Endpoint Control;  ///< Where its check-ins go.
    std::string Zone;
  };
  /// The time of day of its machine is ahead by AheadMs when it starts.
  Host(Record &Notes, Place Where, std::string Service, std::string Id, int AheadMs);
  ~Host() { crash(); }
  Host(const Host &) = delete;
  Host &operator=(const Host &) = delete;

  /// Ends without a word.
  void crash();
  [[nodiscard]] std::vector<Run> runs();
  /// Whether the host lives and has the end of the flow's handshake.
  [[nodiscard]] bool holds(Endpoint Client, Endpoint Route);
  [[nodiscard]] bool lives() const { return !Stopping; }
  [[nodiscard]] const std::string &id() const { return Id; }
  [[nodiscard]] const std::string &service() const { return Service; }
  [[nodiscard]] int acknowledged() const { return Acknowledged; }

  static constexpr int HeartbeatMs = 1200;
  static constexpr int Slots = 5;

private:
  struct Flow {
    std::uint32_t ClientStart = 0;
    std::uint32_t Start = 0;
    std::uint32_t Expected = 0;
    std::uint32_t Next = 0;
    bool Established = false;
    bool Ended = false;
    Bytes Unacknowledged; ///< The last packet with data or FIN, until its end is acknowledged.
    std::uint32_t UnacknowledgedEnd = 0;
    int Retransmissions = 0;
    Clock::time_point RetransmitAt;
  };
  using Key = std::pair<Endpoint, Endpoint>;

  void servePackets();
  void sendCheckIns();
  void onPacket(const Bytes &Raw);
  void answer(const Key &Of, Flow &Held, const std::string &Request);
  void transmit(const Key &Of, Flow &Held, std::uint8_t Flags, const std::string &Data);
  void retransmit();

  Record &Notes;
  Place Where;
  std::string Service;
  std::string Id;
  std::int64_t Born;
  std::atomic<bool> Stopping = false;
  std::atomic<int> Acknowledged = 0;
  std::mutex Lock;
  std::map<Key, Flow> Flows;
  std::vector<Run> Runs;
  std::unique_ptr<Udp> Socket;
  std::thread Packets;
  std::thread CheckIns;
};

// --- clients

/// Gives the frontend for a packet of a flow, as the platform's routers do.
using Router = std::function<Endpoint(Endpoint Client, Endpoint Route)>;

/// A client at an address of its own. Its flows carry one request at a time. It takes the lowest
/// port that none of its flows uses.
class Client {
public:
  enum class State { Opening, Open, Ended };
  enum class End { None, Answered, Reset, NotOpened, Deadline };
  struct Flow {
    Endpoint Self;
    Endpoint Route;
    State Now = State::Opening;
    End Last = End::None; ///< How the last request ended.
    bool ResetBySystem = false;
    std::uint32_t ResetFrom = 0;
    std::uint32_t Start = 0;
    std::uint32_t Next = 0;
    std::uint32_t Expected = 0;
    std::uint32_t Copies = 0;
    Clock::time_point OpenedAt;
    std::string Waiting; ///< Request that waits for the flow to open.
    std::string Attempt;
    std::string Answer;
    Clock::time_point Deadline;
    Bytes Unacknowledged;
    std::uint32_t UnacknowledgedEnd = 0;
    int Retransmissions = 0;
    Clock::time_point RetransmitAt;
    bool Busy = false;
    Clock::time_point UsedAt;
  };

  /// Packets for the client come to its address at the port of the frontends' datagramAddr.
  Client(Record &Notes, std::uint32_t Address, std::uint16_t PacketPort, std::uint16_t FirstPort,
         Router Route);

  /// Opens a flow and sends a request on it; returns its port.
  std::uint16_t open(Endpoint Route, const std::string &Attempt, int BudgetMs);
  /// Sends another request on an open flow.
  void ask(std::uint16_t Port, const std::string &Attempt, int BudgetMs);
  /// Ends a flow, which frees its port.
  void close(std::uint16_t Port);
  /// Receives and retransmits for this time, or until Done.
  void runFor(int Milliseconds, const std::function<bool()> &Done = {});
  [[nodiscard]] Flow &flow(std::uint16_t Port) { return Flows.at(Port); }
  [[nodiscard]] std::map<std::uint16_t, Flow> &flows() { return Flows; }
  /// Called for each reset on an open flow that is the system's own.
  std::function<void(const Flow &)> OnSystemReset;

private:
  void onPacket(const Bytes &Raw, Endpoint From);
  void onTimer();
  void sendSyn(Flow &Held);
  void sendRequest(Flow &Held);
  void send(const Flow &Held, std::uint8_t Flags, const std::string &Data, std::uint32_t Sequence);

  Record &Notes;
  std::uint32_t Address;
  std::uint16_t FirstPort;
  Router RouteOf;
  Udp Socket;
  std::uint32_t Random = 0x9e3779b9;
  std::map<std::uint16_t, Flow> Flows;
};

// --- processes

/// A process of the project, started with the command of the deploy file.
class Process {
public:
  Process(std::string Binary, std::string Settings, std::string Log);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  void start();
  void signal(int Number) const;
  void stop();
  [[nodiscard]] bool running();

private:
  std::string Binary;
  std::string Settings;
  std::string Log;
  int Pid = -1;
};

/// A small deployment: frontends, side machines with their agents, and the store.
class Deployment {
public:
  struct Side {
    std::string Service;
    std::string Zone;
    bool Late = false; ///< Its host isn't started with the others.
  };
  /// Services by route, for the manifest.
  struct Route {
    std::string Name;
    Endpoint Address;
    std::string Service;
    std::string Type;
  };

  Deployment(Record &Notes, int Frontends, std::vector<Side> Sides, std::vector<Route> Routes);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// Starts all processes and hosts; false if they aren't ready in time.
  bool start();
  /// Starts a host on a side machine, with an ID of its own.
  Host &startHost(std::size_t Side, const std::string &Service, int AheadMs = 0);
  /// Writes the settings of an agent, as the platform does when the machine's service changes.
  void writeAgentSettings(std::size_t Side, const std::string &Service) const;
  [[nodiscard]] Host &host(std::size_t Side) { return *Hosts.at(Side); }
  [[nodiscard]] std::vector<Run> runs();
  [[nodiscard]] Router router() const;
  [[nodiscard]] Process &agent(std::size_t Side) { return *Agents.at(Side); }
  [[nodiscard]] Process &balancer(std::size_t Number) { return *Balancers.at(Number); }
  [[nodiscard]] Endpoint agentAddress(std::size_t Side, std::uint16_t Port) const;
  [[nodiscard]] Endpoint frontendAddress(std::size_t Number, std::uint16_t Port) const;
  [[nodiscard]] std::uint32_t clientAddress(std::size_t Number) const;
  [[nodiscard]] bool allRunning();
  [[nodiscard]] std::string zoneOf(std::size_t Side) const { return Sides[Side].Zone; }

  // Ports, the same on all machines.
  std::uint16_t PacketPort = 0;
  std::uint16_t PeerPort = 0;
  std::uint16_t AdminPort = 0;
  std::uint16_t ControlPort = 0;
  std::uint16_t ReadyPort = 0;
  std::uint16_t OutboundPort = 0;
  std::uint16_t AppPort = 0;
  std::uint16_t StorePort = 0;

private:
  void writeBalancerSettings(std::size_t Number) const;
  [[nodiscard]] std::string nodeSettings(const std::string &Id, const std::string &Zone,
                                         std::uint32_t Address) const;

  Record &Notes;
  int Frontends;
  std::vector<Side> Sides;
  std::vector<Route> Routes;
  std::uint32_t Net = 0; ///< Second octet of all addresses.
  std::string Folder;
  std::unique_ptr<Store> Kept;
  std::vector<std::unique_ptr<Process>> Balancers;
  std::vector<std::unique_ptr<Process>> Agents;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<std::unique_ptr<Host>> Former;
  int Lives = 0;
};

/// Path of the record, from the variable RECORD.
std::string recordPath();

/// Whether the case is to be played with its disruption (the variable TROUBLE isn't 0).
bool withTrouble();

} // namespace lab

#endif // GALENARELAY_REVIEW_LAB_H
