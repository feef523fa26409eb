/// \file
/// \brief Common interface to the traffic threads of a process.
#ifndef WIGEONWALL_PROCESS_ROLES_ROLE_THREADS_H
#define WIGEONWALL_PROCESS_ROLES_ROLE_THREADS_H

#include "wigeonwall/process/fwd.h"
#include "wigeonwall/process/membership/cluster_view.h"
#include "wigeonwall/process/observation/counters.h"
#include "wigeonwall/process/settings/settings.h"

#include <functional>
#include <memory>

namespace wigeonwall::process::detail {

/// \brief Traffic threads of one role. All methods are called on the control
/// thread.
class RoleThreads {
public:
  virtual ~RoleThreads() = default;

  /// \brief Opens the ports and starts the threads. Returns false if a port is
  /// in use.
  [[nodiscard]] virtual bool start() = 0;
  /// \brief Forwards a new cluster view to the traffic threads.
  virtual void onViewChange() = 0;
  /// \brief Begins a planned stop. \p Done is called on the control thread when
  /// the role no longer accepts new work.
  virtual void beginLeaving(std::function<void()> Done) = 0;
  /// \brief Calls \p Done on the control thread with true if all work has
  /// ended.
  virtual void checkDrained(std::function<void(bool)> Done) = 0;
  /// \brief Stops and joins the threads.
  virtual void stop() = 0;
};

/// \brief Dependencies of a role besides its settings.
struct RoleDependencies {
  std::int64_t Incarnation_ = 0;
  ViewPublisher &Views_;
  Counters &Counters_;
  /// Null if tracing is off.
  const Tracer *Tracer_;
  /// Runs a function on the control thread.
  std::function<void(std::function<void()>)> PostToControl_;
};

/// \brief Creates the traffic threads of the role that \p Options name.
[[nodiscard]] std::unique_ptr<RoleThreads>
makeRoleThreads(const Settings &Options, RoleDependencies Dependencies);

} // namespace wigeonwall::process::detail

#endif
