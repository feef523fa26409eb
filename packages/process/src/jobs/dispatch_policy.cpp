#include "wigeonwall/process/jobs/dispatch_policy.h"

#include "wigeonwall/request/health.h"

#include <algorithm>

namespace wigeonwall::process {

using request::JobRecord;
using request::Reason;
using request::TaskIndex;
using request::TaskRecord;
using request::TaskState;

namespace {

std::vector<request::TeamQuota> teamQuotas(const version::Config &Config) {
  std::vector<request::TeamQuota> Result;
  for (const version::TeamConfig &Team : Config.Teams_)
    Result.push_back({Team.Name_, Team.MaxTasksInFlight_});
  return Result;
}

} // namespace

std::vector<request::KindPolicy> kindPolicies(const version::Config &Config,
                                              const std::string &Service) {
  std::vector<request::KindPolicy> Result;
  const auto *Found = Config.findService(Service);
  if (Found == nullptr)
    return Result;
  for (const version::KindConfig &Kind : Found->Kinds_)
    Result.push_back({Kind.Name_, Kind.Urgency_, Kind.Weight_, Kind.MinShare_,
                      Kind.QueueLimit_});
  return Result;
}

DispatchPolicy::DispatchPolicy(const AgentSettings &Options, request::Clock Now,
                               std::uint64_t Seed)
    : Service_(Options.Service_), SlotsPerAgent_(Options.Slots_), Now_(Now),
      Placer_(request::makePlacementFunction(Options.Placement_), Now, Seed),
      Admission_(Options.Admission_, {Options.Slots_, 1}, {}, {}, Now,
                 [this] { return Placer_.meanLoad(); }) {}

void DispatchPolicy::onViewChange(const ClusterView &View) {
  std::set<std::string> Ids;
  std::set<std::string> Usable;
  for (const Member &Each : View.Members_) {
    if (Each.Role_ != Role::Agent || Each.Service_ != Service_)
      continue;
    if (Each.State_ == MemberState::Dead || Each.State_ == MemberState::Left)
      continue;
    Ids.insert(Each.Id_);
    if (Each.State_ == MemberState::Alive)
      Usable.insert(Each.Id_);
  }
  Placer_.setAgents(Ids);
  for (const std::string &Id : Ids)
    Placer_.setUsable(Id, Usable.count(Id) != 0);
  std::erase_if(Ejections_,
                [&](const auto &Each) { return Ids.count(Each.first) == 0; });
  AgentCount_ = Usable.size();
  applyEjections();
  // All agents of a service are deployed with the same number of slots, so the
  // own number stands for all. Load reports affect placement only.
  const auto Count =
      static_cast<unsigned>(std::max<std::size_t>(1, AgentCount_));
  Admission_.setCapacity({SlotsPerAgent_ * Count, Count});
  if (!View.Config_ || View.Config_->Version_ == ConfigVersion_)
    return;
  ConfigVersion_ = View.Config_->Version_;
  Admission_.setPolicies(kindPolicies(*View.Config_, Service_),
                         teamQuotas(*View.Config_));
}

std::vector<std::string>
DispatchPolicy::choose(std::size_t Count,
                       const std::set<std::string> &Excluded) {
  removeExpiredEjections();
  return Placer_.choose(Count, Excluded);
}

/// After an ejection expires, the next tasks sent to the agent act as probes;
/// the agent accepts one at a time.
void DispatchPolicy::removeExpiredEjections() {
  const request::TimePoint Now = Now_();
  if (std::erase_if(Ejections_, [&](const auto &Each) {
        return Each.second.Until_ <= Now;
      }) != 0)
    applyEjections();
}

void DispatchPolicy::report(const std::string &Agent,
                            std::uint32_t Acknowledged,
                            const request::AgentLoad &Load) {
  if (Acknowledged != 0)
    Placer_.acknowledge(Agent, Acknowledged, Load);
  else
    Placer_.report(Agent, Load);
  const auto Known = Ejections_.find(Agent);
  const double Before =
      Known == Ejections_.end() ? 0.0 : Known->second.Severity_;
  if (Load.EjectedSeverity_ > 0)
    Ejections_[Agent] = {Load.EjectedSeverity_, Now_() + Load.EjectedFor_};
  else
    Ejections_.erase(Agent);
  if (Before != Load.EjectedSeverity_)
    applyEjections();
}

void DispatchPolicy::applyEjections() {
  std::vector<request::EjectedMinion> Reports;
  for (const auto &[Agent, Each] : Ejections_)
    Reports.push_back({Agent, Each.Severity_});
  auto Applied = request::limitEjections(std::move(Reports), AgentCount_);
  Placer_.setEjected({Applied.begin(), Applied.end()});
  if (Applied == AppliedEjections_)
    return;
  AppliedEjections_ = std::move(Applied);
  if (OnEjectionsChanged_)
    OnEjectionsChanged_(AppliedEjections_);
}

void DispatchPolicy::finish(const std::string &Agent) {
  Placer_.finish(Agent, 1);
}

void DispatchPolicy::withdraw(const std::string &Agent) {
  Placer_.withdraw(Agent, 1);
}

Reason DispatchPolicy::admit(JobRecord &Record) {
  request::AdmissionRequest Request;
  Request.Kind_ = Record.Spec_.Kind_;
  Request.Team_ = Record.Spec_.Team_;
  Request.Tasks_ = static_cast<unsigned>(Record.Tasks_.size());
  Request.Deadline_ = Record.Deadline_;
  for (std::size_t I = 0; I < Record.Tasks_.size(); ++I) {
    const request::Duration Run =
        expectedRun(Record.Spec_.Kind_, Record.Spec_.Tasks_[I].DeclaredRun_);
    Record.Tasks_[I].ExpectedRun_ = Run;
    Request.Work_ += Run;
    Request.LongestRun_ = std::max(Request.LongestRun_, Run);
  }
  return Admission_.admit(Request);
}

void DispatchPolicy::releaseTask(const JobRecord &Record, TaskIndex Index) {
  Admission_.release(Record.Spec_.Kind_, Record.Spec_.Team_, 1,
                     Record.Tasks_[Index].ExpectedRun_);
}

void DispatchPolicy::releaseUnfinished(const JobRecord &Record) {
  unsigned Tasks = 0;
  request::Duration Work{0};
  for (const TaskRecord &Task : Record.Tasks_) {
    if (Task.State_ == TaskState::Done)
      continue;
    ++Tasks;
    Work += Task.ExpectedRun_;
  }
  if (Tasks != 0)
    Admission_.release(Record.Spec_.Kind_, Record.Spec_.Team_, Tasks, Work);
}

void DispatchPolicy::recordRun(const std::string &Kind, request::Duration Run) {
  Estimator_.record({Service_, Kind}, Run);
}

void DispatchPolicy::recordQueueDelay(const std::string &Kind,
                                      request::Duration Delay) {
  Admission_.recordQueueDelay(Kind, Delay);
}

request::Duration
DispatchPolicy::expectedRun(const std::string &Kind,
                            std::chrono::milliseconds Declared) const {
  return Estimator_.expectedRun({Service_, Kind}, Declared);
}

} // namespace wigeonwall::process
