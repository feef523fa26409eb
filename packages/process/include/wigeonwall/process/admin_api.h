/// \file
/// \brief Administration interface: health, readiness, metrics, state.
#ifndef WIGEONWALL_PROCESS_ADMIN_API_H
#define WIGEONWALL_PROCESS_ADMIN_API_H

#include "wigeonwall/connection/http_server.h"
#include "wigeonwall/process/cluster_view.h"
#include "wigeonwall/process/counters.h"

#include <functional>

namespace wigeonwall::process {

/// \brief What the administration interface shows and does.
struct AdminHooks {
  /// True while the balancer may send callers here.
  std::function<bool()> Ready_;
  /// Begins a planned stop.
  std::function<void()> Drain_;
};

/// \brief Serves the administration port.
///
/// | request       | answer                                             |
/// |---------------|----------------------------------------------------|
/// | GET /healthz  | 200 while the process runs                          |
/// | GET /readyz   | 200, or 503 before the documents are known and      |
/// |               | during a planned stop                               |
/// | GET /metrics  | counters in text exposition format                  |
/// | GET /status   | members, map epoch, configuration version as JSON   |
/// | POST /drain   | 202; the process stops when its work has ended      |
[[nodiscard]] connection::HttpHandler
makeAdminHandler(const ViewPublisher &Views, const Counters &ProcessCounters,
                 AdminHooks Hooks);

/// \brief JSON of `/status`.
[[nodiscard]] Json::Value describeView(const ClusterView &View);

} // namespace wigeonwall::process

#endif
