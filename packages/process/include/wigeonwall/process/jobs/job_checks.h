/// \file
/// \brief Local validation of new jobs.
#ifndef WIGEONWALL_PROCESS_JOBS_JOB_CHECKS_H
#define WIGEONWALL_PROCESS_JOBS_JOB_CHECKS_H

#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/types.h"
#include "wigeonwall/version/config.h"

#include <cstdint>
#include <optional>

namespace wigeonwall::process {

/// \brief Returns a failure if the job is so old that the record of an earlier
/// submission may have expired.
[[nodiscard]] std::optional<request::JobAnswer>
checkNotExpired(const request::JobSpec &Spec, std::int64_t NowMs,
                request::Duration Retention);

/// \brief Returns a failure if \p Config does not allow the job to run.
[[nodiscard]] std::optional<request::JobAnswer>
checkAgainstConfig(const request::JobSpec &Spec, const version::Config &Config);

/// \brief Marks the job as non-idempotent if its kind is, regardless of what
/// the caller requested.
void markNonIdempotent(request::JobSpec &Spec, const version::Config &Config);

} // namespace wigeonwall::process

#endif
