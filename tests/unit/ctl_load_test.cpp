/// \file
/// \brief Tests of arrivals, percentiles, answer checks and the load command.
#include "wigeonwallctl/answer_check.h"
#include "wigeonwallctl/command.h"
#include "wigeonwallctl/percentiles.h"
#include "wigeonwallctl/workload.h"

#include "wigeonwall/request/codec.h"

#include "standins/fake_entry.h"
#include "standins/temporary_directory.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <fstream>
#include <map>
#include <sstream>

using namespace wigeonwall;
using namespace wigeonwall::ctl;
using std::chrono::seconds;

namespace {

std::vector<PlannedJob> plan(const ArrivalOptions &Options) {
  ArrivalGenerator Arrivals(*findProfile("permit-desk"), Options);
  std::vector<PlannedJob> Jobs;
  while (auto Job = Arrivals.next())
    Jobs.push_back(std::move(*Job));
  return Jobs;
}

std::map<std::string, std::size_t> countKinds(const ArrivalOptions &Options) {
  std::map<std::string, std::size_t> Counts;
  for (const PlannedJob &Job : plan(Options))
    ++Counts[Job.Kind_];
  return Counts;
}

CallerReply completeReply(const std::string &Results) {
  connection::HttpResult Result;
  Result.Response_.Body_ =
      R"({"service":"s","job_id":"j","outcome":"complete","results":)" +
      Results + "}";
  return classifyReply({"s", "j"}, Result);
}

struct LoadResult {
  int Code_;
  Json::Value Figures_;
};

LoadResult runLoadOn(standins::FakeEntry &Entry,
                     const std::vector<std::string> &More) {
  const standins::TemporaryDirectory Directory;
  std::vector<std::string> Words{
      "load",       "--entry", Entry.address(),
      "--duration", "0.5",     "--timeout-ms",
      "8000",       "--json",  Directory.file("figures")};
  Words.insert(Words.end(), More.begin(), More.end());
  std::ostringstream Out;
  std::ostringstream Err;
  const int Code = runCommand(Words, {Out, Err});
  std::ostringstream Text;
  Text << std::ifstream(Directory.file("figures")).rdbuf();
  request::CodecFault Why;
  const auto Figures = request::parseJson(Text.str(), Why);
  BOOST_REQUIRE_MESSAGE(Figures.has_value(), Err.str());
  return {Code, *Figures};
}

} // namespace

// Guards against runs that cannot be reproduced from their seed.
BOOST_AUTO_TEST_CASE(same_seed_gives_the_same_jobs) {
  const ArrivalOptions Options{.JobsPerSecond_ = 100, .Duration_ = seconds(5)};
  const auto First = plan(Options);
  const auto Second = plan(Options);
  BOOST_REQUIRE(First.size() == Second.size());
  for (std::size_t I = 0; I < First.size(); ++I) {
    BOOST_TEST(First[I].Offset_.count() == Second[I].Offset_.count());
    BOOST_TEST(First[I].WorkMs_ == Second[I].WorkMs_);
  }
  auto Other = Options;
  Other.Seed_ = 2;
  BOOST_TEST(plan(Other).front().Offset_.count() !=
             First.front().Offset_.count());
}

// Guards against an offered load that differs from the requested one: rate,
// order, task counts and mean work must follow the profile.
BOOST_AUTO_TEST_CASE(arrivals_follow_rate_and_profile) {
  const auto Jobs = plan({.JobsPerSecond_ = 1000, .Duration_ = seconds(100)});
  BOOST_TEST(Jobs.size() > 98'000U);
  BOOST_TEST(Jobs.size() < 102'000U);
  double WorkMs = 0;
  std::chrono::nanoseconds Last{0};
  for (const PlannedJob &Job : Jobs) {
    BOOST_REQUIRE(Job.Offset_ >= Last);
    BOOST_REQUIRE(!Job.WorkMs_.empty());
    BOOST_REQUIRE(Job.WorkMs_.size() <= request::MaxTasksPerJob);
    Last = Job.Offset_;
    for (const std::uint32_t Each : Job.WorkMs_)
      WorkMs += Each;
  }
  BOOST_TEST(WorkMs / static_cast<double>(Jobs.size()) ==
                 findProfile("permit-desk")->meanWorkMsPerJob(),
             boost::test_tools::tolerance(0.03));
}

// Guards against a flood that changes the arrivals of other kinds, which would
// make runs with and without it incomparable.
BOOST_AUTO_TEST_CASE(flood_multiplies_one_kind_only) {
  ArrivalOptions Options{.JobsPerSecond_ = 500, .Duration_ = seconds(20)};
  const auto Usual = countKinds(Options);
  Options.Flood_ = Flood{"label-lookup", 10, seconds(5), seconds(10)};
  const auto Flooded = countKinds(Options);
  BOOST_TEST(Flooded.at("setback-check") == Usual.at("setback-check"));
  // 10 of 20 s at ten times the rate: 5.5 times the jobs.
  BOOST_TEST(static_cast<double>(Flooded.at("label-lookup")) ==
                 5.5 * static_cast<double>(Usual.at("label-lookup")),
             boost::test_tools::tolerance(0.05));
}

// Guards against off-by-one errors in the rank or bucket of a percentile.
BOOST_AUTO_TEST_CASE(percentiles_have_a_small_relative_error) {
  Percentiles Values;
  BOOST_TEST(Values.at(0.99) == 0);
  for (int I = 1; I <= 10'000; ++I)
    Values.record(I);
  BOOST_TEST(Values.at(0.5) == 5'000, boost::test_tools::tolerance(0.006));
  BOOST_TEST(Values.at(0.99) == 9'900, boost::test_tools::tolerance(0.006));
  BOOST_TEST(Values.at(1) == 10'000);
  Values.record(1e300);
  Values.record(-1);
  BOOST_TEST(Values.count() == 10'002U);
}

// Guards against crossed or partial answers that pass the check.
BOOST_AUTO_TEST_CASE(answers_are_checked_by_job_task_and_count) {
  PlannedJob Job;
  Job.WorkMs_ = {5, 6};
  const auto Check = [&](const std::string &Results) {
    return checkReply(Job, "j", completeReply(Results));
  };
  const std::string First = R"([{"job":"j","task":0,"work_ms":5})";
  BOOST_TEST((Check(First + R"(,{"job":"j","task":1,"work_ms":6}])") ==
              AnswerCheck::Good));
  BOOST_TEST((Check(First + "]") == AnswerCheck::Partial));
  BOOST_TEST((Check(First + ",null]") == AnswerCheck::Crossed));
  BOOST_TEST((Check(First + R"(,{"job":"k","task":1,"work_ms":6}])") ==
              AnswerCheck::Crossed));
  BOOST_TEST((Check(First + R"(,{"job":"j","task":0,"work_ms":6}])") ==
              AnswerCheck::Crossed));
  BOOST_TEST((Check(First + R"(,{"job":"j","task":1,"work_ms":5}])") ==
              AnswerCheck::Crossed));
  CallerReply NotRun;
  NotRun.Kind_ = ReplyKind::NotRun;
  BOOST_TEST(areContradictory(completeReply("[1]"), NotRun));
  BOOST_TEST(areContradictory(completeReply("[1]"), completeReply("[2]")));
  BOOST_TEST(!areContradictory(completeReply("[1]"), completeReply("[1]")));
}

// Guards against lost answers and latencies measured from the wrong start time.
BOOST_AUTO_TEST_CASE(load_measures_complete_jobs) {
  standins::FakeEntry Entry;
  const auto [Code, Figures] =
      runLoadOn(Entry, {"--rate", "100", "--resubmit-probability", "0.5"});
  const Json::Value &Overall = Figures["overall"];
  BOOST_TEST(Code == 0);
  BOOST_TEST(Overall["sent"].asUInt() > 20U);
  BOOST_TEST(Overall["complete"] == Overall["sent"]);
  BOOST_TEST(Entry.submissions() > Overall["sent"].asUInt());
  // The client delay is added in both directions, so no answer is faster than
  // the ideal latency.
  BOOST_TEST(Overall["response_ratio"]["p50"].asDouble() >= 0.99);
  BOOST_TEST(Overall["response_ratio"]["p50"].asDouble() < 1.5);
}

// Guards against a closed loop that holds too few or too many jobs in flight,
// and against a wrong task count in the empty-tasks profile.
BOOST_AUTO_TEST_CASE(closed_loop_keeps_the_jobs_in_flight) {
  std::atomic<std::size_t> Tasks{0};
  standins::FakeEntry Entry(
      [&](const request::JobSpec &Spec, connection::HttpResponse &) {
        Tasks += Spec.Tasks_.size();
      });
  const auto [Code, Figures] =
      runLoadOn(Entry, {"--in-flight", "3", "--profile", "empty-tasks",
                        "--client-delay-ms", "20"});
  const Json::Value &Overall = Figures["overall"];
  BOOST_TEST(Code == 0);
  BOOST_TEST(Overall["complete"] == Overall["sent"]);
  BOOST_TEST(Tasks.load() == 170 * Overall["sent"].asUInt());
  BOOST_TEST(Overall["sent"].asUInt() > 3U);
  // The client delay is added in both directions.
  BOOST_TEST(Overall["latency_ms"]["p50"].asDouble() >= 39);
}

// Guards against a load run that reports partial or refused answers as
// complete.
BOOST_AUTO_TEST_CASE(load_detects_partial_and_refused_answers) {
  standins::FakeEntry Entry([](const request::JobSpec &Spec,
                               connection::HttpResponse &Response) {
    Response.Body_ = R"({"service":"permit-desk","job_id":")" + Spec.Key_.Id_ +
                     R"(","outcome":"complete",)" + R"("results":[]})";
    if (Spec.Kind_ != "label-lookup")
      return;
    Response.Status_ = 503;
    Response.Body_ =
        R"({"outcome":"not_run","reason":"queue_full","detail":""})";
  });
  const auto [Code, Figures] = runLoadOn(
      Entry, {"--load", "2", "--slots", "8", "--flood", "label-lookup:3"});
  const Json::Value &Overall = Figures["overall"];
  BOOST_TEST(Code == ExitFailed);
  BOOST_TEST(Overall["partial"].asUInt() > 0U);
  BOOST_TEST(Overall["not_run"]["queue_full"] ==
             Figures["kinds"]["label-lookup"]["sent"]);
  double Offered = 0;
  for (const Json::Value &Kind : Figures["kinds"])
    Offered += Kind["offered_load"].asDouble();
  BOOST_TEST(Offered == 2, boost::test_tools::tolerance(0.001));
  BOOST_TEST(Figures["flood"]["overall"]["sent"] == Overall["sent"]);
}

// Guards against a run that starts despite invalid options.
BOOST_AUTO_TEST_CASE(load_refuses_bad_options) {
  const std::vector<std::vector<std::string>> Cases{
      {"load"},
      {"load", "--rate", "0"},
      {"load", "--rate", "nan"},
      {"load", "--load", "0.7"},
      {"load", "--rate", "1", "--profile", "p"},
      {"load", "--load", "1", "--slots", "8", "--profile", "empty-task"},
      {"load", "--in-flight", "0"},
      {"load", "--in-flight", "1", "--flood", "label-lookup:2"},
      {"load", "--rate", "1", "--flood", "label-lookup"},
      {"load", "--rate", "1", "--flood", "no-kind:2"},
      {"load", "--rate", "1", "--flood", "label-lookup:0"},
      {"load", "--rate", "1", "--flood", "label-lookup:2", "--flood-start",
       "11"},
      {"load", "--rate", "1", "--json", "no/such/directory/file"},
  };
  for (const auto &Words : Cases) {
    std::ostringstream Out;
    std::ostringstream Err;
    BOOST_TEST_CONTEXT(Words.back()) {
      BOOST_TEST(runCommand(Words, {Out, Err}) == ExitUsage);
    }
  }
}
