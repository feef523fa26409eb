/// \file
/// \brief The commands of wigeonwallctl and how they are run.
#ifndef WIGEONWALLCTL_COMMAND_H
#define WIGEONWALLCTL_COMMAND_H

#include "wigeonwallctl/options.h"

#include <ostream>
#include <string>
#include <vector>

namespace wigeonwall::ctl {

/// \brief Exit codes; the usage text of each command states them.
enum ExitCode : int {
  ExitComplete = 0,
  ExitFailed = 1,
  ExitUsage = 2,
  ExitNotRun = 3,
  ExitNoAnswer = 4,
};

/// \brief Where a command writes: results to Out_, all else to Err_.
struct Console {
  std::ostream &Out_;
  std::ostream &Err_;
};

/// \brief One row of the table of commands.
struct Command {
  const char *Name_;
  const char *Summary_;
  /// Text in docopt form, printed by `--help`.
  const char *Usage_;
  int (*Run_)(const Arguments &, Console);
};

[[nodiscard]] const std::vector<Command> &commands();

/// \brief Runs the command named by the first word; returns its exit code.
[[nodiscard]] int runCommand(const std::vector<std::string> &Words,
                             Console Streams);

/// \brief Writes "wigeonwallctl: MESSAGE" and what to do next to Err_.
void reportError(Console Streams, const std::string &Message,
                 const std::string &Next);

extern const char SubmitUsage[];
int runSubmit(const Arguments &Args, Console Streams);
extern const char StatusUsage[];
int runStatus(const Arguments &Args, Console Streams);
extern const char CancelUsage[];
int runCancel(const Arguments &Args, Console Streams);
extern const char LoadUsage[];
int runLoad(const Arguments &Args, Console Streams);
extern const char ReplayUsage[];
int runReplay(const Arguments &Args, Console Streams);
extern const char ConfigUsage[];
int runConfig(const Arguments &Args, Console Streams);
extern const char TraceUsage[];
int runTrace(const Arguments &Args, Console Streams);
extern const char MembersUsage[];
int runMembers(const Arguments &Args, Console Streams);
extern const char DrainUsage[];
int runDrain(const Arguments &Args, Console Streams);
extern const char BatchUsage[];
int runBatch(const Arguments &Args, Console Streams);
extern const char GenerateTraceUsage[];
int runGenerateTrace(const Arguments &Args, Console Streams);

} // namespace wigeonwall::ctl

#endif
