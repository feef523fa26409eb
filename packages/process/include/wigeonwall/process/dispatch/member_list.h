/// \file
/// \brief Entries and agents that have registered in the store.
#ifndef WIGEONWALL_PROCESS_DISPATCH_MEMBER_LIST_H
#define WIGEONWALL_PROCESS_DISPATCH_MEMBER_LIST_H

#include "wigeonwall/connection/endpoint.h"
#include "wigeonwall/process/dispatch/prefix_follower.h"

#include <map>
#include <string>
#include <vector>

namespace wigeonwall::process::dispatch {

/// Keys of the members in the store: the prefix of the role followed by the
/// name of the process. The value is the address for other processes.
inline constexpr const char *MemberKeyPrefix = "wigeonwall/";
inline constexpr const char *AgentKeyPrefix = "wigeonwall/agents/";
inline constexpr const char *EntryKeyPrefix = "wigeonwall/entries/";

struct MemberList {
  std::map<std::string, connection::Endpoint> Agents_;
  std::vector<connection::Endpoint> Entries_;
  /// Keys whose value is not a valid address.
  std::vector<std::string> InvalidKeys_;
};

/// \brief Parses the keys under MemberKeyPrefix; omits the entry with the
/// address \p Own.
[[nodiscard]] MemberList parseMembers(const PrefixFollower::Values &Values,
                                      const connection::Endpoint &Own);

} // namespace wigeonwall::process::dispatch

#endif
