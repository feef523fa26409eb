#include "wigeonwall/process/dispatch/link_timing.h"

#include <algorithm>

namespace wigeonwall::process::dispatch {

using request::Duration;

namespace {

/// Time between the owner timeout and a resubmission: stopping the runs,
/// confirmation by the minion, and delays on both ends.
constexpr Duration StopMargin = std::chrono::milliseconds(600);
/// Shorter periods of silence occur on healthy but busy machines.
constexpr Duration MinOwnerTimeout = std::chrono::milliseconds(300);
/// Number of heartbeats per timeout; two lost heartbeats do not end a session.
constexpr int HeartbeatsPerTimeout = 3;
/// Leases are measured by the minion's clock, which may run 2% slow.
constexpr int SlowClockPercent = 2;
constexpr Duration LeaseMargin = std::chrono::milliseconds(130);
/// Time that a minion takes to end a run whose lease has expired.
constexpr Duration LapseMargin = std::chrono::milliseconds(60);

/// Largest age of the last contact with an entry at which a run can start, as a
/// share of OwnerTimeout_. Under normal load the contact is younger than two
/// heartbeat periods plus a round trip.
constexpr int ContactAgePercent = 80;

} // namespace

LinkTiming linkTiming(Duration CallerResend, Duration MaxLease) {
  LinkTiming Result;
  const Duration TimeoutDifference =
      Result.AgentTimeout_ - Result.OwnerTimeout_;
  Result.OwnerTimeout_ = std::clamp(CallerResend - StopMargin, MinOwnerTimeout,
                                    Result.OwnerTimeout_);
  Result.AgentTimeout_ = Result.OwnerTimeout_ + TimeoutDifference;
  Result.HeartbeatPeriod_ = std::min(
      Result.HeartbeatPeriod_, Result.OwnerTimeout_ / HeartbeatsPerTimeout);
  Result.MaxLeaseAfterContact_ =
      std::max((CallerResend - LapseMargin) * 100 / (100 + SlowClockPercent),
               Result.OwnerTimeout_);
  Result.RoutineLease_ =
      std::min(MaxLease, Result.MaxLeaseAfterContact_ -
                             Result.OwnerTimeout_ * ContactAgePercent / 100);
  Result.RunsEndWithin_ = Result.OwnerTimeout_ + MaxLease +
                          MaxLease * SlowClockPercent / 100 + LeaseMargin;
  return Result;
}

} // namespace wigeonwall::process::dispatch
