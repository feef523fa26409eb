/// \file
/// \brief A complete `wigeonwall` process: threads, ports and planned stop.
#ifndef WIGEONWALL_PROCESS_ROLES_PROCESS_HOST_H
#define WIGEONWALL_PROCESS_ROLES_PROCESS_HOST_H

#include "wigeonwall/process/settings/settings.h"

#include <cstdint>
#include <memory>

namespace wigeonwall::process {

/// \brief Exit codes of `wigeonwall`.
enum class ExitCode : std::uint8_t {
  /// The planned stop completed all work.
  Done = 0,
  /// The planned stop timed out, or the process could not start.
  Failed = 1,
  /// Invalid command line or settings.
  Usage = 2,
};

/// \brief Runs the role that the settings name.
///
/// The calling thread becomes the control thread; the role starts its traffic
/// threads. SIGTERM and SIGINT begin a planned stop.
class ProcessHost {
public:
  explicit ProcessHost(Settings Options);
  ~ProcessHost();
  ProcessHost(const ProcessHost &) = delete;
  ProcessHost &operator=(const ProcessHost &) = delete;

  /// \brief Runs until the planned stop has completed.
  [[nodiscard]] ExitCode run();

private:
  class Implementation;
  std::unique_ptr<Implementation> Implementation_;
};

} // namespace wigeonwall::process

#endif
