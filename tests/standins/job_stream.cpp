#include "standins/job_stream.h"

#include "wigeonwallctl/answer_check.h"

#include "wigeonwall/request/codec.h"

#include <algorithm>

namespace wigeonwall::standins {

namespace asio = connection::asio;
using connection::Endpoint;
using connection::TransportError;
using ctl::ReplyKind;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Callers are guaranteed an answer by the deadline plus this time.
constexpr milliseconds AnswerGrace{2'000};
/// Waits beyond the grace period so that messages distinguish a late answer
/// from a missing one.
constexpr milliseconds TransportGrace{1'000};
constexpr milliseconds RetryDelay{100};
constexpr std::size_t NoEntry = SIZE_MAX;
constexpr double ResubmitProbability = 0.2;
constexpr double WideJobProbability = 0.03;
constexpr double LongTaskProbability = 0.1;

std::int64_t unixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string makeBody(const request::JobKey &Key, const ctl::PlannedJob &Plan,
                     std::int64_t CreatedAtMs) {
  request::JobSpec Spec;
  Spec.Key_ = Key;
  Spec.Kind_ = Plan.Kind_;
  Spec.Team_ = Plan.Team_;
  Spec.CreatedAtMs_ = CreatedAtMs;
  Spec.Timeout_ = Plan.Timeout_;
  for (const std::uint32_t WorkMs : Plan.WorkMs_) {
    Json::Value Payload;
    Payload["work_ms"] = WorkMs;
    Spec.Tasks_.push_back({Payload, milliseconds(0)});
  }
  return request::writeJson(request::encodeJobSpec(Spec));
}

std::string describe(const ctl::CallerReply &Reply) {
  std::string Text(request::findName(ctl::ReplyKindNames, Reply.Kind_));
  if (isFinal(Reply.Kind_) && Reply.Kind_ != ReplyKind::Complete)
    return Text + "/" +
           std::string(
               request::findName(request::ReasonNames, Reply.Answer_.Reason_)) +
           " (" + Reply.Answer_.Detail_ + ")";
  return Reply.Detail_.empty() ? Text : Text + " (" + Reply.Detail_ + ")";
}

} // namespace

struct JobStream::JobRecord {
  request::JobKey Key_;
  ctl::PlannedJob Plan_;
  std::string Body_;
  steady_clock::time_point CreatedAt_;
  /// Unix time, to find the job in the logs of the processes.
  std::int64_t CreatedAtMs_ = 0;
  std::vector<ctl::CallerReply> Answers_;
};

struct JobStream::Submission {
  std::size_t Entry_ = 0;
  steady_clock::time_point At_;
};

JobStream::JobStream(JobStreamOptions Options)
    : Options_(std::move(Options)),
      Client_(Context_, {.ConnectionsPerPeer_ = 1'000}),
      Random_(Options_.Seed_), NextAt_(steady_clock::now()),
      Avoided_(Options_.Entries_.size()),
      LossExpected_(Options_.Entries_.size()) {
  asio::post(Context_, [this] { tick(); });
  Thread_ = std::thread([this] { Context_.run(); });
}

JobStream::~JobStream() {
  Context_.stop();
  if (Thread_.joinable())
    Thread_.join();
}

void JobStream::avoid(const Endpoint &Entry) {
  asio::post(Context_, [this, Entry] {
    for (std::size_t I = 0; I < Avoided_.size(); ++I)
      Avoided_[I] = Avoided_[I] || Options_.Entries_[I] == Entry;
  });
}

void JobStream::add(const Endpoint &Entry) {
  asio::post(Context_, [this, Entry] {
    Options_.Entries_.push_back(Entry);
    Avoided_.push_back(false);
    LossExpected_.push_back(false);
  });
}

void JobStream::expectLoss(const Endpoint &Entry) {
  asio::post(Context_, [this, Entry] {
    for (std::size_t I = 0; I < Avoided_.size(); ++I)
      LossExpected_[I] = LossExpected_[I] || Options_.Entries_[I] == Entry;
  });
}

void JobStream::finish() {
  asio::post(Context_, [this] {
    Finishing_ = true;
    Timer_.cancel();
    if (PendingSubmissions_ == 0)
      Context_.stop();
  });
  Thread_.join();
}

void JobStream::tick() {
  if (Finishing_)
    return;
  submit();
  NextAt_ += std::chrono::duration_cast<steady_clock::duration>(
      std::chrono::duration<double>(1 / Options_.JobsPerSecond_));
  Timer_.expires_at(NextAt_);
  Timer_.async_wait([this](auto Error) {
    if (!Error)
      tick();
  });
}

void JobStream::submit() {
  const JobRecordPointer Record = makeJob();
  Jobs_.push_back(Record);
  ++PendingSubmissions_;
  send(Record, NoEntry);
  if (std::bernoulli_distribution(ResubmitProbability)(Random_)) {
    ++PendingSubmissions_;
    sendLater(Record, chooseEntry(NoEntry),
              milliseconds(std::uniform_int_distribution(0, 500)(Random_)));
  }
}

JobStream::JobRecordPointer JobStream::makeJob() {
  auto Record = std::make_shared<JobRecord>();
  const double Size = std::uniform_real_distribution(0.0, 1.0)(Random_);
  ctl::PlannedJob &Plan = Record->Plan_;
  std::size_t Tasks = std::uniform_int_distribution(1, 8)(Random_);
  std::uniform_int_distribution<std::uint32_t> WorkMs(50, 500);
  if (Size < WideJobProbability) {
    Tasks = request::MaxTasksPerJob;
    WorkMs = std::uniform_int_distribution<std::uint32_t>(50, 60);
  } else if (Size < WideJobProbability + LongTaskProbability) {
    WorkMs = std::uniform_int_distribution<std::uint32_t>(500, 1'000);
  }
  for (std::size_t I = 0; I < Tasks; ++I)
    Plan.WorkMs_.push_back(WorkMs(Random_));
  Plan.Kind_ = Tasks % 3 == 0 ? "fire-clearance-review" : "setback-check";
  Plan.Team_ = "installers";
  Plan.Timeout_ = Options_.Timeout_;
  Record->Key_ = {"permit-desk", "job-" + std::to_string(Jobs_.size())};
  Record->CreatedAtMs_ = unixMs();
  Record->Body_ = makeBody(Record->Key_, Plan, Record->CreatedAtMs_);
  Record->CreatedAt_ = steady_clock::now();
  return Record;
}

/// Chooses a random entry; \p Avoided only if no other entry is available.
std::size_t JobStream::chooseEntry(std::size_t Avoided) {
  std::vector<std::size_t> Usable;
  for (std::size_t I = 0; I < Avoided_.size(); ++I)
    if (!Avoided_[I] && I != Avoided)
      Usable.push_back(I);
  if (Usable.empty())
    return Avoided == NoEntry ? 0 : Avoided;
  return Usable[std::uniform_int_distribution<std::size_t>(0, Usable.size() -
                                                                  1)(Random_)];
}

void JobStream::sendLater(const JobRecordPointer &Record, std::size_t Avoided,
                          milliseconds Delay) {
  auto Timer = std::make_shared<asio::steady_timer>(Context_, Delay);
  Timer->async_wait([this, Timer, Record, Avoided](auto Error) {
    if (!Error)
      send(Record, Avoided);
  });
}

void JobStream::send(const JobRecordPointer &Record, std::size_t Avoided) {
  const Submission Sent{chooseEntry(Avoided), steady_clock::now()};
  const milliseconds Wait = Record->Plan_.Timeout_ + AnswerGrace;
  Client_.send(Options_.Entries_[Sent.Entry_],
               ctl::makeSubmitRequest(Record->Body_, Wait),
               Wait + TransportGrace,
               [this, Record, Sent](const connection::HttpResult &Result) {
                 onReply(Record, Sent, Result);
               });
}

void JobStream::onReply(const JobRecordPointer &Record, const Submission &Sent,
                        const connection::HttpResult &Result) {
  const auto Reply = ctl::classifyReply(Record->Key_, Result);
  const bool Lost = Reply.Kind_ == ReplyKind::NoReply;
  if (Lost && Result.Error_ == TransportError::Ambiguous &&
      !LossExpected_[Sent.Entry_])
    addViolation(Record, "reply lost: " + Result.Detail_);
  if (!Lost && Reply.Kind_ != ReplyKind::Refused) {
    checkReply(Record, Sent, Reply);
    return endSubmission();
  }
  const auto Now = steady_clock::now();
  if (Now + RetryDelay < Record->CreatedAt_ + Record->Plan_.Timeout_)
    return sendLater(Record, Sent.Entry_, RetryDelay);
  addViolation(Record, "no answer from any entry: " + describe(Reply));
  endSubmission();
}

void JobStream::checkReply(const JobRecordPointer &Record,
                           const Submission &Sent,
                           const ctl::CallerReply &Reply) {
  if (!isFinal(Reply.Kind_))
    return addViolation(Record,
                        "no answer by the deadline: " + describe(Reply));
  if (steady_clock::now() > Sent.At_ + Record->Plan_.Timeout_ + AnswerGrace)
    addViolation(Record, "late answer: " + describe(Reply));
  const auto Check = ctl::checkReply(Record->Plan_, Record->Key_.Id_, Reply);
  if (Check != ctl::AnswerCheck::Good)
    addViolation(Record,
                 std::string(request::findName(ctl::AnswerCheckNames, Check)) +
                     " answer");
  for (const ctl::CallerReply &Earlier : Record->Answers_)
    if (ctl::areContradictory(Earlier, Reply))
      addViolation(Record, "contradictory answers: " + describe(Earlier) +
                               ", " + describe(Reply));
  Record->Answers_.push_back(Reply);
}

void JobStream::endSubmission() {
  if (--PendingSubmissions_ == 0 && Finishing_)
    Context_.stop();
}

void JobStream::addViolation(const JobRecordPointer &Record,
                             const std::string &Message) {
  const auto Age = std::chrono::duration_cast<milliseconds>(
      steady_clock::now() - Record->CreatedAt_);
  Violations_.push_back(Record->Key_.Id_ + " after " +
                        std::to_string(Age.count()) + " ms: " + Message);
}

std::vector<std::string>
JobStream::violations(const std::map<std::string, unsigned> &Starts) const {
  std::vector<std::string> Found = Violations_;
  for (const auto &[Task, Count] : Starts)
    if (Count > 1)
      Found.push_back("\"" + Task + "\" started " + std::to_string(Count) +
                      " times");
  for (const JobRecordPointer &Record : Jobs_)
    checkStarts(*Record, Starts, Found);
  return Found;
}

void JobStream::checkStarts(const JobRecord &Record,
                            const std::map<std::string, unsigned> &Starts,
                            std::vector<std::string> &Found) const {
  std::size_t Started = 0;
  for (std::size_t I = 0; I < Record.Plan_.WorkMs_.size(); ++I)
    Started += Starts.contains(Record.Key_.Service_ + " " + Record.Key_.Id_ +
                               " " + std::to_string(I));
  for (const ctl::CallerReply &Answer : Record.Answers_) {
    if (Answer.Kind_ == ReplyKind::NotRun && Started != 0)
      Found.push_back(Record.Key_.Id_ + ": " + describe(Answer) + ", but " +
                      std::to_string(Started) + " tasks started");
    if (Answer.Kind_ == ReplyKind::Complete &&
        Started != Record.Plan_.WorkMs_.size())
      Found.push_back(Record.Key_.Id_ + ": complete, but only " +
                      std::to_string(Started) + " tasks started");
  }
}

JobStreamCounts JobStream::counts() const {
  JobStreamCounts Counts;
  Counts.Jobs_ = Jobs_.size();
  for (const JobRecordPointer &Record : Jobs_) {
    if (Record->Answers_.empty())
      continue;
    const ReplyKind Kind = Record->Answers_.front().Kind_;
    Counts.Complete_ += Kind == ReplyKind::Complete;
    Counts.NotRun_ += Kind == ReplyKind::NotRun;
    Counts.Failed_ += Kind == ReplyKind::Failed;
  }
  return Counts;
}

std::vector<std::string>
JobStream::incompleteSince(steady_clock::time_point Since) const {
  std::vector<std::string> Found;
  for (const JobRecordPointer &Record : Jobs_)
    if (Record->CreatedAt_ > Since)
      for (const ctl::CallerReply &Answer : Record->Answers_)
        if (Answer.Kind_ != ReplyKind::Complete)
          Found.push_back(Record->Key_.Id_ + ", submitted at " +
                          std::to_string(Record->CreatedAtMs_) + ": " +
                          describe(Answer));
  return Found;
}

std::string JobStream::summary() const {
  std::map<std::string, unsigned> CountsByOutcome;
  for (const JobRecordPointer &Record : Jobs_)
    for (const ctl::CallerReply &Answer : Record->Answers_) {
      const std::string Text = describe(Answer);
      ++CountsByOutcome[Text.substr(0, Text.find(" ("))];
    }
  std::string Text = std::to_string(Jobs_.size()) + " jobs; answers:";
  for (const auto &[Outcome, Count] : CountsByOutcome)
    Text += " " + Outcome + " " + std::to_string(Count);
  return Text;
}

} // namespace wigeonwall::standins
