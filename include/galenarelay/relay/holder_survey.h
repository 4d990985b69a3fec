#ifndef GALENARELAY_RELAY_HOLDER_SURVEY_H
#define GALENARELAY_RELAY_HOLDER_SURVEY_H

#include "galenarelay/common/random.h"
#include "galenarelay/common/time.h"
#include "galenarelay/relay/peer_message.h"
#include "galenarelay/relay/upstream_directory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace galenarelay::relay {

/// Number of balancers that are asked in one round, and how many of them must answer in full.
inline constexpr std::size_t SurveyedBalancers = 4;
inline constexpr std::size_t MinSurveyAnswers = 2;
/// Minimum time between the starts of two rounds. One round serves all searches that began before
/// it.
inline constexpr common::Duration SurveyInterval = std::chrono::milliseconds(50);
/// A round without enough answers is given up after this time, and another one asks other
/// balancers. It is as long as the longest wait for an answer of an agent.
inline constexpr common::Duration SurveyTimeout = MaxAnswerTimeout;

/// Asks other balancers which agents may hold flows. A balancer may have missed the reports of an
/// agent; only agents that none of several balancers knows are taken not to exist.
class HolderSurvey {
public:
  /// A query and the balancers to send it to.
  struct Round {
    HolderQuery Query;
    std::vector<NodeAddress> Recipients;
  };

  /// Whether a round may start: none is in progress, and SurveyInterval has passed.
  [[nodiscard]] bool due(common::TimePoint Now) const noexcept {
    return Now - StartedAt >= (InProgress ? SurveyTimeout : SurveyInterval);
  }
  /// Starts a round if it is due. Digest is that of the holders known here.
  [[nodiscard]] std::optional<Round> begin(std::vector<NodeAddress> Balancers, std::uint64_t Digest,
                                           common::Engine &Random, common::TimePoint Now);
  /// Returns the start time of the round if this answer completes it.
  std::optional<common::TimePoint> onAnswer(const HolderAnswer &Answer, NodeAddress From);

private:
  std::uint64_t RoundId = 0;
  bool InProgress = false;
  common::TimePoint StartedAt{};
  std::size_t RequiredAnswers = 0;
  std::map<NodeAddress, std::set<std::uint16_t>> PartsByBalancer; ///< Of the recipients.
  std::size_t FullAnswers = 0;
};

} // namespace galenarelay::relay

#endif // GALENARELAY_RELAY_HOLDER_SURVEY_H
