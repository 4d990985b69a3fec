#include "galenarelay/common/http.h"
#include "galenarelay/common/metrics.h"
#include "galenarelay/node/impl/relay_store.h"
#include "platform/store_protocol.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <set>
#include <string>

namespace galenarelay::tests {

using namespace std::chrono_literals;

/// Tests the store record by which other nodes find a node, against a store that answers every
/// call.
class RelayStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayStoreTest);
  CPPUNIT_TEST(testRecord_ofRunningNode_isWritten);
  CPPUNIT_TEST(testRecord_unwantedForAWhile_isRemovedAndWrittenAgain);
  CPPUNIT_TEST(testRecord_storeFailsOnce_isRetried);
  CPPUNIT_TEST_SUITE_END();

  using Protocol = platform::StoreProtocol;

  struct NodeWithStore {
    NodeWithStore()
        : Server(Io, {0x7f000001, 0},
                 [this](common::HttpRequest Request) { return answer(std::move(Request)); }),
          Store(Server.local(), Metrics), Record(Io, Store, "nodes/a", "10.0.0.1") {
      boost::asio::co_spawn(Io, Record.keep(Random), boost::asio::detached);
    }

    boost::asio::awaitable<common::HttpResponse> answer(common::HttpRequest Request) {
      if (FailuresLeft > 0) {
        --FailuresLeft;
        co_return common::HttpResponse{503, "{}"};
      }
      if (Request.Path == "/-/kv-lease")
        co_return common::HttpResponse{200, R"({"lease":7,"ttlMs":30000})"};
      const auto Body = nlohmann::json::parse(Request.Body);
      for (const auto &Put : Body.at("puts"))
        Keys.insert(Put.at("key").get<std::string>());
      for (const auto &Key : Body.at("delete"))
        Keys.erase(Key.get<std::string>());
      co_return common::HttpResponse{200, R"({"revision":1})"};
    }

    /// Runs until the record is in the store, or isn't, as Present says. Returns false after 10 s.
    bool awaitRecord(bool Present) {
      const auto End = std::chrono::steady_clock::now() + 10s;
      while (Keys.contains("nodes/a") != Present && std::chrono::steady_clock::now() < End)
        Io.run_one_for(100ms);
      return Keys.contains("nodes/a") == Present;
    }

    boost::asio::io_context Io{1};
    common::Metrics Metrics;
    common::Engine Random{1};
    std::set<std::string> Keys;
    int FailuresLeft = 0;
    common::HttpServer Server;
    node::impl::RelayStore<Protocol> Store;
    node::impl::NodeRecord<Protocol> Record;
  };

public:
  void testRecord_ofRunningNode_isWritten() {
    NodeWithStore Node;
    CPPUNIT_ASSERT(Node.awaitRecord(true));
  }

  void testRecord_unwantedForAWhile_isRemovedAndWrittenAgain() {
    NodeWithStore Node;
    CPPUNIT_ASSERT(Node.awaitRecord(true));
    Node.Record.setWanted(false);
    CPPUNIT_ASSERT(Node.awaitRecord(false));
    Node.Record.setWanted(true);
    CPPUNIT_ASSERT(Node.awaitRecord(true));
  }

  void testRecord_storeFailsOnce_isRetried() {
    NodeWithStore Node;
    Node.FailuresLeft = 1;
    CPPUNIT_ASSERT(Node.awaitRecord(true));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayStoreTest);

} // namespace galenarelay::tests
