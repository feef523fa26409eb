/// \file
/// \brief Commands for callers: exit codes and output for each reply.
#include "wigeonwallctl/caller_api.h"
#include "wigeonwallctl/command.h"

#include "standins/fake_entry.h"
#include "standins/temporary_directory.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace wigeonwall;
using namespace wigeonwall::ctl;

namespace {

struct Run {
  int Code_ = 0;
  std::string Out_;
  std::string Err_;
};

Run run(const std::vector<std::string> &Words) {
  std::ostringstream Out;
  std::ostringstream Err;
  const int Code = runCommand(Words, {Out, Err});
  return {Code, Out.str(), Err.str()};
}

std::vector<std::string> submitWords(const std::string &Entry) {
  return {"submit",
          "--entry",
          Entry,
          "--service",
          "permit-desk",
          "--kind",
          "k",
          "--team",
          "t",
          "--payload",
          "{\"work_ms\":1}",
          "--payload",
          "{\"work_ms\":2}",
          "--job-id",
          "j-1",
          "--wait-ms",
          "300"};
}

struct ReplyCase {
  int Status_;
  const char *Body_;
  ReplyKind Kind_;
};

const ReplyCase ReplyCases[] = {
    {200, R"({"service":"s","job_id":"j","outcome":"complete","results":[1]})",
     ReplyKind::Complete},
    {200, R"({"service":"s","job_id":"k","outcome":"complete","results":[1]})",
     ReplyKind::Invalid},
    {200, R"({"outcome":"complete","results":[1]})", ReplyKind::Invalid},
    {502, R"({"service":"s","job_id":"j","outcome":"complete","results":[1]})",
     ReplyKind::Invalid},
    {200, "{}", ReplyKind::Invalid},
    {200, "[", ReplyKind::Invalid},
    {503, R"({"outcome":"not_run","reason":"overloaded","detail":""})",
     ReplyKind::NotRun},
    {503, R"({"error":"not ready"})", ReplyKind::Refused},
    {429, R"({"error":"too many connections"})", ReplyKind::Refused},
    {200, R"({"outcome":"not_run","reason":"overloaded","detail":""})",
     ReplyKind::Invalid},
    {502, R"({"outcome":"failed","reason":"task_failed","detail":"3"})",
     ReplyKind::Failed},
    {502, R"({"outcome":"failed","reason":"no_such","detail":""})",
     ReplyKind::Invalid},
    {504, R"({"outcome":"failed","reason":"deadline_exceeded","detail":""})",
     ReplyKind::Failed},
    {502, R"({"outcome":"failed","reason":"deadline_exceeded","detail":""})",
     ReplyKind::Invalid},
    {409, R"({"outcome":"failed","reason":"conflict","detail":""})",
     ReplyKind::Failed},
    {409, R"({"error":"other content"})", ReplyKind::Failed},
    {202, R"({"state":"running"})", ReplyKind::Running},
    {404, R"({"state":"unknown"})", ReplyKind::UnknownJob},
    {400, R"({"error":"wrong type","position":"/kind"})", ReplyKind::Malformed},
    {413, "request body too large\n", ReplyKind::Malformed},
};

} // namespace

// Guards against a refusal without outcome that is taken for not_run, and
// against answers whose status and outcome contradict each other.
BOOST_AUTO_TEST_CASE(replies_are_classified_by_status_and_outcome) {
  for (const ReplyCase &Case : ReplyCases) {
    connection::HttpResult Result;
    Result.Response_.Status_ = Case.Status_;
    Result.Response_.Body_ = Case.Body_;
    const CallerReply Reply = classifyReply({"s", "j"}, Result);
    BOOST_TEST_CONTEXT(Case.Status_ << " " << Case.Body_) {
      BOOST_TEST(request::findName(ReplyKindNames, Reply.Kind_) ==
                 request::findName(ReplyKindNames, Case.Kind_));
    }
  }
}

// Guards against options that do not reach the job, and against results
// printed under the wrong index.
BOOST_AUTO_TEST_CASE(submit_prints_one_line_per_result) {
  standins::FakeEntry Entry;
  const Run Result = run(submitWords(Entry.address()));
  BOOST_TEST(Result.Code_ == ExitComplete);
  BOOST_TEST(Result.Err_ == "");
  BOOST_TEST(Result.Out_ ==
             "job      permit-desk/j-1\n"
             "outcome  complete\n"
             "results  2\n"
             "  0  {\"job\":\"j-1\",\"task\":0,\"work_ms\":1}\n"
             "  1  {\"job\":\"j-1\",\"task\":1,\"work_ms\":2}\n");
}

// Guards against an exit code that hides how the job ended.
BOOST_AUTO_TEST_CASE(exit_code_follows_the_answer) {
  const auto CodeFor = [](int Status, const std::string &Body) {
    standins::FakeEntry Entry([&](auto &, connection::HttpResponse &Response) {
      Response.Status_ = Status;
      Response.Body_ = Body;
    });
    return run(submitWords(Entry.address())).Code_;
  };
  BOOST_TEST(CodeFor(502, R"({"outcome":"failed","reason":"task_failed",
    "detail":""})") == ExitFailed);
  BOOST_TEST(CodeFor(503, R"({"outcome":"not_run","reason":"queue_full",
    "detail":""})") == ExitNotRun);
  BOOST_TEST(CodeFor(400, R"({"error":"e","position":"/kind"})") == ExitUsage);
  BOOST_TEST(CodeFor(503, R"({"error":"not ready"})") == ExitNoAnswer);
  BOOST_TEST(CodeFor(202, R"({"state":"running"})") == ExitNoAnswer);
}

// Guards against giving up while another entry could answer.
BOOST_AUTO_TEST_CASE(submit_goes_on_with_the_next_entry) {
  standins::FakeEntry Entry;
  auto Words = submitWords("127.0.0.1:1");
  Words.insert(Words.end(), {"--entry", Entry.address(), "--json"});
  const Run Result = run(Words);
  BOOST_TEST(Result.Code_ == ExitComplete);
  BOOST_TEST(Result.Out_.find("\"outcome\":\"complete\"") != std::string::npos);
  BOOST_TEST(Entry.submissions() == 1U);
}

// Guards against a job file that is changed or refused on its way.
BOOST_AUTO_TEST_CASE(submit_reads_a_job_file) {
  const standins::TemporaryDirectory Directory;
  standins::FakeEntry Entry;
  std::ofstream(Directory.file("job")) << R"({"service":"s","kind":"k",
    "team":"t","timeout_ms":500,"tasks":[{"payload":{"work_ms":1}}]})";
  BOOST_TEST(run({"submit", "--entry", Entry.address(), "--file",
                  Directory.file("job")})
                 .Code_ == ExitComplete);
  std::ofstream(Directory.file("job")) << R"({"service":"s","kind":7})";
  const Run Bad = run({"submit", "--file", Directory.file("job")});
  BOOST_TEST(Bad.Code_ == ExitUsage);
  BOOST_TEST(Bad.Err_.find("/kind: expected a string") != std::string::npos);
}

// Guards against status and cancel mixing up "unknown" and "cancelled".
BOOST_AUTO_TEST_CASE(status_and_cancel_report_the_state) {
  standins::FakeEntry Entry;
  const Run Status = run({"status", "--entry", Entry.address(), "s", "j"});
  BOOST_TEST(Status.Code_ == ExitNoAnswer);
  BOOST_TEST(Status.Out_ == "job      s/j\nstate    unknown\n");
  BOOST_TEST(Status.Err_.find("next: ") != std::string::npos);
  const Run Cancel = run({"cancel", "--entry", Entry.address(), "s", "j"});
  BOOST_TEST(Cancel.Code_ == 0);
  BOOST_TEST(Cancel.Err_ == "");
}

// Guards against bad input that is sent to an entry or ends in a crash.
BOOST_AUTO_TEST_CASE(bad_input_is_a_usage_error) {
  const std::vector<std::vector<std::string>> Cases{
      {},
      {"no-such-command"},
      {"status"},
      {"status", "s"},
      {"status", "a/b", "j"},
      {"status", "--entry", "localhost:1", "s", "j"},
      {"status", "--wait-ms", "-1", "s", "j"},
      {"status", "--wait-ms", "1e3", "s", "j"},
      {"submit", "--file", "no/such/file"},
      {"submit", "--service", "s", "--kind", "k", "--team", "t", "--payload",
       "{"},
  };
  for (const auto &Words : Cases) {
    const Run Result = run(Words);
    BOOST_TEST(Result.Code_ == ExitUsage);
    BOOST_TEST(Result.Out_ == "");
    BOOST_TEST(!Result.Err_.empty());
  }
  for (const Command &Each : commands())
    BOOST_TEST(run({Each.Name_, "--help"}).Out_ == Each.Usage_);
}
