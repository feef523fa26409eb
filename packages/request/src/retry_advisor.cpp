#include "wigeonwall/request/retry_advisor.h"

#include <algorithm>
#include <cmath>

namespace wigeonwall::request {

namespace {

/// Bounds memory and the cost of a refusal. An entry that refuses more jobs
/// within the maximum delay advises the maximum to nearly all of them.
constexpr std::size_t MaxBacklog = 4'000;

/// Jobs whose work differs by less than this share are served in the order of
/// their refusals, because run times are estimates.
constexpr double SameWork = 0.75;

} // namespace

void detail::WorkRate::add(double Work, TimePoint Now) {
  Rate_ = at(Now) + Work / Seconds_;
  UpdatedAt_ = Now;
}

double detail::WorkRate::at(TimePoint Now) const {
  return Rate_ * std::exp(-toSeconds(Now - UpdatedAt_) / Seconds_);
}

void RetryAdvisor::onAdmitted(Duration Slack, double Work) {
  ClassState &State = Classes_[slackClass(Slack)];
  const TimePoint Now = Now_();
  State.Fast_.add(Work, Now);
  State.Slow_.add(Work, Now);
}

double RetryAdvisor::workAhead(const ClassState &State, double Work,
                               TimePoint Now) const {
  double Sum = 0;
  for (const Refused &Each : State.Backlog_)
    if (Each.ReturnsAt_ > Now && Each.Work_ >= SameWork * Work)
      Sum += Each.Work_;
  return Sum;
}

Duration RetryAdvisor::expectedDelay(Duration Slack, double Work,
                                     Duration PredictedWait) const {
  const Duration AtLeast =
      std::max<Duration>(PredictedWait, Options_.MinDelay_);
  if (!followsBacklog())
    return AtLeast;
  const ClassState &State = Classes_[slackClass(Slack)];
  const TimePoint Now = Now_();
  const double Ahead = workAhead(State, Work, Now);
  const double Rate = Options_.ReturnShare_ *
                      std::max(State.Fast_.at(Now), State.Slow_.at(Now));
  const double MaxSeconds = toSeconds(Options_.MaxDelay_);
  // Without any admitted work, the backlog alone says nothing about the time.
  const double Seconds =
      Ahead < MaxSeconds * Rate ? Ahead / Rate : (Ahead > 0 ? MaxSeconds : 0);
  return std::min<Duration>(std::max(fromSeconds(Seconds), AtLeast),
                            Options_.MaxDelay_);
}

Duration RetryAdvisor::onRefused(Duration Slack, double Work,
                                 Duration PredictedWait) {
  if (!followsBacklog())
    return expectedDelay(Slack, Work, PredictedWait);
  double Exact = toSeconds(expectedDelay(Slack, Work, PredictedWait));
  // More work is refused than can return within the bound. Half of the range is
  // used, because the maximum for all would only postpone the burst.
  if (const double Max = toSeconds(Options_.MaxDelay_); Exact >= Max) {
    const double Low = (toSeconds(Options_.MinDelay_) + Max) / 2;
    Exact = Low + Random_() * (Max - Low);
  }
  const double Whole = std::floor(Exact);
  const double RoundUp = Random_() < Exact - Whole ? 1.0 : 0.0;
  const Duration Delay = fromSeconds(Whole + RoundUp);
  ClassState &State = Classes_[slackClass(Slack)];
  const TimePoint Now = Now_();
  std::erase_if(State.Backlog_,
                [Now](const Refused &Each) { return Each.ReturnsAt_ <= Now; });
  if (State.Backlog_.size() >= MaxBacklog)
    State.Backlog_.pop_front();
  State.Backlog_.push_back({Now + Delay, Work});
  return Delay;
}

} // namespace wigeonwall::request
