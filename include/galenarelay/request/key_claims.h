#ifndef GALENARELAY_REQUEST_KEY_CLAIMS_H
#define GALENARELAY_REQUEST_KEY_CLAIMS_H

#include "galenarelay/common/time.h"
#include "galenarelay/flow/flow_router.h"
#include "galenarelay/routing/routing_view.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace galenarelay::request {

/// Number of agents that store each claim. A claim is not lost if two of them fail at once.
inline constexpr std::size_t ClaimReplicas = 3;
/// How long a finished claim is stored. A later resend is not recognized as one.
inline constexpr common::Duration ClaimRetention = std::chrono::minutes(10);
/// Largest number of claims that one agent stores. When it is reached, new claims fail and
/// their requests are not run.
inline constexpr std::size_t MaxClaims = 65'536;
/// A claim that not every replica has granted within this time fails; its request is not run.
inline constexpr common::Duration ClaimTimeout = std::chrono::seconds(2);
/// Interval between retransmissions of a claim or settle message that was not acknowledged.
inline constexpr common::Duration ClaimRetransmitInterval = std::chrono::milliseconds(200);
/// Largest response body stored with a claim, in bytes, so that a claim message fits into one
/// datagram. A larger body is not stored.
inline constexpr std::size_t MaxClaimBody = 512;
/// A claim that is still running after this time becomes unknown: its settle message was lost in a
/// network partition.
inline constexpr common::Duration ClaimRunningLimit = std::chrono::hours(24);
/// Rate limit for sending claims to new replicas after a membership change. At about 300 bytes each
/// this is 9 KB/s of the 15 KB/s that a node may spend on control messages.
inline constexpr std::size_t MaxClaimHandoversPerSecond = 30;

/// State of the request that holds an idempotency key.
enum class ClaimState : std::uint8_t { Running, Answered, Unknown };

/// Identifies a claim: service name and idempotency key.
using ClaimKey = std::pair<config::ServiceName, std::string>;

/// The request that holds an idempotency key, and its outcome.
struct Claim {
  std::string Claimant; ///< "agent#start#request": agent ID, start ID and request ID.
  std::uint64_t Fingerprint = 0;
  ClaimState State = ClaimState::Running;
  unsigned Status = 0;
  std::string ContentType;
  std::string Body;

  friend bool operator==(const Claim &, const Claim &) = default;
};

/// Every replica granted the key, so the request may be queued.
struct ClaimGranted {
  std::uint64_t Request = 0;

  friend bool operator==(const ClaimGranted &, const ClaimGranted &) = default;
};

/// Another request (Holder) holds the key, so this request must not run.
struct ClaimDenied {
  std::uint64_t Request = 0;
  Claim Holder;

  friend bool operator==(const ClaimDenied &, const ClaimDenied &) = default;
};

/// The claim failed: the service has no known replica, not every replica answered within
/// ClaimTimeout, or a replica already stores MaxClaims claims. The request was not run.
struct ClaimFailed {
  std::uint64_t Request = 0;

  friend bool operator==(const ClaimFailed &, const ClaimFailed &) = default;
};

using ClaimAction = std::variant<flow::SendControl, ClaimGranted, ClaimDenied, ClaimFailed>;

/// Claims idempotency keys among the agents of a service, so that a caller's resend that reaches
/// another agent does not run the request again. Implements both roles: the claimant, which asks
/// for a key on behalf of a request, and the replica, which stores claims.
class KeyClaims {
public:
  /// StartId must differ between two starts of an agent. Request IDs begin again at each start, so
  /// an equal StartId would let a request be granted a key that a request of the earlier process
  /// holds.
  KeyClaims(std::string SelfId, std::uint64_t StartId);

  /// Number of claims that this agent stores as a replica.
  [[nodiscard]] std::size_t storedCount() const noexcept { return StoredClaims.size(); }
  /// Number of requests of this agent that wait for grants.
  [[nodiscard]] std::size_t pendingCount() const noexcept { return PendingClaims.size(); }
  /// True while a claim waits for grants or a settle message for acknowledgements.
  [[nodiscard]] bool hasPendingWork() const noexcept {
    return !PendingClaims.empty() || !PendingSettles.empty();
  }
  /// When onTimer must be called next; empty if nothing is due.
  [[nodiscard]] std::optional<common::TimePoint> nextTimer() const noexcept;

  /// Asks the replicas for a key on behalf of a request. The outcome is a ClaimGranted, ClaimDenied
  /// or ClaimFailed action of this or a later call.
  [[nodiscard]] std::vector<ClaimAction> claim(std::uint64_t Request, ClaimKey Key,
                                               std::uint64_t Fingerprint, common::TimePoint Now);
  /// Reports to the replicas that a granted request ended: with a response (Answered) or with an
  /// unknown outcome (Unknown).
  [[nodiscard]] std::vector<ClaimAction> settle(std::uint64_t Request, ClaimState State,
                                                unsigned Status, std::string ContentType,
                                                std::string Body, common::TimePoint Now);
  /// Releases the key of a request that provably did not run and never will.
  [[nodiscard]] std::vector<ClaimAction> release(std::uint64_t Request, common::TimePoint Now);
  /// Handles a message of type "claim", "claimed", "settle", "settled" or "claims". Throws
  /// nlohmann::json::exception for a malformed one, which has no effect, except that the readable
  /// entries of a list take effect.
  [[nodiscard]] std::vector<ClaimAction> onControl(const nlohmann::json &Message,
                                                   common::Endpoint From, common::TimePoint Now);
  [[nodiscard]] std::vector<ClaimAction>
  onViewChange(std::shared_ptr<const routing::RoutingView> View, common::TimePoint Now);
  [[nodiscard]] std::vector<ClaimAction> onTimer(common::TimePoint Now);

private:
  struct Replica {
    std::string Id;
    common::Endpoint Control;
  };
  struct StoredClaim {
    Claim Value;
    /// End of ClaimRunningLimit while Running, otherwise of ClaimRetention.
    common::TimePoint ExpiresAt{};
  };
  struct PendingClaim {
    ClaimKey Key;
    Claim Value;
    std::map<std::string, Replica> Unanswered;
    std::vector<Replica> Replicas;
    std::size_t Grants = 0;
    common::TimePoint Deadline{};
    common::TimePoint NextSend{};
  };
  struct ActiveClaim {
    ClaimKey Key;
    Claim Value;
    std::vector<Replica> Replicas;
  };
  struct Handover {
    ClaimKey Key;
    std::vector<Replica> Targets;
  };
  struct PendingSettle {
    nlohmann::json Message;
    std::map<std::string, Replica> Unanswered;
    common::TimePoint Deadline{};
    common::TimePoint NextSend{};
  };

  [[nodiscard]] static std::vector<Replica> replicasOf(const routing::RoutingView *View,
                                                       const ClaimKey &Key);
  [[nodiscard]] std::string claimantName(std::uint64_t Request) const;
  /// Stores a claim unless another claimant holds the key. Returns the claim of that holder, an
  /// empty claim if the table is full, or nothing if the key is granted.
  [[nodiscard]] std::optional<Claim> storeUnlessClaimed(const ClaimKey &Key, const Claim &Value,
                                                        common::TimePoint Now);
  void erase(const ClaimKey &Key);
  void store(const ClaimKey &Key, const Claim &Value, common::TimePoint Now);
  void deny(std::uint64_t Request, const Claim &Holder, common::TimePoint Now,
            std::vector<ClaimAction> &Actions);
  void planHandover(const routing::RoutingView *Previous, const ClaimKey &Key);
  void dropDeadReplicas(std::vector<ClaimAction> &Actions);
  void applySettle(const nlohmann::json &Message, common::TimePoint Now);
  void beginSettle(const ActiveClaim &Active, nlohmann::json Message, common::TimePoint Now,
                   std::vector<ClaimAction> &Actions);
  void onClaim(const nlohmann::json &Message, common::Endpoint From, common::TimePoint Now,
               std::vector<ClaimAction> &Actions);
  void onClaimed(const nlohmann::json &Message, common::TimePoint Now,
                 std::vector<ClaimAction> &Actions);
  void onSettled(const nlohmann::json &Message);
  void onHandover(const nlohmann::json &Message, common::TimePoint Now);
  void takeOver(const ClaimKey &Key, const Claim &Value, common::TimePoint Now);
  void grant(std::uint64_t Request, std::vector<ClaimAction> &Actions);
  void abandon(std::uint64_t Request, common::TimePoint Now, std::vector<ClaimAction> &Actions);
  void sendClaim(std::uint64_t Request, common::TimePoint Now, std::vector<ClaimAction> &Actions);
  void expire(common::TimePoint Now);
  void sendHandovers(common::TimePoint Now, std::vector<ClaimAction> &Actions);

  std::string SelfId;
  std::uint64_t StartId;
  std::shared_ptr<const routing::RoutingView> View;
  std::map<ClaimKey, StoredClaim> StoredClaims;
  std::map<std::uint64_t, PendingClaim> PendingClaims;
  /// Claims granted to requests of this agent that are still running.
  std::map<std::uint64_t, ActiveClaim> ActiveClaims;
  std::map<std::uint64_t, PendingSettle> PendingSettles;
  /// Claimants that released their key, and until when their late claim messages are ignored.
  std::map<std::string, common::TimePoint> ReleasedClaimants;
  std::set<std::pair<common::TimePoint, ClaimKey>> Expiries; ///< One entry for each stored claim.
  std::deque<Handover> Handovers;
  common::TimePoint NextHandover{};
};

} // namespace galenarelay::request

#endif // GALENARELAY_REQUEST_KEY_CLAIMS_H
