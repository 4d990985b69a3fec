#include "galenarelay/common/hash.h"
#include "galenarelay/common/http.h"
#include "galenarelay/standins/upstream/upstream_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace galenarelay::tests {

namespace asio = boost::asio;
using asio::ip::tcp;
using common::Endpoint;
using standins::upstream::UpstreamServer;

class UpstreamServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamServerTest);
  CPPUNIT_TEST(testRoutes_request_answersAndRecordsRun);
  CPPUNIT_TEST(testRefusal_shedOrDrain_leavesNoRun);
  CPPUNIT_TEST(testSlots_allBusy_requestsWaitOrAreShed);
  CPPUNIT_TEST(testDeadline_passed_endsRun);
  CPPUNIT_TEST(testCancel_peerCloses_isRecorded);
  CPPUNIT_TEST(testFeed_running_holdsNoSlot);
  CPPUNIT_TEST(testReports_falseOrLate_followControl);
  CPPUNIT_TEST(testControl_faultyBody_isRefused);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::chrono::seconds Patience{20};

  std::unique_ptr<asio::io_context> Io;
  std::unique_ptr<UpstreamServer> Server;
  std::thread Runner;
  Endpoint Address;

  /// One connection on which a test writes and reads raw HTTP.
  struct Peer {
    asio::io_context Io;
    tcp::socket Socket{Io};

    explicit Peer(Endpoint To) { Socket.connect({asio::ip::address_v4(To.Address), To.Port}); }
    void send(const std::string &Text) { asio::write(Socket, asio::buffer(Text)); }
    std::string readAll() {
      std::string Text;
      boost::system::error_code Ended;
      asio::read(Socket, asio::dynamic_buffer(Text), Ended);
      return Text;
    }
  };

  static std::string request(const std::string &Line, const std::string &Headers = {},
                             const std::string &Body = {}) {
    return Line + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + Headers +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  std::string call(const std::string &Text) const {
    Peer Caller(Address);
    Caller.send(Text);
    return Caller.readAll();
  }

  nlohmann::json get(const std::string &Path) const {
    const auto Answer = common::httpCallBlocking(Address, "GET", Path, "", Patience);
    CPPUNIT_ASSERT_MESSAGE(Answer.Failure.Detail, static_cast<bool>(Answer));
    return nlohmann::json::parse(Answer->Body);
  }

  void control(const nlohmann::json &Changes) const {
    const auto Answer =
        common::httpCallBlocking(Address, "PUT", "/control", Changes.dump(), Patience);
    CPPUNIT_ASSERT(Answer);
    CPPUNIT_ASSERT_EQUAL(200U, Answer->Status);
  }

  /// Polls until the condition holds.
  template <typename Condition> static void await(const Condition &Holds) {
    const auto End = std::chrono::steady_clock::now() + Patience;
    while (!Holds()) {
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() < End);
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  void awaitLoad(std::uint32_t Busy, std::uint32_t Waiting) const {
    await([&] {
      const auto Load = get("/load");
      return Load["busy"] == Busy && Load["waiting"] == Waiting;
    });
  }

  static bool contains(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

public:
  void setUp() override {
    Io = std::make_unique<asio::io_context>(1);
    Server = std::make_unique<UpstreamServer>(*Io, Endpoint{0x7f000001, 0});
    Address = Server->local();
    Runner = std::thread([this] { Io->run(); });
  }

  void tearDown() override {
    Io->stop();
    Runner.join();
    Server.reset();
    Io.reset();
  }

  // Guards against runs that checkers of "at most once" would not see.
  void testRoutes_request_answersAndRecordsRun() {
    const std::string Id = "Galenarelay-Request-Id: r-7\r\n";
    CPPUNIT_ASSERT(contains(call(request("GET /status", Id)), "200 OK"));
    CPPUNIT_ASSERT(contains(call(request("POST /orders?work_ms=1", Id, "x")), "200 OK"));
    const std::string Photo(300'000, 'p');
    const auto Stored = call(request("PUT /uploads", Id, Photo));
    std::array<char, 17> Hash{};
    std::snprintf(Hash.data(), Hash.size(), "%016llx",
                  static_cast<unsigned long long>(common::hash64(Photo)));
    CPPUNIT_ASSERT(contains(Stored, "\"bytes\":300000"));
    CPPUNIT_ASSERT(contains(Stored, Hash.data()));
    CPPUNIT_ASSERT(contains(call(request("GET /nothing", Id)), "404"));
    const auto Runs = get("/runs?request=r-7")["runs"];
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Runs.size());
    for (const auto &Run : Runs) {
      CPPUNIT_ASSERT_EQUAL(std::string("answered"), Run["outcome"].get<std::string>());
      CPPUNIT_ASSERT(Run["end_us"] >= Run["start_us"]);
    }
    CPPUNIT_ASSERT(get("/runs?request=other")["runs"].empty());
  }

  // Guards against a stand-in that claims "not run" for a request that it ran.
  void testRefusal_shedOrDrain_leavesNoRun() {
    for (const char *Mode : {"shed", "drain"}) {
      control({{Mode, true}});
      for (const char *Line : {"POST /orders", "GET /status", "GET /feed", "PUT /uploads"}) {
        const auto Answer = call(request(Line, "", "body"));
        CPPUNIT_ASSERT(contains(Answer, "503"));
        CPPUNIT_ASSERT(contains(Answer, "Galenarelay-Not-Run: 1"));
      }
      CPPUNIT_ASSERT_EQUAL(std::string(Mode) == "shed", get("/health")["healthy"].get<bool>());
      control({{Mode, false}});
    }
    CPPUNIT_ASSERT(get("/runs")["runs"].empty());
  }

  // Guards against a stand-in that runs more requests at a time than it has slots.
  void testSlots_allBusy_requestsWaitOrAreShed() {
    control({{"slots", 1}, {"max_waiting", 1}});
    Peer First(Address);
    First.send(request("POST /orders?work_ms=3600000"));
    awaitLoad(1, 0);
    Peer Second(Address);
    Second.send(request("POST /orders"));
    awaitLoad(1, 1);
    CPPUNIT_ASSERT(contains(call(request("POST /orders")), "Galenarelay-Not-Run: 1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, get("/runs")["runs"].size());
    First.Socket.close();
    CPPUNIT_ASSERT(contains(Second.readAll(), "200 OK"));
    awaitLoad(0, 0);
  }

  // Guards against work beyond the deadline, and against "not run" after a run.
  void testDeadline_passed_endsRun() {
    const std::string Deadline = "Galenarelay-Deadline-Ms: 20\r\n";
    CPPUNIT_ASSERT(contains(call(request("POST /orders?work_ms=3600000", Deadline)), " 504 "));
    CPPUNIT_ASSERT_EQUAL(std::string("deadline"),
                         get("/runs")["runs"][0]["outcome"].get<std::string>());
    control({{"slots", 0}});
    const auto Queued = call(request("POST /orders", Deadline));
    CPPUNIT_ASSERT(contains(Queued, "503") && contains(Queued, "Galenarelay-Not-Run: 1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, get("/runs")["runs"].size());
  }

  // Guards against cancelled work that keeps its slot, running or waiting.
  void testCancel_peerCloses_isRecorded() {
    control({{"slots", 1}});
    Peer Running(Address);
    Running.send(request("POST /orders?work_ms=3600000"));
    awaitLoad(1, 0);
    Peer Waiting(Address);
    Waiting.send(request("POST /orders"));
    awaitLoad(1, 1);
    Waiting.Socket.close();
    awaitLoad(1, 0);
    Running.Socket.close();
    awaitLoad(0, 0);
    const auto Runs = get("/runs")["runs"];
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Runs.size());
    CPPUNIT_ASSERT_EQUAL(std::string("cancelled"), Runs[0]["outcome"].get<std::string>());
  }

  // Guards against feeds that block orders.
  void testFeed_running_holdsNoSlot() {
    control({{"slots", 1}});
    Peer Reader(Address);
    Reader.send(request("GET /feed?interval_ms=1"));
    std::array<char, 512> Some{};
    Reader.Socket.read_some(asio::buffer(Some));
    CPPUNIT_ASSERT(contains(call(request("POST /orders")), "200 OK"));
    control({{"end_feeds", true}});
    CPPUNIT_ASSERT(Reader.readAll().ends_with("\r\n0\r\n\r\n"));
    const auto Whole = call(request("GET /feed?lines=3&interval_ms=1"));
    CPPUNIT_ASSERT(contains(Whole, "line 1\n"));
  }

  // Guards against tests of misleading reports that test nothing.
  void testReports_falseOrLate_followControl() {
    control({{"false_busy", 4}, {"health", "always_failing"}});
    CPPUNIT_ASSERT_EQUAL(4, get("/load")["busy"].get<int>());
    CPPUNIT_ASSERT(!get("/health")["healthy"].get<bool>());
    control({{"false_busy", nullptr}, {"health", "always_healthy"}, {"drain", true}});
    CPPUNIT_ASSERT_EQUAL(0, get("/load")["busy"].get<int>());
    CPPUNIT_ASSERT(get("/health")["healthy"].get<bool>());
    control({{"health", "truthful"}, {"report_lag_ms", 3'600'000}});
    CPPUNIT_ASSERT(get("/health")["healthy"].get<bool>());
    control({{"report_lag_ms", 0}});
    CPPUNIT_ASSERT(!get("/health")["healthy"].get<bool>());
  }

  // Guards against a test that believes it changed the behaviour.
  void testControl_faultyBody_isRefused() {
    for (const char *Body : {"", "[]", "{\"slotz\":1}", "{\"shed\":1}", "{\"health\":\"good\"}"}) {
      const auto Answer = common::httpCallBlocking(Address, "PUT", "/control", Body, Patience);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Body, 400U, Answer->Status);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamServerTest);

} // namespace galenarelay::tests
