/// \file
/// \brief Spans of a home's jobs and of a gateway's tasks.
#ifndef WIGEONWALL_PROCESS_OBSERVATION_JOB_TRACES_H
#define WIGEONWALL_PROCESS_OBSERVATION_JOB_TRACES_H

#include "wigeonwall/process/observation/trace.h"

#include <map>
#include <string>
#include <unordered_map>

namespace wigeonwall::process {

/// \brief Open spans `home.job` and `home.dispatch` of one home; on its
/// traffic thread.
///
/// Kept apart from the job records, so that without a tracer each call is one
/// null check and a record is no larger.
class JobTraces {
public:
  /// \p Spans is null when tracing is off.
  explicit JobTraces(const Tracer *Spans) : Spans_(Spans) {}

  /// \brief A job was accepted; \p Parent is the "trace" field of the message.
  void begin(const request::JobKey &Key, const Json::Value &Parent) {
    if (Spans_ != nullptr)
      open(Key, Parent);
  }
  /// \brief A job ended or left this home; ends its open dispatches too.
  void end(const request::JobKey &Key, std::string_view Outcome,
           std::string_view Reason = {}) {
    if (Spans_ != nullptr)
      close(Key, Outcome, Reason);
  }
  /// \brief A task was placed.
  void dispatched(const request::JobKey &Key, request::TaskIndex Task,
                  const std::string &Agent, std::uint32_t Attempt) {
    if (Spans_ != nullptr)
      openTask(Key, Task, Agent, Attempt);
  }
  /// \brief A placement ended; \p Result names how.
  void returned(const request::JobKey &Key, request::TaskIndex Task,
                std::string_view Result) {
    if (Spans_ != nullptr)
      closeTask(Key, Task, Result);
  }
  /// \brief Writes the context of a task's dispatch into its start message.
  void inject(const request::JobKey &Key, request::TaskIndex Task,
              Json::Value &Item) const {
    if (Spans_ != nullptr)
      write(Key, Task, Item);
  }

private:
  struct OpenJob {
    SpanPtr Job_;
    std::map<request::TaskIndex, SpanPtr> Tasks_;
  };

  void open(const request::JobKey &Key, const Json::Value &Parent);
  void close(const request::JobKey &Key, std::string_view Outcome,
             std::string_view Reason);
  void openTask(const request::JobKey &Key, request::TaskIndex Task,
                const std::string &Agent, std::uint32_t Attempt);
  void closeTask(const request::JobKey &Key, request::TaskIndex Task,
                 std::string_view Result);
  void write(const request::JobKey &Key, request::TaskIndex Task,
             Json::Value &Item) const;

  const Tracer *Spans_;
  std::unordered_map<request::JobKey, OpenJob, request::JobKeyHash> Jobs_;
};

/// \brief Context of one task at its agent and the span that is open.
///
/// The spans `agent.queue` and `agent.run` are children of the dispatch, and
/// `minion.call` is a child of `agent.run`.
class TaskTrace {
public:
  /// \brief The task entered the queue; \p Parent is the "trace" field of the
  /// start message. Without a tracer this and the other calls do nothing.
  void queued(const Tracer *Spans, const request::JobKey &Key,
              request::TaskIndex Task, const Json::Value &Parent);
  /// \brief The task left the queue for the minion.
  void running(const request::JobKey &Key, request::TaskIndex Task);
  /// \brief The task ended, was handed back or removed; \p Result names how.
  void ended(std::string_view Result);

  /// \brief Context for the minion's request; empty when there is none.
  [[nodiscard]] const std::string &callContext() const noexcept {
    return CallContext_;
  }

private:
  const Tracer *Spans_ = nullptr;
  std::string Parent_;
  std::string CallContext_;
  SpanPtr Hop_;
  SpanPtr Call_;
};

} // namespace wigeonwall::process

#endif
