#ifndef GALENARELAY_AGENT_FLOW_CONNECTION_H
#define GALENARELAY_AGENT_FLOW_CONNECTION_H

#include "galenarelay/agent/dispatcher.h"
#include "galenarelay/flow/stream.h"
#include "galenarelay/request/session.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenarelay::agent {

/// Answer bytes held for a caller; above it the upstream is not read.
inline constexpr std::size_t MaxPendingOutput = 64 * 1024;
/// Body bytes held for the upstream; above it the caller's bytes are not read.
inline constexpr std::size_t MaxBodyBacklog = 256 * 1024;
/// During a drain a keep-alive flow without a request is closed after this time: a leaving upstream
/// gets no new work after a few seconds.
inline constexpr common::Duration DrainIdleTime = std::chrono::seconds(3);
/// A caller that doesn't close its direction this long after the last answer is reset.
inline constexpr common::Duration CloseTimeout = std::chrono::seconds(10);

/// What the connections of an agent share.
struct FlowContext {
  Dispatcher &Requests;
  /// Deadline of a service's requests that state none.
  std::function<common::Duration(const std::string &Service)> DeadlineOf;
  /// Called when a flow must be advanced soon, for example because an answer has arrived.
  std::function<void(const packet::FlowKey &Key)> Touch;
};

/// One flow that this agent serves: its stream, its HTTP session and the request in progress.
class FlowConnection : public std::enable_shared_from_this<FlowConnection> {
public:
  FlowConnection(FlowContext &Context, std::string Service, flow::Stream Stream);
  ~FlowConnection();
  FlowConnection(const FlowConnection &) = delete;
  FlowConnection &operator=(const FlowConnection &) = delete;

  [[nodiscard]] bool fits(const packet::RouteView &Route) const noexcept;
  /// True once both sides have closed and acknowledged everything; the stream only lingers.
  [[nodiscard]] bool closed() const noexcept { return Stream.state() == flow::StreamState::Closed; }
  /// True once the flow has ended and may be discarded.
  [[nodiscard]] bool finished() const noexcept;
  [[nodiscard]] std::optional<common::TimePoint> nextTimer() const noexcept;
  [[nodiscard]] nlohmann::json describe() const;

  void onPacket(const packet::Packet &Received, common::TimePoint Now);
  void onTimer(common::TimePoint Now);
  /// The next answer is the last one; a flow without a request closes after DrainIdleTime.
  void drain() noexcept;
  /// Whether this agent should give the flow to another one as soon as it is idle. Requests whose
  /// first byte has not been read when this begins don't run here.
  void setMoving(bool Wanted) noexcept;
  /// The stream to give away; empty while the flow isn't idle or need not move.
  [[nodiscard]] std::optional<flow::IdleStream> streamToMove() const;
  [[nodiscard]] bool sameOrigin(const flow::IdleStream &Other) const noexcept {
    return Stream.sameOrigin(Other);
  }
  [[nodiscard]] const std::string &service() const noexcept { return Service; }
  /// Resets the flow with the next output.
  void abort() noexcept { Aborted = true; }
  /// Moves bytes between stream, session and dispatcher; returns the packets to send.
  [[nodiscard]] std::vector<packet::Packet> advance(common::TimePoint Now);
  /// Cancels the request in progress, if any. Nothing is sent to the caller.
  void discard();

private:
  [[nodiscard]] ExchangeEvents exchangeEvents();
  [[nodiscard]] bool readsCaller() const noexcept;
  [[nodiscard]] bool idle() const noexcept;
  void readCaller();
  void handle(const request::RequestReady &Event);
  void handle(const request::BodyPart &Event);
  void handle(const request::RequestBroken &Event);
  void handle(const request::CallerFinished &Event);
  void handleEvents();
  void writeCaller();
  void paceUpstream();
  void closeWhenDone(common::TimePoint Now);
  void endExchange() noexcept;

  FlowContext &Context;
  std::string Service;
  flow::Stream Stream;
  request::Session Session;
  request::RequestId Current = 0; ///< The request in progress; 0 if none.
  std::uint64_t Generation = 0;   ///< Events of an earlier request are ignored.
  std::uint64_t Served = 0;
  bool Paused = false;
  bool Draining = false;
  bool Moving = false;
  bool FirstMayRun = false; ///< The next request was being read when Moving was set.
  bool FinSent = false;
  bool Aborted = false;
  std::optional<common::TimePoint> CloseAt; ///< End of the idle time of a drain, or of closing.
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_FLOW_CONNECTION_H
