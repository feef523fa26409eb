/// \file
/// \brief Settings of a process that finds its peers through the platform's
/// store.
///
/// Sections: `[process]` for both roles, then `[entry]` or `[agent]` depending
/// on the role. Templates: deploy/entry.ini and deploy/agent.ini.
#ifndef WIGEONWALL_PROCESS_DISPATCH_DISPATCH_SETTINGS_H
#define WIGEONWALL_PROCESS_DISPATCH_DISPATCH_SETTINGS_H

#include "wigeonwall/process/settings/settings.h"

#include <optional>

namespace wigeonwall::process::dispatch {

struct DispatchSettings {
  std::string Id_;
  Role Role_ = Role::Agent;
  std::string FailureDomain_;
  /// Address for connections from other processes of the system.
  connection::Endpoint PeersListen_;
  /// Address at which the other processes reach PeersListen_. Defaults to
  /// PeersListen_; differs behind a relay.
  connection::Endpoint PeersAdvertised_;
  connection::Endpoint MetricsListen_;
  connection::Endpoint Store_;
  /// Time from SIGTERM until the machine kills the process.
  std::chrono::milliseconds GracePeriod_{6'000};
  /// Time after which a caller that got no answer resubmits its job.
  std::chrono::milliseconds CallerResend_{1'300};
  /// Maximum lease that minions grant.
  std::chrono::milliseconds MaxLease_{1'000};
  /// Time after which nothing is started in a failure domain that operators
  /// have evacuated. Evacuations are not followed if it is zero.
  std::chrono::milliseconds EvacuationBound_{0};
  /// Time after a disturbance within which the process has to know the state of
  /// the store again.
  std::chrono::milliseconds Contact_{3'000};
  /// Memory of the machine in MB; bounds the total of unfinished requests.
  std::optional<std::size_t> MemoryMb_;
  /// File descriptors of the machine; bounds the number of connections.
  std::optional<std::size_t> FileDescriptors_;
  /// Lowers the total of unfinished requests, in KB.
  std::optional<std::size_t> UnfinishedKb_;
  /// Lowers the number of callers' connections of an entry.
  std::optional<std::size_t> CallerConnections_;
  /// Entries only: address for callers.
  connection::Endpoint CallersListen_;
  /// Entries only: address for the load balancer's readiness checks.
  connection::Endpoint ReadinessListen_;
  /// Entries only: run time outside the preferred rack, in percent of the run
  /// time inside it.
  std::int64_t RemotePenaltyPercent_ = 150;
  /// Entries only: maximum age of an agent's report used for placement; short
  /// tasks last 50 ms.
  std::chrono::milliseconds MaxReportAge_{25};
  /// Entries only: time to wait for the reports of queried agents. A round trip
  /// between failure domains takes 2 ms, on a busy machine several times that.
  std::chrono::milliseconds QueryTimeout_{15};
  /// Entries only: cost of a fully used minion as a multiple of the age of the
  /// load figures, in percent; see request::PlacementCost.
  std::int64_t ContentionWeightPercent_ = 0;
  /// Entries: place tasks by the time at which capacity will be free. Agents:
  /// report that time, and reserve capacity for runs that do not fit.
  bool LookAhead_ = false;
  /// Agents only: address for the minion's reports.
  connection::Endpoint ReportsListen_;
  /// Agents only: give runs back that would not end before the announced
  /// departure of the minion.
  bool EvictBeforeDeparture_ = false;
  /// Entries only: maximum Retry-After of a refused job.
  std::chrono::milliseconds MaxRetryAfter_{1'000};
};

[[nodiscard]] std::optional<DispatchSettings>
parseDispatchSettings(std::string_view Text, const std::string &File,
                      SettingsFault &Fault);
[[nodiscard]] std::optional<DispatchSettings>
loadDispatchSettings(const std::string &Path, SettingsFault &Fault);

} // namespace wigeonwall::process::dispatch

#endif
