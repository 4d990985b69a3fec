#include "galenarelay/common/endpoint.h"
#include "galenarelay/common/http.h"
#include "galenarelay/common/log.h"
#include "galenarelay/common/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace galenarelay::tests {

using namespace common;

class LogRateLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogRateLimitTest);
  CPPUNIT_TEST(testAllow_afterBurst_goesOnAtTheRate);
  CPPUNIT_TEST_SUITE_END();

public:
  // After a cut of all power the limit of a second was used up in a fifth of it, and the log said
  // nothing of the rest.
  void testAllow_afterBurst_goesOnAtTheRate() {
    LogRateLimit Limit(50);
    TimePoint Now{std::chrono::seconds(100)};
    std::size_t Burst = 0;
    while (Limit.allow(Now))
      ++Burst;
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, Burst);
    for (int Tenth = 0; Tenth < 10; ++Tenth) {
      std::size_t Passed = 0;
      for (int I = 0; I < 100; ++I, Now += std::chrono::milliseconds(1))
        Passed += Limit.allow(Now) ? 1 : 0;
      CPPUNIT_ASSERT(Passed >= 4 && Passed <= 6);
    }
  }
};

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(testLoad_faultyFile_namesCodeAndKey);
  CPPUNIT_TEST(testLoad_validFile_appliesDefaults);
  CPPUNIT_TEST_SUITE_END();

  std::string Path;

  void write(const std::string &Text) const { std::ofstream(Path) << Text; }

  static std::vector<SettingRule> rules() {
    return {{"node", "address", SettingKind::Address, std::nullopt, 0, 0, "own address"},
            {"node", "slots", SettingKind::Integer, "5", 1, 64, "slots"},
            {"node", "colors", SettingKind::NameList, "", 0, 0, "colors", {"red", "green"}}};
  }

public:
  void setUp() override {
    char Name[] = "/tmp/galenarelay-settings-XXXXXX";
    const int File = mkstemp(Name);
    close(File);
    Path = Name;
  }

  void tearDown() override { std::remove(Path.c_str()); }

  // Guards against a daemon that starts with settings it misread.
  void testLoad_faultyFile_namesCodeAndKey() {
    struct Row {
      const char *Text;
      ResultCode Code;
      const char *Names;
    };
    const Row Rows[] = {
        {"[node]\naddress = 1.2.3.4:5\nslots = 65\n", ResultCode::SettingsBadValue, "node.slots"},
        {"[node]\naddress = 1.2.3.4\n", ResultCode::SettingsBadValue, "node.address"},
        {"[node]\naddress = 1.2.3.4:5\ncolors = red, blue\n", ResultCode::SettingsBadValue,
         "red, green"},
        {"[node]\nslots = 3\n", ResultCode::SettingsMissingKey, "node.address"},
        {"[node]\naddress = 1.2.3.4:5\nslot = 3\n", ResultCode::SettingsUnknownKey, "node.slot"},
        {"[nodes]\naddress = 1.2.3.4:5\n", ResultCode::SettingsUnknownSection, "nodes"},
        {"[node]\naddress\n", ResultCode::SettingsSyntax, ":2:"},
    };
    for (const Row &Case : Rows) {
      write(Case.Text);
      const auto Loaded = capture([&] { return loadSettings(Path, rules()); });
      CPPUNIT_ASSERT_MESSAGE(Case.Text, !Loaded);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Text, std::string(name(Case.Code)),
                                   std::string(name(Loaded.Failure.Code)));
      CPPUNIT_ASSERT_MESSAGE(Loaded.Failure.Detail,
                             Loaded.Failure.Detail.find(Case.Names) != std::string::npos);
    }
  }

  // Guards against a default that isn't applied when its key is absent.
  void testLoad_validFile_appliesDefaults() {
    write("[node]\naddress = 1.2.3.4:5\n");
    const auto Loaded = capture([&] { return loadSettings(Path, rules()); });
    CPPUNIT_ASSERT(Loaded);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, Loaded->integer("node", "slots"));
    CPPUNIT_ASSERT_EQUAL(std::string("1.2.3.4:5"), toString(Loaded->endpoint("node", "address")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
CPPUNIT_TEST_SUITE_REGISTRATION(LogRateLimitTest);

class HttpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(testCall_runningServer_returnsItsAnswer);
  CPPUNIT_TEST(testCall_closedPort_isPeerUnreachable);
  CPPUNIT_TEST(testCall_answerLost_isOutcomeUnknown);
  CPPUNIT_TEST(testCall_slowLongAnswer_isReadWhileBytesCome);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint32_t Loopback = 0x7f000001;
  static constexpr Duration Timeout = std::chrono::seconds(10);

public:
  // Guards against query values that reach the handler still percent-encoded.
  void testCall_runningServer_returnsItsAnswer() {
    boost::asio::io_context Io;
    HttpServer Server(Io, {Loopback, 0},
                      [](HttpRequest Request) -> boost::asio::awaitable<HttpResponse> {
                        co_return HttpResponse{200, Request.Method + Request.Path +
                                                        Request.Query["q"] + Request.Body};
                      });
    std::thread Loop([&] { Io.run(); });
    const auto Answer = httpCallBlocking(Server.local(), "PUT",
                                         "/v1/kv/a?q=" + encodeQuery("x y&z"), "body", Timeout);
    Io.stop();
    Loop.join();
    CPPUNIT_ASSERT(Answer);
    CPPUNIT_ASSERT_EQUAL(std::string("PUT/v1/kv/ax y&zbody"), Answer->Body);
  }

  // Guards against calling a request "perhaps sent" when no connection was made.
  void testCall_closedPort_isPeerUnreachable() {
    boost::asio::io_context Io;
    Endpoint Closed;
    {
      HttpServer Server(Io, {Loopback, 0}, nullptr);
      Closed = Server.local();
    }
    const auto Answer = httpCallBlocking(Closed, "GET", "/", "", Timeout);
    CPPUNIT_ASSERT(!Answer);
    CPPUNIT_ASSERT(Answer.Failure.Code == ResultCode::PeerUnreachable);
  }

  // Guards against calling a request "not sent" when only its answer was lost.
  void testCall_answerLost_isOutcomeUnknown() {
    boost::asio::io_context Io;
    HttpServer Server(Io, {Loopback, 0}, [](HttpRequest) -> boost::asio::awaitable<HttpResponse> {
      co_return HttpResponse{NoAnswer, ""};
    });
    std::thread Loop([&] { Io.run(); });
    const auto Answer = httpCallBlocking(Server.local(), "PUT", "/", "", Timeout);
    Io.stop();
    Loop.join();
    CPPUNIT_ASSERT(!Answer);
    CPPUNIT_ASSERT(Answer.Failure.Code == ResultCode::RequestOutcomeUnknown);
  }

  // sunbox-relay-large trouble-1 in its small form: a configuration took longer over the link than
  // the timeout of a call, so that no balancer got it after all power had been cut.
  void testCall_slowLongAnswer_isReadWhileBytesCome() {
    using boost::asio::ip::tcp;
    constexpr Duration ShortTimeout = std::chrono::seconds(2);
    constexpr int Parts = 4;
    boost::asio::io_context Io;
    tcp::acceptor Acceptor(Io, {boost::asio::ip::address_v4(Loopback), 0});
    std::thread Server([&] {
      tcp::socket Caller = Acceptor.accept();
      boost::asio::streambuf Request;
      boost::asio::read_until(Caller, Request, "\r\n\r\n");
      const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
      boost::asio::write(Caller, boost::asio::buffer(Head));
      for (int I = 0; I < Parts; ++I) {
        std::this_thread::sleep_for(ShortTimeout * 3 / (2 * Parts));
        boost::asio::write(Caller, boost::asio::buffer("x", 1));
      }
    });
    const auto Answer = httpCallBlocking({Loopback, Acceptor.local_endpoint().port()}, "GET", "/",
                                         "", ShortTimeout);
    Server.join();
    CPPUNIT_ASSERT(Answer);
    CPPUNIT_ASSERT_EQUAL(std::string("xxxx"), Answer->Body);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

} // namespace galenarelay::tests
