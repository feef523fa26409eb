/// \file
/// \brief The two stages of checking a configuration document.
#ifndef WIGEONWALL_VERSION_SRC_CONFIG_VALIDATION_H
#define WIGEONWALL_VERSION_SRC_CONFIG_VALIDATION_H

#include "wigeonwall/version/config_codec.h"

namespace wigeonwall::version::detail {

/// \brief Adds a fault for each place that ConfigSchema does not accept.
void checkSchema(const Json::Value &Value, std::vector<ConfigFault> &Faults);

/// \brief Adds a fault for each check of meaning that fails.
void checkMeaning(const Config &Document, std::vector<ConfigFault> &Faults);

} // namespace wigeonwall::version::detail

#endif
