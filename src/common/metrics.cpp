#include "galenarelay/common/metrics.h"

#include <prometheus/text_serializer.h>

namespace galenarelay::common {

namespace {
const std::string Prefix = "galenarelay_";
} // namespace

Metrics::Metrics() : Registry(std::make_shared<prometheus::Registry>()) {}

prometheus::Counter &Metrics::counter(const std::string &Name, const std::string &Help,
                                      const prometheus::Labels &Labels) {
  return prometheus::BuildCounter().Name(Prefix + Name).Help(Help).Register(*Registry).Add(Labels);
}

prometheus::Gauge &Metrics::gauge(const std::string &Name, const std::string &Help,
                                  const prometheus::Labels &Labels) {
  return prometheus::BuildGauge().Name(Prefix + Name).Help(Help).Register(*Registry).Add(Labels);
}

prometheus::Histogram &Metrics::histogram(const std::string &Name, const std::string &Help,
                                          const prometheus::Histogram::BucketBoundaries &Buckets,
                                          const prometheus::Labels &Labels) {
  return prometheus::BuildHistogram()
      .Name(Prefix + Name)
      .Help(Help)
      .Register(*Registry)
      .Add(Labels, Buckets);
}

std::string Metrics::render() const {
  return prometheus::TextSerializer().Serialize(Registry->Collect());
}

} // namespace galenarelay::common
