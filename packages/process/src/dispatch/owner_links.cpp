#include "wigeonwall/process/dispatch/owner_links.h"

namespace wigeonwall::process::dispatch {

using request::Duration;
using request::TimePoint;

namespace {

/// Report interval per connected entry. The number of agents grows with that of
/// the entries, so the load of reading reports on an entry is about the same in
/// small and large systems. An entry whose order is declined is sent a report
/// immediately.
constexpr Duration ReportPeriodPerOwner = std::chrono::milliseconds(5);
constexpr Duration MinReportPeriod = std::chrono::milliseconds(15);

} // namespace

OwnerLinks::OwnerLinks(connection::asio::io_context &Context,
                       connection::Endpoint Address, LinkTiming Timing,
                       OwnerLinksHooks Hooks)
    : Timing_(Timing), Hooks_(std::move(Hooks)),
      Listener_(Context, std::move(Address),
                [this](const Link &Accepted) { onAccept(Accepted); }),
      ReportTimer_(Context) {}

void OwnerLinks::onAccept(const Link &Accepted) {
  connection::PeerConnection::Callbacks Callbacks;
  // The entry is identified by its first message; until then only the link
  // itself keeps it alive.
  auto Name = std::make_shared<std::string>();
  const std::weak_ptr<connection::PeerConnection> Weak = Accepted;
  Callbacks.OnMessage_ = [this, Name, Weak](connection::PeerMessage Message) {
    const Link Current = Weak.lock();
    if (Message.Method_ == "hello" && Name->empty()) {
      MessageFault Fault;
      const auto Hello = decodeHello(Message.Params_, Fault);
      if (!Hello) {
        Hooks_.Log_("", "message_ignored", "detail=\"" + Fault.Message_ + "\"");
        return Current->close();
      }
      *Name = Hello->Entry_;
      return onHello(Current, *Hello);
    }
    const auto Known = Owners_.find(*Name);
    if (Known != Owners_.end() && Known->second.Link_ == Current)
      onMessage(*Name, std::move(Message));
  };
  Callbacks.OnClosed_ = [this, Name, Weak](const std::string &Reason) {
    const auto Known = Owners_.find(*Name);
    if (Known == Owners_.end() || Known->second.Link_ != Weak.lock())
      return;
    Hooks_.Log_(*Name, "entry_disconnected", "detail=\"" + Reason + "\"");
    Known->second.Link_.reset();
  };
  Accepted->start(std::move(Callbacks));
}

void OwnerLinks::onHello(const Link &Accepted, const EntryHello &Hello) {
  const std::string &Name = Hello.Entry_;
  const std::string &SessionId = Hello.Session_;
  const auto Known = Owners_.find(Name);
  const bool Resumed =
      Known != Owners_.end() && Known->second.SessionId_ == SessionId;
  if (Known != Owners_.end() && !Resumed)
    remove(Name, "new session");
  Owner &Entry = Owners_[Name];
  if (Entry.Link_)
    Entry.Link_->close();
  Entry.SessionId_ = SessionId;
  Entry.Link_ = Accepted;
  Entry.SentRevision_ = 0;
  Entry.LastReceivedAt_ = Hooks_.Now_();
  Hooks_.Log_(Name, "entry_connected",
              Resumed ? "session=resumed" : "session=new");
  Accepted->send(
      Entry.Session_.unsequencedFrame("welcome", encodeWelcome(Resumed)));
  for (const std::string &Frame : Entry.Session_.unacknowledgedFrames())
    Accepted->send(Frame);
  scheduleReport();
}

void OwnerLinks::onMessage(const std::string &Name,
                           connection::PeerMessage Message) {
  Owner &Entry = Owners_[Name];
  Entry.LastReceivedAt_ = Hooks_.Now_();
  if (!Entry.Session_.accept(Message) || Message.Method_ == "heartbeat")
    return;
  MessageFault Fault;
  if (Message.Method_ == "order") {
    if (const auto Order = decodeOrder(Message.Params_, Fault))
      return Hooks_.OnOrder_(Name, *Order);
  } else if (Message.Method_ == "cancel") {
    if (const auto Job = decodeCancel(Message.Params_, Fault))
      return Hooks_.OnCancel_(Name, *Job);
  } else {
    Fault.Message_ = "unknown message \"" + Message.Method_ + "\"";
  }
  Hooks_.Log_(Name, "message_ignored", "detail=\"" + Fault.Message_ + "\"");
}

void OwnerLinks::remove(const std::string &Name, const std::string &Reason) {
  const auto Known = Owners_.find(Name);
  if (Known->second.Link_)
    Known->second.Link_->close();
  Owners_.erase(Known);
  Hooks_.Log_(Name, "entry_lost", "detail=\"" + Reason + "\"");
  Hooks_.OnOwnerLost_(Name);
}

void OwnerLinks::sendOutcome(const std::string &Name,
                             const RunOutcome &Outcome) {
  const auto Known = Owners_.find(Name);
  if (Known == Owners_.end())
    return;
  if (Outcome.End_ == request::RunEnd::NeverRan &&
      RecentlyReported_.insert(Name).second) {
    refreshReport();
    ReportBodies Bodies;
    sendReport(Known->second, Bodies);
    connection::asio::post(ReportTimer_.get_executor(),
                           [this] { RecentlyReported_.clear(); });
  }
  const std::string Frame =
      Known->second.Session_.sequencedFrame("outcome", encodeOutcome(Outcome));
  if (Known->second.Link_)
    Known->second.Link_->send(Frame);
}

Duration OwnerLinks::reportPeriod() const {
  return std::max<Duration>(MinReportPeriod,
                            ReportPeriodPerOwner * Owners_.size());
}

void OwnerLinks::scheduleReport() {
  if (ReportScheduled_)
    return;
  ReportScheduled_ = true;
  const TimePoint Now = Hooks_.Now_();
  const TimePoint Next = std::max(Now, LastReportAt_ + reportPeriod());
  ReportTimer_.expires_after(Next - Now);
  ReportTimer_.async_wait([this](auto Cancelled) {
    if (!Cancelled)
      sendReports();
  });
}

void OwnerLinks::refreshReport() {
  request::AgentReport Report = Hooks_.Report_();
  if (Report.Service_ != LastReport_.Service_ ||
      Report.Capacity_ != LastReport_.Capacity_ ||
      Report.Labels_ != LastReport_.Labels_)
    ++Revision_;
  LastReport_ = std::move(Report);
}

void OwnerLinks::sendReport(Owner &To, ReportBodies &Bodies) {
  if (!To.Link_)
    return;
  const bool Full = To.SentRevision_ != Revision_;
  To.SentRevision_ = Revision_;
  std::string &Body = Full ? Bodies.Full_ : Bodies.Partial_;
  if (Body.empty())
    Body = encodeReport(LastReport_, Full);
  To.Link_->send(To.Session_.unsequencedFrame("report", Body));
}

void OwnerLinks::sendReports() {
  ReportScheduled_ = false;
  LastReportAt_ = Hooks_.Now_();
  refreshReport();
  ReportBodies Bodies;
  for (auto &[Name, Entry] : Owners_)
    sendReport(Entry, Bodies);
}

void OwnerLinks::tick() {
  const TimePoint Now = Hooks_.Now_();
  for (auto Each = Owners_.begin(); Each != Owners_.end();) {
    const auto Current = Each++;
    if (Now - Current->second.LastReceivedAt_ > Timing_.OwnerTimeout_)
      remove(std::string(Current->first), "silent");
  }
  if (Now - LastReportAt_ >= Timing_.HeartbeatPeriod_)
    scheduleReport();
}

void OwnerLinks::closeAllSessions(const std::string &Reason) {
  while (!Owners_.empty())
    remove(std::string(Owners_.begin()->first), Reason);
}

} // namespace wigeonwall::process::dispatch
