#include "wigeonwall/request/start_deduplicator.h"

#include <algorithm>

namespace wigeonwall::request {

StartDeduplicator::StartDeduplicator(Clock Now, Duration Retention)
    : Now_(std::move(Now)), Retention_(Retention) {}

namespace {

bool sameHome(const StartSender &A, const StartSender &B) {
  return A.Home_ == B.Home_ && A.Incarnation_ == B.Incarnation_;
}

} // namespace

StartDecision StartDeduplicator::admit(const JobKey &Job, TaskIndex Task,
                                       const StartSender &From) {
  dropExpired();
  const TaskKey Key{Job, Task};
  const auto Found = Tasks_.find(Key);
  if (Found != Tasks_.end()) {
    const Entry &Known = Found->second;
    if (!sameHome(Known.From_, From))
      return StartDecision::Duplicate;
    if (!Known.Refused_)
      return StartDecision::Repeat;
    if (From.Attempt_ <= Known.From_.Attempt_)
      return StartDecision::Refused;
  }
  if (From.Epoch_ < Epoch_)
    return StartDecision::StaleEpoch;
  Epoch_ = From.Epoch_;
  const TimePoint ExpiresAt = Now_() + Retention_;
  Tasks_[Key] = {From, false, ExpiresAt};
  Expiries_.emplace_back(ExpiresAt, Key);
  return StartDecision::Admit;
}

void StartDeduplicator::refuse(const JobKey &Job, TaskIndex Task) {
  if (const auto Found = Tasks_.find({Job, Task}); Found != Tasks_.end())
    Found->second.Refused_ = true;
}

void StartDeduplicator::raiseEpoch(std::uint64_t Epoch) noexcept {
  Epoch_ = std::max(Epoch_, Epoch);
}

void StartDeduplicator::dropExpired() {
  const TimePoint Now = Now_();
  while (!Expiries_.empty() && Expiries_.front().first <= Now) {
    const auto Found = Tasks_.find(Expiries_.front().second);
    Expiries_.pop_front();
    if (Found != Tasks_.end() && Found->second.ExpiresAt_ <= Now)
      Tasks_.erase(Found);
  }
}

} // namespace wigeonwall::request
