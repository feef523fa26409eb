/// \file
/// \brief The traffic threads of a process behind one interface.
#ifndef WIGEONWALL_PROCESS_ROLES_ROLE_THREADS_H
#define WIGEONWALL_PROCESS_ROLES_ROLE_THREADS_H

#include "wigeonwall/process/fwd.h"
#include "wigeonwall/process/membership/cluster_view.h"
#include "wigeonwall/process/observation/counters.h"
#include "wigeonwall/process/settings/settings.h"

#include <functional>
#include <memory>

namespace wigeonwall::process::detail {

/// \brief Role of a process; all methods are called by the control thread.
class RoleThreads {
public:
  virtual ~RoleThreads() = default;

  /// \brief Opens the ports and starts the threads; false when one is taken.
  [[nodiscard]] virtual bool start() = 0;
  /// \brief Passes a new view on to the traffic threads.
  virtual void onViewChange() = 0;
  /// \brief Begins a planned stop; \p Done is called on the control thread when
  /// the role takes no new work any more.
  virtual void beginLeaving(std::function<void()> Done) = 0;
  /// \brief Calls \p Done on the control thread with whether all work ended.
  virtual void checkDrained(std::function<void(bool)> Done) = 0;
  /// \brief Ends the threads.
  virtual void stop() = 0;
};

/// What a role needs besides its settings.
struct RoleDependencies {
  std::int64_t Incarnation_ = 0;
  ViewPublisher &Views_;
  Counters &Counters_;
  /// Null when tracing is off.
  const Tracer *Trace_;
  /// Runs a function on the control thread.
  std::function<void(std::function<void()>)> PostToControl_;
};

[[nodiscard]] std::unique_ptr<RoleThreads>
makeRoleThreads(const Settings &Options, RoleDependencies Dependencies);

} // namespace wigeonwall::process::detail

#endif
