#include "wigeonwall/version/route_table.h"

#include <algorithm>

namespace wigeonwall::version {

RouteTable::RouteTable(std::int64_t Version, std::vector<Route> Routes)
    : Version_(Version), Count_(Routes.size()) {
  for (Route &NewRoute : Routes) {
    std::vector<Route> &HostRoutes = RoutesByHost_[NewRoute.Host_];
    HostRoutes.push_back(std::move(NewRoute));
  }
  for (auto &[Host, HostRoutes] : RoutesByHost_)
    std::sort(HostRoutes.begin(), HostRoutes.end(),
              [](const Route &Left, const Route &Right) {
                return Left.Prefix_.size() > Right.Prefix_.size();
              });
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const {
  const auto HostRoutes = RoutesByHost_.find(Host);
  if (HostRoutes == RoutesByHost_.end())
    return nullptr;
  for (const Route &Candidate : HostRoutes->second)
    if (Path.substr(0, Candidate.Prefix_.size()) == Candidate.Prefix_)
      return &Candidate;
  return nullptr;
}

} // namespace wigeonwall::version
