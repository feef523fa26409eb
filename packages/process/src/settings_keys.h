/// \file
/// \brief Table of the keys of a settings file, with their checks.
#ifndef WIGEONWALL_PROCESS_SETTINGS_KEYS_H
#define WIGEONWALL_PROCESS_SETTINGS_KEYS_H

#include "wigeonwall/process/settings.h"

#include <functional>
#include <string>
#include <vector>

namespace wigeonwall::process::detail {

/// \brief One key of a settings file.
struct SettingsKey {
  std::string Section_;
  std::string Name_;
  bool Required_ = false;
  /// Stores a value; returns what is wrong with it, or "".
  std::function<std::string(const std::string &, Settings &)> Assign_;
};

[[nodiscard]] const std::vector<SettingsKey> &settingsKeys();

} // namespace wigeonwall::process::detail

#endif
