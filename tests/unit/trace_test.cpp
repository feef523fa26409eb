/// \file
/// \brief Guards against spans that are missing, have the wrong parent or lose
/// the caller's context, with the real entry, home and gateway.
#include "wigeonwallctl/command.h"

#include "standins/job_cluster.h"
#include "standins/temporary_directory.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace wigeonwall;
using standins::JobCluster;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char *CallerParent =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

struct CommandResult {
  int ExitCode_ = 0;
  Json::Value Spans_;
  std::string ErrorText_;
};

CommandResult printTrace(const std::string &File, const std::string &Job) {
  std::ostringstream Out;
  std::ostringstream Err;
  CommandResult Result;
  Result.ExitCode_ =
      ctl::runCommand({"trace", "--json", File, Job}, {Out, Err});
  request::CodecFault Why;
  if (const auto Value = request::parseJson(Out.str(), Why))
    Result.Spans_ = (*Value)["spans"];
  Result.ErrorText_ = Err.str();
  return Result;
}

std::string formatTree(const Json::Value &Spans) {
  std::string Text;
  for (const Json::Value &Span : Spans)
    Text +=
        std::string(Span["depth"].asUInt(), ' ') + Span["name"].asString() +
        (Span["tags"].isMember("task") ? " " + Span["tags"]["task"].asString()
                                       : "") +
        " " + Span["tags"]["result"].asString() +
        Span["tags"]["outcome"].asString() + "\n";
  return Text;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_job_has_one_span_tree_with_every_stage) {
  const standins::TemporaryDirectory Files;
  {
    JobCluster Cluster({.TraceFile_ = Files.file("spans")});
    Cluster.submit("e0", Cluster.job("j", 2, 100), CallerParent);
    Cluster.submit("e1", Cluster.job("other", 1, 100));
    Cluster.time().advance(seconds(2));
  }
  const CommandResult Found = printTrace(Files.file("spans"), "j");
  BOOST_TEST(Found.ExitCode_ == 0);
  const auto Task = [](const std::string &Index) {
    return "  home.dispatch " + Index + " none\n" + "   agent.queue " + Index +
           " started\n" + "   agent.run " + Index + " none\n" +
           "    minion.call " + Index + " none\n";
  };
  BOOST_TEST(formatTree(Found.Spans_) ==
             "entry.job complete\n home.job complete\n" + Task("0") +
                 Task("1"));
  for (const Json::Value &Span : Found.Spans_)
    BOOST_TEST(Span["trace"].asString() == "4bf92f3577b34da6a3ce929d0e0e4736");
  BOOST_REQUIRE(!Found.Spans_.empty());
  BOOST_TEST(Found.Spans_[0]["parent"].asString() == "00f067aa0ba902b7");
  // Each span that encloses the task lasts at least its 100 ms.
  for (const Json::Value &Span : Found.Spans_)
    if (Span["name"].asString() != "agent.queue")
      BOOST_TEST(Span["duration_us"].asInt64() >= 100'000);
}

BOOST_AUTO_TEST_CASE(cancelling_a_job_closes_its_spans) {
  const standins::TemporaryDirectory Files;
  {
    JobCluster Cluster(
        {.Agents_ = 1, .Slots_ = 1, .TraceFile_ = Files.file("spans")});
    const auto Spec = Cluster.job("j", 2, 1'000);
    Cluster.submit("e0", Spec);
    Cluster.time().advance(milliseconds(100));
    Cluster.cancel("e0", Spec.Key_);
    Cluster.time().advance(seconds(2));
  }
  const std::string Tree =
      formatTree(printTrace(Files.file("spans"), "j").Spans_);
  BOOST_TEST(Tree.find(" home.job failed\n") != std::string::npos);
  BOOST_TEST(Tree.find("home.dispatch 0 job_ended\n") != std::string::npos);
  BOOST_TEST(Tree.find("agent.queue 1 cancelled\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(only_a_valid_context_is_continued) {
  BOOST_TEST(process::parseTraceContext(CallerParent).has_value());
  const std::string Valid = CallerParent;
  for (const std::string &Bad :
       {std::string(), Valid + "0", "01" + Valid.substr(2),
        "00-" + std::string(32, '0') + Valid.substr(35),
        Valid.substr(0, 36) + std::string(16, '0') + "-01",
        "00-4BF9" + Valid.substr(7),
        Valid.substr(0, 35) + "_" + Valid.substr(36)})
    BOOST_TEST(!process::parseTraceContext(Bad).has_value(), Bad);
}

BOOST_AUTO_TEST_CASE(a_missing_file_or_job_is_an_error_with_a_hint) {
  const standins::TemporaryDirectory Files;
  std::ofstream(Files.file("cut")) << "{\"trace\":\"4b";
  const CommandResult NoJob = printTrace(Files.file("cut"), "j");
  BOOST_TEST(NoJob.ExitCode_ == 1);
  BOOST_TEST(NoJob.ErrorText_.find("skipped 1 lines") != std::string::npos);
  BOOST_TEST(NoJob.ErrorText_.find("next:") != std::string::npos);
  BOOST_TEST(printTrace(Files.file("absent"), "j").ExitCode_ == 2);
}
