/// \file
/// \brief Spans of the jobs of a home and the tasks of a minion gateway.
#ifndef WIGEONWALL_PROCESS_OBSERVATION_JOB_TRACES_H
#define WIGEONWALL_PROCESS_OBSERVATION_JOB_TRACES_H

#include "wigeonwall/process/observation/trace.h"

#include <map>
#include <string>
#include <unordered_map>

namespace wigeonwall::process {

/// \brief Open spans `home.job` and `home.dispatch` of one home. Used on its
/// traffic thread only.
///
/// The spans are stored separately from the job records, so that without a
/// tracer each call costs one null check and records stay small.
class JobTraces {
public:
  /// \p JobTracer is null if tracing is off.
  explicit JobTraces(const Tracer *JobTracer) : Tracer_(JobTracer) {}

  /// \brief Records that a job was accepted; \p Parent is the "trace" field of
  /// the message.
  void begin(const request::JobKey &Key, const Json::Value &Parent) {
    if (Tracer_ != nullptr)
      openJobSpan(Key, Parent);
  }
  /// \brief Records that a job ended or moved to another home; also ends its
  /// open dispatch spans.
  void end(const request::JobKey &Key, std::string_view Outcome,
           std::string_view Reason = {}) {
    if (Tracer_ != nullptr)
      closeJobSpan(Key, Outcome, Reason);
  }
  /// \brief Records that a task was placed.
  void dispatched(const request::JobKey &Key, request::TaskIndex Task,
                  const std::string &Agent, std::uint32_t Attempt) {
    if (Tracer_ != nullptr)
      openTaskSpan(Key, Task, Agent, Attempt);
  }
  /// \brief Records the end of a placement with its \p Result.
  void returned(const request::JobKey &Key, request::TaskIndex Task,
                std::string_view Result) {
    if (Tracer_ != nullptr)
      closeTaskSpan(Key, Task, Result);
  }
  /// \brief Adds the context of a task's dispatch span to its start message.
  void inject(const request::JobKey &Key, request::TaskIndex Task,
              Json::Value &Item) const {
    if (Tracer_ != nullptr)
      injectContext(Key, Task, Item);
  }

private:
  struct OpenJob {
    SpanPtr Job_;
    std::map<request::TaskIndex, SpanPtr> Tasks_;
  };

  void openJobSpan(const request::JobKey &Key, const Json::Value &Parent);
  void closeJobSpan(const request::JobKey &Key, std::string_view Outcome,
                    std::string_view Reason);
  void openTaskSpan(const request::JobKey &Key, request::TaskIndex Task,
                    const std::string &Agent, std::uint32_t Attempt);
  void closeTaskSpan(const request::JobKey &Key, request::TaskIndex Task,
                     std::string_view Result);
  void injectContext(const request::JobKey &Key, request::TaskIndex Task,
                     Json::Value &Item) const;

  const Tracer *Tracer_;
  std::unordered_map<request::JobKey, OpenJob, request::JobKeyHash> Jobs_;
};

/// \brief Trace context and open spans of one task at its agent.
///
/// The spans `agent.queue` and `agent.run` are children of the dispatch, and
/// `minion.call` is a child of `agent.run`.
class TaskTrace {
public:
  /// \brief Records that the task was queued; \p Parent is the "trace" field of
  /// the start message. Without a tracer this and the other calls do nothing.
  void queued(const Tracer *JobTracer, const request::JobKey &Key,
              request::TaskIndex Task, const Json::Value &Parent);
  /// \brief Records that the task was sent to the minion.
  void running(const request::JobKey &Key, request::TaskIndex Task);
  /// \brief Records that the task ended, was returned or was removed, with its
  /// \p Result.
  void ended(std::string_view Result);

  /// \brief Returns the context for the request to the minion; empty without a
  /// tracer.
  [[nodiscard]] const std::string &callContext() const noexcept {
    return CallContext_;
  }

private:
  const Tracer *Tracer_ = nullptr;
  std::string ParentContext_;
  std::string CallContext_;
  /// Span `agent.queue` or `agent.run`.
  SpanPtr StageSpan_;
  /// Span `minion.call`.
  SpanPtr CallSpan_;
};

} // namespace wigeonwall::process

#endif
