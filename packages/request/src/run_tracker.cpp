#include "wigeonwall/request/run_tracker.h"

#include <algorithm>

namespace wigeonwall::request {

namespace {

/// Tasks whose highest number is remembered; a resubmission arrives within
/// seconds, and a minion starts fewer than 1,000 tasks a second.
constexpr std::size_t MaxRememberedNumbers = 4'000;

/// Covers the delay between reading the clock and sending an order.
constexpr Duration LeaseMargin = std::chrono::milliseconds(20);

/// A minion returns at most this many ends in one listing.
constexpr std::size_t MaxListedEnds = 500;

} // namespace

std::vector<EndedRun> RunTracker::onReport(const MinionReport &Report,
                                           TimePoint Now) {
  std::vector<EndedRun> Settled;
  if (Minion_ && Minion_->Incarnation_ != Report.Incarnation_) {
    if (Report.Incarnation_.StartedAtMs_ < Minion_->Incarnation_.StartedAtMs_)
      return Settled;
    Settled =
        replaceLife(Report.Incarnation_.Id_ == Minion_->Incarnation_.Id_, Now);
  } else if (Minion_ && Report.Sequence_ <= Minion_->Sequence_) {
    return Settled;
  }
  const bool FirstOfLife = !Minion_;
  Minion_ = Report;
  if (FirstOfLife)
    ClockMs_ = 0;
  noteClock(Report.ClockMs_, Now);
  return Settled;
}

std::vector<EndedRun> RunTracker::replaceLife(bool SameId, TimePoint Now) {
  std::map<RunKey, Run> Kept;
  if (SameId)
    std::erase_if(Runs_, [&Kept, Now](const auto &Each) {
      if (Each.second.Listed_)
        return false;
      Run Doubtful;
      Doubtful.Needs_ = Each.second.Needs_;
      Doubtful.Began_ = Each.second.Began_;
      Doubtful.Phase_ = Phase::Unsettled;
      Doubtful.DoubtedAt_ = Now;
      Doubtful.MayHaveRun_ = true;
      Kept.emplace(Each.first, Doubtful);
      return true;
    });
  std::vector<EndedRun> Settled = onDeparture(Minion_->Incarnation_);
  Used_ = {};
  for (const auto &[Key, Which] : Kept) {
    Used_ += Which.Needs_;
    rememberNumber(Key);
  }
  Runs_ = std::move(Kept);
  return Settled;
}

std::vector<EndedRun> RunTracker::onDeparture(const MinionIncarnation &Life) {
  if (!Minion_ || Minion_->Incarnation_ != Life)
    return {};
  std::vector<EndedRun> Settled = settleAll(RunEnd::Lost);
  Minion_.reset();
  Strays_.clear();
  Listed_ = false;
  AcknowledgementDue_ = false;
  Observed_ = 0;
  ClockMs_ = 0;
  Numbers_.clear();
  NumberOrder_.clear();
  return Settled;
}

bool RunTracker::hasRunOf(const std::string &Task) const {
  const auto Next = Runs_.lower_bound({Task, 0});
  return Next != Runs_.end() && Next->first.Task_ == Task;
}

RunKey RunTracker::begin(const std::string &Task, std::int64_t LeastNumber,
                         const Resources &Needs, TimePoint Now) {
  RunKey Key{Task, LeastNumber};
  if (const auto Known = Numbers_.find(Task); Known != Numbers_.end())
    Key.Number_ = std::max(Key.Number_, Known->second + 1);
  rememberNumber(Key);
  Run Started;
  Started.Needs_ = Needs;
  Started.Began_ = Now;
  Used_ += Needs;
  Runs_.emplace(Key, Started);
  return Key;
}

void RunTracker::rememberNumber(const RunKey &Key) {
  const auto [Slot, Inserted] = Numbers_.try_emplace(Key.Task_, Key.Number_);
  Slot->second = std::max(Slot->second, Key.Number_);
  if (!Inserted)
    return;
  NumberOrder_.push_back(Key.Task_);
  if (NumberOrder_.size() <= MaxRememberedNumbers)
    return;
  Numbers_.erase(NumberOrder_.front());
  NumberOrder_.pop_front();
}

std::optional<EndedRun>
RunTracker::onStartReply(const RunKey &Key, StartReply Reply, TimePoint Now) {
  const auto Found = Runs_.find(Key);
  if (Found == Runs_.end())
    return std::nullopt;
  switch (Reply) {
  case StartReply::Started:
    if (Found->second.Phase_ != Phase::Running) {
      Found->second.Phase_ = Phase::Running;
      Found->second.ConfirmedAt_ = Now;
    }
    return std::nullopt;
  case StartReply::Unknown:
    if (Found->second.Phase_ == Phase::Ordered) {
      Found->second.Phase_ = Phase::Unsettled;
      Found->second.DoubtedAt_ = Now;
    }
    return std::nullopt;
  default:
    return settle(Found, RunEnd::NeverRan);
  }
}

void RunTracker::requestStop(const RunKey &Key) {
  if (const auto Found = Runs_.find(Key); Found != Runs_.end())
    Found->second.StopWanted_ = true;
}

void RunTracker::onStopAcknowledged(const RunKey &Key, TimePoint Now) {
  const auto Found = Runs_.find(Key);
  if (Found != Runs_.end() && !Found->second.StopAcknowledgedAt_)
    Found->second.StopAcknowledgedAt_ = Now;
}

std::vector<RunKey> RunTracker::stopsDue(TimePoint Now) {
  std::vector<RunKey> Due;
  for (auto &[Key, Each] : Runs_) {
    if (!Each.StopWanted_)
      continue;
    if (Each.StopSentAt_ && Now - *Each.StopSentAt_ < Options_.StopRetry_)
      continue;
    Each.StopSentAt_ = Now;
    Due.push_back(Key);
  }
  for (auto &[Key, SentAt] : Strays_) {
    if (SentAt && Now - *SentAt < Options_.StopRetry_)
      continue;
    SentAt = Now;
    Due.push_back(Key);
  }
  return Due;
}

std::vector<EndedRun> RunTracker::onListing(const RunListing &Listing,
                                            TimePoint AskedAt, TimePoint Now) {
  std::vector<EndedRun> Settled;
  noteClock(Listing.MinionClockMs_, Now);
  Listed_ = true;
  // The minion drops what is acknowledged, so each listed end is still due.
  AcknowledgementDue_ = !Listing.Ended_.empty();
  for (const EndedRow &Row : Listing.Ended_) {
    Observed_ = std::max(Observed_, Row.Position_);
    rememberNumber(Row.Key_);
    if (const auto Found = Runs_.find(Row.Key_); Found != Runs_.end())
      Settled.push_back(settle(Found, Row.End_));
  }
  noteRunning(Listing, Now);
  // A full page of ends may lack the end of a run that is absent.
  if (Listing.Ended_.size() < MaxListedEnds)
    settleAbsent(Listing, AskedAt, Settled);
  return Settled;
}

void RunTracker::noteRunning(const RunListing &Listing, TimePoint Now) {
  std::map<RunKey, std::optional<TimePoint>> Strays;
  for (const RunningRow &Row : Listing.Running_) {
    rememberNumber(Row.Key_);
    const auto Found = Runs_.find(Row.Key_);
    if (Found == Runs_.end()) {
      const auto Known = Strays_.find(Row.Key_);
      Strays[Row.Key_] = Known == Strays_.end() ? std::nullopt : Known->second;
      continue;
    }
    Found->second.Listed_ = true;
    if (Found->second.Phase_ != Phase::Running) {
      Found->second.Phase_ = Phase::Running;
      Found->second.ConfirmedAt_ = Now;
    }
  }
  Strays_ = std::move(Strays);
}

void RunTracker::settleAbsent(const RunListing &Listing, TimePoint AskedAt,
                              std::vector<EndedRun> &Settled) {
  std::set<RunKey> Present;
  for (const RunningRow &Row : Listing.Running_)
    Present.insert(Row.Key_);
  for (auto Each = Runs_.begin(); Each != Runs_.end();) {
    const auto Current = Each++;
    if (Present.count(Current->first) != 0)
      continue;
    Run &Which = Current->second;
    const bool StopWasFirst =
        Which.StopAcknowledgedAt_ && *Which.StopAcknowledgedAt_ <= AskedAt;
    if (Which.Phase_ == Phase::Running && Which.ConfirmedAt_ <= AskedAt)
      Settled.push_back(settle(Current, RunEnd::Lost));
    else if (Which.Phase_ == Phase::Unsettled && StopWasFirst)
      Settled.push_back(
          settle(Current, Which.MayHaveRun_ ? RunEnd::Lost : RunEnd::NeverRan));
    else if (Which.Phase_ == Phase::Unsettled && Which.DoubtedAt_ <= AskedAt)
      Which.StopWanted_ = true;
  }
}

std::vector<EndedRun> RunTracker::expire(TimePoint Now) {
  if (Now <= LeaseBound_)
    return {};
  return settleAll(RunEnd::Lapsed);
}

EndedRun RunTracker::settle(std::map<RunKey, Run>::iterator Which, RunEnd End) {
  const EndedRun Result{Which->first, End, Which->second.Began_};
  Used_ -= Which->second.Needs_;
  Runs_.erase(Which);
  return Result;
}

std::vector<EndedRun> RunTracker::settleAll(RunEnd End) {
  std::vector<EndedRun> Settled;
  while (!Runs_.empty())
    Settled.push_back(settle(Runs_.begin(), End));
  return Settled;
}

std::int64_t RunTracker::grantLease(TimePoint Now) {
  const auto Bound = Now + LeaseMargin +
                     std::chrono::duration_cast<Duration>(Options_.MaxLease_ *
                                                          Options_.ClockSlack_);
  LeaseBound_ = std::max(LeaseBound_, Bound);
  return minionClock(Now) +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             Options_.MaxLease_)
             .count();
}

std::int64_t RunTracker::minionClock(TimePoint Now) const {
  const auto Passed = std::chrono::duration_cast<std::chrono::milliseconds>(
      Duration(static_cast<Duration::rep>(
          static_cast<double>((Now - ClockReadAt_).count()) /
          Options_.ClockSlack_)));
  return ClockMs_ + Passed.count();
}

void RunTracker::noteClock(std::int64_t MinionClockMs, TimePoint Now) {
  if (ClockMs_ != 0 && MinionClockMs <= minionClock(Now))
    return;
  ClockMs_ = MinionClockMs;
  ClockReadAt_ = Now;
}

bool RunTracker::needsListing() const noexcept {
  return Minion_ && (!Listed_ || AcknowledgementDue_ || !Runs_.empty() ||
                     !Strays_.empty());
}

bool RunTracker::hasUnconfirmedStart() const noexcept {
  return std::any_of(Runs_.begin(), Runs_.end(), [](const auto &Each) {
    return Each.second.Phase_ == Phase::Unsettled;
  });
}

} // namespace wigeonwall::request
