/// \file
/// \brief Selects the runs that a minion stops before it leaves.
#ifndef WIGEONWALL_REQUEST_DEPARTURE_PLAN_H
#define WIGEONWALL_REQUEST_DEPARTURE_PLAN_H

#include "wigeonwall/request/run.h"

namespace wigeonwall::request {

struct DeparturePlanOptions {
  /// Share of the predicted remaining time that is added to it. Estimates of
  /// run times are off by up to 40%; measured progress is more accurate.
  double RemainingMargin_ = 0.25;
  /// Time from the decision to stop a run until it starts elsewhere: the stop,
  /// the listing that confirms its end, and the new placement.
  Duration RestartTime_ = std::chrono::milliseconds(30);
};

/// \brief A run on a minion that may leave.
struct DepartingRun {
  RunKey Key_;
  /// Predicted time until it ends.
  Duration Remaining_{};
  /// Expected run time on another minion.
  Duration Expected_{};
  /// Time after which its result is of no use to the caller.
  TimePoint ExpiresAt_;
};

/// \brief Decides which runs on a draining minion are given back early.
///
/// A draining minion may announce the minimum time until it leaves, which ends
/// all its runs. A run that ends with the minion has wasted the time until
/// then, and the loss is noticed late. A run that is stopped at once loses only
/// what it has done so far.
class DeparturePlan {
public:
  DeparturePlan(DeparturePlanOptions Options, Clock Now)
      : Options_(Options), Now_(std::move(Now)) {}

  /// \brief Applies the minion's latest report. A report that has been applied
  /// before does not postpone the departure.
  void onReport(const MinionReport &Report);
  /// \brief Earliest departure; empty if none is announced.
  [[nodiscard]] std::optional<TimePoint> leavesAt() const noexcept {
    return LeavesAt_;
  }
  /// \brief Returns the runs that would not end before the departure, and that
  /// can still end elsewhere while their result is of use.
  [[nodiscard]] std::vector<RunKey>
  runsToStop(const std::vector<DepartingRun> &Runs) const;

private:
  DeparturePlanOptions Options_;
  Clock Now_;
  std::optional<TimePoint> LeavesAt_;
  MinionIncarnation Incarnation_;
  std::int64_t Sequence_ = -1;
};

} // namespace wigeonwall::request

#endif
