/// \file
/// \brief JSON form of the configuration document and of its stored wrapper.
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
  /// Not JSON; the only fault then.
  Syntax,
  /// Field missing, unknown, of a wrong type or out of range.
  Schema,
  /// Each field is valid, but together they are not.
  Meaning,
};

inline constexpr std::array<request::EnumName<ConfigError>, 4> ConfigErrorNames{
    {
        {ConfigError::None, "none"},
        {ConfigError::Syntax, "syntax"},
        {ConfigError::Schema, "schema"},
        {ConfigError::Meaning, "meaning"},
    }};

using ConfigFault = request::Fault<ConfigError>;

/// \brief Decodes a document and lists all its faults with JSON pointers.
///
/// `version` and `edit_id` are optional, because the writer adds them. The
/// checks of meaning run on a document that the schema accepts:
/// - names are unique within services, kinds of a service, teams and failure
///   domains;
/// - guaranteed shares of a service add up to at most 1;
/// - no timeout exceeds the age at which a request expires (retention - 60 s);
/// - unless all teams are closed, some team may have as many tasks in flight as
///   the largest job of a kind.
[[nodiscard]] std::optional<Config>
decodeConfig(const Json::Value &Value, std::vector<ConfigFault> &Faults);

/// \brief Parses and decodes text.
[[nodiscard]] std::optional<Config>
parseConfig(std::string_view Text, std::vector<ConfigFault> &Faults);

/// \brief Writes all fields; `version` and `edit_id` only when set.
[[nodiscard]] Json::Value encodeConfig(const Config &Document);

/// \brief One accepted edit.
struct ConfigEdit {
  std::string EditId_;
  /// Version that the edit made.
  std::uint64_t Version_ = 0;
};

/// \brief Most edits that the stored document names.
inline constexpr std::size_t MaxRecentEdits = 16;

/// \brief What the key-value service holds:
/// `{"config": {...}, "edits": [{"edit_id", "version"}]}`.
///
/// The list of edits lets a writer whose reply was lost find its edit after
/// others have written on top of it.
struct StoredConfig {
  Config Config_;
  /// Oldest first; the last one made Config_.
  std::vector<ConfigEdit> Edits_;
};

/// \brief Decodes the stored form; `version` and `edit_id` are needed.
[[nodiscard]] std::optional<StoredConfig>
decodeStoredConfig(const Json::Value &Value, std::vector<ConfigFault> &Faults);

[[nodiscard]] std::optional<StoredConfig>
parseStoredConfig(std::string_view Text, std::vector<ConfigFault> &Faults);

[[nodiscard]] Json::Value encodeStoredConfig(const StoredConfig &Stored);

} // namespace wigeonwall::version

#endif
