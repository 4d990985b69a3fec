#include "parts.h"

#include "galenarelay/node/impl/call_pause.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace galenarelay::review {

using node::impl::sleepFor;

namespace {

constexpr auto Token = boost::asio::as_tuple(boost::asio::use_awaitable);

// Groups of addresses, their third octet.
constexpr std::uint32_t BalancerGroup = 1;
constexpr std::uint32_t AgentGroup = 2;
constexpr std::uint32_t CallerGroup = 3;
constexpr std::uint32_t StoreGroup = 4;

constexpr std::uint16_t PeerPort = 7002;
constexpr std::uint16_t AdminPort = 7003;
constexpr std::uint16_t ControlPort = 7004;
constexpr std::uint16_t ReadyPort = 7005;
constexpr std::uint16_t OutboundPort = 7006;
constexpr std::uint16_t AppPort = 7007;
constexpr std::uint16_t CheckInPort = 7008; ///< Of the link to the control address.
constexpr std::uint16_t StorePort = 7010;
// Second octets that are tried until one is free.
constexpr std::uint32_t FirstNet = 60;
constexpr std::uint32_t LastNet = 250;

constexpr auto TimerStep = std::chrono::milliseconds(10);
constexpr auto StartPatience = std::chrono::seconds(20);
constexpr auto GraceTime = std::chrono::seconds(6);
constexpr auto ReadinessTimeout = std::chrono::milliseconds(400);
constexpr std::uint32_t Slots = 5;
/// Times after the first SYN at which its copies are sent, and the attempt ends.
constexpr std::array<std::chrono::milliseconds, 2> CopyTimes{std::chrono::milliseconds(200),
                                                             std::chrono::milliseconds(600)};
constexpr auto ConnectTimeout = std::chrono::milliseconds(1400);

} // namespace

void Record::write(const std::string &Line) {
  File << now() << " " << Line << "\n";
  File.flush();
}

std::int64_t Record::now() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - StartedAt).count();
}

Program::~Program() {
  if (Process <= 0)
    return;
  ::kill(Process, SIGCONT);
  ::kill(Process, SIGKILL);
  ::waitpid(Process, nullptr, 0);
}

void Program::start() {
  const pid_t Child = ::fork();
  if (Child < 0)
    throw std::runtime_error("fork failed");
  if (Child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Output, STDOUT_FILENO);
    ::dup2(Output, STDERR_FILENO);
    for (int Each = STDERR_FILENO + 1; Each < 1024; ++Each)
      ::close(Each);
    ::execl(Binary.c_str(), Binary.c_str(), "--config", Settings.c_str(), nullptr);
    ::_exit(127);
  }
  Process = Child;
}

void Program::signal(int Number) const {
  if (Process > 0)
    ::kill(Process, Number);
}

bool Program::running() {
  if (Process > 0 && ::waitpid(Process, nullptr, WNOHANG) == Process)
    Process = 0;
  return Process > 0;
}

StoreProxy::StoreProxy(boost::asio::io_context &Io, common::Endpoint Local, common::Endpoint Behind)
    : Io(Io), Acceptor(Io, {boost::asio::ip::address_v4(Local.Address), Local.Port}),
      Behind(Behind) {
  boost::asio::co_spawn(Io, accept(), boost::asio::detached);
}

std::size_t StoreProxy::silenceOpen() {
  std::size_t Count = 0;
  for (const auto &Weak : std::exchange(Connections, {})) {
    const auto Each = Weak.lock();
    if (Each == nullptr || Each->Ended)
      continue;
    Each->Silent = true;
    ++Count;
  }
  return Count;
}

void StoreProxy::turnAway(bool On) {
  TurnsAway = On;
  for (const auto &Weak : Connections)
    if (const auto Each = Weak.lock(); On && Each != nullptr)
      reset(*Each);
}

std::size_t StoreProxy::open() const {
  return static_cast<std::size_t>(
      std::count_if(Connections.begin(), Connections.end(), [](const auto &Weak) {
        const auto Each = Weak.lock();
        return Each != nullptr && !Each->Ended;
      }));
}

void StoreProxy::reset(Connection &Each) {
  boost::system::error_code Ignored;
  Each.Node.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
  Each.Node.close(Ignored);
  Each.Store.close(Ignored);
}

boost::asio::awaitable<void> StoreProxy::accept() {
  while (true) {
    auto Each = std::make_shared<Connection>(Io);
    const auto [Failure] = co_await Acceptor.async_accept(Each->Node, Token);
    if (Failure)
      continue;
    if (TurnsAway) {
      reset(*Each);
      continue;
    }
    std::erase_if(Connections, [](const auto &Weak) { return Weak.expired(); });
    Connections.push_back(Each);
    boost::asio::co_spawn(Io, serve(std::move(Each)), boost::asio::detached);
  }
}

boost::asio::awaitable<void> StoreProxy::serve(std::shared_ptr<Connection> Each) {
  const boost::asio::ip::tcp::endpoint To(boost::asio::ip::address_v4(Behind.Address), Behind.Port);
  const auto [Failure] = co_await Each->Store.async_connect(To, Token);
  if (Failure)
    co_return;
  boost::asio::co_spawn(Io, copy(Each, true), boost::asio::detached);
  co_await copy(Each, false);
}

boost::asio::awaitable<void> StoreProxy::copy(std::shared_ptr<Connection> Each, bool FromStore) {
  std::array<char, 8192> Buffer{};
  auto &From = FromStore ? Each->Store : Each->Node;
  auto &To = FromStore ? Each->Node : Each->Store;
  while (true) {
    const auto [Failure, Size] = co_await From.async_read_some(boost::asio::buffer(Buffer), Token);
    // Neither bytes nor an end pass on a silent connection.
    if (Each->Silent) {
      if (Failure)
        co_return;
      continue;
    }
    if (Failure)
      break;
    const auto [WriteFailure, Written] =
        co_await boost::asio::async_write(To, boost::asio::buffer(Buffer.data(), Size), Token);
    if (WriteFailure)
      break;
  }
  Each->Ended = true;
  boost::system::error_code Ignored;
  Each->Node.close(Ignored);
  Each->Store.close(Ignored);
}

HoldingProxy::HoldingProxy(boost::asio::io_context &Io, common::Endpoint Local,
                           common::Endpoint Behind)
    : Io(Io), Acceptor(Io, {boost::asio::ip::address_v4(Local.Address), Local.Port}),
      Behind(Behind) {
  boost::asio::co_spawn(Io, accept(), boost::asio::detached);
}

boost::asio::awaitable<void> HoldingProxy::accept() {
  while (true) {
    auto Host = std::make_shared<Socket>(Io);
    const auto [Failure] = co_await Acceptor.async_accept(*Host, Token);
    if (!Failure)
      boost::asio::co_spawn(Io, serve(std::move(Host)), boost::asio::detached);
  }
}

boost::asio::awaitable<void> HoldingProxy::serve(std::shared_ptr<Socket> Host) {
  if (Holding) {
    ++Held;
    while (!Released)
      co_await sleepFor(TimerStep);
  }
  auto Node = std::make_shared<Socket>(Io);
  const boost::asio::ip::tcp::endpoint To(boost::asio::ip::address_v4(Behind.Address), Behind.Port);
  const auto [Failure] = co_await Node->async_connect(To, Token);
  if (Failure)
    co_return;
  boost::asio::co_spawn(Io, copy(Node, Host), boost::asio::detached);
  co_await copy(Host, Node);
}

// What the sender wrote before it ended is passed on.
boost::asio::awaitable<void> HoldingProxy::copy(std::shared_ptr<Socket> From,
                                                std::shared_ptr<Socket> To) {
  std::array<char, 8192> Buffer{};
  while (true) {
    const auto [Failure, Size] = co_await From->async_read_some(boost::asio::buffer(Buffer), Token);
    if (Failure)
      break;
    const auto [WriteFailure, Written] =
        co_await boost::asio::async_write(*To, boost::asio::buffer(Buffer.data(), Size), Token);
    if (WriteFailure)
      break;
  }
  boost::system::error_code Ignored;
  To->shutdown(Socket::shutdown_send, Ignored);
}

void Host::start(std::string NewId, std::string Of) {
  Id = std::move(NewId);
  Service = std::move(Of);
  Life = ++Lives;
  Born = static_cast<std::uint64_t>(common::wallMilliseconds());
  Socket = std::make_unique<common::UdpSocket>(
      Io, Where.App, [this](std::span<std::uint8_t> Raw, common::Endpoint) { onPacket(Raw); });
  Log.write("host " + Id + " of " + Service + " starts at " + common::toString(Where.App));
  boost::asio::co_spawn(Io, checkIn(), boost::asio::detached);
}

void Host::crash() {
  Log.write("host " + Id + " crashes");
  Life = 0;
  Flows.clear();
  Socket->close();
}

bool Host::holds(const packet::FlowKey &Key) const {
  const auto Found = Flows.find(Key);
  return Life != 0 && Found != Flows.end() && Found->second.Open && !Found->second.Ended;
}

void Host::onTimer(Clock::time_point Now) {
  for (auto &[Key, Each] : Flows)
    if (Each.Open)
      Each.Data->onTimer(Now);
}

void Host::onPacket(std::span<const std::uint8_t> Raw) {
  if (Life == 0)
    return;
  const auto Head = platform::PacketCodec::decode(Raw, relay::Side::Caller);
  if (!Head)
    return;
  if (Head->opensFlow())
    return accept(*Head);
  const auto Found = Flows.find(Head->Key);
  const bool Holds = Found != Flows.end() && !Found->second.Ended &&
                     (Found->second.Open || Head->Acknowledgement == Found->second.Start + 1);
  if (!Holds)
    return Socket->send(soak::markReturned(Raw), Where.Outbound);
  Flow &Held = Found->second;
  Held.Open = true;
  Held.Data->onPacket(*Head, soak::payloadOf(Raw), Clock::now());
  while (auto Text = Held.Data->takeMessage())
    boost::asio::co_spawn(Io, run(Head->Key, std::move(*Text)), boost::asio::detached);
  if (Head->Flags.Rst || Held.Data->peerEnded()) {
    if (Held.Data->peerEnded())
      Held.Data->sendEnd(Clock::now());
    Held.Ended = true;
  }
}

void Host::accept(const relay::PacketHeader &Head) {
  auto [Found, Added] = Flows.try_emplace(Head.Key);
  Flow &Held = Found->second;
  if (Added) {
    Held.Start = static_cast<std::uint32_t>(Random());
    Held.Data.emplace(Head.Key, false, Held.Start, Head.Sequence,
                      [this, Of = Life](const relay::Bytes &Packet) {
                        if (Life == Of)
                          Socket->send(Packet, Where.Outbound);
                      });
  }
  relay::PacketHeader Accept;
  Accept.Key = Head.Key;
  Accept.TowardsCaller = true;
  Accept.Flags.Syn = Accept.Flags.Ack = true;
  Accept.Sequence = Held.Start;
  Accept.Acknowledgement = Head.Sequence + 1;
  Socket->send(soak::buildPacket(Accept, ""), Where.Outbound);
}

boost::asio::awaitable<void> Host::run(packet::FlowKey Key, std::string Text) {
  const auto Of = Life;
  Ran(*this, std::stoull(Text), Key.Service);
  co_await sleepFor(WorkTime);
  const auto Found = Flows.find(Key);
  if (Life != Of || Found == Flows.end() || Found->second.Ended)
    co_return;
  Found->second.Data->sendMessage(Text + " " + Id, Clock::now());
}

// A check-in counts as acknowledged if its answer comes within a second. The next one follows an
// interval after the start of the one before.
boost::asio::awaitable<void> Host::checkIn() {
  const auto Of = Life;
  for (std::uint64_t Sequence = 1; Life == Of; ++Sequence) {
    const auto Begun = Clock::now();
    const nlohmann::json Body{{"service", Service},
                              {"address", common::toString(Where.App)},
                              {"zone", Zone},
                              {"version", "v1"},
                              {"concurrencyLimit", Slots},
                              {"state", "ready"},
                              {"remainingColdMs", 0},
                              {"sequence", Sequence},
                              {"born", Born}};
    const std::string Name = Id + " check-in " + std::to_string(Sequence);
    Log.write(Name + " is sent");
    const auto Answer = co_await common::httpCall(Where.Control, "PUT", "/-/instances/" + Id,
                                                  Body.dump(), HeartbeatTimeout);
    if (Life != Of)
      co_return;
    const bool Taken = Answer && Answer->Status == 200;
    Acknowledged += Taken ? 1 : 0;
    Log.write(Name + (Taken ? " is acknowledged" : " fails"));
    const auto Rest = Heartbeat - (Clock::now() - Begun);
    co_await sleepFor(std::chrono::duration_cast<common::Duration>(Rest));
  }
}

Callers::Callers(boost::asio::io_context &Io, common::Endpoint Local, Record &Log,
                 std::uint64_t Seed)
    : Local(Local), Log(Log), Random(Seed),
      Socket(Io, Local, [this](std::span<std::uint8_t> Raw, common::Endpoint) { onPacket(Raw); }) {}

Attempt Callers::ask(common::Endpoint Route, bool Keep) {
  const packet::FlowKey Key{{Local.Address, ++NextPort}, Route};
  Flow &Of = Flows[Key];
  Of.Asked = {NextId++, Route, Clock::now(), balancerOf(Key)};
  Of.Start = static_cast<std::uint32_t>(Random());
  Of.Keep = Keep;
  Log.write("attempt " + std::to_string(Of.Asked.Id) + " for " + common::toString(Route) +
            " is sent");
  sendSyn(Key, Of);
  return Of.Asked;
}

std::vector<std::pair<packet::FlowKey, std::size_t>> Callers::keptFlows() const {
  std::vector<std::pair<packet::FlowKey, std::size_t>> Kept;
  for (const auto &[Key, Of] : Flows)
    if (Of.Keep && Of.Data && !Of.Reset)
      Kept.emplace_back(Key, Of.Asked.Balancer);
  return Kept;
}

void Callers::askOnKept() {
  for (auto &[Key, Of] : Flows) {
    if (!Of.Keep || !Of.Data || Of.Reset || !Of.Done)
      continue;
    Of.Asked.Id = NextId++;
    Of.Asked.SentAt = Clock::now();
    Of.Done = false;
    Log.write("attempt " + std::to_string(Of.Asked.Id) + " is sent on the open flow " +
              packet::toString(Key));
    Of.Data->sendMessage(std::to_string(Of.Asked.Id), Clock::now());
  }
}

void Callers::onTimer(Clock::time_point Now) {
  for (auto It = Flows.begin(); It != Flows.end();) {
    auto &[Key, Of] = *It;
    const auto Age = Now - Of.Asked.SentAt;
    if (Of.Data) {
      Of.Data->onTimer(Now);
    } else if (!Of.Done && Of.Copies <= CopyTimes.size()) {
      if (Age >= CopyTimes[Of.Copies - 1])
        sendSyn(Key, Of);
    }
    if (!Of.Data && !Of.Done && Age >= ConnectTimeout) {
      Log.write("attempt " + std::to_string(Of.Asked.Id) + " gets no flow");
      Of.Done = true;
    }
    It = !Of.Keep && Age > std::chrono::seconds(10) ? Flows.erase(It) : std::next(It);
  }
}

void Callers::sendSyn(const packet::FlowKey &Key, Flow &Of) {
  relay::PacketHeader Head;
  Head.Key = Key;
  Head.Flags.Syn = true;
  Head.Sequence = Of.Start;
  Head.Acknowledgement = Of.Copies++;
  if (Of.Copies > CopyTimes.size())
    Of.Copies = CopyTimes.size() + 1;
  send(Key, soak::buildPacket(Head, ""));
}

std::size_t Callers::balancerOf(const packet::FlowKey &Key) const {
  return packet::hash(Key) % Balancers.size();
}

void Callers::send(const packet::FlowKey &Key, const relay::Bytes &Packet) {
  if (!Balancers.empty())
    Socket.send(Packet, Balancers[balancerOf(Key)]);
}

void Callers::onPacket(std::span<const std::uint8_t> Raw) {
  const auto Head = platform::PacketCodec::decode(Raw, relay::Side::Upstream);
  if (!Head || !Head->TowardsCaller)
    return;
  const auto Found = Flows.find(Head->Key);
  if (Found == Flows.end())
    return;
  Flow &Of = Found->second;
  const std::string Name = "attempt " + std::to_string(Of.Asked.Id);
  if (Head->Flags.Rst)
    return onReset(*Head, soak::isSystemReset(Raw), Of);
  if (Head->Flags.Syn && Head->Flags.Ack) {
    if (Of.Data || Of.Done)
      return;
    const packet::FlowKey Key = Head->Key;
    Of.Data.emplace(Key, true, Of.Start, Head->Sequence, [this, Key](const relay::Bytes &Packet) {
      const auto Sent = platform::PacketCodec::decode(Packet, relay::Side::Caller);
      if (const auto Sender = Flows.find(Key); Sent && Sender != Flows.end())
        Sender->second.Acknowledged = Sent->Acknowledgement;
      send(Key, Packet);
    });
    Of.Data->sendMessage(std::to_string(Of.Asked.Id), Clock::now());
    return;
  }
  if (!Of.Data)
    return;
  Of.Data->onPacket(*Head, soak::payloadOf(Raw), Clock::now());
  while (const auto Text = Of.Data->takeMessage()) {
    Log.write(Name + " is answered: " + *Text);
    if (std::exchange(Of.Done, true))
      continue;
    ++Answered;
    if (!Of.Keep)
      Of.Data->sendEnd(Clock::now());
  }
}

// An open flow accepts a reset only near the caller's last acknowledgement.
void Callers::onReset(const relay::PacketHeader &Head, bool BySystem, Flow &Of) {
  constexpr std::uint32_t Window = 76'800;
  const std::string Name = "attempt " + std::to_string(Of.Asked.Id);
  const bool InWindow = Head.Sequence - Of.Acknowledged + Window <= 2 * Window;
  if (Of.Reset || (Of.Data && BySystem && !InWindow))
    return;
  Of.Reset = Of.Done = true;
  ++Refused;
  Log.write(Name + " is reset by " + (BySystem ? "the system" : "its host") +
            (Of.Data ? " on its open flow" : ", its flow wasn't open"));
  if (Of.Data && BySystem && OnOpenFlowReset)
    OnOpenFlowReset(Head.Key);
}

Deployment::Deployment(boost::asio::io_context &Io, DeploymentOptions Options, Record &Log,
                       Host::OnRun Ran)
    : Io(Io), Chosen(std::move(Options)), Log(Log) {
  for (Net = FirstNet; Store == nullptr; Net += Store ? 0 : 1) {
    try {
      Store = std::make_unique<soak::StoreStandin>(Io, address(StoreGroup, 0, StorePort), 1);
    } catch (const boost::system::system_error &) {
      if (Net == LastNet)
        throw;
    }
  }
  Users = std::make_unique<Callers>(Io, address(CallerGroup, 0, PacketPort), Log, 7);
  for (std::size_t I = 0; I < Chosen.Balancers; ++I) {
    const std::string Name = "frontend-" + std::to_string(I);
    writeSettings(Name, BalancerGroup, I, "");
    StoreLinks.push_back(
        std::make_unique<StoreProxy>(Io, storeLink(I), address(StoreGroup, 0, StorePort)));
    Entries.push_back(std::make_unique<Program>(Chosen.Programs + "/galenarelay-relay-balancer",
                                                Chosen.Work + "/" + Name + ".ini",
                                                Chosen.Work + "/" + Name + ".log"));
  }
  for (std::size_t I = 0; I < Chosen.Services.size(); ++I) {
    const std::string Name = "side-" + std::to_string(I);
    writeAgentSettings(I, Chosen.Services[I]);
    Agents.push_back(std::make_unique<Program>(Chosen.Programs + "/galenarelay-relay-agent",
                                               Chosen.Work + "/" + Name + ".ini",
                                               Chosen.Work + "/" + Name + ".log"));
    CheckInLinks.push_back(std::make_unique<HoldingProxy>(Io, address(AgentGroup, I, CheckInPort),
                                                          address(AgentGroup, I, ControlPort)));
    Hosts.push_back(std::make_unique<Host>(Io,
                                           Host::Addresses{address(AgentGroup, I, AppPort),
                                                           address(AgentGroup, I, OutboundPort),
                                                           address(AgentGroup, I, CheckInPort)},
                                           zoneOf(I), Log, Ran, 100 + I));
  }
}

common::Endpoint Deployment::address(std::uint32_t Group, std::size_t Number,
                                     std::uint16_t Port) const {
  constexpr std::uint32_t Loopback = 127U << 24U;
  return {Loopback | (Net << 16U) | (Group << 8U) | (static_cast<std::uint32_t>(Number) + 1U),
          Port};
}

common::Endpoint Deployment::storeLink(std::size_t Balancer) const {
  return address(StoreGroup, 1 + Balancer, StorePort);
}

std::string Deployment::zoneOf(std::size_t Number) const {
  constexpr std::array Names{"macon-a", "macon-b", "savannah-c"};
  return Names.at(Number % Chosen.Zones);
}

void Deployment::writeAgentSettings(std::size_t Number, const std::string &Service) const {
  writeSettings("side-" + std::to_string(Number), AgentGroup, Number, Service);
}

// The keys of the templates of the deploy file.
void Deployment::writeSettings(const std::string &Name, std::uint32_t Group, std::size_t Number,
                               const std::string &Service) const {
  const auto Text = [&](std::uint16_t Port) {
    return common::toString(address(Group, Number, Port));
  };
  std::ofstream File(Chosen.Work + "/" + Name + ".ini");
  File << "[node]\nid = " << Name << "\nzone = " << zoneOf(Number)
       << "\npackets = " << Text(PacketPort) << "\npeers = " << Text(PeerPort)
       << "\nadmin = " << Text(AdminPort) << "\ncontrol = " << Text(ControlPort)
       << "\nreadiness = " << Text(ReadyPort)
       << "\nseeds = " << common::toString(address(BalancerGroup, 0, ControlPort))
       << "\n\n[store]\naddress = "
       << common::toString(Group == BalancerGroup ? storeLink(Number)
                                                  : address(StoreGroup, 0, StorePort))
       << "\n";
  if (Service.empty()) {
    File << "\n[policy]\nwith = zone_placement,upstream_damping,restart_recovery,"
            "shared_contention\n";
    return;
  }
  File << "\n[upstream]\nservice = " << Service << "\naddress = " << Text(AppPort)
       << "\noutbound = " << Text(OutboundPort) << "\nheartbeat_ms = " << Heartbeat.count()
       << "\n\n[policy]\nwith = upstream_damping,restart_recovery\n";
}

void Deployment::configure(const std::map<common::Endpoint, std::string> &Services,
                           const std::string &Type) {
  Version += 3;
  nlohmann::json Routes = nlohmann::json::array();
  std::string Line = "manifest " + std::to_string(Version) + " is acknowledged:";
  for (const auto &[Route, Service] : Services) {
    Routes.push_back({{"name", "r" + std::to_string(Route.Port)},
                      {"hostname", common::addressToString(Route.Address)},
                      {"prefix", "/" + std::to_string(Route.Port) + "/"},
                      {"service", Service},
                      {"type", Type},
                      {"timeoutMs", 4000},
                      {"targetLatencyMs", 250},
                      {"priority", 1}});
    Line += " " + common::toString(Route) + "=" + Service;
  }
  Store->put("op/config", nlohmann::json{{"version", Version},
                                         {"routes", std::move(Routes)},
                                         {"services", nlohmann::json::array()},
                                         {"limits", {{"idleTimeoutMs", 30000}}}}
                              .dump());
  Log.write(Line);
}

boost::asio::awaitable<bool> Deployment::start() {
  for (const auto &Each : Entries)
    Each->start();
  for (const auto &Each : Agents)
    Each->start();
  co_await sleepFor(std::chrono::milliseconds(300));
  if (Chosen.DelaysFirstCheckIn)
    CheckInLinks.front()->hold();
  for (std::size_t I = 0; I < Hosts.size(); ++I)
    Hosts[I]->start("h" + std::to_string(I) + "-1", Chosen.Services[I]);
  boost::asio::co_spawn(Io, tick(), boost::asio::detached);
  co_await sleepFor(std::chrono::milliseconds(200));
  CheckInLinks.front()->endHold();
  const auto Begun = Clock::now();
  std::vector<common::Endpoint> Ready;
  while (Ready.size() < Entries.size() && Clock::now() - Begun < StartPatience) {
    co_await sleepFor(std::chrono::milliseconds(500));
    Ready.clear();
    for (std::size_t I = 0; I < Entries.size(); ++I) {
      const auto Answer = co_await common::httpCall(address(BalancerGroup, I, ReadyPort), "GET",
                                                    "/-/ready", "", ReadinessTimeout);
      if (Answer && Answer->Status == 200)
        Ready.push_back(address(BalancerGroup, I, PacketPort));
    }
  }
  const bool All = Ready.size() == Entries.size();
  Log.write(std::to_string(Ready.size()) + " of " + std::to_string(Entries.size()) +
            " balancers are ready");
  Users->setBalancers(std::move(Ready));
  co_return All;
}

void Deployment::rotate(const std::vector<std::size_t> &Numbers) {
  std::vector<common::Endpoint> Ready;
  std::string Line = "in rotation:";
  for (const auto Number : Numbers) {
    Ready.push_back(address(BalancerGroup, Number, PacketPort));
    Line += " frontend-" + std::to_string(Number);
  }
  Users->setBalancers(std::move(Ready));
  Log.write(Line);
}

boost::asio::awaitable<void> Deployment::restart(Program &Node, std::chrono::milliseconds Pause) {
  Node.signal(SIGTERM);
  for (const auto Begun = Clock::now(); Node.running() && Clock::now() - Begun < GraceTime;)
    co_await sleepFor(TimerStep);
  Node.signal(SIGKILL);
  co_await sleepFor(Pause);
  Node.start();
}

bool Deployment::lostProcess() {
  bool Lost = false;
  for (const auto *List : {&Entries, &Agents})
    for (const auto &Each : *List)
      Lost = Lost || !Each->running();
  return Lost;
}

boost::asio::awaitable<void> Deployment::tick() {
  while (true) {
    const auto Now = Clock::now();
    Users->onTimer(Now);
    for (const auto &Each : Hosts)
      Each->onTimer(Now);
    co_await sleepFor(TimerStep);
  }
}

} // namespace galenarelay::review
