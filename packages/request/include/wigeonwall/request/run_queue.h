/// \file
/// \brief Runs that wait for room on one minion, ordered by slack.
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

/// \brief A task that waits for its start.
struct WaitingRun {
  /// Entry that sent it.
  std::string Owner_;
  std::string Job_;
  std::uint32_t Index_ = 0;
  std::string Task_;
  std::shared_ptr<const std::string> Payload_;
  std::int64_t MinNumber_ = 1;
  Resources Needs_;
  /// Expected run time on this minion.
  Duration Expected_{};
  /// A start after this makes its job late.
  TimePoint LatestOnTimeStart_;
  /// A start after this serves no caller.
  TimePoint LatestUsefulStart_;
  /// Handed back after LatestOnTimeStart_, since another minion may be free.
  bool MayMove_ = false;

  /// \brief When waiting here is over.
  [[nodiscard]] TimePoint leavesAt() const noexcept {
    return MayMove_ ? std::min(LatestOnTimeStart_, LatestUsefulStart_)
                    : LatestUsefulStart_;
  }
};

/// \brief Order of starts under overload, for short jobs beside long ones.
///
/// Runs that can still be on time go first, the one with the least slack at
/// the front; then those that are late already, the latest arrival last. A run
/// that does not fit lets a few smaller ones pass. Runs whose start would serve
/// nobody are handed back at once, so that their callers hear of it.
class RunQueue {
public:
  void add(WaitingRun Run);
  /// \brief Takes the next run that \p Fits accepts.
  std::optional<WaitingRun>
  takeNext(TimePoint Now, const std::function<bool(const WaitingRun &)> &Fits);
  /// \brief Takes the runs whose start is no longer useful here.
  std::vector<WaitingRun> takeExpired(TimePoint Now);
  /// \brief Takes runs of a job of an owner; all its jobs when \p Job is empty.
  std::vector<WaitingRun> takeOwned(const std::string &Owner,
                                    const std::string &Job);
  std::vector<WaitingRun> takeAll();

  [[nodiscard]] bool empty() const noexcept { return Waiting_.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return Waiting_.size(); }
  /// \brief Calls \p Each for the waiting runs, the most urgent first.
  void forEach(const std::function<void(const WaitingRun &)> &Each) const;

private:
  struct Entry {
    WaitingRun Run_;
    int Overtaken_ = 0;
  };
  /// Ordered by latest on-time start.
  std::list<Entry> Waiting_;

  std::list<Entry>::iterator
  nextFitting(TimePoint Now, bool OnTime,
              const std::function<bool(const WaitingRun &)> &Fits);
};

} // namespace wigeonwall::request

#endif
