#include "wigeonwall/process/observation/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>

#include <fcntl.h>
#include <unistd.h>

namespace wigeonwall::process {

namespace {

// Events before startLog() are discarded, because log4cplus would warn about a
// logger without appenders.
std::atomic<bool> LogStarted{false};

/// Names and messages in a line may come from clients.
constexpr std::size_t MaxLineBytes = 4 * 1024;

log4cplus::Logger &logger() {
  static log4cplus::Logger Result =
      log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("wigeonwall"));
  return Result;
}

log4cplus::LogLevel toLog4cplusLevel(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case LogLevel::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case LogLevel::Warning:
    return log4cplus::WARN_LOG_LEVEL;
  case LogLevel::Error:
    break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

bool needsNoQuoting(unsigned char Character) {
  return Character > ' ' && Character != '"' && Character != '=' &&
         Character != '\\' && Character != 0x7f;
}

void appendEscaped(std::string &Text, unsigned char Character) {
  if (Character == '"' || Character == '\\') {
    Text += '\\';
  } else if (Character == '\n') {
    Text += "\\n";
    return;
  } else if (Character < ' ' || Character == 0x7f) {
    char Code[5];
    std::snprintf(Code, sizeof Code, "\\x%02x", unsigned{Character});
    Text += Code;
    return;
  }
  Text += static_cast<char>(Character);
}

/// Writes to non-blocking standard output with a rate limit; drops lines that
/// exceed the limit or cannot be written.
class StandardOutputAppender : public log4cplus::Appender {
public:
  StandardOutputAppender() {
    const int Flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (Flags != -1)
      ::fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
  }
  ~StandardOutputAppender() override { destructorImpl(); }
  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    if (!takeToken()) {
      ++DroppedLines_;
      return;
    }
    std::ostringstream Text;
    layout->formatAndAppend(Text, Event);
    std::string Line = Text.str();
    if (DroppedLines_ > 0) {
      Line.pop_back();
      Line += " dropped_lines_before=" + std::to_string(DroppedLines_) + "\n";
    }
    const ssize_t Size = ::write(STDOUT_FILENO, Line.data(), Line.size());
    // A partial write cannot be undone, so the line counts as written.
    if (Size > 0)
      DroppedLines_ = 0;
    else
      ++DroppedLines_;
  }

private:
  bool takeToken() {
    const auto Now = std::chrono::steady_clock::now();
    const double ElapsedSeconds =
        std::chrono::duration<double>(Now - LastRefill_).count();
    LastRefill_ = Now;
    Tokens_ = std::min<double>(2.0 * MaxLogLinesPerSecond,
                               Tokens_ + ElapsedSeconds * MaxLogLinesPerSecond);
    if (Tokens_ < 1)
      return false;
    Tokens_ -= 1;
    return true;
  }

  double Tokens_ = 2.0 * MaxLogLinesPerSecond;
  std::chrono::steady_clock::time_point LastRefill_ =
      std::chrono::steady_clock::now();
  std::uint64_t DroppedLines_ = 0;
};

void writeLine(log4cplus::LogLevel Level, std::string Line) {
  if (Line.size() > MaxLineBytes)
    Line = Line.substr(0, MaxLineBytes) + "...";
  logger().forcedLog(Level, Line);
}

void setAppender(log4cplus::SharedAppenderPtr Appender,
                 const std::string &ProcessId) {
  std::string Process = quoteLogValue(ProcessId);
  // "%" starts a conversion specifier in a pattern.
  for (std::size_t Position = 0;
       (Position = Process.find('%', Position)) != std::string::npos;
       Position += 2)
    Process.insert(Position, 1, '%');
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%d{%Y-%m-%dT%H:%M:%S.%qZ} level=%p process=" + Process + " %m%n"));
  logger().removeAllAppenders();
  logger().setAdditivity(false);
  logger().addAppender(Appender);
}

} // namespace

bool startLog(const std::string &ProcessId, const std::string &File,
              LogLevel MinLevel) {
  const bool Opened =
      File.empty() || std::ofstream(File, std::ios::app).is_open();
  log4cplus::SharedAppenderPtr Appender;
  if (Opened && !File.empty())
    Appender = new log4cplus::FileAppender(File, std::ios::app);
  else
    Appender = new log4cplus::ConsoleAppender(true, true);
  setAppender(Appender, ProcessId);
  logger().setLogLevel(toLog4cplusLevel(MinLevel));
  LogStarted = true;
  return Opened;
}

void startStandardOutputLog(const std::string &ProcessId) {
  setAppender(log4cplus::SharedAppenderPtr(new StandardOutputAppender),
              ProcessId);
  logger().setLogLevel(toLog4cplusLevel(LogLevel::Info));
  LogStarted = true;
}

void logDecision(std::string_view Component, std::string_view Event,
                 std::string_view Subject, std::string_view Detail) {
  if (!LogStarted)
    return;
  std::string Line =
      "component=" + std::string(Component) + " event=" + std::string(Event);
  if (!Subject.empty())
    Line += " subject=" + quoteLogValue(Subject);
  if (!Detail.empty())
    (Line += ' ') += Detail;
  writeLine(log4cplus::INFO_LOG_LEVEL, std::move(Line));
}

void logEvent(std::string_view Component, std::string_view Event,
              std::initializer_list<LogField> Fields, LogLevel Level) {
  const log4cplus::LogLevel NativeLevel = toLog4cplusLevel(Level);
  if (!LogStarted || !logger().isEnabledFor(NativeLevel))
    return;
  std::string Line = "component=" + quoteLogValue(Component) +
                     " event=" + quoteLogValue(Event);
  for (const LogField &Field : Fields)
    Line += " " + Field.Key_ + "=" + quoteLogValue(Field.Value_);
  writeLine(NativeLevel, std::move(Line));
}

void logHandlerError(const std::string &Message) {
  logEvent("process", "handler_failed", {{"detail", Message}}, LogLevel::Error);
}

std::string quoteLogValue(std::string_view Value) {
  if (!Value.empty() && std::all_of(Value.begin(), Value.end(), needsNoQuoting))
    return std::string(Value);
  std::string Result = "\"";
  for (const char Character : Value)
    appendEscaped(Result, static_cast<unsigned char>(Character));
  return Result + '"';
}

} // namespace wigeonwall::process
