#ifndef GALENARELAY_AGENT_UPSTREAM_CALL_H
#define GALENARELAY_AGENT_UPSTREAM_CALL_H

#include "galenarelay/common/endpoint.h"
#include "galenarelay/common/time.h"
#include "galenarelay/request/message.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace galenarelay::agent {

/// Response bytes read from the upstream at a time.
inline constexpr std::size_t ResponseBlockBytes = 16 * 1024;
/// A connection attempt that takes longer counts as refused; the upstream is on the same host.
inline constexpr common::Duration ConnectTimeout = std::chrono::seconds(1);

/// How a call ended.
enum class CallResult : std::uint8_t {
  Completed,   ///< The whole response arrived.
  NothingSent, ///< No connection was made, so no byte was sent.
  Shed,        ///< 503 with Galenarelay-Not-Run: 1.
  Broken,      ///< The connection ended, or the response was malformed, after a byte was sent.
  TimedOut,    ///< The deadline passed after a byte was sent.
};

/// What is sent to the upstream.
struct UpstreamRequest {
  request::RequestHead Head;
  std::string Body;
  bool Complete = true;         ///< False: more of the body follows by sendBody.
  common::TimePoint Deadline{}; ///< For the head of the response to a complete request.
  /// Time for the head after the last body part, and for each further block of the response.
  common::Duration Allowance = std::chrono::seconds(10);
};

/// What a call tells its owner; nothing after OnEnd or cancel().
struct CallEvents {
  /// The head of a response that is not shed; a feed is chunked.
  std::function<void(const request::ResponseHead &Head, bool Feed)> OnHead;
  std::function<void(std::span<const std::uint8_t> Bytes)> OnData;
  /// The body parts given so far were sent.
  std::function<void()> OnBodySent;
  std::function<void(CallResult How, std::string Detail)> OnEnd;
};

/// One request on a connection of its own to the upstream. Closing the connection cancels it.
class UpstreamCall : public std::enable_shared_from_this<UpstreamCall> {
public:
  /// Starts a call; all events come later from the event loop.
  [[nodiscard]] static std::shared_ptr<UpstreamCall> start(boost::asio::io_context &Io,
                                                           common::Endpoint Upstream,
                                                           UpstreamRequest Request,
                                                           CallEvents Events);
  ~UpstreamCall();
  UpstreamCall(const UpstreamCall &) = delete;
  UpstreamCall &operator=(const UpstreamCall &) = delete;

  /// Body bytes that wait to be sent.
  [[nodiscard]] std::size_t bodyBacklog() const noexcept;

  void sendBody(std::string Bytes, bool Last);
  /// Stops reading the response until resume(), so that the upstream is slowed down.
  void pause() noexcept;
  void resume();
  /// Closes the connection; no event follows.
  void cancel();

private:
  struct State;
  explicit UpstreamCall(std::unique_ptr<State> Impl);

  std::unique_ptr<State> Impl;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_UPSTREAM_CALL_H
