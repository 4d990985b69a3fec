#ifndef GALENARELAY_COMMON_METRICS_H
#define GALENARELAY_COMMON_METRICS_H

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace galenarelay::common {

/// The process's metrics; names get the prefix "galenarelay_".
class Metrics {
public:
  Metrics();

  /// Example: `Metrics.counter("packets_total", "Packets received", {{"result",
  /// "ok"}}).Increment();`
  prometheus::Counter &counter(const std::string &Name, const std::string &Help,
                               const prometheus::Labels &Labels = {});
  prometheus::Gauge &gauge(const std::string &Name, const std::string &Help,
                           const prometheus::Labels &Labels = {});
  prometheus::Histogram &histogram(const std::string &Name, const std::string &Help,
                                   const prometheus::Histogram::BucketBoundaries &Buckets,
                                   const prometheus::Labels &Labels = {});

  /// The text exposition format of Prometheus.
  [[nodiscard]] std::string render() const;

private:
  std::shared_ptr<prometheus::Registry> Registry;
};

} // namespace galenarelay::common

#endif // GALENARELAY_COMMON_METRICS_H
