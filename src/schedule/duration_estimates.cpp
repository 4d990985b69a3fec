#include "galenarelay/schedule/impl/duration_estimates.h"

#include <algorithm>
#include <cmath>

namespace galenarelay::schedule::impl {

using common::Duration;

namespace {

/// At this many samples all counts are halved, so that a histogram follows a changed upstream.
constexpr std::uint32_t ForgetAt = 512;
/// Samples of a class before its own histogram is used.
constexpr std::uint32_t EnoughSamples = 3;
/// Share of a class that fits in Prediction::Likely.
constexpr double LikelyShare = 0.9;
constexpr double BucketsPerDoubling = 2.0;

std::size_t bucketOf(Duration Taken) noexcept {
  const auto Micros = static_cast<double>(std::max<std::int64_t>(Taken.count(), 1));
  const auto Bucket = static_cast<std::size_t>(BucketsPerDoubling * std::log2(Micros));
  return std::min(Bucket, HistogramBuckets - 1);
}

Duration middleOf(std::size_t Bucket) noexcept {
  const double Exponent = (static_cast<double>(Bucket) + 0.5) / BucketsPerDoubling;
  return Duration(std::llround(std::exp2(Exponent)));
}

} // namespace

Duration DurationHistogram::mean() const noexcept {
  return Count == 0 ? Duration{} : Duration(Sum / Count);
}

Duration DurationHistogram::quantile(double Share) const noexcept {
  const double Wanted = Share * Count;
  std::uint32_t Seen = 0;
  for (std::size_t I = 0; I < HistogramBuckets && Count > 0; ++I) {
    Seen += Buckets[I];
    if (Seen >= Wanted && Seen > 0)
      return middleOf(I);
  }
  return Duration{};
}

void DurationHistogram::add(Duration Taken) noexcept {
  if (Count >= ForgetAt) {
    const std::uint32_t Before = Count;
    Count = 0;
    for (std::uint32_t &Bucket : Buckets) {
      Bucket /= 2;
      Count += Bucket;
    }
    Sum = Sum / Before * Count;
  }
  ++Buckets[bucketOf(Taken)];
  ++Count;
  Sum += Taken.count();
}

DurationEstimates::DurationEstimates(Duration Default, double LongFactor, Duration Minimum)
    : Default(Default), LongFactor(LongFactor), Minimum(Minimum),
      Threshold(std::max(Minimum, Duration(std::llround(Default.count() * LongFactor)))) {}

bool DurationEstimates::learnt() const noexcept { return All.count() >= EnoughSamples; }

Duration DurationEstimates::mean() const noexcept { return learnt() ? All.mean() : Default; }

Prediction DurationEstimates::predict(const WorkClass &Class) const {
  const auto Found = ByClass.find(Class);
  if (Found == ByClass.end() || Found->second.Durations.count() < EnoughSamples)
    return {mean(), mean(), false};
  const DurationHistogram &Known = Found->second.Durations;
  return {Known.mean(), Known.quantile(LikelyShare), Known.quantile(0.5) > Threshold};
}

void DurationEstimates::add(const WorkClass &Class, Duration Taken) {
  All.add(Taken);
  if (learnt())
    Threshold = std::max(Minimum, Duration(std::llround(All.quantile(0.5).count() * LongFactor)));
  auto Found = ByClass.find(Class);
  if (Found == ByClass.end()) {
    if (ByClass.size() >= MaxClasses) {
      ByClass.erase(*Recency.back());
      Recency.pop_back();
    }
    Found = ByClass.emplace(Class, Entry{}).first;
    Recency.push_front(&Found->first);
    Found->second.Use = Recency.begin();
  } else {
    Recency.splice(Recency.begin(), Recency, Found->second.Use);
  }
  Found->second.Durations.add(Taken);
}

} // namespace galenarelay::schedule::impl
