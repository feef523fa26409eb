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

double secondsOf(std::chrono::nanoseconds Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Draws of a closed loop are used as they are needed, so the rate only has to
/// be above any that can be reached.
constexpr double ClosedLoopRate = 1e6;
constexpr std::int64_t MaxInFlight = 100'000;

void readInFlight(OptionReader &Reader, WorkloadOptions &Options,
                  LoadRunOptions &Out) {
  std::int64_t Jobs = 0;
  Reader.integer("--in-flight", 1, MaxInFlight, Jobs);
  if (Jobs == 0)
    return;
  if (Options.Arrivals_.Flood_)
    return Reader.fail("--flood", "needs --rate or --load");
  Options.Arrivals_.JobsPerSecond_ = ClosedLoopRate;
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
    Streams.Err_ << ", in the flood " << offeredLoad(Options, true);
  Streams.Err_ << "\n";
}

/// \brief Figures of a whole run and of its flood.
struct LoadFigures {
  explicit LoadFigures(std::chrono::milliseconds ClientDelay)
      : All_(ClientDelay), InFlood_(ClientDelay) {}

  void record(const PlannedJob &Job, const JobEnd &End,
              const std::optional<Flood> &Flooded) {
    All_.record(Job, End);
    Timeline_.record(Job, End);
    if (Flooded && Flooded->covers(Job.Offset_))
      InFlood_.record(Job, End);
  }

  LoadStats All_;
  LoadStats InFlood_;
  Timeline Timeline_;
};

Json::Value encodeFigures(const WorkloadOptions &Options, const RunOptions &Run,
                          const LoadFigures &Figures, const LoadProgress &End) {
  const ArrivalOptions &Arrivals = Options.Arrivals_;
  const double Seconds = secondsOf(Arrivals.Duration_);
  Json::Value Value = Figures.All_.toJson(Seconds);
  Value["profile"] = Options.ProfileName_;
  Value["seed"] = Json::UInt64(Arrivals.Seed_);
  if (Run.Load_.InFlight_ != 0)
    Value["in_flight"] = Json::UInt64(Run.Load_.InFlight_);
  else
    Value["jobs_per_s"] = Arrivals.JobsPerSecond_;
  Value["duration_s"] = Seconds;
  Value["client_delay_ms"] = Json::Int64(Run.Load_.ClientDelay_.count());
  Value["max_send_lag_ms"] = secondsOf(End.MaxLag_) * 1e3;
  Value["timeline"] = Figures.Timeline_.toJson();
  if (Options.Slots_ != 0 && Run.Load_.InFlight_ == 0) {
    Value["offered_load"] = offeredLoad(Options, false);
    for (const KindProfile &Kind : Options.Profile_->Kinds_)
      Value["kinds"][Kind.Name_]["offered_load"] = offeredLoad(Options, Kind);
  }
  if (!Arrivals.Flood_)
    return Value;
  Value["flood"] =
      Figures.InFlood_.toJson(secondsOf(Arrivals.Flood_->Duration_));
  Value["flood"]["kind"] = Arrivals.Flood_->Kind_;
  Value["flood"]["factor"] = Arrivals.Flood_->Factor_;
  Value["flood"]["start_s"] = secondsOf(Arrivals.Flood_->Start_);
  Value["flood"]["duration_s"] = secondsOf(Arrivals.Flood_->Duration_);
  return Value;
}

void printFigures(std::ostream &Out, const WorkloadOptions &Options,
                  const LoadFigures &Figures) {
  Figures.All_.printTable(Out, secondsOf(Options.Arrivals_.Duration_));
  if (!Options.Arrivals_.Flood_)
    return;
  Out << "\nJobs sent in the flood:\n";
  Figures.InFlood_.printTable(Out,
                              secondsOf(Options.Arrivals_.Flood_->Duration_));
}

/// \brief Opens the file of --not-run; null when it is not asked for.
std::unique_ptr<std::ofstream> openNotRun(OptionReader &Reader) {
  std::string Path;
  Reader.string("--not-run", Path);
  if (Path.empty())
    return nullptr;
  auto File = std::make_unique<std::ofstream>(Path);
  if (!File->is_open())
    Reader.fail("--not-run", "\"" + Path + "\" cannot be written");
  return File;
}

int reportVerdict(Console Streams, const KindStats &Overall) {
  if (Overall.broken()) {
    reportError(Streams,
                "answers were crossed, partial, contradicted or "
                "invalid",
                "keep the figures and the logs of the entries and homes");
    return ExitFailed;
  }
  if (Overall.Sent_ == 0 || sumOf(Overall.NoAnswer_) < Overall.Sent_)
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
  const auto NotRun = openNotRun(Reader);
  if (!Reader.finish())
    return reportBadOption(Streams, Why);
  describeLoad(Streams, Options, Run.Load_.InFlight_);
  const auto &Flooded = Options.Arrivals_.Flood_;
  ArrivalGenerator Arrivals(*Options.Profile_, Options.Arrivals_);
  LoadFigures Figures(Run.Load_.ClientDelay_);
  LoadRun Engine(
      Run.Load_, [&] { return Arrivals.next(); },
      [&](const PlannedJob &Job, const JobEnd &End) {
        Figures.record(Job, End, Flooded);
        if (NotRun && End.Reply_.Kind_ == ReplyKind::NotRun)
          *NotRun << Job.Service_ << ' ' << Run.Load_.IdPrefix_ << Job.Id_
                  << '\n';
      },
      [&](const LoadProgress &Progress) {
        printProgress(Streams, Progress, Figures.All_.overall());
      });
  const LoadProgress End = Engine.run();
  writeFigures(Streams, Run, encodeFigures(Options, Run, Figures, End));
  printFigures(Streams.Out_, Options, Figures);
  return reportVerdict(Streams, Figures.All_.overall());
}

} // namespace wigeonwall::ctl
