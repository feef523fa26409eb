/// \file
/// \brief Options and output shared by load and replay.
#ifndef WIGEONWALLCTL_RUN_OPTIONS_H
#define WIGEONWALLCTL_RUN_OPTIONS_H

#include "wigeonwallctl/command.h"
#include "wigeonwallctl/load_run.h"
#include "wigeonwallctl/load_stats.h"
#include "wigeonwallctl/options.h"

#include <fstream>
#include <memory>
#include <string>

namespace wigeonwall::ctl {

struct RunOptions {
  LoadRunOptions Load_;
  /// Opened while options are read, so that a bad path fails before the run;
  /// null without --json.
  std::unique_ptr<std::ofstream> Json_;
};

/// \brief Reads --entry, --client-delay-ms, --connections and --json. The job
/// id prefix is \p IdPrefix followed by a random number.
void readRunOptions(OptionReader &Reader, const std::string &IdPrefix,
                    RunOptions &Out);

/// \brief Writes the statistics to the file of --json, if there is one.
void writeJsonReport(Console Streams, const RunOptions &Run,
                     const Json::Value &Value);

/// \brief Writes a one-line progress report to Err_.
void printProgress(Console Streams, const LoadProgress &Progress,
                   const KindStats &Overall);

} // namespace wigeonwall::ctl

#endif
