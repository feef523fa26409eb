#include "wigeonwall/process/dispatch/member_list.h"

namespace wigeonwall::process::dispatch {

MemberList parseMembers(const PrefixFollower::Values &Values,
                        const connection::Endpoint &Own) {
  MemberList Result;
  for (const auto &[Key, Address] : Values) {
    const auto Parsed = connection::parseEndpoint(Address);
    if (!Parsed || Parsed->Port_ == 0)
      Result.InvalidKeys_.push_back(Key);
    else if (Key.starts_with(AgentKeyPrefix))
      Result.Agents_[Key.substr(std::string(AgentKeyPrefix).size())] = *Parsed;
    else if (Key.starts_with(EntryKeyPrefix) && *Parsed != Own)
      Result.Entries_.push_back(*Parsed);
  }
  return Result;
}

} // namespace wigeonwall::process::dispatch
