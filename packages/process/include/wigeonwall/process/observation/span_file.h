/// \file
/// \brief Writes finished spans to a file on a separate thread.
#ifndef WIGEONWALL_PROCESS_OBSERVATION_SPAN_FILE_H
#define WIGEONWALL_PROCESS_OBSERVATION_SPAN_FILE_H

#include "wigeonwall/process/observation/counters.h"
#include "wigeonwall/request/codec.h"

#include <json/json.h>

#include <condition_variable>
#include <deque>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>

namespace wigeonwall::process {

/// \brief A finished span. A line of the file has the same fields.
struct SpanRecord {
  std::string TraceId_;
  std::string SpanId_;
  /// Empty for the root span of a trace.
  std::string ParentId_;
  std::string Name_;
  std::string Process_;
  /// Unix time in microseconds.
  std::int64_t StartUs_ = 0;
  std::int64_t DurationUs_ = 0;
  /// Object of strings, numbers and booleans.
  Json::Value Tags_{Json::objectValue};
};

/// \brief Encodes a span as one line of a span file.
[[nodiscard]] Json::Value encodeSpan(const SpanRecord &Record);
/// \brief Decodes one line of a span file.
[[nodiscard]] std::optional<SpanRecord> decodeSpan(std::string_view Line,
                                                   request::CodecFault &Fault);

/// \brief Bounded buffer that a separate thread writes to a file; thread-safe.
///
/// When the buffer is full, spans are dropped and counted, so that a slow disk
/// does not delay tasks. If the process is killed, the buffered spans are lost;
/// a planned stop writes them.
class SpanFile {
public:
  /// Maximum number of buffered spans, about 4 MB.
  static constexpr std::size_t Capacity = 8'192;

  /// Appends to \p Path.
  SpanFile(const std::string &Path, Counters &ProcessCounters);
  ~SpanFile();
  SpanFile(const SpanFile &) = delete;
  SpanFile &operator=(const SpanFile &) = delete;

  /// \brief Returns false if the file could not be opened.
  [[nodiscard]] bool opened() const noexcept { return Opened_; }

  /// \brief Queues a span for writing; drops it if the buffer is full.
  void add(SpanRecord Record);

private:
  void writeSpans();

  std::ofstream File_;
  bool Opened_;
  Counters::Value &Written_;
  Counters::Value &Dropped_;
  std::mutex Mutex_;
  std::condition_variable WorkAvailable_;
  std::deque<SpanRecord> Buffer_;
  bool Stopping_ = false;
  std::thread Writer_;
};

} // namespace wigeonwall::process

#endif
