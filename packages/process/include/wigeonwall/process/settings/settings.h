/// \file
/// \brief Settings of one `wigeonwall` process, read from an INI file.
///
/// Sections: `[process]` for both roles, then `[entry]` or `[agent]` according
/// to the role. `examples/entry.ini` and `examples/agent.ini` describe every
/// key.
#ifndef WIGEONWALL_PROCESS_SETTINGS_SETTINGS_H
#define WIGEONWALL_PROCESS_SETTINGS_SETTINGS_H

#include "wigeonwall/connection/endpoint.h"
#include "wigeonwall/process/membership/cluster_view.h"
#include "wigeonwall/request/admission.h"
#include "wigeonwall/request/enum_names.h"
#include "wigeonwall/request/fair_queue.h"
#include "wigeonwall/request/fault.h"
#include "wigeonwall/request/placement.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwall::process {

/// \brief Section `[entry]`.
struct EntrySettings {
  connection::Endpoint CallersListen_;
  std::uint32_t TrafficThreads_ = 1;
  std::uint32_t MaxConnections_ = 1024;
  std::uint64_t MaxBodyBytes_ = 1024 * 1024;
};

/// \brief Section `[agent]`.
struct AgentSettings {
  std::string Service_;
  connection::Endpoint Minion_;
  /// Maximum number of requests in flight to the minion.
  std::uint32_t Slots_ = 0;
  /// Maximum number of connections to the minion.
  std::uint32_t Connections_ = 0;
  std::chrono::milliseconds DrainTimeout_{30'000};
  request::PlacementPolicy Placement_ = request::PlacementPolicy::LeastLoaded;
  request::QueuePolicy Queue_ = request::QueuePolicy::Fair;
  request::AdmissionPolicy Admission_ = request::AdmissionPolicy::Share;
};

/// \brief Settings of a process. Only the section of its role is set.
struct Settings {
  std::string Id_;
  Role Role_ = Role::Agent;
  std::string FailureDomain_;
  /// Never a wildcard address, because it is announced by default.
  connection::Endpoint ControlListen_;
  /// Never a wildcard address, because it is announced by default.
  connection::Endpoint TrafficListen_;
  /// Set if other processes reach this one at an address other than
  /// ControlListen_.
  std::optional<connection::Endpoint> ControlAnnounce_;
  /// Set if other processes reach this one at an address other than
  /// TrafficListen_.
  std::optional<connection::Endpoint> TrafficAnnounce_;
  connection::Endpoint AdminListen_;
  /// Empty for the first process of a cluster.
  std::vector<connection::Endpoint> Seeds_;
  /// Addresses of the key-value service; at least one.
  std::vector<connection::Endpoint> Store_;
  /// Empty to log to stderr.
  std::string LogFile_;
  /// Empty if tracing is off.
  std::string TraceFile_;
  EntrySettings Entry_;
  AgentSettings Agent_;

  /// \brief Returns the control address that other processes use.
  [[nodiscard]] const connection::Endpoint &controlAddress() const noexcept {
    return ControlAnnounce_ ? *ControlAnnounce_ : ControlListen_;
  }
  /// \brief Returns the traffic address that other processes use.
  [[nodiscard]] const connection::Endpoint &trafficAddress() const noexcept {
    return TrafficAnnounce_ ? *TrafficAnnounce_ : TrafficListen_;
  }
};

/// \brief Errors in reading or validating settings.
enum class SettingsError : std::uint8_t {
  None,
  Unreadable,
  Syntax,
  UnknownSection,
  UnknownKey,
  DuplicateKey,
  MissingKey,
  BadValue,
};

/// Position_ is "FILE:LINE"; Message_ is "[section] key: error".
using SettingsFault = request::Fault<SettingsError>;

/// \brief Reads and validates the file \p Path.
/// \code
/// SettingsFault Fault;
/// const auto Loaded = loadSettings("agent.ini", Fault);
/// if (!Loaded)
///   std::cerr << describe(Fault) << "\n";
/// \endcode
[[nodiscard]] std::optional<Settings> loadSettings(const std::string &Path,
                                                   SettingsFault &Fault);

/// \brief Parses and validates settings in memory; \p File is the file name in
/// errors.
[[nodiscard]] std::optional<Settings> parseSettings(std::string_view Text,
                                                    const std::string &File,
                                                    SettingsFault &Fault);

/// \brief Reads the text of a settings file.
[[nodiscard]] std::optional<std::string>
readSettingsFile(const std::string &Path, SettingsFault &Fault);

/// \brief Returns "FILE:LINE: [section] key: error".
[[nodiscard]] std::string describe(const SettingsFault &Fault);

} // namespace wigeonwall::process

#endif
