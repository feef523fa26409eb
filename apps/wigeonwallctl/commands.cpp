#include "wigeonwallctl/command.h"

#include <algorithm>

namespace wigeonwall::ctl {

namespace {

void printCommands(std::ostream &Stream) {
  Stream << "Usage: wigeonwallctl COMMAND [options]\n\nCommands:\n";
  for (const Command &Item : commands()) {
    std::string Name = Item.Name_;
    Name.resize(16, ' ');
    Stream << "  " << Name << Item.Summary_ << "\n";
  }
  Stream << "\n\"wigeonwallctl COMMAND --help\" describes a command.\n";
}

int parseAndRun(const Command &Selected,
                const std::vector<std::string> &CommandLine, Console Streams) {
  Arguments Args;
  try {
    Args = docopt::docopt_parse(Selected.Usage_, CommandLine, true, false);
  } catch (const docopt::DocoptExitHelp &) {
    Streams.Out_ << Selected.Usage_;
    return ExitComplete;
  } catch (const docopt::DocoptArgumentError &Error) {
    const std::string Detail = Error.what();
    reportError(Streams,
                "arguments do not match the usage" +
                    (Detail.empty() ? "" : ": " + Detail),
                "see \"wigeonwallctl " + CommandLine.front() + " --help\"");
    return ExitUsage;
  }
  return Selected.Run_(Args, Streams);
}

} // namespace

const std::vector<Command> &commands() {
  static const std::vector<Command> CommandTable{
      {"submit", "submits a job and prints its answer", SubmitUsage, runSubmit},
      {"status", "prints the state or answer of a job", StatusUsage, runStatus},
      {"cancel", "cancels a job", CancelUsage, runCancel},
      {"batch", "submits the jobs of a file in one request", BatchUsage,
       runBatch},
      {"members", "prints members, versions and load of a process",
       MembersUsage, runMembers},
      {"drain", "starts the graceful shutdown of a process", DrainUsage,
       runDrain},
      {"config", "checks, compares and applies the configuration", ConfigUsage,
       runConfig},
      {"trace", "prints the spans of a job from span files", TraceUsage,
       runTrace},
      {"explain", "prints where an entry would place a job, and why",
       ExplainUsage, runExplain},
      {"load", "sends a workload and measures the answers", LoadUsage, runLoad},
      {"replay", "replays a trace against its expected outcomes", ReplayUsage,
       runReplay},
      {"generate-trace", "writes a trace of a workload", GenerateTraceUsage,
       runGenerateTrace},
  };
  return CommandTable;
}

int runCommand(const std::vector<std::string> &CommandLine, Console Streams) {
  if (CommandLine.empty()) {
    printCommands(Streams.Err_);
    return ExitUsage;
  }
  if (CommandLine.front() == "--help" || CommandLine.front() == "-h") {
    printCommands(Streams.Out_);
    return ExitComplete;
  }
  const auto Found = std::find_if(
      commands().begin(), commands().end(),
      [&](const Command &Item) { return CommandLine.front() == Item.Name_; });
  if (Found != commands().end())
    return parseAndRun(*Found, CommandLine, Streams);
  reportError(Streams, "unknown command \"" + CommandLine.front() + "\"",
              "see \"wigeonwallctl --help\" for the commands");
  return ExitUsage;
}

void reportError(Console Streams, const std::string &Message,
                 const std::string &NextStep) {
  Streams.Err_ << "wigeonwallctl: " << Message << "\n  next: " << NextStep
               << "\n";
}

} // namespace wigeonwall::ctl
