#include "galenarelay/standins/fabric/fabric.h"

#include "galenarelay/common/http.h"
#include "galenarelay/common/udp_socket.h"
#include "galenarelay/standins/fabric/impl/connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <set>
#include <unordered_map>

namespace galenarelay::standins::fabric {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using common::Endpoint;
using common::HttpRequest;
using common::HttpResponse;
using common::steadyNow;
using common::TimePoint;
using impl::Connection;
using nlohmann::json;
using packet::FlowKey;

namespace {

/// Packets that wait for their delay; more are lost, as in a full queue of a network.
constexpr std::size_t MaxDelayedPackets = 100'000;

Endpoint fromAsio(const tcp::endpoint &Value) {
  return {Value.address().to_v4().to_uint(), Value.port()};
}

json toJson(const std::vector<Endpoint> &List) {
  json Texts = json::array();
  for (const Endpoint &Each : List)
    Texts.push_back(common::toString(Each));
  return Texts;
}

json toJson(const Faults &Rules) {
  return {{"loss", Rules.Loss},
          {"duplicate", Rules.Duplicate},
          {"reorder", Rules.Reorder},
          {"delay_ms", static_cast<double>(Rules.Delay.count()) / 1000}};
}

HttpResponse answer(const json &Document) { return {200, Document.dump() + "\n"}; }

HttpResponse refusal(const std::string &Detail) {
  return {400, json{{"error", "Usage"}, {"detail", Detail}}.dump() + "\n"};
}

/// Reads a JSON list of addresses. Errors: SettingsBadValue.
common::Result<std::vector<Endpoint>> endpointsFrom(const std::string &Body) {
  const json List = json::parse(Body, nullptr, false);
  if (!List.is_array())
    return common::fail(common::ResultCode::SettingsBadValue, "the body isn't a JSON list");
  std::vector<Endpoint> Parsed;
  for (const json &Text : List) {
    BOOST_LEAF_AUTO(Each, common::parseEndpoint(Text.is_string() ? Text.get<std::string>() : ""));
    Parsed.push_back(Each);
  }
  return Parsed;
}

/// Reads faults; absent fields keep their values. Errors: SettingsBadValue.
common::Result<Faults> faultsFrom(const std::string &Body, const Faults &Known) {
  json Document = toJson(Known);
  const json Changes = json::parse(Body, nullptr, false);
  if (!Changes.is_object())
    return common::fail(common::ResultCode::SettingsBadValue, "the body isn't a JSON object");
  for (const auto &[Name, Value] : Changes.items()) {
    const double Most = Name == "delay_ms" ? 60'000 : 1;
    const bool Valid = Document.contains(Name) && Value.is_number() && Value.get<double>() >= 0 &&
                       Value.get<double>() <= Most;
    if (!Valid)
      return common::fail(common::ResultCode::SettingsBadValue,
                          "'" + Name + "' isn't loss, duplicate, reorder (0 to 1) or delay_ms");
    Document[Name] = Value;
  }
  const auto Microseconds = static_cast<std::int64_t>(Document["delay_ms"].get<double>() * 1000);
  return Faults{Document["loss"], Document["duplicate"], Document["reorder"],
                common::Duration(Microseconds)};
}

} // namespace

struct Fabric::State : std::enable_shared_from_this<Fabric::State> {
  struct Delayed {
    Endpoint To; ///< Port 0 marks a packet towards a client.
    std::vector<std::uint8_t> Bytes;
  };

  struct Entry {
    std::shared_ptr<Connection> Link;
    std::optional<TimePoint> ArmedAt; ///< The connection's only valid entry in Timers.
  };

  State(asio::io_context &Io, const FabricOptions &Options, common::Metrics &Metrics)
      : Io(Io), Injector(Options.Seed), Balancers(Options.Balancers), Metrics(Metrics), Wakeup(Io),
        Data(Io, Options.Return,
             [this](std::span<const std::uint8_t> Bytes, Endpoint) { onDatagram(Bytes); }),
        Admin(Io, Options.Admin,
              [this](HttpRequest Request) -> asio::awaitable<HttpResponse> {
                co_return onRequest(Request);
              }),
        Sent(count("sent", "Packets sent to balancers")),
        Received(count("received", "Packets received from agents")),
        Lost(count("lost", "Packets lost by injected faults or without a balancer")),
        Unknown(count("unknown", "Packets from agents that no connection takes")),
        Opened(Metrics.counter("fabric_flows_opened_total", "Connections accepted")),
        Broken(Metrics.counter("fabric_flows_broken_total",
                               "Flows that the service's side reset or left unanswered")),
        Open(Metrics.gauge("fabric_flows_open", "Connections and their lingering streams")) {
    Injector.setFaults(Options.Rules);
  }

  prometheus::Counter &count(const std::string &Event, const std::string &Help) {
    return Metrics.counter("fabric_packets_" + Event + "_total", Help);
  }

  void listen(Endpoint Address) {
    tcp::acceptor Listener(Io, tcp::endpoint(asio::ip::address_v4(Address.Address), Address.Port));
    const Endpoint Bound = fromAsio(Listener.local_endpoint());
    Services.push_back(Bound);
    accept(Listeners.emplace(Bound, std::move(Listener)).first->second, Bound);
  }

  void accept(tcp::acceptor &Listener, Endpoint Service) {
    Listener.async_accept(
        [Self = shared_from_this(), &Listener, Service](error_code Failure, tcp::socket Socket) {
          if (Self->Closed || Failure == asio::error::operation_aborted)
            return;
          if (!Failure)
            Self->open(std::move(Socket), Service);
          Self->accept(Listener, Service);
        });
  }

  void open(tcp::socket Socket, Endpoint Service) {
    error_code Failure;
    const auto Peer = Socket.remote_endpoint(Failure);
    if (Failure)
      return; // The client has reset the connection already.
    const FlowKey Key{fromAsio(Peer), Service};
    if (const auto Known = Connections.find(Key); Known != Connections.end())
      Known->second.Link->close(); // A stream that lingers after its client has reused the port.
    auto Made = std::make_shared<Connection>(
        std::move(Socket), Key, Injector.initialSequence(),
        [this](const packet::Packet &Each) { spray(packet::serialize(Each)); },
        [this](const std::shared_ptr<Connection> &Each) { onChanged(Each); });
    Connections[Key] = {Made, std::nullopt};
    Opened.Increment();
    Made->start();
  }

  void onChanged(const std::shared_ptr<Connection> &Changed) {
    const auto Known = Connections.find(Changed->key());
    const bool Current = Known != Connections.end() && Known->second.Link == Changed;
    if (!Current)
      return;
    if (Changed->finished()) {
      if (Changed->brokenByService())
        Broken.Increment();
      Connections.erase(Known);
    } else {
      arm(Known->second);
    }
    Open.Set(static_cast<double>(Connections.size()));
  }

  /// A stream's timer often moves to a later time; it is then armed again when it fires.
  void arm(Entry &Of) {
    const auto When = Of.Link->nextTimer();
    if (!When || (Of.ArmedAt && *Of.ArmedAt <= *When))
      return;
    Of.ArmedAt = When;
    Timers.emplace(*When, Of.Link->key());
    wake(*When);
  }

  void spray(std::vector<std::uint8_t> Bytes) {
    if (Balancers.empty()) {
      Lost.Increment();
      return;
    }
    deliver(Balancers[Injector.pick(Balancers.size())], std::move(Bytes));
  }

  void onDatagram(std::span<const std::uint8_t> Bytes) {
    Received.Increment();
    deliver({}, {Bytes.begin(), Bytes.end()});
  }

  void deliver(Endpoint To, std::vector<std::uint8_t> Bytes) {
    const auto Delays = Injector.deliveries();
    if (Delays.empty())
      Lost.Increment();
    for (const common::Duration Delay : Delays) {
      if (Delay == common::Duration::zero()) {
        arrive({To, Bytes});
      } else if (Waiting.size() < MaxDelayedPackets) {
        const TimePoint When = steadyNow() + Delay;
        Waiting.emplace(When, Delayed{To, Bytes});
        wake(When);
      } else {
        Lost.Increment();
      }
    }
  }

  void arrive(const Delayed &Arrived) {
    if (Arrived.To.Port != 0) {
      Sent.Increment();
      Data.send(Arrived.Bytes, Arrived.To);
      return;
    }
    const auto Parsed = common::capture([&] { return packet::parseFromService(Arrived.Bytes); });
    const auto Known = Parsed ? Connections.find(Parsed->Key) : Connections.end();
    if (Known == Connections.end()) {
      Unknown.Increment();
      return;
    }
    const auto Kept = Known->second.Link; // The connection may remove itself.
    Kept->onPacket(*Parsed);
  }

  void wake(TimePoint When) {
    if (WakeupAt && *WakeupAt <= When)
      return;
    WakeupAt = When;
    Wakeup.expires_after(std::max(When - steadyNow(), common::Duration::zero()));
    Wakeup.async_wait([Self = shared_from_this()](error_code Failure) {
      if (!Failure && !Self->Closed)
        Self->onWakeup();
    });
  }

  void onWakeup() {
    WakeupAt.reset();
    const TimePoint Now = steadyNow();
    while (!Waiting.empty() && Waiting.begin()->first <= Now) {
      const Delayed Arrived = std::move(Waiting.begin()->second);
      Waiting.erase(Waiting.begin());
      arrive(Arrived);
    }
    while (!Timers.empty() && Timers.begin()->first <= Now) {
      const auto When = Timers.begin()->first;
      const FlowKey Key = Timers.begin()->second;
      Timers.erase(Timers.begin());
      const auto Known = Connections.find(Key);
      if (Known != Connections.end() && Known->second.ArmedAt == When)
        onTimer(Known->second, Now);
    }
    if (!Waiting.empty())
      wake(Waiting.begin()->first);
    if (!Timers.empty())
      wake(Timers.begin()->first);
  }

  void onTimer(Entry &Of, TimePoint Now) {
    Of.ArmedAt.reset();
    const auto Kept = Of.Link; // The connection may remove itself.
    if (Kept->nextTimer() <= Now)
      Kept->onTimer();
    else
      arm(Of);
  }

  HttpResponse onRequest(const HttpRequest &Request) {
    const std::string Route = Request.Method + " " + Request.Path;
    if (Route == "GET /healthz")
      return answer({{"status", "ok"}});
    if (Route == "GET /metrics")
      return {200, Metrics.render(), "text/plain; version=0.0.4"};
    if (Route == "GET /v1/balancers")
      return answer(toJson(Balancers));
    if (Route == "GET /v1/services")
      return answer(toJson(Services));
    if (Route == "GET /v1/faults")
      return answer(toJson(Injector.faults()));
    if (Route == "PUT /v1/faults")
      return putFaults(Request.Body);
    if (Route == "PUT /v1/balancers" || Route == "PUT /v1/services")
      return putEndpoints(Request.Path, Request.Body);
    return {404, "{\"error\":\"no such path\"}\n"};
  }

  HttpResponse putFaults(const std::string &Body) {
    const auto Parsed = common::capture([&] { return faultsFrom(Body, Injector.faults()); });
    if (!Parsed)
      return refusal(Parsed.Failure.Detail);
    Injector.setFaults(*Parsed);
    return answer(toJson(Injector.faults()));
  }

  HttpResponse putEndpoints(const std::string &Path, const std::string &Body) {
    const auto Parsed = common::capture([&] { return endpointsFrom(Body); });
    if (!Parsed)
      return refusal(Parsed.Failure.Detail);
    if (Path == "/v1/balancers") {
      Balancers = *Parsed;
      return answer(toJson(Balancers));
    }
    for (const Endpoint &Each : *Parsed) {
      if (Listeners.contains(Each))
        continue;
      try {
        listen(Each);
      } catch (const boost::system::system_error &Problem) {
        return refusal(common::toString(Each) + ": " + Problem.what());
      }
    }
    return answer(toJson(Services));
  }

  void close() {
    Closed = true;
    for (auto &[Address, Listener] : Listeners) {
      error_code Ignored;
      Listener.close(Ignored);
    }
    for (auto &[Key, Each] : Connections)
      Each.Link->close();
    Connections.clear();
    Wakeup.cancel();
    Data.close();
    Admin.close();
  }

  asio::io_context &Io;
  FaultInjector Injector;
  std::vector<Endpoint> Balancers;
  common::Metrics &Metrics;
  asio::steady_timer Wakeup;
  std::optional<TimePoint> WakeupAt;
  common::UdpSocket Data;
  common::HttpServer Admin;
  std::map<Endpoint, tcp::acceptor> Listeners;
  std::vector<Endpoint> Services;
  std::unordered_map<FlowKey, Entry, packet::FlowKeyHash> Connections;
  std::multimap<TimePoint, Delayed> Waiting;
  std::set<std::pair<TimePoint, FlowKey>> Timers;
  bool Closed = false;
  prometheus::Counter &Sent;
  prometheus::Counter &Received;
  prometheus::Counter &Lost;
  prometheus::Counter &Unknown;
  prometheus::Counter &Opened;
  prometheus::Counter &Broken;
  prometheus::Gauge &Open;
};

Fabric::Fabric(asio::io_context &Io, const FabricOptions &Options, common::Metrics &Metrics)
    : Shared(std::make_shared<State>(Io, Options, Metrics)) {
  for (const Endpoint &Each : Options.Services)
    Shared->listen(Each);
}

Fabric::~Fabric() { Shared->close(); }

Endpoint Fabric::returnAddress() const { return Shared->Data.local(); }

Endpoint Fabric::admin() const { return Shared->Admin.local(); }

std::vector<Endpoint> Fabric::services() const { return Shared->Services; }

void Fabric::setBalancers(std::vector<Endpoint> Balancers) {
  Shared->Balancers = std::move(Balancers);
}

void Fabric::setFaults(const Faults &Rules) { Shared->Injector.setFaults(Rules); }

void Fabric::addService(Endpoint Address) { Shared->listen(Address); }

void Fabric::close() { Shared->close(); }

} // namespace galenarelay::standins::fabric
