#include "wigeonwall/process/dispatch/owner_links.h"

namespace wigeonwall::process::dispatch {

using request::Duration;
using request::TimePoint;

namespace {

/// Time between reports, per connected entry. Agents grow in number with the
/// entries, so reading the reports of all of them takes about the same share of
/// an entry in small and large systems. An entry whose order is declined gets a
/// report at once.
constexpr Duration ReportPeriodPerOwner = std::chrono::milliseconds(5);
constexpr Duration LeastReportPeriod = std::chrono::milliseconds(15);

} // namespace

OwnerLinks::OwnerLinks(connection::asio::io_context &Context,
                       connection::Endpoint Address, LinkTiming Timing,
                       OwnerLinksHooks Hooks)
    : Timing_(Timing), Hooks_(std::move(Hooks)),
      Listener_(Context, std::move(Address),
                [this](const Link &Accepted) { onAccept(Accepted); }),
      ReportTimer_(Context) {}

void OwnerLinks::onAccept(const Link &Accepted) {
  connection::PeerConnection::Callbacks Use;
  // The first message names the entry; until then the link owns itself.
  auto Name = std::make_shared<std::string>();
  const std::weak_ptr<connection::PeerConnection> Weak = Accepted;
  Use.OnMessage_ = [this, Name, Weak](connection::PeerMessage Message) {
    const Link Current = Weak.lock();
    if (Message.Method_ == "hello" && Name->empty()) {
      MessageFault Why;
      const auto Hello = decodeHello(Message.Params_, Why);
      if (!Hello) {
        Hooks_.Log_("", "message_ignored", "detail=\"" + Why.Message_ + "\"");
        return Current->close();
      }
      *Name = Hello->Entry_;
      return onHello(Current, *Hello);
    }
    const auto Known = Owners_.find(*Name);
    if (Known != Owners_.end() && Known->second.Link_ == Current)
      onMessage(*Name, std::move(Message));
  };
  Use.OnClosed_ = [this, Name, Weak](const std::string &Why) {
    const auto Known = Owners_.find(*Name);
    if (Known == Owners_.end() || Known->second.Link_ != Weak.lock())
      return;
    Hooks_.Log_(*Name, "entry_disconnected", "detail=\"" + Why + "\"");
    Known->second.Link_.reset();
  };
  Accepted->start(std::move(Use));
}

void OwnerLinks::onHello(const Link &Accepted, const EntryHello &Hello) {
  const std::string &Name = Hello.Entry_;
  const std::string &SessionId = Hello.Session_;
  const auto Known = Owners_.find(Name);
  const bool Resumed =
      Known != Owners_.end() && Known->second.SessionId_ == SessionId;
  if (Known != Owners_.end() && !Resumed)
    remove(Name, "new session");
  Owner &Which = Owners_[Name];
  if (Which.Link_)
    Which.Link_->close();
  Which.SessionId_ = SessionId;
  Which.Link_ = Accepted;
  Which.ToldChange_ = 0;
  Which.HeardAt_ = Hooks_.Now_();
  Hooks_.Log_(Name, "entry_connected",
              Resumed ? "session=resumed" : "session=new");
  Accepted->send(
      Which.Session_.unsequencedFrame("welcome", encodeWelcome(Resumed)));
  for (const std::string &Frame : Which.Session_.unacknowledgedFrames())
    Accepted->send(Frame);
  reportSoon();
}

void OwnerLinks::onMessage(const std::string &Name,
                           connection::PeerMessage Message) {
  Owner &Which = Owners_[Name];
  Which.HeardAt_ = Hooks_.Now_();
  if (!Which.Session_.accept(Message) || Message.Method_ == "heartbeat")
    return;
  MessageFault Why;
  if (Message.Method_ == "order") {
    if (const auto Order = decodeOrder(Message.Params_, Why))
      return Hooks_.OnOrder_(Name, *Order);
  } else if (Message.Method_ == "cancel") {
    if (const auto Job = decodeCancel(Message.Params_, Why))
      return Hooks_.OnCancel_(Name, *Job);
  } else {
    Why.Message_ = "unknown message \"" + Message.Method_ + "\"";
  }
  Hooks_.Log_(Name, "message_ignored", "detail=\"" + Why.Message_ + "\"");
}

void OwnerLinks::remove(const std::string &Name, const std::string &Why) {
  const auto Known = Owners_.find(Name);
  if (Known->second.Link_)
    Known->second.Link_->close();
  Owners_.erase(Known);
  Hooks_.Log_(Name, "entry_lost", "detail=\"" + Why + "\"");
  Hooks_.OnGone_(Name);
}

void OwnerLinks::sendOutcome(const std::string &Name,
                             const RunOutcome &Outcome) {
  const auto Known = Owners_.find(Name);
  if (Known == Owners_.end())
    return;
  if (Outcome.End_ == request::RunEnd::NeverRan && Told_.insert(Name).second) {
    refreshReport();
    ReportBodies Bodies;
    sendReport(Known->second, Bodies);
    connection::asio::post(ReportTimer_.get_executor(),
                           [this] { Told_.clear(); });
  }
  const std::string Frame =
      Known->second.Session_.sequencedFrame("outcome", encodeOutcome(Outcome));
  if (Known->second.Link_)
    Known->second.Link_->send(Frame);
}

Duration OwnerLinks::reportPeriod() const {
  return std::max<Duration>(LeastReportPeriod,
                            ReportPeriodPerOwner * Owners_.size());
}

void OwnerLinks::reportSoon() {
  if (ReportDue_)
    return;
  ReportDue_ = true;
  const TimePoint Now = Hooks_.Now_();
  const TimePoint Next = std::max(Now, ReportedAt_ + reportPeriod());
  ReportTimer_.expires_after(Next - Now);
  ReportTimer_.async_wait([this](auto Cancelled) {
    if (!Cancelled)
      sendReports();
  });
}

void OwnerLinks::refreshReport() {
  request::AgentReport Report = Hooks_.Report_();
  if (Report.Service_ != Reported_.Service_ ||
      Report.Capacity_ != Reported_.Capacity_ ||
      Report.Labels_ != Reported_.Labels_)
    ++Change_;
  Reported_ = std::move(Report);
}

void OwnerLinks::sendReport(Owner &To, ReportBodies &Bodies) {
  if (!To.Link_)
    return;
  const bool Whole = To.ToldChange_ != Change_;
  To.ToldChange_ = Change_;
  std::string &Body = Whole ? Bodies.Whole_ : Bodies.State_;
  if (Body.empty())
    Body = encodeReport(Reported_, Whole);
  To.Link_->send(To.Session_.unsequencedFrame("report", Body));
}

void OwnerLinks::sendReports() {
  ReportDue_ = false;
  ReportedAt_ = Hooks_.Now_();
  refreshReport();
  ReportBodies Bodies;
  for (auto &[Name, Which] : Owners_)
    sendReport(Which, Bodies);
}

void OwnerLinks::tick() {
  const TimePoint Now = Hooks_.Now_();
  for (auto Each = Owners_.begin(); Each != Owners_.end();) {
    const auto Current = Each++;
    if (Now - Current->second.HeardAt_ > Timing_.OwnerSilence_)
      remove(std::string(Current->first), "silent");
  }
  if (Now - ReportedAt_ >= Timing_.HeartbeatPeriod_)
    reportSoon();
}

void OwnerLinks::dropAll(const std::string &Why) {
  while (!Owners_.empty())
    remove(std::string(Owners_.begin()->first), Why);
}

} // namespace wigeonwall::process::dispatch
