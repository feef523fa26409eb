#include "wigeonwall/process/jobs/task_dispatcher.h"

#include "wigeonwall/request/codec.h"

#include <algorithm>

namespace wigeonwall::process {

using request::JobAnswer;
using request::JobKey;
using request::JobRecord;
using request::JobState;
using request::Outcome;
using request::Reason;
using request::TaskIndex;
using request::TaskRecord;
using request::TaskState;

namespace {

/// Maximum placement attempts of a task.
constexpr unsigned MaxPlacements = 8;
constexpr std::chrono::milliseconds PlacementRetryDelay{20};
constexpr std::chrono::milliseconds NoAgentDelay{100};
constexpr std::chrono::milliseconds ResendDelay{200};

bool isPresent(const Member &Agent) {
  return Agent.State_ == MemberState::Alive ||
         Agent.State_ == MemberState::Suspect ||
         Agent.State_ == MemberState::Leaving;
}

/// State in the reply to a start message; empty if missing or unknown.
std::string readStartState(const ItemReply &Reply) {
  if (!Reply.ok() || !Reply.Value_.isObject() ||
      !Reply.Value_["state"].isString())
    return {};
  const std::string State = Reply.Value_["state"].asString();
  const bool Known =
      State == "queued" || State == "refused" || State == "other_incarnation";
  return Known ? State : std::string();
}

} // namespace

TaskDispatcher::TaskDispatcher(AgentContext Context, request::JobTable &Jobs,
                               DispatchPolicy &Policy, JobTraces &Traces,
                               EndHook End)
    : Context_(std::move(Context)), Jobs_(Jobs), Policy_(Policy),
      Traces_(Traces), End_(std::move(End)),
      Starts_(
          Context_.Call_, Context_.After_, "task.start",
          [this] {
            Json::Value Header;
            Header["home"] = encodeHome(Context_.Self_);
            Header["epoch"] = Json::UInt64(currentEpoch(*Context_.View_()));
            return Header;
          },
          [this](const Json::Value &Reply) {
            request::CodecFault Why;
            if (auto Load = request::decodeLoad(Reply["load"], Why))
              Policy_.report(Reply["agent"].asString(), Reply["items"].size(),
                             *Load);
          },
          CallTimeout),
      Cancels_(
          Context_.Call_, Context_.After_, "task.cancel",
          [] { return Json::Value(Json::objectValue); }, nullptr, CallTimeout),
      Metrics_(Context_.Counters_) {}

void TaskDispatcher::start(JobRecord &Record) {
  const JobKey Key = Record.Spec_.Key_;
  const std::uint64_t Serial = Record.Serial_;
  const auto Count = static_cast<TaskIndex>(Record.Tasks_.size());
  const auto Agents = Policy_.choose(Count, {});
  for (TaskIndex I = 0; I < Count; ++I) {
    // Placing a task may end the job.
    JobRecord *Current = Jobs_.find(Key, Serial);
    if (Current == nullptr || Current->State_ != JobState::Running) {
      for (TaskIndex Rest = I; Rest < Agents.size(); ++Rest)
        Policy_.withdraw(Agents[Rest]);
      return;
    }
    if (Agents.empty())
      place(*Current, I);
    else
      placeAt(*Current, I, Agents[I]);
  }
}

void TaskDispatcher::place(JobRecord &Record, TaskIndex Index) {
  TaskRecord &Task = Record.Tasks_[Index];
  const auto Agents = Policy_.choose(1, Task.Refused_);
  if (!Agents.empty())
    return placeAt(Record, Index, Agents.front());
  // Every usable agent has refused the task, so all of them are tried again.
  Task.Refused_.clear();
  if (++Task.Attempts_ > MaxPlacements)
    return endUnplaced(Record, Index, Reason::NoMinion);
  placeLater(Record, Index);
}

void TaskDispatcher::placeAt(JobRecord &Record, TaskIndex Index,
                             const std::string &AgentId) {
  TaskRecord &Task = Record.Tasks_[Index];
  const auto View = Context_.View_();
  const Member *Agent = View->findMember(AgentId);
  if (Agent == nullptr || ++Task.Attempts_ > MaxPlacements) {
    Policy_.withdraw(AgentId);
    return Agent == nullptr ? placeLater(Record, Index)
                            : endUnplaced(Record, Index, Reason::QueueFull);
  }
  Task.State_ = TaskState::Placed;
  Task.Agent_ = Agent->Id_;
  Task.AgentIncarnation_ = Agent->Incarnation_;
  Metrics_.Placements_.fetch_add(1);
  if (Task.Attempts_ > 1)
    Metrics_.Retries_.fetch_add(1);
  Traces_.dispatched(Record.Spec_.Key_, Index, Task.Agent_, Task.Attempts_);
  send(Record, Index, *Agent);
}

void TaskDispatcher::placeLater(const JobRecord &Record, TaskIndex Index) {
  const request::Duration Delay = Record.Tasks_[Index].Refused_.empty()
                                      ? NoAgentDelay
                                      : PlacementRetryDelay;
  Context_.After_(
      Delay, [this, Key = Record.Spec_.Key_, Serial = Record.Serial_, Index] {
        JobRecord *Current = Jobs_.find(Key, Serial);
        if (Current != nullptr && Current->State_ == JobState::Running &&
            Current->Tasks_[Index].State_ == TaskState::Unplaced)
          place(*Current, Index);
      });
}

Json::Value TaskDispatcher::encodeStart(const JobRecord &Record,
                                        TaskIndex Index) const {
  const request::TaskSpec &Spec = Record.Spec_.Tasks_[Index];
  const TaskRecord &Task = Record.Tasks_[Index];
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Record.Deadline_ - Context_.Now_());
  Json::Value Item;
  writeJobKey(Item, Record.Spec_.Key_);
  Item["task"] = Index;
  Item["job_tasks"] = Json::UInt64(Record.Tasks_.size());
  Item["attempt"] = Task.Attempts_;
  Item["to_incarnation"] = Json::Int64(Task.AgentIncarnation_);
  Item["kind"] = Record.Spec_.Kind_;
  Item["timeout_ms"] = Json::Int64(std::max<std::int64_t>(Left.count(), 1));
  if (Spec.DeclaredRun_.count() != 0)
    Item["declared_run_ms"] = Json::Int64(Spec.DeclaredRun_.count());
  if (Record.Spec_.NonIdempotent_)
    Item["non_idempotent"] = true;
  if (Policy_.isEjected(Task.Agent_))
    Item["ejection_known"] = true;
  Item["payload"] = Spec.Payload_;
  Traces_.inject(Record.Spec_.Key_, Index, Item);
  return Item;
}

void TaskDispatcher::send(JobRecord &Record, TaskIndex Index,
                          const Member &Agent) {
  Starts_.add(
      Agent.TrafficAddress_, encodeStart(Record, Index),
      [this, Key = Record.Spec_.Key_, Serial = Record.Serial_, Index,
       Attempt = Record.Tasks_[Index].Attempts_](const ItemReply &Reply) {
        onStartReply(Key, Serial, Index, Attempt, Reply);
      });
}

void TaskDispatcher::resendLater(const JobRecord &Record, TaskIndex Index) {
  Context_.After_(ResendDelay, [this, Key = Record.Spec_.Key_,
                                Serial = Record.Serial_, Index,
                                Attempt = Record.Tasks_[Index].Attempts_] {
    JobRecord *Current = Jobs_.find(Key, Serial);
    if (Current == nullptr || Current->State_ != JobState::Running)
      return;
    const TaskRecord &Task = Current->Tasks_[Index];
    if (Task.State_ != TaskState::Placed || Task.Attempts_ != Attempt)
      return;
    const auto View = Context_.View_();
    if (isAgentLost(Task, *View))
      return endFailed(*Current, Index, Reason::OutcomeUnknown,
                       "its agent was lost");
    Metrics_.Resends_.fetch_add(1);
    send(*Current, Index, *View->findMember(Task.Agent_));
  });
}

void TaskDispatcher::onStartReply(const JobKey &Key, std::uint64_t Serial,
                                  TaskIndex Index, std::uint32_t Attempt,
                                  const ItemReply &Reply) {
  JobRecord *Record = Jobs_.find(Key, Serial);
  if (Record == nullptr || Record->State_ != JobState::Running)
    return;
  TaskRecord &Task = Record->Tasks_[Index];
  if (Task.State_ != TaskState::Placed || Task.Attempts_ != Attempt)
    return;
  if (Reply.Error_ == connection::TransportError::NotSent && !Task.Ambiguous_)
    return onNotStarted(*Record, Index, Reason::NoMinion, false);
  const std::string State = readStartState(Reply);
  // Without a valid reply, the task may or may not have started.
  if (State.empty()) {
    Task.Ambiguous_ = true;
    return resendLater(*Record, Index);
  }
  if (State == "queued")
    return;
  if (State == "other_incarnation") {
    // The incarnation that may have received an earlier message has ended.
    if (Task.Ambiguous_)
      return endFailed(*Record, Index, Reason::OutcomeUnknown,
                       "its agent was restarted");
    return onNotStarted(*Record, Index, Reason::NoMinion);
  }
  const auto Why = request::findValue(request::ReasonNames,
                                      Reply.Value_["reason"].asString());
  // The agent got the task from another home as well and may have started it.
  if (Why == Reason::Duplicate)
    return endFailed(*Record, Index, Reason::OutcomeUnknown,
                     "another home sent it");
  onNotStarted(*Record, Index, Why.value_or(Reason::NoMinion));
}

void TaskDispatcher::onNotStarted(JobRecord &Record, TaskIndex Index,
                                  Reason Why, bool Delivered) {
  TaskRecord &Task = Record.Tasks_[Index];
  if (Delivered)
    Policy_.finish(Task.Agent_);
  else
    Policy_.withdraw(Task.Agent_);
  Traces_.returned(Record.Spec_.Key_, Index,
                   request::findName(request::ReasonNames, Why));
  Task.State_ = TaskState::Unplaced;
  Task.Ambiguous_ = false;
  // A stale epoch is no property of the agent, so it may be tried again.
  if (Why != Reason::StaleEpoch)
    Task.Refused_.insert(Task.Agent_);
  Metrics_.Refusals_[Why].fetch_add(1);
  placeLater(Record, Index);
}

Json::Value TaskDispatcher::onResults(const Json::Value &Params) {
  const std::string Agent = Params["agent"].asString();
  const auto Incarnation =
      static_cast<std::int64_t>(readUnsigned(Params, "incarnation"));
  request::CodecFault Why;
  if (auto Load = request::decodeLoad(Params["load"], Why))
    Policy_.report(Agent, 0, *Load);
  return handleItems(Params, [&](const Json::Value &Item) {
    onResult(Agent, Incarnation, Item);
    return Json::Value(Json::objectValue);
  });
}

void TaskDispatcher::onResult(const std::string &Agent,
                              std::int64_t Incarnation,
                              const Json::Value &Item) {
  request::CodecFault Why;
  const JobKey Key = readJobKey(Item);
  auto Result = request::decodeTaskResult(Item["result"], Why);
  if (!Result)
    throw connection::RpcFault{"/items/result" + Why.Position_ + ": " +
                               Why.Message_};
  JobRecord *Record = Jobs_.find(Key);
  const auto Ignore = [&] {
    Context_.Counters_.counter("task_results_ignored_total").fetch_add(1);
  };
  if (Record == nullptr || Record->State_ != JobState::Running ||
      Result->Index_ >= Record->Tasks_.size())
    return Ignore();
  TaskRecord &Task = Record->Tasks_[Result->Index_];
  if (Task.State_ != TaskState::Placed || Task.Agent_ != Agent ||
      Task.AgentIncarnation_ != Incarnation ||
      Task.Attempts_ != readUnsigned(Item, "attempt"))
    return Ignore();
  if (!Result->Started_)
    return onNotStarted(*Record, Result->Index_, Result->Reason_);
  Traces_.returned(Key, Result->Index_,
                   request::findName(request::ReasonNames, Result->Reason_));
  if (Result->Reason_ != Reason::None)
    return endFailed(*Record, Result->Index_, Result->Reason_,
                     request::writeJson(Result->Body_));
  Policy_.finish(Agent);
  Policy_.releaseTask(*Record, Result->Index_);
  Jobs_.completeTask(*Record, Result->Index_, std::move(Result->Body_));
  if (!request::JobTable::complete(*Record))
    return;
  JobAnswer Answer;
  Answer.Outcome_ = Outcome::Complete;
  for (TaskRecord &Each : Record->Tasks_)
    Answer.Results_.push_back(std::move(Each.Result_));
  End_(*Record, std::move(Answer));
}

void TaskDispatcher::cancel(JobRecord &Record) {
  const auto View = Context_.View_();
  std::set<std::string> Agents;
  for (const TaskRecord &Task : Record.Tasks_) {
    if (Task.State_ != TaskState::Placed)
      continue;
    Policy_.finish(Task.Agent_);
    if (!isAgentLost(Task, *View))
      Agents.insert(Task.Agent_);
  }
  for (const std::string &Id : Agents) {
    Json::Value Item;
    writeJobKey(Item, Record.Spec_.Key_);
    Cancels_.add(View->findMember(Id)->TrafficAddress_, std::move(Item),
                 [](const ItemReply &) {});
  }
}

void TaskDispatcher::endUnplaced(JobRecord &Record, TaskIndex Index,
                                 Reason Why) {
  if (Record.mayHaveStarted())
    return endFailed(Record, Index, Why, "it could not be placed");
  JobAnswer Answer;
  Answer.Outcome_ = Outcome::NotRun;
  Answer.Reason_ = Why;
  Answer.Detail_ = "no task could be placed";
  End_(Record, std::move(Answer));
}

void TaskDispatcher::endFailed(JobRecord &Record, TaskIndex Index, Reason Why,
                               const std::string &Detail) {
  JobAnswer Answer;
  Answer.Outcome_ = Outcome::Failed;
  Answer.Reason_ = Why;
  Answer.Detail_ = "task " + std::to_string(Index) + ": " + Detail;
  End_(Record, std::move(Answer));
}

bool TaskDispatcher::isAgentLost(const TaskRecord &Task,
                                 const ClusterView &View) const {
  const Member *Agent = View.findMember(Task.Agent_);
  return Agent == nullptr || Agent->Incarnation_ != Task.AgentIncarnation_ ||
         !isPresent(*Agent);
}

void TaskDispatcher::onViewChange(const ClusterView &View) {
  std::vector<std::pair<JobKey, TaskIndex>> Ended;
  Jobs_.forEachUnfinished([&](JobRecord &Record) {
    for (TaskIndex I = 0; I < Record.Tasks_.size(); ++I)
      if (Record.Tasks_[I].State_ == TaskState::Placed &&
          isAgentLost(Record.Tasks_[I], View)) {
        Ended.emplace_back(Record.Spec_.Key_, I);
        return;
      }
  });
  for (const auto &[Key, Index] : Ended)
    if (JobRecord *Record = Jobs_.find(Key);
        Record != nullptr && Record->State_ == JobState::Running)
      endFailed(*Record, Index, Reason::OutcomeUnknown, "its agent was lost");
}

} // namespace wigeonwall::process
