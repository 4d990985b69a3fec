#include "galenarelay/agent/dispatcher.h"
#include "galenarelay/agent/flow_connection.h"
#include "galenarelay/agent/load_message.h"
#include "galenarelay/agent/packet_path.h"
#include "galenarelay/agent/upstream_health.h"
#include "galenarelay/standins/upstream/upstream_server.h"

#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace galenarelay::tests {

using namespace agent;
using common::Endpoint;
using common::steadyNow;
using request::Answer;
using request::RequestState;
using schedule::Completion;
using standins::upstream::Behaviour;
using standins::upstream::RunOutcome;
using standins::upstream::UpstreamServer;

namespace {

constexpr std::chrono::seconds Patience{20};

/// What the flow of a request was told.
struct Outcome {
  std::optional<Answer> Own; ///< The agent's own answer.
  std::optional<request::ResponseHead> Head;
  std::string Body;
  bool Finished = false;
  bool Aborted = false;

  [[nodiscard]] bool ended() const { return Own || Finished || Aborted; }
  [[nodiscard]] unsigned status() const { return Own ? Own->Status : Head ? Head->Status : 0; }
  [[nodiscard]] std::string result() const {
    return Own ? std::string(request::headerValue(Own->Headers, request::ResultHeader)) : "";
  }
};

/// A dispatcher and an upstream stand-in on one event loop.
class Rig {
public:
  boost::asio::io_context Io{1};
  common::Metrics Metrics;
  std::unique_ptr<UpstreamServer> Server;
  std::unique_ptr<Dispatcher> Requests;
  std::vector<Completion> Results;

  explicit Rig(std::uint32_t Slots = 5) {
    Server = std::make_unique<UpstreamServer>(Io, Endpoint{0x7f000001, 0});
    schedule::SchedulerOptions Options;
    Options.Slots = Slots;
    Options.SlowStart = {};
    Requests = std::make_unique<Dispatcher>(Io, Server->local(), "a", Options, Metrics);
    Requests->onResult([this](Completion How) { Results.push_back(How); });
  }
  ~Rig() {
    Requests.reset();
    Server.reset();
  }
  Rig(const Rig &) = delete;
  Rig &operator=(const Rig &) = delete;

  template <typename Condition> void runUntil(Condition Holds) {
    const auto End = std::chrono::steady_clock::now() + Patience;
    while (!Holds()) {
      CPPUNIT_ASSERT_MESSAGE("timeout", std::chrono::steady_clock::now() < End);
      Io.run_one_for(std::chrono::milliseconds(5));
      Io.restart();
    }
  }

  static NewRequest order(const std::string &Target, const std::string &Id) {
    NewRequest Made;
    Made.Flow = {{0x7f000009, 4000}, {0x0a010001, 80}};
    Made.Service = "desk";
    Made.Head.Method = "POST";
    Made.Head.Target = Target;
    Made.Head.Headers = {{"Host", "desk"}, {std::string(request::RequestIdHeader), Id}};
    Made.Head.Length = 5;
    Made.Body = "order";
    return Made;
  }

  static ExchangeEvents record(Outcome &Seen) {
    ExchangeEvents Events;
    Events.OnAnswer = [&](const Answer &Whole) { Seen.Own = Whole; };
    Events.OnHead = [&](const request::ResponseHead &Head) { Seen.Head = Head; };
    Events.OnData = [&](std::span<const std::uint8_t> Bytes) {
      Seen.Body.append(Bytes.begin(), Bytes.end());
    };
    Events.OnFinished = [&] { Seen.Finished = true; };
    Events.OnAborted = [&] { Seen.Aborted = true; };
    Events.OnBodySent = [] {};
    return Events;
  }

  Outcome call(NewRequest Request) {
    Outcome Seen;
    (void)Requests->submit(std::move(Request), record(Seen));
    runUntil([&] { return Seen.ended(); });
    return Seen;
  }

  [[nodiscard]] RunOutcome lastRun() const { return Server->runs().runs().back().Outcome; }
};

} // namespace

class DispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(testOrder_upstreamFaults_tellCallerTheTruth);
  CPPUNIT_TEST(testOrder_shedOnce_isRetriedAndRunsOnce);
  CPPUNIT_TEST(testOrder_resentWithKey_runsOnce);
  CPPUNIT_TEST(testOrder_keyClaim_decidesBeforeAnyRun);
  CPPUNIT_TEST(testCancel_runningOrder_closesUpstreamAndFreesSlot);
  CPPUNIT_TEST(testCancel_queuedOrder_neverRuns);
  CPPUNIT_TEST(testQueue_full_answersNotRun);
  CPPUNIT_TEST(testFeed_started_freesSlotAndIsRelayedAsItComes);
  CPPUNIT_TEST(testUpload_streamed_arrivesWhole);
  CPPUNIT_TEST(testUpload_slowBodies_leaveSlotsForOrders);
  CPPUNIT_TEST(testUpload_brokenOff_isNotAnsweredAsComplete);
  CPPUNIT_TEST(testResponse_ambiguous503_losesRetryAfter);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an answer that claims more than is known: "not run" after a run, or none at all.
  void testOrder_upstreamFaults_tellCallerTheTruth() {
    struct Row {
      const char *Name;
      std::function<void(Rig &, NewRequest &)> Prepare;
      unsigned Status;
      const char *Result;
      std::size_t Runs;
      RequestState State;
    };
    const auto With = [](const std::function<void(Behaviour &)> &Change) {
      return [Change](Rig &Under, NewRequest &) {
        Behaviour Changed = Under.Server->behaviour();
        Change(Changed);
        Under.Server->setBehaviour(Changed);
      };
    };
    const Row Rows[] = {
        {"served", [](Rig &, NewRequest &) {}, 200, "", 1, RequestState::Answered},
        {"connection refused", [](Rig &Under, NewRequest &) { Under.Server->close(); }, 503,
         "RequestNotRun", 0, RequestState::NotRun},
        {"shed", With([](Behaviour &B) { B.Shed = true; }), 503, "UpstreamShed", 0,
         RequestState::NotRun},
        {"connection broken", With([](Behaviour &B) { B.BreakConnection = true; }), 502,
         "RequestOutcomeUnknown", 1, RequestState::Unknown},
        {"slow", // The stand-in hears of no deadline, so only the agent ends the wait.
         [](Rig &Under, NewRequest &Request) {
           Request.Head.Target = "/uploads?work_ms=3600000";
           Request.Head.Length.reset();
           Request.Head.Chunked = true;
           Request.Complete = false;
           Request.ServiceDeadline = std::chrono::milliseconds(300);
           (void)Under;
         },
         504, "RequestOutcomeUnknown", 1, RequestState::Unknown},
    };
    for (const Row &Case : Rows) {
      Rig Under;
      NewRequest Request = Rig::order("/orders", "r");
      Case.Prepare(Under, Request);
      Outcome Seen;
      const bool Streams = !Request.Complete;
      const auto Id = Under.Requests->submit(std::move(Request), Rig::record(Seen));
      if (Streams)
        Under.Requests->sendBody(Id, "tail", true);
      Under.runUntil([&] { return Seen.ended(); });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, Case.Status, Seen.status());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, std::string(Case.Result), Seen.result());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, Case.Runs, Under.Server->runs().count("r"));
      const auto Record = Under.Requests->ledger().find("r").at(0);
      CPPUNIT_ASSERT_MESSAGE(Case.Name, Case.State == Record.State);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, Case.Status, Record.Status);
      if (Case.Status == 503)
        CPPUNIT_ASSERT(!request::headerValue(Seen.Own->Headers, "Retry-After").empty());
      CPPUNIT_ASSERT_EQUAL(0U, Under.Requests->loadReport().Busy);
    }
  }

  // Guards against a retry that is lost, and against one after a run.
  void testOrder_shedOnce_isRetriedAndRunsOnce() {
    Rig Under;
    Behaviour Sheds = Under.Server->behaviour();
    Sheds.Shed = true;
    Under.Server->setBehaviour(Sheds);
    Outcome Seen;
    (void)Under.Requests->submit(Rig::order("/orders", "r"), Rig::record(Seen));
    Under.runUntil([&] { return !Under.Results.empty(); });
    Under.Server->setBehaviour({});
    Under.runUntil([&] { return Seen.ended(); });
    CPPUNIT_ASSERT_EQUAL(200U, Seen.status());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Under.Server->runs().count("r"));
    CPPUNIT_ASSERT_EQUAL(2U, Under.Requests->ledger().find("r").at(0).Dispatches);
  }

  // Guards against a resend that runs an order twice.
  void testOrder_resentWithKey_runsOnce() {
    Rig Under;
    const auto Keyed = [](const std::string &Target) {
      NewRequest Made = Rig::order(Target, "r");
      Made.Head.Headers.emplace_back(request::IdempotencyKeyHeader, "k-1");
      return Made;
    };
    Outcome First;
    (void)Under.Requests->submit(Keyed("/orders?work_ms=50"), Rig::record(First));
    CPPUNIT_ASSERT_EQUAL(409U, Under.call(Keyed("/orders?work_ms=50")).status());
    Under.runUntil([&] { return First.ended(); });
    const Outcome Again = Under.call(Keyed("/orders?work_ms=50"));
    CPPUNIT_ASSERT_EQUAL(200U, Again.status());
    CPPUNIT_ASSERT_EQUAL(First.Body, Again.Own->Body);
    CPPUNIT_ASSERT_EQUAL(400U, Under.call(Keyed("/orders")).status());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Under.Server->runs().count("r"));
  }

  // Guards against an order that runs before its key is granted, or although it is held elsewhere,
  // and against a key that stays taken by a request that did not run.
  void testOrder_keyClaim_decidesBeforeAnyRun() {
    using request::Claim;
    using request::ClaimState;
    Rig Under;
    std::vector<std::string> Calls;
    request::RequestId Asked = 0;
    std::uint64_t Fingerprint = 0;
    Under.Requests->setClaims(
        {[&](request::RequestId Id, const request::ClaimKey &, std::uint64_t Hash) {
           Asked = Id;
           Fingerprint = Hash;
         },
         [&](request::RequestId, ClaimState State, unsigned Status, const std::string &,
             const std::string &) {
           Calls.push_back((State == ClaimState::Answered ? "answered " : "unknown ") +
                           std::to_string(Status));
         },
         [&](request::RequestId) { Calls.emplace_back("released"); }});
    struct Row {
      std::function<void()> Decide;
      unsigned Status;
      std::vector<std::string> Calls;
    };
    const auto Deny = [&](Claim Holder) {
      return [&, Holder]() mutable {
        Holder.Fingerprint += Fingerprint;
        Under.Requests->onClaimDenied(Asked, Holder);
      };
    };
    const Row Rows[] = {
        {Deny({"b#1#1", 0, ClaimState::Running}), 409, {}},
        {Deny({"b#1#1", 0, ClaimState::Unknown}), 502, {}},
        {Deny({"b#1#1", 0, ClaimState::Answered, 201, "text/plain", "made"}), 201, {}},
        {Deny({"b#1#1", 0, ClaimState::Answered, 201, "", ""}), 409, {}},
        {Deny({"b#1#1", 1, ClaimState::Answered, 201, "", "made"}), 400, {}},
        {[&] { Under.Requests->onClaimFailed(Asked); }, 503, {}},
        {[&] { Under.Requests->onClaimGranted(Asked); }, 200, {"answered 200"}},
        {[&] {
           Under.Server->close();
           Under.Requests->onClaimGranted(Asked);
         },
         503,
         {"released"}},
    };
    for (const Row &Case : Rows) {
      Calls.clear();
      const std::size_t Before = Under.Server->runs().runs().size();
      NewRequest Made = Rig::order("/orders", "r");
      Made.Head.Headers.emplace_back(request::IdempotencyKeyHeader,
                                     "k" + std::to_string(&Case - Rows));
      Outcome Seen;
      (void)Under.Requests->submit(std::move(Made), Rig::record(Seen));
      Case.Decide();
      Under.runUntil([&] { return Seen.ended(); });
      CPPUNIT_ASSERT_EQUAL(Case.Status, Seen.status());
      CPPUNIT_ASSERT(Case.Calls == Calls);
      const std::size_t Runs = Case.Status == 200 ? 1 : 0;
      CPPUNIT_ASSERT_EQUAL(Before + Runs, Under.Server->runs().runs().size());
    }
  }

  // Guards against abandoned work that goes on and keeps its slot.
  void testCancel_runningOrder_closesUpstreamAndFreesSlot() {
    Rig Under;
    Outcome Seen;
    const auto Id =
        Under.Requests->submit(Rig::order("/orders?work_ms=3600000", "r"), Rig::record(Seen));
    Under.runUntil([&] { return Under.Server->runs().count("r") == 1; });
    Under.Requests->cancel(Id);
    CPPUNIT_ASSERT_EQUAL(0U, Under.Requests->loadReport().Busy);
    Under.runUntil([&] { return Under.lastRun() == RunOutcome::Cancelled; });
    CPPUNIT_ASSERT(!Seen.ended());
    CPPUNIT_ASSERT(Under.Requests->ledger().find("r").at(0).State == RequestState::Unknown);
  }

  // Guards against an order that runs after its caller left the queue.
  void testCancel_queuedOrder_neverRuns() {
    Rig Under(1);
    Outcome Running;
    Outcome Queued;
    const auto First =
        Under.Requests->submit(Rig::order("/orders?work_ms=3600000", "1"), Rig::record(Running));
    const auto Second = Under.Requests->submit(Rig::order("/orders", "2"), Rig::record(Queued));
    Under.runUntil([&] { return Under.Server->runs().count("1") == 1; });
    Under.Requests->cancel(Second);
    Under.Requests->cancel(First);
    CPPUNIT_ASSERT_EQUAL(200U, Under.call(Rig::order("/orders", "3")).status());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Under.Server->runs().count("2"));
    CPPUNIT_ASSERT(Under.Requests->ledger().find("2").at(0).State == RequestState::NotRun);
  }

  // Guards against requests that wait for a slot beyond their deadline without an answer.
  void testQueue_full_answersNotRun() {
    Rig Under(1);
    Outcome Running;
    (void)Under.Requests->submit(Rig::order("/orders?work_ms=3600000", "1"), Rig::record(Running));
    NewRequest Late = Rig::order("/orders", "2");
    Late.Head.Headers.emplace_back(request::DeadlineHeader, "30");
    const Outcome Refused = Under.call(std::move(Late));
    CPPUNIT_ASSERT_EQUAL(503U, Refused.status());
    CPPUNIT_ASSERT_EQUAL(std::string("RequestDeadline"), Refused.result());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Under.Server->runs().count("2"));
  }

  // Guards against feeds that are buffered, hold a slot or end at the deadline.
  void testFeed_started_freesSlotAndIsRelayedAsItComes() {
    Rig Under(1);
    NewRequest Request = Rig::order("/feed?interval_ms=1", "f");
    Request.Head.Method = "GET";
    Request.Head.Length.reset();
    Request.Body.clear();
    Request.ServiceDeadline = std::chrono::milliseconds(500);
    Outcome Seen;
    const auto Id = Under.Requests->submit(std::move(Request), Rig::record(Seen));
    Under.runUntil([&] { return Seen.Body.find("line 3\n") != std::string::npos; });
    CPPUNIT_ASSERT(!Seen.Head->Length);
    CPPUNIT_ASSERT_EQUAL(200U, Under.call(Rig::order("/orders", "o")).status());
    const auto End = steadyNow() + std::chrono::milliseconds(600);
    Under.runUntil([&] { return steadyNow() > End; });
    CPPUNIT_ASSERT(!Seen.ended());
    Under.Requests->pauseResponse(Id);
    Under.runUntil([&, Size = std::size_t{0}]() mutable {
      return std::exchange(Size, Seen.Body.size()) == Seen.Body.size();
    });
    Under.Requests->resumeResponse(Id);
    Behaviour Ends;
    Ends.EndFeeds = true;
    Under.Server->setBehaviour(Ends);
    Under.runUntil([&] { return Seen.Finished; });
  }

  // Guards against uploads that lose or reorder parts.
  void testUpload_streamed_arrivesWhole() {
    for (const bool Chunked : {false, true}) {
      Rig Under;
      NewRequest Request = Rig::order("/uploads", "u");
      const std::string Part(100'000, 'p');
      Request.Head.Length = Chunked ? std::nullopt : std::optional<std::uint64_t>(500'005);
      Request.Head.Chunked = Chunked;
      Request.Complete = false;
      Outcome Seen;
      const auto Id = Under.Requests->submit(std::move(Request), Rig::record(Seen));
      for (int I = 0; I < 5; ++I) {
        Under.Requests->sendBody(Id, Part, I == 4);
        Under.runUntil([&] { return Under.Requests->bodyBacklog(Id) == 0; });
      }
      Under.runUntil([&] { return Seen.ended(); });
      CPPUNIT_ASSERT_EQUAL(200U, Seen.status());
      CPPUNIT_ASSERT(Seen.Body.find("\"bytes\":500005") != std::string::npos);
    }
  }

  // Guards against callers that send their bodies slowly and so hold every slot: an order waited
  // 8 s behind three uploads on three slots.
  void testUpload_slowBodies_leaveSlotsForOrders() {
    Rig Under(3);
    std::array<Outcome, 4> Seen;
    std::array<request::RequestId, 4> Ids{};
    for (std::size_t I = 0; I < Ids.size(); ++I) {
      NewRequest Upload = Rig::order("/uploads", std::to_string(I));
      Upload.Head.Length = 9;
      Upload.Complete = false;
      Ids[I] = Under.Requests->submit(std::move(Upload), Rig::record(Seen[I]));
    }
    Under.runUntil([&] { return Under.Server->runs().count("0") == 1; });
    CPPUNIT_ASSERT_EQUAL(200U, Under.call(Rig::order("/orders", "o")).status());
    CPPUNIT_ASSERT_EQUAL(1U, Under.Requests->loadReport().Busy);
    // A complete body passes the one that still arrives; the others go on when it has ended.
    Under.Requests->sendBody(Ids[2], "tail", true);
    Under.runUntil([&] { return Seen[2].ended(); });
    Under.Requests->cancel(Ids[1]);
    Under.Requests->sendBody(Ids[0], "tail", true);
    Under.Requests->sendBody(Ids[3], "tail", true);
    Under.runUntil([&] { return Seen[0].ended() && Seen[3].ended(); });
    for (const std::size_t I : {0U, 2U, 3U})
      CPPUNIT_ASSERT_EQUAL(200U, Seen[I].status());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Under.Server->runs().count("1"));
  }

  // Guards against a truncated upload that the upstream takes as whole.
  void testUpload_brokenOff_isNotAnsweredAsComplete() {
    Rig Under;
    NewRequest Request = Rig::order("/uploads", "u");
    Request.Head.Length = 1000;
    Request.Complete = false;
    Outcome Seen;
    const auto Id = Under.Requests->submit(std::move(Request), Rig::record(Seen));
    Under.runUntil([&] { return Under.Server->runs().count("u") == 1; });
    CPPUNIT_ASSERT_EQUAL(502U, Under.Requests->breakOff(Id).Status);
    Under.runUntil([&] { return Under.lastRun() == RunOutcome::Cancelled; });
  }

  // Guards against an upstream's own 503 that a caller would read as "not run".
  void testResponse_ambiguous503_losesRetryAfter() {
    Rig Under;
    Behaviour Failing;
    Failing.Health = standins::upstream::HealthReport::AlwaysFailing;
    Under.Server->setBehaviour(Failing);
    NewRequest Request = Rig::order("/health", "h");
    Request.Head.Method = "GET";
    const Outcome Seen = Under.call(std::move(Request));
    CPPUNIT_ASSERT_EQUAL(503U, Seen.status());
    CPPUNIT_ASSERT(!Seen.Own);
    CPPUNIT_ASSERT(request::headerValue(Seen.Head->Headers, "Retry-After").empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

class FlowConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowConnectionTest);
  CPPUNIT_TEST(testFlow_pipelinedRequests_areAnsweredInOrder);
  CPPUNIT_TEST(testFlow_largeUpload_isStreamedWithBackPressure);
  CPPUNIT_TEST(testFlow_reset_cancelsRequest);
  CPPUNIT_TEST(testFlow_halfClosed_getsWholeAnswer);
  CPPUNIT_TEST(testFlow_brokenResponse_isResetNotEnded);
  CPPUNIT_TEST(testDrain_busyAndIdleFlow_endAfterAnswerOrIdleTime);
  CPPUNIT_TEST_SUITE_END();

  /// A caller's stream connected to a flow of the agent, without a network between them.
  class Caller {
  public:
    Rig &Under;
    FlowContext Context;
    flow::Stream Stream;
    std::shared_ptr<FlowConnection> Served;
    std::string Got;
    std::size_t MaxMemory = 0;

    explicit Caller(Rig &Under)
        : Under(Under), Context{*Under.Requests,
                                [](const std::string &) { return common::Duration(Patience); },
                                [](const packet::FlowKey &) {}},
          Stream(flow::Stream::connect({{0x7f000009, 4000}, {0x0a010001, 80}}, 7, steadyNow())) {}

    /// Exchanges packets once; time runs only as the machine's clock does.
    void exchange(common::TimePoint Now = steadyNow()) {
      for (packet::Packet &Sent : Stream.takeOutput(Now)) {
        if (!Served)
          Served =
              std::make_shared<FlowConnection>(Context, "desk", flow::Stream::accept(Sent, 9, Now));
        else
          Served->onPacket(Sent, Now);
      }
      if (!Served)
        return;
      Served->onTimer(Now);
      for (const packet::Packet &Sent : Served->advance(Now))
        Stream.onPacket(Sent, Now);
      const auto Bytes = Stream.read();
      Got.append(Bytes.begin(), Bytes.end());
      MaxMemory = std::max(MaxMemory, Served->describe()["memory_bytes"].get<std::size_t>());
    }

    template <typename Condition> void runUntil(Condition Holds) {
      Under.runUntil([&] {
        exchange();
        return Holds();
      });
    }

    void send(std::string_view Text) {
      std::size_t Start = 0;
      runUntil([&] {
        const std::string_view Rest = Text.substr(Start);
        Start += Stream.write({reinterpret_cast<const std::uint8_t *>(Rest.data()), Rest.size()});
        return Start == Text.size();
      });
    }

    void await(const std::string &Part) {
      runUntil([&] { return Got.find(Part) != std::string::npos; });
    }
  };

public:
  // Guards against answers that reach the wrong request of a flow.
  void testFlow_pipelinedRequests_areAnsweredInOrder() {
    Rig Under;
    Caller Client(Under);
    const auto Order = [](const std::string &Id, const std::string &Work) {
      return "POST /orders?work_ms=" + Work +
             " HTTP/1.1\r\nHost: a\r\nGalenarelay-Request-Id: " + Id +
             "\r\nContent-Length: 0\r\n\r\n";
    };
    Client.send(Order("slow", "60") + Order("fast", "0"));
    Client.await("\"request\":\"fast\"");
    CPPUNIT_ASSERT(Client.Got.find("\"request\":\"slow\"") <
                   Client.Got.find("\"request\":\"fast\""));
  }

  // Guards against an agent that holds a whole photo in memory.
  void testFlow_largeUpload_isStreamedWithBackPressure() {
    Rig Under;
    Caller Client(Under);
    const std::size_t Size = 8'000'000;
    Client.send("PUT /uploads HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(Size) +
                "\r\n\r\n" + std::string(Size, 'p'));
    Client.await("\"bytes\":8000000");
    CPPUNIT_ASSERT(Client.MaxMemory < 2'000'000);
  }

  // Guards against work for callers that are gone.
  void testFlow_reset_cancelsRequest() {
    Rig Under;
    Caller Client(Under);
    Client.send("POST /orders?work_ms=3600000 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    Client.runUntil([&] { return !Under.Server->runs().runs().empty(); });
    Client.Stream.reset();
    Client.runUntil([&] { return Under.lastRun() == RunOutcome::Cancelled; });
    CPPUNIT_ASSERT(Client.Served->finished());
  }

  // Guards against a caller that closes its direction and then misses the answer.
  void testFlow_halfClosed_getsWholeAnswer() {
    Rig Under;
    Caller Client(Under);
    Client.send("POST /orders?work_ms=50 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    Client.Stream.finish();
    Client.await("\"run\":1");
    Client.runUntil([&] { return Client.Stream.peerFinished(); });
    CPPUNIT_ASSERT(Client.Got.ends_with("}\n"));
  }

  // Guards against a truncated response that looks complete.
  void testFlow_brokenResponse_isResetNotEnded() {
    Rig Under;
    Caller Client(Under);
    Client.send("GET /feed?interval_ms=1 HTTP/1.1\r\nHost: a\r\n\r\n");
    Client.await("line 2\n");
    Under.Server->close();
    Client.runUntil([&] { return Client.Stream.state() == flow::StreamState::Broken; });
    CPPUNIT_ASSERT(!Client.Got.ends_with("0\r\n\r\n"));
  }

  // Guards against a drain that interrupts a request or never ends.
  void testDrain_busyAndIdleFlow_endAfterAnswerOrIdleTime() {
    Rig Under;
    Caller Busy(Under);
    Busy.send("POST /orders?work_ms=50 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    Busy.runUntil([&] {
      return Under.Server->runs().count("") + Under.Results.size() > 0 ||
             !Under.Server->runs().runs().empty();
    });
    Busy.Served->drain();
    Busy.await("Connection: close");
    Busy.runUntil([&] { return Busy.Stream.peerFinished(); });
    CPPUNIT_ASSERT(Busy.Got.ends_with("}\n"));

    Caller Idle(Under);
    Idle.send("GET /status HTTP/1.1\r\nHost: a\r\n\r\n");
    Idle.await("}\n");
    Idle.Served->drain();
    Idle.exchange();
    CPPUNIT_ASSERT(!Idle.Stream.peerFinished());
    const auto Later = steadyNow() + DrainIdleTime;
    Idle.exchange(Later);
    Idle.exchange(Later);
    CPPUNIT_ASSERT(Idle.Stream.peerFinished());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowConnectionTest);

class PacketPathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PacketPathTest);
  CPPUNIT_TEST(testPath_reusedPort_opensNewFlowAtOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a caller that reuses its port and waits until the closed flow has lingered.
  void testPath_reusedPort_opensNewFlowAtOnce() {
    const packet::FlowKey Key{{0x7f000009, 4000}, {0x0a010001, 80}};
    Rig Under;
    std::optional<flow::Stream> Stream;
    std::string Got;
    common::UdpSocket Fabric(Under.Io, {0x7f000001, 0}, [&](auto Bytes, Endpoint) {
      const auto Packet = common::capture([&] { return packet::parseFromService(Bytes); });
      Stream->onPacket(*Packet, steadyNow());
    });
    PacketPath Path(
        Under.Io, {"a", {0x7f000001, 0}, Fabric.local(), 5},
        FlowContext{
            *Under.Requests, [](const std::string &) { return common::Duration(Patience); }, {}},
        [](const auto &, const auto &, auto) { return std::optional<std::size_t>(0); },
        Under.Metrics);
    config::Configuration Document;
    Document.Services["desk"].Address = Key.Service;
    Document.Services["desk"].Selector = "id=a";
    membership::Member Self;
    Self.Id = "a";
    Self.State = membership::MemberState::Active;
    Path.onViewChange(std::make_shared<const routing::RoutingView>(
        Document, std::vector<membership::Member>{Self}));
    const auto Open = [&](std::uint32_t InitialSequence) {
      Stream = flow::Stream::connect(Key, InitialSequence, steadyNow());
    };
    const auto RunUntil = [&](const auto &Holds) {
      Under.runUntil([&] {
        for (const packet::Packet &Sent : Stream->takeOutput(steadyNow()))
          Fabric.send(packet::serialize(Sent), Path.local());
        const auto Bytes = Stream->read();
        Got.append(Bytes.begin(), Bytes.end());
        return Holds();
      });
    };
    Open(7);
    const std::string Text = "GET /status HTTP/1.1\r\nHost: a\r\n\r\n";
    Stream->write({reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size()});
    RunUntil([&] { return Got.find("}\n") != std::string::npos; });
    Stream->finish();
    RunUntil([&] { return Stream->state() == flow::StreamState::Closed; });
    RunUntil([&] { return Path.describeFlows(1)["flows"][0]["state"] == "closed"; });
    Open(1'000'000);
    // The first SYN opens the flow: without a timer of the stream no other one is sent.
    RunUntil([&] { return Stream->state() == flow::StreamState::Established; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Path.servedFlows());
    Path.stop();
    Fabric.close();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketPathTest);

class UpstreamHealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamHealthTest);
  CPPUNIT_TEST(testHealth_evidence_decidesState);
  CPPUNIT_TEST(testLoadMessage_roundTrip_keepsReport);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a false health report that takes a working upstream out of service.
  void testHealth_evidence_decidesState() {
    struct Row {
      const char *Events; ///< c connected, x refused, s shed, o succeeded, h healthy, f failing,
                          ///< '.' one second passes.
      UpstreamState State;
    };
    const Row Rows[] = {
        {"", UpstreamState::Unreachable},     {"c", UpstreamState::Serving},
        {"cxx", UpstreamState::Serving},      {"cxxx", UpstreamState::Unreachable},
        {"cxxcx", UpstreamState::Serving},    {"cxxxc", UpstreamState::Serving},
        {"cfff.f.f", UpstreamState::Serving}, {"csss.s.s", UpstreamState::Serving},
        {"cf.o.sss", UpstreamState::Serving}, {"cfss.s", UpstreamState::Draining},
        {"csss.sf", UpstreamState::Draining}, {"cfss.sh", UpstreamState::Serving},
        {"cfss.so", UpstreamState::Serving},  {"cfss.sxxx", UpstreamState::Unreachable},
    };
    for (const Row &Case : Rows) {
      UpstreamHealth Health;
      common::TimePoint Now{std::chrono::hours(1)};
      for (const char Event : std::string(Case.Events)) {
        if (Event == 'c')
          Health.onConnected();
        if (Event == 'x')
          Health.onConnectFailed();
        if (Event == 's' || Event == 'o')
          Health.onResult(Event == 's' ? Completion::Shed : Completion::Succeeded, Now);
        if (Event == 'h' || Event == 'f')
          Health.onHealthReport(Event == 'h', Now);
        if (Event == '.')
          Now += std::chrono::seconds(1);
      }
      CPPUNIT_ASSERT_MESSAGE(Case.Events, Case.State == Health.state());
    }
  }

  // Guards against peers that act on a misread load report.
  void testLoadMessage_roundTrip_keepsReport() {
    const schedule::LoadReport Report{"a", 5, 3, 7, 12.5, 0.25, 99};
    const auto Message = toMessage(Report);
    CPPUNIT_ASSERT(Report == *common::capture([&] { return loadFromMessage(Message); }));
    for (const auto &[Name, Value] : Message.items()) {
      auto Faulty = Message;
      Faulty[Name] = nlohmann::json::array();
      const auto Read = common::capture([&] { return loadFromMessage(Faulty); });
      CPPUNIT_ASSERT_MESSAGE(Name, Name == "t" || !Read);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamHealthTest);

} // namespace galenarelay::tests
