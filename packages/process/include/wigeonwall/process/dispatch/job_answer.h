/// \file
/// \brief Answers to the callers of jobs.
#ifndef WIGEONWALL_PROCESS_DISPATCH_JOB_ANSWER_H
#define WIGEONWALL_PROCESS_DISPATCH_JOB_ANSWER_H

#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/enum_names.h"

#include <array>
#include <cstdint>
#include <functional>

namespace wigeonwall::process::dispatch {

/// \brief Result of a job as reported to the caller.
enum class JobResult : std::uint8_t {
  Completed,
  /// A task has failed as many times as the route allows.
  Failed,
  /// At least one task may have run, and the job was given up.
  Abandoned,
  /// No task has run or will run.
  Refused,
};

inline constexpr std::array<request::EnumName<JobResult>, 4> JobResultNames{{
    {JobResult::Completed, "completed"},
    {JobResult::Failed, "failed"},
    {JobResult::Abandoned, "abandoned"},
    {JobResult::Refused, "refused"},
}};

/// \brief Why a job was refused or given up.
enum class JobReason : std::uint8_t {
  None,
  /// No agent of the service accepts tasks.
  NoMinion,
  /// The predicted completion time is after the objective.
  Overloaded,
  /// A task has failed as many times as the route allows.
  AttemptsUsed,
  /// The caller's timeout has passed.
  CallerTimeout,
  CallerGone,
  Cancelled,
  /// The minions of some tasks were lost, and too little time is left.
  MinionsLost,
  ShuttingDown,
  /// Runs of an earlier attempt had not ended in time.
  EarlierAttempt,
};

inline constexpr std::array<request::EnumName<JobReason>, 10> JobReasonNames{{
    {JobReason::None, "none"},
    {JobReason::NoMinion, "no_minion"},
    {JobReason::Overloaded, "overloaded"},
    {JobReason::AttemptsUsed, "attempts_used"},
    {JobReason::CallerTimeout, "caller_timeout"},
    {JobReason::CallerGone, "caller_gone"},
    {JobReason::Cancelled, "cancelled"},
    {JobReason::MinionsLost, "minions_lost"},
    {JobReason::ShuttingDown, "shutting_down"},
    {JobReason::EarlierAttempt, "earlier_attempt"},
}};

struct JobAnswer {
  JobResult Result_ = JobResult::Abandoned;
  JobReason Reason_ = JobReason::None;
  /// For refusals: time after which the job would probably be admitted.
  request::Duration RetryAfter_{};
};

/// \brief What a cancellation found at an entry.
enum class CancelFound : std::uint8_t {
  Nothing,
  /// Only an attempt that was ending already. Its caller may have submitted the
  /// job to another entry since.
  Remains,
  /// An attempt that was active or waited; it has been ended.
  Attempt,
};

inline constexpr std::array<request::EnumName<CancelFound>, 3> CancelFoundNames{
    {
        {CancelFound::Nothing, "nothing"},
        {CancelFound::Remains, "remains"},
        {CancelFound::Attempt, "attempt"},
    }};

using AnswerCallback = std::function<void(const JobAnswer &)>;

} // namespace wigeonwall::process::dispatch

#endif
