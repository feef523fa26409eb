#include "wigeonwall/request/admission_margin.h"

#include <algorithm>
#include <cmath>

namespace wigeonwall::request {

namespace {

/// Time constant of the exponential decay. Without further jobs of a class, its
/// share returns to nearly 0 after a few of these.
constexpr double DecaySeconds = 1.5;

} // namespace

double AdmissionMargin::share(Duration Slack, TimePoint Now) const {
  const ClassShare &Entry = Classes_[slackClass(Slack)];
  return Entry.Share_ *
         std::exp(-toSeconds(Now - Entry.UpdatedAt_) / DecaySeconds);
}

void AdmissionMargin::update(Duration Slack, TimePoint Now, double Step) {
  ClassShare &Entry = Classes_[slackClass(Slack)];
  Entry.Share_ = std::clamp(share(Slack, Now) + Step, 0.0, MaxShare);
  Entry.UpdatedAt_ = Now;
}

} // namespace wigeonwall::request
