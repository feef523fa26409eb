/// \file
/// \brief Starts, monitors and stops the runs on one minion.
#ifndef WIGEONWALL_PROCESS_DISPATCH_RUN_AGENT_H
#define WIGEONWALL_PROCESS_DISPATCH_RUN_AGENT_H

#include "wigeonwall/process/dispatch/messages.h"
#include "wigeonwall/process/dispatch/minion_candidates.h"
#include "wigeonwall/request/departure_plan.h"
#include "wigeonwall/request/gap_choice.h"
#include "wigeonwall/request/health.h"
#include "wigeonwall/request/minion_speed.h"
#include "wigeonwall/request/prediction_error.h"
#include "wigeonwall/request/run_queue.h"
#include "wigeonwall/request/run_tracker.h"
#include "wigeonwall/request/wait_forecast.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace wigeonwall::process::dispatch {

struct RunAgentHooks {
  request::Clock Now_;
  MinionCalls Minion_;
  /// Returns a time after which the owner was certainly running. Empty if its
  /// session has ended or the process has been paused, so that the owner may
  /// have given up its runs meanwhile.
  std::function<std::optional<request::TimePoint>(const std::string &Owner)>
      LastContact_;
  std::function<void(const std::string &Owner, const RunOutcome &Outcome)>
      SendOutcome_;
  /// The agent's state has changed and should be reported.
  std::function<void()> StateChanged_;
  /// Records the end of a run and the time since its start.
  std::function<void(request::RunEnd End, request::Duration Ran)> OnEnded_;
  /// Counts events of reservations; only called if the agent looks ahead.
  std::function<void(request::ReservationEvent)> CountReservation_;
  /// Records by how much a run missed the end that was predicted at its start;
  /// only called if the agent looks ahead.
  std::function<void(request::Duration Error)> OnEndMissed_;
  /// Logs a decision about a run, or a change in the state of the minion.
  std::function<void(const std::string &Subject, const std::string &Decision,
                     const std::string &Detail)>
      Log_;
};

struct RunAgentOptions {
  request::RunTrackerOptions Tracker_;
  /// Nothing is started for an owner without contact for longer.
  request::Duration OwnerTimeout_ = std::chrono::milliseconds(700);
  /// Latest end of a lease after the last contact with the owner of any run.
  request::Duration MaxLeaseAfterContact_ = std::chrono::milliseconds(1'215);
  /// Minimum lease of a start; long enough for several polls that renew it.
  request::Duration MinStartLease_ = std::chrono::milliseconds(200);
  /// Maximum wait of a hold call: a third of a lease, so that one lost reply
  /// does not let the leases expire.
  std::chrono::milliseconds HoldWait_{300};
  /// While runs exist, an immediate poll is sent in addition to a pending long
  /// poll after this time, because replies may be lost.
  request::Duration PollPeriod_ = std::chrono::milliseconds(60);
  /// Number of consecutive polls without a reply after which the minion is
  /// considered unreachable.
  int MaxMissedPolls_ = 3;
  /// A run is considered stalled after this multiple of its expected time
  /// without progress.
  double StallFactor_ = 4.0;
  /// A run whose predicted remaining time exceeds this multiple of its expected
  /// time is stopped, so that it can be restarted on a healthy minion.
  double TooSlowFactor_ = 2.5;
  /// Minimum time without progress before a run is considered stalled.
  request::Duration MinStallTime_ = std::chrono::milliseconds(400);
  MinionCandidatesOptions Candidates_;
  /// Tasks that wait at the agent; further ones are declined. A minion starts
  /// some tens of tasks a second.
  std::size_t MaxQueueLength_ = 4'000;
  /// Stops runs that would not end before the announced departure of the
  /// minion, so that they are started elsewhere.
  bool EvictBeforeDeparture_ = false;
  /// Report when capacity will be free, and reserve it for the first waiting
  /// run that does not fit.
  bool LookAhead_ = false;
};

/// \brief Schedules all runs on one minion.
///
/// All entries order runs through the minion's agent; nothing else calls the
/// minion. The owner of a run is the entry that ordered it.
class RunAgent {
public:
  /// \p FencingToken has to be higher than that of earlier agents on the
  /// machine.
  RunAgent(RunAgentOptions Options, RunAgentHooks Hooks,
           std::int64_t FencingToken);

  /// \brief Applies a report of the minion. A report of another minion process
  /// has no effect until that process has answered a poll itself; the runs of
  /// the present one are not given up before.
  void onMinionReport(const request::MinionReport &Report);
  /// \brief Handles a minion's notice that it leaves. Its runs are given up
  /// only after it has stopped answering.
  void onMinionLeaving(const request::MinionIncarnation &Incarnation);
  void onOrder(const std::string &Owner, const RunOrder &Order);
  /// \brief Stops all runs of an owner's job; an outcome is sent for each.
  void onCancel(const std::string &Owner, const std::string &Job);
  /// \brief Stops all runs of an owner whose session has ended; no outcomes are
  /// sent.
  void onOwnerLost(const std::string &Owner);
  /// \brief Handles timeouts, polls and starts that are due; call about every
  /// 25 ms.
  void tick();
  /// \brief Stops accepting orders; active runs continue.
  void beginShutdown();
  /// \brief While set, returns the queue and starts nothing, because the
  /// operators have evacuated the failure domain; active runs continue.
  void setEvacuated(bool Evacuated);

  /// \brief Returns the state for reports; the caller sets Included_.
  [[nodiscard]] request::AgentReport report();
  [[nodiscard]] const std::optional<request::MinionReport> &
  minion() const noexcept {
    return Tracker_.minion();
  }
  [[nodiscard]] std::size_t runCount() const noexcept { return Runs_.size(); }
  [[nodiscard]] std::size_t queueLength() const noexcept {
    return Queue_.size();
  }

private:
  /// State of a run that RunTracker does not track.
  struct Run {
    std::string Owner_;
    std::string Job_;
    std::uint32_t Index_ = 0;
    request::Resources Needs_;
    request::Duration Expected_{};
    /// Run time predicted at the start.
    request::Duration Predicted_{};
    request::TimePoint StartedAt_;
    request::TimePoint ExpiresAt_;
    request::HealthTracker::Ticket Health_ = 0;
    int Percent_ = 0;
    request::TimePoint ProgressAt_;
    /// Why the agent is stopping the run; empty otherwise.
    std::string StopReason_;
    /// Last contact with the owner before it gave up the run.
    request::TimePoint OwnerContactAt_;
    /// The owner no longer waits for the run to end.
    bool GivenUp_ = false;

    [[nodiscard]] request::RunProgress progress() const {
      return {ProgressAt_ - StartedAt_, Percent_, Expected_};
    }
  };

  void applyReport(const request::MinionReport &Report);
  [[nodiscard]] MinionCandidatesHooks candidatesHooks();
  /// Uses a candidate that has answered a poll unless the present minion may
  /// still run.
  void onCandidateAnswered(const CandidateAnswer &Answer);
  /// Returns true if the present minion has certainly ended, given that the
  /// candidate answers at its own address.
  [[nodiscard]] bool
  mayReplacePresent(const request::MinionReport &Report) const;
  void adopt(const request::MinionReport &Report,
             const request::RunListing &Listing, request::TimePoint SentAt);
  void removeMinion();
  void applyListing(const request::RunListing &Listing,
                    request::TimePoint SentAt);
  void advance();
  /// Returns true if the owner has a session and was in contact within
  /// RunAgentOptions::OwnerTimeout_.
  [[nodiscard]] bool holdsSession(const std::string &Owner,
                                  request::TimePoint Now) const;
  /// Returns false if the owner's session has ended, if leases that were
  /// granted before end too long after the last contact with the owner, or if
  /// no lease can be granted until a run that was given up has ended. The run
  /// then stays in the queue.
  bool startNext(request::WaitingRun Waiting);
  void onStartReply(const request::RunKey &Key, request::StartReply Reply,
                    const std::string &Detail);
  /// Raises the fencing token above that of an earlier agent whose clock was
  /// ahead.
  void onFenced(std::int64_t Token);
  void sendStops();
  /// Returns when all leases have to end, because a lease applies to all runs
  /// on the minion.
  [[nodiscard]] request::TimePoint leaseLimit();
  /// Returns true if a poll may renew the leases until \p Limit.
  [[nodiscard]] bool mayRenewLeases(request::TimePoint Now,
                                    request::TimePoint Limit) const;
  void pollMinion(bool Immediate);
  void onHoldReply(HoldReply Reply, request::TimePoint SentAt, bool Immediate);
  /// Handles a poll that found another process or none at the address of the
  /// minion: nothing more is started, as the next process would execute it.
  void onMinionGone(const std::string &Detail);
  void onMissedPoll(const std::string &Detail);
  void updateProgress(const request::RunListing &Listing);
  void stopUnproductive();
  /// Stops the runs that would not end before the minion leaves.
  void evictBeforeDeparture();
  void onRunsEnded(const std::vector<request::EndedRun> &EndedRuns);
  void onRunEnded(const request::EndedRun &Result);
  void recordResult(const Run &Ended, request::RunEnd End);
  [[nodiscard]] std::vector<request::ExpectedEnd> expectedEnds() const;
  [[nodiscard]] std::vector<request::CapacityRelease> expectedReleases() const;
  /// Decides whether a run may start before the first one that does not fit.
  /// \p Left is the result of the first call for this start.
  [[nodiscard]] bool mayOvertake(const request::WaitingRun &Blocked,
                                 const request::WaitingRun &Next,
                                 std::optional<request::GapChoice::Gap> &Left);
  [[nodiscard]] request::Duration
  expectedWait(const request::WaitingRun &Waiting) const;
  void decline(const request::WaitingRun &Waiting, const std::string &Reason);
  void declineAll(std::vector<request::WaitingRun> Waiting,
                  const std::string &Reason);
  void stop(const request::RunKey &Key, Run &Active, const std::string &Reason);
  /// Stops a run that its owner no longer waits for.
  void giveUp(const request::RunKey &Key, Run &Active,
              const std::string &Reason);
  [[nodiscard]] bool accepting();
  /// Returns true if the minion has the service and the label of an order.
  [[nodiscard]] bool fitsMinion(const RunOrder &Order) const;
  [[nodiscard]] std::string rejectionCause(const RunOrder &Order) const;

  RunAgentOptions Options_;
  RunAgentHooks Hooks_;
  detail::FencingToken FencingToken_;
  request::RunTracker Tracker_;
  request::RunQueue Queue_;
  request::HealthTracker Health_;
  std::map<request::RunKey, Run> Runs_;
  MinionCandidates Candidates_;
  bool Leaving_ = false;
  bool Evacuated_ = false;
  bool Reachable_ = true;
  /// The minion has announced that it leaves.
  bool MinionLeaving_ = false;
  /// A long poll and an immediate poll may be pending at the same time.
  bool LongPollPending_ = false;
  bool ImmediatePollPending_ = false;
  request::TimePoint LastPollAt_;
  int MissedPolls_ = 0;
  /// When a poll last showed that the minion does not run at its address.
  request::TimePoint LastGoneAt_;
  /// Until when a start without a reply may be executed, also by the next
  /// process of the minion. The minion is polled until then, so that a new
  /// process is found and made to refuse the start.
  request::TimePoint LateStartUntil_;
  /// Incremented when the minion is replaced or restarted, so that late replies
  /// from earlier processes are ignored.
  std::uint64_t MinionGeneration_ = 0;
  /// Minion clock of the newest listing, because replies may arrive out of
  /// order.
  std::int64_t ListedClockMs_ = 0;
  request::MinionSpeed Speed_;
  request::PredictionError PredictionError_;
  request::GapChoice Gaps_;
  std::int64_t AverageCpu_ = 0;
  request::DeparturePlan Departure_;
};

} // namespace wigeonwall::process::dispatch

#endif
