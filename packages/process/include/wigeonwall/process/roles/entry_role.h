/// \file
/// \brief The traffic side of an entry: one shard per traffic thread.
#ifndef WIGEONWALL_PROCESS_ROLES_ENTRY_ROLE_H
#define WIGEONWALL_PROCESS_ROLES_ENTRY_ROLE_H

#include "wigeonwall/process/jobs/caller_api.h"
#include "wigeonwall/process/jobs/entry.h"
#include "wigeonwall/process/settings/settings.h"

#include <memory>

namespace wigeonwall::process {

/// \brief Callers' port and answers of one traffic thread.
///
/// Shards share the callers' port (SO_REUSEPORT). Each has its own port for
/// answers, which homes learn from `reply_to`, so shards share no state.
class EntryRole {
public:
  EntryRole(connection::asio::io_context &Traffic, const Settings &Options,
            std::uint32_t Shard, std::int64_t Incarnation, ViewPublisher &Views,
            Counters &ProcessCounters, const Tracer *Spans);

  /// \brief Opens both ports; call before the loop runs.
  [[nodiscard]] bool listen();

  /// \brief Closes connections after their response from now on.
  void beginLeaving();
  /// \brief Accepts no more connections.
  void stopAccepting();
  /// \brief True when no caller waits for an answer.
  [[nodiscard]] bool drained() const noexcept;

private:
  AgentContext Context_;
  connection::Endpoint Announced_;
  std::uint32_t Shard_;
  connection::RpcServer Answers_;
  Entry Jobs_;
  CallerApi Api_;
  connection::HttpServer Callers_;
};

} // namespace wigeonwall::process

#endif
