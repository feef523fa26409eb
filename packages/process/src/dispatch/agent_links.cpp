#include "wigeonwall/process/dispatch/agent_links.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace wigeonwall::process::dispatch {

using request::TimePoint;

namespace asio = connection::asio;

std::string uniqueLinkName(const std::string &Id, std::int64_t StartedAtMs,
                           const std::function<std::uint32_t()> &Random) {
  std::array<char, 17> Secret{};
  std::snprintf(Secret.data(), Secret.size(), "%08x%08x", Random(), Random());
  return Id + "@" + std::to_string(StartedAtMs) + "-" + Secret.data();
}

AgentLinks::AgentLinks(asio::io_context &Context, LinkTiming Timing,
                       AgentLinksHooks Hooks, std::string OwnName,
                       connection::PeerLimits Limits, bool AsksForProfiles)
    : Context_(Context), Timing_(Timing), Hooks_(std::move(Hooks)),
      Limits_(std::move(Limits)), OwnName_(std::move(OwnName)),
      AsksForProfiles_(AsksForProfiles) {}

AgentLinks::~AgentLinks() {
  for (auto &[Name, Peer] : Remotes_)
    disconnect(Peer);
}

void AgentLinks::setAgents(
    const std::map<std::string, connection::Endpoint> &Agents) {
  ListedAgents_ = Agents;
  for (auto &[Name, Peer] : Remotes_)
    Peer.Listed_ = Agents.count(Name) != 0;
  connectListed();
}

void AgentLinks::connectListed() {
  for (const auto &[Name, Address] : ListedAgents_) {
    if (const std::string Other = otherAgentAt(Address, Name); !Other.empty()) {
      Hooks_.Log_(Name, "member_ignored",
                  "cause=duplicate_address other=" + Other);
      continue;
    }
    const auto Known = Remotes_.find(Name);
    if (Known != Remotes_.end() && Known->second.Address_ == Address)
      continue;
    if (Known != Remotes_.end())
      endSession(Name, Known->second, "address changed");
    Remote &Peer = Remotes_[Name];
    Peer.Address_ = Address;
    resetSession(Peer);
    connect(Name, Peer);
  }
}

std::string AgentLinks::otherAgentAt(const connection::Endpoint &Address,
                                     const std::string &Except) const {
  for (const auto &[Name, Peer] : Remotes_)
    if (Name != Except && Peer.Address_ == Address &&
        (Peer.Listed_ || Peer.Established_))
      return Name;
  return {};
}

void AgentLinks::resetSession(Remote &Peer) {
  Peer.Session_ = connection::PeerSession();
  Peer.SessionId_ = OwnName_ + "/" + std::to_string(++SessionCount_);
  Peer.Established_ = false;
  Peer.OpenTasks_ = 0;
  Peer.AnswerDueSince_.reset();
}

void AgentLinks::connect(const std::string &Name, Remote &Peer) {
  Peer.Phase_ = Phase::Connecting;
  Peer.ConnectStartedAt_ = Hooks_.Now_();
  Peer.Link_ = std::make_shared<connection::PeerConnection>(Context_, Limits_);
  connection::PeerConnection::Callbacks Callbacks;
  const std::weak_ptr<connection::PeerConnection> Link = Peer.Link_;
  const auto Current = [this, Name, Link] {
    const auto Found = Remotes_.find(Name);
    return Found != Remotes_.end() && Found->second.Link_ == Link.lock();
  };
  Callbacks.OnConnected_ = [this, Name, Current] {
    if (Current())
      onConnected(Name);
  };
  Callbacks.OnMessage_ = [this, Name,
                          Current](connection::PeerMessage Message) {
    if (Current())
      onMessage(Name, std::move(Message));
  };
  Callbacks.OnClosed_ = [this, Name, Current](const std::string &Reason) {
    if (Current())
      onClosed(Name, Reason);
  };
  Peer.Link_->connect(Peer.Address_, std::move(Callbacks));
}

void AgentLinks::onConnected(const std::string &Name) {
  Remote &Peer = Remotes_[Name];
  Peer.Phase_ = Phase::Handshake;
  Peer.Link_->send(Peer.Session_.unsequencedFrame(
      "hello", encodeHello({OwnName_, Peer.SessionId_})));
}

void AgentLinks::onMessage(const std::string &Name,
                           connection::PeerMessage Message) {
  Remote &Peer = Remotes_[Name];
  Peer.LastReceivedAt_ = Hooks_.Now_();
  Peer.AnswerDueSince_.reset();
  if (Message.Method_ == "welcome")
    return onWelcome(Name, Peer, Message.Params_);
  if (Peer.Phase_ != Phase::Connected || !Peer.Session_.accept(Message))
    return;
  MessageFault Fault;
  if (Message.Method_ == "report") {
    auto Report = decodeReport(Message.Params_, Peer.Report_, Fault);
    if (Report) {
      Report->Included_ = Message.Acknowledged_;
      Peer.Report_ = *Report;
      return Hooks_.OnReport_(Name, std::move(*Report));
    }
  } else if (Message.Method_ == "failure_domain") {
    if (auto Domain = decodeFailureDomain(Message.Params_, Fault)) {
      // Takes effect with the report that follows.
      Peer.Report_.FailureDomain_ = std::move(*Domain);
      return;
    }
  } else if (Message.Method_ == "outcome") {
    if (const auto Outcome = decodeOutcome(Message.Params_, Fault)) {
      Peer.OpenTasks_ -= std::min<std::size_t>(Peer.OpenTasks_, 1);
      return Hooks_.OnOutcome_(Name, *Outcome);
    }
  } else {
    Fault.Message_ = "unknown method \"" + Message.Method_ + "\"";
  }
  Hooks_.Log_(Name, "message_ignored", "detail=\"" + Fault.Message_ + "\"");
  // The message may have been the outcome of a task, which is not sent again.
  if (Message.Sequence_ != 0)
    endSession(Name, Peer, "malformed message");
}

void AgentLinks::onWelcome(const std::string &Name, Remote &Peer,
                           std::string_view Params) {
  MessageFault Fault;
  const auto Answer = decodeWelcome(Params, Fault);
  if (!Answer)
    Hooks_.Log_(Name, "message_ignored", "detail=\"" + Fault.Message_ + "\"");
  const bool Resumed = Answer.value_or(false);
  if (Peer.Established_ && !Resumed) {
    endSession(Name, Peer, "agent has no such session");
    return;
  }
  Peer.Phase_ = Phase::Connected;
  Peer.LastSentAt_ = Hooks_.Now_();
  Hooks_.Log_(Name, "agent_connected",
              Resumed ? "session=resumed" : "session=new");
  Peer.Established_ = true;
  // First, because the agent may not start the tasks that are sent again.
  sendEvacuations(Peer);
  for (const std::string &Frame : Peer.Session_.unacknowledgedFrames())
    Peer.Link_->send(Frame);
  if (AsksForProfiles_)
    Peer.Link_->send(
        Peer.Session_.unsequencedFrame("query", encodeQuery(true)));
}

void AgentLinks::setEvacuations(std::string Document) {
  Evacuations_ = std::move(Document);
  for (auto &[Name, Peer] : Remotes_)
    if (Peer.Phase_ == Phase::Connected)
      sendEvacuations(Peer);
}

void AgentLinks::sendEvacuations(Remote &Peer) const {
  if (!Evacuations_.empty())
    Peer.Link_->send(Peer.Session_.unsequencedFrame(
        "evacuations", encodeEvacuations(Evacuations_)));
}

void AgentLinks::disconnect(Remote &Peer) {
  if (Peer.Link_)
    Peer.Link_->close();
  Peer.Link_.reset();
  Peer.Phase_ = Phase::Idle;
}

void AgentLinks::onClosed(const std::string &Name, const std::string &Reason) {
  Remote &Peer = Remotes_[Name];
  if (Peer.Phase_ == Phase::Connected)
    Hooks_.Log_(Name, "agent_disconnected", "detail=\"" + Reason + "\"");
  const bool WasConnected = Peer.Phase_ == Phase::Connected;
  disconnect(Peer);
  // Reconnects immediately after a broken connection; tick() retries failed
  // attempts.
  if (WasConnected)
    connect(Name, Peer);
}

void AgentLinks::endSession(const std::string &Name, Remote &Peer,
                            const std::string &Reason) {
  disconnect(Peer);
  const bool Established = Peer.Established_;
  resetSession(Peer);
  if (!Established)
    return;
  Hooks_.Log_(Name, "agent_lost", "detail=\"" + Reason + "\"");
  Hooks_.OnLost_(Name, Hooks_.Now_() + Timing_.RunsEndWithin_);
}

std::uint64_t AgentLinks::sendNumbered(const std::string &Agent,
                                       const std::string &Method,
                                       const std::string &Body) {
  const auto Found = Remotes_.find(Agent);
  if (Found == Remotes_.end()) {
    Hooks_.Log_(Agent, "message_dropped", "cause=unknown_agent");
    return 0;
  }
  Remote &Peer = Found->second;
  const std::string Frame = Peer.Session_.sequencedFrame(Method, Body);
  if (Peer.Phase_ == Phase::Connected) {
    Peer.Link_->send(Frame);
    Peer.LastSentAt_ = Hooks_.Now_();
  }
  return Peer.Session_.lastSent();
}

std::uint64_t AgentLinks::sendOrder(const std::string &Agent, RunOrder Order) {
  if (const auto Found = Remotes_.find(Agent); Found != Remotes_.end()) {
    Order.AgentClockMs_ = Found->second.Report_.AgentClockMs_;
    Found->second.OpenTasks_ += Order.Tasks_.size();
    expectAnswer(Found->second);
  }
  return sendNumbered(Agent, "order", encodeOrder(Order));
}

void AgentLinks::sendQuery(const std::string &Agent) {
  const auto Found = Remotes_.find(Agent);
  if (Found == Remotes_.end() || Found->second.Phase_ != Phase::Connected)
    return;
  Remote &Peer = Found->second;
  Peer.Link_->send(Peer.Session_.unsequencedFrame("query", encodeQuery()));
  Peer.LastSentAt_ = Hooks_.Now_();
  expectAnswer(Peer);
}

void AgentLinks::expectAnswer(Remote &Peer) const {
  if (!Peer.AnswerDueSince_)
    Peer.AnswerDueSince_ = Hooks_.Now_();
}

bool AgentLinks::isSilent(const Remote &Peer, TimePoint Now) const {
  const bool Idle = Peer.OpenTasks_ == 0 && !Peer.AnswerDueSince_;
  if (Idle && !Peer.Report_.ReportsChanges_)
    return Now - Peer.LastReceivedAt_ > Timing_.IdleAgentTimeout_;
  // The last message may be old when the first order or query after a while is
  // sent.
  const TimePoint Since = Peer.AnswerDueSince_ ? std::max(Peer.LastReceivedAt_,
                                                          *Peer.AnswerDueSince_)
                                               : Peer.LastReceivedAt_;
  return Now - Since > Timing_.AgentTimeout_;
}

void AgentLinks::sendCancel(const std::string &Agent, const std::string &Job) {
  sendNumbered(Agent, "cancel", encodeCancel(Job));
}

void AgentLinks::tick() {
  const TimePoint Now = Hooks_.Now_();
  bool Removed = false;
  for (auto Each = Remotes_.begin(); Each != Remotes_.end();) {
    const auto Current = Each++;
    Remote &Peer = Current->second;
    if (Peer.Established_ && isSilent(Peer, Now))
      endSession(Current->first, Peer, "silent");
    if (Peer.Phase_ == Phase::Connected) {
      if (Now - Peer.LastSentAt_ >= (Peer.OpenTasks_ > 0
                                         ? Timing_.HeartbeatPeriod_
                                         : Timing_.IdleHeartbeatPeriod_)) {
        Peer.Link_->send(Peer.Session_.unsequencedFrame(
            "heartbeat", encodeHeartbeat(Peer.Report_.AgentClockMs_)));
        Peer.LastSentAt_ = Now;
      }
      continue;
    }
    if (Peer.Phase_ != Phase::Idle &&
        Now - Peer.ConnectStartedAt_ > Timing_.ConnectTimeout_)
      disconnect(Peer);
    if (Peer.Phase_ != Phase::Idle)
      continue;
    if (!Peer.Listed_ && !Peer.Established_) {
      Remotes_.erase(Current);
      Removed = true;
      continue;
    }
    if (Now - Peer.ConnectStartedAt_ >= Timing_.ReconnectDelay_)
      connect(Current->first, Peer);
  }
  // The removed agent may have used the address of a listed one.
  if (Removed)
    connectListed();
}

std::size_t AgentLinks::connectedCount() const noexcept {
  std::size_t Count = 0;
  for (const auto &[Name, Peer] : Remotes_)
    Count += Peer.Phase_ == Phase::Connected ? 1 : 0;
  return Count;
}

} // namespace wigeonwall::process::dispatch
