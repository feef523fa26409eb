#include "wigeonwall/version/route_table.h"

#include <algorithm>

namespace wigeonwall::version {

RouteTable::RouteTable(std::int64_t Version, std::vector<Route> Routes)
    : Version_(Version), Count_(Routes.size()) {
  for (Route &Each : Routes) {
    std::vector<Route> &OfHost = ByHost_[Each.Host_];
    OfHost.push_back(std::move(Each));
  }
  for (auto &[Host, OfHost] : ByHost_)
    std::sort(OfHost.begin(), OfHost.end(),
              [](const Route &Left, const Route &Right) {
                return Left.Prefix_.size() > Right.Prefix_.size();
              });
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const {
  const auto OfHost = ByHost_.find(Host);
  if (OfHost == ByHost_.end())
    return nullptr;
  for (const Route &Each : OfHost->second)
    if (Path.substr(0, Each.Prefix_.size()) == Each.Prefix_)
      return &Each;
  return nullptr;
}

} // namespace wigeonwall::version
