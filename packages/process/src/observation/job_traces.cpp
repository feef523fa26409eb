#include "wigeonwall/process/observation/job_traces.h"

namespace wigeonwall::process {

namespace {

/// A field of another type counts as absent: an invalid trace context must not
/// fail a job.
std::string stringOrEmpty(const Json::Value &Field) {
  return Field.isString() ? Field.asString() : std::string();
}

} // namespace

void JobTraces::openJobSpan(const request::JobKey &Key,
                            const Json::Value &Parent) {
  Jobs_[Key].Job_ = Tracer_->start("home.job", stringOrEmpty(Parent), Key);
}

void JobTraces::closeJobSpan(const request::JobKey &Key,
                             std::string_view Outcome,
                             std::string_view Reason) {
  const auto Found = Jobs_.find(Key);
  if (Found == Jobs_.end())
    return;
  for (const auto &[Task, Span] : Found->second.Tasks_)
    Span->SetTag("result", "job_ended");
  Found->second.Job_->SetTag("outcome", std::string(Outcome));
  if (!Reason.empty())
    Found->second.Job_->SetTag("reason", std::string(Reason));
  Jobs_.erase(Found);
}

void JobTraces::openTaskSpan(const request::JobKey &Key,
                             request::TaskIndex Task, const std::string &Agent,
                             std::uint32_t Attempt) {
  const auto Found = Jobs_.find(Key);
  if (Found == Jobs_.end())
    return;
  SpanPtr Span = Tracer_->start("home.dispatch",
                                Tracer_->contextOf(*Found->second.Job_), Key);
  Span->SetTag("task", std::uint64_t{Task});
  Span->SetTag("agent", Agent);
  Span->SetTag("attempt", std::uint64_t{Attempt});
  Found->second.Tasks_[Task] = std::move(Span);
}

void JobTraces::closeTaskSpan(const request::JobKey &Key,
                              request::TaskIndex Task,
                              std::string_view Result) {
  const auto Found = Jobs_.find(Key);
  if (Found == Jobs_.end())
    return;
  const auto Node = Found->second.Tasks_.extract(Task);
  if (!Node.empty())
    Node.mapped()->SetTag("result", std::string(Result));
}

void JobTraces::injectContext(const request::JobKey &Key,
                              request::TaskIndex Task,
                              Json::Value &Item) const {
  const auto Found = Jobs_.find(Key);
  if (Found == Jobs_.end())
    return;
  const auto Open = Found->second.Tasks_.find(Task);
  if (Open != Found->second.Tasks_.end())
    Item["trace"] = Tracer_->contextOf(*Open->second);
}

void TaskTrace::queued(const Tracer *JobTracer, const request::JobKey &Key,
                       request::TaskIndex Task, const Json::Value &Parent) {
  if (JobTracer == nullptr)
    return;
  Tracer_ = JobTracer;
  ParentContext_ = stringOrEmpty(Parent);
  StageSpan_ = Tracer_->start("agent.queue", ParentContext_, Key);
  StageSpan_->SetTag("task", std::uint64_t{Task});
}

void TaskTrace::running(const request::JobKey &Key, request::TaskIndex Task) {
  if (Tracer_ == nullptr)
    return;
  StageSpan_->SetTag("result", "started");
  // The queue span ends before the run span starts.
  StageSpan_.reset();
  StageSpan_ = Tracer_->start("agent.run", ParentContext_, Key);
  StageSpan_->SetTag("task", std::uint64_t{Task});
  CallSpan_ =
      Tracer_->start("minion.call", Tracer_->contextOf(*StageSpan_), Key);
  CallSpan_->SetTag("task", std::uint64_t{Task});
  CallContext_ = Tracer_->contextOf(*CallSpan_);
}

void TaskTrace::ended(std::string_view Result) {
  if (Tracer_ == nullptr || !StageSpan_)
    return;
  StageSpan_->SetTag("result", std::string(Result));
  if (CallSpan_)
    CallSpan_->SetTag("result", std::string(Result));
  CallSpan_.reset();
  StageSpan_.reset();
}

} // namespace wigeonwall::process
