/// \file
/// \brief Entry point of the wigeonwall process. The settings file selects the
/// role (entry or agent).
#include "platform/processes.h"
#include "wigeonwall/process/observation/log.h"
#include "wigeonwall/process/roles/process_host.h"

#include <docopt/docopt.h>

#include <iostream>
#include <map>

namespace {

constexpr const char *Usage = R"(wigeonwall: dispatcher for sub-second tasks.

Usage:
  wigeonwall --settings=FILE
  wigeonwall --check-settings=FILE
  wigeonwall --platform --settings=FILE
  wigeonwall --platform --check-settings=FILE
  wigeonwall --help

Options:
  --settings=FILE        Run the role that the INI file describes.
  --check-settings=FILE  Check the file and exit.
  --platform             Run the role on the users' platform; the file has the
                         form of deploy/entry.ini or deploy/agent.ini.

Signals: SIGTERM and SIGINT begin a planned stop; with --platform, SIGHUP
checks the settings file again.

Exit codes: 0 planned stop with all work finished, 1 start failed or the
planned stop ran out of time, 2 bad usage or settings.
)";

using namespace wigeonwall;

int reportSettingsError(const process::SettingsFault &Why) {
  std::cerr << "wigeonwall: " << describe(Why) << "\n";
  return static_cast<int>(process::ExitCode::Usage);
}

int runOnPlatform(const std::string &File, bool CheckOnly) {
  process::SettingsFault Why;
  const auto Options = process::dispatch::loadDispatchSettings(File, Why);
  if (!Options)
    return reportSettingsError(Why);
  if (CheckOnly) {
    std::cout << File << ": ok\n";
    return static_cast<int>(process::ExitCode::Done);
  }
  process::startStandardOutputLog(Options->Id_);
  return static_cast<int>(platform::runProcess(*Options, File));
}

int runStandalone(const std::string &File, bool CheckOnly) {
  process::SettingsFault Why;
  const auto Options = process::loadSettings(File, Why);
  if (!Options)
    return reportSettingsError(Why);
  if (CheckOnly) {
    std::cout << File << ": ok\n";
    return static_cast<int>(process::ExitCode::Done);
  }
  if (!process::startLog(Options->Id_, Options->LogFile_))
    std::cerr << "wigeonwall: cannot write " << Options->LogFile_
              << "; logging to stderr\n";
  process::ProcessHost Host(*Options);
  return static_cast<int>(Host.run());
}

} // namespace

int main(int Argc, char **Argv) {
  // docopt::docopt() exits with -1 on a usage error; docopt_parse() lets this
  // program return the documented exit codes.
  std::map<std::string, docopt::value> Arguments;
  try {
    Arguments = docopt::docopt_parse(Usage, {Argv + 1, Argv + Argc}, true);
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    return static_cast<int>(process::ExitCode::Done);
  } catch (const docopt::DocoptArgumentError &Error) {
    std::cerr << "wigeonwall: " << Error.what() << "\n" << Usage;
    return static_cast<int>(process::ExitCode::Usage);
  }
  const bool CheckOnly = bool(Arguments.at("--check-settings"));
  const std::string File =
      Arguments.at(CheckOnly ? "--check-settings" : "--settings").asString();
  return Arguments.at("--platform").asBool() ? runOnPlatform(File, CheckOnly)
                                             : runStandalone(File, CheckOnly);
}
