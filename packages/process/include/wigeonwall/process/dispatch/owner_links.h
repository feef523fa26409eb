/// \file
/// \brief An agent's connections from the entries that order runs.
#ifndef WIGEONWALL_PROCESS_DISPATCH_OWNER_LINKS_H
#define WIGEONWALL_PROCESS_DISPATCH_OWNER_LINKS_H

#include "wigeonwall/connection/peer_connection.h"
#include "wigeonwall/process/dispatch/link_timing.h"
#include "wigeonwall/process/dispatch/messages.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace wigeonwall::process::dispatch {

struct OwnerLinksHooks {
  request::Clock Now_;
  std::function<void(const std::string &Owner, const RunOrder &Order)> OnOrder_;
  std::function<void(const std::string &Owner, const std::string &Job)>
      OnCancel_;
  std::function<void(const std::string &Owner)> OnGone_;
  /// Current state of the agent.
  std::function<request::AgentReport()> Report_;
  std::function<void(const std::string &Owner, const std::string &Event,
                     const std::string &Detail)>
      Log_;
};

/// \brief Accepts entries and keeps one session with each.
///
/// A connection may break and come back within LinkTiming::OwnerSilence_;
/// after that the entry counts as gone and its runs are ended.
class OwnerLinks {
public:
  OwnerLinks(connection::asio::io_context &Context,
             connection::Endpoint Address, LinkTiming Timing,
             OwnerLinksHooks Hooks);

  [[nodiscard]] bool listen() { return Listener_.listen(); }
  void sendOutcome(const std::string &Owner, const RunOutcome &Outcome);
  /// \brief Sends the state to all entries soon; calls within a
  /// period share one report.
  void reportSoon();
  /// \brief Heartbeats and time bounds; call about every 50 ms.
  void tick();
  /// \brief Drops all sessions after the process has stood still, because
  /// their messages may be older than the entries' decisions.
  void dropAll(const std::string &Why);
  [[nodiscard]] std::size_t ownerCount() const noexcept {
    return Owners_.size();
  }

private:
  using Link = std::shared_ptr<connection::PeerConnection>;

  struct Owner {
    std::string SessionId_;
    Link Link_;
    connection::PeerSession Session_;
    request::TimePoint HeardAt_;
    /// Number of the last change that the owner was told of in whole.
    std::uint64_t ToldChange_ = 0;
  };

  /// One report in both forms, each written when the first entry needs it.
  struct ReportBodies {
    std::string State_;
    std::string Whole_;
  };

  void onAccept(const Link &Accepted);
  void onHello(const Link &Accepted, const EntryHello &Hello);
  void onMessage(const std::string &Name, connection::PeerMessage Message);
  void remove(const std::string &Name, const std::string &Why);
  void sendReports();
  /// Reads the agent's state and counts changes of what most reports leave out.
  void refreshReport();
  [[nodiscard]] request::Duration reportPeriod() const;
  void sendReport(Owner &To, ReportBodies &Bodies);

  LinkTiming Timing_;
  OwnerLinksHooks Hooks_;
  connection::PeerListener Listener_;
  connection::asio::steady_timer ReportTimer_;
  bool ReportDue_ = false;
  request::AgentReport Reported_;
  std::uint64_t Change_ = 1;
  /// Entries that got a report in this turn of the loop.
  std::set<std::string> Told_;
  request::TimePoint ReportedAt_;
  std::map<std::string, Owner> Owners_;
};

} // namespace wigeonwall::process::dispatch

#endif
