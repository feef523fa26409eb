/// \file
/// \brief Cancels jobs that were submitted to another entry.
#ifndef WIGEONWALL_PROCESS_DISPATCH_PEER_CANCELLATION_H
#define WIGEONWALL_PROCESS_DISPATCH_PEER_CANCELLATION_H

#include "wigeonwall/connection/http_client.h"
#include "wigeonwall/connection/http_server.h"
#include "wigeonwall/request/enum_names.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwall::process::dispatch {

/// \brief What the other entries answered to a cancellation.
enum class PeerCancelResult : std::uint8_t {
  /// One of them has cancelled the job.
  Cancelled,
  /// None of them has the job.
  Unknown,
  /// Some could not be asked, and one of them may have the job.
  Unanswered,
};

inline constexpr std::array<request::EnumName<PeerCancelResult>, 3>
    PeerCancelResultNames{{
        {PeerCancelResult::Cancelled, "cancelled"},
        {PeerCancelResult::Unknown, "unknown"},
        {PeerCancelResult::Unanswered, "unanswered"},
    }};

struct PeerCancellationHooks {
  /// Cancels a job of this entry; the callback receives false if there is none.
  std::function<void(const std::string &JobId, std::function<void(bool)> Done)>
      CancelLocally_;
  std::function<void(const std::string &JobId, const std::string &Event,
                     const std::string &Detail)>
      Log_;
};

/// \brief Passes cancellations to all other entries, and serves theirs at
/// `POST /cancel?job=ID` (200, or 404 if the job is not known).
///
/// A job is known only to the entry that accepted it, and a caller may reach
/// any entry.
class PeerCancellation {
public:
  using Callback = std::function<void(PeerCancelResult)>;

  PeerCancellation(connection::asio::io_context &Context,
                   PeerCancellationHooks Hooks);

  void setPeers(std::vector<connection::Endpoint> Peers) {
    Peers_ = std::move(Peers);
  }
  /// \brief Asks all other entries. Answers Unanswered at once if the entries
  /// are not known yet, or too many cancellations are pending.
  void cancel(const std::string &JobId, Callback Done);
  /// \brief Handles a request of another entry; returns false if it is no
  /// cancellation.
  bool serve(const connection::HttpRequest &Request,
             const connection::HttpRespond &Respond) const;

private:
  struct Pending;

  PeerCancellationHooks Hooks_;
  connection::HttpClient Client_;
  std::optional<std::vector<connection::Endpoint>> Peers_;
  std::shared_ptr<std::size_t> PendingCount_ = std::make_shared<std::size_t>(0);
};

} // namespace wigeonwall::process::dispatch

#endif
