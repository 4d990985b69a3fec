#include "fleet.h"

#include "galenarelay/common/log.h"
#include "galenarelay/node/impl/relay_node.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/process/args.hpp>
#include <boost/process/handles.hpp>
#include <boost/process/io.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>

namespace galenarelay::soak {

using node::impl::sleepFor;

namespace {

// Groups of addresses, their third octet.
constexpr std::uint32_t BalancerGroup = 1;
constexpr std::uint32_t AgentGroup = 2;
constexpr std::uint32_t CallerGroup = 3;
constexpr std::uint32_t StoreGroup = 4;

// Second octets that are tried until one is free.
constexpr std::uint32_t FirstNet = 20;
constexpr std::uint32_t LastNet = 250;

// Ports, the same on all nodes.
constexpr std::uint16_t PacketPort = 7001;
constexpr std::uint16_t PeerPort = 7002;
constexpr std::uint16_t AdminPort = 7003;
constexpr std::uint16_t ControlPort = 7004;
constexpr std::uint16_t ReadyPort = 7005;
constexpr std::uint16_t OutboundPort = 7006;
constexpr std::uint16_t AppPort = 7007;
constexpr std::uint16_t StorePort = 7010;

constexpr auto ReadinessInterval = std::chrono::milliseconds(500);
constexpr auto ReadinessTimeout = std::chrono::milliseconds(400);
constexpr int MissesBeforeOut = 2;
/// A process that was told to stop is killed after this time, or after GracePatience without a
/// check of times.
constexpr auto GraceTime = std::chrono::milliseconds(6000);
constexpr auto GracePatience = std::chrono::milliseconds(60'000);
constexpr auto ProcessStep = std::chrono::milliseconds(20);
constexpr auto RestartDelay = std::chrono::milliseconds(150);
/// Addresses of ended upstreams are used again after this time.
constexpr auto ReuseDelay = std::chrono::milliseconds(2000);
/// Share of the reused addresses that the smaller service gets.
constexpr double OtherServiceShare = 0.3;

} // namespace

void Program::start() {
  namespace process = boost::process;
  Wanted = true;
  Paused = false;
  RunLog = Log + "." + std::to_string(++Runs);
  // Without limit_handles the process would keep the soak's sockets open.
  Run = process::child(Binary, "--config", Settings,
                       process::std_in<process::null, process::std_out> RunLog,
                       process::std_err > RunLog + ".err", process::limit_handles);
  Run.detach();
}

void Program::signal(int Number) {
  if (running())
    ::kill(Run.id(), Number);
}

bool Program::running() {
  std::error_code Ignored;
  return Run.id() > 0 && Run.running(Ignored);
}

bool Program::started() const {
  std::error_code Failure;
  return std::filesystem::file_size(RunLog, Failure) > 0 && !Failure;
}

Fleet::Fleet(boost::asio::io_context &Io, FleetOptions Options, Ledger &Seen)
    : Links(Io, Options.Seed), Io(Io), Chosen(std::move(Options)), Seen(Seen), Random(Chosen.Seed) {
  // Another run on this machine may use the same addresses.
  for (Net = FirstNet; Store == nullptr; Net += Store ? 0 : 1) {
    try {
      Store = std::make_unique<StoreStandin>(Io, address(StoreGroup, 1, StorePort), Random());
    } catch (const boost::system::system_error &) {
      if (Net == LastNet)
        throw;
    }
  }
  Link = std::make_unique<StoreLink>(Io, address(StoreGroup, 2, StorePort),
                                     address(StoreGroup, 1, StorePort));
  configure(false);
  Rotations.resize(Chosen.Balancers);
  for (std::size_t I = 0; I < Chosen.Balancers + Chosen.Hosts; ++I) {
    const bool IsBalancer = I < Chosen.Balancers;
    writeSettings(I, IsBalancer ? "" : serviceOf(I - Chosen.Balancers));
    Nodes.push_back(std::make_unique<Program>(
        Chosen.Programs + (IsBalancer ? "/galenarelay-relay-balancer" : "/galenarelay-relay-agent"),
        Chosen.Work + "/" + nameOf(I) + ".ini", Chosen.Work + "/" + nameOf(I) + ".log"));
  }
  for (std::size_t I = 0; I < Chosen.Hosts; ++I) {
    Hosts.push_back(std::make_unique<Host>(
        Io, "host-" + std::to_string(I), zoneOf(Chosen.Balancers + I),
        Host::Addresses{address(AgentGroup, I, AppPort), address(AgentGroup, I, OutboundPort),
                        address(AgentGroup, I, ControlPort)},
        Seen, Links, Random()));
  }
  while (Joined + Chosen.LateBalancers < Chosen.Balancers)
    startBalancer(Joined++);
  while (JoinedHosts + Chosen.LateHosts < Chosen.Hosts)
    startHost(JoinedHosts++);
  std::vector<common::Endpoint> CallerAddresses;
  for (std::size_t I = 0; I < Chosen.CallerAddresses; ++I)
    CallerAddresses.push_back(address(CallerGroup, I, PacketPort));
  Users = std::make_unique<Callers>(
      Io, std::move(CallerAddresses), [this](const packet::FlowKey &Key) { return route(Key); },
      [this](const packet::FlowKey &Key) -> const Host * {
        for (const auto &Each : Hosts)
          if (Each->holds(Key))
            return Each.get();
        return nullptr;
      },
      Seen, Links, Random());
}

Fleet::~Fleet() {
  for (const auto &Each : Nodes) {
    Each->signal(SIGCONT);
    Each->signal(SIGKILL);
  }
}

void Fleet::startBalancer(std::size_t Number) {
  Nodes[Number]->start();
  Rotations[Number].Known = true;
  boost::asio::co_spawn(Io, checkReadiness(Number), boost::asio::detached);
}

void Fleet::startHost(std::size_t Number) {
  Nodes[Chosen.Balancers + Number]->start();
  Hosts[Number]->start(serviceOf(Number));
}

bool Fleet::joinBalancer() {
  if (Joined == Chosen.Balancers)
    return false;
  startBalancer(Joined++);
  return true;
}

bool Fleet::joinHost() {
  if (JoinedHosts == Chosen.Hosts)
    return false;
  startHost(JoinedHosts++);
  return true;
}

std::uint32_t Fleet::machine(std::size_t Node) const {
  return Node < Chosen.Balancers ? address(BalancerGroup, Node, 0).Address
                                 : address(AgentGroup, Node - Chosen.Balancers, 0).Address;
}

common::Endpoint Fleet::address(std::uint32_t Group, std::size_t Number, std::uint16_t Port) const {
  constexpr std::uint32_t Loopback = 127U << 24U;
  return {Loopback | (Net << 16U) | (Group << 8U) | (static_cast<std::uint32_t>(Number) + 1U),
          Port};
}

std::string Fleet::serviceOf(std::size_t Host) { return Host % 3 == 2 ? "intake" : "desk"; }

std::string Fleet::nameOf(std::size_t Node) const {
  return (Node < Chosen.Balancers ? "balancer-" : "agent-") + std::to_string(Node);
}

void Fleet::writeSettings(std::size_t Node, const std::string &Service) const {
  const bool IsBalancer = Node < Chosen.Balancers;
  const auto Text = [&](std::uint16_t Port) {
    return common::toString(IsBalancer ? address(BalancerGroup, Node, Port)
                                       : address(AgentGroup, Node - Chosen.Balancers, Port));
  };
  std::ofstream File(Chosen.Work + "/" + nameOf(Node) + ".ini");
  File << "[node]\nid = " << nameOf(Node) << "\nzone = " << zoneOf(Node)
       << "\npackets = " << Text(PacketPort) << "\npeers = " << Text(PeerPort)
       << "\nadmin = " << Text(AdminPort) << "\ncontrol = " << Text(ControlPort)
       << "\nreadiness = " << Text(ReadyPort)
       << "\nseeds = " << common::toString(address(BalancerGroup, 0, PeerPort))
       << "\n[store]\naddress = " << common::toString(address(StoreGroup, 2, StorePort)) << "\n";
  if (!IsBalancer)
    File << "[upstream]\nservice = " << Service << "\naddress = " << Text(AppPort)
         << "\noutbound = " << Text(OutboundPort) << "\nheartbeat_ms = 800\n";
}

void Fleet::configure(bool Split) {
  Version += 1 + common::uniformBelow(Random, 5);
  std::map<common::Endpoint, std::set<std::string>> Services;
  nlohmann::json Routes = nlohmann::json::array();
  constexpr std::array<const char *, Kinds> Types{"safe", "unsafe", "upload"};
  for (std::size_t I = 0; I < Kinds; ++I) {
    const bool IsPhoto = static_cast<Kind>(I) == Kind::Photo;
    const common::Endpoint At = KindEndpoints[I];
    nlohmann::json Made{{"name", Types[I]},
                        {"hostname", common::addressToString(At.Address)},
                        {"prefix", "/" + std::to_string(At.Port) + "/"},
                        {"type", Types[I]},
                        {"timeoutMs", 4000},
                        {"targetLatencyMs", 300},
                        {"priority", 1}};
    Services[At] = {IsPhoto ? "intake" : "desk"};
    if (IsPhoto && Split) {
      Services[At].insert("desk");
      Made["trafficSplit"] = {{{"service", "intake"}, {"weight", 50}},
                              {{"service", "desk"}, {"weight", 50}}};
    } else {
      Made["service"] = *Services[At].begin();
    }
    Routes.push_back(std::move(Made));
  }
  Configuration = nlohmann::json{{"version", Version},
                                 {"routes", std::move(Routes)},
                                 {"services", nlohmann::json::array()},
                                 {"limits", {{"idleTimeoutMs", 30000}}}}
                      .dump();
  writeConfiguration();
  Seen.onConfiguration(std::move(Services));
}

void Fleet::writeConfiguration() { Store->put("op/config", Configuration); }

std::string Fleet::zoneOf(std::size_t Node) const {
  const bool Apart =
      Chosen.TwoZones && Node >= Chosen.Balancers && Node < Chosen.Balancers + HostsInEvacuatedZone;
  return Apart ? EvacuatedZone : "a";
}

void Fleet::evacuate(bool Wanted) {
  EvacuationWanted = Wanted;
  writeEvacuation();
}

void Fleet::writeEvacuation() {
  const std::string Key = std::string("op/evacuate/") + EvacuatedZone;
  if (EvacuationWanted) {
    Store->put(Key, "{}");
    Seen.onEvacuated(EvacuatedZone);
  } else {
    Seen.onReturned(EvacuatedZone);
    Store->erase(Key);
  }
}

void Fleet::writeAgain() {
  writeConfiguration();
  Seen.onReturned(EvacuatedZone);
  writeEvacuation();
}

boost::asio::awaitable<std::string> Fleet::missingState() {
  for (std::size_t I = 0; I < Nodes.size(); ++I) {
    const bool IsBalancer = I < Chosen.Balancers;
    const bool Serves = IsBalancer || (Hosts[I - Chosen.Balancers]->lives() &&
                                       !Hosts[I - Chosen.Balancers]->draining());
    if (!Nodes[I]->running() || !Nodes[I]->Wanted || !Serves)
      continue;
    const std::string Prefix =
        IsBalancer ? node::impl::BalancerRecordPrefix : node::impl::AgentRecordPrefix;
    if (!Store->contains(Prefix + nameOf(I)))
      co_return "the record of " + nameOf(I) + " is missing";
    if (!IsBalancer)
      continue;
    const auto Answer = co_await common::httpCall(address(BalancerGroup, I, AdminPort), "GET",
                                                  "/v1/config", "", ReadinessTimeout);
    if (!Answer || Answer->Body != Configuration)
      co_return nameOf(I) + " has not the newest configuration";
  }
  co_return std::string();
}

// Callers' packets reach all balancers if fewer than half are in rotation.
std::optional<common::Endpoint> Fleet::route(const packet::FlowKey &Key) const {
  std::vector<std::size_t> Known;
  std::vector<std::size_t> Open;
  for (std::size_t I = 0; I < Rotations.size(); ++I) {
    if (Rotations[I].Known)
      Known.push_back(I);
    if (Rotations[I].Ready)
      Open.push_back(I);
  }
  if (Open.size() * 2 < Known.size())
    Open = std::move(Known);
  return address(BalancerGroup, Open[packet::hash(Key) % Open.size()], PacketPort);
}

boost::asio::awaitable<void> Fleet::checkReadiness(std::size_t Balancer) {
  while (true) {
    const auto Answer = co_await common::httpCall(address(BalancerGroup, Balancer, ReadyPort),
                                                  "GET", "/-/ready", "", ReadinessTimeout);
    auto &State = Rotations[Balancer];
    const bool Ready = Answer && Answer->Status == 200;
    State.Misses = Ready ? 0 : State.Misses + 1;
    State.Ready = Ready || (State.Ready && State.Misses < MissesBeforeOut);
    co_await sleepFor(ReadinessInterval);
  }
}

boost::asio::awaitable<void> Fleet::restart(std::size_t Node) {
  Program &Of = *Nodes[Node];
  if (!Of.running() || !Of.started() || Of.Paused || !Of.Wanted)
    co_return;
  common::log(common::LogLevel::Info, "stop_requested", {{"node", nameOf(Node)}});
  Of.Wanted = false;
  Of.signal(SIGTERM);
  const auto End = Clock::now() + (Seen.checksTimes() ? GraceTime : GracePatience);
  while (Of.running() && Clock::now() < End)
    co_await sleepFor(ProcessStep);
  if (Of.running()) {
    Seen.violation("planned stops end", nameOf(Node) + " did not stop within its grace time");
    Of.signal(SIGKILL);
  } else if (Of.exitCode() != 0) {
    Seen.violation("planned stops end",
                   nameOf(Node) + " ended with status " + std::to_string(Of.exitCode()));
  }
  co_await sleepFor(RestartDelay);
  Of.start();
}

void Fleet::reload(std::size_t Node) {
  if (Nodes[Node]->started())
    Nodes[Node]->signal(SIGHUP);
}

boost::asio::awaitable<void> Fleet::kill(std::size_t Node, common::Duration Down) {
  Program &Of = *Nodes[Node];
  if (!Of.Wanted)
    co_return;
  Seen.onUnplannedFault(machine(Node));
  Of.Wanted = false;
  Of.signal(SIGKILL);
  co_await sleepFor(Down);
  while (Of.running())
    co_await sleepFor(ProcessStep);
  Seen.onUnplannedFault(machine(Node));
  Of.start();
}

boost::asio::awaitable<void> Fleet::pause(std::size_t Node, common::Duration Time) {
  Program &Of = *Nodes[Node];
  if (Of.Paused || !Of.Wanted)
    co_return;
  Seen.onUnplannedFault(machine(Node));
  Of.Paused = true;
  Of.signal(SIGSTOP);
  co_await sleepFor(Time);
  Of.signal(SIGCONT);
  Of.Paused = false;
  Seen.onUnplannedFault(machine(Node));
}

boost::asio::awaitable<void> Fleet::replaceHost(std::size_t Number) {
  Host &Of = *Hosts[Number];
  if (!Of.lives() || Of.draining())
    co_return;
  Of.drain();
  while (Of.lives())
    co_await sleepFor(ProcessStep);
  const std::string Next = common::uniformUnit(Random) < OtherServiceShare ? "intake" : "desk";
  writeSettings(Chosen.Balancers + Number, Next);
  co_await sleepFor(ReuseDelay);
  if (!Of.lives())
    Of.start(Next);
}

boost::asio::awaitable<void> Fleet::crashHost(std::size_t Number, common::Duration Down) {
  Host &Of = *Hosts[Number];
  if (!Of.lives())
    co_return;
  Seen.onUnplannedFault(Of.machine());
  // The one that replaces a draining upstream is started by replaceHost, with its own service.
  const bool Replaced = Of.draining();
  Of.crash();
  if (Replaced)
    co_return;
  co_await sleepFor(Down);
  if (!Of.lives())
    Of.start(Of.service());
}

void Fleet::onTimer(Clock::time_point Now) {
  Users->onTimer(Now);
  for (auto &Each : Hosts)
    Each->onTimer(Now);
  for (std::size_t I = 0; I < Nodes.size(); ++I)
    if (Nodes[I]->Wanted && !Nodes[I]->running()) {
      Seen.violation("programs keep running",
                     nameOf(I) + " ended with status " + std::to_string(Nodes[I]->exitCode()));
      Nodes[I]->start();
    }
}

} // namespace galenarelay::soak
