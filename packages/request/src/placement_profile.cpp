#include "wigeonwall/request/fleet_view.h"

#include <algorithm>

namespace wigeonwall::request::detail {

PlacementProfile::PlacementProfile(const CapacityProfile &Reported,
                                   Duration Age)
    : Reported_(&Reported), Age_(std::max(Age, Duration::zero())) {}

void PlacementProfile::take(const Resources &Needs, Duration Start,
                            Duration RunTime) {
  if (!Changed_)
    Changed_ = *Reported_;
  Changed_->take(Needs, Start, Start + RunTime);
}

void PlacementProfile::addSent(const Resources &Needs, Duration RunTime,
                               Duration Ago) {
  const Duration SentAt = std::max(Duration::zero(), Age_ - Ago);
  // A task without a predicted start occupies the last step.
  const Duration Start = steps()
                             .earliestStart(Needs, RunTime, SentAt)
                             .value_or(CapacityProfile::Horizon);
  take(Needs, Start, RunTime);
}

void PlacementProfile::predict(const Resources &Needs, Duration RunTime) {
  const Duration Start = steps()
                             .earliestStart(Needs, RunTime, Age_)
                             .value_or(CapacityProfile::Horizon + RunTime);
  Wait_ = Start - Age_;
}

void PlacementProfile::addPredicted(const Resources &Needs, Duration RunTime) {
  take(Needs, Age_ + Wait_, RunTime);
}

} // namespace wigeonwall::request::detail
