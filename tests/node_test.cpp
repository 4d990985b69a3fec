#include "galenarelay/node/balancer.h"
#include "galenarelay/node/impl/configuration_difference.h"
#include "galenarelay/standins/store/store_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

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
  Document.Number = Number;
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
  CPPUNIT_TEST(testNodes_sharedStore_reachTheSameView);
  CPPUNIT_TEST(testNode_storeDown_takesConfigurationFromPeer);
  CPPUNIT_TEST(testStore_lowerRevision_isRefused);
  CPPUNIT_TEST(testControl_badInput_isCountedAndDropped);
  CPPUNIT_TEST(testBalancer_packets_reachHomeWithInitialTtl);
  CPPUNIT_TEST(testBalancer_drain_forwardsUntilQuiet);
  CPPUNIT_TEST(testDifference_rows_leadToTheSameDocument);
  CPPUNIT_TEST_SUITE_END();

  /// Ends a test that hangs; no result depends on it.
  static constexpr std::chrono::seconds Guard{30};

  /// Conditions that call the store stay below its limit of 2,000 reads per second.
  static constexpr std::chrono::milliseconds PollInterval{5};

  std::optional<asio::io_context> Io;
  std::optional<standins::store::StoreServer> Store;
  std::uint64_t StoreVersion = 0; ///< Of the configuration.

  void runUntil(const std::function<bool()> &Holds) {
    const auto End = std::chrono::steady_clock::now() + Guard;
    bool Held = Holds();
    while (!Held && std::chrono::steady_clock::now() < End) {
      Io->run_for(PollInterval);
      Held = Holds();
    }
    CPPUNIT_ASSERT(Held);
  }

  HttpResponse call(Endpoint Server, const std::string &Method, const std::string &Target,
                    const std::string &Body = "") {
    std::optional<common::Outcome<HttpResponse>> Answer;
    asio::co_spawn(
        *Io,
        [&]() -> asio::awaitable<void> {
          Answer = co_await common::httpCall(Server, Method, Target, Body, Guard);
        },
        asio::detached);
    runUntil([&] { return Answer.has_value(); });
    CPPUNIT_ASSERT(*Answer);
    return **Answer;
  }

  json ask(const Node &Asked, const std::string &Target) {
    return json::parse(call(Asked.self().Admin, "GET", Target).Body);
  }

  void put(const Configuration &Document) {
    const std::string Target = "/v1/kv/config?version=" + std::to_string(StoreVersion);
    const auto Answer = call(Store->local(), "PUT", Target, toJson(Document).dump());
    CPPUNIT_ASSERT_EQUAL(200U, Answer.Status);
    StoreVersion = json::parse(Answer.Body).at("version");
  }

  void setOutage(bool Outage) {
    static_cast<void>(call(Store->local(), "POST", "/v1/faults", json{{"outage", Outage}}.dump()));
  }

  int stats(const char *Counter) {
    return json::parse(call(Store->local(), "GET", "/v1/stats").Body).at(Counter).get<int>();
  }

  bool isRegistered(const std::string &Id) {
    return call(Store->local(), "GET", "/v1/kv/members/" + Id).Status == 200;
  }

  static config::Revision revision(const Node &Of) { return Of.view()->configuration().Number; }

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
    StoreVersion = 0;
  }
  void tearDown() override {
    Store.reset();
    Io.reset();
  }

  // Guards against nodes that don't find each other or that ignore an edit.
  void testNodes_sharedStore_reachTheSameView() {
    common::Metrics Metrics[3];
    put(document(1));
    setOutage(true);
    auto AgentOptions = options("agent-a", Store->local(), {});
    Node Agent(*Io, AgentOptions, Metrics[0]);
    Agent.start();
    runUntil([&] { return stats("failed") > 0; });
    setOutage(false);
    runUntil([&] { return isRegistered("agent-a"); });
    // One finds the agent by its seed, the other by the store.
    Node First(*Io, options("node-b", Store->local(), {Agent.self().Control}), Metrics[1]);
    Node Second(*Io, options("node-c", Store->local(), {}), Metrics[2]);
    First.start();
    Second.start();
    const auto Agree = [&](config::Revision Number) {
      for (const Node *Each : {&Agent, &First, &Second})
        if (Each->view()->members().size() != 3 || revision(*Each) != Number)
          return false;
      return true;
    };
    runUntil([&] { return Agree(1); });
    put(document(2));
    runUntil([&] { return Agree(2); });
    CPPUNIT_ASSERT(*First.view()->service("desk") == *Second.view()->service("desk"));
    CPPUNIT_ASSERT(isRegistered("node-b") && isRegistered("node-c"));
    const json Status = ask(First, "/v1/status");
    CPPUNIT_ASSERT_EQUAL(std::string("node-b"), Status.at("id").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(2, Status.at("revision").get<int>());
    CPPUNIT_ASSERT_EQUAL(3, Status.at("members").get<int>());
    const json Why = ask(First, "/v1/explain?flow=10.0.0.9:4000-10.1.0.1:80");
    CPPUNIT_ASSERT_EQUAL(std::string("desk"), Why.at("service").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("agent-a"), Why.at("home").at("id").get<std::string>());
    CPPUNIT_ASSERT(Why.at("second").is_null());
  }

  // Guards against a store outage that keeps new nodes from starting.
  void testNode_storeDown_takesConfigurationFromPeer() {
    common::Metrics Metrics[2];
    put(document(7));
    Node Old(*Io, options("agent-a", Store->local(), {}), Metrics[0]);
    Old.start();
    runUntil([&] { return revision(Old) == 7; });
    setOutage(true);
    Node New(*Io, options("node-b", Store->local(), {Old.self().Control}), Metrics[1]);
    New.start();
    runUntil([&] { return revision(New) == 7 && New.view()->members().size() == 2; });
  }

  // Guards against an accepted configuration that reverts.
  void testStore_lowerRevision_isRefused() {
    common::Metrics Metrics;
    put(document(5));
    Node Only(*Io, options("agent-a", Store->local(), {}), Metrics);
    Only.start();
    runUntil([&] { return revision(Only) == 5; });
    put(document(4));
    const std::string Counted = "galenarelay_configuration_refused_total 1";
    runUntil([&] { return Metrics.render().find(Counted) != std::string::npos; });
    CPPUNIT_ASSERT_EQUAL(config::Revision{5}, revision(Only));
  }

  // Guards against input from the network that ends the process or goes uncounted.
  void testControl_badInput_isCountedAndDropped() {
    common::Metrics Metrics;
    Node Only(*Io, options("agent-a", Store->local(), {}), Metrics);
    Only.onControl("load", [](const json &Message, Endpoint) { (void)Message.at("absent"); });
    Only.start();
    common::UdpSocket Sender(*Io, AnyPort, [](std::span<const std::uint8_t>, Endpoint) {});
    const std::vector<std::vector<std::uint8_t>> Rows = {
        {0xff, 0x00},
        json::to_cbor(json::array({1})),
        json::to_cbor(json{{"t", 5}}),
        json::to_cbor(json{{"t", "none"}}),
        json::to_cbor(json{{"t", "load"}}),
        json::to_cbor(json{{"t", "ping"}}),
    };
    for (const auto &Row : Rows)
      Sender.send(Row, Only.self().Control);
    Sender.send(std::vector<std::uint8_t>(1201), Only.self().Control);
    const auto Counted = [&](const std::string &Reason, std::size_t Count) {
      return Metrics.render().find("control_rejected_total{reason=\"" + Reason + "\"} " +
                                   std::to_string(Count)) != std::string::npos;
    };
    runUntil(
        [&] { return Counted("MessageMalformed", Rows.size()) && Counted("MessageTooLong", 1); });
  }

  // Guards against packets that miss their home or reach an agent with a spent hop limit.
  void testBalancer_packets_reachHomeWithInitialTtl() {
    common::Metrics Metrics[2];
    put(document(1));
    std::vector<std::uint8_t> Received;
    common::UdpSocket Upstream(*Io, AnyPort, [&](std::span<const std::uint8_t> Bytes, Endpoint) {
      Received.assign(Bytes.begin(), Bytes.end());
    });
    auto AgentOptions = options("agent-a", Store->local(), {});
    AgentOptions.Self.Data = Upstream.local();
    Node Agent(*Io, AgentOptions, Metrics[0]);
    Agent.start();
    Balancer Entry(*Io, options("balancer-b", Store->local(), {Agent.self().Control}), Metrics[1]);
    Entry.start();
    runUntil([&] {
      const auto *Route = Entry.node().view()->service("desk");
      return Route != nullptr && !Route->Candidates.empty();
    });
    const Endpoint Data = Entry.node().self().Data;
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

  // Guards against a balancer that stops while the fabric still sends to it, and against one whose
  // leave stays unknown or whose record stays in the store.
  void testBalancer_drain_forwardsUntilQuiet() {
    using std::chrono::milliseconds;
    constexpr milliseconds Quiet{300};
    common::Metrics Metrics[2];
    put(document(1));
    int Received = 0;
    common::UdpSocket Upstream(*Io, AnyPort,
                               [&](std::span<const std::uint8_t>, Endpoint) { ++Received; });
    auto AgentOptions = options("agent-a", Store->local(), {});
    AgentOptions.Self.Data = Upstream.local();
    Node Agent(*Io, AgentOptions, Metrics[0]);
    Agent.start();
    Balancer Entry(*Io, options("balancer-b", Store->local(), {Agent.self().Control}), Metrics[1]);
    Entry.start();
    const auto StateAtAgent = [&] {
      const auto *Found = Agent.view()->member("balancer-b");
      return Found == nullptr ? std::optional<MemberState>() : Found->State;
    };
    runUntil([&] {
      const auto *Route = Entry.node().view()->service("desk");
      return StateAtAgent() == MemberState::Active && Route != nullptr &&
             !Route->Candidates.empty() && isRegistered("balancer-b");
    });
    bool Ended = false;
    asio::co_spawn(*Io, Entry.drain(Quiet), [&](const std::exception_ptr &) { Ended = true; });
    runUntil([&] { return StateAtAgent() == MemberState::Leaving; });
    CPPUNIT_ASSERT(!Ended);
    Upstream.send(syn(4000, ServiceAddress, 64), Entry.node().self().Data);
    runUntil([&] { return Received == 1; });
    const auto LastPacket = std::chrono::steady_clock::now();
    runUntil([&] { return Ended && StateAtAgent() == MemberState::Dead; });
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - LastPacket >= Quiet - milliseconds(50));
    CPPUNIT_ASSERT(!isRegistered("balancer-b"));
  }

  // Guards against a patched document that differs from the peer's.
  void testDifference_rows_leadToTheSameDocument() {
    const auto Edited = [](const Configuration &From, const std::string &Value) {
      Configuration To = From;
      ++To.Number;
      To.UpstreamLabels["agent-a"]["role"] = Value;
      json Before = toJson(From);
      json After = toJson(To);
      for (const char *Key : {"edits", "revision"}) {
        Before.erase(Key);
        After.erase(Key);
      }
      To.Edits.push_back(
          {"edit-" + Value, "ana", 1, To.Number, "labels", json::diff(Before, After)});
      if (To.Edits.size() > 3)
        To.Edits.erase(To.Edits.begin());
      return To;
    };
    std::vector<Configuration> History{document(1)};
    for (int I = 0; I < 6; ++I)
      History.push_back(Edited(History.back(), "value-" + std::to_string(I)));
    const Configuration &Newest = History.back();
    for (const Configuration &Held : History) {
      const json Answer = impl::configurationSince(Newest, Held.Number);
      const bool Whole = !Answer.contains("after");
      CPPUNIT_ASSERT_EQUAL(Newest.Number - Held.Number > 3, Whole);
      const auto Read = common::capture([&] { return impl::readConfiguration(Held, Answer); });
      CPPUNIT_ASSERT(Read);
      CPPUNIT_ASSERT(*Read == Newest);
    }
    Configuration Other = History[4];
    Other.Services["shop"] = {{0x0a010002, 80}, "role=shop"};
    const json Answer = impl::configurationSince(Newest, Other.Number);
    const auto Read = common::capture([&] { return impl::readConfiguration(Other, Answer); });
    CPPUNIT_ASSERT(Read.Failure.Code == common::ResultCode::RevisionUnknown);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTest);

} // namespace galenarelay::tests
