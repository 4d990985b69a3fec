#ifndef GALENARELAY_AGENT_UPSTREAM_HEALTH_H
#define GALENARELAY_AGENT_UPSTREAM_HEALTH_H

#include "galenarelay/common/time.h"
#include "galenarelay/schedule/scheduler.h"

#include <cstdint>

namespace galenarelay::agent {

/// Consecutive connection failures after which an upstream is unreachable.
inline constexpr std::uint32_t MaxConnectFailures = 3;
/// Shed requests without a success between them, over at least DrainEvidenceTime, that are evidence
/// of draining.
inline constexpr std::uint32_t MinDrainRefusals = 3;
/// Minimum time since the first of these shed requests.
inline constexpr common::Duration DrainEvidenceTime = std::chrono::seconds(1);

/// State of the upstream as determined by the agent.
enum class UpstreamState : std::uint8_t {
  Unreachable, ///< MaxConnectFailures connections in a row failed, or none succeeded yet.
  Serving,
  Draining, ///< It sheds all requests and its health endpoint reports failure.
};

/// Determines the state of the upstream from connections, request outcomes and health reports. The
/// health endpoint may be wrong, so its report of failure counts only together with shed requests.
class UpstreamHealth {
public:
  [[nodiscard]] UpstreamState state() const noexcept { return State; }

  void onConnected() noexcept;
  void onConnectFailed() noexcept;
  /// Records the outcome of a dispatched request.
  void onResult(schedule::Completion Outcome, common::TimePoint Now) noexcept;
  void onHealthReport(bool Healthy, common::TimePoint Now) noexcept;

private:
  /// Changes Serving to Draining if there is enough evidence.
  void updateDraining(common::TimePoint Now) noexcept;

  UpstreamState State = UpstreamState::Unreachable;
  std::uint32_t ConnectFailures = 0;
  std::uint32_t Refusals = 0;
  common::TimePoint FirstRefusal{};
  bool ReportedFailing = false;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_UPSTREAM_HEALTH_H
