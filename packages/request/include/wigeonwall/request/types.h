/// \file
/// \brief Jobs, tasks and answers.
#ifndef WIGEONWALL_REQUEST_TYPES_H
#define WIGEONWALL_REQUEST_TYPES_H

#include "wigeonwall/request/enum_names.h"

#include <json/json.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace wigeonwall::request {

using TaskIndex = std::uint32_t;

/// \brief Most tasks in one job.
inline constexpr std::size_t MaxTasksPerJob = 170;

/// \brief Identity of a job: the caller chooses the id within a service.
struct JobKey {
  std::string Service_;
  std::string Id_;

  auto operator<=>(const JobKey &) const = default;
};

/// \brief Hash of a JobKey for unordered containers.
struct JobKeyHash {
  [[nodiscard]] std::size_t operator()(const JobKey &Key) const noexcept {
    std::size_t Seed = std::hash<std::string>{}(Key.Service_);
    return Seed * 1099511628211ULL ^ std::hash<std::string>{}(Key.Id_);
  }
};

/// \brief What the caller asks of one task.
struct TaskSpec {
  /// Passed to the minion as it is.
  Json::Value Payload_;
  /// Run time that the caller expects; zero when not declared.
  std::chrono::milliseconds DeclaredRun_{0};
};

/// \brief A job as submitted.
struct JobSpec {
  JobKey Key_;
  std::string Kind_;
  std::string Team_;
  /// Unix time of the first submission in ms; the same on resubmission.
  std::int64_t CreatedAtMs_ = 0;
  /// From acceptance to the latest useful answer.
  std::chrono::milliseconds Timeout_{0};
  bool NonIdempotent_ = false;
  std::vector<TaskSpec> Tasks_;
};

/// \brief The three ways in which a job ends.
enum class Outcome : std::uint8_t {
  /// Every task has a result.
  Complete,
  /// No task started; safe to submit again.
  NotRun,
  /// Ended with a stated failure; tasks may have run.
  Failed,
};

inline constexpr std::array<EnumName<Outcome>, 3> OutcomeNames{{
    {Outcome::Complete, "complete"},
    {Outcome::NotRun, "not_run"},
    {Outcome::Failed, "failed"},
}};

/// \brief Why a job or task was refused or failed; part of the caller API.
enum class Reason : std::uint8_t {
  None,
  // Refusals before a start.
  UnknownService,
  UnknownKind,
  UnknownTeam,
  TooManyTasks,
  TimeoutTooLong,
  LimitIsZero,
  Overloaded,
  QueueFull,
  QuotaExceeded,
  DeadlineUnreachable,
  NoMinion,
  HomeUnavailable,
  Draining,
  NotReady,
  // Failures.
  DeadlineExceeded,
  Cancelled,
  TaskFailed,
  OutcomeUnknown,
  Expired,
  Conflict,
  // Between processes only.
  StaleEpoch,
  Retry,
  Duplicate,
};

inline constexpr std::array<EnumName<Reason>, 24> ReasonNames{{
    {Reason::None, "none"},
    {Reason::UnknownService, "unknown_service"},
    {Reason::UnknownKind, "unknown_kind"},
    {Reason::UnknownTeam, "unknown_team"},
    {Reason::TooManyTasks, "too_many_tasks"},
    {Reason::TimeoutTooLong, "timeout_too_long"},
    {Reason::LimitIsZero, "limit_is_zero"},
    {Reason::Overloaded, "overloaded"},
    {Reason::QueueFull, "queue_full"},
    {Reason::QuotaExceeded, "quota_exceeded"},
    {Reason::DeadlineUnreachable, "deadline_unreachable"},
    {Reason::NoMinion, "no_minion"},
    {Reason::HomeUnavailable, "home_unavailable"},
    {Reason::Draining, "draining"},
    {Reason::NotReady, "not_ready"},
    {Reason::DeadlineExceeded, "deadline_exceeded"},
    {Reason::Cancelled, "cancelled"},
    {Reason::TaskFailed, "task_failed"},
    {Reason::OutcomeUnknown, "outcome_unknown"},
    {Reason::Expired, "expired"},
    {Reason::Conflict, "conflict"},
    {Reason::StaleEpoch, "stale_epoch"},
    {Reason::Retry, "retry"},
    {Reason::Duplicate, "duplicate"},
}};

/// \brief How one task ended.
struct TaskResult {
  TaskIndex Index_ = 0;
  /// None for success; a refusal reason when the task did not start.
  Reason Reason_ = Reason::None;
  /// False only when the task provably did not start.
  bool Started_ = true;
  /// Body that the minion returned, or a message for a person.
  Json::Value Body_;
};

/// \brief The one answer of a job.
struct JobAnswer {
  Outcome Outcome_ = Outcome::Failed;
  Reason Reason_ = Reason::None;
  /// One sentence for a person; names the task that failed.
  std::string Detail_;
  /// By task index; filled only for Outcome::Complete.
  std::vector<Json::Value> Results_;
};

/// \brief What an agent reports about its minion with every message.
struct AgentLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Queued_ = 0;
  /// Tasks that the minion takes at a time; fewer while it is being probed.
  std::uint32_t Slots_ = 0;
  /// Above 0 while the minion is ejected, higher for worse ones; see
  /// HealthTracker::severity().
  double EjectedSeverity_ = 0.0;
  /// Rest of the ejection. A home has to forget the ejection by itself then,
  /// because an agent without tasks sends no further report.
  std::chrono::milliseconds EjectedFor_{0};
};

} // namespace wigeonwall::request

#endif
