/// \file
/// \brief Places the tasks of a home's jobs and collects their results.
#ifndef WIGEONWALL_PROCESS_TASK_DISPATCHER_H
#define WIGEONWALL_PROCESS_TASK_DISPATCHER_H

#include "wigeonwall/process/agent_context.h"
#include "wigeonwall/request/job_table.h"

#include <optional>
#include <set>
#include <string>

namespace wigeonwall::process {

/// \brief Choice of an agent for a task.
struct PlacementHooks {
  /// Returns an agent of the service that is not excluded, if there is one.
  std::function<std::optional<Member>(const std::string &Service,
                                      const std::set<std::string> &Excluded)>
      Choose_;
  /// A task placed at the agent has ended or was refused.
  std::function<void(const std::string &AgentId)> Release_;
  /// The agent reported its load.
  std::function<void(const std::string &AgentId, const request::AgentLoad &)>
      Report_;
};

/// \brief Starts tasks at most once each.
///
/// A task is placed again only after its agent said that it did not start, or
/// when nothing was ever written to the agent. An agent that is lost with a
/// task that may have started ends the job as `outcome_unknown`.
class TaskDispatcher {
public:
  using EndHook = std::function<void(request::JobRecord &, request::JobAnswer)>;

  TaskDispatcher(AgentContext Context, request::JobTable &Jobs,
                 PlacementHooks Placement, EndHook End);

  /// \brief Places all tasks of a job that has just become Running.
  void start(request::JobRecord &Record);

  /// \brief Handles `task.results`.
  [[nodiscard]] Json::Value onResults(const Json::Value &Params);

  /// \brief Tells the agents to drop the queued tasks of a job that ends.
  void cancel(request::JobRecord &Record);

  /// \brief Ends the jobs with tasks at agents that \p View no longer has.
  void onViewChange(const ClusterView &View);

private:
  void place(request::JobRecord &Record, request::TaskIndex Index);
  void placeLater(const request::JobRecord &Record, request::TaskIndex Index);
  void send(request::JobRecord &Record, request::TaskIndex Index,
            const Member &Agent);
  void resendLater(const request::JobRecord &Record, request::TaskIndex Index);
  void onStartReply(const request::JobKey &Key, std::uint64_t Serial,
                    request::TaskIndex Index, std::uint32_t Attempt,
                    const ItemReply &Reply);
  void onNotStarted(request::JobRecord &Record, request::TaskIndex Index,
                    request::Reason Why);
  void onResult(const std::string &Agent, std::int64_t Incarnation,
                const Json::Value &Item);
  void endUnstarted(request::JobRecord &Record, request::TaskIndex Index,
                    request::Reason Why);
  void endFailed(request::JobRecord &Record, request::TaskIndex Index,
                 request::Reason Why, const std::string &Detail);
  [[nodiscard]] Json::Value encodeStart(const request::JobRecord &Record,
                                        request::TaskIndex Index) const;
  [[nodiscard]] bool lost(const request::TaskRecord &Task,
                          const ClusterView &View) const;

  AgentContext Context_;
  request::JobTable &Jobs_;
  PlacementHooks Placement_;
  EndHook End_;
  CallBatcher Starts_;
  CallBatcher Cancels_;
};

} // namespace wigeonwall::process

#endif
