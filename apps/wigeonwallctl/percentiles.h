/// \file
/// \brief Percentiles of a stream of values in bounded memory.
#ifndef WIGEONWALLCTL_PERCENTILES_H
#define WIGEONWALLCTL_PERCENTILES_H

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

namespace wigeonwall::ctl {

/// \brief Counts values in buckets whose bounds grow by 1%.
///
/// Values from 0.001 to 10,000,000 keep a relative error of 0.5%; values
/// outside are counted in the first or last bucket. Takes 19 KB.
class Percentiles {
public:
  Percentiles() : Buckets_(BucketCount) {}

  void record(double Value) noexcept {
    ++Buckets_[bucketOf(Value)];
    ++Count_;
    Max_ = std::max(Max_, Value);
  }

  [[nodiscard]] std::uint64_t count() const noexcept { return Count_; }
  /// \brief Largest value, exact; 0 without values.
  [[nodiscard]] double max() const noexcept { return Max_; }

  /// \brief Value below which \p Share (0 to 1) of the values lie; 0 without
  /// values.
  [[nodiscard]] double at(double Share) const noexcept {
    if (Share >= 1)
      return Max_;
    const auto Rank = static_cast<std::uint64_t>(
        std::ceil(Share * static_cast<double>(Count_)));
    std::uint64_t Seen = 0;
    for (std::size_t I = 0; I < BucketCount && Count_ != 0; ++I)
      if ((Seen += Buckets_[I]) >= std::max<std::uint64_t>(Rank, 1))
        return std::min(Max_, Least * std::pow(Growth, double(I) + 0.5));
    return Max_;
  }

private:
  static constexpr double Least = 0.001;
  static constexpr double Growth = 1.01;
  // ln(10^7 / 0.001) / ln(1.01), rounded up.
  static constexpr std::size_t BucketCount = 2315;

  static std::size_t bucketOf(double Value) noexcept {
    if (!(Value > Least))
      return 0;
    const double Index = std::log(Value / Least) / std::log(Growth);
    return std::min(BucketCount - 1, static_cast<std::size_t>(Index));
  }

  std::vector<std::uint64_t> Buckets_;
  std::uint64_t Count_ = 0;
  double Max_ = 0;
};

} // namespace wigeonwall::ctl

#endif
