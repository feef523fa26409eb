#include "wigeonwallctl/trace_file.h"

#include "wigeonwall/request/codec.h"
#include "wigeonwall/request/field_reader.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace wigeonwall::ctl {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;
using request::CodecError;
using request::CodecFault;

constexpr double MaxOffsetMs = 86'400'000;
constexpr double MaxResubmitMs = 600'000;
constexpr std::int64_t MaxWorkMs = 600'000;
constexpr double MicrosecondsPerMs = 1'000;
constexpr const char *NoAnswerName = "no_answer";

std::chrono::nanoseconds fromMilliseconds(double Value) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      Milliseconds(Value));
}

/// \brief Rounds to three decimals to keep trace files small.
double toMilliseconds(std::chrono::nanoseconds Value) {
  return std::round(Milliseconds(Value).count() * MicrosecondsPerMs) /
         MicrosecondsPerMs;
}

/// \brief Reads a number of milliseconds; on an invalid value sets \p Why and
/// returns false.
bool readMilliseconds(const Json::Value &Value, const char *Pointer, double Max,
                      std::chrono::nanoseconds &Out, CodecFault &Why) {
  if (!Value.isNumeric() || Value.asDouble() < 0 || Value.asDouble() > Max) {
    Why = {CodecError::Field, "expected a number of milliseconds", Pointer};
    return false;
  }
  Out = fromMilliseconds(Value.asDouble());
  return true;
}

bool readWork(const request::JobSpec &Spec, PlannedJob &Plan, CodecFault &Why) {
  for (std::size_t I = 0; I < Spec.Tasks_.size(); ++I) {
    const Json::Value &Payload = Spec.Tasks_[I].Payload_;
    request::FieldReader Reader(
        Payload, "/job/tasks/" + std::to_string(I) + "/payload", Why);
    std::int64_t WorkMs = 0;
    Reader.integer("work_ms", 0, MaxWorkMs, WorkMs);
    if (!Reader.finish())
      return false;
    Plan.WorkMs_.push_back(static_cast<std::uint32_t>(WorkMs));
  }
  return true;
}

bool readJob(Json::Value Value, PlannedJob &Plan, CodecFault &Why) {
  if (!Value.isObject() || Value.isMember("created_at_ms")) {
    Why = {CodecError::Field, "expected a job without created_at_ms", "/job"};
    return false;
  }
  Value["created_at_ms"] = 1;
  const auto Spec = request::decodeJobSpec(Value, Why);
  if (!Spec) {
    Why.Position_.insert(0, "/job");
    return false;
  }
  Plan.Service_ = Spec->Key_.Service_;
  Plan.Id_ = Spec->Key_.Id_;
  Plan.Kind_ = Spec->Kind_;
  Plan.Team_ = Spec->Team_;
  Plan.Timeout_ = Spec->Timeout_;
  Plan.NonIdempotent_ = Spec->NonIdempotent_;
  return readWork(*Spec, Plan, Why);
}

bool readExpected(const Json::Value &Value, TracedJob &Job, CodecFault &Why) {
  Json::Value List = Value;
  if (Value.isString()) {
    List = Json::Value(Json::arrayValue);
    List.append(Value);
  }
  bool Good = List.isArray() && !List.empty();
  for (Json::ArrayIndex I = 0; Good && I < List.size(); ++I) {
    Good = List[I].isString() && parseExpectedOutcome(List[I].asString());
    if (Good)
      Job.Expected_.push_back(List[I].asString());
  }
  if (!Good)
    Why = {CodecError::Field,
           "expected complete, not_run, failed or no_answer, the middle two "
           "with an optional \":REASON\", or an array of these",
           "/expected"};
  return Good;
}

std::optional<TracedJob> decodeTracedJob(const Json::Value &Value,
                                         CodecFault &Why) {
  request::FieldReader Reader(Value, "", Why);
  for (const char *Name : {"offset_ms", "job", "expected", "resubmit_after_ms"})
    Reader.allow(Name);
  if (!Reader.finish())
    return std::nullopt;
  TracedJob Job;
  if (!readMilliseconds(Value["offset_ms"], "/offset_ms", MaxOffsetMs,
                        Job.Plan_.Offset_, Why) ||
      !readJob(Value["job"], Job.Plan_, Why) ||
      !readExpected(Value["expected"], Job, Why))
    return std::nullopt;
  if (!Value.isMember("resubmit_after_ms"))
    return Job;
  std::chrono::nanoseconds After{0};
  if (!readMilliseconds(Value["resubmit_after_ms"], "/resubmit_after_ms",
                        MaxResubmitMs, After, Why))
    return std::nullopt;
  Job.Plan_.ResubmitAfter_ = After;
  return Job;
}

} // namespace

bool ExpectedOutcome::matches(const CallerReply &Reply) const noexcept {
  if (!isFinal(Reply.Kind_))
    return !Outcome_;
  return Outcome_ == Reply.Answer_.Outcome_ &&
         (!Reason_ || *Reason_ == Reply.Answer_.Reason_);
}

std::optional<ExpectedOutcome> parseExpectedOutcome(const std::string &Text) {
  const std::size_t Colon = std::min(Text.find(':'), Text.size());
  ExpectedOutcome Result;
  if (Text == NoAnswerName)
    return Result;
  Result.Outcome_ =
      request::findValue(request::OutcomeNames, Text.substr(0, Colon));
  if (!Result.Outcome_)
    return std::nullopt;
  if (Colon == Text.size())
    return Result;
  Result.Reason_ =
      request::findValue(request::ReasonNames, Text.substr(Colon + 1));
  if (!Result.Reason_ || *Result.Outcome_ == request::Outcome::Complete)
    return std::nullopt;
  return Result;
}

bool TracedJob::matches(const CallerReply &Reply) const {
  return std::any_of(Expected_.begin(), Expected_.end(), [&](auto &Each) {
    const auto Outcome = parseExpectedOutcome(Each);
    return Outcome && Outcome->matches(Reply);
  });
}

std::string encodeTracedJob(const TracedJob &Job) {
  const PlannedJob &Plan = Job.Plan_;
  request::JobSpec Spec;
  Spec.Key_ = {Plan.Service_, Plan.Id_};
  Spec.Kind_ = Plan.Kind_;
  Spec.Team_ = Plan.Team_;
  Spec.Timeout_ = Plan.Timeout_;
  Spec.NonIdempotent_ = Plan.NonIdempotent_;
  for (const std::uint32_t WorkMs : Plan.WorkMs_) {
    request::TaskSpec Task;
    Task.Payload_["work_ms"] = WorkMs;
    Spec.Tasks_.push_back(std::move(Task));
  }
  Json::Value Value;
  Value["job"] = request::encodeJobSpec(Spec);
  Value["job"].removeMember("created_at_ms");
  Value["offset_ms"] = toMilliseconds(Plan.Offset_);
  for (const std::string &Each : Job.Expected_)
    Value["expected"].append(Each);
  if (Plan.ResubmitAfter_)
    Value["resubmit_after_ms"] = toMilliseconds(*Plan.ResubmitAfter_);
  static const Json::StreamWriterBuilder Builder = [] {
    Json::StreamWriterBuilder Result;
    Result["indentation"] = "";
    Result["precision"] = 3;
    Result["precisionType"] = "decimal";
    return Result;
  }();
  return Json::writeString(Builder, Value);
}

std::optional<std::vector<TracedJob>>
readTrace(std::istream &Stream, const std::string &File, TraceFault &Why) {
  std::vector<TracedJob> Jobs;
  std::set<request::JobKey> Seen;
  std::size_t Line = 0;
  const auto Fail = [&](TraceError Code, std::string Message,
                        const std::string &Pointer) {
    Why = {Code, std::move(Message),
           File + ":" + std::to_string(Line) + Pointer};
    return std::nullopt;
  };
  for (std::string Text; std::getline(Stream, Text);) {
    ++Line;
    CodecFault Inner;
    const auto Value = request::parseJson(Text, Inner);
    if (!Value)
      return Fail(TraceError::Syntax, Inner.Message_, "");
    auto Job = decodeTracedJob(*Value, Inner);
    if (!Job)
      return Fail(TraceError::Field, Inner.Message_, " " + Inner.Position_);
    if (!Jobs.empty() && Job->Plan_.Offset_ < Jobs.back().Plan_.Offset_)
      return Fail(TraceError::Order,
                  "offset is less than that of the previous line",
                  " /offset_ms");
    if (!Seen.insert({Job->Plan_.Service_, Job->Plan_.Id_}).second)
      return Fail(TraceError::Order, "duplicate job id", " /job/job_id");
    Jobs.push_back(std::move(*Job));
  }
  Line = std::max<std::size_t>(Line, 1);
  if (Stream.bad() || Jobs.empty())
    return Fail(TraceError::Unreadable, "file cannot be read or is empty", "");
  return Jobs;
}

} // namespace wigeonwall::ctl
