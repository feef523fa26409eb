/// \file
/// \brief Traffic side of an entry: one shard per traffic thread.
#ifndef WIGEONWALL_PROCESS_ROLES_ENTRY_ROLE_H
#define WIGEONWALL_PROCESS_ROLES_ENTRY_ROLE_H

#include "wigeonwall/process/jobs/caller_api.h"
#include "wigeonwall/process/jobs/entry.h"
#include "wigeonwall/process/settings/settings.h"

#include <memory>

namespace wigeonwall::process {

/// \brief One shard: serves callers and receives answers on one traffic thread.
///
/// The shards share the callers' port (SO_REUSEPORT). Each shard has its own
/// port for answers, which it sends to homes as `reply_to`, so that shards
/// share no state.
class EntryRole {
public:
  EntryRole(connection::asio::io_context &Traffic, const Settings &Options,
            std::uint32_t Shard, std::int64_t Incarnation, ViewPublisher &Views,
            Counters &ProcessCounters, const Tracer *JobTracer);

  /// \brief Opens both ports; call before the event loop runs. Returns false if
  /// a port is in use.
  [[nodiscard]] bool listen();

  /// \brief From now on, closes each connection after its next response.
  void beginLeaving();
  /// \brief Stops accepting connections.
  void stopAccepting();
  /// \brief Returns true if no caller is waiting for an answer.
  [[nodiscard]] bool drained() const noexcept;

private:
  AgentContext Context_;
  connection::Endpoint AnnouncedAddress_;
  std::uint32_t Shard_;
  connection::RpcServer Answers_;
  Entry Jobs_;
  CallerApi Api_;
  connection::HttpServer Callers_;
};

} // namespace wigeonwall::process

#endif
