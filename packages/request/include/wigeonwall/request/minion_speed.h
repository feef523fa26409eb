/// \file
/// \brief Estimate of a minion's speed from its runs.
#ifndef WIGEONWALL_REQUEST_MINION_SPEED_H
#define WIGEONWALL_REQUEST_MINION_SPEED_H

#include "wigeonwall/request/clock.h"

#include <vector>

namespace wigeonwall::request {

/// \brief Last known progress of a run that has not ended.
struct RunProgress {
  Duration Elapsed_{};
  int Percent_ = 0;
  /// Run time on a nominal minion.
  Duration Expected_{};
};

/// \brief Estimates the ratio of actual to expected run time.
///
/// It detects that a minion becomes slow under load, or recovers. Ended runs
/// alone show this late, because the slowest runs end last.
class MinionSpeed {
public:
  /// \brief Ratio of actual to expected run time; 1 is nominal.
  [[nodiscard]] double slowness() const noexcept { return Slowness_; }
  [[nodiscard]] Duration runTime(Duration Expected) const {
    return std::chrono::duration_cast<Duration>(Expected * Slowness_);
  }

  /// \brief Records a run that ended successfully.
  void recordRun(Duration Ran, Duration Expected);
  /// \brief Raises the slowness if the progress of current runs shows it.
  void recordProgress(const std::vector<RunProgress> &Runs);
  /// \brief Moves the slowness towards nominal over time; call regularly.
  void decay(TimePoint Now);
  /// \brief Resets the slowness for another minion or a new incarnation.
  void reset() { Slowness_ = 1.0; }

  /// \brief Expected remaining time of a run, \p Elapsed after its start;
  /// \p Last is its last known progress.
  [[nodiscard]] Duration remainingTime(Duration Elapsed,
                                       const RunProgress &Last) const;

  /// \brief Returns true if the remaining part of a run takes more than
  /// \p Factor times the expected time of the whole run, and other runs are
  /// slow as well.
  [[nodiscard]] bool isTooSlow(const RunProgress &Run, double Factor) const;

private:
  double Slowness_ = 1.0;
  TimePoint DecayedAt_;
};

} // namespace wigeonwall::request

#endif
