#include "wigeonwall/process/dispatch/job_timing.h"

#include <algorithm>

namespace wigeonwall::process::dispatch {

using request::Duration;

JobTiming jobTiming(const request::BatchJob &Spec,
                    const request::RoutePolicy &Policy, Duration Overhead,
                    double ExpiryFactor) {
  JobTiming Result;
  Result.Objective_ = std::chrono::duration_cast<Duration>(
                          Spec.Estimate_ * Policy.SlackFactor_) +
                      Policy.TargetLatency_;
  Result.Slack_ =
      std::max(Duration::zero(), Result.Objective_ - Spec.Estimate_ - Overhead);
  Result.Lifetime_ =
      std::chrono::duration_cast<Duration>(Result.Objective_ * ExpiryFactor);
  if (Spec.CallerTimeout_ > Duration::zero())
    Result.Lifetime_ = std::min(Result.Lifetime_, Spec.CallerTimeout_);
  return Result;
}

} // namespace wigeonwall::process::dispatch
