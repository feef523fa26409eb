/// \file
/// \brief Schedules join requests to the seed addresses.
#ifndef WIGEONWALL_PROCESS_MEMBERSHIP_SEED_JOINER_H
#define WIGEONWALL_PROCESS_MEMBERSHIP_SEED_JOINER_H

#include "wigeonwall/request/clock.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace wigeonwall::process {

struct SeedPeriods {
  request::Duration Join_;
  request::Duration SelfJoin_;
  request::Duration Probe_;
};

/// \brief Cycles through the seeds: frequently while the process is alone or
/// has just started, then at long intervals, so that clusters that formed
/// separately merge.
class SeedJoiner {
public:
  SeedJoiner(std::vector<std::string> Seeds, SeedPeriods Periods,
             request::Clock Clock, std::mt19937_64 Random);

  /// \brief Seed to contact now, if one is due.
  [[nodiscard]] std::optional<std::string> next(bool Alone);
  /// \brief Call if the last seed was this process itself; makes the next one
  /// due soon.
  void reachedSelf();

private:
  std::vector<std::string> Seeds_;
  SeedPeriods Periods_;
  request::Clock Clock_;
  std::mt19937_64 Random_;
  request::TimePoint Start_;
  request::TimePoint Next_;
  std::size_t Position_ = 0;
};

} // namespace wigeonwall::process

#endif
