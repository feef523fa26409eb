/// \file
/// \brief Options that choose a workload; shared by load and generate-trace.
#ifndef WIGEONWALLCTL_WORKLOAD_OPTIONS_H
#define WIGEONWALLCTL_WORKLOAD_OPTIONS_H

#include "wigeonwallctl/options.h"
#include "wigeonwallctl/workload.h"

namespace wigeonwall::ctl {

struct WorkloadOptions {
  std::string ProfileName_ = "permit-desk";
  const WorkloadProfile *Profile_ = nullptr;
  ArrivalOptions Arrivals_;
  /// Slots of the fleet; 0 when not given.
  std::int64_t Slots_ = 0;
};

/// \brief Reads --profile, --rate or --load with --slots, --duration, --seed,
/// --timeout-ms, --resubmit-probability and the --flood options.
void readWorkload(OptionReader &Reader, WorkloadOptions &Out);

/// \brief Share of the slots that the arrivals take, without and with the
/// flood; 0 when the slots are not given.
[[nodiscard]] double offeredLoad(const WorkloadOptions &Options,
                                 bool WithFlood);

/// \brief Share of the slots that the arrivals of one kind take without a
/// flood; the slots must be given.
[[nodiscard]] double offeredLoad(const WorkloadOptions &Options,
                                 const KindProfile &Kind);

} // namespace wigeonwall::ctl

#endif
