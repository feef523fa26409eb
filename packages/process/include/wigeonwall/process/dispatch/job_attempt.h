/// \file
/// \brief Submissions of a job, and the callers that wait for its answer.
#ifndef WIGEONWALL_PROCESS_DISPATCH_JOB_ATTEMPT_H
#define WIGEONWALL_PROCESS_DISPATCH_JOB_ATTEMPT_H

#include "wigeonwall/process/dispatch/job_answer.h"
#include "wigeonwall/request/batch_job.h"

#include <cstdint>
#include <string>
#include <vector>

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

/// \brief Result of JobCallers::leave().
enum class CallerLeft : std::uint8_t {
  /// No caller of that attempt waits.
  Unknown,
  /// Other callers still wait.
  OthersWait,
  /// No other caller waits; this one is kept for the final answer.
  Last,
};

/// \brief Callers of the attempts that have joined one job.
class JobCallers {
public:
  void add(AttemptId Attempt, AnswerCallback Reply) {
    Callers_.push_back({Attempt, std::move(Reply)});
  }
  /// \brief Records that the caller of an attempt no longer waits. A caller is
  /// answered and removed if others wait.
  CallerLeft leave(AttemptId Attempt);
  /// \brief Removes all callers; returns a function that answers them.
  [[nodiscard]] AnswerCallback release();
  [[nodiscard]] bool empty() const noexcept { return Callers_.empty(); }

private:
  struct Caller {
    AttemptId Attempt_ = 0;
    AnswerCallback Reply_;
  };
  std::vector<Caller> Callers_;
};

} // namespace wigeonwall::process::dispatch

#endif
