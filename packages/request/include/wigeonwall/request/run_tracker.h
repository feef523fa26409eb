/// \file
/// \brief Guards the capacity of one minion, and settles runs in doubt.
#ifndef WIGEONWALL_REQUEST_RUN_TRACKER_H
#define WIGEONWALL_REQUEST_RUN_TRACKER_H

#include "wigeonwall/request/run.h"

#include <deque>
#include <map>
#include <set>

namespace wigeonwall::request {

/// \brief Limits of a minion's leases.
struct RunTrackerOptions {
  /// Longest lease that a minion grants.
  Duration MaxLease_ = std::chrono::milliseconds(1'000);
  /// Factor that covers a slow clock of the minion.
  double ClockSlack_ = 1.03;
  /// A stop without an end in the list is sent again after this time.
  Duration StopRetry_ = std::chrono::milliseconds(150);
};

/// \brief An end, with what its run used.
struct EndedRun {
  RunKey Key_;
  RunEnd End_ = RunEnd::Lost;
  TimePoint Began_;
};

/// \brief Bookkeeping of the runs on one minion.
///
/// A run occupies resources from the moment its order is sent until it is
/// certain that it has ended and cannot begin any more: its end is listed, or
/// a listing that was asked for after an acknowledged stop lacks it, or all
/// leases have expired. An unanswered run that a later listing lacks is
/// stopped, which makes the minion refuse it for good. A timeout alone frees
/// nothing, because an order without a reply may be carried out seconds later.
class RunTracker {
public:
  explicit RunTracker(RunTrackerOptions Options) : Options_(Options) {}

  /// \brief Notes a report. Returns the runs that are gone with an earlier
  /// life; reports of earlier lives and old reports change nothing. A new life
  /// under the same id may have got orders that were meant for the earlier one,
  /// so that runs which no listing has shown stay until they are settled.
  std::vector<EndedRun> onReport(const MinionReport &Report, TimePoint Now);
  /// \brief The minion has left; returns its runs as lost.
  std::vector<EndedRun> onDeparture(const MinionIncarnation &Life);

  [[nodiscard]] const std::optional<MinionReport> &minion() const noexcept {
    return Minion_;
  }
  /// \brief True once a listing of this life has been seen and no run of an
  /// earlier agent is left.
  [[nodiscard]] bool ready() const noexcept {
    return Minion_ && Listed_ && Strays_.empty();
  }
  [[nodiscard]] bool draining() const noexcept {
    return Minion_ && Minion_->Draining_;
  }
  [[nodiscard]] Resources free() const noexcept {
    return Minion_ ? Minion_->Capacity_ - Used_ : Resources{};
  }
  [[nodiscard]] bool canStart(const Resources &Needs) const noexcept {
    return ready() && !draining() && Needs.fitsIn(free());
  }

  /// \brief True while a run of the task may exist on the minion; an earlier
  /// entry's run may still be ending when its caller submits again elsewhere.
  [[nodiscard]] bool hasRunOf(const std::string &Task) const;

  /// \brief Occupies resources for a start that is about to be sent. The
  /// number is above all known numbers of the task on this minion.
  RunKey begin(const std::string &Task, std::int64_t LeastNumber,
               const Resources &Needs, TimePoint Now);
  /// \brief Notes the reply to a start; an end when the run never began.
  std::optional<EndedRun> onStartReply(const RunKey &Key, StartReply Reply,
                                       TimePoint Now);
  /// \brief Marks a run to be stopped; stopsDue() names it until it is gone.
  void requestStop(const RunKey &Key);
  void onStopAcknowledged(const RunKey &Key, TimePoint Now);
  /// \brief Runs whose stop has to be sent now; counts as sent.
  [[nodiscard]] std::vector<RunKey> stopsDue(TimePoint Now);
  /// \brief Applies a listing that was asked for at \p AskedAt.
  std::vector<EndedRun> onListing(const RunListing &Listing, TimePoint AskedAt,
                                  TimePoint Now);
  /// \brief Ends all runs as lapsed once no lease can be in force.
  std::vector<EndedRun> expire(TimePoint Now);

  /// \brief End of a lease granted now, on the minion's clock, in ms.
  [[nodiscard]] std::int64_t grantLease(TimePoint Now);
  /// \brief Lower bound of the minion's clock in ms.
  [[nodiscard]] std::int64_t minionClock(TimePoint Now) const;
  void noteClock(std::int64_t MinionClockMs, TimePoint Now);
  /// \brief True while a look at the minion's lists is needed.
  [[nodiscard]] bool needsListing() const noexcept;
  /// \brief Last end to acknowledge; 0 for none.
  [[nodiscard]] std::int64_t lastObservedEnd() const noexcept {
    return Observed_;
  }
  [[nodiscard]] std::size_t runCount() const noexcept { return Runs_.size(); }
  /// \brief Runs whose start has no reply and that no listing has shown.
  [[nodiscard]] bool hasUnconfirmedStart() const noexcept;

private:
  enum class Phase : std::uint8_t { Ordered, Unsettled, Running };

  struct Run {
    Resources Needs_;
    Phase Phase_ = Phase::Ordered;
    TimePoint Began_;
    /// When the start was known to be carried out.
    TimePoint ConfirmedAt_;
    /// When the start was given up as unanswered.
    TimePoint DoubtedAt_;
    /// Shown by a listing of the present life.
    bool Listed_ = false;
    /// An earlier life may have carried it out.
    bool MayHaveRun_ = false;
    bool StopWanted_ = false;
    std::optional<TimePoint> StopSentAt_;
    std::optional<TimePoint> StopAcknowledgedAt_;
  };

  EndedRun settle(std::map<RunKey, Run>::iterator Which, RunEnd End);
  std::vector<EndedRun> settleAll(RunEnd End);
  /// Begins a life; keeps runs that it may have got if \p SameId.
  std::vector<EndedRun> replaceLife(bool SameId, TimePoint Now);
  void rememberNumber(const RunKey &Key);
  void noteRunning(const RunListing &Listing, TimePoint Now);
  void settleAbsent(const RunListing &Listing, TimePoint AskedAt,
                    std::vector<EndedRun> &Settled);

  RunTrackerOptions Options_;
  std::optional<MinionReport> Minion_;
  std::map<RunKey, Run> Runs_;
  /// Runs of an earlier agent; their resources are not known.
  std::map<RunKey, std::optional<TimePoint>> Strays_;
  Resources Used_;
  bool Listed_ = false;
  bool AcknowledgementDue_ = false;
  std::int64_t Observed_ = 0;
  std::int64_t ClockMs_ = 0;
  TimePoint ClockReadAt_;
  TimePoint LeaseBound_;
  /// Highest number of recent tasks on this life of the minion.
  std::map<std::string, std::int64_t> Numbers_;
  std::deque<std::string> NumberOrder_;
};

} // namespace wigeonwall::request

#endif
