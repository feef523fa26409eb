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
    : Options_(Options), Hooks_(std::move(Hooks)), FencingToken_(FencingToken),
      Gate_(Options.Gate_), Health_(Hooks_.Now_) {}

std::string RunAgent::whyNotAccepting(const std::string &Service) const {
  if (!Gate_.minion())
    return "no_minion";
  if (Gate_.minion()->Service_ != Service)
    return "other_service";
  if (Gate_.draining())
    return "draining";
  if (Leaving_)
    return "agent_leaving";
  return Reachable_ ? "unhealthy" : "unreachable";
}

void RunAgent::onMinionReport(const request::MinionReport &Report) {
  const TimePoint Now = Hooks_.Now_();
  const bool WasDraining = Gate_.draining();
  const auto Before = Gate_.minion();
  const auto Gone = Gate_.onReport(Report, Now);
  const auto &Current = Gate_.minion();
  if (!Before || Before->Incarnation_ != Current->Incarnation_) {
    ++LifeCount_;
    LookWaits_ = LookAtOnce_ = false;
    ListedClockMs_ = 0;
    MissedLooks_ = 0;
    Reachable_ = true;
    Health_ = request::HealthTracker(Hooks_.Now_);
    Speed_.reset();
    Hooks_.Log_(
        Current->Incarnation_.Id_, "minion_adopted",
        "born_ms=" + std::to_string(Current->Incarnation_.StartedAtMs_) +
            " address=" + Current->Address_ +
            " cpu=" + std::to_string(Current->Capacity_.CpuMillicores_));
  }
  settle(Gone);
  if (!WasDraining && Gate_.draining()) {
    Hooks_.Log_(Current->Incarnation_.Id_, "minion_draining",
                "runs=" + std::to_string(Runs_.size()));
    declineAll(Queue_.takeAll(), "draining");
    Hooks_.StateChanged_();
  }
  pump();
}

void RunAgent::onMinionGone(const request::MinionIncarnation &Life) {
  const auto Gone = Gate_.onDeparture(Life);
  if (Gate_.minion())
    return;
  ++LifeCount_;
  Hooks_.Log_(Life.Id_, "minion_gone", "runs=" + std::to_string(Gone.size()));
  settle(Gone);
  declineAll(Queue_.takeAll(), "minion_gone");
  Hooks_.StateChanged_();
}

bool RunAgent::accepting() {
  return !Leaving_ && Reachable_ && Gate_.ready() && !Gate_.draining() &&
         Health_.canStart();
}

void RunAgent::onOrder(const std::string &Owner, const RunOrder &Order) {
  const TimePoint Now = Hooks_.Now_();
  const auto &Minion = Gate_.minion();
  const bool RightService = Minion && Minion->Service_ == Order.Service_;
  TypicalCpu_ = TypicalCpu_ == 0
                    ? Order.Needs_.CpuMillicores_
                    : (3 * TypicalCpu_ + Order.Needs_.CpuMillicores_) / 4;
  const Duration Pace = Speed_.runTime(Order.Expected_);
  const auto Payload = std::make_shared<const std::string>(Order.Payload_);
  for (const OrderedTask &Task : Order.Tasks_) {
    request::WaitingRun Waiting;
    Waiting.Owner_ = Owner;
    Waiting.Job_ = Order.Job_;
    Waiting.Index_ = Task.Index_;
    Waiting.Task_ = taskName(Order.Job_, Task.Index_);
    Waiting.Payload_ = Payload;
    Waiting.MinNumber_ = Task.Number_;
    Waiting.Needs_ = Order.Needs_;
    Waiting.Expected_ = Order.Expected_;
    Waiting.LatestOnTimeStart_ = Now + Order.OnTimeIn_ - Pace;
    Waiting.MayMove_ = Order.MayMove_;
    Waiting.LatestUsefulStart_ = Now + Order.UsefulIn_ - Pace;
    if (!RightService || !accepting())
      decline(Waiting, whyNotAccepting(Order.Service_));
    else if (Order.MayMove_ && expectedWait(Waiting) > Order.Patience_)
      decline(Waiting, "no_room");
    else
      Queue_.add(std::move(Waiting));
  }
  pump();
}

void RunAgent::decline(const request::WaitingRun &Waiting,
                       const std::string &Why) {
  Hooks_.Log_(Waiting.Task_, "declined", "cause=" + Why);
  RunOutcome Outcome;
  Outcome.Job_ = Waiting.Job_;
  Outcome.Index_ = Waiting.Index_;
  Outcome.End_ = RunEnd::NeverRan;
  Outcome.Reason_ = Why;
  Hooks_.SendOutcome_(Waiting.Owner_, Outcome);
}

void RunAgent::declineAll(std::vector<request::WaitingRun> Waiting,
                          const std::string &Why) {
  for (const request::WaitingRun &Each : Waiting)
    decline(Each, Why);
}

void RunAgent::stop(const RunKey &Key, Run &Which, const std::string &Why) {
  if (!Which.StopReason_.empty())
    return;
  Which.StopReason_ = Why;
  Gate_.requestStop(Key);
}

void RunAgent::onCancel(const std::string &Owner, const std::string &Job) {
  declineAll(Queue_.takeOwned(Owner, Job), "cancelled");
  for (auto &[Key, Which] : Runs_)
    if (Which.Owner_ == Owner && Which.Job_ == Job)
      stop(Key, Which, "cancelled");
  pump();
}

void RunAgent::onOwnerGone(const std::string &Owner) {
  const auto Waiting = Queue_.takeOwned(Owner, "");
  std::size_t Stopped = 0;
  for (auto &[Key, Which] : Runs_) {
    if (Which.Owner_ != Owner)
      continue;
    stop(Key, Which, "owner_gone");
    ++Stopped;
  }
  Hooks_.Log_(Owner, "owner_gone",
              "queued=" + std::to_string(Waiting.size()) +
                  " running=" + std::to_string(Stopped));
  pump();
}

void RunAgent::beginLeaving() {
  Leaving_ = true;
  declineAll(Queue_.takeAll(), "agent_leaving");
  Hooks_.StateChanged_();
}

void RunAgent::pump() {
  const TimePoint Now = Hooks_.Now_();
  declineAll(Queue_.takeExpired(Now), "no_time_left");
  const auto Fits = [this](const request::WaitingRun &Waiting) {
    return Gate_.canStart(Waiting.Needs_) && Health_.canStart() &&
           !Gate_.hasRunOf(Waiting.Task_);
  };
  while (Reachable_ && !Leaving_) {
    auto Next = Queue_.takeNext(Now, Fits);
    if (!Next)
      break;
    startNext(std::move(*Next));
  }
  sendStops();
  look(false);
  Hooks_.StateChanged_();
}

void RunAgent::startNext(request::WaitingRun Waiting) {
  const TimePoint Now = Hooks_.Now_();
  const RunKey Key =
      Gate_.begin(Waiting.Task_, Waiting.MinNumber_, Waiting.Needs_, Now);
  Run Started;
  Started.Owner_ = Waiting.Owner_;
  Started.Job_ = Waiting.Job_;
  Started.Index_ = Waiting.Index_;
  Started.Needs_ = Waiting.Needs_;
  Started.Expected_ = Waiting.Expected_;
  Started.Began_ = Started.ProgressAt_ = Now;
  Started.UsefulBy_ = Waiting.LatestUsefulStart_ + Waiting.Expected_;
  Started.Health_ = Health_.begin();
  Runs_[Key] = Started;
  StartCall Call;
  Call.Key_ = Key;
  Call.Payload_ = Waiting.Payload_;
  Call.LeaseEndMs_ = Gate_.grantLease(Now);
  Call.FencingToken_ = FencingToken_;
  const Duration Spare = Waiting.LatestOnTimeStart_ - Now;
  Hooks_.Log_(Key.Task_, "start",
              "run=" + std::to_string(Key.Number_) + " free_cpu=" +
                  std::to_string(Gate_.free().CpuMillicores_) + " slack_ms=" +
                  std::to_string(request::toMilliseconds(Spare)));
  Hooks_.Minion_.Start_(*Gate_.minion(), Call,
                        [this, Key, Life = LifeCount_](
                            StartReply Reply, const std::string &Detail) {
                          if (Life == LifeCount_)
                            onStartReply(Key, Reply, Detail);
                        });
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
    MissedLooks_ = 0;
  if (Reply == StartReply::Fenced)
    raiseToken();
  if (const auto Settled = Gate_.onStartReply(Key, Reply, Hooks_.Now_()))
    settle(*Settled);
  if (Reply == StartReply::Unknown)
    look(true);
  pump();
}

void RunAgent::raiseToken() {
  FencingToken_ += TokenStep_;
  TokenStep_ *= 2;
  Hooks_.Log_("minion", "fenced",
              "next_token=" + std::to_string(FencingToken_));
}

void RunAgent::sendStops() {
  const TimePoint Now = Hooks_.Now_();
  if (!Gate_.minion())
    return;
  for (const RunKey &Key : Gate_.stopsDue(Now)) {
    const auto Known = Runs_.find(Key);
    Hooks_.Log_(Key.Task_, "stop",
                "run=" + std::to_string(Key.Number_) + " cause=" +
                    (Known == Runs_.end() ? "earlier_agent"
                     : Known->second.StopReason_.empty()
                         ? "unanswered_start"
                         : Known->second.StopReason_));
    Hooks_.Minion_.Stop_(*Gate_.minion(), Key, FencingToken_,
                         [this, Key, Life = LifeCount_](bool Acknowledged) {
                           if (Life != LifeCount_ || !Acknowledged)
                             return;
                           Gate_.onStopAcknowledged(Key, Hooks_.Now_());
                           if (Gate_.hasUnconfirmedStart())
                             look(true);
                         });
  }
}

void RunAgent::look(bool AtOnce) {
  const bool Needed =
      Gate_.needsListing() || (Gate_.minion() && MissedLooks_ > 0);
  if (!Needed || (AtOnce ? LookAtOnce_ : LookWaits_))
    return;
  (AtOnce ? LookAtOnce_ : LookWaits_) = true;
  const TimePoint Now = Hooks_.Now_();
  LookedAt_ = Now;
  HoldCall Call;
  // A minion that does not reply might renew all the same, and the end of the
  // leases would never be known.
  if (MissedLooks_ < Options_.MaxMissedLooks_)
    Call.LeaseEndMs_ = Gate_.grantLease(Now);
  Call.FencingToken_ = FencingToken_;
  Call.Observed_ = Gate_.lastObservedEnd();
  // Without runs there is no end to wait for.
  const bool Waits = !AtOnce && Gate_.ready() && Gate_.runCount() > 0;
  Call.Wait_ = Waits ? Options_.HoldWait_ : std::chrono::milliseconds(0);
  Hooks_.Minion_.Hold_(*Gate_.minion(), Call,
                       [this, Now, AtOnce, Life = LifeCount_](HoldReply Reply) {
                         if (Life == LifeCount_)
                           onHoldReply(std::move(Reply), Now, AtOnce);
                       });
}

void RunAgent::onHoldReply(HoldReply Reply, TimePoint AskedAt, bool AtOnce) {
  (AtOnce ? LookAtOnce_ : LookWaits_) = false;
  if (Reply.Fenced_)
    raiseToken();
  if (!Reply.Listing_) {
    onMissedLook(Reply.Detail_);
    return;
  }
  MissedLooks_ = 0;
  if (!Reachable_) {
    Reachable_ = true;
    Hooks_.Log_("minion", "reachable", "");
  }
  // An older listing says nothing that a newer one has not said.
  if (Reply.Listing_->MinionClockMs_ >= ListedClockMs_) {
    ListedClockMs_ = Reply.Listing_->MinionClockMs_;
    const auto Settled =
        Gate_.onListing(*Reply.Listing_, AskedAt, Hooks_.Now_());
    settle(Settled);
    noteProgress(*Reply.Listing_);
  }
  pump();
}

void RunAgent::onMissedLook(const std::string &Detail) {
  if (++MissedLooks_ >= Options_.MaxMissedLooks_ && Reachable_) {
    Reachable_ = false;
    Hooks_.Log_("minion", "unreachable",
                "detail=\"" + Detail +
                    "\" runs=" + std::to_string(Runs_.size()));
    declineAll(Queue_.takeAll(), "unreachable");
    Hooks_.StateChanged_();
  }
  // The next look follows from tick(), so that refusals do not spin.
}

void RunAgent::noteProgress(const request::RunListing &Listing) {
  const TimePoint Now = Hooks_.Now_();
  for (const request::RunningRow &Row : Listing.Running_) {
    const auto Found = Runs_.find(Row.Key_);
    if (Found == Runs_.end() || Row.Percent_ <= Found->second.Percent_)
      continue;
    Found->second.Percent_ = Row.Percent_;
    Found->second.ProgressAt_ = Now;
  }
  std::vector<request::RunProgress> Progress;
  for (const auto &[Key, Which] : Runs_)
    Progress.push_back(Which.progress());
  Speed_.recordProgress(Progress);
}

void RunAgent::stopUseless() {
  const TimePoint Now = Hooks_.Now_();
  for (auto &[Key, Which] : Runs_) {
    const auto Patience = std::max(
        Options_.StuckAfter_, std::chrono::duration_cast<Duration>(
                                  Which.Expected_ * Options_.StuckFactor_));
    if (Now > Which.UsefulBy_)
      stop(Key, Which, "caller_timeout");
    else if (Speed_.isTooSlow(Which.progress(), Options_.TooSlowFactor_))
      stop(Key, Which, "too_slow");
    else if (Which.Percent_ < 100 && Now - Which.ProgressAt_ > Patience)
      stop(Key, Which, "no_progress");
  }
}

void RunAgent::settle(const std::vector<request::EndedRun> &Settled) {
  for (const request::EndedRun &Each : Settled)
    settle(Each);
}

void RunAgent::settle(const request::EndedRun &Settled) {
  const auto Found = Runs_.find(Settled.Key_);
  if (Found == Runs_.end())
    return;
  const Run Ended = Found->second;
  Runs_.erase(Found);
  learn(Ended, Settled.End_);
  Hooks_.Log_(
      Settled.Key_.Task_, "ended",
      "run=" + std::to_string(Settled.Key_.Number_) + " end=" +
          std::string(request::findName(request::RunEndNames, Settled.End_)) +
          " ran_ms=" +
          std::to_string(
              request::toMilliseconds(Hooks_.Now_() - Ended.Began_)));
  Hooks_.OnEnded_(Settled.End_, Hooks_.Now_() - Ended.Began_);
  if (Ended.StopReason_ == "owner_gone")
    return;
  RunOutcome Outcome;
  Outcome.Job_ = Ended.Job_;
  Outcome.Index_ = Ended.Index_;
  Outcome.End_ = Settled.End_;
  Outcome.Number_ = Settled.Key_.Number_;
  Outcome.Reason_ = Ended.StopReason_;
  Hooks_.SendOutcome_(Ended.Owner_, Outcome);
}

void RunAgent::learn(const Run &Ended, RunEnd End) {
  const bool StoodStill = Ended.StopReason_ == "no_progress";
  if (End == RunEnd::Done)
    Health_.record(Ended.Health_, request::MinionOutcome::Success);
  else if (End == RunEnd::Failed || StoodStill)
    Health_.record(Ended.Health_, request::MinionOutcome::ServerError);
  else
    Health_.abandon(Ended.Health_);
  if (End == RunEnd::Done)
    Speed_.recordRun(Hooks_.Now_() - Ended.Began_, Ended.Expected_);
}

void RunAgent::tick() {
  const TimePoint Now = Hooks_.Now_();
  Speed_.decay(Now);
  if (!Gate_.minion())
    return;
  if (const auto Lapsed = Gate_.expire(Now); !Lapsed.empty()) {
    Hooks_.Log_("minion", "leases_lapsed",
                "runs=" + std::to_string(Lapsed.size()));
    settle(Lapsed);
  }
  stopUseless();
  if (Now - LookedAt_ >= Options_.LookPeriod_)
    look(true);
  pump();
}

std::vector<request::ExpectedEnd> RunAgent::expectedEnds() const {
  const TimePoint Now = Hooks_.Now_();
  std::vector<request::ExpectedEnd> Ends;
  for (const auto &[Key, Which] : Runs_)
    Ends.push_back(
        {Now + Speed_.remainingTime(Now - Which.Began_, Which.progress()),
         Which.Needs_.CpuMillicores_});
  return Ends;
}

Duration RunAgent::expectedWait(const request::WaitingRun &Waiting) const {
  const TimePoint Now = Hooks_.Now_();
  return request::forecastWait(expectedEnds(), Queue_,
                               Gate_.free().CpuMillicores_,
                               Waiting.Needs_.CpuMillicores_, Speed_.slowness(),
                               Now, Waiting.LatestOnTimeStart_ - Now);
}

request::AgentReport RunAgent::report() {
  request::AgentReport Result;
  Result.Accepting_ = accepting();
  const auto &Minion = Gate_.minion();
  if (!Minion)
    return Result;
  Result.Service_ = Minion->Service_;
  Result.Labels_ = Minion->Labels_;
  Result.Capacity_ = Minion->Capacity_;
  Result.Free_ = Gate_.free();
  Result.Slowness_ = Speed_.slowness();
  const TimePoint Now = Hooks_.Now_();
  Queue_.forEach([&](const request::WaitingRun &Waiting) {
    Result.Free_ -= Waiting.Needs_;
  });
  Result.Waits_ = request::forecastWaits(expectedEnds(), Queue_,
                                         Gate_.free().CpuMillicores_,
                                         TypicalCpu_, Speed_.slowness(), Now);
  return Result;
}

} // namespace wigeonwall::process::dispatch
