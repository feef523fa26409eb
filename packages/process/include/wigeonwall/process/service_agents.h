/// \file
/// \brief Placement and admission of an agent, made from its settings.
#ifndef WIGEONWALL_PROCESS_SERVICE_AGENTS_H
#define WIGEONWALL_PROCESS_SERVICE_AGENTS_H

#include "wigeonwall/process/home.h"
#include "wigeonwall/process/settings.h"
#include "wigeonwall/process/task_dispatcher.h"

namespace wigeonwall::process {

/// \brief Hooks that place tasks by \p Policy over the agents of the view.
[[nodiscard]] PlacementHooks makePlacement(PlacementPolicy Policy,
                                           AgentContext Context);

/// \brief Hooks that admit jobs by \p Policy.
[[nodiscard]] AdmissionHooks makeAdmission(AdmissionPolicy Policy,
                                           AgentContext Context);

/// \brief Context of a role whose parts run on the loop of \p Traffic.
[[nodiscard]] AgentContext
makeRoleContext(connection::asio::io_context &Traffic, const Settings &Options,
                std::int64_t Incarnation, ViewPublisher &Views,
                Counters &ProcessCounters);

/// \brief Bounds of a traffic port: batches carry up to 170 payloads and
/// answers up to a megabyte each.
[[nodiscard]] connection::HttpLimits trafficLimits();

/// \brief Counts messages and bytes by method and direction.
[[nodiscard]] connection::RpcObserver
makeMessageObserver(Counters &ProcessCounters);

} // namespace wigeonwall::process

#endif
