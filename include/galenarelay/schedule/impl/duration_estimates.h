#ifndef GALENARELAY_SCHEDULE_IMPL_DURATION_ESTIMATES_H
#define GALENARELAY_SCHEDULE_IMPL_DURATION_ESTIMATES_H

#include "galenarelay/common/time.h"
#include "galenarelay/schedule/scheduler.h"

#include <array>
#include <cstdint>
#include <list>
#include <map>

namespace galenarelay::schedule::impl {

/// Bound on the work classes stored; the least recently used one is evicted first.
inline constexpr std::size_t MaxClasses = 256;
/// Buckets of a histogram, each wider than the one before by the square root of 2. The last one
/// starts at about an hour.
inline constexpr std::size_t HistogramBuckets = 64;

/// Histogram of completion durations in which older samples lose weight.
class DurationHistogram {
public:
  [[nodiscard]] std::uint32_t count() const noexcept { return Count; }
  /// Mean duration; 0 without samples.
  [[nodiscard]] common::Duration mean() const noexcept;
  /// Duration that the given share of the samples, from 0 to 1, doesn't exceed, to the precision of
  /// a bucket; 0 without samples.
  [[nodiscard]] common::Duration quantile(double Share) const noexcept;

  void add(common::Duration Sample) noexcept;

private:
  std::array<std::uint32_t, HistogramBuckets> Buckets{};
  std::uint32_t Count = 0;
  std::int64_t Sum = 0;
};

/// Predicted duration of one request.
struct Prediction {
  common::Duration Mean{};         ///< Mean; charged to the caller and counted as queued work.
  common::Duration Percentile90{}; ///< Duration that 9 in 10 requests of the class don't exceed.
  bool IsStraggler = false;        ///< Median far above that of the upstream.

  friend bool operator==(const Prediction &, const Prediction &) = default;
};

/// Estimates durations per work class from completed requests.
class DurationEstimates {
public:
  /// Work is a straggler above StragglerFactor times the median duration, but never below
  /// MinStragglerDuration. Default is the estimate until there are enough samples.
  DurationEstimates(common::Duration Default, double StragglerFactor,
                    common::Duration MinStragglerDuration = {});

  /// Prediction for a class; the mean of all classes, never a straggler, until the class has enough
  /// samples.
  [[nodiscard]] Prediction predict(const WorkClass &Class) const;
  /// Duration above which work is a straggler.
  [[nodiscard]] common::Duration stragglerThreshold() const noexcept { return Threshold; }
  /// True once enough requests have completed for an estimate.
  [[nodiscard]] bool hasEnoughSamples() const noexcept;
  /// Mean duration over all classes; the default until there are enough samples.
  [[nodiscard]] common::Duration mean() const noexcept;
  [[nodiscard]] std::size_t classCount() const noexcept { return ByClass.size(); }

  void add(const WorkClass &Class, common::Duration Sample);

private:
  struct Entry {
    DurationHistogram Durations;
    std::list<const WorkClass *>::iterator RecencyPosition;
  };

  common::Duration Default;
  double StragglerFactor;
  common::Duration MinStragglerDuration;
  DurationHistogram AllClasses;
  common::Duration Threshold;
  std::map<WorkClass, Entry> ByClass;
  std::list<const WorkClass *> Recency; ///< Keys of ByClass, most recently used first.
};

} // namespace galenarelay::schedule::impl

#endif // GALENARELAY_SCHEDULE_IMPL_DURATION_ESTIMATES_H
