/// \file
/// \brief Detects that the process was not running for some time.
#ifndef WIGEONWALL_PROCESS_RUNTIME_STALL_DETECTOR_H
#define WIGEONWALL_PROCESS_RUNTIME_STALL_DETECTOR_H

#include "wigeonwall/request/clock.h"

#include <optional>

namespace wigeonwall::process {

/// \brief Returns the time since boot, including suspended time.
[[nodiscard]] request::Clock bootClock();

/// \brief Detects that the process was stopped or the machine suspended.
///
/// Messages that such a process reads next may predate decisions that other
/// processes have taken in the meantime.
class StallDetector {
public:
  /// \p Boot must include suspended time. A gap above \p Limit is a stall.
  StallDetector(request::Clock Boot, request::Duration Limit)
      : Boot_(std::move(Boot)), Limit_(Limit), LastTick_(Boot_()) {}

  /// \brief Records that the process is running; call from a periodic timer.
  void onTick() { LastTick_ = Boot_(); }
  /// \brief Returns true from the end of a stall until it is taken.
  [[nodiscard]] bool isStalled() const { return Boot_() - LastTick_ > Limit_; }
  /// \brief Returns the length of a stall since the last tick. Each stall is
  /// reported once.
  [[nodiscard]] std::optional<request::Duration> takeStall();

private:
  request::Clock Boot_;
  request::Duration Limit_;
  request::TimePoint LastTick_;
};

} // namespace wigeonwall::process

#endif
