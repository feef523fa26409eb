#include "settings_keys.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace wigeonwall::process::detail {

namespace {

using connection::Endpoint;

constexpr std::size_t MaxNameLength = 128;
constexpr std::uint64_t MaxConnections = 100'000;
constexpr std::uint64_t MinBodyBytes = 1024;
constexpr std::uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;
constexpr std::uint64_t MaxDrainTimeoutMs = 600'000;

enum class Wildcard : std::uint8_t { Allowed, Refused };

bool isNameCharacter(unsigned char Character) {
  return std::isalnum(Character) != 0 || Character == '-' || Character == '_' ||
         Character == '.' || Character == ':';
}

std::string readName(const std::string &Text, std::string &Out) {
  Out = Text;
  if (!Text.empty() && Text.size() <= MaxNameLength &&
      std::all_of(Text.begin(), Text.end(), isNameCharacter))
    return {};
  return "expected 1 to " + std::to_string(MaxNameLength) +
         " letters, digits or characters of \"-_.:\"";
}

std::string readPath(const std::string &Text, std::string &Out) {
  Out = Text;
  return Text.empty() ? "expected a file name" : "";
}

template <typename Integer>
std::string readInteger(const std::string &Text, std::uint64_t Min,
                        std::uint64_t Max, const char *Unit, Integer &Out) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Last, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc() || Last != End || Value < Min || Value > Max)
    return "expected an integer from " + std::to_string(Min) + " to " +
           std::to_string(Max) + " (" + Unit + "), got \"" + Text + "\"";
  Out = static_cast<Integer>(Value);
  return {};
}

template <typename Enum, std::size_t N>
std::string readEnum(const std::string &Text,
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

std::string readEndpoint(const std::string &Text, Wildcard Any, Endpoint &Out) {
  const auto Value = connection::parseEndpoint(Text);
  if (!Value || Value->Port_ == 0)
    return "expected IP:PORT with a port from 1 to 65535, got \"" + Text + "\"";
  if (Any == Wildcard::Refused &&
      (Value->Host_ == "0.0.0.0" || Value->Host_ == "::"))
    return "expected an address that others can connect to, got \"" + Text +
           "\"";
  Out = *Value;
  return {};
}

std::string readAnnounced(const std::string &Text,
                          std::optional<Endpoint> &Out) {
  return readEndpoint(Text, Wildcard::Refused, Out.emplace());
}

std::string trim(const std::string &Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

std::string readEndpoints(const std::string &Text, std::vector<Endpoint> &Out) {
  for (std::size_t Start = 0; Start <= Text.size();) {
    const std::size_t Comma = std::min(Text.find(',', Start), Text.size());
    Endpoint Each;
    if (std::string Wrong = readEndpoint(
            trim(Text.substr(Start, Comma - Start)), Wildcard::Refused, Each);
        !Wrong.empty())
      return Wrong;
    if (std::find(Out.begin(), Out.end(), Each) != Out.end())
      return "address " + connection::formatEndpoint(Each) + " is listed twice";
    Out.push_back(Each);
    Start = Comma + 1;
  }
  return {};
}

std::vector<SettingsKey> processKeys() {
  const std::string Section = "process";
  return {
      {Section, "id", true,
       [](auto &Text, Settings &To) { return readName(Text, To.Id_); }},
      {Section, "role", true,
       [](auto &Text, Settings &To) {
         return readEnum(Text, RoleNames, To.Role_);
       }},
      {Section, "failure_domain", true,
       [](auto &Text, Settings &To) {
         return readName(Text, To.FailureDomain_);
       }},
      {Section, "control_listen", true,
       [](auto &Text, Settings &To) {
         return readEndpoint(Text, Wildcard::Refused, To.ControlListen_);
       }},
      {Section, "traffic_listen", true,
       [](auto &Text, Settings &To) {
         return readEndpoint(Text, Wildcard::Refused, To.TrafficListen_);
       }},
      {Section, "admin_listen", true,
       [](auto &Text, Settings &To) {
         return readEndpoint(Text, Wildcard::Allowed, To.AdminListen_);
       }},
      {Section, "control_announce", false,
       [](auto &Text, Settings &To) {
         return readAnnounced(Text, To.ControlAnnounce_);
       }},
      {Section, "traffic_announce", false,
       [](auto &Text, Settings &To) {
         return readAnnounced(Text, To.TrafficAnnounce_);
       }},
      {Section, "seeds", true,
       [](auto &Text, Settings &To) {
         return Text.empty() ? std::string() : readEndpoints(Text, To.Seeds_);
       }},
      {Section, "store", true,
       [](auto &Text, Settings &To) { return readEndpoints(Text, To.Store_); }},
      {Section, "log_file", false,
       [](auto &Text, Settings &To) { return readPath(Text, To.LogFile_); }},
      {Section, "trace_file", false,
       [](auto &Text, Settings &To) { return readPath(Text, To.TraceFile_); }},
  };
}

std::vector<SettingsKey> entryKeys() {
  const std::string Section = "entry";
  return {
      {Section, "callers_listen", true,
       [](auto &Text, Settings &To) {
         return readEndpoint(Text, Wildcard::Allowed, To.Entry_.CallersListen_);
       }},
      {Section, "traffic_threads", false,
       [](auto &Text, Settings &To) {
         return readInteger(Text, 1, 16, "threads", To.Entry_.TrafficThreads_);
       }},
      {Section, "max_connections", false,
       [](auto &Text, Settings &To) {
         return readInteger(Text, 1, MaxConnections, "connections",
                            To.Entry_.MaxConnections_);
       }},
      {Section, "max_body_bytes", false,
       [](auto &Text, Settings &To) {
         return readInteger(Text, MinBodyBytes, MaxBodyBytes, "bytes",
                            To.Entry_.MaxBodyBytes_);
       }},
  };
}

std::vector<SettingsKey> agentKeys() {
  const std::string Section = "agent";
  return {
      {Section, "service", true,
       [](auto &Text, Settings &To) {
         return readName(Text, To.Agent_.Service_);
       }},
      {Section, "minion", true,
       [](auto &Text, Settings &To) {
         return readEndpoint(Text, Wildcard::Refused, To.Agent_.Minion_);
       }},
      {Section, "slots", true,
       [](auto &Text, Settings &To) {
         return readInteger(Text, 1, 1024, "slots", To.Agent_.Slots_);
       }},
      {Section, "connections", true,
       [](auto &Text, Settings &To) {
         return readInteger(Text, 1, 1024, "connections",
                            To.Agent_.Connections_);
       }},
      {Section, "drain_timeout_ms", false,
       [](auto &Text, Settings &To) {
         std::int64_t Value = To.Agent_.DrainTimeout_.count();
         std::string Wrong =
             readInteger(Text, 0, MaxDrainTimeoutMs, "milliseconds", Value);
         To.Agent_.DrainTimeout_ = std::chrono::milliseconds(Value);
         return Wrong;
       }},
      {Section, "placement", false,
       [](auto &Text, Settings &To) {
         return readEnum(Text, request::PlacementPolicyNames,
                         To.Agent_.Placement_);
       }},
      {Section, "queue", false,
       [](auto &Text, Settings &To) {
         return readEnum(Text, request::QueuePolicyNames, To.Agent_.Queue_);
       }},
      {Section, "admission", false,
       [](auto &Text, Settings &To) {
         return readEnum(Text, request::AdmissionPolicyNames,
                         To.Agent_.Admission_);
       }},
  };
}

} // namespace

const std::vector<SettingsKey> &settingsKeys() {
  static const std::vector<SettingsKey> Keys = [] {
    std::vector<SettingsKey> All = processKeys();
    for (auto &&Part : {entryKeys(), agentKeys()})
      All.insert(All.end(), Part.begin(), Part.end());
    return All;
  }();
  return Keys;
}

} // namespace wigeonwall::process::detail
