#include "wigeonwall/request/capacity_profile.h"

#include <algorithm>

namespace wigeonwall::request {

bool CapacityProfile::append(const CapacityStep &Step) noexcept {
  if (Size_ == MaxSteps || (Size_ != 0 && Step.At_ <= Steps_[Size_ - 1].At_))
    return false;
  Steps_[Size_++] = Step;
  return true;
}

std::optional<Duration>
CapacityProfile::earliestStart(const Resources &Needs, Duration Length,
                               Duration From) const noexcept {
  Duration Start = std::max(From, Steps_.front().At_);
  for (std::size_t I = 0; I < Size_; ++I) {
    const bool Last = I + 1 == Size_;
    if (!Last && Steps_[I + 1].At_ <= Start)
      continue;
    if (!Steps_[I].allows(Needs)) {
      if (Last)
        return std::nullopt;
      Start = Steps_[I + 1].At_;
    } else if (Last || Steps_[I + 1].At_ >= Start + Length) {
      return Start;
    }
  }
  return std::nullopt;
}

std::size_t CapacityProfile::split(Duration At) noexcept {
  std::size_t Index = 0;
  while (Index + 1 < Size_ && Steps_[Index + 1].At_ <= At)
    ++Index;
  if (At <= Steps_[Index].At_ || Size_ == MaxSteps)
    return Index;
  std::copy_backward(Steps_.begin() + static_cast<std::ptrdiff_t>(Index),
                     Steps_.begin() + static_cast<std::ptrdiff_t>(Size_),
                     Steps_.begin() + static_cast<std::ptrdiff_t>(Size_ + 1));
  ++Size_;
  Steps_[++Index].At_ = At;
  return Index;
}

void CapacityProfile::take(const Resources &Needs, Duration From,
                           Duration Until) noexcept {
  if (Size_ == 0 || Until <= From)
    return;
  std::size_t Index = split(From);
  split(Until);
  for (; Index < Size_ && Steps_[Index].At_ < Until; ++Index) {
    Steps_[Index].CpuMillicores_ -= Needs.CpuMillicores_;
    Steps_[Index].MemoryMb_ -= Needs.MemoryMb_;
  }
}

} // namespace wigeonwall::request
