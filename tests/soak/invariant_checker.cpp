#include "invariant_checker.h"

#include <algorithm>

namespace wigeonwall::soak {

using standins::Hop;

namespace {

/// Time after a fault until its effects have to be gone; the platform's bound
/// `contact_ms`.
constexpr Time RecoveryTime{4'000};
/// Tolerance for an answer that an entry sends at the caller's deadline.
constexpr Time AnswerMargin{300};
/// Time after the last caller disconnects, or a cancellation is acknowledged,
/// in which a task may still start; the platform's `cancel_ms`.
constexpr Time MaxCancelDelay{4'000};
/// Minimum share of jobs that succeed once the system has recovered.
constexpr double MinServedShare = 0.9;

constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

bool isProcessFault(FaultKind Kind) { return Kind <= FaultKind::ReloadEntry; }

bool affectsEntry(const Fault &Each, std::size_t Entry) {
  switch (Each.Kind_) {
  case FaultKind::KillAll:
    return true;
  case FaultKind::KillEntry:
  case FaultKind::PauseEntry:
  // A graceful stop does not affect callers while the entry drains, but the
  // process is down after it.
  case FaultKind::StopEntry:
    return Each.Target_ == Entry;
  default:
    return !isProcessFault(Each.Kind_) && Each.Kind_ <= FaultKind::SilenceHop &&
           Each.Hop_ == Hop::CallerToEntry && Each.Target_ == Entry;
  }
}

bool affectsStore(const Fault &Each, std::size_t Entry) {
  if (Each.Kind_ >= FaultKind::StoreBusy &&
      Each.Kind_ <= FaultKind::StoreLapses)
    return true;
  return Each.Kind_ >= FaultKind::DelayHop &&
         Each.Kind_ <= FaultKind::SilenceHop &&
         Each.Hop_ == Hop::EntryToStore && Each.Target_ == Entry;
}

bool overlaps(const Fault &Each, Time From, Time Until) {
  return Each.StartsAt_ <= Until &&
         Each.StartsAt_ + Each.Duration_ + RecoveryTime >= From;
}

} // namespace

void InvariantChecker::addViolation(Time Now, const std::string &Text) {
  Violations_.push_back(std::to_string(Now.count()) + " ms: " + Text);
}

void InvariantChecker::onTaskStart(Time Now, std::size_t Minion,
                                   const std::string &Task) {
  TaskRecord &Record = Tasks_[Task];
  ++Record.Starts_;
  Record.LastStart_ = Now;
  ++Record.RunningOn_[Minion];
  if (Record.RunningOn_.size() > 1)
    addViolation(Now, "task " + Task + " runs on two minions at once");
}

void InvariantChecker::onTaskEnd(Time Now, std::size_t Minion,
                                 const std::string &Task,
                                 request::RunEnd Outcome) {
  TaskRecord &Record = Tasks_[Task];
  if (--Record.RunningOn_[Minion] == 0)
    Record.RunningOn_.erase(Minion);
  if (Record.RunningOn_.count(Minion) != 0 && Record.RunningOn_[Minion] < 0)
    addViolation(Now, "task " + Task + " ended more often than it started");
  Record.Done_ += Outcome == request::RunEnd::Done ? 1 : 0;
}

bool InvariantChecker::callerFaultActive(std::size_t Entry, Time From,
                                         Time Until) const {
  return std::any_of(Plan_.begin(), Plan_.end(), [&](const Fault &Each) {
    return affectsEntry(Each, Entry) && overlaps(Each, From, Until);
  });
}

bool InvariantChecker::storeFaultActive(std::size_t Entry, Time From,
                                        Time Until) const {
  return std::any_of(Plan_.begin(), Plan_.end(), [&](const Fault &Each) {
    return affectsStore(Each, Entry) && overlaps(Each, From, Until);
  });
}

bool InvariantChecker::submissionHeldUp(const JobRecord &Record) const {
  return std::any_of(Record.Attempts_.begin(), Record.Attempts_.end(),
                     [&](const Attempt &Each) {
                       return callerFaultActive(Each.Entry_, Each.SentAt_,
                                                *Record.CancelledAt_);
                     });
}

void InvariantChecker::checkJob(const std::string &Id,
                                const JobRecord &Record) {
  bool Refused = true;
  bool Completed = false;
  Time LastEnd{0};
  for (const Attempt &Each : Record.Attempts_) {
    const Time EndedAt = Each.EndedAt_.value_or(Each.SentAt_);
    Refused = Refused && Each.Status_ == StatusUnavailable;
    Completed = Completed || Each.Completed_;
    LastEnd = std::max(LastEnd, EndedAt);
    const Time AnswerBy = Each.SentAt_ + Record.Deadline_ + AnswerMargin;
    if (!Each.DisconnectsEarly_ &&
        !callerFaultActive(Each.Entry_, Each.SentAt_, AnswerBy) &&
        (Each.Status_ == 0 || EndedAt > AnswerBy))
      addViolation(Each.SentAt_, "job " + Id +
                                     " was not answered in time by entry " +
                                     std::to_string(Each.Entry_));
  }
  for (int I = 0; I < Record.Tasks_; ++I) {
    const std::string Task = Id + "/" + std::to_string(I);
    const auto Found = Tasks_.find(Task);
    const TaskRecord Observed =
        Found == Tasks_.end() ? TaskRecord() : Found->second;
    if (Refused && Observed.Starts_ != 0)
      addViolation(Observed.LastStart_,
                   "job " + Id + " ran although it was refused");
    if (Completed && Observed.Done_ == 0)
      addViolation(LastEnd,
                   "job " + Id +
                       " was completed although no run finished task " +
                       std::to_string(I));
    if (Observed.LastStart_ > LastEnd + MaxCancelDelay)
      addViolation(Observed.LastStart_, "task " + Task +
                                            " started after its callers "
                                            "had disconnected");
    if (Record.CancelledAt_ &&
        Observed.LastStart_ > *Record.CancelledAt_ + MaxCancelDelay &&
        !submissionHeldUp(Record))
      addViolation(Observed.LastStart_,
                   "task " + Task + " started after its job was cancelled at " +
                       std::to_string(Record.CancelledAt_->count()) + " ms");
    if (!Observed.RunningOn_.empty())
      addViolation(LastEnd, "task " + Task + " did not end");
  }
}

void InvariantChecker::checkJobs(Time FaultFreeFrom) {
  int FaultFreeJobs = 0;
  int ServedJobs = 0;
  for (const auto &[Id, Record] : Jobs_) {
    checkJob(Id, Record);
    if (Record.Attempts_.front().SentAt_ < FaultFreeFrom ||
        Record.Attempts_.front().DisconnectsEarly_ || Record.Cancelling_)
      continue;
    ++FaultFreeJobs;
    ServedJobs += Record.Attempts_.front().Status_ == StatusOk ? 1 : 0;
  }
  if (ServedJobs < MinServedShare * FaultFreeJobs)
    addViolation(FaultFreeFrom, "only " + std::to_string(ServedJobs) + " of " +
                                    std::to_string(FaultFreeJobs) +
                                    " jobs succeeded after the last fault");
}

std::string InvariantChecker::summary() const {
  std::map<int, int> Counts;
  int Starts = 0;
  int Cancelled = 0;
  for (const auto &[Id, Record] : Jobs_) {
    Cancelled += Record.CancelledAt_ ? 1 : 0;
    for (const Attempt &Each : Record.Attempts_)
      ++Counts[Each.Status_];
  }
  for (const auto &[Task, Record] : Tasks_)
    Starts += Record.Starts_;
  std::string Result = std::to_string(Jobs_.size()) + " jobs, " +
                       std::to_string(Cancelled) + " cancelled, " +
                       std::to_string(Starts) + " starts, answers";
  for (const auto &[Status, Count] : Counts)
    Result += " " + std::to_string(Status) + ":" + std::to_string(Count);
  return Result;
}

} // namespace wigeonwall::soak
