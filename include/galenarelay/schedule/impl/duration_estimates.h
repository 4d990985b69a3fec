#ifndef GALENARELAY_SCHEDULE_IMPL_DURATION_ESTIMATES_H
#define GALENARELAY_SCHEDULE_IMPL_DURATION_ESTIMATES_H

#include "galenarelay/common/time.h"
#include "galenarelay/schedule/scheduler.h"

#include <array>
#include <cstdint>
#include <list>
#include <map>

namespace galenarelay::schedule::impl {

/// Work classes that are remembered; the least recently used one is forgotten first.
inline constexpr std::size_t MaxClasses = 256;
/// Buckets of a histogram; each is a factor of the square root of 2 wide, up to about an hour.
inline constexpr std::size_t HistogramBuckets = 64;

/// Durations of recent completions; older ones lose weight.
class DurationHistogram {
public:
  [[nodiscard]] std::uint32_t count() const noexcept { return Count; }
  /// Mean duration; 0 without samples.
  [[nodiscard]] common::Duration mean() const noexcept;
  /// Duration that the given share of samples doesn't exceed; 0 without samples.
  [[nodiscard]] common::Duration quantile(double Share) const noexcept;

  void add(common::Duration Taken) noexcept;

private:
  std::array<std::uint32_t, HistogramBuckets> Buckets{};
  std::uint32_t Count = 0;
  std::int64_t Sum = 0;
};

/// What is predicted of one request.
struct Prediction {
  common::Duration Mean{};   ///< Charged to the caller and counted as queued work.
  common::Duration Likely{}; ///< 9 in 10 requests of the class take no longer.
  bool Long = false;         ///< The class is many times longer than the upstream's median.

  friend bool operator==(const Prediction &, const Prediction &) = default;
};

/// Learns durations per work class from completions.
class DurationEstimates {
public:
  /// Work is a straggler above LongFactor times the median, but never below Minimum.
  DurationEstimates(common::Duration Default, double LongFactor, common::Duration Minimum = {});

  [[nodiscard]] Prediction predict(const WorkClass &Class) const;
  /// Longer work than this is a straggler.
  [[nodiscard]] common::Duration longThreshold() const noexcept { return Threshold; }
  /// True once enough requests have been completed to estimate from them.
  [[nodiscard]] bool learnt() const noexcept;
  /// Mean duration over all classes.
  [[nodiscard]] common::Duration mean() const noexcept;
  [[nodiscard]] std::size_t classes() const noexcept { return ByClass.size(); }

  void add(const WorkClass &Class, common::Duration Taken);

private:
  struct Entry {
    DurationHistogram Durations;
    std::list<const WorkClass *>::iterator Use;
  };

  common::Duration Default;
  double LongFactor;
  common::Duration Minimum;
  DurationHistogram All;
  common::Duration Threshold;
  std::map<WorkClass, Entry> ByClass;
  std::list<const WorkClass *> Recency; ///< Most recently used first.
};

} // namespace galenarelay::schedule::impl

#endif // GALENARELAY_SCHEDULE_IMPL_DURATION_ESTIMATES_H
