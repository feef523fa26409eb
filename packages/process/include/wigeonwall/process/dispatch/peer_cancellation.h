/// \file
/// \brief Cancels jobs that were submitted to another entry.
#ifndef WIGEONWALL_PROCESS_DISPATCH_PEER_CANCELLATION_H
#define WIGEONWALL_PROCESS_DISPATCH_PEER_CANCELLATION_H

#include "wigeonwall/connection/http_client.h"
#include "wigeonwall/connection/http_server.h"
#include "wigeonwall/process/dispatch/job_answer.h"
#include "wigeonwall/process/dispatch/peer_roster.h"
#include "wigeonwall/process/runtime/peer_call.h"
#include "wigeonwall/request/enum_names.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wigeonwall::process::dispatch {

/// \brief Result of a cancellation at all entries.
enum class PeerCancelResult : std::uint8_t {
  /// One of them has ended an attempt, or the job was ending and none has an
  /// attempt that is not.
  Cancelled,
  /// None of them knows the job.
  Unknown,
  /// Some could not be asked, and one of them may have an attempt.
  Unanswered,
};

inline constexpr std::array<request::EnumName<PeerCancelResult>, 3>
    PeerCancelResultNames{{
        {PeerCancelResult::Cancelled, "cancelled"},
        {PeerCancelResult::Unknown, "unknown"},
        {PeerCancelResult::Unanswered, "unanswered"},
    }};

/// \brief Whether the entries of PeerCancellation::setPeers() are up to date.
enum class PeerListingState : std::uint8_t {
  Current,
  /// They may not be; the registered entries have been read from the store.
  Read,
  /// They may not be, and the store does not answer.
  Unanswered,
};

struct PeerListing {
  PeerListingState State_ = PeerListingState::Current;
  /// The registered entries, if they have been read.
  std::vector<connection::Endpoint> Peers_ = {};

  /// \brief Whether a peer of setPeers() is still registered.
  [[nodiscard]] bool confirms(const connection::Endpoint &Peer) const;
};

struct PeerCancellationHooks {
  request::Clock Now_;
  Schedule After_;
  /// Reads the registered entries if those of setPeers() may be out of date.
  std::function<void(std::function<void(PeerListing)>)> ListPeers_;
  /// Cancels a job at this entry.
  std::function<void(const std::string &JobId,
                     std::function<void(CancelFound)> Done)>
      CancelLocally_;
  std::function<void(const std::string &JobId, const std::string &Event,
                     const std::string &Detail)>
      Log_;
};

/// \brief Passes cancellations to all other entries, and serves theirs at
/// `POST /cancel?job=ID` (200, 202 if the job was ending already, or 404 if it
/// is not known).
///
/// An attempt is known only to the entry that accepted it, and a caller may
/// reach any entry, also when it submits the job again. An entry whose key has
/// vanished from the store may still have jobs and is asked as long as
/// PeerRoster keeps it. A refused connection shows that a process has ended
/// only without a key; a cut of the network may refuse connections too.
class PeerCancellation {
public:
  using Callback = std::function<void(PeerCancelResult)>;

  PeerCancellation(connection::asio::io_context &Context,
                   PeerCancellationHooks Hooks);
  ~PeerCancellation();
  PeerCancellation(const PeerCancellation &) = delete;
  PeerCancellation &operator=(const PeerCancellation &) = delete;

  /// \brief Replaces the registered entries.
  void setPeers(std::vector<connection::Endpoint> Peers);
  /// \brief Asks all other entries to cancel a job that has been cancelled here
  /// with the result \p Local. \p Done is called at once if that was an
  /// attempt; otherwise, with Unanswered, if the entries are not known yet or
  /// too many cancellations are pending.
  void cancel(const std::string &JobId, CancelFound Local, Callback Done);
  /// \brief Handles a request of another entry; returns false if it is no
  /// cancellation.
  bool serve(const connection::HttpRequest &Request,
             const connection::HttpRespond &Respond) const;

private:
  struct Pending;

  void ask(const std::shared_ptr<Pending> &State,
           const std::vector<connection::Endpoint> &Peers);
  void onAnswer(Pending &State, const connection::Endpoint &Peer,
                const connection::HttpResult &Result);
  void onAllAnswered(const std::shared_ptr<Pending> &State);
  void onPeersListed(const std::shared_ptr<Pending> &State,
                     PeerListing Listing);
  /// Asks the entries without a key at intervals whether they still run.
  void probeRetained();

  PeerCancellationHooks Hooks_;
  connection::HttpClient Client_;
  PeerRoster Roster_;
  bool Probing_ = false;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
  std::shared_ptr<std::size_t> PendingCount_ = std::make_shared<std::size_t>(0);
};

} // namespace wigeonwall::process::dispatch

#endif
