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

constexpr std::chrono::seconds TestTimeout{20};

/// The events that a request's flow received from the dispatcher.
struct Outcome {
  std::optional<Answer> OwnAnswer; ///< Answer made by the agent itself.
  std::optional<request::ResponseHead> Head;
  std::string Body;
  bool Finished = false;
  bool Aborted = false;

  [[nodiscard]] bool ended() const { return OwnAnswer || Finished || Aborted; }
  [[nodiscard]] unsigned status() const {
    return OwnAnswer ? OwnAnswer->Status : Head ? Head->Status : 0;
  }
  [[nodiscard]] std::string result() const {
    return OwnAnswer ? std::string(request::headerValue(OwnAnswer->Headers, request::ResultHeader))
                     : "";
  }
};

/// Runs a dispatcher and an upstream stand-in on one event loop.
class DispatcherHarness {
public:
  boost::asio::io_context Io{1};
  common::Metrics Metrics;
  std::unique_ptr<UpstreamServer> Server;
  std::unique_ptr<Dispatcher> Requests;
  std::vector<Completion> Results;

  explicit DispatcherHarness(std::uint32_t Slots = 5) {
    Server = std::make_unique<UpstreamServer>(Io, Endpoint{0x7f000001, 0});
    schedule::SchedulerOptions Options;
    Options.Slots = Slots;
    Options.SlowStart = {};
    Requests = std::make_unique<Dispatcher>(Io, Server->local(), "a", Options, Metrics);
    Requests->setResultListener([this](Completion How) { Results.push_back(How); });
  }
  ~DispatcherHarness() {
    Requests.reset();
    Server.reset();
  }
  DispatcherHarness(const DispatcherHarness &) = delete;
  DispatcherHarness &operator=(const DispatcherHarness &) = delete;

  template <typename Condition> void runUntil(Condition Holds) {
    const auto End = std::chrono::steady_clock::now() + TestTimeout;
    while (!Holds()) {
      CPPUNIT_ASSERT_MESSAGE("timeout", std::chrono::steady_clock::now() < End);
      Io.run_one_for(std::chrono::milliseconds(5));
      Io.restart();
    }
  }

  static NewRequest makeOrder(const std::string &Target, const std::string &Id) {
    NewRequest Request;
    Request.Flow = {{0x7f000009, 4000}, {0x0a010001, 80}};
    Request.Service = "desk";
    Request.Head.Method = "POST";
    Request.Head.Target = Target;
    Request.Head.Headers = {{"Host", "desk"}, {std::string(request::RequestIdHeader), Id}};
    Request.Head.Length = 5;
    Request.Body = "order";
    return Request;
  }

  static ExchangeCallbacks recordEvents(Outcome &Observed) {
    ExchangeCallbacks Events;
    Events.OnAnswer = [&](const Answer &Response) { Observed.OwnAnswer = Response; };
    Events.OnHead = [&](const request::ResponseHead &Head) { Observed.Head = Head; };
    Events.OnData = [&](std::span<const std::uint8_t> Bytes) {
      Observed.Body.append(Bytes.begin(), Bytes.end());
    };
    Events.OnResponseEnd = [&] { Observed.Finished = true; };
    Events.OnAborted = [&] { Observed.Aborted = true; };
    Events.OnBodySent = [] {};
    return Events;
  }

  Outcome call(NewRequest Request) {
    Outcome Observed;
    (void)Requests->submit(std::move(Request), recordEvents(Observed));
    runUntil([&] { return Observed.ended(); });
    return Observed;
  }

  [[nodiscard]] RunOutcome lastRun() const { return Server->runs().runs().back().Outcome; }
};

} // namespace

class DispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(testOrder_upstreamFault_answerMatchesOutcome);
  CPPUNIT_TEST(testOrder_shedOnce_isRetriedAndRunsOnce);
  CPPUNIT_TEST(testOrder_resentWithKey_runsOnce);
  CPPUNIT_TEST(testOrder_keyClaim_decidesBeforeAnyRun);
  CPPUNIT_TEST(testCancel_runningOrder_closesUpstreamAndFreesSlot);
  CPPUNIT_TEST(testCancel_queuedOrder_isNeverRun);
  CPPUNIT_TEST(testQueue_full_answersNotRun);
  CPPUNIT_TEST(testFeed_started_freesSlotAndIsRelayedAsItComes);
  CPPUNIT_TEST(testUpload_streamed_arrivesWhole);
  CPPUNIT_TEST(testUpload_slowBodies_leaveSlotsForOrders);
  CPPUNIT_TEST(testUpload_truncatedBody_isNotAnsweredAsComplete);
  CPPUNIT_TEST(testResponse_ambiguous503_losesRetryAfter);
  CPPUNIT_TEST_SUITE_END();

public:
  // An upstream fault must neither lead to the answer "not run" for a request that may have run,
  // nor to no answer at all.
  void testOrder_upstreamFault_answerMatchesOutcome() {
    struct Row {
      const char *Name;
      std::function<void(DispatcherHarness &, NewRequest &)> Prepare;
      unsigned Status;
      const char *Result;
      std::size_t Runs;
      RequestState State;
    };
    const auto WithBehaviour = [](const std::function<void(Behaviour &)> &Change) {
      return [Change](DispatcherHarness &Harness, NewRequest &) {
        Behaviour Changed = Harness.Server->behaviour();
        Change(Changed);
        Harness.Server->setBehaviour(Changed);
      };
    };
    const Row Rows[] = {
        {"served", [](DispatcherHarness &, NewRequest &) {}, 200, "", 1, RequestState::Answered},
        {"connection refused",
         [](DispatcherHarness &Harness, NewRequest &) { Harness.Server->close(); }, 503,
         "RequestNotRun", 0, RequestState::NotRun},
        {"shed", WithBehaviour([](Behaviour &Faulty) { Faulty.Shed = true; }), 503, "UpstreamShed",
         0, RequestState::NotRun},
        {"connection broken",
         WithBehaviour([](Behaviour &Faulty) { Faulty.BreakConnection = true; }), 502,
         "RequestOutcomeUnknown", 1, RequestState::Unknown},
        {"slow", // A streamed request carries no deadline header, so only the agent ends the wait.
         [](DispatcherHarness &Harness, NewRequest &Request) {
           Request.Head.Target = "/uploads?work_ms=3600000";
           Request.Head.Length.reset();
           Request.Head.Chunked = true;
           Request.Complete = false;
           Request.ServiceDeadline = std::chrono::milliseconds(300);
           (void)Harness;
         },
         504, "RequestOutcomeUnknown", 1, RequestState::Unknown},
    };
    for (const Row &Case : Rows) {
      DispatcherHarness Harness;
      NewRequest Request = DispatcherHarness::makeOrder("/orders", "r");
      Case.Prepare(Harness, Request);
      Outcome Observed;
      const bool Streams = !Request.Complete;
      const auto Id =
          Harness.Requests->submit(std::move(Request), DispatcherHarness::recordEvents(Observed));
      if (Streams)
        Harness.Requests->sendBody(Id, "tail", true);
      Harness.runUntil([&] { return Observed.ended(); });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, Case.Status, Observed.status());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, std::string(Case.Result), Observed.result());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, Case.Runs, Harness.Server->runs().count("r"));
      const auto Record = Harness.Requests->ledger().find("r").at(0);
      CPPUNIT_ASSERT_MESSAGE(Case.Name, Case.State == Record.State);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, Case.Status, Record.Status);
      if (Case.Status == 503)
        CPPUNIT_ASSERT(!request::headerValue(Observed.OwnAnswer->Headers, "Retry-After").empty());
      CPPUNIT_ASSERT_EQUAL(0U, Harness.Requests->loadReport().Busy);
    }
  }

  // A shed request must be retried, and a request that was run must not.
  void testOrder_shedOnce_isRetriedAndRunsOnce() {
    DispatcherHarness Harness;
    Behaviour Shedding = Harness.Server->behaviour();
    Shedding.Shed = true;
    Harness.Server->setBehaviour(Shedding);
    Outcome Observed;
    (void)Harness.Requests->submit(DispatcherHarness::makeOrder("/orders", "r"),
                                   DispatcherHarness::recordEvents(Observed));
    Harness.runUntil([&] { return !Harness.Results.empty(); });
    Harness.Server->setBehaviour({});
    Harness.runUntil([&] { return Observed.ended(); });
    CPPUNIT_ASSERT_EQUAL(200U, Observed.status());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Harness.Server->runs().count("r"));
    CPPUNIT_ASSERT_EQUAL(2U, Harness.Requests->ledger().find("r").at(0).Dispatches);
  }

  // An order that is resent with the same idempotency key must not run twice.
  void testOrder_resentWithKey_runsOnce() {
    DispatcherHarness Harness;
    const auto Keyed = [](const std::string &Target) {
      NewRequest Request = DispatcherHarness::makeOrder(Target, "r");
      Request.Head.Headers.emplace_back(request::IdempotencyKeyHeader, "k-1");
      return Request;
    };
    Outcome First;
    (void)Harness.Requests->submit(Keyed("/orders?work_ms=50"),
                                   DispatcherHarness::recordEvents(First));
    CPPUNIT_ASSERT_EQUAL(409U, Harness.call(Keyed("/orders?work_ms=50")).status());
    Harness.runUntil([&] { return First.ended(); });
    const Outcome Resent = Harness.call(Keyed("/orders?work_ms=50"));
    CPPUNIT_ASSERT_EQUAL(200U, Resent.status());
    CPPUNIT_ASSERT_EQUAL(First.Body, Resent.OwnAnswer->Body);
    CPPUNIT_ASSERT_EQUAL(400U, Harness.call(Keyed("/orders")).status());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Harness.Server->runs().count("r"));
  }

  // An order must not run before its key claim is granted, nor while another agent holds the key,
  // and a request that did not run must release its key.
  void testOrder_keyClaim_decidesBeforeAnyRun() {
    using request::Claim;
    using request::ClaimState;
    DispatcherHarness Harness;
    std::vector<std::string> Calls;
    request::RequestId ClaimantId = 0;
    std::uint64_t Fingerprint = 0;
    Harness.Requests->setClaimHooks(
        {[&](request::RequestId Id, const request::ClaimKey &, std::uint64_t Hash) {
           ClaimantId = Id;
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
        Harness.Requests->onClaimDenied(ClaimantId, Holder);
      };
    };
    const Row Rows[] = {
        {Deny({"b#1#1", 0, ClaimState::Running}), 409, {}},
        {Deny({"b#1#1", 0, ClaimState::Unknown}), 502, {}},
        {Deny({"b#1#1", 0, ClaimState::Answered, 201, "text/plain", "made"}), 201, {}},
        {Deny({"b#1#1", 0, ClaimState::Answered, 201, "", ""}), 409, {}},
        {Deny({"b#1#1", 1, ClaimState::Answered, 201, "", "made"}), 400, {}},
        {[&] { Harness.Requests->onClaimFailed(ClaimantId); }, 503, {}},
        {[&] { Harness.Requests->onClaimGranted(ClaimantId); }, 200, {"answered 200"}},
        {[&] {
           Harness.Server->close();
           Harness.Requests->onClaimGranted(ClaimantId);
         },
         503,
         {"released"}},
    };
    for (const Row &Case : Rows) {
      Calls.clear();
      const std::size_t Before = Harness.Server->runs().runs().size();
      NewRequest Request = DispatcherHarness::makeOrder("/orders", "r");
      Request.Head.Headers.emplace_back(request::IdempotencyKeyHeader,
                                        "k" + std::to_string(&Case - Rows));
      Outcome Observed;
      (void)Harness.Requests->submit(std::move(Request), DispatcherHarness::recordEvents(Observed));
      Case.Decide();
      Harness.runUntil([&] { return Observed.ended(); });
      CPPUNIT_ASSERT_EQUAL(Case.Status, Observed.status());
      CPPUNIT_ASSERT(Case.Calls == Calls);
      const std::size_t Runs = Case.Status == 200 ? 1 : 0;
      CPPUNIT_ASSERT_EQUAL(Before + Runs, Harness.Server->runs().runs().size());
    }
  }

  // A cancelled order must not go on at the upstream or keep its slot.
  void testCancel_runningOrder_closesUpstreamAndFreesSlot() {
    DispatcherHarness Harness;
    Outcome Observed;
    const auto Id =
        Harness.Requests->submit(DispatcherHarness::makeOrder("/orders?work_ms=3600000", "r"),
                                 DispatcherHarness::recordEvents(Observed));
    Harness.runUntil([&] { return Harness.Server->runs().count("r") == 1; });
    Harness.Requests->cancel(Id);
    CPPUNIT_ASSERT_EQUAL(0U, Harness.Requests->loadReport().Busy);
    Harness.runUntil([&] { return Harness.lastRun() == RunOutcome::Cancelled; });
    CPPUNIT_ASSERT(!Observed.ended());
    CPPUNIT_ASSERT(Harness.Requests->ledger().find("r").at(0).State == RequestState::Unknown);
  }

  // An order that is cancelled while queued must not be dispatched later.
  void testCancel_queuedOrder_isNeverRun() {
    DispatcherHarness Harness(1);
    Outcome Running;
    Outcome Queued;
    const auto First =
        Harness.Requests->submit(DispatcherHarness::makeOrder("/orders?work_ms=3600000", "1"),
                                 DispatcherHarness::recordEvents(Running));
    const auto Second = Harness.Requests->submit(DispatcherHarness::makeOrder("/orders", "2"),
                                                 DispatcherHarness::recordEvents(Queued));
    Harness.runUntil([&] { return Harness.Server->runs().count("1") == 1; });
    Harness.Requests->cancel(Second);
    Harness.Requests->cancel(First);
    CPPUNIT_ASSERT_EQUAL(200U, Harness.call(DispatcherHarness::makeOrder("/orders", "3")).status());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Harness.Server->runs().count("2"));
    CPPUNIT_ASSERT(Harness.Requests->ledger().find("2").at(0).State == RequestState::NotRun);
  }

  // A request that can't get a slot before its deadline must be answered with 503.
  void testQueue_full_answersNotRun() {
    DispatcherHarness Harness(1);
    Outcome Running;
    (void)Harness.Requests->submit(DispatcherHarness::makeOrder("/orders?work_ms=3600000", "1"),
                                   DispatcherHarness::recordEvents(Running));
    NewRequest Late = DispatcherHarness::makeOrder("/orders", "2");
    Late.Head.Headers.emplace_back(request::DeadlineHeader, "30");
    const Outcome Refused = Harness.call(std::move(Late));
    CPPUNIT_ASSERT_EQUAL(503U, Refused.status());
    CPPUNIT_ASSERT_EQUAL(std::string("RequestDeadline"), Refused.result());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Harness.Server->runs().count("2"));
  }

  // A feed must not be buffered, hold a slot or end at the deadline.
  void testFeed_started_freesSlotAndIsRelayedAsItComes() {
    DispatcherHarness Harness(1);
    NewRequest Request = DispatcherHarness::makeOrder("/feed?interval_ms=1", "f");
    Request.Head.Method = "GET";
    Request.Head.Length.reset();
    Request.Body.clear();
    Request.ServiceDeadline = std::chrono::milliseconds(500);
    Outcome Observed;
    const auto Id =
        Harness.Requests->submit(std::move(Request), DispatcherHarness::recordEvents(Observed));
    Harness.runUntil([&] { return Observed.Body.find("line 3\n") != std::string::npos; });
    CPPUNIT_ASSERT(!Observed.Head->Length);
    CPPUNIT_ASSERT_EQUAL(200U, Harness.call(DispatcherHarness::makeOrder("/orders", "o")).status());
    const auto End = steadyNow() + std::chrono::milliseconds(600);
    Harness.runUntil([&] { return steadyNow() > End; });
    CPPUNIT_ASSERT(!Observed.ended());
    Harness.Requests->pauseResponse(Id);
    Harness.runUntil([&, Size = std::size_t{0}]() mutable {
      return std::exchange(Size, Observed.Body.size()) == Observed.Body.size();
    });
    Harness.Requests->resumeResponse(Id);
    Behaviour EndingFeeds;
    EndingFeeds.EndFeeds = true;
    Harness.Server->setBehaviour(EndingFeeds);
    Harness.runUntil([&] { return Observed.Finished; });
  }

  // A streamed upload must not lose or reorder parts of its body.
  void testUpload_streamed_arrivesWhole() {
    for (const bool Chunked : {false, true}) {
      DispatcherHarness Harness;
      NewRequest Request = DispatcherHarness::makeOrder("/uploads", "u");
      const std::string Part(100'000, 'p');
      Request.Head.Length = Chunked ? std::nullopt : std::optional<std::uint64_t>(500'005);
      Request.Head.Chunked = Chunked;
      Request.Complete = false;
      Outcome Observed;
      const auto Id =
          Harness.Requests->submit(std::move(Request), DispatcherHarness::recordEvents(Observed));
      for (int I = 0; I < 5; ++I) {
        Harness.Requests->sendBody(Id, Part, I == 4);
        Harness.runUntil([&] { return Harness.Requests->bodyBacklog(Id) == 0; });
      }
      Harness.runUntil([&] { return Observed.ended(); });
      CPPUNIT_ASSERT_EQUAL(200U, Observed.status());
      CPPUNIT_ASSERT(Observed.Body.find("\"bytes\":500005") != std::string::npos);
    }
  }

  // Callers that send their bodies slowly must not hold all slots: an order once waited 8 s behind
  // three uploads on three slots.
  void testUpload_slowBodies_leaveSlotsForOrders() {
    DispatcherHarness Harness(3);
    std::array<Outcome, 4> Observed;
    std::array<request::RequestId, 4> Ids{};
    for (std::size_t I = 0; I < Ids.size(); ++I) {
      NewRequest Upload = DispatcherHarness::makeOrder("/uploads", std::to_string(I));
      Upload.Head.Length = 9;
      Upload.Complete = false;
      Ids[I] =
          Harness.Requests->submit(std::move(Upload), DispatcherHarness::recordEvents(Observed[I]));
    }
    Harness.runUntil([&] { return Harness.Server->runs().count("0") == 1; });
    CPPUNIT_ASSERT_EQUAL(200U, Harness.call(DispatcherHarness::makeOrder("/orders", "o")).status());
    CPPUNIT_ASSERT_EQUAL(1U, Harness.Requests->loadReport().Busy);
    // The upload with a complete body overtakes the one whose body still arrives; the others are
    // admitted when that one has ended.
    Harness.Requests->sendBody(Ids[2], "tail", true);
    Harness.runUntil([&] { return Observed[2].ended(); });
    Harness.Requests->cancel(Ids[1]);
    Harness.Requests->sendBody(Ids[0], "tail", true);
    Harness.Requests->sendBody(Ids[3], "tail", true);
    Harness.runUntil([&] { return Observed[0].ended() && Observed[3].ended(); });
    for (const std::size_t I : {0U, 2U, 3U})
      CPPUNIT_ASSERT_EQUAL(200U, Observed[I].status());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Harness.Server->runs().count("1"));
  }

  // The upstream must not take a truncated upload for a complete one.
  void testUpload_truncatedBody_isNotAnsweredAsComplete() {
    DispatcherHarness Harness;
    NewRequest Request = DispatcherHarness::makeOrder("/uploads", "u");
    Request.Head.Length = 1000;
    Request.Complete = false;
    Outcome Observed;
    const auto Id =
        Harness.Requests->submit(std::move(Request), DispatcherHarness::recordEvents(Observed));
    Harness.runUntil([&] { return Harness.Server->runs().count("u") == 1; });
    CPPUNIT_ASSERT_EQUAL(502U, Harness.Requests->abortUpload(Id).Status);
    Harness.runUntil([&] { return Harness.lastRun() == RunOutcome::Cancelled; });
  }

  // With Retry-After, an upstream's own 503 would tell the caller that the request was not run.
  void testResponse_ambiguous503_losesRetryAfter() {
    DispatcherHarness Harness;
    Behaviour Failing;
    Failing.Health = standins::upstream::HealthReport::AlwaysFailing;
    Harness.Server->setBehaviour(Failing);
    NewRequest Request = DispatcherHarness::makeOrder("/health", "h");
    Request.Head.Method = "GET";
    const Outcome Observed = Harness.call(std::move(Request));
    CPPUNIT_ASSERT_EQUAL(503U, Observed.status());
    CPPUNIT_ASSERT(!Observed.OwnAnswer);
    CPPUNIT_ASSERT(request::headerValue(Observed.Head->Headers, "Retry-After").empty());
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

  /// A caller's stream whose packets are passed directly to a flow connection of the agent.
  class Caller {
  public:
    DispatcherHarness &Harness;
    FlowContext Context;
    flow::Stream Stream;
    std::shared_ptr<FlowConnection> Connection;
    std::string Received;
    std::size_t MaxMemory = 0;

    explicit Caller(DispatcherHarness &Harness)
        : Harness(Harness), Context{
                                *Harness.Requests,
                                [](const std::string &) { return common::Duration(TestTimeout); },
                                [](const packet::FlowKey &) {}},
          Stream(flow::Stream::connect({{0x7f000009, 4000}, {0x0a010001, 80}}, 7, steadyNow())) {}

    /// Passes the pending packets once in each direction, with the timers at time Now.
    void exchange(common::TimePoint Now = steadyNow()) {
      for (packet::Packet &Segment : Stream.takeOutput(Now)) {
        if (!Connection)
          Connection = std::make_shared<FlowConnection>(Context, "desk",
                                                        flow::Stream::accept(Segment, 9, Now));
        else
          Connection->onPacket(Segment, Now);
      }
      if (!Connection)
        return;
      Connection->onTimer(Now);
      for (const packet::Packet &Segment : Connection->advance(Now))
        Stream.onPacket(Segment, Now);
      const auto Bytes = Stream.read();
      Received.append(Bytes.begin(), Bytes.end());
      MaxMemory = std::max(MaxMemory, Connection->describe()["memory_bytes"].get<std::size_t>());
    }

    template <typename Condition> void runUntil(Condition Holds) {
      Harness.runUntil([&] {
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
      runUntil([&] { return Received.find(Part) != std::string::npos; });
    }
  };

public:
  // Pipelined requests of a flow must be answered in their order.
  void testFlow_pipelinedRequests_areAnsweredInOrder() {
    DispatcherHarness Harness;
    Caller Client(Harness);
    const auto Order = [](const std::string &Id, const std::string &Work) {
      return "POST /orders?work_ms=" + Work +
             " HTTP/1.1\r\nHost: a\r\nGalenarelay-Request-Id: " + Id +
             "\r\nContent-Length: 0\r\n\r\n";
    };
    Client.send(Order("slow", "60") + Order("fast", "0"));
    Client.await("\"request\":\"fast\"");
    CPPUNIT_ASSERT(Client.Received.find("\"request\":\"slow\"") <
                   Client.Received.find("\"request\":\"fast\""));
  }

  // A large upload, such as a photo, must not be held in memory as a whole.
  void testFlow_largeUpload_isStreamedWithBackPressure() {
    DispatcherHarness Harness;
    Caller Client(Harness);
    const std::size_t Size = 8'000'000;
    Client.send("PUT /uploads HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(Size) +
                "\r\n\r\n" + std::string(Size, 'p'));
    Client.await("\"bytes\":8000000");
    CPPUNIT_ASSERT(Client.MaxMemory < 2'000'000);
  }

  // A reset flow must cancel its request at the upstream.
  void testFlow_reset_cancelsRequest() {
    DispatcherHarness Harness;
    Caller Client(Harness);
    Client.send("POST /orders?work_ms=3600000 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    Client.runUntil([&] { return !Harness.Server->runs().runs().empty(); });
    Client.Stream.reset();
    Client.runUntil([&] { return Harness.lastRun() == RunOutcome::Cancelled; });
    CPPUNIT_ASSERT(Client.Connection->finished());
  }

  // A caller that half-closes its flow must still get the whole answer.
  void testFlow_halfClosed_getsWholeAnswer() {
    DispatcherHarness Harness;
    Caller Client(Harness);
    Client.send("POST /orders?work_ms=50 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    Client.Stream.finish();
    Client.await("\"run\":1");
    Client.runUntil([&] { return Client.Stream.peerFinished(); });
    CPPUNIT_ASSERT(Client.Received.ends_with("}\n"));
  }

  // A truncated response must not look complete to the caller.
  void testFlow_brokenResponse_isResetNotEnded() {
    DispatcherHarness Harness;
    Caller Client(Harness);
    Client.send("GET /feed?interval_ms=1 HTTP/1.1\r\nHost: a\r\n\r\n");
    Client.await("line 2\n");
    Harness.Server->close();
    Client.runUntil([&] { return Client.Stream.state() == flow::StreamState::Broken; });
    CPPUNIT_ASSERT(!Client.Received.ends_with("0\r\n\r\n"));
  }

  // A drain must not interrupt a request, and must end idle flows.
  void testDrain_busyAndIdleFlow_endAfterAnswerOrIdleTime() {
    DispatcherHarness Harness;
    Caller Busy(Harness);
    Busy.send("POST /orders?work_ms=50 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    Busy.runUntil([&] {
      return Harness.Server->runs().count("") + Harness.Results.size() > 0 ||
             !Harness.Server->runs().runs().empty();
    });
    Busy.Connection->drain();
    Busy.await("Connection: close");
    Busy.runUntil([&] { return Busy.Stream.peerFinished(); });
    CPPUNIT_ASSERT(Busy.Received.ends_with("}\n"));

    Caller Idle(Harness);
    Idle.send("GET /status HTTP/1.1\r\nHost: a\r\n\r\n");
    Idle.await("}\n");
    Idle.Connection->drain();
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
  CPPUNIT_TEST(testPacketPath_reusedPort_opensNewFlowAtOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  // A caller that reuses its port must not have to wait until the agent forgets the closed flow.
  void testPacketPath_reusedPort_opensNewFlowAtOnce() {
    const packet::FlowKey Key{{0x7f000009, 4000}, {0x0a010001, 80}};
    DispatcherHarness Harness;
    std::optional<flow::Stream> Stream;
    std::string Received;
    common::UdpSocket Fabric(Harness.Io, {0x7f000001, 0}, [&](auto Bytes, Endpoint) {
      const auto Packet = common::capture([&] { return packet::parseFromService(Bytes); });
      Stream->onPacket(*Packet, steadyNow());
    });
    PacketPath Path(
        Harness.Io, {"a", {0x7f000001, 0}, Fabric.local(), 5},
        FlowContext{*Harness.Requests,
                    [](const std::string &) { return common::Duration(TestTimeout); },
                    {}},
        [](const auto &, const auto &, auto) { return std::optional<std::size_t>(0); },
        Harness.Metrics);
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
      Harness.runUntil([&] {
        for (const packet::Packet &Sent : Stream->takeOutput(steadyNow()))
          Fabric.send(packet::serialize(Sent), Path.local());
        const auto Bytes = Stream->read();
        Received.append(Bytes.begin(), Bytes.end());
        return Holds();
      });
    };
    Open(7);
    const std::string Text = "GET /status HTTP/1.1\r\nHost: a\r\n\r\n";
    Stream->write({reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size()});
    RunUntil([&] { return Received.find("}\n") != std::string::npos; });
    Stream->finish();
    RunUntil([&] { return Stream->state() == flow::StreamState::Closed; });
    RunUntil([&] { return Path.describeFlows(1)["flows"][0]["state"] == "closed"; });
    Open(1'000'000);
    // The first SYN must open the flow: the stream's timer isn't run, so it isn't retransmitted.
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
  // A false health report must not take a working upstream out of service.
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

  // A malformed load report must be rejected, so that peers never act on one.
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
