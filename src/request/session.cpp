#include "galenarelay/request/session.h"

#include "galenarelay/request/hop_headers.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <cstring>
#include <optional>
#include <string_view>

namespace galenarelay::request {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// Body type that appends the received bytes to a string. Unlike http::string_body it reserves no
/// memory for the declared length, which the caller chooses without limit.
struct AppendingBody {
  // NOLINTBEGIN(readability-identifier-naming): names required by the Body concept.
  using value_type = std::string;
  class reader {
  public:
    template <bool IsRequest, class Fields>
    reader(http::header<IsRequest, Fields> &, value_type &Text) : Text(Text) {}
    void init(const boost::optional<std::uint64_t> &, beast::error_code &Error) { Error = {}; }
    template <class Buffers> std::size_t put(const Buffers &Parts, beast::error_code &Error) {
      Error = {};
      for (const auto Part : beast::buffers_range_ref(Parts))
        Text.append(static_cast<const char *>(Part.data()), Part.size());
      return beast::buffer_bytes(Parts);
    }
    void finish(beast::error_code &Error) { Error = {}; }

  private:
    value_type &Text;
  };
  // NOLINTEND(readability-identifier-naming)
};

using Parser = http::request_parser<AppendingBody>;

enum class Phase : std::uint8_t {
  Reading,          ///< Idle, or reading a request that has not been reported.
  StreamingBody,    ///< Reading the rest of the body of a reported request.
  AwaitingResponse, ///< The request was read or rejected; its response is due.
  Finished,         ///< Reads no further request.
};

constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

bool statusForbidsBody(unsigned Status) noexcept {
  return Status < 200 || Status == 204 || Status == 304;
}

RequestHead headOf(const Parser &Parsed) {
  const auto &Message = Parsed.get();
  RequestHead Head;
  Head.Method = std::string(Message.method_string());
  Head.Target = std::string(Message.target());
  Head.Version = Message.version();
  Head.KeepAlive = Parsed.keep_alive();
  Head.Chunked = Parsed.chunked();
  if (const auto Length = Parsed.content_length())
    Head.Length = *Length;
  for (const auto &Field : Message)
    Head.Headers.emplace_back(std::string(Field.name_string()), std::string(Field.value()));
  removeHopHeaders(Head.Headers);
  return Head;
}

/// Why a parsed head is rejected; empty if it is accepted.
std::string_view rejectionReason(const Parser &Parsed) {
  const auto &Message = Parsed.get();
  if (Message.version() != 10 && Message.version() != 11)
    return "the HTTP version is not supported";
  if (Message.version() == 11 && Message.count(http::field::host) != 1)
    return "exactly one Host header is required";
  if (Message.method() == http::verb::connect)
    return "CONNECT is not supported";
  const bool UnsupportedCoding =
      Message.count(http::field::transfer_encoding) != 0 && !Parsed.chunked();
  if (UnsupportedCoding)
    return "the transfer coding is not supported";
  if (Message[IdempotencyKeyHeader].size() > MaxTokenBytes)
    return "the Idempotency-Key is too long";
  if (Message[RequestIdHeader].size() > MaxTokenBytes)
    return "the request ID is too long";
  return {};
}

} // namespace

struct Session::State {
  Phase CurrentPhase = Phase::Reading;
  std::string Input; ///< Unparsed bytes; at most one read of the stream plus MaxHeadBytes.
  std::unique_ptr<Parser> ActiveParser;
  std::optional<RequestHead> Head;
  bool ContinueSent = false;
  bool CallerClosed = false;
  bool CloseAfterResponse = false;
  bool ResponseStarted = false;
  bool ResponseChunked = false;
  bool ResponseHasBody = true;
  bool ResponseCloses = false;
  std::vector<SessionEvent> Events;
  std::string Output;
  std::size_t OutputStart = 0; ///< Bytes of Output before this index were taken.

  void write(std::string_view Text) { Output.append(Text); }

  template <class Buffers> void writeBuffers(const Buffers &Parts) {
    for (const auto Part : beast::buffers_range_ref(Parts))
      Output.append(static_cast<const char *>(Part.data()), Part.size());
  }

  void finish() {
    CurrentPhase = Phase::Finished;
    Input.clear();
    Input.shrink_to_fit();
    ActiveParser.reset();
  }

  void reject(std::string_view Detail) {
    if (CurrentPhase == Phase::StreamingBody) {
      Events.emplace_back(RequestBodyInvalid{});
      CurrentPhase = Phase::AwaitingResponse;
      CloseAfterResponse = true;
      Input.clear();
      return;
    }
    if (!Head)
      Head = RequestHead{};
    CloseAfterResponse = true;
    CurrentPhase = Phase::AwaitingResponse;
    writeResponse(malformedAnswer(Detail));
  }

  /// Runs the parser once. Returns false if it needs more bytes or the request is complete or
  /// rejected.
  bool parseStep() {
    if (!ActiveParser) {
      ActiveParser = std::make_unique<Parser>();
      ActiveParser->header_limit(MaxHeadBytes);
      ActiveParser->body_limit(boost::none);
    }
    // A parser that is not eager stops after the head, so the head is checked before the body.
    ActiveParser->eager(Head.has_value());
    beast::error_code Error;
    const std::size_t Consumed =
        ActiveParser->put(asio::const_buffer(Input.data(), Input.size()), Error);
    Input.erase(0, Consumed);
    const bool NeedsMore = Error == http::error::need_more;
    if (Error && !NeedsMore) {
      reject(Error.message());
      return false;
    }
    if (NeedsMore && Input.size() > MaxHeadBytes) {
      reject("a line of the request is too long");
      return false;
    }
    if (ActiveParser->is_header_done() && !Head && !acceptHead())
      return false;
    return Consumed > 0 && !ActiveParser->is_done();
  }

  bool acceptHead() {
    const std::string_view Reason = rejectionReason(*ActiveParser);
    if (!Reason.empty()) {
      reject(Reason);
      return false;
    }
    Head = headOf(*ActiveParser);
    const bool ExpectsContinue =
        beast::iequals(ActiveParser->get()[http::field::expect], "100-continue");
    ContinueSent =
        ExpectsContinue && Head->Version == 11 && !ActiveParser->is_done() && Input.empty();
    if (ContinueSent)
      write(ContinueResponse);
    return true;
  }

  void reportRequest() {
    std::string &Body = ActiveParser->get().body();
    const bool Complete = ActiveParser->is_done();
    const bool BufferFull = Body.size() >= MaxBufferedBody;
    if (CurrentPhase == Phase::Reading && (Complete || BufferFull)) {
      Events.emplace_back(RequestReady{*Head, std::move(Body), Complete});
      Body.clear();
      CurrentPhase = Complete ? Phase::AwaitingResponse : Phase::StreamingBody;
    } else if (CurrentPhase == Phase::StreamingBody && (Complete || !Body.empty())) {
      Events.emplace_back(BodyPart{std::move(Body), Complete});
      Body.clear();
      CurrentPhase = Complete ? Phase::AwaitingResponse : Phase::StreamingBody;
    }
    if (CurrentPhase == Phase::AwaitingResponse)
      ActiveParser.reset();
  }

  void parse() {
    while (CurrentPhase == Phase::Reading || CurrentPhase == Phase::StreamingBody) {
      if (Input.empty())
        break;
      const bool Progress = parseStep();
      if (ActiveParser && Head &&
          (CurrentPhase == Phase::Reading || CurrentPhase == Phase::StreamingBody))
        reportRequest();
      if (!Progress)
        break;
    }
    const bool ReadsRequest =
        CurrentPhase == Phase::Reading || CurrentPhase == Phase::StreamingBody;
    if (CallerClosed && ReadsRequest)
      endInput();
  }

  /// Ends the session after the last byte from the caller. An incomplete request is rejected.
  void endInput() {
    const bool Incomplete = ActiveParser != nullptr && (Head || !Input.empty());
    if (CurrentPhase == Phase::StreamingBody || Incomplete)
      reject("the request ended before its body was complete");
    else
      finish();
  }

  void startResponse(const ResponseHead &Response) {
    const bool IsHeadRequest = Head && Head->Method == "HEAD";
    const bool IsHttp10 = Head && Head->Version == 10;
    ResponseStarted = true;
    ResponseHasBody = !IsHeadRequest && !statusForbidsBody(Response.Status);
    ResponseChunked = ResponseHasBody && !Response.Length && !IsHttp10;
    const bool BodyUntilClose = ResponseHasBody && !Response.Length && IsHttp10;
    const bool BodyUnread = CurrentPhase == Phase::StreamingBody;
    ResponseCloses =
        CloseAfterResponse || BodyUntilClose || BodyUnread || !Head || !Head->KeepAlive;
    http::response<http::empty_body> Message;
    Message.version(IsHttp10 ? 10 : 11);
    Message.result(Response.Status);
    if (!Response.Reason.empty())
      Message.reason(Response.Reason);
    for (const auto &[Name, Value] : Response.Headers)
      Message.insert(Name, Value);
    Message.erase(http::field::content_length);
    if (Response.Length && !statusForbidsBody(Response.Status))
      Message.set(http::field::content_length, std::to_string(*Response.Length));
    if (ResponseChunked)
      Message.set(http::field::transfer_encoding, "chunked");
    Message.keep_alive(!ResponseCloses);
    writeHead(Message);
  }

  void writeHead(http::response<http::empty_body> &Message) {
    http::response_serializer<http::empty_body> Serializer(Message);
    Serializer.split(true);
    beast::error_code Error;
    Serializer.next(Error, [&](beast::error_code &, const auto &Parts) {
      writeBuffers(Parts);
      Serializer.consume(beast::buffer_bytes(Parts));
    });
  }

  void writeBody(std::span<const std::uint8_t> Bytes) {
    if (!ResponseHasBody || Bytes.empty())
      return;
    const asio::const_buffer Data(Bytes.data(), Bytes.size());
    if (ResponseChunked)
      writeBuffers(http::make_chunk(Data));
    else
      writeBuffers(Data);
  }

  void finishResponse() {
    if (ResponseChunked)
      writeBuffers(http::make_chunk_last());
    const bool CloseConnection = ResponseCloses;
    Head.reset();
    ActiveParser.reset();
    ContinueSent = false;
    ResponseStarted = false;
    ResponseChunked = false;
    ResponseCloses = false;
    if (CloseConnection) {
      finish();
      return;
    }
    CurrentPhase = Phase::Reading;
    parse();
  }

  void writeResponse(const Answer &Response) {
    startResponse({Response.Status, {}, Response.Headers, Response.Body.size()});
    writeBody({reinterpret_cast<const std::uint8_t *>(Response.Body.data()), Response.Body.size()});
    finishResponse();
  }
};

Session::Session() : Impl(std::make_unique<State>()) {}
Session::~Session() = default;
Session::Session(Session &&) noexcept = default;
Session &Session::operator=(Session &&) noexcept = default;

bool Session::wantsBytes() const noexcept { return Impl->CurrentPhase != Phase::AwaitingResponse; }

bool Session::idle() const noexcept {
  return Impl->CurrentPhase == Phase::Reading && !Impl->Head && Impl->Input.empty() &&
         !Impl->ActiveParser;
}

bool Session::awaitsResponse() const noexcept {
  return Impl->CurrentPhase == Phase::AwaitingResponse ||
         Impl->CurrentPhase == Phase::StreamingBody;
}

bool Session::responseStarted() const noexcept { return Impl->ResponseStarted; }

bool Session::finished() const noexcept { return Impl->CurrentPhase == Phase::Finished; }

std::size_t Session::pendingOutput() const noexcept {
  return Impl->Output.size() - Impl->OutputStart;
}

std::size_t Session::memoryBytes() const noexcept {
  const std::size_t Body = Impl->ActiveParser ? Impl->ActiveParser->get().body().capacity() : 0;
  return Impl->Input.capacity() + Impl->Output.capacity() + Body;
}

void Session::onBytes(std::span<const std::uint8_t> Bytes) {
  if (Impl->CurrentPhase == Phase::Finished || Bytes.empty())
    return;
  Impl->Input.append(reinterpret_cast<const char *>(Bytes.data()), Bytes.size());
  Impl->parse();
}

void Session::onCallerClosed() {
  if (Impl->CallerClosed)
    return;
  Impl->CallerClosed = true;
  Impl->Events.emplace_back(CallerClosed{});
  Impl->parse();
}

std::vector<SessionEvent> Session::takeEvents() { return std::exchange(Impl->Events, {}); }

void Session::closeAfterResponse() noexcept { Impl->CloseAfterResponse = true; }

void Session::close() noexcept { Impl->finish(); }

void Session::respond(const Answer &Response) { Impl->writeResponse(Response); }

void Session::startResponse(const ResponseHead &Head) { Impl->startResponse(Head); }

void Session::writeResponseBody(std::span<const std::uint8_t> Bytes) { Impl->writeBody(Bytes); }

void Session::finishResponse() { Impl->finishResponse(); }

std::vector<std::uint8_t> Session::takeOutput(std::size_t Limit) {
  const std::size_t Count = std::min(Limit, pendingOutput());
  const auto *First =
      reinterpret_cast<const std::uint8_t *>(Impl->Output.data()) + Impl->OutputStart;
  std::vector<std::uint8_t> Bytes(First, First + Count);
  Impl->OutputStart += Count;
  if (Impl->OutputStart == Impl->Output.size()) {
    Impl->Output.clear();
    Impl->Output.shrink_to_fit();
    Impl->OutputStart = 0;
  }
  return Bytes;
}

} // namespace galenarelay::request
