#include "wigeonwallctl/answer_output.h"
#include "wigeonwallctl/trace_file.h"
#include "wigeonwallctl/workload_options.h"

namespace wigeonwall::ctl {

const char GenerateTraceUsage[] =
    R"(Writes a trace for "wigeonwallctl replay" to standard output.

Usage:
  wigeonwallctl generate-trace [options]
  wigeonwallctl generate-trace --help

Options:
  --profile NAME    permit-desk or planting-dispatch [default: permit-desk].
  --rate JOBS       Jobs per second without the flood [default: 10].
  --duration S      Seconds in which jobs are sent [default: 10].
  --seed N          Same options and seed, same trace [default: 1].
  --timeout-ms N    Timeout of each job [default: 10000].
  --resubmit-probability P  Share of the jobs that are sent again through
                    another entry after 5 to 200 ms [default: 0].
  --flood KIND:FACTOR  Multiplies the rate of one kind.
  --flood-start S   Start of the flood [default: 0].
  --flood-duration S  Length of the flood (default: to the end).
  -h --help         Print this text.

Every job is expected to complete. From the start of a flood on, jobs of the
flooding kind may also be refused early (not_run with reason overloaded,
queue_full, quota_exceeded or deadline_unreachable).

Exit codes:
  0 written, 1 the output cannot be written, 2 usage or bad input
)";

namespace {

std::vector<std::string> expectedOutcomes(const PlannedJob &Job,
                                          const std::optional<Flood> &Flooded) {
  if (!Flooded || Job.Kind_ != Flooded->Kind_ || Job.Offset_ < Flooded->Start_)
    return {"complete"};
  return {"complete", "not_run:overloaded", "not_run:queue_full",
          "not_run:quota_exceeded", "not_run:deadline_unreachable"};
}

} // namespace

int runGenerateTrace(const Arguments &Args, Console Streams) {
  OptionFault Why;
  OptionReader Reader(Args, Why);
  WorkloadOptions Options;
  readWorkload(Reader, Options);
  if (!Reader.finish())
    return reportBadOption(Streams, Why);
  ArrivalGenerator Arrivals(*Options.Profile_, Options.Arrivals_);
  while (auto Job = Arrivals.next()) {
    auto Expected = expectedOutcomes(*Job, Options.Arrivals_.Flood_);
    Streams.Out_ << encodeTracedJob({std::move(*Job), std::move(Expected)})
                 << "\n";
  }
  if (Streams.Out_.flush())
    return ExitComplete;
  reportError(Streams, "the trace could not be written",
              "check the free disk space and run again");
  return ExitFailed;
}

} // namespace wigeonwall::ctl
