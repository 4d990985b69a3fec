#ifndef GALENARELAY_REQUEST_LEDGER_H
#define GALENARELAY_REQUEST_LEDGER_H

#include "galenarelay/common/result_code.h"
#include "galenarelay/common/time.h"
#include "galenarelay/request/message.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace galenarelay::request {

using RequestId = std::uint64_t;

/// State of a request; the last three are final.
enum class RequestState : std::uint8_t {
  Queued,     ///< Waits for its first or next dispatch.
  Dispatched, ///< Sent, or being sent, to an upstream.
  Answered,   ///< The upstream's whole response was relayed.
  NotRun,     ///< Ended; provably was not run and never will be.
  Unknown,    ///< Ended; was sent, but no whole response arrived.
};

/// Why a dispatch ended without a whole response that can be relayed.
enum class DispatchFailure : std::uint8_t {
  NothingSent,    ///< The connection was refused before a byte was sent.
  Shed,           ///< The upstream sent 503 with Galenarelay-Not-Run: 1.
  ConnectionLost, ///< The connection ended after a byte was sent.
  TimedOut,       ///< The deadline passed after a byte was sent.
};

/// Properties of a new request that the ledger records.
struct RequestFacts {
  std::string TextId; ///< Galenarelay-Request-Id.
  std::string Flow;
  std::string Service;
  std::string Method;
  std::string Target;
  std::string IdempotencyKey;    ///< Empty if none.
  std::uint64_t Fingerprint = 0; ///< Hash of method, target and body. Requests with equal
                                 ///< keys must have equal fingerprints.

  friend bool operator==(const RequestFacts &, const RequestFacts &) = default;
};

/// State and history of one request, as /v1/requests reports it.
struct RequestRecord {
  RequestId Id = 0;
  RequestFacts Facts;
  RequestState State = RequestState::Queued;
  std::uint32_t Dispatches = 0;
  bool MayHaveRun = false; ///< True once a dispatch ended without proof that the request was not
                           ///< run.
  unsigned Status = 0;     ///< Response status sent to the caller; 0 if none was sent.
  common::ResultCode Reason = common::ResultCode::Ok;
  std::string Detail;
  common::TimePoint Arrived{};
  common::TimePoint Ended{};

  friend bool operator==(const RequestRecord &, const RequestRecord &) = default;
};

/// Response to a request whose Idempotency-Key is already known; empty if the request is to be run.
using OpenResult = std::optional<Answer>;

[[nodiscard]] std::string_view name(RequestState State) noexcept;

/// States of all requests of an agent. Only the ledger decides whether a request may be dispatched
/// or retried and whether its caller may be told that it was not run.
class Ledger {
public:
  /// Largest number of finished requests kept for /v1/requests. The oldest one is evicted first.
  static constexpr std::size_t MaxHistory = 4096;
  /// Largest number of idempotency keys of finished requests that are kept. Beyond it the oldest
  /// key is evicted, and a resend with that key runs again. At 10 requests with keys per second a
  /// key is kept for about 7 minutes.
  static constexpr std::size_t MaxKeys = 4096;
  /// Largest response body, in bytes, kept to answer a resend. If the body was larger, a resend
  /// gets a 409 response that names the original status.
  static constexpr std::size_t MaxKeptBody = 4 * 1024;

  /// Number of requests that are queued or dispatched.
  [[nodiscard]] std::size_t openCount() const noexcept { return OpenRequests.size(); }
  /// Number of idempotency keys of open and finished requests.
  [[nodiscard]] std::size_t rememberedKeys() const noexcept { return Keys.size(); }
  /// State of an open request; empty if the request has ended or the ID is unknown.
  [[nodiscard]] std::optional<RequestState> state(RequestId Id) const noexcept;
  /// Open and finished requests with this Galenarelay-Request-Id, oldest first.
  [[nodiscard]] std::vector<RequestRecord> find(std::string_view TextId) const;

  /// Adds a request as Queued. If its Idempotency-Key is already known, returns the response for it
  /// instead and adds nothing.
  [[nodiscard]] OpenResult add(RequestId Id, RequestFacts Facts, common::TimePoint Now);
  /// Queued -> Dispatched. Returns false if the request must not be sent.
  [[nodiscard]] bool dispatch(RequestId Id);
  /// Dispatched -> Queued if no response byte was relayed and either the request provably was not
  /// run or its method is idempotent. Otherwise returns false and it stays Dispatched.
  [[nodiscard]] bool requeue(RequestId Id, DispatchFailure Failure);
  /// Records that the head of the upstream's response is sent to the caller, which rules out a
  /// requeue.
  void responseStarted(RequestId Id, unsigned Status);
  /// Dispatched -> Answered. The response, if given, is kept for resends with the same key.
  void answered(RequestId Id, std::optional<Answer> Response, common::TimePoint Now);
  /// Ends a request without a whole upstream response. Returns its final state: NotRun if it was
  /// never dispatched or no dispatch can have run it, otherwise Unknown. Failure tells how the last
  /// dispatch ended.
  [[nodiscard]] RequestState endWithoutResponse(RequestId Id,
                                                std::optional<DispatchFailure> Failure,
                                                common::ResultCode Reason, std::string Detail,
                                                common::TimePoint Now);
  /// Records the status of the response that the agent itself made to a finished request.
  void recordStatus(RequestId Id, unsigned Status) noexcept;

private:
  struct KeyEntry {
    std::uint64_t Fingerprint = 0;
    std::optional<RequestState> Final; ///< Empty while the request runs.
    unsigned Status = 0;
    std::optional<Answer> Response;
  };
  using ServiceKey = std::pair<std::string, std::string>; ///< Service and key.
  struct OpenRequest {
    RequestRecord Record;
    bool ResponseStarted = false;
  };

  [[nodiscard]] OpenResult responseForKey(const KeyEntry &Entry, const RequestFacts &Facts) const;
  void finish(RequestId Id, RequestState Final, std::optional<Answer> Response,
              common::TimePoint Now);
  void rememberKey(const RequestRecord &Record, std::optional<Answer> Response);

  std::unordered_map<RequestId, OpenRequest> OpenRequests;
  std::deque<RequestRecord> History;
  std::map<ServiceKey, KeyEntry> Keys;
  std::deque<ServiceKey> FinishedKeys; ///< Keys of finished requests, oldest first.
};

} // namespace galenarelay::request

#endif // GALENARELAY_REQUEST_LEDGER_H
