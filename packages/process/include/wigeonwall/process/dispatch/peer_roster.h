/// \file
/// \brief The other entries that may have jobs.
#ifndef WIGEONWALL_PROCESS_DISPATCH_PEER_ROSTER_H
#define WIGEONWALL_PROCESS_DISPATCH_PEER_ROSTER_H

#include "wigeonwall/connection/endpoint.h"
#include "wigeonwall/request/clock.h"

#include <map>
#include <optional>
#include <vector>

namespace wigeonwall::process::dispatch {

struct PeerRosterOptions {
  /// Time after its last sign of life during which an entry without a key may
  /// have jobs: longer than callers usually wait for a job.
  request::Duration Retention_ = std::chrono::seconds(15);
  /// Maximum number of entries without a key; the oldest are forgotten.
  std::size_t MaxRetained_ = 64;
};

/// \brief Keeps the registered entries, and for some time those whose keys have
/// vanished.
///
/// A key also vanishes if the store rejects the requests of an entry that goes
/// on serving callers. Such an entry is kept as long as it answers.
class PeerRoster {
public:
  PeerRoster(PeerRosterOptions Options, request::Clock Now)
      : Options_(Options), Now_(std::move(Now)) {}

  /// \brief Replaces the registered entries.
  void setRegistered(std::vector<connection::Endpoint> Peers);
  /// \brief True once the registered entries are known.
  [[nodiscard]] bool known() const noexcept { return Registered_.has_value(); }
  /// \brief Entries that may have jobs.
  [[nodiscard]] std::vector<connection::Endpoint> peers();
  /// \brief The entries among them that have no key.
  [[nodiscard]] std::vector<connection::Endpoint> retained();
  [[nodiscard]] bool isRegistered(const connection::Endpoint &Peer) const;
  void onAnswer(const connection::Endpoint &Peer);
  /// \brief Forgets an entry without a key: no process listens at its address.
  void onRefused(const connection::Endpoint &Peer);

private:
  void removeExpired();

  PeerRosterOptions Options_;
  request::Clock Now_;
  std::optional<std::vector<connection::Endpoint>> Registered_;
  /// Last sign of life of the entries without a key.
  std::map<connection::Endpoint, request::TimePoint> Retained_;
};

} // namespace wigeonwall::process::dispatch

#endif
