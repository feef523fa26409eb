#include "fault_plan.h"

#include <algorithm>
#include <random>

namespace wigeonwall::soak {

using standins::Hop;

namespace {

/// Mean time between faults. Faults last about a second, so two often overlap.
constexpr Time FaultInterval{700};
constexpr Time MinFaultDuration{50};
constexpr Time MaxFaultDuration{2'500};
/// One fault in this many is repeated on the same target.
constexpr int SeriesOdds = 4;
constexpr int MaxRepeats = 4;

bool targetsEntry(FaultKind Kind) {
  return Kind == FaultKind::KillEntry || Kind == FaultKind::PauseEntry ||
         Kind == FaultKind::StopEntry || Kind == FaultKind::ReloadEntry;
}

bool isEntryHop(Hop Link) {
  return Link == Hop::CallerToEntry || Link == Hop::EntryToStore;
}

bool targetsHop(FaultKind Kind) {
  return Kind >= FaultKind::DelayHop && Kind <= FaultKind::SilenceHop;
}

} // namespace

std::string Fault::describe() const {
  std::string Result = std::to_string(StartsAt_.count()) + " ms " +
                       std::string(request::findName(FaultKindNames, Kind_)) +
                       " " + std::to_string(Target_) + " for " +
                       std::to_string(Duration_.count()) + " ms";
  if (targetsHop(Kind_))
    Result += " " + std::string(request::findName(standins::HopNames, Hop_));
  return Result;
}

std::vector<Fault> makeFaultPlan(const SoakOptions &Options) {
  std::mt19937 Random(Options.Seed_);
  const auto Draw = [&Random](std::int64_t Min, std::int64_t Max) {
    return std::uniform_int_distribution<std::int64_t>(Min, Max)(Random);
  };
  std::vector<Fault> Plan;
  const std::int64_t Count = Options.FaultPhase_ / FaultInterval;
  for (std::int64_t I = 0; I < Count; ++I) {
    Fault Next;
    Next.Kind_ = FaultKindNames.at(Draw(0, FaultKindNames.size() - 1)).Value_;
    Next.Hop_ =
        standins::HopNames.at(Draw(0, standins::HopNames.size() - 1)).Value_;
    const bool TargetsEntry = targetsEntry(Next.Kind_) ||
                              (targetsHop(Next.Kind_) && isEntryHop(Next.Hop_));
    Next.Target_ = static_cast<std::size_t>(
        Draw(0, static_cast<std::int64_t>(TargetsEntry ? Options.Entries_
                                                       : Options.Agents_) -
                    1));
    const int Repeats =
        Draw(1, SeriesOdds) == 1 ? static_cast<int>(Draw(2, MaxRepeats)) : 1;
    Next.StartsAt_ = Time(Draw(0, Options.FaultPhase_.count()));
    for (int Repeat = 0; Repeat < Repeats; ++Repeat) {
      Next.Duration_ =
          Time(Draw(MinFaultDuration.count(), MaxFaultDuration.count()));
      if (Next.StartsAt_ < Options.FaultPhase_)
        Plan.push_back(Next);
      Next.StartsAt_ +=
          Next.Duration_ + Time(Draw(0, MaxFaultDuration.count() / 2));
    }
  }
  std::stable_sort(Plan.begin(), Plan.end(), [](const auto &A, const auto &B) {
    return A.StartsAt_ < B.StartsAt_;
  });
  return Plan;
}

} // namespace wigeonwall::soak
