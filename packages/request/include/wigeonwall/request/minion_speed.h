/// \file
/// \brief How fast a minion is, learned from its runs.
#ifndef WIGEONWALL_REQUEST_MINION_SPEED_H
#define WIGEONWALL_REQUEST_MINION_SPEED_H

#include "wigeonwall/request/clock.h"

#include <vector>

namespace wigeonwall::request {

/// \brief A run under way, at the last sign of progress.
struct RunProgress {
  Duration Elapsed_{};
  int Percent_ = 0;
  /// Run time on a nominal minion.
  Duration Expected_{};
};

/// \brief Estimates run time over expected time.
///
/// The load answered is a minion that turns slow under work, or recovers: ended
/// runs tell late, since the slowest end last.
class MinionSpeed {
public:
  /// \brief Run time over expected time; 1 is nominal.
  [[nodiscard]] double slowness() const noexcept { return Slowness_; }
  [[nodiscard]] Duration runTime(Duration Expected) const {
    return std::chrono::duration_cast<Duration>(Expected * Slowness_);
  }

  /// \brief A run has ended as it should.
  void recordRun(Duration Ran, Duration Expected);
  /// \brief Raises the slowness as soon as runs under way show it.
  void recordProgress(const std::vector<RunProgress> &Runs);
  /// \brief Returns towards nominal with time; call regularly.
  void decay(TimePoint Now);
  /// \brief Another minion, or a new life of it.
  void reset() { Slowness_ = 1.0; }

  /// \brief Time that a run is expected to go on, \p Elapsed after its start;
  /// \p Seen is its last sign of progress.
  [[nodiscard]] Duration remainingTime(Duration Elapsed,
                                       const RunProgress &Seen) const;

  /// \brief True when what is left of a run takes \p Factor times a whole run
  /// on a nominal minion, and other runs are slow as well.
  [[nodiscard]] bool isTooSlow(const RunProgress &Run, double Factor) const;

private:
  double Slowness_ = 1.0;
  TimePoint ForgotAt_;
};

} // namespace wigeonwall::request

#endif
