#ifndef GALENARELAY_AGENT_UPSTREAM_HEALTH_H
#define GALENARELAY_AGENT_UPSTREAM_HEALTH_H

#include "galenarelay/common/time.h"
#include "galenarelay/schedule/scheduler.h"

#include <cstdint>

namespace galenarelay::agent {

/// Connection failures in a row that make an upstream unreachable.
inline constexpr std::uint32_t MaxConnectFailures = 3;
/// Refusals in a row, over at least DrainEvidenceTime, that count as evidence of a drain.
inline constexpr std::uint32_t MinDrainRefusals = 3;
inline constexpr common::Duration DrainEvidenceTime = std::chrono::seconds(1);

/// What the agent thinks of its upstream.
enum class UpstreamState : std::uint8_t {
  Unreachable, ///< No connection is accepted.
  Serving,
  Draining, ///< It refuses all work and reports itself as failing.
};

/// Judges the upstream by what the agent sees. The health endpoint may be wrong, so its report
/// counts only together with refused requests.
class UpstreamHealth {
public:
  [[nodiscard]] UpstreamState state() const noexcept { return State; }

  void onConnected() noexcept;
  void onConnectFailed() noexcept;
  /// A dispatched request ended.
  void onResult(schedule::Completion How, common::TimePoint Now) noexcept;
  void onHealthReport(bool Healthy, common::TimePoint Now) noexcept;

private:
  void judgeDrain(common::TimePoint Now) noexcept;

  UpstreamState State = UpstreamState::Unreachable;
  std::uint32_t ConnectFailures = 0;
  std::uint32_t Refusals = 0;
  common::TimePoint FirstRefusal{};
  bool ReportsFailing = false;
};

} // namespace galenarelay::agent

#endif // GALENARELAY_AGENT_UPSTREAM_HEALTH_H
