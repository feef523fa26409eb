/// \file
/// \brief Parses an INI file into validated settings using a table of keys.
#ifndef WIGEONWALL_PROCESS_SETTINGS_INI_PARSER_H
#define WIGEONWALL_PROCESS_SETTINGS_INI_PARSER_H

#include "wigeonwall/process/settings/settings.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace wigeonwall::process::detail {

inline constexpr int MaxIniLineBytes = 4096;

/// \brief One key of a settings file.
template <typename Target> struct IniKey {
  std::string Section_;
  std::string Name_;
  bool Required_ = false;
  /// Stores a value; returns an error message, or "".
  std::function<std::string(const std::string &, Target &)> Assign_;
};

/// \brief Keys and validation of one type of settings file.
///
/// The sections are `[process]` and one per role. Only the section of the
/// process's own role is permitted.
template <typename Target> struct IniFormat {
  std::vector<IniKey<Target>> Keys_;
  /// Validates values against each other; returns section and error message, or
  /// two empty strings.
  std::function<std::pair<std::string, std::string>(const Target &)> Check_;
};

/// \brief Feeds text to inih line by line and collects the validated settings.
template <typename Target> class IniParser {
public:
  IniParser(const IniFormat<Target> &Format, std::string_view Text,
            const std::string &File, SettingsFault &Fault)
      : Format_(Format), Remaining_(Text), File_(File), Fault_(Fault) {}

  std::optional<Target> run() {
    // The default of 200 bytes is too short for long lists of addresses.
    ini_use_stack = false;
    ini_initial_alloc = MaxIniLineBytes;
    ini_max_line = MaxIniLineBytes;
    const int SyntaxLine = ini_parse_stream(readLine, this, acceptKey, this);
    if (SyntaxLine < 0)
      fail(SettingsError::Unreadable, 1, "not enough memory");
    if (SyntaxLine > 0 && (!Failed_ || SyntaxLine < FaultLine_)) {
      Failed_ = false;
      fail(SettingsError::Syntax, SyntaxLine,
           "expected \"[section]\", \"key = value\" or a comment");
    }
    if (!Failed_)
      checkSections();
    if (!Failed_)
      checkRequiredKeys();
    if (!Failed_)
      validateValues();
    return Failed_ ? std::nullopt : std::optional<Target>(Result_);
  }

private:
  // Called by inih with the interface of fgets(). Each call returns one
  // complete line, because a line longer than the buffer aborts the parsing.
  static char *readLine(char *Buffer, int Size, void *Self) {
    return static_cast<IniParser *>(Self)->nextLine(
        Buffer, static_cast<std::size_t>(Size));
  }

  static int acceptKey(void *Self, const char *Section, const char *Name,
                       const char *Value) {
    return static_cast<IniParser *>(Self)->accept(Section, Name, Value) ? 1 : 0;
  }

  char *nextLine(char *Buffer, std::size_t Size) {
    if (Remaining_.empty() || Failed_)
      return nullptr;
    ++Line_;
    const std::size_t Length =
        std::min(Remaining_.find('\n'), Remaining_.size());
    std::string_view Text = Remaining_.substr(0, Length);
    Remaining_.remove_prefix(std::min(Length + 1, Remaining_.size()));
    // inih would treat an indented line as a continuation of the previous
    // value.
    Text.remove_prefix(std::min(Text.find_first_not_of(" \t"), Text.size()));
    if (Text.size() + 2 > Size || Text.find('\0') != std::string_view::npos) {
      fail(SettingsError::Syntax, Line_,
           "line has a NUL character or more than " + std::to_string(Size - 2) +
               " characters");
      return nullptr;
    }
    recordSection(Text);
    std::memcpy(Buffer, Text.data(), Text.size());
    Buffer[Text.size()] = '\n';
    Buffer[Text.size() + 1] = '\0';
    return Buffer;
  }

  void recordSection(std::string_view Text) {
    const std::size_t End = Text.find(']');
    if (Text.starts_with('[') && End != std::string_view::npos)
      SectionLines_.emplace(Text.substr(1, End - 1), Line_);
  }

  bool accept(const std::string &Section, const std::string &Name,
              const std::string &Value) {
    const std::string Label = "[" + Section + "] " + Name + ": ";
    const auto SectionLine = SectionLines_.find(Section);
    if (SectionLine != SectionLines_.end() &&
        !checkSection(Section, SectionLine->second))
      return false;
    const auto &Keys = Format_.Keys_;
    const auto Key =
        std::find_if(Keys.begin(), Keys.end(), [&](auto &Candidate) {
          return Candidate.Section_ == Section && Candidate.Name_ == Name;
        });
    if (Key == Keys.end())
      return fail(SettingsError::UnknownKey, Line_, Label + "unknown key");
    if (!AssignedKeys_.emplace(Section, Name).second)
      return fail(SettingsError::DuplicateKey, Line_,
                  Label + "key is set twice");
    const std::string Error = Key->Assign_(Value, Result_);
    return Error.empty() || fail(SettingsError::BadValue, Line_, Label + Error);
  }

  bool checkSection(const std::string &Section, int Line) {
    const std::string Label = "[" + Section + "]: ";
    if (Section == "process")
      return true;
    const auto SectionRole = request::findValue(RoleNames, Section);
    if (!SectionRole)
      return fail(SettingsError::UnknownSection, Line,
                  Label + "unknown section");
    const bool RoleKnown = AssignedKeys_.count({"process", "role"}) != 0;
    if (!RoleKnown || *SectionRole == Result_.Role_)
      return true;
    const std::string RoleName(request::findName(RoleNames, Result_.Role_));
    return fail(SettingsError::UnknownSection, Line,
                Label + "section does not fit role \"" + RoleName + "\"");
  }

  // The role may be set after a section that does not belong to it.
  void checkSections() {
    for (const auto &[Section, Line] : SectionLines_)
      checkSection(Section, Line);
  }

  void checkRequiredKeys() {
    const std::string RoleName(request::findName(RoleNames, Result_.Role_));
    for (const IniKey<Target> &Key : Format_.Keys_) {
      const bool IsApplicable =
          Key.Section_ == "process" || Key.Section_ == RoleName;
      if (!IsApplicable || !Key.Required_ ||
          AssignedKeys_.count({Key.Section_, Key.Name_}))
        continue;
      const auto Found = SectionLines_.find(Key.Section_);
      fail(SettingsError::MissingKey,
           Found == SectionLines_.end() ? std::max(Line_, 1) : Found->second,
           "[" + Key.Section_ + "] " + Key.Name_ + ": key is missing");
    }
  }

  void validateValues() {
    const auto [Section, Error] = Format_.Check_(Result_);
    if (!Error.empty())
      fail(SettingsError::BadValue, SectionLines_[Section], Error);
  }

  bool fail(SettingsError Code, int Line, std::string Message) {
    if (Failed_)
      return false;
    Failed_ = true;
    FaultLine_ = Line;
    Fault_ = {Code, std::move(Message), File_ + ":" + std::to_string(Line)};
    return false;
  }

  const IniFormat<Target> &Format_;
  std::string_view Remaining_;
  const std::string &File_;
  SettingsFault &Fault_;
  Target Result_;
  int Line_ = 0;
  int FaultLine_ = 0;
  bool Failed_ = false;
  std::map<std::string, int> SectionLines_;
  std::set<std::pair<std::string, std::string>> AssignedKeys_;
};

} // namespace wigeonwall::process::detail

#endif
