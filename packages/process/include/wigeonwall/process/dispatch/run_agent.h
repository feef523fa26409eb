/// \file
/// \brief The agent beside a minion: starts, watches and ends its runs.
#ifndef WIGEONWALL_PROCESS_DISPATCH_RUN_AGENT_H
#define WIGEONWALL_PROCESS_DISPATCH_RUN_AGENT_H

#include "wigeonwall/process/dispatch/messages.h"
#include "wigeonwall/request/health.h"
#include "wigeonwall/request/minion_speed.h"
#include "wigeonwall/request/run_queue.h"
#include "wigeonwall/request/run_tracker.h"
#include "wigeonwall/request/wait_forecast.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace wigeonwall::process::dispatch {

/// \brief Start of a run, as sent to the minion.
struct StartCall {
  request::RunKey Key_;
  std::shared_ptr<const std::string> Payload_;
  /// End of the lease on the minion's clock.
  std::int64_t LeaseEndMs_ = 0;
  std::int64_t FencingToken_ = 0;
};

/// \brief Renewal of all leases, with a look at the lists.
struct HoldCall {
  /// Empty to look without renewing.
  std::optional<std::int64_t> LeaseEndMs_;
  std::int64_t FencingToken_ = 0;
  /// Last end that the minion may forget.
  std::int64_t Observed_ = 0;
  /// How long the minion may wait for an end before it replies.
  std::chrono::milliseconds Wait_{0};
};

struct HoldReply {
  /// Set when the minion has seen a higher token.
  bool Fenced_ = false;
  /// Empty without a usable reply.
  std::optional<request::RunListing> Listing_;
  /// Why there is no listing.
  std::string Detail_;
};

/// \brief Calls to the minion; each callback runs once, later.
struct MinionCalls {
  std::function<void(
      const request::MinionReport &, const StartCall &,
      std::function<void(request::StartReply, const std::string &Detail)>)>
      Start_;
  std::function<void(const request::MinionReport &, const request::RunKey &,
                     std::int64_t FencingToken,
                     std::function<void(bool Acknowledged)>)>
      Stop_;
  std::function<void(const request::MinionReport &, const HoldCall &,
                     std::function<void(HoldReply)>)>
      Hold_;
};

struct RunAgentHooks {
  request::Clock Now_;
  MinionCalls Minion_;
  std::function<void(const std::string &Owner, const RunOutcome &Outcome)>
      SendOutcome_;
  /// The agent's state has changed enough to be reported.
  std::function<void()> StateChanged_;
  /// Counts an end and the time since its start.
  std::function<void(request::RunEnd End, request::Duration Ran)> OnEnded_;
  /// Records a decision on a run, or a change of belief.
  std::function<void(const std::string &Subject, const std::string &Decision,
                     const std::string &Detail)>
      Log_;
};

struct RunAgentOptions {
  request::RunTrackerOptions Gate_;
  /// Longest wait of a look at the minion; a third of a lease, so that one
  /// lost reply does not end the leases.
  std::chrono::milliseconds HoldWait_{300};
  /// While runs exist, a waiting look without a reply is doubled by an
  /// immediate one after this time, since replies may be lost.
  request::Duration LookPeriod_ = std::chrono::milliseconds(60);
  /// Looks without a reply in a row before the minion counts as unreachable.
  int MaxMissedLooks_ = 3;
  /// Factor on expected times of a run that is taken to stand still.
  double StuckFactor_ = 4.0;
  /// A run that will take this many times its expected time from now on is
  /// stopped, so that it can start anew on a sound minion.
  double TooSlowFactor_ = 2.5;
  /// Least time before a run is taken to stand still.
  request::Duration StuckAfter_ = std::chrono::milliseconds(400);
};

/// \brief Decides what runs on one minion, and when.
///
/// All entries order runs here; nothing else calls the minion. A run's owner
/// is the entry that ordered it.
class RunAgent {
public:
  /// \p FencingToken has to exceed that of earlier agents of the machine.
  RunAgent(RunAgentOptions Options, RunAgentHooks Hooks,
           std::int64_t FencingToken);

  void onMinionReport(const request::MinionReport &Report);
  void onMinionGone(const request::MinionIncarnation &Life);
  void onOrder(const std::string &Owner, const RunOrder &Order);
  /// \brief Ends all runs of a job of an owner; each gets an outcome.
  void onCancel(const std::string &Owner, const std::string &Job);
  /// \brief Ends all runs of an owner that is gone; none gets an outcome.
  void onOwnerGone(const std::string &Owner);
  /// \brief Handles what is due; call about every 25 ms.
  void tick();
  /// \brief Stops to accept orders; what runs goes on.
  void beginLeaving();

  /// \brief State for reports; Included_ is left to the caller.
  [[nodiscard]] request::AgentReport report();
  [[nodiscard]] const std::optional<request::MinionReport> &
  minion() const noexcept {
    return Gate_.minion();
  }
  [[nodiscard]] std::size_t runCount() const noexcept { return Runs_.size(); }
  [[nodiscard]] std::size_t queueLength() const noexcept {
    return Queue_.size();
  }

private:
  /// What the agent knows of a run beyond the gate.
  struct Run {
    std::string Owner_;
    std::string Job_;
    std::uint32_t Index_ = 0;
    request::Resources Needs_;
    request::Duration Expected_{};
    request::TimePoint Began_;
    request::TimePoint UsefulBy_;
    request::HealthTracker::Ticket Health_ = 0;
    int Percent_ = 0;
    request::TimePoint ProgressAt_;
    /// Why the agent stops it; empty otherwise.
    std::string StopReason_;

    [[nodiscard]] request::RunProgress progress() const {
      return {ProgressAt_ - Began_, Percent_, Expected_};
    }
  };

  void pump();
  void startNext(request::WaitingRun Waiting);
  void onStartReply(const request::RunKey &Key, request::StartReply Reply,
                    const std::string &Detail);
  /// Passes the token of an earlier agent whose clock was ahead.
  void raiseToken();
  void sendStops();
  void look(bool AtOnce);
  void onHoldReply(HoldReply Reply, request::TimePoint AskedAt, bool AtOnce);
  void onMissedLook(const std::string &Detail);
  void noteProgress(const request::RunListing &Listing);
  void stopUseless();
  void settle(const std::vector<request::EndedRun> &Settled);
  void settle(const request::EndedRun &Settled);
  void learn(const Run &Ended, request::RunEnd End);
  [[nodiscard]] std::vector<request::ExpectedEnd> expectedEnds() const;
  [[nodiscard]] request::Duration
  expectedWait(const request::WaitingRun &Waiting) const;
  void decline(const request::WaitingRun &Waiting, const std::string &Why);
  void declineAll(std::vector<request::WaitingRun> Waiting,
                  const std::string &Why);
  void stop(const request::RunKey &Key, Run &Which, const std::string &Why);
  [[nodiscard]] bool accepting();
  [[nodiscard]] std::string whyNotAccepting(const std::string &Service) const;

  RunAgentOptions Options_;
  RunAgentHooks Hooks_;
  std::int64_t FencingToken_;
  /// Doubles with each refusal; tokens are times in ms.
  std::int64_t TokenStep_ = 1'000;
  request::RunTracker Gate_;
  request::RunQueue Queue_;
  request::HealthTracker Health_;
  std::map<request::RunKey, Run> Runs_;
  bool Leaving_ = false;
  bool Reachable_ = true;
  /// A waiting look, and one that replies at once, may be under way.
  bool LookWaits_ = false;
  bool LookAtOnce_ = false;
  request::TimePoint LookedAt_;
  int MissedLooks_ = 0;
  /// Counts lives of the minion, so that late replies are told apart.
  std::uint64_t LifeCount_ = 0;
  /// Clock of the newest listing, since replies may overtake each other.
  std::int64_t ListedClockMs_ = 0;
  request::MinionSpeed Speed_;
  std::int64_t TypicalCpu_ = 0;
};

} // namespace wigeonwall::process::dispatch

#endif
