/// \file
/// \brief Base64 with padding (RFC 4648, section 4).
#ifndef WIGEONWALL_CONNECTION_BASE64_H
#define WIGEONWALL_CONNECTION_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace wigeonwall::connection {

[[nodiscard]] std::string encodeBase64(std::string_view Bytes);

/// \brief Returns nothing if the length, a character or the padding is invalid.
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace wigeonwall::connection

#endif
