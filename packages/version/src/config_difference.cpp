#include "wigeonwall/version/config_difference.h"

#include "wigeonwall/version/config_codec.h"

#include <set>

namespace wigeonwall::version {

namespace {

/// \brief Converts each array of named items to an object keyed by name.
Json::Value keyByName(const Json::Value &Value) {
  if (!Value.isArray() && !Value.isObject())
    return Value;
  Json::Value Result(Json::objectValue);
  if (Value.isArray())
    for (const Json::Value &Item : Value)
      Result[Item["name"].asString()] = keyByName(Item);
  else
    for (const std::string &Name : Value.getMemberNames())
      Result[Name] = keyByName(Value[Name]);
  return Result;
}

void collectChanges(const Json::Value &Before, const Json::Value &After,
                    const std::string &Pointer,
                    std::vector<ConfigChange> &Changes) {
  if (Before == After)
    return;
  if (!Before.isObject() || !After.isObject()) {
    Changes.push_back({Pointer, Before, After});
    return;
  }
  std::set<std::string> Names;
  for (const Json::Value *Side : {&Before, &After})
    for (const std::string &Name : Side->getMemberNames())
      Names.insert(Name);
  for (const std::string &Name : Names)
    collectChanges(Before[Name], After[Name], Pointer + "/" + Name, Changes);
}

Json::Value toComparable(const Config &Document) {
  Json::Value Value = keyByName(encodeConfig(Document));
  Value.removeMember("version");
  Value.removeMember("edit_id");
  return Value;
}

} // namespace

std::vector<ConfigChange> diffConfig(const Config &Before,
                                     const Config &After) {
  std::vector<ConfigChange> Changes;
  collectChanges(toComparable(Before), toComparable(After), "", Changes);
  return Changes;
}

} // namespace wigeonwall::version
