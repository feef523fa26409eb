#include "wigeonwallctl/load_run.h"

#include <algorithm>

namespace wigeonwall::ctl {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Covers the clock difference between home and tool and the transport, so
/// that the entry replies before the client gives up.
constexpr milliseconds AnswerMargin{2'000};
constexpr milliseconds TransportMargin{2'000};

std::int64_t unixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// \brief Writes the body by hand, because a JSON tree per job takes most of
/// the tool's time at thousands of jobs per second. All names are identifiers
/// that need no escapes.
std::string makeBody(const PlannedJob &Job, const std::string &Id) {
  std::string Body;
  Body.reserve(256 + Job.WorkMs_.size() * 32);
  Body += R"({"service":")" + Job.Service_ + R"(","job_id":")" + Id +
          R"(","kind":")" + Job.Kind_ + R"(","team":")" + Job.Team_ +
          R"(","created_at_ms":)" + std::to_string(unixMs()) +
          R"(,"timeout_ms":)" + std::to_string(Job.Timeout_.count());
  if (Job.NonIdempotent_)
    Body += R"(,"non_idempotent":true)";
  Body += R"(,"tasks":[)";
  for (std::size_t I = 0; I < Job.WorkMs_.size(); ++I) {
    if (I != 0)
      Body += ',';
    Body += R"({"payload":{"work_ms":)";
    Body += std::to_string(Job.WorkMs_[I]);
    Body += "}}";
  }
  return Body + "]}";
}

} // namespace

struct LoadRun::ActiveJob {
  explicit ActiveJob(connection::asio::io_context &Context)
      : ResubmitTimer_(Context) {}

  PlannedJob Plan_;
  request::JobKey Key_;
  std::string Body_;
  connection::asio::steady_timer ResubmitTimer_;
  JobEnd End_;
  std::size_t Waiting_ = 0;
  bool ResubmitPending_ = false;
  bool Ended_ = false;
};

LoadRun::LoadRun(LoadRunOptions Options, Source Jobs, Sink OnEnd, Tick OnSecond)
    : Options_(std::move(Options)), Jobs_(std::move(Jobs)),
      OnEnd_(std::move(OnEnd)), OnSecond_(std::move(OnSecond)),
      Client_(Context_,
              {.ConnectionsPerPeer_ = Options_.ConnectionsPerEntry_}) {}

LoadRun::~LoadRun() = default;

LoadProgress LoadRun::run() {
  Start_ = steady_clock::now();
  Next_ = Jobs_();
  tick();
  submitDue();
  if (Next_ || Progress_.InFlight_ != 0)
    Context_.run();
  Progress_.Elapsed_ = std::chrono::duration_cast<std::chrono::seconds>(
      steady_clock::now() - Start_);
  return Progress_;
}

void LoadRun::submitDue() {
  if (Options_.InFlight_ != 0)
    return refill();
  while (Next_) {
    const auto Due = Start_ + Next_->Offset_ + Options_.ClientDelay_;
    const auto Now = steady_clock::now();
    if (Now < Due) {
      SubmitTimer_.expires_at(Due);
      SubmitTimer_.async_wait([this](auto Error) {
        if (!Error)
          submitDue();
      });
      return;
    }
    Progress_.MaxLag_ =
        std::max<std::chrono::nanoseconds>(Progress_.MaxLag_, Now - Due);
    start(std::move(*Next_));
    Next_ = Jobs_();
  }
}

void LoadRun::refill() {
  while (Next_ && Progress_.InFlight_ < Options_.InFlight_) {
    const std::chrono::nanoseconds Offset = steady_clock::now() - Start_;
    if (Offset >= Options_.Duration_) {
      Next_.reset();
      return;
    }
    // The job reaches the entry now, so its client sent it one delay earlier.
    Next_->Offset_ = std::max<std::chrono::nanoseconds>(
        std::chrono::nanoseconds(0), Offset - Options_.ClientDelay_);
    start(std::move(*Next_));
    Next_ = Jobs_();
  }
}

void LoadRun::start(PlannedJob Plan) {
  auto Job = std::make_shared<ActiveJob>(Context_);
  Job->Key_ = {Plan.Service_, Options_.IdPrefix_ + Plan.Id_};
  Job->Body_ = makeBody(Plan, Job->Key_.Id_);
  Job->Plan_ = std::move(Plan);
  const std::size_t Entry = Progress_.Sent_ % Options_.Entries_.size();
  ++Progress_.Sent_;
  ++Progress_.InFlight_;
  if (Job->Plan_.ResubmitAfter_)
    scheduleResubmission(Job, (Entry + 1) % Options_.Entries_.size());
  send(Job, Entry);
}

void LoadRun::scheduleResubmission(const ActivePointer &Job,
                                   std::size_t Entry) {
  Job->ResubmitPending_ = true;
  Job->ResubmitTimer_.expires_at(Start_ + Job->Plan_.Offset_ +
                                 *Job->Plan_.ResubmitAfter_ +
                                 Options_.ClientDelay_);
  Job->ResubmitTimer_.async_wait([this, Job, Entry](auto Error) {
    Job->ResubmitPending_ = false;
    if (!Error && !Job->Ended_)
      send(Job, Entry);
  });
}

void LoadRun::send(const ActivePointer &Job, std::size_t Entry) {
  ++Job->Waiting_;
  const milliseconds Wait = Job->Plan_.Timeout_ + AnswerMargin;
  Client_.send(Options_.Entries_[Entry], makeSubmitRequest(Job->Body_, Wait),
               Wait + TransportMargin,
               [this, Job](const connection::HttpResult &Result) {
                 onReply(Job, Result);
               });
}

void LoadRun::onReply(const ActivePointer &Job,
                      const connection::HttpResult &Result) {
  const auto Arrival = steady_clock::now() + Options_.ClientDelay_;
  --Job->Waiting_;
  CallerReply Reply = classifyReply(Job->Key_, Result);
  JobEnd &End = Job->End_;
  End.Check_ =
      std::max(End.Check_, checkReply(Job->Plan_, Job->Key_.Id_, Reply));
  if (isFinal(End.Reply_.Kind_)) {
    End.Contradicted_ = End.Contradicted_ || contradict(End.Reply_, Reply);
  } else {
    End.Reply_ = std::move(Reply);
    End.EndOffset_ = Arrival - Start_;
    End.Latency_ = End.EndOffset_ - Job->Plan_.Offset_;
  }
  finishIfDone(Job);
}

void LoadRun::finishIfDone(const ActivePointer &Job) {
  const bool Answered = isFinal(Job->End_.Reply_.Kind_);
  if (Job->Waiting_ != 0 || (Job->ResubmitPending_ && !Answered))
    return;
  Job->Ended_ = true;
  Job->ResubmitTimer_.cancel();
  --Progress_.InFlight_;
  OnEnd_(Job->Plan_, Job->End_);
  if (Options_.InFlight_ != 0)
    refill();
  // Idle connections and the tick would keep the context running.
  if (!Next_ && Progress_.InFlight_ == 0)
    Context_.stop();
}

void LoadRun::tick() {
  TickTimer_.expires_at(Start_ + Progress_.Elapsed_ + std::chrono::seconds(1));
  TickTimer_.async_wait([this](auto Error) {
    if (Error)
      return;
    ++Progress_.Elapsed_;
    OnSecond_(Progress_);
    tick();
  });
}

} // namespace wigeonwall::ctl
