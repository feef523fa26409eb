/// \file
/// \brief Set-up that the roles share.
#ifndef WIGEONWALL_PROCESS_ROLES_ROLE_CONTEXT_H
#define WIGEONWALL_PROCESS_ROLES_ROLE_CONTEXT_H

#include "wigeonwall/process/jobs/agent_context.h"
#include "wigeonwall/process/settings/settings.h"

namespace wigeonwall::process {

/// \brief Context of a role whose parts run on the loop of \p Traffic;
/// \p Spans is null when tracing is off.
[[nodiscard]] AgentContext
makeRoleContext(connection::asio::io_context &Traffic, const Settings &Options,
                std::int64_t Incarnation, ViewPublisher &Views,
                Counters &ProcessCounters, const Tracer *Spans);

/// \brief Bounds of a traffic port: batches carry up to 170 payloads and
/// answers up to a megabyte each.
[[nodiscard]] connection::HttpLimits trafficLimits();

/// \brief Counts messages and bytes by method and direction.
[[nodiscard]] connection::RpcObserver
makeMessageObserver(Counters &ProcessCounters);

} // namespace wigeonwall::process

#endif
