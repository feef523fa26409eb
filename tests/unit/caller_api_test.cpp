/// \file
/// \brief Contract of the callers' interface (docs/caller-api.md): the real
/// CallerApi and Entry behind a real HttpServer, with a function in place of
/// the homes. Guards against statuses and bodies that mislead a caller about
/// what ran, and against waiters that outlive their request.
#include "wigeonwall/process/caller_api.h"
#include "wigeonwall/process/event_loop.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using namespace wigeonwall;
using connection::RpcResult;
using connection::TransportError;

namespace {

constexpr const char *Service = "permit-desk";
constexpr std::size_t MaxJobs = 101;

Json::Value json(const std::string &Text) {
  request::CodecFault Why;
  return request::parseJson(Text, Why).value_or(Json::Value());
}

std::int64_t nowMs() { return process::systemClock()(); }

Json::Value job(const std::string &Id, const std::string &In = Service) {
  Json::Value Value = json(R"({"kind": "setback-check", "team": "crews",
      "timeout_ms": 30000, "tasks": [{"payload": {"parcel": "A-17"}}]})");
  Value["service"] = In;
  Value["job_id"] = Id;
  Value["created_at_ms"] = Json::Int64(nowMs());
  return Value;
}

std::shared_ptr<const process::ClusterView> makeView() {
  version::MapAgent Agent;
  Agent.Id_ = "a0";
  Agent.Incarnation_ = 1;
  Agent.TrafficAddress_ = "home";
  Agent.FailureDomain_ = "d0";
  Agent.Service_ = Service;
  version::MapChange Joins;
  Joins.Joins_ = {Agent};
  auto Config = std::make_shared<version::Config>();
  Config->Version_ = 1;
  Config->Services_ = {{Service, {}}};
  auto View = std::make_shared<process::ClusterView>();
  View->Map_ = std::make_shared<const version::AgentMap>(
      *version::applyChange({}, Joins, 1, 600'000));
  View->Config_ = std::move(Config);
  return View;
}

struct Reply {
  int Status_ = 0;
  Json::Value Body_;
  std::string Allow_;
};

RpcResult replies(const std::string &Text) {
  RpcResult Result;
  Result.Value_ = json(Text);
  return Result;
}

RpcResult fails(TransportError Error) {
  RpcResult Result;
  Result.Error_ = Error;
  return Result;
}

const char *const Pending = R"({"state": "pending"})";
const char *const Complete =
    R"({"state": "final", "answer": {"outcome": "complete", "results": [1]}})";

struct Fixture {
  Fixture()
      : Jobs_(context(), MaxJobs), Api_(context(), Jobs_),
        Server_(Context_, {"127.0.0.1", 0}, {},
                [this](connection::HttpRequest Request,
                       const connection::HttpRespond &Respond) {
                  Api_.handle(std::move(Request), Respond);
                }),
        Client_(Context_, {}) {
    BOOST_REQUIRE(Server_.listen());
    process::tickEvery(process::makeSchedule(Context_), 20ms,
                       [this] { Jobs_.tick(); });
  }

  process::AgentContext context() {
    return {{"e0", 1, "entry"},
            process::steadyClock(),
            process::systemClock(),
            process::makeSchedule(Context_),
            [this](const std::string &, const std::string &Method,
                   const Json::Value &Params, std::chrono::milliseconds,
                   connection::RpcCallback Done) {
              ++Calls_[Method];
              connection::asio::post(
                  Context_, [Done = std::move(Done),
                             Result = Home_(Method, Params)] { Done(Result); });
            },
            [this] { return View_; },
            Counters_};
  }

  std::shared_ptr<std::optional<Reply>> begin(const std::string &Method,
                                              const std::string &Target,
                                              const std::string &Body = "") {
    auto Slot = std::make_shared<std::optional<Reply>>();
    Client_.send({"127.0.0.1", Server_.port()}, {Method, Target, {}, Body}, 10s,
                 [Slot](const connection::HttpResult &Result) {
                   const auto &Response = Result.Response_;
                   BOOST_TEST((Result.Error_ == TransportError::None));
                   *Slot = Reply{
                       Response.Status_, json(Response.Body_),
                       connection::findHeader(Response.Headers_, "allow")};
                 });
    return Slot;
  }
  Reply end(const std::shared_ptr<std::optional<Reply>> &Slot) {
    BOOST_REQUIRE(until([&] { return Slot->has_value(); }));
    return **Slot;
  }
  Reply send(const std::string &Method, const std::string &Target,
             const std::string &Body = "") {
    return end(begin(Method, Target, Body));
  }
  Reply submit(const Json::Value &Job, const std::string &Query = "") {
    return send("POST", "/v1/jobs" + Query, request::writeJson(Job));
  }

  bool until(const std::function<bool()> &Holds) {
    const auto End = std::chrono::steady_clock::now() + 10s;
    while (!Holds() && std::chrono::steady_clock::now() < End)
      Context_.run_one_for(10ms);
    return Holds();
  }
  void finish(const std::string &Id) {
    Json::Value Params = json(Complete);
    Params["service"] = Service;
    Params["job_id"] = Id;
    BOOST_TEST(Jobs_.finished(Params).isObject());
  }

  connection::asio::io_context Context_{1};
  process::Counters Counters_;
  std::shared_ptr<const process::ClusterView> View_ = makeView();
  std::map<std::string, unsigned> Calls_;
  std::function<RpcResult(const std::string &, const Json::Value &)> Home_ =
      [](const std::string &, const Json::Value &) { return replies(Pending); };
  process::Entry Jobs_;
  process::CallerApi Api_;
  connection::HttpServer Server_;
  connection::HttpClient Client_;
};

struct RequestCase {
  const char *Method_;
  const char *Target_;
  const char *Body_;
  int Status_;
  /// Null when the reply has none.
  const char *Position_;
};

const RequestCase RequestCases[] = {
    {"POST", "/v1/jobs", "", 400, ""},
    {"POST", "/v1/jobs", "{", 400, ""},
    {"POST", "/v1/jobs", "7", 400, ""},
    {"POST", "/v1/jobs", "{\"service\": \"a\", \"service\": \"a\"}", 400, ""},
    {"POST", "/v1/jobs", "{}", 400, "/service"},
    {"POST", "/v1/jobs?", "{}", 400, "?wait_ms"},
    {"POST", "/v1/jobs?wait_ms=", "{}", 400, "?wait_ms"},
    {"POST", "/v1/jobs?wait_ms=-1", "{}", 400, "?wait_ms"},
    {"POST", "/v1/jobs?wait_ms=600001", "{}", 400, "?wait_ms"},
    {"POST", "/v1/jobs?wait_ms=1&x=1", "{}", 400, "?wait_ms"},
    {"POST", "/v1/batches?wait=1", "{}", 400, "?wait_ms"},
    {"GET", "/v1/jobs/s/j?wait_ms=x", "", 400, "?wait_ms"},
    {"DELETE", "/v1/jobs/s/j?wait_ms=1", "", 400, "?"},
    {"POST", "/v1/batches", "[", 400, ""},
    {"POST", "/v1/batches", "[]", 400, ""},
    {"POST", "/v1/batches", "{}", 400, "/jobs"},
    {"POST", "/v1/batches", "{\"jobs\": []}", 400, "/jobs"},
    {"POST", "/v1/batches", "{\"jobs\": {}}", 400, "/jobs"},
    {"POST", "/v1/batches", "{\"jobs\": [1], \"x\": 1}", 400, "/x"},
    {"GET", "/v1/jobs", "", 405, nullptr},
    {"PUT", "/v1/batches", "{}", 405, nullptr},
    {"POST", "/v1/jobs/s/j", "{}", 405, nullptr},
    {"HELLO", "/v1/jobs", "", 405, nullptr},
    {"GET", "/", "", 404, nullptr},
    {"POST", "/v1/jobsx", "{}", 404, nullptr},
    {"GET", "/v2/jobs/s/j", "", 404, nullptr},
    {"GET", "/v1/jobs/s", "", 404, nullptr},
    {"GET", "/v1/jobs//j", "", 404, nullptr},
    {"GET", "/v1/jobs/s/", "", 404, nullptr},
    {"GET", "/v1/jobs/s/j/k", "", 404, nullptr},
};

struct FieldCase {
  const char *Field_;
  const char *Value_;
  const char *Position_;
};

// Each row replaces one field of a valid job; "" removes it.
const FieldCase FieldCases[] = {
    {"service", "", "/service"},
    {"service", "\"a/b\"", "/service"},
    {"job_id", "7", "/job_id"},
    {"kind", "\"\"", "/kind"},
    {"team", "null", "/team"},
    {"created_at_ms", "\"now\"", "/created_at_ms"},
    {"created_at_ms", "9000000000000", "/created_at_ms"},
    {"timeout_ms", "0", "/timeout_ms"},
    {"timeout_ms", "600001", "/timeout_ms"},
    {"non_idempotent", "1", "/non_idempotent"},
    {"tasks", "[]", "/tasks"},
    {"tasks", "[{\"payload\": 1}, {\"pay\": 1}]", "/tasks/1/pay"},
    {"tasks", "[{\"declared_run_ms\": 600001}]", "/tasks/0/declared_run_ms"},
    {"priority", "1", "/priority"},
};

struct AnswerCase {
  const char *Reply_;
  int Status_;
  const char *Outcome_;
  const char *Reason_;
};

const AnswerCase AnswerCases[] = {
    {Complete, 200, "complete", ""},
    {R"({"state": "final", "answer":
         {"outcome": "not_run", "reason": "queue_full", "detail": "full"}})",
     503, "not_run", "queue_full"},
    {R"({"state": "final", "answer":
         {"outcome": "failed", "reason": "task_failed", "detail": "task 1"}})",
     502, "failed", "task_failed"},
    {R"({"state": "final", "answer":
         {"outcome": "failed", "reason": "unknown_kind", "detail": ""}})",
     502, "failed", "unknown_kind"},
    {R"({"state": "final", "answer":
         {"outcome": "failed", "reason": "deadline_exceeded"}})",
     504, "failed", "deadline_exceeded"},
    {R"({"state": "final", "answer":
         {"outcome": "failed", "reason": "conflict", "detail": ""}})",
     409, "failed", "conflict"},
    {R"({"state": "refused", "reason": "conflict"})", 409, "failed",
     "conflict"},
};

// Replies of a home from which no outcome follows.
const char *const Undecided[] = {
    Pending,
    "{}",
    "[]",
    "7",
    "null",
    R"({"state": 7})",
    R"({"state": "final"})",
    R"({"state": "final", "answer": {"outcome": "maybe"}})",
    R"({"state": "refused", "reason": "retry"})",
    R"({"state": "refused", "reason": {}})",
};

} // namespace

BOOST_FIXTURE_TEST_CASE(bad_requests_are_refused_with_status_and_position,
                        Fixture) {
  for (const RequestCase &Case : RequestCases)
    BOOST_TEST_CONTEXT(Case.Method_ << " " << Case.Target_ << " "
                                    << Case.Body_) {
      const Reply Got = send(Case.Method_, Case.Target_, Case.Body_);
      BOOST_TEST(Got.Status_ == Case.Status_);
      BOOST_TEST(!Got.Body_["error"].asString().empty());
      BOOST_TEST(Got.Body_.isMember("position") == (Case.Position_ != nullptr));
      if (Case.Position_ != nullptr)
        BOOST_TEST(Got.Body_["position"].asString() == Case.Position_);
      BOOST_TEST(Got.Allow_.empty() == (Case.Status_ != 405));
    }
  BOOST_TEST(Calls_.empty());
}

BOOST_FIXTURE_TEST_CASE(bad_fields_are_refused_with_their_position, Fixture) {
  for (const FieldCase &Case : FieldCases)
    BOOST_TEST_CONTEXT(Case.Field_ << " = " << Case.Value_) {
      Json::Value Job = job("j");
      Job.removeMember(Case.Field_);
      if (*Case.Value_ != '\0')
        Job[Case.Field_] = json(Case.Value_);
      const Reply Got = submit(Job);
      BOOST_TEST(Got.Status_ == 400);
      BOOST_TEST(Got.Body_["position"].asString() == Case.Position_);
    }
  Json::Value Long = job("j");
  for (unsigned I = 0; I < 170; ++I)
    Long["tasks"].append(Long["tasks"][0]);
  BOOST_TEST(submit(Long).Body_["position"].asString() == "/tasks");
  BOOST_TEST(Calls_.empty());
}

BOOST_FIXTURE_TEST_CASE(each_answer_has_its_status, Fixture) {
  unsigned Count = 0;
  for (const AnswerCase &Case : AnswerCases)
    BOOST_TEST_CONTEXT(Case.Reply_) {
      Home_ = [&](auto &, auto &) { return replies(Case.Reply_); };
      const Reply Got = submit(job("j" + std::to_string(++Count)));
      BOOST_TEST(Got.Status_ == Case.Status_);
      BOOST_TEST(Got.Body_["service"].asString() == Service);
      BOOST_TEST(Got.Body_["job_id"].asString() == "j" + std::to_string(Count));
      BOOST_TEST(Got.Body_["outcome"].asString() == Case.Outcome_);
      BOOST_TEST(Got.Body_["reason"].asString() == Case.Reason_);
      BOOST_TEST(Got.Body_.isMember("detail") == (Case.Status_ != 200));
      BOOST_TEST(Got.Body_.isMember("results") == (Case.Status_ == 200));
    }
}

BOOST_FIXTURE_TEST_CASE(an_undecided_reply_is_no_answer, Fixture) {
  unsigned Count = 0;
  for (const char *Text : Undecided)
    BOOST_TEST_CONTEXT(Text) {
      Home_ = [&](auto &, auto &) { return replies(Text); };
      const Reply Got =
          submit(job("j" + std::to_string(++Count)), "?wait_ms=30");
      BOOST_TEST(Got.Status_ == 202);
      BOOST_TEST(Got.Body_["state"].asString() == "running");
      BOOST_TEST(!Got.Body_.isMember("outcome"));
    }
  // The job goes on, but nothing of the answered requests is kept.
  BOOST_TEST(Jobs_.unfinished() == Count);
  BOOST_TEST(Jobs_.waiters() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_home_that_is_unreachable_leaves_the_outcome_unknown,
                        Fixture) {
  for (const TransportError Error :
       {TransportError::NotSent, TransportError::Ambiguous}) {
    Home_ = [&](auto &, auto &) { return fails(Error); };
    Json::Value Job = job(Error == TransportError::NotSent ? "n" : "a");
    Job["timeout_ms"] = 1;
    const Reply Got = submit(Job);
    BOOST_TEST(Got.Status_ == 502);
    BOOST_TEST(Got.Body_["reason"].asString() == "outcome_unknown");
  }
  // A home that took the job but never ends it is the other case.
  Home_ = [](auto &, auto &) { return replies(Pending); };
  Json::Value Job = job("p");
  Job["timeout_ms"] = 1;
  BOOST_TEST(submit(Job).Status_ == 504);
  BOOST_TEST(Jobs_.unfinished() == 0U);
}

BOOST_FIXTURE_TEST_CASE(an_entry_refuses_by_itself_without_an_outcome,
                        Fixture) {
  for (std::size_t I = 0; I < MaxJobs; ++I)
    BOOST_TEST(submit(job(std::to_string(I)), "?wait_ms=0").Status_ == 202);
  const Reply Full = submit(job("more"));
  BOOST_TEST(Full.Status_ == 429);
  View_ = std::make_shared<process::ClusterView>();
  const Reply NotReady = submit(job("early"));
  BOOST_TEST(NotReady.Status_ == 503);
  for (const Reply &Got : {Full, NotReady}) {
    BOOST_TEST(Got.Body_.size() == 1U);
    BOOST_TEST(Got.Body_.isMember("error"));
  }
}

BOOST_FIXTURE_TEST_CASE(a_service_that_does_not_exist_fails_at_once, Fixture) {
  const Reply Got = submit(job("j", "nowhere"));
  BOOST_TEST(Got.Status_ == 502);
  BOOST_TEST(Got.Body_["reason"].asString() == "unknown_service");
}

BOOST_FIXTURE_TEST_CASE(a_resubmission_joins_and_other_content_conflicts,
                        Fixture) {
  const Json::Value Job = job("j");
  const std::string Text = request::writeJson(Job);
  const auto First = begin("POST", "/v1/jobs", Text);
  const auto Second = begin("POST", "/v1/jobs?wait_ms=600000", Text);
  BOOST_REQUIRE(until([&] { return Jobs_.waiters() == 2; }));
  Json::Value Other = Job;
  Other["kind"] = "fire-clearance";
  const Reply Conflict = submit(Other);
  BOOST_TEST(Conflict.Status_ == 409);
  BOOST_TEST(Conflict.Body_["outcome"].asString() == "failed");
  BOOST_TEST(Conflict.Body_["reason"].asString() == "conflict");
  finish("j");
  const Reply One = end(First);
  BOOST_TEST(One.Status_ == 200);
  BOOST_TEST((One.Body_ == end(Second).Body_));
  BOOST_TEST(Calls_["job.submit"] == 1U);
}

BOOST_FIXTURE_TEST_CASE(lookup_and_cancel_tell_what_the_home_says, Fixture) {
  const struct {
    RpcResult Home_;
    int Status_;
    const char *State_;
  } Cases[] = {
      {replies(Complete), 200, ""},
      {replies(AnswerCases[1].Reply_), 503, ""},
      {replies(AnswerCases[2].Reply_), 502, ""},
      {replies(Pending), 202, "running"},
      {replies(R"({"state": "unknown"})"), 404, "unknown"},
      {replies("{}"), 503, ""},
      {replies("[]"), 503, ""},
      {replies(R"({"state": "final", "answer": 1})"), 503, ""},
      {fails(TransportError::NotSent), 503, ""},
      {fails(TransportError::Ambiguous), 503, ""},
  };
  for (const auto &Case : Cases)
    for (const char *Method : {"GET", "DELETE"})
      BOOST_TEST_CONTEXT(Method << " " << Case.Home_.Value_) {
        Home_ = [&](const std::string &Asked, const Json::Value &Params) {
          BOOST_TEST(Params["job_id"].asString() == "j");
          BOOST_TEST(Asked == (std::string(Method) == "GET" ? "job.status"
                                                            : "job.cancel"));
          return Case.Home_;
        };
        const Reply Got = send(Method, "/v1/jobs/permit-desk/j");
        BOOST_TEST(Got.Status_ == Case.Status_);
        BOOST_TEST(Got.Body_["state"].asString() == Case.State_);
        // An outcome stands for a final answer, an error for none.
        BOOST_TEST(Got.Body_.isMember("outcome") !=
                   (Got.Body_.isMember("error") || *Case.State_ != '\0'));
      }
}

BOOST_FIXTURE_TEST_CASE(lookup_waits_for_the_end_of_a_job, Fixture) {
  Home_ = [this](auto &, auto &) {
    return replies(Calls_["job.status"] < 3 ? Pending : Complete);
  };
  BOOST_TEST(send("GET", "/v1/jobs/permit-desk/j?wait_ms=5000").Status_ == 200);
  BOOST_TEST(Calls_["job.status"] == 3U);
  Home_ = [](auto &, auto &) { return replies(Pending); };
  const auto Start = std::chrono::steady_clock::now();
  BOOST_TEST(send("GET", "/v1/jobs/permit-desk/j?wait_ms=120").Status_ == 202);
  BOOST_TEST((std::chrono::steady_clock::now() - Start >= 120ms));
  BOOST_TEST(Jobs_.unfinished() == 0U);
}

BOOST_FIXTURE_TEST_CASE(lookup_joins_a_job_that_this_entry_submits, Fixture) {
  BOOST_TEST(submit(job("j"), "?wait_ms=0").Status_ == 202);
  // The submission may not have reached the home yet: not "unknown".
  Home_ = [](auto &, auto &) { return replies(R"({"state": "unknown"})"); };
  for (const char *Method : {"GET", "DELETE"})
    BOOST_TEST(send(Method, "/v1/jobs/permit-desk/j").Status_ == 202);
  BOOST_TEST(send("GET", "/v1/jobs/permit-desk/j?wait_ms=20").Status_ == 202);
  const auto Slot = begin("GET", "/v1/jobs/permit-desk/j?wait_ms=5000");
  BOOST_REQUIRE(until([&] { return Jobs_.waiters() == 1; }));
  finish("j");
  BOOST_TEST(end(Slot).Status_ == 200);
}

BOOST_FIXTURE_TEST_CASE(jobs_of_a_batch_succeed_or_fail_by_themselves,
                        Fixture) {
  Home_ = [](auto &, const Json::Value &Params) {
    const bool Slow = Params["job"]["job_id"].asString() == "slow";
    return replies(Slow ? Pending : Complete);
  };
  Json::Value Batch;
  Batch["jobs"].append(job("good"));
  Batch["jobs"].append(job("bad"));
  Batch["jobs"][1]["timeout_ms"] = 0;
  Batch["jobs"].append(job("slow"));
  Batch["jobs"].append(Batch["jobs"][2]);
  Batch["jobs"][3]["kind"] = "other";
  Batch["jobs"].append(7);
  const Reply Got =
      send("POST", "/v1/batches?wait_ms=50", request::writeJson(Batch));
  BOOST_TEST(Got.Status_ == 200);
  const Json::Value &Answers = Got.Body_["answers"];
  BOOST_REQUIRE(Answers.size() == 5U);
  BOOST_TEST(Answers[0]["outcome"].asString() == "complete");
  BOOST_TEST(Answers[0]["job_id"].asString() == "good");
  BOOST_TEST(Answers[1]["position"].asString() == "/timeout_ms");
  BOOST_TEST(Answers[2]["state"].asString() == "running");
  BOOST_TEST(Answers[3]["reason"].asString() == "conflict");
  BOOST_TEST(Answers[4].isMember("error"));
  for (unsigned I = Batch["jobs"].size(); I < 101; ++I)
    Batch["jobs"].append(job("x"));
  BOOST_TEST(send("POST", "/v1/batches", request::writeJson(Batch)).Status_ ==
             400);
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_disconnects_does_not_end_its_job,
                        Fixture) {
  connection::asio::ip::tcp::socket Socket(Context_);
  Socket.connect(
      {connection::asio::ip::make_address("127.0.0.1"), Server_.port()});
  const std::string Body = request::writeJson(job("j"));
  connection::asio::write(
      Socket, connection::asio::buffer(
                  "POST /v1/jobs?wait_ms=600000 HTTP/1.1\r\nHost: e\r\n"
                  "Content-Length: " +
                  std::to_string(Body.size()) + "\r\n\r\n" + Body));
  BOOST_REQUIRE(until([&] { return Jobs_.waiters() == 1; }));
  Socket.close();
  BOOST_TEST(submit(job("other"), "?wait_ms=20").Status_ == 202);
  BOOST_TEST(Jobs_.unfinished() == 2U);
  finish("j");
  // The timer of wait_ms must not hold the connection of the ended request.
  BOOST_TEST(until([&] { return Server_.connectionCount() == 1; }));
  BOOST_TEST(submit(job("more"), "?wait_ms=20").Status_ == 202);
}
