/// \file
/// \brief Options and output that load and replay share.
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
  /// Opened at once, so that a bad path fails before the run; null without
  /// --json.
  std::unique_ptr<std::ofstream> Json_;
};

/// \brief Reads --entry, --client-delay-ms, --connections and --json; job ids
/// start with \p IdPrefix and a random number.
void readRunOptions(OptionReader &Reader, const std::string &IdPrefix,
                    RunOptions &Out);

/// \brief Writes the figures to the file of --json, if there is one.
void writeFigures(Console Streams, const RunOptions &Run,
                  const Json::Value &Value);

/// \brief Writes one line about a run to Err_.
void printProgress(Console Streams, const LoadProgress &Progress,
                   const KindStats &Overall);

} // namespace wigeonwall::ctl

#endif
