#include "config_fixture.h"
#include "galenarelay/config/store_client.h"
#include "galenarelay/standins/store/store_server.h"

#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <future>
#include <thread>

namespace galenarelay::tests {

using common::ResultCode;
using nlohmann::json;
using namespace standins::store;

class StoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreTest);
  CPPUNIT_TEST(testCalls_contractTable_answersStatusAndVersion);
  CPPUNIT_TEST(testLease_expired_deletesItsKeys);
  CPPUNIT_TEST(testRate_aboveLimit_isRefusedUntilTimePasses);
  CPPUNIT_TEST(testFaults_writes_areLostAsAsked);
  CPPUNIT_TEST(testCounts_everyCall_isCountedOnce);
  CPPUNIT_TEST(testClient_answers_mapToResultCodes);
  CPPUNIT_TEST(testServer_watch_waitsAndCountsOnce);
  CPPUNIT_TEST(testServer_outage_endsWatch);
  CPPUNIT_TEST(testServer_lostAnswer_isOutcomeUnknown);
  CPPUNIT_TEST(testRestore_laterChanges_areGoneAndGivenOutAnew);
  CPPUNIT_TEST(testRestore_writeOfEndedEra_isRefused);
  CPPUNIT_TEST(testRestore_waitingWatch_isCut);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint32_t Loopback = 0x7f000001;
  static constexpr common::Duration Timeout = std::chrono::seconds(20);

  Store Direct{{}};
  common::TimePoint Now{};

  common::HttpResponse call(const std::string &Method, const std::string &Target,
                            const std::string &Body = "") {
    return Direct.handle(toRequest(Method, Target, Body), Now);
  }

  /// A server with its thread; stops both when it goes out of scope.
  struct Running {
    boost::asio::io_context Io;
    StoreServer Server{Io, {Loopback, 0}, {}};
    std::thread Loop{[this] { Io.run(); }};

    ~Running() {
      Io.stop();
      Loop.join();
    }

    common::Outcome<common::HttpResponse> call(const std::string &Method, const std::string &Target,
                                               const std::string &Body = "") const {
      return common::httpCallBlocking(Server.local(), Method, Target, Body, Timeout);
    }

    /// Waits until the server holds a waiting watch.
    void awaitWatch() const {
      while (json::parse(call("GET", "/v1/stats")->Body).at("waiting") == 0)
        std::this_thread::yield();
    }
  };

public:
  void setUp() override {
    Direct = Store({});
    Now = common::TimePoint{};
  }

  // Guards against a stand-in that is kinder than the platform's store.
  void testCalls_contractTable_answersStatusAndVersion() {
    const std::string Largest(MaxValueBytes, 'x');
    const std::string TooLarge(MaxValueBytes + 1, 'x');
    struct Row {
      const char *Method;
      const char *Target;
      std::string Body;
      unsigned Status;
      std::uint64_t Version; ///< Expected in the answer; 0 if none.
    };
    const Row Rows[] = {
        {"GET", "/v1/kv/a", "", 404, 0},
        {"PUT", "/v1/kv/a?version=1", "one", 409, 0},
        {"PUT", "/v1/kv/a", "one", 400, 0},
        {"PUT", "/v1/kv/a?version=x", "one", 400, 0},
        {"PUT", "/v1/kv/a?version=0", "one", 200, 1},
        {"PUT", "/v1/kv/a?version=0", "two", 409, 1},
        {"GET", "/v1/kv/a", "", 200, 1},
        {"PUT", "/v1/kv/a?version=1", "two", 200, 2},
        {"DELETE", "/v1/kv/a?version=1", "", 409, 2},
        {"DELETE", "/v1/kv/a?version=2", "", 200, 2},
        {"DELETE", "/v1/kv/a?version=2", "", 404, 0},
        {"PUT", "/v1/kv/a?version=2", "old", 409, 0},
        {"PUT", "/v1/kv/a?version=0", "new", 200, 3},
        {"PUT", "/v1/kv/big?version=0", Largest, 200, 4},
        {"PUT", "/v1/kv/big?version=4", TooLarge, 413, 0},
        {"PUT", "/v1/kv/b?version=0&lease=7", "x", 404, 0},
        {"GET", "/v1/watch/a?after=2", "", 200, 3},
        {"GET", "/v1/watch/a?after=3", "", 204, 0},
        {"GET", "/v1/watch/gone?after=3", "", 404, 0},
        {"GET", "/v1/watch/gone?after=0", "", 204, 0},
        {"POST", "/v1/lease?ttl=0", "", 400, 0},
        {"POST", "/v1/lease/9", "", 404, 0},
        {"GET", "/v1/other", "", 404, 0},
    };
    for (const Row &Case : Rows) {
      const auto Answer = call(Case.Method, Case.Target, Case.Body);
      const std::string Name = std::string(Case.Method) + " " + Case.Target;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, Case.Status, Answer.Status);
      if (Case.Version != 0)
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Name, Case.Version,
                                     json::parse(Answer.Body).at("version").get<std::uint64_t>());
    }
    const json List = json::parse(call("GET", "/v1/kv?prefix=a").Body);
    CPPUNIT_ASSERT_EQUAL(json({{{"key", "a"}, {"version", 3}, {"value", "new"}}}).dump(),
                         List.at("items").dump());
  }

  // Guards against keys that outlive their holder, and against renewals that don't count.
  void testLease_expired_deletesItsKeys() {
    call("POST", "/v1/lease?ttl=1000");
    call("PUT", "/v1/kv/a?version=0&lease=1", "x");
    Now += std::chrono::milliseconds(900);
    CPPUNIT_ASSERT_EQUAL(200U, call("POST", "/v1/lease/1").Status);
    Now += std::chrono::milliseconds(900);
    CPPUNIT_ASSERT_EQUAL(200U, call("GET", "/v1/kv/a").Status);
    Now += std::chrono::milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(404U, call("GET", "/v1/kv/a").Status);
    CPPUNIT_ASSERT_EQUAL(404U, call("POST", "/v1/lease/1").Status);
    CPPUNIT_ASSERT_EQUAL(404U, call("PUT", "/v1/kv/a?version=0&lease=1", "x").Status);
  }

  // Guards against control traffic that only works because the stand-in has no limits.
  void testRate_aboveLimit_isRefusedUntilTimePasses() {
    Direct = Store({100, 2});
    CPPUNIT_ASSERT_EQUAL(200U, call("PUT", "/v1/kv/a?version=0", "x").Status);
    CPPUNIT_ASSERT_EQUAL(200U, call("PUT", "/v1/kv/b?version=0", "x").Status);
    CPPUNIT_ASSERT_EQUAL(429U, call("PUT", "/v1/kv/c?version=0", "x").Status);
    CPPUNIT_ASSERT_EQUAL(200U, call("GET", "/v1/kv/a").Status);
    CPPUNIT_ASSERT_EQUAL(404U, call("GET", "/v1/kv/c").Status);
    Now += std::chrono::milliseconds(500);
    CPPUNIT_ASSERT_EQUAL(200U, call("PUT", "/v1/kv/c?version=0", "x").Status);
    CPPUNIT_ASSERT_EQUAL(429U, call("PUT", "/v1/kv/d?version=0", "x").Status);
  }

  // Guards against lost answers that lose the write, and lost requests that don't.
  void testFaults_writes_areLostAsAsked() {
    Faults Lossy;
    Lossy.LoseRequests = 1;
    Lossy.LoseAnswers = 1;
    Direct.setFaults(Lossy);
    CPPUNIT_ASSERT_EQUAL(common::NoAnswer, call("PUT", "/v1/kv/a?version=0", "x").Status);
    CPPUNIT_ASSERT_EQUAL(404U, call("GET", "/v1/kv/a").Status);
    CPPUNIT_ASSERT_EQUAL(common::NoAnswer, call("PUT", "/v1/kv/a?version=0", "x").Status);
    CPPUNIT_ASSERT_EQUAL(200U, call("GET", "/v1/kv/a").Status);
    Faults Down;
    Down.Outage = true;
    Direct.setFaults(Down);
    CPPUNIT_ASSERT_EQUAL(503U, call("GET", "/v1/kv/a").Status);
    CPPUNIT_ASSERT_EQUAL(503U, call("PUT", "/v1/kv/a?version=1", "y").Status);
    Direct.setFaults({});
    CPPUNIT_ASSERT(call("GET", "/v1/kv/a").Body.find("\"x\"") != std::string::npos);
  }

  // Guards against figures of control traffic that leave calls out.
  void testCounts_everyCall_isCountedOnce() {
    Direct = Store({2, 10});
    call("PUT", "/v1/kv/a?version=0", "x");
    call("PUT", "/v1/kv/a?version=0", "x");
    call("GET", "/v1/kv/a");
    call("GET", "/v1/watch/a?after=1&wait=1000");
    call("GET", "/v1/kv?prefix=a");
    call("POST", "/v1/lease?ttl=10");
    const CallCounts Expected{2, 2, 1, 1, 1, 0};
    CPPUNIT_ASSERT(Expected == Direct.counts());
  }

  // Guards against a write that is called "not written" although it may have been.
  void testClient_answers_mapToResultCodes() {
    config::StoreClient Client(DirectTransport{&Direct, &Now});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Client.get("a")->Version.Number);
    const auto Written = Client.put("a", {}, "x");
    CPPUNIT_ASSERT((*Written == config::StoreVersion{1, 1}));
    CPPUNIT_ASSERT(Client.put("a", {}, "x").Failure.Code == ResultCode::StoreConflict);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), Client.get("a")->Text);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Client.list("")->size());
    Faults Active;
    Active.LoseAnswers = 1;
    Direct.setFaults(Active);
    CPPUNIT_ASSERT(Client.put("a", *Written, "y").Failure.Code == ResultCode::StoreOutcomeUnknown);
    Active.Outage = true;
    Direct.setFaults(Active);
    CPPUNIT_ASSERT(Client.put("a", *Written, "y").Failure.Code == ResultCode::StoreOutcomeUnknown);
    CPPUNIT_ASSERT(Client.get("a").Failure.Code == ResultCode::StoreUnavailable);
    CPPUNIT_ASSERT(Client.list("a").Failure.Code == ResultCode::StoreUnavailable);
    Direct = Store({1, 1});
    CPPUNIT_ASSERT(Client.get("a"));
    CPPUNIT_ASSERT(Client.get("a").Failure.Code == ResultCode::StoreRateLimited);
  }

  // Guards against a watch that misses a change, polls, or is counted more than once.
  void testServer_watch_waitsAndCountsOnce() {
    Running Store;
    auto Watch = std::async(std::launch::async, [&] {
      return Store.call("GET", "/v1/watch/config?after=0&wait=15000");
    });
    Store.awaitWatch();
    CPPUNIT_ASSERT_EQUAL(200U, Store.call("PUT", "/v1/kv/other?version=0", "x")->Status);
    CPPUNIT_ASSERT_EQUAL(200U, Store.call("PUT", "/v1/kv/config?version=0", "x")->Status);
    const auto Answer = Watch.get();
    CPPUNIT_ASSERT(Answer);
    CPPUNIT_ASSERT_EQUAL(json({{"key", "config"}, {"version", 2}, {"value", "x"}}),
                         json::parse(Answer->Body));
    const json Stats = json::parse(Store.call("GET", "/v1/stats")->Body);
    CPPUNIT_ASSERT_EQUAL(1, Stats.at("watches").get<int>());
    CPPUNIT_ASSERT_EQUAL(0, Stats.at("waiting").get<int>());
  }

  // Guards against an outage that watching nodes don't notice.
  void testServer_outage_endsWatch() {
    Running Store;
    auto Watch = std::async(std::launch::async, [&] {
      return Store.call("GET", "/v1/watch/config?after=0&wait=15000");
    });
    Store.awaitWatch();
    CPPUNIT_ASSERT_EQUAL(200U, Store.call("POST", "/v1/faults", R"({"outage":true})")->Status);
    CPPUNIT_ASSERT_EQUAL(503U, Watch.get()->Status);
    CPPUNIT_ASSERT_EQUAL(503U, Store.call("GET", "/v1/kv/config")->Status);
    CPPUNIT_ASSERT_EQUAL(400U, Store.call("POST", "/v1/faults", R"({"outage":1})")->Status);
    CPPUNIT_ASSERT_EQUAL(200U, Store.call("POST", "/v1/faults", R"({"outage":false})")->Status);
    CPPUNIT_ASSERT_EQUAL(404U, Store.call("GET", "/v1/kv/config")->Status);
  }

  // Guards against lost answers that reach the client as an ordinary error.
  void testServer_lostAnswer_isOutcomeUnknown() {
    Running Store;
    config::StoreClient Client(config::BlockingTransport(Store.Server.local(), Timeout, 1));
    CPPUNIT_ASSERT(Store.call("POST", "/v1/faults", R"({"lose_answers":1,"delay_ms":1})"));
    CPPUNIT_ASSERT(Client.put("a", {}, "x").Failure.Code == ResultCode::StoreOutcomeUnknown);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), Client.get("a")->Text);
  }

  // Guards against a stand-in whose restore is kinder than the platform's.
  void testRestore_laterChanges_areGoneAndGivenOutAnew() {
    const auto Era = [](const common::HttpResponse &Answer) {
      return config::readStoreEra(Answer)->value();
    };
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Era(call("PUT", "/v1/kv/a?version=0", "kept")));
    call("PUT", "/v1/kv/b?version=0", "lost");
    call("POST", "/v1/lease?ttl=1000");
    Direct.restore(1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Era(call("GET", "/v1/kv/b")));
    CPPUNIT_ASSERT_EQUAL(404U, call("GET", "/v1/kv/b").Status);
    CPPUNIT_ASSERT_EQUAL(200U, call("GET", "/v1/kv/a").Status);
    CPPUNIT_ASSERT_EQUAL(404U, call("POST", "/v1/lease/1").Status);
    CPPUNIT_ASSERT_EQUAL(410U, call("GET", "/v1/watch/a?after=2").Status);
    const auto Again = call("PUT", "/v1/kv/c?version=0", "x");
    CPPUNIT_ASSERT_EQUAL(2, json::parse(Again.Body).at("version").get<int>());
    CPPUNIT_ASSERT_EQUAL(204U, call("GET", "/v1/watch/a?after=2").Status);
    CPPUNIT_ASSERT_EQUAL(
        1, json::parse(call("POST", "/v1/lease?ttl=1000").Body).at("lease").get<int>());
  }

  // Guards against a write that meets a version of its number from another era.
  void testRestore_writeOfEndedEra_isRefused() {
    config::StoreClient Client(DirectTransport{&Direct, &Now});
    const auto First = *Client.put("a", {}, "first");
    const auto Before = *Client.put("a", First, "lost");
    Direct.restore(First.Number);
    const auto Since = *Client.put("a", Client.get("a")->Version, "since");
    CPPUNIT_ASSERT_EQUAL(Before.Number, Since.Number);
    CPPUNIT_ASSERT(Client.put("a", Before, "late").Failure.Code == ResultCode::StoreConflict);
    CPPUNIT_ASSERT_EQUAL(std::string("since"), Client.get("a")->Text);
  }

  void testRestore_waitingWatch_isCut() {
    Running Store;
    auto Watch = std::async(std::launch::async, [&] {
      return Store.call("GET", "/v1/watch/config?after=0&wait=15000");
    });
    Store.awaitWatch();
    CPPUNIT_ASSERT_EQUAL(200U,
                         Store.call("POST", "/v1/faults", R"({"restore_version":0})")->Status);
    CPPUNIT_ASSERT(!Watch.get());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         config::readStoreEra(*Store.call("GET", "/v1/kv/config"))->value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreTest);

} // namespace galenarelay::tests
