/// \file
/// \brief Dependencies shared by the components of an agent or entry; all are
/// used on its traffic thread.
#ifndef WIGEONWALL_PROCESS_JOBS_AGENT_CONTEXT_H
#define WIGEONWALL_PROCESS_JOBS_AGENT_CONTEXT_H

#include "wigeonwall/process/fwd.h"
#include "wigeonwall/process/membership/cluster_view.h"
#include "wigeonwall/process/observation/counters.h"
#include "wigeonwall/process/runtime/peer_call.h"
#include "wigeonwall/request/record_copies.h"

#include <memory>

namespace wigeonwall::process {

using ViewSource = std::function<std::shared_ptr<const ClusterView>()>;

struct AgentContext {
  request::HomeIdentity Self_;
  request::Clock Now_;
  WallClock WallMs_;
  Schedule After_;
  PeerCall Call_;
  ViewSource View_;
  Counters &Counters_;
  /// Null when tracing is off.
  const Tracer *Trace_ = nullptr;
};

/// \brief Timeout of an RPC between processes.
inline constexpr std::chrono::milliseconds CallTimeout{1'000};

/// \brief Maximum skew between two clocks of the platform, and the maximum time
/// by which a caller's clock may be ahead. Entries reject jobs created further
/// in the future; checks that a job was created after an event depend on that.
inline constexpr std::int64_t ClockToleranceMs = 5'000;

/// \brief Whether the incarnation of \p Home is a member that is neither dead
/// nor left.
[[nodiscard]] bool isAlive(const request::HomeIdentity &Home,
                           const ClusterView &View);

/// \brief Record retention of the current configuration; the default without
/// one.
[[nodiscard]] request::Duration recordRetention(const ClusterView &View);

/// \brief Epoch of the current map; 0 before one is known.
[[nodiscard]] version::Epoch currentEpoch(const ClusterView &View);

/// \brief Reads "service" and "job_id"; throws RpcFault.
[[nodiscard]] request::JobKey readJobKey(const Json::Value &Value);
void writeJobKey(Json::Value &Value, const request::JobKey &Key);

[[nodiscard]] Json::Value encodeHome(const request::HomeIdentity &Home);
[[nodiscard]] request::HomeIdentity decodeHome(const Json::Value &Value);

/// \brief Reads a required unsigned integer; throws RpcFault naming the field.
[[nodiscard]] std::uint64_t readUnsigned(const Json::Value &Value,
                                         const char *Field);

} // namespace wigeonwall::process

#endif
