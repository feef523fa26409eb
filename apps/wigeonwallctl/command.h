/// \file
/// \brief Command table and dispatch of wigeonwallctl.
#ifndef WIGEONWALLCTL_COMMAND_H
#define WIGEONWALLCTL_COMMAND_H

#include "wigeonwallctl/options.h"

#include <ostream>
#include <string>
#include <vector>

namespace wigeonwall::ctl {

/// \brief Exit codes, documented in the usage text of each command.
enum ExitCode : int {
  ExitComplete = 0,
  ExitFailed = 1,
  ExitUsage = 2,
  ExitNotRun = 3,
  ExitNoAnswer = 4,
};

/// \brief Output streams of a command: results go to Out_, diagnostics to Err_.
struct Console {
  std::ostream &Out_;
  std::ostream &Err_;
};

/// \brief A subcommand.
struct Command {
  const char *Name_;
  const char *Summary_;
  /// Usage text in docopt format; also the output of `--help`.
  const char *Usage_;
  int (*Run_)(const Arguments &, Console);
};

[[nodiscard]] const std::vector<Command> &commands();

/// \brief Runs the subcommand given by the first argument and returns the exit
/// code.
[[nodiscard]] int runCommand(const std::vector<std::string> &CommandLine,
                             Console Streams);

/// \brief Writes "wigeonwallctl: MESSAGE" and the suggested next step to Err_.
void reportError(Console Streams, const std::string &Message,
                 const std::string &NextStep);

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
extern const char ExplainUsage[];
int runExplain(const Arguments &Args, Console Streams);
extern const char GenerateTraceUsage[];
int runGenerateTrace(const Arguments &Args, Console Streams);

} // namespace wigeonwall::ctl

#endif
