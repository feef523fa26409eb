/// \file
/// \brief Traffic side of an agent: home, minion gateway and their RPC methods.
#ifndef WIGEONWALL_PROCESS_ROLES_AGENT_ROLE_H
#define WIGEONWALL_PROCESS_ROLES_AGENT_ROLE_H

#include "wigeonwall/process/jobs/home.h"
#include "wigeonwall/process/jobs/minion_gateway.h"
#include "wigeonwall/process/settings/settings.h"

#include <memory>

namespace wigeonwall::process {

/// \brief Connects the components of an agent. All methods except listen() run
/// on the traffic thread.
class AgentRole {
public:
  AgentRole(connection::asio::io_context &Traffic, const Settings &Options,
            std::int64_t Incarnation, ViewPublisher &Views,
            Counters &ProcessCounters, const Tracer *JobTracer);

  /// \brief Opens the traffic port; call before the event loop runs. Returns
  /// false if the port is in use.
  [[nodiscard]] bool listen();

  /// \brief Applies a new cluster view.
  void onViewChange();
  /// \brief Refuses new work; accepted work is completed.
  void beginLeaving();
  /// \brief Returns true if no work is left.
  [[nodiscard]] bool drained() const noexcept;

private:
  void addMethods();

  AgentContext Context_;
  connection::RpcServer Server_;
  DispatchPolicy Policy_;
  Home Home_;
  MinionGateway Gateway_;
};

} // namespace wigeonwall::process

#endif
