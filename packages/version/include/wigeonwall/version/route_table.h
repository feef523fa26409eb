/// \file
/// \brief Routing rules of one version of the operators' configuration.
#ifndef WIGEONWALL_VERSION_ROUTE_TABLE_H
#define WIGEONWALL_VERSION_ROUTE_TABLE_H

#include "wigeonwall/request/batch_job.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwall::version {

/// \brief Policy for the requests of a host under a path prefix.
struct Route {
  std::string Name_;
  std::string Host_;
  /// Starts and ends with "/".
  std::string Prefix_;
  request::RoutePolicy Policy_;
  /// False if the route has a policy that this system does not support.
  bool Served_ = true;
};

/// \brief Immutable set of routes; newer sets have higher versions.
class RouteTable {
public:
  RouteTable(std::int64_t Version, std::vector<Route> Routes);

  [[nodiscard]] std::int64_t version() const noexcept { return Version_; }
  [[nodiscard]] std::size_t size() const noexcept { return Count_; }
  /// \brief Route of \p Host with the longest prefix of \p Path, or null.
  [[nodiscard]] const Route *find(std::string_view Host,
                                  std::string_view Path) const;

private:
  std::int64_t Version_;
  std::size_t Count_;
  /// Routes by host, the longest prefix first.
  std::map<std::string, std::vector<Route>, std::less<>> RoutesByHost_;
};

} // namespace wigeonwall::version

#endif
