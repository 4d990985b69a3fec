#include "galenarelay/agent/upstream_health.h"

namespace galenarelay::agent {

using common::TimePoint;
using schedule::Completion;

void UpstreamHealth::onConnected() noexcept {
  ConnectFailures = 0;
  if (State == UpstreamState::Unreachable)
    State = UpstreamState::Serving;
}

void UpstreamHealth::onConnectFailed() noexcept {
  ++ConnectFailures;
  if (ConnectFailures >= MaxConnectFailures)
    State = UpstreamState::Unreachable;
}

void UpstreamHealth::onResult(Completion Outcome, TimePoint Now) noexcept {
  if (Outcome == Completion::NotSent) {
    onConnectFailed();
    return;
  }
  onConnected();
  if (Outcome == Completion::Succeeded) {
    Refusals = 0;
    State = UpstreamState::Serving;
  }
  if (Outcome != Completion::Shed)
    return;
  if (Refusals == 0)
    FirstRefusal = Now;
  ++Refusals;
  updateDraining(Now);
}

void UpstreamHealth::onHealthReport(bool Healthy, TimePoint Now) noexcept {
  ReportedFailing = !Healthy;
  if (Healthy && State == UpstreamState::Draining) {
    Refusals = 0;
    State = UpstreamState::Serving;
  }
  updateDraining(Now);
}

void UpstreamHealth::updateDraining(TimePoint Now) noexcept {
  const bool RefusesWork = Refusals >= MinDrainRefusals && Now - FirstRefusal >= DrainEvidenceTime;
  if (State == UpstreamState::Serving && RefusesWork && ReportedFailing)
    State = UpstreamState::Draining;
}

} // namespace galenarelay::agent
