/// \file
/// \brief Tests the codecs of the platform's messages: valid messages are
/// decoded, and invalid ones are rejected.
#include "platform/caller_codec.h"
#include "platform/config_codec.h"
#include "platform/minion_client.h"

#include <boost/test/unit_test.hpp>

using namespace wigeonwall;
using namespace wigeonwall::platform;
using namespace std::chrono_literals;
using connection::HttpRequest;
using connection::HttpResponse;
using process::dispatch::JobAnswer;
using process::dispatch::JobReason;
using process::dispatch::JobResult;
using request::RunEnd;
using request::StartReply;

namespace {

const std::string Id = "5c0e7a21d94b36f8";

HttpRequest post(const std::string &Body) {
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = "/lohu930/" + Id;
  Request.Headers_ = {{"host", "nony24.example:80"},
                      {"wigeonwall-deadline-ms", "3012"}};
  Request.Body_ = Body;
  return Request;
}

struct JobCase {
  const char *Body_;
  JobDecodeError Expected_;
};

const JobCase JobCases[] = {
    {R"({"spec":"x","steps":[{"count":2,"cpu":500}],"best_effort":true})",
     JobDecodeError::None},
    {R"({"spec":"x","steps":[{"count":2,"cpu":500,"gang":false,"after":[]}],)"
     R"("best_effort":true,"repeat_count":0})",
     JobDecodeError::None},
    {R"({"spec":"x","steps":[{"count":2,"cpu":500}]})",
     JobDecodeError::NotServed},
    {R"({"spec":"x","steps":[{"count":1},{"count":1}],"best_effort":true})",
     JobDecodeError::NotServed},
    {R"({"spec":"x","steps":[{"count":1,"gang":true}],"best_effort":true})",
     JobDecodeError::NotServed},
    {R"({"spec":"x","steps":[{"count":1}],"best_effort":true,)"
     R"("long_running":true})",
     JobDecodeError::NotServed},
    {R"({"spec":"x","steps":[{"count":1}],"best_effort":true,)"
     R"("repeat_count":3})",
     JobDecodeError::NotServed},
    {R"({"spec":"x","steps":[{"count":0}],"best_effort":true})",
     JobDecodeError::Malformed},
    {R"({"spec":"x","steps":[{"count":1024}],"best_effort":true})",
     JobDecodeError::None},
    {R"({"spec":"x","steps":[{"count":1025}],"best_effort":true})",
     JobDecodeError::Malformed},
    {R"({"spec":"x","steps":[{"count":1,"cpu":-500}],"best_effort":true})",
     JobDecodeError::Malformed},
    {R"({"spec":"x","steps":[{"count":1,"ram_mb":-1}],"best_effort":true})",
     JobDecodeError::Malformed},
    {R"({"spec":"x","steps":[{"count":1,"estimated_ms":-9}],)"
     R"("best_effort":true})",
     JobDecodeError::Malformed},
    {R"({"spec":"x","steps":[{"count":1,"estimated_ms":9000000000000000}],)"
     R"("best_effort":true})",
     JobDecodeError::Malformed},
    {R"({"spec":"x","steps":[{"count":"2"}],"best_effort":true})",
     JobDecodeError::Malformed},
    {R"({"spec":"x","steps":{},"best_effort":true})",
     JobDecodeError::Malformed},
    {R"([1,2])", JobDecodeError::Malformed},
    {"{", JobDecodeError::Malformed},
    {"", JobDecodeError::Malformed},
};

const char *const GoodReport =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"z",)"
    R"("version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,)"
    R"("capacity":{"cpu":16000,"ram_mb":32768,"gpu":0},)"
    R"("labels":["a","r1-3"],"clock_ms":482113,"sequence":4,"born":1777})";

struct StartCase {
  int Status_;
  const char *Body_;
  StartReply Expected_;
};

const StartCase StartCases[] = {
    {200, R"({"clock_ms":1})", StartReply::Started},
    {409, R"({"reason":"fence"})", StartReply::Fenced},
    {409, R"({"reason":"old"})", StartReply::OldNumber},
    {409, R"({"reason":"late"})", StartReply::TooLate},
    {409, R"({"reason":"room"})", StartReply::NoRoom},
    {409, R"({"reason":"other"})", StartReply::Unknown},
    {409, "not json", StartReply::Unknown},
    {400, "", StartReply::Malformed},
    {421, "", StartReply::OtherIncarnation},
    {429, "", StartReply::Unavailable},
    {503, "", StartReply::Unavailable},
    {500, "", StartReply::Unknown},
};

} // namespace

BOOST_AUTO_TEST_CASE(classifies_jobs) {
  for (const JobCase &Each : JobCases) {
    JobDecodeFault Fault;
    const auto Job = decodeJob(Id, post(Each.Body_), Fault);
    BOOST_TEST_CONTEXT(Each.Body_) {
      BOOST_TEST((Fault.Code_ == Each.Expected_));
      BOOST_TEST(Job.has_value() == (Each.Expected_ == JobDecodeError::None));
    }
  }
}

// A job keeps its names until its last task has ended; they could be as long as
// the body.
BOOST_AUTO_TEST_CASE(names_of_a_job_have_a_limit) {
  for (const char *Name : {"preferred_rack", "requirements"})
    for (const std::size_t Bytes : {256, 257}) {
      JobDecodeFault Fault;
      const auto Job = decodeJob(
          Id,
          post(R"({"spec":"x","best_effort":true,"steps":[{"count":1,")" +
               std::string(Name) + R"(":")" + std::string(Bytes, 'r') +
               "\"}]}"),
          Fault);
      BOOST_TEST(Job.has_value() == (Bytes == 256));
      BOOST_TEST((Fault.Code_ == JobDecodeError::Malformed) == (Bytes == 257));
    }
}

BOOST_AUTO_TEST_CASE(decodes_all_fields_of_a_job) {
  JobDecodeFault Fault;
  const auto Job =
      decodeJob(Id,
                post(R"({"spec":"text","best_effort":true,"steps":[{"count":4,)"
                     R"("cpu":500,"ram_mb":256,"gpu":1,"estimated_ms":900,)"
                     R"("preferred_rack":"r1-3","requirements":"a",)"
                     R"("anti_affinity":2}]})"),
                Fault);
  BOOST_REQUIRE(Job);
  BOOST_TEST(Job->Id_ == Id);
  BOOST_TEST(Job->TaskCount_ == 4u);
  BOOST_TEST((Job->Needs_ == request::Resources{500, 256, 1}));
  BOOST_TEST((Job->Estimate_ == 900ms));
  BOOST_TEST(Job->PreferredRack_ == "r1-3");
  BOOST_TEST(Job->RequiredLabel_ == "a");
  BOOST_TEST(Job->MaxPerMinion_ == 2u);
  BOOST_TEST((Job->CallerTimeout_ == 3012ms));
}

// The largest timeouts overflowed the time at which the job expires.
BOOST_AUTO_TEST_CASE(limits_the_timeout_of_a_caller) {
  HttpRequest Request =
      post(R"({"spec":"x","steps":[{"count":1}],"best_effort":true})");
  Request.Headers_ = {{"wigeonwall-deadline-ms", "9223372036854775807"}};
  JobDecodeFault Fault;
  const auto Job = decodeJob(Id, Request, Fault);
  BOOST_REQUIRE(Job);
  BOOST_TEST((Job->CallerTimeout_ == 24h));
}

BOOST_AUTO_TEST_CASE(decodes_targets_after_the_prefix) {
  version::Route Route;
  Route.Prefix_ = "/lohu930/";
  HttpRequest Request = post("");
  BOOST_TEST((decodeTarget(Request, Route)->Action_ == CallerAction::Submit));
  Request.Method_ = "GET";
  BOOST_TEST((decodeTarget(Request, Route)->Action_ == CallerAction::GetState));
  Request.Method_ = "DELETE";
  BOOST_TEST((decodeTarget(Request, Route)->Action_ == CallerAction::Cancel));
  Request.Method_ = "GET";
  Request.Target_ = "/lohu930/?x=1";
  BOOST_TEST(
      (decodeTarget(Request, Route)->Action_ == CallerAction::CountQueue));
  Request.Target_ = "/lohu930/xyz";
  BOOST_TEST(!decodeTarget(Request, Route));
  BOOST_TEST(callerHost(Request) == "nony24.example");
}

BOOST_AUTO_TEST_CASE(reads_the_job_of_a_cancellation_without_a_route) {
  HttpRequest Request = post("");
  BOOST_TEST(!decodeCancelledJob(Request));
  const std::string JobId =
      Request.Target_.substr(Request.Target_.rfind('/') + 1);
  Request.Method_ = "DELETE";
  BOOST_TEST((decodeCancelledJob(Request) == JobId));
  Request.Target_ = "/removed/nested/" + JobId + "?x=/y";
  BOOST_TEST((decodeCancelledJob(Request) == JobId));
  for (const char *Target : {"/", "", "/removed/", "/removed/xyz"}) {
    Request.Target_ = Target;
    BOOST_TEST(!decodeCancelledJob(Request));
  }
}

BOOST_AUTO_TEST_CASE(encodes_answers) {
  BOOST_TEST(encodeAnswer({JobResult::Completed, {}, {}}).Status_ == 200);
  BOOST_TEST(encodeAnswer({JobResult::Failed, {}, {}}).Body_ ==
             R"({"state":"failed"})");
  BOOST_TEST(
      encodeAnswer({JobResult::Abandoned, JobReason::Overloaded, {}}).Status_ ==
      504);
  const HttpResponse Refused =
      encodeAnswer({JobResult::Refused, JobReason::Overloaded, 1200ms});
  BOOST_TEST(Refused.Status_ == 503);
  BOOST_TEST(connection::findHeader(Refused.Headers_, "retry-after") == "2");
}

BOOST_AUTO_TEST_CASE(decodes_complete_minion_reports_only) {
  request::CodecFault Fault;
  const auto Report = decodeMinionReport("i-1", GoodReport, Fault);
  BOOST_REQUIRE(Report);
  BOOST_TEST((Report->Incarnation_ == request::MinionIncarnation{"i-1", 1777}));
  BOOST_TEST(Report->Capacity_.CpuMillicores_ == 16'000);
  BOOST_TEST(Report->ClockMs_ == 482'113);
  BOOST_TEST(Report->Labels_.size() == 2u);
  const std::string Nested = std::string(100'000, '[');
  for (const auto &[From, To] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"ready\"", "\"asleep\""},
           {"\"huvo11a\"", "17"},
           {"10.128.0.9:8080", "nowhere"},
           {"16000", "\"many\""},
           {"\"sequence\":4", "\"sequence\":\"x\""},
           {"10.128.0.9:8080", "10.128.0.9:0"},
           {"10.128.0.9:8080", "10.128.0.9:65536"},
           {"10.128.0.9:8080", "10.128.0.9:-1"},
           {"16000", "-1"},
           {"16000", "16000.5"},
           {"16000", "9223372036854775807"},
           {"16000", "99999999999999999999"},
           {"16000", "1e400"},
           {"32768", "[32768]"},
           {"\"gpu\":0", "\"gpu\":true"},
           {"\"gpu\":0", "\"gpu\":-3"},
           {"482113", "9223372036854775807"},
           {"482113", "-482113"},
           {"1777", "18446744073709551615"},
           {"1777", "-1"},
           {"\"sequence\":4", "\"sequence\":1e18"},
           {"\"r1-3\"", "{}"},
           {"\"r1-3\"", "7"},
           {"[\"a\",\"r1-3\"]", "\"a\""},
           {"[\"a\",\"r1-3\"]", "{\"a\":\"r1-3\"}"},
           {"\"z\"", Nested},
           {"}", ""}}) {
    std::string Bad = GoodReport;
    Bad.replace(Bad.find(From), From.size(), To);
    BOOST_TEST_CONTEXT(Bad) BOOST_TEST(!decodeMinionReport("i-1", Bad, Fault));
  }
  BOOST_TEST(!decodeMinionReport("", GoodReport, Fault));
}

// A report with an odd time would be rejected, and the minion would get work
// until it leaves.
BOOST_AUTO_TEST_CASE(decodes_the_time_to_the_departure) {
  const auto Decode = [](const std::string &Extra) {
    std::string Body = GoodReport;
    Body.replace(Body.find("\"ready\""), 7, "\"draining\"" + Extra);
    request::CodecFault Fault;
    return decodeMinionReport("i-1", Body, Fault).value();
  };
  BOOST_TEST(Decode("").Draining_);
  BOOST_TEST(!Decode("").TimeToDeparture_);
  BOOST_TEST((Decode(R"(,"remaining_ms":1500)").TimeToDeparture_ == 1500ms));
  BOOST_TEST((Decode(R"(,"remaining_ms":0)").TimeToDeparture_ == 0ms));
  BOOST_TEST((Decode(R"(,"remaining_ms":1e300)").TimeToDeparture_ == 24h));
  for (const char *Odd : {"-1", "null", "\"5\"", "[]", "true"})
    BOOST_TEST_CONTEXT(Odd)
  BOOST_TEST(!Decode(std::string(",\"remaining_ms\":") + Odd).TimeToDeparture_);
}

// A list with one odd value is rejected as a whole: without its rows, active
// runs would look as if they had ended.
BOOST_AUTO_TEST_CASE(rejects_lists_with_an_odd_value) {
  const std::string Good =
      R"({"clock_ms":482113,"born":1777,"running":[["5c.0.0.17",2,"",41,9]],)"
      R"("finished":[[58,"5c.0.0.9",1,"done",""]]})";
  HttpResponse Response;
  Response.Body_ = Good;
  BOOST_REQUIRE(decodeHoldReply(Response, {"i-1", 1777}).Listing_);
  const std::string Nested = std::string(100'000, '[');
  for (const auto &[From, To] :
       std::vector<std::pair<std::string, std::string>>{
           {"482113", "1e400"},
           {"482113", "99999999999999999999"},
           {"482113", "{}"},
           {"\"5c.0.0.17\",2", "\"5c.0.0.17\",9223372036854775807"},
           {"\"5c.0.0.17\",2", "\"5c.0.0.17\",-2"},
           {"\"5c.0.0.17\",2", "17,2"},
           {"[58,", "[9223372036854775807,"},
           {"[58,", "[\"58\","},
           {"\"done\"", "{}"},
           {"[[58,\"5c.0.0.9\",1,\"done\",\"\"]]", "[58]"},
           {"[[58,\"5c.0.0.9\",1,\"done\",\"\"]]", "{}"},
           {"1777", "\"1777\""},
           {"\"\",41", Nested},
       }) {
    Response.Body_ = Good;
    Response.Body_.replace(Good.find(From), From.size(), To);
    const auto Reply = decodeHoldReply(Response, {"i-1", 1777});
    BOOST_TEST_CONTEXT(Response.Body_.substr(0, 200)) {
      BOOST_TEST(!Reply.Listing_);
      BOOST_TEST(!Reply.Gone_);
    }
  }
  // Progress is only a hint.
  for (const char *Percent : {"1e9", "-5", "\"x\"", "[]", "41.5"}) {
    Response.Body_ = Good;
    Response.Body_.replace(Good.find("41"), 2, Percent);
    BOOST_TEST_CONTEXT(Percent)
    BOOST_TEST(decodeHoldReply(Response, {"i-1", 1777}).Listing_.has_value());
  }
}

// Odd figures overflowed the times that are computed from them.
BOOST_AUTO_TEST_CASE(rejects_a_route_table_with_an_odd_value) {
  const std::string Good =
      R"({"version":7,"routes":[{"name":"r1","host":"h","prefix":"/a/",)"
      R"("service":"s","target_latency_ms":60,"priority":1,"max_attempts":3,)"
      R"("slack_factor":1.6}]})";
  ConfigFault Fault;
  BOOST_REQUIRE(decodeRouteTable(Good, Fault));
  const std::string Nested = std::string(100'000, '[');
  for (const auto &[From, To] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"version\":7", "\"version\":99999999999999999999"},
           {"\"version\":7", "\"version\":[]"},
           {"1.6", "1e300"},
           {"1.6", "-1"},
           {"1.6", "\"x\""},
           {":60", ":9000000000000000"},
           {":60", ":-60"},
           {":3", ":4000000000"},
           {":3", ":99999999999"},
           {"\"priority\":1", "\"priority\":1e12"},
           {"\"h\"", "{}"},
           {"\"h\"", Nested},
           {"[{", "[7,{"},
       }) {
    std::string Bad = Good;
    Bad.replace(Bad.find(From), From.size(), To);
    Fault = {};
    BOOST_TEST_CONTEXT(Bad.substr(0, 200)) {
      BOOST_TEST(!decodeRouteTable(Bad, Fault));
      BOOST_TEST(!Fault.Message_.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(classifies_start_replies) {
  for (const StartCase &Each : StartCases) {
    HttpResponse Response;
    Response.Status_ = Each.Status_;
    Response.Body_ = Each.Body_;
    BOOST_TEST_CONTEXT(Each.Status_ << " " << Each.Body_)
    BOOST_TEST((decodeStartReply(Response) == Each.Expected_));
  }
}

BOOST_AUTO_TEST_CASE(decodes_listing_rows_by_position) {
  HttpResponse Response;
  Response.Body_ =
      R"({"clock_ms":482113,"born":1777,"running":[["5c.0.0.17",2,"",41,9]],)"
      R"("finished":[[58,"5c.0.0.9",1,"done",""],[59,"5c.0.0.8",1,"broken",""],)"
      R"([60,"5c.0.0.7",3,"lapsed",""]]})";
  const auto Reply = decodeHoldReply(Response, {"i-1", 1777});
  BOOST_REQUIRE(Reply.Listing_);
  BOOST_TEST(Reply.Listing_->MinionClockMs_ == 482'113);
  BOOST_TEST(
      (Reply.Listing_->Running_.at(0).Key_ == request::RunKey{"5c/17", 2}));
  BOOST_TEST(Reply.Listing_->Running_.at(0).Percent_ == 41);
  BOOST_TEST((Reply.Listing_->Ended_.at(0).End_ == RunEnd::Done));
  BOOST_TEST((Reply.Listing_->Ended_.at(1).End_ == RunEnd::Failed));
  BOOST_TEST((Reply.Listing_->Ended_.at(2).End_ == RunEnd::Lapsed));
  // Reply from another process of the minion at the same address.
  BOOST_TEST(!decodeHoldReply(Response, {"i-1", 1778}).Listing_);
  BOOST_TEST(decodeHoldReply(Response, {"i-1", 1778}).Gone_);
  Response.Body_ = R"({"clock_ms":482113,"running":[],"finished":[]})";
  BOOST_TEST(!decodeHoldReply(Response, {"i-1", 1777}).Listing_);
  Response.Status_ = 421;
  BOOST_TEST(decodeHoldReply(Response, {"i-1", 1777}).Gone_);
  Response.Status_ = 409;
  Response.Body_ = R"({"reason":"fence"})";
  BOOST_TEST(decodeHoldReply(Response, {"i-1", 1777}).Fenced_);
}

BOOST_AUTO_TEST_CASE(task_names_round_trip) {
  BOOST_TEST(encodeTaskName("5c0e/17") == "5c0e.0.0.17");
  BOOST_TEST(decodeTaskName("5c0e.0.0.17") == "5c0e/17");
  BOOST_TEST(encodeTaskName(decodeTaskName("5c0e.1.2.17")) == "5c0e.1.2.17");
}

BOOST_AUTO_TEST_CASE(decodes_a_route_table) {
  ConfigFault Fault;
  const auto Table = decodeRouteTable(
      R"({"version":7,"routes":[)"
      R"({"name":"r1","host":"h","prefix":"/a/","service":"s",)"
      R"("target_latency_ms":60,"priority":1,"max_attempts":3,)"
      R"("slack_factor":1.6},)"
      R"({"name":"r2","host":"h","prefix":"/a/b/","service":"s",)"
      R"("max_attempts":0,"slack_factor":2,"advisor":{"decision_ms":1}}]})",
      Fault);
  BOOST_REQUIRE(Table);
  BOOST_TEST(Table->version() == 7);
  BOOST_TEST(Table->find("h", "/a/x")->Name_ == "r1");
  BOOST_TEST(Table->find("h", "/a/x")->Policy_.MaxAttempts_ == 3u);
  BOOST_TEST(Table->find("h", "/a/b/x")->Name_ == "r2");
  BOOST_TEST(!Table->find("h", "/a/b/x")->Served_);
  BOOST_TEST(Table->find("h", "/c/") == nullptr);
  BOOST_TEST(Table->find("other", "/a/x") == nullptr);
  BOOST_TEST(!decodeRouteTable(R"({"version":"x"})", Fault));
  BOOST_TEST(!decodeRouteTable("{", Fault));
}
