#include "wigeonwall/process/observation/job_traces.h"

namespace wigeonwall::process {

namespace {

/// A field of another type is treated as absent: a trace never fails a job.
std::string textOf(const Json::Value &Field) {
  return Field.isString() ? Field.asString() : std::string();
}

} // namespace

void JobTraces::open(const request::JobKey &Key, const Json::Value &Parent) {
  Jobs_[Key].Job_ = Spans_->start("home.job", textOf(Parent), Key);
}

void JobTraces::close(const request::JobKey &Key, std::string_view Outcome,
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

void JobTraces::openTask(const request::JobKey &Key, request::TaskIndex Task,
                         const std::string &Agent, std::uint32_t Attempt) {
  const auto Found = Jobs_.find(Key);
  if (Found == Jobs_.end())
    return;
  SpanPtr Span = Spans_->start("home.dispatch",
                               Spans_->contextOf(*Found->second.Job_), Key);
  Span->SetTag("task", std::uint64_t{Task});
  Span->SetTag("agent", Agent);
  Span->SetTag("attempt", std::uint64_t{Attempt});
  Found->second.Tasks_[Task] = std::move(Span);
}

void JobTraces::closeTask(const request::JobKey &Key, request::TaskIndex Task,
                          std::string_view Result) {
  const auto Found = Jobs_.find(Key);
  if (Found == Jobs_.end())
    return;
  const auto Node = Found->second.Tasks_.extract(Task);
  if (!Node.empty())
    Node.mapped()->SetTag("result", std::string(Result));
}

void JobTraces::write(const request::JobKey &Key, request::TaskIndex Task,
                      Json::Value &Item) const {
  const auto Found = Jobs_.find(Key);
  if (Found == Jobs_.end())
    return;
  const auto Open = Found->second.Tasks_.find(Task);
  if (Open != Found->second.Tasks_.end())
    Item["trace"] = Spans_->contextOf(*Open->second);
}

void TaskTrace::queued(const Tracer *Spans, const request::JobKey &Key,
                       request::TaskIndex Task, const Json::Value &Parent) {
  if (Spans == nullptr)
    return;
  Spans_ = Spans;
  Parent_ = textOf(Parent);
  Hop_ = Spans_->start("agent.queue", Parent_, Key);
  Hop_->SetTag("task", std::uint64_t{Task});
}

void TaskTrace::running(const request::JobKey &Key, request::TaskIndex Task) {
  if (Spans_ == nullptr)
    return;
  Hop_->SetTag("result", "started");
  // The queue span ends before the run span starts.
  Hop_.reset();
  Hop_ = Spans_->start("agent.run", Parent_, Key);
  Hop_->SetTag("task", std::uint64_t{Task});
  Call_ = Spans_->start("minion.call", Spans_->contextOf(*Hop_), Key);
  Call_->SetTag("task", std::uint64_t{Task});
  CallContext_ = Spans_->contextOf(*Call_);
}

void TaskTrace::ended(std::string_view Result) {
  if (Spans_ == nullptr || !Hop_)
    return;
  Hop_->SetTag("result", std::string(Result));
  if (Call_)
    Call_->SetTag("result", std::string(Result));
  Call_.reset();
  Hop_.reset();
}

} // namespace wigeonwall::process
