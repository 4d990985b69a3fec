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

/// Size in bytes of the blocks in which a response is read.
inline constexpr std::size_t ResponseBlockBytes = 16 * 1024;
/// Timeout for connecting to the upstream, which is on the same host. A connection attempt that
/// takes longer counts as refused.
inline constexpr common::Duration ConnectTimeout = std::chrono::seconds(1);

/// How a call ended.
enum class CallResult : std::uint8_t {
  Completed,   ///< The whole response arrived.
  NothingSent, ///< No connection was made, so no byte was sent.
  Shed,        ///< 503 with Galenarelay-Not-Run: 1.
  Broken,      ///< The connection ended, or the response was malformed, after a byte was sent.
  TimedOut,    ///< The deadline passed after a byte was sent.
};

/// A request to send to the upstream, with its time limits.
struct UpstreamRequest {
  request::RequestHead Head;
  std::string Body;
  bool Complete = true;         ///< False: more of the body follows by sendBody().
  common::TimePoint Deadline{}; ///< For the response head, if the request is complete.
  /// Time for the response head after the last part of a streamed body, and for each block of the
  /// response body.
  common::Duration Timeout = std::chrono::seconds(10);
};

/// Callbacks of a call. None is called after OnEnd or cancel().
struct UpstreamCallbacks {
  /// The response head, unless the upstream shed the request. Feed is true for a chunked response
  /// with more to come, which may stay open without limit.
  std::function<void(const request::ResponseHead &Head, bool Feed)> OnHead;
  std::function<void(std::span<const std::uint8_t> Bytes)> OnData;
  /// Bytes of a streamed body were written to the connection; bodyBacklog() returns how many
  /// remain.
  std::function<void()> OnBodySent;
  std::function<void(CallResult Result, std::string Detail)> OnEnd;
};

/// One request on its own connection to the upstream. Closing the connection cancels the request.
class UpstreamCall : public std::enable_shared_from_this<UpstreamCall> {
public:
  /// Starts a call. Its events come from the event loop, none before this returns.
  [[nodiscard]] static std::shared_ptr<UpstreamCall> start(boost::asio::io_context &Io,
                                                           common::Endpoint Upstream,
                                                           UpstreamRequest Request,
                                                           UpstreamCallbacks Events);
  ~UpstreamCall();
  UpstreamCall(const UpstreamCall &) = delete;
  UpstreamCall &operator=(const UpstreamCall &) = delete;

  /// Bytes of the request that were not yet written to the connection.
  [[nodiscard]] std::size_t bodyBacklog() const noexcept;

  /// Queues the next part of the body; Last marks the final one. Does nothing after the final part
  /// or the end of the call.
  void sendBody(std::string Bytes, bool Last);
  /// Stops reading the response until resume(); TCP flow control then slows the upstream down.
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
