#include "fleet.h"

#include "galenarelay/common/http.h"
#include "galenarelay/node/impl/call_pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <fstream>

namespace galenarelay::review {

using node::impl::sleepFor;

namespace {

// Groups of addresses, their third octet.
constexpr std::uint32_t BalancerGroup = 1;
constexpr std::uint32_t AgentGroup = 2;
constexpr std::uint32_t CallerGroup = 3;
constexpr std::uint32_t StoreGroup = 4;
constexpr std::uint32_t ServiceGroup = 5;
constexpr std::size_t CallerAddresses = 8;

// Second octets that are tried until one is free.
constexpr std::uint32_t FirstNet = 60;
constexpr std::uint32_t LastNet = 250;

// Ports, the same on all machines.
constexpr std::uint16_t PacketPort = 7101;
constexpr std::uint16_t PeerPort = 7102;
constexpr std::uint16_t AdminPort = 7103;
constexpr std::uint16_t ControlPort = 7104;
constexpr std::uint16_t ReadyPort = 7105;
constexpr std::uint16_t OutboundPort = 7106;
constexpr std::uint16_t AppPort = 7107;
constexpr std::uint16_t StorePort = 7110;
constexpr std::uint16_t FeedPort = 8443;
constexpr std::uint16_t OrderPort = 8080;

constexpr auto Step = std::chrono::milliseconds(10);

std::string zoneOf(std::size_t Number) { return std::string("zone-") + "abc"[Number % 3]; }

std::string serviceOf(std::size_t Host, std::size_t Hosts) {
  return Host + 1 == Hosts ? "intake" : "desk";
}

} // namespace

Fleet::Fleet(boost::asio::io_context &Io, Record &Notes, std::string Programs, std::string Work,
             Sizes Wanted)
    : Io(Io), Notes(Notes) {
  // Another run on this machine may use the same addresses.
  for (Net = FirstNet; Store == nullptr; Net += Store ? 0 : 1) {
    try {
      Store = std::make_unique<soak::StoreStandin>(Io, address(StoreGroup, 0, StorePort), 1);
    } catch (const boost::system::system_error &) {
      if (Net == LastNet)
        throw;
    }
  }
  Store->put("op/config", configuration());
  const auto Make = [&](bool IsBalancer, std::size_t Number, const std::string &Service) {
    const std::string Name = (IsBalancer ? "balancer-" : "agent-") + std::to_string(Number);
    const std::string Path = Work + "/" + Name;
    std::ofstream Settings(Path + ".ini");
    Settings << settingsOf(IsBalancer, Number);
    if (!IsBalancer)
      Settings << "[upstream]\nservice = " << Service
               << "\naddress = " << common::toString(address(AgentGroup, Number, AppPort))
               << "\noutbound = " << common::toString(address(AgentGroup, Number, OutboundPort))
               << "\nheartbeat_ms = " << CheckInInterval.count()
               << "\n[policy]\nwith = upstream_damping,restart_recovery\n";
    else
      Settings << "[policy]\nwith = "
                  "zone_placement,upstream_damping,restart_recovery,shared_contention\n";
    Settings.close();
    const std::string Program =
        IsBalancer ? "/galenarelay-relay-balancer" : "/galenarelay-relay-agent";
    return std::make_unique<Process>(Programs + Program, Path + ".ini", Path + ".log");
  };
  std::vector<common::Endpoint> Entries;
  for (std::size_t I = 0; I < Wanted.Balancers; ++I) {
    Balancers.push_back(Make(true, I, ""));
    Entries.push_back(address(BalancerGroup, I, PacketPort));
  }
  for (std::size_t I = 0; I < Wanted.Hosts; ++I) {
    const auto Service = serviceOf(I, Wanted.Hosts);
    Agents.push_back(Make(false, I, Service));
    Hosts.push_back(std::make_unique<Host>(Io, Notes,
                                           Host::Addresses{address(AgentGroup, I, AppPort),
                                                           address(AgentGroup, I, OutboundPort),
                                                           address(AgentGroup, I, ControlPort)},
                                           zoneOf(I), 100 + I));
  }
  std::vector<common::Endpoint> Own;
  for (std::size_t I = 0; I < CallerAddresses; ++I)
    Own.push_back(address(CallerGroup, I, PacketPort));
  Users = std::make_unique<Callers>(Io, Notes, std::move(Own), std::move(Entries), 7);
}

Fleet::~Fleet() = default;

boost::asio::awaitable<bool> Fleet::start() {
  for (const auto &Each : Balancers)
    Each->start();
  for (const auto &Each : Agents)
    Each->start();
  co_await sleepFor(std::chrono::milliseconds(300));
  for (std::size_t I = 0; I < Hosts.size(); ++I)
    Hosts[I]->start("i-" + std::to_string(I) + "-a", serviceOf(I, Hosts.size()));
  boost::asio::co_spawn(
      Io,
      [this]() -> boost::asio::awaitable<void> {
        while (true) {
          const auto Now = Clock::now();
          for (const auto &Each : Hosts)
            Each->onTimer(Now);
          Users->onTimer(Now);
          co_await sleepFor(Step);
        }
      },
      boost::asio::detached);
  const auto Deadline = Clock::now() + std::chrono::seconds(10);
  for (std::size_t Ready = 0; Ready < Balancers.size();) {
    const auto Answer = co_await common::httpCall(address(BalancerGroup, Ready, ReadyPort), "GET",
                                                  "/-/ready", "", std::chrono::milliseconds(500));
    if (Answer && Answer->Status == 200)
      ++Ready;
    else if (Clock::now() > Deadline)
      co_return false;
    else
      co_await sleepFor(std::chrono::milliseconds(100));
  }
  co_return true;
}

common::Endpoint Fleet::orderRoute() const { return address(ServiceGroup, 0, OrderPort); }

bool Fleet::programEnded() {
  const auto Ended = [](const auto &Each) { return !Each->running(); };
  return std::any_of(Balancers.begin(), Balancers.end(), Ended) ||
         std::any_of(Agents.begin(), Agents.end(), Ended);
}

common::Endpoint Fleet::address(std::uint32_t Group, std::size_t Number, std::uint16_t Port) const {
  constexpr std::uint32_t Loopback = 127U << 24U;
  return {Loopback | (Net << 16U) | (Group << 8U) | (static_cast<std::uint32_t>(Number) + 1U),
          Port};
}

std::string Fleet::settingsOf(bool IsBalancer, std::size_t Number) const {
  const auto Text = [&](std::uint16_t Port) {
    return common::toString(address(IsBalancer ? BalancerGroup : AgentGroup, Number, Port));
  };
  return "[node]\nid = " + std::string(IsBalancer ? "frontend-" : "side-") +
         std::to_string(Number) + "\nzone = " + zoneOf(Number) + "\npackets = " + Text(PacketPort) +
         "\npeers = " + Text(PeerPort) + "\nadmin = " + Text(AdminPort) +
         "\ncontrol = " + Text(ControlPort) + "\nreadiness = " + Text(ReadyPort) +
         "\nseeds = " + common::toString(address(BalancerGroup, 0, ControlPort)) + "," +
         common::toString(address(BalancerGroup, 1, ControlPort)) +
         "\n[store]\naddress = " + common::toString(address(StoreGroup, 0, StorePort)) + "\n";
}

std::string Fleet::configuration() const {
  const std::string Hostname = common::addressToString(address(ServiceGroup, 0, 0).Address);
  const auto Route = [&](const char *Name, std::uint16_t Port, const char *Type, int Timeout,
                         const char *Service) {
    return nlohmann::json{
        {"name", Name},  {"hostname", Hostname}, {"prefix", "/" + std::to_string(Port) + "/"},
        {"type", Type},  {"timeoutMs", Timeout}, {"targetLatencyMs", 250},
        {"priority", 1}, {"service", Service},   {"maxAttempts", 2}};
  };
  const auto Service = [](const char *Name) {
    return nlohmann::json{{"name", Name},
                          {"healthPath", "/health"},
                          {"maxConns", 2000},
                          {"protocol", "h1"},
                          {"tls", false}};
  };
  return nlohmann::json{{"version", 7},
                        {"routes",
                         {Route("feed", FeedPort, "safe", 3000, "desk"),
                          Route("orders", OrderPort, "unsafe", 4000, "desk"),
                          Route("photos", FeedPort + 1, "upload", 8000, "intake")}},
                        {"services", {Service("desk"), Service("intake")}},
                        {"limits",
                         {{"maxHeaderBytes", 16384},
                          {"maxBodyBytes", 262144},
                          {"headerTimeoutMs", 3000},
                          {"idleTimeoutMs", 15000}}}}
      .dump();
}

} // namespace galenarelay::review
