#include "wigeonwall/process/observation/trace.h"

#include <algorithm>
#include <array>
#include <istream>
#include <iterator>
#include <ostream>

namespace wigeonwall::process {

namespace {

using opentracing::expected;
using opentracing::SpanContext;
using opentracing::string_view;
using opentracing::Value;

constexpr std::size_t TraceDigits = 32;
constexpr std::size_t SpanDigits = 16;
/// "00-", trace, "-", span, "-", two digits of flags.
constexpr std::size_t ContextLength = 3 + TraceDigits + 1 + SpanDigits + 3;

bool isHex(char Character) {
  return (Character >= '0' && Character <= '9') ||
         (Character >= 'a' && Character <= 'f');
}

/// An identifier of only zeros is invalid.
bool isValidId(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), isHex) &&
         Text.find_first_not_of('0') != std::string_view::npos;
}

class Context : public SpanContext {
public:
  explicit Context(TraceContext Ids) : Ids_(std::move(Ids)) {}

  [[nodiscard]] const TraceContext &ids() const noexcept { return Ids_; }

  void ForeachBaggageItem(
      std::function<bool(const std::string &, const std::string &)>)
      const override {}
  [[nodiscard]] std::unique_ptr<SpanContext> Clone() const noexcept override {
    return std::make_unique<Context>(Ids_);
  }
  [[nodiscard]] std::string ToTraceID() const noexcept override {
    return Ids_.TraceId_;
  }
  [[nodiscard]] std::string ToSpanID() const noexcept override {
    return Ids_.SpanId_;
  }

private:
  TraceContext Ids_;
};

/// Encodes strings, booleans and numbers; other types become null.
Json::Value encodeTag(const Value &Tag) {
  if (Tag.is<std::string>())
    return Tag.get<std::string>();
  if (Tag.is<const char *>())
    return Tag.get<const char *>();
  if (Tag.is<bool>())
    return Tag.get<bool>();
  if (Tag.is<std::int64_t>())
    return Json::Int64(Tag.get<std::int64_t>());
  if (Tag.is<std::uint64_t>())
    return Json::UInt64(Tag.get<std::uint64_t>());
  if (Tag.is<double>())
    return Tag.get<double>();
  return {};
}

/// A span that is written when it finishes, at the latest in its destructor.
/// Baggage and logs are not supported.
class RecordedSpan : public opentracing::Span {
public:
  RecordedSpan(const opentracing::Tracer &Creator, SpanFile &Output,
               request::Clock Now, SpanRecord Record)
      : Creator_(Creator), Output_(Output), Now_(std::move(Now)),
        StartedAt_(Now_()), Record_(std::move(Record)),
        Context_({Record_.TraceId_, Record_.SpanId_}) {}
  ~RecordedSpan() override { FinishWithOptions({}); }
  RecordedSpan(const RecordedSpan &) = delete;
  RecordedSpan &operator=(const RecordedSpan &) = delete;

  /// Uses the clock of the tracer and ignores the time in the options.
  void
  FinishWithOptions(const opentracing::FinishSpanOptions &) noexcept override {
    if (Finished_)
      return;
    Finished_ = true;
    Record_.DurationUs_ = std::chrono::duration_cast<std::chrono::microseconds>(
                              Now_() - StartedAt_)
                              .count();
    Output_.add(std::move(Record_));
  }
  void SetOperationName(string_view Name) noexcept override {
    Record_.Name_ = Name;
  }
  void SetTag(string_view Key, const Value &Tag) noexcept override {
    if (!Finished_)
      Record_.Tags_[std::string(Key)] = encodeTag(Tag);
  }
  void SetBaggageItem(string_view, string_view) noexcept override {}
  [[nodiscard]] std::string BaggageItem(string_view) const noexcept override {
    return {};
  }
  void
  Log(std::initializer_list<std::pair<string_view, Value>>) noexcept override {}
  void
  Log(opentracing::SystemTime,
      std::initializer_list<std::pair<string_view, Value>>) noexcept override {}
  void
  Log(opentracing::SystemTime,
      const std::vector<std::pair<string_view, Value>> &) noexcept override {}
  [[nodiscard]] const SpanContext &context() const noexcept override {
    return Context_;
  }
  [[nodiscard]] const opentracing::Tracer &tracer() const noexcept override {
    return Creator_;
  }

private:
  const opentracing::Tracer &Creator_;
  SpanFile &Output_;
  request::Clock Now_;
  request::TimePoint StartedAt_;
  SpanRecord Record_;
  Context Context_;
  bool Finished_ = false;
};

const TraceContext *contextIds(const SpanContext *Other) {
  const auto *Recorded = dynamic_cast<const Context *>(Other);
  return Recorded == nullptr ? nullptr : &Recorded->ids();
}

/// Returns null if \p Text is not a valid context, which is not an error.
std::unique_ptr<SpanContext> readContext(std::string_view Text) {
  auto Ids = parseTraceContext(Text);
  return Ids ? std::make_unique<Context>(std::move(*Ids)) : nullptr;
}

} // namespace

std::optional<TraceContext> parseTraceContext(std::string_view Text) {
  if (Text.size() != ContextLength || Text.substr(0, 3) != "00-" ||
      Text[3 + TraceDigits] != '-' || Text[ContextLength - 3] != '-')
    return std::nullopt;
  const std::string_view TraceId = Text.substr(3, TraceDigits);
  const std::string_view SpanId = Text.substr(4 + TraceDigits, SpanDigits);
  if (!isValidId(TraceId) || !isValidId(SpanId) ||
      !isHex(Text[ContextLength - 2]) || !isHex(Text[ContextLength - 1]))
    return std::nullopt;
  return TraceContext{std::string(TraceId), std::string(SpanId)};
}

std::string formatTraceContext(const TraceContext &Context) {
  // The flag 01 states that the span is recorded.
  return "00-" + Context.TraceId_ + "-" + Context.SpanId_ + "-01";
}

TraceClocks systemTraceClocks() {
  return {[] { return std::chrono::steady_clock::now(); },
          [] {
            return std::chrono::duration_cast<std::chrono::microseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                .count();
          }};
}

Tracer::Tracer(SpanFile &Output, std::string Process, TraceClocks Clocks)
    : Output_(Output), Process_(std::move(Process)),
      Clocks_(std::move(Clocks)) {
  std::random_device Device;
  std::seed_seq Seed{Device(), Device(), Device(), Device()};
  Random_.seed(Seed);
}

std::string Tracer::makeId(unsigned Words) const {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Id;
  const std::scoped_lock Lock(RandomMutex_);
  for (unsigned I = 0; I < Words; ++I) {
    // Zero is not a valid identifier.
    std::uint64_t Word = std::max<std::uint64_t>(Random_(), 1);
    for (std::size_t Digit = 0; Digit < SpanDigits; ++Digit, Word >>= 4)
      Id += Digits[Word & 0xf];
  }
  return Id;
}

SpanPtr Tracer::start(const char *Name, std::string_view Parent,
                      const request::JobKey &Key) const {
  const auto ParentContext = readContext(Parent);
  SpanPtr Span = StartSpan(Name, {opentracing::ChildOf(ParentContext.get())});
  Span->SetTag("service", Key.Service_);
  Span->SetTag("job_id", Key.Id_);
  return Span;
}

std::string Tracer::contextOf(const opentracing::Span &Span) const {
  const TraceContext *Ids = contextIds(&Span.context());
  return Ids == nullptr ? std::string() : formatTraceContext(*Ids);
}

SpanPtr Tracer::StartSpanWithOptions(
    string_view Name,
    const opentracing::StartSpanOptions &Options) const noexcept {
  SpanRecord Record;
  for (const auto &[Type, Reference] : Options.references)
    if (const TraceContext *Ids = contextIds(Reference)) {
      Record.TraceId_ = Ids->TraceId_;
      Record.ParentId_ = Ids->SpanId_;
      break;
    }
  if (Record.TraceId_.empty())
    Record.TraceId_ = makeId(2);
  Record.SpanId_ = makeId(1);
  Record.Name_ = Name;
  Record.Process_ = Process_;
  Record.StartUs_ = Clocks_.WallUs_();
  for (const auto &[Key, Tag] : Options.tags)
    Record.Tags_[Key] = encodeTag(Tag);
  return std::make_unique<RecordedSpan>(*this, Output_, Clocks_.Now_,
                                        std::move(Record));
}

expected<void> Tracer::Inject(const SpanContext &Source,
                              std::ostream &Writer) const {
  const TraceContext *Ids = contextIds(&Source);
  if (Ids == nullptr)
    return opentracing::make_unexpected(
        opentracing::invalid_span_context_error);
  Writer << formatTraceContext(*Ids);
  return {};
}

expected<void> Tracer::Inject(const SpanContext &Source,
                              const opentracing::TextMapWriter &Writer) const {
  const TraceContext *Ids = contextIds(&Source);
  if (Ids == nullptr)
    return opentracing::make_unexpected(
        opentracing::invalid_span_context_error);
  return Writer.Set(TraceHeader, formatTraceContext(*Ids));
}

expected<void>
Tracer::Inject(const SpanContext &Source,
               const opentracing::HTTPHeadersWriter &Writer) const {
  return Inject(Source,
                static_cast<const opentracing::TextMapWriter &>(Writer));
}

expected<std::unique_ptr<SpanContext>>
Tracer::Extract(std::istream &Reader) const {
  return readContext(std::string(std::istreambuf_iterator<char>(Reader), {}));
}

expected<std::unique_ptr<SpanContext>>
Tracer::Extract(const opentracing::TextMapReader &Reader) const {
  std::unique_ptr<SpanContext> Found;
  const auto Visited = Reader.ForeachKey(
      [&Found](string_view Key, string_view Text) -> expected<void> {
        if (Key == TraceHeader)
          Found = readContext({Text.data(), Text.size()});
        return {};
      });
  if (!Visited)
    return opentracing::make_unexpected(Visited.error());
  return Found;
}

expected<std::unique_ptr<SpanContext>>
Tracer::Extract(const opentracing::HTTPHeadersReader &Reader) const {
  return Extract(static_cast<const opentracing::TextMapReader &>(Reader));
}

} // namespace wigeonwall::process
