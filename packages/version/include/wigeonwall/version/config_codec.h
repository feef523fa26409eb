/// \file
/// \brief JSON encoding of the configuration document and of its stored form.
#ifndef WIGEONWALL_VERSION_CONFIG_CODEC_H
#define WIGEONWALL_VERSION_CONFIG_CODEC_H

#include "wigeonwall/request/enum_names.h"
#include "wigeonwall/request/fault.h"
#include "wigeonwall/version/config.h"

#include <json/json.h>

#include <optional>
#include <string_view>
#include <vector>

namespace wigeonwall::version {

/// \brief Errors of a configuration document.
enum class ConfigError : std::uint8_t {
  None,
  /// Invalid JSON; no other fault is reported with it.
  Syntax,
  /// A field is missing, unknown, of the wrong type or out of range.
  Schema,
  /// Each field is valid, but some are inconsistent with each other.
  Semantics,
};

inline constexpr std::array<request::EnumName<ConfigError>, 4> ConfigErrorNames{
    {
        {ConfigError::None, "none"},
        {ConfigError::Syntax, "syntax"},
        {ConfigError::Schema, "schema"},
        {ConfigError::Semantics, "meaning"},
    }};

using ConfigFault = request::Fault<ConfigError>;

/// \brief Decodes a document; adds all faults with JSON pointers to \p Faults.
///
/// `version` and `edit_id` are optional, because the writer adds them. The
/// semantic checks run only on a document that conforms to the schema:
/// - names are unique within services, kinds of a service, teams and failure
///   domains;
/// - guaranteed shares of a service add up to at most 1;
/// - no timeout exceeds the age at which a request expires (retention - 60 s);
/// - unless all teams are disabled, the limit of at least one team admits the
///   largest job of each kind.
[[nodiscard]] std::optional<Config>
decodeConfig(const Json::Value &Value, std::vector<ConfigFault> &Faults);

/// \brief Parses and decodes text.
[[nodiscard]] std::optional<Config>
parseConfig(std::string_view Text, std::vector<ConfigFault> &Faults);

/// \brief Encodes all fields; `version` and `edit_id` only when set.
[[nodiscard]] Json::Value encodeConfig(const Config &Document);

/// \brief One accepted edit.
struct ConfigEdit {
  std::string EditId_;
  /// Version that the edit created.
  std::uint64_t Version_ = 0;
};

/// \brief Maximum number of edits listed in the stored document.
inline constexpr std::size_t MaxRecentEdits = 16;

/// \brief Form of the document in the key-value service:
/// `{"config": {...}, "edits": [{"edit_id", "version"}]}`.
///
/// The list of edits lets a writer whose reply was lost find its edit after
/// later edits by other writers.
struct StoredConfig {
  Config Config_;
  /// Oldest first; the last one created Config_.
  std::vector<ConfigEdit> Edits_;
};

/// \brief Decodes the stored form; `version` and `edit_id` are required.
[[nodiscard]] std::optional<StoredConfig>
decodeStoredConfig(const Json::Value &Value, std::vector<ConfigFault> &Faults);

[[nodiscard]] std::optional<StoredConfig>
parseStoredConfig(std::string_view Text, std::vector<ConfigFault> &Faults);

[[nodiscard]] Json::Value encodeStoredConfig(const StoredConfig &Stored);

} // namespace wigeonwall::version

#endif
