#include "wigeonwallctl/answer_output.h"
#include "wigeonwallctl/load_stats.h"
#include "wigeonwallctl/run_options.h"
#include "wigeonwallctl/workload_options.h"

#include <optional>

namespace wigeonwall::ctl {

const char LoadUsage[] =
    R"(Sends jobs at random times that do not depend on the answers, and measures
each answer from the intended time of its submission. With --in-flight a new
job is sent whenever one has ended.

Usage:
  wigeonwallctl load [options] [--entry ADDR]... --rate JOBS [--slots N]
  wigeonwallctl load [options] [--entry ADDR]... --load SHARE --slots N
  wigeonwallctl load [options] [--entry ADDR]... --in-flight JOBS [--slots N]
  wigeonwallctl load --help

Options:
  --entry ADDR      Entry as IP:PORT; repeat it to spread the jobs
                    (default 127.0.0.1:7100).
  --profile NAME    permit-desk, planting-dispatch, empty-task or empty-tasks
                    [default: permit-desk].
  --rate JOBS       Jobs per second without the flood.
  --load SHARE      Work as a share of all slots, such as 0.7.
  --in-flight JOBS  Jobs in flight at all times, without planned times.
  --slots N         Slots of all agents of the service.
  --duration S      Seconds in which jobs are sent [default: 10].
  --seed N          Same seed, same jobs and times [default: 1].
  --timeout-ms N    Timeout of each job [default: 10000].
  --resubmit-probability P  Share of the jobs that are sent again through
                    another entry after 5 to 200 ms without an answer
                    [default: 0].
  --flood KIND:FACTOR  Multiplies the rate of one kind.
  --flood-start S   Start of the flood [default: 0].
  --flood-duration S  Length of the flood (default: to the end).
  --client-delay-ms N  One-way delay to clients, added by this tool
                    [default: 3].
  --connections N   Most connections per entry [default: 1000].
  --json FILE       Write the figures as JSON to a file as well.
  --not-run FILE    Write "SERVICE JOB" of each job that was answered not_run,
                    to compare with the starts that minions saw.
  -h --help         Print this text.

The profiles empty-task and empty-tasks send jobs of 1 and of 170 tasks without
work as setback-check of permit-desk, to measure the system's own cost.

Kinds: setback-check, fire-clearance-review, label-lookup (permit-desk);
clearance-check, stake-layout, permit-confirmation (planting-dispatch).

The response ratio is the answer time over the client round trip and the
longest task. A job is contradicted when a resubmission got an answer that
excludes the first.

Exit codes:
  0 all answers whole, 1 a crossed, partial, contradicted or invalid answer,
  2 usage or bad input, 4 no job got an answer
)";

namespace {

double toSeconds(std::chrono::nanoseconds Value) {
  return std::chrono::duration<double>(Value).count();
}

/// A closed loop ignores the generated arrival times and takes the next job
/// when one ends; this rate only has to exceed any throughput that can be
/// reached, so that the generator does not run out of jobs.
constexpr double ClosedLoopJobsPerSecond = 1e6;
constexpr std::int64_t MaxInFlight = 100'000;

void readInFlight(OptionReader &Reader, WorkloadOptions &Options,
                  LoadRunOptions &Out) {
  std::int64_t Jobs = 0;
  Reader.integer("--in-flight", 1, MaxInFlight, Jobs);
  if (Jobs == 0)
    return;
  if (Options.Arrivals_.Flood_)
    return Reader.fail("--flood", "needs --rate or --load");
  Options.Arrivals_.JobsPerSecond_ = ClosedLoopJobsPerSecond;
  Out.InFlight_ = static_cast<std::size_t>(Jobs);
  Out.Duration_ = Options.Arrivals_.Duration_;
}

void describeLoad(Console Streams, const WorkloadOptions &Options,
                  std::size_t InFlight) {
  Streams.Err_ << "profile " << Options.ProfileName_ << ", ";
  if (InFlight != 0)
    Streams.Err_ << InFlight << " jobs in flight";
  else
    Streams.Err_ << Options.Arrivals_.JobsPerSecond_ << " jobs/s";
  Streams.Err_ << ", seed " << Options.Arrivals_.Seed_;
  if (Options.Slots_ != 0 && InFlight == 0)
    Streams.Err_ << ", offered load " << offeredLoad(Options, false)
                 << " of the slots";
  if (Options.Slots_ != 0 && Options.Arrivals_.Flood_)
    Streams.Err_ << ", during the flood " << offeredLoad(Options, true);
  Streams.Err_ << "\n";
}

/// \brief Statistics of the whole run and of the jobs sent during the flood.
struct RunStats {
  explicit RunStats(std::chrono::milliseconds ClientDelay)
      : All_(ClientDelay), InFlood_(ClientDelay) {}

  void record(const PlannedJob &Job, const JobOutcome &Outcome,
              const std::optional<Flood> &Flooded) {
    All_.record(Job, Outcome);
    Timeline_.record(Job, Outcome);
    if (Flooded && Flooded->covers(Job.Offset_))
      InFlood_.record(Job, Outcome);
  }

  LoadStats All_;
  LoadStats InFlood_;
  Timeline Timeline_;
};

Json::Value encodeStats(const WorkloadOptions &Options, const RunOptions &Run,
                        const RunStats &Stats, const LoadProgress &Progress) {
  const ArrivalOptions &Arrivals = Options.Arrivals_;
  const double Seconds = toSeconds(Arrivals.Duration_);
  Json::Value Value = Stats.All_.toJson(Seconds);
  Value["profile"] = Options.ProfileName_;
  Value["seed"] = Json::UInt64(Arrivals.Seed_);
  if (Run.Load_.InFlight_ != 0)
    Value["in_flight"] = Json::UInt64(Run.Load_.InFlight_);
  else
    Value["jobs_per_s"] = Arrivals.JobsPerSecond_;
  Value["duration_s"] = Seconds;
  Value["client_delay_ms"] = Json::Int64(Run.Load_.ClientDelay_.count());
  Value["max_send_lag_ms"] = toSeconds(Progress.MaxSendLag_) * 1e3;
  Value["timeline"] = Stats.Timeline_.toJson();
  if (Options.Slots_ != 0 && Run.Load_.InFlight_ == 0) {
    Value["offered_load"] = offeredLoad(Options, false);
    for (const KindProfile &Kind : Options.Profile_->Kinds_)
      Value["kinds"][Kind.Name_]["offered_load"] = offeredLoad(Options, Kind);
  }
  if (!Arrivals.Flood_)
    return Value;
  Value["flood"] = Stats.InFlood_.toJson(toSeconds(Arrivals.Flood_->Duration_));
  Value["flood"]["kind"] = Arrivals.Flood_->Kind_;
  Value["flood"]["factor"] = Arrivals.Flood_->Factor_;
  Value["flood"]["start_s"] = toSeconds(Arrivals.Flood_->Start_);
  Value["flood"]["duration_s"] = toSeconds(Arrivals.Flood_->Duration_);
  return Value;
}

void printStats(std::ostream &Out, const WorkloadOptions &Options,
                const RunStats &Stats) {
  Stats.All_.printTable(Out, toSeconds(Options.Arrivals_.Duration_));
  if (!Options.Arrivals_.Flood_)
    return;
  Out << "\nJobs sent during the flood:\n";
  Stats.InFlood_.printTable(Out,
                            toSeconds(Options.Arrivals_.Flood_->Duration_));
}

/// \brief Opens the output file of --not-run; null without the option.
std::unique_ptr<std::ofstream> openNotRunFile(OptionReader &Reader) {
  std::string Path;
  Reader.string("--not-run", Path);
  if (Path.empty())
    return nullptr;
  auto File = std::make_unique<std::ofstream>(Path);
  if (!File->is_open())
    Reader.fail("--not-run", "\"" + Path + "\" cannot be written");
  return File;
}

int reportResult(Console Streams, const KindStats &Overall) {
  if (Overall.hasInvalidAnswers()) {
    reportError(Streams,
                "answers were crossed, partial, contradicted or "
                "invalid",
                "keep this report and the logs of the entries and homes");
    return ExitFailed;
  }
  if (Overall.Sent_ == 0 || totalCount(Overall.NoAnswer_) < Overall.Sent_)
    return ExitComplete;
  reportError(Streams, "no job got an answer",
              "check the --entry addresses and that the entries are ready");
  return ExitNoAnswer;
}

} // namespace

int runLoad(const Arguments &Args, Console Streams) {
  OptionFault Why;
  OptionReader Reader(Args, Why);
  WorkloadOptions Options;
  RunOptions Run;
  readWorkload(Reader, Options);
  readRunOptions(Reader, "load", Run);
  readInFlight(Reader, Options, Run.Load_);
  const auto NotRun = openNotRunFile(Reader);
  if (!Reader.finish())
    return reportBadOption(Streams, Why);
  describeLoad(Streams, Options, Run.Load_.InFlight_);
  const auto &Flooded = Options.Arrivals_.Flood_;
  ArrivalGenerator Arrivals(*Options.Profile_, Options.Arrivals_);
  RunStats Stats(Run.Load_.ClientDelay_);
  LoadRun Engine(
      Run.Load_, [&] { return Arrivals.next(); },
      [&](const PlannedJob &Job, const JobOutcome &Outcome) {
        Stats.record(Job, Outcome, Flooded);
        if (NotRun && Outcome.Reply_.Kind_ == ReplyKind::NotRun)
          *NotRun << Job.Service_ << ' ' << Run.Load_.IdPrefix_ << Job.Id_
                  << '\n';
      },
      [&](const LoadProgress &Progress) {
        printProgress(Streams, Progress, Stats.All_.overall());
      });
  const LoadProgress Final = Engine.run();
  writeJsonReport(Streams, Run, encodeStats(Options, Run, Stats, Final));
  printStats(Streams.Out_, Options, Stats);
  return reportResult(Streams, Stats.All_.overall());
}

} // namespace wigeonwall::ctl
