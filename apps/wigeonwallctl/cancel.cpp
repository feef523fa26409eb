#include "wigeonwallctl/answer_output.h"

namespace wigeonwall::ctl {

const char CancelUsage[] =
    R"(Cancels a job: queued tasks do not start, running tasks are stopped
if the platform supports it.

Usage:
  wigeonwallctl cancel [options] [--entry ADDR]... <service> <job-id>
  wigeonwallctl cancel --help

Options:
  --entry ADDR  Entry as IP:PORT; repeat it to give fallbacks, tried in
                order (default 127.0.0.1:7100).
  --json        Print the answer as JSON.
  -h --help     Print this text.

Exit codes:
  0 cancelled, or the job is being cancelled; 1 the job had ended
  with another outcome; 2 usage or bad input; 3 not_run; 4 no answer (unknown
  job or no entry replied)
)";

namespace {

constexpr std::chrono::milliseconds ReplyTimeout{5'000};

} // namespace

int runCancel(const Arguments &Args, Console Streams) {
  OptionFault Fault;
  OptionReader Reader(Args, Fault);
  std::vector<connection::Endpoint> Entries;
  request::JobKey Key;
  Reader.entries("--entry", Entries);
  Reader.identifier("<service>", Key.Service_);
  Reader.identifier("<job-id>", Key.Id_);
  if (!Reader.finish())
    return reportBadOption(Streams, Fault);
  const CallerReply Reply =
      sendToEntries(Entries, Key, makeCancelRequest(Key), ReplyTimeout);
  const bool AsJson = Reader.flag("--json");
  const bool Cancelled = Reply.Kind_ == ReplyKind::Running ||
                         (Reply.Kind_ == ReplyKind::Failed &&
                          Reply.Answer_.Reason_ == request::Reason::Cancelled);
  if (Cancelled) {
    printAnswer(Streams, AsJson, Key, Reply);
    return ExitComplete;
  }
  const int Code = printReply(Streams, AsJson, Key, Reply);
  return Reply.Kind_ == ReplyKind::Complete ? ExitFailed : Code;
}

} // namespace wigeonwall::ctl
