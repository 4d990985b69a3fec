#ifndef GALENARELAY_TESTS_STORE_DOOR_H
#define GALENARELAY_TESTS_STORE_DOOR_H

#include "galenarelay/common/http.h"
#include "galenarelay/node/impl/call_pause.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

namespace galenarelay::tests {

/// How the store treats one node.
enum class Treatment : std::uint8_t { Served, Unavailable, RateLimited, Reset, Silent };

/// The way of one node to a stand-in of the store.
class StoreDoor {
public:
  StoreDoor(boost::asio::io_context &Io, common::Endpoint Store)
      : Store(Store), Server(Io, {0x7f000001, 0}, [this](common::HttpRequest Request) {
          return answer(std::move(Request));
        }) {}

  [[nodiscard]] common::Endpoint local() const { return Server.local(); }
  /// Whether a watch waits for a change.
  [[nodiscard]] bool watched() const { return OpenWatches > 0; }
  /// Calls that are open get no answer any more; later ones do.
  void silenceOpenCalls() { ++Generation; }

  Treatment Now = Treatment::Served;

private:
  boost::asio::awaitable<common::HttpResponse> answer(common::HttpRequest Request) {
    const auto Began = Generation;
    const bool Waits = waits(Request);
    if (Now == Treatment::Served) {
      OpenWatches += Waits ? 1 : 0;
      auto Answer = co_await pass(std::move(Request));
      OpenWatches -= Waits ? 1 : 0;
      if (Generation != Began)
        co_await node::impl::sleepFor(SilentTime);
      else if (Now == Treatment::Served)
        co_return Answer;
      co_return common::HttpResponse{common::NoAnswer, ""};
    }
    if (Now == Treatment::Silent)
      co_await node::impl::sleepFor(SilentTime);
    co_return common::HttpResponse{refusalStatus(Now), "{}"};
  }

  static unsigned refusalStatus(Treatment By) {
    switch (By) {
    case Treatment::Unavailable:
      return 503;
    case Treatment::RateLimited:
      return 429;
    default:
      return common::NoAnswer;
    }
  }

  static bool waits(const common::HttpRequest &Request) {
    return std::any_of(Request.Query.begin(), Request.Query.end(), [](const auto &Parameter) {
      return (Parameter.first == "waitMs" || Parameter.first == "wait") && Parameter.second != "0";
    });
  }

  boost::asio::awaitable<common::HttpResponse> pass(common::HttpRequest Request) {
    std::string Target = Request.Path;
    for (const auto &[Name, Value] : Request.Query)
      Target += (Target == Request.Path ? "?" : "&") + Name + "=" + common::encodeQuery(Value);
    const auto Answer =
        co_await common::httpCall(Store, Request.Method, Target, Request.Body, SilentTime);
    co_return Answer ? *Answer : common::HttpResponse{common::NoAnswer, ""};
  }

  /// Longer than any call of a node waits.
  static constexpr std::chrono::seconds SilentTime{30};

  common::Endpoint Store;
  std::uint64_t Generation = 0;
  std::size_t OpenWatches = 0;
  common::HttpServer Server;
};

} // namespace galenarelay::tests

#endif // GALENARELAY_TESTS_STORE_DOOR_H
