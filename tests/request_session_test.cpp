#include "galenarelay/common/random.h"
#include "galenarelay/request/session.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace galenarelay::tests {

using namespace request;

namespace {

std::span<const std::uint8_t> bytesOf(std::string_view Text) {
  return {reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size()};
}

std::string outputOf(Session &Served) {
  const auto Bytes = Served.takeOutput(SIZE_MAX);
  return {Bytes.begin(), Bytes.end()};
}

/// What a session saw: each request as "METHOD target body", each answered at once.
struct Transcript {
  std::vector<std::string> Requests;
  std::string Output;
  bool Broken = false;
  bool Ended = false;

  friend bool operator==(const Transcript &, const Transcript &) = default;
};

class Driver {
public:
  Transcript Seen;
  Session Served;

  void feed(std::string_view Text) {
    Served.onBytes(bytesOf(Text));
    handle();
  }

  void end() {
    Served.onCallerFinished();
    handle();
  }

private:
  std::string Partial;

  void complete(const std::string &Request) {
    Seen.Requests.push_back(Request);
    Served.answer({200, {}, std::to_string(Seen.Requests.size())});
  }

  void on(const RequestReady &Event) {
    Partial = Event.Head.Method + " " + Event.Head.Target + " " + Event.Body;
    if (Event.Complete)
      complete(Partial);
  }
  void on(const BodyPart &Event) {
    Partial += Event.Bytes;
    if (Event.Last)
      complete(Partial);
  }
  void on(const RequestBroken &) {
    Seen.Broken = true;
    Served.answer(unknownAnswer("broken"));
  }
  void on(const CallerFinished &) { Seen.Ended = true; }

  void handle() {
    for (auto Events = Served.takeEvents(); !Events.empty(); Events = Served.takeEvents())
      for (const SessionEvent &Event : Events)
        std::visit([&](const auto &E) { on(E); }, Event);
    Seen.Output += outputOf(Served);
  }
};

} // namespace

class SessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionTest);
  CPPUNIT_TEST(testSession_anyCuts_giveSameRequests);
  CPPUNIT_TEST(testSession_malformed_answers400AndEnds);
  CPPUNIT_TEST(testSession_pipelined_answersInOrder);
  CPPUNIT_TEST(testSession_expectContinue_isAnsweredOnce);
  CPPUNIT_TEST(testSession_largeBody_isReportedAtBound);
  CPPUNIT_TEST(testSession_bodyEndsEarly_isNeverReportedComplete);
  CPPUNIT_TEST(testAnswer_framing_followsVersionAndMethod);
  CPPUNIT_TEST(testAnswer_closeAfterAnswer_isLastRequest);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a parser whose result depends on where packets were cut.
  void testSession_anyCuts_giveSameRequests() {
    const std::string Text = "GET /status HTTP/1.1\r\nHost: a\r\n\r\n"
                             "POST /orders?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n"
                             "hello\r\nGET "
                             "PUT /uploads HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                             "\r\n5;x=y\r\nabcde\r\n3\r\nfgh\r\n0\r\nT: 1\r\n\r\n"
                             "DELETE /orders/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    Driver Whole;
    Whole.feed(Text);
    Whole.end();
    const std::vector<std::string> Expected{"GET /status ", "POST /orders?x=1 hello\r\nGET ",
                                            "PUT /uploads abcdefgh", "DELETE /orders/1 "};
    CPPUNIT_ASSERT(Expected == Whole.Seen.Requests);
    common::Engine Random(11);
    for (int Round = 0; Round < 200; ++Round) {
      Driver Cut;
      const std::size_t MaxCut = Round == 0 ? 1 : 40;
      for (std::size_t Start = 0; Start < Text.size();) {
        const std::size_t Size = 1 + common::uniformBelow(Random, MaxCut);
        Cut.feed(std::string_view(Text).substr(Start, Size));
        Start += Size;
      }
      Cut.end();
      CPPUNIT_ASSERT(Whole.Seen == Cut.Seen);
    }
  }

  // Guards against request smuggling and against malformed requests that reach an upstream.
  void testSession_malformed_answers400AndEnds() {
    const std::string Rows[] = {
        "NONSENSE\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET / HTTP/2.0\r\nHost: a\r\n\r\n",
        "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n" +
            std::string("Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
            std::string(20'000, '1') + "\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nIdempotency-Key: " + std::string(129, 'k') + "\r\n\r\n",
    };
    for (const std::string &Text : Rows) {
      Driver Case;
      Case.feed(Text);
      Case.feed("GET /after HTTP/1.1\r\nHost: a\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(Text.substr(0, 60), Case.Seen.Requests.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text.substr(0, 60), std::string("HTTP/1.1 400 Bad Request"),
                                   Case.Seen.Output.substr(0, 24));
      CPPUNIT_ASSERT(Case.Seen.Output.find("Connection: close") != std::string::npos);
      CPPUNIT_ASSERT(Case.Seen.Output.find("Galenarelay-Result: RequestMalformed") !=
                     std::string::npos);
      CPPUNIT_ASSERT(Case.Served.finished());
    }
  }

  // Guards against a second request that is reported, and so answered, before the first one.
  void testSession_pipelined_answersInOrder() {
    Session Served;
    Served.onBytes(bytesOf("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"));
    auto Events = Served.takeEvents();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Events.size());
    CPPUNIT_ASSERT(!Served.wantsBytes());
    Served.startAnswer({200, {}, {}, std::nullopt});
    Served.answerData(bytesOf("one"));
    CPPUNIT_ASSERT(Served.takeEvents().empty());
    Served.finishAnswer();
    Events = Served.takeEvents();
    CPPUNIT_ASSERT_EQUAL(std::string("/2"), std::get<RequestReady>(Events.at(0)).Head.Target);
    Served.answer({200, {}, "two"});
    const std::string Output = outputOf(Served);
    CPPUNIT_ASSERT(Output.find("3\r\none\r\n0\r\n\r\nHTTP/1.1 200 OK") != std::string::npos);
    CPPUNIT_ASSERT(Served.idle());
  }

  // Guards against callers that wait forever for "100 Continue".
  void testSession_expectContinue_isAnsweredOnce() {
    Session Served;
    Served.onBytes(bytesOf("POST /orders HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                           "Content-Length: 2\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 100 Continue\r\n\r\n"), outputOf(Served));
    Served.onBytes(bytesOf("o"));
    Served.onBytes(bytesOf("k"));
    const auto Ready = std::get<RequestReady>(Served.takeEvents().at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Ready.Body);
    CPPUNIT_ASSERT(headerValue(Ready.Head.Headers, "Expect").empty());
    CPPUNIT_ASSERT(outputOf(Served).empty());
  }

  // Guards against buffers that grow with the body, whatever length the caller declares.
  void testSession_largeBody_isReportedAtBound() {
    Session Served;
    Served.onBytes(bytesOf("POST /uploads HTTP/1.1\r\nHost: a\r\n"
                           "Content-Length: 99999999999\r\n\r\n"));
    CPPUNIT_ASSERT(Served.memoryBytes() < Session::MaxHeadBytes);
    const std::string Block(64 * 1024, 'x');
    for (int I = 0; I < 3; ++I)
      Served.onBytes(bytesOf(Block));
    CPPUNIT_ASSERT(Served.takeEvents().empty());
    Served.onBytes(bytesOf(Block));
    const auto Ready = std::get<RequestReady>(Served.takeEvents().at(0));
    CPPUNIT_ASSERT(!Ready.Complete);
    CPPUNIT_ASSERT_EQUAL(Session::MaxBufferedBody, Ready.Body.size());
    Served.onBytes(bytesOf("tail"));
    const auto Part = std::get<BodyPart>(Served.takeEvents().at(0));
    CPPUNIT_ASSERT((BodyPart{"tail", false}) == Part);
    Served.answer({413, {}, ""});
    CPPUNIT_ASSERT(outputOf(Served).find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT(Served.finished());
  }

  // Guards against a truncated body that is run as if it were whole.
  void testSession_bodyEndsEarly_isNeverReportedComplete() {
    const std::string Head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n";
    for (const std::size_t Size : {std::size_t{0}, std::size_t{100}, Session::MaxBufferedBody}) {
      Driver Case;
      Case.feed(Head + std::string(Size, 'x'));
      Case.end();
      CPPUNIT_ASSERT(Case.Seen.Requests.empty());
      CPPUNIT_ASSERT_EQUAL(Size == Session::MaxBufferedBody, Case.Seen.Broken);
      CPPUNIT_ASSERT(Case.Served.finished());
    }
  }

  // Guards against answers whose end a caller can't find.
  void testAnswer_framing_followsVersionAndMethod() {
    struct Row {
      const char *Request;
      unsigned Status;
      std::optional<std::uint64_t> Length;
      const char *Ending;
      bool Closes;
    };
    const Row Rows[] = {
        {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 200, std::nullopt, "\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
         false},
        {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 200, 2, "\r\n\r\nhi", false},
        {"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n", 200, 2, "Content-Length: 2\r\n\r\n", false},
        {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 204, std::nullopt, "\r\n\r\n", false},
        {"GET / HTTP/1.0\r\n\r\n", 200, std::nullopt, "\r\n\r\nhi", true},
        {"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 200, 2, "\r\n\r\nhi", true},
    };
    for (const Row &Case : Rows) {
      Session Served;
      Served.onBytes(bytesOf(Case.Request));
      Served.startAnswer({Case.Status, {}, {{"X-A", "1"}, {"X-A", "2"}}, Case.Length});
      Served.answerData(bytesOf("hi"));
      Served.finishAnswer();
      const std::string Output = outputOf(Served);
      CPPUNIT_ASSERT_MESSAGE(Output, Output.ends_with(Case.Ending));
      CPPUNIT_ASSERT(Output.find("X-A: 1\r\nX-A: 2\r\n") != std::string::npos);
      CPPUNIT_ASSERT_EQUAL(Case.Closes, Served.finished());
    }
  }

  // Guards against a drained flow that takes one more request than it announced.
  void testAnswer_closeAfterAnswer_isLastRequest() {
    Driver Case;
    Case.Served.closeAfterAnswer();
    Case.feed("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Case.Seen.Requests.size());
    CPPUNIT_ASSERT(Case.Seen.Output.find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT(Case.Served.finished());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTest);

} // namespace galenarelay::tests
