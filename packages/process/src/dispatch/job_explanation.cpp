#include "wigeonwall/process/dispatch/job_explanation.h"

#include <algorithm>

namespace wigeonwall::process::dispatch {

namespace {

/// As stated by JobDispatcher, whose backlog says nothing about other entries.
constexpr std::chrono::seconds ShutdownRetryAfter{1};

} // namespace

JobExplanation
JobDispatcher::explain(const request::BatchJob &Spec,
                       const request::RoutePolicy &Policy) const {
  const JobTiming Times = timing(Spec, Policy);
  JobExplanation Result;
  Result.Objective_ = Times.Objective_;
  Result.MaxWait_ = maxWait(Times.Slack_);
  Result.Placement_ = View_.explain(Spec, Policy.Service_, Times.Slack_);
  const auto &Places = Result.Placement_.Places_;
  const request::PlacementMaxima Expected = request::maximaOf(Places);
  Result.Wait_ = Expected.Wait_;
  Result.Finish_ = Expected.Finish_;
  if (ShutdownDeadline_ &&
      Hooks_.Now_() + Times.Objective_ > *ShutdownDeadline_)
    Result.Reason_ = JobReason::ShuttingDown;
  else if (Places.empty())
    Result.Reason_ = JobReason::NoMinion;
  else if (Result.Wait_ > Result.MaxWait_)
    Result.Reason_ = JobReason::Overloaded;
  if (Result.Reason_ == JobReason::ShuttingDown)
    Result.RetryAfter_ = ShutdownRetryAfter;
  else if (Result.Reason_ != JobReason::None)
    Result.RetryAfter_ =
        std::chrono::ceil<std::chrono::seconds>(Retry_.expectedDelay(
            Times.Slack_, request::workOf(Spec), Result.Wait_));
  return Result;
}

} // namespace wigeonwall::process::dispatch
