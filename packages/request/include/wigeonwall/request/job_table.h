/// \file
/// \brief Records of the jobs that this agent coordinates as their home.
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

/// \brief State of a job at its home.
enum class JobState : std::uint8_t {
  /// Waiting for the replies of the processes that may hold an earlier record
  /// of the job.
  Settling,
  /// Waiting for the copy holder to acknowledge the record.
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

/// \brief State of a task as known to the job's home.
enum class TaskState : std::uint8_t {
  /// Certainly not started.
  Unplaced,
  /// Sent to an agent; may have started.
  Placed,
  Done,
};

struct TaskRecord {
  TaskState State_ = TaskState::Unplaced;
  /// Agent that has the task while State_ is Placed.
  std::string Agent_;
  std::int64_t AgentIncarnation_ = 0;
  /// Agents that refused or returned the task.
  std::set<std::string> Refused_;
  /// Number of the current placement, which identifies it in messages.
  std::uint32_t Attempts_ = 0;
  /// True if a start message of this placement got no reply.
  bool Ambiguous_ = false;
  /// Run time that admission has counted for the task.
  Duration ExpectedRun_{0};
  Json::Value Result_;
};

struct JobRecord {
  JobSpec Spec_;
  std::uint64_t Fingerprint_ = 0;
  JobState State_ = JobState::Settling;
  /// Distinguishes this record from a later one with the same job id, so that a
  /// late callback is not applied to the wrong record.
  std::uint64_t Serial_ = 0;
  std::vector<TaskRecord> Tasks_;
  std::size_t TasksDone_ = 0;
  TimePoint Deadline_;
  /// Addresses of the entries that wait for the answer.
  std::set<std::string> ReplyTo_;
  /// Negative answer to send once the copy holder has recorded it.
  std::optional<JobAnswer> Refusal_;
  /// Epoch in which the earlier holders were asked.
  std::uint64_t QueriedEpoch_ = 0;
  /// Address of the copy holder; empty until the record has been sent to it.
  std::string CopyAddress_;
  /// True if admission counts the job, which it does until the job ends.
  bool Admitted_ = false;
  JobAnswer Answer_;

  /// \brief Returns true if any task is placed or done and so may have started.
  [[nodiscard]] bool mayHaveStarted() const noexcept;
};

/// \brief Owns the job records and their deadlines and expiries. Does no I/O.
class JobTable {
public:
  explicit JobTable(Clock Now);

  [[nodiscard]] JobRecord *find(const JobKey &Key);
  /// \brief Finds the record if its serial number is \p Serial.
  [[nodiscard]] JobRecord *find(const JobKey &Key, std::uint64_t Serial);

  JobRecord &create(JobSpec Spec, std::uint64_t Fingerprint);

  /// \brief Stores the result of a placed task; returns false if the task is
  /// not placed.
  bool completeTask(JobRecord &Record, TaskIndex Index, Json::Value Result);

  /// \brief Returns true if every task has a result.
  [[nodiscard]] static bool complete(const JobRecord &Record) noexcept;

  /// \brief Makes a job final; its answer does not change after that.
  void finalize(JobRecord &Record, JobAnswer Answer, Duration Retention);

  /// \brief Removes a record that never left Settling or Preparing.
  void erase(const JobKey &Key);

  /// \brief Returns the keys of unfinished jobs whose deadline has passed, each
  /// key only once.
  [[nodiscard]] std::vector<JobKey> takeOverdue();
  /// \brief Removes final records whose retention has passed.
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
