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

/// Limit of the moves that begin per second. With up to 1,000 bytes per move, their traffic stays
/// below a burst of the data plane.
inline constexpr double MovesPerSecond = 200;
/// Interval at which an unanswered offer is sent again.
inline constexpr common::Duration MoveResendInterval = std::chrono::milliseconds(200);
/// Delay before a declined flow, or one without a target, is offered again.
inline constexpr common::Duration MoveRetryDelay = std::chrono::milliseconds(500);

/// An offer to another agent to take over a flow, sent as the control message "adopt".
struct FlowOffer {
  config::ServiceName Service;
  flow::IdleStream Stream;

  friend bool operator==(const FlowOffer &, const FlowOffer &) = default;
};

/// Writes a control message of type "adopt".
[[nodiscard]] nlohmann::json toMessage(const FlowOffer &Offer);

/// Reads a control message of type "adopt". Errors: MessageMalformed, MessageTooLong.
[[nodiscard]] common::Result<FlowOffer> offerFromMessage(const nlohmann::json &Message);

/// Writes the answer to an offer, a control message of type "adopted" or "declined".
[[nodiscard]] nlohmann::json offerAnswer(const packet::FlowKey &Key, const std::string &SelfId,
                                         bool Adopted);

/// Tracks the flows that are offered to other agents, repeats unanswered offers and limits the rate
/// of moves. While a flow is moving, its packets must not be processed here: the target may have
/// adopted it although its answer was lost.
class FlowMover {
public:
  [[nodiscard]] bool moving(const packet::FlowKey &Key) const { return Moves.contains(Key); }
  [[nodiscard]] std::size_t count() const noexcept { return Moves.size(); }
  /// When the next offer is to be sent again or the next postponed flow retried; empty if none is.
  [[nodiscard]] std::optional<common::TimePoint> nextTimer() const noexcept;
  /// Takes a token of the rate limit and returns true if a move of the flow may begin now. Returns
  /// false if the flow is moving or postponed already; without a token, also postpones the flow.
  [[nodiscard]] bool takeMoveToken(const packet::FlowKey &Key, common::TimePoint Now);

  /// Records a move to Target and returns the offer to send.
  [[nodiscard]] flow::SendControl beginMove(FlowOffer Offer, const membership::Member &Target,
                                            common::TimePoint Now);
  /// Ends the move that the answer of agent Owner belongs to; returns false if there is none.
  [[nodiscard]] bool endMove(const packet::FlowKey &Key, const std::string &Owner);
  /// Keeps the flow from being offered again before MoveRetryDelay has passed.
  void postpone(const packet::FlowKey &Key, common::TimePoint Now);
  /// Ends the moves whose target is dead or no longer a member, and returns their flows. It is
  /// unknown whether the target adopted them.
  [[nodiscard]] std::vector<packet::FlowKey> takeAbandonedMoves(const routing::RoutingView &View);
  /// Returns the unanswered offers that are due to be sent again.
  [[nodiscard]] std::vector<flow::SendControl> onTimer(common::TimePoint Now);
  /// Returns and forgets the postponed flows that may be offered again.
  [[nodiscard]] std::vector<packet::FlowKey> takeRetriesDue(common::TimePoint Now);

private:
  struct Move {
    std::string TargetId;
    flow::SendControl Offer;
    common::TimePoint NextSend{};
  };

  std::map<packet::FlowKey, Move> Moves;
  std::map<packet::FlowKey, common::TimePoint> Postponed; ///< By flow: when to offer it again.
  double Tokens = MovesPerSecond / 10;
  common::TimePoint TokensUpdated{};
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_FLOW_MOVER_H
