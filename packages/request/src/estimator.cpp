#include "wigeonwall/request/estimator.h"

#include <algorithm>

namespace wigeonwall::request {

namespace {

/// Weight of a new sample in the mean, which then follows a change within tens
/// of tasks.
constexpr double SampleWeight = 0.1;

/// Samples are clamped to the range from mean / factor to mean * factor, so
/// that one straggler changes the mean by at most 30%.
constexpr double OutlierFactor = 4.0;

/// Lower limit of the upper clamp in nanoseconds; lets a mean of zero rise.
constexpr double MinSampleBound = 1e6;

constexpr double Quantile = 0.95;

/// Step of the quantile estimate per sample, as a fraction of the mean.
constexpr double QuantileStep = 0.1;

Duration toDuration(double Nanoseconds) {
  return Duration(static_cast<std::int64_t>(Nanoseconds));
}

double clampToMean(double Sample, double Mean) {
  return std::clamp(Sample, Mean / OutlierFactor,
                    std::max(Mean * OutlierFactor, MinSampleBound));
}

} // namespace

void RunTimeEstimator::record(const KindKey &Key, Duration Run) {
  Estimate &Entry = Estimates_[Key];
  const double Sample =
      static_cast<double>(std::max(Run, Duration::zero()).count());
  if (++Entry.Samples_ == 1) {
    Entry.Mean_ = Entry.Quantile_ = Sample;
    return;
  }
  // The first samples have equal weight, so that the very first one does not
  // dominate.
  const double Weight =
      std::max(SampleWeight, 1.0 / static_cast<double>(Entry.Samples_));
  Entry.Mean_ += Weight * (clampToMean(Sample, Entry.Mean_) - Entry.Mean_);
  const double Step = QuantileStep * Entry.Mean_;
  Entry.Quantile_ +=
      Sample > Entry.Quantile_ ? Step * Quantile : -Step * (1.0 - Quantile);
  Entry.Quantile_ = std::max(Entry.Quantile_, 0.0);
}

Duration RunTimeEstimator::expectedRun(const KindKey &Key,
                                       Duration Declared) const {
  const std::optional<Duration> Estimated = mean(Key);
  if (!Estimated)
    return Declared > Duration::zero() ? Declared : DefaultRun;
  const double Mean = static_cast<double>(Estimated->count());
  const double Stated = static_cast<double>(Declared.count());
  const bool Plausible = Declared > Duration::zero() &&
                         Stated >= Mean / DeclaredFactor &&
                         Stated <= Mean * DeclaredFactor;
  return Plausible ? Declared : *Estimated;
}

std::optional<Duration> RunTimeEstimator::mean(const KindKey &Key) const {
  const auto Found = Estimates_.find(Key);
  if (Found == Estimates_.end())
    return std::nullopt;
  return toDuration(Found->second.Mean_);
}

std::optional<Duration> RunTimeEstimator::quantile95(const KindKey &Key) const {
  const auto Found = Estimates_.find(Key);
  if (Found == Estimates_.end())
    return std::nullopt;
  return toDuration(Found->second.Quantile_);
}

} // namespace wigeonwall::request
