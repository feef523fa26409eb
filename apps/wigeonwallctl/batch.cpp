#include "wigeonwallctl/admin_client.h"
#include "wigeonwallctl/answer_output.h"

#include "wigeonwall/request/codec.h"

#include <fstream>
#include <sstream>

namespace wigeonwall::ctl {

const char BatchUsage[] =
    R"(Submits the jobs of a file in one request and prints their answers.

Usage:
  wigeonwallctl batch [options] [--entry ADDR]... <file>
  wigeonwallctl batch --help

The file holds {"jobs": [...]} with 1 to 100 jobs, as in docs/caller-api.md.
Repeat the command with the same file to query the jobs again: running jobs are
not started again, and finished jobs return their answer.

Options:
  --entry ADDR  Entry as IP:PORT; repeat it to give fallbacks, tried in
                order (default 127.0.0.1:7100).
  --wait-ms N   Longest wait for the answers [default: 30000].
  --json        Print the reply as JSON.
  -h --help     Print this text.

Exit codes:
  0 every job complete, 1 at least one job has another answer or none yet,
  2 usage or bad input, 4 no entry replied
)";

namespace {

constexpr std::int64_t MaxWaitMs = 600'000;
constexpr std::chrono::milliseconds TransportMargin{2'000};

std::string stringField(const Json::Value &Object, const char *Name) {
  return Object.isObject() && Object[Name].isString() ? Object[Name].asString()
                                                      : std::string();
}

/// Prints one row per job and returns the number of complete jobs.
std::size_t printAnswers(std::ostream &Out, const Json::Value &Answers) {
  std::size_t Complete = 0;
  for (Json::ArrayIndex I = 0; I < Answers.size(); ++I) {
    const Json::Value &Answer = Answers[I];
    const std::string Outcome = stringField(Answer, "outcome");
    Complete += Outcome == "complete" ? 1 : 0;
    Out << I << "  " << stringField(Answer, "service") << "/"
        << stringField(Answer, "job_id") << "  " << Outcome
        << stringField(Answer, "state");
    if (Outcome == "complete")
      Out << "  " << Answer["results"].size() << " results";
    else
      for (const char *Field : {"reason", "detail", "error", "position"})
        if (const std::string Text = stringField(Answer, Field); !Text.empty())
          Out << "  " << Text;
    Out << "\n";
  }
  return Complete;
}

/// Tries the entries in order until one replies with a status other than 429 or
/// 503. Retrying is safe because a batch may be repeated with the same content.
connection::HttpResult
sendBatch(const std::vector<connection::Endpoint> &Entries,
          const std::string &Body, std::chrono::milliseconds Wait) {
  connection::HttpResult LastResult;
  for (const connection::Endpoint &Entry : Entries) {
    LastResult =
        sendRequest(Entry,
                    {"POST",
                     "/v1/batches?wait_ms=" + std::to_string(Wait.count()),
                     {{"content-type", "application/json"}},
                     Body},
                    Wait + TransportMargin);
    const int Status = LastResult.Response_.Status_;
    if (LastResult.Error_ == connection::TransportError::None &&
        Status != 503 && Status != 429)
      break;
  }
  return LastResult;
}

int printBatch(Console Streams, bool AsJson,
               const connection::HttpResponse &Response) {
  request::CodecFault Fault;
  const auto Body = request::parseJson(Response.Body_, Fault);
  if (Response.Status_ != 200 || !Body || !Body->isObject() ||
      !(*Body)["answers"].isArray()) {
    const bool Malformed = Response.Status_ == 400 || Response.Status_ == 413;
    reportError(Streams,
                "the entry replied with HTTP status " +
                    std::to_string(Response.Status_) + ": " + Response.Body_,
                Malformed ? "correct the file; see docs/caller-api.md"
                          : "resubmit the same file, or use another --entry");
    return Malformed ? ExitUsage : ExitNoAnswer;
  }
  const Json::Value &Answers = (*Body)["answers"];
  std::ostringstream Rows;
  const std::size_t Complete = printAnswers(Rows, Answers);
  Streams.Out_ << (AsJson ? request::writeJson(*Body) + "\n" : Rows.str());
  if (Complete == Answers.size())
    return ExitComplete;
  reportError(Streams,
              std::to_string(Answers.size() - Complete) + " of " +
                  std::to_string(Answers.size()) + " jobs are not complete",
              "resubmit the file to query running jobs; a job that is not_run "
              "needs a new job id");
  return ExitFailed;
}

} // namespace

int runBatch(const Arguments &Args, Console Streams) {
  OptionFault Fault;
  OptionReader Reader(Args, Fault);
  std::vector<connection::Endpoint> Entries;
  std::chrono::milliseconds Wait{0};
  std::string Path;
  Reader.entries("--entry", Entries);
  Reader.milliseconds("--wait-ms", 0, MaxWaitMs, Wait);
  Reader.string("<file>", Path);
  std::ifstream Input(Path);
  std::ostringstream Text;
  if (!Input || !(Text << Input.rdbuf()))
    Reader.fail("<file>", "\"" + Path + "\" cannot be read or is empty");
  if (!Reader.finish())
    return reportBadOption(Streams, Fault);
  const connection::HttpResult Result = sendBatch(Entries, Text.str(), Wait);
  if (Result.Error_ != connection::TransportError::None) {
    reportError(Streams, "no entry replied: " + Result.Detail_,
                "resubmit the same file, or use another --entry");
    return ExitNoAnswer;
  }
  return printBatch(Streams, Reader.flag("--json"), Result.Response_);
}

} // namespace wigeonwall::ctl
