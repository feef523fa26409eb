#include "wigeonwall/request/placement_cost.h"

#include <algorithm>
#include <cmath>

namespace wigeonwall::request {

namespace {

/// Weights of the predicted wait and lateness relative to run time. An idle
/// slow minion is preferred to a queue at a fast one as long as the task is on
/// time there; otherwise slow minions would idle while queues grow.
constexpr double WaitWeight = 4.0;
constexpr double LateWeight = 10.0;

/// Penalty of a fully used minion, as a fraction of the run time. It spreads a
/// job over minions with free capacity, so that jobs that other entries place
/// before the next report rarely collide on one minion.
constexpr double UtilizationWeight = 0.5;

/// Exponent of the utilization in the cost of contention. A minion runs about
/// eleven tasks at a time, so another task may not fit only above about 80%.
/// Above 100% the cost grows steeply with the queue, whose forecast wait is too
/// short while several entries add to it.
constexpr double ContentionExponent = 8.0;

} // namespace

double PlacementCost::seconds(const TaskPrediction &Prediction,
                              Duration OnTime) const {
  const double Wait = toSeconds(Prediction.Wait_);
  const double RunTime = toSeconds(Prediction.RunTime_);
  const double Late = std::max(0.0, Wait + RunTime - toSeconds(OnTime));
  const double Utilization = std::max(0.0, Prediction.CpuUtilization_);
  return LateWeight * Late + WaitWeight * Wait +
         RunTime * (1.0 + UtilizationWeight * Prediction.CpuUtilization_) +
         ContentionWeight_ * toSeconds(FigureAge_) *
             std::pow(Utilization, ContentionExponent);
}

} // namespace wigeonwall::request
