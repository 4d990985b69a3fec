#include "galenarelay/agent/upstream_call.h"

#include "galenarelay/request/hop_headers.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace galenarelay::agent {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using common::Endpoint;
using common::TimePoint;
using request::ResponseHead;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// Limit of a response head; a larger one ends the call as Broken.
constexpr std::size_t MaxResponseHeadBytes = 32 * 1024;

using Parser = http::response_parser<http::buffer_body>;

std::chrono::steady_clock::time_point toSteady(TimePoint At) {
  return std::chrono::steady_clock::time_point(At.time_since_epoch());
}

/// Returns the request line and the headers as sent to the upstream.
std::string serializeHead(const UpstreamRequest &Request, TimePoint Now) {
  http::request<http::empty_body> Message;
  Message.method_string(Request.Head.Method);
  Message.target(Request.Head.Target);
  Message.version(11);
  for (const auto &[Name, Value] : Request.Head.Headers)
    Message.insert(Name, Value);
  Message.erase(request::DeadlineHeader);
  // The time for the response to a streamed body starts only with its last part.
  if (Request.Complete) {
    const auto RemainingMs = common::wholeMilliseconds(Request.Deadline - Now);
    Message.set(request::DeadlineHeader, std::to_string(std::max<std::int64_t>(RemainingMs, 0)));
  }
  if (Request.Head.Length)
    Message.set(http::field::content_length, std::to_string(*Request.Head.Length));
  else if (Request.Head.Chunked)
    Message.set(http::field::transfer_encoding, "chunked");
  Message.set(http::field::connection, "close");
  std::string Text;
  http::request_serializer<http::empty_body> Serializer(Message);
  Serializer.split(true);
  beast::error_code Failure;
  Serializer.next(Failure, [&](beast::error_code &, const auto &Buffers) {
    for (const auto Buffer : beast::buffers_range_ref(Buffers))
      Text.append(static_cast<const char *>(Buffer.data()), Buffer.size());
    Serializer.consume(beast::buffer_bytes(Buffers));
  });
  return Text;
}

/// Appends a part of the body, framed as the head announced: as a chunk or as plain bytes.
void appendBody(std::string &Output, std::string_view Bytes, bool Chunked, bool Last) {
  const auto Append = [&](const auto &Buffers) {
    for (const auto Buffer : beast::buffers_range_ref(Buffers))
      Output.append(static_cast<const char *>(Buffer.data()), Buffer.size());
  };
  const asio::const_buffer Data(Bytes.data(), Bytes.size());
  if (!Chunked)
    Output.append(Bytes);
  else if (!Bytes.empty())
    Append(http::make_chunk(Data));
  if (Chunked && Last)
    Append(http::make_chunk_last());
}

ResponseHead headOf(const Parser &ResponseParser) {
  const auto &Message = ResponseParser.get();
  ResponseHead Head;
  Head.Status = Message.result_int();
  Head.Reason = std::string(Message.reason());
  if (const auto Length = ResponseParser.content_length())
    Head.Length = *Length;
  for (const auto &Field : Message)
    Head.Headers.emplace_back(std::string(Field.name_string()), std::string(Field.value()));
  request::removeHopHeaders(Head.Headers);
  return Head;
}

} // namespace

struct UpstreamCall::State {
  State(asio::io_context &Io, Endpoint Upstream, UpstreamRequest Request, UpstreamCallbacks Events)
      : Upstream(Upstream), Request(std::move(Request)), Events(std::move(Events)), Socket(Io),
        DeadlineTimer(Io), BodyReady(Io), ReadResumed(Io) {}

  Endpoint Upstream;
  UpstreamRequest Request;
  UpstreamCallbacks Events;
  tcp::socket Socket;
  asio::steady_timer DeadlineTimer;
  asio::steady_timer BodyReady;   ///< Never expires; cancelled to wake writeLoop() for more body.
  asio::steady_timer ReadResumed; ///< Never expires; cancelled to wake readBody() by resume().
  beast::flat_buffer ReceiveBuffer;
  std::string SendBuffer;
  std::size_t WritingBytes = 0; ///< Size of the write in progress.
  bool LastPartQueued = false;
  bool SendStarted = false;
  bool Paused = false;
  bool Feed = false;
  bool Ended = false;

  asio::awaitable<void> run(std::shared_ptr<UpstreamCall> Self);
  asio::awaitable<void> writeLoop(std::shared_ptr<UpstreamCall> Self);
  asio::awaitable<void> readLoop(const std::shared_ptr<UpstreamCall> &Self);
  asio::awaitable<bool> readHead(std::optional<Parser> &ResponseParser);
  asio::awaitable<void> readBody(const std::shared_ptr<UpstreamCall> &Self, Parser &ResponseParser);
  void armDeadline(std::weak_ptr<UpstreamCall> Self, TimePoint At);
  void close();
  void end(CallResult Result, std::string Detail);
};

void UpstreamCall::State::close() {
  Ended = true;
  beast::error_code Ignored;
  Socket.close(Ignored);
  DeadlineTimer.cancel();
  BodyReady.cancel();
  ReadResumed.cancel();
}

void UpstreamCall::State::end(CallResult Result, std::string Detail) {
  if (Ended)
    return;
  close();
  Events.OnEnd(Result, std::move(Detail));
}

void UpstreamCall::State::armDeadline(std::weak_ptr<UpstreamCall> Self, TimePoint At) {
  DeadlineTimer.expires_at(toSteady(At));
  DeadlineTimer.async_wait([Self = std::move(Self)](const beast::error_code &Failure) {
    const auto Owner = Self.lock();
    if (Failure || !Owner)
      return;
    State &Call = *Owner->Impl;
    Call.end(Call.SendStarted ? CallResult::TimedOut : CallResult::NothingSent, "deadline passed");
  });
}

asio::awaitable<void> UpstreamCall::State::run(std::shared_ptr<UpstreamCall> Self) {
  if (Ended)
    co_return;
  const TimePoint ConnectEnd = common::steadyNow() + ConnectTimeout;
  armDeadline(Self, Request.Complete ? std::min(ConnectEnd, Request.Deadline) : ConnectEnd);
  const tcp::endpoint Remote{asio::ip::address_v4(Upstream.Address), Upstream.Port};
  const auto [Failure] = co_await Socket.async_connect(Remote, AsTuple);
  if (Ended)
    co_return;
  if (Failure) {
    end(CallResult::NothingSent, Failure.message());
    co_return;
  }
  DeadlineTimer.cancel();
  beast::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  if (Request.Complete)
    armDeadline(Self, Request.Deadline);
  SendStarted = true;
  asio::co_spawn(Socket.get_executor(), writeLoop(Self), asio::detached);
  co_await readLoop(Self);
}

asio::awaitable<void> UpstreamCall::State::writeLoop(std::shared_ptr<UpstreamCall> Self) {
  // A failed write doesn't end the call, readLoop() decides how it ends: the upstream may answer
  // and close the connection before it has read the whole body.
  while (!Ended) {
    if (SendBuffer.empty() && LastPartQueued)
      break;
    if (SendBuffer.empty()) {
      BodyReady.expires_at(std::chrono::steady_clock::time_point::max());
      co_await BodyReady.async_wait(AsTuple);
      continue;
    }
    const std::string Block = std::exchange(SendBuffer, {});
    WritingBytes = Block.size();
    const auto [Failure, Size] = co_await asio::async_write(Socket, asio::buffer(Block), AsTuple);
    WritingBytes = 0;
    if (Failure || Ended)
      break;
    const bool StreamsBody = !Request.Complete;
    if (StreamsBody && LastPartQueued && SendBuffer.empty())
      armDeadline(Self, common::steadyNow() + Request.Timeout);
    if (StreamsBody)
      Events.OnBodySent();
  }
}

asio::awaitable<bool> UpstreamCall::State::readHead(std::optional<Parser> &ResponseParser) {
  while (true) {
    ResponseParser.emplace();
    ResponseParser->header_limit(MaxResponseHeadBytes);
    ResponseParser->body_limit(boost::none);
    ResponseParser->skip(Request.Head.Method == "HEAD");
    const auto [Failure, Size] =
        co_await http::async_read_header(Socket, ReceiveBuffer, *ResponseParser, AsTuple);
    if (Ended)
      co_return false;
    if (Failure) {
      end(CallResult::Broken, Failure.message());
      co_return false;
    }
    const unsigned Status = ResponseParser->get().result_int();
    const bool Interim = Status >= 100 && Status < 200 && Status != 101;
    if (!Interim)
      co_return true;
  }
}

asio::awaitable<void> UpstreamCall::State::readLoop(const std::shared_ptr<UpstreamCall> &Self) {
  std::optional<Parser> ResponseParser;
  if (!co_await readHead(ResponseParser))
    co_return;
  const auto &Message = ResponseParser->get();
  const bool Shed = Message.result_int() == 503 && Message[request::NotRunHeader] == "1";
  if (Shed) {
    end(CallResult::Shed, std::string(Message[http::field::retry_after]));
    co_return;
  }
  Feed = ResponseParser->chunked() && !ResponseParser->is_done();
  DeadlineTimer.cancel();
  const ResponseHead Head = headOf(*ResponseParser);
  Events.OnHead(Head, Feed);
  co_await readBody(Self, *ResponseParser);
}

asio::awaitable<void> UpstreamCall::State::readBody(const std::shared_ptr<UpstreamCall> &Self,
                                                    Parser &ResponseParser) {
  std::array<std::uint8_t, ResponseBlockBytes> Block{};
  while (!Ended && !ResponseParser.is_done()) {
    if (Paused) {
      ReadResumed.expires_at(std::chrono::steady_clock::time_point::max());
      co_await ReadResumed.async_wait(AsTuple);
      continue;
    }
    ResponseParser.get().body().data = Block.data();
    ResponseParser.get().body().size = Block.size();
    // After the head the transfer is as slow as the caller reads, so only the time without progress
    // is limited, not the whole transfer. A feed may stay silent without limit.
    if (!Feed)
      armDeadline(Self, common::steadyNow() + Request.Timeout);
    const auto [Failure, Size] =
        co_await http::async_read_some(Socket, ReceiveBuffer, ResponseParser, AsTuple);
    if (Ended)
      co_return;
    DeadlineTimer.cancel();
    const std::size_t Received = Block.size() - ResponseParser.get().body().size;
    if (Received > 0)
      Events.OnData({Block.data(), Received});
    if (Failure && Failure != http::error::need_buffer) {
      end(CallResult::Broken, Failure.message());
      co_return;
    }
  }
  end(CallResult::Completed, {});
}

UpstreamCall::UpstreamCall(std::unique_ptr<State> Impl) : Impl(std::move(Impl)) {}
UpstreamCall::~UpstreamCall() = default;

std::shared_ptr<UpstreamCall> UpstreamCall::start(asio::io_context &Io, Endpoint Upstream,
                                                  UpstreamRequest Request,
                                                  UpstreamCallbacks Events) {
  auto NewState = std::make_unique<State>(Io, Upstream, std::move(Request), std::move(Events));
  State &Call = *NewState;
  Call.SendBuffer = serializeHead(Call.Request, common::steadyNow());
  Call.LastPartQueued = Call.Request.Complete;
  appendBody(Call.SendBuffer, Call.Request.Body, Call.Request.Head.Chunked, Call.LastPartQueued);
  Call.Request.Body = {};
  const std::shared_ptr<UpstreamCall> NewCall(new UpstreamCall(std::move(NewState)));
  asio::post(Io, [NewCall] {
    State &CallState = *NewCall->Impl;
    asio::co_spawn(CallState.Socket.get_executor(), CallState.run(NewCall), asio::detached);
  });
  return NewCall;
}

std::size_t UpstreamCall::bodyBacklog() const noexcept {
  return Impl->SendBuffer.size() + Impl->WritingBytes;
}

void UpstreamCall::sendBody(std::string Bytes, bool Last) {
  if (Impl->Ended || Impl->LastPartQueued)
    return;
  Impl->LastPartQueued = Last;
  appendBody(Impl->SendBuffer, Bytes, Impl->Request.Head.Chunked, Last);
  Impl->BodyReady.cancel();
}

void UpstreamCall::pause() noexcept { Impl->Paused = true; }

void UpstreamCall::resume() {
  Impl->Paused = false;
  Impl->ReadResumed.cancel();
}

void UpstreamCall::cancel() { Impl->close(); }

} // namespace galenarelay::agent
