// Only this file includes valijson, which is slow to compile.
#define VALIJSON_USE_EXCEPTIONS 1

#include "wigeonwall/version/config_schema.h"

#include "config_validation.h"

#include "wigeonwall/request/codec.h"

#include <valijson/adapters/jsoncpp_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <memory>

namespace wigeonwall::version::detail {

namespace {

using valijson::adapters::JsonCppAdapter;

std::unique_ptr<valijson::Schema> parseSchema() {
  request::CodecFault Ignored;
  const auto Text = request::parseJson(ConfigSchema, Ignored);
  auto Schema = std::make_unique<valijson::Schema>();
  valijson::SchemaParser().populateSchema(JsonCppAdapter(Text.value()),
                                          *Schema);
  return Schema;
}

/// \brief Converts {"<root>", "[services]", "[0]"} to the JSON pointer
/// "/services/0".
std::string toPointer(const std::vector<std::string> &Path) {
  std::string Pointer;
  for (std::size_t I = 1; I < Path.size(); ++I) {
    Pointer += '/';
    for (char Character : Path[I].substr(1, Path[I].size() - 2)) {
      if (Character == '~')
        Pointer += "~0";
      else if (Character == '/')
        Pointer += "~1";
      else
        Pointer += Character;
    }
  }
  return Pointer;
}

/// \brief Replaces the validator's message with one for operators.
ConfigFault toFault(const valijson::ValidationResults::Error &Error) {
  static constexpr std::string_view Missing = "Missing required property '";
  ConfigFault Fault{ConfigError::Schema, Error.description,
                    toPointer(Error.context)};
  if (Fault.Message_.starts_with(Missing)) {
    const std::size_t End = Fault.Message_.rfind('\'');
    Fault.Position_ +=
        "/" + Fault.Message_.substr(Missing.size(), End - Missing.size());
    Fault.Message_ = "field is missing";
  } else if (Fault.Message_.find("'not' constraint") != std::string::npos) {
    Fault.Message_ = "unknown field";
  } else if (Fault.Message_.find("'pattern' constraint") != std::string::npos) {
    Fault.Message_ =
        "expected 1 to 64 letters, digits or characters of \"-_.:\"";
  }
  return Fault;
}

/// \brief True for an error of a container that only summarizes errors of its
/// items.
bool isContainerError(const valijson::ValidationResults::Error &Error) {
  return Error.description.starts_with("Failed to validate");
}

} // namespace

void checkSchema(const Json::Value &Value, std::vector<ConfigFault> &Faults) {
  static const std::unique_ptr<valijson::Schema> Schema = parseSchema();
  valijson::Validator Validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults Results;
  if (Validator.validate(*Schema, JsonCppAdapter(Value), &Results))
    return;
  const std::size_t First = Faults.size();
  for (const auto &Error : Results)
    if (!isContainerError(Error))
      Faults.push_back(toFault(Error));
  if (Faults.size() == First)
    Faults.push_back({ConfigError::Schema, "not a configuration document", ""});
}

} // namespace wigeonwall::version::detail
