#include "wigeonwall/process/settings/settings.h"

#include "ini_parser.h"
#include "settings_keys.h"

#include <fstream>
#include <iterator>
#include <sstream>

namespace wigeonwall::process {

namespace {

std::pair<std::string, std::string> checkListeners(const Settings &Parsed) {
  std::map<connection::Endpoint, std::string> Labels;
  std::pair<std::string, std::string> Error;
  const auto RequireUnique = [&](const connection::Endpoint &Address,
                                 const std::string &Section, const char *Name) {
    const std::string Label = "[" + Section + "] " + Name;
    const auto [Previous, Inserted] = Labels.emplace(Address, Label);
    if (!Inserted && Error.second.empty())
      Error = {Section, Label + ": same address as " + Previous->second};
  };
  RequireUnique(Parsed.ControlListen_, "process", "control_listen");
  RequireUnique(Parsed.TrafficListen_, "process", "traffic_listen");
  RequireUnique(Parsed.AdminListen_, "process", "admin_listen");
  if (Parsed.Role_ == Role::Entry)
    RequireUnique(Parsed.Entry_.CallersListen_, "entry", "callers_listen");
  else
    RequireUnique(Parsed.Agent_.Minion_, "agent", "minion");
  if (Error.second.empty() &&
      Parsed.controlAddress() == Parsed.trafficAddress())
    Error = {"process", "[process] traffic_announce: same address as the "
                        "control address"};
  return Error;
}

} // namespace

std::optional<std::string> readSettingsFile(const std::string &Path,
                                            SettingsFault &Fault) {
  std::ifstream Stream(Path, std::ios::binary);
  std::ostringstream Text;
  if (Stream && (Text << Stream.rdbuf()))
    return Text.str();
  Fault = {SettingsError::Unreadable, "file cannot be read or is empty",
           Path + ":1"};
  return std::nullopt;
}

std::optional<Settings> parseSettings(std::string_view Text,
                                      const std::string &File,
                                      SettingsFault &Fault) {
  static const detail::IniFormat<Settings> Format{detail::settingsKeys(),
                                                  checkListeners};
  return detail::IniParser<Settings>(Format, Text, File, Fault).run();
}

std::optional<Settings> loadSettings(const std::string &Path,
                                     SettingsFault &Fault) {
  const auto Text = readSettingsFile(Path, Fault);
  return Text ? parseSettings(*Text, Path, Fault) : std::nullopt;
}

std::string describe(const SettingsFault &Fault) {
  return Fault.Position_ + ": " + Fault.Message_;
}

} // namespace wigeonwall::process
