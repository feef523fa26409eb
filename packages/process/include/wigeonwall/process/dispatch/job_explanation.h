/// \file
/// \brief Explanation of what an entry would do with a job.
#ifndef WIGEONWALL_PROCESS_DISPATCH_JOB_EXPLANATION_H
#define WIGEONWALL_PROCESS_DISPATCH_JOB_EXPLANATION_H

#include "wigeonwall/process/dispatch/job_dispatcher.h"
#include "wigeonwall/request/placement_explanation.h"

namespace wigeonwall::process::dispatch {

/// \brief Decision that JobDispatcher would take for a job, with its basis.
struct JobExplanation {
  /// Cause of the refusal; None if the job would be accepted.
  JobReason Reason_ = JobReason::None;
  /// Advice to a refused caller; zero for an accepted job.
  std::chrono::seconds RetryAfter_{};
  request::Duration Objective_{};
  /// Maximum predicted wait of an accepted job.
  request::Duration MaxWait_{};
  /// Predicted wait and end of the last task.
  request::Duration Wait_{};
  request::Duration Finish_{};
  request::PlacementExplanation Placement_;
};

} // namespace wigeonwall::process::dispatch

#endif
