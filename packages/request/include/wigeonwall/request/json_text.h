/// \file
/// \brief Checks of JSON text that JsonCpp does not do.
#ifndef WIGEONWALL_REQUEST_JSON_TEXT_H
#define WIGEONWALL_REQUEST_JSON_TEXT_H

#include <cstddef>
#include <optional>
#include <string_view>

namespace wigeonwall::request {

/// \brief Returns the byte offset of the first invalid character: invalid UTF-8
/// or an unpaired escaped surrogate.
///
/// JsonCpp accepts such text and writes a different character instead, so a
/// payload would be altered in transit and two member names of an object could
/// become equal.
[[nodiscard]] std::optional<std::size_t>
findInvalidCharacter(std::string_view Text);

/// \brief Returns whether \p Text has more than \p MaxValues values and member
/// names; exact for valid JSON.
///
/// JsonCpp uses about 100 bytes for each value, so that a text of "[0],[0]"
/// takes 70 times its size when it is parsed.
[[nodiscard]] bool hasMoreValues(std::string_view Text, std::size_t MaxValues);

} // namespace wigeonwall::request

#endif
