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
Repeat the command with the same file to ask again: running jobs are joined and
ended ones return their answer.

Options:
  --entry ADDR  Entry as IP:PORT; repeat it to name others that are tried in
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

std::string textOf(const Json::Value &Object, const char *Name) {
  return Object.isObject() && Object[Name].isString() ? Object[Name].asString()
                                                      : std::string();
}

/// Prints one row per job; returns the number of complete ones.
std::size_t printAnswers(std::ostream &Out, const Json::Value &Answers) {
  std::size_t Complete = 0;
  for (Json::ArrayIndex I = 0; I < Answers.size(); ++I) {
    const Json::Value &Each = Answers[I];
    const std::string Outcome = textOf(Each, "outcome");
    Complete += Outcome == "complete" ? 1 : 0;
    Out << I << "  " << textOf(Each, "service") << "/" << textOf(Each, "job_id")
        << "  " << Outcome << textOf(Each, "state");
    if (Outcome == "complete")
      Out << "  " << Each["results"].size() << " results";
    else
      for (const char *Field : {"reason", "detail", "error", "position"})
        if (const std::string Text = textOf(Each, Field); !Text.empty())
          Out << "  " << Text;
    Out << "\n";
  }
  return Complete;
}

/// Asks the entries in order until one replies with something other than its
/// own refusal; a batch may be repeated with the same content.
connection::HttpResult
sendBatch(const std::vector<connection::Endpoint> &Entries,
          const std::string &Body, std::chrono::milliseconds Wait) {
  connection::HttpResult Last;
  for (const connection::Endpoint &Entry : Entries) {
    Last = exchange(Entry,
                    {"POST",
                     "/v1/batches?wait_ms=" + std::to_string(Wait.count()),
                     {{"content-type", "application/json"}},
                     Body},
                    Wait + TransportMargin);
    const int Status = Last.Response_.Status_;
    if (Last.Error_ == connection::TransportError::None && Status != 503 &&
        Status != 429)
      break;
  }
  return Last;
}

int printBatch(Console Streams, bool AsJson,
               const connection::HttpResponse &Response) {
  request::CodecFault Why;
  const auto Body = request::parseJson(Response.Body_, Why);
  if (Response.Status_ != 200 || !Body || !Body->isObject() ||
      !(*Body)["answers"].isArray()) {
    const bool Malformed = Response.Status_ == 400 || Response.Status_ == 413;
    reportError(Streams,
                "the entry answered " + std::to_string(Response.Status_) +
                    ": " + Response.Body_,
                Malformed ? "correct the file; see docs/caller-api.md"
                          : "repeat the same file, or name another --entry");
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
              "repeat the file for running jobs; a job that is not_run needs a "
              "new job id");
  return ExitFailed;
}

} // namespace

int runBatch(const Arguments &Args, Console Streams) {
  OptionFault Why;
  OptionReader Reader(Args, Why);
  std::vector<connection::Endpoint> Entries;
  std::chrono::milliseconds Wait{0};
  std::string File;
  Reader.entries("--entry", Entries);
  Reader.milliseconds("--wait-ms", 0, MaxWaitMs, Wait);
  Reader.string("<file>", File);
  std::ifstream Stream(File);
  std::ostringstream Text;
  if (!Stream || !(Text << Stream.rdbuf()))
    Reader.fail("<file>", "\"" + File + "\" cannot be read or is empty");
  if (!Reader.finish())
    return reportBadOption(Streams, Why);
  const connection::HttpResult Result = sendBatch(Entries, Text.str(), Wait);
  if (Result.Error_ != connection::TransportError::None) {
    reportError(Streams, "no entry replied: " + Result.Detail_,
                "repeat the same file, or name another --entry");
    return ExitNoAnswer;
  }
  return printBatch(Streams, Reader.flag("--json"), Result.Response_);
}

} // namespace wigeonwall::ctl
