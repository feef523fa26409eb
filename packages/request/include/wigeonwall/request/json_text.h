/// \file
/// \brief Check of the characters of JSON text, which JsonCpp does not make.
#ifndef WIGEONWALL_REQUEST_JSON_TEXT_H
#define WIGEONWALL_REQUEST_JSON_TEXT_H

#include <cstddef>
#include <optional>
#include <string_view>

namespace wigeonwall::request {

/// \brief Returns the byte offset of the first character that is no Unicode:
/// invalid UTF-8 or an escaped surrogate without its pair.
///
/// JsonCpp accepts such text and writes another character in its place, so a
/// payload would change on its way and two names of an object could become
/// equal.
[[nodiscard]] std::optional<std::size_t>
findInvalidCharacter(std::string_view Text);

} // namespace wigeonwall::request

#endif
