/// \file
/// \brief Tracks the runs on one minion and the capacity that they use.
#ifndef WIGEONWALL_REQUEST_RUN_TRACKER_H
#define WIGEONWALL_REQUEST_RUN_TRACKER_H

#include "wigeonwall/request/run.h"

#include <deque>
#include <map>
#include <set>

namespace wigeonwall::request {

/// \brief Lease and retry parameters.
struct RunTrackerOptions {
  /// Maximum lease that a minion accepts.
  Duration MaxLease_ = std::chrono::milliseconds(1'000);
  /// Maximum lease that the agent grants; at most MaxLease_.
  Duration RoutineLease_ = std::chrono::milliseconds(1'000);
  /// Factor by which the minion's clock may run slower than the agent's.
  double ClockDriftFactor_ = 1.03;
  /// Interval after which a stop is sent again if the end is not listed.
  Duration StopRetry_ = std::chrono::milliseconds(150);
  /// Time within which a start that got no reply may still be executed. Starts
  /// that took effect up to 12 s late have been seen.
  Duration LateStartTime_ = std::chrono::milliseconds(12'500);
};

/// \brief A run that has certainly ended, and when it was started.
struct EndedRun {
  RunKey Key_;
  RunEnd End_ = RunEnd::Lost;
  TimePoint Began_;
};

/// \brief Tracks the runs on one minion.
///
/// A run occupies resources from the moment its start request is sent until it
/// has certainly ended and can no longer start: its end is listed, or it is
/// absent from a listing that was requested after a stop was acknowledged, or
/// all leases have expired. The deadline of a start is a time of the minion
/// process that it was meant for, so a lease ends only runs of a process that
/// is known to have answered since their starts. A run whose start got no reply
/// and that is absent from a later listing is stopped, after which the minion
/// refuses to start it. A timeout alone frees no resources, because a start
/// request without a reply may still be executed seconds later.
class RunTracker {
public:
  explicit RunTracker(RunTrackerOptions Options) : Options_(Options) {}

  /// \brief Applies a report of the minion. Returns the runs that were lost
  /// with an earlier incarnation.
  ///
  /// Outdated reports are ignored. A report of another incarnation replaces the
  /// present one, so the caller must have verified that the present one has
  /// ended. A new incarnation with the same id may have received start requests
  /// meant for the earlier one, so runs that no listing has contained are kept
  /// until their state is certain.
  std::vector<EndedRun> onReport(const MinionReport &Report, TimePoint Now);
  /// \brief Starts no more runs on the minion until its next report.
  void onDepartureAnnounced();
  /// \brief Removes a minion that has left; returns its runs as lost.
  std::vector<EndedRun> onDeparture(const MinionIncarnation &Incarnation);

  [[nodiscard]] const std::optional<MinionReport> &minion() const noexcept {
    return Minion_;
  }
  /// \brief Returns true once this incarnation has returned a listing and no
  /// run of an earlier agent is left.
  [[nodiscard]] bool ready() const noexcept {
    return Minion_ && Listed_ && OrphanRuns_.empty();
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

  /// \brief Returns true while a run of the task may exist on the minion. A run
  /// for one entry may still be ending when the caller resubmits the job to
  /// another entry.
  [[nodiscard]] bool hasRunOf(const std::string &Task) const;

  /// \brief Reserves resources for a start request that is about to be sent.
  /// The run's number exceeds all known numbers of the task on this minion.
  RunKey begin(const std::string &Task, std::int64_t MinNumber,
               const Resources &Needs, TimePoint Now);
  /// \brief Applies the reply to a start request. Returns the run's end if it
  /// certainly did not start.
  std::optional<EndedRun> onStartReply(const RunKey &Key, StartReply Reply,
                                       TimePoint Now);
  /// \brief Marks a run to be stopped; stopsDue() returns it until it has
  /// ended.
  void requestStop(const RunKey &Key);
  void onStopAcknowledged(const RunKey &Key, TimePoint Now);
  /// \brief Returns the runs to which a stop must be sent now, and records the
  /// stops as sent.
  [[nodiscard]] std::vector<RunKey> stopsDue(TimePoint Now);
  /// \brief Applies a listing that was requested at \p RequestedAt.
  std::vector<EndedRun> onListing(const RunListing &Listing,
                                  TimePoint RequestedAt, TimePoint Now);
  /// \brief Ends runs as lapsed once all leases have certainly expired. Keeps
  /// for LateStartTime_ those whose starts another process may have received.
  std::vector<EndedRun> expire(TimePoint Now);
  /// \brief Records that the minion may have leases that this tracker has not
  /// granted: of an earlier agent, or from starts and renewals that a restarted
  /// minion received before it was known.
  void assumeLease(TimePoint Now);
  /// \brief Latest end of all granted leases, as if the clocks ran equally
  /// fast.
  [[nodiscard]] TimePoint lastLeaseLimit() const noexcept {
    return LastLeaseLimit_;
  }

  /// \brief Grants a lease that ends at \p Limit at the latest; returns its end
  /// on the minion's clock in ms. \p Limit must be after \p Now.
  [[nodiscard]] std::int64_t grantLease(TimePoint Now,
                                        TimePoint Limit = TimePoint::max());
  /// \brief Lower bound of the minion's clock in ms.
  [[nodiscard]] std::int64_t minionClock(TimePoint Now) const;
  /// \brief Applies a reading of the minion's clock.
  void updateClock(std::int64_t MinionClockMs, TimePoint Now);
  /// \brief Returns true while a listing must be requested from the minion.
  [[nodiscard]] bool needsListing() const noexcept;
  /// \brief Sequence number of the last end to acknowledge; 0 for none.
  [[nodiscard]] std::int64_t lastObservedEnd() const noexcept {
    return Observed_;
  }
  [[nodiscard]] std::size_t runCount() const noexcept { return Runs_.size(); }
  /// \brief Returns true if there is a run whose start got no reply and that no
  /// listing has contained.
  [[nodiscard]] bool hasUnconfirmedStart() const noexcept;

private:
  enum class Phase : std::uint8_t { StartSent, Unconfirmed, Running };

  struct Run {
    Resources Needs_;
    Phase Phase_ = Phase::StartSent;
    TimePoint Began_;
    /// When the run was known to have started.
    TimePoint ConfirmedAt_;
    /// When the wait for the reply to the start was given up.
    TimePoint UnansweredAt_;
    /// Contained in a listing of the present incarnation.
    bool Listed_ = false;
    /// An earlier incarnation may have run it.
    bool MayHaveRun_ = false;
    bool StopRequested_ = false;
    std::optional<TimePoint> StopSentAt_;
    std::optional<TimePoint> StopAcknowledgedAt_;
  };

  EndedRun endRun(std::map<RunKey, Run>::iterator Position, RunEnd End);
  std::vector<EndedRun> endAllRuns(RunEnd End);
  void recordLease(TimePoint Now, Duration Lease);
  /// Switches to a new incarnation. If \p SameId, keeps the runs that it may
  /// have received.
  std::vector<EndedRun> replaceIncarnation(bool SameId, TimePoint Now);
  void recordNumber(const RunKey &Key);
  void recordRunning(const RunListing &Listing, TimePoint Now);
  void endAbsentRuns(const RunListing &Listing, TimePoint RequestedAt,
                     std::vector<EndedRun> &Ended);

  RunTrackerOptions Options_;
  std::optional<MinionReport> Minion_;
  std::map<RunKey, Run> Runs_;
  /// Runs of an earlier agent, whose resources are unknown, with the time at
  /// which a stop was last sent.
  std::map<RunKey, std::optional<TimePoint>> OrphanRuns_;
  Resources Used_;
  bool Listed_ = false;
  bool AcknowledgementDue_ = false;
  std::int64_t Observed_ = 0;
  std::int64_t ClockMs_ = 0;
  TimePoint ClockReadAt_;
  /// When all leases have certainly expired.
  TimePoint LastLeaseEnd_;
  TimePoint LastLeaseLimit_;
  /// When the newest listing of this incarnation was requested.
  TimePoint ListingRequestedAt_;
  /// Highest run number of recent tasks in this incarnation of the minion.
  std::map<std::string, std::int64_t> Numbers_;
  std::deque<std::string> NumberOrder_;
};

} // namespace wigeonwall::request

#endif
