/// \file
/// \brief Difference between two configuration documents.
#ifndef WIGEONWALL_VERSION_CONFIG_DIFFERENCE_H
#define WIGEONWALL_VERSION_CONFIG_DIFFERENCE_H

#include "wigeonwall/version/config.h"

#include <json/json.h>

#include <string>
#include <vector>

namespace wigeonwall::version {

/// \brief One changed field, or one added or removed item.
struct ConfigChange {
  /// Path of the field, with the names of array items in place of their
  /// indexes, such as `/services/permit-desk/kinds/label-lookup/weight`.
  std::string Pointer_;
  /// Null for an added item.
  Json::Value Before_;
  /// Null for a removed item.
  Json::Value After_;
};

/// \brief Lists the changes from \p Before to \p After, sorted by pointer.
///
/// Items are matched by name; their order is ignored. The version
/// and the edit id are not compared.
[[nodiscard]] std::vector<ConfigChange> diffConfig(const Config &Before,
                                                   const Config &After);

} // namespace wigeonwall::version

#endif
