#include "galenarelay/schedule/impl/duration_estimates.h"

#include <algorithm>
#include <cmath>

namespace galenarelay::schedule::impl {

using common::Duration;

namespace {

/// Number of samples at which all counts are halved, so that the histogram follows a change of the
/// upstream.
constexpr std::uint32_t HalvingCount = 512;
/// Samples that a histogram needs before it is used for estimates.
constexpr std::uint32_t MinSamples = 3;
/// Share of the requests of a class that Prediction::Percentile90 covers.
constexpr double Percentile90Share = 0.9;
constexpr double BucketsPerDoubling = 2.0;

std::size_t bucketOf(Duration Sample) noexcept {
  const auto Micros = static_cast<double>(std::max<std::int64_t>(Sample.count(), 1));
  const auto Bucket = static_cast<std::size_t>(BucketsPerDoubling * std::log2(Micros));
  return std::min(Bucket, HistogramBuckets - 1);
}

Duration bucketMidpoint(std::size_t Bucket) noexcept {
  const double Exponent = (static_cast<double>(Bucket) + 0.5) / BucketsPerDoubling;
  return Duration(std::llround(std::exp2(Exponent)));
}

} // namespace

Duration DurationHistogram::mean() const noexcept {
  return Count == 0 ? Duration{} : Duration(Sum / Count);
}

Duration DurationHistogram::quantile(double Share) const noexcept {
  const double TargetCount = Share * Count;
  std::uint32_t Seen = 0;
  for (std::size_t I = 0; I < HistogramBuckets && Count > 0; ++I) {
    Seen += Buckets[I];
    if (Seen >= TargetCount && Seen > 0)
      return bucketMidpoint(I);
  }
  return Duration{};
}

void DurationHistogram::add(Duration Sample) noexcept {
  if (Count >= HalvingCount) {
    const std::uint32_t Before = Count;
    Count = 0;
    for (std::uint32_t &Bucket : Buckets) {
      Bucket /= 2;
      Count += Bucket;
    }
    Sum = Sum / Before * Count;
  }
  ++Buckets[bucketOf(Sample)];
  ++Count;
  Sum += Sample.count();
}

DurationEstimates::DurationEstimates(Duration Default, double StragglerFactor,
                                     Duration MinStragglerDuration)
    : Default(Default), StragglerFactor(StragglerFactor),
      MinStragglerDuration(MinStragglerDuration),
      Threshold(std::max(MinStragglerDuration,
                         Duration(std::llround(Default.count() * StragglerFactor)))) {}

bool DurationEstimates::hasEnoughSamples() const noexcept {
  return AllClasses.count() >= MinSamples;
}

Duration DurationEstimates::mean() const noexcept {
  return hasEnoughSamples() ? AllClasses.mean() : Default;
}

Prediction DurationEstimates::predict(const WorkClass &Class) const {
  const auto It = ByClass.find(Class);
  if (It == ByClass.end() || It->second.Durations.count() < MinSamples)
    return {mean(), mean(), false};
  const DurationHistogram &Histogram = It->second.Durations;
  return {Histogram.mean(), Histogram.quantile(Percentile90Share),
          Histogram.quantile(0.5) > Threshold};
}

void DurationEstimates::add(const WorkClass &Class, Duration Sample) {
  AllClasses.add(Sample);
  if (hasEnoughSamples())
    Threshold =
        std::max(MinStragglerDuration,
                 Duration(std::llround(AllClasses.quantile(0.5).count() * StragglerFactor)));
  auto It = ByClass.find(Class);
  if (It == ByClass.end()) {
    if (ByClass.size() >= MaxClasses) {
      ByClass.erase(*Recency.back());
      Recency.pop_back();
    }
    It = ByClass.emplace(Class, Entry{}).first;
    Recency.push_front(&It->first);
    It->second.RecencyPosition = Recency.begin();
  } else {
    Recency.splice(Recency.begin(), Recency, It->second.RecencyPosition);
  }
  It->second.Durations.add(Sample);
}

} // namespace galenarelay::schedule::impl
