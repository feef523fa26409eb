/// \file
/// \brief Queue of the runs that wait for capacity on one minion, ordered by
/// slack.
#ifndef WIGEONWALL_REQUEST_RUN_QUEUE_H
#define WIGEONWALL_REQUEST_RUN_QUEUE_H

#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/resources.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwall::request {

/// \brief A task that waits to be started.
struct WaitingRun {
  /// Entry that sent the task.
  std::string Owner_;
  std::string Job_;
  std::uint32_t Index_ = 0;
  std::string Task_;
  std::shared_ptr<const std::string> Payload_;
  std::int64_t MinNumber_ = 1;
  Resources Needs_;
  /// Expected run time on this minion.
  Duration Expected_{};
  /// Latest start with which the job can be on time.
  TimePoint LatestOnTimeStart_;
  /// Latest start that is still useful to the caller.
  TimePoint LatestUsefulStart_;
  /// Return the task to its entry after LatestOnTimeStart_, because another
  /// minion may be free.
  bool MayMove_ = false;

  /// \brief Time at which the run is removed from the queue.
  [[nodiscard]] TimePoint removalTime() const noexcept {
    return MayMove_ ? std::min(LatestOnTimeStart_, LatestUsefulStart_)
                    : LatestUsefulStart_;
  }
};

/// \brief Queue that orders starts under overload with a mix of short and long
/// jobs.
///
/// Runs that can still be on time are started first, in order of slack. Runs
/// that are already late follow, in the same order. Among runs with the same
/// latest on-time start, the latest arrival is last. A limited number of
/// smaller runs may overtake a run that does not fit. Runs whose start is no
/// longer useful are returned immediately, so that their callers are notified.
class RunQueue {
public:
  /// Returns true if \p Next, which fits, may start before \p Blocked, the
  /// first run that does not.
  using OvertakingRule =
      std::function<bool(const WaitingRun &Blocked, const WaitingRun &Next)>;

  void add(WaitingRun Run);
  /// \brief Removes and returns the next run that \p Fits accepts. A rule, if
  /// set, replaces the limit on the number of runs that overtake one.
  std::optional<WaitingRun>
  takeNext(TimePoint Now, const std::function<bool(const WaitingRun &)> &Fits,
           const OvertakingRule &MayOvertake = {});
  /// \brief Removes and returns the runs whose start is no longer useful on
  /// this minion.
  std::vector<WaitingRun> takeExpired(TimePoint Now);
  /// \brief Removes and returns the runs of a job of an owner, or of all its
  /// jobs if \p Job is empty.
  std::vector<WaitingRun> takeOwned(const std::string &Owner,
                                    const std::string &Job);
  std::vector<WaitingRun> takeAll();

  [[nodiscard]] bool empty() const noexcept { return Waiting_.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return Waiting_.size(); }
  /// \brief Calls \p Visit for each waiting run, the most urgent first.
  void forEach(const std::function<void(const WaitingRun &)> &Visit) const;

private:
  struct Entry {
    WaitingRun Run_;
    int TimesOvertaken_ = 0;
  };
  /// Ordered by LatestOnTimeStart_.
  std::list<Entry> Waiting_;

  std::list<Entry>::iterator
  nextFitting(TimePoint Now, bool OnTime,
              const std::function<bool(const WaitingRun &)> &Fits,
              const OvertakingRule &MayOvertake);
};

} // namespace wigeonwall::request

#endif
