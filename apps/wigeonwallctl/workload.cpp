#include "wigeonwallctl/workload.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace wigeonwall::ctl {

namespace {

using std::chrono::nanoseconds;

constexpr double NanosecondsPerSecond = 1e9;
constexpr nanoseconds MinResubmitDelay = std::chrono::milliseconds(5);
constexpr nanoseconds MaxResubmitDelay = std::chrono::milliseconds(200);

// Most tasks run for 50 ms to 1 s, a few for several seconds (design.md, 1.1).
const Distribution ShortRunTimesMs{
    {0.80, 50, 150}, {0.195, 150, 500}, {0.005, 2000, 4000}};
const Distribution MediumRunTimesMs{
    {0.60, 100, 400}, {0.385, 400, 1000}, {0.015, 2000, 6000}};
// Jobs have 1 to 170 tasks; most have few.
const Distribution SingleTasks{{0.95, 1, 1}, {0.05, 2, 4}};
const Distribution FewTasks{
    {0.80, 1, 3}, {0.17, 4, 12}, {0.028, 13, 40}, {0.002, 41, 170}};
const Distribution ManyTasks{
    {0.60, 2, 6}, {0.35, 7, 20}, {0.045, 21, 60}, {0.005, 61, 170}};

// Tasks without work, to measure the overhead of the dispatcher.
const Distribution ZeroRunTimeMs{{1.0, 0, 0}};
const Distribution OneTask{{1.0, 1, 1}};
const Distribution MostTasks{{1.0, 170, 170}};

const std::map<std::string, WorkloadProfile, std::less<>> &profiles() {
  static const std::map<std::string, WorkloadProfile, std::less<>> Table{
      {"permit-desk",
       {"permit-desk",
        {{"setback-check", "installers", 0.40, false, ShortRunTimesMs,
          FewTasks},
         {"fire-clearance-review", "plans-examiners", 0.15, false,
          MediumRunTimesMs, FewTasks},
         {"label-lookup", "inspectors", 0.45, false, ShortRunTimesMs,
          SingleTasks}}}},
      {"planting-dispatch",
       {"planting-dispatch",
        {{"clearance-check", "bank-crews", 0.50, false, ShortRunTimesMs,
          FewTasks},
         {"stake-layout", "surveyors", 0.15, false, MediumRunTimesMs,
          ManyTasks},
         {"permit-confirmation", "water-crews", 0.35, true, ShortRunTimesMs,
          SingleTasks}}}},
      {"empty-tasks",
       {"permit-desk",
        {{"setback-check", "installers", 1.0, false, ZeroRunTimeMs,
          MostTasks}}}},
      {"empty-task",
       {"permit-desk",
        {{"setback-check", "installers", 1.0, false, ZeroRunTimeMs, OneTask}}}},
  };
  return Table;
}

/// \brief Draws from the uniform distribution over [0, 1).
double uniformUnit(std::mt19937_64 &Random) {
  return static_cast<double>(Random() >> 11) * 0x1p-53;
}

std::uint32_t sample(const Distribution &Values, std::mt19937_64 &Random) {
  double Remaining = uniformUnit(Random);
  const UniformRange *Chosen = &Values.back();
  for (const UniformRange &Range : Values) {
    if (Remaining < Range.Share_) {
      Chosen = &Range;
      break;
    }
    Remaining -= Range.Share_;
  }
  const double Width = Chosen->Max_ - Chosen->Min_ + 1.0;
  return Chosen->Min_ + static_cast<std::uint32_t>(uniformUnit(Random) * Width);
}

nanoseconds sampleBetween(nanoseconds Min, nanoseconds Max,
                          std::mt19937_64 &Random) {
  return Min +
         nanoseconds(static_cast<std::int64_t>(
             uniformUnit(Random) * static_cast<double>((Max - Min).count())));
}

} // namespace

double mean(const Distribution &Values) noexcept {
  double Sum = 0;
  for (const UniformRange &Range : Values)
    Sum += Range.Share_ * (Range.Min_ + Range.Max_) / 2.0;
  return Sum;
}

double WorkloadProfile::meanWorkMsPerJob() const noexcept {
  double Sum = 0;
  for (const KindProfile &Kind : Kinds_)
    Sum += Kind.Share_ * mean(Kind.RunTimeMs_) * mean(Kind.TasksPerJob_);
  return Sum;
}

const WorkloadProfile *findProfile(std::string_view Name) {
  const auto Found = profiles().find(Name);
  return Found == profiles().end() ? nullptr : &Found->second;
}

std::string profileNames() {
  std::string Names;
  for (const auto &[Name, Profile] : profiles())
    Names += (Names.empty() ? "" : ", ") + Name;
  return Names;
}

ArrivalGenerator::ArrivalGenerator(const WorkloadProfile &Profile,
                                   ArrivalOptions Options)
    : Profile_(Profile), Options_(std::move(Options)) {
  for (const KindProfile &Kind : Profile_.Kinds_) {
    std::seed_seq Seed{static_cast<std::uint32_t>(Options_.Seed_),
                       static_cast<std::uint32_t>(Options_.Seed_ >> 32),
                       static_cast<std::uint32_t>(Streams_.size())};
    double Peak = Kind.Share_ * Options_.JobsPerSecond_;
    if (Options_.Flood_ && Options_.Flood_->Kind_ == Kind.Name_)
      Peak *= std::max(1.0, Options_.Flood_->Factor_);
    Streams_.push_back({&Kind, std::mt19937_64(Seed), Peak});
    advance(Streams_.back());
  }
}

double ArrivalGenerator::rateAt(const Stream &Each, nanoseconds Offset) const {
  const double BaseRate = Each.Kind_->Share_ * Options_.JobsPerSecond_;
  const auto &Flooded = Options_.Flood_;
  if (!Flooded || Flooded->Kind_ != Each.Kind_->Name_ ||
      !Flooded->covers(Offset))
    return BaseRate;
  return BaseRate * Flooded->Factor_;
}

void ArrivalGenerator::advance(Stream &Each) {
  // Samples a Poisson process of variable rate by thinning: draws arrivals at
  // the peak rate and accepts each with probability rate / peak rate.
  do {
    const double Seconds =
        -std::log1p(-uniformUnit(Each.Random_)) / Each.PeakPerSecond_;
    Each.Next_ += nanoseconds(
        static_cast<std::int64_t>(Seconds * NanosecondsPerSecond) + 1);
  } while (Each.Next_ < Options_.Duration_ &&
           uniformUnit(Each.Random_) * Each.PeakPerSecond_ >=
               rateAt(Each, Each.Next_));
}

std::optional<PlannedJob> ArrivalGenerator::next() {
  Stream &First = *std::min_element(
      Streams_.begin(), Streams_.end(),
      [](auto &Left, auto &Right) { return Left.Next_ < Right.Next_; });
  if (First.Next_ >= Options_.Duration_)
    return std::nullopt;
  PlannedJob Job;
  Job.Offset_ = First.Next_;
  Job.Service_ = Profile_.Service_;
  Job.Id_ = std::to_string(++Count_);
  Job.Kind_ = First.Kind_->Name_;
  Job.Team_ = First.Kind_->Team_;
  Job.NonIdempotent_ = First.Kind_->NonIdempotent_;
  Job.Timeout_ = Options_.Timeout_;
  Job.WorkMs_.resize(sample(First.Kind_->TasksPerJob_, First.Random_));
  for (std::uint32_t &WorkMs : Job.WorkMs_)
    WorkMs = sample(First.Kind_->RunTimeMs_, First.Random_);
  if (uniformUnit(First.Random_) < Options_.ResubmitProbability_)
    Job.ResubmitAfter_ =
        sampleBetween(MinResubmitDelay, MaxResubmitDelay, First.Random_);
  advance(First);
  return Job;
}

} // namespace wigeonwall::ctl
