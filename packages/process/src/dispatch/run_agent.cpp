#include "wigeonwall/process/dispatch/run_agent.h"

#include "wigeonwall/request/wait_forecast.h"

#include <algorithm>

namespace wigeonwall::process::dispatch {

using request::Duration;
using request::RunEnd;
using request::RunKey;
using request::StartReply;
using request::TimePoint;

namespace {

std::string taskName(const std::string &Job, std::uint32_t Index) {
  return Job + "/" + std::to_string(Index);
}

} // namespace

RunAgent::RunAgent(RunAgentOptions Options, RunAgentHooks Hooks,
                   std::int64_t FencingToken)
    : Options_(Options), Hooks_(std::move(Hooks)), FencingToken_{FencingToken},
      Tracker_(Options.Tracker_), Health_(Hooks_.Now_),
      Candidates_(Options.Candidates_, candidatesHooks()),
      Gaps_([this](auto Event) { Hooks_.CountReservation_(Event); }),
      Departure_({}, Hooks_.Now_) {}

bool RunAgent::fitsMinion(const RunOrder &Order) const {
  const auto &Minion = Tracker_.minion();
  if (!Minion || Minion->Service_ != Order.Service_)
    return false;
  const auto &Labels = Minion->Labels_;
  return Order.RequiredLabel_.empty() ||
         std::find(Labels.begin(), Labels.end(), Order.RequiredLabel_) !=
             Labels.end();
}

std::string RunAgent::rejectionCause(const RunOrder &Order) const {
  if (!Tracker_.minion())
    return "no_minion";
  if (!fitsMinion(Order))
    return "other_service_or_label";
  if (Tracker_.draining())
    return "draining";
  if (Leaving_)
    return "agent_leaving";
  if (Evacuated_)
    return "evacuated";
  return Reachable_ ? "unhealthy" : "unreachable";
}

void RunAgent::onMinionReport(const request::MinionReport &Report) {
  const auto &Present = Tracker_.minion();
  if (!Present || Present->Incarnation_ != Report.Incarnation_)
    return Candidates_.add(Report);
  if (Present->Address_ != Report.Address_ ||
      Present->Service_ != Report.Service_)
    return Hooks_.Log_(Report.Incarnation_.Id_, "report_ignored",
                       "cause=other_address_or_service address=" +
                           Report.Address_ + " service=" + Report.Service_);
  applyReport(Report);
  advance();
}

void RunAgent::applyReport(const request::MinionReport &Report) {
  const bool WasDraining = Tracker_.draining();
  const auto EndedRuns = Tracker_.onReport(Report, Hooks_.Now_());
  const auto &Minion = Tracker_.minion();
  MinionLeaving_ = MinionLeaving_ && Tracker_.draining();
  onRunsEnded(EndedRuns);
  Departure_.onReport(*Minion);
  evictBeforeDeparture();
  if (WasDraining || !Tracker_.draining())
    return;
  const auto &Time = Minion->TimeToDeparture_;
  Hooks_.Log_(Minion->Incarnation_.Id_, "minion_draining",
              "runs=" + std::to_string(Runs_.size()) +
                  (Time ? " leaves_in_ms=" +
                              std::to_string(request::toMilliseconds(*Time))
                        : ""));
  declineAll(Queue_.takeAll(), "draining");
  Hooks_.StateChanged_();
}

MinionCandidatesHooks RunAgent::candidatesHooks() {
  MinionCandidatesHooks Result;
  Result.Now_ = Hooks_.Now_;
  Result.Hold_ = Hooks_.Minion_.Hold_;
  Result.NextToken_ = [this] { return ++FencingToken_.Value_; };
  Result.OnAnswered_ = [this](const CandidateAnswer &Answer) {
    onCandidateAnswered(Answer);
  };
  Result.Log_ = Hooks_.Log_;
  return Result;
}

void RunAgent::onCandidateAnswered(const CandidateAnswer &Answer) {
  if (!mayReplacePresent(Answer.Report_))
    return Hooks_.Log_(Answer.Report_.Incarnation_.Id_, "minion_unconfirmed",
                       "detail=\"another minion is in use\"");
  if (Answer.Token_.Value_ > FencingToken_.Value_)
    FencingToken_ = Answer.Token_;
  Candidates_.clear();
  adopt(Answer.Report_, Answer.Listing_, Answer.RequestedAt_);
}

bool RunAgent::mayReplacePresent(const request::MinionReport &Report) const {
  const auto &Present = Tracker_.minion();
  // Two processes cannot answer at one address. A process at another address
  // may run beside the present one, whose runs then have to end or lapse first.
  return !Present || Present->Address_ == Report.Address_ ||
         (!Reachable_ && Tracker_.runCount() == 0);
}

void RunAgent::adopt(const request::MinionReport &Report,
                     const request::RunListing &Listing, TimePoint SentAt) {
  ++MinionGeneration_;
  LongPollPending_ = ImmediatePollPending_ = false;
  MissedPolls_ = 0;
  Reachable_ = true;
  MinionLeaving_ = false;
  Health_ = request::HealthTracker(Hooks_.Now_);
  Speed_.reset();
  Hooks_.Log_(Report.Incarnation_.Id_, "minion_adopted",
              "born_ms=" + std::to_string(Report.Incarnation_.StartedAtMs_) +
                  " address=" + Report.Address_ +
                  " cpu=" + std::to_string(Report.Capacity_.CpuMillicores_));
  // They were placed by the labels and the capacity of the earlier minion.
  declineAll(Queue_.takeAll(), "minion_replaced");
  applyReport(Report);
  Tracker_.assumeLease(Hooks_.Now_());
  ListedClockMs_ = 0;
  applyListing(Listing, SentAt);
  advance();
}

void RunAgent::onMinionLeaving(const request::MinionIncarnation &Incarnation) {
  const auto &Minion = Tracker_.minion();
  if (!Minion || Minion->Incarnation_ != Incarnation)
    return;
  MinionLeaving_ = true;
  Tracker_.onDepartureAnnounced();
  Hooks_.Log_(Incarnation.Id_, "minion_leaving",
              "runs=" + std::to_string(Runs_.size()));
  declineAll(Queue_.takeAll(), "minion_leaving");
  pollMinion(true);
  Hooks_.StateChanged_();
}

void RunAgent::removeMinion() {
  const request::MinionIncarnation Incarnation =
      Tracker_.minion()->Incarnation_;
  MinionLeaving_ = false;
  ++MinionGeneration_;
  LongPollPending_ = ImmediatePollPending_ = false;
  MissedPolls_ = 0;
  const auto EndedRuns = Tracker_.onDeparture(Incarnation);
  Hooks_.Log_(Incarnation.Id_, "minion_gone",
              "runs=" + std::to_string(EndedRuns.size()));
  onRunsEnded(EndedRuns);
  Hooks_.StateChanged_();
}

bool RunAgent::accepting() {
  return !Leaving_ && !Evacuated_ && Reachable_ && Tracker_.ready() &&
         !Tracker_.draining() && Health_.canStart();
}

void RunAgent::onOrder(const std::string &Owner, const RunOrder &Order) {
  const TimePoint Now = Hooks_.Now_();
  const bool MinionFits = fitsMinion(Order);
  AverageCpu_ = AverageCpu_ == 0
                    ? Order.Needs_.CpuMillicores_
                    : (3 * AverageCpu_ + Order.Needs_.CpuMillicores_) / 4;
  const Duration RunTime = Speed_.runTime(Order.Expected_);
  const auto Payload = std::make_shared<const std::string>(Order.Payload_);
  for (const RunOrderTask &Task : Order.Tasks_) {
    request::WaitingRun Waiting;
    Waiting.Owner_ = Owner;
    Waiting.Job_ = Order.Job_;
    Waiting.Index_ = Task.Index_;
    Waiting.Task_ = taskName(Order.Job_, Task.Index_);
    Waiting.Payload_ = Payload;
    Waiting.MinNumber_ = Task.Number_;
    Waiting.Needs_ = Order.Needs_;
    Waiting.Expected_ = Order.Expected_;
    Waiting.LatestOnTimeStart_ = Now + Order.TimeToDeadline_ - RunTime;
    Waiting.MayMove_ = Order.MayDecline_;
    Waiting.LatestUsefulStart_ = Now + Order.TimeToExpiry_ - RunTime;
    if (!MinionFits || !accepting())
      decline(Waiting, rejectionCause(Order));
    else if (Queue_.size() >= Options_.MaxQueueLength_)
      decline(Waiting, "queue_full");
    else if (Order.MayDecline_ && expectedWait(Waiting) > Order.MaxWait_)
      decline(Waiting, "no_room");
    else
      Queue_.add(std::move(Waiting));
  }
  advance();
}

void RunAgent::decline(const request::WaitingRun &Waiting,
                       const std::string &Reason) {
  Hooks_.Log_(Waiting.Task_, "declined", "cause=" + Reason);
  RunOutcome Outcome;
  Outcome.Job_ = Waiting.Job_;
  Outcome.Index_ = Waiting.Index_;
  Outcome.End_ = RunEnd::NeverRan;
  Outcome.Reason_ = Reason;
  Hooks_.SendOutcome_(Waiting.Owner_, Outcome);
}

void RunAgent::declineAll(std::vector<request::WaitingRun> Waiting,
                          const std::string &Reason) {
  for (const request::WaitingRun &Each : Waiting)
    decline(Each, Reason);
}

void RunAgent::stop(const RunKey &Key, Run &Active, const std::string &Reason) {
  if (!Active.StopReason_.empty())
    return;
  Active.StopReason_ = Reason;
  Tracker_.requestStop(Key);
}

void RunAgent::giveUp(const RunKey &Key, Run &Active,
                      const std::string &Reason) {
  Active.GivenUp_ = true;
  stop(Key, Active, Reason);
}

void RunAgent::onCancel(const std::string &Owner, const std::string &Job) {
  declineAll(Queue_.takeOwned(Owner, Job), "cancelled");
  for (auto &[Key, Active] : Runs_)
    if (Active.Owner_ == Owner && Active.Job_ == Job)
      giveUp(Key, Active, "cancelled");
  advance();
}

void RunAgent::onOwnerLost(const std::string &Owner) {
  const auto Waiting = Queue_.takeOwned(Owner, "");
  std::size_t Stopped = 0;
  for (auto &[Key, Active] : Runs_) {
    if (Active.Owner_ != Owner)
      continue;
    giveUp(Key, Active, "owner_gone");
    ++Stopped;
  }
  Hooks_.Log_(Owner, "owner_gone",
              "queued=" + std::to_string(Waiting.size()) +
                  " running=" + std::to_string(Stopped));
  advance();
}

void RunAgent::beginShutdown() {
  Leaving_ = true;
  declineAll(Queue_.takeAll(), "agent_leaving");
  Hooks_.StateChanged_();
}

void RunAgent::setEvacuated(bool Evacuated) {
  if (Evacuated_ == Evacuated)
    return;
  Evacuated_ = Evacuated;
  if (Evacuated_)
    declineAll(Queue_.takeAll(), "evacuated");
  advance();
}

void RunAgent::advance() {
  const TimePoint Now = Hooks_.Now_();
  declineAll(Queue_.takeExpired(Now), "no_time_left");
  const auto Fits = [this](const request::WaitingRun &Waiting) {
    return Tracker_.canStart(Waiting.Needs_) && Health_.canStart() &&
           !Tracker_.hasRunOf(Waiting.Task_);
  };
  const bool RestartPossible =
      Tracker_.minion() && Candidates_.mayHaveReplaced(*Tracker_.minion());
  while (Reachable_ && !Leaving_ && !Evacuated_ && !RestartPossible) {
    std::optional<request::GapChoice::Gap> Left;
    request::RunQueue::OvertakingRule Rule;
    if (Options_.LookAhead_)
      Rule = [this, &Left](const auto &Blocked, const auto &Next) {
        return mayOvertake(Blocked, Next, Left);
      };
    auto Next = Queue_.takeNext(Now, Fits, Rule);
    if (!Next || !startNext(std::move(*Next)))
      break;
  }
  sendStops();
  pollMinion(false);
  Hooks_.StateChanged_();
}

bool RunAgent::holdsSession(const std::string &Owner, TimePoint Now) const {
  const auto Contact = Hooks_.LastContact_(Owner);
  return Contact && Now - *Contact <= Options_.OwnerTimeout_;
}

bool RunAgent::startNext(request::WaitingRun Waiting) {
  // The process may be paused between any two starts. The time is read before
  // the session is checked and bounds the lease, so that the minion refuses a
  // start that is sent after a pause.
  const TimePoint Now = Hooks_.Now_();
  const TimePoint Contact =
      Hooks_.LastContact_(Waiting.Owner_).value_or(TimePoint::min());
  const TimePoint OwnLimit = Contact + Options_.MaxLeaseAfterContact_;
  const TimePoint Limit = std::min(leaseLimit(), OwnLimit);
  // The run inherits the leases that were granted before.
  if (Contact < Now - Options_.OwnerTimeout_ ||
      Tracker_.lastLeaseLimit() > OwnLimit ||
      Limit < Now + Options_.MinStartLease_) {
    Queue_.add(std::move(Waiting));
    return false;
  }
  const RunKey Key =
      Tracker_.begin(Waiting.Task_, Waiting.MinNumber_, Waiting.Needs_, Now);
  Run Started;
  Started.Owner_ = Waiting.Owner_;
  Started.Job_ = Waiting.Job_;
  Started.Index_ = Waiting.Index_;
  Started.Needs_ = Waiting.Needs_;
  Started.Expected_ = Waiting.Expected_;
  Started.Predicted_ = Speed_.runTime(Waiting.Expected_);
  Started.StartedAt_ = Started.ProgressAt_ = Now;
  Started.OwnerContactAt_ = Contact;
  Started.ExpiresAt_ = Waiting.LatestUsefulStart_ + Waiting.Expected_;
  Started.Health_ = Health_.begin();
  Runs_[Key] = Started;
  if (Options_.LookAhead_)
    Gaps_.onStart(Waiting.Task_, Now);
  StartCall Call;
  Call.Key_ = Key;
  Call.Payload_ = Waiting.Payload_;
  Call.LeaseEndMs_ = Tracker_.grantLease(Now, Limit);
  Call.FencingToken_ = FencingToken_.Value_;
  const Duration Slack = Waiting.LatestOnTimeStart_ - Now;
  Hooks_.Log_(
      Key.Task_, "start",
      "run=" + std::to_string(Key.Number_) +
          " free_cpu=" + std::to_string(Tracker_.free().CpuMillicores_) +
          " slack_ms=" + std::to_string(request::toMilliseconds(Slack)));
  Hooks_.Minion_.Start_(
      *Tracker_.minion(), Call,
      [this, Key, Token = Call.FencingToken_, Generation = MinionGeneration_](
          StartReply Reply, const std::string &Detail) {
        if (Generation != MinionGeneration_)
          return;
        if (Reply == StartReply::Fenced)
          onFenced(Token);
        onStartReply(Key, Reply, Detail);
      });
  return true;
}

void RunAgent::onStartReply(const RunKey &Key, StartReply Reply,
                            const std::string &Detail) {
  if (Reply != StartReply::Started)
    Hooks_.Log_(
        Key.Task_, "start_reply",
        "run=" + std::to_string(Key.Number_) + " reply=" +
            std::string(request::findName(request::StartReplyNames, Reply)) +
            " detail=\"" + Detail + "\"");
  if (Reply == StartReply::Started)
    MissedPolls_ = 0;
  if (Reply == StartReply::Unknown)
    LateStartUntil_ = Hooks_.Now_() + Options_.Tracker_.LateStartTime_;
  if (const auto Ended = Tracker_.onStartReply(Key, Reply, Hooks_.Now_()))
    onRunEnded(*Ended);
  if (Reply == StartReply::Unknown)
    pollMinion(true);
  advance();
}

void RunAgent::onFenced(std::int64_t Token) {
  // A later call of this agent may have overtaken this one.
  if (Token < FencingToken_.Value_)
    return;
  FencingToken_.raise();
  Hooks_.Log_("minion", "fenced",
              "next_token=" + std::to_string(FencingToken_.Value_));
}

void RunAgent::sendStops() {
  const TimePoint Now = Hooks_.Now_();
  if (!Tracker_.minion())
    return;
  for (const RunKey &Key : Tracker_.stopsDue(Now)) {
    const auto Known = Runs_.find(Key);
    Hooks_.Log_(Key.Task_, "stop",
                "run=" + std::to_string(Key.Number_) + " cause=" +
                    (Known == Runs_.end() ? "earlier_agent"
                     : Known->second.StopReason_.empty()
                         ? "unanswered_start"
                         : Known->second.StopReason_));
    Hooks_.Minion_.Stop_(
        *Tracker_.minion(), Key, FencingToken_.Value_,
        [this, Key, Generation = MinionGeneration_](bool Acknowledged) {
          if (Generation != MinionGeneration_ || !Acknowledged)
            return;
          Tracker_.onStopAcknowledged(Key, Hooks_.Now_());
          if (Tracker_.hasUnconfirmedStart())
            pollMinion(true);
        });
  }
}

void RunAgent::pollMinion(bool Immediate) {
  // While another process has reported, polls show whether the present minion
  // still runs.
  const bool Needed =
      Tracker_.needsListing() ||
      (Tracker_.minion() &&
       (MissedPolls_ > 0 || MinionLeaving_ || !Candidates_.empty() ||
        Hooks_.Now_() < LateStartUntil_));
  if (!Needed || (Immediate ? ImmediatePollPending_ : LongPollPending_))
    return;
  (Immediate ? ImmediatePollPending_ : LongPollPending_) = true;
  const TimePoint Now = Hooks_.Now_();
  LastPollAt_ = Now;
  HoldCall Call;
  const TimePoint Limit = leaseLimit();
  if (mayRenewLeases(Now, Limit))
    Call.LeaseEndMs_ = Tracker_.grantLease(Now, Limit);
  Call.FencingToken_ = FencingToken_.Value_;
  Call.Observed_ = Tracker_.lastObservedEnd();
  // A long poll waits for a run to end, so it needs at least one run.
  const bool LongPoll =
      !Immediate && Tracker_.ready() && Tracker_.runCount() > 0;
  Call.Wait_ = LongPoll ? Options_.HoldWait_ : std::chrono::milliseconds(0);
  Hooks_.Minion_.Hold_(*Tracker_.minion(), Call,
                       [this, Now, Immediate, Token = Call.FencingToken_,
                        Generation = MinionGeneration_](HoldReply Reply) {
                         if (Generation != MinionGeneration_)
                           return;
                         if (Reply.Fenced_)
                           onFenced(Token);
                         onHoldReply(std::move(Reply), Now, Immediate);
                       });
}

TimePoint RunAgent::leaseLimit() {
  TimePoint Limit = TimePoint::max();
  for (auto &[Key, Active] : Runs_) {
    if (!Active.GivenUp_)
      Active.OwnerContactAt_ =
          Hooks_.LastContact_(Active.Owner_).value_or(Active.OwnerContactAt_);
    Limit = std::min(Limit,
                     Active.OwnerContactAt_ + Options_.MaxLeaseAfterContact_);
  }
  return Limit;
}

bool RunAgent::mayRenewLeases(TimePoint Now, TimePoint Limit) const {
  // An unresponsive minion may still process renewals, and then the agent could
  // not tell when the leases have expired.
  if (MissedPolls_ >= Options_.MaxMissedPolls_ || Limit <= Now)
    return false;
  // A renewal extends all leases, also those of runs that are being stopped.
  return std::any_of(Runs_.begin(), Runs_.end(), [&](const auto &Each) {
    return holdsSession(Each.second.Owner_, Now);
  });
}

void RunAgent::onHoldReply(HoldReply Reply, TimePoint SentAt, bool Immediate) {
  (Immediate ? ImmediatePollPending_ : LongPollPending_) = false;
  if (Reply.Gone_ && MinionLeaving_)
    return removeMinion();
  if (Reply.Gone_)
    return onMinionGone(Reply.Detail_);
  if (!Reply.Listing_ || SentAt < LastGoneAt_) {
    onMissedPoll(Reply.Detail_);
    return;
  }
  MissedPolls_ = 0;
  if (!Reachable_) {
    Reachable_ = true;
    Hooks_.Log_("minion", "reachable", "");
  }
  applyListing(*Reply.Listing_, SentAt);
  advance();
}

void RunAgent::applyListing(const request::RunListing &Listing,
                            TimePoint SentAt) {
  // Ignores listings that arrive out of order; a newer one contains the same
  // information.
  if (Listing.MinionClockMs_ < ListedClockMs_)
    return;
  ListedClockMs_ = Listing.MinionClockMs_;
  onRunsEnded(Tracker_.onListing(Listing, SentAt, Hooks_.Now_()));
  updateProgress(Listing);
}

void RunAgent::onMinionGone(const std::string &Detail) {
  const bool WasReachable = Reachable_;
  LastGoneAt_ = Hooks_.Now_();
  // The next process refuses starts that were sent before, once it has received
  // a poll with the higher token.
  ++FencingToken_.Value_;
  MissedPolls_ = std::max(MissedPolls_, Options_.MaxMissedPolls_ - 1);
  onMissedPoll(Detail);
  if (WasReachable)
    pollMinion(true);
}

void RunAgent::onMissedPoll(const std::string &Detail) {
  if (++MissedPolls_ >= Options_.MaxMissedPolls_ && Reachable_) {
    Reachable_ = false;
    Hooks_.Log_("minion", "unreachable",
                "detail=\"" + Detail +
                    "\" runs=" + std::to_string(Runs_.size()));
    declineAll(Queue_.takeAll(), "unreachable");
    Hooks_.StateChanged_();
  }
  // tick() sends the next poll, so that rejected polls are not repeated in a
  // tight loop.
}

void RunAgent::updateProgress(const request::RunListing &Listing) {
  const TimePoint Now = Hooks_.Now_();
  for (const request::RunningRow &Row : Listing.Running_) {
    const auto Found = Runs_.find(Row.Key_);
    if (Found == Runs_.end() || Row.Percent_ <= Found->second.Percent_)
      continue;
    Found->second.Percent_ = Row.Percent_;
    Found->second.ProgressAt_ = Now;
  }
  std::vector<request::RunProgress> Progress;
  for (const auto &[Key, Active] : Runs_)
    Progress.push_back(Active.progress());
  Speed_.recordProgress(Progress);
}

void RunAgent::stopUnproductive() {
  const TimePoint Now = Hooks_.Now_();
  for (auto &[Key, Active] : Runs_) {
    const auto StallLimit = std::max(
        Options_.MinStallTime_, std::chrono::duration_cast<Duration>(
                                    Active.Expected_ * Options_.StallFactor_));
    if (Now > Active.ExpiresAt_)
      giveUp(Key, Active, "caller_timeout");
    else if (Speed_.isTooSlow(Active.progress(), Options_.TooSlowFactor_))
      stop(Key, Active, "too_slow");
    else if (Active.Percent_ < 100 && Now - Active.ProgressAt_ > StallLimit)
      stop(Key, Active, "no_progress");
  }
}

void RunAgent::evictBeforeDeparture() {
  if (!Options_.EvictBeforeDeparture_ || !Departure_.leavesAt())
    return;
  const TimePoint Now = Hooks_.Now_();
  std::vector<request::DepartingRun> Departing;
  for (const auto &[Key, Active] : Runs_)
    if (Active.StopReason_.empty())
      Departing.push_back(
          {Key,
           Speed_.remainingTime(Now - Active.StartedAt_, Active.progress()),
           Active.Expected_, Active.ExpiresAt_});
  for (const RunKey &Key : Departure_.runsToStop(Departing))
    stop(Key, Runs_.at(Key), "minion_leaving");
}

void RunAgent::onRunsEnded(const std::vector<request::EndedRun> &EndedRuns) {
  for (const request::EndedRun &Each : EndedRuns)
    onRunEnded(Each);
}

void RunAgent::onRunEnded(const request::EndedRun &Result) {
  const auto Found = Runs_.find(Result.Key_);
  if (Found == Runs_.end())
    return;
  const Run Ended = Found->second;
  Runs_.erase(Found);
  recordResult(Ended, Result.End_);
  Hooks_.Log_(
      Result.Key_.Task_, "ended",
      "run=" + std::to_string(Result.Key_.Number_) + " end=" +
          std::string(request::findName(request::RunEndNames, Result.End_)) +
          " ran_ms=" +
          std::to_string(
              request::toMilliseconds(Hooks_.Now_() - Ended.StartedAt_)));
  Hooks_.OnEnded_(Result.End_, Hooks_.Now_() - Ended.StartedAt_);
  if (Ended.StopReason_ == "owner_gone")
    return;
  RunOutcome Outcome;
  Outcome.Job_ = Ended.Job_;
  Outcome.Index_ = Ended.Index_;
  Outcome.End_ = Result.End_;
  Outcome.Number_ = Result.Key_.Number_;
  Outcome.Reason_ = Ended.StopReason_;
  Hooks_.SendOutcome_(Ended.Owner_, Outcome);
}

void RunAgent::recordResult(const Run &Ended, RunEnd End) {
  const bool Stalled = Ended.StopReason_ == "no_progress";
  if (End == RunEnd::Done)
    Health_.record(Ended.Health_, request::MinionOutcome::Success);
  else if (End == RunEnd::Failed || Stalled)
    Health_.record(Ended.Health_, request::MinionOutcome::ServerError);
  else
    Health_.abandon(Ended.Health_);
  if (End != RunEnd::Done)
    return;
  const Duration RunTime = Hooks_.Now_() - Ended.StartedAt_;
  Speed_.recordRun(RunTime, Ended.Expected_);
  if (!Options_.LookAhead_)
    return;
  PredictionError_.record(Ended.Predicted_, RunTime);
  Hooks_.OnEndMissed_(std::chrono::abs(RunTime - Ended.Predicted_));
}

void RunAgent::tick() {
  const TimePoint Now = Hooks_.Now_();
  Speed_.decay(Now);
  Candidates_.tick();
  if (!Tracker_.minion())
    return;
  if (const auto Lapsed = Tracker_.expire(Now); !Lapsed.empty()) {
    Hooks_.Log_("minion", "leases_lapsed",
                "runs=" + std::to_string(Lapsed.size()));
    onRunsEnded(Lapsed);
  }
  if (MinionLeaving_ && !Reachable_ && Tracker_.runCount() == 0)
    return removeMinion();
  stopUnproductive();
  evictBeforeDeparture();
  if (Now - LastPollAt_ >= Options_.PollPeriod_)
    pollMinion(true);
  advance();
}

std::vector<request::ExpectedEnd> RunAgent::expectedEnds() const {
  const TimePoint Now = Hooks_.Now_();
  std::vector<request::ExpectedEnd> Ends;
  for (const auto &[Key, Active] : Runs_)
    Ends.push_back(
        {Now + Speed_.remainingTime(Now - Active.StartedAt_, Active.progress()),
         Active.Needs_.CpuMillicores_});
  return Ends;
}

std::vector<request::CapacityRelease> RunAgent::expectedReleases() const {
  const TimePoint Now = Hooks_.Now_();
  std::vector<request::CapacityRelease> Result;
  Result.reserve(Runs_.size());
  for (const auto &[Key, Active] : Runs_)
    Result.push_back(
        {Speed_.remainingTime(Now - Active.StartedAt_, Active.progress()),
         Active.Needs_});
  return Result;
}

bool RunAgent::mayOvertake(const request::WaitingRun &Blocked,
                           const request::WaitingRun &Next,
                           std::optional<request::GapChoice::Gap> &Left) {
  // The run waits for something else than capacity.
  if (Blocked.Needs_.fitsIn(Tracker_.free()))
    return true;
  const auto Candidate = [this](const request::WaitingRun &Run) {
    const Duration RunTime = Speed_.runTime(Run.Expected_);
    return request::GapCandidate{Run, RunTime,
                                 PredictionError_.margin(RunTime)};
  };
  if (!Left)
    Left = Gaps_.reserve(
        Candidate(Blocked),
        request::CapacityTimeline(Tracker_.free(), expectedReleases()),
        Hooks_.Now_());
  return Gaps_.fill(*Left, Candidate(Next));
}

Duration RunAgent::expectedWait(const request::WaitingRun &Waiting) const {
  const TimePoint Now = Hooks_.Now_();
  return request::forecastWait(expectedEnds(), Queue_,
                               Tracker_.free().CpuMillicores_,
                               Waiting.Needs_.CpuMillicores_, Speed_.slowness(),
                               Now, Waiting.LatestOnTimeStart_ - Now);
}

request::AgentReport RunAgent::report() {
  request::AgentReport Result;
  Result.Accepting_ = accepting();
  const auto &Minion = Tracker_.minion();
  if (!Minion)
    return Result;
  Result.Service_ = Minion->Service_;
  Result.Labels_ = Minion->Labels_;
  Result.Capacity_ = Minion->Capacity_;
  Result.Free_ = Tracker_.free();
  Result.Slowness_ = Speed_.slowness();
  const TimePoint Now = Hooks_.Now_();
  Queue_.forEach([&](const request::WaitingRun &Waiting) {
    Result.Free_ -= Waiting.Needs_;
  });
  Result.Waits_ = request::forecastWaits(expectedEnds(), Queue_,
                                         Tracker_.free().CpuMillicores_,
                                         AverageCpu_, Speed_.slowness(), Now);
  if (Options_.LookAhead_)
    Result.Profile_ = request::forecastProfile(
        expectedReleases(), Queue_, Tracker_.free(), Speed_.slowness(), Now);
  return Result;
}

} // namespace wigeonwall::process::dispatch
