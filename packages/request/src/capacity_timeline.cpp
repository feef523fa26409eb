#include "wigeonwall/request/capacity_timeline.h"

#include <algorithm>

namespace wigeonwall::request {

namespace {

/// Losses are weighted by the inverse of their time from now plus this. Start
/// times are predicted no better than this.
constexpr Duration NearTime = std::chrono::milliseconds(20);

/// Number of steps until a time, rounded up.
std::size_t stepsUntil(Duration Time) {
  const auto Steps = (Time + CapacityTimeline::StepLength - Duration(1)) /
                     CapacityTimeline::StepLength;
  return static_cast<std::size_t>(std::max<Duration::rep>(0, Steps));
}

CapacityStep merged(const CapacityStep &Left, const CapacityStep &Right) {
  return {Left.At_, std::min(Left.CpuMillicores_, Right.CpuMillicores_),
          std::min(Left.MemoryMb_, Right.MemoryMb_)};
}

/// Capacity above \p Kept in millicores plus MB.
double excess(const CapacityStep &Step, const CapacityStep &Kept) {
  return static_cast<double>(Step.CpuMillicores_ - Kept.CpuMillicores_ +
                             Step.MemoryMb_ - Kept.MemoryMb_);
}

/// Weighted capacity that is not reported if two adjacent steps are merged.
double mergeLoss(const CapacityStep &Left, const CapacityStep &Right,
                 Duration End) {
  const CapacityStep Kept = merged(Left, Right);
  return (excess(Left, Kept) * toSeconds(Right.At_ - Left.At_) +
          excess(Right, Kept) * toSeconds(End - Right.At_)) /
         toSeconds(Left.At_ + NearTime);
}

} // namespace

CapacityTimeline::CapacityTimeline(const Resources &Free,
                                   std::span<const CapacityRelease> Releases) {
  Free_[0] = Free;
  for (const CapacityRelease &Each : Releases)
    if (const std::size_t Index = stepsUntil(Each.After_); Index < StepCount)
      Free_[Index] += Each.Needs_;
  for (std::size_t I = 1; I < StepCount; ++I)
    Free_[I] += Free_[I - 1];
}

std::optional<Duration> CapacityTimeline::earliestStart(const Resources &Needs,
                                                        Duration Length) const {
  const std::size_t Steps = std::max<std::size_t>(1, stepsUntil(Length));
  std::size_t Start = 0;
  for (std::size_t I = 0; I < StepCount; ++I) {
    if (!Needs.fitsIn(Free_[I]))
      Start = I + 1;
    else if (I + 1 - Start >= Steps)
      break;
  }
  if (Start >= StepCount)
    return std::nullopt;
  return Start * StepLength;
}

bool CapacityTimeline::fitsNow(const Resources &Needs, Duration Length) const {
  const std::size_t Steps =
      std::clamp<std::size_t>(stepsUntil(Length), 1, StepCount);
  return std::all_of(Free_.begin(),
                     Free_.begin() + static_cast<std::ptrdiff_t>(Steps),
                     [&](const Resources &Each) { return Needs.fitsIn(Each); });
}

void CapacityTimeline::reserve(const Resources &Needs, Duration Start,
                               Duration Length) {
  const auto First =
      static_cast<std::size_t>(std::max(Start, Duration::zero()) / StepLength);
  const std::size_t End = std::min(StepCount, stepsUntil(Start + Length));
  for (std::size_t I = First; I < End; ++I)
    Free_[I] -= Needs;
}

bool CapacityTimeline::neverNegative() const {
  return std::all_of(Free_.begin(), Free_.end(), [](const Resources &Each) {
    return Resources{}.fitsIn(Each);
  });
}

CapacityProfile CapacityTimeline::profile() const {
  std::array<CapacityStep, StepCount> Steps;
  std::size_t Size = 0;
  for (std::size_t I = 0; I < StepCount; ++I) {
    const Resources &Free = Free_[I];
    if (Size != 0 && Steps[Size - 1].CpuMillicores_ == Free.CpuMillicores_ &&
        Steps[Size - 1].MemoryMb_ == Free.MemoryMb_)
      continue;
    Steps[Size++] = {I * StepLength, Free.CpuMillicores_, Free.MemoryMb_};
  }
  while (Size > CapacityProfile::MaxReportedSteps) {
    std::size_t Best = 0;
    double BestLoss = 0;
    for (std::size_t I = 0; I + 1 < Size; ++I) {
      const Duration End =
          I + 2 < Size ? Steps[I + 2].At_ : CapacityProfile::Horizon;
      const double Loss = mergeLoss(Steps[I], Steps[I + 1], End);
      if (I != 0 && Loss >= BestLoss)
        continue;
      Best = I;
      BestLoss = Loss;
    }
    Steps[Best] = merged(Steps[Best], Steps[Best + 1]);
    std::copy(Steps.begin() + static_cast<std::ptrdiff_t>(Best + 2),
              Steps.begin() + static_cast<std::ptrdiff_t>(Size),
              Steps.begin() + static_cast<std::ptrdiff_t>(Best + 1));
    --Size;
  }
  CapacityProfile Result;
  for (std::size_t I = 0; I < Size; ++I)
    Result.append(Steps[I]);
  return Result;
}

} // namespace wigeonwall::request
