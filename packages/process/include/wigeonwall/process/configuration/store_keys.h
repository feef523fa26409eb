/// \file
/// \brief Keys of the shared documents in the key-value service.
#ifndef WIGEONWALL_PROCESS_CONFIGURATION_STORE_KEYS_H
#define WIGEONWALL_PROCESS_CONFIGURATION_STORE_KEYS_H

namespace wigeonwall::process {

/// \brief Key of the stored configuration (version::StoredConfig).
inline constexpr const char *ConfigKey = "wigeonwall/config";
/// \brief Key of the agent map (version::AgentMap).
inline constexpr const char *MapKey = "wigeonwall/map";

} // namespace wigeonwall::process

#endif
