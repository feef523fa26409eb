/// \file
/// \brief Traces: bad lines, expectations, and replays that deviate.
#include "wigeonwallctl/command.h"
#include "wigeonwallctl/trace_file.h"

#include "standins/fake_entry.h"
#include "standins/temporary_directory.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace wigeonwall;
using namespace wigeonwall::ctl;

namespace {

const std::string ValidLine =
    R"({"offset_ms":1.5,"expected":["complete"],"job":{"service":"s",)"
    R"("job_id":"1","kind":"k","team":"t","timeout_ms":1000,)"
    R"("tasks":[{"payload":{"work_ms":2}}]},"resubmit_after_ms":1})";

struct FaultCase {
  const char *Old_;
  const char *New_;
  const char *Position_;
};

// Each row replaces one piece of the valid line.
const FaultCase FaultCases[] = {
    {"}]}", "}]", "f:1"},
    {"\"offset_ms\":1.5,", "", "f:1 /offset_ms"},
    {"1.5", "-1", "f:1 /offset_ms"},
    {"1.5", "1e300", "f:1 /offset_ms"},
    {"[\"complete\"]", "[]", "f:1 /expected"},
    {"\"complete\"", "\"done\"", "f:1 /expected"},
    {"\"complete\"", "\"failed:no_such\"", "f:1 /expected"},
    {"\"complete\"", "\"complete:expired\"", "f:1 /expected"},
    {"\"service\":\"s\",", "", "f:1 /job/service"},
    {"\"kind\"", "\"created_at_ms\":1,\"kind\"", "f:1 /job"},
    {"\"work_ms\":2", "\"work_ms\":\"2\"", "f:1 /job/tasks/0/payload/work_ms"},
    {"\"work_ms\":2", "\"other\":2", "f:1 /job/tasks/0/payload/work_ms"},
    {"resubmit_after_ms\":1", "resubmit_after_ms\":{}",
     "f:1 /resubmit_after_ms"},
    {"resubmit_after_ms", "resubmit", "f:1 /resubmit"},
};

std::string replaced(std::string Text, const std::string &Old,
                     const std::string &New) {
  BOOST_REQUIRE(Text.find(Old) != std::string::npos);
  return Text.replace(Text.find(Old), Old.size(), New);
}

TraceFault faultOf(const std::string &Text) {
  std::istringstream Stream(Text);
  TraceFault Why;
  BOOST_TEST(!readTrace(Stream, "f", Why).has_value());
  return Why;
}

struct Run {
  int Code_;
  std::string Out_;
  std::string Err_;
};

Run run(const std::vector<std::string> &Words) {
  std::ostringstream Out;
  std::ostringstream Err;
  const int Code = runCommand(Words, {Out, Err});
  return {Code, Out.str(), Err.str()};
}

Run replayOn(const std::string &Entry, const std::string &Trace) {
  const standins::TemporaryDirectory Directory;
  std::ofstream(Directory.file("trace")) << Trace;
  return run({"replay", "--entry", Entry, Directory.file("trace")});
}

} // namespace

// Guards against a bad line that is skipped or reported at the wrong place.
BOOST_AUTO_TEST_CASE(every_bad_line_is_refused_with_its_position) {
  for (const FaultCase &Case : FaultCases)
    BOOST_TEST_CONTEXT(Case.New_) {
      BOOST_TEST(faultOf(replaced(ValidLine, Case.Old_, Case.New_)).Position_ ==
                 Case.Position_);
    }
  BOOST_TEST(faultOf(ValidLine + "\n" + ValidLine).Position_ ==
             "f:2 /job/job_id");
  BOOST_TEST(
      faultOf(ValidLine + "\n" + replaced(ValidLine, "1.5", "1")).Position_ ==
      "f:2 /offset_ms");
  BOOST_TEST((faultOf("").Code_ == TraceError::Unreadable));
}

// Guards against a generated trace that differs from what replay reads.
BOOST_AUTO_TEST_CASE(generated_trace_survives_a_round_trip) {
  const std::vector<std::string> Words{"generate-trace",
                                       "--duration",
                                       "3",
                                       "--seed",
                                       "7",
                                       "--flood",
                                       "label-lookup:4",
                                       "--flood-start",
                                       "1",
                                       "--resubmit-probability",
                                       "0.5"};
  const Run First = run(Words);
  BOOST_REQUIRE(First.Code_ == 0);
  BOOST_TEST(First.Out_ == run(Words).Out_);
  std::istringstream Stream(First.Out_);
  TraceFault Why;
  const auto Jobs = readTrace(Stream, "f", Why);
  BOOST_REQUIRE_MESSAGE(Jobs.has_value(), Why.Position_ + Why.Message_);
  std::string Again;
  for (const TracedJob &Job : *Jobs)
    Again += encodeTracedJob(Job) + "\n";
  BOOST_TEST(Again == First.Out_);
}

// Guards against committed traces that replay refuses.
BOOST_AUTO_TEST_CASE(example_traces_are_valid) {
  for (const char *Path : {"examples/traces/permit-desk.jsonl",
                           "examples/traces/planting-dispatch-flood.jsonl"}) {
    std::ifstream Stream(Path);
    TraceFault Why;
    BOOST_TEST(readTrace(Stream, Path, Why).has_value(),
               Why.Position_ + ": " + Why.Message_);
  }
}

// Guards against a replay that passes although an answer deviates.
BOOST_AUTO_TEST_CASE(replay_fails_on_any_deviation) {
  standins::FakeEntry Good;
  BOOST_TEST(replayOn(Good.address(), ValidLine).Code_ == 0);
  BOOST_TEST(Good.submissions() >= 1U);
  const Run Unexpected = replayOn(
      Good.address(), replaced(ValidLine, "\"complete\"", "\"not_run\""));
  BOOST_TEST(Unexpected.Code_ == ExitFailed);
  BOOST_TEST(
      Unexpected.Err_.find("job s/1: expected not_run, received complete") !=
      std::string::npos);
  // A complete answer with the results of another job.
  standins::FakeEntry Crossing(
      [](const request::JobSpec &, connection::HttpResponse &Response) {
        const std::size_t At = Response.Body_.find("\"work_ms\":2");
        Response.Body_.replace(At, 11, "\"work_ms\":3");
      });
  BOOST_TEST(replayOn(Crossing.address(), ValidLine).Code_ == ExitFailed);
}

// Guards against expectations that ignore the reason or the missing answer.
BOOST_AUTO_TEST_CASE(expectations_match_outcome_and_reason) {
  standins::FakeEntry Refusing(
      [](const request::JobSpec &, connection::HttpResponse &Response) {
        Response.Status_ = 503;
        Response.Body_ =
            R"({"outcome":"not_run","reason":"queue_full","detail":""})";
      });
  const auto CodeFor = [&](const std::string &Entry, const char *Expected) {
    return replayOn(Entry, replaced(ValidLine, "[\"complete\"]", Expected))
        .Code_;
  };
  const std::string Entry = Refusing.address();
  BOOST_TEST(CodeFor(Entry, "\"not_run\"") == 0);
  BOOST_TEST(CodeFor(Entry, "[\"complete\",\"not_run:queue_full\"]") == 0);
  BOOST_TEST(CodeFor(Entry, "\"not_run:overloaded\"") == ExitFailed);
  BOOST_TEST(CodeFor(Entry, "\"no_answer\"") == ExitFailed);
  BOOST_TEST(CodeFor("127.0.0.1:1", "\"no_answer\"") == 0);
  BOOST_TEST(CodeFor("127.0.0.1:1", "\"complete\"") == ExitFailed);
}
