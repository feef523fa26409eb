/// \file
/// \brief A job of parallel tasks with declared resources, and its policy.
#ifndef WIGEONWALL_REQUEST_BATCH_JOB_H
#define WIGEONWALL_REQUEST_BATCH_JOB_H

#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/resources.h"

#include <cstdint>
#include <string>

namespace wigeonwall::request {

/// \brief A job that is kept by no one: its caller waits for its end and
/// submits it again when no answer comes.
///
/// All tasks are alike in what they declare; a job has completed when all have
/// ended as done.
struct BatchJob {
  /// Unique to the caller's request; a repeated submission has the same.
  std::string Id_;
  /// Passed to the minions as it is.
  std::string Payload_;
  std::uint32_t TaskCount_ = 0;
  /// Needs of each task.
  Resources Needs_;
  /// Rough run time of a task on a nominal minion near its data.
  Duration Estimate_{};
  /// Label of the minions near the data; empty for none.
  std::string PreferredRack_;
  /// Label that a minion must have; empty for none.
  std::string RequiredLabel_;
  /// Most tasks on one minion; 0 for no bound.
  std::uint32_t MaxPerMinion_ = 0;
  /// How long the caller waits; zero when it did not say.
  Duration CallerTimeout_{};
};

/// \brief How jobs of one route are served.
struct RoutePolicy {
  std::string Service_;
  /// Starts of a task that may end as failed.
  std::uint32_t MaxAttempts_ = 1;
  /// The objective is SlackFactor_ x estimate + TargetLatency_.
  double SlackFactor_ = 1.0;
  Duration TargetLatency_{};
  /// Lower values are more important.
  std::int32_t Priority_ = 0;
};

} // namespace wigeonwall::request

#endif
