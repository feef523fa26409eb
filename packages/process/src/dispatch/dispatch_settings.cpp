#include "wigeonwall/process/dispatch/dispatch_settings.h"

#include "../ini_parser.h"
#include "../ini_values.h"

namespace wigeonwall::process::dispatch {

namespace {

using detail::Wildcard;
using Key = detail::IniKey<DispatchSettings>;

constexpr std::uint64_t MaxDurationMs = 600'000;
constexpr double PercentPerUnit = 100.0;
constexpr double MaxPenalty = 100.0;

Key endpointKey(const char *Section, const char *Name,
                connection::Endpoint DispatchSettings::*Field) {
  return {Section, Name, true, [Field](auto &Text, DispatchSettings &To) {
            return detail::readEndpoint(Text, Wildcard::Refused, To.*Field);
          }};
}

Key durationKey(const char *Section, const char *Name,
                std::chrono::milliseconds DispatchSettings::*Field) {
  return {Section, Name, false, [Field](auto &Text, DispatchSettings &To) {
            std::int64_t Value = 0;
            std::string Wrong = detail::readInteger(Text, 1, MaxDurationMs,
                                                    "milliseconds", Value);
            if (Wrong.empty())
              To.*Field = std::chrono::milliseconds(Value);
            return Wrong;
          }};
}

/// Reads a factor such as "1.5" or "3".
std::string readPenalty(const std::string &Text, std::int64_t &Percent) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Last, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc() || Last != End || Value < 1 || Value > MaxPenalty)
    return "expected a factor from 1 to 100, got \"" + Text + "\"";
  Percent = static_cast<std::int64_t>(Value * PercentPerUnit);
  return {};
}

detail::IniFormat<DispatchSettings> makeFormat() {
  using S = DispatchSettings;
  detail::IniFormat<S> Format;
  Format.Keys_ = {
      {"process", "id", true,
       [](auto &Text, S &To) { return detail::readName(Text, To.Id_); }},
      {"process", "role", true,
       [](auto &Text, S &To) {
         return detail::readEnum(Text, RoleNames, To.Role_);
       }},
      {"process", "failure_domain", true,
       [](auto &Text, S &To) {
         return detail::readName(Text, To.FailureDomain_);
       }},
      endpointKey("process", "peers_listen", &S::PeersListen_),
      endpointKey("process", "metrics_listen", &S::MetricsListen_),
      endpointKey("process", "store", &S::Store_),
      durationKey("process", "drain_timeout_ms", &S::DrainTimeout_),
      endpointKey("entry", "callers_listen", &S::CallersListen_),
      endpointKey("entry", "readiness_listen", &S::ReadinessListen_),
      {"entry", "remote_penalty", false,
       [](auto &Text, S &To) {
         return readPenalty(Text, To.RemotePenaltyPercent_);
       }},
      endpointKey("agent", "reports_listen", &S::ReportsListen_),
      durationKey("agent", "max_lease_ms", &S::MaxLease_),
  };
  Format.Check_ = [](const S &Given) -> std::pair<std::string, std::string> {
    if (Given.PeersListen_ == Given.MetricsListen_)
      return {"process", "[process] metrics_listen: same address as "
                         "[process] peers_listen"};
    return {};
  };
  return Format;
}

} // namespace

std::optional<DispatchSettings> parseDispatchSettings(std::string_view Text,
                                                      const std::string &File,
                                                      SettingsFault &Why) {
  static const detail::IniFormat<DispatchSettings> Format = makeFormat();
  return detail::IniParser<DispatchSettings>(Format, Text, File, Why).run();
}

std::optional<DispatchSettings> loadDispatchSettings(const std::string &Path,
                                                     SettingsFault &Why) {
  const auto Text = readSettingsFile(Path, Why);
  return Text ? parseDispatchSettings(*Text, Path, Why) : std::nullopt;
}

} // namespace wigeonwall::process::dispatch
