/// \file
/// \brief Difference of two configuration documents.
#ifndef WIGEONWALL_VERSION_CONFIG_DIFFERENCE_H
#define WIGEONWALL_VERSION_CONFIG_DIFFERENCE_H

#include "wigeonwall/version/config.h"

#include <json/json.h>

#include <string>
#include <vector>

namespace wigeonwall::version {

/// \brief One changed field, or one added or removed item.
struct ConfigChange {
  /// Path of the field, with the item's name in place of its array index, such
  /// as `/services/permit-desk/kinds/label-lookup/weight`.
  std::string Pointer_;
  /// Null for an added item.
  Json::Value Before_;
  /// Null for a removed item.
  Json::Value After_;
};

/// \brief Lists what turns \p Before into \p After, sorted by pointer.
///
/// Items are matched by name, so their order makes no difference. The version
/// and the edit id are not compared.
[[nodiscard]] std::vector<ConfigChange> diffConfig(const Config &Before,
                                                   const Config &After);

} // namespace wigeonwall::version

#endif
