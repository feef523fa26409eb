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
#include <optional>
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

struct PeerCancellationHooks {
  request::Clock Now_;
  Schedule After_;
  /// Passes the entries that may be registered beyond those of setPeers(): none
  /// if that list is current, and an empty optional if the store does not
  /// answer.
  std::function<void(
      std::function<void(std::optional<std::vector<connection::Endpoint>>)>)>
      ListNewPeers_;
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
/// PeerRoster keeps it.
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
