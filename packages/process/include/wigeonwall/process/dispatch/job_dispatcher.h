/// \file
/// \brief Admission, placement, retries and final answers of an entry's jobs.
#ifndef WIGEONWALL_PROCESS_DISPATCH_JOB_DISPATCHER_H
#define WIGEONWALL_PROCESS_DISPATCH_JOB_DISPATCHER_H

#include "wigeonwall/process/dispatch/job_answer.h"
#include "wigeonwall/process/dispatch/job_attempt.h"
#include "wigeonwall/process/dispatch/job_timing.h"
#include "wigeonwall/process/dispatch/messages.h"
#include "wigeonwall/process/dispatch/recent_cancellations.h"
#include "wigeonwall/process/dispatch/task_quota.h"
#include "wigeonwall/process/dispatch/waiting_attempts.h"
#include "wigeonwall/process/runtime/peer_call.h"
#include "wigeonwall/request/admission_margin.h"
#include "wigeonwall/request/batch_job.h"
#include "wigeonwall/request/fleet_view.h"
#include "wigeonwall/request/retry_advisor.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wigeonwall::process::dispatch {

/// \brief Events that are counted, not logged one by one.
enum class DispatchEvent : std::uint8_t {
  /// A query was sent to an agent.
  Queried,
  /// A queried agent had not answered when the job was placed.
  QueryUnanswered,
  TaskOrdered,
  /// An agent returned a task without running it.
  TaskDeclined,
  TaskLost,
};

inline constexpr std::array<request::EnumName<DispatchEvent>, 5>
    DispatchEventNames{{
        {DispatchEvent::Queried, "queried"},
        {DispatchEvent::QueryUnanswered, "query_unanswered"},
        {DispatchEvent::TaskOrdered, "task_ordered"},
        {DispatchEvent::TaskDeclined, "task_declined"},
        {DispatchEvent::TaskLost, "task_lost"},
    }};

/// \brief Dependencies and callbacks of the dispatcher.
struct JobDispatcherHooks {
  request::Clock Now_;
  /// Returns a random number in [0, 1), which spreads the retries of refused
  /// callers.
  request::RetryAdvisor::Random Random_ = [] { return 0.5; };
  /// Sends an order; returns the sequence number of its message.
  std::function<std::uint64_t(const std::string &Agent, const RunOrder &Order)>
      SendOrder_;
  /// Requests a report from an agent; it arrives at the view, and then
  /// JobDispatcher::onReport() is called.
  std::function<void(const std::string &Agent)> SendQuery_;
  /// Runs a function after a delay.
  Schedule After_;
  /// Asks an agent to end all tasks of a job; the agent reports an outcome for
  /// each.
  std::function<void(const std::string &Agent, const std::string &JobId)>
      SendCancel_;
  /// Records an answer and the time since the submission.
  std::function<void(JobResult Result, request::Duration After)> OnAnswered_;
  std::function<void(DispatchEvent Event, std::size_t Count)> Count_;
  /// Logs a decision about a job.
  std::function<void(const std::string &JobId, const std::string &Decision,
                     const std::string &Detail)>
      Log_;
};

/// \brief WaitToleranceShare_ with look-ahead. Predicted starts are close, so
/// that without it agents declined as many tasks as before. In simulations, 0.2
/// avoided a third of the declines, and more made more jobs late.
inline constexpr double LookAheadToleranceShare = 0.2;

struct JobDispatcherOptions {
  /// Messaging and start-up time, which the objective includes.
  request::Duration Overhead_ = std::chrono::milliseconds(15);
  /// A job expires after this multiple of its objective, because a later answer
  /// is of no use to the caller.
  double ExpiryFactor_ = 3.0;
  /// Maximum predicted wait of an admitted job, as a share of its slack. Fewer
  /// than half of the jobs above this share end on time, and they delay other
  /// jobs.
  double MaxWaitShare_ = 0.5;
  /// An agent declines a task that would wait this much longer than predicted.
  request::Duration WaitTolerance_ = std::chrono::milliseconds(10);
  /// Minimum of that tolerance as a share of the job's slack.
  double WaitToleranceShare_ = 0;
  /// Number of times that a task may be declined; after that it stays in the
  /// agent's queue.
  std::uint32_t MaxDeclines_ = 3;
  /// Time to wait for the reports of queried agents. A round trip between
  /// failure domains takes 2 ms, on a busy machine several times that.
  request::Duration QueryTimeout_ = std::chrono::milliseconds(15);
  /// Maximum number of samples of agents that are queried for one placement.
  std::uint32_t MaxQueryRounds_ = 2;
  /// Maximum number of tasks of all jobs; 0 for no limit.
  std::size_t MaxTasks_ = 0;
  /// Maximum Retry-After of a refused job; with 1 s it is the predicted wait.
  std::chrono::seconds MaxRetryAfter_{1};
};

struct JobExplanation;

/// \brief Runs jobs whose state is held in memory only and is lost when the
/// process ends.
///
/// A job is accepted only if all its tasks are predicted to end on time;
/// otherwise it is refused immediately and none of its tasks runs. When a job
/// can no longer be completed, its remaining tasks are stopped and the caller
/// is answered. The answer is a refusal only after every agent has confirmed
/// that none of the tasks started.
class JobDispatcher {
public:
  JobDispatcher(JobDispatcherOptions Options, request::FleetView &View,
                JobDispatcherHooks Hooks)
      : Options_(Options), View_(View), Hooks_(std::move(Hooks)),
        Tasks_(Options.MaxTasks_), Retry_({.MaxDelay_ = Options.MaxRetryAfter_},
                                          Hooks_.Now_, Hooks_.Random_),
        Waiting_({Hooks_.Now_, Hooks_.OnAnswered_, Hooks_.Log_}),
        Cancelled_({}, Hooks_.Now_) {}

  /// \brief Submits a job. \p Reply is called exactly once, possibly before
  /// this function returns. Resubmitting an active job attaches \p Reply to it;
  /// a resubmission of a job that is ending waits for the end.
  AttemptId submit(const request::BatchJob &Spec,
                   const request::RoutePolicy &Policy, const std::string &Queue,
                   AnswerCallback Reply);
  /// \brief Records that the caller of an attempt no longer waits. Ends the job
  /// if no other caller waits for it.
  void leave(const std::string &JobId, AttemptId Attempt);
  void onOutcome(const std::string &Agent, const RunOutcome &Outcome);
  /// \brief Continues the placements that wait for a report of the agent. Call
  /// after the view has received the report.
  void onReport(const std::string &Agent);
  /// \brief Marks all tasks at the agent as lost. They have ended by \p SafeAt
  /// and may be started elsewhere from then on.
  void onAgentLost(const std::string &Agent, request::TimePoint SafeAt);
  /// \brief Ends all attempts of a job. If its caller has cancelled it, further
  /// ones are refused for some time.
  CancelFound cancel(const std::string &JobId, JobReason Reason);
  /// \brief Refuses new jobs that might not end by \p Deadline and ends all
  /// remaining jobs at \p Deadline, so that every caller is answered before the
  /// process exits.
  void beginShutdown(request::TimePoint Deadline) {
    ShutdownDeadline_ = Deadline;
    Waiting_.beginShutdown(Deadline);
  }
  /// \brief Returns what submit() would do with a job now, by the reports at
  /// hand. Changes no state and sends nothing.
  [[nodiscard]] JobExplanation
  explain(const request::BatchJob &Spec,
          const request::RoutePolicy &Policy) const;
  /// \brief Handles expired deadlines and lost tasks; call about every 50 ms.
  void tick();

  [[nodiscard]] std::size_t jobCount() const noexcept { return Jobs_.size(); }
  /// \brief "queued" or "running"; empty if there is no such job.
  [[nodiscard]] std::string stateOf(const std::string &JobId) const;
  /// \brief Number of jobs in a queue for which no task is known to have
  /// started.
  [[nodiscard]] std::size_t pendingOf(const std::string &Queue) const;

private:
  enum class Phase : std::uint8_t { Waiting, Placed, Lost, Done };

  struct TaskState {
    Phase Phase_ = Phase::Waiting;
    std::string Agent_;
    /// Agent of the last unsuccessful attempt.
    std::string FailedOn_;
    std::int64_t NextNumber_ = 1;
    std::uint32_t Failures_ = 0;
    std::uint32_t Declines_ = 0;
    request::TimePoint LostUntil_;
  };

  /// Tasks that wait for current reports before they are placed.
  struct Placement {
    std::vector<std::uint32_t> Tasks_;
    /// Queried agents whose reports have not arrived.
    std::set<std::string> Awaited_;
    std::uint32_t Rounds_ = 0;
  };

  struct JobState {
    /// Id of the first attempt, which distinguishes the job from later ones
    /// with the same id.
    AttemptId Serial_ = 0;
    request::BatchJob Spec_;
    request::RoutePolicy Policy_;
    std::string Queue_;
    request::TimePoint ReceivedAt_;
    request::Duration Slack_{};
    request::TimePoint Deadline_;
    request::TimePoint ExpiresAt_;
    TaskClaim Claim_;
    std::vector<TaskState> Tasks_;
    Placement Placement_;
    bool Admitted_ = false;
    JobCallers Callers_;
    bool AnyTaskRan_ = false;
    /// Whether the job has missed the completion time predicted at admission.
    bool ForecastMissed_ = false;
    bool Ending_ = false;
    JobReason Reason_ = JobReason::None;
    request::Duration RetryAfter_{};
  };

  using JobIterator = std::map<std::string, JobState>::iterator;

  [[nodiscard]] JobTiming timing(const request::BatchJob &Spec,
                                 const request::RoutePolicy &Policy) const {
    return jobTiming(Spec, Policy, Options_.Overhead_, Options_.ExpiryFactor_);
  }
  void submit(JobAttempt Attempt);
  /// Adds an attempt to a job that is active or ending.
  void join(JobIterator JobIt, JobAttempt Attempt);
  /// Returns the maximum predicted wait of an admitted job with \p Slack.
  [[nodiscard]] request::Duration maxWait(request::Duration Slack) const;
  void refuse(const std::string &JobId, const AnswerCallback &Reply,
              JobReason Reason, request::Duration RetryAfter,
              request::Duration After, const std::string &Detail);
  /// Answers a job that was not admitted, and removes it.
  void refuse(JobIterator JobIt, JobReason Reason, request::Duration RetryAfter,
              const std::string &Detail);
  /// Returns the time after which the caller of a refused job should submit it
  /// again, and records the refusal if the job would return.
  [[nodiscard]] request::Duration retryAfter(const JobState &Job,
                                             JobReason Reason,
                                             request::Duration PredictedWait);
  /// Places tasks once enough agents have a current report.
  void placeTasks(JobIterator JobIt, const std::vector<std::uint32_t> &Indices);
  void continuePlacement(JobIterator JobIt);
  /// Queries a sample of agents; returns false if there is none.
  bool queryAgents(JobIterator JobIt);
  void onQueryTimeout(const std::string &JobId, std::uint64_t Serial,
                      std::uint32_t Round);
  /// Chooses places for the tasks that wait for one.
  [[nodiscard]] std::vector<request::TaskPlacement>
  findPlaces(const JobState &Job, const std::vector<std::uint32_t> &Indices);
  /// Accepts or refuses a job by the places found for all of its tasks.
  void admit(JobIterator JobIt,
             const std::vector<request::TaskPlacement> &Places);
  /// Sends the tasks with the given indices to the agents in \p Places.
  void sendOrders(JobState &Job, const std::vector<std::uint32_t> &Indices,
                  const std::vector<request::TaskPlacement> &Places);
  /// Sends one task to another agent; ends the job if none can complete it in
  /// time.
  void rescheduleTask(JobIterator JobIt, std::uint32_t Index);
  /// Reports to the admission margin that the prediction for this job was too
  /// optimistic.
  void recordMissedForecast(JobState &Job);
  void onTaskEnd(JobIterator JobIt, TaskState &Task, const RunOutcome &Outcome);
  void beginEnding(JobIterator JobIt, JobReason Reason);
  void finishIfEnded(JobIterator JobIt);
  void answer(JobState &Job, JobResult Result);
  /// Result of a job that is ending. Refused is final only once it is certain
  /// that no task has run.
  [[nodiscard]] static JobResult resultOf(const JobState &Job);
  [[nodiscard]] static bool allDone(const JobState &Job);
  [[nodiscard]] static bool anyPlaced(const JobState &Job);

  JobDispatcherOptions Options_;
  request::FleetView &View_;
  JobDispatcherHooks Hooks_;
  TaskQuota Tasks_;
  request::AdmissionMargin Margin_;
  request::RetryAdvisor Retry_;
  std::map<std::string, JobState> Jobs_;
  AttemptId LastAttempt_ = 0;
  WaitingAttempts Waiting_;
  RecentCancellations Cancelled_;
  /// Ids of the jobs that await reports.
  std::set<std::string> AwaitingReports_;
  std::optional<request::TimePoint> ShutdownDeadline_;
};

} // namespace wigeonwall::process::dispatch

#endif
