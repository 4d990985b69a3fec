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
  Queued,     ///< Not at the upstream.
  Dispatched, ///< At the upstream.
  Answered,   ///< The upstream's response was relayed.
  NotRun,     ///< Provably not run, and never will be.
  Unknown,    ///< Sent, and no whole response arrived.
};

/// How a dispatch ended without a response that can be relayed.
enum class DispatchFailure : std::uint8_t {
  NothingSent, ///< The connection was refused before a byte was sent.
  Shed,        ///< 503 with Galenarelay-Not-Run: 1.
  Broken,      ///< The connection ended after a byte was sent.
  TimedOut,    ///< The deadline passed after a byte was sent.
};

/// What the ledger must know of a new request.
struct RequestFacts {
  std::string TextId; ///< Galenarelay-Request-Id.
  std::string Flow;
  std::string Service;
  std::string Method;
  std::string Target;
  std::string IdempotencyKey;    ///< Empty if none.
  std::uint64_t Fingerprint = 0; ///< Hash of method, target and body, compared for equal keys.

  friend bool operator==(const RequestFacts &, const RequestFacts &) = default;
};

/// One request as /v1/requests reports it.
struct RequestRecord {
  RequestId Id = 0;
  RequestFacts Facts;
  RequestState State = RequestState::Queued;
  std::uint32_t Dispatches = 0;
  bool MayHaveRun = false; ///< True once one dispatch ended without proof that it did not run.
  unsigned Status = 0;     ///< Status that the caller got; 0 if none was sent.
  common::ResultCode Reason = common::ResultCode::Ok;
  std::string Detail;
  common::TimePoint Arrived{};
  common::TimePoint Ended{};

  friend bool operator==(const RequestRecord &, const RequestRecord &) = default;
};

/// The answer to a request whose Idempotency-Key is already known, or empty to run it.
using OpenResult = std::optional<Answer>;

[[nodiscard]] std::string_view name(RequestState State) noexcept;

/// The states of all requests of an agent. It alone allows a dispatch, a retry or the answer that
/// a request was not run.
class Ledger {
public:
  /// Finished requests kept for /v1/requests; the oldest is forgotten first.
  static constexpr std::size_t MaxHistory = 4096;
  /// Remembered keys of finished requests. At the bound the oldest key is forgotten, and a resend
  /// with it runs again; at 10 keyed requests a second a key is kept for about 7 minutes.
  static constexpr std::size_t MaxKeys = 4096;
  /// Largest answer body kept for a resend; a resend of a larger one gets 409 with its status.
  static constexpr std::size_t MaxKeptBody = 4 * 1024;

  [[nodiscard]] std::size_t open() const noexcept { return Open.size(); }
  [[nodiscard]] std::size_t rememberedKeys() const noexcept { return Keys.size(); }
  /// State of an open request; empty if it is final or unknown here.
  [[nodiscard]] std::optional<RequestState> state(RequestId Id) const noexcept;
  /// Open and finished requests with this textual ID, oldest first.
  [[nodiscard]] std::vector<RequestRecord> find(std::string_view TextId) const;

  /// Enters a request as Queued, or returns the answer that its key demands and enters nothing.
  [[nodiscard]] OpenResult enter(RequestId Id, RequestFacts Facts, common::TimePoint Now);
  /// Queued -> Dispatched. False: the request must not be sent.
  [[nodiscard]] bool dispatch(RequestId Id);
  /// Dispatched -> Queued if another dispatch is allowed: it provably was not run, or the method
  /// is idempotent and no response byte was relayed. False: it stays Dispatched.
  [[nodiscard]] bool requeue(RequestId Id, DispatchFailure Failure);
  /// Notes that the head of the upstream's response goes to the caller; no requeue follows.
  void answerStarted(RequestId Id, unsigned Status);
  /// Dispatched -> Answered. The answer, if given, is kept for resends with the same key.
  void answered(RequestId Id, std::optional<Answer> Kept, common::TimePoint Now);
  /// Ends a request without a whole upstream response: NotRun if it never left the queue or each
  /// dispatch provably did not run it, otherwise Unknown. Failure describes the last dispatch.
  [[nodiscard]] RequestState giveUp(RequestId Id, std::optional<DispatchFailure> Failure,
                                    common::ResultCode Reason, std::string Detail,
                                    common::TimePoint Now);
  /// Records the status of the agent's own answer to a finished request.
  void noteStatus(RequestId Id, unsigned Status) noexcept;

private:
  struct KeyEntry {
    std::uint64_t Fingerprint = 0;
    std::optional<RequestState> Final; ///< Empty while the request runs.
    unsigned Status = 0;
    std::optional<Answer> Kept;
  };
  using KeyName = std::pair<std::string, std::string>; ///< Service and key.
  struct OpenRequest {
    RequestRecord Record;
    bool AnswerStarted = false;
  };

  [[nodiscard]] OpenResult answerForKey(const KeyEntry &Known, const RequestFacts &Facts) const;
  void close(RequestId Id, RequestState Final, std::optional<Answer> Kept, common::TimePoint Now);
  void rememberKey(const RequestRecord &Record, std::optional<Answer> Kept);

  std::unordered_map<RequestId, OpenRequest> Open;
  std::deque<RequestRecord> History;
  std::map<KeyName, KeyEntry> Keys;
  std::deque<KeyName> FinishedKeys; ///< Oldest first.
};

} // namespace galenarelay::request

#endif // GALENARELAY_REQUEST_LEDGER_H
