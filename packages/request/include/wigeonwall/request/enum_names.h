/// \file
/// \brief Lookup tables between scoped enumerations and their names.
#ifndef WIGEONWALL_REQUEST_ENUM_NAMES_H
#define WIGEONWALL_REQUEST_ENUM_NAMES_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace wigeonwall::request {

/// \brief One row of a name table.
template <typename Enum> struct EnumName {
  Enum Value_;
  std::string_view Name_;
};

/// \brief Returns the name of \p Value, or "unknown" if it is not in the table.
template <typename Enum, std::size_t N>
[[nodiscard]] constexpr std::string_view
findName(const std::array<EnumName<Enum>, N> &Table, Enum Value) noexcept {
  for (const auto &Row : Table)
    if (Row.Value_ == Value)
      return Row.Name_;
  return "unknown";
}

/// \brief Returns the value named \p Name, if it is in the table.
template <typename Enum, std::size_t N>
[[nodiscard]] constexpr std::optional<Enum>
findValue(const std::array<EnumName<Enum>, N> &Table,
          std::string_view Name) noexcept {
  for (const auto &Row : Table)
    if (Row.Name_ == Name)
      return Row.Value_;
  return std::nullopt;
}

} // namespace wigeonwall::request

#endif
