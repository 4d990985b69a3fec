#include "galenarelay/config/edit.h"
#include "galenarelay/membership/gossip.h"
#include "galenarelay/node/balancer.h"
#include "galenarelay/node/impl/configuration_difference.h"
#include "galenarelay/standins/store/store_server.h"
#include "store_door.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenarelay::tests {

namespace asio = boost::asio;
using namespace node;
using common::Endpoint;
using common::HttpResponse;
using config::Configuration;
using membership::MemberState;
using nlohmann::json;

namespace {

constexpr Endpoint AnyPort{0x7f000001, 0};
constexpr Endpoint ServiceAddress{0x0a010001, 80};

Configuration document(config::Revision Number) {
  Configuration Document;
  Document.RevisionNumber = Number;
  Document.Services["desk"] = {ServiceAddress, "role=desk"};
  Document.UpstreamLabels["agent-a"] = {{"role", "desk"}};
  return Document;
}

NodeOptions options(const std::string &Id, Endpoint Store, std::vector<Endpoint> Seeds) {
  NodeOptions Options;
  Options.Self.Id = Id;
  Options.Self.Zone = "zone-1";
  Options.Self.Data = AnyPort;
  Options.Self.Control = AnyPort;
  Options.Self.Admin = AnyPort;
  Options.Self.State = MemberState::Active;
  Options.Seeds = std::move(Seeds);
  Options.Store = Store;
  return Options;
}

} // namespace

class NodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeTest);
  CPPUNIT_TEST(testNodes_sharedStore_reachSameView);
  CPPUNIT_TEST(testNode_storeDown_takesConfigurationFromPeer);
  CPPUNIT_TEST(testStore_lowerRevision_isRefused);
  CPPUNIT_TEST(testStore_restoredWhileWatchIsCut_followsItsNewChanges);
  CPPUNIT_TEST(testStore_restoredWithoutConfiguration_getsItBack);
  CPPUNIT_TEST(testStore_restoredAndEdited_keepsBothEdits);
  CPPUNIT_TEST(testStore_restoredWithoutRecords_getsThemBack);
  CPPUNIT_TEST(testStore_watchersTurnedAway_servesConfigurationToOthers);
  CPPUNIT_TEST(testStore_watchGoneSilent_isReadBeforeTheWatchEnds);
  CPPUNIT_TEST(testControl_badInput_isCountedAndDropped);
  CPPUNIT_TEST(testBalancer_packets_reachHomeAgentWithInitialTtl);
  CPPUNIT_TEST(testBalancer_drain_forwardsUntilQuietPeriodEnds);
  CPPUNIT_TEST(testConfigurationDifference_olderBases_yieldPeerDocument);
  CPPUNIT_TEST_SUITE_END();

  /// Fails a test that hangs; no result depends on its value.
  static constexpr std::chrono::seconds HangTimeout{30};

  /// Keeps conditions that call the store below its limit of 2,000 reads per second.
  static constexpr std::chrono::milliseconds PollInterval{5};

  std::optional<asio::io_context> Io;
  std::optional<standins::store::StoreServer> Store;
  std::uint64_t ConfigurationVersion = 0; ///< Of the configuration key in the store.

  void runUntil(const std::function<bool()> &Condition) {
    const auto End = std::chrono::steady_clock::now() + HangTimeout;
    bool Fulfilled = Condition();
    while (!Fulfilled && std::chrono::steady_clock::now() < End) {
      Io->run_for(PollInterval);
      Fulfilled = Condition();
    }
    CPPUNIT_ASSERT(Fulfilled);
  }

  HttpResponse call(Endpoint Server, const std::string &Method, const std::string &Target,
                    const std::string &Body = "") {
    std::optional<common::Outcome<HttpResponse>> Answer;
    asio::co_spawn(
        *Io,
        [&]() -> asio::awaitable<void> {
          Answer = co_await common::httpCall(Server, Method, Target, Body, HangTimeout);
        },
        asio::detached);
    runUntil([&] { return Answer.has_value(); });
    CPPUNIT_ASSERT(*Answer);
    return **Answer;
  }

  json getJson(const Node &Server, const std::string &Target) {
    return json::parse(call(Server.self().Admin, "GET", Target).Body);
  }

  void putConfiguration(const Configuration &Document) {
    const std::string Target = "/v1/kv/config?version=" + std::to_string(ConfigurationVersion);
    const auto Answer = call(Store->local(), "PUT", Target, toJson(Document).dump());
    CPPUNIT_ASSERT_EQUAL(200U, Answer.Status);
    ConfigurationVersion = json::parse(Answer.Body).at("version");
  }

  void setOutage(bool Outage) {
    static_cast<void>(call(Store->local(), "POST", "/v1/faults", json{{"outage", Outage}}.dump()));
  }

  void setDelay(int Milliseconds) {
    static_cast<void>(
        call(Store->local(), "POST", "/v1/faults", json{{"delay_ms", Milliseconds}}.dump()));
  }

  /// Restores the store to its state at a version.
  void restore(std::uint64_t Version) {
    static_cast<void>(
        call(Store->local(), "POST", "/v1/faults", json{{"restore_version", Version}}.dump()));
  }

  /// Writes the configuration whatever version it has.
  void overwriteConfiguration(const Configuration &Document) {
    runUntil([&] {
      const auto Stored = call(Store->local(), "GET", "/v1/kv/config");
      const auto Version = json::parse(Stored.Body).at("version").get<std::uint64_t>();
      return call(Store->local(), "PUT", "/v1/kv/config?version=" + std::to_string(Version),
                  toJson(Document).dump())
                 .Status == 200;
    });
  }

  int storeCounter(const char *Counter) {
    return json::parse(call(Store->local(), "GET", "/v1/stats").Body).at(Counter).get<int>();
  }

  bool isRegistered(const std::string &Id) {
    return call(Store->local(), "GET", "/v1/kv/members/" + Id).Status == 200;
  }

  static config::Revision revision(const Node &Subject) {
    return Subject.view()->configuration().RevisionNumber;
  }

  static std::vector<std::uint8_t> syn(std::uint16_t CallerPort, Endpoint Service,
                                       std::uint8_t Ttl) {
    packet::Packet Packet;
    Packet.Key = {{0x0a000009, CallerPort}, Service};
    Packet.Bits.Syn = true;
    Packet.Ttl = Ttl;
    return packet::serialize(Packet);
  }

public:
  void setUp() override {
    Io.emplace();
    Store.emplace(*Io, AnyPort, standins::store::StoreLimits{});
    ConfigurationVersion = 0;
  }
  void tearDown() override {
    Store.reset();
    Io.reset();
  }

  // Guards against nodes that don't find each other through seeds or the store, or that ignore a
  // new configuration.
  void testNodes_sharedStore_reachSameView() {
    common::Metrics Metrics[3];
    putConfiguration(document(1));
    setOutage(true);
    auto AgentOptions = options("agent-a", Store->local(), {});
    Node Agent(*Io, AgentOptions, Metrics[0]);
    Agent.start();
    runUntil([&] { return storeCounter("failed") > 0; });
    setOutage(false);
    runUntil([&] { return isRegistered("agent-a"); });
    // First joins through its seed, Second through the store.
    Node First(*Io, options("node-b", Store->local(), {Agent.self().Control}), Metrics[1]);
    Node Second(*Io, options("node-c", Store->local(), {}), Metrics[2]);
    First.start();
    Second.start();
    const auto AllAtRevision = [&](config::Revision Number) {
      for (const Node *Member : {&Agent, &First, &Second})
        if (Member->view()->members().size() != 3 || revision(*Member) != Number)
          return false;
      return true;
    };
    runUntil([&] { return AllAtRevision(1); });
    putConfiguration(document(2));
    runUntil([&] { return AllAtRevision(2); });
    CPPUNIT_ASSERT(*First.view()->service("desk") == *Second.view()->service("desk"));
    CPPUNIT_ASSERT(isRegistered("node-b") && isRegistered("node-c"));
    const json Status = getJson(First, "/v1/status");
    CPPUNIT_ASSERT_EQUAL(std::string("node-b"), Status.at("id").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(2, Status.at("revision").get<int>());
    CPPUNIT_ASSERT_EQUAL(3, Status.at("members").get<int>());
    const json Explanation = getJson(First, "/v1/explain?flow=10.0.0.9:4000-10.1.0.1:80");
    CPPUNIT_ASSERT_EQUAL(std::string("desk"), Explanation.at("service").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("agent-a"),
                         Explanation.at("home").at("id").get<std::string>());
    CPPUNIT_ASSERT(Explanation.at("second").is_null());
  }

  // Guards against a new node that gets no configuration while the store is unavailable.
  void testNode_storeDown_takesConfigurationFromPeer() {
    common::Metrics Metrics[2];
    putConfiguration(document(7));
    Node ConfiguredNode(*Io, options("agent-a", Store->local(), {}), Metrics[0]);
    ConfiguredNode.start();
    runUntil([&] { return revision(ConfiguredNode) == 7; });
    setOutage(true);
    Node JoiningNode(*Io, options("node-b", Store->local(), {ConfiguredNode.self().Control}),
                     Metrics[1]);
    JoiningNode.start();
    runUntil(
        [&] { return revision(JoiningNode) == 7 && JoiningNode.view()->members().size() == 2; });
  }

  // Guards against a node that reverts to an older configuration when the store returns one.
  void testStore_lowerRevision_isRefused() {
    common::Metrics Metrics;
    putConfiguration(document(5));
    Node TestedNode(*Io, options("agent-a", Store->local(), {}), Metrics);
    TestedNode.start();
    runUntil([&] { return revision(TestedNode) == 5; });
    putConfiguration(document(4));
    const std::string CounterLine = "galenarelay_configuration_refused_total 1";
    runUntil([&] { return Metrics.render().find(CounterLine) != std::string::npos; });
    CPPUNIT_ASSERT_EQUAL(config::Revision{5}, revision(TestedNode));
  }

  // Guards against a watch that goes on from a version that the store gives out again.
  void testStore_restoredWhileWatchIsCut_followsItsNewChanges() {
    common::Metrics Metrics;
    putConfiguration(document(1));
    const auto Restored = ConfigurationVersion;
    Node TestedNode(*Io, options("agent-a", Store->local(), {}), Metrics);
    TestedNode.start();
    runUntil([&] { return isRegistered("agent-a") && storeCounter("waiting") == 1; });
    putConfiguration(document(2));
    runUntil([&] { return revision(TestedNode) == 2 && storeCounter("waiting") == 1; });
    restore(Restored);
    overwriteConfiguration(document(3));
    for (const char *Other : {"a", "b", "c"})
      CPPUNIT_ASSERT_EQUAL(
          200U, call(Store->local(), "PUT", std::string("/v1/kv/") + Other + "?version=0").Status);
    runUntil([&] { return revision(TestedNode) == 3; });
  }

  // Guards against an accepted configuration that new nodes don't get since the store has lost it.
  void testStore_restoredWithoutConfiguration_getsItBack() {
    for (const bool KeyIsLost : {false, true}) {
      setUp();
      common::Metrics Metrics;
      const auto Empty = ConfigurationVersion;
      putConfiguration(document(1));
      const auto First = ConfigurationVersion;
      Node TestedNode(*Io, options("agent-a", Store->local(), {}), Metrics);
      TestedNode.start();
      runUntil([&] { return storeCounter("waiting") == 1; });
      putConfiguration(document(2));
      runUntil([&] { return revision(TestedNode) == 2; });
      restore(KeyIsLost ? Empty : First);
      runUntil([&] {
        const auto Stored = call(Store->local(), "GET", "/v1/kv/config");
        return Stored.Status == 200 &&
               json::parse(json::parse(Stored.Body).at("value").get<std::string>())
                       .at("revision") == 2;
      });
      tearDown();
    }
    setUp();
  }

  // Guards against an edit of after a restore that isn't in force, or takes an accepted one back.
  void testStore_restoredAndEdited_keepsBothEdits() {
    common::Metrics Metrics;
    const auto Edited = [](const Configuration &Base, const std::string &Id) {
      const config::Edit Requested{Id, "rosa", 1, config::SetLabels{"agent-a", {{Id, "yes"}}}};
      return common::capture([&] {
               return config::applyEdit(Base, Requested, {{"agent-a", "zone-1"}});
             })
          ->Next;
    };
    const auto Copy = Edited(document(0), "kept");
    putConfiguration(Copy);
    const auto Restored = ConfigurationVersion;
    Node TestedNode(*Io, options("agent-a", Store->local(), {}), Metrics);
    TestedNode.start();
    runUntil([&] { return revision(TestedNode) == 1; });
    putConfiguration(Edited(Copy, "lost"));
    runUntil([&] { return revision(TestedNode) == 2 && storeCounter("waiting") == 1; });
    // The edit takes effect after the restore, and before any call that the node makes since.
    setDelay(500);
    std::optional<unsigned> Written;
    asio::co_spawn(
        *Io,
        [&]() -> asio::awaitable<void> {
          const auto Answer = co_await common::httpCall(
              Store->local(), "PUT", "/v1/kv/config?version=" + std::to_string(Restored),
              toJson(Edited(Copy, "since")).dump(), HangTimeout);
          Written = Answer ? Answer->Status : 0;
        },
        asio::detached);
    runUntil([&] { return storeCounter("delayed") == 1; });
    restore(Restored);
    runUntil([&] { return Written.has_value(); });
    CPPUNIT_ASSERT_EQUAL(200U, *Written);
    setDelay(0);
    runUntil([&] { return revision(TestedNode) == 3; });
    const config::Labels Expected{
        {"role", "desk"}, {"kept", "yes"}, {"lost", "yes"}, {"since", "yes"}};
    CPPUNIT_ASSERT(TestedNode.view()->configuration().UpstreamLabels.at("agent-a") == Expected);
  }

  // Guards against members that the store serves and that wait for the watchers of their zone,
  // which it turns away, as in review/9.
  void testStore_watchersTurnedAway_servesConfigurationToOthers() {
    struct NodeWithDoor {
      NodeWithDoor(asio::io_context &Io, Endpoint Store) : Door(Io, Store) {}

      common::Metrics Metrics;
      StoreDoor Door;
      std::optional<Node> Started;
    };
    putConfiguration(document(1));
    std::vector<membership::Member> Members;
    for (const char *Id : {"a", "b", "c", "d", "e"})
      Members.push_back(options(Id, {}, {}).Self);
    // The watchers start first, so that no other member ever watches.
    auto Order = membership::storeWatchers(Members, "zone-1");
    for (const auto &Each : Members)
      if (std::find(Order.begin(), Order.end(), Each.Id) == Order.end())
        Order.push_back(Each.Id);
    std::vector<std::unique_ptr<NodeWithDoor>> Nodes;
    for (const std::string &Id : Order) {
      auto &Added = *Nodes.emplace_back(std::make_unique<NodeWithDoor>(*Io, Store->local()));
      std::vector<Endpoint> Seeds;
      if (Nodes.size() > 1)
        Seeds.push_back(Nodes.front()->Started->self().Control);
      Added.Started.emplace(*Io, options(Id, Added.Door.local(), Seeds), Added.Metrics);
      Added.Started->start();
      runUntil([&] {
        return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Each) {
          return Each->Started->view()->members().size() == Nodes.size() &&
                 revision(*Each->Started) == 1;
        });
      });
    }
    for (std::size_t I = 0; I < membership::WatchersPerZone; ++I)
      Nodes[I]->Door.Now = Treatment::Reset;
    CPPUNIT_ASSERT(!Nodes.back()->Door.watched());
    putConfiguration(document(2));
    runUntil([&] {
      return std::all_of(Nodes.begin(), Nodes.end(),
                         [](const auto &Each) { return revision(*Each->Started) == 2; });
    });
  }

  // Guards against a watch that waits for its time limit of 27 s on a connection that carries
  // nothing more, as in review/10.
  void testStore_watchGoneSilent_isReadBeforeTheWatchEnds() {
    common::Metrics Metrics;
    putConfiguration(document(1));
    StoreDoor Door(*Io, Store->local());
    Node TestedNode(*Io, options("agent-a", Door.local(), {}), Metrics);
    TestedNode.start();
    runUntil([&] { return revision(TestedNode) == 1 && Door.watched(); });
    Door.silenceOpenCalls();
    putConfiguration(document(2));
    runUntil([&] { return revision(TestedNode) == 2; });
    CPPUNIT_ASSERT(Metrics.render().find("galenarelay_store_call_failures_total 0") !=
                   std::string::npos);
  }

  // Guards against members that stay unknown to editors and new nodes after a restore.
  void testStore_restoredWithoutRecords_getsThemBack() {
    common::Metrics Metrics[2];
    putConfiguration(document(1));
    Node First(*Io, options("agent-a", Store->local(), {}), Metrics[0]);
    First.start();
    Node Second(*Io, options("agent-b", Store->local(), {First.self().Control}), Metrics[1]);
    Second.start();
    const auto BothRegistered = [&] { return isRegistered("agent-a") && isRegistered("agent-b"); };
    runUntil(BothRegistered);
    restore(ConfigurationVersion);
    runUntil(BothRegistered);
  }

  // Guards against malformed or oversized datagrams that end the process or aren't counted.
  void testControl_badInput_isCountedAndDropped() {
    common::Metrics Metrics;
    Node TestedNode(*Io, options("agent-a", Store->local(), {}), Metrics);
    TestedNode.onControl("load", [](const json &Message, Endpoint) { (void)Message.at("absent"); });
    TestedNode.start();
    common::UdpSocket Sender(*Io, AnyPort, [](std::span<const std::uint8_t>, Endpoint) {});
    const std::vector<std::vector<std::uint8_t>> Datagrams = {
        {0xff, 0x00},
        json::to_cbor(json::array({1})),
        json::to_cbor(json{{"t", 5}}),
        json::to_cbor(json{{"t", "none"}}),
        json::to_cbor(json{{"t", "load"}}),
        json::to_cbor(json{{"t", "ping"}}),
    };
    for (const auto &Datagram : Datagrams)
      Sender.send(Datagram, TestedNode.self().Control);
    Sender.send(std::vector<std::uint8_t>(1201), TestedNode.self().Control);
    const auto HasCount = [&](const std::string &Reason, std::size_t Count) {
      return Metrics.render().find("control_rejected_total{reason=\"" + Reason + "\"} " +
                                   std::to_string(Count)) != std::string::npos;
    };
    runUntil([&] {
      return HasCount("MessageMalformed", Datagrams.size()) && HasCount("MessageTooLong", 1);
    });
  }

  // Guards against packets that don't reach their home agent, or reach it with the TTL of the
  // fabric, which may be nearly used up.
  void testBalancer_packets_reachHomeAgentWithInitialTtl() {
    common::Metrics Metrics[2];
    putConfiguration(document(1));
    std::vector<std::uint8_t> Received;
    common::UdpSocket Upstream(*Io, AnyPort, [&](std::span<const std::uint8_t> Bytes, Endpoint) {
      Received.assign(Bytes.begin(), Bytes.end());
    });
    auto AgentOptions = options("agent-a", Store->local(), {});
    AgentOptions.Self.Data = Upstream.local();
    Node Agent(*Io, AgentOptions, Metrics[0]);
    Agent.start();
    Balancer TestBalancer(*Io, options("balancer-b", Store->local(), {Agent.self().Control}),
                          Metrics[1]);
    TestBalancer.start();
    runUntil([&] {
      const auto *Route = TestBalancer.node().view()->service("desk");
      return Route != nullptr && !Route->Candidates.empty();
    });
    const Endpoint Data = TestBalancer.node().self().Data;
    Upstream.send(syn(4000, {0x0a010002, 80}, 64), Data);
    Upstream.send(std::vector<std::uint8_t>(10), Data);
    Upstream.send(syn(4000, ServiceAddress, 64), Data);
    runUntil([&] { return !Received.empty(); });
    CPPUNIT_ASSERT(Received == syn(4000, ServiceAddress, packet::InitialTtl));
    const std::string Counters = Metrics[1].render();
    for (const char *Result : {"forwarded", "PacketUnknownService", "PacketMalformed"})
      CPPUNIT_ASSERT(Counters.find("result=\"" + std::string(Result) + "\"} 1") !=
                     std::string::npos);
  }

  // Guards against a balancer that stops while the fabric still sends to it, that doesn't announce
  // its end to the other members, or whose record stays in the store.
  void testBalancer_drain_forwardsUntilQuietPeriodEnds() {
    using std::chrono::milliseconds;
    constexpr milliseconds QuietPeriod{300};
    common::Metrics Metrics[2];
    putConfiguration(document(1));
    int Received = 0;
    common::UdpSocket Upstream(*Io, AnyPort,
                               [&](std::span<const std::uint8_t>, Endpoint) { ++Received; });
    auto AgentOptions = options("agent-a", Store->local(), {});
    AgentOptions.Self.Data = Upstream.local();
    Node Agent(*Io, AgentOptions, Metrics[0]);
    Agent.start();
    Balancer TestBalancer(*Io, options("balancer-b", Store->local(), {Agent.self().Control}),
                          Metrics[1]);
    TestBalancer.start();
    const auto BalancerStateAtAgent = [&] {
      const auto *Record = Agent.view()->member("balancer-b");
      return Record == nullptr ? std::optional<MemberState>() : Record->State;
    };
    runUntil([&] {
      const auto *Route = TestBalancer.node().view()->service("desk");
      return BalancerStateAtAgent() == MemberState::Active && Route != nullptr &&
             !Route->Candidates.empty() && isRegistered("balancer-b");
    });
    bool DrainCompleted = false;
    asio::co_spawn(*Io, TestBalancer.drain(QuietPeriod),
                   [&](const std::exception_ptr &) { DrainCompleted = true; });
    runUntil([&] { return BalancerStateAtAgent() == MemberState::Leaving; });
    CPPUNIT_ASSERT(!DrainCompleted);
    Upstream.send(syn(4000, ServiceAddress, 64), TestBalancer.node().self().Data);
    runUntil([&] { return Received == 1; });
    const auto LastPacket = std::chrono::steady_clock::now();
    runUntil([&] { return DrainCompleted && BalancerStateAtAgent() == MemberState::Dead; });
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - LastPacket >= QuietPeriod - milliseconds(50));
    CPPUNIT_ASSERT(!isRegistered("balancer-b"));
  }

  // Guards against edits that, applied to an older document, yield another document than the
  // peer's, and against a base with the right revision but other content that goes unnoticed.
  void testConfigurationDifference_olderBases_yieldPeerDocument() {
    const auto WithEdit = [](const Configuration &From, const std::string &Value) {
      Configuration To = From;
      ++To.RevisionNumber;
      To.UpstreamLabels["agent-a"]["role"] = Value;
      json Before = toJson(From);
      json After = toJson(To);
      for (const char *Key : {"edits", "revision"}) {
        Before.erase(Key);
        After.erase(Key);
      }
      To.AuditEntries.push_back(
          {"edit-" + Value, "ana", 1, To.RevisionNumber, "labels", json::diff(Before, After)});
      if (To.AuditEntries.size() > 3)
        To.AuditEntries.erase(To.AuditEntries.begin());
      return To;
    };
    std::vector<Configuration> History{document(1)};
    for (int I = 0; I < 6; ++I)
      History.push_back(WithEdit(History.back(), "value-" + std::to_string(I)));
    const Configuration &Newest = History.back();
    for (const Configuration &Base : History) {
      const json Response = impl::configurationSince(Newest, Base.RevisionNumber);
      const bool WholeDocument = !Response.contains("after");
      CPPUNIT_ASSERT_EQUAL(Newest.RevisionNumber - Base.RevisionNumber > 3, WholeDocument);
      const auto Parsed =
          common::capture([&] { return impl::configurationFromResponse(Base, Response); });
      CPPUNIT_ASSERT(Parsed);
      CPPUNIT_ASSERT(*Parsed == Newest);
    }
    Configuration OtherBase = History[4];
    OtherBase.Services["shop"] = {{0x0a010002, 80}, "role=shop"};
    const json Response = impl::configurationSince(Newest, OtherBase.RevisionNumber);
    const auto Parsed =
        common::capture([&] { return impl::configurationFromResponse(OtherBase, Response); });
    CPPUNIT_ASSERT(Parsed.Failure.Code == common::ResultCode::RevisionUnknown);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTest);

} // namespace galenarelay::tests
