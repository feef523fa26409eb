/// \file
/// \brief Prints replies about one job and maps them to exit codes.
#ifndef WIGEONWALLCTL_ANSWER_OUTPUT_H
#define WIGEONWALLCTL_ANSWER_OUTPUT_H

#include "wigeonwallctl/caller_api.h"
#include "wigeonwallctl/command.h"

namespace wigeonwall::ctl {

[[nodiscard]] int exitCodeOf(ReplyKind Kind) noexcept;

/// \brief Prints the reply as a table or as JSON to Out_.
void printAnswer(Console Streams, bool AsJson, const request::JobKey &Key,
                 const CallerReply &Reply);

/// \brief Prints the reply as a table or as JSON, and an error with what to do
/// next when there is no answer; returns the exit code.
int printReply(Console Streams, bool AsJson, const request::JobKey &Key,
               const CallerReply &Reply);

/// \brief Reports a bad option and returns ExitUsage.
int reportBadOption(Console Streams, const OptionFault &Why);

} // namespace wigeonwall::ctl

#endif
