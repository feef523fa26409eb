/// \file
/// \brief Prints configuration documents, differences and validation errors.
#ifndef WIGEONWALLCTL_CONFIG_OUTPUT_H
#define WIGEONWALLCTL_CONFIG_OUTPUT_H

#include "wigeonwallctl/command.h"

#include "wigeonwall/version/config_codec.h"
#include "wigeonwall/version/config_difference.h"

namespace wigeonwall::ctl {

/// \brief Prints each error as "WHAT: /pointer: message", then the suggested
/// next step.
void printFaults(Console Streams, const std::string &What,
                 const std::vector<version::ConfigFault> &Faults);

/// \brief Prints each change as "/pointer: before -> after".
void printChanges(std::ostream &Stream,
                  const std::vector<version::ConfigChange> &Changes);

/// \brief Prints a table, or JSON without version and edit id that can be
/// edited and passed to `config apply`.
void printConfig(Console Streams, const version::Config &Document, bool AsJson);

} // namespace wigeonwall::ctl

#endif
