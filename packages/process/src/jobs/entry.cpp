#include "wigeonwall/process/jobs/entry.h"

#include "wigeonwall/process/jobs/earlier_holders.h"
#include "wigeonwall/process/jobs/replies.h"
#include "wigeonwall/request/codec.h"

#include <algorithm>

namespace wigeonwall::process {

using request::JobAnswer;
using request::JobKey;
using request::JobSpec;
using request::Outcome;
using request::Reason;

namespace {

constexpr std::chrono::milliseconds ResubmitAfterRefusalDelay{50};
constexpr std::chrono::milliseconds ResubmitAfterOverloadDelay{1'000};
constexpr std::chrono::milliseconds ResubmitAfterErrorDelay{100};
constexpr std::chrono::seconds ResubmitPeriod{2};
/// The home answers at the deadline; the entry fails the job only if that
/// answer has not arrived this much later.
constexpr std::chrono::seconds AnswerGracePeriod{1};
/// Exceeds the time that membership and the map need to replace a dead home, so
/// that the copy holder is queried only when the map cannot change.
constexpr std::chrono::seconds CopyQueryDelay{10};
/// The poll period of a waiting lookup doubles between these limits: the lookup
/// sends few messages, and its delay after the job's end is at most the time
/// that it has waited.
constexpr std::chrono::milliseconds InitialPollPeriod{50};
constexpr std::chrono::seconds MaxPollPeriod{1};

/// String field of a peer's reply; "" if it is missing or not a string.
std::string readString(const Json::Value &Value, const char *Field) {
  if (!Value.isObject() || !Value[Field].isString())
    return {};
  return Value[Field].asString();
}

} // namespace

/// A lookup that waits for the end of a job submitted through another entry.
struct Entry::WaitingLookup {
  JobKey Key_;
  LookupCallback Done_;
  request::TimePoint End_;
  request::Duration Period_;
};

Entry::Entry(AgentContext Context, std::size_t MaxJobs)
    : Context_(std::move(Context)), MaxJobs_(MaxJobs),
      Metrics_(Context_.Counters_) {}

Entry::PendingJob *Entry::find(const JobKey &Key, std::uint64_t Serial) {
  const auto Found = PendingJobs_.find(Key);
  if (Found == PendingJobs_.end() || Found->second->Serial_ != Serial)
    return nullptr;
  return Found->second.get();
}

EntryRefusal Entry::submit(JobSpec Spec, AnswerCallback Done,
                           std::optional<request::Duration> Wait,
                           std::string_view TraceParent) {
  if (!Context_.View_()->ready()) {
    Metrics_.NotReady_.fetch_add(1);
    return EntryRefusal::NotReady;
  }
  const std::uint64_t Fingerprint = request::fingerprint(Spec);
  if (const auto Found = PendingJobs_.find(Spec.Key_);
      Found != PendingJobs_.end()) {
    if (Found->second->Fingerprint_ != Fingerprint) {
      Metrics_.Conflict_.fetch_add(1);
      return EntryRefusal::Conflict;
    }
    addWaiter(*Found->second, std::move(Done), Wait);
    return EntryRefusal::None;
  }
  if (PendingJobs_.size() >= MaxJobs_) {
    Metrics_.TooManyJobs_.fetch_add(1);
    return EntryRefusal::TooManyJobs;
  }
  auto Job = std::make_unique<PendingJob>();
  Job->Fingerprint_ = Fingerprint;
  Job->Serial_ = NextSerial_++;
  Job->SubmittedAt_ = Context_.Now_();
  Job->Deadline_ = Job->SubmittedAt_ + Spec.Timeout_ + AnswerGracePeriod;
  Job->Spec_ = std::move(Spec);
  if (Context_.Trace_ != nullptr)
    Job->Span_ =
        Context_.Trace_->start("entry.job", TraceParent, Job->Spec_.Key_);
  PendingJob &Stored = *Job;
  PendingJobs_[Stored.Spec_.Key_] = std::move(Job);
  addWaiter(Stored, std::move(Done), Wait);
  submitToHome(Stored);
  return EntryRefusal::None;
}

void Entry::addWaiter(PendingJob &Job, AnswerCallback Done,
                      std::optional<request::Duration> Wait) {
  const std::uint64_t Id = NextWaiter_++;
  Job.Waiting_.push_back({Id, std::move(Done)});
  // The timer holds no callback, so that the connection of an answered request
  // is released.
  if (Wait)
    Context_.After_(*Wait, [this, Key = Job.Spec_.Key_, Serial = Job.Serial_,
                            Id] { expireWaiter(Key, Serial, Id); });
}

void Entry::expireWaiter(const JobKey &Key, std::uint64_t Serial,
                         std::uint64_t Id) {
  PendingJob *Job = find(Key, Serial);
  if (Job == nullptr)
    return;
  const auto Found =
      std::find_if(Job->Waiting_.begin(), Job->Waiting_.end(),
                   [Id](const Waiter &Each) { return Each.Id_ == Id; });
  if (Found == Job->Waiting_.end())
    return;
  const AnswerCallback Done = std::move(Found->Done_);
  Job->Waiting_.erase(Found);
  Done(std::nullopt);
}

std::size_t Entry::waiters() const noexcept {
  std::size_t Count = 0;
  for (const auto &[Key, Job] : PendingJobs_)
    Count += Job->Waiting_.size();
  return Count;
}

void Entry::submitToHome(PendingJob &Job) {
  const auto View = Context_.View_();
  std::string Address = Job.RedirectAddress_;
  if (Address.empty()) {
    const version::HolderPair Pair = View->Map_->holders(Job.Spec_.Key_);
    if (Pair.Home_ == nullptr) {
      if (View->Config_->findService(Job.Spec_.Key_.Service_) == nullptr)
        return failUnknownService(Job);
      return resubmitLater(Job, ResubmitAfterErrorDelay);
    }
    Address = Pair.Home_->TrafficAddress_;
  }
  Json::Value Params;
  Params["epoch"] = Json::UInt64(View->Map_->Epoch_);
  Params["reply_to"] = ReplyTo_;
  Params["job"] = request::encodeJobSpec(Job.Spec_);
  if (Job.Span_)
    Params["trace"] = Context_.Trace_->contextOf(*Job.Span_);
  Job.CallInFlight_ = true;
  Context_.Call_(Address, "job.submit", std::move(Params), CallTimeout,
                 [this, Key = Job.Spec_.Key_,
                  Serial = Job.Serial_](const connection::RpcResult &Result) {
                   if (PendingJob *Current = find(Key, Serial))
                     onReply(*Current, Result);
                 });
}

void Entry::failUnknownService(const PendingJob &Job) {
  // A job of an unknown service has no home, so the entry answers it.
  Context_.After_(request::Duration::zero(), [this, Key = Job.Spec_.Key_,
                                              Serial = Job.Serial_] {
    if (PendingJob *Current = find(Key, Serial))
      answer(*Current, negativeAnswer(Outcome::Failed, Reason::UnknownService,
                                      "no service " + Key.Service_));
  });
}

void Entry::onReply(PendingJob &Job, const connection::RpcResult &Result) {
  Job.CallInFlight_ = false;
  if (!Result.ok()) {
    // The home deduplicates submissions, so resubmitting is safe.
    Job.RedirectAddress_.clear();
    if (!Job.UnreachableSince_)
      Job.UnreachableSince_ = Context_.Now_();
    if (Context_.Now_() - *Job.UnreachableSince_ >= CopyQueryDelay)
      return queryCopyHolder(Job);
    return resubmitLater(Job, ResubmitAfterErrorDelay);
  }
  Job.UnreachableSince_.reset();
  const std::string State = readString(Result.Value_, "state");
  if (State == "final") {
    request::CodecFault Why;
    if (const auto Answer = request::decodeAnswer(Result.Value_["answer"], Why))
      return answer(Job, *Answer);
  }
  if (State == "refused")
    return onRefused(Job,
                     request::findValue(request::ReasonNames,
                                        readString(Result.Value_, "reason"))
                         .value_or(Reason::Retry));
  Job.ResubmitAt_ = Context_.Now_() + ResubmitPeriod;
}

void Entry::onRefused(PendingJob &Job, Reason Why) {
  if (Why == Reason::Conflict)
    return answer(Job, negativeAnswer(Outcome::Failed, Reason::Conflict,
                                      "another job has this id"));
  Job.RedirectAddress_.clear();
  // An overloaded home has no room for a record until older ones expire.
  resubmitLater(Job, Why == Reason::Overloaded ? ResubmitAfterOverloadDelay
                                               : ResubmitAfterRefusalDelay);
}

void Entry::resubmitLater(PendingJob &Job, request::Duration Delay) {
  Job.ResubmitAt_ = Context_.Now_() + ResubmitPeriod;
  Context_.After_(Delay, [this, Key = Job.Spec_.Key_, Serial = Job.Serial_] {
    PendingJob *Current = find(Key, Serial);
    if (Current == nullptr || Current->CallInFlight_)
      return;
    Metrics_.SubmitResends_.fetch_add(1);
    submitToHome(*Current);
  });
}

void Entry::queryCopyHolder(PendingJob &Job) {
  const auto View = Context_.View_();
  const version::HolderPair Pair = View->Map_->holders(Job.Spec_.Key_);
  if (Pair.Copy_ == nullptr)
    return resubmitLater(Job, ResubmitAfterErrorDelay);
  Json::Value Params;
  writeJobKey(Params, Job.Spec_.Key_);
  Params["epoch"] = Json::UInt64(View->Map_->Epoch_);
  // If the copy holder has no record of the job, it stores this answer, so that
  // no home can run the job afterwards.
  Params["fingerprint"] = Json::UInt64(Job.Fingerprint_);
  Params["refusal"] = request::encodeAnswer(
      negativeAnswer(Outcome::NotRun, Reason::HomeUnavailable,
                     "the job's home is gone; nothing ran"));
  Params["to_incarnation"] = Json::Int64(Pair.Copy_->Incarnation_);
  Job.CallInFlight_ = true;
  Context_.Call_(Pair.Copy_->TrafficAddress_, "record.seal", std::move(Params),
                 CallTimeout,
                 [this, Key = Job.Spec_.Key_,
                  Serial = Job.Serial_](const connection::RpcResult &Result) {
                   if (PendingJob *Current = find(Key, Serial))
                     onCopyHolderReply(*Current, Result);
                 });
}

void Entry::onCopyHolderReply(PendingJob &Job,
                              const connection::RpcResult &Result) {
  Job.CallInFlight_ = false;
  if (!Result.ok())
    return resubmitLater(Job, ResubmitAfterErrorDelay);
  const auto Known = readSealReply(Result.Value_, *Context_.View_());
  if (!Known)
    return resubmitLater(Job, ResubmitAfterErrorDelay);
  switch (Known->Kind_) {
  case PriorRecord::Answered:
    return answer(Job, Known->Answer_);
  case PriorRecord::RunningElsewhere:
  case PriorRecord::None:
    return resubmitLater(Job, ResubmitAfterErrorDelay);
  case PriorRecord::Lost:
    return answer(Job, negativeAnswer(Outcome::Failed, Reason::OutcomeUnknown,
                                      "the process that ran the job was lost"));
  }
}

Json::Value Entry::finished(const Json::Value &Params) {
  const auto Found = PendingJobs_.find(readJobKey(Params));
  Json::Value Reply(Json::objectValue);
  if (Found == PendingJobs_.end())
    return Reply;
  PendingJob &Job = *Found->second;
  const std::string State = Params["state"].asString();
  request::CodecFault Why;
  if (State == "final") {
    if (const auto Answer = request::decodeAnswer(Params["answer"], Why))
      answer(Job, *Answer);
    else
      throw connection::RpcFault{"/answer" + Why.Position_ + ": " +
                                 Why.Message_};
  } else if (State == "moved") {
    Job.RedirectAddress_ = Params["address"].asString();
    resubmitLater(Job, request::Duration::zero());
  } else if (State == "retry") {
    Job.RedirectAddress_.clear();
    resubmitLater(Job, ResubmitAfterRefusalDelay);
  }
  return Reply;
}

void Entry::answer(PendingJob &Job, const JobAnswer &Answer) {
  const JobKey Key = Job.Spec_.Key_;
  tagSpan(
      Job.Span_.get(), "outcome",
      std::string(request::findName(request::OutcomeNames, Answer.Outcome_)));
  Metrics_.JobTime_.recordConfigured(Key.Service_, Job.Spec_.Kind_,
                                     Context_.View_()->Config_.get(),
                                     Context_.Now_() - Job.SubmittedAt_);
  const auto Waiting = std::move(Job.Waiting_);
  PendingJobs_.erase(Key);
  for (const Waiter &Each : Waiting)
    Each.Done_(Answer);
}

void Entry::tick() {
  const request::TimePoint Now = Context_.Now_();
  std::vector<PendingJob *> Overdue;
  std::vector<PendingJob *> Silent;
  for (const auto &[Key, Job] : PendingJobs_) {
    if (Job->Deadline_ <= Now)
      Overdue.push_back(Job.get());
    else if (!Job->CallInFlight_ && Job->ResubmitAt_ <= Now)
      Silent.push_back(Job.get());
  }
  const auto Waiting = static_cast<std::int64_t>(PendingJobs_.size());
  Metrics_.JobsWaiting_.fetch_add(Waiting - PublishedWaiting_);
  PublishedWaiting_ = Waiting;
  for (PendingJob *Job : Silent) {
    Metrics_.SubmitResends_.fetch_add(1);
    submitToHome(*Job);
  }
  for (PendingJob *Job : Overdue)
    answer(*Job, Job->UnreachableSince_
                     ? negativeAnswer(Outcome::Failed, Reason::OutcomeUnknown,
                                      "the job's home did not answer")
                     : negativeAnswer(Outcome::Failed, Reason::DeadlineExceeded,
                                      "no answer arrived before the deadline"));
}

void Entry::lookup(const JobKey &Key, LookupCallback Done,
                   request::Duration Wait) {
  if (Wait <= request::Duration::zero())
    return queryHome("job.status", Key, std::move(Done));
  if (const auto Found = PendingJobs_.find(Key); Found != PendingJobs_.end())
    return addWaiter(
        *Found->second,
        [Done = std::move(Done)](const std::optional<JobAnswer> &Answer) {
          Done(Answer ? JobLookup::Final : JobLookup::Running,
               Answer.value_or(JobAnswer{}));
        },
        Wait);
  ++WaitingLookups_;
  pollStatus(std::make_shared<WaitingLookup>(WaitingLookup{
      Key, std::move(Done), Context_.Now_() + Wait, InitialPollPeriod}));
}

void Entry::pollStatus(const std::shared_ptr<WaitingLookup> &Each) {
  queryHome("job.status", Each->Key_,
            [this, Each](JobLookup State, const JobAnswer &Answer) {
              const request::TimePoint Now = Context_.Now_();
              if (State != JobLookup::Running || Now >= Each->End_) {
                --WaitingLookups_;
                return Each->Done_(State, Answer);
              }
              const request::Duration Delay =
                  std::min(Each->Period_, Each->End_ - Now);
              Each->Period_ =
                  std::min<request::Duration>(2 * Each->Period_, MaxPollPeriod);
              Context_.After_(Delay, [this, Each] { pollStatus(Each); });
            });
}

void Entry::cancel(const JobKey &Key, LookupCallback Done) {
  queryHome("job.cancel", Key, std::move(Done));
}

void Entry::queryHome(const std::string &Method, const JobKey &Key,
                      LookupCallback Done) {
  const auto View = Context_.View_();
  const version::MapAgent *Home =
      View->ready() ? View->Map_->holders(Key).Home_ : nullptr;
  if (Home == nullptr)
    return Done(JobLookup::Unreachable, {});
  Json::Value Params;
  writeJobKey(Params, Key);
  Context_.Call_(
      Home->TrafficAddress_, Method, std::move(Params), CallTimeout,
      [this, Key, Done = std::move(Done)](const connection::RpcResult &Result) {
        const std::string State =
            Result.ok() ? readString(Result.Value_, "state") : "";
        request::CodecFault Why;
        if (State == "final")
          if (const auto Answer =
                  request::decodeAnswer(Result.Value_["answer"], Why))
            return Done(JobLookup::Final, *Answer);
        if (State == "pending")
          return Done(JobLookup::Running, {});
        // A pending submission of this entry may not have reached the home yet.
        if (State == "unknown")
          return Done(PendingJobs_.count(Key) != 0 ? JobLookup::Running
                                                   : JobLookup::Unknown,
                      {});
        Done(JobLookup::Unreachable, {});
      });
}

} // namespace wigeonwall::process
