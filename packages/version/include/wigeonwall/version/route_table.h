/// \file
/// \brief Routes of one version of the operators' configuration.
#ifndef WIGEONWALL_VERSION_ROUTE_TABLE_H
#define WIGEONWALL_VERSION_ROUTE_TABLE_H

#include "wigeonwall/request/batch_job.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwall::version {

/// \brief Requests of a host under a path prefix, and their policy.
struct Route {
  std::string Name_;
  std::string Host_;
  /// Starts and ends with "/".
  std::string Prefix_;
  request::RoutePolicy Policy_;
  /// False for routes with a policy that this system does not serve.
  bool Served_ = true;
};

/// \brief An immutable version; later versions have higher numbers.
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
  /// By host, the longest prefix first.
  std::map<std::string, std::vector<Route>, std::less<>> ByHost_;
};

} // namespace wigeonwall::version

#endif
