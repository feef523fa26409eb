#include "wigeonwall/version/config.h"

#include <algorithm>

namespace wigeonwall::version {

namespace {

template <typename Item>
const Item *findByName(const std::vector<Item> &Items,
                       const std::string &Name) {
  const auto Found =
      std::find_if(Items.begin(), Items.end(),
                   [&](const Item &Each) { return Each.Name_ == Name; });
  return Found == Items.end() ? nullptr : &*Found;
}

} // namespace

const KindConfig *ServiceConfig::findKind(const std::string &Name) const {
  return findByName(Kinds_, Name);
}

const ServiceConfig *Config::findService(const std::string &Name) const {
  return findByName(Services_, Name);
}

const TeamConfig *Config::findTeam(const std::string &Name) const {
  return findByName(Teams_, Name);
}

} // namespace wigeonwall::version
