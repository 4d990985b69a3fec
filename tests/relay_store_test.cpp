#include "galenarelay/common/http.h"
#include "galenarelay/common/metrics.h"
#include "galenarelay/node/impl/relay_store.h"
#include "galenarelay/relay/evacuations.h"
#include "platform/store_protocol.h"
#include "soak/store_standin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace galenarelay::tests {

using namespace std::chrono_literals;

/// Tests the store record by which other nodes find a node, against a store that answers every
/// call.
class RelayStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayStoreTest);
  CPPUNIT_TEST(testRecord_ofRunningNode_isWritten);
  CPPUNIT_TEST(testRecord_unwantedForAWhile_isRemovedAndWrittenAgain);
  CPPUNIT_TEST(testRecord_storeFailsOnce_isRetried);
  CPPUNIT_TEST(testRecord_lostInRestore_isWrittenUnderItsOwnLease);
  CPPUNIT_TEST(testRecord_keptByRestore_isNotWrittenAgain);
  CPPUNIT_TEST(testRecord_backAfterRestore_isRemovedAgain);
  CPPUNIT_TEST(testWatch_revisionGivenOutAgain_missesNoChange);
  CPPUNIT_TEST(testWatch_waitingDuringRestore_readsAfresh);
  CPPUNIT_TEST(testWatch_ofSeveralPages_readsAllOfThem);
  CPPUNIT_TEST(testWatch_evacuationLostInRestore_listsNone);
  CPPUNIT_TEST(testWatch_evacuationDuringLostHistory_isListed);
  CPPUNIT_TEST(testAnswer_ofEndedEra_isRefused);
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

  /// A node and its store, which can be restored.
  struct NodeWithRestorableStore {
    explicit NodeWithRestorableStore(bool KeepsRecord = true) {
      if (KeepsRecord)
        boost::asio::co_spawn(Io, Record.keep(Random), boost::asio::detached);
    }

    /// Runs until the condition holds. Returns false after 20 s, the most that a test waits.
    bool await(const std::function<bool()> &Condition) {
      const auto End = std::chrono::steady_clock::now() + 20s;
      while (!Condition() && std::chrono::steady_clock::now() < End)
        Io.run_one_for(10ms);
      return Condition();
    }

    template <typename T> common::Outcome<T> run(boost::asio::awaitable<common::Outcome<T>> Call) {
      std::optional<common::Outcome<T>> Result;
      boost::asio::co_spawn(
          Io, [&]() -> boost::asio::awaitable<void> { Result = co_await std::move(Call); },
          boost::asio::detached);
      CPPUNIT_ASSERT(await([&] { return Result.has_value(); }));
      return *Result;
    }

    /// The value that a watch returns with at most one failure before.
    std::string nextValue(node::impl::KeyWatch<Protocol> &Watch) {
      auto Page = run(Watch.next());
      if (!Page)
        Page = run(Watch.next());
      CPPUNIT_ASSERT(Page && Page->Items.size() == 1);
      return Page->Items[0].Value;
    }

    /// The evacuations after the next page, with at most one failure before it.
    relay::Evacuations nextEvacuations(node::impl::KeyWatch<Protocol> &Watch) {
      auto Page = run(Watch.next());
      if (!Page)
        Page = run(Watch.next());
      CPPUNIT_ASSERT(Page);
      const auto Read = relay::readEvacuations(*Page, &Protocol::readEvacuationKey);
      Evacuated =
          Evacuated.takingNewer(Watch.hasList() ? Read.listed(Page->Revision)
                                                : Read.appliedTo(Evacuated, Page->Revision));
      return Evacuated;
    }

    bool hasRecord() { return Standin.contains("nodes/a"); }

    relay::Evacuations Evacuated;
    boost::asio::io_context Io{1};
    common::Metrics Metrics;
    common::Engine Random{1};
    soak::StoreStandin Standin{Io, {0x7f000001, 0}, 1};
    node::impl::RelayStore<Protocol> Store{Standin.local(), Metrics};
    node::impl::RelayStore<Protocol> OtherNode{Standin.local(), Metrics};
    node::impl::NodeRecord<Protocol> Record{Io, Store, "nodes/a", "10.0.0.1"};
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

  // Guards against renewing a lease whose number another node has got since a restore.
  void testRecord_lostInRestore_isWrittenUnderItsOwnLease() {
    NodeWithRestorableStore Node;
    CPPUNIT_ASSERT(Node.await([&] { return Node.hasRecord(); }));
    Node.Standin.restoreTo(0);
    const auto Others = Node.run(Node.OtherNode.grantLease(30s));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Others->Id);
    CPPUNIT_ASSERT(!Node.hasRecord());
    Node.Record.onStoreRestored();
    CPPUNIT_ASSERT(Node.await([&] { return Node.hasRecord(); }));
    const auto Page = Node.run(Node.OtherNode.list("nodes/a"));
    CPPUNIT_ASSERT(Page->Items.at(0).Lease != Others->Id);
  }

  // Guards against a fleet that writes all its records at once after a restore.
  void testRecord_keptByRestore_isNotWrittenAgain() {
    NodeWithRestorableStore Node;
    CPPUNIT_ASSERT(Node.await([&] { return Node.hasRecord(); }));
    const auto Revision = Node.Standin.revision();
    Node.Standin.put("lost", "x");
    Node.Standin.restoreTo(Revision);
    const auto Renewals = Node.Standin.calls("/-/kv-keep/");
    Node.Record.onStoreRestored();
    // One renewal meets the new era, the next one is under it.
    CPPUNIT_ASSERT(Node.await([&] { return Node.Standin.calls("/-/kv-keep/") == Renewals + 2; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Node.Standin.calls("/-/kv-txn"));
    CPPUNIT_ASSERT_EQUAL(Revision, Node.Standin.revision());
  }

  // Guards against the record of an ended upstream's agent, for which new balancers would wait.
  void testRecord_backAfterRestore_isRemovedAgain() {
    NodeWithRestorableStore Node;
    CPPUNIT_ASSERT(Node.await([&] { return Node.hasRecord(); }));
    const auto Revision = Node.Standin.revision();
    Node.Record.setWanted(false);
    CPPUNIT_ASSERT(Node.await([&] { return !Node.hasRecord(); }));
    Node.Standin.restoreTo(Revision);
    CPPUNIT_ASSERT(Node.hasRecord());
    Node.Record.onStoreRestored();
    CPPUNIT_ASSERT(Node.await([&] { return !Node.hasRecord(); }));
  }

  // Guards against a watch that goes on from a revision which the store has given out again.
  void testWatch_revisionGivenOutAgain_missesNoChange() {
    NodeWithRestorableStore Node(false);
    Node.Standin.put("config", "1");
    const auto Restored = Node.Standin.revision();
    Node.Standin.put("config", "2");
    node::impl::KeyWatch<Protocol> Watch(Node.Store, "config");
    CPPUNIT_ASSERT_EQUAL(std::string("2"), Node.run(Watch.next())->Items.at(0).Value);
    Node.Standin.restoreTo(Restored);
    Node.Standin.put("config", "3");
    Node.Standin.put("other", "x");
    CPPUNIT_ASSERT_EQUAL(std::string("3"), Node.nextValue(Watch));
    Node.Standin.put("config", "4");
    CPPUNIT_ASSERT_EQUAL(std::string("4"), Node.run(Watch.next())->Items.at(0).Value);
  }

  void testWatch_waitingDuringRestore_readsAfresh() {
    NodeWithRestorableStore Node(false);
    Node.Standin.put("config", "1");
    const auto Restored = Node.Standin.revision();
    Node.Standin.put("config", "2");
    node::impl::KeyWatch<Protocol> Watch(Node.Store, "config");
    CPPUNIT_ASSERT(Node.run(Watch.next()));
    std::optional<common::Outcome<relay::StorePage>> Waiting;
    boost::asio::co_spawn(
        Node.Io, [&]() -> boost::asio::awaitable<void> { Waiting = co_await Watch.next(); },
        boost::asio::detached);
    CPPUNIT_ASSERT(Node.await([&] { return Node.Standin.calls("/-/kv-watch") == 1; }));
    Node.Standin.restoreTo(Restored);
    Node.Standin.put("config", "3");
    CPPUNIT_ASSERT(Node.await([&] { return Waiting.has_value(); }));
    CPPUNIT_ASSERT(!*Waiting);
    CPPUNIT_ASSERT_EQUAL(std::string("3"), Node.nextValue(Watch));
  }

  // Guards against evacuations that are missed because they stand on a later page.
  void testWatch_ofSeveralPages_readsAllOfThem() {
    NodeWithRestorableStore Node(false);
    Node.Standin.setPageSize(2);
    for (const char *Key :
         {"op/config", "op/evacuate/a", "op/evacuate/b", "op/evacuate/c", "op/evacuate/d", "other"})
      Node.Standin.put(Key, "{}");
    node::impl::KeyWatch<Protocol> Watch(Node.Store, Protocol::operatorPrefix());
    CPPUNIT_ASSERT((Node.nextEvacuations(Watch).zones() ==
                    std::set<std::string, std::less<>>{"a", "b", "c", "d"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Node.Standin.calls("/-/kv-range"));
    Node.Standin.erase("op/evacuate/b");
    Node.Standin.put("op/evacuate/e", "{}");
    const auto Known = Node.nextEvacuations(Watch);
    CPPUNIT_ASSERT(!Known.contains("b") && Known.contains("e") && Known.contains("a"));
  }

  // Guards against a request that a restored store has lost and that stays in force.
  void testWatch_evacuationLostInRestore_listsNone() {
    NodeWithRestorableStore Node(false);
    Node.Standin.put("op/config", "1");
    const auto Restored = Node.Standin.revision();
    Node.Standin.put("op/evacuate/a", "{}");
    node::impl::KeyWatch<Protocol> Watch(Node.Store, Protocol::operatorPrefix());
    CPPUNIT_ASSERT(Node.nextEvacuations(Watch).contains("a"));
    Node.Standin.restoreTo(Restored);
    const auto Known = Node.nextEvacuations(Watch);
    CPPUNIT_ASSERT(Known.zones().empty() && Known.asOf().Era == 2);
  }

  // Guards against changes that a watch misses as the store drops its history.
  void testWatch_evacuationDuringLostHistory_isListed() {
    NodeWithRestorableStore Node(false);
    Node.Standin.put("op/config", "1");
    Node.Standin.put("op/evacuate/a", "{}");
    node::impl::KeyWatch<Protocol> Watch(Node.Store, Protocol::operatorPrefix());
    CPPUNIT_ASSERT(Node.nextEvacuations(Watch).contains("a"));
    Node.Standin.erase("op/evacuate/a");
    Node.Standin.put("op/evacuate/b", "{}");
    Node.Standin.dropHistory();
    const auto Known = Node.nextEvacuations(Watch);
    CPPUNIT_ASSERT(!Known.contains("a") && Known.contains("b"));
  }

  // Guards against a late answer of before a restore that is applied after one of the new era.
  void testAnswer_ofEndedEra_isRefused() {
    boost::asio::io_context Io{1};
    common::Metrics Metrics;
    std::vector<std::string> Eras{"1", "2", "1"};
    std::size_t Served = 0;
    common::HttpServer Server(
        Io, {0x7f000001, 0},
        [&](common::HttpRequest) -> boost::asio::awaitable<common::HttpResponse> {
          common::HttpResponse Answer{200, R"({"items":[],"currentRev":7})"};
          Answer.Headers.emplace_back("Store-Era", Eras.at(Served++));
          co_return Answer;
        });
    node::impl::RelayStore<Protocol> Store(Server.local(), Metrics);
    std::vector<relay::StoreEra> Restores;
    Store.onRestored([&](relay::StoreEra Era) { Restores.push_back(Era); });
    std::vector<common::Outcome<relay::StorePage>> Pages;
    boost::asio::co_spawn(
        Io,
        [&]() -> boost::asio::awaitable<void> {
          for (std::size_t I = 0; I < Eras.size(); ++I)
            Pages.push_back(co_await Store.list("nodes/"));
          Io.stop();
        },
        boost::asio::detached);
    Io.run();
    CPPUNIT_ASSERT((Pages.at(0)->Revision == relay::StoreRevision{1, 7}));
    CPPUNIT_ASSERT((Pages.at(1)->Revision == relay::StoreRevision{2, 7}));
    CPPUNIT_ASSERT(Pages.at(2).Failure.Code == common::ResultCode::StoreEraEnded);
    CPPUNIT_ASSERT((Restores == std::vector<relay::StoreEra>{2}));
    CPPUNIT_ASSERT_EQUAL(relay::StoreEra{2}, Store.era());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayStoreTest);

} // namespace galenarelay::tests
