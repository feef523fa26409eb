#include "wigeonwallctl/workload_options.h"

#include <algorithm>

namespace wigeonwall::ctl {

namespace {

using std::chrono::nanoseconds;

constexpr double MaxJobsPerSecond = 100'000;
constexpr double MaxLoad = 100;
constexpr std::int64_t MaxSlots = 1'000'000;
constexpr double MaxDurationSeconds = 86'400;
constexpr double MaxFloodFactor = 10'000;
constexpr std::int64_t MaxTimeoutMs = 600'000;
constexpr double MsPerSecond = 1'000;

nanoseconds fromSeconds(double Seconds) {
  return std::chrono::duration_cast<nanoseconds>(
      std::chrono::duration<double>(Seconds));
}

void readRate(OptionReader &Reader, WorkloadOptions &Out) {
  Reader.integer("--slots", 1, MaxSlots, Out.Slots_);
  Reader.number("--rate", 0.001, MaxJobsPerSecond,
                Out.Arrivals_.JobsPerSecond_);
  double Load = 0;
  Reader.number("--load", 0.001, MaxLoad, Load);
  if (Reader.given("--load") && Out.Slots_ == 0)
    return Reader.fail("--load", "needs --slots, the slots of all agents");
  if (Load > 0 && Out.Profile_->meanWorkMsPerJob() <= 0)
    return Reader.fail("--load", "profile \"" + Out.ProfileName_ +
                                     "\" has no work; use --rate");
  if (Load > 0)
    Out.Arrivals_.JobsPerSecond_ = Load * static_cast<double>(Out.Slots_) *
                                   MsPerSecond /
                                   Out.Profile_->meanWorkMsPerJob();
}

void readFlood(OptionReader &Reader, WorkloadOptions &Out) {
  std::string Text;
  Reader.string("--flood", Text);
  if (Text.empty())
    return;
  const std::size_t Colon = std::min(Text.rfind(':'), Text.size());
  const auto Factor =
      parseNumber(Text.substr(std::min(Colon + 1, Text.size())));
  Flood Result{Text.substr(0, Colon), Factor.value_or(0)};
  if (!Factor || !(*Factor > 0 && *Factor <= MaxFloodFactor))
    return Reader.fail("--flood", "expected KIND:FACTOR with a factor above 0 "
                                  "and up to 10000, got \"" +
                                      Text + "\"");
  const auto &Kinds = Out.Profile_->Kinds_;
  if (std::none_of(Kinds.begin(), Kinds.end(),
                   [&](auto &Kind) { return Kind.Name_ == Result.Kind_; }))
    return Reader.fail("--flood", "profile \"" + Out.ProfileName_ +
                                      "\" has no kind \"" + Result.Kind_ +
                                      "\"");
  double Start = 0;
  double Duration = MaxDurationSeconds;
  Reader.number("--flood-start", 0, MaxDurationSeconds, Start);
  Reader.number("--flood-duration", 0.001, MaxDurationSeconds, Duration);
  Result.Start_ = fromSeconds(Start);
  Result.Duration_ =
      std::min(fromSeconds(Duration), Out.Arrivals_.Duration_ - Result.Start_);
  if (Result.Duration_ <= nanoseconds(0))
    return Reader.fail("--flood-start", "lies after the end of the run");
  Out.Arrivals_.Flood_ = Result;
}

} // namespace

void readWorkload(OptionReader &Reader, WorkloadOptions &Out) {
  Reader.string("--profile", Out.ProfileName_);
  Out.Profile_ = findProfile(Out.ProfileName_);
  if (Out.Profile_ == nullptr)
    return Reader.fail("--profile", "expected one of " + profileNames() +
                                        ", got \"" + Out.ProfileName_ + "\"");
  double Duration = 10;
  std::int64_t Seed = 1;
  ArrivalOptions &Arrivals = Out.Arrivals_;
  Reader.number("--duration", 0.001, MaxDurationSeconds, Duration);
  Reader.integer("--seed", 0, INT64_MAX, Seed);
  Reader.number("--resubmit-probability", 0, 1, Arrivals.ResubmitProbability_);
  Reader.milliseconds("--timeout-ms", 1, MaxTimeoutMs, Arrivals.Timeout_);
  Arrivals.Duration_ = fromSeconds(Duration);
  Arrivals.Seed_ = static_cast<std::uint64_t>(Seed);
  readRate(Reader, Out);
  readFlood(Reader, Out);
}

double offeredLoad(const WorkloadOptions &Options, bool WithFlood) {
  if (Options.Slots_ == 0)
    return 0;
  const auto &Flooded = Options.Arrivals_.Flood_;
  double Sum = 0;
  for (const KindProfile &Kind : Options.Profile_->Kinds_) {
    const bool Floods = WithFlood && Flooded && Flooded->Kind_ == Kind.Name_;
    Sum += offeredLoad(Options, Kind) * (Floods ? Flooded->Factor_ : 1.0);
  }
  return Sum;
}

double offeredLoad(const WorkloadOptions &Options, const KindProfile &Kind) {
  return Options.Arrivals_.JobsPerSecond_ * Kind.Share_ *
         mean(Kind.RunTimeMs_) * mean(Kind.TasksPerJob_) / MsPerSecond /
         static_cast<double>(Options.Slots_);
}

} // namespace wigeonwall::ctl
