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

void UpstreamHealth::onResult(Completion How, TimePoint Now) noexcept {
  if (How == Completion::NotSent) {
    onConnectFailed();
    return;
  }
  onConnected();
  if (How == Completion::Succeeded) {
    Refusals = 0;
    State = UpstreamState::Serving;
  }
  if (How != Completion::Shed)
    return;
  if (Refusals == 0)
    FirstRefusal = Now;
  ++Refusals;
  judgeDrain(Now);
}

void UpstreamHealth::onHealthReport(bool Healthy, TimePoint Now) noexcept {
  ReportsFailing = !Healthy;
  if (Healthy && State == UpstreamState::Draining) {
    Refusals = 0;
    State = UpstreamState::Serving;
  }
  judgeDrain(Now);
}

void UpstreamHealth::judgeDrain(TimePoint Now) noexcept {
  const bool Refuses = Refusals >= MinDrainRefusals && Now - FirstRefusal >= DrainEvidenceTime;
  if (State == UpstreamState::Serving && Refuses && ReportsFailing)
    State = UpstreamState::Draining;
}

} // namespace galenarelay::agent
