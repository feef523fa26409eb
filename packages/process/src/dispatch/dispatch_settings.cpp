#include "wigeonwall/process/dispatch/dispatch_settings.h"

#include "../settings/ini_parser.h"
#include "../settings/ini_values.h"
#include "wigeonwall/process/dispatch/prefix_follower.h"

namespace wigeonwall::process::dispatch {

namespace {

using detail::Wildcard;
using Key = detail::IniKey<DispatchSettings>;

constexpr double MaxDurationMs = 600'000.0;
constexpr double MsPerSecond = 1'000.0;
constexpr double PercentPerUnit = 100.0;
constexpr double MaxPenalty = 100.0;
constexpr double MaxWeight = 100.0;
constexpr std::uint64_t MaxRetryAfterSeconds = 60;
/// Smaller values are raised to a minimum; see input_limits.cpp.
constexpr double MinMemoryMb = 16;
constexpr double MaxMemoryMb = 16'777'216;
constexpr double MinDescriptors = 256;
constexpr double MaxDescriptors = 1'048'576;
/// Room for one body of 1 MiB in each thread.
constexpr double MinUnfinishedKb = 2'200;
constexpr double MaxUnfinishedKb = 16'777'216;

Key endpointKey(const char *Section, const char *Name,
                connection::Endpoint DispatchSettings::*Field,
                bool Required = true) {
  return {Section, Name, Required, [Field](auto &Text, DispatchSettings &To) {
            return detail::readEndpoint(Text, Wildcard::Refused, To.*Field);
          }};
}

/// Parses a number such as "1.5" or "3".
std::optional<double> readDecimal(const std::string &Text) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Last, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc() || Last != End)
    return std::nullopt;
  return Value;
}

std::string readPenalty(const std::string &Text, std::int64_t &Percent) {
  const auto Value = readDecimal(Text);
  if (!Value || *Value < 1 || *Value > MaxPenalty)
    return "expected a factor from 1 to 100, got \"" + Text + "\"";
  Percent = static_cast<std::int64_t>(*Value * PercentPerUnit);
  return {};
}

std::string readWeight(const std::string &Text, std::int64_t &Percent) {
  const auto Value = readDecimal(Text);
  if (!Value || !(*Value >= 0) || *Value > MaxWeight)
    return "expected a number from 0 to 100, got \"" + Text + "\"";
  Percent = static_cast<std::int64_t>(*Value * PercentPerUnit);
  return {};
}

std::string readDuration(const std::string &Text, double MsPerUnit,
                         std::chrono::milliseconds &Time) {
  const auto Value = readDecimal(Text);
  const double Ms = Value.value_or(0) * MsPerUnit;
  if (Ms < 1 || Ms > MaxDurationMs)
    return "expected a duration from 1 ms to 10 min, got \"" + Text + "\"";
  Time = std::chrono::milliseconds(static_cast<std::int64_t>(Ms));
  return {};
}

Key durationKey(const char *Section, const char *Name,
                std::chrono::milliseconds DispatchSettings::*Field,
                double MsPerUnit = 1.0) {
  return {Section, Name, false,
          [Field, MsPerUnit](auto &Text, DispatchSettings &To) {
            return readDuration(Text, MsPerUnit, To.*Field);
          }};
}

Key switchKey(const char *Section, const char *Name,
              bool DispatchSettings::*Field) {
  return {Section, Name, false, [Field](auto &Text, DispatchSettings &To) {
            if (Text != "on" && Text != "off")
              return "expected on or off, got \"" + Text + "\"";
            To.*Field = Text == "on";
            return std::string();
          }};
}

/// Retry-After has a resolution of one second.
std::string readRetryAfter(const std::string &Text,
                           std::chrono::milliseconds &Time) {
  std::int64_t Seconds = 0;
  std::string Error =
      detail::readInteger(Text, 1, MaxRetryAfterSeconds, "s", Seconds);
  Time = std::chrono::seconds(Seconds);
  return Error;
}

Key countKey(const char *Name,
             std::optional<std::size_t> DispatchSettings::*Field, double Min,
             double Max) {
  return {"process", Name, false,
          [Field, Min, Max](auto &Text, DispatchSettings &To) -> std::string {
            const auto Value = readDecimal(Text);
            if (!Value || *Value < Min || *Value > Max)
              return "expected a number from " +
                     std::to_string(static_cast<std::int64_t>(Min)) + " to " +
                     std::to_string(static_cast<std::int64_t>(Max)) +
                     ", got \"" + Text + "\"";
            To.*Field = static_cast<std::size_t>(*Value);
            return {};
          }};
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
      endpointKey("process", "peers_advertised", &S::PeersAdvertised_, false),
      durationKey("process", "grace_period_s", &S::GracePeriod_, MsPerSecond),
      durationKey("process", "caller_resend_ms", &S::CallerResend_),
      durationKey("process", "max_lease_ms", &S::MaxLease_),
      durationKey("process", "evacuation_ms", &S::EvacuationBound_),
      durationKey("process", "contact_ms", &S::Contact_),
      countKey("memory_mb", &S::MemoryMb_, MinMemoryMb, MaxMemoryMb),
      countKey("file_descriptors", &S::FileDescriptors_, MinDescriptors,
               MaxDescriptors),
      countKey("unfinished_input_kb", &S::UnfinishedKb_, MinUnfinishedKb,
               MaxUnfinishedKb),
      countKey("caller_connections", &S::CallerConnections_, 1, MaxDescriptors),
      endpointKey("entry", "callers_listen", &S::CallersListen_),
      endpointKey("entry", "readiness_listen", &S::ReadinessListen_),
      {"entry", "remote_penalty", false,
       [](auto &Text, S &To) {
         return readPenalty(Text, To.RemotePenaltyPercent_);
       }},
      durationKey("entry", "max_report_age_ms", &S::MaxReportAge_),
      durationKey("entry", "query_timeout_ms", &S::QueryTimeout_),
      switchKey("entry", "look_ahead", &S::LookAhead_),
      {"entry", "contention_weight", false,
       [](auto &Text, S &To) {
         return readWeight(Text, To.ContentionWeightPercent_);
       }},
      {"entry", "max_retry_after_s", false,
       [](auto &Text, S &To) {
         return readRetryAfter(Text, To.MaxRetryAfter_);
       }},
      endpointKey("agent", "reports_listen", &S::ReportsListen_),
      switchKey("agent", "evict_before_departure", &S::EvictBeforeDeparture_),
      switchKey("agent", "look_ahead", &S::LookAhead_),
  };
  Format.Check_ = [](const S &Settings) -> std::pair<std::string, std::string> {
    if (Settings.PeersListen_ == Settings.MetricsListen_)
      return {"process", "[process] metrics_listen: same address as "
                         "[process] peers_listen"};
    if (Settings.Contact_ < MinContactTime)
      return {"process", "[process] contact_ms: must be at least " +
                             std::to_string(MinContactTime.count())};
    // The first reports of a round would be too old when the last one is due.
    if (Settings.QueryTimeout_ >= Settings.MaxReportAge_)
      return {"entry", "[entry] query_timeout_ms: must be less than "
                       "max_report_age_ms"};
    return {};
  };
  return Format;
}

} // namespace

std::optional<DispatchSettings> parseDispatchSettings(std::string_view Text,
                                                      const std::string &File,
                                                      SettingsFault &Fault) {
  static const detail::IniFormat<DispatchSettings> Format = makeFormat();
  auto Result =
      detail::IniParser<DispatchSettings>(Format, Text, File, Fault).run();
  if (Result && Result->PeersAdvertised_.Host_.empty())
    Result->PeersAdvertised_ = Result->PeersListen_;
  return Result;
}

std::optional<DispatchSettings> loadDispatchSettings(const std::string &Path,
                                                     SettingsFault &Fault) {
  const auto Text = readSettingsFile(Path, Fault);
  return Text ? parseDispatchSettings(*Text, Path, Fault) : std::nullopt;
}

} // namespace wigeonwall::process::dispatch
