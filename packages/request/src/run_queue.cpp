#include "wigeonwall/request/run_queue.h"

#include <algorithm>

namespace wigeonwall::request {

namespace {

/// Number of smaller runs that may overtake one that does not fit. Tasks of one
/// service differ little in size, so there is room for the largest after a few
/// runs have ended.
constexpr int MaxTimesOvertaken = 4;

} // namespace

void RunQueue::add(WaitingRun Run) {
  const auto Position =
      std::upper_bound(Waiting_.begin(), Waiting_.end(), Run.LatestOnTimeStart_,
                       [](TimePoint Latest, const Entry &Other) {
                         return Latest < Other.Run_.LatestOnTimeStart_;
                       });
  Waiting_.insert(Position, Entry{std::move(Run)});
}

std::list<RunQueue::Entry>::iterator
RunQueue::nextFitting(TimePoint Now, bool OnTime,
                      const std::function<bool(const WaitingRun &)> &Fits,
                      const OvertakingRule &MayOvertake) {
  std::vector<Entry *> Overtaken;
  for (auto Current = Waiting_.begin(); Current != Waiting_.end(); ++Current) {
    if ((Current->Run_.LatestOnTimeStart_ >= Now) != OnTime)
      continue;
    if (Fits(Current->Run_)) {
      if (MayOvertake && !Overtaken.empty() &&
          !MayOvertake(Overtaken.front()->Run_, Current->Run_))
        continue;
      for (Entry *Other : Overtaken)
        ++Other->TimesOvertaken_;
      return Current;
    }
    if (!MayOvertake && Current->TimesOvertaken_ >= MaxTimesOvertaken)
      return Waiting_.end();
    Overtaken.push_back(&*Current);
  }
  return Waiting_.end();
}

std::optional<WaitingRun>
RunQueue::takeNext(TimePoint Now,
                   const std::function<bool(const WaitingRun &)> &Fits,
                   const OvertakingRule &MayOvertake) {
  auto Next = nextFitting(Now, true, Fits, MayOvertake);
  if (Next == Waiting_.end()) {
    const bool AnyOnTime =
        !Waiting_.empty() && Waiting_.back().Run_.LatestOnTimeStart_ >= Now;
    if (AnyOnTime)
      return std::nullopt;
    Next = nextFitting(Now, false, Fits, MayOvertake);
  }
  if (Next == Waiting_.end())
    return std::nullopt;
  WaitingRun Run = std::move(Next->Run_);
  Waiting_.erase(Next);
  return Run;
}

std::vector<WaitingRun> RunQueue::takeExpired(TimePoint Now) {
  std::vector<WaitingRun> Taken;
  for (auto Current = Waiting_.begin(); Current != Waiting_.end();) {
    if (Current->Run_.removalTime() >= Now) {
      ++Current;
      continue;
    }
    Taken.push_back(std::move(Current->Run_));
    Current = Waiting_.erase(Current);
  }
  return Taken;
}

std::vector<WaitingRun> RunQueue::takeOwned(const std::string &Owner,
                                            const std::string &Job) {
  std::vector<WaitingRun> Taken;
  for (auto Current = Waiting_.begin(); Current != Waiting_.end();) {
    if (Current->Run_.Owner_ != Owner ||
        (!Job.empty() && Current->Run_.Job_ != Job)) {
      ++Current;
      continue;
    }
    Taken.push_back(std::move(Current->Run_));
    Current = Waiting_.erase(Current);
  }
  return Taken;
}

std::vector<WaitingRun> RunQueue::takeAll() {
  std::vector<WaitingRun> Taken;
  for (Entry &Waiting : Waiting_)
    Taken.push_back(std::move(Waiting.Run_));
  Waiting_.clear();
  return Taken;
}

void RunQueue::forEach(
    const std::function<void(const WaitingRun &)> &Visit) const {
  for (const Entry &Waiting : Waiting_)
    Visit(Waiting.Run_);
}

} // namespace wigeonwall::request
