/// \file
/// \brief Injectable clock, so that tests can use virtual time.
#ifndef WIGEONWALL_REQUEST_CLOCK_H
#define WIGEONWALL_REQUEST_CLOCK_H

#include <chrono>
#include <cstdint>
#include <functional>

namespace wigeonwall::request {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// \brief Returns the current monotonic time.
using Clock = std::function<TimePoint()>;

[[nodiscard]] constexpr double toSeconds(Duration Value) noexcept {
  return std::chrono::duration<double>(Value).count();
}

[[nodiscard]] constexpr Duration fromSeconds(double Seconds) noexcept {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

/// \brief Duration in whole milliseconds, for logs and messages.
[[nodiscard]] constexpr std::int64_t toMilliseconds(Duration Value) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

} // namespace wigeonwall::request

#endif
