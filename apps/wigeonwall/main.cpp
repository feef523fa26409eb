/// \file
/// \brief The process of the system; its role comes from its settings.
#include "wigeonwall/process/log.h"
#include "wigeonwall/process/process_host.h"

#include <docopt/docopt.h>

#include <iostream>

namespace {

constexpr const char *Usage = R"(wigeonwall: dispatcher for sub-second tasks.

Usage:
  wigeonwall --settings=FILE
  wigeonwall --check-settings=FILE
  wigeonwall --help

Options:
  --settings=FILE        Run the role that the INI file describes.
  --check-settings=FILE  Check the file and exit.

Signals: SIGTERM and SIGINT begin a planned stop.

Exit codes: 0 planned stop with all work finished, 1 start failed or the
planned stop ran out of time, 2 bad usage or settings.
)";

} // namespace

int main(int Argc, char **Argv) {
  using namespace wigeonwall::process;
  const auto Arguments = docopt::docopt(Usage, {Argv + 1, Argv + Argc});
  const bool CheckOnly = bool(Arguments.at("--check-settings"));
  const std::string File =
      Arguments.at(CheckOnly ? "--check-settings" : "--settings").asString();
  SettingsFault Why;
  const auto Options = loadSettings(File, Why);
  if (!Options) {
    std::cerr << "wigeonwall: " << describe(Why) << "\n";
    return static_cast<int>(ExitCode::Usage);
  }
  if (CheckOnly) {
    std::cout << File << ": ok\n";
    return static_cast<int>(ExitCode::Done);
  }
  if (!startLog(Options->Id_, Options->LogFile_))
    std::cerr << "wigeonwall: cannot write " << Options->LogFile_
              << "; logging to stderr\n";
  ProcessHost Host(*Options);
  return static_cast<int>(Host.run());
}
