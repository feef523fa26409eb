#include "wigeonwall/process/observation/metrics.h"

#include "wigeonwall/process/observation/log.h"

#include <algorithm>

namespace wigeonwall::process {

using request::HealthState;
using request::MinionOutcome;

Histogram *KindHistograms::find(const std::string &Service,
                                const std::string &Kind) {
  const auto OfService = ByService_.find(Service);
  if (OfService == ByService_.end())
    return nullptr;
  const auto Found = OfService->second.find(Kind);
  return Found == OfService->second.end() ? nullptr : Found->second;
}

void KindHistograms::record(const std::string &Service, const std::string &Kind,
                            request::Duration Value) {
  Histogram *Target = find(Service, Kind);
  if (Target == nullptr)
    Target = ByService_[Service][Kind] =
        &Registry_.histogram(Name_, "kind", Service + "/" + Kind);
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

EntryMetrics::EntryMetrics(Counters &Registry)
    : NotReady_(
          Registry.counter("entry_refusals_total", "reason", "not_ready")),
      Conflict_(Registry.counter("entry_refusals_total", "reason", "conflict")),
      TooManyJobs_(
          Registry.counter("entry_refusals_total", "reason", "too_many_jobs")),
      JobsWaiting_(Registry.counter("entry_jobs_waiting")),
      SubmitResends_(Registry.counter("job_submit_resends_total")),
      JobTime_(Registry, "job_seconds") {}

HomeMetrics::HomeMetrics(Counters &Registry)
    : Registry_(Registry), Accepted_(Registry.counter("jobs_accepted_total")),
      Ended_(Registry, "jobs_ended_total", "outcome", request::OutcomeNames),
      Negative_(Registry, "jobs_negative_total", "reason",
                request::ReasonNames),
      InFlight_(Registry.counter("jobs_in_flight")) {}

void HomeMetrics::setEjected(const std::vector<std::string> &Agents) {
  // Ejections are rare, so the cost of the lookup by name is negligible.
  for (const std::string &Id : Ejected_)
    Registry_.counter("minion_ejected", "agent", Id).store(0);
  for (const std::string &Id : Agents)
    Registry_.counter("minion_ejected", "agent", Id).store(1);
  Ejected_ = Agents;
}

DispatcherMetrics::DispatcherMetrics(Counters &Registry)
    : Placements_(Registry.counter("task_placements_total")),
      Retries_(Registry.counter("task_retries_total")),
      Resends_(Registry.counter("task_start_resends_total")),
      Refusals_(Registry, "task_refusals_total", "reason",
                request::ReasonNames) {}

GatewayMetrics::GatewayMetrics(Counters &Registry, std::string Service)
    : Service_(std::move(Service)),
      Starts_(Registry.counter("task_starts_total")),
      Duplicates_(Registry.counter("duplicate_starts_refused_total")),
      ResultResends_(Registry.counter("task_result_resends_total")),
      Queued_(Registry.counter("tasks_queued")),
      Running_(Registry.counter("tasks_running")),
      HealthState_(Registry.counter("minion_health_state")),
      Readmissions_(Registry.counter("minion_readmissions_total")),
      Ejections_(Registry, "minion_ejections_total", "cause",
                 MinionOutcomeNames),
      Outcomes_(Registry, "minion_calls_total", "outcome", MinionOutcomeNames),
      QueueDelay_(Registry, "task_queue_delay_seconds"),
      RunTime_(Registry, "task_run_seconds") {}

void GatewayMetrics::recordOutcome(MinionOutcome Outcome) {
  Outcomes_[Outcome].fetch_add(1);
  if (Outcome != MinionOutcome::Success)
    LastFailure_ = Outcome;
}

void GatewayMetrics::updateHealth(HealthState State) {
  if (State == LastState_)
    return;
  LastState_ = State;
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

ViewMetrics::ViewMetrics(Counters &Registry)
    : Epoch_(Registry.counter("map_epoch")),
      ConfigVersion_(Registry.counter("config_version")),
      Members_(Registry, "members", "state", MemberStateNames) {}

void ViewMetrics::update(const ClusterView &View) {
  updateMembers(View.Members_);
  updateDocuments(View);
}

void ViewMetrics::updateMembers(const std::vector<Member> &Members) {
  std::map<MemberState, std::int64_t> Counts;
  for (const Member &Listed : Members) {
    ++Counts[Listed.State_];
    const auto [Previous, Added] =
        LastSeen_.try_emplace(Listed.Id_, Listed.State_, Listed.Incarnation_);
    const bool Restarted = Previous->second.second != Listed.Incarnation_;
    if (!Added && !Restarted && Previous->second.first == Listed.State_)
      continue;
    // Suspicions are often withdrawn within seconds, so they are only counted.
    if (Listed.State_ != MemberState::Suspect &&
        (Added || Restarted || Previous->second.first != MemberState::Suspect ||
         Listed.State_ != MemberState::Alive))
      logEvent("membership",
               Listed.State_ == MemberState::Alive
                   ? "member_joined"
                   : "member_" + std::string(request::findName(MemberStateNames,
                                                               Listed.State_)),
               {{"member", Listed.Id_},
                {"role", request::findName(RoleNames, Listed.Role_)},
                {"failure_domain", Listed.FailureDomain_},
                {"incarnation", Listed.Incarnation_}});
    Previous->second = {Listed.State_, Listed.Incarnation_};
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
