#ifndef GALENARELAY_TESTS_WHOLE_PATH_H
#define GALENARELAY_TESTS_WHOLE_PATH_H

#include "galenarelay/agent/agent.h"
#include "galenarelay/node/balancer.h"
#include "galenarelay/standins/fabric/fabric.h"
#include "galenarelay/standins/store/store_server.h"
#include "galenarelay/standins/upstream/upstream_server.h"
#include "galenarelay/statechart/charts.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cppunit/TestAssert.h>

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace galenarelay::tests {

inline constexpr std::uint32_t LoopbackAddress = 0x7f000001;

/// A process of the system in the test: its own event loop, which the test may pause or abandon.
struct Process {
  boost::asio::io_context Io{1};
  common::Metrics Metrics;
  bool Runs = true; ///< False: paused, or killed if it never runs again.
  bool Left = false;
  std::unique_ptr<agent::Agent> Agent;
  std::unique_ptr<node::Balancer> Balancer;
};

/// What a caller was told about one request.
struct Reply {
  bool Ended = false;
  bool Broken = false;
  unsigned Status = 0;
  std::string Body;
};

/// Store, fabric, balancers, agents and upstreams on loopback sockets, in one thread.
class WholePath {
public:
  WholePath() : Store(Platform, {LoopbackAddress, 0}, {}) {
    standins::fabric::FabricOptions Options;
    Options.Return = {LoopbackAddress, 0};
    Options.Admin = {LoopbackAddress, 0};
    Fabric = std::make_unique<standins::fabric::Fabric>(Platform, Options, PlatformMetrics);
  }

  /// Adds a service address to the fabric and the service to the configuration to be published.
  common::Endpoint addService(const std::string &Name, const std::string &Selector) {
    Fabric->addService({LoopbackAddress, 0});
    const common::Endpoint Address = Fabric->services().back();
    Configuration.Services[Name] = {Address, Selector, std::chrono::seconds(10)};
    return Address;
  }

  void addUpstream(const std::string &Id, const std::string &App) {
    Configuration.UpstreamLabels[Id] = {{"app", App}};
    auto &Upstream = Upstreams[Id];
    Upstream = std::make_unique<standins::upstream::UpstreamServer>(
        Platform, common::Endpoint{LoopbackAddress, 0});
    auto &Made = Processes[Id];
    Made = std::make_unique<Process>();
    agent::AgentOptions Options;
    Options.Node = nodeOptions(Id);
    Options.Upstream = Upstream->local();
    Options.CallerReturnAddress = Fabric->returnAddress();
    Options.LifecycleChart = upstreamChart();
    Made->Agent = std::make_unique<agent::Agent>(Made->Io, Options, Made->Metrics);
    Made->Agent->start();
  }

  void addBalancer(const std::string &Id) {
    auto &Made = Processes[Id];
    Made = std::make_unique<Process>();
    Made->Balancer = std::make_unique<node::Balancer>(Made->Io, nodeOptions(Id), Made->Metrics);
    Made->Balancer->start();
  }

  void sprayOver(const std::vector<std::string> &Ids) {
    std::vector<common::Endpoint> Addresses;
    for (const std::string &Id : Ids)
      Addresses.push_back(process(Id).Balancer->node().self().Data);
    Fabric->setBalancers(Addresses);
  }

  /// Writes the configuration to the store under the next revision.
  void publish() {
    ++Configuration.RevisionNumber;
    const std::string Target = "/v1/kv/config?version=" + std::to_string(StoreVersion);
    call(Store.local(), "PUT", Target, config::toJson(Configuration).dump(),
         [this](const common::HttpResponse &Answer) {
           CPPUNIT_ASSERT_EQUAL(200U, Answer.Status);
           StoreVersion = nlohmann::json::parse(Answer.Body).at("version").get<std::uint64_t>();
         });
  }

  /// Starts an HTTP call on the platform's loop and waits for its answer.
  template <typename F>
  void call(common::Endpoint Server, const std::string &Method, const std::string &Target,
            const std::string &Body, F &&Take) {
    std::optional<common::Outcome<common::HttpResponse>> Answer;
    boost::asio::co_spawn(
        Platform,
        [&]() -> boost::asio::awaitable<void> {
          Answer = co_await common::httpCall(Server, Method, Target, Body, Patience);
        },
        boost::asio::detached);
    runUntil("an HTTP answer", [&] { return Answer.has_value(); });
    CPPUNIT_ASSERT(*Answer);
    Take(**Answer);
  }

  /// True if the process knows the present revision and that many live members.
  bool inForce(const std::string &Id, std::size_t Members) {
    bool Holds = false;
    call(admin(Id), "GET", "/v1/status", "", [&](const common::HttpResponse &Answer) {
      const auto Status = nlohmann::json::parse(Answer.Body);
      Holds = Status.at("revision").get<std::uint64_t>() == Configuration.RevisionNumber &&
              Status.at("members").get<std::size_t>() == Members;
    });
    return Holds;
  }

  void awaitInForce() {
    const std::size_t Live = liveCount();
    for (const auto &Entry : Processes)
      if (Entry.second->Runs && !Entry.second->Left)
        runUntil("revision in force on " + Entry.first, [&] { return inForce(Entry.first, Live); });
  }

  /// Active members of a service as one process sees them.
  std::size_t candidates(const std::string &Id, common::Endpoint Service) {
    std::size_t Count = 0;
    const std::string Flow = "127.0.0.9:4000-" + common::toString(Service);
    call(admin(Id), "GET", "/v1/explain?flow=" + Flow, "", [&](const common::HttpResponse &Answer) {
      Count = nlohmann::json::parse(Answer.Body).value("candidates", std::size_t{0});
    });
    return Count;
  }

  template <typename F> void runUntil(const std::string &What, F &&Holds) {
    const auto End = std::chrono::steady_clock::now() + Patience;
    while (!Holds()) {
      CPPUNIT_ASSERT_MESSAGE("timeout: " + What, std::chrono::steady_clock::now() < End);
      turn();
    }
  }

  /// Lets every running event loop work once.
  void turn() {
    std::size_t Worked = Platform.poll();
    Platform.restart();
    for (const auto &Entry : Processes) {
      if (!Entry.second->Runs || Entry.second->Left)
        continue;
      Worked += Entry.second->Io.poll();
      Entry.second->Io.restart();
    }
    if (Worked == 0)
      std::this_thread::sleep_for(std::chrono::microseconds(200));
  }

  void stopAgent(const std::string &Id) {
    Process &Stopping = process(Id);
    Stopping.Agent->stop([&Stopping] { Stopping.Left = true; });
  }

  [[nodiscard]] Process &process(const std::string &Id) { return *Processes.at(Id); }
  [[nodiscard]] standins::upstream::UpstreamServer &upstream(const std::string &Id) {
    return *Upstreams.at(Id);
  }
  /// Runs of a request ID on all upstreams.
  [[nodiscard]] std::size_t runs(const std::string &RequestId) const {
    std::size_t Count = 0;
    for (const auto &Entry : Upstreams)
      Count += Entry.second->runs().count(RequestId);
    return Count;
  }
  [[nodiscard]] common::Endpoint admin(const std::string &Id) const {
    const Process &Asked = *Processes.at(Id);
    return Asked.Agent ? Asked.Agent->self().Admin : Asked.Balancer->node().self().Admin;
  }
  [[nodiscard]] std::size_t liveCount() const {
    std::size_t Live = 0;
    for (const auto &Entry : Processes)
      Live += Entry.second->Runs && !Entry.second->Left ? 1 : 0;
    return Live;
  }

  /// Longest wait; a caller of a killed agent learns of it about 40 s later.
  static constexpr std::chrono::seconds Patience{240};

  boost::asio::io_context Platform{1};
  common::Metrics PlatformMetrics;
  standins::store::StoreServer Store;
  std::unique_ptr<standins::fabric::Fabric> Fabric;
  config::Configuration Configuration;

private:
  node::NodeOptions nodeOptions(const std::string &Id) const {
    node::NodeOptions Options;
    Options.Self.Id = Id;
    Options.Self.Zone = "z1";
    Options.Self.Data = Options.Self.Control = Options.Self.Admin = {LoopbackAddress, 0};
    Options.Store = Store.local();
    Options.Seed = 7;
    return Options;
  }

  static std::shared_ptr<const statechart::ChartTable> upstreamChart() {
    const auto Loaded = common::capture([] {
      return statechart::loadChart(std::string(GALENARELAY_SOURCE_DIR) + "/charts/upstream.json",
                                   statechart::UpstreamChart::vocabulary());
    });
    CPPUNIT_ASSERT(Loaded);
    return std::make_shared<const statechart::ChartTable>(*Loaded);
  }

  std::uint64_t StoreVersion = 0;
  std::map<std::string, std::unique_ptr<standins::upstream::UpstreamServer>> Upstreams;
  std::map<std::string, std::unique_ptr<Process>> Processes;
};

/// A caller with one TCP connection to the fabric.
class KeepAliveCaller {
public:
  KeepAliveCaller(WholePath &Path, common::Endpoint Service)
      : Path(Path), Service(Service),
        Stream(std::make_shared<boost::beast::tcp_stream>(Path.Platform)) {}

  /// Starts a request; the reply is filled in while the path runs.
  std::shared_ptr<Reply> start(const std::string &Method, const std::string &Target,
                               const std::string &RequestId, const std::string &Key = "") {
    auto Filled = std::make_shared<Reply>();
    boost::asio::co_spawn(Path.Platform,
                          exchange(Stream, Service, Method, Target, RequestId, Key, Filled),
                          boost::asio::detached);
    return Filled;
  }

  Reply request(const std::string &Method, const std::string &Target, const std::string &RequestId,
                const std::string &Key = "") {
    const auto Filled = start(Method, Target, RequestId, Key);
    Path.runUntil("a reply to " + RequestId, [&] { return Filled->Ended; });
    return *Filled;
  }

private:
  static boost::asio::awaitable<void> exchange(std::shared_ptr<boost::beast::tcp_stream> Stream,
                                               common::Endpoint Service, std::string Method,
                                               std::string Target, std::string RequestId,
                                               std::string Key, std::shared_ptr<Reply> Filled) {
    namespace http = boost::beast::http;
    constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
    Filled->Broken = true;
    if (!Stream->socket().is_open()) {
      const boost::asio::ip::tcp::endpoint Remote{boost::asio::ip::address_v4(Service.Address),
                                                  Service.Port};
      const auto [Refused] = co_await Stream->async_connect(Remote, AsTuple);
      Filled->Ended = Refused.failed();
      if (Filled->Ended)
        co_return;
    }
    http::request<http::string_body> Request;
    Request.method_string(Method);
    Request.target(Target);
    Request.version(11);
    Request.set(http::field::host, "test");
    Request.set("Galenarelay-Request-Id", RequestId);
    if (!Key.empty())
      Request.set("Idempotency-Key", Key);
    Request.prepare_payload();
    const auto [Unsent, Sent] = co_await http::async_write(*Stream, Request, AsTuple);
    boost::beast::flat_buffer Buffer;
    http::response<http::string_body> Response;
    const auto [Lost, Received] = co_await http::async_read(*Stream, Buffer, Response, AsTuple);
    Filled->Broken = Unsent.failed() || Lost.failed();
    Filled->Status = Response.result_int();
    Filled->Body = Response.body();
    Filled->Ended = true;
    if (!Response.keep_alive() || Filled->Broken)
      Stream->close();
  }

  WholePath &Path;
  common::Endpoint Service;
  std::shared_ptr<boost::beast::tcp_stream> Stream;
};

} // namespace galenarelay::tests

#endif // GALENARELAY_TESTS_WHOLE_PATH_H
