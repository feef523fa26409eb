/// \file
/// \brief Tests the HTTP API for callers (docs/caller-api.md): waiting,
/// resubmission, batches and refusals. Guards against waiters that outlive
/// their request and against answers that differ between submissions of one
/// job.
#include "standins/caller_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using namespace wigeonwall::standins;

BOOST_FIXTURE_TEST_CASE(a_home_that_is_unreachable_leaves_the_outcome_unknown,
                        CallerFixture) {
  for (const TransportError Error :
       {TransportError::NotSent, TransportError::Ambiguous}) {
    Home_ = [&](auto &, auto &) { return fails(Error); };
    Json::Value Job = job(Error == TransportError::NotSent ? "n" : "a");
    Job["timeout_ms"] = 1;
    const Reply Got = submit(Job);
    BOOST_TEST(Got.Status_ == 502);
    BOOST_TEST(Got.Body_["reason"].asString() == "outcome_unknown");
  }
  // If the home accepts the job but never ends it, the deadline is exceeded.
  Home_ = [](auto &, auto &) { return replies(Pending); };
  Json::Value Job = job("p");
  Job["timeout_ms"] = 1;
  BOOST_TEST(submit(Job).Status_ == 504);
  BOOST_TEST(Jobs_.unfinished() == 0U);
}

BOOST_FIXTURE_TEST_CASE(refusals_by_an_entry_have_no_outcome, CallerFixture) {
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

BOOST_FIXTURE_TEST_CASE(a_service_that_does_not_exist_fails_at_once,
                        CallerFixture) {
  const Reply Got = submit(job("j", "nowhere"));
  BOOST_TEST(Got.Status_ == 502);
  BOOST_TEST(Got.Body_["reason"].asString() == "unknown_service");
}

BOOST_FIXTURE_TEST_CASE(a_resubmission_joins_and_other_content_conflicts,
                        CallerFixture) {
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

BOOST_FIXTURE_TEST_CASE(lookup_waits_for_the_end_of_a_job, CallerFixture) {
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

BOOST_FIXTURE_TEST_CASE(lookup_joins_a_job_that_this_entry_submits,
                        CallerFixture) {
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

BOOST_FIXTURE_TEST_CASE(jobs_of_a_batch_succeed_or_fail_independently,
                        CallerFixture) {
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
                        CallerFixture) {
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
  // The timer of wait_ms must not keep the ended request's connection open.
  BOOST_TEST(until([&] { return Server_.connectionCount() == 1; }));
  BOOST_TEST(submit(job("more"), "?wait_ms=20").Status_ == 202);
}
