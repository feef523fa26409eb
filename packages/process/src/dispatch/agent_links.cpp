#include "wigeonwall/process/dispatch/agent_links.h"

namespace wigeonwall::process::dispatch {

using request::TimePoint;

namespace asio = connection::asio;

AgentLinks::AgentLinks(asio::io_context &Context, LinkTiming Timing,
                       AgentLinksHooks Hooks, std::string OwnName)
    : Context_(Context), Timing_(Timing), Hooks_(std::move(Hooks)),
      OwnName_(std::move(OwnName)) {}

void AgentLinks::setAgents(
    const std::map<std::string, connection::Endpoint> &Agents) {
  for (auto &[Name, Which] : Remotes_)
    Which.Listed_ = Agents.count(Name) != 0;
  for (const auto &[Name, Address] : Agents) {
    const auto Known = Remotes_.find(Name);
    if (Known != Remotes_.end() && Known->second.Address_ == Address)
      continue;
    if (Known != Remotes_.end())
      abandon(Name, Known->second, "address changed");
    Remote &Which = Remotes_[Name];
    Which.Address_ = Address;
    newSession(Which);
    connect(Name, Which);
  }
}

void AgentLinks::newSession(Remote &Which) {
  Which.Session_ = connection::PeerSession();
  Which.SessionId_ = OwnName_ + "/" + std::to_string(++SessionCount_);
  Which.Established_ = false;
}

void AgentLinks::connect(const std::string &Name, Remote &Which) {
  Which.Phase_ = Phase::Connecting;
  Which.AttemptAt_ = Hooks_.Now_();
  Which.Link_ = std::make_shared<connection::PeerConnection>(Context_);
  connection::PeerConnection::Callbacks Use;
  const std::weak_ptr<connection::PeerConnection> Link = Which.Link_;
  const auto Current = [this, Name, Link] {
    const auto Found = Remotes_.find(Name);
    return Found != Remotes_.end() && Found->second.Link_ == Link.lock();
  };
  Use.OnConnected_ = [this, Name, Current] {
    if (Current())
      onConnected(Name);
  };
  Use.OnMessage_ = [this, Name, Current](connection::PeerMessage Message) {
    if (Current())
      onMessage(Name, std::move(Message));
  };
  Use.OnClosed_ = [this, Name, Current](const std::string &Why) {
    if (Current())
      onClosed(Name, Why);
  };
  Which.Link_->connect(Which.Address_, std::move(Use));
}

void AgentLinks::onConnected(const std::string &Name) {
  Remote &Which = Remotes_[Name];
  Which.Phase_ = Phase::Greeting;
  Which.Link_->send(Which.Session_.unsequencedFrame(
      "hello", encodeHello({OwnName_, Which.SessionId_})));
}

void AgentLinks::onMessage(const std::string &Name,
                           connection::PeerMessage Message) {
  Remote &Which = Remotes_[Name];
  Which.HeardAt_ = Hooks_.Now_();
  if (Message.Method_ == "welcome")
    return onWelcome(Name, Which, Message.Params_);
  if (Which.Phase_ != Phase::Up || !Which.Session_.accept(Message))
    return;
  MessageFault Why;
  if (Message.Method_ == "report") {
    auto Report = decodeReport(Message.Params_, Which.Report_, Why);
    if (Report) {
      Report->Included_ = Message.Acknowledged_;
      Which.Report_ = *Report;
      return Hooks_.OnReport_(Name, std::move(*Report));
    }
  } else if (Message.Method_ == "outcome") {
    if (const auto Outcome = decodeOutcome(Message.Params_, Why))
      return Hooks_.OnOutcome_(Name, *Outcome);
  } else {
    Why.Message_ = "unknown method \"" + Message.Method_ + "\"";
  }
  Hooks_.Log_(Name, "message_ignored", "detail=\"" + Why.Message_ + "\"");
}

void AgentLinks::onWelcome(const std::string &Name, Remote &Which,
                           std::string_view Params) {
  MessageFault Why;
  const auto Answer = decodeWelcome(Params, Why);
  if (!Answer)
    Hooks_.Log_(Name, "message_ignored", "detail=\"" + Why.Message_ + "\"");
  const bool Resumed = Answer.value_or(false);
  if (Which.Established_ && !Resumed) {
    abandon(Name, Which, "agent does not know the session");
    return;
  }
  Which.Phase_ = Phase::Up;
  Which.SentAt_ = Hooks_.Now_();
  Hooks_.Log_(Name, "agent_connected",
              Resumed ? "session=resumed" : "session=new");
  Which.Established_ = true;
  for (const std::string &Frame : Which.Session_.unacknowledgedFrames())
    Which.Link_->send(Frame);
}

void AgentLinks::disconnect(Remote &Which) {
  if (Which.Link_)
    Which.Link_->close();
  Which.Link_.reset();
  Which.Phase_ = Phase::Idle;
}

void AgentLinks::onClosed(const std::string &Name, const std::string &Why) {
  Remote &Which = Remotes_[Name];
  if (Which.Phase_ == Phase::Up)
    Hooks_.Log_(Name, "agent_disconnected", "detail=\"" + Why + "\"");
  const bool WasUp = Which.Phase_ == Phase::Up;
  disconnect(Which);
  // A broken connection is replaced at once; tick() repeats failed attempts.
  if (WasUp)
    connect(Name, Which);
}

void AgentLinks::abandon(const std::string &Name, Remote &Which,
                         const std::string &Why) {
  disconnect(Which);
  const bool Established = Which.Established_;
  newSession(Which);
  if (!Established)
    return;
  Hooks_.Log_(Name, "agent_lost", "detail=\"" + Why + "\"");
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
  Remote &Which = Found->second;
  const std::string Frame = Which.Session_.sequencedFrame(Method, Body);
  if (Which.Phase_ == Phase::Up) {
    Which.Link_->send(Frame);
    Which.SentAt_ = Hooks_.Now_();
  }
  return Which.Session_.lastSent();
}

std::uint64_t AgentLinks::sendOrder(const std::string &Agent,
                                    const RunOrder &Order) {
  return sendNumbered(Agent, "order", encodeOrder(Order));
}

void AgentLinks::sendCancel(const std::string &Agent, const std::string &Job) {
  sendNumbered(Agent, "cancel", encodeCancel(Job));
}

void AgentLinks::tick() {
  const TimePoint Now = Hooks_.Now_();
  for (auto Each = Remotes_.begin(); Each != Remotes_.end();) {
    const auto Current = Each++;
    Remote &Which = Current->second;
    if (Which.Established_ && Now - Which.HeardAt_ > Timing_.AgentSilence_)
      abandon(Current->first, Which, "silent");
    if (Which.Phase_ == Phase::Up) {
      if (Now - Which.SentAt_ >= Timing_.HeartbeatPeriod_) {
        Which.Link_->send(
            Which.Session_.unsequencedFrame("heartbeat", encodeHeartbeat()));
        Which.SentAt_ = Now;
      }
      continue;
    }
    if (Which.Phase_ != Phase::Idle &&
        Now - Which.AttemptAt_ > Timing_.ConnectTimeout_)
      disconnect(Which);
    if (Which.Phase_ != Phase::Idle)
      continue;
    if (!Which.Listed_ && !Which.Established_) {
      Remotes_.erase(Current);
      continue;
    }
    if (Now - Which.AttemptAt_ >= Timing_.ReconnectDelay_)
      connect(Current->first, Which);
  }
}

std::size_t AgentLinks::connectedCount() const noexcept {
  std::size_t Count = 0;
  for (const auto &[Name, Which] : Remotes_)
    Count += Which.Phase_ == Phase::Up ? 1 : 0;
  return Count;
}

} // namespace wigeonwall::process::dispatch
