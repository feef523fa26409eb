#include "wigeonwall/request/prediction_error.h"

#include <algorithm>

namespace wigeonwall::request {

namespace {

/// The estimate is stable when this share of the runs is below it.
constexpr double Quantile = 0.9;
/// A busy minion ends about 50 runs per second, so the estimate follows a
/// change within seconds.
constexpr double StepSize = 0.02;
constexpr double MaxOverrun = 1.0;

} // namespace

void PredictionError::record(Duration Predicted, Duration Actual) {
  if (Predicted <= Duration::zero())
    return;
  const double Overrun = toSeconds(Actual) / toSeconds(Predicted) - 1.0;
  Overrun_ += StepSize * (Overrun > Overrun_ ? Quantile : Quantile - 1.0);
  Overrun_ = std::clamp(Overrun_, 0.0, MaxOverrun);
}

Duration PredictionError::margin(Duration Length) const {
  return fromSeconds(toSeconds(Length) * Overrun_);
}

} // namespace wigeonwall::request
