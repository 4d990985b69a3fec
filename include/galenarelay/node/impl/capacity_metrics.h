#ifndef GALENARELAY_NODE_IMPL_CAPACITY_METRICS_H
#define GALENARELAY_NODE_IMPL_CAPACITY_METRICS_H

#include "galenarelay/common/log.h"
#include "galenarelay/common/metrics.h"
#include "galenarelay/relay/upstream_flows.h"

#include <cstdint>
#include <string>

namespace galenarelay::node::impl {

/// Lines capacity_changed that an agent logs per second.
inline constexpr std::uint32_t CapacityLogLimit = 2;

/// Shows what an agent has learned of its upstream, in metrics and in the log.
class CapacityMetrics {
public:
  explicit CapacityMetrics(common::Metrics &Metrics);

  void update(const relay::policy::LearnedCapacity &Learned, common::TimePoint Now);

private:
  prometheus::Gauge &DeclaredGauge;
  prometheus::Gauge &LearnedGauge;
  prometheus::Gauge &AnswerTimeGauge;
  prometheus::Counter &ChangeCounter;
  common::LogRateLimit LogLimiter{CapacityLogLimit};
  std::uint64_t SeenChanges = 0;
  std::uint32_t LastCapacity = 0;
};

/// The answer of an agent's admin path /v1/capacity: declared slots, learned capacity, answer time
/// and the last change, as JSON.
[[nodiscard]] std::string describeCapacity(const relay::UpstreamFlows &Flows);

} // namespace galenarelay::node::impl

#endif // GALENARELAY_NODE_IMPL_CAPACITY_METRICS_H
