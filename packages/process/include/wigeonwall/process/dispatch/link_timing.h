/// \file
/// \brief Timeouts of the connections between entries and agents.
#ifndef WIGEONWALL_PROCESS_DISPATCH_LINK_TIMING_H
#define WIGEONWALL_PROCESS_DISPATCH_LINK_TIMING_H

#include "wigeonwall/request/clock.h"

namespace wigeonwall::process::dispatch {

/// \brief Timeouts that both ends have to agree on; see linkTiming().
struct LinkTiming {
  /// Interval between messages while the agent has tasks of the entry.
  request::Duration HeartbeatPeriod_ = std::chrono::milliseconds(200);
  /// Interval between an agent's reports while it has no tasks of the entry
  /// and the entry asks for reports when it needs them. Longer, because the
  /// number of connections grows with the product of entries and agents.
  request::Duration IdleReportPeriod_ = std::chrono::milliseconds(1'000);
  /// Interval between an entry's messages to an agent that has no tasks of it.
  request::Duration IdleHeartbeatPeriod_ = std::chrono::milliseconds(2'500);
  /// An agent ends the runs of an entry that it has not heard from for this
  /// long. Orders based on an older report are declined.
  request::Duration OwnerTimeout_ = std::chrono::milliseconds(700);
  /// An agent forgets an entry without tasks that it has not heard from for
  /// this long.
  request::Duration IdleOwnerTimeout_ = std::chrono::milliseconds(10'000);
  /// An entry ends its session with an agent that it has not heard from for
  /// this long.
  request::Duration AgentTimeout_ = std::chrono::milliseconds(900);
  /// Like AgentTimeout_, for an agent that has no tasks of the entry and sends
  /// reports at IdleReportPeriod_. Two reports may be lost.
  request::Duration IdleAgentTimeout_ = std::chrono::milliseconds(3'500);
  /// No lease is granted beyond this time after the last contact with any
  /// entry that has a run on the minion, so that the run has ended when the
  /// caller resubmits its job, even if the agent has ended too.
  request::Duration MaxLeaseAfterContact_ = std::chrono::milliseconds(1'215);
  /// Lease that an agent grants to the runs of entries that are in contact.
  /// Shorter than MaxLeaseAfterContact_ by the usual age of the last contact,
  /// as a run starts only if the leases granted before end within
  /// MaxLeaseAfterContact_ of its owner's last contact.
  request::Duration RoutineLease_ = std::chrono::milliseconds(655);
  /// Time after which the runs of an entry have ended once it has ended its
  /// session with the agent: OwnerTimeout_ plus the remainder of a lease on a
  /// slow clock.
  request::Duration RunsEndWithin_ = std::chrono::milliseconds(1'850);
  /// A connection attempt that is not answered within this time is aborted.
  request::Duration ConnectTimeout_ = std::chrono::milliseconds(600);
  /// Delay between connection attempts.
  request::Duration ReconnectDelay_ = std::chrono::milliseconds(200);
  /// If the event loop has not run for this long, pending messages may be
  /// stale.
  request::Duration StallLimit_ = std::chrono::milliseconds(500);
};

/// \brief Timeouts for callers that resubmit \p CallerResend after their
/// connection broke, and minions that grant leases of \p MaxLease.
///
/// By the time of the resubmission, the agents must have ended the runs of the
/// entry that failed.
[[nodiscard]] LinkTiming linkTiming(request::Duration CallerResend,
                                    request::Duration MaxLease);

} // namespace wigeonwall::process::dispatch

#endif
