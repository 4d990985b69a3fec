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

/// Agents that keep each claim. Two may fail at once without a claim being lost.
inline constexpr std::size_t ClaimReplicas = 3;
/// A finished claim is kept this long; a resend after it is not recognised.
inline constexpr common::Duration ClaimRetention = std::chrono::minutes(10);
/// Claims kept by one agent. At the bound a new claim is denied, and its request is not run.
inline constexpr std::size_t MaxClaims = 65'536;
/// A claim without every replica's grant after this time fails, and its request is not run.
inline constexpr common::Duration ClaimTimeout = std::chrono::seconds(2);
/// Pause between two sends of an unanswered claim message.
inline constexpr common::Duration ClaimResend = std::chrono::milliseconds(200);
/// Largest answer body that a claim keeps, in bytes, so that a message fits a datagram.
inline constexpr std::size_t MaxClaimBody = 512;
/// A claim that still runs after this time counts as unknown: its end was lost in a partition.
inline constexpr common::Duration ClaimRunningLimit = std::chrono::hours(24);
/// Claims handed to new replicas per second after a change of members: at about 300 bytes each,
/// 9 KB/s of the 15 KB/s that a node may spend on control.
inline constexpr std::size_t ClaimHandoversPerSecond = 30;

/// What is known of the request that holds an idempotency key.
enum class ClaimState : std::uint8_t { Running, Answered, Unknown };

/// Service and idempotency key.
using ClaimKey = std::pair<config::ServiceName, std::string>;

/// Who holds a key and how its request ended.
struct Claim {
  std::string Claimant; ///< Agent ID, life and request ID.
  std::uint64_t Fingerprint = 0;
  ClaimState State = ClaimState::Running;
  unsigned Status = 0;
  std::string ContentType;
  std::string Body;

  friend bool operator==(const Claim &, const Claim &) = default;
};

/// Every replica granted the key; the request may be queued.
struct ClaimGranted {
  std::uint64_t Request = 0;

  friend bool operator==(const ClaimGranted &, const ClaimGranted &) = default;
};

/// Another request holds the key; this one must not run.
struct ClaimDenied {
  std::uint64_t Request = 0;
  Claim Holder;

  friend bool operator==(const ClaimDenied &, const ClaimDenied &) = default;
};

/// The replicas could not be asked in time; the request was not run.
struct ClaimFailed {
  std::uint64_t Request = 0;

  friend bool operator==(const ClaimFailed &, const ClaimFailed &) = default;
};

using ClaimAction = std::variant<flow::SendControl, ClaimGranted, ClaimDenied, ClaimFailed>;

/// Claims idempotency keys among the agents of a service, so that a caller's resend that reaches
/// another agent does not run the request again. Both roles: claimant and replica.
class KeyClaims {
public:
  /// Life must differ between two starts of an agent: request IDs begin again at each start, and an
  /// equal claimant would be granted its predecessor's key.
  KeyClaims(std::string SelfId, std::uint64_t Life);

  /// Claims kept here as a replica.
  [[nodiscard]] std::size_t kept() const noexcept { return Kept.size(); }
  /// Requests that wait for grants.
  [[nodiscard]] std::size_t waiting() const noexcept { return Waiting.size(); }
  /// True while an end of a claim still has to reach a replica.
  [[nodiscard]] bool busy() const noexcept { return !Waiting.empty() || !Settling.empty(); }
  [[nodiscard]] std::optional<common::TimePoint> nextTimer() const noexcept;

  /// Asks for a key on behalf of a request.
  [[nodiscard]] std::vector<ClaimAction> claim(std::uint64_t Request, ClaimKey Key,
                                               std::uint64_t Fingerprint, common::TimePoint Now);
  /// The request ended with an answer, or its outcome is unknown (State).
  [[nodiscard]] std::vector<ClaimAction> settle(std::uint64_t Request, ClaimState State,
                                                unsigned Status, std::string ContentType,
                                                std::string Body, common::TimePoint Now);
  /// The request provably did not run and will not: the key is free again.
  [[nodiscard]] std::vector<ClaimAction> release(std::uint64_t Request, common::TimePoint Now);
  /// Takes a message whose type is "claim", "claimed", "settle", "settled" or "claims".
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
  struct KeptClaim {
    Claim Value;
    common::TimePoint Ends{}; ///< End of the retention, or of ClaimRunningLimit while Running.
  };
  struct WaitingClaim {
    ClaimKey Key;
    Claim Value;
    std::map<std::string, Replica> Unanswered;
    std::vector<Replica> Asked;
    std::size_t Grants = 0;
    common::TimePoint Deadline{};
    common::TimePoint NextSend{};
  };
  struct HeldClaim {
    ClaimKey Key;
    Claim Value;
    std::vector<Replica> Asked;
  };
  struct Handover {
    ClaimKey Key;
    std::vector<Replica> Targets;
  };
  struct SettlingClaim {
    nlohmann::json Message;
    std::map<std::string, Replica> Unanswered;
    common::TimePoint Deadline{};
    common::TimePoint NextSend{};
  };

  [[nodiscard]] static std::vector<Replica> replicasOf(const routing::RoutingView *View,
                                                       const ClaimKey &Key);
  [[nodiscard]] std::string claimantName(std::uint64_t Request) const;
  /// Records a claim here; returns the other holder if there is one.
  [[nodiscard]] std::optional<Claim> keep(const ClaimKey &Key, const Claim &Value,
                                          common::TimePoint Now);
  void erase(const ClaimKey &Key);
  void store(const ClaimKey &Key, const Claim &Value, common::TimePoint Now);
  void deny(std::uint64_t Request, const Claim &Holder, common::TimePoint Now,
            std::vector<ClaimAction> &Actions);
  void planHandover(const routing::RoutingView *Previous, const ClaimKey &Key);
  void forgetDeadReplicas(std::vector<ClaimAction> &Actions);
  void applySettle(const nlohmann::json &Message, common::TimePoint Now);
  void beginSettle(const HeldClaim &Held, nlohmann::json Message, common::TimePoint Now,
                   std::vector<ClaimAction> &Actions);
  void onClaim(const nlohmann::json &Message, common::Endpoint From, common::TimePoint Now,
               std::vector<ClaimAction> &Actions);
  void onClaimed(const nlohmann::json &Message, common::TimePoint Now,
                 std::vector<ClaimAction> &Actions);
  void onSettled(const nlohmann::json &Message);
  void onHandover(const nlohmann::json &Message, common::TimePoint Now);
  void grant(std::uint64_t Request, std::vector<ClaimAction> &Actions);
  void abandon(std::uint64_t Request, common::TimePoint Now, std::vector<ClaimAction> &Actions);
  void sendClaim(std::uint64_t Request, common::TimePoint Now, std::vector<ClaimAction> &Actions);
  void expire(common::TimePoint Now);
  void handOver(common::TimePoint Now, std::vector<ClaimAction> &Actions);
  [[nodiscard]] std::vector<ClaimAction>
  dispatchControl(const nlohmann::json &Message, common::Endpoint From, common::TimePoint Now);

  std::string SelfId;
  std::uint64_t Life;
  std::shared_ptr<const routing::RoutingView> View;
  std::map<ClaimKey, KeptClaim> Kept;
  std::map<std::uint64_t, WaitingClaim> Waiting;
  std::map<std::uint64_t, HeldClaim> Held; ///< Granted requests of this agent that still run.
  std::map<std::uint64_t, SettlingClaim> Settling;
  std::map<std::string, common::TimePoint> Freed; ///< Claimants whose late messages are refused.
  std::set<std::pair<common::TimePoint, ClaimKey>> Expiries; ///< One for each kept claim.
  std::deque<Handover> Handovers;
  common::TimePoint NextHandover{};
};

} // namespace galenarelay::request

#endif // GALENARELAY_REQUEST_KEY_CLAIMS_H
