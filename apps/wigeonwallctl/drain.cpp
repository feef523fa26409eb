#include "wigeonwallctl/admin_client.h"

namespace wigeonwall::ctl {

const char DrainUsage[] =
    R"(Starts the graceful shutdown of a process: it accepts no new work, finishes its
current work and exits.

Usage:
  wigeonwallctl drain [options]
  wigeonwallctl drain --help

Options:
  --admin ADDR  Administration port of the process as IP:PORT (default
                127.0.0.1:7203).
  --json        Print the result as JSON.
  -h --help     Print this text.

Exit codes:
  0 the shutdown has started, 1 the process refused, 2 usage or bad input,
  4 no reply
)";

int runDrain(const Arguments &Args, Console Streams) {
  int Code = ExitComplete;
  if (!sendAdminRequest(Args, Streams, "POST", "/drain", Code))
    return Code;
  if (Args.at("--json").asBool())
    Streams.Out_ << "{\"state\":\"draining\"}\n";
  else
    Streams.Out_
        << "draining; the process exits when its current work is finished\n";
  return ExitComplete;
}

} // namespace wigeonwall::ctl
