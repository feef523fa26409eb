/// \file
/// \brief Cancellations of callers and of other entries at an entry with two
/// threads.
#ifndef WIGEONWALL_PROCESS_DISPATCH_JOB_CANCELLATION_H
#define WIGEONWALL_PROCESS_DISPATCH_JOB_CANCELLATION_H

#include "wigeonwall/process/dispatch/peer_cancellation.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace wigeonwall::process::dispatch {

/// \brief Cancels all attempts of a job, at this entry and at all others.
///
/// The jobs belong to the traffic thread, the connections to other entries to
/// the control thread.
class JobCancellation {
public:
  using Callback = PeerCancellation::Callback;
  /// Cancels the attempts of this entry; called on the traffic thread.
  using CancelAttempts = std::function<CancelFound(const std::string &JobId)>;

  /// \p Hooks is without CancelLocally_.
  JobCancellation(connection::asio::io_context &Control,
                  connection::asio::io_context &Traffic,
                  CancelAttempts OwnAttempts, PeerCancellationHooks Hooks);

  /// \brief Cancels a job. Called on the traffic thread, like \p Done.
  void cancel(const std::string &JobId, Callback Done);
  /// \brief The other entries; for use on the control thread.
  [[nodiscard]] PeerCancellation &peers() noexcept { return Peers_; }

private:
  [[nodiscard]] PeerCancellationHooks
  completeHooks(PeerCancellationHooks Hooks);

  connection::asio::io_context &Control_;
  connection::asio::io_context &Traffic_;
  CancelAttempts OwnAttempts_;
  /// Callers whose cancellations were forwarded to the other entries. Used on
  /// the traffic thread, which owns their connections.
  std::map<std::uint64_t, Callback> Forwarded_;
  std::uint64_t LastForwarded_ = 0;
  /// Cancellations from other entries. Used on the control thread, which owns
  /// their connections.
  std::map<std::uint64_t, std::function<void(CancelFound)>> FromPeers_;
  std::uint64_t LastFromPeer_ = 0;
  PeerCancellation Peers_;
};

} // namespace wigeonwall::process::dispatch

#endif
