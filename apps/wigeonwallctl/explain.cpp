#include "wigeonwallctl/admin_client.h"
#include "wigeonwallctl/answer_output.h"

#include "wigeonwall/request/codec.h"

#include <fstream>
#include <iomanip>
#include <sstream>

namespace wigeonwall::ctl {

const char ExplainUsage[] =
    R"(Prints where an entry of the users' platform would place the tasks of a
job now, what rules out the other agents, and whether it would accept the job.
Nothing is sent to the agents, and nothing changes.

Usage:
  wigeonwallctl explain [options] --job FILE <path>
  wigeonwallctl explain [options] --tasks N --run-time-ms N <path>
  wigeonwallctl explain --help

<path> is the path of a queue as callers request it, such as /reports/.

Options:
  --entry ADDR         peers_listen address of the entry as IP:PORT
                       [default: 127.0.0.1:7720].
  --host NAME          Host that callers request [default: ].
  --job FILE           Job as callers send it, in JSON.
  --tasks N            Number of tasks, up to 256.
  --run-time-ms N      Expected run time of a task.
  --cpu N              Thousandths of a core per task [default: 1000].
  --memory-mb N        Memory per task [default: 0].
  --gpus N             GPUs per task [default: 0].
  --rack NAME          Preferred rack.
  --label NAME         Label that a minion must have.
  --max-per-minion N   Most tasks on one minion; 0 for no limit [default: 0].
  --json               Print the reply of the entry as it is.
  -h --help            Print this text.

Exit codes:
  0 the job would be accepted, 1 it would be refused, 2 usage, bad input or
  unknown route, 4 the entry gave no usable answer
)";

namespace {

constexpr std::chrono::milliseconds ReplyTimeout{5'000};
constexpr std::int64_t MaxAmount = 1'000'000'000;
/// Limit of the entry.
constexpr std::int64_t MaxTasks = 256;
constexpr std::int64_t MaxRunTimeMs = 86'400'000;

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;

struct Query {
  connection::Endpoint Entry_;
  std::string EntryText_;
  Json::Value Body_{Json::objectValue};
};

void readShape(OptionReader &Reader, Json::Value &Shape) {
  struct Amount {
    const char *Option_;
    const char *Field_;
    std::int64_t Min_;
    std::int64_t Max_;
  };
  for (const Amount &Each :
       {Amount{"--tasks", "tasks", 1, MaxTasks},
        Amount{"--run-time-ms", "run_time_ms", 1, MaxRunTimeMs},
        Amount{"--cpu", "cpu_millicores", 0, MaxAmount},
        Amount{"--memory-mb", "memory_mb", 0, MaxAmount},
        Amount{"--gpus", "gpus", 0, MaxAmount},
        Amount{"--max-per-minion", "max_per_minion", 0, MaxTasks}}) {
    std::int64_t Value = 0;
    Reader.integer(Each.Option_, Each.Min_, Each.Max_, Value);
    Shape[Each.Field_] = Json::Int64(Value);
  }
  for (const auto &[Option, Field] :
       {std::pair{"--rack", "rack"}, std::pair{"--label", "label"}}) {
    std::string Value;
    Reader.string(Option, Value);
    if (!Value.empty())
      Shape[Field] = Value;
  }
}

/// Reads the job of a file; on failure reports it to \p Reader.
void readJob(OptionReader &Reader, Json::Value &Job) {
  std::string File;
  Reader.string("--job", File);
  std::ifstream Stream(File);
  std::stringstream Text;
  Text << Stream.rdbuf();
  if (!Stream)
    return Reader.fail("--job", "cannot read " + File);
  request::CodecFault Why;
  const auto Value = request::parseJson(Text.str(), Why);
  if (!Value || !Value->isObject())
    return Reader.fail("--job", File + " is not a JSON object " + Why.Message_);
  Job = *Value;
}

std::optional<Query> readQuery(const Arguments &Args, Console Streams,
                               int &Code) {
  OptionFault Why;
  OptionReader Reader(Args, Why);
  Query Result;
  Reader.string("--entry", Result.EntryText_);
  const auto Address = connection::parseEndpoint(Result.EntryText_);
  if (!Address || Address->Port_ == 0)
    Reader.fail("--entry",
                "expected IP:PORT, got \"" + Result.EntryText_ + "\"");
  std::string Host;
  std::string Path;
  Reader.string("--host", Host);
  Reader.string("<path>", Path);
  Result.Body_["host"] = Host;
  Result.Body_["path"] = Path;
  if (Reader.given("--job"))
    readJob(Reader, Result.Body_["job"]);
  else
    readShape(Reader, Result.Body_["shape"]);
  if (!Reader.finish()) {
    Code = reportBadOption(Streams, Why);
    return std::nullopt;
  }
  Result.Entry_ = *Address;
  return Result;
}

std::string reasonOf(const connection::HttpResponse &Response) {
  request::CodecFault Ignored;
  const auto Body = request::parseJson(Response.Body_, Ignored);
  if (!Body || !Body->isObject() || !(*Body)["reason"].isString())
    return "HTTP status " + std::to_string(Response.Status_);
  return (*Body)["reason"].asString();
}

int reportRejection(Console Streams, const Query &Sent,
                    const connection::HttpResponse &Response) {
  const std::string Reason = reasonOf(Response);
  if (Reason == "no_such_route") {
    reportError(Streams,
                "the configuration has no route for " +
                    Sent.Body_["host"].asString() +
                    Sent.Body_["path"].asString(),
                "check <path> and --host against the configuration");
    return ExitUsage;
  }
  if (Response.Status_ == StatusBadRequest) {
    reportError(Streams, "the entry does not accept the job: " + Reason,
                "correct the job and try again");
    return ExitUsage;
  }
  reportError(Streams, Sent.EntryText_ + " gave no explanation: " + Reason,
              Response.Status_ == StatusNotFound
                  ? "check that --entry is the peers_listen address of an "
                    "entry of this version"
                  : "wait until the entry is ready and try again");
  return ExitNoAnswer;
}

/// The fields that are read without a check of their type.
bool isExplanation(const Json::Value &Value) {
  if (!Value.isObject() || !Value["accepted"].isBool() ||
      !Value["agents"].isArray())
    return false;
  for (const Json::Value &Agent : Value["agents"])
    if (!Agent.isObject() || !Agent["agent"].isString() ||
        !Agent["tasks"].isIntegral())
      return false;
  return true;
}

std::string textOf(const Json::Value &Field) {
  return Field.isString() || Field.isIntegral() ? Field.asString() : "-";
}

void printExplanation(std::ostream &Out, const Json::Value &Value) {
  const bool Accepted = Value["accepted"].asBool();
  Out << "accepted   " << (Accepted ? "yes" : "no");
  if (!Accepted)
    Out << ", " << textOf(Value["reason"]) << ", Retry-After "
        << textOf(Value["retry_after_s"]) << " s";
  Out << "\nroute      " << textOf(Value["route"]) << " of configuration "
      << textOf(Value["config_version"]) << "\nobjective  "
      << textOf(Value["objective_ms"]) << " ms, wait at most "
      << textOf(Value["max_wait_ms"]) << " ms\n";
  if (Value["tasks"].isArray() && !Value["tasks"].empty())
    Out << "predicted  last start after " << textOf(Value["wait_ms"])
        << " ms, end after " << textOf(Value["end_ms"]) << " ms\n";
  Out << "agents\n";
  for (const Json::Value &Agent : Value["agents"]) {
    Out << "  " << std::left << std::setw(20) << Agent["agent"].asString();
    if (Agent.isMember("start_ms"))
      Out << " start " << textOf(Agent["start_ms"]) << " ms, end "
          << textOf(Agent["end_ms"]) << " ms, tasks " << textOf(Agent["tasks"]);
    if (Agent.isMember("excluded"))
      Out << (Agent.isMember("start_ms") ? ", " : " ")
          << "excluded: " << textOf(Agent["excluded"]);
    Out << "\n";
  }
}

} // namespace

int runExplain(const Arguments &Args, Console Streams) {
  int Code = ExitComplete;
  const auto Sent = readQuery(Args, Streams, Code);
  if (!Sent)
    return Code;
  connection::HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = "/explain";
  Request.Headers_ = {{"content-type", "application/json"}};
  Request.Body_ = request::writeJson(Sent->Body_);
  const connection::HttpResult Reply =
      sendRequest(Sent->Entry_, std::move(Request), ReplyTimeout);
  if (Reply.Error_ != connection::TransportError::None) {
    reportError(Streams,
                "no reply from " + Sent->EntryText_ + ": " + Reply.Detail_,
                "check that the entry runs and that --entry is its "
                "peers_listen address");
    return ExitNoAnswer;
  }
  if (Reply.Response_.Status_ != StatusOk)
    return reportRejection(Streams, *Sent, Reply.Response_);
  request::CodecFault Why;
  const auto Value = request::parseJson(Reply.Response_.Body_, Why);
  if (!Value || !isExplanation(*Value)) {
    reportError(Streams, "the reply is not an explanation " + Why.Message_,
                "check that --entry is the peers_listen address of an entry "
                "of this version");
    return ExitNoAnswer;
  }
  if (Args.at("--json").asBool())
    Streams.Out_ << request::writeJson(*Value) << "\n";
  else
    printExplanation(Streams.Out_, *Value);
  return (*Value)["accepted"].asBool() ? ExitComplete : ExitFailed;
}

} // namespace wigeonwall::ctl
