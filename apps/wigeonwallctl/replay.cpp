#include "wigeonwallctl/answer_output.h"
#include "wigeonwallctl/load_stats.h"
#include "wigeonwallctl/run_options.h"
#include "wigeonwallctl/trace_file.h"

#include <algorithm>
#include <map>

namespace wigeonwall::ctl {

const char ReplayUsage[] =
    R"(Submits the jobs of a trace at their times and compares each answer with
the expected outcomes of its line.

Usage:
  wigeonwallctl replay [options] [--entry ADDR]... <file>
  wigeonwallctl replay --help

Options:
  --entry ADDR       Entry as IP:PORT; repeat it to spread the jobs
                     (default 127.0.0.1:7100).
  --client-delay-ms N  One-way delay to clients, added by this tool
                     [default: 3].
  --connections N    Most connections per entry [default: 1000].
  --json FILE        Write the figures and deviations as JSON to a file too.
  -h --help          Print this text.

Exit codes:
  0 all answers as expected, 1 any deviation, 2 usage or bad input
)";

namespace {

/// Deviations beyond this number are counted but not listed.
constexpr std::size_t MaxListedDeviations = 20;
constexpr double NanosecondsPerSecond = 1e9;

std::string describeOutcome(const JobOutcome &Outcome) {
  const CallerReply &Reply = Outcome.Reply_;
  std::string Text(request::findName(ReplyKindNames, Reply.Kind_));
  if (Reply.Kind_ == ReplyKind::NotRun || Reply.Kind_ == ReplyKind::Failed)
    Text += ":" + std::string(request::findName(request::ReasonNames,
                                                Reply.Answer_.Reason_));
  if (Outcome.Check_ != AnswerCheck::Good)
    Text +=
        ", " + std::string(request::findName(AnswerCheckNames, Outcome.Check_));
  if (Outcome.Contradicted_)
    Text += ", contradicted";
  if (!Reply.Detail_.empty())
    Text += " (" + Reply.Detail_ + ")";
  return Text;
}

/// \brief Compares job outcomes with those that the trace expects and records
/// the deviations.
class Comparison {
public:
  explicit Comparison(const std::vector<TracedJob> &Jobs) {
    for (const TracedJob &Job : Jobs)
      Expected_[{Job.Plan_.Service_, Job.Plan_.Id_}] = &Job;
  }

  void record(const PlannedJob &Plan, const JobOutcome &Outcome) {
    const TracedJob &Job = *Expected_.at({Plan.Service_, Plan.Id_});
    if (Outcome.Check_ == AnswerCheck::Good && !Outcome.Contradicted_ &&
        Job.matches(Outcome.Reply_))
      return;
    ++Count_;
    if (Listed_.size() >= MaxListedDeviations)
      return;
    Json::Value Row;
    Row["service"] = Plan.Service_;
    Row["job_id"] = Plan.Id_;
    for (const std::string &Each : Job.Expected_)
      Row["expected"].append(Each);
    Row["received"] = describeOutcome(Outcome);
    Listed_.append(std::move(Row));
  }

  [[nodiscard]] std::size_t count() const noexcept { return Count_; }
  [[nodiscard]] const Json::Value &listed() const noexcept { return Listed_; }

private:
  std::map<request::JobKey, const TracedJob *> Expected_;
  std::size_t Count_ = 0;
  Json::Value Listed_{Json::arrayValue};
};

int reportDeviations(Console Streams, const Comparison &Compared) {
  if (Compared.count() == 0)
    return ExitComplete;
  for (const Json::Value &Row : Compared.listed()) {
    Streams.Err_ << "job " << Row["service"].asString() << "/"
                 << Row["job_id"].asString() << ": expected";
    for (const Json::Value &Each : Row["expected"])
      Streams.Err_ << " " << Each.asString();
    Streams.Err_ << ", received " << Row["received"].asString() << "\n";
  }
  reportError(Streams,
              std::to_string(Compared.count()) +
                  " jobs had an unexpected outcome",
              "search the logs of the homes for the job ids");
  return ExitFailed;
}

int replay(Console Streams, const RunOptions &Run,
           const std::vector<TracedJob> &Jobs) {
  Comparison Compared(Jobs);
  LoadStats Stats(Run.Load_.ClientDelay_);
  auto Next = Jobs.begin();
  LoadRun Engine(
      Run.Load_,
      [&]() -> std::optional<PlannedJob> {
        return Next == Jobs.end() ? std::nullopt
                                  : std::optional((Next++)->Plan_);
      },
      [&](const PlannedJob &Job, const JobOutcome &Outcome) {
        Stats.record(Job, Outcome);
        Compared.record(Job, Outcome);
      },
      [&](const LoadProgress &Progress) {
        printProgress(Streams, Progress, Stats.overall());
      });
  Engine.run();
  // Avoids a division by zero for a trace whose only job is at offset 0.
  const double Seconds =
      std::max(1.0, static_cast<double>(Jobs.back().Plan_.Offset_.count()) /
                        NanosecondsPerSecond);
  Json::Value Report = Stats.toJson(Seconds);
  Report["deviations"] = Json::UInt64(Compared.count());
  Report["listed_deviations"] = Compared.listed();
  writeJsonReport(Streams, Run, Report);
  Stats.printTable(Streams.Out_, Seconds);
  return reportDeviations(Streams, Compared);
}

} // namespace

int runReplay(const Arguments &Args, Console Streams) {
  OptionFault Why;
  OptionReader Reader(Args, Why);
  RunOptions Run;
  std::string File;
  readRunOptions(Reader, "replay", Run);
  Reader.string("<file>", File);
  if (!Reader.finish())
    return reportBadOption(Streams, Why);
  std::ifstream Stream(File);
  TraceFault Bad;
  const auto Jobs = readTrace(Stream, File, Bad);
  if (Jobs)
    return replay(Streams, Run, *Jobs);
  reportError(Streams, Bad.Position_ + ": " + Bad.Message_,
              "correct the line, or write a trace with \"wigeonwallctl "
              "generate-trace\"");
  return ExitUsage;
}

} // namespace wigeonwall::ctl
