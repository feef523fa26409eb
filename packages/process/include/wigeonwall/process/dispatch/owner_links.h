/// \file
/// \brief An agent's connections from the entries that own its runs.
#ifndef WIGEONWALL_PROCESS_DISPATCH_OWNER_LINKS_H
#define WIGEONWALL_PROCESS_DISPATCH_OWNER_LINKS_H

#include "wigeonwall/connection/peer_connection.h"
#include "wigeonwall/process/dispatch/link_timing.h"
#include "wigeonwall/process/dispatch/messages.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace wigeonwall::process::dispatch {

struct OwnerLinksHooks {
  request::Clock Now_;
  std::function<void(const std::string &Owner, const RunOrder &Order)> OnOrder_;
  std::function<void(const std::string &Owner, const std::string &Job)>
      OnCancel_;
  std::function<void(const std::string &Owner)> OnOwnerLost_;
  /// Receives the evacuated failure domains as known to an entry.
  std::function<void(const std::string &Document)> OnEvacuations_;
  /// Returns the current state of the agent.
  std::function<request::AgentReport()> Report_;
  std::function<void(const std::string &Owner, const std::string &Event,
                     const std::string &Detail)>
      Log_;
};

/// \brief Interval between the reports of changes of an agent to \p Entries
/// entries. Empty if there are too many entries to report each change; they
/// query the agents.
[[nodiscard]] std::optional<request::Duration>
reportPeriod(std::size_t Entries);

/// \brief Accepts connections from entries and maintains a session with each.
///
/// An entry may reconnect within LinkTiming::OwnerTimeout_. After that its
/// session ends and its runs are stopped. An entry without tasks at the agent
/// may be silent for longer while it is connected.
///
/// Reports are sent to all entries after each change if there are few entries.
/// Otherwise an entry queries the agent when it needs a report, so that the
/// number of reports follows the number of jobs, not that of the connections.
class OwnerLinks {
public:
  OwnerLinks(connection::asio::io_context &Context,
             connection::Endpoint Address, LinkTiming Timing,
             OwnerLinksHooks Hooks, connection::PeerLimits Limits = {});

  [[nodiscard]] bool listen() { return Listener_.listen(); }
  void sendOutcome(const std::string &Owner, const RunOutcome &Outcome);
  /// \brief Schedules reports of a change; calls within a report period are
  /// combined.
  void scheduleReport();
  /// \brief Sends heartbeats and checks timeouts; call about every 50 ms.
  void tick();
  /// \brief Ends all sessions after the process has stalled, because pending
  /// messages may be older than the entries' latest decisions.
  void closeAllSessions(const std::string &Reason);
  /// \brief Returns a time after which an entry was certainly running: that of
  /// the last report that the entry has confirmed with an order or a heartbeat.
  /// Empty if it has no session.
  ///
  /// The time at which a message was received is not used, because the message
  /// may have been delayed on the way or in the buffers of this process.
  [[nodiscard]] std::optional<request::TimePoint>
  lastContact(const std::string &Owner) const;
  [[nodiscard]] std::size_t ownerCount() const noexcept {
    return Owners_.size();
  }

private:
  using Link = std::shared_ptr<connection::PeerConnection>;

  struct Owner {
    explicit Owner(std::shared_ptr<connection::InputBudget> Budget)
        : Unconfirmed_(std::move(Budget)) {}

    std::string SessionId_;
    Link Link_;
    connection::PeerSession Session_;
    request::TimePoint LastReceivedAt_;
    /// Time of the last report that the entry is known to have received.
    request::TimePoint ConfirmedAt_;
    request::TimePoint LastSentAt_;
    request::TimePoint ConnectedAt_;
    /// The entry has sent an order that was based on a current report.
    bool HasOrdered_ = false;
    /// Number of ordered tasks without an outcome.
    std::size_t OpenTasks_ = 0;
    /// Outcomes that the entry has not confirmed.
    connection::InputAccount Unconfirmed_;
    /// Revision of the last full report that was sent.
    std::uint64_t SentRevision_ = 0;
    /// The entry has asked for profiles.
    bool WantsProfiles_ = false;
  };

  /// Encoded report in all forms, each encoded on first use.
  struct ReportBodies {
    /// By whether the report is full, and whether it has a profile.
    std::array<std::array<std::string, 2>, 2> Forms_;
  };

  void onAccept(const Link &Accepted);
  void onHello(const Link &Accepted, const EntryHello &Hello);
  void onMessage(const std::string &Name, connection::PeerMessage Message);
  void remove(const std::string &Name, const std::string &Reason);
  /// Closes the link of an entry without tasks: first of those that have never
  /// sent an order, then the one connected longest. False if all have tasks.
  [[nodiscard]] bool closeUnused();
  void onOrder(const std::string &Name, Owner &Entry, const RunOrder &Order);
  /// Counts the outcomes that the entry has not confirmed, if they are many.
  void holdUnconfirmed(const std::string &Name, Owner &Entry);
  /// Records that the entry has received the report of \p AgentClockMs.
  void confirm(Owner &Entry, std::int64_t AgentClockMs) const;
  void sendReports();
  /// Sends a report to each entry that has not been sent a message for the
  /// heartbeat or idle period.
  void sendDueReports();
  /// Updates the report; increments the revision if a field that partial
  /// reports omit has changed.
  void refreshReport();
  [[nodiscard]] std::int64_t clockMs() const;
  void sendReport(Owner &To, ReportBodies &Bodies);

  LinkTiming Timing_;
  OwnerLinksHooks Hooks_;
  std::shared_ptr<connection::InputBudget> Budget_;
  connection::PeerListener Listener_;
  connection::asio::steady_timer ReportTimer_;
  bool ReportScheduled_ = false;
  request::AgentReport LastReport_;
  std::uint64_t Revision_ = 1;
  /// Revision of the last report that was sent to all entries.
  std::uint64_t AnnouncedRevision_ = 0;
  /// Entries that were sent a report in this iteration of the event loop.
  std::set<std::string> RecentlyReported_;
  request::TimePoint LastReportAt_;
  std::map<std::string, Owner> Owners_;
};

} // namespace wigeonwall::process::dispatch

#endif
