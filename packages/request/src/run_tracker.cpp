#include "wigeonwall/request/run_tracker.h"

#include <algorithm>

namespace wigeonwall::request {

namespace {

/// Number of tasks whose highest run number is kept. A resubmission arrives
/// within seconds, and a minion starts fewer than 1,000 tasks per second.
constexpr std::size_t MaxKeptNumbers = 4'000;

/// Covers the delay between reading the clock and sending a request.
constexpr Duration LeaseMargin = std::chrono::milliseconds(20);

/// Maximum number of ends that a minion returns in one listing.
constexpr std::size_t MaxListedEnds = 500;

} // namespace

std::vector<EndedRun> RunTracker::onReport(const MinionReport &Report,
                                           TimePoint Now) {
  std::vector<EndedRun> Ended;
  if (Minion_ && Minion_->Incarnation_ != Report.Incarnation_) {
    Ended = replaceIncarnation(
        Report.Incarnation_.Id_ == Minion_->Incarnation_.Id_, Now);
  } else if (Minion_ && Report.Sequence_ <= Minion_->Sequence_) {
    return Ended;
  }
  const bool FirstReport = !Minion_;
  Minion_ = Report;
  if (FirstReport)
    ClockMs_ = 0;
  updateClock(Report.ClockMs_, Now);
  return Ended;
}

std::vector<EndedRun> RunTracker::replaceIncarnation(bool SameId,
                                                     TimePoint Now) {
  std::map<RunKey, Run> Retained;
  if (SameId)
    std::erase_if(Runs_, [&Retained, Now](const auto &Entry) {
      if (Entry.second.Listed_)
        return false;
      Run Pending;
      Pending.Needs_ = Entry.second.Needs_;
      Pending.Began_ = Entry.second.Began_;
      Pending.Phase_ = Phase::Unconfirmed;
      Pending.UnansweredAt_ = Now;
      Pending.MayHaveRun_ = true;
      Retained.emplace(Entry.first, Pending);
      return true;
    });
  std::vector<EndedRun> Ended = onDeparture(Minion_->Incarnation_);
  Used_ = {};
  for (const auto &[Key, Unlisted] : Retained) {
    Used_ += Unlisted.Needs_;
    recordNumber(Key);
  }
  Runs_ = std::move(Retained);
  return Ended;
}

void RunTracker::onDepartureAnnounced() {
  if (Minion_)
    Minion_->Draining_ = true;
}

std::vector<EndedRun>
RunTracker::onDeparture(const MinionIncarnation &Incarnation) {
  if (!Minion_ || Minion_->Incarnation_ != Incarnation)
    return {};
  std::vector<EndedRun> Ended = endAllRuns(RunEnd::Lost);
  Minion_.reset();
  OrphanRuns_.clear();
  Listed_ = false;
  AcknowledgementDue_ = false;
  Observed_ = 0;
  ClockMs_ = 0;
  ListingRequestedAt_ = {};
  Numbers_.clear();
  NumberOrder_.clear();
  return Ended;
}

bool RunTracker::hasRunOf(const std::string &Task) const {
  const auto Next = Runs_.lower_bound({Task, 0});
  return Next != Runs_.end() && Next->first.Task_ == Task;
}

RunKey RunTracker::begin(const std::string &Task, std::int64_t MinNumber,
                         const Resources &Needs, TimePoint Now) {
  RunKey Key{Task, MinNumber};
  if (const auto Known = Numbers_.find(Task); Known != Numbers_.end())
    Key.Number_ = std::max(Key.Number_, Known->second + 1);
  recordNumber(Key);
  Run Started;
  Started.Needs_ = Needs;
  Started.Began_ = Now;
  Used_ += Needs;
  Runs_.emplace(Key, Started);
  return Key;
}

void RunTracker::recordNumber(const RunKey &Key) {
  const auto [Slot, Inserted] = Numbers_.try_emplace(Key.Task_, Key.Number_);
  Slot->second = std::max(Slot->second, Key.Number_);
  if (!Inserted)
    return;
  NumberOrder_.push_back(Key.Task_);
  if (NumberOrder_.size() <= MaxKeptNumbers)
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
    if (Found->second.Phase_ == Phase::StartSent) {
      Found->second.Phase_ = Phase::Unconfirmed;
      Found->second.UnansweredAt_ = Now;
    }
    return std::nullopt;
  default:
    return endRun(Found, RunEnd::NeverRan);
  }
}

void RunTracker::requestStop(const RunKey &Key) {
  if (const auto Found = Runs_.find(Key); Found != Runs_.end())
    Found->second.StopRequested_ = true;
}

void RunTracker::onStopAcknowledged(const RunKey &Key, TimePoint Now) {
  const auto Found = Runs_.find(Key);
  if (Found != Runs_.end() && !Found->second.StopAcknowledgedAt_)
    Found->second.StopAcknowledgedAt_ = Now;
}

std::vector<RunKey> RunTracker::stopsDue(TimePoint Now) {
  std::vector<RunKey> Due;
  for (auto &[Key, Tracked] : Runs_) {
    if (!Tracked.StopRequested_)
      continue;
    if (Tracked.StopSentAt_ && Now - *Tracked.StopSentAt_ < Options_.StopRetry_)
      continue;
    Tracked.StopSentAt_ = Now;
    Due.push_back(Key);
  }
  for (auto &[Key, SentAt] : OrphanRuns_) {
    if (SentAt && Now - *SentAt < Options_.StopRetry_)
      continue;
    SentAt = Now;
    Due.push_back(Key);
  }
  return Due;
}

std::vector<EndedRun> RunTracker::onListing(const RunListing &Listing,
                                            TimePoint RequestedAt,
                                            TimePoint Now) {
  std::vector<EndedRun> Ended;
  updateClock(Listing.MinionClockMs_, Now);
  Listed_ = true;
  ListingRequestedAt_ = std::max(ListingRequestedAt_, RequestedAt);
  // The minion removes acknowledged ends from its list, so each end that is
  // listed still has to be acknowledged.
  AcknowledgementDue_ = !Listing.Ended_.empty();
  for (const EndedRow &Row : Listing.Ended_) {
    Observed_ = std::max(Observed_, Row.Position_);
    recordNumber(Row.Key_);
    if (const auto Found = Runs_.find(Row.Key_); Found != Runs_.end())
      Ended.push_back(endRun(Found, Row.End_));
  }
  recordRunning(Listing, Now);
  // A listing with the maximum number of ends may not contain the end of an
  // absent run.
  if (Listing.Ended_.size() < MaxListedEnds)
    endAbsentRuns(Listing, RequestedAt, Ended);
  return Ended;
}

void RunTracker::recordRunning(const RunListing &Listing, TimePoint Now) {
  std::map<RunKey, std::optional<TimePoint>> Orphans;
  for (const RunningRow &Row : Listing.Running_) {
    recordNumber(Row.Key_);
    const auto Found = Runs_.find(Row.Key_);
    if (Found == Runs_.end()) {
      const auto Known = OrphanRuns_.find(Row.Key_);
      Orphans[Row.Key_] =
          Known == OrphanRuns_.end() ? std::nullopt : Known->second;
      continue;
    }
    Found->second.Listed_ = true;
    if (Found->second.Phase_ != Phase::Running) {
      Found->second.Phase_ = Phase::Running;
      Found->second.ConfirmedAt_ = Now;
    }
  }
  OrphanRuns_ = std::move(Orphans);
}

void RunTracker::endAbsentRuns(const RunListing &Listing, TimePoint RequestedAt,
                               std::vector<EndedRun> &Ended) {
  std::set<RunKey> Present;
  for (const RunningRow &Row : Listing.Running_)
    Present.insert(Row.Key_);
  for (auto Next = Runs_.begin(); Next != Runs_.end();) {
    const auto Current = Next++;
    if (Present.count(Current->first) != 0)
      continue;
    Run &Absent = Current->second;
    const bool StoppedBefore = Absent.StopAcknowledgedAt_ &&
                               *Absent.StopAcknowledgedAt_ <= RequestedAt;
    if (Absent.Phase_ == Phase::Running && Absent.ConfirmedAt_ <= RequestedAt)
      Ended.push_back(endRun(Current, RunEnd::Lost));
    else if (Absent.Phase_ == Phase::Unconfirmed && StoppedBefore)
      Ended.push_back(endRun(Current, Absent.MayHaveRun_ ? RunEnd::Lost
                                                         : RunEnd::NeverRan));
    else if (Absent.Phase_ == Phase::Unconfirmed &&
             Absent.UnansweredAt_ <= RequestedAt)
      Absent.StopRequested_ = true;
  }
}

std::vector<EndedRun> RunTracker::expire(TimePoint Now) {
  std::vector<EndedRun> Ended;
  if (Now <= LastLeaseEnd_)
    return Ended;
  for (auto Next = Runs_.begin(); Next != Runs_.end();) {
    const auto Current = Next++;
    const Run &Lapsing = Current->second;
    if (Lapsing.Listed_ || Lapsing.Began_ <= ListingRequestedAt_ ||
        Now > Lapsing.Began_ + Options_.LateStartTime_)
      Ended.push_back(endRun(Current, RunEnd::Lapsed));
  }
  return Ended;
}

void RunTracker::assumeLease(TimePoint Now) {
  recordLease(Now, Options_.MaxLease_);
}

void RunTracker::recordLease(TimePoint Now, Duration Lease) {
  const auto LeaseEnd =
      Now + LeaseMargin +
      std::chrono::duration_cast<Duration>(Lease * Options_.ClockDriftFactor_);
  LastLeaseEnd_ = std::max(LastLeaseEnd_, LeaseEnd);
  LastLeaseLimit_ = std::max(LastLeaseLimit_, Now + Lease);
}

EndedRun RunTracker::endRun(std::map<RunKey, Run>::iterator Position,
                            RunEnd End) {
  const EndedRun Result{Position->first, End, Position->second.Began_};
  Used_ -= Position->second.Needs_;
  Runs_.erase(Position);
  return Result;
}

std::vector<EndedRun> RunTracker::endAllRuns(RunEnd End) {
  std::vector<EndedRun> Ended;
  while (!Runs_.empty())
    Ended.push_back(endRun(Runs_.begin(), End));
  return Ended;
}

std::int64_t RunTracker::grantLease(TimePoint Now, TimePoint Limit) {
  const Duration Lease = std::min(Options_.RoutineLease_, Limit - Now);
  recordLease(Now, Lease);
  return minionClock(Now) + toMilliseconds(Lease);
}

std::int64_t RunTracker::minionClock(TimePoint Now) const {
  const auto Passed = std::chrono::duration_cast<std::chrono::milliseconds>(
      Duration(static_cast<Duration::rep>(
          static_cast<double>((Now - ClockReadAt_).count()) /
          Options_.ClockDriftFactor_)));
  return ClockMs_ + Passed.count();
}

void RunTracker::updateClock(std::int64_t MinionClockMs, TimePoint Now) {
  if (ClockMs_ != 0 && MinionClockMs <= minionClock(Now))
    return;
  ClockMs_ = MinionClockMs;
  ClockReadAt_ = Now;
}

bool RunTracker::needsListing() const noexcept {
  return Minion_ && (!Listed_ || AcknowledgementDue_ || !Runs_.empty() ||
                     !OrphanRuns_.empty());
}

bool RunTracker::hasUnconfirmedStart() const noexcept {
  return std::any_of(Runs_.begin(), Runs_.end(), [](const auto &Entry) {
    return Entry.second.Phase_ == Phase::Unconfirmed;
  });
}

} // namespace wigeonwall::request
