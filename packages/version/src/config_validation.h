/// \file
/// \brief Schema validation and semantic checks of a configuration document.
#ifndef WIGEONWALL_VERSION_SRC_CONFIG_VALIDATION_H
#define WIGEONWALL_VERSION_SRC_CONFIG_VALIDATION_H

#include "wigeonwall/version/config_codec.h"

namespace wigeonwall::version::detail {

/// \brief Adds a fault for each violation of ConfigSchema.
void checkSchema(const Json::Value &Value, std::vector<ConfigFault> &Faults);

/// \brief Adds a fault for each failed semantic check.
void checkSemantics(const Config &Document, std::vector<ConfigFault> &Faults);

} // namespace wigeonwall::version::detail

#endif
