#include "wigeonwall/process/jobs/home.h"

#include "wigeonwall/process/jobs/job_checks.h"
#include "wigeonwall/process/jobs/replies.h"
#include "wigeonwall/request/codec.h"

namespace wigeonwall::process {

using request::JobAnswer;
using request::JobKey;
using request::JobRecord;
using request::JobSpec;
using request::JobState;
using request::Outcome;
using request::PrepareResult;
using request::Reason;

namespace {

constexpr std::chrono::milliseconds PrepareRetryDelay{100};
constexpr std::chrono::milliseconds DeliveryRetryDelay{200};
constexpr unsigned MaxDeliveryAttempts = 3;
/// Larger answers are stored by the home only, to limit replication traffic.
constexpr std::size_t MaxCopiedAnswerBytes = 64 * 1024;

bool isSelf(const version::MapAgent *Agent, const request::HomeIdentity &Self) {
  return Agent != nullptr && Agent->Id_ == Self.Id_ &&
         Agent->Incarnation_ == Self.Incarnation_;
}

} // namespace

Home::Home(AgentContext Context, DispatchPolicy &Policy)
    : Context_(std::move(Context)), Jobs_(Context_.Now_),
      Copies_(Context_.Now_), Policy_(Policy), Earlier_(Context_),
      Traces_(Context_.Trace_),
      Dispatcher_(Context_, Jobs_, Policy_, Traces_,
                  [this](JobRecord &Record, JobAnswer Answer) {
                    end(Record, std::move(Answer));
                  }),
      Prepares_(
          Context_.Call_, Context_.After_, "record.prepare",
          [this] { return homeHeader(); }, nullptr, CallTimeout),
      Finishes_(
          Context_.Call_, Context_.After_, "record.finish",
          [this] { return homeHeader(); }, nullptr, CallTimeout),
      Metrics_(Context_.Counters_) {
  Policy_.onEjectionsChanged([this](const std::vector<std::string> &Agents) {
    Metrics_.setEjected(Agents);
  });
}

Json::Value Home::homeHeader() const {
  Json::Value Header;
  Header["home"] = encodeHome(Context_.Self_);
  return Header;
}

version::HolderPair
Home::currentPair(const JobKey &Key,
                  std::shared_ptr<const ClusterView> &View) const {
  View = Context_.View_();
  return View->Map_->holders(Key);
}

// Submission ----------------------------------------------------------------

Json::Value Home::refuseSubmission(Reason Why) {
  Context_.Counters_.counter("job_submits_refused_total").fetch_add(1);
  return refusedReply(Why);
}

Json::Value Home::submit(const Json::Value &Params) {
  request::CodecFault Why;
  auto Spec = request::decodeJobSpec(Params["job"], Why);
  if (!Spec)
    throw connection::RpcFault{"/job" + Why.Position_ + ": " + Why.Message_};
  const std::uint64_t Epoch = readUnsigned(Params, "epoch");
  const std::string ReplyTo = Params["reply_to"].asString();
  // A resubmission of a known job is accepted in any epoch.
  const std::uint64_t Fingerprint = request::fingerprint(*Spec);
  if (JobRecord *Record = Jobs_.find(Spec->Key_)) {
    if (Record->Fingerprint_ != Fingerprint)
      return refusedReply(Reason::Conflict);
    if (Record->State_ != JobState::Final)
      Record->ReplyTo_.insert(ReplyTo);
    return describe(*Record);
  }
  if (!Context_.View_()->ready())
    return refuseSubmission(Reason::NotReady);
  const std::uint64_t OwnEpoch = currentEpoch(*Context_.View_());
  if (Epoch < OwnEpoch)
    return refuseSubmission(Reason::StaleEpoch);
  if (Epoch > OwnEpoch || Leaving_ ||
      Copies_.sealedBelow(Spec->Key_) > OwnEpoch)
    return refuseSubmission(Reason::Retry);
  std::shared_ptr<const ClusterView> View;
  if (!isSelf(currentPair(Spec->Key_, View).Home_, Context_.Self_))
    return refuseSubmission(Reason::Retry);
  // A final answer needs a record, so without room the job cannot be accepted.
  if (Jobs_.size() >= View->Config_->Limits_.MaxRecords_)
    return refuseSubmission(Reason::Overloaded);
  return accept(std::move(*Spec), Fingerprint, ReplyTo, Params["trace"]);
}

Json::Value Home::accept(JobSpec Spec, std::uint64_t Fingerprint,
                         const std::string &ReplyTo,
                         const Json::Value &TraceParent) {
  // This process may hold a copy of the job's record from a home that is gone.
  if (const request::RecordCopy *Copy = Copies_.find(Spec.Key_)) {
    if (Copy->Fingerprint_ != Fingerprint)
      return refusedReply(Reason::Conflict);
  }
  JobRecord &Record = Jobs_.create(std::move(Spec), Fingerprint);
  Record.ReplyTo_.insert(ReplyTo);
  Traces_.begin(Record.Spec_.Key_, TraceParent);
  Metrics_.Accepted_.fetch_add(1);
  // Deferred because it may erase the record, which the reply still needs.
  scheduleForJob(Record, request::Duration::zero(), &Home::queryEarlierHolders);
  return describe(Record);
}

Json::Value Home::describe(const JobRecord &Record) const {
  if (Record.State_ == JobState::Final)
    return finalReply(Record.Answer_);
  return stateReply("pending");
}

void Home::scheduleForJob(const JobRecord &Record, request::Duration Delay,
                          void (Home::*Task)(JobRecord &)) {
  Context_.After_(
      Delay, [this, Key = Record.Spec_.Key_, Serial = Record.Serial_, Task] {
        JobRecord *Current = Jobs_.find(Key, Serial);
        if (Current != nullptr && Current->State_ != JobState::Final)
          (this->*Task)(*Current);
      });
}

// Earlier holders -----------------------------------------------------------

void Home::queryEarlierHolders(JobRecord &Record) {
  const JobKey &Key = Record.Spec_.Key_;
  Record.State_ = JobState::Settling;
  Record.QueriedEpoch_ = currentEpoch(*Context_.View_());
  if (const request::RecordCopy *Copy = Copies_.find(Key)) {
    return onPriorRecord(Record,
                         *readSealReply(copyReply(*Copy), *Context_.View_()));
  }
  if (Earlier_.allPairsCleared(Key, Record.Spec_.CreatedAtMs_))
    return decide(Record);
  Earlier_.query(
      Key, Record.Spec_.CreatedAtMs_,
      [this, Key, Serial = Record.Serial_](const PriorRecordResult &Result) {
        JobRecord *Current = Jobs_.find(Key, Serial);
        if (Current != nullptr && Current->State_ == JobState::Settling)
          onPriorRecord(*Current, Result);
      });
}

void Home::onPriorRecord(JobRecord &Record, const PriorRecordResult &Result) {
  switch (Result.Kind_) {
  case PriorRecord::None:
    return decide(Record);
  case PriorRecord::Answered:
    return end(Record, Result.Answer_);
  case PriorRecord::RunningElsewhere: {
    Json::Value Message = stateReply("moved");
    Message["address"] = Result.Home_.Address_;
    return redirectEntries(Record, std::move(Message));
  }
  case PriorRecord::Lost:
    return end(Record, negativeAnswer(Outcome::Failed, Reason::OutcomeUnknown,
                                      "the process that ran the job was lost"));
  }
}

// Admission and replication -------------------------------------------------

void Home::decide(JobRecord &Record) {
  if (auto Old = checkNotExpired(Record.Spec_, Context_.WallMs_(),
                                 recordRetention(*Context_.View_())))
    return end(Record, std::move(*Old));
  Record.State_ = JobState::Preparing;
  if (!Record.Refusal_ && !Record.Admitted_)
    admit(Record);
  prepareCopy(Record);
}

void Home::admit(JobRecord &Record) {
  Record.Refusal_ =
      checkAgainstConfig(Record.Spec_, *Context_.View_()->Config_);
  if (!Record.Refusal_) {
    markNonIdempotent(Record.Spec_, *Context_.View_()->Config_);
    const Reason Why = Policy_.admit(Record);
    Record.Admitted_ = Why == Reason::None;
    if (!Record.Admitted_)
      Record.Refusal_ =
          negativeAnswer(Outcome::NotRun, Why, "refused by admission");
  }
}

void Home::prepareCopy(JobRecord &Record) {
  std::shared_ptr<const ClusterView> View;
  const version::HolderPair Pair = currentPair(Record.Spec_.Key_, View);
  // Only the home in the current epoch may request a copy.
  if (!isSelf(Pair.Home_, Context_.Self_))
    return redirectEntries(Record, stateReply("retry"));
  // Another home may have run the job in an epoch since the last query.
  if (Record.QueriedEpoch_ != View->Map_->Epoch_)
    return queryEarlierHolders(Record);
  if (Pair.Copy_ == nullptr)
    return run(Record);
  Json::Value Item;
  writeJobKey(Item, Record.Spec_.Key_);
  Item["fingerprint"] = Json::UInt64(Record.Fingerprint_);
  Item["epoch"] = Json::UInt64(View->Map_->Epoch_);
  if (Record.Refusal_)
    Item["answer"] = request::encodeAnswer(*Record.Refusal_);
  Record.CopyAddress_ = Pair.Copy_->TrafficAddress_;
  Prepares_.add(Record.CopyAddress_, std::move(Item),
                [this, Key = Record.Spec_.Key_,
                 Serial = Record.Serial_](const ItemReply &Reply) {
                  JobRecord *Current = Jobs_.find(Key, Serial);
                  if (Current != nullptr &&
                      Current->State_ == JobState::Preparing)
                    onPrepared(*Current, Reply);
                });
}

void Home::onPrepared(JobRecord &Record, const ItemReply &Reply) {
  // Until the copy holder confirms, another home may run the job. So this home
  // neither runs nor refuses it, and retries until the deadline or a new map.
  if (!Reply.ok())
    return scheduleForJob(Record, PrepareRetryDelay, &Home::prepareCopy);
  const auto Result = request::findValue(request::PrepareResultNames,
                                         Reply.Value_["state"].asString());
  switch (Result.value_or(PrepareResult::Retry)) {
  case PrepareResult::Ok:
    return run(Record);
  case PrepareResult::Stale:
  case PrepareResult::Retry:
    return scheduleForJob(Record, PrepareRetryDelay, &Home::prepareCopy);
  case PrepareResult::Known:
    return onPriorRecord(
        Record, *readSealReply(Reply.Value_["copy"], *Context_.View_()));
  }
}

void Home::run(JobRecord &Record) {
  if (Record.Refusal_)
    return end(Record, *Record.Refusal_);
  Record.State_ = JobState::Running;
  Dispatcher_.start(Record);
}

// Completion ----------------------------------------------------------------

void Home::end(JobRecord &Record, JobAnswer Answer) {
  if (Record.State_ == JobState::Final)
    return;
  if (Answer.Outcome_ != Outcome::Complete)
    Dispatcher_.cancel(Record);
  if (Record.Admitted_)
    Policy_.releaseUnfinished(Record);
  const bool Recorded = Record.Refusal_.has_value();
  Metrics_.Ended_[Answer.Outcome_].fetch_add(1);
  if (Answer.Outcome_ != Outcome::Complete)
    Metrics_.Negative_[Answer.Reason_].fetch_add(1);
  Traces_.end(Record.Spec_.Key_,
              request::findName(request::OutcomeNames, Answer.Outcome_),
              request::findName(request::ReasonNames, Answer.Reason_));
  Jobs_.finalize(Record, std::move(Answer), recordRetention(*Context_.View_()));
  notify(Record, finalReply(Record.Answer_));
  Record.ReplyTo_.clear();
  if (!Recorded && !Record.CopyAddress_.empty())
    finishCopy(Record);
}

void Home::finishCopy(const JobRecord &Record) {
  Json::Value Item;
  writeJobKey(Item, Record.Spec_.Key_);
  Json::Value Answer = request::encodeAnswer(Record.Answer_);
  if (request::writeJson(Answer).size() <= MaxCopiedAnswerBytes)
    Item["answer"] = std::move(Answer);
  Finishes_.add(Record.CopyAddress_, std::move(Item), [](const ItemReply &) {});
}

void Home::notify(const JobRecord &Record, const Json::Value &Message) {
  Json::Value Params = Message;
  writeJobKey(Params, Record.Spec_.Key_);
  for (const std::string &Entry : Record.ReplyTo_)
    deliver(Entry, Params, 1);
}

void Home::deliver(const std::string &Entry, const Json::Value &Message,
                   unsigned Attempt) {
  Context_.Call_(
      Entry, "job.finished", Message, CallTimeout,
      [this, Entry, Message, Attempt](const connection::RpcResult &Result) {
        // An entry that is still waiting resubmits the job by itself.
        if (Result.ok() || Attempt >= MaxDeliveryAttempts)
          return;
        Context_.After_(DeliveryRetryDelay, [this, Entry, Message, Attempt] {
          deliver(Entry, Message, Attempt + 1);
        });
      });
}

void Home::redirectEntries(JobRecord &Record, Json::Value Message) {
  notify(Record, Message);
  if (Record.Admitted_)
    Policy_.releaseUnfinished(Record);
  const JobKey Key = Record.Spec_.Key_;
  Traces_.end(Key, "moved");
  Jobs_.erase(Key);
}

void Home::tick() {
  for (const JobKey &Key : Jobs_.takeOverdue())
    if (JobRecord *Record = Jobs_.find(Key))
      end(*Record, negativeAnswer(Outcome::Failed, Reason::DeadlineExceeded,
                                  "the job did not end before its deadline"));
  Jobs_.dropExpired();
  Metrics_.InFlight_.store(static_cast<std::int64_t>(Jobs_.unfinished()));
  Copies_.dropExpired();
}

void Home::onViewChange() { Dispatcher_.onViewChange(*Context_.View_()); }

// Other messages ------------------------------------------------------------

Json::Value Home::status(const Json::Value &Params) {
  const JobRecord *Record = Jobs_.find(readJobKey(Params));
  return Record == nullptr ? stateReply("unknown") : describe(*Record);
}

Json::Value Home::cancel(const Json::Value &Params) {
  JobRecord *Record = Jobs_.find(readJobKey(Params));
  if (Record == nullptr)
    return stateReply("unknown");
  if (Record->State_ != JobState::Final)
    end(*Record, negativeAnswer(Outcome::Failed, Reason::Cancelled,
                                "cancelled by the caller"));
  return describe(*Record);
}

Json::Value Home::results(const Json::Value &Params) {
  return Dispatcher_.onResults(Params);
}

Json::Value Home::prepare(const Json::Value &Params) {
  const request::HomeIdentity From = decodeHome(Params["home"]);
  const auto View = Context_.View_();
  return handleItems(Params, [&](const Json::Value &Item) {
    const JobKey Key = readJobKey(Item);
    // No job may start because of a copy made here after stopped_at_ms.
    if (Leaving_ && Copies_.find(Key) == nullptr)
      return stateReply("retry");
    const PrepareResult Result =
        Copies_.prepare(Key, readUnsigned(Item, "fingerprint"), From,
                        readUnsigned(Item, "epoch"), currentEpoch(*View),
                        recordRetention(*View));
    request::CodecFault Why;
    if (Result == PrepareResult::Ok && Item.isMember("answer"))
      Copies_.finish(Key, From, request::decodeAnswer(Item["answer"], Why),
                     recordRetention(*View));
    Json::Value Reply = stateReply(
        std::string(request::findName(request::PrepareResultNames, Result)));
    if (Result == PrepareResult::Known)
      Reply["copy"] = copyReply(*Copies_.find(Key));
    return Reply;
  });
}

Json::Value Home::finish(const Json::Value &Params) {
  const request::HomeIdentity From = decodeHome(Params["home"]);
  const auto View = Context_.View_();
  return handleItems(Params, [&](const Json::Value &Item) {
    request::CodecFault Why;
    std::optional<JobAnswer> Answer;
    if (Item.isMember("answer"))
      Answer = request::decodeAnswer(Item["answer"], Why);
    Copies_.finish(readJobKey(Item), From, std::move(Answer),
                   recordRetention(*View));
    return Json::Value(Json::objectValue);
  });
}

Json::Value Home::seal(const Json::Value &Params) {
  Json::Value Reply = sealJob(Params);
  // From now on this process refuses older epochs for all jobs.
  Reply["epoch"] = Json::UInt64(currentEpoch(*Context_.View_()));
  return Reply;
}

Json::Value Home::sealJob(const Json::Value &Params) {
  const JobKey Key = readJobKey(Params);
  const std::uint64_t Epoch = readUnsigned(Params, "epoch");
  if (static_cast<std::int64_t>(readUnsigned(Params, "to_incarnation")) !=
      Context_.Self_.Incarnation_)
    throw connection::RpcFault{"/to_incarnation: not this process"};
  if (const JobRecord *Record = Jobs_.find(Key)) {
    Json::Value Reply = describe(*Record);
    if (Record->State_ != JobState::Final)
      Reply["state"] = "active";
    Reply["home"] = encodeHome(Context_.Self_);
    return Reply;
  }
  if (const request::RecordCopy *Copy = Copies_.find(Key))
    return copyReply(*Copy);
  const request::Duration Retention = recordRetention(*Context_.View_());
  request::CodecFault Why;
  if (Params.isMember("refusal"))
    if (auto Refusal = request::decodeAnswer(Params["refusal"], Why)) {
      Copies_.refuse(Key, readUnsigned(Params, "fingerprint"), Context_.Self_,
                     std::move(*Refusal), Retention);
      return copyReply(*Copies_.find(Key));
    }
  Copies_.seal(Key, Epoch, Retention);
  return stateReply("sealed");
}

} // namespace wigeonwall::process
