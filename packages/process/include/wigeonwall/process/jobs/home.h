/// \file
/// \brief Coordinator of jobs from submission to the final answer.
#ifndef WIGEONWALL_PROCESS_JOBS_HOME_H
#define WIGEONWALL_PROCESS_JOBS_HOME_H

#include "wigeonwall/process/jobs/agent_context.h"
#include "wigeonwall/process/jobs/dispatch_policy.h"
#include "wigeonwall/process/jobs/earlier_holders.h"
#include "wigeonwall/process/jobs/task_dispatcher.h"
#include "wigeonwall/process/observation/job_traces.h"
#include "wigeonwall/process/observation/metrics.h"
#include "wigeonwall/request/job_table.h"
#include "wigeonwall/request/record_copies.h"

namespace wigeonwall::process {

/// \brief Coordinates the jobs whose records this agent holds, and stores the
/// record copies of other homes.
///
/// A job passes through the states Settling (earlier holders are queried),
/// Preparing (the copy holder stores a record), Running and Final. An answer
/// `not_run` is sent only after the copy holder has stored the record, so that
/// no other home can run the job.
class Home {
public:
  Home(AgentContext Context, DispatchPolicy &Policy);

  // RPC handlers; each returns the reply.
  [[nodiscard]] Json::Value submit(const Json::Value &Params);
  [[nodiscard]] Json::Value status(const Json::Value &Params);
  [[nodiscard]] Json::Value cancel(const Json::Value &Params);
  [[nodiscard]] Json::Value results(const Json::Value &Params);
  [[nodiscard]] Json::Value prepare(const Json::Value &Params);
  [[nodiscard]] Json::Value finish(const Json::Value &Params);
  [[nodiscard]] Json::Value seal(const Json::Value &Params);

  /// \brief Ends overdue jobs and drops expired records; call periodically.
  void tick();
  /// \brief Handles lost agents and a new map.
  void onViewChange();
  /// \brief Refuses new jobs from now on with `retry`, so that entries resubmit
  /// them to the home in the next map.
  void beginLeaving() { Leaving_ = true; }
  /// \brief Number of jobs without a final answer.
  [[nodiscard]] std::size_t unfinished() const noexcept {
    return Jobs_.unfinished();
  }

private:
  [[nodiscard]] Json::Value sealJob(const Json::Value &Params);
  [[nodiscard]] Json::Value refuseSubmission(request::Reason Why);
  [[nodiscard]] Json::Value accept(request::JobSpec Spec,
                                   std::uint64_t Fingerprint,
                                   const std::string &ReplyTo,
                                   const Json::Value &TraceParent);
  [[nodiscard]] Json::Value describe(const request::JobRecord &Record) const;
  void queryEarlierHolders(request::JobRecord &Record);
  void onPriorRecord(request::JobRecord &Record,
                     const PriorRecordResult &Result);
  void decide(request::JobRecord &Record);
  void admit(request::JobRecord &Record);
  void prepareCopy(request::JobRecord &Record);
  void onPrepared(request::JobRecord &Record, const ItemReply &Reply);
  void run(request::JobRecord &Record);
  void end(request::JobRecord &Record, request::JobAnswer Answer);
  void finishCopy(const request::JobRecord &Record);
  void notify(const request::JobRecord &Record, const Json::Value &Message);
  void redirectEntries(request::JobRecord &Record, Json::Value Message);
  void deliver(const std::string &Entry, const Json::Value &Message,
               unsigned Attempt);
  /// Header of the batched messages to copy holders.
  [[nodiscard]] Json::Value homeHeader() const;
  [[nodiscard]] version::HolderPair
  currentPair(const request::JobKey &Key,
              std::shared_ptr<const ClusterView> &View) const;
  /// Calls \p Task after \p Delay if the record still exists and is not final.
  void scheduleForJob(const request::JobRecord &Record, request::Duration Delay,
                      void (Home::*Task)(request::JobRecord &));

  AgentContext Context_;
  request::JobTable Jobs_;
  request::RecordCopies Copies_;
  DispatchPolicy &Policy_;
  EarlierHolders Earlier_;
  JobTraces Traces_;
  TaskDispatcher Dispatcher_;
  CallBatcher Prepares_;
  CallBatcher Finishes_;
  HomeMetrics Metrics_;
  bool Leaving_ = false;
};

} // namespace wigeonwall::process

#endif
