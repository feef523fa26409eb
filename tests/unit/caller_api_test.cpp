/// \file
/// \brief Tests the HTTP API for callers (docs/caller-api.md): status and body
/// of each reply. Guards against replies that mislead a caller about what ran.
#include "standins/caller_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using namespace wigeonwall::standins;

namespace {

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

// Replies of a home that determine no outcome.
const char *const RepliesWithoutOutcome[] = {
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
                        CallerFixture) {
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

BOOST_FIXTURE_TEST_CASE(bad_fields_are_refused_with_their_position,
                        CallerFixture) {
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

BOOST_FIXTURE_TEST_CASE(each_answer_has_its_status, CallerFixture) {
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

BOOST_FIXTURE_TEST_CASE(a_reply_without_outcome_is_no_answer, CallerFixture) {
  unsigned Count = 0;
  for (const char *Text : RepliesWithoutOutcome)
    BOOST_TEST_CONTEXT(Text) {
      Home_ = [&](auto &, auto &) { return replies(Text); };
      const Reply Got =
          submit(job("j" + std::to_string(++Count)), "?wait_ms=30");
      BOOST_TEST(Got.Status_ == 202);
      BOOST_TEST(Got.Body_["state"].asString() == "running");
      BOOST_TEST(!Got.Body_.isMember("outcome"));
    }
  // The jobs continue, but no state of the answered requests remains.
  BOOST_TEST(Jobs_.unfinished() == Count);
  BOOST_TEST(Jobs_.waiters() == 0U);
}

BOOST_FIXTURE_TEST_CASE(lookup_and_cancel_return_the_reply_of_the_home,
                        CallerFixture) {
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
        // The body has an outcome if the answer is final, an error or a state
        // otherwise.
        BOOST_TEST(Got.Body_.isMember("outcome") !=
                   (Got.Body_.isMember("error") || *Case.State_ != '\0'));
      }
}
