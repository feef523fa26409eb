#include "wigeonwall/process/jobs/caller_api.h"

#include "wigeonwall/request/field_reader.h"

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

constexpr std::int64_t MaxWaitMs = 600'000;
constexpr std::size_t MaxJobsPerBatch = 100;
constexpr std::string_view JobsTarget = "/v1/jobs";
constexpr std::string_view BatchesTarget = "/v1/batches";

/// HTTP status and JSON body of a reply.
struct Reply {
  int Status_ = 200;
  Json::Value Body_;
};

using Wait = std::optional<std::chrono::milliseconds>;

void send(const HttpRespond &Respond, const Reply &Answer,
          std::vector<connection::HttpHeader> Headers = {}) {
  HttpResponse Response;
  Response.Status_ = Answer.Status_;
  Response.Headers_ = std::move(Headers);
  Response.Body_ = request::writeJson(Answer.Body_) + "\n";
  Respond(std::move(Response));
}

Reply errorReply(int Status, const std::string &Message) {
  Reply Result{Status, {}};
  Result.Body_["error"] = Message;
  return Result;
}

/// Reply with status 400; \p Position is a JSON pointer into the body,
/// or "?wait_ms".
Reply badRequest(const std::string &Message, const std::string &Position) {
  Reply Result = errorReply(400, Message);
  Result.Body_["position"] = Position;
  return Result;
}

void rejectMethod(const HttpRespond &Respond, const char *Allowed) {
  send(Respond, errorReply(405, std::string("allowed methods: ") + Allowed),
       {{"Allow", Allowed}});
}

Reply answerReply(const JobKey &Key, const JobAnswer &Answer) {
  Reply Result{statusOf(Answer), request::encodeAnswer(Answer)};
  writeJobKey(Result.Body_, Key);
  return Result;
}

Reply stateReplyFor(int Status, const JobKey &Key, const char *State) {
  Reply Result{Status, {}};
  writeJobKey(Result.Body_, Key);
  Result.Body_["state"] = State;
  return Result;
}

Reply answerReply(const JobKey &Key, JobLookup State, const JobAnswer &Answer) {
  switch (State) {
  case JobLookup::Final:
    return answerReply(Key, Answer);
  case JobLookup::Running:
    return stateReplyFor(202, Key, "running");
  case JobLookup::Unknown:
    return stateReplyFor(404, Key, "unknown");
  case JobLookup::Unreachable:
    break;
  }
  return errorReply(503, "the job's home does not answer; try again");
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

/// Parses `wait_ms` from the query; leaves \p Out unchanged without a query.
bool readWait(std::string_view Target, Wait &Out) {
  const std::size_t Mark = Target.find('?');
  if (Mark == std::string_view::npos)
    return true;
  std::string_view Query = Target.substr(Mark + 1);
  constexpr std::string_view Name = "wait_ms=";
  if (Query.substr(0, Name.size()) != Name)
    return false;
  Query.remove_prefix(Name.size());
  std::int64_t Value = 0;
  const char *End = Query.data() + Query.size();
  const auto [Last, Code] = std::from_chars(Query.data(), End, Value);
  if (Query.empty() || Code != std::errc() || Last != End || Value < 0 ||
      Value > MaxWaitMs)
    return false;
  Out = std::chrono::milliseconds(Value);
  return true;
}

Reply badWaitQuery() {
  return badRequest("the only query is wait_ms=0..600000", "?wait_ms");
}

/// Parses SERVICE/ID after "/v1/jobs/".
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

Reply refusalReply(const JobKey &Key, EntryRefusal Why) {
  switch (Why) {
  case EntryRefusal::Conflict: {
    JobAnswer Answer;
    Answer.Outcome_ = Outcome::Failed;
    Answer.Reason_ = Reason::Conflict;
    Answer.Detail_ = "a job with this id and other content is in progress";
    return answerReply(Key, Answer);
  }
  case EntryRefusal::TooManyJobs:
    return errorReply(429, "this entry has too many jobs in progress");
  case EntryRefusal::NotReady:
  case EntryRefusal::None:
    break;
  }
  return errorReply(503, "this entry is not ready");
}

/// Collects the replies to the jobs of a batch.
struct BatchState {
  Json::Value Answers_{Json::arrayValue};
  std::size_t Outstanding_ = 0;
  HttpRespond Respond_;

  void store(Json::ArrayIndex Index, Json::Value Answer) {
    Answers_[Index] = std::move(Answer);
    if (--Outstanding_ != 0)
      return;
    Reply Result;
    Result.Body_["answers"] = std::move(Answers_);
    send(Respond_, Result);
  }
};

/// Parses the array of jobs of a batch without validating the jobs.
std::optional<Json::Value> readBatch(const std::string &Body,
                                     request::CodecFault &Why) {
  const auto Value = request::parseJson(Body, Why);
  if (!Value)
    return std::nullopt;
  request::FieldReader Reader(*Value, "", Why);
  Json::Value Jobs;
  Reader.optionalArray("jobs", Jobs);
  if (!Reader.finish())
    return std::nullopt;
  if (Jobs.empty() || Jobs.size() > MaxJobsPerBatch) {
    Why = {request::CodecError::Field,
           "expected an array of 1 to " + std::to_string(MaxJobsPerBatch) +
               " jobs",
           "/jobs"};
    return std::nullopt;
  }
  return Jobs;
}

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
  if (Path == JobsTarget || Path == BatchesTarget) {
    if (Request.Method_ != "POST")
      return rejectMethod(Respond, "POST");
    return Path == JobsTarget ? submit(Request, Respond)
                              : submitBatch(Request, Respond);
  }
  if (const auto Key = readKey(Path);
      Key &&
      Path.substr(0, JobsTarget.size() + 1) == std::string(JobsTarget) + "/")
    return lookup(*Key, Request, Respond);
  send(Respond, errorReply(404, "no such resource"));
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

template <typename Callback>
void CallerApi::submitJob(const Json::Value &Job,
                          std::optional<request::Duration> MaxWait,
                          const std::string &TraceParent,
                          const Callback &Done) {
  request::CodecFault Why;
  auto Spec = decode(Job, Why);
  if (!Spec)
    return Done(badRequest(Why.Message_, Why.Position_));
  const JobKey Key = Spec->Key_;
  const EntryRefusal Refused = Jobs_.submit(
      std::move(*Spec),
      [Key, Done](const std::optional<JobAnswer> &Answer) {
        Done(Answer ? answerReply(Key, *Answer)
                    : answerReply(Key, JobLookup::Running, {}));
      },
      MaxWait, TraceParent);
  if (Refused != EntryRefusal::None)
    Done(refusalReply(Key, Refused));
}

void CallerApi::submit(const HttpRequest &Request, const HttpRespond &Respond) {
  Wait MaxWait;
  if (!readWait(Request.Target_, MaxWait))
    return send(Respond, badWaitQuery());
  request::CodecFault Why;
  const auto Body = request::parseJson(Request.Body_, Why);
  if (!Body)
    return send(Respond, badRequest(Why.Message_, Why.Position_));
  submitJob(*Body, MaxWait,
            connection::findHeader(Request.Headers_, TraceHeader),
            [Respond](const Reply &Answer) { send(Respond, Answer); });
}

void CallerApi::submitBatch(const HttpRequest &Request,
                            const HttpRespond &Respond) {
  Wait MaxWait;
  if (!readWait(Request.Target_, MaxWait))
    return send(Respond, badWaitQuery());
  request::CodecFault Why;
  const auto Jobs = readBatch(Request.Body_, Why);
  if (!Jobs)
    return send(Respond, badRequest(Why.Message_, Why.Position_));
  auto State = std::make_shared<BatchState>();
  State->Outstanding_ = Jobs->size();
  State->Respond_ = Respond;
  const std::string TraceParent =
      connection::findHeader(Request.Headers_, TraceHeader);
  for (Json::ArrayIndex I = 0; I < Jobs->size(); ++I)
    submitJob(
        (*Jobs)[I], MaxWait, TraceParent,
        [State, I](const Reply &Answer) { State->store(I, Answer.Body_); });
}

void CallerApi::lookup(const JobKey &Key, const HttpRequest &Request,
                       const HttpRespond &Respond) {
  const LookupCallback Done = [Respond, Key](JobLookup State,
                                             const JobAnswer &Answer) {
    send(Respond, answerReply(Key, State, Answer));
  };
  if (Request.Method_ == "GET") {
    Wait MaxWait = std::chrono::milliseconds(0);
    if (!readWait(Request.Target_, MaxWait))
      return send(Respond, badWaitQuery());
    return Jobs_.lookup(Key, Done, *MaxWait);
  }
  if (Request.Method_ != "DELETE")
    return rejectMethod(Respond, "GET, DELETE");
  if (Request.Target_.find('?') != std::string::npos)
    return send(Respond, badRequest("DELETE takes no query", "?"));
  Jobs_.cancel(Key, Done);
}

} // namespace wigeonwall::process
