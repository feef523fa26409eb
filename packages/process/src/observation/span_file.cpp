#include "wigeonwall/process/observation/span_file.h"

#include "wigeonwall/request/field_reader.h"

namespace wigeonwall::process {

Json::Value encodeSpan(const SpanRecord &Record) {
  Json::Value Line;
  Line["trace"] = Record.TraceId_;
  Line["span"] = Record.SpanId_;
  if (!Record.ParentId_.empty())
    Line["parent"] = Record.ParentId_;
  Line["name"] = Record.Name_;
  Line["process"] = Record.Process_;
  Line["start_us"] = Json::Int64(Record.StartUs_);
  Line["duration_us"] = Json::Int64(Record.DurationUs_);
  Line["tags"] = Record.Tags_;
  return Line;
}

std::optional<SpanRecord> decodeSpan(std::string_view Line,
                                     request::CodecFault &Fault) {
  const auto Value = request::parseJson(Line, Fault);
  if (!Value)
    return std::nullopt;
  request::FieldReader Reader(*Value, "", Fault);
  SpanRecord Record;
  Reader.string("trace", Record.TraceId_);
  Reader.string("span", Record.SpanId_);
  Reader.optionalString("parent", Record.ParentId_);
  Reader.string("name", Record.Name_);
  Reader.string("process", Record.Process_);
  Reader.integer("start_us", 0, INT64_MAX, Record.StartUs_);
  Reader.integer("duration_us", 0, INT64_MAX, Record.DurationUs_);
  Reader.any("tags", Record.Tags_);
  if (!Reader.finish())
    return std::nullopt;
  if (!Record.Tags_.isObject()) {
    Fault = {request::CodecError::Field, "expected an object", "/tags"};
    return std::nullopt;
  }
  return Record;
}

SpanFile::SpanFile(const std::string &Path, Counters &ProcessCounters)
    : File_(Path, std::ios::app), Opened_(File_.is_open()),
      Written_(ProcessCounters.counter("trace_spans_written_total")),
      Dropped_(ProcessCounters.counter("trace_spans_dropped_total")),
      Writer_([this] { writeSpans(); }) {}

SpanFile::~SpanFile() {
  {
    const std::scoped_lock Lock(Mutex_);
    Stopping_ = true;
  }
  WorkAvailable_.notify_one();
  Writer_.join();
}

void SpanFile::add(SpanRecord Record) {
  {
    const std::scoped_lock Lock(Mutex_);
    if (Buffer_.size() >= Capacity) {
      Dropped_.fetch_add(1);
      return;
    }
    Buffer_.push_back(std::move(Record));
    if (Buffer_.size() != 1)
      return;
  }
  WorkAvailable_.notify_one();
}

void SpanFile::writeSpans() {
  std::unique_lock Lock(Mutex_);
  while (true) {
    WorkAvailable_.wait(Lock, [this] { return Stopping_ || !Buffer_.empty(); });
    if (Buffer_.empty())
      return;
    std::deque<SpanRecord> Batch;
    Batch.swap(Buffer_);
    Lock.unlock();
    for (const SpanRecord &Record : Batch)
      File_ << request::writeJson(encodeSpan(Record)) << '\n';
    File_.flush();
    // A failed write, such as on a full disk, sets the error state. It is
    // cleared so that later spans are still written.
    if (File_)
      Written_.fetch_add(static_cast<std::int64_t>(Batch.size()));
    else
      Dropped_.fetch_add(static_cast<std::int64_t>(Batch.size()));
    File_.clear();
    Lock.lock();
  }
}

} // namespace wigeonwall::process
