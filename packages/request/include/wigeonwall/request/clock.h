/// \file
/// \brief Time as a dependency, so that decisions run on a virtual clock.
#ifndef WIGEONWALL_REQUEST_CLOCK_H
#define WIGEONWALL_REQUEST_CLOCK_H

#include <chrono>
#include <functional>

namespace wigeonwall::request {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// \brief Returns the current monotonic time.
using Clock = std::function<TimePoint()>;

} // namespace wigeonwall::request

#endif
