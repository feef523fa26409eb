/// \file
/// \brief Submissions of a job.
#ifndef WIGEONWALL_PROCESS_DISPATCH_JOB_ATTEMPT_H
#define WIGEONWALL_PROCESS_DISPATCH_JOB_ATTEMPT_H

#include "wigeonwall/process/dispatch/job_answer.h"
#include "wigeonwall/request/batch_job.h"

#include <cstdint>
#include <string>

namespace wigeonwall::process::dispatch {

/// \brief Distinguishes the submissions of a job at an entry; never reused.
using AttemptId = std::uint64_t;

/// \brief One submission of a job.
struct JobAttempt {
  AttemptId Id_ = 0;
  request::BatchJob Spec_;
  request::RoutePolicy Policy_;
  std::string Queue_;
  request::TimePoint ReceivedAt_;
  AnswerCallback Reply_;
};

} // namespace wigeonwall::process::dispatch

#endif
