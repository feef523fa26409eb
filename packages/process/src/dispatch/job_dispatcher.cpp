#include "wigeonwall/process/dispatch/job_dispatcher.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace wigeonwall::process::dispatch {

using request::Duration;
using request::TimePoint;

namespace {

/// Minimum retry delay sent with a refusal.
constexpr Duration MinRetryAfter = std::chrono::seconds(1);

constexpr double PercentPerUnit = 100.0;

} // namespace

Duration JobDispatcher::maxWait(Duration Slack) const {
  return request::fromSeconds(
      (Options_.MaxWaitShare_ - Margin_.share(Slack, Hooks_.Now_())) *
      request::toSeconds(Slack));
}

void JobDispatcher::refuse(const std::string &JobId,
                           const AnswerCallback &Reply, JobReason Reason,
                           Duration RetryAfter, Duration After,
                           const std::string &Detail) {
  JobAnswer Answer;
  Answer.Result_ = JobResult::Refused;
  Answer.Reason_ = Reason;
  Answer.RetryAfter_ = std::max(RetryAfter, MinRetryAfter);
  Hooks_.Log_(
      JobId, "refused",
      "reason=" + std::string(request::findName(JobReasonNames, Reason)) +
          Detail);
  Hooks_.OnAnswered_(JobResult::Refused, After);
  Reply(Answer);
}

void JobDispatcher::refuse(JobIterator JobIt, JobReason Reason,
                           Duration RetryAfter, const std::string &Detail) {
  const std::string JobId = JobIt->first;
  const AnswerCallback Reply = JobIt->second.Callers_.release();
  const Duration After = Hooks_.Now_() - JobIt->second.ReceivedAt_;
  const Duration Delay = retryAfter(JobIt->second, Reason, RetryAfter);
  Jobs_.erase(JobIt);
  refuse(JobId, Reply, Reason, Delay, After,
         Detail + " retry_after_ms=" +
             std::to_string(request::toMilliseconds(Delay)));
}

Duration JobDispatcher::retryAfter(const JobState &Job, JobReason Reason,
                                   Duration PredictedWait) {
  switch (Reason) {
  case JobReason::NoMinion:
  case JobReason::Overloaded:
  case JobReason::MinionsLost:
    return Retry_.onRefused(Job.Slack_, request::workOf(Job.Spec_),
                            PredictedWait);
  default:
    // These callers do not return to this entry, or say nothing about the load.
    return MinRetryAfter;
  }
}

AttemptId JobDispatcher::submit(const request::BatchJob &Spec,
                                const request::RoutePolicy &Policy,
                                const std::string &Queue,
                                AnswerCallback Reply) {
  const AttemptId Id = ++LastAttempt_;
  submit({Id, Spec, Policy, Queue, Hooks_.Now_(), std::move(Reply)});
  return Id;
}

void JobDispatcher::submit(JobAttempt Attempt) {
  const std::string Id = Attempt.Spec_.Id_;
  if (const auto Left = Cancelled_.remaining(Id); Left > Duration::zero())
    return refuse(Id, Attempt.Reply_, JobReason::Cancelled, Left, {}, "");
  if (const auto Known = Jobs_.find(Id); Known != Jobs_.end())
    return join(Known, std::move(Attempt));
  const JobTiming Times = timing(Attempt.Spec_, Attempt.Policy_);
  const TimePoint Now = Hooks_.Now_();
  const Duration Waited = Now - Attempt.ReceivedAt_;
  if (ShutdownDeadline_ && Now + Times.Objective_ > *ShutdownDeadline_)
    return refuse(Id, Attempt.Reply_, JobReason::ShuttingDown, {}, Waited, "");
  auto Claim = Tasks_.claim(Attempt.Spec_.TaskCount_);
  if (!Claim)
    return refuse(Id, Attempt.Reply_, JobReason::Overloaded, {}, Waited,
                  " open_tasks=" + std::to_string(Tasks_.used()));
  JobState Next;
  Next.Claim_ = std::move(*Claim);
  Next.Serial_ = Attempt.Id_;
  Next.Spec_ = std::move(Attempt.Spec_);
  Next.Policy_ = std::move(Attempt.Policy_);
  Next.Queue_ = std::move(Attempt.Queue_);
  Next.ReceivedAt_ = Attempt.ReceivedAt_;
  Next.Slack_ = std::max(Duration::zero(), Times.Slack_ - Waited);
  Next.Deadline_ = Next.ReceivedAt_ + Times.Objective_ - Options_.Overhead_;
  Next.ExpiresAt_ = Next.ReceivedAt_ + Times.Lifetime_;
  Next.Tasks_.resize(Next.Spec_.TaskCount_);
  Next.Callers_.add(Attempt.Id_, std::move(Attempt.Reply_));
  const auto Stored = Jobs_.emplace(Id, std::move(Next)).first;
  std::vector<std::uint32_t> Indices(Stored->second.Tasks_.size());
  std::iota(Indices.begin(), Indices.end(), 0U);
  placeTasks(Stored, Indices);
}

void JobDispatcher::join(JobIterator JobIt, JobAttempt Attempt) {
  JobState &Job = JobIt->second;
  // The tick that ends an expired job may still be due.
  if (!Job.Ending_ && Hooks_.Now_() >= Job.ExpiresAt_) {
    beginEnding(JobIt, JobReason::CallerTimeout);
    return submit(std::move(Attempt));
  }
  Hooks_.Log_(JobIt->first, "joined",
              Job.Ending_ ? "state=ending" : "state=running");
  if (!Job.Ending_)
    return Job.Callers_.add(Attempt.Id_, std::move(Attempt.Reply_));
  const JobTiming Times = timing(Attempt.Spec_, Attempt.Policy_);
  Waiting_.add(std::move(Attempt), Times);
}

void JobDispatcher::placeTasks(JobIterator JobIt,
                               const std::vector<std::uint32_t> &Indices) {
  Placement &Pending = JobIt->second.Placement_;
  Pending.Tasks_.insert(Pending.Tasks_.end(), Indices.begin(), Indices.end());
  if (!Pending.Awaited_.empty())
    return;
  Pending.Rounds_ = 0;
  continuePlacement(JobIt);
}

void JobDispatcher::continuePlacement(JobIterator JobIt) {
  JobState &Job = JobIt->second;
  const auto Places = findPlaces(Job, Job.Placement_.Tasks_);
  if (!request::FleetView::canStartAtOnce(Job.Spec_, Places) &&
      Job.Placement_.Rounds_ < Options_.MaxQueryRounds_ && queryAgents(JobIt))
    return;
  const std::vector<std::uint32_t> Indices =
      std::exchange(Job.Placement_.Tasks_, {});
  if (!Job.Admitted_)
    return admit(JobIt, Places);
  const std::string JobId = JobIt->first;
  const AttemptId Serial = Job.Serial_;
  for (const std::uint32_t Index : Indices) {
    // The job may end, and be erased, with any of its tasks.
    const auto Known = Jobs_.find(JobId);
    if (Known == Jobs_.end() || Known->second.Serial_ != Serial ||
        Known->second.Ending_)
      return;
    rescheduleTask(Known, Index);
  }
}

bool JobDispatcher::queryAgents(JobIterator JobIt) {
  Placement &Pending = JobIt->second.Placement_;
  const auto Agents =
      View_.agentsToQuery(JobIt->second.Spec_, JobIt->second.Policy_.Service_,
                          static_cast<std::uint32_t>(Pending.Tasks_.size()));
  if (Agents.empty())
    return false;
  ++Pending.Rounds_;
  Pending.Awaited_.insert(Agents.begin(), Agents.end());
  AwaitingReports_.insert(JobIt->first);
  for (const std::string &Agent : Agents)
    Hooks_.SendQuery_(Agent);
  Hooks_.Count_(DispatchEvent::Queried, Agents.size());
  Hooks_.After_(
      Options_.QueryTimeout_,
      [this, JobId = JobIt->first, Serial = JobIt->second.Serial_,
       Round = Pending.Rounds_] { onQueryTimeout(JobId, Serial, Round); });
  return true;
}

void JobDispatcher::onQueryTimeout(const std::string &JobId, AttemptId Serial,
                                   std::uint32_t Round) {
  const auto JobIt = Jobs_.find(JobId);
  if (JobIt == Jobs_.end() || JobIt->second.Serial_ != Serial)
    return;
  Placement &Pending = JobIt->second.Placement_;
  if (Pending.Awaited_.empty() || Pending.Rounds_ != Round)
    return;
  Hooks_.Log_(JobId, "queries_unanswered",
              "agents=" + std::to_string(Pending.Awaited_.size()) +
                  " first=" + *Pending.Awaited_.begin());
  Hooks_.Count_(DispatchEvent::QueryUnanswered, Pending.Awaited_.size());
  Pending.Awaited_.clear();
  AwaitingReports_.erase(JobId);
  continuePlacement(JobIt);
}

void JobDispatcher::onReport(const std::string &Agent) {
  std::vector<std::string> Complete;
  for (const std::string &JobId : AwaitingReports_) {
    const auto JobIt = Jobs_.find(JobId);
    if (JobIt == Jobs_.end())
      continue;
    auto &Awaited = JobIt->second.Placement_.Awaited_;
    if (Awaited.erase(Agent) != 0 && Awaited.empty())
      Complete.push_back(JobId);
  }
  for (const std::string &JobId : Complete) {
    AwaitingReports_.erase(JobId);
    if (const auto JobIt = Jobs_.find(JobId); JobIt != Jobs_.end())
      continuePlacement(JobIt);
  }
}

std::vector<request::TaskPlacement>
JobDispatcher::findPlaces(const JobState &Job,
                          const std::vector<std::uint32_t> &Indices) {
  const Duration Slack =
      Job.Admitted_ ? std::max(Duration::zero(), Job.Deadline_ - Hooks_.Now_() -
                                                     Job.Spec_.Estimate_)
                    : Job.Slack_;
  std::map<std::string, std::uint32_t> Placed;
  for (const TaskState &Each : Job.Tasks_)
    if (Each.Phase_ == Phase::Placed || Each.Phase_ == Phase::Done)
      ++Placed[Each.Agent_];
  const std::string Avoid =
      Indices.empty() ? "" : Job.Tasks_[Indices.front()].FailedOn_;
  return View_.place(Job.Spec_, Job.Policy_.Service_,
                     static_cast<std::uint32_t>(Indices.size()), Slack, Avoid,
                     Placed);
}

void JobDispatcher::admit(JobIterator JobIt,
                          const std::vector<request::TaskPlacement> &Places) {
  JobState &Job = JobIt->second;
  if (Places.empty())
    return refuse(JobIt, JobReason::NoMinion, {}, "");
  const request::PlacementMaxima Expected = request::maximaOf(Places);
  const double ReservedShare = Margin_.share(Job.Slack_, Hooks_.Now_());
  const Duration Objective =
      Job.Deadline_ + Options_.Overhead_ - Job.ReceivedAt_;
  const std::string Detail =
      " tasks=" + std::to_string(Job.Spec_.TaskCount_) +
      " objective_ms=" + std::to_string(request::toMilliseconds(Objective)) +
      " predicted_ms=" +
      std::to_string(request::toMilliseconds(Expected.Finish_)) +
      " wait_ms=" + std::to_string(request::toMilliseconds(Expected.Wait_)) +
      " kept_back_percent=" +
      std::to_string(std::lround(ReservedShare * PercentPerUnit));
  if (Expected.Wait_ > maxWait(Job.Slack_))
    return refuse(JobIt, JobReason::Overloaded, Expected.Wait_, Detail);
  Job.Admitted_ = true;
  Retry_.onAdmitted(Job.Slack_, request::workOf(Job.Spec_));
  Hooks_.Log_(JobIt->first, "accepted", "queue=" + Job.Queue_ + Detail);
  std::vector<std::uint32_t> Indices(Job.Spec_.TaskCount_);
  std::iota(Indices.begin(), Indices.end(), 0U);
  sendOrders(Job, Indices, Places);
}

void JobDispatcher::sendOrders(
    JobState &Job, const std::vector<std::uint32_t> &Indices,
    const std::vector<request::TaskPlacement> &Places) {
  const TimePoint Now = Hooks_.Now_();
  const Duration Tolerance =
      std::max(Options_.WaitTolerance_,
               request::fromSeconds(Options_.WaitToleranceShare_ *
                                    request::toSeconds(Job.Slack_)));
  std::map<std::string, RunOrder> Orders;
  for (std::size_t I = 0; I < Indices.size(); ++I) {
    TaskState &Task = Job.Tasks_[Indices[I]];
    Task.Phase_ = Phase::Placed;
    Task.Agent_ = Places[I].Agent_;
    RunOrder &Order = Orders[Task.Agent_];
    Order.Expected_ = Places[I].Expected_;
    Order.MaxWait_ = std::max(Order.MaxWait_, Places[I].Wait_ + Tolerance);
    Order.MayDecline_ =
        Order.MayDecline_ && Task.Declines_ < Options_.MaxDeclines_;
    Order.Tasks_.push_back({Indices[I], Task.NextNumber_});
  }
  for (auto &[Agent, Order] : Orders) {
    Order.Job_ = Job.Spec_.Id_;
    Order.Service_ = Job.Policy_.Service_;
    Order.RequiredLabel_ = Job.Spec_.RequiredLabel_;
    Order.Payload_ = Job.Spec_.Payload_;
    Order.Needs_ = Job.Spec_.Needs_;
    Order.TimeToDeadline_ = Job.Deadline_ - Now;
    Order.TimeToExpiry_ = Job.ExpiresAt_ - Now;
    Order.MayDecline_ =
        Order.MayDecline_ && Order.TimeToDeadline_ > Order.Expected_;
    const std::uint64_t Sequence = Hooks_.SendOrder_(Agent, Order);
    Hooks_.Count_(DispatchEvent::TaskOrdered, Order.Tasks_.size());
    for (std::size_t I = 0; I < Order.Tasks_.size(); ++I)
      View_.onTaskSent(Agent, Sequence, Order.Needs_, Order.Expected_);
  }
}

void JobDispatcher::onOutcome(const std::string &Agent,
                              const RunOutcome &Outcome) {
  const auto JobIt = Jobs_.find(Outcome.Job_);
  if (JobIt == Jobs_.end() || Outcome.Index_ >= JobIt->second.Tasks_.size())
    return;
  TaskState &Task = JobIt->second.Tasks_[Outcome.Index_];
  if (Task.Phase_ != Phase::Placed || Task.Agent_ != Agent)
    return;
  if (Outcome.End_ != request::RunEnd::NeverRan)
    JobIt->second.AnyTaskRan_ = true;
  Task.NextNumber_ = std::max(Task.NextNumber_, Outcome.Number_ + 1);
  onTaskEnd(JobIt, Task, Outcome);
}

void JobDispatcher::onTaskEnd(JobIterator JobIt, TaskState &Task,
                              const RunOutcome &Outcome) {
  JobState &Job = JobIt->second;
  if (Outcome.End_ == request::RunEnd::Done) {
    Task.Phase_ = Phase::Done;
    if (allDone(Job)) {
      const TimePoint Now = Hooks_.Now_();
      if (Now > Job.Deadline_)
        recordMissedForecast(Job);
      else if (!Job.ForecastMissed_)
        Margin_.onForecastMet(Job.Slack_, Now);
      answer(Job, JobResult::Completed);
      Job.Ending_ = true;
    }
    return finishIfEnded(JobIt);
  }
  Task.Phase_ = Phase::Waiting;
  if (Job.Ending_)
    return finishIfEnded(JobIt);
  Hooks_.Log_(
      JobIt->first, "task_ended",
      "task=" + std::to_string(Outcome.Index_) + " agent=" + Task.Agent_ +
          " end=" +
          std::string(request::findName(request::RunEndNames, Outcome.End_)) +
          (Outcome.Reason_.empty() ? "" : " cause=" + Outcome.Reason_));
  Task.FailedOn_ = Task.Agent_;
  if (Outcome.End_ == request::RunEnd::Failed &&
      ++Task.Failures_ >= Job.Policy_.MaxAttempts_)
    return beginEnding(JobIt, JobReason::AttemptsUsed);
  if (Outcome.End_ == request::RunEnd::NeverRan) {
    ++Task.Declines_;
    Hooks_.Count_(DispatchEvent::TaskDeclined, 1);
  }
  placeTasks(JobIt, {Outcome.Index_});
}

void JobDispatcher::recordMissedForecast(JobState &Job) {
  if (Job.ForecastMissed_)
    return;
  Job.ForecastMissed_ = true;
  Margin_.onForecastMissed(Job.Slack_, Hooks_.Now_());
}

void JobDispatcher::rescheduleTask(JobIterator JobIt, std::uint32_t Index) {
  JobState &Job = JobIt->second;
  const auto Places = findPlaces(Job, {Index});
  if (Places.empty())
    return beginEnding(JobIt, JobReason::NoMinion);
  if (Hooks_.Now_() + Places.front().Finish_ > Job.ExpiresAt_) {
    Job.RetryAfter_ = Places.front().Wait_;
    return beginEnding(JobIt, JobReason::Overloaded);
  }
  Hooks_.Log_(JobIt->first, "placed_again",
              "task=" + std::to_string(Index) +
                  " agent=" + Places.front().Agent_);
  sendOrders(Job, {Index}, Places);
}

void JobDispatcher::onAgentLost(const std::string &Agent, TimePoint SafeAt) {
  for (auto Each = Jobs_.begin(); Each != Jobs_.end();) {
    const auto JobIt = Each++;
    JobState &Job = JobIt->second;
    bool Affected = false;
    for (TaskState &Task : Job.Tasks_) {
      if (Task.Phase_ != Phase::Placed || Task.Agent_ != Agent)
        continue;
      Task.Phase_ = Phase::Lost;
      Task.FailedOn_ = Agent;
      Task.LostUntil_ = SafeAt;
      ++Task.NextNumber_;
      Hooks_.Count_(DispatchEvent::TaskLost, 1);
      Affected = true;
    }
    if (!Affected)
      continue;
    // It is unknown whether the lost tasks started, so they count as run.
    Job.AnyTaskRan_ = true;
    Hooks_.Log_(JobIt->first, "tasks_lost", "agent=" + Agent);
    if (Job.Ending_)
      finishIfEnded(JobIt);
    else if (SafeAt + Job.Spec_.Estimate_ > Job.ExpiresAt_)
      beginEnding(JobIt, JobReason::MinionsLost);
  }
}

void JobDispatcher::leave(const std::string &JobId, AttemptId Attempt) {
  if (Waiting_.leave(JobId, Attempt))
    return;
  const auto JobIt = Jobs_.find(JobId);
  if (JobIt == Jobs_.end() || JobIt->second.Ending_)
    return;
  if (JobIt->second.Callers_.leave(Attempt) == CallerLeft::Last)
    beginEnding(JobIt, JobReason::CallerGone);
}

CancelFound JobDispatcher::cancel(const std::string &JobId, JobReason Reason) {
  if (Reason == JobReason::Cancelled)
    Cancelled_.add(JobId);
  const bool Waited = Waiting_.cancel(JobId, Reason);
  const auto JobIt = Jobs_.find(JobId);
  if (JobIt == Jobs_.end())
    return CancelFound::Nothing;
  if (JobIt->second.Ending_)
    return Waited ? CancelFound::Attempt : CancelFound::Remains;
  beginEnding(JobIt, Reason);
  return CancelFound::Attempt;
}

void JobDispatcher::tick() {
  Waiting_.expire();
  const TimePoint Now = Hooks_.Now_();
  for (auto Each = Jobs_.begin(); Each != Jobs_.end();) {
    const auto JobIt = Each++;
    JobState &Job = JobIt->second;
    if (Job.Ending_)
      continue;
    if (ShutdownDeadline_ && Now >= *ShutdownDeadline_) {
      beginEnding(JobIt, JobReason::ShuttingDown);
      continue;
    }
    if (Now >= Job.ExpiresAt_) {
      beginEnding(JobIt, JobReason::CallerTimeout);
      continue;
    }
    for (std::uint32_t I = 0; I < Job.Tasks_.size(); ++I) {
      TaskState &Task = Job.Tasks_[I];
      if (Task.Phase_ != Phase::Lost || Now < Task.LostUntil_)
        continue;
      Task.Phase_ = Phase::Waiting;
      placeTasks(JobIt, {I});
      // placeTasks() may have erased the job, which invalidates the references.
      break;
    }
  }
}

void JobDispatcher::beginEnding(JobIterator JobIt, JobReason Reason) {
  JobState &Job = JobIt->second;
  Job.Ending_ = true;
  Job.Reason_ = Reason;
  Job.Placement_ = {};
  AwaitingReports_.erase(JobIt->first);
  if (Reason == JobReason::Overloaded || Reason == JobReason::CallerTimeout)
    recordMissedForecast(Job);
  Hooks_.Log_(
      JobIt->first, "given_up",
      "reason=" + std::string(request::findName(JobReasonNames, Reason)) +
          " ran=" + (Job.AnyTaskRan_ ? "yes" : "unknown"));
  std::map<std::string, bool> Agents;
  for (TaskState &Task : Job.Tasks_) {
    if (Task.Phase_ == Phase::Placed)
      Agents[Task.Agent_] = true;
    else if (Task.Phase_ != Phase::Done)
      Task.Phase_ = Phase::Waiting;
  }
  for (const auto &[Agent, Unused] : Agents)
    Hooks_.SendCancel_(Agent, JobIt->first);
  // Once a task has run, the result can no longer be a refusal.
  if (Job.AnyTaskRan_)
    answer(Job, resultOf(Job));
  finishIfEnded(JobIt);
}

void JobDispatcher::finishIfEnded(JobIterator JobIt) {
  JobState &Job = JobIt->second;
  if (!Job.Ending_ || anyPlaced(Job))
    return;
  answer(Job, resultOf(Job));
  const std::string JobId = JobIt->first;
  Jobs_.erase(JobIt);
  for (JobAttempt &Next : Waiting_.take(JobId))
    submit(std::move(Next));
}

JobResult JobDispatcher::resultOf(const JobState &Job) {
  if (Job.Reason_ == JobReason::AttemptsUsed)
    return JobResult::Failed;
  return Job.AnyTaskRan_ ? JobResult::Abandoned : JobResult::Refused;
}

void JobDispatcher::answer(JobState &Job, JobResult Result) {
  if (Job.Callers_.empty())
    return;
  JobAnswer Answer;
  Answer.Result_ = Result;
  Answer.Reason_ = Job.Reason_;
  if (Result == JobResult::Refused)
    Answer.RetryAfter_ = retryAfter(Job, Job.Reason_, Job.RetryAfter_);
  const TimePoint Now = Hooks_.Now_();
  Hooks_.Log_(
      Job.Spec_.Id_, "answered",
      "result=" + std::string(request::findName(JobResultNames, Result)) +
          " after_ms=" +
          std::to_string(request::toMilliseconds(Now - Job.ReceivedAt_)) +
          " late=" + (Now > Job.Deadline_ ? "yes" : "no"));
  Hooks_.OnAnswered_(Result, Now - Job.ReceivedAt_);
  Job.Callers_.release()(Answer);
}

bool JobDispatcher::allDone(const JobState &Job) {
  return std::all_of(
      Job.Tasks_.begin(), Job.Tasks_.end(),
      [](const TaskState &Each) { return Each.Phase_ == Phase::Done; });
}

bool JobDispatcher::anyPlaced(const JobState &Job) {
  return std::any_of(
      Job.Tasks_.begin(), Job.Tasks_.end(),
      [](const TaskState &Each) { return Each.Phase_ == Phase::Placed; });
}

std::string JobDispatcher::stateOf(const std::string &JobId) const {
  const auto JobIt = Jobs_.find(JobId);
  if (JobIt == Jobs_.end())
    return {};
  return JobIt->second.AnyTaskRan_ ? "running" : "queued";
}

std::size_t JobDispatcher::pendingOf(const std::string &Queue) const {
  return static_cast<std::size_t>(
      std::count_if(Jobs_.begin(), Jobs_.end(), [&](const auto &Each) {
        return Each.second.Queue_ == Queue && !Each.second.AnyTaskRan_;
      }));
}

} // namespace wigeonwall::process::dispatch
