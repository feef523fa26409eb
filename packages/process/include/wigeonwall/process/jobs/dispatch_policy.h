/// \file
/// \brief Scheduling decisions of one agent: task placement, job admission,
/// run-time estimates and minion ejections.
#ifndef WIGEONWALL_PROCESS_JOBS_DISPATCH_POLICY_H
#define WIGEONWALL_PROCESS_JOBS_DISPATCH_POLICY_H

#include "wigeonwall/process/jobs/agent_context.h"
#include "wigeonwall/process/settings/settings.h"
#include "wigeonwall/request/admission.h"
#include "wigeonwall/request/estimator.h"
#include "wigeonwall/request/job_table.h"
#include "wigeonwall/request/placement.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace wigeonwall::process {

/// \brief Scheduling state shared by the Home and the MinionGateway of an
/// agent; not thread-safe.
class DispatchPolicy {
public:
  DispatchPolicy(const AgentSettings &Options, request::Clock Now,
                 std::uint64_t Seed);

  /// \brief Calls \p Hook whenever the set of agents that are excluded from
  /// placement by an ejection changes.
  void onEjectionsChanged(
      std::function<void(const std::vector<std::string> &Agents)> Hook) {
    OnEjectionsChanged_ = std::move(Hook);
  }
  /// \brief Applies the agents, kinds and teams of a new view.
  void onViewChange(const ClusterView &View);

  /// \brief Chooses an agent for each of \p Count tasks; empty when no agent is
  /// usable.
  [[nodiscard]] std::vector<std::string>
  choose(std::size_t Count, const std::set<std::string> &Excluded);
  /// \brief Processes a load report; \p Acknowledged is the number of tasks in
  /// the start message that the report replies to, 0 for other reports.
  void report(const std::string &Agent, std::uint32_t Acknowledged,
              const request::AgentLoad &Load);
  /// \brief Records that a placed task has ended or was refused.
  void finish(const std::string &Agent);
  /// \brief Records that a placed task never reached the agent.
  void withdraw(const std::string &Agent);

  /// \brief Admits or refuses a job and sets the expected run time of each of
  /// its tasks.
  [[nodiscard]] request::Reason admit(request::JobRecord &Record);
  /// \brief Releases the admission quota of one admitted task.
  void releaseTask(const request::JobRecord &Record, request::TaskIndex Index);
  /// \brief Releases the admission quota of all tasks that are not done.
  void releaseUnfinished(const request::JobRecord &Record);

  /// \brief Records the run time of a task on this agent's minion.
  void recordRun(const std::string &Kind, request::Duration Run);
  void recordQueueDelay(const std::string &Kind, request::Duration Delay);
  [[nodiscard]] request::Duration
  expectedRun(const std::string &Kind,
              std::chrono::milliseconds Declared) const;

  /// \brief Whether the last load report of \p Agent declared its minion
  /// ejected and that ejection has not expired.
  [[nodiscard]] bool isEjected(const std::string &Agent) const {
    return Ejections_.contains(Agent);
  }

private:
  struct Ejection {
    double Severity_ = 0.0;
    request::TimePoint Until_;
  };

  void removeExpiredEjections();
  void applyEjections();

  std::string Service_;
  unsigned SlotsPerAgent_;
  request::Clock Now_;
  request::RunTimeEstimator Estimator_;
  request::Placer Placer_;
  request::AdmissionController Admission_;
  /// Reported ejections by agent id.
  std::map<std::string, Ejection> Ejections_;
  std::vector<std::string> AppliedEjections_;
  std::function<void(const std::vector<std::string> &)> OnEjectionsChanged_;
  std::size_t AgentCount_ = 0;
  std::uint64_t ConfigVersion_ = 0;
};

/// \brief Scheduling policies of the kinds of \p Service.
[[nodiscard]] std::vector<request::KindPolicy>
kindPolicies(const version::Config &Config, const std::string &Service);

} // namespace wigeonwall::process

#endif
