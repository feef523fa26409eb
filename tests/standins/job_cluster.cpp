#include "standins/job_cluster.h"

#include <algorithm>

namespace wigeonwall::standins {

using process::Member;
using process::MemberState;
using request::JobKey;
using request::JobSpec;
using request::Outcome;

namespace {

constexpr const char *Service = "permit-desk";
constexpr const char *Kind = "setback-check";
constexpr const char *Team = "installers";
constexpr std::int64_t RetentionMs = 600'000;
constexpr std::chrono::milliseconds Latency{1};
constexpr std::chrono::milliseconds TickPeriod{20};
/// Added to virtual time, which starts an hour after its epoch, to get Unix
/// time.
constexpr std::int64_t WallOffsetMs = 1'700'000'000'000;

std::shared_ptr<version::Config> makeConfig() {
  auto Config = std::make_shared<version::Config>();
  Config->Version_ = 1;
  version::KindConfig Each;
  Each.Name_ = Kind;
  Each.QueueLimit_ = 10'000;
  Each.MaxTasksPerJob_ = 170;
  Each.MaxTimeout_ = std::chrono::minutes(5);
  Config->Services_ = {{Service, {Each}}};
  Config->Teams_ = {{Team, 100'000}};
  return Config;
}

process::AgentSettings agentSettings(unsigned Slots) {
  process::AgentSettings Settings;
  Settings.Service_ = Service;
  Settings.Slots_ = Slots;
  Settings.Admission_ = request::AdmissionPolicy::None;
  return Settings;
}

} // namespace

struct JobCluster::AgentNode {
  AgentNode(const process::AgentContext &Context, unsigned Slots,
            process::MinionCall Call)
      : Settings_(agentSettings(Slots)), Policy_(Settings_, Context.Now_, 1),
        Home_(Context, Policy_),
        Gateway_(Context, Settings_, Policy_, std::move(Call)) {}

  void onViewChange(const process::ClusterView &View) {
    Policy_.onViewChange(View);
    Home_.onViewChange();
    Gateway_.onViewChange();
  }

  process::AgentSettings Settings_;
  process::DispatchPolicy Policy_;
  process::Home Home_;
  process::MinionGateway Gateway_;
};

struct JobCluster::EntryNode {
  explicit EntryNode(const process::AgentContext &Context)
      : Jobs_(Context, 100'000) {
    Jobs_.setReplyTo(Context.Self_.Address_);
  }
  process::Entry Jobs_;
};

JobCluster::JobCluster(Shape Size) : Shape_(Size), Network_(Time_, Latency) {
  if (!Shape_.TraceFile_.empty())
    SpanFile_ =
        std::make_unique<process::SpanFile>(Shape_.TraceFile_, Counters_);
  process::ClusterView First;
  version::MapChange Joins;
  for (unsigned I = 0; I < Shape_.Agents_; ++I) {
    const std::string Id = "a" + std::to_string(I);
    Incarnations_[Id] = wallMs();
    const std::string Domain = "d" + std::to_string(I % Shape_.Domains_);
    version::MapAgent Agent;
    Agent.Id_ = Id;
    Agent.Incarnation_ = Incarnations_[Id];
    Agent.TrafficAddress_ = Id;
    Agent.FailureDomain_ = Domain;
    Agent.Service_ = Service;
    Joins.Joins_.push_back(Agent);
    Member Each;
    Each.Id_ = Id;
    Each.Incarnation_ = Incarnations_[Id];
    Each.TrafficAddress_ = Id;
    Each.FailureDomain_ = Domain;
    Each.Service_ = Service;
    First.Members_.push_back(Each);
  }
  Map_ =
      *version::applyChange({}, Joins, wallMs() - 2 * RetentionMs, RetentionMs);
  First.Map_ = std::make_shared<const version::AgentMap>(Map_);
  First.Config_ = makeConfig();
  const auto Shared = std::make_shared<const process::ClusterView>(First);
  for (unsigned I = 0; I < Shape_.Agents_; ++I)
    Views_["a" + std::to_string(I)] = Shared;
  for (unsigned I = 0; I < Shape_.Entries_; ++I)
    Views_["e" + std::to_string(I)] = Shared;
  for (unsigned I = 0; I < Shape_.Agents_; ++I)
    addAgent("a" + std::to_string(I));
  for (unsigned I = 0; I < Shape_.Entries_; ++I)
    addEntry("e" + std::to_string(I));
}

JobCluster::~JobCluster() = default;

std::int64_t JobCluster::wallMs() const {
  return WallOffsetMs + std::chrono::duration_cast<std::chrono::milliseconds>(
                            Time_.now().time_since_epoch())
                            .count();
}

process::AgentContext JobCluster::context(const std::string &Id) {
  return {{Id, Incarnations_[Id], Id},
          Time_.clock(),
          [this] { return wallMs(); },
          Network_.schedule(Id),
          Network_.caller(Id),
          [this, Id] { return Views_.at(Id); },
          Counters_,
          trace(Id)};
}

const process::Tracer *JobCluster::trace(const std::string &Id) {
  if (!SpanFile_)
    return nullptr;
  auto &Slot = Traces_[Id];
  if (!Slot)
    Slot = std::make_unique<process::Tracer>(
        *SpanFile_, Id, process::TraceClocks{Time_.clock(), [this] {
                                               return wallMs() * 1'000;
                                             }});
  return Slot.get();
}

void JobCluster::addAgent(const std::string &Id) {
  const process::AgentContext Context = context(Id);
  auto Node = std::make_unique<AgentNode>(Context, Shape_.Slots_, minion(Id));
  const auto Add = [&](const char *Method, auto &Part, auto Handler) {
    Network_.addMethod(Id, Method, [&Part, Handler](const Json::Value &Params) {
      return (Part.*Handler)(Params);
    });
  };
  Add("job.submit", Node->Home_, &process::Home::submit);
  Add("job.status", Node->Home_, &process::Home::status);
  Add("job.cancel", Node->Home_, &process::Home::cancel);
  Add("record.prepare", Node->Home_, &process::Home::prepare);
  Add("record.finish", Node->Home_, &process::Home::finish);
  Add("record.seal", Node->Home_, &process::Home::seal);
  Add("task.results", Node->Home_, &process::Home::results);
  Add("task.start", Node->Gateway_, &process::MinionGateway::start);
  Add("task.cancel", Node->Gateway_, &process::MinionGateway::cancel);
  Agents_[Id] = std::move(Node);
  Agents_[Id]->onViewChange(*Views_.at(Id));
  tick(Id);
}

void JobCluster::addEntry(const std::string &Id) {
  auto Node = std::make_unique<EntryNode>(context(Id));
  Network_.addMethod(Id, "job.finished",
                     [Jobs = &Node->Jobs_](const Json::Value &Params) {
                       return Jobs->finished(Params);
                     });
  Entries_[Id] = std::move(Node);
  tick(Id);
}

void JobCluster::tick(const std::string &Id) {
  Network_.schedule(Id)(
      TickPeriod, [this, Id, Incarnation = Incarnations_[Id]] {
        if (Incarnation != Incarnations_[Id])
          return;
        if (const auto Agent = Agents_.find(Id); Agent != Agents_.end()) {
          Agent->second->Home_.tick();
          Agent->second->Gateway_.tick();
        }
        if (const auto Entry = Entries_.find(Id); Entry != Entries_.end())
          Entry->second->Jobs_.tick();
        tick(Id);
      });
}

process::MinionCall JobCluster::minion(const std::string &Id) {
  return [this, Id](const process::GatewayTask &Task, std::chrono::milliseconds,
                    std::function<void(process::MinionReply)> Done) {
    ++Starts_[Task.Job_.Id_ + "/" + std::to_string(Task.Task_)];
    process::MinionReply Result;
    Result.Result_.Body_["job"] = Task.Job_.Id_;
    Result.Result_.Body_["task"] = Task.Task_;
    const std::chrono::milliseconds Work(Task.Payload_["work_ms"].asInt64());
    Network_.schedule(Id)(Work,
                          [Done = std::move(Done), Result] { Done(Result); });
  };
}

JobSpec JobCluster::job(const std::string &Id, unsigned Tasks, unsigned WorkMs,
                        std::chrono::milliseconds Timeout) const {
  JobSpec Spec;
  Spec.Key_ = {Service, Id};
  Spec.Kind_ = Kind;
  Spec.Team_ = Team;
  Spec.CreatedAtMs_ = wallMs();
  Spec.Timeout_ = Timeout;
  Spec.Tasks_.resize(Tasks);
  for (request::TaskSpec &Task : Spec.Tasks_)
    Task.Payload_["work_ms"] = WorkMs;
  return Spec;
}

void JobCluster::submit(const std::string &Entry, const JobSpec &Spec,
                        const std::string &TraceParent) {
  if (Network_.killed(Entry))
    return;
  const auto Refused = Entries_.at(Entry)->Jobs_.submit(
      Spec,
      [this, Key = Spec.Key_](const std::optional<request::JobAnswer> &Answer) {
        Answers_.push_back({Key, *Answer, Time_.now()});
      },
      std::nullopt, TraceParent);
  if (Refused == process::EntryRefusal::None)
    ++Submissions_;
}

void JobCluster::cancel(const std::string &Entry, const JobKey &Key) {
  Entries_.at(Entry)->Jobs_.cancel(
      Key, [](process::JobLookup, const request::JobAnswer &) {});
}

std::string JobCluster::homeOf(const JobSpec &Spec) const {
  return Map_.holders(Spec.Key_).Home_->Id_;
}

std::string JobCluster::copyOf(const JobSpec &Spec) const {
  return Map_.holders(Spec.Key_).Copy_->Id_;
}

void JobCluster::kill(const std::string &Id) { Network_.kill(Id); }

std::vector<std::string> JobCluster::allIds() const {
  std::vector<std::string> Result;
  for (const auto &[Id, Each] : Views_)
    Result.push_back(Id);
  return Result;
}

void JobCluster::changeViews(
    const std::vector<std::string> &Observers,
    const std::function<void(process::ClusterView &)> &Edit) {
  for (const std::string &Id : Observers.empty() ? allIds() : Observers) {
    auto Next = std::make_shared<process::ClusterView>(*Views_.at(Id));
    Edit(*Next);
    Views_[Id] = Next;
    // A frozen process handles the change when it resumes.
    Network_.schedule(Id)(request::Duration::zero(), [this, Id] {
      const auto Agent = Agents_.find(Id);
      if (Agent == Agents_.end())
        return;
      Agent->second->onViewChange(*Views_.at(Id));
    });
  }
}

void JobCluster::announceDead(const std::string &Id,
                              const std::vector<std::string> &Observers) {
  changeViews(Observers, [&](process::ClusterView &View) {
    for (Member &Each : View.Members_)
      if (Each.Id_ == Id)
        Each.State_ = MemberState::Dead;
  });
}

void JobCluster::removeFromMap(const std::string &Id,
                               const std::vector<std::string> &Observers) {
  version::MapChange Change;
  Change.Removals_ = {{Id, Incarnations_.at(Id), 0}};
  if (const auto Next =
          version::applyChange(Map_, Change, wallMs(), RetentionMs))
    Map_ = *Next;
  publishMap(Observers);
}

void JobCluster::publishMap(const std::vector<std::string> &Observers) {
  const auto Shared = std::make_shared<const version::AgentMap>(Map_);
  changeViews(Observers,
              [&](process::ClusterView &View) { View.Map_ = Shared; });
}

void JobCluster::rejoin(const std::string &Id) {
  version::MapChange Change;
  for (const version::MapAgent &Each : Map_.Agents_)
    if (Each.Id_ == Id)
      Change.Joins_ = {Each};
  Map_ = *version::applyChange(Map_, Change, wallMs(), RetentionMs);
  const auto Shared = std::make_shared<const version::AgentMap>(Map_);
  changeViews({}, [&](process::ClusterView &View) {
    View.Map_ = Shared;
    for (Member &Each : View.Members_)
      if (Each.Id_ == Id)
        Each.State_ = MemberState::Alive;
  });
}

void JobCluster::restart(const std::string &Id) {
  version::MapAgent Agent = *Map_.findPresent(Id);
  Incarnations_[Id] = std::max(wallMs(), Incarnations_[Id] + 1);
  Agent.Incarnation_ = Incarnations_[Id];
  // Timers and callbacks of the old process must not run any more.
  Network_.restart(Id);
  Ended_.push_back(std::move(Agents_.at(Id)));
  Agents_.erase(Id);
  version::MapChange Change;
  Change.Joins_ = {Agent};
  Map_ = *version::applyChange(Map_, Change, wallMs(), RetentionMs);
  const auto Shared = std::make_shared<const version::AgentMap>(Map_);
  changeViews({}, [&](process::ClusterView &View) {
    View.Map_ = Shared;
    for (Member &Each : View.Members_)
      if (Each.Id_ == Id)
        Each.Incarnation_ = Agent.Incarnation_;
  });
  addAgent(Id);
}

void JobCluster::beginLeaving(const std::string &Id) {
  Agents_.at(Id)->Home_.beginLeaving();
  Agents_.at(Id)->Gateway_.beginLeaving();
  changeViews({}, [&](process::ClusterView &View) {
    for (Member &Each : View.Members_)
      if (Each.Id_ == Id)
        Each.State_ = MemberState::Leaving;
  });
}

bool JobCluster::drained(const std::string &Id) const {
  return Agents_.at(Id)->Home_.unfinished() == 0 &&
         Agents_.at(Id)->Gateway_.idle();
}

unsigned JobCluster::startsOf(const std::string &JobId) const {
  unsigned Total = 0;
  for (const auto &[Task, Count] : Starts_)
    if (Task.compare(0, JobId.size() + 1, JobId + "/") == 0)
      Total += Count;
  return Total;
}

std::vector<std::string> JobCluster::violations() const {
  std::vector<std::string> Result;
  for (const auto &[Task, Count] : Starts_)
    if (Count > 1)
      Result.push_back("duplicate start of " + Task);
  for (const ReceivedAnswer &Each : Answers_) {
    const std::string &Id = Each.Key_.Id_;
    if (Each.Answer_.Outcome_ == Outcome::NotRun && startsOf(Id) != 0)
      Result.push_back(Id + " ran in spite of not_run");
    if (Each.Answer_.Outcome_ != Outcome::Complete)
      continue;
    if (Each.Answer_.Results_.size() != startsOf(Id))
      Result.push_back("partial answer of " + Id);
    for (std::size_t I = 0; I < Each.Answer_.Results_.size(); ++I) {
      const Json::Value &Body = Each.Answer_.Results_[I];
      if (Body["job"].asString() != Id || Body["task"].asUInt64() != I)
        Result.push_back("crossed answer of " + Id);
    }
  }
  return Result;
}

} // namespace wigeonwall::standins
