/// \file
/// \brief Cost by which an entry compares the agents for one task.
#ifndef WIGEONWALL_REQUEST_PLACEMENT_COST_H
#define WIGEONWALL_REQUEST_PLACEMENT_COST_H

#include "wigeonwall/request/clock.h"

namespace wigeonwall::request {

/// \brief What is predicted for a task on one agent.
struct TaskPrediction {
  Duration Wait_{};
  Duration RunTime_{};
  /// Share of the minion's CPU in use; may exceed 1.
  double CpuUtilization_ = 0;
};

/// \brief Compares agents for a task; the lowest cost is the best.
///
/// Addresses a load in which several entries place tasks on the same minions by
/// load figures of a certain age. The nearly full minions, which are often the
/// fast ones, look free to all entries at the same time. The tasks that arrive
/// there last are declined and placed again, and jobs with short objectives end
/// late although other minions are free. A nearly full minion therefore has an
/// additional cost that grows with the age of the figures.
class PlacementCost {
public:
  /// \p ContentionWeight is the cost of a fully used minion as a multiple of
  /// the age of the load figures; 0 disables it.
  explicit PlacementCost(double ContentionWeight)
      : ContentionWeight_(ContentionWeight) {}

  /// \brief Sets the age that load figures reach before they are replaced.
  void setFigureAge(Duration Age) noexcept { FigureAge_ = Age; }

  /// \brief Returns the cost in seconds. \p OnTime is the time until the task
  /// has to end for its job to be on time.
  [[nodiscard]] double seconds(const TaskPrediction &Prediction,
                               Duration OnTime) const;

private:
  double ContentionWeight_;
  Duration FigureAge_{};
};

} // namespace wigeonwall::request

#endif
