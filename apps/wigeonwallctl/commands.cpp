#include "wigeonwallctl/command.h"

#include <algorithm>

namespace wigeonwall::ctl {

namespace {

void printCommands(std::ostream &Stream) {
  Stream << "Usage: wigeonwallctl COMMAND [options]\n\nCommands:\n";
  for (const Command &Each : commands()) {
    std::string Name = Each.Name_;
    Name.resize(16, ' ');
    Stream << "  " << Name << Each.Summary_ << "\n";
  }
  Stream << "\n\"wigeonwallctl COMMAND --help\" describes a command.\n";
}

int parseAndRun(const Command &Chosen, const std::vector<std::string> &Words,
                Console Streams) {
  Arguments Args;
  try {
    Args = docopt::docopt_parse(Chosen.Usage_, Words, true, false);
  } catch (const docopt::DocoptExitHelp &) {
    Streams.Out_ << Chosen.Usage_;
    return ExitComplete;
  } catch (const docopt::DocoptArgumentError &Error) {
    const std::string Detail = Error.what();
    reportError(Streams,
                "arguments do not fit the usage" +
                    (Detail.empty() ? "" : ": " + Detail),
                "see \"wigeonwallctl " + Words.front() + " --help\"");
    return ExitUsage;
  }
  return Chosen.Run_(Args, Streams);
}

} // namespace

const std::vector<Command> &commands() {
  static const std::vector<Command> Table{
      {"submit", "submits a job and prints its answer", SubmitUsage, runSubmit},
      {"status", "prints the state or answer of a job", StatusUsage, runStatus},
      {"cancel", "cancels a job", CancelUsage, runCancel},
      {"batch", "submits the jobs of a file in one request", BatchUsage,
       runBatch},
      {"members", "prints members, versions and load of a process",
       MembersUsage, runMembers},
      {"drain", "begins the planned stop of a process", DrainUsage, runDrain},
      {"config", "checks, compares and applies the configuration", ConfigUsage,
       runConfig},
      {"trace", "prints the hops of a job from span files", TraceUsage,
       runTrace},
      {"load", "sends a workload and measures the answers", LoadUsage, runLoad},
      {"replay", "replays a trace against its expected outcomes", ReplayUsage,
       runReplay},
      {"generate-trace", "writes a trace of a workload", GenerateTraceUsage,
       runGenerateTrace},
  };
  return Table;
}

int runCommand(const std::vector<std::string> &Words, Console Streams) {
  if (Words.empty()) {
    printCommands(Streams.Err_);
    return ExitUsage;
  }
  if (Words.front() == "--help" || Words.front() == "-h") {
    printCommands(Streams.Out_);
    return ExitComplete;
  }
  const auto Found = std::find_if(
      commands().begin(), commands().end(),
      [&](const Command &Each) { return Words.front() == Each.Name_; });
  if (Found != commands().end())
    return parseAndRun(*Found, Words, Streams);
  reportError(Streams, "unknown command \"" + Words.front() + "\"",
              "see \"wigeonwallctl --help\" for the commands");
  return ExitUsage;
}

void reportError(Console Streams, const std::string &Message,
                 const std::string &Next) {
  Streams.Err_ << "wigeonwallctl: " << Message << "\n  next: " << Next << "\n";
}

} // namespace wigeonwall::ctl
