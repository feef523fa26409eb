/// \file
/// \brief HTTP administration interface: health, readiness, metrics, status.
#ifndef WIGEONWALL_PROCESS_ROLES_ADMIN_API_H
#define WIGEONWALL_PROCESS_ROLES_ADMIN_API_H

#include "wigeonwall/connection/http_server.h"
#include "wigeonwall/process/membership/cluster_view.h"
#include "wigeonwall/process/observation/counters.h"

#include <functional>

namespace wigeonwall::process {

/// \brief Callbacks of the administration interface.
struct AdminHooks {
  /// Returns true while the load balancer may send callers here.
  std::function<bool()> Ready_;
  /// Begins a planned stop.
  std::function<void()> Drain_;
};

/// \brief Reads the load and the ejections of this process from its counters.
///
/// The traffic threads update the counters every 20 ms; the control thread only
/// reads atomic values, so neither blocks the other.
class StatusCounters {
public:
  explicit StatusCounters(Counters &Metrics);

  /// \brief Returns the numbers of queued and running tasks and of jobs.
  [[nodiscard]] Json::Value describe() const;
  /// \brief Returns the health of the local minion and its ejections by cause;
  /// null for an entry.
  [[nodiscard]] Json::Value describeMinion() const;
  /// \brief Returns the agents to whose minions this process sends no tasks.
  [[nodiscard]] Json::Value describeEjected() const;

private:
  const Counters &Metrics_;
  const Counters::Value &JobsWaiting_;
  const Counters::Value &JobsInFlight_;
  const Counters::Value &TasksQueued_;
  const Counters::Value &TasksRunning_;
  const Counters::Value &MinionHealth_;
};

/// \brief Serves the administration port.
///
/// | request       | answer                                             |
/// |---------------|----------------------------------------------------|
/// | GET /healthz  | 200 while the process is running                    |
/// | GET /readyz   | 200, or 503 before the documents are known and      |
/// |               | during a planned stop                               |
/// | GET /metrics  | counters in text exposition format                  |
/// | GET /status   | members, map epoch, configuration version, load and |
/// |               | ejected minions as JSON                             |
/// | POST /drain   | 202; the process exits when its work has ended      |
[[nodiscard]] connection::HttpHandler
makeAdminHandler(const ViewPublisher &Views, Counters &ProcessCounters,
                 AdminHooks Hooks);

/// \brief Returns the part of `/status` that is taken from the cluster view.
[[nodiscard]] Json::Value describeView(const ClusterView &View);

} // namespace wigeonwall::process

#endif
