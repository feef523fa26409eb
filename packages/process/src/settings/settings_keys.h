/// \file
/// \brief Table of the keys of a settings file and their parsers.
#ifndef WIGEONWALL_PROCESS_SETTINGS_SETTINGS_KEYS_H
#define WIGEONWALL_PROCESS_SETTINGS_SETTINGS_KEYS_H

#include "ini_parser.h"

#include <vector>

namespace wigeonwall::process::detail {

using SettingsKey = IniKey<Settings>;

/// \brief Returns the keys of all sections.
[[nodiscard]] const std::vector<SettingsKey> &settingsKeys();

} // namespace wigeonwall::process::detail

#endif
