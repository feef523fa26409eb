#include "wigeonwall/request/minion_speed.h"

#include <algorithm>

namespace wigeonwall::request {

namespace {

/// Weight of the newest run in the averages; a dozen runs outweigh the past,
/// which takes about a second on a busy minion.
constexpr double AverageWeight = 0.1;

/// Bounds of one run's slowness, so that a single wrong estimate does not
/// decide.
constexpr double LeastSlowness = 0.25;
constexpr double MostSlowness = 10.0;

/// Runs under way count once this much time shows their speed, and weigh more
/// than ended ones, since the slowest end last.
constexpr Duration ProgressSpan = std::chrono::milliseconds(60);
constexpr double ProgressWeight = 0.25;
/// Estimates of single runs are off by up to a half.
constexpr int LeastSamples = 3;
constexpr double WholePercent = 100.0;

/// Progress from which a run's own speed tells its end better than estimates.
constexpr int LeastPercent = 10;
/// Expected rest of a run past its expected end, as a share of the whole.
constexpr double OverdueShare = 0.05;
/// Mean slowness of runs under way over the known one that is no chance; only
/// raising it at smaller steps would make all minions look slow.
constexpr double LeastSlowdown = 1.8;

/// Time in which a slowness without new runs returns most of the way to
/// nominal. A minion that was slow for a while gets no runs that could show its
/// recovery.
constexpr double MemorySeconds = 2.5;

double ratio(Duration Ran, Duration Expected) {
  return std::clamp(toSeconds(Ran) / toSeconds(Expected), LeastSlowness,
                    MostSlowness);
}

bool showsSpeed(const RunProgress &Run) {
  return Run.Elapsed_ >= ProgressSpan && Run.Percent_ != 0 &&
         Run.Expected_ > Duration::zero();
}

} // namespace

void MinionSpeed::recordRun(Duration Ran, Duration Expected) {
  if (Expected > Duration::zero())
    Slowness_ += AverageWeight * (ratio(Ran, Expected) - Slowness_);
}

void MinionSpeed::recordProgress(const std::vector<RunProgress> &Runs) {
  double Sum = 0;
  int Count = 0;
  for (const RunProgress &Run : Runs) {
    if (!showsSpeed(Run))
      continue;
    Sum += ratio(
        fromSeconds(toSeconds(Run.Elapsed_) * WholePercent / Run.Percent_),
        Run.Expected_);
    ++Count;
  }
  if (Count < LeastSamples || Sum / Count < LeastSlowdown * Slowness_)
    return;
  Slowness_ += ProgressWeight * (Sum / Count - Slowness_);
}

void MinionSpeed::decay(TimePoint Now) {
  const double Passed = toSeconds(Now - ForgotAt_);
  ForgotAt_ = Now;
  Slowness_ += (1.0 - Slowness_) * std::min(1.0, Passed / MemorySeconds);
}

Duration MinionSpeed::remainingTime(Duration Elapsed,
                                    const RunProgress &Seen) const {
  const Duration Whole =
      Seen.Percent_ >= LeastPercent
          ? fromSeconds(toSeconds(Seen.Elapsed_) * WholePercent / Seen.Percent_)
          : runTime(Seen.Expected_);
  // An overdue run ends some time from now, not at once.
  return std::max(Whole - Elapsed,
                  std::chrono::duration_cast<Duration>(Whole * OverdueShare));
}

bool MinionSpeed::isTooSlow(const RunProgress &Run, double Factor) const {
  // A wrong estimate of one run looks alike; the others show which it is.
  if (Slowness_ < Factor || !showsSpeed(Run))
    return false;
  const double Rest =
      toSeconds(Run.Elapsed_) * (WholePercent - Run.Percent_) / Run.Percent_;
  return Rest > Factor * toSeconds(Run.Expected_);
}

} // namespace wigeonwall::request
