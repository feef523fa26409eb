/// \file
/// \brief Unicode validation of JSON text, which JsonCpp does not do.
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

} // namespace wigeonwall::request

#endif
