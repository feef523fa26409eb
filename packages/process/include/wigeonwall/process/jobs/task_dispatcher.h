/// \file
/// \brief Places the tasks of a home's jobs on agents and collects the results.
#ifndef WIGEONWALL_PROCESS_JOBS_TASK_DISPATCHER_H
#define WIGEONWALL_PROCESS_JOBS_TASK_DISPATCHER_H

#include "wigeonwall/process/jobs/agent_context.h"
#include "wigeonwall/process/jobs/dispatch_policy.h"
#include "wigeonwall/process/observation/job_traces.h"
#include "wigeonwall/process/observation/metrics.h"
#include "wigeonwall/request/job_table.h"

#include <string>

namespace wigeonwall::process {

/// \brief Dispatches tasks with at-most-once execution.
///
/// A task is placed again only if its agent reported that it did not start, or
/// if no message was sent to the agent. If an agent is lost with a task that
/// may have started, the job ends with `outcome_unknown`.
class TaskDispatcher {
public:
  using EndHook = std::function<void(request::JobRecord &, request::JobAnswer)>;

  TaskDispatcher(AgentContext Context, request::JobTable &Jobs,
                 DispatchPolicy &Policy, JobTraces &Traces, EndHook End);

  /// \brief Places all tasks of a job that has entered the state Running.
  void start(request::JobRecord &Record);

  /// \brief Handles `task.results`.
  [[nodiscard]] Json::Value onResults(const Json::Value &Params);

  /// \brief Asks the agents to drop the queued tasks of a job that has ended.
  void cancel(request::JobRecord &Record);

  /// \brief Ends the jobs with tasks on agents that \p View shows as lost.
  void onViewChange(const ClusterView &View);

private:
  void place(request::JobRecord &Record, request::TaskIndex Index);
  void placeAt(request::JobRecord &Record, request::TaskIndex Index,
               const std::string &AgentId);
  void placeLater(const request::JobRecord &Record, request::TaskIndex Index);
  void send(request::JobRecord &Record, request::TaskIndex Index,
            const Member &Agent);
  void resendLater(const request::JobRecord &Record, request::TaskIndex Index);
  void onStartReply(const request::JobKey &Key, std::uint64_t Serial,
                    request::TaskIndex Index, std::uint32_t Attempt,
                    const ItemReply &Reply);
  /// \p Delivered is false if no start message reached the agent.
  void onNotStarted(request::JobRecord &Record, request::TaskIndex Index,
                    request::Reason Why, bool Delivered = true);
  void onResult(const std::string &Agent, std::int64_t Incarnation,
                const Json::Value &Item);
  void endUnplaced(request::JobRecord &Record, request::TaskIndex Index,
                   request::Reason Why);
  void endFailed(request::JobRecord &Record, request::TaskIndex Index,
                 request::Reason Why, const std::string &Detail);
  [[nodiscard]] Json::Value encodeStart(const request::JobRecord &Record,
                                        request::TaskIndex Index) const;
  [[nodiscard]] bool isAgentLost(const request::TaskRecord &Task,
                                 const ClusterView &View) const;

  AgentContext Context_;
  request::JobTable &Jobs_;
  DispatchPolicy &Policy_;
  JobTraces &Traces_;
  EndHook End_;
  CallBatcher Starts_;
  CallBatcher Cancels_;
  DispatcherMetrics Metrics_;
};

} // namespace wigeonwall::process

#endif
