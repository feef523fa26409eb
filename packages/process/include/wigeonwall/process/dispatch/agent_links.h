/// \file
/// \brief An entry's connections to the agents.
#ifndef WIGEONWALL_PROCESS_DISPATCH_AGENT_LINKS_H
#define WIGEONWALL_PROCESS_DISPATCH_AGENT_LINKS_H

#include "wigeonwall/connection/peer_connection.h"
#include "wigeonwall/process/dispatch/link_timing.h"
#include "wigeonwall/process/dispatch/messages.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace wigeonwall::process::dispatch {

struct AgentLinksHooks {
  request::Clock Now_;
  std::function<void(const std::string &Agent, request::AgentReport Report)>
      OnReport_;
  std::function<void(const std::string &Agent, const RunOutcome &Outcome)>
      OnOutcome_;
  /// Called when the session ends. All runs at the agent are lost and have
  /// ended by \p SafeAt.
  std::function<void(const std::string &Agent, request::TimePoint SafeAt)>
      OnLost_;
  std::function<void(const std::string &Agent, const std::string &Event,
                     const std::string &Detail)>
      Log_;
};

/// \brief Returns the name of an entry on its links. An agent takes a
/// connection that sends the name for a new session of the entry, so it has 64
/// bits from \p Random.
[[nodiscard]] std::string
uniqueLinkName(const std::string &Id, std::int64_t StartedAtMs,
               const std::function<std::uint32_t()> &Random);

/// \brief Maintains a connection and a session with each known agent.
class AgentLinks {
public:
  AgentLinks(connection::asio::io_context &Context, LinkTiming Timing,
             AgentLinksHooks Hooks, std::string OwnName,
             connection::PeerLimits Limits = {}, bool AsksForProfiles = false);
  AgentLinks(const AgentLinks &) = delete;
  AgentLinks &operator=(const AgentLinks &) = delete;
  /// \brief Closes all connections, whose callbacks refer to this object.
  ~AgentLinks();

  /// \brief Sets the known agents as addresses by name. An agent that is
  /// removed is kept until its session ends. A second name for an address in
  /// use is ignored, because an agent has one session with an entry.
  void setAgents(const std::map<std::string, connection::Endpoint> &Agents);
  /// \brief Sends an order; returns its sequence number.
  std::uint64_t sendOrder(const std::string &Agent, RunOrder Order);
  void sendCancel(const std::string &Agent, const std::string &Job);
  /// \brief Requests a report; dropped if the agent is not connected.
  void sendQuery(const std::string &Agent);
  /// \brief Sets the evacuated failure domains, encoded by EvacuationMonitor,
  /// and sends them to all agents now and on each connection.
  ///
  /// An agent that cannot reach the store would otherwise start tasks that it
  /// has queued before.
  void setEvacuations(std::string Document);
  /// \brief Sends heartbeats and checks timeouts; call about every 50 ms.
  void tick();
  /// \brief Number of agents with an active connection.
  [[nodiscard]] std::size_t connectedCount() const noexcept;

private:
  enum class Phase : std::uint8_t { Idle, Connecting, Handshake, Connected };

  struct Remote {
    connection::Endpoint Address_;
    bool Listed_ = true;
    Phase Phase_ = Phase::Idle;
    std::shared_ptr<connection::PeerConnection> Link_;
    connection::PeerSession Session_;
    /// Unique among the sessions of this entry.
    std::string SessionId_;
    /// Whether the agent has confirmed this session.
    bool Established_ = false;
    /// Last report. Later reports omit fields that have not changed.
    request::AgentReport Report_;
    request::TimePoint ConnectStartedAt_;
    request::TimePoint LastReceivedAt_;
    request::TimePoint LastSentAt_;
    /// Number of ordered tasks without an outcome.
    std::size_t OpenTasks_ = 0;
    /// Time of the first message that the agent has to answer, if it has not
    /// sent any message since.
    std::optional<request::TimePoint> AnswerDueSince_;
  };

  void sendEvacuations(Remote &Peer) const;
  /// Returns true if the agent has been silent for too long.
  [[nodiscard]] bool isSilent(const Remote &Peer, request::TimePoint Now) const;
  void expectAnswer(Remote &Peer) const;
  /// Returns the name of another agent with this address; empty if none.
  [[nodiscard]] std::string otherAgentAt(const connection::Endpoint &Address,
                                         const std::string &Except) const;
  /// Connects to the listed agents that have no connection yet.
  void connectListed();
  void connect(const std::string &Name, Remote &Peer);
  void onConnected(const std::string &Name);
  void onMessage(const std::string &Name, connection::PeerMessage Message);
  void onWelcome(const std::string &Name, Remote &Peer,
                 std::string_view Params);
  void onClosed(const std::string &Name, const std::string &Reason);
  /// Ends the session and reports its runs as lost.
  void endSession(const std::string &Name, Remote &Peer,
                  const std::string &Reason);
  void disconnect(Remote &Peer);
  void resetSession(Remote &Peer);
  std::uint64_t sendNumbered(const std::string &Agent,
                             const std::string &Method,
                             const std::string &Body);

  connection::asio::io_context &Context_;
  LinkTiming Timing_;
  AgentLinksHooks Hooks_;
  connection::PeerLimits Limits_;
  std::string OwnName_;
  /// Ask agents to report when capacity will be free.
  bool AsksForProfiles_;
  std::uint64_t SessionCount_ = 0;
  std::map<std::string, connection::Endpoint> ListedAgents_;
  std::map<std::string, Remote> Remotes_;
  /// Empty if evacuations are not followed.
  std::string Evacuations_;
};

} // namespace wigeonwall::process::dispatch

#endif
