/// \file
/// \brief Learned run time per service and kind.
///
/// The cost of a task in queues and admission is the learned run time, because
/// declared run times can be far off.
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

/// \brief Expected run time without samples and without a declared one.
inline constexpr Duration DefaultRun = std::chrono::milliseconds(200);

/// \brief A declared run time counts when it is within this factor of the
/// learned one.
inline constexpr double DeclaredFactor = 4.0;

/// \brief Running estimates of run times, in constant space per kind.
///
/// \code
///   Estimator.record({"permit-desk", "setback-check"}, Elapsed);
///   Task.ExpectedRun_ = Estimator.expectedRun(Key, Spec.DeclaredRun_);
/// \endcode
class RunTimeEstimator {
public:
  /// \brief Adds the measured run time of a task that succeeded.
  ///
  /// Fast failures would lower the estimate, so the owner leaves them out.
  void record(const KindKey &Key, Duration Run);

  /// \brief Cost of a task; \p Declared is zero when not declared.
  [[nodiscard]] Duration expectedRun(const KindKey &Key,
                                     Duration Declared) const;

  /// \brief Weighted mean without outliers; nothing without samples.
  [[nodiscard]] std::optional<Duration> mean(const KindKey &Key) const;
  /// \brief Run time that about 95% of the tasks do not exceed.
  [[nodiscard]] std::optional<Duration> quantile95(const KindKey &Key) const;

private:
  /// Times in nanoseconds.
  struct Estimate {
    std::uint64_t Samples_ = 0;
    double Mean_ = 0.0;
    double Quantile_ = 0.0;
  };

  /// Kinds come from the configuration, which bounds their number.
  std::map<KindKey, Estimate> Estimates_;
};

} // namespace wigeonwall::request

#endif
