/// \file
/// \brief Prediction of the queueing delay of a new run on a minion.
#ifndef WIGEONWALL_REQUEST_WAIT_FORECAST_H
#define WIGEONWALL_REQUEST_WAIT_FORECAST_H

#include "wigeonwall/request/agent_report.h"
#include "wigeonwall/request/capacity_timeline.h"
#include "wigeonwall/request/run_queue.h"

#include <vector>

namespace wigeonwall::request {

/// \brief Expected end of a run, and the CPU share that it then frees.
struct ExpectedEnd {
  TimePoint End_;
  std::int64_t CpuMillicores_ = 0;
};

/// \brief Predicted wait of a run that needs \p Cpu and has \p Slack. Runs
/// with less slack are started first.
[[nodiscard]] Duration forecastWait(const std::vector<ExpectedEnd> &Running,
                                    const RunQueue &Queue, std::int64_t FreeCpu,
                                    std::int64_t Cpu, double Slowness,
                                    TimePoint Now, Duration Slack);

/// \brief Predicted wait of a run that needs \p TypicalCpu, by slack class.
///
/// The simulation covers only CPU shares. Memory is rarely the limit, and
/// RunTracker checks it before a start.
[[nodiscard]] std::array<Duration, SlackClasses.size()>
forecastWaits(const std::vector<ExpectedEnd> &Running, const RunQueue &Queue,
              std::int64_t FreeCpu, std::int64_t TypicalCpu, double Slowness,
              TimePoint Now);

/// \brief Capacity that is left beside all waiting runs, by time. \p Free is
/// free now, without the waiting runs.
///
/// Runs with much slack are included although short ones overtake them. In
/// simulations without them, entries admitted short jobs at the cost of long
/// ones: at 110% of the capacity, 61% instead of 89% of the long jobs were on
/// time.
[[nodiscard]] CapacityProfile
forecastProfile(const std::vector<CapacityRelease> &Running,
                const RunQueue &Queue, const Resources &Free, double Slowness,
                TimePoint Now);

} // namespace wigeonwall::request

#endif
