/// \file
/// \brief A batch job of parallel tasks with declared resources, and its
/// routing policy.
#ifndef WIGEONWALL_REQUEST_BATCH_JOB_H
#define WIGEONWALL_REQUEST_BATCH_JOB_H

#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/resources.h"

#include <cstdint>
#include <string>

namespace wigeonwall::request {

/// \brief A job that is not persisted: its caller waits for the end and submits
/// it again if no answer arrives.
///
/// All tasks declare the same needs. A job has completed when every task has
/// ended as RunEnd::Done.
struct BatchJob {
  /// Unique per request of the caller; a resubmission uses the same id.
  std::string Id_;
  /// Passed to the minions unchanged.
  std::string Payload_;
  std::uint32_t TaskCount_ = 0;
  /// Resources that each task needs.
  Resources Needs_;
  /// Estimated run time of a task on a minion of nominal speed in the preferred
  /// rack.
  Duration Estimate_{};
  /// Label of the minions close to the job's data; empty for no preference.
  std::string PreferredRack_;
  /// Label that a minion must have; empty if any minion will do.
  std::string RequiredLabel_;
  /// Maximum number of tasks on one minion; 0 for no limit.
  std::uint32_t MaxPerMinion_ = 0;
  /// How long the caller waits; zero if unspecified.
  Duration CallerTimeout_{};
};

/// \brief Scheduling parameters of the jobs of one route.
struct RoutePolicy {
  std::string Service_;
  /// Number of failed runs after which a task is given up.
  std::uint32_t MaxAttempts_ = 1;
  /// The latency objective is SlackFactor_ x estimate + TargetLatency_.
  double SlackFactor_ = 1.0;
  Duration TargetLatency_{};
  /// A lower value is a higher priority.
  std::int32_t Priority_ = 0;
};

} // namespace wigeonwall::request

#endif
