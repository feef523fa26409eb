#include "wigeonwall/process/dispatch/messages.h"

namespace wigeonwall::process::dispatch {

namespace {

constexpr std::uint32_t MaxTasks = 10'000;

/// Slowness is sent in thousandths.
constexpr double SlownessUnit = 1'000.0;
/// Fields of a report's state before the waits.
constexpr Json::ArrayIndex StateFields = 5;

std::int64_t microseconds(request::Duration Value) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Value).count();
}

request::Duration fromMicroseconds(const Json::Value &Value) {
  return std::chrono::microseconds(Value.asInt64());
}

Json::Value encodeResources(const request::Resources &Value) {
  Json::Value Result(Json::arrayValue);
  Result.append(Json::Int64(Value.CpuMillicores_));
  Result.append(Json::Int64(Value.MemoryMb_));
  Result.append(Json::Int64(Value.Gpus_));
  return Result;
}

request::Resources decodeResources(const Json::Value &Value) {
  request::Resources Result;
  Result.CpuMillicores_ = Value[0].asInt64();
  Result.MemoryMb_ = Value[1].asInt64();
  Result.Gpus_ = Value[2].asInt64();
  return Result;
}

/// JsonCpp throws for a value of another type; a peer's message is refused
/// whole then.
template <typename Result, typename Decode>
std::optional<Result> guarded(const Json::Value &Value, MessageFault &Why,
                              Decode Read) {
  try {
    if (!Value.isObject())
      throw Json::LogicError("expected an object");
    return Read();
  } catch (const Json::Exception &Error) {
    Why = {MessageError::Malformed, Error.what(), ""};
    return std::nullopt;
  }
}

} // namespace

Json::Value encodeOrder(const RunOrder &Order) {
  Json::Value Result(Json::objectValue);
  Result["job"] = Order.Job_;
  Result["service"] = Order.Service_;
  Result["payload"] = Order.Payload_;
  Result["needs"] = encodeResources(Order.Needs_);
  Result["expected_us"] = Json::Int64(microseconds(Order.Expected_));
  Result["on_time_us"] = Json::Int64(microseconds(Order.OnTimeIn_));
  Result["useful_us"] = Json::Int64(microseconds(Order.UsefulIn_));
  Result["patience_us"] = Json::Int64(microseconds(Order.Patience_));
  Result["may_move"] = Order.MayMove_;
  Json::Value &Tasks = Result["tasks"] = Json::Value(Json::arrayValue);
  for (const OrderedTask &Task : Order.Tasks_) {
    Json::Value Pair(Json::arrayValue);
    Pair.append(Task.Index_);
    Pair.append(Json::Int64(Task.Number_));
    Tasks.append(std::move(Pair));
  }
  return Result;
}

std::optional<RunOrder> decodeOrder(const Json::Value &Value,
                                    MessageFault &Why) {
  return guarded<RunOrder>(Value, Why, [&] {
    RunOrder Result;
    Result.Job_ = Value["job"].asString();
    Result.Service_ = Value["service"].asString();
    Result.Payload_ = Value["payload"].asString();
    Result.Needs_ = decodeResources(Value["needs"]);
    Result.Expected_ = fromMicroseconds(Value["expected_us"]);
    Result.OnTimeIn_ = fromMicroseconds(Value["on_time_us"]);
    Result.UsefulIn_ = fromMicroseconds(Value["useful_us"]);
    Result.Patience_ = fromMicroseconds(Value["patience_us"]);
    Result.MayMove_ = Value["may_move"].asBool();
    if (Value["tasks"].size() > MaxTasks)
      throw Json::LogicError("too many tasks");
    for (const Json::Value &Pair : Value["tasks"])
      Result.Tasks_.push_back({Pair[0].asUInt(), Pair[1].asInt64()});
    return Result;
  });
}

Json::Value encodeOutcome(const RunOutcome &Outcome) {
  Json::Value Result(Json::objectValue);
  Result["job"] = Outcome.Job_;
  Result["task"] = Outcome.Index_;
  Result["end"] =
      std::string(request::findName(request::RunEndNames, Outcome.End_));
  Result["run"] = Json::Int64(Outcome.Number_);
  if (!Outcome.Reason_.empty())
    Result["reason"] = Outcome.Reason_;
  return Result;
}

std::optional<RunOutcome> decodeOutcome(const Json::Value &Value,
                                        MessageFault &Why) {
  return guarded<RunOutcome>(Value, Why, [&] {
    RunOutcome Result;
    Result.Job_ = Value["job"].asString();
    Result.Index_ = Value["task"].asUInt();
    const auto End =
        request::findValue(request::RunEndNames, Value["end"].asString());
    if (!End)
      throw Json::LogicError("unknown end of a run");
    Result.End_ = *End;
    Result.Number_ = Value["run"].asInt64();
    Result.Reason_ = Value["reason"].asString();
    return Result;
  });
}

Json::Value encodeReport(const request::AgentReport &Report, bool Whole) {
  Json::Value Result(Json::objectValue);
  // [accepting, free..., slowness, waits...]; short, because it is read often.
  Json::Value &State = Result["state"] = Json::Value(Json::arrayValue);
  State.append(Report.Accepting_);
  State.append(Json::Int64(Report.Free_.CpuMillicores_));
  State.append(Json::Int64(Report.Free_.MemoryMb_));
  State.append(Json::Int64(Report.Free_.Gpus_));
  State.append(static_cast<int>(Report.Slowness_ * SlownessUnit));
  for (const request::Duration Wait : Report.Waits_)
    State.append(Json::Int64(microseconds(Wait)));
  if (!Whole)
    return Result;
  Json::Value &Minion = Result["minion"] = Json::Value(Json::objectValue);
  Minion["service"] = Report.Service_;
  Minion["capacity"] = encodeResources(Report.Capacity_);
  Minion["labels"] = Json::Value(Json::arrayValue);
  for (const std::string &Label : Report.Labels_)
    Minion["labels"].append(Label);
  return Result;
}

std::optional<request::AgentReport>
decodeReport(const Json::Value &Value, const request::AgentReport &Before,
             MessageFault &Why) {
  return guarded<request::AgentReport>(Value, Why, [&] {
    request::AgentReport Result = Before;
    const Json::Value &State = Value["state"];
    if (!State.isArray() || State.size() != StateFields + Result.Waits_.size())
      throw Json::LogicError("state has another number of fields");
    Result.Accepting_ = State[0].asBool();
    Result.Free_ = {State[1].asInt64(), State[2].asInt64(), State[3].asInt64()};
    Result.Slowness_ = State[4].asInt() / SlownessUnit;
    for (Json::ArrayIndex I = 0; I < Result.Waits_.size(); ++I)
      Result.Waits_[I] = fromMicroseconds(State[StateFields + I]);
    if (!Value.isMember("minion"))
      return Result;
    const Json::Value &Minion = Value["minion"];
    Result.Service_ = Minion["service"].asString();
    Result.Capacity_ = decodeResources(Minion["capacity"]);
    Result.Labels_.clear();
    for (const Json::Value &Label : Minion["labels"])
      Result.Labels_.push_back(Label.asString());
    return Result;
  });
}

} // namespace wigeonwall::process::dispatch
