/// \file
/// \brief Workload options shared by load and generate-trace.
#ifndef WIGEONWALLCTL_WORKLOAD_OPTIONS_H
#define WIGEONWALLCTL_WORKLOAD_OPTIONS_H

#include "wigeonwallctl/options.h"
#include "wigeonwallctl/workload.h"

namespace wigeonwall::ctl {

struct WorkloadOptions {
  std::string ProfileName_ = "permit-desk";
  const WorkloadProfile *Profile_ = nullptr;
  ArrivalOptions Arrivals_;
  /// Total slots of all agents; 0 when not given.
  std::int64_t Slots_ = 0;
};

/// \brief Reads --profile, --rate or --load with --slots, --duration, --seed,
/// --timeout-ms, --resubmit-probability and the --flood options.
void readWorkload(OptionReader &Reader, WorkloadOptions &Out);

/// \brief Offered load as a share of the slots, without or with the flood; 0
/// when the slots are not given.
[[nodiscard]] double offeredLoad(const WorkloadOptions &Options,
                                 bool WithFlood);

/// \brief Offered load of one kind without the flood, as a share of the slots,
/// which must be given.
[[nodiscard]] double offeredLoad(const WorkloadOptions &Options,
                                 const KindProfile &Kind);

} // namespace wigeonwall::ctl

#endif
