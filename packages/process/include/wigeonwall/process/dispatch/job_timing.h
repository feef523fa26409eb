/// \file
/// \brief Times of an attempt at a job that follow from its route.
#ifndef WIGEONWALL_PROCESS_DISPATCH_JOB_TIMING_H
#define WIGEONWALL_PROCESS_DISPATCH_JOB_TIMING_H

#include "wigeonwall/request/batch_job.h"

namespace wigeonwall::process::dispatch {

/// \brief Times of an attempt, counted from its receipt.
struct JobTiming {
  /// Latency objective of the route.
  request::Duration Objective_{};
  /// Part of the objective in which the tasks may wait.
  request::Duration Slack_{};
  /// Time after which an answer is of no use to the caller.
  request::Duration Lifetime_{};
};

/// \brief Returns the times of an attempt. \p Overhead is the part of the
/// objective for messaging and start-up; a job expires after \p ExpiryFactor
/// times its objective.
[[nodiscard]] JobTiming jobTiming(const request::BatchJob &Spec,
                                  const request::RoutePolicy &Policy,
                                  request::Duration Overhead,
                                  double ExpiryFactor);

} // namespace wigeonwall::process::dispatch

#endif
