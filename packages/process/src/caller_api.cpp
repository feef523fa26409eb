#include "wigeonwall/process/caller_api.h"

#include <charconv>

namespace wigeonwall::process {

using connection::HttpRequest;
using connection::HttpRespond;
using connection::HttpResponse;
using request::JobAnswer;
using request::JobKey;
using request::Outcome;
using request::Reason;

namespace {

/// Clocks of callers may be ahead by this much.
constexpr std::int64_t ClockToleranceMs = 5'000;
constexpr std::int64_t MaxWaitMs = 600'000;
constexpr std::size_t MaxJobsPerBatch = 100;
constexpr std::string_view JobsTarget = "/v1/jobs";
constexpr std::string_view BatchesTarget = "/v1/batches";

HttpResponse respond(int Status, const Json::Value &Body) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Body_ = request::writeJson(Body) + "\n";
  return Response;
}

HttpResponse refusal(int Status, const std::string &Message,
                     const std::string &Position = "") {
  Json::Value Body;
  Body["error"] = Message;
  if (!Position.empty())
    Body["position"] = Position;
  return respond(Status, Body);
}

Json::Value describe(const JobKey &Key, const JobAnswer &Answer) {
  Json::Value Body = request::encodeAnswer(Answer);
  writeJobKey(Body, Key);
  return Body;
}

HttpResponse running(const JobKey &Key) {
  Json::Value Body;
  writeJobKey(Body, Key);
  Body["state"] = "running";
  return respond(202, Body);
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

/// Reads `wait_ms` from the query; \p Default when absent, nothing when bad.
std::optional<std::int64_t> readWait(std::string_view Target,
                                     std::int64_t Default) {
  const std::size_t Mark = Target.find('?');
  if (Mark == std::string_view::npos)
    return Default;
  std::string_view Query = Target.substr(Mark + 1);
  constexpr std::string_view Name = "wait_ms=";
  if (Query.substr(0, Name.size()) != Name)
    return std::nullopt;
  Query.remove_prefix(Name.size());
  std::int64_t Value = 0;
  const char *End = Query.data() + Query.size();
  const auto [Last, Code] = std::from_chars(Query.data(), End, Value);
  if (Query.empty() || Code != std::errc() || Last != End || Value < 0 ||
      Value > MaxWaitMs)
    return std::nullopt;
  return Value;
}

/// Reads SERVICE/ID behind "/v1/jobs/".
std::optional<JobKey> readKey(std::string_view Path) {
  if (Path.size() <= JobsTarget.size() + 1)
    return std::nullopt;
  const std::string_view Rest = Path.substr(JobsTarget.size() + 1);
  const std::size_t Slash = Rest.find('/');
  if (Slash == std::string_view::npos || Slash == 0 ||
      Slash + 1 == Rest.size() ||
      Rest.find('/', Slash + 1) != std::string_view::npos)
    return std::nullopt;
  return JobKey{std::string(Rest.substr(0, Slash)),
                std::string(Rest.substr(Slash + 1))};
}

HttpResponse refuse(EntryRefusal Why) {
  switch (Why) {
  case EntryRefusal::Conflict:
    return refusal(409, "another job with this id is in progress");
  case EntryRefusal::TooManyJobs:
    return refusal(429, "this entry has too many jobs in progress");
  case EntryRefusal::NotReady:
  case EntryRefusal::None:
    break;
  }
  return refusal(503, "this entry is not ready");
}

/// Responds once: with the answer or, earlier, that the job runs on.
struct Waiter {
  HttpRespond Respond_;
  bool Done_ = false;

  void finish(HttpResponse Response) {
    if (Done_)
      return;
    Done_ = true;
    Respond_(std::move(Response));
  }
};

} // namespace

int statusOf(const JobAnswer &Answer) noexcept {
  if (Answer.Outcome_ == Outcome::Complete)
    return 200;
  if (Answer.Outcome_ == Outcome::NotRun)
    return 503;
  if (Answer.Reason_ == Reason::Conflict)
    return 409;
  return Answer.Reason_ == Reason::DeadlineExceeded ? 504 : 502;
}

CallerApi::CallerApi(AgentContext Context, Entry &Jobs)
    : Context_(std::move(Context)), Jobs_(Jobs) {}

void CallerApi::handle(HttpRequest Request, const HttpRespond &Respond) {
  const std::string_view Path = pathOf(Request.Target_);
  if (Path == JobsTarget && Request.Method_ == "POST")
    return submit(Request, Respond);
  if (Path == BatchesTarget && Request.Method_ == "POST")
    return submitBatch(Request, Respond);
  if (Path == JobsTarget || Path == BatchesTarget)
    return Respond(refusal(405, "use POST"));
  if (Path.substr(0, JobsTarget.size() + 1) == std::string(JobsTarget) + "/")
    return lookup(Request, Respond);
  Respond(refusal(404, "no such resource"));
}

std::optional<request::JobSpec>
CallerApi::decode(const Json::Value &Value, request::CodecFault &Why) const {
  auto Spec = request::decodeJobSpec(Value, Why);
  if (Spec && Spec->CreatedAtMs_ > Context_.WallMs_() + ClockToleranceMs) {
    Why = {request::CodecError::Field,
           "more than 5 s in the future; check the caller's clock",
           "/created_at_ms"};
    return std::nullopt;
  }
  return Spec;
}

void CallerApi::submit(const HttpRequest &Request, const HttpRespond &Respond) {
  const auto Wait = readWait(Request.Target_, MaxWaitMs);
  if (!Wait)
    return Respond(refusal(400, "the only query is wait_ms=0..600000"));
  request::CodecFault Why;
  const auto Body = request::parseJson(Request.Body_, Why);
  if (!Body)
    return Respond(refusal(400, Why.Message_));
  auto Spec = decode(*Body, Why);
  if (!Spec)
    return Respond(refusal(400, Why.Message_, Why.Position_));
  const JobKey Key = Spec->Key_;
  auto State = std::make_shared<Waiter>(Waiter{Respond});
  const EntryRefusal Refused = Jobs_.submit(
      std::move(*Spec), [State, Key](const std::optional<JobAnswer> &Answer) {
        State->finish(respond(statusOf(*Answer), describe(Key, *Answer)));
      });
  if (Refused != EntryRefusal::None)
    return State->finish(refuse(Refused));
  if (*Wait < MaxWaitMs)
    Context_.After_(std::chrono::milliseconds(*Wait),
                    [State, Key] { State->finish(running(Key)); });
}

void CallerApi::submitBatch(const HttpRequest &Request,
                            const HttpRespond &Respond) {
  request::CodecFault Why;
  const auto Body = request::parseJson(Request.Body_, Why);
  if (!Body)
    return Respond(refusal(400, Why.Message_));
  if (!Body->isObject() || Body->size() != 1 || !(*Body)["jobs"].isArray() ||
      (*Body)["jobs"].empty() || (*Body)["jobs"].size() > MaxJobsPerBatch)
    return Respond(refusal(400, "expected 1 to 100 jobs", "/jobs"));
  std::vector<request::JobSpec> Specs;
  for (const Json::Value &Value : (*Body)["jobs"]) {
    auto Spec = decode(Value, Why);
    if (!Spec)
      return Respond(
          refusal(400, Why.Message_,
                  "/jobs/" + std::to_string(Specs.size()) + Why.Position_));
    Specs.push_back(std::move(*Spec));
  }
  struct BatchState {
    Json::Value Answers_{Json::arrayValue};
    std::size_t Missing_ = 0;
    HttpRespond Respond_;
    void store(Json::ArrayIndex Index, Json::Value Answer) {
      Answers_[Index] = std::move(Answer);
      if (--Missing_ != 0)
        return;
      Json::Value Reply;
      Reply["answers"] = std::move(Answers_);
      Respond_(respond(200, Reply));
    }
  };
  auto State = std::make_shared<BatchState>();
  State->Missing_ = Specs.size();
  State->Respond_ = Respond;
  for (Json::ArrayIndex I = 0; I < Specs.size(); ++I) {
    const JobKey Key = Specs[I].Key_;
    const EntryRefusal Refused =
        Jobs_.submit(std::move(Specs[I]),
                     [State, Key, I](const std::optional<JobAnswer> &Answer) {
                       State->store(I, describe(Key, *Answer));
                     });
    if (Refused == EntryRefusal::None)
      continue;
    request::CodecFault Ignored;
    State->store(I, *request::parseJson(refuse(Refused).Body_, Ignored));
  }
}

void CallerApi::lookup(const HttpRequest &Request, const HttpRespond &Respond) {
  const auto Key = readKey(pathOf(Request.Target_));
  if (!Key)
    return Respond(refusal(404, "expected /v1/jobs/SERVICE/ID"));
  LookupCallback Done = [Respond, Key = *Key](JobLookup State,
                                              const JobAnswer &Answer) {
    Json::Value Body;
    writeJobKey(Body, Key);
    switch (State) {
    case JobLookup::Final:
      return Respond(respond(statusOf(Answer), describe(Key, Answer)));
    case JobLookup::Running:
      return Respond(running(Key));
    case JobLookup::Unknown:
      Body["state"] = "unknown";
      return Respond(respond(404, Body));
    case JobLookup::Unreachable:
      break;
    }
    Respond(refusal(503, "the job's home does not answer; try again"));
  };
  if (Request.Method_ == "GET")
    return Jobs_.lookup(*Key, std::move(Done));
  if (Request.Method_ == "DELETE")
    return Jobs_.cancel(*Key, std::move(Done));
  Respond(refusal(405, "use GET or DELETE"));
}

} // namespace wigeonwall::process
