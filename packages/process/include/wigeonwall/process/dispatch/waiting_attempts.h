/// \file
/// \brief Resubmissions that wait until the runs of an earlier attempt have
/// ended.
#ifndef WIGEONWALL_PROCESS_DISPATCH_WAITING_ATTEMPTS_H
#define WIGEONWALL_PROCESS_DISPATCH_WAITING_ATTEMPTS_H

#include "wigeonwall/process/dispatch/job_attempt.h"
#include "wigeonwall/process/dispatch/job_timing.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwall::process::dispatch {

/// \brief Dependencies and callbacks; see JobDispatcherHooks.
struct WaitingAttemptsHooks {
  request::Clock Now_;
  std::function<void(JobResult Result, request::Duration After)> OnAnswered_;
  std::function<void(const std::string &JobId, const std::string &Decision,
                     const std::string &Detail)>
      Log_;
};

/// \brief Keeps each resubmission for as long as its caller waits and it can
/// still be completed in time; answers those that cannot.
///
/// The answer is never a refusal, because runs of the earlier attempt may have
/// started.
class WaitingAttempts {
public:
  explicit WaitingAttempts(WaitingAttemptsHooks Hooks)
      : Hooks_(std::move(Hooks)) {}

  /// \brief Adds an attempt, or answers it at once if it is too late to start
  /// it.
  void add(JobAttempt Attempt, const JobTiming &Times);
  /// \brief Removes an attempt whose caller no longer waits; returns false if
  /// there is no such attempt.
  bool leave(const std::string &JobId, AttemptId Attempt);
  /// \brief Answers and removes all attempts of a job; returns false if there
  /// is none.
  bool cancel(const std::string &JobId, JobReason Reason);
  /// \brief Answers the attempts that can no longer be completed in time.
  void expire();
  /// \brief From now on, an attempt must be able to meet its objective by
  /// \p Deadline.
  void beginShutdown(request::TimePoint Deadline);
  /// \brief Removes all attempts of a job and returns, in the order of their
  /// receipt, those that can still be completed in time.
  [[nodiscard]] std::vector<JobAttempt> take(const std::string &JobId);

private:
  struct Waiting {
    JobAttempt Attempt_;
    /// Latest start with which the caller is answered in time.
    request::TimePoint LatestStart_;
    request::Duration Objective_{};
  };
  using WaitingList = std::vector<Waiting>;

  /// Returns why an attempt cannot be completed in time; None if it can.
  [[nodiscard]] JobReason lateness(const Waiting &Each) const;
  void drop(const Waiting &Each, JobReason Reason) const;

  WaitingAttemptsHooks Hooks_;
  std::map<std::string, WaitingList> Jobs_;
  std::optional<request::TimePoint> ShutdownDeadline_;
};

} // namespace wigeonwall::process::dispatch

#endif
