#include "wigeonwall/process/membership/seed_joiner.h"

#include <algorithm>

namespace wigeonwall::process {

namespace {

/// Separate clusters form while many processes start at the same time.
constexpr request::Duration StartupTime = std::chrono::seconds(10);

} // namespace

SeedJoiner::SeedJoiner(std::vector<std::string> Seeds, SeedPeriods Periods,
                       request::Clock Clock, std::mt19937_64 Random)
    : Seeds_(std::move(Seeds)), Periods_(Periods), Clock_(std::move(Clock)),
      Random_(Random), Start_(Clock_()), Next_(Start_) {
  std::shuffle(Seeds_.begin(), Seeds_.end(), Random_);
}

std::optional<std::string> SeedJoiner::next(bool Alone) {
  const auto Now = Clock_();
  if (Seeds_.empty() || Now < Next_)
    return std::nullopt;
  const bool Frequent = Alone || Now - Start_ < StartupTime;
  Next_ = Now + (Frequent ? Periods_.Join_ : Periods_.Probe_);
  return Seeds_[Position_++ % Seeds_.size()];
}

void SeedJoiner::reachedSelf() {
  Next_ = std::min(Next_, Clock_() + Periods_.SelfJoin_);
}

} // namespace wigeonwall::process
