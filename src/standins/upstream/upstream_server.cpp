#include "galenarelay/standins/upstream/upstream_server.h"

#include "galenarelay/request/message.h"
#include "galenarelay/standins/upstream/slot_pool.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <list>
#include <map>
#include <string>

namespace galenarelay::standins::upstream {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using common::Duration;
using common::Endpoint;
using common::steadyNow;
using common::TimePoint;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t UploadBlockBytes = 64 * 1024;

using Response = http::response<http::string_body>;
using HeadParser = http::request_parser<http::empty_body>;

std::chrono::steady_clock::time_point toSteady(TimePoint At) {
  return std::chrono::steady_clock::time_point(At.time_since_epoch());
}

/// A number from the query of a target, or the default.
std::uint32_t queryNumber(std::string_view Target, std::string_view Name, std::uint32_t Default) {
  const auto Mark = Target.find('?');
  std::string_view Rest = Mark == std::string_view::npos ? "" : Target.substr(Mark + 1);
  while (!Rest.empty()) {
    const auto Amp = Rest.find('&');
    const std::string_view Pair = Rest.substr(0, Amp);
    if (Pair.starts_with(Name) && Pair.substr(Name.size()).starts_with("=")) {
      const std::string_view Text = Pair.substr(Name.size() + 1);
      std::uint32_t Value = Default;
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
      return Value;
    }
    Rest = Amp == std::string_view::npos ? "" : Rest.substr(Amp + 1);
  }
  return Default;
}

std::string queryText(std::string_view Target, std::string_view Name) {
  const std::string Wanted = std::string(Name) + "=";
  const auto Mark = Target.find("?" + Wanted);
  if (Mark == std::string_view::npos)
    return {};
  const auto Start = Mark + 1 + Wanted.size();
  return std::string(Target.substr(Start, Target.find('&', Start) - Start));
}

Response makeResponse(unsigned Status, const nlohmann::json &Body) {
  Response Made;
  Made.version(11);
  Made.result(Status);
  Made.set(http::field::content_type, "application/json");
  Made.body() = Body.dump() + "\n";
  return Made;
}

Response errorResponse(unsigned Status, const std::string &Text) {
  return makeResponse(Status, {{"error", Text}});
}

Response notRunResponse(const std::string &Reason) {
  Response Made = makeResponse(503, {{"not_run", Reason}});
  Made.set(request::NotRunHeader, "1");
  Made.set(http::field::retry_after, "1");
  return Made;
}

} // namespace

struct UpstreamServer::State : std::enable_shared_from_this<UpstreamServer::State> {
  State(asio::io_context &Io, Endpoint Local, Behaviour Initial)
      : Acceptor(Io, tcp::endpoint{asio::ip::address_v4(Local.Address), Local.Port}),
        Current(Initial), Started(steadyNow()) {
    noteLoad();
  }

  void noteLoad() { Slots.note(steadyNow(), !Current.Drain); }

  void setBehaviour(const Behaviour &Changed) {
    Current = Changed;
    Slots.grant(Current.Slots);
    noteLoad();
  }

  void releaseSlot() {
    Slots.release(Current.Slots);
    noteLoad();
  }

  Duration workTime(std::uint32_t Milliseconds) const {
    const bool Cold = steadyNow() - Started < std::chrono::milliseconds(Current.ColdStartMs);
    const double Factor = Cold ? Current.ColdFactor : 1;
    return Duration(static_cast<std::int64_t>(Milliseconds * 1000.0 * Factor));
  }

  tcp::acceptor Acceptor;
  Behaviour Current;
  TimePoint Started;
  SlotPool Slots;
  RunLog Runs;
  std::list<std::weak_ptr<tcp::socket>> Sockets;

  asio::awaitable<void> acceptLoop();
};

namespace {

/// One connection; requests are served one after the other.
template <typename Server> class Connection {
public:
  Connection(std::shared_ptr<Server> Owner, std::shared_ptr<tcp::socket> Peer)
      : Owner(std::move(Owner)), Peer(std::move(Peer)), Timer(this->Peer->get_executor()) {}

  asio::awaitable<void> serve() {
    while (!Closing && Peer->is_open()) {
      HeadParser Parser;
      Parser.body_limit(boost::none);
      const auto [Failure, Size] = co_await http::async_read_header(*Peer, Buffer, Parser, AsTuple);
      if (Failure)
        break;
      readHead(Parser);
      co_await route(Parser);
    }
    beast::error_code Ignored;
    Peer->shutdown(tcp::socket::shutdown_both, Ignored);
    Peer->close(Ignored);
  }

private:
  void readHead(const HeadParser &Parser) {
    const auto &Message = Parser.get();
    Method = std::string(Message.method_string());
    Target = std::string(Message.target());
    Path = Target.substr(0, Target.find('?'));
    RequestId = std::string(Message[request::RequestIdHeader]);
    Closing = !Parser.keep_alive();
    Expects = beast::iequals(Message[http::field::expect], "100-continue");
    Deadline = TimePoint::max();
    request::RequestHead Head;
    Head.Headers.emplace_back(request::DeadlineHeader, Message[request::DeadlineHeader]);
    if (const auto Stated = request::parseDeadline(Head))
      Deadline = steadyNow() + *Stated;
  }

  asio::awaitable<void> route(HeadParser &Parser) {
    const bool Upload = Path == "/uploads" && (Method == "POST" || Method == "PUT");
    if (Path == "/health" || Path == "/load" || Path == "/runs" || Path == "/control")
      co_await serveReport(Parser);
    else if (Path == "/status" && Method == "GET")
      co_await serveWork(Parser, Owner->Current.StatusMs);
    else if (Path == "/orders" && Method == "POST")
      co_await serveWork(Parser, queryNumber(Target, "work_ms", Owner->Current.WorkMs));
    else if (Path == "/feed" && Method == "GET")
      co_await serveFeed(Parser);
    else if (Upload)
      co_await serveUpload(Parser);
    else
      co_await serveUnknown(Parser);
  }

  asio::awaitable<void> serveUnknown(HeadParser &Parser) {
    if (!co_await readBody(Parser))
      co_return;
    Response Answer = errorResponse(404, "no such route");
    co_await respond(Answer);
  }

  asio::awaitable<void> serveReport(HeadParser &Parser) {
    const auto Body = co_await readBody(Parser);
    if (!Body)
      co_return;
    Response Answer = reportResponse(*Body);
    co_await respond(Answer);
  }

  Response reportResponse(const std::string &Body) {
    const Behaviour &Now = Owner->Current;
    const auto Lag = std::chrono::milliseconds(Now.ReportLagMs);
    const LoadSample Sample = Owner->Slots.sample(steadyNow(), Lag);
    if (Path == "/runs")
      return makeResponse(200, Owner->Runs.toJson(queryText(Target, "request")));
    if (Path == "/control" && Method == "PUT")
      return changeBehaviour(Body);
    if (Path == "/control")
      return makeResponse(200, toJson(Now));
    if (Path == "/load")
      return makeResponse(200, {{"slots", Now.Slots},
                                {"busy", Now.FalseBusy.value_or(Sample.Busy)},
                                {"waiting", Sample.Waiting}});
    const bool Healthy = Now.Health == HealthReport::AlwaysHealthy ||
                         (Now.Health == HealthReport::Truthful && Sample.Healthy);
    return makeResponse(Healthy ? 200 : 503, {{"healthy", Healthy}});
  }

  Response changeBehaviour(const std::string &Body) {
    const auto Document = nlohmann::json::parse(Body, nullptr, false);
    const auto Changed = common::capture([&] { return withChanges(Owner->Current, Document); });
    if (!Changed)
      return errorResponse(400, Changed.Failure.Detail);
    Owner->setBehaviour(*Changed);
    return makeResponse(200, toJson(*Changed));
  }

  asio::awaitable<void> serveWork(HeadParser &Parser, std::uint32_t Milliseconds) {
    if (!co_await readBody(Parser) || !co_await takeSlot())
      co_return;
    startRun();
    const RunOutcome Worked = co_await work(Milliseconds);
    Owner->releaseSlot();
    Response Answer = runResponse();
    co_await finishWork(Worked, std::move(Answer));
  }

  asio::awaitable<void> serveUpload(HeadParser &Parser) {
    if (!co_await takeSlot())
      co_return;
    startRun();
    co_await sendContinue();
    auto Body = streamedBody(Parser);
    nlohmann::json Received;
    RunOutcome Worked = RunOutcome::Cancelled;
    if (co_await receiveUpload(Body, Received))
      Worked = co_await work(queryNumber(Target, "work_ms", Owner->Current.WorkMs));
    Owner->releaseSlot();
    Response Answer = makeResponse(200, Received);
    co_await finishWork(Worked, std::move(Answer));
  }

  static http::request_parser<http::buffer_body> streamedBody(HeadParser &Parser) {
    return http::request_parser<http::buffer_body>(std::move(Parser));
  }

  /// Reads a whole body; false if the peer closed before its end.
  asio::awaitable<bool> receiveUpload(http::request_parser<http::buffer_body> &Parser,
                                      nlohmann::json &Received) {
    std::vector<char> Block(UploadBlockBytes);
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> Hash(XXH3_createState(),
                                                                        &XXH3_freeState);
    XXH3_64bits_reset(Hash.get());
    std::uint64_t Total = 0;
    while (!Parser.is_done()) {
      Parser.get().body().data = Block.data();
      Parser.get().body().size = Block.size();
      const auto [Failure, Size] = co_await http::async_read_some(*Peer, Buffer, Parser, AsTuple);
      if (Failure && Failure != http::error::need_buffer)
        co_return false;
      const std::size_t Count = Block.size() - Parser.get().body().size;
      XXH3_64bits_update(Hash.get(), Block.data(), Count);
      Total += Count;
    }
    std::array<char, 17> Text{};
    std::snprintf(Text.data(), Text.size(), "%016llx",
                  static_cast<unsigned long long>(XXH3_64bits_digest(Hash.get())));
    Received["run"] = RunNumber;
    Received["bytes"] = Total;
    Received["xxh3"] = Text.data();
    co_return true;
  }

  asio::awaitable<void> serveFeed(HeadParser &Parser) {
    const std::uint32_t Endless = 0;
    const std::uint32_t Lines = queryNumber(Target, "lines", Endless);
    const auto Interval = std::chrono::milliseconds(
        std::max<std::uint32_t>(queryNumber(Target, "interval_ms", 1000), 1));
    if (!co_await readBody(Parser) || !co_await takeSlot())
      co_return;
    startRun();
    http::response<http::empty_body> Head;
    Head.version(11);
    Head.result(200);
    Head.set(http::field::content_type, "text/plain");
    Head.chunked(true);
    http::response_serializer<http::empty_body> Serializer(Head);
    const auto [Failure, Size] = co_await http::async_write_header(*Peer, Serializer, AsTuple);
    Owner->releaseSlot();
    bool Open = !Failure;
    watchPeer();
    for (std::uint32_t Line = 1; Open && (Lines == Endless || Line <= Lines); ++Line) {
      Open = co_await writeLine(Line) && !Gone;
      if (Owner->Current.EndFeeds)
        break;
      if (Open && Line != Lines)
        Open = co_await waitUntil(steadyNow() + Interval);
    }
    unwatchPeer();
    if (Open)
      Open = co_await writeAll(http::make_chunk_last());
    Closing = Closing || !Open;
    endRun(Open ? RunOutcome::Answered : RunOutcome::Cancelled);
  }

  asio::awaitable<bool> writeLine(std::uint32_t Line) {
    const std::string Text = "line " + std::to_string(Line) + "\n";
    co_return co_await writeAll(http::make_chunk(asio::buffer(Text)));
  }

  template <class Buffers> asio::awaitable<bool> writeAll(Buffers Parts) {
    const auto [Failure, Size] = co_await asio::async_write(*Peer, Parts, AsTuple);
    co_return !Failure;
  }

  asio::awaitable<void> sendContinue() {
    constexpr std::string_view Line = "HTTP/1.1 100 Continue\r\n\r\n";
    if (Expects)
      co_await asio::async_write(*Peer, asio::buffer(Line), AsTuple);
  }

  asio::awaitable<std::optional<std::string>> readBody(HeadParser &Parser) {
    co_await sendContinue();
    http::request_parser<http::string_body> Whole(std::move(Parser));
    Whole.body_limit(UpstreamServer::MaxOrderBytes);
    const auto [Failure, Size] = co_await http::async_read(*Peer, Buffer, Whole, AsTuple);
    if (!Failure)
      co_return std::move(Whole.get().body());
    Closing = true;
    co_return std::nullopt;
  }

  /// Takes a slot, or answers that the request was not run and returns false.
  asio::awaitable<bool> takeSlot() {
    const Behaviour &Now = Owner->Current;
    std::string Refusal;
    if (Now.Shed || Now.Drain)
      Refusal = Now.Drain ? "drain" : "shed";
    else if (Owner->Slots.tryTake(Now.Slots))
      Refusal.clear();
    else if (Owner->Slots.waiting() >= Now.MaxWaiting)
      Refusal = "queue full";
    else if (!co_await waitForSlot())
      Refusal = Gone ? "cancelled" : "deadline";
    Owner->noteLoad();
    if (Refusal.empty())
      co_return true;
    // The body of an upload was not read, so the connection can't be used again.
    Closing = Closing || Path == "/uploads" || Now.Drain;
    Response Answer = notRunResponse(Refusal);
    if (!Gone)
      co_await respond(Answer);
    co_return false;
  }

  asio::awaitable<bool> waitForSlot() {
    bool Granted = false;
    const auto Ticket = Owner->Slots.wait([&] {
      Granted = true;
      Timer.cancel();
    });
    Owner->noteLoad();
    const bool Watches = Path != "/uploads";
    if (Watches)
      watchPeer();
    while (!Granted && !Gone && steadyNow() < Deadline) {
      Timer.expires_at(toSteady(Deadline));
      co_await Timer.async_wait(AsTuple);
    }
    unwatchPeer();
    if (Granted && Gone)
      Owner->releaseSlot();
    if (!Granted)
      Owner->Slots.abandon(Ticket);
    co_return Granted && !Gone;
  }

  asio::awaitable<RunOutcome> work(std::uint32_t Milliseconds) {
    const Duration Delay = std::chrono::milliseconds(Owner->Current.AnswerDelayMs);
    const TimePoint End = steadyNow() + Owner->workTime(Milliseconds) + Delay;
    watchPeer();
    const bool Waited = co_await waitUntil(std::min(End, Deadline));
    unwatchPeer();
    if (!Waited)
      co_return RunOutcome::Cancelled;
    co_return End > Deadline ? RunOutcome::Deadline : RunOutcome::Answered;
  }

  /// Waits; false if the peer closed the connection before.
  asio::awaitable<bool> waitUntil(TimePoint At) {
    while (!Gone && steadyNow() < At) {
      Timer.expires_at(toSteady(At));
      co_await Timer.async_wait(AsTuple);
    }
    co_return !Gone;
  }

  asio::awaitable<void> finishWork(RunOutcome Worked, Response Answer) {
    const bool Breaks = Owner->Current.BreakConnection;
    if (Worked == RunOutcome::Cancelled || Breaks) {
      Closing = true;
      endRun(Worked == RunOutcome::Cancelled ? Worked : RunOutcome::Broken);
      co_return;
    }
    if (Worked == RunOutcome::Deadline)
      Answer = errorResponse(504, "deadline");
    endRun(Worked);
    co_await respond(Answer);
  }

  asio::awaitable<void> respond(Response &Answer) {
    Answer.keep_alive(!Closing);
    Answer.prepare_payload();
    const auto [Failure, Size] = co_await http::async_write(*Peer, Answer, AsTuple);
    Closing = Closing || Failure;
  }

  Response runResponse() const {
    return makeResponse(200, {{"run", RunNumber}, {"request", RequestId}});
  }

  void startRun() { RunNumber = Owner->Runs.start(RequestId, Method, Target, steadyNow()); }
  void endRun(RunOutcome Outcome) { Owner->Runs.end(RunNumber, Outcome, steadyNow()); }

  /// Sets Gone and ends the current wait when the peer closes the connection.
  void watchPeer() {
    Gone = false;
    Watch = std::make_shared<bool>(true);
    Peer->async_wait(tcp::socket::wait_read,
                     [this, Active = Watch](const beast::error_code &Failure) {
                       if (*Active)
                         onReadable(Failure);
                     });
  }

  void onReadable(const beast::error_code &Failure) {
    char Byte = 0;
    beast::error_code Ended;
    const bool Watched = !Failure;
    if (Watched)
      Peer->receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Ended);
    Gone = !Watched || Ended;
    if (Gone)
      Timer.cancel();
  }

  void unwatchPeer() {
    if (Watch)
      *Watch = false;
    Watch.reset();
    beast::error_code Ignored;
    Peer->cancel(Ignored);
  }

  std::shared_ptr<Server> Owner;
  std::shared_ptr<tcp::socket> Peer;
  asio::steady_timer Timer;
  beast::flat_buffer Buffer;
  std::shared_ptr<bool> Watch; ///< False once the watch that captured it has ended.
  std::string Method;
  std::string Target;
  std::string Path;
  std::string RequestId;
  TimePoint Deadline{};
  std::uint64_t RunNumber = 0;
  bool Closing = false;
  bool Expects = false;
  bool Gone = false;
};

} // namespace

asio::awaitable<void> UpstreamServer::State::acceptLoop() {
  const auto Self = shared_from_this();
  while (Acceptor.is_open()) {
    auto [Failure, Accepted] = co_await Acceptor.async_accept(AsTuple);
    if (Failure == asio::error::operation_aborted)
      break;
    if (Failure)
      continue;
    auto Peer = std::make_shared<tcp::socket>(std::move(Accepted));
    Sockets.remove_if([](const auto &Known) { return Known.expired(); });
    Sockets.push_back(Peer);
    asio::co_spawn(
        Acceptor.get_executor(),
        [Self, Peer]() -> asio::awaitable<void> {
          Connection<State> Served(Self, Peer);
          co_await Served.serve();
        },
        asio::detached);
  }
}

UpstreamServer::UpstreamServer(asio::io_context &Io, Endpoint Local, Behaviour Initial)
    : Shared(std::make_shared<State>(Io, Local, Initial)) {
  asio::co_spawn(Io, Shared->acceptLoop(), asio::detached);
}

UpstreamServer::~UpstreamServer() { close(); }

Endpoint UpstreamServer::local() const noexcept {
  beast::error_code Ignored;
  const auto Local = Shared->Acceptor.local_endpoint(Ignored);
  return {Local.address().to_v4().to_uint(), Local.port()};
}

const RunLog &UpstreamServer::runs() const noexcept { return Shared->Runs; }

const Behaviour &UpstreamServer::behaviour() const noexcept { return Shared->Current; }

void UpstreamServer::setBehaviour(const Behaviour &Changed) { Shared->setBehaviour(Changed); }

void UpstreamServer::close() {
  beast::error_code Ignored;
  Shared->Acceptor.close(Ignored);
  for (const auto &Known : Shared->Sockets)
    if (const auto Peer = Known.lock())
      Peer->close(Ignored);
}

} // namespace galenarelay::standins::upstream
