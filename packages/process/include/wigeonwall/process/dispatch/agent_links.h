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
#include <string>

namespace wigeonwall::process::dispatch {

struct AgentLinksHooks {
  request::Clock Now_;
  std::function<void(const std::string &Agent, request::AgentReport Report)>
      OnReport_;
  std::function<void(const std::string &Agent, const RunOutcome &Outcome)>
      OnOutcome_;
  /// All runs at the agent are lost; they have ended by \p SafeAt.
  std::function<void(const std::string &Agent, request::TimePoint SafeAt)>
      OnLost_;
  std::function<void(const std::string &Agent, const std::string &Event,
                     const std::string &Detail)>
      Log_;
};

/// \brief Connects to all known agents and keeps one session with each.
class AgentLinks {
public:
  AgentLinks(connection::asio::io_context &Context, LinkTiming Timing,
             AgentLinksHooks Hooks, std::string OwnName);

  /// \brief Sets the known agents: addresses by name. An agent that is not
  /// listed any more is kept while its connection lives.
  void setAgents(const std::map<std::string, connection::Endpoint> &Agents);
  std::uint64_t sendOrder(const std::string &Agent, const RunOrder &Order);
  void sendCancel(const std::string &Agent, const std::string &Job);
  /// \brief Heartbeats and time bounds; call about every 50 ms.
  void tick();
  /// \brief Agents with a session.
  [[nodiscard]] std::size_t connectedCount() const noexcept;

private:
  enum class Phase : std::uint8_t { Idle, Connecting, Greeting, Up };

  struct Remote {
    connection::Endpoint Address_;
    bool Listed_ = true;
    Phase Phase_ = Phase::Idle;
    std::shared_ptr<connection::PeerConnection> Link_;
    connection::PeerSession Session_;
    /// Tells sessions of this entry apart.
    std::string SessionId_;
    /// Whether the agent has confirmed this session.
    bool Established_ = false;
    /// Last report; the next ones leave out what has not changed.
    request::AgentReport Report_;
    request::TimePoint AttemptAt_;
    request::TimePoint HeardAt_;
    request::TimePoint SentAt_;
  };

  void connect(const std::string &Name, Remote &Which);
  void onConnected(const std::string &Name);
  void onMessage(const std::string &Name, connection::PeerMessage Message);
  void onWelcome(const std::string &Name, Remote &Which,
                 std::string_view Params);
  void onClosed(const std::string &Name, const std::string &Why);
  /// Ends the session; its runs are lost.
  void abandon(const std::string &Name, Remote &Which, const std::string &Why);
  void disconnect(Remote &Which);
  void newSession(Remote &Which);
  std::uint64_t sendNumbered(const std::string &Agent,
                             const std::string &Method,
                             const std::string &Body);

  connection::asio::io_context &Context_;
  LinkTiming Timing_;
  AgentLinksHooks Hooks_;
  std::string OwnName_;
  std::uint64_t SessionCount_ = 0;
  std::map<std::string, Remote> Remotes_;
};

} // namespace wigeonwall::process::dispatch

#endif
