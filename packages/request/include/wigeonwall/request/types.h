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

/// \brief Maximum number of tasks in a job.
inline constexpr std::size_t MaxTasksPerJob = 170;

/// \brief Identity of a job. The caller chooses the id, unique in the service.
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

/// \brief One task as submitted.
struct TaskSpec {
  /// Passed to the minion unchanged.
  Json::Value Payload_;
  /// Run time that the caller expects; zero if not declared.
  std::chrono::milliseconds DeclaredRun_{0};
};

/// \brief A job as submitted.
struct JobSpec {
  JobKey Key_;
  std::string Kind_;
  std::string Team_;
  /// Unix time of the first submission in ms; unchanged by a resubmission.
  std::int64_t CreatedAtMs_ = 0;
  /// Time from acceptance to the latest useful answer.
  std::chrono::milliseconds Timeout_{0};
  bool NonIdempotent_ = false;
  std::vector<TaskSpec> Tasks_;
};

/// \brief Outcome of a job.
enum class Outcome : std::uint8_t {
  /// Every task has a result.
  Complete,
  /// No task was started; safe to submit again.
  NotRun,
  /// Failed for a given reason; tasks may have run.
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
  // Refusals before any task starts.
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
  // Used between processes only.
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

/// \brief Result of one task.
struct TaskResult {
  TaskIndex Index_ = 0;
  /// None for success; a refusal reason if the task did not start.
  Reason Reason_ = Reason::None;
  /// False only if the task certainly did not start.
  bool Started_ = true;
  /// Body that the minion returned, or a human-readable message.
  Json::Value Body_;
};

/// \brief Final answer of a job.
struct JobAnswer {
  Outcome Outcome_ = Outcome::Failed;
  Reason Reason_ = Reason::None;
  /// Human-readable message of one sentence that names the failed task.
  std::string Detail_;
  /// Indexed by task; only filled for Outcome::Complete.
  std::vector<Json::Value> Results_;
};

/// \brief Load of a minion, which its agent includes in every message.
struct AgentLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Queued_ = 0;
  /// Number of tasks that the minion runs at a time; lower while it is probed.
  std::uint32_t Slots_ = 0;
  /// Greater than 0 while the minion is ejected, higher for worse minions; see
  /// HealthTracker::severity().
  double EjectedSeverity_ = 0.0;
  /// Remaining time of the ejection. A home clears the ejection itself after
  /// this time, because an agent without tasks sends no further report.
  std::chrono::milliseconds EjectedFor_{0};
};

} // namespace wigeonwall::request

#endif
