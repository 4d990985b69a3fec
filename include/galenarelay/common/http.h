#ifndef GALENARELAY_COMMON_HTTP_H
#define GALENARELAY_COMMON_HTTP_H

#include "galenarelay/common/endpoint.h"
#include "galenarelay/common/error.h"
#include "galenarelay/common/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace galenarelay::common {

/// Status of an answer that a stand-in loses on purpose.
inline constexpr unsigned NoAnswer = 0;

/// A request to an admin endpoint, its target split into path and query.
struct HttpRequest {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query; ///< Percent-decoded.
  std::string Body;

  friend bool operator==(const HttpRequest &, const HttpRequest &) = default;
};

/// An answer of an admin endpoint.
struct HttpResponse {
  unsigned Status = 200; ///< NoAnswer closes the connection instead of answering.
  std::string Body;
  std::string ContentType = "application/json";
  std::vector<std::pair<std::string, std::string>> Headers;

  friend bool operator==(const HttpResponse &, const HttpResponse &) = default;
};

using HttpHandler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

/// Reads a header that holds a whole number; empty if the answer doesn't have it.
/// Errors: MessageMalformed.
[[nodiscard]] Outcome<std::optional<std::uint64_t>> readNumberHeader(const HttpResponse &Answer,
                                                                     std::string_view Name);

/// Percent-encodes a query value.
[[nodiscard]] std::string encodeQuery(std::string_view Text);

/// An answer whose bytes keep coming may take this many timeouts in all: a configuration of 300 KB
/// over a link of 2 Mbit/s takes more than one second.
inline constexpr int MaxHttpTimeouts = 8;

/// Sends one request and reads the answer. The timeout is for connecting, sending and the first
/// bytes, and then for the next ones. Errors: PeerUnreachable (nothing was sent),
/// RequestOutcomeUnknown (sent, but no whole answer came in time).
[[nodiscard]] boost::asio::awaitable<Outcome<HttpResponse>>
httpCall(Endpoint Server, std::string Method, std::string Target, std::string Body,
         Duration Timeout);

/// Blocking form of httpCall for command-line programs and tests.
[[nodiscard]] Outcome<HttpResponse> httpCallBlocking(Endpoint Server, const std::string &Method,
                                                     const std::string &Target,
                                                     const std::string &Body, Duration Timeout);

/// HTTP/1.1 server for admin endpoints with bodies up to MaxBodyBytes.
class HttpServer {
public:
  /// A store value of 1 MB with its JSON frame and escapes.
  static constexpr std::size_t MaxBodyBytes = 4 * 1024 * 1024;

  /// Binds at once; port 0 takes a free port. Throws boost::system::system_error if it can't bind.
  HttpServer(boost::asio::io_context &Io, Endpoint Local, HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  [[nodiscard]] Endpoint local() const noexcept;
  void close();

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_HTTP_H
