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

/// Appends body bytes to a string. Unlike http::string_body it reserves nothing for the declared
/// length, which a caller may state as large as it likes.
struct PartBody {
  // NOLINTBEGIN(readability-identifier-naming): names required by the Body concept.
  using value_type = std::string;
  class reader {
  public:
    template <bool IsRequest, class Fields>
    reader(http::header<IsRequest, Fields> &, value_type &Text) : Text(Text) {}
    void init(const boost::optional<std::uint64_t> &, beast::error_code &Failure) { Failure = {}; }
    template <class Buffers> std::size_t put(const Buffers &Parts, beast::error_code &Failure) {
      Failure = {};
      for (const auto Part : beast::buffers_range_ref(Parts))
        Text.append(static_cast<const char *>(Part.data()), Part.size());
      return beast::buffer_bytes(Parts);
    }
    void finish(beast::error_code &Failure) { Failure = {}; }

  private:
    value_type &Text;
  };
  // NOLINTEND(readability-identifier-naming)
};

using Parser = http::request_parser<PartBody>;

enum class Phase : std::uint8_t {
  Reading,   ///< Between requests, or a request is being read that was not reported yet.
  Streaming, ///< The request was reported and the rest of its body is being read.
  Answering, ///< The request is complete and its answer is due.
  Finished,  ///< No further request is read.
};

constexpr std::string_view ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";

bool hasNoBody(unsigned Status) noexcept { return Status < 200 || Status == 204 || Status == 304; }

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

/// Why a parsed head can't be served; empty if it can.
std::string_view refusalOf(const Parser &Parsed) {
  const auto &Message = Parsed.get();
  if (Message.version() != 10 && Message.version() != 11)
    return "the HTTP version is not supported";
  if (Message.version() == 11 && Message.count(http::field::host) != 1)
    return "exactly one Host header is required";
  if (Message.method() == http::verb::connect)
    return "CONNECT is not supported";
  const bool OtherCoding = Message.count(http::field::transfer_encoding) != 0 && !Parsed.chunked();
  if (OtherCoding)
    return "the transfer coding is not supported";
  if (Message[IdempotencyKeyHeader].size() > MaxTokenBytes)
    return "the Idempotency-Key is too long";
  if (Message[RequestIdHeader].size() > MaxTokenBytes)
    return "the request ID is too long";
  return {};
}

} // namespace

struct Session::State {
  Phase Now = Phase::Reading;
  std::string Input; ///< Bytes not parsed yet; at most one read of the stream plus MaxHeadBytes.
  std::unique_ptr<Parser> Current;
  std::optional<RequestHead> Head;
  bool ContinueSent = false;
  bool CallerEnded = false;
  bool CloseNext = false;
  bool AnswerStarted = false;
  bool AnswerChunked = false;
  bool AnswerHasBody = true;
  bool AnswerCloses = false;
  std::vector<SessionEvent> Events;
  std::string Output;
  std::size_t OutputStart = 0; ///< Output before this position was taken.

  void write(std::string_view Text) { Output.append(Text); }

  template <class Buffers> void writeBuffers(const Buffers &Parts) {
    for (const auto Part : beast::buffers_range_ref(Parts))
      Output.append(static_cast<const char *>(Part.data()), Part.size());
  }

  void finish() {
    Now = Phase::Finished;
    Input.clear();
    Input.shrink_to_fit();
    Current.reset();
  }

  void refuse(std::string_view Detail) {
    if (Now == Phase::Streaming) {
      Events.emplace_back(RequestBroken{});
      Now = Phase::Answering;
      CloseNext = true;
      Input.clear();
      return;
    }
    if (!Head)
      Head = RequestHead{};
    CloseNext = true;
    Now = Phase::Answering;
    answerWhole(malformedAnswer(Detail));
  }

  /// Parses one step; returns false if more bytes are needed or the request is complete.
  bool parseStep() {
    if (!Current) {
      Current = std::make_unique<Parser>();
      Current->header_limit(MaxHeadBytes);
      Current->body_limit(boost::none);
    }
    // Without eager parsing the parser stops after the head, where the head is checked.
    Current->eager(Head.has_value());
    beast::error_code Failure;
    const std::size_t Used = Current->put(asio::const_buffer(Input.data(), Input.size()), Failure);
    Input.erase(0, Used);
    const bool NeedsMore = Failure == http::error::need_more;
    if (Failure && !NeedsMore) {
      refuse(Failure.message());
      return false;
    }
    if (NeedsMore && Input.size() > MaxHeadBytes) {
      refuse("a line of the request is too long");
      return false;
    }
    if (Current->is_header_done() && !Head && !acceptHead())
      return false;
    return Used > 0 && !Current->is_done();
  }

  bool acceptHead() {
    const std::string_view Refusal = refusalOf(*Current);
    if (!Refusal.empty()) {
      refuse(Refusal);
      return false;
    }
    Head = headOf(*Current);
    const bool Expects = beast::iequals(Current->get()[http::field::expect], "100-continue");
    ContinueSent = Expects && Head->Version == 11 && !Current->is_done() && Input.empty();
    if (ContinueSent)
      write(ContinueLine);
    return true;
  }

  void reportRequest() {
    std::string &Body = Current->get().body();
    const bool Complete = Current->is_done();
    const bool Full = Body.size() >= MaxBufferedBody;
    if (Now == Phase::Reading && (Complete || Full)) {
      Events.emplace_back(RequestReady{*Head, std::move(Body), Complete});
      Body.clear();
      Now = Complete ? Phase::Answering : Phase::Streaming;
    } else if (Now == Phase::Streaming && (Complete || !Body.empty())) {
      Events.emplace_back(BodyPart{std::move(Body), Complete});
      Body.clear();
      Now = Complete ? Phase::Answering : Phase::Streaming;
    }
    if (Now == Phase::Answering)
      Current.reset();
  }

  void parse() {
    while (Now == Phase::Reading || Now == Phase::Streaming) {
      if (Input.empty())
        break;
      const bool Progress = parseStep();
      if (Current && Head && (Now == Phase::Reading || Now == Phase::Streaming))
        reportRequest();
      if (!Progress)
        break;
    }
    const bool Reads = Now == Phase::Reading || Now == Phase::Streaming;
    if (CallerEnded && Reads)
      endInput();
  }

  /// The caller sends no more and the bytes left don't complete a request.
  void endInput() {
    const bool Partial = Current != nullptr && (Head || !Input.empty());
    if (Now == Phase::Streaming || Partial)
      refuse("the request ended before its body was complete");
    else
      finish();
  }

  void startAnswer(const ResponseHead &Answered) {
    const bool IsHead = Head && Head->Method == "HEAD";
    const bool Old = Head && Head->Version == 10;
    AnswerStarted = true;
    AnswerHasBody = !IsHead && !hasNoBody(Answered.Status);
    AnswerChunked = AnswerHasBody && !Answered.Length && !Old;
    const bool UntilClose = AnswerHasBody && !Answered.Length && Old;
    const bool BodyUnread = Now == Phase::Streaming;
    AnswerCloses = CloseNext || UntilClose || BodyUnread || !Head || !Head->KeepAlive;
    http::response<http::empty_body> Message;
    Message.version(Old ? 10 : 11);
    Message.result(Answered.Status);
    if (!Answered.Reason.empty())
      Message.reason(Answered.Reason);
    for (const auto &[Name, Value] : Answered.Headers)
      Message.insert(Name, Value);
    Message.erase(http::field::content_length);
    if (Answered.Length && !hasNoBody(Answered.Status))
      Message.set(http::field::content_length, std::to_string(*Answered.Length));
    if (AnswerChunked)
      Message.set(http::field::transfer_encoding, "chunked");
    Message.keep_alive(!AnswerCloses);
    writeHead(Message);
  }

  void writeHead(http::response<http::empty_body> &Message) {
    http::response_serializer<http::empty_body> Serializer(Message);
    Serializer.split(true);
    beast::error_code Failure;
    Serializer.next(Failure, [&](beast::error_code &, const auto &Parts) {
      writeBuffers(Parts);
      Serializer.consume(beast::buffer_bytes(Parts));
    });
  }

  void answerData(std::span<const std::uint8_t> Bytes) {
    if (!AnswerHasBody || Bytes.empty())
      return;
    const asio::const_buffer Data(Bytes.data(), Bytes.size());
    if (AnswerChunked)
      writeBuffers(http::make_chunk(Data));
    else
      writeBuffers(Data);
  }

  void finishAnswer() {
    if (AnswerChunked)
      writeBuffers(http::make_chunk_last());
    const bool Closes = AnswerCloses;
    Head.reset();
    Current.reset();
    ContinueSent = false;
    AnswerStarted = false;
    AnswerChunked = false;
    AnswerCloses = false;
    if (Closes) {
      finish();
      return;
    }
    Now = Phase::Reading;
    parse();
  }

  void answerWhole(const Answer &Whole) {
    startAnswer({Whole.Status, {}, Whole.Headers, Whole.Body.size()});
    answerData({reinterpret_cast<const std::uint8_t *>(Whole.Body.data()), Whole.Body.size()});
    finishAnswer();
  }
};

Session::Session() : Impl(std::make_unique<State>()) {}
Session::~Session() = default;
Session::Session(Session &&) noexcept = default;
Session &Session::operator=(Session &&) noexcept = default;

bool Session::wantsBytes() const noexcept { return Impl->Now != Phase::Answering; }

bool Session::idle() const noexcept {
  return Impl->Now == Phase::Reading && !Impl->Head && Impl->Input.empty() && !Impl->Current;
}

bool Session::answerDue() const noexcept {
  return Impl->Now == Phase::Answering || Impl->Now == Phase::Streaming;
}

bool Session::answerStarted() const noexcept { return Impl->AnswerStarted; }

bool Session::finished() const noexcept { return Impl->Now == Phase::Finished; }

std::size_t Session::pendingOutput() const noexcept {
  return Impl->Output.size() - Impl->OutputStart;
}

std::size_t Session::memoryBytes() const noexcept {
  const std::size_t Body = Impl->Current ? Impl->Current->get().body().capacity() : 0;
  return Impl->Input.capacity() + Impl->Output.capacity() + Body;
}

void Session::onBytes(std::span<const std::uint8_t> Bytes) {
  if (Impl->Now == Phase::Finished || Bytes.empty())
    return;
  Impl->Input.append(reinterpret_cast<const char *>(Bytes.data()), Bytes.size());
  Impl->parse();
}

void Session::onCallerFinished() {
  if (Impl->CallerEnded)
    return;
  Impl->CallerEnded = true;
  Impl->Events.emplace_back(CallerFinished{});
  Impl->parse();
}

std::vector<SessionEvent> Session::takeEvents() { return std::exchange(Impl->Events, {}); }

void Session::closeAfterAnswer() noexcept { Impl->CloseNext = true; }

void Session::close() noexcept { Impl->finish(); }

void Session::answer(const Answer &Whole) { Impl->answerWhole(Whole); }

void Session::startAnswer(const ResponseHead &Head) { Impl->startAnswer(Head); }

void Session::answerData(std::span<const std::uint8_t> Bytes) { Impl->answerData(Bytes); }

void Session::finishAnswer() { Impl->finishAnswer(); }

std::vector<std::uint8_t> Session::takeOutput(std::size_t Limit) {
  const std::size_t Count = std::min(Limit, pendingOutput());
  const auto *First =
      reinterpret_cast<const std::uint8_t *>(Impl->Output.data()) + Impl->OutputStart;
  std::vector<std::uint8_t> Taken(First, First + Count);
  Impl->OutputStart += Count;
  if (Impl->OutputStart == Impl->Output.size()) {
    Impl->Output.clear();
    Impl->Output.shrink_to_fit();
    Impl->OutputStart = 0;
  }
  return Taken;
}

} // namespace galenarelay::request
