#include "wigeonwall/request/run_queue.h"

#include <algorithm>

namespace wigeonwall::request {

namespace {

/// Smaller runs that may pass one that does not fit. Tasks of one service
/// differ little in size, so room for the largest appears within a few ends.
constexpr int MaxOvertaking = 4;

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
                      const std::function<bool(const WaitingRun &)> &Fits) {
  std::vector<Entry *> Passed;
  for (auto Each = Waiting_.begin(); Each != Waiting_.end(); ++Each) {
    if ((Each->Run_.LatestOnTimeStart_ >= Now) != OnTime)
      continue;
    if (Fits(Each->Run_)) {
      for (Entry *Other : Passed)
        ++Other->Overtaken_;
      return Each;
    }
    if (Each->Overtaken_ >= MaxOvertaking)
      return Waiting_.end();
    Passed.push_back(&*Each);
  }
  return Waiting_.end();
}

std::optional<WaitingRun>
RunQueue::takeNext(TimePoint Now,
                   const std::function<bool(const WaitingRun &)> &Fits) {
  auto Next = nextFitting(Now, true, Fits);
  if (Next == Waiting_.end()) {
    const bool AnyOnTime =
        !Waiting_.empty() && Waiting_.back().Run_.LatestOnTimeStart_ >= Now;
    if (AnyOnTime)
      return std::nullopt;
    Next = nextFitting(Now, false, Fits);
  }
  if (Next == Waiting_.end())
    return std::nullopt;
  WaitingRun Run = std::move(Next->Run_);
  Waiting_.erase(Next);
  return Run;
}

std::vector<WaitingRun> RunQueue::takeExpired(TimePoint Now) {
  std::vector<WaitingRun> Taken;
  for (auto Each = Waiting_.begin(); Each != Waiting_.end();) {
    if (Each->Run_.leavesAt() >= Now) {
      ++Each;
      continue;
    }
    Taken.push_back(std::move(Each->Run_));
    Each = Waiting_.erase(Each);
  }
  return Taken;
}

std::vector<WaitingRun> RunQueue::takeOwned(const std::string &Owner,
                                            const std::string &Job) {
  std::vector<WaitingRun> Taken;
  for (auto Each = Waiting_.begin(); Each != Waiting_.end();) {
    if (Each->Run_.Owner_ != Owner ||
        (!Job.empty() && Each->Run_.Job_ != Job)) {
      ++Each;
      continue;
    }
    Taken.push_back(std::move(Each->Run_));
    Each = Waiting_.erase(Each);
  }
  return Taken;
}

std::vector<WaitingRun> RunQueue::takeAll() {
  std::vector<WaitingRun> Taken;
  for (Entry &Each : Waiting_)
    Taken.push_back(std::move(Each.Run_));
  Waiting_.clear();
  return Taken;
}

void RunQueue::forEach(
    const std::function<void(const WaitingRun &)> &Each) const {
  for (const Entry &Waiting : Waiting_)
    Each(Waiting.Run_);
}

} // namespace wigeonwall::request
