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

std::string outputOf(Session &Server) {
  const auto Bytes = Server.takeOutput(SIZE_MAX);
  return {Bytes.begin(), Bytes.end()};
}

/// Results of a session: each request as "METHOD target body", the output and the other events.
struct Transcript {
  std::vector<std::string> Requests;
  std::string Output;
  bool Broken = false;
  bool Ended = false;

  friend bool operator==(const Transcript &, const Transcript &) = default;
};

class Driver {
public:
  Transcript Results;
  Session Server;

  void feed(std::string_view Text) {
    Server.onBytes(bytesOf(Text));
    processEvents();
  }

  void end() {
    Server.onCallerClosed();
    processEvents();
  }

private:
  std::string PendingRequest;

  void complete(const std::string &Request) {
    Results.Requests.push_back(Request);
    Server.respond({200, {}, std::to_string(Results.Requests.size())});
  }

  void handleEvent(const RequestReady &Event) {
    PendingRequest = Event.Head.Method + " " + Event.Head.Target + " " + Event.Body;
    if (Event.Complete)
      complete(PendingRequest);
  }
  void handleEvent(const BodyPart &Event) {
    PendingRequest += Event.Bytes;
    if (Event.Last)
      complete(PendingRequest);
  }
  void handleEvent(const RequestBodyInvalid &) {
    Results.Broken = true;
    Server.respond(unknownAnswer("broken"));
  }
  void handleEvent(const CallerClosed &) { Results.Ended = true; }

  void processEvents() {
    for (auto Events = Server.takeEvents(); !Events.empty(); Events = Server.takeEvents())
      for (const SessionEvent &Event : Events)
        std::visit([&](const auto &E) { handleEvent(E); }, Event);
    Results.Output += outputOf(Server);
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
  // Guards against a parser whose result depends on how the byte stream is split into reads.
  void testSession_anyCuts_giveSameRequests() {
    const std::string Text = "GET /status HTTP/1.1\r\nHost: a\r\n\r\n"
                             "POST /orders?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n"
                             "hello\r\nGET "
                             "PUT /uploads HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                             "\r\n5;x=y\r\nabcde\r\n3\r\nfgh\r\n0\r\nT: 1\r\n\r\n"
                             "DELETE /orders/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    Driver UnsplitInput;
    UnsplitInput.feed(Text);
    UnsplitInput.end();
    const std::vector<std::string> Expected{"GET /status ", "POST /orders?x=1 hello\r\nGET ",
                                            "PUT /uploads abcdefgh", "DELETE /orders/1 "};
    CPPUNIT_ASSERT(Expected == UnsplitInput.Results.Requests);
    common::Engine Random(11);
    for (int Round = 0; Round < 200; ++Round) {
      Driver SplitInput;
      const std::size_t MaxSize = Round == 0 ? 1 : 40;
      for (std::size_t Start = 0; Start < Text.size();) {
        const std::size_t Size = 1 + common::uniformBelow(Random, MaxSize);
        SplitInput.feed(std::string_view(Text).substr(Start, Size));
        Start += Size;
      }
      SplitInput.end();
      CPPUNIT_ASSERT(UnsplitInput.Results == SplitInput.Results);
    }
  }

  // Guards against request smuggling and against forwarding malformed requests to an upstream.
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
      CPPUNIT_ASSERT_MESSAGE(Text.substr(0, 60), Case.Results.Requests.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text.substr(0, 60), std::string("HTTP/1.1 400 Bad Request"),
                                   Case.Results.Output.substr(0, 24));
      CPPUNIT_ASSERT(Case.Results.Output.find("Connection: close") != std::string::npos);
      CPPUNIT_ASSERT(Case.Results.Output.find("Galenarelay-Result: RequestMalformed") !=
                     std::string::npos);
      CPPUNIT_ASSERT(Case.Server.finished());
    }
  }

  // Guards against reporting a pipelined request, which could then be answered, before the response
  // to the request ahead of it is complete.
  void testSession_pipelined_answersInOrder() {
    Session Server;
    Server.onBytes(bytesOf("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"));
    auto Events = Server.takeEvents();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Events.size());
    CPPUNIT_ASSERT(!Server.wantsBytes());
    Server.startResponse({200, {}, {}, std::nullopt});
    Server.writeResponseBody(bytesOf("one"));
    CPPUNIT_ASSERT(Server.takeEvents().empty());
    Server.finishResponse();
    Events = Server.takeEvents();
    CPPUNIT_ASSERT_EQUAL(std::string("/2"), std::get<RequestReady>(Events.at(0)).Head.Target);
    Server.respond({200, {}, "two"});
    const std::string Output = outputOf(Server);
    CPPUNIT_ASSERT(Output.find("3\r\none\r\n0\r\n\r\nHTTP/1.1 200 OK") != std::string::npos);
    CPPUNIT_ASSERT(Server.idle());
  }

  // Guards against a caller that waits for "100 Continue" in vain.
  void testSession_expectContinue_isAnsweredOnce() {
    Session Server;
    Server.onBytes(bytesOf("POST /orders HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                           "Content-Length: 2\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 100 Continue\r\n\r\n"), outputOf(Server));
    Server.onBytes(bytesOf("o"));
    Server.onBytes(bytesOf("k"));
    const auto Ready = std::get<RequestReady>(Server.takeEvents().at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Ready.Body);
    CPPUNIT_ASSERT(headerValue(Ready.Head.Headers, "Expect").empty());
    CPPUNIT_ASSERT(outputOf(Server).empty());
  }

  // Guards against buffers that grow with the body or with its declared length.
  void testSession_largeBody_isReportedAtBound() {
    Session Server;
    Server.onBytes(bytesOf("POST /uploads HTTP/1.1\r\nHost: a\r\n"
                           "Content-Length: 99999999999\r\n\r\n"));
    CPPUNIT_ASSERT(Server.memoryBytes() < Session::MaxHeadBytes);
    const std::string Block(64 * 1024, 'x');
    for (int I = 0; I < 3; ++I)
      Server.onBytes(bytesOf(Block));
    CPPUNIT_ASSERT(Server.takeEvents().empty());
    Server.onBytes(bytesOf(Block));
    const auto Ready = std::get<RequestReady>(Server.takeEvents().at(0));
    CPPUNIT_ASSERT(!Ready.Complete);
    CPPUNIT_ASSERT_EQUAL(Session::MaxBufferedBody, Ready.Body.size());
    Server.onBytes(bytesOf("tail"));
    const auto Part = std::get<BodyPart>(Server.takeEvents().at(0));
    CPPUNIT_ASSERT((BodyPart{"tail", false}) == Part);
    Server.respond({413, {}, ""});
    CPPUNIT_ASSERT(outputOf(Server).find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT(Server.finished());
  }

  // Guards against running a request with a truncated body.
  void testSession_bodyEndsEarly_isNeverReportedComplete() {
    const std::string Head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n";
    for (const std::size_t Size : {std::size_t{0}, std::size_t{100}, Session::MaxBufferedBody}) {
      Driver Case;
      Case.feed(Head + std::string(Size, 'x'));
      Case.end();
      CPPUNIT_ASSERT(Case.Results.Requests.empty());
      CPPUNIT_ASSERT_EQUAL(Size == Session::MaxBufferedBody, Case.Results.Broken);
      CPPUNIT_ASSERT(Case.Server.finished());
    }
  }

  // Guards against response framing from which the caller can't tell where the body ends.
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
      Session Server;
      Server.onBytes(bytesOf(Case.Request));
      Server.startResponse({Case.Status, {}, {{"X-A", "1"}, {"X-A", "2"}}, Case.Length});
      Server.writeResponseBody(bytesOf("hi"));
      Server.finishResponse();
      const std::string Output = outputOf(Server);
      CPPUNIT_ASSERT_MESSAGE(Output, Output.ends_with(Case.Ending));
      CPPUNIT_ASSERT(Output.find("X-A: 1\r\nX-A: 2\r\n") != std::string::npos);
      CPPUNIT_ASSERT_EQUAL(Case.Closes, Server.finished());
    }
  }

  // Guards against taking a further request on a draining flow after "Connection: close" was sent.
  void testAnswer_closeAfterAnswer_isLastRequest() {
    Driver Case;
    Case.Server.closeAfterResponse();
    Case.feed("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Case.Results.Requests.size());
    CPPUNIT_ASSERT(Case.Results.Output.find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT(Case.Server.finished());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTest);

} // namespace galenarelay::tests
