#include "wigeonwall/process/runtime/stall_detector.h"

#include <ctime>

namespace wigeonwall::process {

request::Clock bootClock() {
  return [] {
    timespec Now{};
    ::clock_gettime(CLOCK_BOOTTIME, &Now);
    return request::TimePoint(std::chrono::seconds(Now.tv_sec) +
                              std::chrono::nanoseconds(Now.tv_nsec));
  };
}

std::optional<request::Duration> StallDetector::takeStall() {
  const request::TimePoint Now = Boot_();
  const request::Duration Gap = Now - LastTick_;
  if (Gap <= Limit_)
    return std::nullopt;
  LastTick_ = Now;
  return Gap;
}

} // namespace wigeonwall::process
