/// \file
/// \brief Program `soak`: runs the soak test for a range of seeds.
#include "soak_run.h"

#include <docopt/docopt.h>

#include <iostream>

using namespace wigeonwall::soak;

namespace {

constexpr const char *Usage =
    R"(Runs the programs on loopback with random faults and checks what callers and
minions observe. The environment variable WIGEONWALL_BIN names the build
directory.

Usage:
  soak [--seed=N] [--count=N] [--span=MS] [--first-port=P] [--keep-logs=DIR]
  soak (-h | --help)

Options:
  --seed=N         First seed [default: 1].
  --count=N        Number of consecutive seeds to run [default: 1].
  --span=MS        Duration of the phase with faults [default: 10000].
  --first-port=P   First of the 960 ports used [default: 30000].
  --keep-logs=DIR  Keeps process logs in a subdirectory per seed.
)";

constexpr int ExitViolations = 1;
constexpr int ExitUsage = 2;

/// Runs one seed; returns whether it found no violation.
bool runSeed(const SoakOptions &Options) {
  const SoakResult Result = SoakRun(Options).run();
  std::cout << "seed " << Options.Seed_ << ": " << Result.Summary_ << ", "
            << Result.Violations_.size() << " violations\n";
  if (!Result.Violations_.empty())
    for (const Fault &Each : Result.Plan_)
      std::cout << "  fault: " << Each.describe() << '\n';
  for (const std::string &Each : Result.Violations_)
    std::cout << "  violation: " << Each << '\n';
  std::cout << std::flush;
  return Result.Violations_.empty();
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  auto Given =
      docopt::docopt(Usage, {Arguments + 1, Arguments + ArgumentCount});
  try {
    SoakOptions Options;
    const auto First =
        static_cast<std::uint32_t>(std::stoul(Given["--seed"].asString()));
    const int Count = std::stoi(Given["--count"].asString());
    Options.FaultPhase_ = Time(std::stol(Given["--span"].asString()));
    Options.FirstPort_ = static_cast<std::uint16_t>(
        std::stoul(Given["--first-port"].asString()));
    int Failed = 0;
    for (int I = 0; I < Count; ++I) {
      Options.Seed_ = First + static_cast<std::uint32_t>(I);
      if (Given["--keep-logs"])
        Options.LogDirectory_ = Given["--keep-logs"].asString() + "/seed-" +
                                std::to_string(Options.Seed_);
      Failed += runSeed(Options) ? 0 : 1;
    }
    std::cout << Count - Failed << " of " << Count << " seeds passed\n";
    return Failed == 0 ? 0 : ExitViolations;
  } catch (const std::logic_error &) {
    std::cerr << "soak: option values must be integers\n";
    return ExitUsage;
  } catch (const std::exception &Error) {
    std::cerr << "soak: " << Error.what() << '\n';
    return ExitViolations;
  }
}
