/// \file
/// \brief Public include of the version package: what lives as long as one
/// version of an agreed document.
#ifndef WIGEONWALL_VERSION_H
#define WIGEONWALL_VERSION_H

// IWYU pragma: begin_exports
#include "wigeonwall/version/agent_map.h"
#include "wigeonwall/version/config.h"
#include "wigeonwall/version/config_codec.h"
#include "wigeonwall/version/config_difference.h"
#include "wigeonwall/version/config_schema.h"
#include "wigeonwall/version/fwd.h"
#include "wigeonwall/version/versioned_document.h"
// IWYU pragma: end_exports

#endif
