#include "wigeonwall/request/departure_plan.h"

namespace wigeonwall::request {

void DeparturePlan::onReport(const MinionReport &Report) {
  if (Report.Incarnation_ == Incarnation_ && Report.Sequence_ <= Sequence_)
    return;
  Incarnation_ = Report.Incarnation_;
  Sequence_ = Report.Sequence_;
  LeavesAt_.reset();
  if (Report.Draining_ && Report.TimeToDeparture_)
    LeavesAt_ = Now_() + *Report.TimeToDeparture_;
}

std::vector<RunKey>
DeparturePlan::runsToStop(const std::vector<DepartingRun> &Runs) const {
  std::vector<RunKey> Result;
  if (!LeavesAt_)
    return Result;
  const TimePoint Now = Now_();
  for (const DepartingRun &Each : Runs) {
    const Duration Remaining = std::chrono::duration_cast<Duration>(
        Each.Remaining_ * (1.0 + Options_.RemainingMargin_));
    // A run that is about to end is not stopped, because a restart would take
    // longer.
    const bool EndsInTime = Now + Remaining <= *LeavesAt_ ||
                            Each.Remaining_ <= Options_.RestartTime_;
    // The announced time is a minimum, so a run that would be too late
    // elsewhere continues; it may still end here.
    const bool Useful =
        Now + Options_.RestartTime_ + Each.Expected_ <= Each.ExpiresAt_;
    if (!EndsInTime && Useful)
      Result.push_back(Each.Key_);
  }
  return Result;
}

} // namespace wigeonwall::request
