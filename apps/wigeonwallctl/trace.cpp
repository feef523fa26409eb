#include "wigeonwallctl/answer_output.h"
#include "wigeonwallctl/span_tree.h"

#include "wigeonwall/request/codec.h"

#include <cstdio>
#include <fstream>
#include <set>

namespace wigeonwall::ctl {

const char TraceUsage[] =
    R"(Prints the hops of one job as a tree with times.

Usage:
  wigeonwallctl trace [options] <file-or-job>...
  wigeonwallctl trace --help

The last word is the job id; the words before it are span files, as written to
the "trace_file" of each process. Name the files of the entries and of all
agents to see every hop.

Options:
  --service NAME  Only the job of this service.
  --json          Print the spans as JSON.
  -h --help       Print this text.

Exit codes:
  0 printed, 1 no span of the job in the files, 2 usage or unreadable file
)";

namespace {

constexpr double MicrosecondsPerMillisecond = 1'000.0;
/// Tags that the heading or the position in the tree already shows.
const std::set<std::string> HiddenTags{"service", "job_id"};

std::string formatMs(std::int64_t Microseconds) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%11.3f",
                static_cast<double>(Microseconds) / MicrosecondsPerMillisecond);
  return Text;
}

void printTree(std::ostream &Out, const std::vector<SpanNode> &Nodes) {
  std::int64_t First = Nodes.front().Span_.StartUs_;
  for (const SpanNode &Node : Nodes)
    First = std::min(First, Node.Span_.StartUs_);
  Out << "   start ms   length ms  hop (process)\n";
  for (const SpanNode &Node : Nodes) {
    const process::SpanRecord &Span = Node.Span_;
    Out << formatMs(Span.StartUs_ - First) << " " << formatMs(Span.DurationUs_)
        << "  " << std::string(2 * Node.Depth_, ' ') << Span.Name_ << " ("
        << Span.Process_ << ")";
    for (const std::string &Name : Span.Tags_.getMemberNames())
      if (HiddenTags.count(Name) == 0)
        Out << " " << Name << "=" << Span.Tags_[Name].asString();
    Out << "\n";
  }
}

void printJson(std::ostream &Out, const std::vector<SpanNode> &Nodes) {
  Json::Value All(Json::arrayValue);
  for (const SpanNode &Node : Nodes) {
    Json::Value Each = process::encodeSpan(Node.Span_);
    Each["depth"] = Node.Depth_;
    All.append(std::move(Each));
  }
  Json::Value Value;
  Value["spans"] = std::move(All);
  Out << request::writeJson(Value) << "\n";
}

/// False after an error was reported.
bool readFiles(Console Streams, const std::vector<std::string> &Files,
               const SpanFilter &Filter, SpanSet &Found) {
  for (const std::string &File : Files) {
    std::ifstream Stream(File);
    if (!Stream) {
      reportError(Streams, "cannot read " + File,
                  "name the trace_file of a process's settings");
      return false;
    }
    Found.read(Stream, Filter);
  }
  if (Found.BadLines_ != 0)
    Streams.Err_ << "wigeonwallctl: skipped " << Found.BadLines_
                 << " lines that are no spans\n";
  return true;
}

} // namespace

int runTrace(const Arguments &Args, Console Streams) {
  OptionFault Why;
  OptionReader Reader(Args, Why);
  std::vector<std::string> Files;
  SpanFilter Filter;
  Reader.strings("<file-or-job>", Files);
  Reader.string("--service", Filter.Service_);
  if (Files.size() < 2)
    Reader.fail("<file-or-job>", "expected at least one file and a job id");
  if (!Reader.finish())
    return reportBadOption(Streams, Why);
  Filter.JobId_ = Files.back();
  Files.pop_back();
  SpanSet Found;
  if (!readFiles(Streams, Files, Filter, Found))
    return ExitUsage;
  if (Found.Spans_.empty()) {
    reportError(Streams, "no span of job \"" + Filter.JobId_ + "\"",
                "check the job id, and name the files of the entry and of all "
                "agents; a process without trace_file writes no spans");
    return ExitFailed;
  }
  const auto Nodes = orderSpans(std::move(Found.Spans_));
  if (Reader.flag("--json"))
    printJson(Streams.Out_, Nodes);
  else
    printTree(Streams.Out_, Nodes);
  return ExitComplete;
}

} // namespace wigeonwall::ctl
