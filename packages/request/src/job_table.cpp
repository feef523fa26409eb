#include "wigeonwall/request/job_table.h"

#include <algorithm>

namespace wigeonwall::request {

bool JobRecord::mayHaveStarted() const noexcept {
  return std::any_of(Tasks_.begin(), Tasks_.end(), [](const TaskRecord &Task) {
    return Task.State_ != TaskState::Unplaced;
  });
}

JobTable::JobTable(Clock Now) : Now_(std::move(Now)) {}

JobRecord *JobTable::find(const JobKey &Key) {
  const auto Found = Records_.find(Key);
  return Found == Records_.end() ? nullptr : Found->second.get();
}

JobRecord *JobTable::find(const JobKey &Key, std::uint64_t Serial) {
  JobRecord *Record = find(Key);
  return Record != nullptr && Record->Serial_ == Serial ? Record : nullptr;
}

JobRecord &JobTable::create(JobSpec Spec, std::uint64_t Fingerprint) {
  auto Record = std::make_unique<JobRecord>();
  Record->Fingerprint_ = Fingerprint;
  Record->Serial_ = NextSerial_++;
  Record->Deadline_ = Now_() + Spec.Timeout_;
  Record->Tasks_.resize(Spec.Tasks_.size());
  Record->Spec_ = std::move(Spec);
  JobRecord &Result = *Record;
  Deadlines_.emplace(Result.Deadline_,
                     std::pair(Result.Spec_.Key_, Result.Serial_));
  Records_[Result.Spec_.Key_] = std::move(Record);
  ++Unfinished_;
  return Result;
}

bool JobTable::completeTask(JobRecord &Record, TaskIndex Index,
                            Json::Value Result) {
  if (Record.State_ != JobState::Running || Index >= Record.Tasks_.size())
    return false;
  TaskRecord &Task = Record.Tasks_[Index];
  if (Task.State_ != TaskState::Placed)
    return false;
  Task.State_ = TaskState::Done;
  Task.Result_ = std::move(Result);
  ++Record.TasksDone_;
  return true;
}

bool JobTable::complete(const JobRecord &Record) noexcept {
  return Record.TasksDone_ == Record.Tasks_.size();
}

void JobTable::finalize(JobRecord &Record, JobAnswer Answer,
                        Duration Retention) {
  if (Record.State_ == JobState::Final)
    return;
  Record.State_ = JobState::Final;
  Record.Answer_ = std::move(Answer);
  Record.Refusal_.reset();
  // Frees payloads and task states, which are not needed after the end.
  Record.Spec_.Tasks_ = {};
  Record.Tasks_ = {};
  --Unfinished_;
  Expiries_.emplace_back(Now_() + Retention,
                         std::pair(Record.Spec_.Key_, Record.Serial_));
}

void JobTable::erase(const JobKey &Key) {
  const auto Found = Records_.find(Key);
  if (Found == Records_.end())
    return;
  if (Found->second->State_ != JobState::Final)
    --Unfinished_;
  Records_.erase(Found);
}

std::vector<JobKey> JobTable::takeOverdue() {
  std::vector<JobKey> Result;
  const TimePoint Now = Now_();
  while (!Deadlines_.empty() && Deadlines_.begin()->first <= Now) {
    const auto [Key, Serial] = Deadlines_.begin()->second;
    Deadlines_.erase(Deadlines_.begin());
    const JobRecord *Record = find(Key, Serial);
    if (Record != nullptr && Record->State_ != JobState::Final)
      Result.push_back(Key);
  }
  return Result;
}

void JobTable::dropExpired() {
  const TimePoint Now = Now_();
  while (!Expiries_.empty() && Expiries_.front().first <= Now) {
    const auto [Key, Serial] = Expiries_.front().second;
    Expiries_.pop_front();
    if (find(Key, Serial) != nullptr)
      Records_.erase(Key);
  }
}

} // namespace wigeonwall::request
