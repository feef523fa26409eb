/// \file
/// \brief Forward declarations of the version package.
#ifndef WIGEONWALL_VERSION_FWD_H
#define WIGEONWALL_VERSION_FWD_H

namespace wigeonwall::version {

struct AgentMap;
struct Config;
struct ConfigChange;
struct MapAgent;
struct StoredConfig;

} // namespace wigeonwall::version

#endif
