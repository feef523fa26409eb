/// \file
/// \brief Configurations, agent maps and member lists of a given size, for
/// measurements at the target size.
#ifndef WIGEONWALL_STANDINS_TARGET_SIZE_H
#define WIGEONWALL_STANDINS_TARGET_SIZE_H

#include "wigeonwall/process/membership/cluster_view.h"
#include "wigeonwall/version/agent_map.h"
#include "wigeonwall/version/config_codec.h"

#include <vector>

namespace wigeonwall::standins {

/// \brief Creates version 1 with one service "permit-desk", \p Teams teams, \p
/// Kinds kinds and 10 failure domains in 3 regions.
[[nodiscard]] version::Config makeConfig(unsigned Teams, unsigned Kinds);

/// \brief Creates epoch 1 with all \p Members as agents.
[[nodiscard]] version::AgentMap
makeMap(const std::vector<process::Member> &Members);

/// \brief Creates agents "a0".."aN" of "permit-desk" in 10 failure domains.
[[nodiscard]] std::vector<process::Member> makeMembers(unsigned Count);

} // namespace wigeonwall::standins

#endif
