#include "wigeonwall/request/minion_speed.h"

#include <algorithm>

namespace wigeonwall::request {

namespace {

/// Weight of a new run in the average. A dozen runs, which take about a second
/// on a busy minion, outweigh all earlier ones.
constexpr double AverageWeight = 0.1;

/// Bounds of the slowness of one run, which limit the effect of a single wrong
/// estimate.
constexpr double MinSlowness = 0.25;
constexpr double MaxSlowness = 10.0;

/// Minimum age of a run whose progress is used; earlier progress does not show
/// the speed.
constexpr Duration MinProgressAge = std::chrono::milliseconds(60);
/// Higher than the weight of ended runs, because the slowest runs end last.
constexpr double ProgressWeight = 0.25;
/// Minimum number of runs with progress; the estimate of a single run can be
/// wrong by 50%.
constexpr int MinSamples = 3;
constexpr double FullPercent = 100.0;

/// Progress from which a run's own speed predicts its end better than the
/// estimate.
constexpr int MinPercent = 10;
/// Expected remaining time of a run past its expected end, as a fraction of its
/// total time.
constexpr double OverdueFraction = 0.05;
/// Minimum ratio of the mean slowness of current runs to the present estimate.
/// Smaller ratios can be chance, and as progress only raises the estimate, they
/// would make all minions look slow.
constexpr double MinSlowdown = 1.8;

/// Time constant with which the slowness returns to nominal. A minion that was
/// slow for a while gets no runs that could show its recovery.
constexpr double DecaySeconds = 2.5;

double ratio(Duration RunTime, Duration Expected) {
  return std::clamp(toSeconds(RunTime) / toSeconds(Expected), MinSlowness,
                    MaxSlowness);
}

bool showsSpeed(const RunProgress &Run) {
  return Run.Elapsed_ >= MinProgressAge && Run.Percent_ != 0 &&
         Run.Expected_ > Duration::zero();
}

} // namespace

void MinionSpeed::recordRun(Duration RunTime, Duration Expected) {
  if (Expected > Duration::zero())
    Slowness_ += AverageWeight * (ratio(RunTime, Expected) - Slowness_);
}

void MinionSpeed::recordProgress(const std::vector<RunProgress> &Runs) {
  double Sum = 0;
  int Count = 0;
  for (const RunProgress &Run : Runs) {
    if (!showsSpeed(Run))
      continue;
    Sum +=
        ratio(fromSeconds(toSeconds(Run.Elapsed_) * FullPercent / Run.Percent_),
              Run.Expected_);
    ++Count;
  }
  if (Count < MinSamples || Sum / Count < MinSlowdown * Slowness_)
    return;
  Slowness_ += ProgressWeight * (Sum / Count - Slowness_);
}

void MinionSpeed::decay(TimePoint Now) {
  const double Elapsed = toSeconds(Now - DecayedAt_);
  DecayedAt_ = Now;
  Slowness_ += (1.0 - Slowness_) * std::min(1.0, Elapsed / DecaySeconds);
}

Duration MinionSpeed::remainingTime(Duration Elapsed,
                                    const RunProgress &Last) const {
  const Duration Total =
      Last.Percent_ >= MinPercent
          ? fromSeconds(toSeconds(Last.Elapsed_) * FullPercent / Last.Percent_)
          : runTime(Last.Expected_);
  // An overdue run is expected to end after some more time, not immediately.
  return std::max(Total - Elapsed, std::chrono::duration_cast<Duration>(
                                       Total * OverdueFraction));
}

bool MinionSpeed::isTooSlow(const RunProgress &Run, double Factor) const {
  // A wrong estimate of this run would look the same, so other runs have to be
  // slow too.
  if (Slowness_ < Factor || !showsSpeed(Run))
    return false;
  const double Remaining =
      toSeconds(Run.Elapsed_) * (FullPercent - Run.Percent_) / Run.Percent_;
  return Remaining > Factor * toSeconds(Run.Expected_);
}

} // namespace wigeonwall::request
