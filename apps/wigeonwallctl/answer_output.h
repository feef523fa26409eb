/// \file
/// \brief Prints the reply for a job and maps it to an exit code.
#ifndef WIGEONWALLCTL_ANSWER_OUTPUT_H
#define WIGEONWALLCTL_ANSWER_OUTPUT_H

#include "wigeonwallctl/caller_api.h"
#include "wigeonwallctl/command.h"

namespace wigeonwall::ctl {

[[nodiscard]] int exitCodeOf(ReplyKind Kind) noexcept;

/// \brief Prints the reply to Out_ as a table or as JSON.
void printAnswer(Console Streams, bool AsJson, const request::JobKey &Key,
                 const CallerReply &Reply);

/// \brief Prints the reply to Out_, and unless the job is complete also an
/// error with the suggested next step to Err_; returns the exit code.
int printReply(Console Streams, bool AsJson, const request::JobKey &Key,
               const CallerReply &Reply);

/// \brief Reports an invalid option and returns ExitUsage.
int reportBadOption(Console Streams, const OptionFault &Fault);

} // namespace wigeonwall::ctl

#endif
