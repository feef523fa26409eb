/// \file
/// \brief Streaming percentile estimates in bounded memory.
#ifndef WIGEONWALLCTL_PERCENTILES_H
#define WIGEONWALLCTL_PERCENTILES_H

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

namespace wigeonwall::ctl {

/// \brief Histogram with logarithmic buckets, each 1% wider than the one
/// before.
///
/// The relative error is 0.5% for values from 0.001 to 10,000,000; other values
/// are counted in the first or last bucket. Takes 19 KB.
class Percentiles {
public:
  Percentiles() : Buckets_(BucketCount) {}

  void record(double Value) noexcept {
    ++Buckets_[bucketIndex(Value)];
    ++Count_;
    Max_ = std::max(Max_, Value);
  }

  [[nodiscard]] std::uint64_t count() const noexcept { return Count_; }
  /// \brief Exact maximum; 0 without values.
  [[nodiscard]] double max() const noexcept { return Max_; }

  /// \brief Estimated quantile for \p Share (0 to 1); 0 without values.
  [[nodiscard]] double at(double Share) const noexcept {
    if (Share >= 1)
      return Max_;
    const auto Rank = static_cast<std::uint64_t>(
        std::ceil(Share * static_cast<double>(Count_)));
    std::uint64_t Seen = 0;
    for (std::size_t I = 0; I < BucketCount && Count_ != 0; ++I)
      if ((Seen += Buckets_[I]) >= std::max<std::uint64_t>(Rank, 1))
        return std::min(Max_, MinBucketValue *
                                  std::pow(BucketGrowth, double(I) + 0.5));
    return Max_;
  }

private:
  static constexpr double MinBucketValue = 0.001;
  static constexpr double BucketGrowth = 1.01;
  // ln(10^7 / 0.001) / ln(1.01), rounded up.
  static constexpr std::size_t BucketCount = 2315;

  static std::size_t bucketIndex(double Value) noexcept {
    if (!(Value > MinBucketValue))
      return 0;
    const double Index =
        std::log(Value / MinBucketValue) / std::log(BucketGrowth);
    return std::min(BucketCount - 1, static_cast<std::size_t>(Index));
  }

  std::vector<std::uint64_t> Buckets_;
  std::uint64_t Count_ = 0;
  double Max_ = 0;
};

} // namespace wigeonwall::ctl

#endif
