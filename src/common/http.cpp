#include "galenarelay/common/http.h"

#include "galenarelay/common/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/version.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <chrono>
#include <exception>

namespace galenarelay::common {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
/// An idle admin connection is closed after this time. Longer than the longest watch (30 s).
constexpr auto IdleTimeout = std::chrono::seconds(60);

int hexValue(char C) noexcept {
  if (C >= '0' && C <= '9')
    return C - '0';
  const char Lower = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  return Lower >= 'a' && Lower <= 'f' ? Lower - 'a' + 10 : -1;
}

std::string decodeQuery(std::string_view Text) {
  std::string Plain;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const bool Escape = Text[I] == '%' && I + 2 < Text.size() && hexValue(Text[I + 1]) >= 0 &&
                        hexValue(Text[I + 2]) >= 0;
    if (Escape) {
      Plain.push_back(static_cast<char>(hexValue(Text[I + 1]) * 16 + hexValue(Text[I + 2])));
      I += 2;
    } else {
      Plain.push_back(Text[I] == '+' ? ' ' : Text[I]);
    }
  }
  return Plain;
}

HttpRequest fromBeast(const http::request<http::string_body> &Raw) {
  HttpRequest Request;
  Request.Method = std::string(Raw.method_string());
  Request.Body = Raw.body();
  const std::string Target(Raw.target());
  const auto Mark = Target.find('?');
  Request.Path = decodeQuery(Target.substr(0, Mark));
  if (Mark == std::string::npos)
    return Request;
  std::string_view Rest = std::string_view(Target).substr(Mark + 1);
  while (!Rest.empty()) {
    const auto Amp = Rest.find('&');
    const std::string_view Pair = Rest.substr(0, Amp);
    const auto Equal = Pair.find('=');
    const std::string Value =
        Equal == std::string_view::npos ? std::string() : decodeQuery(Pair.substr(Equal + 1));
    Request.Query[decodeQuery(Pair.substr(0, Equal))] = Value;
    Rest = Amp == std::string_view::npos ? std::string_view() : Rest.substr(Amp + 1);
  }
  return Request;
}

http::response<http::string_body> toBeast(const HttpResponse &Answer, unsigned Version,
                                          bool KeepAlive) {
  http::response<http::string_body> Raw;
  Raw.result(Answer.Status);
  Raw.version(Version);
  Raw.set(http::field::server, "galenarelay");
  Raw.set(http::field::content_type, Answer.ContentType);
  for (const auto &[Name, Value] : Answer.Headers)
    Raw.set(Name, Value);
  Raw.body() = Answer.Body;
  Raw.keep_alive(KeepAlive);
  Raw.prepare_payload();
  return Raw;
}

asio::awaitable<HttpResponse> handleSafely(const HttpHandler &Handler, HttpRequest Request) {
  try {
    co_return co_await Handler(std::move(Request));
  } catch (const std::exception &Problem) {
    log(LogLevel::Error, "call_failed", {{"detail", Problem.what()}});
    co_return HttpResponse{500, std::string(R"({"error":"Internal"})") + "\n"};
  }
}

asio::awaitable<void> serveConnection(beast::tcp_stream Stream, HttpHandler Handler) {
  beast::flat_buffer Buffer;
  while (true) {
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(HttpServer::MaxBodyBytes);
    Stream.expires_after(IdleTimeout);
    const auto [ReadFailure, ReadSize] = co_await http::async_read(Stream, Buffer, Parser, AsTuple);
    if (ReadFailure)
      break;
    Stream.expires_never();
    const auto Answer = co_await handleSafely(Handler, fromBeast(Parser.get()));
    if (Answer.Status == NoAnswer)
      break;
    auto Raw = toBeast(Answer, Parser.get().version(), Parser.get().keep_alive());
    Stream.expires_after(IdleTimeout);
    const auto [WriteFailure, WriteSize] = co_await http::async_write(Stream, Raw, AsTuple);
    if (WriteFailure || !Parser.get().keep_alive())
      break;
  }
  beast::error_code Ignored;
  Stream.socket().shutdown(tcp::socket::shutdown_both, Ignored);
}

} // namespace

Outcome<std::optional<std::uint64_t>> readNumberHeader(const HttpResponse &Answer,
                                                       std::string_view Name) {
  const auto Found =
      std::find_if(Answer.Headers.begin(), Answer.Headers.end(),
                   [Name](const auto &Each) { return beast::iequals(Each.first, Name); });
  if (Found == Answer.Headers.end())
    return {std::optional<std::uint64_t>(), {}};
  const std::string &Text = Found->second;
  std::uint64_t Number = 0;
  const auto [End, Status] = std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Status != std::errc() || End != Text.data() + Text.size())
    return {std::nullopt,
            {ResultCode::MessageMalformed,
             "the header " + std::string(Name) + " holds no whole number: '" + Text + "'"}};
  return {std::optional(Number), {}};
}

std::string encodeQuery(std::string_view Text) {
  constexpr std::string_view Hex = "0123456789ABCDEF";
  std::string Encoded;
  for (const char C : Text) {
    const auto Byte = static_cast<unsigned char>(C);
    const bool Plain =
        std::isalnum(Byte) != 0 || std::string_view("-_.~/:").find(C) != std::string_view::npos;
    if (Plain) {
      Encoded.push_back(C);
    } else {
      Encoded.push_back('%');
      Encoded.push_back(Hex[Byte >> 4]);
      Encoded.push_back(Hex[Byte & 15]);
    }
  }
  return Encoded;
}

asio::awaitable<Outcome<HttpResponse>> httpCall(Endpoint Server, std::string Method,
                                                std::string Target, std::string Body,
                                                Duration Timeout) {
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  Stream.expires_after(Timeout);
  const tcp::endpoint Remote{asio::ip::address_v4(Server.Address), Server.Port};
  const auto [ConnectFailure] = co_await Stream.async_connect(Remote, AsTuple);
  if (ConnectFailure)
    co_return Outcome<HttpResponse>{
        std::nullopt,
        {ResultCode::PeerUnreachable, toString(Server) + ": " + ConnectFailure.message()}};
  http::request<http::string_body> Request;
  Request.method_string(Method);
  Request.target(Target);
  Request.version(11);
  Request.set(http::field::host, toString(Server));
  Request.set(http::field::content_type, "application/json");
  Request.keep_alive(false);
  Request.body() = std::move(Body);
  Request.prepare_payload();
  const auto Unknown = [&](const beast::error_code &Failure) {
    return Outcome<HttpResponse>{
        std::nullopt,
        {ResultCode::RequestOutcomeUnknown, toString(Server) + ": " + Failure.message()}};
  };
  const auto [WriteFailure, WriteSize] = co_await http::async_write(Stream, Request, AsTuple);
  if (WriteFailure)
    co_return Unknown(WriteFailure);
  beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(HttpServer::MaxBodyBytes);
  // A long answer over a slow link takes more time than a short one, so that the timeout is for the
  // next bytes.
  const auto Deadline = std::chrono::steady_clock::now() + MaxHttpTimeouts * Timeout;
  while (!Parser.is_done()) {
    const auto [ReadFailure, ReadSize] =
        co_await http::async_read_some(Stream, Buffer, Parser, AsTuple);
    if (ReadFailure)
      co_return Unknown(ReadFailure);
    Stream.expires_at(std::min(std::chrono::steady_clock::now() + Timeout, Deadline));
  }
  HttpResponse Answer;
  Answer.Status = Parser.get().result_int();
  Answer.Body = Parser.get().body();
  Answer.ContentType = std::string(Parser.get()[http::field::content_type]);
  for (const auto &Field : Parser.get())
    Answer.Headers.emplace_back(std::string(Field.name_string()), std::string(Field.value()));
  co_return Outcome<HttpResponse>{std::move(Answer), {}};
}

Outcome<HttpResponse> httpCallBlocking(Endpoint Server, const std::string &Method,
                                       const std::string &Target, const std::string &Body,
                                       Duration Timeout) {
  asio::io_context Io;
  Outcome<HttpResponse> Answer;
  asio::co_spawn(
      Io,
      [&]() -> asio::awaitable<void> {
        Answer = co_await httpCall(Server, Method, Target, Body, Timeout);
      },
      asio::detached);
  Io.run();
  return Answer;
}

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(asio::io_context &Io, Endpoint Local, HttpHandler Handler)
      : Acceptor(Io, tcp::endpoint{asio::ip::address_v4(Local.Address), Local.Port}),
        Handler(std::move(Handler)) {}

  asio::awaitable<void> acceptLoop() {
    const auto Self = shared_from_this();
    while (Acceptor.is_open()) {
      auto [Failure, Socket] = co_await Acceptor.async_accept(AsTuple);
      if (Failure == asio::error::operation_aborted)
        break;
      if (Failure)
        continue;
      asio::co_spawn(Acceptor.get_executor(),
                     serveConnection(beast::tcp_stream(std::move(Socket)), Handler),
                     asio::detached);
    }
  }

  tcp::acceptor Acceptor;
  HttpHandler Handler;
};

HttpServer::HttpServer(asio::io_context &Io, Endpoint Local, HttpHandler Handler)
    : Shared(std::make_shared<State>(Io, Local, std::move(Handler))) {
  asio::co_spawn(Io, Shared->acceptLoop(), asio::detached);
}

HttpServer::~HttpServer() { close(); }

Endpoint HttpServer::local() const noexcept {
  boost::system::error_code Ignored;
  const auto Local = Shared->Acceptor.local_endpoint(Ignored);
  return {Local.address().to_v4().to_uint(), Local.port()};
}

void HttpServer::close() {
  boost::system::error_code Ignored;
  Shared->Acceptor.close(Ignored);
}

} // namespace galenarelay::common
