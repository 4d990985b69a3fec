#include "galenarelay/common/http.h"
#include "galenarelay/common/udp_socket.h"
#include "galenarelay/flow/stream.h"
#include "galenarelay/standins/fabric/fabric.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>
#include <map>
#include <thread>

namespace galenarelay::tests {

using namespace std::chrono_literals;
using namespace standins::fabric;
using boost::asio::ip::tcp;
using common::Endpoint;
using flow::Stream;
using flow::StreamState;
using Bytes = std::vector<std::uint8_t>;

namespace {

constexpr std::uint32_t Loopback = 0x7f000001;

/// Two balancers and one agent in one: returns every byte of each flow, then finishes.
class EchoService {
public:
  explicit EchoService(boost::asio::io_context &Io)
      : First(Io, {Loopback, 0}, [this](auto Raw, Endpoint) { onDatagram(Raw, FromFirst); }),
        Second(Io, {Loopback, 0}, [this](auto Raw, Endpoint) { onDatagram(Raw, FromSecond); }),
        Timer(Io) {
    tick();
  }

  common::UdpSocket First;
  common::UdpSocket Second;
  Endpoint Return;
  std::atomic<bool> Reads{true};
  std::atomic<bool> ResetsFlows{false};
  std::atomic<int> FromFirst{0};
  std::atomic<int> FromSecond{0};
  std::atomic<int> Broken{0};

private:
  void onDatagram(std::span<const std::uint8_t> Raw, std::atomic<int> &Count) {
    ++Count;
    const auto Received = common::capture([&] { return packet::parseFromCaller(Raw); });
    auto Known = Flows.find(Received->Key);
    if (Known == Flows.end() && Received->Bits.Syn)
      Known = Flows.emplace(Received->Key, Stream::accept(*Received, 7, common::steadyNow())).first;
    else if (Known != Flows.end())
      Known->second.onPacket(*Received, common::steadyNow());
    if (Known != Flows.end())
      serve(Known->second);
  }

  void serve(Stream &Flow) {
    if (Flow.state() == StreamState::Broken)
      ++Broken;
    if (Reads && Flow.writable() == Stream::MaxBufferedBytes)
      Flow.write(Flow.read());
    if (Flow.peerFinished())
      Flow.finish();
    if (ResetsFlows)
      Flow.reset();
    for (const packet::Packet &Each : Flow.takeOutput(common::steadyNow()))
      First.send(packet::serialize(Each), Return);
  }

  void tick() {
    Timer.expires_after(5ms);
    Timer.async_wait([this](boost::system::error_code Failure) {
      if (Failure)
        return;
      for (auto &[Key, Flow] : Flows) {
        Flow.onTimer(common::steadyNow());
        serve(Flow);
      }
      tick();
    });
  }

  boost::asio::steady_timer Timer;
  std::map<packet::FlowKey, Stream> Flows;
};

} // namespace

class FabricTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FabricTest);
  CPPUNIT_TEST(testTransfer_faultsAndRemovedBalancer_returnsAllBytes);
  CPPUNIT_TEST(testReset_byClient_reachesService);
  CPPUNIT_TEST(testReset_byService_reachesClient);
  CPPUNIT_TEST(testClient_slowService_isHeldBack);
  CPPUNIT_TEST(testAdmin_requests_areCheckedAndApplied);
  CPPUNIT_TEST_SUITE_END();

  boost::asio::io_context Io;
  std::optional<EchoService> Echo;
  common::Metrics Metrics;
  std::optional<Fabric> Running;
  std::thread Loop;

  tcp::socket connect() {
    tcp::socket Client(ClientIo);
    const Endpoint Service = Running->services().at(0);
    Client.connect({boost::asio::ip::address_v4(Service.Address), Service.Port});
    return Client;
  }

  common::HttpResponse call(const std::string &Method, const std::string &Path,
                            const std::string &Body = {}) {
    const auto Answer = common::httpCallBlocking(Running->admin(), Method, Path, Body, 10s);
    CPPUNIT_ASSERT(Answer);
    return *Answer;
  }

  boost::asio::io_context ClientIo;

public:
  void setUp() override {
    Echo.emplace(Io);
    FabricOptions Options;
    Options.Return = Options.Admin = {Loopback, 0};
    Options.Services = {{Loopback, 0}};
    Options.Balancers = {Echo->First.local(), Echo->Second.local()};
    Running.emplace(Io, Options, Metrics);
    Echo->Return = Running->returnAddress();
    Loop = std::thread([this] { Io.run(); });
  }

  void tearDown() override {
    Io.stop();
    Loop.join();
    Running.reset();
    Echo.reset();
  }

  // Guards against bytes that are lost, repeated or cut off between client and packets.
  void testTransfer_faultsAndRemovedBalancer_returnsAllBytes() {
    call("PUT", "/v1/faults", R"({"loss":0.02,"duplicate":0.05,"reorder":0.1,"delay_ms":1})");
    Bytes Data(2'000'000);
    for (std::size_t I = 0; I < Data.size(); ++I)
      Data[I] = static_cast<std::uint8_t>(I * 2654435761U >> 13);
    tcp::socket Client = connect();
    auto Writer = std::async(std::launch::async, [&] {
      boost::asio::write(Client, boost::asio::buffer(Data.data(), Data.size() / 2));
      // The kernel's buffers take the first half before any packet is sent.
      waitFor([&] { return Echo->FromFirst > 0; });
      call("PUT", "/v1/balancers", "[\"" + common::toString(Echo->Second.local()) + "\"]");
      const int Before = Echo->FromFirst;
      boost::asio::write(Client, boost::asio::buffer(Data) + Data.size() / 2);
      Client.shutdown(tcp::socket::shutdown_send);
      return Before;
    });
    Bytes Received(Data.size() + 1);
    boost::system::error_code End;
    const std::size_t Size = boost::asio::read(Client, boost::asio::buffer(Received), End);
    const int FromFirst = Writer.get();
    Received.resize(Size);
    CPPUNIT_ASSERT_EQUAL(std::string("End of file"), End.message());
    CPPUNIT_ASSERT(Received == Data);
    // Packets already queued at the removed balancer's socket may still arrive.
    CPPUNIT_ASSERT(FromFirst > 0 && Echo->FromFirst - FromFirst < Echo->FromSecond / 2);
  }

  // Guards against a service that keeps running for a client that has gone.
  void testReset_byClient_reachesService() {
    tcp::socket Client = connect();
    boost::asio::write(Client, boost::asio::buffer(Bytes(10)));
    Bytes Answer(10);
    boost::asio::read(Client, boost::asio::buffer(Answer));
    Client.set_option(boost::asio::socket_base::linger(true, 0));
    Client.close();
    waitFor([&] { return Echo->Broken > 0; });
    CPPUNIT_ASSERT(call("GET", "/metrics").Body.find("fabric_flows_broken_total 0") !=
                   std::string::npos);
  }

  // Guards against a client that waits for a flow that is lost, and against not counting it.
  void testReset_byService_reachesClient() {
    Echo->ResetsFlows = true;
    tcp::socket Client = connect();
    Bytes Answer(10);
    boost::system::error_code End;
    boost::asio::read(Client, boost::asio::buffer(Answer), End);
    CPPUNIT_ASSERT(End == boost::asio::error::connection_reset);
    waitFor([&] {
      return call("GET", "/metrics").Body.find("fabric_flows_broken_total 1") != std::string::npos;
    });
  }

  // Guards against a fabric that buffers without bound for a service that doesn't read.
  void testClient_slowService_isHeldBack() {
    Echo->Reads = false;
    tcp::socket Client = connect();
    Client.non_blocking(true);
    const Bytes Chunk(64 * 1024);
    // Kernel buffers of both sockets, the two stream buffers, and as much again.
    constexpr std::size_t Most = 32 * 1024 * 1024;
    std::size_t Written = 0;
    auto LastProgress = std::chrono::steady_clock::now();
    while (Written < Most && std::chrono::steady_clock::now() - LastProgress < 500ms) {
      boost::system::error_code Failure;
      const std::size_t Size = Client.write_some(boost::asio::buffer(Chunk), Failure);
      if (Size > 0)
        LastProgress = std::chrono::steady_clock::now();
      else
        std::this_thread::yield();
      Written += Size;
    }
    CPPUNIT_ASSERT(Written < Most);
    Echo->Reads = true;
    Bytes Received(Written);
    Client.non_blocking(false);
    CPPUNIT_ASSERT_EQUAL(Written, boost::asio::read(Client, boost::asio::buffer(Received)));
  }

  // Guards against test runs with other faults or addresses than they asked for.
  void testAdmin_requests_areCheckedAndApplied() {
    struct Row {
      const char *Path;
      const char *Body;
      unsigned Status;
    };
    const Row Rows[] = {{"/v1/faults", R"({"loss":0.5})", 200},
                        {"/v1/faults", R"({"loss":1.5})", 400},
                        {"/v1/faults", R"({"lost":0.5})", 400},
                        {"/v1/faults", R"({"delay_ms":-1})", 400},
                        {"/v1/faults", "[", 400},
                        {"/v1/balancers", R"(["127.0.0.1:9"])", 200},
                        {"/v1/balancers", R"(["127.0.0.1"])", 400},
                        {"/v1/balancers", "[7]", 400},
                        {"/v1/balancers", "{}", 400},
                        {"/v1/services", R"(["127.0.0.1:0"])", 200},
                        {"/v1/services", R"(["192.0.2.1:80"])", 400},
                        {"/v1/other", "[]", 404}};
    for (const Row &Case : Rows)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Body, Case.Status,
                                   call("PUT", Case.Path, Case.Body).Status);
    CPPUNIT_ASSERT_EQUAL(std::string("[\"127.0.0.1:9\"]\n"), call("GET", "/v1/balancers").Body);
    CPPUNIT_ASSERT(call("GET", "/v1/faults").Body.find("\"loss\":0.5") != std::string::npos);
    const auto Services = nlohmann::json::parse(call("GET", "/v1/services").Body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Services.size());
    CPPUNIT_ASSERT_EQUAL(200U, call("GET", "/healthz").Status);
  }

private:
  /// Polls without a fixed sleep; fails after the generous limit only if the event never comes.
  template <typename F> static void waitFor(F &&Happened) {
    const auto Stop = std::chrono::steady_clock::now() + 20s;
    while (!Happened()) {
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() < Stop);
      std::this_thread::yield();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FabricTest);

} // namespace galenarelay::tests
