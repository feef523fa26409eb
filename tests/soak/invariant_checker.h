/// \file
/// \brief Checks the events that callers and minions observe in a soak run
/// against the guarantees of the system.
#ifndef WIGEONWALL_SOAK_INVARIANT_CHECKER_H
#define WIGEONWALL_SOAK_INVARIANT_CHECKER_H

#include "fault_plan.h"

#include <map>
#include <optional>

namespace wigeonwall::soak {

/// \brief One submission of a job to an entry.
struct Attempt {
  std::size_t Entry_ = 0;
  Time SentAt_{0};
  std::optional<Time> EndedAt_;
  /// HTTP status; 0 if there was no answer.
  int Status_ = 0;
  bool Completed_ = false;
  /// The caller closes the connection before the answer.
  bool DisconnectsEarly_ = false;
};

struct JobRecord {
  int Tasks_ = 0;
  Time Deadline_{0};
  std::vector<Attempt> Attempts_;
  /// The caller has begun to cancel the job, and submits it no more.
  bool Cancelling_ = false;
  /// Time of the first answer that acknowledged the cancellation.
  std::optional<Time> CancelledAt_;
};

/// \brief Records events and checks them. Not thread-safe: use it from one
/// event loop.
class InvariantChecker {
public:
  explicit InvariantChecker(std::vector<Fault> Plan) : Plan_(std::move(Plan)) {}

  void onTaskStart(Time Now, std::size_t Minion, const std::string &Task);
  void onTaskEnd(Time Now, std::size_t Minion, const std::string &Task,
                 request::RunEnd Outcome);
  void addViolation(Time Now, const std::string &Text);
  [[nodiscard]] JobRecord &job(const std::string &Id) { return Jobs_[Id]; }

  /// \brief Whether a fault affects callers of \p Entry between \p From and
  /// \p Until.
  [[nodiscard]] bool callerFaultActive(std::size_t Entry, Time From,
                                       Time Until) const;
  /// \brief Whether a fault affects the store or the connection of \p Entry
  /// to it.
  [[nodiscard]] bool storeFaultActive(std::size_t Entry, Time From,
                                      Time Until) const;

  /// \brief Checks all jobs; call it once they have ended. Of the jobs
  /// submitted after \p FaultFreeFrom, nearly all must succeed.
  void checkJobs(Time FaultFreeFrom);
  [[nodiscard]] const std::vector<std::string> &violations() const noexcept {
    return Violations_;
  }
  /// \brief Returns the numbers of jobs, starts and answers by status.
  [[nodiscard]] std::string summary() const;

private:
  struct TaskRecord {
    std::map<std::size_t, int> RunningOn_;
    int Starts_ = 0;
    int Done_ = 0;
    Time LastStart_{0};
  };

  void checkJob(const std::string &Id, const JobRecord &Record);
  /// Whether a fault may hold up a submission until after the cancellation.
  [[nodiscard]] bool submissionHeldUp(const JobRecord &Record) const;

  std::vector<Fault> Plan_;
  std::map<std::string, TaskRecord> Tasks_;
  std::map<std::string, JobRecord> Jobs_;
  std::vector<std::string> Violations_;
};

} // namespace wigeonwall::soak

#endif
