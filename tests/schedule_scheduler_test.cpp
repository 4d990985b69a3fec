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
/// Its use of the upstream counts against it, so tests of fairness use others.
constexpr std::uint32_t WarmUpCaller = 1000;

/// Drives one scheduler and keeps what happened to each request.
class Driver {
public:
  explicit Driver(SchedulerOptions Options) : Subject(Options) {}

  Scheduler Subject;
  TimePoint Now{seconds(1)};
  RequestId LastId = 0;
  std::vector<Decision> History;

  void take(const std::vector<Decision> &Decisions) {
    History.insert(History.end(), Decisions.begin(), Decisions.end());
  }
  RequestId arrive(std::uint32_t Caller, const WorkClass &Class, Duration Deadline = seconds(60)) {
    take(Subject.onArrival({++LastId, Caller, Class, Now + Deadline}, Now));
    return LastId;
  }
  void finish(RequestId Id, Completion How = Completion::Succeeded) {
    take(Subject.onFinished(Id, How, Now));
  }
  /// Runs requests one by one until both classes are known and the slow start is over.
  void warmUp() {
    for (int I = 0; I < 50; ++I)
      run(Order, OrderTime);
    for (int I = 0; I < 5; ++I)
      run(Photo, PhotoTime);
    Now += seconds(10);
    History.clear();
  }
  void run(const WorkClass &Class, Duration Taken) {
    const RequestId Id = arrive(WarmUpCaller, Class);
    while (!dispatched(Id))
      fireTimer();
    Now += Taken;
    finish(Id);
  }
  /// Advances to the next timer and fires it.
  void fireTimer() {
    const auto At = Subject.nextTimer();
    CPPUNIT_ASSERT_MESSAGE("a timer is due", At.has_value());
    CPPUNIT_ASSERT_MESSAGE("the timer is in the future", *At > Now);
    Now = *At;
    take(Subject.onTimer(Now));
  }
  [[nodiscard]] std::optional<Decision> decision(RequestId Id) const {
    const auto Found = std::find_if(History.begin(), History.end(),
                                    [Id](const Decision &D) { return D.Id == Id; });
    return Found == History.end() ? std::nullopt : std::optional(*Found);
  }
  [[nodiscard]] bool dispatched(RequestId Id) const {
    const auto Found = decision(Id);
    return Found && Found->Dispatch;
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
  // Guards against stragglers that occupy every slot while orders come in.
  void testArrival_stragglersBesideShortWork_leaveReserveFree() {
    Driver D({});
    D.warmUp();
    D.finish(D.arrive(1, Order));
    for (int I = 0; I < 5; ++I)
      static_cast<void>(D.arrive(2, Photo));
    CPPUNIT_ASSERT_EQUAL(2U, D.Subject.busySlots());
    CPPUNIT_ASSERT(D.dispatched(D.arrive(1, Order)));
  }

  // Guards against idle slots when only stragglers want them.
  void testArrival_stragglersAlone_useAllSlots() {
    Driver D({});
    D.warmUp();
    for (int I = 0; I < 5; ++I)
      static_cast<void>(D.arrive(2, Photo));
    CPPUNIT_ASSERT_EQUAL(5U, D.Subject.busySlots());
  }

  // Guards against a straggler that waits for ever behind a stream of orders.
  void testTimer_agedStraggler_isDispatched() {
    SchedulerOptions Options;
    Driver D(Options);
    D.warmUp();
    const TimePoint Begin = D.Now;
    D.finish(D.arrive(1, Order));
    RequestId Last = 0;
    for (int I = 0; I < 3; ++I)
      Last = D.arrive(2, Photo);
    while (!D.dispatched(Last) && D.Now < Begin + seconds(30)) {
      D.Now += milliseconds(100);
      D.take(D.Subject.onTimer(D.Now));
      D.finish(D.arrive(1, Order));
    }
    CPPUNIT_ASSERT(D.Now - Begin <= Options.LongPatience + milliseconds(100));
  }

  // Guards against queueing a request that can only time out.
  void testArrival_deadlineOutOfReach_isRejectedAtOnce() {
    Driver D({});
    D.warmUp();
    for (std::uint32_t I = 0; I < 40; ++I)
      static_cast<void>(D.arrive(I, Order));
    const auto Late = D.decision(D.arrive(1, Order, milliseconds(60)));
    CPPUNIT_ASSERT(Late && !Late->Dispatch);
    CPPUNIT_ASSERT(Late->Reason == ResultCode::RequestDeadline);
    CPPUNIT_ASSERT(Late->RetryAfter >= seconds(1) && Late->RetryAfter <= seconds(30));
  }

  // Guards against refusing the first callers of a cold upstream for a guessed duration.
  void testArrival_coldUpstream_queuesInsteadOfRefusing() {
    Driver D({});
    for (std::uint32_t I = 0; I < 20; ++I)
      static_cast<void>(D.arrive(I, Order));
    for (const Decision &Made : D.History)
      CPPUNIT_ASSERT(Made.Dispatch);
    CPPUNIT_ASSERT_EQUAL(std::size_t{19}, D.Subject.queued());
  }

  // Guards against orders of 20 ms that wait for an upload because most requests take 1 ms.
  void testArrival_orderBesideFasterWork_isNoStraggler() {
    const WorkClass Status{"desk", "GET", "status", 0};
    Driver D({});
    D.warmUp();
    for (int I = 0; I < 400; ++I)
      D.run(Status, milliseconds(1));
    for (int I = 0; I < 4; ++I)
      D.run(Order, milliseconds(20));
    D.finish(D.arrive(3, Status));
    for (int I = 0; I < 2; ++I)
      static_cast<void>(D.arrive(2, Photo));
    CPPUNIT_ASSERT(D.dispatched(D.arrive(1, Order)));
  }

  // Guards against running work whose caller has gone.
  void testCancel_queuedRequest_isNeverDispatched() {
    Driver D({.Slots = 1});
    const RequestId First = D.arrive(1, Order);
    const RequestId Gone = D.arrive(1, Order);
    D.take(D.Subject.onCancelled(Gone, D.Now));
    D.finish(First);
    CPPUNIT_ASSERT(!D.decision(Gone));
    CPPUNIT_ASSERT_EQUAL(0U, D.Subject.busySlots());
  }

  // Guards against a caller that gains service by sending more requests.
  void testFinish_largeAndSmallCaller_alternate() {
    Driver D({.Slots = 1});
    D.warmUp();
    RequestId Running = D.arrive(9, Order);
    std::set<RequestId> Small;
    for (int I = 0; I < 8; ++I)
      static_cast<void>(D.arrive(1, Order));
    for (int I = 0; I < 4; ++I)
      Small.insert(D.arrive(2, Order));
    int SmallServed = 0;
    for (int I = 0; I < 8; ++I) {
      D.Now += OrderTime;
      D.finish(Running);
      Running = D.History.back().Id;
      SmallServed += static_cast<int>(Small.count(Running));
    }
    CPPUNIT_ASSERT_EQUAL(4, SmallServed);
  }

  // Guards against a full queue that belongs to whoever filled it first.
  void testArrival_fullQueue_evictsLargestCaller() {
    Driver D({.Slots = 1, .MaxQueued = 8, .MaxQueueDelay = seconds(10)});
    static_cast<void>(D.arrive(9, Order));
    RequestId Newest = 0;
    for (int I = 0; I < 8; ++I)
      Newest = D.arrive(1, Order);
    const RequestId Small = D.arrive(2, Order);
    CPPUNIT_ASSERT(!D.decision(Small));
    const auto Evicted = D.decision(Newest);
    CPPUNIT_ASSERT(Evicted && Evicted->Reason == ResultCode::RequestQueueFull);
  }

  // Guards against sending the same number of requests to an upstream that sheds.
  void testFinish_shed_lowersLimitForAWhile() {
    Driver D({});
    D.warmUp();
    std::vector<RequestId> Ids;
    for (int I = 0; I < 8; ++I)
      Ids.push_back(D.arrive(1, Order));
    D.finish(Ids[4], Completion::Shed);
    CPPUNIT_ASSERT_EQUAL(4U, D.Subject.busySlots());
    D.fireTimer();
    CPPUNIT_ASSERT_EQUAL(5U, D.Subject.busySlots());
  }

  // Guards against a restarted upstream that gets its full load at once.
  void testFinish_unreachable_startsSlowly() {
    Driver D({});
    D.warmUp();
    std::vector<RequestId> Ids;
    for (int I = 0; I < 20; ++I)
      Ids.push_back(D.arrive(1, Order));
    for (int I = 0; I < 5; ++I)
      D.finish(Ids[I], Completion::NotSent);
    CPPUNIT_ASSERT_EQUAL(1U, D.Subject.busySlots());
    D.Now += SchedulerOptions{}.SlowStart;
    D.take(D.Subject.onTimer(D.Now));
    CPPUNIT_ASSERT_EQUAL(5U, D.Subject.busySlots());
  }

  // Guards against feeds, which last for hours, that use up the slots.
  void testFeed_started_freesItsSlot() {
    Driver D({.Slots = 1});
    const RequestId Feed = D.arrive(1, Order);
    const RequestId Next = D.arrive(1, Order);
    D.take(D.Subject.onFeedStarted(Feed, D.Now));
    CPPUNIT_ASSERT(D.dispatched(Next));
    D.finish(Feed);
    CPPUNIT_ASSERT_EQUAL(1U, D.Subject.busySlots());
  }

  // Guards against a caller that learns only after its deadline that its request was not run.
  void testTimer_queuedPastLatestStart_isRejected() {
    Driver D({.Slots = 1});
    D.warmUp();
    static_cast<void>(D.arrive(1, Order));
    const TimePoint Deadline = D.Now + milliseconds(300);
    const RequestId Waits = D.arrive(2, Order, milliseconds(300));
    D.fireTimer();
    const auto Made = D.decision(Waits);
    CPPUNIT_ASSERT(Made && Made->Reason == ResultCode::RequestDeadline);
    CPPUNIT_ASSERT(D.Now + OrderTime / 2 < Deadline);
  }

  // Guards against rejected clients that all come back in the same second.
  void testArrival_manyRejections_spreadReturns() {
    Driver D({});
    D.warmUp();
    std::map<Duration, int> Returns;
    for (std::uint32_t I = 0; I < 2000; ++I)
      static_cast<void>(D.arrive(I % 50, Order));
    for (const Decision &Made : D.History)
      if (!Made.Dispatch)
        ++Returns[Made.RetryAfter];
    int Most = 0;
    for (const auto &Second : Returns)
      Most = std::max(Most, Second.second);
    // Five slots run 125 orders per second.
    CPPUNIT_ASSERT(Returns.size() >= 10);
    CPPUNIT_ASSERT(Most <= 125);
  }

  // Guards against callers that are starved or favoured by the rate at which they send.
  void testOverload_anyMixOfCallers_servesEachItsShare() {
    const std::vector<std::vector<int>> Mixes{
        {10, 1, 1, 1}, {1, 1, 1, 1}, {50, 50, 1, 1, 1, 1}, {100, 2, 2}};
    for (const std::vector<int> &PerRound : Mixes) {
      Driver D({.Slots = 1});
      D.warmUp();
      std::map<RequestId, std::uint32_t> Sender;
      std::vector<int> Served(PerRound.size());
      RequestId Running = D.arrive(99, Order);
      for (int Step = 0; Step < 400; ++Step) {
        // Each caller sends at least one request per round of all callers.
        if (Step % static_cast<int>(PerRound.size()) == 0)
          for (std::uint32_t C = 0; C < PerRound.size(); ++C)
            for (int I = 0; I < PerRound[C]; ++I)
              Sender[D.arrive(C, Order, milliseconds(900))] = C;
        D.Now += OrderTime;
        D.History.clear();
        D.finish(Running);
        for (const Decision &Made : D.History)
          if (Made.Dispatch)
            Running = Made.Id;
        ++Served[Sender.at(Running)];
      }
      const double Mean = 400.0 / static_cast<double>(PerRound.size());
      CPPUNIT_ASSERT(*std::min_element(Served.begin(), Served.end()) >= 0.8 * Mean);
    }
  }

  // Guards against an upload that delays the orders of the caller that sent it.
  void testStraggler_sameCaller_doesNotDelayItsOrders() {
    Driver D({.Slots = 3});
    D.warmUp();
    static_cast<void>(D.arrive(3, Photo));
    const RequestId First = D.arrive(2, Order);
    static_cast<void>(D.arrive(2, Order));
    const RequestId Own = D.arrive(3, Order);
    const RequestId Other = D.arrive(2, Order);
    D.finish(First);
    CPPUNIT_ASSERT(D.dispatched(Own));
    CPPUNIT_ASSERT(!D.dispatched(Other));
  }

  // Guards against an upstream that fails fast and so appears quick.
  void testFinish_fastFailures_doNotLowerEstimates() {
    Driver D({.Slots = 1});
    D.warmUp();
    for (int I = 0; I < 100; ++I)
      D.finish(D.arrive(1, Order), Completion::Failed);
    static_cast<void>(D.arrive(1, Order));
    static_cast<void>(D.arrive(2, Order));
    const LoadReport Report = D.Subject.report(D.Now);
    CPPUNIT_ASSERT(Report.QueuedWorkMs >= 39 && Report.QueuedWorkMs <= 41);
    CPPUNIT_ASSERT(Report.ErrorShare > 0.9);
  }

  // Guards against memory that grows with the routes that callers invent.
  void testEstimates_manyClasses_areBounded() {
    impl::DurationEstimates Estimates(milliseconds(100), 8);
    for (int I = 0; I < 10000; ++I) {
      Estimates.add({"desk", "GET", std::to_string(I), 0}, OrderTime);
      Estimates.add(Order, OrderTime);
    }
    CPPUNIT_ASSERT_EQUAL(impl::MaxClasses, Estimates.classes());
    CPPUNIT_ASSERT(Estimates.predict(Order).Mean == OrderTime);
  }

  // Guards against retries that multiply an overload.
  void testRetry_budgetSpent_isRefused() {
    Driver D({.RetryBurst = 1});
    CPPUNIT_ASSERT(D.Subject.takeRetry(D.Now));
    CPPUNIT_ASSERT(!D.Subject.takeRetry(D.Now));
    for (int I = 0; I < 10; ++I)
      static_cast<void>(D.arrive(1, Order));
    CPPUNIT_ASSERT(D.Subject.takeRetry(D.Now));
  }

  // Guards against lost, repeated or revived requests, idle slots and unbounded queues, and against
  // decisions that differ between two runs of the same events.
  void testEvents_random_keepInvariants();
};

namespace {

/// Applies random events to a scheduler and checks the invariants after each.
class RandomRun {
public:
  RandomRun(std::uint32_t Slots, bool Photos)
      : Photos(Photos), D({.Slots = Slots, .MaxQueued = 32, .SlowStart = Duration{}}),
        Slots(Slots) {}

  bool Photos;
  Driver D;

  void step(unsigned Event, unsigned Choice) {
    const std::size_t Before = D.History.size();
    switch (Event % 6) {
    case 0:
    case 1:
      Live.insert(D.arrive(Choice % 5, Photos && Choice % 7 == 0 ? Photo : Order,
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
      D.Now += milliseconds(Choice % 400);
      D.take(D.Subject.onTimer(D.Now));
    }
    for (std::size_t I = Before; I < D.History.size(); ++I)
      apply(D.History[I]);
    check();
  }

private:
  std::uint32_t Slots;
  std::set<RequestId> Live; ///< Waiting.
  std::set<RequestId> OnSlots;

  static RequestId pickFrom(const std::set<RequestId> &From, unsigned Choice) {
    return *std::next(From.begin(), static_cast<std::ptrdiff_t>(Choice % From.size()));
  }
  void finishOne(unsigned Choice) {
    if (OnSlots.empty())
      return;
    const RequestId Id = pickFrom(OnSlots, Choice);
    OnSlots.erase(Id);
    if (Choice % 9 == 0)
      D.take(D.Subject.onFeedStarted(Id, D.Now));
    else
      D.finish(Id, Choice % 8 == 0 ? Completion::Failed : Completion::Succeeded);
  }
  void cancelOne(unsigned Choice) {
    if (Live.empty())
      return;
    const RequestId Id = pickFrom(Live, Choice);
    Live.erase(Id);
    D.take(D.Subject.onCancelled(Id, D.Now));
  }
  void apply(const Decision &Made) {
    RC_ASSERT(Live.erase(Made.Id) == 1U); // One decision per request, none once cancelled.
    if (Made.Dispatch)
      OnSlots.insert(Made.Id);
  }
  void check() {
    RC_ASSERT(D.Subject.busySlots() == OnSlots.size());
    RC_ASSERT(D.Subject.queued() == Live.size());
    RC_ASSERT(OnSlots.size() <= Slots);
    RC_ASSERT(Live.size() <= 32U);
    if (const auto At = D.Subject.nextTimer())
      RC_ASSERT(*At > D.Now);
    else
      RC_ASSERT(Live.empty() || OnSlots.size() == Slots);
    // With one class of work there is no reserve, so no slot is idle while a request waits.
    RC_ASSERT(Photos || Live.empty() || OnSlots.size() == Slots);
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
    RC_ASSERT(First.D.History == Second.D.History);
  });
  CPPUNIT_ASSERT(Holds);
}

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerTest);

} // namespace galenarelay::tests
