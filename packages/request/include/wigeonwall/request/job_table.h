/// \file
/// \brief Records of the jobs that an agent is home of.
#ifndef WIGEONWALL_REQUEST_JOB_TABLE_H
#define WIGEONWALL_REQUEST_JOB_TABLE_H

#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/types.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace wigeonwall::request {

/// \brief Where a job stands at its home.
enum class JobState : std::uint8_t {
  /// Earlier holders are being asked whether they know the job.
  Settling,
  /// The copy holder has not yet acknowledged the record.
  Preparing,
  Running,
  Final,
};

inline constexpr std::array<EnumName<JobState>, 4> JobStateNames{{
    {JobState::Settling, "settling"},
    {JobState::Preparing, "preparing"},
    {JobState::Running, "running"},
    {JobState::Final, "final"},
}};

/// \brief Where a task stands as far as its home knows.
enum class TaskState : std::uint8_t {
  /// Provably not started.
  Unplaced,
  /// Sent to an agent; may have started.
  Placed,
  Done,
};

struct TaskRecord {
  TaskState State_ = TaskState::Unplaced;
  /// Agent that has the task, while Placed.
  std::string Agent_;
  std::int64_t AgentIncarnation_ = 0;
  /// Agents that refused the task or handed it back.
  std::set<std::string> Refused_;
  /// Number of the current placement; names it in messages.
  std::uint32_t Attempts_ = 0;
  /// A start message of this placement went without a reply.
  bool Ambiguous_ = false;
  /// Run time for which admission counts the task.
  Duration ExpectedRun_{0};
  Json::Value Result_;
};

struct JobRecord {
  JobSpec Spec_;
  std::uint64_t Fingerprint_ = 0;
  JobState State_ = JobState::Settling;
  /// Distinguishes this record from a later one of the same job id, so that a
  /// late callback is not applied to the wrong record.
  std::uint64_t Serial_ = 0;
  std::vector<TaskRecord> Tasks_;
  std::size_t TasksDone_ = 0;
  TimePoint Deadline_;
  /// Addresses of entries that wait for the answer.
  std::set<std::string> ReplyTo_;
  /// Negative answer to give once the copy holder has recorded it.
  std::optional<JobAnswer> Refusal_;
  /// Epoch under which the earlier holders were asked.
  std::uint64_t SettledEpoch_ = 0;
  /// Address of the copy holder; empty before the record was sent to it.
  std::string CopyAddress_;
  /// Admission counts the job until it ends.
  bool Admitted_ = false;
  JobAnswer Answer_;

  /// \brief True when a task is placed or done, so that it may have started.
  [[nodiscard]] bool mayHaveStarted() const noexcept;
};

/// \brief Owns the records and their order in time; no I/O.
class JobTable {
public:
  explicit JobTable(Clock Now);

  [[nodiscard]] JobRecord *find(const JobKey &Key);
  /// \brief Finds the record only if it is the one with \p Serial.
  [[nodiscard]] JobRecord *find(const JobKey &Key, std::uint64_t Serial);

  JobRecord &create(JobSpec Spec, std::uint64_t Fingerprint);

  /// \brief Stores the result of a placed task; false when it was not placed.
  bool completeTask(JobRecord &Record, TaskIndex Index, Json::Value Result);

  /// \brief True when every task has a result.
  [[nodiscard]] static bool complete(const JobRecord &Record) noexcept;

  /// \brief Ends a job; its answer never changes after that.
  void finalize(JobRecord &Record, JobAnswer Answer, Duration Retention);

  /// \brief Forgets a record that never left Settling or Preparing.
  void erase(const JobKey &Key);

  /// \brief Keys of unfinished jobs whose deadline has passed; each once.
  [[nodiscard]] std::vector<JobKey> takeOverdue();
  /// \brief Drops final records whose retention has passed.
  void dropExpired();

  [[nodiscard]] std::size_t size() const noexcept { return Records_.size(); }
  [[nodiscard]] std::size_t unfinished() const noexcept { return Unfinished_; }

  /// \brief Calls \p Visit for each record that is not final.
  template <typename Visitor> void forEachUnfinished(Visitor Visit) {
    for (auto &[Key, Record] : Records_)
      if (Record->State_ != JobState::Final)
        Visit(*Record);
  }

private:
  Clock Now_;
  std::unordered_map<JobKey, std::unique_ptr<JobRecord>, JobKeyHash> Records_;
  std::multimap<TimePoint, std::pair<JobKey, std::uint64_t>> Deadlines_;
  std::deque<std::pair<TimePoint, std::pair<JobKey, std::uint64_t>>> Expiries_;
  std::size_t Unfinished_ = 0;
  std::uint64_t NextSerial_ = 1;
};

} // namespace wigeonwall::request

#endif
