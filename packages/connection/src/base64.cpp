#include "wigeonwall/connection/base64.h"

#include <cstdint>

namespace wigeonwall::connection {

namespace {

constexpr std::string_view Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::uint32_t byteAt(std::string_view Bytes, std::size_t Index) {
  return Index < Bytes.size() ? static_cast<unsigned char>(Bytes[Index]) : 0;
}

} // namespace

std::string encodeBase64(std::string_view Bytes) {
  std::string Text;
  Text.reserve((Bytes.size() + 2) / 3 * 4);
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    const std::uint32_t Group = byteAt(Bytes, I) << 16 |
                                byteAt(Bytes, I + 1) << 8 |
                                byteAt(Bytes, I + 2);
    Text += Alphabet[Group >> 18 & 63];
    Text += Alphabet[Group >> 12 & 63];
    Text += I + 1 < Bytes.size() ? Alphabet[Group >> 6 & 63] : '=';
    Text += I + 2 < Bytes.size() ? Alphabet[Group & 63] : '=';
  }
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  if (Text.size() % 4 != 0)
    return std::nullopt;
  std::size_t Padding = 0;
  while (Padding < 2 && !Text.empty() && Text.back() == '=') {
    Text.remove_suffix(1);
    ++Padding;
  }
  std::string Bytes;
  Bytes.reserve(Text.size() * 3 / 4);
  std::uint32_t Group = 0;
  unsigned Bits = 0;
  for (char Character : Text) {
    const std::size_t Digit = Alphabet.find(Character);
    if (Digit == std::string_view::npos)
      return std::nullopt;
    Group = Group << 6 | static_cast<std::uint32_t>(Digit);
    Bits += 6;
    if (Bits < 8)
      continue;
    Bits -= 8;
    Bytes += static_cast<char>(Group >> Bits & 0xff);
  }
  return Bytes;
}

} // namespace wigeonwall::connection
