#include "galenarelay/schedule/impl/duration_estimates.h"
#include "galenarelay/schedule/scheduler.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

namespace galenarelay::tests {

using namespace schedule;
using common::Duration;
using common::ResultCode;
using common::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const WorkClass Order{"desk", "POST", "orders", 0};
const WorkClass Photo{"desk", "POST", "photos", 5};
constexpr Duration OrderTime = milliseconds(40);
constexpr Duration PhotoTime = milliseconds(2000);
/// Caller of the warm-up requests. They are charged to it, so tests of fairness use other callers.
constexpr std::uint32_t WarmUpCaller = 1000;

/// Drives one scheduler with a simulated clock and records its decisions.
class SchedulerHarness {
public:
  explicit SchedulerHarness(SchedulerOptions Options) : Subject(Options) {}

  Scheduler Subject;
  TimePoint Now{seconds(1)};
  RequestId LastId = 0;
  std::vector<Decision> History;

  void record(const std::vector<Decision> &Decisions) {
    History.insert(History.end(), Decisions.begin(), Decisions.end());
  }
  RequestId arrive(std::uint32_t Caller, const WorkClass &Class, Duration Deadline = seconds(60)) {
    record(Subject.onArrival({++LastId, Caller, Class, Now + Deadline}, Now));
    return LastId;
  }
  void finish(RequestId Id, Completion Outcome = Completion::Succeeded) {
    record(Subject.onFinished(Id, Outcome, Now));
  }
  /// Runs requests one by one until both classes have estimates and the slow start is over.
  void warmUp() {
    for (int I = 0; I < 50; ++I)
      run(Order, OrderTime);
    for (int I = 0; I < 5; ++I)
      run(Photo, PhotoTime);
    Now += seconds(10);
    History.clear();
  }
  /// Runs one request of the given duration from arrival to completion.
  void run(const WorkClass &Class, Duration Elapsed) {
    const RequestId Id = arrive(WarmUpCaller, Class);
    while (!dispatched(Id))
      fireTimer();
    Now += Elapsed;
    finish(Id);
  }
  /// Advances to the next timer and fires it.
  void fireTimer() {
    const auto At = Subject.nextTimer();
    CPPUNIT_ASSERT_MESSAGE("a timer is due", At.has_value());
    CPPUNIT_ASSERT_MESSAGE("the timer is in the future", *At > Now);
    Now = *At;
    record(Subject.onTimer(Now));
  }
  [[nodiscard]] std::optional<Decision> decision(RequestId Id) const {
    const auto It = std::find_if(History.begin(), History.end(),
                                 [Id](const Decision &Next) { return Next.Id == Id; });
    return It == History.end() ? std::nullopt : std::optional(*It);
  }
  [[nodiscard]] bool dispatched(RequestId Id) const {
    const auto Result = decision(Id);
    return Result && Result->Dispatch;
  }
};

} // namespace

class SchedulerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulerTest);
  CPPUNIT_TEST(testArrival_stragglersBesideShortWork_leaveReserveFree);
  CPPUNIT_TEST(testArrival_stragglersAlone_useAllSlots);
  CPPUNIT_TEST(testTimer_agedStraggler_isDispatched);
  CPPUNIT_TEST(testArrival_deadlineOutOfReach_isRejectedAtOnce);
  CPPUNIT_TEST(testArrival_coldUpstream_queuesInsteadOfRefusing);
  CPPUNIT_TEST(testArrival_orderBesideFasterWork_isNoStraggler);
  CPPUNIT_TEST(testCancel_queuedRequest_isNeverDispatched);
  CPPUNIT_TEST(testFinish_largeAndSmallCaller_alternate);
  CPPUNIT_TEST(testArrival_fullQueue_evictsLargestCaller);
  CPPUNIT_TEST(testFinish_shed_lowersLimitForAWhile);
  CPPUNIT_TEST(testFinish_unreachable_startsSlowly);
  CPPUNIT_TEST(testFeed_started_freesItsSlot);
  CPPUNIT_TEST(testTimer_queuedPastLatestStart_isRejected);
  CPPUNIT_TEST(testArrival_manyRejections_spreadReturns);
  CPPUNIT_TEST(testOverload_anyMixOfCallers_servesEachItsShare);
  CPPUNIT_TEST(testStraggler_sameCaller_doesNotDelayItsOrders);
  CPPUNIT_TEST(testFinish_fastFailures_doNotLowerEstimates);
  CPPUNIT_TEST(testEstimates_manyClasses_areBounded);
  CPPUNIT_TEST(testRetry_budgetSpent_isRefused);
  CPPUNIT_TEST(testEvents_random_keepInvariants);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against stragglers that occupy every slot while short requests arrive.
  void testArrival_stragglersBesideShortWork_leaveReserveFree() {
    SchedulerHarness Harness({});
    Harness.warmUp();
    Harness.finish(Harness.arrive(1, Order));
    for (int I = 0; I < 5; ++I)
      static_cast<void>(Harness.arrive(2, Photo));
    CPPUNIT_ASSERT_EQUAL(2U, Harness.Subject.busySlots());
    CPPUNIT_ASSERT(Harness.dispatched(Harness.arrive(1, Order)));
  }

  // Guards against idle slots when only stragglers are queued.
  void testArrival_stragglersAlone_useAllSlots() {
    SchedulerHarness Harness({});
    Harness.warmUp();
    for (int I = 0; I < 5; ++I)
      static_cast<void>(Harness.arrive(2, Photo));
    CPPUNIT_ASSERT_EQUAL(5U, Harness.Subject.busySlots());
  }

  // Guards against starvation of a straggler by a stream of short requests.
  void testTimer_agedStraggler_isDispatched() {
    SchedulerOptions Options;
    SchedulerHarness Harness(Options);
    Harness.warmUp();
    const TimePoint Begin = Harness.Now;
    Harness.finish(Harness.arrive(1, Order));
    RequestId Last = 0;
    for (int I = 0; I < 3; ++I)
      Last = Harness.arrive(2, Photo);
    while (!Harness.dispatched(Last) && Harness.Now < Begin + seconds(30)) {
      Harness.Now += milliseconds(100);
      Harness.record(Harness.Subject.onTimer(Harness.Now));
      Harness.finish(Harness.arrive(1, Order));
    }
    CPPUNIT_ASSERT(Harness.Now - Begin <= Options.StragglerAgingDelay + milliseconds(100));
  }

  // Guards against queueing a request that can't meet its deadline.
  void testArrival_deadlineOutOfReach_isRejectedAtOnce() {
    SchedulerHarness Harness({});
    Harness.warmUp();
    for (std::uint32_t I = 0; I < 40; ++I)
      static_cast<void>(Harness.arrive(I, Order));
    const auto Late = Harness.decision(Harness.arrive(1, Order, milliseconds(60)));
    CPPUNIT_ASSERT(Late && !Late->Dispatch);
    CPPUNIT_ASSERT(Late->Reason == ResultCode::RequestDeadline);
    CPPUNIT_ASSERT(Late->RetryAfter >= seconds(1) && Late->RetryAfter <= seconds(30));
  }

  // Guards against rejecting the first requests to a cold upstream because of a guessed duration.
  void testArrival_coldUpstream_queuesInsteadOfRefusing() {
    SchedulerHarness Harness({});
    for (std::uint32_t I = 0; I < 20; ++I)
      static_cast<void>(Harness.arrive(I, Order));
    for (const Decision &Result : Harness.History)
      CPPUNIT_ASSERT(Result.Dispatch);
    CPPUNIT_ASSERT_EQUAL(std::size_t{19}, Harness.Subject.queued());
  }

  // Guards against orders of 20 ms that count as stragglers, and wait behind an upload, because
  // most requests take 1 ms.
  void testArrival_orderBesideFasterWork_isNoStraggler() {
    const WorkClass Status{"desk", "GET", "status", 0};
    SchedulerHarness Harness({});
    Harness.warmUp();
    for (int I = 0; I < 400; ++I)
      Harness.run(Status, milliseconds(1));
    for (int I = 0; I < 4; ++I)
      Harness.run(Order, milliseconds(20));
    Harness.finish(Harness.arrive(3, Status));
    for (int I = 0; I < 2; ++I)
      static_cast<void>(Harness.arrive(2, Photo));
    CPPUNIT_ASSERT(Harness.dispatched(Harness.arrive(1, Order)));
  }

  // Guards against running a request whose caller has cancelled it.
  void testCancel_queuedRequest_isNeverDispatched() {
    SchedulerHarness Harness({.Slots = 1});
    const RequestId First = Harness.arrive(1, Order);
    const RequestId Cancelled = Harness.arrive(1, Order);
    Harness.record(Harness.Subject.onCancelled(Cancelled, Harness.Now));
    Harness.finish(First);
    CPPUNIT_ASSERT(!Harness.decision(Cancelled));
    CPPUNIT_ASSERT_EQUAL(0U, Harness.Subject.busySlots());
  }

  // Guards against a caller that gets more service by sending more requests.
  void testFinish_largeAndSmallCaller_alternate() {
    SchedulerHarness Harness({.Slots = 1});
    Harness.warmUp();
    RequestId Running = Harness.arrive(9, Order);
    std::set<RequestId> Small;
    for (int I = 0; I < 8; ++I)
      static_cast<void>(Harness.arrive(1, Order));
    for (int I = 0; I < 4; ++I)
      Small.insert(Harness.arrive(2, Order));
    int SmallServed = 0;
    for (int I = 0; I < 8; ++I) {
      Harness.Now += OrderTime;
      Harness.finish(Running);
      Running = Harness.History.back().Id;
      SmallServed += static_cast<int>(Small.count(Running));
    }
    CPPUNIT_ASSERT_EQUAL(4, SmallServed);
  }

  // Guards against a caller that fills the queue and thereby keeps others out of it.
  void testArrival_fullQueue_evictsLargestCaller() {
    SchedulerHarness Harness({.Slots = 1, .MaxQueued = 8, .MaxQueueDelay = seconds(10)});
    static_cast<void>(Harness.arrive(9, Order));
    RequestId Newest = 0;
    for (int I = 0; I < 8; ++I)
      Newest = Harness.arrive(1, Order);
    const RequestId Small = Harness.arrive(2, Order);
    CPPUNIT_ASSERT(!Harness.decision(Small));
    const auto Evicted = Harness.decision(Newest);
    CPPUNIT_ASSERT(Evicted && Evicted->Reason == ResultCode::RequestQueueFull);
  }

  // Guards against an unchanged concurrency limit towards an upstream that sheds load.
  void testFinish_shed_lowersLimitForAWhile() {
    SchedulerHarness Harness({});
    Harness.warmUp();
    std::vector<RequestId> Ids;
    for (int I = 0; I < 8; ++I)
      Ids.push_back(Harness.arrive(1, Order));
    Harness.finish(Ids[4], Completion::Shed);
    CPPUNIT_ASSERT_EQUAL(4U, Harness.Subject.busySlots());
    Harness.fireTimer();
    CPPUNIT_ASSERT_EQUAL(5U, Harness.Subject.busySlots());
  }

  // Guards against sending the full load to an upstream right after its restart.
  void testFinish_unreachable_startsSlowly() {
    SchedulerHarness Harness({});
    Harness.warmUp();
    std::vector<RequestId> Ids;
    for (int I = 0; I < 20; ++I)
      Ids.push_back(Harness.arrive(1, Order));
    for (int I = 0; I < 5; ++I)
      Harness.finish(Ids[I], Completion::NotSent);
    CPPUNIT_ASSERT_EQUAL(1U, Harness.Subject.busySlots());
    Harness.Now += SchedulerOptions{}.SlowStart;
    Harness.record(Harness.Subject.onTimer(Harness.Now));
    CPPUNIT_ASSERT_EQUAL(5U, Harness.Subject.busySlots());
  }

  // Guards against feeds, which last for hours, that occupy slots.
  void testFeed_started_freesItsSlot() {
    SchedulerHarness Harness({.Slots = 1});
    const RequestId Feed = Harness.arrive(1, Order);
    const RequestId Next = Harness.arrive(1, Order);
    Harness.record(Harness.Subject.onFeedStarted(Feed, Harness.Now));
    CPPUNIT_ASSERT(Harness.dispatched(Next));
    Harness.finish(Feed);
    CPPUNIT_ASSERT_EQUAL(1U, Harness.Subject.busySlots());
  }

  // Guards against a rejection for a missed deadline that is sent only after the deadline.
  void testTimer_queuedPastLatestStart_isRejected() {
    SchedulerHarness Harness({.Slots = 1});
    Harness.warmUp();
    static_cast<void>(Harness.arrive(1, Order));
    const TimePoint Deadline = Harness.Now + milliseconds(300);
    const RequestId Waiting = Harness.arrive(2, Order, milliseconds(300));
    Harness.fireTimer();
    const auto Result = Harness.decision(Waiting);
    CPPUNIT_ASSERT(Result && Result->Reason == ResultCode::RequestDeadline);
    CPPUNIT_ASSERT(Harness.Now + OrderTime / 2 < Deadline);
  }

  // Guards against rejected clients that all retry in the same second.
  void testArrival_manyRejections_spreadReturns() {
    SchedulerHarness Harness({});
    Harness.warmUp();
    std::map<Duration, int> Returns;
    for (std::uint32_t I = 0; I < 2000; ++I)
      static_cast<void>(Harness.arrive(I % 50, Order));
    for (const Decision &Result : Harness.History)
      if (!Result.Dispatch)
        ++Returns[Result.RetryAfter];
    int MaxPerSecond = 0;
    for (const auto &Second : Returns)
      MaxPerSecond = std::max(MaxPerSecond, Second.second);
    // Five slots run 125 orders per second.
    CPPUNIT_ASSERT(Returns.size() >= 10);
    CPPUNIT_ASSERT(MaxPerSecond <= 125);
  }

  // Guards against service that depends on the rate at which a caller sends.
  void testOverload_anyMixOfCallers_servesEachItsShare() {
    const std::vector<std::vector<int>> Mixes{
        {10, 1, 1, 1}, {1, 1, 1, 1}, {50, 50, 1, 1, 1, 1}, {100, 2, 2}};
    for (const std::vector<int> &PerRound : Mixes) {
      SchedulerHarness Harness({.Slots = 1});
      Harness.warmUp();
      std::map<RequestId, std::uint32_t> Sender;
      std::vector<int> Served(PerRound.size());
      RequestId Running = Harness.arrive(99, Order);
      for (int Step = 0; Step < 400; ++Step) {
        // Each caller sends at least one request per round of all callers.
        if (Step % static_cast<int>(PerRound.size()) == 0)
          for (std::uint32_t C = 0; C < PerRound.size(); ++C)
            for (int I = 0; I < PerRound[C]; ++I)
              Sender[Harness.arrive(C, Order, milliseconds(900))] = C;
        Harness.Now += OrderTime;
        Harness.History.clear();
        Harness.finish(Running);
        for (const Decision &Result : Harness.History)
          if (Result.Dispatch)
            Running = Result.Id;
        ++Served[Sender.at(Running)];
      }
      const double Mean = 400.0 / static_cast<double>(PerRound.size());
      CPPUNIT_ASSERT(*std::min_element(Served.begin(), Served.end()) >= 0.8 * Mean);
    }
  }

  // Guards against an upload that delays short requests of the same caller.
  void testStraggler_sameCaller_doesNotDelayItsOrders() {
    SchedulerHarness Harness({.Slots = 3});
    Harness.warmUp();
    static_cast<void>(Harness.arrive(3, Photo));
    const RequestId First = Harness.arrive(2, Order);
    static_cast<void>(Harness.arrive(2, Order));
    const RequestId Own = Harness.arrive(3, Order);
    const RequestId Other = Harness.arrive(2, Order);
    Harness.finish(First);
    CPPUNIT_ASSERT(Harness.dispatched(Own));
    CPPUNIT_ASSERT(!Harness.dispatched(Other));
  }

  // Guards against duration estimates that an upstream lowers by failing fast.
  void testFinish_fastFailures_doNotLowerEstimates() {
    SchedulerHarness Harness({.Slots = 1});
    Harness.warmUp();
    for (int I = 0; I < 100; ++I)
      Harness.finish(Harness.arrive(1, Order), Completion::Failed);
    static_cast<void>(Harness.arrive(1, Order));
    static_cast<void>(Harness.arrive(2, Order));
    const LoadReport Report = Harness.Subject.report(Harness.Now);
    CPPUNIT_ASSERT(Report.QueuedWorkMs >= 39 && Report.QueuedWorkMs <= 41);
    CPPUNIT_ASSERT(Report.ErrorShare > 0.9);
  }

  // Guards against unbounded memory when callers send arbitrary routes.
  void testEstimates_manyClasses_areBounded() {
    impl::DurationEstimates Estimates(milliseconds(100), 8);
    for (int I = 0; I < 10000; ++I) {
      Estimates.add({"desk", "GET", std::to_string(I), 0}, OrderTime);
      Estimates.add(Order, OrderTime);
    }
    CPPUNIT_ASSERT_EQUAL(impl::MaxClasses, Estimates.classCount());
    CPPUNIT_ASSERT(Estimates.predict(Order).Mean == OrderTime);
  }

  // Guards against retries that amplify an overload.
  void testRetry_budgetSpent_isRefused() {
    SchedulerHarness Harness({.RetryBurst = 1});
    CPPUNIT_ASSERT(Harness.Subject.tryTakeRetry(Harness.Now));
    CPPUNIT_ASSERT(!Harness.Subject.tryTakeRetry(Harness.Now));
    for (int I = 0; I < 10; ++I)
      static_cast<void>(Harness.arrive(1, Order));
    CPPUNIT_ASSERT(Harness.Subject.tryTakeRetry(Harness.Now));
  }

  // Guards against requests that are lost, decided twice or decided after their cancellation,
  // against idle slots and unbounded queues, and against decisions that differ between two runs of
  // the same events.
  void testEvents_random_keepInvariants();
};

namespace {

/// Applies random events to a scheduler and checks the invariants after each.
class RandomRun {
public:
  RandomRun(std::uint32_t Slots, bool Photos)
      : Photos(Photos), Harness({.Slots = Slots, .MaxQueued = 32, .SlowStart = Duration{}}),
        Slots(Slots) {}

  bool Photos;
  SchedulerHarness Harness;

  void step(unsigned Event, unsigned Choice) {
    const std::size_t Before = Harness.History.size();
    switch (Event % 6) {
    case 0:
    case 1:
      Queued.insert(Harness.arrive(Choice % 5, Photos && Choice % 7 == 0 ? Photo : Order,
                                   milliseconds(50 + Choice % 3000)));
      break;
    case 2:
    case 3:
      finishOne(Choice);
      break;
    case 4:
      cancelOne(Choice);
      break;
    default:
      Harness.Now += milliseconds(Choice % 400);
      Harness.record(Harness.Subject.onTimer(Harness.Now));
    }
    for (std::size_t I = Before; I < Harness.History.size(); ++I)
      apply(Harness.History[I]);
    check();
  }

private:
  std::uint32_t Slots;
  std::set<RequestId> Queued; ///< Requests without a decision.
  std::set<RequestId> Running;

  static RequestId elementAt(const std::set<RequestId> &Ids, unsigned Choice) {
    return *std::next(Ids.begin(), static_cast<std::ptrdiff_t>(Choice % Ids.size()));
  }
  void finishOne(unsigned Choice) {
    if (Running.empty())
      return;
    const RequestId Id = elementAt(Running, Choice);
    Running.erase(Id);
    if (Choice % 9 == 0)
      Harness.record(Harness.Subject.onFeedStarted(Id, Harness.Now));
    else
      Harness.finish(Id, Choice % 8 == 0 ? Completion::Failed : Completion::Succeeded);
  }
  void cancelOne(unsigned Choice) {
    if (Queued.empty())
      return;
    const RequestId Id = elementAt(Queued, Choice);
    Queued.erase(Id);
    Harness.record(Harness.Subject.onCancelled(Id, Harness.Now));
  }
  void apply(const Decision &Result) {
    // Each request gets one decision, and none after its cancellation.
    RC_ASSERT(Queued.erase(Result.Id) == 1U);
    if (Result.Dispatch)
      Running.insert(Result.Id);
  }
  void check() {
    RC_ASSERT(Harness.Subject.busySlots() == Running.size());
    RC_ASSERT(Harness.Subject.queued() == Queued.size());
    RC_ASSERT(Running.size() <= Slots);
    RC_ASSERT(Queued.size() <= 32U);
    if (const auto At = Harness.Subject.nextTimer())
      RC_ASSERT(*At > Harness.Now);
    else
      RC_ASSERT(Queued.empty() || Running.size() == Slots);
    // With one class of work there is no reserve, so no slot is idle while a request waits.
    RC_ASSERT(Photos || Queued.empty() || Running.size() == Slots);
  }
};

} // namespace

void SchedulerTest::testEvents_random_keepInvariants() {
  // NOLINTNEXTLINE(concurrency-mt-unsafe): no other thread runs yet.
  setenv("RC_PARAMS", "seed=20261204 max_success=200 max_size=400", 0);
  const bool Holds = rc::check([](const std::vector<std::pair<unsigned, unsigned>> &Events) {
    const std::uint32_t Slots = Events.size() % 2 == 0 ? 5 : 3;
    const bool Photos = Events.size() % 4 < 2;
    RandomRun First(Slots, Photos);
    RandomRun Second(Slots, Photos);
    for (const auto &Event : Events) {
      First.step(Event.first, Event.second);
      Second.step(Event.first, Event.second);
    }
    RC_ASSERT(First.Harness.History == Second.Harness.History);
  });
  CPPUNIT_ASSERT(Holds);
}

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerTest);

} // namespace galenarelay::tests
