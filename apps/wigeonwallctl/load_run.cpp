#include "wigeonwallctl/load_run.h"

#include <algorithm>

namespace wigeonwall::ctl {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Allow for clock skew between the home and this tool and for transport time,
/// so that the entry replies before the HTTP request times out.
constexpr milliseconds AnswerMargin{2'000};
constexpr milliseconds TransportMargin{2'000};

std::int64_t unixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// \brief Serializes the request body without a JSON library, because building
/// a JSON tree per job dominates the CPU time of this tool at thousands of jobs
/// per second. All names are identifiers that need no escaping.
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
  JobOutcome Outcome_;
  std::size_t PendingRequests_ = 0;
  bool ResubmitPending_ = false;
  bool Ended_ = false;
};

LoadRun::LoadRun(LoadRunOptions Options, JobSource Jobs,
                 CompletionCallback OnCompletion, ProgressCallback OnProgress)
    : Options_(std::move(Options)), JobSource_(std::move(Jobs)),
      OnCompletion_(std::move(OnCompletion)),
      OnProgress_(std::move(OnProgress)),
      Client_(Context_,
              {.ConnectionsPerPeer_ = Options_.ConnectionsPerEntry_}) {}

LoadRun::~LoadRun() = default;

LoadProgress LoadRun::run() {
  Start_ = steady_clock::now();
  NextJob_ = JobSource_();
  scheduleProgress();
  submitDueJobs();
  if (NextJob_ || Progress_.InFlight_ != 0)
    Context_.run();
  Progress_.Elapsed_ = std::chrono::duration_cast<std::chrono::seconds>(
      steady_clock::now() - Start_);
  return Progress_;
}

void LoadRun::submitDueJobs() {
  if (Options_.InFlight_ != 0)
    return refillInFlight();
  while (NextJob_) {
    const auto Due = Start_ + NextJob_->Offset_ + Options_.ClientDelay_;
    const auto Now = steady_clock::now();
    if (Now < Due) {
      SubmitTimer_.expires_at(Due);
      SubmitTimer_.async_wait([this](auto Error) {
        if (!Error)
          submitDueJobs();
      });
      return;
    }
    Progress_.MaxSendLag_ =
        std::max<std::chrono::nanoseconds>(Progress_.MaxSendLag_, Now - Due);
    start(std::move(*NextJob_));
    NextJob_ = JobSource_();
  }
}

void LoadRun::refillInFlight() {
  while (NextJob_ && Progress_.InFlight_ < Options_.InFlight_) {
    const std::chrono::nanoseconds Offset = steady_clock::now() - Start_;
    if (Offset >= Options_.Duration_) {
      NextJob_.reset();
      return;
    }
    // The request reaches the entry now, so the client submitted it one client
    // delay earlier.
    NextJob_->Offset_ = std::max<std::chrono::nanoseconds>(
        std::chrono::nanoseconds(0), Offset - Options_.ClientDelay_);
    start(std::move(*NextJob_));
    NextJob_ = JobSource_();
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
  ++Job->PendingRequests_;
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
  --Job->PendingRequests_;
  CallerReply Reply = classifyReply(Job->Key_, Result);
  JobOutcome &Outcome = Job->Outcome_;
  Outcome.Check_ =
      std::max(Outcome.Check_, checkReply(Job->Plan_, Job->Key_.Id_, Reply));
  if (isFinal(Outcome.Reply_.Kind_)) {
    Outcome.Contradicted_ =
        Outcome.Contradicted_ || areContradictory(Outcome.Reply_, Reply);
  } else {
    Outcome.Reply_ = std::move(Reply);
    Outcome.ArrivalOffset_ = Arrival - Start_;
    Outcome.Latency_ = Outcome.ArrivalOffset_ - Job->Plan_.Offset_;
  }
  finishIfDone(Job);
}

void LoadRun::finishIfDone(const ActivePointer &Job) {
  const bool Answered = isFinal(Job->Outcome_.Reply_.Kind_);
  if (Job->PendingRequests_ != 0 || (Job->ResubmitPending_ && !Answered))
    return;
  Job->Ended_ = true;
  Job->ResubmitTimer_.cancel();
  --Progress_.InFlight_;
  OnCompletion_(Job->Plan_, Job->Outcome_);
  if (Options_.InFlight_ != 0)
    refillInFlight();
  // Idle connections and the progress timer would keep the context running.
  if (!NextJob_ && Progress_.InFlight_ == 0)
    Context_.stop();
}

void LoadRun::scheduleProgress() {
  ProgressTimer_.expires_at(Start_ + Progress_.Elapsed_ +
                            std::chrono::seconds(1));
  ProgressTimer_.async_wait([this](auto Error) {
    if (Error)
      return;
    ++Progress_.Elapsed_;
    OnProgress_(Progress_);
    scheduleProgress();
  });
}

} // namespace wigeonwall::ctl
