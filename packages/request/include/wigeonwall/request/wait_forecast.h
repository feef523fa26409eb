/// \file
/// \brief Predicts how long a new run would wait on a minion.
#ifndef WIGEONWALL_REQUEST_WAIT_FORECAST_H
#define WIGEONWALL_REQUEST_WAIT_FORECAST_H

#include "wigeonwall/request/agent_report.h"
#include "wigeonwall/request/run_queue.h"

#include <vector>

namespace wigeonwall::request {

/// \brief A run that holds processor time until about \p End_.
struct ExpectedEnd {
  TimePoint End_;
  std::int64_t CpuMillicores_ = 0;
};

/// \brief Predicted wait of a run that needs \p Cpu and has \p Slack; runs
/// with less slack go first.
[[nodiscard]] Duration forecastWait(const std::vector<ExpectedEnd> &Running,
                                    const RunQueue &Queue, std::int64_t FreeCpu,
                                    std::int64_t Cpu, double Slowness,
                                    TimePoint Now, Duration Slack);

/// \brief Plays the expected ends and the queue forward.
///
/// Only processor shares are played; memory seldom binds, and the gate checks
/// it at the start. \p TypicalCpu is the share of the run in question.
[[nodiscard]] std::array<Duration, SlackClasses.size()>
forecastWaits(const std::vector<ExpectedEnd> &Running, const RunQueue &Queue,
              std::int64_t FreeCpu, std::int64_t TypicalCpu, double Slowness,
              TimePoint Now);

} // namespace wigeonwall::request

#endif
