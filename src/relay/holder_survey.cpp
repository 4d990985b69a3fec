#include "galenarelay/relay/holder_survey.h"

#include <algorithm>
#include <utility>

namespace galenarelay::relay {

std::optional<HolderSurvey::Round> HolderSurvey::begin(std::vector<NodeAddress> Balancers,
                                                       std::uint64_t Digest, common::Engine &Random,
                                                       common::TimePoint Now) {
  if (Balancers.empty() || !due(Now))
    return std::nullopt;
  const std::size_t Count = std::min(SurveyedBalancers, Balancers.size());
  for (std::size_t I = 0; I < Count; ++I)
    std::swap(Balancers[I], Balancers[I + common::uniformBelow(Random, Balancers.size() - I)]);
  Balancers.resize(Count);
  InProgress = true;
  StartedAt = Now;
  RequiredAnswers = std::min(MinSurveyAnswers, Count);
  FullAnswers = 0;
  PartsByBalancer.clear();
  for (const NodeAddress Balancer : Balancers)
    PartsByBalancer[Balancer] = {};
  return Round{{++RoundId, Digest}, std::move(Balancers)};
}

// A balancer that isn't settled may itself know too few agents.
std::optional<common::TimePoint> HolderSurvey::onAnswer(const HolderAnswer &Answer,
                                                        NodeAddress From) {
  const auto It = PartsByBalancer.find(From);
  if (!InProgress || Answer.Id != RoundId || It == PartsByBalancer.end() || !Answer.Settled)
    return std::nullopt;
  if (!It->second.insert(Answer.Part).second || It->second.size() != Answer.Parts ||
      ++FullAnswers < RequiredAnswers)
    return std::nullopt;
  InProgress = false;
  return StartedAt;
}

} // namespace galenarelay::relay
