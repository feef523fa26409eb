#include "wigeonwallctl/answer_output.h"

namespace wigeonwall::ctl {

const char StatusUsage[] =
    R"(Prints the state or the answer of a job.

Usage:
  wigeonwallctl status [options] [--entry ADDR]... <service> <job-id>
  wigeonwallctl status --help

Options:
  --entry ADDR  Entry as IP:PORT; repeat it to give fallbacks, tried in
                order (default 127.0.0.1:7100).
  --wait-ms N   Longest wait for the answer [default: 0].
  --json        Print the answer as JSON.
  -h --help     Print this text.

Exit codes:
  0 complete, 1 failed answer, 2 usage or bad input, 3 not_run,
  4 no answer (running, unknown job or no entry replied)
)";

namespace {

constexpr std::int64_t MaxWaitMs = 600'000;
constexpr std::chrono::milliseconds TransportMargin{2'000};

} // namespace

int runStatus(const Arguments &Args, Console Streams) {
  OptionFault Fault;
  OptionReader Reader(Args, Fault);
  std::vector<connection::Endpoint> Entries;
  request::JobKey Key;
  std::chrono::milliseconds Wait{0};
  Reader.entries("--entry", Entries);
  Reader.identifier("<service>", Key.Service_);
  Reader.identifier("<job-id>", Key.Id_);
  Reader.milliseconds("--wait-ms", 0, MaxWaitMs, Wait);
  if (!Reader.finish())
    return reportBadOption(Streams, Fault);
  return printReply(Streams, Reader.flag("--json"), Key,
                    sendToEntries(Entries, Key, makeStatusRequest(Key, Wait),
                                  Wait + TransportMargin));
}

} // namespace wigeonwall::ctl
