#include "galenarelay/relay/policy/upstream_damping.h"

#include <algorithm>
#include <cmath>

namespace galenarelay::relay::policy {

std::string_view name(UpstreamFault Fault) noexcept {
  constexpr std::array<std::string_view, UpstreamFaultCount> Names{
      "flows_lost",         "reset",          "closed_unanswered", "request_unanswered",
      "opening_unanswered", "opening_refused"};
  return Names[static_cast<std::size_t>(Fault)];
}

std::string_view name(Standing Which) noexcept {
  constexpr std::array<std::string_view, 3> Names{"steady", "probing", "spared"};
  return Names[static_cast<std::size_t>(Which)];
}

double DecayingValue::at(common::TimePoint Now) const noexcept {
  if (Value == 0 || Now <= Since)
    return Value;
  return Value * std::exp2(-std::chrono::duration<double>(Now - Since) /
                           std::chrono::duration<double>(PenaltyHalfLife));
}

void DecayingValue::add(double Amount, double Maximum, common::TimePoint Now) noexcept {
  Value = std::min(at(Now) + Amount, Maximum);
  Since = Now;
}

// An upstream that was away for long was replaced rather than unsteady, and owes little.
void UpstreamDamping::noteLoss(common::TimePoint LostAt, common::TimePoint Now) {
  countFault(UpstreamFault::FlowsLost, Now);
  DecayingValue Loss;
  Loss.add(LossPenalty, LossPenalty,
           Now - std::max(common::Duration::zero(), Now - LostAt) / AbsenceFactor);
  Losses.add(Loss.at(Now), MaxLossPenalty, Now);
}

void UpstreamDamping::noteFailure(UpstreamFault Fault, std::uint32_t Caller,
                                  common::TimePoint Now) {
  while (!FailedCallers.empty() && Now - FailedCallers.front().second >= PenaltyHalfLife)
    FailedCallers.pop_front();
  if (std::any_of(FailedCallers.begin(), FailedCallers.end(),
                  [Caller](const auto &Failed) { return Failed.first == Caller; }))
    return;
  if (FailedCallers.size() >= MaxFailedCallers)
    FailedCallers.pop_front();
  FailedCallers.emplace_back(Caller, Now);
  countFault(Fault, Now);
  RecentFailures.add(1, UINT32_MAX, Now);
  const double Failed = RecentFailures.at(Now);
  const double Share = ++ConsecutiveFailures >= MinConsecutiveFailures
                           ? 1
                           : Failed / (Failed + RecentAnswers.at(Now));
  Failures.add(FailurePenalty * Share, MaxFailurePenalty, Now);
}

void UpstreamDamping::noteAnswer(common::TimePoint Now) noexcept {
  RecentAnswers.add(1, UINT32_MAX, Now);
  ConsecutiveFailures = 0;
}

void UpstreamDamping::countFault(UpstreamFault Fault, common::TimePoint Now) noexcept {
  if (Current == Standing::Steady && penalty(Now) < RestoreThreshold)
    Faults = {};
  ++Faults[static_cast<std::size_t>(Fault)];
}

double UpstreamDamping::penalty(common::TimePoint Now) const noexcept {
  return std::max(Losses.at(Now), Failures.at(Now));
}

DampingState UpstreamDamping::update(common::TimePoint Now) noexcept {
  const double Penalty = penalty(Now);
  if (Penalty >= SpareThreshold)
    Current = Standing::Spared;
  else if (Penalty < RestoreThreshold)
    Current = Standing::Steady;
  else if (Penalty < ProbeThreshold && Current == Standing::Spared)
    Current = Standing::Probing;
  return {Current, static_cast<std::uint32_t>(Penalty)};
}

} // namespace galenarelay::relay::policy
