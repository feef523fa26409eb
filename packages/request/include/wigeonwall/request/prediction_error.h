/// \file
/// \brief Measured error of predicted run times.
#ifndef WIGEONWALL_REQUEST_PREDICTION_ERROR_H
#define WIGEONWALL_REQUEST_PREDICTION_ERROR_H

#include "wigeonwall/request/clock.h"

namespace wigeonwall::request {

/// \brief Tracks by how much nine runs of ten exceed their prediction at most.
class PredictionError {
public:
  void record(Duration Predicted, Duration Actual);
  /// \brief Time to add to a predicted run time of \p Length.
  [[nodiscard]] Duration margin(Duration Length) const;

private:
  /// Overrun as a share of the prediction. Estimates are off by up to 40%.
  double Overrun_ = 0.4;
};

} // namespace wigeonwall::request

#endif
