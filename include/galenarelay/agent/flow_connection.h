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

/// Limit of the response bytes buffered for a caller. At the limit the agent stops reading from the
/// upstream.
inline constexpr std::size_t MaxPendingOutput = 64 * 1024;
/// Limit of the request body bytes buffered for the upstream. At the limit the agent stops reading
/// from the caller.
inline constexpr std::size_t MaxBodyBacklog = 256 * 1024;
/// While draining, a keep-alive flow without a request is closed after this time, so that a leaving
/// upstream gets no new requests after a few seconds.
inline constexpr common::Duration DrainIdleTime = std::chrono::seconds(3);
/// A flow is reset if the caller has not sent FIN this long after it acknowledged everything sent.
inline constexpr common::Duration CloseTimeout = std::chrono::seconds(10);

/// Dependencies that all connections of an agent share.
struct FlowContext {
  Dispatcher &RequestDispatcher;
  /// Returns the deadline for requests of a service that state none.
  std::function<common::Duration(const std::string &Service)> DeadlineOf;
  /// Requests a call of advance() for a flow, for example because a response has arrived.
  std::function<void(const packet::FlowKey &Key)> ScheduleAdvance;
};

/// A flow that this agent serves: its stream, its HTTP session and the request in progress.
class FlowConnection : public std::enable_shared_from_this<FlowConnection> {
public:
  FlowConnection(FlowContext &Context, std::string Service, flow::Stream Stream);
  ~FlowConnection();
  FlowConnection(const FlowConnection &) = delete;
  FlowConnection &operator=(const FlowConnection &) = delete;

  /// True if a packet's sequence and acknowledgement numbers fit the stream of this flow.
  [[nodiscard]] bool matches(const packet::RouteView &Route) const noexcept;
  /// True once both sides have sent FIN and everything is acknowledged. The stream then lingers
  /// only to acknowledge a retransmitted FIN.
  [[nodiscard]] bool closed() const noexcept { return Stream.state() == flow::StreamState::Closed; }
  /// True once the stream is broken or has lingered long enough; the flow may then be discarded.
  [[nodiscard]] bool finished() const noexcept;
  /// When onTimer must be called; empty if no timer runs.
  [[nodiscard]] std::optional<common::TimePoint> nextTimer() const noexcept;
  [[nodiscard]] nlohmann::json describe() const;

  void onPacket(const packet::Packet &Received, common::TimePoint Now);
  void onTimer(common::TimePoint Now);
  /// Makes the next response the last one; a flow without a request closes after DrainIdleTime.
  void drain() noexcept;
  /// Sets whether the flow should move to another agent as soon as it is idle. A request whose
  /// first byte has not been read when this is first set does not run on this agent.
  void setMoving(bool ShouldMove) noexcept;
  /// Returns the stream to move to another agent; empty while the flow is not idle or should not
  /// move.
  [[nodiscard]] std::optional<flow::IdleStream> streamToMove() const;
  /// True if the stream began with the same initial sequence numbers as Other.
  [[nodiscard]] bool sameInitialSequenceNumbers(const flow::IdleStream &Other) const noexcept {
    return Stream.sameInitialSequenceNumbers(Other);
  }
  [[nodiscard]] const std::string &service() const noexcept { return Service; }
  /// Makes the next call of advance() reset the flow.
  void abort() noexcept { Aborted = true; }
  /// Transfers bytes between the stream, the session and the dispatcher; returns the packets to
  /// send.
  [[nodiscard]] std::vector<packet::Packet> advance(common::TimePoint Now);
  /// Cancels the request in progress, if any, without sending anything to the caller.
  void discard();

private:
  /// Returns the callbacks for the events of the request with the current generation.
  [[nodiscard]] ExchangeCallbacks exchangeEvents();
  /// True if bytes from the caller may be read now.
  [[nodiscard]] bool canReadCaller() const noexcept;
  [[nodiscard]] bool idle() const noexcept;
  void readCaller();
  void handle(const request::RequestReady &Event);
  void handle(const request::BodyPart &Event);
  void handle(const request::RequestBodyInvalid &Event);
  void handle(const request::CallerClosed &Event);
  void handleEvents();
  void writeCaller();
  /// Pauses the upstream's response while MaxPendingOutput is reached, and resumes it afterwards.
  void updateResponsePause();
  void closeWhenDone(common::TimePoint Now);
  void clearCurrentRequest() noexcept;

  FlowContext &Context;
  std::string Service;
  flow::Stream Stream;
  request::Session Session;
  request::RequestId CurrentRequest = 0; ///< The request in progress; 0 if none.
  /// Incremented when a request starts or is dropped; events of an earlier generation are ignored.
  std::uint64_t Generation = 0;
  std::uint64_t RequestsServed = 0;
  bool ResponsePaused = false;
  bool Draining = false;
  bool Moving = false;
  bool PartialRequestMayRun = false; ///< A request was being read when Moving was set.
  bool FinSent = false;
  bool Aborted = false;
  std::optional<common::TimePoint>
      CloseDeadline; ///< End of DrainIdleTime or CloseTimeout, if one runs.
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_FLOW_CONNECTION_H
