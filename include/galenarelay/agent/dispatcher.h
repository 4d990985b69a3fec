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

/// Pause before a request that provably was not run is queued again.
inline constexpr common::Duration RetryDelay = std::chrono::milliseconds(100);
/// Dispatches of one request, the first one included.
inline constexpr std::uint32_t MaxDispatches = 3;

/// A request of a flow.
struct NewRequest {
  packet::FlowKey Flow;
  std::string Service;
  common::Duration ServiceDeadline = std::chrono::seconds(10); ///< If the request states none.
  request::RequestHead Head;
  std::string Body;
  bool Complete = true;
};

/// What the dispatcher tells the flow of a request; each event comes from the event loop, never
/// from within a call to the dispatcher. The last one is OnAnswer, OnFinished or OnAborted.
struct ExchangeEvents {
  std::function<void(const request::Answer &Whole)> OnAnswer; ///< The agent's own answer.
  std::function<void(const request::ResponseHead &Head)> OnHead;
  std::function<void(std::span<const std::uint8_t> Bytes)> OnData;
  std::function<void()> OnFinished;
  std::function<void()> OnAborted; ///< The response broke after its head was relayed.
  std::function<void()> OnBodySent;
};

/// How the dispatcher claims idempotency keys among the agents of a service.
struct ClaimHooks {
  /// Answered, now or later, by onClaimGranted, onClaimDenied or onClaimFailed.
  std::function<void(request::RequestId Id, request::ClaimKey Key, std::uint64_t Fingerprint)>
      Claim;
  std::function<void(request::RequestId Id, request::ClaimState State, unsigned Status,
                     std::string ContentType, std::string Body)>
      Settle;
  std::function<void(request::RequestId Id)> Release;
};

/// Runs the requests of all flows on the upstream: ledger, scheduler and upstream calls.
class Dispatcher {
public:
  /// Tells how each dispatch ended, for the judgement of the upstream.
  using ResultListener = std::function<void(schedule::Completion How)>;

  Dispatcher(boost::asio::io_context &Io, common::Endpoint Upstream, std::string AgentId,
             schedule::SchedulerOptions Options, common::Metrics &Metrics);
  ~Dispatcher();
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  [[nodiscard]] const request::Ledger &ledger() const noexcept { return Book; }
  [[nodiscard]] schedule::LoadReport loadReport() const;
  /// Body bytes of a request that wait for the upstream.
  [[nodiscard]] std::size_t bodyBacklog(request::RequestId Id) const noexcept;

  void onResult(ResultListener Listener) { Listen = std::move(Listener); }
  /// Without hooks a key is remembered by this agent only.
  void setClaims(ClaimHooks Hooks) { Claims = std::move(Hooks); }
  void onClaimGranted(request::RequestId Id);
  void onClaimDenied(request::RequestId Id, const request::Claim &Holder);
  void onClaimFailed(request::RequestId Id);
  request::RequestId submit(NewRequest Request, ExchangeEvents Events);
  void sendBody(request::RequestId Id, std::string Bytes, bool Last);
  void pauseResponse(request::RequestId Id);
  void resumeResponse(request::RequestId Id);
  /// The caller went away. No event follows.
  void cancel(request::RequestId Id);
  /// The caller's body is malformed or ended early. Returns the answer; no event follows.
  [[nodiscard]] request::Answer breakOff(request::RequestId Id);
  /// Cancels everything, at the end of the process.
  void stop();

private:
  struct Exchange {
    NewRequest Request;
    ExchangeEvents Events;
    schedule::WorkClass Class;
    common::TimePoint Deadline{};
    common::Duration Allowance{};
    std::shared_ptr<UpstreamCall> Call;
    std::shared_ptr<boost::asio::steady_timer> RetryTimer;
    std::string LaterBody; ///< Body parts that came before the dispatch.
    bool LaterLast = false;
    bool Claimed = false;                ///< The key is claimed, or a claim is under way.
    std::optional<request::Answer> Kept; ///< The response so far, for a resend with its key.
    unsigned Status = 0;                 ///< Of the upstream's response.
    std::uint32_t Dispatches = 0;
    bool Relayed = false; ///< The head of the response went to the caller.
  };

  using ExchangeMap = std::unordered_map<request::RequestId, Exchange>;

  [[nodiscard]] Exchange *find(request::RequestId Id) noexcept;
  void enqueue(request::RequestId Id);
  void apply(const std::vector<schedule::Decision> &Decisions);
  void dispatch(request::RequestId Id);
  [[nodiscard]] CallEvents callEvents(request::RequestId Id);
  void onHead(request::RequestId Id, const request::ResponseHead &Head, bool Feed);
  void onData(request::RequestId Id, std::span<const std::uint8_t> Bytes);
  void onEnd(request::RequestId Id, CallResult How, const std::string &Detail);
  void onCompleted(request::RequestId Id);
  void onFailed(request::RequestId Id, CallResult How, const std::string &Detail);
  void retryLater(request::RequestId Id);
  /// Closes a request in the ledger and builds the truthful answer.
  [[nodiscard]] request::Answer conclude(request::RequestId Id,
                                         std::optional<request::DispatchFailure> Failure,
                                         common::ResultCode Reason, common::Duration RetryAfter,
                                         const std::string &Detail);
  /// Drops an exchange and its call; frees its place in the scheduler.
  void release(request::RequestId Id, schedule::Completion How);
  /// Lets a request ask for a slot, now or when its upload's turn has come.
  void admit(request::RequestId Id);
  /// Removes an exchange, and its place among the uploads.
  [[nodiscard]] ExchangeMap::node_type take(request::RequestId Id);
  void leaveGate(request::RequestId Id);
  void claimOrEnqueue(request::RequestId Id);
  void settleClaim(request::RequestId Id, const Exchange &Ended, request::RequestState Final);
  /// Ends a request that was not dispatched with the answer.
  void refuse(request::RequestId Id, common::ResultCode Reason, const std::string &Detail,
              request::Answer Whole);
  void answerLater(ExchangeEvents Events, request::Answer Whole);
  void armTimer();

  boost::asio::io_context &Io;
  common::Endpoint Upstream;
  std::string AgentId;
  std::uint64_t Epoch; ///< Makes generated request IDs differ between starts of one agent.
  request::Ledger Book;
  schedule::Scheduler Queue;
  UploadGate Uploads;
  boost::asio::steady_timer Timer;
  ExchangeMap Exchanges;
  request::RequestId LastId = 0;
  ResultListener Listen;
  ClaimHooks Claims;
  common::Metrics &Metrics;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_DISPATCHER_H
