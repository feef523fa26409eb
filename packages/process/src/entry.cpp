#include "wigeonwall/process/entry.h"

#include "wigeonwall/process/earlier_holders.h"
#include "wigeonwall/request/codec.h"

namespace wigeonwall::process {

using request::JobAnswer;
using request::JobKey;
using request::JobSpec;
using request::Outcome;
using request::Reason;

namespace {

constexpr std::chrono::milliseconds AskAgainAfterRefusal{50};
constexpr std::chrono::milliseconds AskAgainAfterError{100};
constexpr std::chrono::seconds AskAgainWhenSilent{2};
/// The home answers at the deadline itself; the entry only when that answer
/// does not arrive.
constexpr std::chrono::seconds AnswerGrace{1};
/// Longer than membership and the map need to replace a home that died, so
/// that the copy holder is asked only when the map cannot change.
constexpr std::chrono::seconds SettleAfterSilence{10};

JobAnswer negative(Outcome Kind, Reason Why, std::string Detail) {
  JobAnswer Answer;
  Answer.Outcome_ = Kind;
  Answer.Reason_ = Why;
  Answer.Detail_ = std::move(Detail);
  return Answer;
}

} // namespace

Entry::Entry(AgentContext Context, std::size_t MaxJobs)
    : Context_(std::move(Context)), MaxJobs_(MaxJobs) {}

Entry::Pending *Entry::find(const JobKey &Key, std::uint64_t Serial) {
  const auto Found = Pending_.find(Key);
  if (Found == Pending_.end() || Found->second->Serial_ != Serial)
    return nullptr;
  return Found->second.get();
}

EntryRefusal Entry::submit(JobSpec Spec, AnswerCallback Done) {
  if (!Context_.View_()->ready())
    return EntryRefusal::NotReady;
  const std::uint64_t Fingerprint = request::fingerprint(Spec);
  if (const auto Found = Pending_.find(Spec.Key_); Found != Pending_.end()) {
    if (Found->second->Fingerprint_ != Fingerprint)
      return EntryRefusal::Conflict;
    Found->second->Waiting_.push_back(std::move(Done));
    return EntryRefusal::None;
  }
  if (Pending_.size() >= MaxJobs_)
    return EntryRefusal::TooManyJobs;
  auto Job = std::make_unique<Pending>();
  Job->Fingerprint_ = Fingerprint;
  Job->Serial_ = NextSerial_++;
  Job->Waiting_.push_back(std::move(Done));
  Job->Deadline_ = Context_.Now_() + Spec.Timeout_ + AnswerGrace;
  Job->Spec_ = std::move(Spec);
  Pending &Stored = *Job;
  Pending_[Stored.Spec_.Key_] = std::move(Job);
  ask(Stored);
  return EntryRefusal::None;
}

void Entry::ask(Pending &Job) {
  const auto View = Context_.View_();
  std::string Address = Job.MovedTo_;
  if (Address.empty()) {
    const version::HolderPair Pair = View->Map_->holders(Job.Spec_.Key_);
    if (Pair.Home_ == nullptr)
      return askLater(Job, AskAgainAfterError);
    Address = Pair.Home_->TrafficAddress_;
  }
  Json::Value Params;
  Params["epoch"] = Json::UInt64(View->Map_->Epoch_);
  Params["reply_to"] = ReplyTo_;
  Params["job"] = request::encodeJobSpec(Job.Spec_);
  Job.Asking_ = true;
  Context_.Call_(Address, "job.submit", std::move(Params), CallTimeout,
                 [this, Key = Job.Spec_.Key_,
                  Serial = Job.Serial_](const connection::RpcResult &Result) {
                   if (Pending *Current = find(Key, Serial))
                     onReply(*Current, Result);
                 });
}

void Entry::onReply(Pending &Job, const connection::RpcResult &Result) {
  Job.Asking_ = false;
  if (!Result.ok()) {
    // A repeated submission is joined by its home, so asking again is safe.
    Job.MovedTo_.clear();
    if (!Job.SilentSince_)
      Job.SilentSince_ = Context_.Now_();
    if (Context_.Now_() - *Job.SilentSince_ >= SettleAfterSilence)
      return settleThroughCopy(Job);
    return askLater(Job, AskAgainAfterError);
  }
  Job.SilentSince_.reset();
  const std::string State = Result.Value_["state"].asString();
  if (State == "final") {
    request::CodecFault Why;
    if (const auto Answer = request::decodeAnswer(Result.Value_["answer"], Why))
      return answer(Job, *Answer);
  }
  if (State == "refused")
    return onRefused(Job, request::findValue(request::ReasonNames,
                                             Result.Value_["reason"].asString())
                              .value_or(Reason::Retry));
  Job.AskAgainAt_ = Context_.Now_() + AskAgainWhenSilent;
}

void Entry::onRefused(Pending &Job, Reason Why) {
  if (Why == Reason::Conflict)
    return answer(Job, negative(Outcome::Failed, Reason::Conflict,
                                "another job has this id"));
  Job.MovedTo_.clear();
  askLater(Job, AskAgainAfterRefusal);
}

void Entry::askLater(Pending &Job, request::Duration Delay) {
  Job.AskAgainAt_ = Context_.Now_() + AskAgainWhenSilent;
  Context_.After_(Delay, [this, Key = Job.Spec_.Key_, Serial = Job.Serial_] {
    Pending *Current = find(Key, Serial);
    if (Current != nullptr && !Current->Asking_)
      ask(*Current);
  });
}

void Entry::settleThroughCopy(Pending &Job) {
  const auto View = Context_.View_();
  const version::HolderPair Pair = View->Map_->holders(Job.Spec_.Key_);
  if (Pair.Copy_ == nullptr)
    return askLater(Job, AskAgainAfterError);
  Json::Value Params;
  writeJobKey(Params, Job.Spec_.Key_);
  Params["epoch"] = Json::UInt64(View->Map_->Epoch_);
  // The copy holder records this answer if it has no record of the job, so
  // that no home can run the job afterwards.
  Params["fingerprint"] = Json::UInt64(Job.Fingerprint_);
  Params["refusal"] =
      request::encodeAnswer(negative(Outcome::NotRun, Reason::HomeUnavailable,
                                     "the job's home is gone; nothing ran"));
  Params["to_incarnation"] = Json::Int64(Pair.Copy_->Incarnation_);
  Job.Asking_ = true;
  Context_.Call_(Pair.Copy_->TrafficAddress_, "record.seal", std::move(Params),
                 CallTimeout,
                 [this, Key = Job.Spec_.Key_,
                  Serial = Job.Serial_](const connection::RpcResult &Result) {
                   if (Pending *Current = find(Key, Serial))
                     onSealed(*Current, Result);
                 });
}

void Entry::onSealed(Pending &Job, const connection::RpcResult &Result) {
  Job.Asking_ = false;
  if (!Result.ok())
    return askLater(Job, AskAgainAfterError);
  const auto Known = readSealReply(Result.Value_, *Context_.View_());
  if (!Known)
    return askLater(Job, AskAgainAfterError);
  switch (Known->Kind_) {
  case Settlement::Answered:
    return answer(Job, Known->Answer_);
  case Settlement::Moved:
  case Settlement::Unknown:
    return askLater(Job, AskAgainAfterError);
  case Settlement::Lost:
    return answer(Job, negative(Outcome::Failed, Reason::OutcomeUnknown,
                                "the process that ran the job was lost"));
  }
}

Json::Value Entry::finished(const Json::Value &Params) {
  const auto Found = Pending_.find(readJobKey(Params));
  Json::Value Reply(Json::objectValue);
  if (Found == Pending_.end())
    return Reply;
  Pending &Job = *Found->second;
  const std::string State = Params["state"].asString();
  request::CodecFault Why;
  if (State == "final") {
    if (const auto Answer = request::decodeAnswer(Params["answer"], Why))
      answer(Job, *Answer);
    else
      throw connection::RpcFault{"/answer" + Why.Position_ + ": " +
                                 Why.Message_};
  } else if (State == "moved") {
    Job.MovedTo_ = Params["address"].asString();
    askLater(Job, request::Duration::zero());
  } else if (State == "retry") {
    Job.MovedTo_.clear();
    askLater(Job, AskAgainAfterRefusal);
  }
  return Reply;
}

void Entry::answer(Pending &Job, const JobAnswer &Answer) {
  const JobKey Key = Job.Spec_.Key_;
  const auto Waiting = std::move(Job.Waiting_);
  Pending_.erase(Key);
  for (const AnswerCallback &Done : Waiting)
    Done(Answer);
}

void Entry::tick() {
  const request::TimePoint Now = Context_.Now_();
  std::vector<Pending *> Overdue;
  std::vector<Pending *> Silent;
  for (const auto &[Key, Job] : Pending_) {
    if (Job->Deadline_ <= Now)
      Overdue.push_back(Job.get());
    else if (!Job->Asking_ && Job->AskAgainAt_ <= Now)
      Silent.push_back(Job.get());
  }
  for (Pending *Job : Silent)
    ask(*Job);
  for (Pending *Job : Overdue)
    answer(*Job, negative(Outcome::Failed, Reason::DeadlineExceeded,
                          "no answer arrived before the deadline"));
}

void Entry::lookup(const JobKey &Key, LookupCallback Done) {
  query("job.status", Key, std::move(Done));
}

void Entry::cancel(const JobKey &Key, LookupCallback Done) {
  query("job.cancel", Key, std::move(Done));
}

void Entry::query(const std::string &Method, const JobKey &Key,
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
      [Done = std::move(Done)](const connection::RpcResult &Result) {
        if (!Result.ok())
          return Done(JobLookup::Unreachable, {});
        const std::string State = Result.Value_["state"].asString();
        request::CodecFault Why;
        const auto Answer = request::decodeAnswer(Result.Value_["answer"], Why);
        if (State == "final" && Answer)
          return Done(JobLookup::Final, *Answer);
        Done(State == "pending" ? JobLookup::Running : JobLookup::Unknown, {});
      });
}

} // namespace wigeonwall::process
