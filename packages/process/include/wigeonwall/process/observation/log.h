/// \file
/// \brief Structured logging with log4cplus.
///
/// One line per event:
/// `time=2026-01-31T18:00:00.123Z level=INFO process=agent-1
/// component=membership event=member_dead member=agent-2`.
#ifndef WIGEONWALL_PROCESS_OBSERVATION_LOG_H
#define WIGEONWALL_PROCESS_OBSERVATION_LOG_H

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace wigeonwall::process {

/// \brief Severity of a log line.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// \brief One key=value pair of a log line.
struct LogField {
  LogField(std::string_view Key, std::string_view Value)
      : Key_(Key), Value_(Value) {}
  template <std::integral Integer>
  LogField(std::string_view Key, Integer Value)
      : Key_(Key), Value_(std::to_string(Value)) {}

  std::string Key_;
  std::string Value_;
};

/// \brief Appends log lines to \p File, or writes them to stderr if it is
/// empty.
///
/// Call once, before other threads log; earlier lines are discarded. If the
/// file cannot be opened, logs to stderr and returns false.
[[nodiscard]] bool startLog(const std::string &ProcessId,
                            const std::string &File,
                            LogLevel MinLevel = LogLevel::Info);

/// \brief Writes log lines to standard output without blocking.
///
/// Lines are dropped above MaxLogLinesPerSecond and while the reader is too
/// slow; the next line that is written states how many.
void startStandardOutputLog(const std::string &ProcessId);

/// Limits logging to a tenth of a frontend's processor time at about 50 us a
/// line.
inline constexpr int MaxLogLinesPerSecond = 400;

/// \brief Writes one line about \p Subject, the id of a request, run or
/// process; \p Detail holds further, already formatted fields. Thread-safe.
void logDecision(std::string_view Component, std::string_view Event,
                 std::string_view Subject, std::string_view Detail);

/// \brief Writes one line; thread-safe.
/// \code
/// logEvent("membership", "member_dead", {{"member", Id}, {"epoch", 7}});
/// \endcode
void logEvent(std::string_view Component, std::string_view Event,
              std::initializer_list<LogField> Fields = {},
              LogLevel Level = LogLevel::Info);

/// \brief Logs an exception that a handler of an event loop did not catch.
void logHandlerError(const std::string &Message);

/// \brief Quotes and escapes a value that is empty or contains spaces, quotes,
/// backslashes, "=" or control characters, so that it stays on one line.
[[nodiscard]] std::string quoteLogValue(std::string_view Value);

} // namespace wigeonwall::process

#endif
