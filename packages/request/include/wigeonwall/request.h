/// \file
/// \brief Umbrella header of the request package: scheduling, admission,
/// placement and encoding of jobs and tasks.
#ifndef WIGEONWALL_REQUEST_H
#define WIGEONWALL_REQUEST_H

// IWYU pragma: begin_exports
#include "wigeonwall/request/admission.h"
#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/codec.h"
#include "wigeonwall/request/enum_names.h"
#include "wigeonwall/request/estimator.h"
#include "wigeonwall/request/fair_queue.h"
#include "wigeonwall/request/fault.h"
#include "wigeonwall/request/fwd.h"
#include "wigeonwall/request/health.h"
#include "wigeonwall/request/kind_policy.h"
#include "wigeonwall/request/placement.h"
#include "wigeonwall/request/types.h"
// IWYU pragma: end_exports

#endif
