/// \file
/// \brief Report of an agent to the entries about its minion.
#ifndef WIGEONWALL_REQUEST_AGENT_REPORT_H
#define WIGEONWALL_REQUEST_AGENT_REPORT_H

#include "wigeonwall/request/capacity_profile.h"
#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/resources.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace wigeonwall::request {

/// \brief Upper slack bound of each element of AgentReport::Waits_. A run waits
/// only for runs with less slack, so short jobs have a short predicted wait
/// while long ones queue up.
inline constexpr std::array<std::chrono::milliseconds, 4> SlackClasses{
    std::chrono::milliseconds(75), std::chrono::milliseconds(150),
    std::chrono::milliseconds(350), std::chrono::milliseconds(900)};

/// \brief Index of the slack class of a run that can wait for \p Slack and
/// still be on time.
[[nodiscard]] constexpr std::size_t slackClass(Duration Slack) noexcept {
  for (std::size_t I = 0; I + 1 < SlackClasses.size(); ++I)
    if (Slack <= SlackClasses[I])
      return I;
  return SlackClasses.size() - 1;
}

/// \brief Snapshot of an agent's state.
struct AgentReport {
  /// False while the agent has no minion, is draining or evacuated, or has
  /// ejected a failing minion.
  bool Accepting_ = false;
  std::string Service_;
  std::vector<std::string> Labels_;
  /// Empty if unknown, as from an agent of an earlier build.
  std::string FailureDomain_;
  Resources Capacity_;
  Resources Free_;
  /// Predicted queueing delay of a run of typical size that arrives now, by
  /// slack class.
  std::array<Duration, SlackClasses.size()> Waits_{};
  /// Ratio of actual to expected run time, averaged over recent runs; 1 is
  /// nominal.
  double Slowness_ = 1.0;
  /// Sequence number of the receiving entry's last message that is reflected
  /// in this state.
  std::uint64_t Included_ = 0;
  /// The agent sends a report soon after each change, so the last report is
  /// current at any time. Otherwise an entry has to ask for a current report.
  bool ReportsChanges_ = true;
  /// Steady clock of the agent at the time of the report, in ms. An order
  /// returns it, so that the agent recognizes orders that were delayed.
  std::int64_t AgentClockMs_ = 0;
  /// When how much capacity will be free, with at most
  /// CapacityProfile::MaxReportedSteps steps. Empty if the agent does not look
  /// ahead.
  CapacityProfile Profile_;
};

} // namespace wigeonwall::request

#endif
