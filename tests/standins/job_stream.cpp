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

/// Part of the promise: an answer comes by the deadline plus this.
constexpr milliseconds AnswerMargin{2'000};
/// Keeps a late answer apart from none in the messages.
constexpr milliseconds TransportMargin{1'000};
constexpr milliseconds RepeatDelay{100};
constexpr std::size_t NoEntry = SIZE_MAX;
constexpr double ResubmitShare = 0.2;
constexpr double WideShare = 0.03;
constexpr double MediumShare = 0.1;

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

struct JobStream::Job {
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
    if (OpenChains_ == 0)
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
  const JobPointer Each = makeJob();
  Jobs_.push_back(Each);
  ++OpenChains_;
  send(Each, NoEntry);
  if (std::bernoulli_distribution(ResubmitShare)(Random_)) {
    ++OpenChains_;
    sendLater(Each, chooseEntry(NoEntry),
              milliseconds(std::uniform_int_distribution(0, 500)(Random_)));
  }
}

JobStream::JobPointer JobStream::makeJob() {
  auto Each = std::make_shared<Job>();
  const double Size = std::uniform_real_distribution(0.0, 1.0)(Random_);
  ctl::PlannedJob &Plan = Each->Plan_;
  std::size_t Tasks = std::uniform_int_distribution(1, 8)(Random_);
  std::uniform_int_distribution<std::uint32_t> WorkMs(50, 500);
  if (Size < WideShare) {
    Tasks = request::MaxTasksPerJob;
    WorkMs = std::uniform_int_distribution<std::uint32_t>(50, 60);
  } else if (Size < WideShare + MediumShare) {
    WorkMs = std::uniform_int_distribution<std::uint32_t>(500, 1'000);
  }
  for (std::size_t I = 0; I < Tasks; ++I)
    Plan.WorkMs_.push_back(WorkMs(Random_));
  Plan.Kind_ = Tasks % 3 == 0 ? "fire-clearance-review" : "setback-check";
  Plan.Team_ = "installers";
  Plan.Timeout_ = Options_.Timeout_;
  Each->Key_ = {"permit-desk", "job-" + std::to_string(Jobs_.size())};
  Each->CreatedAtMs_ = unixMs();
  Each->Body_ = makeBody(Each->Key_, Plan, Each->CreatedAtMs_);
  Each->CreatedAt_ = steady_clock::now();
  return Each;
}

/// A random entry; \p Avoided only when no other is left.
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

void JobStream::sendLater(const JobPointer &Each, std::size_t Avoided,
                          milliseconds Delay) {
  auto Timer = std::make_shared<asio::steady_timer>(Context_, Delay);
  Timer->async_wait([this, Timer, Each, Avoided](auto Error) {
    if (!Error)
      send(Each, Avoided);
  });
}

void JobStream::send(const JobPointer &Each, std::size_t Avoided) {
  const Submission Sent{chooseEntry(Avoided), steady_clock::now()};
  const milliseconds Wait = Each->Plan_.Timeout_ + AnswerMargin;
  Client_.send(Options_.Entries_[Sent.Entry_],
               ctl::makeSubmitRequest(Each->Body_, Wait),
               Wait + TransportMargin,
               [this, Each, Sent](const connection::HttpResult &Result) {
                 onReply(Each, Sent, Result);
               });
}

void JobStream::onReply(const JobPointer &Each, const Submission &Sent,
                        const connection::HttpResult &Result) {
  const auto Reply = ctl::classifyReply(Each->Key_, Result);
  const bool Lost = Reply.Kind_ == ReplyKind::NoReply;
  if (Lost && Result.Error_ == TransportError::Ambiguous &&
      !LossExpected_[Sent.Entry_])
    fail(Each, "reply lost: " + Result.Detail_);
  if (!Lost && Reply.Kind_ != ReplyKind::Refused) {
    checkReply(Each, Sent, Reply);
    return endChain();
  }
  const auto Now = steady_clock::now();
  if (Now + RepeatDelay < Each->CreatedAt_ + Each->Plan_.Timeout_)
    return sendLater(Each, Sent.Entry_, RepeatDelay);
  fail(Each, "no entry gave an answer: " + describe(Reply));
  endChain();
}

void JobStream::checkReply(const JobPointer &Each, const Submission &Sent,
                           const ctl::CallerReply &Reply) {
  if (!isFinal(Reply.Kind_))
    return fail(Each, "no answer by the deadline: " + describe(Reply));
  if (steady_clock::now() > Sent.At_ + Each->Plan_.Timeout_ + AnswerMargin)
    fail(Each, "late answer: " + describe(Reply));
  const auto Check = ctl::checkReply(Each->Plan_, Each->Key_.Id_, Reply);
  if (Check != ctl::AnswerCheck::Good)
    fail(Each, std::string(request::findName(ctl::AnswerCheckNames, Check)) +
                   " answer");
  for (const ctl::CallerReply &Earlier : Each->Answers_)
    if (ctl::contradict(Earlier, Reply))
      fail(Each, "two answers: " + describe(Earlier) + ", " + describe(Reply));
  Each->Answers_.push_back(Reply);
}

void JobStream::endChain() {
  if (--OpenChains_ == 0 && Finishing_)
    Context_.stop();
}

void JobStream::fail(const JobPointer &Each, const std::string &What) {
  const auto Age = std::chrono::duration_cast<milliseconds>(
      steady_clock::now() - Each->CreatedAt_);
  Violations_.push_back(Each->Key_.Id_ + " after " +
                        std::to_string(Age.count()) + " ms: " + What);
}

std::vector<std::string>
JobStream::violations(const std::map<std::string, unsigned> &Starts) const {
  std::vector<std::string> Found = Violations_;
  for (const auto &[Task, Count] : Starts)
    if (Count > 1)
      Found.push_back("\"" + Task + "\" started " + std::to_string(Count) +
                      " times");
  for (const JobPointer &Each : Jobs_)
    checkStarts(*Each, Starts, Found);
  return Found;
}

void JobStream::checkStarts(const Job &Each,
                            const std::map<std::string, unsigned> &Starts,
                            std::vector<std::string> &Found) const {
  std::size_t Started = 0;
  for (std::size_t I = 0; I < Each.Plan_.WorkMs_.size(); ++I)
    Started += Starts.contains(Each.Key_.Service_ + " " + Each.Key_.Id_ + " " +
                               std::to_string(I));
  for (const ctl::CallerReply &Answer : Each.Answers_) {
    if (Answer.Kind_ == ReplyKind::NotRun && Started != 0)
      Found.push_back(Each.Key_.Id_ + ": " + describe(Answer) + ", but " +
                      std::to_string(Started) + " tasks started");
    if (Answer.Kind_ == ReplyKind::Complete &&
        Started != Each.Plan_.WorkMs_.size())
      Found.push_back(Each.Key_.Id_ + ": complete, but only " +
                      std::to_string(Started) + " tasks started");
  }
}

JobStreamCounts JobStream::counts() const {
  JobStreamCounts Counts;
  Counts.Jobs_ = Jobs_.size();
  for (const JobPointer &Each : Jobs_) {
    if (Each->Answers_.empty())
      continue;
    const ReplyKind Kind = Each->Answers_.front().Kind_;
    Counts.Complete_ += Kind == ReplyKind::Complete;
    Counts.NotRun_ += Kind == ReplyKind::NotRun;
    Counts.Failed_ += Kind == ReplyKind::Failed;
  }
  return Counts;
}

std::vector<std::string>
JobStream::incompleteSince(steady_clock::time_point Since) const {
  std::vector<std::string> Found;
  for (const JobPointer &Each : Jobs_)
    if (Each->CreatedAt_ > Since)
      for (const ctl::CallerReply &Answer : Each->Answers_)
        if (Answer.Kind_ != ReplyKind::Complete)
          Found.push_back(Each->Key_.Id_ + ", submitted at " +
                          std::to_string(Each->CreatedAtMs_) + ": " +
                          describe(Answer));
  return Found;
}

std::string JobStream::summary() const {
  std::map<std::string, unsigned> Ends;
  for (const JobPointer &Each : Jobs_)
    for (const ctl::CallerReply &Answer : Each->Answers_) {
      const std::string Text = describe(Answer);
      ++Ends[Text.substr(0, Text.find(" ("))];
    }
  std::string Text = std::to_string(Jobs_.size()) + " jobs; answers:";
  for (const auto &[End, Count] : Ends)
    Text += " " + End + " " + std::to_string(Count);
  return Text;
}

} // namespace wigeonwall::standins
