/// \file
/// \brief The jobs that were cancelled in the last seconds.
#ifndef WIGEONWALL_PROCESS_DISPATCH_RECENT_CANCELLATIONS_H
#define WIGEONWALL_PROCESS_DISPATCH_RECENT_CANCELLATIONS_H

#include "wigeonwall/request/clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace wigeonwall::process::dispatch {

struct RecentCancellationsOptions {
  /// Longer than a submission is usually held up on its way.
  request::Duration Retention_ = std::chrono::seconds(15);
  /// Maximum number of jobs; the oldest are forgotten.
  std::size_t MaxJobs_ = 4'096;
  /// No job has a longer id; clients of the listener for other entries may send
  /// any.
  std::size_t MaxIdBytes_ = 64;
};

/// \brief Remembers which jobs were cancelled, so that a submission that is
/// read after the cancellation does not run.
///
/// The connections of a caller are read in any order after a stall of the
/// process, and a submission may be held up in the network.
class RecentCancellations {
public:
  RecentCancellations(RecentCancellationsOptions Options, request::Clock Now)
      : Options_(Options), Now_(std::move(Now)) {}

  void add(const std::string &JobId);
  /// \brief Time for which submissions of a job are still to be refused; zero
  /// if it was not cancelled.
  [[nodiscard]] request::Duration remaining(const std::string &JobId) const;

private:
  RecentCancellationsOptions Options_;
  request::Clock Now_;
  /// Time of the last cancellation of each job.
  std::map<std::string, request::TimePoint> Jobs_;
  /// All cancellations, the oldest first.
  std::deque<std::pair<request::TimePoint, std::string>> Order_;
};

} // namespace wigeonwall::process::dispatch

#endif
