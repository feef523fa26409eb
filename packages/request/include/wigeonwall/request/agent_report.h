/// \file
/// \brief What an agent tells entries about its minion.
#ifndef WIGEONWALL_REQUEST_AGENT_REPORT_H
#define WIGEONWALL_REQUEST_AGENT_REPORT_H

#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/resources.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace wigeonwall::request {

/// \brief Slack up to which each element of AgentReport::Waits_ holds. A run
/// waits only for those with less slack, so that short jobs see a short queue
/// while long ones pile up.
inline constexpr std::array<std::chrono::milliseconds, 4> SlackClasses{
    std::chrono::milliseconds(75), std::chrono::milliseconds(150),
    std::chrono::milliseconds(350), std::chrono::milliseconds(900)};

/// \brief Index of the class for a run that may wait for \p Slack.
[[nodiscard]] constexpr std::size_t slackClass(Duration Slack) noexcept {
  for (std::size_t I = 0; I + 1 < SlackClasses.size(); ++I)
    if (Slack <= SlackClasses[I])
      return I;
  return SlackClasses.size() - 1;
}

/// \brief State of an agent at one moment.
struct AgentReport {
  /// False while the agent knows no minion, drains, or keeps work off a minion
  /// that fails.
  bool Accepting_ = false;
  std::string Service_;
  std::vector<std::string> Labels_;
  Resources Capacity_;
  Resources Free_;
  /// Predicted delay of a run of typical size that arrives now, by class.
  std::array<Duration, SlackClasses.size()> Waits_{};
  /// Run time over expected time, averaged over recent runs; 1 is nominal.
  double Slowness_ = 1.0;
  /// Last message of the receiving entry that this state includes.
  std::uint64_t Included_ = 0;
};

} // namespace wigeonwall::request

#endif
