#include "settings_keys.h"

#include "ini_values.h"

namespace wigeonwall::process::detail {

namespace {

constexpr std::uint64_t MaxConnections = 100'000;
constexpr std::uint64_t MinBodyBytes = 1024;
constexpr std::uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;
constexpr std::uint64_t MaxDrainTimeoutMs = 600'000;

std::vector<SettingsKey> processKeys() {
  const std::string Section = "process";
  return {
      {Section, "id", true,
       [](auto &Text, Settings &Out) { return readName(Text, Out.Id_); }},
      {Section, "role", true,
       [](auto &Text, Settings &Out) {
         return readEnum(Text, RoleNames, Out.Role_);
       }},
      {Section, "failure_domain", true,
       [](auto &Text, Settings &Out) {
         return readName(Text, Out.FailureDomain_);
       }},
      {Section, "control_listen", true,
       [](auto &Text, Settings &Out) {
         return readEndpoint(Text, Wildcard::Refused, Out.ControlListen_);
       }},
      {Section, "traffic_listen", true,
       [](auto &Text, Settings &Out) {
         return readEndpoint(Text, Wildcard::Refused, Out.TrafficListen_);
       }},
      {Section, "admin_listen", true,
       [](auto &Text, Settings &Out) {
         return readEndpoint(Text, Wildcard::Allowed, Out.AdminListen_);
       }},
      {Section, "control_announce", false,
       [](auto &Text, Settings &Out) {
         return readAnnouncedEndpoint(Text, Out.ControlAnnounce_);
       }},
      {Section, "traffic_announce", false,
       [](auto &Text, Settings &Out) {
         return readAnnouncedEndpoint(Text, Out.TrafficAnnounce_);
       }},
      {Section, "seeds", true,
       [](auto &Text, Settings &Out) {
         return Text.empty() ? std::string() : readEndpoints(Text, Out.Seeds_);
       }},
      {Section, "store", true,
       [](auto &Text, Settings &Out) {
         return readEndpoints(Text, Out.Store_);
       }},
      {Section, "log_file", false,
       [](auto &Text, Settings &Out) { return readPath(Text, Out.LogFile_); }},
      {Section, "trace_file", false,
       [](auto &Text, Settings &Out) {
         return readPath(Text, Out.TraceFile_);
       }},
  };
}

std::vector<SettingsKey> entryKeys() {
  const std::string Section = "entry";
  return {
      {Section, "callers_listen", true,
       [](auto &Text, Settings &Out) {
         return readEndpoint(Text, Wildcard::Allowed,
                             Out.Entry_.CallersListen_);
       }},
      {Section, "traffic_threads", false,
       [](auto &Text, Settings &Out) {
         return readInteger(Text, 1, 16, "threads", Out.Entry_.TrafficThreads_);
       }},
      {Section, "max_connections", false,
       [](auto &Text, Settings &Out) {
         return readInteger(Text, 1, MaxConnections, "connections",
                            Out.Entry_.MaxConnections_);
       }},
      {Section, "max_body_bytes", false,
       [](auto &Text, Settings &Out) {
         return readInteger(Text, MinBodyBytes, MaxBodyBytes, "bytes",
                            Out.Entry_.MaxBodyBytes_);
       }},
  };
}

std::vector<SettingsKey> agentKeys() {
  const std::string Section = "agent";
  return {
      {Section, "service", true,
       [](auto &Text, Settings &Out) {
         return readName(Text, Out.Agent_.Service_);
       }},
      {Section, "minion", true,
       [](auto &Text, Settings &Out) {
         return readEndpoint(Text, Wildcard::Refused, Out.Agent_.Minion_);
       }},
      {Section, "slots", true,
       [](auto &Text, Settings &Out) {
         return readInteger(Text, 1, 1024, "slots", Out.Agent_.Slots_);
       }},
      {Section, "connections", true,
       [](auto &Text, Settings &Out) {
         return readInteger(Text, 1, 1024, "connections",
                            Out.Agent_.Connections_);
       }},
      {Section, "drain_timeout_ms", false,
       [](auto &Text, Settings &Out) {
         std::int64_t Value = Out.Agent_.DrainTimeout_.count();
         std::string Error =
             readInteger(Text, 0, MaxDrainTimeoutMs, "milliseconds", Value);
         Out.Agent_.DrainTimeout_ = std::chrono::milliseconds(Value);
         return Error;
       }},
      {Section, "placement", false,
       [](auto &Text, Settings &Out) {
         return readEnum(Text, request::PlacementPolicyNames,
                         Out.Agent_.Placement_);
       }},
      {Section, "queue", false,
       [](auto &Text, Settings &Out) {
         return readEnum(Text, request::QueuePolicyNames, Out.Agent_.Queue_);
       }},
      {Section, "admission", false,
       [](auto &Text, Settings &Out) {
         return readEnum(Text, request::AdmissionPolicyNames,
                         Out.Agent_.Admission_);
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
