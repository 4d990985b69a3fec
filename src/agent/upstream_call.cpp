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
/// Largest response head; a larger one breaks the call.
constexpr std::size_t MaxResponseHeadBytes = 32 * 1024;

using Parser = http::response_parser<http::buffer_body>;

std::chrono::steady_clock::time_point toSteady(TimePoint At) {
  return std::chrono::steady_clock::time_point(At.time_since_epoch());
}

/// Writes the request line and the headers.
std::string serializeHead(const UpstreamRequest &Request, TimePoint Now) {
  http::request<http::empty_body> Message;
  Message.method_string(Request.Head.Method);
  Message.target(Request.Head.Target);
  Message.version(11);
  for (const auto &[Name, Value] : Request.Head.Headers)
    Message.insert(Name, Value);
  Message.erase(request::DeadlineHeader);
  // Without a complete body the deadline has not begun to run.
  if (Request.Complete) {
    const auto Left = common::wholeMilliseconds(Request.Deadline - Now);
    Message.set(request::DeadlineHeader, std::to_string(std::max<std::int64_t>(Left, 0)));
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
  Serializer.next(Failure, [&](beast::error_code &, const auto &Parts) {
    for (const auto Part : beast::buffers_range_ref(Parts))
      Text.append(static_cast<const char *>(Part.data()), Part.size());
    Serializer.consume(beast::buffer_bytes(Parts));
  });
  return Text;
}

/// Frames a part of the body as the head announced it.
void appendBody(std::string &Output, std::string_view Bytes, bool Chunked, bool Last) {
  const auto Append = [&](const auto &Parts) {
    for (const auto Part : beast::buffers_range_ref(Parts))
      Output.append(static_cast<const char *>(Part.data()), Part.size());
  };
  const asio::const_buffer Data(Bytes.data(), Bytes.size());
  if (!Chunked)
    Output.append(Bytes);
  else if (!Bytes.empty())
    Append(http::make_chunk(Data));
  if (Chunked && Last)
    Append(http::make_chunk_last());
}

ResponseHead headOf(const Parser &Parsed) {
  const auto &Message = Parsed.get();
  ResponseHead Head;
  Head.Status = Message.result_int();
  Head.Reason = std::string(Message.reason());
  if (const auto Length = Parsed.content_length())
    Head.Length = *Length;
  for (const auto &Field : Message)
    Head.Headers.emplace_back(std::string(Field.name_string()), std::string(Field.value()));
  request::removeHopHeaders(Head.Headers);
  return Head;
}

} // namespace

struct UpstreamCall::State {
  State(asio::io_context &Io, Endpoint Upstream, UpstreamRequest Wanted, CallEvents Events)
      : Upstream(Upstream), Wanted(std::move(Wanted)), Events(std::move(Events)), Socket(Io),
        DeadlineTimer(Io), BodySignal(Io), ReadSignal(Io) {}

  Endpoint Upstream;
  UpstreamRequest Wanted;
  CallEvents Events;
  tcp::socket Socket;
  asio::steady_timer DeadlineTimer;
  asio::steady_timer BodySignal; ///< Cancelled when there is more body to send.
  asio::steady_timer ReadSignal; ///< Cancelled when reading resumes.
  beast::flat_buffer Buffer;
  std::string Outgoing;
  std::size_t Writing = 0; ///< Bytes handed to the socket and not yet taken by it.
  bool LastQueued = false;
  bool Sent = false;
  bool Paused = false;
  bool Feed = false;
  bool Done = false;

  asio::awaitable<void> run(std::shared_ptr<UpstreamCall> Self);
  asio::awaitable<void> writeLoop(std::shared_ptr<UpstreamCall> Self);
  asio::awaitable<void> readLoop(const std::shared_ptr<UpstreamCall> &Self);
  asio::awaitable<bool> readHead(std::optional<Parser> &Parsed);
  asio::awaitable<void> readBody(const std::shared_ptr<UpstreamCall> &Self, Parser &Parsed);
  void armDeadline(std::weak_ptr<UpstreamCall> Self, TimePoint At);
  void close();
  void end(CallResult How, std::string Detail);
};

void UpstreamCall::State::close() {
  Done = true;
  beast::error_code Ignored;
  Socket.close(Ignored);
  DeadlineTimer.cancel();
  BodySignal.cancel();
  ReadSignal.cancel();
}

void UpstreamCall::State::end(CallResult How, std::string Detail) {
  if (Done)
    return;
  close();
  Events.OnEnd(How, std::move(Detail));
}

void UpstreamCall::State::armDeadline(std::weak_ptr<UpstreamCall> Self, TimePoint At) {
  DeadlineTimer.expires_at(toSteady(At));
  DeadlineTimer.async_wait([Self = std::move(Self)](const beast::error_code &Failure) {
    const auto Held = Self.lock();
    if (Failure || !Held)
      return;
    State &Call = *Held->Impl;
    Call.end(Call.Sent ? CallResult::TimedOut : CallResult::NothingSent, "deadline passed");
  });
}

asio::awaitable<void> UpstreamCall::State::run(std::shared_ptr<UpstreamCall> Self) {
  if (Done)
    co_return;
  const TimePoint ConnectEnd = common::steadyNow() + ConnectTimeout;
  armDeadline(Self, Wanted.Complete ? std::min(ConnectEnd, Wanted.Deadline) : ConnectEnd);
  const tcp::endpoint Remote{asio::ip::address_v4(Upstream.Address), Upstream.Port};
  const auto [Failure] = co_await Socket.async_connect(Remote, AsTuple);
  if (Done)
    co_return;
  if (Failure) {
    end(CallResult::NothingSent, Failure.message());
    co_return;
  }
  DeadlineTimer.cancel();
  beast::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  if (Wanted.Complete)
    armDeadline(Self, Wanted.Deadline);
  Sent = true;
  asio::co_spawn(Socket.get_executor(), writeLoop(Self), asio::detached);
  co_await readLoop(Self);
}

asio::awaitable<void> UpstreamCall::State::writeLoop(std::shared_ptr<UpstreamCall> Self) {
  // Reading decides how the call ends: an upstream may answer and close before it read the body.
  while (!Done) {
    if (Outgoing.empty() && LastQueued)
      break;
    if (Outgoing.empty()) {
      BodySignal.expires_at(std::chrono::steady_clock::time_point::max());
      co_await BodySignal.async_wait(AsTuple);
      continue;
    }
    const std::string Block = std::exchange(Outgoing, {});
    Writing = Block.size();
    const auto [Failure, Size] = co_await asio::async_write(Socket, asio::buffer(Block), AsTuple);
    Writing = 0;
    if (Failure || Done)
      break;
    const bool Streams = !Wanted.Complete;
    if (Streams && LastQueued && Outgoing.empty())
      armDeadline(Self, common::steadyNow() + Wanted.Allowance);
    if (Streams)
      Events.OnBodySent();
  }
}

asio::awaitable<bool> UpstreamCall::State::readHead(std::optional<Parser> &Parsed) {
  while (true) {
    Parsed.emplace();
    Parsed->header_limit(MaxResponseHeadBytes);
    Parsed->body_limit(boost::none);
    Parsed->skip(Wanted.Head.Method == "HEAD");
    const auto [Failure, Size] = co_await http::async_read_header(Socket, Buffer, *Parsed, AsTuple);
    if (Done)
      co_return false;
    if (Failure) {
      end(CallResult::Broken, Failure.message());
      co_return false;
    }
    const unsigned Status = Parsed->get().result_int();
    const bool Interim = Status >= 100 && Status < 200 && Status != 101;
    if (!Interim)
      co_return true;
  }
}

asio::awaitable<void> UpstreamCall::State::readLoop(const std::shared_ptr<UpstreamCall> &Self) {
  std::optional<Parser> Parsed;
  if (!co_await readHead(Parsed))
    co_return;
  const auto &Message = Parsed->get();
  const bool Shed = Message.result_int() == 503 && Message[request::NotRunHeader] == "1";
  if (Shed) {
    end(CallResult::Shed, std::string(Message[http::field::retry_after]));
    co_return;
  }
  Feed = Parsed->chunked() && !Parsed->is_done();
  DeadlineTimer.cancel();
  const ResponseHead Head = headOf(*Parsed);
  Events.OnHead(Head, Feed);
  co_await readBody(Self, *Parsed);
}

asio::awaitable<void> UpstreamCall::State::readBody(const std::shared_ptr<UpstreamCall> &Self,
                                                    Parser &Parsed) {
  std::array<std::uint8_t, ResponseBlockBytes> Block{};
  while (!Done && !Parsed.is_done()) {
    if (Paused) {
      ReadSignal.expires_at(std::chrono::steady_clock::time_point::max());
      co_await ReadSignal.async_wait(AsTuple);
      continue;
    }
    Parsed.get().body().data = Block.data();
    Parsed.get().body().size = Block.size();
    // Once the head has arrived the caller sets the pace, so the time without progress is limited
    // instead of the whole transfer. A feed may be silent for as long as it likes.
    if (!Feed)
      armDeadline(Self, common::steadyNow() + Wanted.Allowance);
    const auto [Failure, Size] = co_await http::async_read_some(Socket, Buffer, Parsed, AsTuple);
    if (Done)
      co_return;
    DeadlineTimer.cancel();
    const std::size_t Count = Block.size() - Parsed.get().body().size;
    if (Count > 0)
      Events.OnData({Block.data(), Count});
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
                                                  UpstreamRequest Request, CallEvents Events) {
  auto Prepared = std::make_unique<State>(Io, Upstream, std::move(Request), std::move(Events));
  State &Call = *Prepared;
  Call.Outgoing = serializeHead(Call.Wanted, common::steadyNow());
  Call.LastQueued = Call.Wanted.Complete;
  appendBody(Call.Outgoing, Call.Wanted.Body, Call.Wanted.Head.Chunked, Call.LastQueued);
  Call.Wanted.Body = {};
  const std::shared_ptr<UpstreamCall> Started(new UpstreamCall(std::move(Prepared)));
  asio::post(Io, [Started] {
    State &Running = *Started->Impl;
    asio::co_spawn(Running.Socket.get_executor(), Running.run(Started), asio::detached);
  });
  return Started;
}

std::size_t UpstreamCall::bodyBacklog() const noexcept {
  return Impl->Outgoing.size() + Impl->Writing;
}

void UpstreamCall::sendBody(std::string Bytes, bool Last) {
  if (Impl->Done || Impl->LastQueued)
    return;
  Impl->LastQueued = Last;
  appendBody(Impl->Outgoing, Bytes, Impl->Wanted.Head.Chunked, Last);
  Impl->BodySignal.cancel();
}

void UpstreamCall::pause() noexcept { Impl->Paused = true; }

void UpstreamCall::resume() {
  Impl->Paused = false;
  Impl->ReadSignal.cancel();
}

void UpstreamCall::cancel() { Impl->close(); }

} // namespace galenarelay::agent
