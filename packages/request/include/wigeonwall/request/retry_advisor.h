/// \file
/// \brief Retry-After of refused jobs, derived from the backlog.
#ifndef WIGEONWALL_REQUEST_RETRY_ADVISOR_H
#define WIGEONWALL_REQUEST_RETRY_ADVISOR_H

#include "wigeonwall/request/agent_report.h"
#include "wigeonwall/request/batch_job.h"
#include "wigeonwall/request/clock.h"

#include <array>
#include <deque>
#include <functional>

namespace wigeonwall::request {

struct RetryAdvisorOptions {
  std::chrono::seconds MinDelay_{1};
  /// Equal to MinDelay_ to advise the predicted wait, at least MinDelay_,
  /// without regard to the backlog.
  std::chrono::seconds MaxDelay_{5};
  /// Share of the admitted work that is left to jobs that return; new jobs
  /// arrive meanwhile.
  double ReturnShare_ = 0.5;
};

namespace detail {

/// \brief Work per second, averaged with exponentially decreasing weights.
class WorkRate {
public:
  explicit WorkRate(double Seconds) : Seconds_(Seconds) {}

  void add(double Work, TimePoint Now);
  [[nodiscard]] double at(TimePoint Now) const;

private:
  double Seconds_;
  double Rate_ = 0;
  TimePoint UpdatedAt_;
};

} // namespace detail

/// \brief Work of a job in millicore-seconds.
[[nodiscard]] inline double workOf(const BatchJob &Job) {
  return static_cast<double>(Job.TaskCount_) *
         static_cast<double>(Job.Needs_.CpuMillicores_) *
         toSeconds(Job.Estimate_);
}

/// \brief Advises refused callers when to submit again.
///
/// A job is advised to return when the refused work ahead of it has been
/// admitted, at the rate at which work of its slack class is admitted. Jobs
/// with more work go first, because their refusal loses most. As HTTP states
/// whole seconds, the time is rounded up or down at random in proportion to its
/// fraction; otherwise all callers of one second would return together.
class RetryAdvisor {
public:
  /// Returns a random number in [0, 1).
  using Random = std::function<double()>;

  RetryAdvisor(RetryAdvisorOptions Options, Clock Now, Random RandomNumber)
      : Options_(Options), Now_(std::move(Now)),
        Random_(std::move(RandomNumber)) {}

  /// \brief Records an admitted job. \p Work is the product of cpu and run time
  /// over all tasks, in any unit.
  void onAdmitted(Duration Slack, double Work);
  /// \brief Records a refused job, and returns the time after which it would
  /// probably be admitted, in whole seconds if it follows the backlog. \p
  /// PredictedWait is the wait for capacity predicted for it now.
  Duration onRefused(Duration Slack, double Work, Duration PredictedWait);
  /// \brief Time on which the result of onRefused() is based, without recording
  /// a refusal. It is not rounded, and the maximum is not spread.
  [[nodiscard]] Duration expectedDelay(Duration Slack, double Work,
                                       Duration PredictedWait) const;

private:
  /// A refused job whose caller has not been due to return yet.
  struct Refused {
    TimePoint ReturnsAt_;
    double Work_ = 0;
  };
  struct ClassState {
    /// Follows the start of a burst.
    detail::WorkRate Fast_{0.5};
    /// Keeps the rate of the time before it, until the first one has adapted.
    detail::WorkRate Slow_{4.0};
    std::deque<Refused> Backlog_;
  };

  [[nodiscard]] bool followsBacklog() const noexcept {
    return Options_.MaxDelay_ > Options_.MinDelay_;
  }
  [[nodiscard]] double workAhead(const ClassState &State, double Work,
                                 TimePoint Now) const;

  RetryAdvisorOptions Options_;
  Clock Now_;
  Random Random_;
  std::array<ClassState, SlackClasses.size()> Classes_;
};

} // namespace wigeonwall::request

#endif
