/// \file
/// \brief The traffic side of an agent: home, gateway and their messages.
#ifndef WIGEONWALL_PROCESS_ROLES_AGENT_ROLE_H
#define WIGEONWALL_PROCESS_ROLES_AGENT_ROLE_H

#include "wigeonwall/process/jobs/home.h"
#include "wigeonwall/process/jobs/minion_gateway.h"
#include "wigeonwall/process/settings/settings.h"

#include <memory>

namespace wigeonwall::process {

/// \brief Joins the parts of an agent; all methods on the traffic thread,
/// except listen().
class AgentRole {
public:
  AgentRole(connection::asio::io_context &Traffic, const Settings &Options,
            std::int64_t Incarnation, ViewPublisher &Views,
            Counters &ProcessCounters, const Tracer *Spans);

  /// \brief Opens the traffic port; call before the loop runs.
  [[nodiscard]] bool listen();

  /// \brief Reacts to a new view.
  void onViewChange();
  /// \brief Refuses new work; what runs is finished.
  void beginLeaving();
  /// \brief True when nothing is left to finish.
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
