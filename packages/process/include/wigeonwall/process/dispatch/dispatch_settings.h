/// \file
/// \brief Settings of a process that dispatches through the platform's store.
///
/// Sections: `[process]` for both roles, then `[entry]` or `[agent]` to match
/// the role; deploy/entry.ini and deploy/agent.ini are templates of them.
#ifndef WIGEONWALL_PROCESS_DISPATCH_DISPATCH_SETTINGS_H
#define WIGEONWALL_PROCESS_DISPATCH_DISPATCH_SETTINGS_H

#include "wigeonwall/process/settings.h"

namespace wigeonwall::process::dispatch {

struct DispatchSettings {
  std::string Id_;
  Role Role_ = Role::Agent;
  std::string FailureDomain_;
  /// For other processes of the system.
  connection::Endpoint PeersListen_;
  connection::Endpoint MetricsListen_;
  connection::Endpoint Store_;
  /// From a SIGTERM to the end of the process.
  std::chrono::milliseconds DrainTimeout_{5'500};
  /// Entries: for callers.
  connection::Endpoint CallersListen_;
  /// Entries: for the balancer's readiness checks.
  connection::Endpoint ReadinessListen_;
  /// Entries: run time away from the preferred rack, in percent of that on it.
  std::int64_t RemotePenaltyPercent_ = 150;
  /// Agents: for the minion's reports.
  connection::Endpoint ReportsListen_;
  /// Agents: longest lease that the minion grants.
  std::chrono::milliseconds MaxLease_{1'000};
};

[[nodiscard]] std::optional<DispatchSettings>
parseDispatchSettings(std::string_view Text, const std::string &File,
                      SettingsFault &Why);
[[nodiscard]] std::optional<DispatchSettings>
loadDispatchSettings(const std::string &Path, SettingsFault &Why);

} // namespace wigeonwall::process::dispatch

#endif
