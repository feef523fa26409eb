#include "wigeonwall/request/codec.h"

#include "wigeonwall/request/field_reader.h"
#include "wigeonwall/request/json_text.h"

#include <memory>

namespace wigeonwall::request {

namespace {

constexpr std::size_t MaxIdLength = 128;
constexpr std::int64_t MaxTimeoutMs = 600'000;
constexpr std::int64_t MaxDeclaredRunMs = 600'000;
constexpr int MaxNestingDepth = 64;
/// JsonCpp repeats malformed numbers of any length in its message.
constexpr std::size_t MaxErrorBytes = 200;

void addToHash(std::uint64_t &Hash, std::string_view Text) {
  for (unsigned char Byte : Text)
    Hash = (Hash ^ Byte) * 1099511628211ULL;
  // Separates consecutive texts, so that moving a character from one to the
  // next changes the hash.
  Hash = (Hash ^ 0x1f) * 1099511628211ULL;
}

std::optional<TaskSpec> decodeTask(const Json::Value &Value,
                                   const std::string &Position,
                                   CodecFault &Error) {
  FieldReader Reader(Value, Position, Error);
  TaskSpec Task;
  Reader.any("payload", Task.Payload_);
  std::int64_t Declared = 0;
  Reader.optionalInteger("declared_run_ms", 0, MaxDeclaredRunMs, Declared);
  Task.DeclaredRun_ = std::chrono::milliseconds(Declared);
  if (!Reader.finish())
    return std::nullopt;
  return Task;
}

bool decodeTasks(const Json::Value &Value, JobSpec &Spec, CodecFault &Error) {
  const Json::Value &Tasks = Value["tasks"];
  if (!Tasks.isArray() || Tasks.empty() || Tasks.size() > MaxTasksPerJob) {
    Error = {CodecError::Field,
             "expected an array of 1 to " + std::to_string(MaxTasksPerJob) +
                 " tasks",
             "/tasks"};
    return false;
  }
  Spec.Tasks_.reserve(Tasks.size());
  for (Json::ArrayIndex I = 0; I < Tasks.size(); ++I) {
    auto Task = decodeTask(Tasks[I], "/tasks/" + std::to_string(I), Error);
    if (!Task)
      return false;
    Spec.Tasks_.push_back(std::move(*Task));
  }
  return true;
}

} // namespace

std::optional<Json::Value> parseJson(std::string_view Text, CodecFault &Error) {
  static const Json::CharReaderBuilder Builder = [] {
    Json::CharReaderBuilder Result;
    Json::CharReaderBuilder::strictMode(&Result.settings_);
    // A bare string or number is valid JSON; the field checks reject it.
    Result["strictRoot"] = false;
    Result["stackLimit"] = MaxNestingDepth;
    return Result;
  }();
  if (const auto Offset = findInvalidCharacter(Text)) {
    Error = {CodecError::Syntax,
             "invalid JSON: no Unicode character at byte " +
                 std::to_string(*Offset),
             ""};
    return std::nullopt;
  }
  std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Value;
  std::string Errors;
  try {
    if (Reader->parse(Text.data(), Text.data() + Text.size(), &Value, &Errors))
      return Value;
  } catch (const Json::Exception &Thrown) {
    // JsonCpp throws if the nesting exceeds the limit.
    Errors = Thrown.what();
  }
  if (Errors.size() > MaxErrorBytes)
    Errors = Errors.substr(0, MaxErrorBytes) + "...";
  Error = {CodecError::Syntax, "invalid JSON: " + Errors, ""};
  return std::nullopt;
}

std::optional<Json::Value> parseLimitedJson(std::string_view Text,
                                            std::size_t MaxValues,
                                            CodecFault &Error) {
  if (!hasMoreValues(Text, MaxValues))
    return parseJson(Text, Error);
  Error = {CodecError::Syntax,
           "invalid JSON: more than " + std::to_string(MaxValues) + " values",
           ""};
  return std::nullopt;
}

std::string writeJson(const Json::Value &Value) {
  static const Json::StreamWriterBuilder Builder = [] {
    Json::StreamWriterBuilder Result;
    Result["indentation"] = "";
    return Result;
  }();
  return Json::writeString(Builder, Value);
}

std::optional<JobSpec> decodeJobSpec(const Json::Value &Value,
                                     CodecFault &Error) {
  FieldReader Reader(Value, "", Error);
  JobSpec Spec;
  std::int64_t Timeout = 0;
  Reader.identifier("service", MaxIdLength, Spec.Key_.Service_);
  Reader.identifier("job_id", MaxIdLength, Spec.Key_.Id_);
  Reader.identifier("kind", MaxIdLength, Spec.Kind_);
  Reader.identifier("team", MaxIdLength, Spec.Team_);
  Reader.integer("created_at_ms", 1, INT64_MAX, Spec.CreatedAtMs_);
  Reader.integer("timeout_ms", 1, MaxTimeoutMs, Timeout);
  Reader.optionalBoolean("non_idempotent", Spec.NonIdempotent_);
  Reader.allow("tasks");
  if (!Reader.finish() || !decodeTasks(Value, Spec, Error))
    return std::nullopt;
  Spec.Timeout_ = std::chrono::milliseconds(Timeout);
  return Spec;
}

Json::Value encodeJobSpec(const JobSpec &Spec) {
  Json::Value Value;
  Value["service"] = Spec.Key_.Service_;
  Value["job_id"] = Spec.Key_.Id_;
  Value["kind"] = Spec.Kind_;
  Value["team"] = Spec.Team_;
  Value["created_at_ms"] = Json::Int64(Spec.CreatedAtMs_);
  Value["timeout_ms"] = Json::Int64(Spec.Timeout_.count());
  if (Spec.NonIdempotent_)
    Value["non_idempotent"] = true;
  Json::Value Tasks(Json::arrayValue);
  for (const TaskSpec &Task : Spec.Tasks_) {
    Json::Value Item;
    Item["payload"] = Task.Payload_;
    if (Task.DeclaredRun_.count() != 0)
      Item["declared_run_ms"] = Json::Int64(Task.DeclaredRun_.count());
    Tasks.append(std::move(Item));
  }
  Value["tasks"] = std::move(Tasks);
  return Value;
}

std::uint64_t fingerprint(const JobSpec &Spec) {
  std::uint64_t Hash = 14695981039346656037ULL;
  addToHash(Hash, writeJson(encodeJobSpec(Spec)));
  return Hash;
}

Json::Value encodeAnswer(const JobAnswer &Answer) {
  Json::Value Value;
  Value["outcome"] = std::string(findName(OutcomeNames, Answer.Outcome_));
  if (Answer.Outcome_ != Outcome::Complete) {
    Value["reason"] = std::string(findName(ReasonNames, Answer.Reason_));
    Value["detail"] = Answer.Detail_;
    return Value;
  }
  Json::Value Results(Json::arrayValue);
  for (const Json::Value &Result : Answer.Results_)
    Results.append(Result);
  Value["results"] = std::move(Results);
  return Value;
}

std::optional<JobAnswer> decodeAnswer(const Json::Value &Value,
                                      CodecFault &Error) {
  FieldReader Reader(Value, "", Error);
  JobAnswer Answer;
  Reader.name("outcome", OutcomeNames, Answer.Outcome_);
  Reader.optionalName("reason", ReasonNames, Answer.Reason_);
  Reader.optionalString("detail", Answer.Detail_);
  Json::Value Results(Json::arrayValue);
  Reader.optionalArray("results", Results);
  if (!Reader.finish())
    return std::nullopt;
  for (Json::Value &Result : Results)
    Answer.Results_.push_back(std::move(Result));
  return Answer;
}

Json::Value encodeTaskResult(const TaskResult &Result) {
  Json::Value Value;
  Value["task"] = Result.Index_;
  if (Result.Reason_ != Reason::None)
    Value["reason"] = std::string(findName(ReasonNames, Result.Reason_));
  if (!Result.Started_)
    Value["started"] = false;
  Value["body"] = Result.Body_;
  return Value;
}

std::optional<TaskResult> decodeTaskResult(const Json::Value &Value,
                                           CodecFault &Error) {
  FieldReader Reader(Value, "", Error);
  TaskResult Result;
  std::int64_t Index = 0;
  Reader.integer("task", 0, MaxTasksPerJob - 1, Index);
  Reader.optionalName("reason", ReasonNames, Result.Reason_);
  Reader.optionalBoolean("started", Result.Started_);
  Reader.any("body", Result.Body_);
  if (!Reader.finish())
    return std::nullopt;
  Result.Index_ = static_cast<TaskIndex>(Index);
  return Result;
}

Json::Value encodeLoad(const AgentLoad &Load) {
  Json::Value Value;
  Value["running"] = Load.Running_;
  Value["queued"] = Load.Queued_;
  Value["slots"] = Load.Slots_;
  if (Load.EjectedSeverity_ > 0) {
    Value["ejected"] = Load.EjectedSeverity_;
    Value["ejected_for_ms"] = Json::Int64(Load.EjectedFor_.count());
  }
  return Value;
}

std::optional<AgentLoad> decodeLoad(const Json::Value &Value,
                                    CodecFault &Error) {
  FieldReader Reader(Value, "", Error);
  std::int64_t Running = 0;
  std::int64_t Queued = 0;
  std::int64_t Slots = 0;
  Reader.integer("running", 0, UINT32_MAX, Running);
  Reader.integer("queued", 0, UINT32_MAX, Queued);
  Reader.integer("slots", 0, UINT32_MAX, Slots);
  Json::Value Ejected;
  std::int64_t EjectedForMs = 0;
  Reader.any("ejected", Ejected);
  Reader.optionalInteger("ejected_for_ms", 0, UINT32_MAX, EjectedForMs);
  if (!Reader.finish())
    return std::nullopt;
  return AgentLoad{static_cast<std::uint32_t>(Running),
                   static_cast<std::uint32_t>(Queued),
                   static_cast<std::uint32_t>(Slots),
                   Ejected.isNumeric() ? Ejected.asDouble() : 0.0,
                   std::chrono::milliseconds(EjectedForMs)};
}

} // namespace wigeonwall::request
