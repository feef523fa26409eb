/// \file
/// \brief Parsers of setting values. Each returns an error message, or "".
#ifndef WIGEONWALL_PROCESS_SETTINGS_INI_VALUES_H
#define WIGEONWALL_PROCESS_SETTINGS_INI_VALUES_H

#include "wigeonwall/connection/endpoint.h"
#include "wigeonwall/request/enum_names.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <string>
#include <vector>

namespace wigeonwall::process::detail {

inline constexpr std::size_t MaxNameLength = 128;

enum class Wildcard : std::uint8_t { Allowed, Refused };

inline bool isNameCharacter(unsigned char Character) {
  return std::isalnum(Character) != 0 || Character == '-' || Character == '_' ||
         Character == '.' || Character == ':';
}

inline std::string readName(const std::string &Text, std::string &Out) {
  Out = Text;
  if (!Text.empty() && Text.size() <= MaxNameLength &&
      std::all_of(Text.begin(), Text.end(), isNameCharacter))
    return {};
  return "expected 1 to " + std::to_string(MaxNameLength) +
         " letters, digits or characters of \"-_.:\"";
}

inline std::string readPath(const std::string &Text, std::string &Out) {
  Out = Text;
  return Text.empty() ? "expected a file name" : "";
}

template <typename Integer>
inline std::string readInteger(const std::string &Text, std::uint64_t Min,
                               std::uint64_t Max, const char *Unit,
                               Integer &Out) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [ParsedEnd, Status] = std::from_chars(Text.data(), End, Value);
  if (Status != std::errc() || ParsedEnd != End || Value < Min || Value > Max)
    return "expected an integer from " + std::to_string(Min) + " to " +
           std::to_string(Max) + " (" + Unit + "), got \"" + Text + "\"";
  Out = static_cast<Integer>(Value);
  return {};
}

template <typename Enum, std::size_t N>
inline std::string readEnum(const std::string &Text,
                            const std::array<request::EnumName<Enum>, N> &Table,
                            Enum &Out) {
  if (const auto Value = request::findValue(Table, Text)) {
    Out = *Value;
    return {};
  }
  std::string Choices;
  for (const auto &Row : Table)
    Choices += (Choices.empty() ? "" : ", ") + std::string(Row.Name_);
  return "expected one of " + Choices + ", got \"" + Text + "\"";
}

inline std::string readEndpoint(const std::string &Text, Wildcard Policy,
                                connection::Endpoint &Out) {
  const auto Value = connection::parseEndpoint(Text);
  if (!Value || Value->Port_ == 0)
    return "expected IP:PORT with a port from 1 to 65535, got \"" + Text + "\"";
  if (Policy == Wildcard::Refused &&
      (Value->Host_ == "0.0.0.0" || Value->Host_ == "::"))
    return "expected an address that others can connect to, got \"" + Text +
           "\"";
  Out = *Value;
  return {};
}

inline std::string
readAnnouncedEndpoint(const std::string &Text,
                      std::optional<connection::Endpoint> &Out) {
  return readEndpoint(Text, Wildcard::Refused, Out.emplace());
}

inline std::string trim(const std::string &Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

inline std::string readEndpoints(const std::string &Text,
                                 std::vector<connection::Endpoint> &Out) {
  for (std::size_t Start = 0; Start <= Text.size();) {
    const std::size_t Comma = std::min(Text.find(',', Start), Text.size());
    connection::Endpoint Address;
    if (std::string Error =
            readEndpoint(trim(Text.substr(Start, Comma - Start)),
                         Wildcard::Refused, Address);
        !Error.empty())
      return Error;
    if (std::find(Out.begin(), Out.end(), Address) != Out.end())
      return "address " + connection::formatEndpoint(Address) +
             " is listed twice";
    Out.push_back(Address);
    Start = Comma + 1;
  }
  return {};
}

} // namespace wigeonwall::process::detail

#endif
