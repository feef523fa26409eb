#include "wigeonwall/process/dispatch/waiting_attempts.h"

#include <algorithm>
#include <utility>

namespace wigeonwall::process::dispatch {

using request::Duration;
using request::TimePoint;

JobReason WaitingAttempts::lateness(const Waiting &Each) const {
  const TimePoint Now = Hooks_.Now_();
  if (Now > Each.LatestStart_)
    return JobReason::EarlierAttempt;
  if (ShutdownDeadline_ && Now + Each.Objective_ > *ShutdownDeadline_)
    return JobReason::ShuttingDown;
  return JobReason::None;
}

void WaitingAttempts::drop(const Waiting &Each, JobReason Reason) const {
  const JobAttempt &Attempt = Each.Attempt_;
  const Duration Waited = Hooks_.Now_() - Attempt.ReceivedAt_;
  Hooks_.Log_(
      Attempt.Spec_.Id_, "resubmission_dropped",
      "reason=" + std::string(request::findName(JobReasonNames, Reason)) +
          " after_ms=" + std::to_string(request::toMilliseconds(Waited)));
  Hooks_.OnAnswered_(JobResult::Abandoned, Waited);
  Attempt.Reply_({JobResult::Abandoned, Reason, {}});
}

void WaitingAttempts::add(JobAttempt Attempt, const JobTiming &Times) {
  const std::string JobId = Attempt.Spec_.Id_;
  const TimePoint LatestStart =
      Attempt.ReceivedAt_ + Times.Lifetime_ - Attempt.Spec_.Estimate_;
  Waiting Next{std::move(Attempt), LatestStart, Times.Objective_};
  if (const JobReason Reason = lateness(Next); Reason != JobReason::None)
    return drop(Next, Reason);
  Jobs_[JobId].push_back(std::move(Next));
}

bool WaitingAttempts::leave(const std::string &JobId, AttemptId Attempt) {
  const auto Job = Jobs_.find(JobId);
  if (Job == Jobs_.end())
    return false;
  const auto Found = std::find_if(
      Job->second.begin(), Job->second.end(),
      [Attempt](const Waiting &Each) { return Each.Attempt_.Id_ == Attempt; });
  if (Found == Job->second.end())
    return false;
  const Waiting Left = std::move(*Found);
  Job->second.erase(Found);
  if (Job->second.empty())
    Jobs_.erase(Job);
  drop(Left, JobReason::CallerGone);
  return true;
}

bool WaitingAttempts::cancel(const std::string &JobId, JobReason Reason) {
  const auto Cancelled = Jobs_.extract(JobId);
  if (Cancelled.empty())
    return false;
  for (const Waiting &Each : Cancelled.mapped())
    drop(Each, Reason);
  return true;
}

void WaitingAttempts::expire() {
  WaitingList Late;
  for (auto &[JobId, List] : Jobs_) {
    const auto End =
        std::stable_partition(List.begin(), List.end(), [this](const auto &E) {
          return lateness(E) == JobReason::None;
        });
    std::move(End, List.end(), std::back_inserter(Late));
    List.erase(End, List.end());
  }
  std::erase_if(Jobs_, [](const auto &Job) { return Job.second.empty(); });
  for (const Waiting &Each : Late)
    drop(Each, lateness(Each));
}

void WaitingAttempts::beginShutdown(TimePoint Deadline) {
  ShutdownDeadline_ = Deadline;
  expire();
}

std::vector<JobAttempt> WaitingAttempts::take(const std::string &JobId) {
  std::vector<JobAttempt> Result;
  auto Taken = Jobs_.extract(JobId);
  if (Taken.empty())
    return Result;
  for (Waiting &Each : Taken.mapped()) {
    if (const JobReason Reason = lateness(Each); Reason != JobReason::None)
      drop(Each, Reason);
    else
      Result.push_back(std::move(Each.Attempt_));
  }
  return Result;
}

} // namespace wigeonwall::process::dispatch
