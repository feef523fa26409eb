/// \file
/// \brief Printing of configuration documents, differences and faults.
#ifndef WIGEONWALLCTL_CONFIG_OUTPUT_H
#define WIGEONWALLCTL_CONFIG_OUTPUT_H

#include "wigeonwallctl/command.h"

#include "wigeonwall/version/config_codec.h"
#include "wigeonwall/version/config_difference.h"

namespace wigeonwall::ctl {

/// \brief Lists faults as "WHAT: /pointer: message" and what to do next.
void printFaults(Console Streams, const std::string &What,
                 const std::vector<version::ConfigFault> &Faults);

/// \brief Lists changes as "/pointer: before -> after".
void printChanges(std::ostream &Stream,
                  const std::vector<version::ConfigChange> &Changes);

/// \brief Prints a table, or the JSON without version and edit id, which can
/// be edited and applied.
void printConfig(Console Streams, const version::Config &Document, bool AsJson);

} // namespace wigeonwall::ctl

#endif
