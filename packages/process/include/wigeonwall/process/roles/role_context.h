/// \file
/// \brief Setup shared by the roles.
#ifndef WIGEONWALL_PROCESS_ROLES_ROLE_CONTEXT_H
#define WIGEONWALL_PROCESS_ROLES_ROLE_CONTEXT_H

#include "wigeonwall/process/jobs/agent_context.h"
#include "wigeonwall/process/settings/settings.h"

namespace wigeonwall::process {

/// \brief Creates the context of a role whose components run on the event loop
/// \p Traffic; \p JobTracer is null if tracing is off.
[[nodiscard]] AgentContext
makeRoleContext(connection::asio::io_context &Traffic, const Settings &Options,
                std::int64_t Incarnation, ViewPublisher &Views,
                Counters &ProcessCounters, const Tracer *JobTracer);

/// \brief Returns the limits of a traffic port: batches carry up to 170
/// payloads and answers of up to a megabyte each.
[[nodiscard]] connection::HttpLimits trafficLimits();

/// \brief Creates an observer that counts messages and bytes by method and
/// direction.
[[nodiscard]] connection::RpcObserver
makeMessageObserver(Counters &ProcessCounters);

} // namespace wigeonwall::process

#endif
