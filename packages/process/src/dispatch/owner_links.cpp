#include "wigeonwall/process/dispatch/owner_links.h"

#include <algorithm>
#include <tuple>

namespace wigeonwall::process::dispatch {

using request::Duration;
using request::TimePoint;

namespace {

/// Interval between reports of changes, per connected entry. An entry whose
/// order is declined is sent a report immediately.
constexpr Duration ReportPeriodPerOwner = std::chrono::milliseconds(5);
constexpr Duration MinReportPeriod = std::chrono::milliseconds(15);
/// Changes are not reported if their reports could be older than this, which is
/// about the run time of a short task. Below it, figures of all agents give
/// better places under overload than answers of a sample.
constexpr Duration MaxReportPeriod = std::chrono::milliseconds(60);
/// An entry confirms outcomes at least every 200 ms while it has tasks.
constexpr std::size_t FreeUnconfirmedBytes = 64 * 1024;

} // namespace

std::optional<Duration> reportPeriod(std::size_t Entries) {
  const Duration Period = ReportPeriodPerOwner * Entries;
  if (Period > MaxReportPeriod)
    return std::nullopt;
  return std::max(Period, MinReportPeriod);
}

OwnerLinks::OwnerLinks(connection::asio::io_context &Context,
                       connection::Endpoint Address, LinkTiming Timing,
                       OwnerLinksHooks Hooks, connection::PeerLimits Limits)
    : Timing_(Timing), Hooks_(std::move(Hooks)), Budget_(Limits.Budget_),
      Listener_(
          Context, std::move(Address),
          [this](const Link &Accepted) { onAccept(Accepted); },
          std::move(Limits), [this] { return closeUnused(); }),
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
    // A connection that does not name its entry would never be closed.
    if (Name->empty())
      return Current->close();
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
  Owner &Entry = Owners_.try_emplace(Name, Budget_).first->second;
  if (Entry.Link_)
    Entry.Link_->close();
  Entry.SessionId_ = SessionId;
  Entry.Link_ = Accepted;
  Entry.SentRevision_ = 0;
  Entry.LastReceivedAt_ = Entry.ConnectedAt_ = Hooks_.Now_();
  Hooks_.Log_(Name, "entry_connected",
              Resumed ? "session=resumed" : "session=new");
  Accepted->send(
      Entry.Session_.unsequencedFrame("welcome", encodeWelcome(Resumed)));
  for (const std::string &Frame : Entry.Session_.unacknowledgedFrames())
    Accepted->send(Frame);
  refreshReport();
  ReportBodies Bodies;
  sendReport(Entry, Bodies);
}

void OwnerLinks::onMessage(const std::string &Name,
                           connection::PeerMessage Message) {
  Owner &Entry = Owners_.at(Name);
  Entry.LastReceivedAt_ = Hooks_.Now_();
  const bool Accepted = Entry.Session_.accept(Message);
  holdUnconfirmed(Name, Entry);
  if (!Accepted)
    return;
  if (Message.Method_ == "query") {
    Entry.WantsProfiles_ =
        Entry.WantsProfiles_ || queryAsksForProfiles(Message.Params_);
    refreshReport();
    ReportBodies Bodies;
    return sendReport(Entry, Bodies);
  }
  MessageFault Fault;
  if (Message.Method_ == "heartbeat") {
    if (const auto ClockMs = decodeHeartbeat(Message.Params_, Fault))
      return confirm(Entry, *ClockMs);
  } else if (Message.Method_ == "order") {
    if (const auto Order = decodeOrder(Message.Params_, Fault))
      return onOrder(Name, Entry, *Order);
  } else if (Message.Method_ == "evacuations") {
    if (const auto Document = decodeEvacuations(Message.Params_, Fault))
      return Hooks_.OnEvacuations_(*Document);
  } else if (Message.Method_ == "cancel") {
    if (const auto Job = decodeCancel(Message.Params_, Fault))
      return Hooks_.OnCancel_(Name, *Job);
  } else {
    Fault.Message_ = "unknown message \"" + Message.Method_ + "\"";
  }
  Hooks_.Log_(Name, "message_ignored", "detail=\"" + Fault.Message_ + "\"");
  // The entry would wait without end for the outcomes of an order that could
  // not be read.
  if (Message.Sequence_ != 0)
    remove(Name, "malformed message");
}

void OwnerLinks::onOrder(const std::string &Name, Owner &Entry,
                         const RunOrder &Order) {
  Entry.OpenTasks_ += Order.Tasks_.size();
  // The entry may have been paused, or the message held up, for so long that
  // the entry has given the tasks to another agent.
  const std::chrono::milliseconds Age(clockMs() - Order.AgentClockMs_);
  // A clock ahead of the agent's own was not read from any of its reports.
  if (Age >= Age.zero() && Age <= Timing_.OwnerTimeout_) {
    confirm(Entry, Order.AgentClockMs_);
    Entry.HasOrdered_ = true;
    return Hooks_.OnOrder_(Name, Order);
  }
  Hooks_.Log_(Name, "order_declined",
              "job=" + Order.Job_ +
                  " cause=stale age_ms=" + std::to_string(Age.count()));
  for (const RunOrderTask &Task : Order.Tasks_) {
    RunOutcome Outcome;
    Outcome.Job_ = Order.Job_;
    Outcome.Index_ = Task.Index_;
    Outcome.End_ = request::RunEnd::NeverRan;
    Outcome.Reason_ = "stale_order";
    sendOutcome(Name, Outcome);
  }
}

void OwnerLinks::confirm(Owner &Entry, std::int64_t AgentClockMs) const {
  const TimePoint ReportedAt{std::chrono::milliseconds(AgentClockMs)};
  if (ReportedAt <= Hooks_.Now_())
    Entry.ConfirmedAt_ = std::max(Entry.ConfirmedAt_, ReportedAt);
}

std::int64_t OwnerLinks::clockMs() const {
  return request::toMilliseconds(Hooks_.Now_().time_since_epoch());
}

void OwnerLinks::remove(const std::string &Name, const std::string &Reason) {
  const auto Known = Owners_.find(Name);
  if (Known->second.Link_)
    Known->second.Link_->close();
  Owners_.erase(Known);
  Hooks_.Log_(Name, "entry_lost", "detail=\"" + Reason + "\"");
  Hooks_.OnOwnerLost_(Name);
}

bool OwnerLinks::closeUnused() {
  auto Chosen = Owners_.end();
  for (auto Each = Owners_.begin(); Each != Owners_.end(); ++Each) {
    const Owner &Entry = Each->second;
    if (!Entry.Link_ || Entry.OpenTasks_ > 0)
      continue;
    if (Chosen == Owners_.end() ||
        std::tie(Entry.HasOrdered_, Entry.ConnectedAt_) <
            std::tie(Chosen->second.HasOrdered_, Chosen->second.ConnectedAt_))
      Chosen = Each;
  }
  if (Chosen == Owners_.end())
    return false;
  remove(std::string(Chosen->first), "room for another connection");
  return true;
}

void OwnerLinks::sendOutcome(const std::string &Name,
                             const RunOutcome &Outcome) {
  const auto Known = Owners_.find(Name);
  if (Known == Owners_.end())
    return;
  Known->second.OpenTasks_ -=
      std::min<std::size_t>(Known->second.OpenTasks_, 1);
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
  Known->second.LastSentAt_ = Hooks_.Now_();
  if (Known->second.Link_)
    Known->second.Link_->send(Frame);
  holdUnconfirmed(Name, Known->second);
}

void OwnerLinks::holdUnconfirmed(const std::string &Name, Owner &Entry) {
  const std::size_t Bytes = Entry.Session_.unacknowledgedBytes();
  if (Bytes <= FreeUnconfirmedBytes)
    return Entry.Unconfirmed_.release();
  // The owner is removed later, because its runs may be in use here.
  const auto OnEvicted = [this, Name, Session = Entry.SessionId_] {
    connection::asio::post(ReportTimer_.get_executor(), [this, Name, Session] {
      const auto Known = Owners_.find(Name);
      if (Known != Owners_.end() && Known->second.SessionId_ == Session)
        remove(Name, "too many unconfirmed outcomes");
    });
  };
  (void)Entry.Unconfirmed_.hold(Bytes, OnEvicted);
}

std::optional<TimePoint>
OwnerLinks::lastContact(const std::string &Name) const {
  const auto Known = Owners_.find(Name);
  if (Known == Owners_.end())
    return std::nullopt;
  return Known->second.ConfirmedAt_;
}

void OwnerLinks::scheduleReport() {
  if (ReportScheduled_)
    return;
  ReportScheduled_ = true;
  const TimePoint Now = Hooks_.Now_();
  const TimePoint Next =
      std::max(Now, LastReportAt_ +
                        reportPeriod(Owners_.size()).value_or(MaxReportPeriod));
  ReportTimer_.expires_after(Next - Now);
  ReportTimer_.async_wait([this](auto Cancelled) {
    if (!Cancelled)
      sendReports();
  });
}

void OwnerLinks::refreshReport() {
  request::AgentReport Report = Hooks_.Report_();
  Report.ReportsChanges_ = reportPeriod(Owners_.size()).has_value();
  Report.AgentClockMs_ = clockMs();
  if (Report.Accepting_ != LastReport_.Accepting_ ||
      Report.ReportsChanges_ != LastReport_.ReportsChanges_ ||
      Report.Service_ != LastReport_.Service_ ||
      Report.Capacity_ != LastReport_.Capacity_ ||
      Report.Labels_ != LastReport_.Labels_ ||
      Report.FailureDomain_ != LastReport_.FailureDomain_)
    ++Revision_;
  LastReport_ = std::move(Report);
}

void OwnerLinks::sendReport(Owner &To, ReportBodies &Bodies) {
  if (!To.Link_)
    return;
  const bool Full = To.SentRevision_ != Revision_;
  To.SentRevision_ = Revision_;
  To.LastSentAt_ = Hooks_.Now_();
  // A message of its own, because entries of an earlier build reject a report
  // with a further field, but only skip an unknown message.
  if (Full && !LastReport_.FailureDomain_.empty())
    To.Link_->send(To.Session_.unsequencedFrame(
        "failure_domain", encodeFailureDomain(LastReport_.FailureDomain_)));
  const bool Profile = To.WantsProfiles_ && !LastReport_.Profile_.empty();
  std::string &Body = Bodies.Forms_.at(Full ? 1 : 0).at(Profile ? 1 : 0);
  if (Body.empty())
    Body = encodeReport(LastReport_, Full, Profile);
  To.Link_->send(To.Session_.unsequencedFrame("report", Body));
}

void OwnerLinks::sendReports() {
  ReportScheduled_ = false;
  LastReportAt_ = Hooks_.Now_();
  refreshReport();
  // Entries that ask for reports are only told what decides whether they ask.
  if (!LastReport_.ReportsChanges_ && AnnouncedRevision_ == Revision_)
    return;
  AnnouncedRevision_ = Revision_;
  ReportBodies Bodies;
  for (auto &[Name, Entry] : Owners_)
    sendReport(Entry, Bodies);
}

void OwnerLinks::tick() {
  const TimePoint Now = Hooks_.Now_();
  for (auto Each = Owners_.begin(); Each != Owners_.end();) {
    const auto Current = Each++;
    const Owner &Entry = Current->second;
    const Duration Timeout = Entry.OpenTasks_ > 0 || !Entry.Link_
                                 ? Timing_.OwnerTimeout_
                                 : Timing_.IdleOwnerTimeout_;
    if (Now - Entry.LastReceivedAt_ > Timeout)
      remove(std::string(Current->first), "silent");
  }
  sendDueReports();
}

void OwnerLinks::sendDueReports() {
  const TimePoint Now = Hooks_.Now_();
  bool Refreshed = false;
  ReportBodies Bodies;
  for (auto &[Name, Entry] : Owners_) {
    const bool Frequent = Entry.OpenTasks_ > 0 || LastReport_.ReportsChanges_;
    if (Now - Entry.LastSentAt_ <
        (Frequent ? Timing_.HeartbeatPeriod_ : Timing_.IdleReportPeriod_))
      continue;
    if (!Refreshed)
      refreshReport();
    Refreshed = true;
    sendReport(Entry, Bodies);
  }
}

void OwnerLinks::closeAllSessions(const std::string &Reason) {
  while (!Owners_.empty())
    remove(std::string(Owners_.begin()->first), Reason);
}

} // namespace wigeonwall::process::dispatch
