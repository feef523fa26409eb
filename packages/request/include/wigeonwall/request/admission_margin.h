/// \file
/// \brief Share of the slack that admission reserves, adapted to the error rate
/// of the wait forecasts.
#ifndef WIGEONWALL_REQUEST_ADMISSION_MARGIN_H
#define WIGEONWALL_REQUEST_ADMISSION_MARGIN_H

#include "wigeonwall/request/agent_report.h"
#include "wigeonwall/request/clock.h"

#include <array>

namespace wigeonwall::request {

/// \brief Tightens the admission of a slack class while its jobs miss their
/// forecasts.
///
/// In a burst above the capacity, many entries place jobs using the same
/// forecasts, all of which are too optimistic. Jobs admitted beyond the
/// capacity then delay jobs that could have been on time.
class AdmissionMargin {
public:
  /// \brief Records a job that was on time on the minions where it was placed.
  void onForecastMet(Duration Slack, TimePoint Now) {
    update(Slack, Now, -DecreaseStep);
  }
  /// \brief Records a job that was late, or that had a task for which a minion
  /// had no capacity left.
  void onForecastMissed(Duration Slack, TimePoint Now) {
    update(Slack, Now, IncreaseStep);
  }

  /// \brief Share of \p Slack to reserve, from 0 to MaxShare.
  [[nodiscard]] double share(Duration Slack, TimePoint Now) const;

  /// Less than 1, so that jobs without a predicted wait are always admitted;
  /// these also reveal the end of a burst.
  static constexpr double MaxShare = 0.48;

private:
  /// The share is stable when one job in five misses its forecast.
  static constexpr double IncreaseStep = 0.04;
  static constexpr double DecreaseStep = 0.01;

  struct ClassShare {
    double Share_ = 0;
    TimePoint UpdatedAt_;
  };

  void update(Duration Slack, TimePoint Now, double Step);

  std::array<ClassShare, SlackClasses.size()> Classes_;
};

} // namespace wigeonwall::request

#endif
