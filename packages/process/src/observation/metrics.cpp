#include "wigeonwall/process/observation/metrics.h"

#include "wigeonwall/process/observation/log.h"

#include <algorithm>

namespace wigeonwall::process {

using request::HealthState;
using request::MinionOutcome;

Histogram *KindHistograms::find(const std::string &Service,
                                const std::string &Kind) {
  const auto OfService = Known_.find(Service);
  if (OfService == Known_.end())
    return nullptr;
  const auto Found = OfService->second.find(Kind);
  return Found == OfService->second.end() ? nullptr : Found->second;
}

void KindHistograms::record(const std::string &Service, const std::string &Kind,
                            request::Duration Value) {
  Histogram *Target = find(Service, Kind);
  if (Target == nullptr)
    Target = Known_[Service][Kind] =
        &All_.histogram(Name_, "kind", Service + "/" + Kind);
  Target->record(Value);
}

void KindHistograms::recordConfigured(const std::string &Service,
                                      const std::string &Kind,
                                      const version::Config *Config,
                                      request::Duration Value) {
  if (find(Service, Kind) == nullptr) {
    const auto *Found =
        Config == nullptr ? nullptr : Config->findService(Service);
    if (Found == nullptr || Found->findKind(Kind) == nullptr)
      return;
  }
  record(Service, Kind, Value);
}

EntryMetrics::EntryMetrics(Counters &All)
    : NotReady_(All.counter("entry_refusals_total", "reason", "not_ready")),
      Conflict_(All.counter("entry_refusals_total", "reason", "conflict")),
      TooManyJobs_(
          All.counter("entry_refusals_total", "reason", "too_many_jobs")),
      JobsWaiting_(All.counter("entry_jobs_waiting")),
      SubmitResends_(All.counter("job_submit_resends_total")),
      JobTime_(All, "job_seconds") {}

HomeMetrics::HomeMetrics(Counters &All)
    : All_(All), Accepted_(All.counter("jobs_accepted_total")),
      Ended_(All, "jobs_ended_total", "outcome", request::OutcomeNames),
      Negative_(All, "jobs_negative_total", "reason", request::ReasonNames),
      InFlight_(All.counter("jobs_in_flight")) {}

void HomeMetrics::setEjected(const std::vector<std::string> &Agents) {
  // Ejections are rare, so the lookup by name costs nothing that matters.
  for (const std::string &Id : Ejected_)
    All_.counter("minion_ejected", "agent", Id).store(0);
  for (const std::string &Id : Agents)
    All_.counter("minion_ejected", "agent", Id).store(1);
  Ejected_ = Agents;
}

DispatcherMetrics::DispatcherMetrics(Counters &All)
    : Placements_(All.counter("task_placements_total")),
      Retries_(All.counter("task_retries_total")),
      Resends_(All.counter("task_start_resends_total")),
      Refusals_(All, "task_refusals_total", "reason", request::ReasonNames) {}

GatewayMetrics::GatewayMetrics(Counters &All, std::string Service)
    : Service_(std::move(Service)), Starts_(All.counter("task_starts_total")),
      Duplicates_(All.counter("duplicate_starts_refused_total")),
      ResultResends_(All.counter("task_result_resends_total")),
      Queued_(All.counter("tasks_queued")),
      Running_(All.counter("tasks_running")),
      HealthState_(All.counter("minion_health_state")),
      Readmissions_(All.counter("minion_readmissions_total")),
      Ejections_(All, "minion_ejections_total", "cause", MinionOutcomeNames),
      Outcomes_(All, "minion_calls_total", "outcome", MinionOutcomeNames),
      QueueDelay_(All, "task_queue_delay_seconds"),
      RunTime_(All, "task_run_seconds") {}

void GatewayMetrics::recordOutcome(MinionOutcome Outcome) {
  Outcomes_[Outcome].fetch_add(1);
  if (Outcome != MinionOutcome::Success)
    LastFailure_ = Outcome;
}

void GatewayMetrics::updateHealth(HealthState State) {
  if (State == KnownState_)
    return;
  KnownState_ = State;
  HealthState_.store(static_cast<std::int64_t>(State));
  if (State == HealthState::Ejected) {
    Ejections_[LastFailure_].fetch_add(1);
    logEvent("agent", "minion_ejected",
             {{"service", Service_},
              {"cause", request::findName(MinionOutcomeNames, LastFailure_)}},
             LogLevel::Warning);
  } else if (State == HealthState::Healthy) {
    Readmissions_.fetch_add(1);
    logEvent("agent", "minion_readmitted", {{"service", Service_}});
  }
}

ViewMetrics::ViewMetrics(Counters &All)
    : Epoch_(All.counter("map_epoch")),
      ConfigVersion_(All.counter("config_version")),
      Members_(All, "members", "state", MemberStateNames) {}

void ViewMetrics::update(const ClusterView &View) {
  updateMembers(View.Members_);
  updateDocuments(View);
}

void ViewMetrics::updateMembers(const std::vector<Member> &Members) {
  std::map<MemberState, std::int64_t> Counts;
  for (const Member &Each : Members) {
    ++Counts[Each.State_];
    const auto [Known, Added] =
        Known_.try_emplace(Each.Id_, Each.State_, Each.Incarnation_);
    const bool Restarted = Known->second.second != Each.Incarnation_;
    if (!Added && !Restarted && Known->second.first == Each.State_)
      continue;
    // Suspicion is often withdrawn within seconds; the counter shows it.
    if (Each.State_ != MemberState::Suspect &&
        (Added || Restarted || Known->second.first != MemberState::Suspect ||
         Each.State_ != MemberState::Alive))
      logEvent("membership",
               Each.State_ == MemberState::Alive
                   ? "member_joined"
                   : "member_" + std::string(request::findName(MemberStateNames,
                                                               Each.State_)),
               {{"member", Each.Id_},
                {"role", request::findName(RoleNames, Each.Role_)},
                {"failure_domain", Each.FailureDomain_},
                {"incarnation", Each.Incarnation_}});
    Known->second = {Each.State_, Each.Incarnation_};
  }
  for (const auto &Row : MemberStateNames)
    Members_[Row.Value_].store(Counts[Row.Value_]);
}

void ViewMetrics::updateDocuments(const ClusterView &View) {
  const auto Epoch =
      static_cast<std::int64_t>(View.Map_ ? View.Map_->Epoch_ : 0);
  if (Epoch_.exchange(Epoch) != Epoch)
    logEvent("control", "map_epoch_changed", {{"epoch", Epoch}});
  const auto Version =
      static_cast<std::int64_t>(View.Config_ ? View.Config_->Version_ : 0);
  if (ConfigVersion_.exchange(Version) != Version)
    logEvent("control", "config_version_changed", {{"version", Version}});
}

} // namespace wigeonwall::process
