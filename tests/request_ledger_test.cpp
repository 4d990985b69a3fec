#include "galenarelay/request/ledger.h"

#include <cppunit/extensions/HelperMacros.h>

namespace galenarelay::tests {

using namespace request;
using common::ResultCode;
using common::TimePoint;

class LedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LedgerTest);
  CPPUNIT_TEST(testLedger_tableOfEvents_allowsOnlySafeSteps);
  CPPUNIT_TEST(testLedger_finishedRequest_isNeverDispatched);
  CPPUNIT_TEST(testKey_resend_getsRecordedOutcome);
  CPPUNIT_TEST(testKey_bound_forgetsOldestOnly);
  CPPUNIT_TEST_SUITE_END();

  static RequestFacts facts(const std::string &Method, const std::string &Key = {}) {
    return {"r-1", "flow", "desk", Method, "/orders", Key, 7};
  }

public:
  // Guards against running a non-idempotent request twice, and against telling the caller "not run"
  // about a request that may have run.
  void testLedger_tableOfEvents_allowsOnlySafeSteps() {
    using F = DispatchFailure;
    struct Row {
      const char *Method;
      std::vector<F> Failures; ///< Outcome of each dispatch; all but the last are requeued.
      bool AnswerStarted;
      bool LastRequeued;
      RequestState Final;
    };
    const Row Rows[] = {
        {"POST", {}, false, false, RequestState::NotRun},
        {"POST", {F::NothingSent}, false, true, RequestState::NotRun},
        {"POST", {F::Shed}, false, true, RequestState::NotRun},
        {"POST", {F::Shed, F::NothingSent}, false, true, RequestState::NotRun},
        {"POST", {F::ConnectionLost}, false, false, RequestState::Unknown},
        {"POST", {F::TimedOut}, false, false, RequestState::Unknown},
        {"POST", {F::Shed, F::ConnectionLost}, false, false, RequestState::Unknown},
        {"GET", {F::ConnectionLost}, false, true, RequestState::Unknown},
        {"GET", {F::ConnectionLost, F::NothingSent}, false, true, RequestState::Unknown},
        {"GET", {F::ConnectionLost}, true, false, RequestState::Unknown},
        {"PUT", {F::TimedOut, F::Shed}, false, true, RequestState::Unknown},
        {"POST", {F::Shed}, true, false, RequestState::Unknown},
    };
    for (const Row &Case : Rows) {
      Ledger Requests;
      CPPUNIT_ASSERT(!Requests.add(1, facts(Case.Method), TimePoint{}));
      bool Requeued = false;
      for (std::size_t I = 0; I < Case.Failures.size(); ++I) {
        CPPUNIT_ASSERT(Requests.dispatch(1));
        CPPUNIT_ASSERT(!Requests.dispatch(1));
        if (Case.AnswerStarted)
          Requests.responseStarted(1, 200);
        Requeued = Requests.requeue(1, Case.Failures[I]);
        CPPUNIT_ASSERT(Requeued || I + 1 == Case.Failures.size());
      }
      CPPUNIT_ASSERT_EQUAL(Case.LastRequeued, Requeued);
      const auto Last = Case.Failures.empty() ? std::nullopt : std::optional(Case.Failures.back());
      const auto Final =
          Requests.endWithoutResponse(1, Last, ResultCode::RequestNotRun, "", TimePoint{});
      CPPUNIT_ASSERT_EQUAL(static_cast<int>(Case.Final), static_cast<int>(Final));
    }
  }

  // Guards against dispatching a request after its caller was told "not run" or "unknown" or got
  // the upstream's response.
  void testLedger_finishedRequest_isNeverDispatched() {
    Ledger Requests;
    for (RequestId Id = 1; Id <= 3; ++Id)
      CPPUNIT_ASSERT(!Requests.add(Id, facts("POST"), TimePoint{}));
    CPPUNIT_ASSERT(RequestState::NotRun == Requests.endWithoutResponse(1, {},
                                                                       ResultCode::RequestDeadline,
                                                                       "", TimePoint{}));
    CPPUNIT_ASSERT(Requests.dispatch(2));
    CPPUNIT_ASSERT(
        RequestState::Unknown ==
        Requests.endWithoutResponse(2, {}, ResultCode::RequestCancelled, "", TimePoint{}));
    CPPUNIT_ASSERT(Requests.dispatch(3));
    Requests.answered(3, std::nullopt, TimePoint{});
    for (RequestId Id = 1; Id <= 3; ++Id) {
      CPPUNIT_ASSERT(!Requests.dispatch(Id));
      CPPUNIT_ASSERT(!Requests.requeue(Id, DispatchFailure::NothingSent));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Requests.openCount());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Requests.find("r-1").size());
  }

  // Guards against running a resend with the same key again, and against rejecting it although the
  // first request was not run.
  void testKey_resend_getsRecordedOutcome() {
    Ledger Requests;
    CPPUNIT_ASSERT(!Requests.add(1, facts("POST", "k"), TimePoint{}));
    CPPUNIT_ASSERT_EQUAL(409U, Requests.add(2, facts("POST", "k"), TimePoint{})->Status);
    CPPUNIT_ASSERT(Requests.dispatch(1));
    CPPUNIT_ASSERT_EQUAL(409U, Requests.add(2, facts("POST", "k"), TimePoint{})->Status);
    Requests.answered(1, Answer{201, {}, "done"}, TimePoint{});
    CPPUNIT_ASSERT((Answer{201, {}, "done"}) == *Requests.add(2, facts("POST", "k"), TimePoint{}));
    auto Other = facts("POST", "k");
    Other.Fingerprint = 8;
    CPPUNIT_ASSERT_EQUAL(400U, Requests.add(3, Other, TimePoint{})->Status);

    CPPUNIT_ASSERT(!Requests.add(4, facts("POST", "u"), TimePoint{}));
    CPPUNIT_ASSERT(Requests.dispatch(4));
    CPPUNIT_ASSERT(Requests.endWithoutResponse(4, DispatchFailure::ConnectionLost,
                                               ResultCode::RequestOutcomeUnknown, "",
                                               TimePoint{}) == RequestState::Unknown);
    CPPUNIT_ASSERT_EQUAL(502U, Requests.add(5, facts("POST", "u"), TimePoint{})->Status);

    CPPUNIT_ASSERT(!Requests.add(6, facts("POST", "n"), TimePoint{}));
    CPPUNIT_ASSERT(Requests.endWithoutResponse(6, {}, ResultCode::RequestQueueFull, "",
                                               TimePoint{}) == RequestState::NotRun);
    CPPUNIT_ASSERT(!Requests.add(7, facts("POST", "n"), TimePoint{}));

    CPPUNIT_ASSERT(!Requests.add(8, facts("POST", "big"), TimePoint{}));
    CPPUNIT_ASSERT(Requests.dispatch(8));
    Requests.answered(8, Answer{200, {}, std::string(Ledger::MaxKeptBody + 1, 'x')}, TimePoint{});
    CPPUNIT_ASSERT_EQUAL(409U, Requests.add(9, facts("POST", "big"), TimePoint{})->Status);
  }

  // Guards against unbounded growth of the key table, and against evicting the key of a running
  // request.
  void testKey_bound_forgetsOldestOnly() {
    Ledger Requests;
    CPPUNIT_ASSERT(!Requests.add(1, facts("POST", "running"), TimePoint{}));
    for (RequestId Id = 2; Id < 3 + Ledger::MaxKeys; ++Id) {
      CPPUNIT_ASSERT(!Requests.add(Id, facts("POST", std::to_string(Id)), TimePoint{}));
      CPPUNIT_ASSERT(Requests.dispatch(Id));
      Requests.answered(Id, Answer{}, TimePoint{});
    }
    CPPUNIT_ASSERT_EQUAL(Ledger::MaxKeys + 1, Requests.rememberedKeys());
    CPPUNIT_ASSERT(Requests.add(9, facts("POST", "running"), TimePoint{}).has_value());
    CPPUNIT_ASSERT(Requests.add(9, facts("POST", "3"), TimePoint{}).has_value());
    CPPUNIT_ASSERT(!Requests.add(9, facts("POST", "2"), TimePoint{}).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);

} // namespace galenarelay::tests
