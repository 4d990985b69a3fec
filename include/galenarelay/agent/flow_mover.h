#ifndef GALENARELAY_AGENT_FLOW_MOVER_H
#define GALENARELAY_AGENT_FLOW_MOVER_H

#include "galenarelay/common/error.h"
#include "galenarelay/flow/flow_router.h"
#include "galenarelay/flow/stream.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenarelay::agent {

/// Moves that begin per second; at up to 1,000 bytes each they stay short of a data-plane burst.
inline constexpr double MovesPerSecond = 200;
/// Pause between two sends of an unanswered move.
inline constexpr common::Duration MoveResend = std::chrono::milliseconds(200);
/// Pause before a declined flow is offered again.
inline constexpr common::Duration MoveRetry = std::chrono::milliseconds(500);

/// A flow offered to a peer, as the control message "adopt" carries it.
struct FlowOffer {
  config::ServiceName Service;
  flow::IdleStream Stream;

  friend bool operator==(const FlowOffer &, const FlowOffer &) = default;
};

[[nodiscard]] nlohmann::json toMessage(const FlowOffer &Offer);

/// Reads a control message of type "adopt". Errors: MessageMalformed.
[[nodiscard]] common::Result<FlowOffer> offerFromMessage(const nlohmann::json &Message);

/// The answer to an offer: "adopted" or "declined".
[[nodiscard]] nlohmann::json offerAnswer(const packet::FlowKey &Key, const std::string &SelfId,
                                         bool Adopted);

/// Flows on their way to other agents. While a flow is here, its packets must not be processed: the
/// peer may have taken it although its answer was lost.
class FlowMover {
public:
  [[nodiscard]] bool moving(const packet::FlowKey &Key) const { return Moves.contains(Key); }
  [[nodiscard]] std::size_t count() const noexcept { return Moves.size(); }
  [[nodiscard]] std::optional<common::TimePoint> nextTimer() const noexcept;
  /// True if a move may begin now; takes it from the rate.
  [[nodiscard]] bool takeMove(const packet::FlowKey &Key, common::TimePoint Now);

  [[nodiscard]] flow::SendControl begin(FlowOffer Offer, const membership::Member &Target,
                                        common::TimePoint Now);
  /// The target's answer; true if it belongs to a move, which ends.
  [[nodiscard]] bool end(const packet::FlowKey &Key, const std::string &Owner);
  /// The flow may not be offered again before MoveRetry has passed.
  void postpone(const packet::FlowKey &Key, common::TimePoint Now);
  /// Ends and returns the moves whose target is dead. It is unknown whether it took them.
  [[nodiscard]] std::vector<packet::FlowKey> takeAbandoned(const routing::RoutingView &View);
  /// Offers to repeat.
  [[nodiscard]] std::vector<flow::SendControl> onTimer(common::TimePoint Now);
  /// Flows whose next offer is due, to be tried again.
  [[nodiscard]] std::vector<packet::FlowKey> takeDue(common::TimePoint Now);

private:
  struct Move {
    std::string TargetId;
    flow::SendControl Offer;
    common::TimePoint NextSend{};
  };

  std::map<packet::FlowKey, Move> Moves;
  std::map<packet::FlowKey, common::TimePoint> Postponed;
  double Tokens = MovesPerSecond / 10;
  common::TimePoint TokensAt{};
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_FLOW_MOVER_H
