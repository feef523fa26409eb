/// \file
/// \brief Share of the slack that admission keeps back, learned from forecasts
/// that failed.
#ifndef WIGEONWALL_REQUEST_ADMISSION_MARGIN_H
#define WIGEONWALL_REQUEST_ADMISSION_MARGIN_H

#include "wigeonwall/request/agent_report.h"
#include "wigeonwall/request/clock.h"

#include <array>

namespace wigeonwall::request {

/// \brief Tightens the admission of a slack class while its jobs are not served
/// as forecast.
///
/// The load answered is a burst above the capacity: many entries then place
/// jobs on the same forecasts, all of which are too good, and what is admitted
/// beyond the capacity costs the jobs that could have been on time.
class AdmissionMargin {
public:
  /// \brief A job was served on time where it was placed.
  void onForecastMet(Duration Slack, TimePoint Now) {
    move(Slack, Now, -KeptStep);
  }
  /// \brief A minion had no room for a task of the job, or the job was late.
  void onForecastMissed(Duration Slack, TimePoint Now) {
    move(Slack, Now, MissedStep);
  }

  /// \brief Share of \p Slack to keep back, from 0 to MostShare.
  [[nodiscard]] double share(Duration Slack, TimePoint Now) const;

  /// Jobs without any predicted wait are admitted always, which also shows
  /// when the burst is over.
  static constexpr double MostShare = 0.48;

private:
  /// The steps balance when one job in five is missed.
  static constexpr double MissedStep = 0.04;
  static constexpr double KeptStep = 0.01;

  struct Class {
    double Share_ = 0;
    TimePoint MovedAt_;
  };

  void move(Duration Slack, TimePoint Now, double Step);

  std::array<Class, SlackClasses.size()> Classes_;
};

} // namespace wigeonwall::request

#endif
