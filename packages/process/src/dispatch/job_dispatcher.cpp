#include "wigeonwall/process/dispatch/job_dispatcher.h"

#include <algorithm>
#include <cmath>

namespace wigeonwall::process::dispatch {

using request::Duration;
using request::TimePoint;

namespace {

/// Lower bound of the time after which a refused caller may come back.
constexpr Duration LeastRetryAfter = std::chrono::seconds(1);

constexpr double PercentPerUnit = 100.0;

/// Largest predicted end and wait of some placements.
struct Prediction {
  Duration Finish_{};
  Duration Wait_{};
};

Prediction worst(const std::vector<request::TaskPlacement> &Places) {
  Prediction Result;
  for (const request::TaskPlacement &Each : Places) {
    Result.Finish_ = std::max(Result.Finish_, Each.Finish_);
    Result.Wait_ = std::max(Result.Wait_, Each.Wait_);
  }
  return Result;
}

} // namespace

JobDispatcher::Timing
JobDispatcher::timing(const request::BatchJob &Spec,
                      const request::RoutePolicy &Policy) const {
  Timing Result;
  Result.Objective_ = std::chrono::duration_cast<Duration>(
                          Spec.Estimate_ * Policy.SlackFactor_) +
                      Policy.TargetLatency_;
  Result.Slack_ =
      std::max(Duration::zero(),
               Result.Objective_ - Spec.Estimate_ - Options_.Overhead_);
  return Result;
}

void JobDispatcher::refuse(const std::string &Id, const AnswerCallback &Reply,
                           JobReason Why, Duration RetryAfter,
                           const std::string &Detail) {
  JobAnswer Answer;
  Answer.Result_ = JobResult::Refused;
  Answer.Reason_ = Why;
  Answer.RetryAfter_ = std::max(RetryAfter, LeastRetryAfter);
  Hooks_.Log_(Id, "refused",
              "reason=" + std::string(request::findName(JobReasonNames, Why)) +
                  Detail);
  Hooks_.OnAnswered_(JobResult::Refused, Duration::zero());
  Reply(Answer);
}

void JobDispatcher::submit(const request::BatchJob &Spec,
                           const request::RoutePolicy &Policy,
                           const std::string &Queue, AnswerCallback Reply) {
  if (const auto Known = Jobs_.find(Spec.Id_); Known != Jobs_.end()) {
    Hooks_.Log_(Spec.Id_, "joined",
                Known->second.Ending_ ? "state=ending" : "state=running");
    if (Known->second.Ending_) {
      Known->second.Resubmission_ = [this, Spec, Policy, Queue, Reply] {
        submit(Spec, Policy, Queue, Reply);
      };
    } else {
      Known->second.Reply_ = [First = std::move(Known->second.Reply_),
                              Second = std::move(Reply)](const auto &Answer) {
        First(Answer);
        Second(Answer);
      };
    }
    return;
  }
  const Timing Times = timing(Spec, Policy);
  if (LeaveBy_ && Hooks_.Now_() + Times.Objective_ > *LeaveBy_)
    return refuse(Spec.Id_, Reply, JobReason::ShuttingDown, {}, "");
  const auto Places =
      View_.place(Spec, Policy.Service_, Spec.TaskCount_, Times.Slack_, "", {});
  if (Places.empty())
    return refuse(Spec.Id_, Reply, JobReason::NoMinion, {}, "");
  const Prediction Expected = worst(Places);
  const double KeptBack = Margin_.share(Times.Slack_, Hooks_.Now_());
  const std::string Detail =
      " tasks=" + std::to_string(Spec.TaskCount_) + " objective_ms=" +
      std::to_string(request::toMilliseconds(Times.Objective_)) +
      " predicted_ms=" +
      std::to_string(request::toMilliseconds(Expected.Finish_)) +
      " wait_ms=" + std::to_string(request::toMilliseconds(Expected.Wait_)) +
      " kept_back_percent=" +
      std::to_string(std::lround(KeptBack * PercentPerUnit));
  if (request::toSeconds(Expected.Wait_) >
      (Options_.AdmittedWait_ - KeptBack) * request::toSeconds(Times.Slack_))
    return refuse(Spec.Id_, Reply, JobReason::Overloaded, Expected.Wait_,
                  Detail);
  const TimePoint Now = Hooks_.Now_();
  Job Next;
  Next.Spec_ = Spec;
  Next.Policy_ = Policy;
  Next.Queue_ = Queue;
  Next.Received_ = Now;
  Next.Slack_ = Times.Slack_;
  Next.OnTimeBy_ = Now + Times.Objective_ - Options_.Overhead_;
  Next.UsefulBy_ = Now + std::chrono::duration_cast<Duration>(
                             Times.Objective_ * Options_.UsefulFactor_);
  if (Spec.CallerTimeout_ > Duration::zero())
    Next.UsefulBy_ = std::min(Next.UsefulBy_, Now + Spec.CallerTimeout_);
  Next.Tasks_.resize(Spec.TaskCount_);
  Next.Reply_ = std::move(Reply);
  Job &Stored = Jobs_.emplace(Spec.Id_, std::move(Next)).first->second;
  Hooks_.Log_(Spec.Id_, "accepted", "queue=" + Queue + Detail);
  std::vector<std::uint32_t> Indices(Spec.TaskCount_);
  for (std::uint32_t I = 0; I < Spec.TaskCount_; ++I)
    Indices[I] = I;
  order(Stored, Indices, Places);
}

void JobDispatcher::order(Job &Which, const std::vector<std::uint32_t> &Indices,
                          const std::vector<request::TaskPlacement> &Places) {
  const TimePoint Now = Hooks_.Now_();
  std::map<std::string, RunOrder> Orders;
  for (std::size_t I = 0; I < Indices.size(); ++I) {
    Task &Of = Which.Tasks_[Indices[I]];
    Of.Phase_ = Phase::Placed;
    Of.Agent_ = Places[I].Agent_;
    RunOrder &Order = Orders[Of.Agent_];
    Order.Expected_ = Places[I].Expected_;
    Order.Patience_ =
        std::max(Order.Patience_, Places[I].Wait_ + Options_.WaitTolerance_);
    Order.MayMove_ = Order.MayMove_ && Of.Declines_ < Options_.MaxDeclines_;
    Order.Tasks_.push_back({Indices[I], Of.NextNumber_});
  }
  for (auto &[Agent, Order] : Orders) {
    Order.Job_ = Which.Spec_.Id_;
    Order.Service_ = Which.Policy_.Service_;
    Order.Payload_ = Which.Spec_.Payload_;
    Order.Needs_ = Which.Spec_.Needs_;
    Order.OnTimeIn_ = Which.OnTimeBy_ - Now;
    Order.UsefulIn_ = Which.UsefulBy_ - Now;
    Order.MayMove_ = Order.MayMove_ && Order.OnTimeIn_ > Order.Expected_;
    const std::uint64_t Sequence = Hooks_.SendOrder_(Agent, Order);
    for (std::size_t I = 0; I < Order.Tasks_.size(); ++I)
      View_.onTaskSent(Agent, Sequence, Order.Needs_, Order.Expected_);
  }
}

void JobDispatcher::onOutcome(const std::string &Agent,
                              const RunOutcome &Outcome) {
  const auto Which = Jobs_.find(Outcome.Job_);
  if (Which == Jobs_.end() || Outcome.Index_ >= Which->second.Tasks_.size())
    return;
  Task &Of = Which->second.Tasks_[Outcome.Index_];
  if (Of.Phase_ != Phase::Placed || Of.Agent_ != Agent)
    return;
  if (Outcome.End_ != request::RunEnd::NeverRan)
    Which->second.AnyRan_ = true;
  Of.NextNumber_ = std::max(Of.NextNumber_, Outcome.Number_ + 1);
  onTaskEnd(Which, Of, Outcome);
}

void JobDispatcher::onTaskEnd(JobIterator Which, Task &Of,
                              const RunOutcome &Outcome) {
  Job &Its = Which->second;
  if (Outcome.End_ == request::RunEnd::Done) {
    Of.Phase_ = Phase::Done;
    if (allDone(Its)) {
      const TimePoint Now = Hooks_.Now_();
      if (Now > Its.OnTimeBy_)
        noteMissed(Its);
      else if (!Its.Missed_)
        Margin_.onForecastMet(Its.Slack_, Now);
      answer(Its, JobResult::Completed);
      Its.Ending_ = true;
    }
    return finishIfOver(Which);
  }
  Of.Phase_ = Phase::Waiting;
  if (Its.Ending_)
    return finishIfOver(Which);
  Hooks_.Log_(
      Which->first, "task_ended",
      "task=" + std::to_string(Outcome.Index_) + " agent=" + Of.Agent_ +
          " end=" +
          std::string(request::findName(request::RunEndNames, Outcome.End_)) +
          (Outcome.Reason_.empty() ? "" : " cause=" + Outcome.Reason_));
  Of.FailedOn_ = Of.Agent_;
  if (Outcome.End_ == request::RunEnd::Failed &&
      ++Of.Failures_ >= Its.Policy_.MaxAttempts_)
    return beginEnding(Which, JobReason::AttemptsUsed);
  if (Outcome.End_ == request::RunEnd::NeverRan)
    ++Of.Declines_;
  placeAgain(Which, Outcome.Index_);
}

void JobDispatcher::noteMissed(Job &Which) {
  if (Which.Missed_)
    return;
  Which.Missed_ = true;
  Margin_.onForecastMissed(Which.Slack_, Hooks_.Now_());
}

void JobDispatcher::placeAgain(JobIterator Which, std::uint32_t Index) {
  Job &Its = Which->second;
  const TimePoint Now = Hooks_.Now_();
  std::map<std::string, std::uint32_t> Placed;
  for (const Task &Each : Its.Tasks_)
    if (Each.Phase_ == Phase::Placed || Each.Phase_ == Phase::Done)
      ++Placed[Each.Agent_];
  const Duration Slack =
      std::max(Duration::zero(), Its.OnTimeBy_ - Now - Its.Spec_.Estimate_);
  const auto Places = View_.place(Its.Spec_, Its.Policy_.Service_, 1, Slack,
                                  Its.Tasks_[Index].FailedOn_, Placed);
  if (Places.empty())
    return beginEnding(Which, JobReason::NoMinion);
  if (Now + Places.front().Finish_ > Its.UsefulBy_) {
    Its.RetryAfter_ = Places.front().Wait_;
    return beginEnding(Which, JobReason::Overloaded);
  }
  Hooks_.Log_(Which->first, "placed_again",
              "task=" + std::to_string(Index) +
                  " agent=" + Places.front().Agent_);
  order(Its, {Index}, Places);
}

void JobDispatcher::onAgentLost(const std::string &Agent, TimePoint SafeAt) {
  for (auto Each = Jobs_.begin(); Each != Jobs_.end();) {
    const auto Which = Each++;
    Job &Its = Which->second;
    bool Affected = false;
    for (Task &Of : Its.Tasks_) {
      if (Of.Phase_ != Phase::Placed || Of.Agent_ != Agent)
        continue;
      Of.Phase_ = Phase::Lost;
      Of.FailedOn_ = Agent;
      Of.LostUntil_ = SafeAt;
      ++Of.NextNumber_;
      Affected = true;
    }
    if (!Affected)
      continue;
    // Whether the lost tasks began is not known; they count as run.
    Its.AnyRan_ = true;
    Hooks_.Log_(Which->first, "tasks_lost", "agent=" + Agent);
    if (Its.Ending_)
      finishIfOver(Which);
    else if (SafeAt + Its.Spec_.Estimate_ > Its.UsefulBy_)
      beginEnding(Which, JobReason::MinionsLost);
  }
}

bool JobDispatcher::cancel(const std::string &Id, JobReason Why) {
  const auto Which = Jobs_.find(Id);
  if (Which == Jobs_.end())
    return false;
  if (!Which->second.Ending_)
    beginEnding(Which, Why);
  return true;
}

void JobDispatcher::tick() {
  const TimePoint Now = Hooks_.Now_();
  for (auto Each = Jobs_.begin(); Each != Jobs_.end();) {
    const auto Which = Each++;
    Job &Its = Which->second;
    if (Its.Ending_)
      continue;
    if (LeaveBy_ && Now >= *LeaveBy_) {
      beginEnding(Which, JobReason::ShuttingDown);
      continue;
    }
    if (Now >= Its.UsefulBy_) {
      beginEnding(Which, JobReason::CallerTimeout);
      continue;
    }
    for (std::uint32_t I = 0; I < Its.Tasks_.size(); ++I) {
      Task &Of = Its.Tasks_[I];
      if (Of.Phase_ != Phase::Lost || Now < Of.LostUntil_)
        continue;
      Of.Phase_ = Phase::Waiting;
      placeAgain(Which, I);
      // The job may have ended, and with it the reference.
      break;
    }
  }
}

void JobDispatcher::beginEnding(JobIterator Which, JobReason Why) {
  Job &Its = Which->second;
  Its.Ending_ = true;
  Its.Reason_ = Why;
  if (Why == JobReason::Overloaded || Why == JobReason::CallerTimeout)
    noteMissed(Its);
  Hooks_.Log_(Which->first, "given_up",
              "reason=" + std::string(request::findName(JobReasonNames, Why)) +
                  " ran=" + (Its.AnyRan_ ? "yes" : "unknown"));
  std::map<std::string, bool> Agents;
  for (Task &Of : Its.Tasks_) {
    if (Of.Phase_ == Phase::Placed)
      Agents[Of.Agent_] = true;
    else if (Of.Phase_ != Phase::Done)
      Of.Phase_ = Phase::Waiting;
  }
  for (const auto &[Agent, Unused] : Agents)
    Hooks_.SendCancel_(Agent, Which->first);
  // Once something has run, the result cannot become a refusal any more.
  if (Its.AnyRan_)
    answer(Its, resultOf(Its));
  finishIfOver(Which);
}

void JobDispatcher::finishIfOver(JobIterator Which) {
  Job &Its = Which->second;
  if (!Its.Ending_ || anyPlaced(Its))
    return;
  answer(Its, resultOf(Its));
  const std::function<void()> Resubmission = std::move(Its.Resubmission_);
  Jobs_.erase(Which);
  if (Resubmission)
    Resubmission();
}

JobResult JobDispatcher::resultOf(const Job &Which) {
  if (Which.Reason_ == JobReason::AttemptsUsed)
    return JobResult::Failed;
  return Which.AnyRan_ ? JobResult::Abandoned : JobResult::Refused;
}

void JobDispatcher::answer(Job &Which, JobResult Result) {
  if (!Which.Reply_)
    return;
  JobAnswer Answer;
  Answer.Result_ = Result;
  Answer.Reason_ = Which.Reason_;
  if (Result == JobResult::Refused)
    Answer.RetryAfter_ = std::max(Which.RetryAfter_, LeastRetryAfter);
  const TimePoint Now = Hooks_.Now_();
  Hooks_.Log_(
      Which.Spec_.Id_, "answered",
      "result=" + std::string(request::findName(JobResultNames, Result)) +
          " after_ms=" +
          std::to_string(request::toMilliseconds(Now - Which.Received_)) +
          " late=" + (Now > Which.OnTimeBy_ ? "yes" : "no"));
  Hooks_.OnAnswered_(Result, Now - Which.Received_);
  const AnswerCallback Reply = std::move(Which.Reply_);
  Which.Reply_ = nullptr;
  Reply(Answer);
}

bool JobDispatcher::allDone(const Job &Which) {
  return std::all_of(
      Which.Tasks_.begin(), Which.Tasks_.end(),
      [](const Task &Each) { return Each.Phase_ == Phase::Done; });
}

bool JobDispatcher::anyPlaced(const Job &Which) {
  return std::any_of(
      Which.Tasks_.begin(), Which.Tasks_.end(),
      [](const Task &Each) { return Each.Phase_ == Phase::Placed; });
}

std::string JobDispatcher::stateOf(const std::string &Id) const {
  const auto Which = Jobs_.find(Id);
  if (Which == Jobs_.end())
    return {};
  return Which->second.AnyRan_ ? "running" : "queued";
}

std::size_t JobDispatcher::pendingOf(const std::string &Queue) const {
  return static_cast<std::size_t>(
      std::count_if(Jobs_.begin(), Jobs_.end(), [&](const auto &Each) {
        return Each.second.Queue_ == Queue && !Each.second.AnyRan_;
      }));
}

} // namespace wigeonwall::process::dispatch
