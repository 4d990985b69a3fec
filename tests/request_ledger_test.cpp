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
  // Guards against a second run of a non-idempotent request, and against the answer "not run" for
  // a request that may have run.
  void testLedger_tableOfEvents_allowsOnlySafeSteps() {
    using F = DispatchFailure;
    struct Row {
      const char *Method;
      std::vector<F> Failures; ///< One dispatch each; each but the last must be requeued.
      bool AnswerStarted;
      bool LastRequeued;
      RequestState Final;
    };
    const Row Rows[] = {
        {"POST", {}, false, false, RequestState::NotRun},
        {"POST", {F::NothingSent}, false, true, RequestState::NotRun},
        {"POST", {F::Shed}, false, true, RequestState::NotRun},
        {"POST", {F::Shed, F::NothingSent}, false, true, RequestState::NotRun},
        {"POST", {F::Broken}, false, false, RequestState::Unknown},
        {"POST", {F::TimedOut}, false, false, RequestState::Unknown},
        {"POST", {F::Shed, F::Broken}, false, false, RequestState::Unknown},
        {"GET", {F::Broken}, false, true, RequestState::Unknown},
        {"GET", {F::Broken, F::NothingSent}, false, true, RequestState::Unknown},
        {"GET", {F::Broken}, true, false, RequestState::Unknown},
        {"PUT", {F::TimedOut, F::Shed}, false, true, RequestState::Unknown},
        {"POST", {F::Shed}, true, false, RequestState::Unknown},
    };
    for (const Row &Case : Rows) {
      Ledger Book;
      CPPUNIT_ASSERT(!Book.enter(1, facts(Case.Method), TimePoint{}));
      bool Requeued = false;
      for (std::size_t I = 0; I < Case.Failures.size(); ++I) {
        CPPUNIT_ASSERT(Book.dispatch(1));
        CPPUNIT_ASSERT(!Book.dispatch(1));
        if (Case.AnswerStarted)
          Book.answerStarted(1, 200);
        Requeued = Book.requeue(1, Case.Failures[I]);
        CPPUNIT_ASSERT(Requeued || I + 1 == Case.Failures.size());
      }
      CPPUNIT_ASSERT_EQUAL(Case.LastRequeued, Requeued);
      const auto Last = Case.Failures.empty() ? std::nullopt : std::optional(Case.Failures.back());
      const auto Final = Book.giveUp(1, Last, ResultCode::RequestNotRun, "", TimePoint{});
      CPPUNIT_ASSERT_EQUAL(static_cast<int>(Case.Final), static_cast<int>(Final));
    }
  }

  // Guards against a run that follows the answer "not run", "unknown" or the upstream's own.
  void testLedger_finishedRequest_isNeverDispatched() {
    Ledger Book;
    for (RequestId Id = 1; Id <= 3; ++Id)
      CPPUNIT_ASSERT(!Book.enter(Id, facts("POST"), TimePoint{}));
    CPPUNIT_ASSERT(RequestState::NotRun ==
                   Book.giveUp(1, {}, ResultCode::RequestDeadline, "", TimePoint{}));
    CPPUNIT_ASSERT(Book.dispatch(2));
    CPPUNIT_ASSERT(RequestState::Unknown ==
                   Book.giveUp(2, {}, ResultCode::RequestCancelled, "", TimePoint{}));
    CPPUNIT_ASSERT(Book.dispatch(3));
    Book.answered(3, std::nullopt, TimePoint{});
    for (RequestId Id = 1; Id <= 3; ++Id) {
      CPPUNIT_ASSERT(!Book.dispatch(Id));
      CPPUNIT_ASSERT(!Book.requeue(Id, DispatchFailure::NothingSent));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Book.open());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Book.find("r-1").size());
  }

  // Guards against a resend with the same key that runs again, or is refused although it may run.
  void testKey_resend_getsRecordedOutcome() {
    Ledger Book;
    CPPUNIT_ASSERT(!Book.enter(1, facts("POST", "k"), TimePoint{}));
    CPPUNIT_ASSERT_EQUAL(409U, Book.enter(2, facts("POST", "k"), TimePoint{})->Status);
    CPPUNIT_ASSERT(Book.dispatch(1));
    CPPUNIT_ASSERT_EQUAL(409U, Book.enter(2, facts("POST", "k"), TimePoint{})->Status);
    Book.answered(1, Answer{201, {}, "done"}, TimePoint{});
    CPPUNIT_ASSERT((Answer{201, {}, "done"}) == *Book.enter(2, facts("POST", "k"), TimePoint{}));
    auto Other = facts("POST", "k");
    Other.Fingerprint = 8;
    CPPUNIT_ASSERT_EQUAL(400U, Book.enter(3, Other, TimePoint{})->Status);

    CPPUNIT_ASSERT(!Book.enter(4, facts("POST", "u"), TimePoint{}));
    CPPUNIT_ASSERT(Book.dispatch(4));
    CPPUNIT_ASSERT(Book.giveUp(4, DispatchFailure::Broken, ResultCode::RequestOutcomeUnknown, "",
                               TimePoint{}) == RequestState::Unknown);
    CPPUNIT_ASSERT_EQUAL(502U, Book.enter(5, facts("POST", "u"), TimePoint{})->Status);

    CPPUNIT_ASSERT(!Book.enter(6, facts("POST", "n"), TimePoint{}));
    CPPUNIT_ASSERT(Book.giveUp(6, {}, ResultCode::RequestQueueFull, "", TimePoint{}) ==
                   RequestState::NotRun);
    CPPUNIT_ASSERT(!Book.enter(7, facts("POST", "n"), TimePoint{}));

    CPPUNIT_ASSERT(!Book.enter(8, facts("POST", "big"), TimePoint{}));
    CPPUNIT_ASSERT(Book.dispatch(8));
    Book.answered(8, Answer{200, {}, std::string(Ledger::MaxKeptBody + 1, 'x')}, TimePoint{});
    CPPUNIT_ASSERT_EQUAL(409U, Book.enter(9, facts("POST", "big"), TimePoint{})->Status);
  }

  // Guards against memory that grows with each key, and against forgetting a running request.
  void testKey_bound_forgetsOldestOnly() {
    Ledger Book;
    CPPUNIT_ASSERT(!Book.enter(1, facts("POST", "running"), TimePoint{}));
    for (RequestId Id = 2; Id < 3 + Ledger::MaxKeys; ++Id) {
      CPPUNIT_ASSERT(!Book.enter(Id, facts("POST", std::to_string(Id)), TimePoint{}));
      CPPUNIT_ASSERT(Book.dispatch(Id));
      Book.answered(Id, Answer{}, TimePoint{});
    }
    CPPUNIT_ASSERT_EQUAL(Ledger::MaxKeys + 1, Book.rememberedKeys());
    CPPUNIT_ASSERT(Book.enter(9, facts("POST", "running"), TimePoint{}).has_value());
    CPPUNIT_ASSERT(Book.enter(9, facts("POST", "3"), TimePoint{}).has_value());
    CPPUNIT_ASSERT(!Book.enter(9, facts("POST", "2"), TimePoint{}).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);

} // namespace galenarelay::tests
