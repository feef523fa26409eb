/// \file
/// \brief Public header of the version package: versioned documents, that is
/// the configuration and the agent map.
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
