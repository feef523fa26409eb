#include "wigeonwall/request/json_text.h"

#include <charconv>
#include <cstdint>

namespace wigeonwall::request {

namespace {

bool isContinuation(char Byte) {
  return (static_cast<unsigned char>(Byte) & 0xC0U) == 0x80U;
}

/// Length of the UTF-8 sequence at the start of \p Text; 0 if invalid.
std::size_t sequenceLength(std::string_view Text) {
  const auto First = static_cast<unsigned char>(Text[0]);
  if (First < 0x80U)
    return 1;
  const std::size_t Length = First >= 0xF0U ? 4 : First >= 0xE0U ? 3 : 2;
  if (First < 0xC2U || First > 0xF4U || Text.size() < Length)
    return 0;
  for (std::size_t I = 1; I < Length; ++I)
    if (!isContinuation(Text[I]))
      return 0;
  const auto Second = static_cast<unsigned char>(Text[1]);
  const bool Overlong =
      (First == 0xE0U && Second < 0xA0U) || (First == 0xF0U && Second < 0x90U);
  const bool Surrogate = First == 0xEDU && Second >= 0xA0U;
  const bool TooLarge = First == 0xF4U && Second >= 0x90U;
  return Overlong || Surrogate || TooLarge ? 0 : Length;
}

/// Code unit of the escape "\uXXXX" at the start of \p Text, if there is one.
std::optional<std::uint32_t> readEscape(std::string_view Text) {
  std::uint32_t Unit = 0;
  if (Text.size() < 6 || Text[0] != '\\' || Text[1] != 'u')
    return std::nullopt;
  const auto [Last, Code] =
      std::from_chars(Text.data() + 2, Text.data() + 6, Unit, 16);
  if (Code != std::errc() || Last != Text.data() + 6)
    return std::nullopt;
  return Unit;
}

/// Length of the escape at the start of \p Text; 0 for an unpaired surrogate.
std::size_t escapeLength(std::string_view Text) {
  const auto Unit = readEscape(Text);
  // Other escapes, also malformed ones, are left to the parser.
  if (!Unit)
    return Text.size() < 2 ? 1 : 2;
  if (*Unit < 0xD800U || *Unit > 0xDFFFU)
    return 6;
  const auto Second = readEscape(Text.substr(6));
  const bool Paired =
      *Unit <= 0xDBFFU && Second && *Second >= 0xDC00U && *Second <= 0xDFFFU;
  return Paired ? 12 : 0;
}

} // namespace

std::optional<std::size_t> findInvalidCharacter(std::string_view Text) {
  std::size_t Offset = 0;
  while (Offset < Text.size()) {
    const std::string_view Rest = Text.substr(Offset);
    const std::size_t Length =
        Rest[0] == '\\' ? escapeLength(Rest) : sequenceLength(Rest);
    if (Length == 0)
      return Offset;
    Offset += Length;
  }
  return std::nullopt;
}

bool hasMoreValues(std::string_view Text, std::size_t MaxValues) {
  // Each value but the first of its container follows a separator.
  std::size_t Values = 1;
  bool InString = false;
  for (std::size_t I = 0; I < Text.size() && Values <= MaxValues; ++I) {
    const char Character = Text[I];
    if (Character == '"')
      InString = !InString;
    else if (InString)
      I += Character == '\\' ? 1 : 0;
    else if (Character == ',' || Character == ':' || Character == '[' ||
             Character == '{')
      ++Values;
  }
  return Values > MaxValues;
}

} // namespace wigeonwall::request
