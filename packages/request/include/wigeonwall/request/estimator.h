/// \file
/// \brief Run time estimates per service and kind.
///
/// Queues and admission use the estimated run time as the cost of a task,
/// because the run time that a caller declares can be far off.
#ifndef WIGEONWALL_REQUEST_ESTIMATOR_H
#define WIGEONWALL_REQUEST_ESTIMATOR_H

#include "wigeonwall/request/clock.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace wigeonwall::request {

/// \brief A kind within a service.
struct KindKey {
  std::string Service_;
  std::string Kind_;

  auto operator<=>(const KindKey &) const = default;
};

/// \brief Expected run time without samples or a declared run time.
inline constexpr Duration DefaultRun = std::chrono::milliseconds(200);

/// \brief A declared run time is used if it is within this factor of the
/// estimate.
inline constexpr double DeclaredFactor = 4.0;

/// \brief Online estimates of run times, in constant space per kind.
///
/// \code
///   Estimator.record({"permit-desk", "setback-check"}, Elapsed);
///   Task.ExpectedRun_ = Estimator.expectedRun(Key, Spec.DeclaredRun_);
/// \endcode
class RunTimeEstimator {
public:
  /// \brief Adds the measured run time of a task that succeeded.
  ///
  /// The caller must not record failed tasks: fast failures would lower the
  /// estimate.
  void record(const KindKey &Key, Duration Run);

  /// \brief Cost of a task; \p Declared is zero if the caller declared none.
  [[nodiscard]] Duration expectedRun(const KindKey &Key,
                                     Duration Declared) const;

  /// \brief Exponentially weighted mean with outliers clamped; empty without
  /// samples.
  [[nodiscard]] std::optional<Duration> mean(const KindKey &Key) const;
  /// \brief Estimated 95th percentile of the run times.
  [[nodiscard]] std::optional<Duration> quantile95(const KindKey &Key) const;

private:
  /// Mean and quantile are in nanoseconds.
  struct Estimate {
    std::uint64_t Samples_ = 0;
    double Mean_ = 0.0;
    double Quantile_ = 0.0;
  };

  /// The configuration bounds the number of kinds.
  std::map<KindKey, Estimate> Estimates_;
};

} // namespace wigeonwall::request

#endif
