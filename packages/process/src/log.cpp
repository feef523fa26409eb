#include "wigeonwall/process/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <memory>

namespace wigeonwall::process {

namespace {

// Events before startLog() are dropped, so that log4cplus does not warn about
// a logger without appenders.
std::atomic<bool> Started{false};

log4cplus::Logger &logger() {
  static log4cplus::Logger Result =
      log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("wigeonwall"));
  return Result;
}

log4cplus::LogLevel nativeLevel(LogLevel Level) {
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

bool isPlain(unsigned char Character) {
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

void attach(log4cplus::SharedAppenderPtr Output, const std::string &ProcessId) {
  std::string Process = quoteLogValue(ProcessId);
  // "%" starts a conversion in a pattern.
  for (std::size_t At = 0; (At = Process.find('%', At)) != std::string::npos;
       At += 2)
    Process.insert(At, 1, '%');
  Output->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%d{%Y-%m-%dT%H:%M:%S.%qZ} level=%p process=" + Process + " %m%n"));
  logger().removeAllAppenders();
  logger().setAdditivity(false);
  logger().addAppender(Output);
}

} // namespace

bool startLog(const std::string &ProcessId, const std::string &File,
              LogLevel Least) {
  const bool Opened =
      File.empty() || std::ofstream(File, std::ios::app).is_open();
  log4cplus::SharedAppenderPtr Output;
  if (Opened && !File.empty())
    Output = new log4cplus::FileAppender(File, std::ios::app);
  else
    Output = new log4cplus::ConsoleAppender(true, true);
  attach(Output, ProcessId);
  logger().setLogLevel(nativeLevel(Least));
  Started = true;
  return Opened;
}

void logEvent(std::string_view Component, std::string_view Event,
              std::initializer_list<LogField> Fields, LogLevel Level) {
  const log4cplus::LogLevel Native = nativeLevel(Level);
  if (!Started || !logger().isEnabledFor(Native))
    return;
  std::string Line = "component=" + quoteLogValue(Component) +
                     " event=" + quoteLogValue(Event);
  for (const LogField &Field : Fields)
    Line += " " + Field.Key_ + "=" + quoteLogValue(Field.Value_);
  logger().forcedLog(Native, Line);
}

std::string quoteLogValue(std::string_view Value) {
  if (!Value.empty() && std::all_of(Value.begin(), Value.end(), isPlain))
    return std::string(Value);
  std::string Result = "\"";
  for (const char Character : Value)
    appendEscaped(Result, static_cast<unsigned char>(Character));
  return Result + '"';
}

} // namespace wigeonwall::process
