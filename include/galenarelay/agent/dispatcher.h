#ifndef GALENARELAY_AGENT_DISPATCHER_H
#define GALENARELAY_AGENT_DISPATCHER_H

#include "galenarelay/agent/upload_gate.h"
#include "galenarelay/agent/upstream_call.h"
#include "galenarelay/common/metrics.h"
#include "galenarelay/packet/packet.h"
#include "galenarelay/request/key_claims.h"
#include "galenarelay/request/ledger.h"
#include "galenarelay/request/message.h"
#include "galenarelay/schedule/scheduler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>

namespace galenarelay::agent {

/// Delay before a request that may be dispatched again returns to the queue.
inline constexpr common::Duration RetryDelay = std::chrono::milliseconds(100);
/// Maximum dispatches of one request, including the first.
inline constexpr std::uint32_t MaxDispatches = 3;

/// A request received on a flow. Body may hold only the first part of the request's body.
struct NewRequest {
  packet::FlowKey Flow;
  std::string Service;
  /// Used if the request states no deadline.
  common::Duration ServiceDeadline = std::chrono::seconds(10);
  request::RequestHead Head;
  std::string Body;
  bool Complete = true; ///< False: more of the body follows by sendBody().
};

/// Callbacks for the flow that submitted a request. They are called from the event loop, never from
/// within a call to the dispatcher. The last one is OnAnswer, OnResponseEnd or OnAborted.
struct ExchangeCallbacks {
  /// The agent itself answers the request.
  std::function<void(const request::Answer &Response)> OnAnswer;
  std::function<void(const request::ResponseHead &Head)> OnHead;
  std::function<void(std::span<const std::uint8_t> Bytes)> OnData;
  std::function<void()> OnResponseEnd;
  std::function<void()> OnAborted; ///< The response failed after its head was relayed.
  /// Body bytes were written to the upstream's connection; bodyBacklog() returns how many remain.
  std::function<void()> OnBodySent;
};

/// Functions by which the dispatcher claims idempotency keys among the agents of a service.
struct ClaimHooks {
  /// Claims the key. onClaimGranted(), onClaimDenied() or onClaimFailed() follows, possibly before
  /// this returns.
  std::function<void(request::RequestId Id, request::ClaimKey Key, std::uint64_t Fingerprint)>
      Claim;
  /// Records the outcome of a request that was run or may have been run.
  std::function<void(request::RequestId Id, request::ClaimState State, unsigned Status,
                     std::string ContentType, std::string Body)>
      Settle;
  /// Frees the key of a request that was not run.
  std::function<void(request::RequestId Id)> Release;
};

/// Passes the requests of all flows to the upstream. Joins the request ledger, the scheduler and
/// the upstream calls.
class Dispatcher {
public:
  /// Called with the outcome of each dispatch, as evidence for the health of the upstream.
  using ResultListener = std::function<void(schedule::Completion Outcome)>;

  Dispatcher(boost::asio::io_context &Io, common::Endpoint Upstream, std::string AgentId,
             schedule::SchedulerOptions Options, common::Metrics &Metrics);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  [[nodiscard]] const request::Ledger &ledger() const noexcept { return RequestLedger; }
  [[nodiscard]] schedule::LoadReport loadReport() const;
  /// Body bytes of a request that were not yet written to the upstream; 0 for an unknown request.
  [[nodiscard]] std::size_t bodyBacklog(request::RequestId Id) const noexcept;

  void setResultListener(ResultListener Listener) { NotifyResult = std::move(Listener); }
  /// Without hooks only this agent's ledger detects requests with the same idempotency key.
  void setClaimHooks(ClaimHooks Hooks) { Claims = std::move(Hooks); }
  void onClaimGranted(request::RequestId Id);
  void onClaimDenied(request::RequestId Id, const request::Claim &Holder);
  void onClaimFailed(request::RequestId Id);
  /// Accepts a request and returns its ID. It is dispatched, queued or answered by the agent
  /// itself.
  request::RequestId submit(NewRequest Request, ExchangeCallbacks Events);
  /// Passes on the next part of the body; Last marks the final one.
  void sendBody(request::RequestId Id, std::string Bytes, bool Last);
  void pauseResponse(request::RequestId Id);
  void resumeResponse(request::RequestId Id);
  /// Cancels a request whose caller closed the flow. No event follows.
  void cancel(request::RequestId Id);
  /// Ends a request whose body is malformed or ended early, and returns the answer for its caller.
  /// No event follows.
  [[nodiscard]] request::Answer abortUpload(request::RequestId Id);
  /// Cancels all upstream calls and drops all exchanges, at the end of the process.
  void stop();

private:
  /// An unfinished request and the state of its response.
  struct Exchange {
    NewRequest Request;
    ExchangeCallbacks Events;
    schedule::WorkClass Class;
    common::TimePoint Deadline{};
    common::Duration Timeout{}; ///< The stated deadline as a duration, or the service's.
    std::shared_ptr<UpstreamCall> Call;
    std::shared_ptr<boost::asio::steady_timer> RetryTimer;
    std::string PendingBody;   ///< Body parts received before the dispatch.
    bool BodyComplete = false; ///< PendingBody includes the last part of the body.
    bool KeyClaimed = false;   ///< The key is claimed or being claimed.
    /// The response so far, kept for resends with its idempotency key.
    std::optional<request::Answer> KeptResponse;
    unsigned Status = 0; ///< Status of the upstream's response; 0 before its head.
    std::uint32_t Dispatches = 0;
    bool HeadRelayed = false; ///< The response head was relayed to the caller.
  };

  using ExchangeMap = std::unordered_map<request::RequestId, Exchange>;

  [[nodiscard]] Exchange *find(request::RequestId Id) noexcept;
  void enqueue(request::RequestId Id);
  void apply(const std::vector<schedule::Decision> &Decisions);
  void dispatch(request::RequestId Id);
  [[nodiscard]] UpstreamCallbacks makeCallEvents(request::RequestId Id);
  void onHead(request::RequestId Id, const request::ResponseHead &Head, bool Feed);
  void onData(request::RequestId Id, std::span<const std::uint8_t> Bytes);
  void onCallEnded(request::RequestId Id, CallResult Result, const std::string &Detail);
  void onCallCompleted(request::RequestId Id);
  void onCallFailed(request::RequestId Id, CallResult Result, const std::string &Detail);
  void scheduleRetry(request::RequestId Id);
  /// Closes a request in the ledger and builds the answer that fits its final state: not run,
  /// timed out or unknown outcome.
  [[nodiscard]] request::Answer conclude(request::RequestId Id,
                                         std::optional<request::DispatchFailure> Failure,
                                         common::ResultCode Reason, common::Duration RetryAfter,
                                         const std::string &Detail);
  /// Removes an exchange, cancels its call and frees its slot or queue entry in the scheduler.
  void cancelExchange(request::RequestId Id, schedule::Completion Outcome);
  /// Passes a request on to claimOrEnqueue(), at once or when the upload gate admits it; answers
  /// 503 if too many uploads wait.
  void admit(request::RequestId Id);
  /// Removes an exchange from the map and from the upload gate.
  [[nodiscard]] ExchangeMap::node_type removeExchange(request::RequestId Id);
  /// Removes a request from the upload gate, and passes the upload that it admits next to
  /// claimOrEnqueue() from the event loop.
  void leaveUploadGate(request::RequestId Id);
  /// Claims the idempotency key of a request whose method isn't idempotent; enqueues others at
  /// once.
  void claimOrEnqueue(request::RequestId Id);
  /// Releases the claimed key of a request that was not run, or records its outcome.
  void settleClaim(request::RequestId Id, const Exchange &Entry, request::RequestState FinalState);
  /// Ends a request that was not dispatched, with the given answer.
  void refuse(request::RequestId Id, common::ResultCode Reason, const std::string &Detail,
              request::Answer Response);
  void postAnswer(ExchangeCallbacks Events, request::Answer Response);
  void armTimer();

  boost::asio::io_context &Io;
  common::Endpoint Upstream;
  std::string AgentId;
  std::uint64_t Epoch; ///< Start time in ms; makes generated request IDs unique across restarts.
  request::Ledger RequestLedger;
  schedule::Scheduler RequestScheduler;
  UploadLimiter Uploads;
  boost::asio::steady_timer SchedulerTimer;
  ExchangeMap Exchanges;
  request::RequestId LastId = 0;
  ResultListener NotifyResult;
  ClaimHooks Claims;
  common::Metrics &Metrics;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_DISPATCHER_H
