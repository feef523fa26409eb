/// \file
/// \brief Spans of a job's hops, written to a file as JSON lines.
#ifndef WIGEONWALL_PROCESS_OBSERVATION_TRACE_H
#define WIGEONWALL_PROCESS_OBSERVATION_TRACE_H

#include "wigeonwall/process/observation/counters.h"
#include "wigeonwall/process/observation/span_file.h"
#include "wigeonwall/request/clock.h"
#include "wigeonwall/request/types.h"

#include <opentracing/tracer.h>

#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <string_view>

namespace wigeonwall::process {

/// \brief Header of HTTP requests and key of text maps that carries a context.
inline constexpr const char *TraceHeader = "traceparent";

/// \brief Identity of a span: W3C Trace Context, without the flags.
struct TraceContext {
  /// 32 lower-case hexadecimal digits.
  std::string TraceId_;
  /// 16 lower-case hexadecimal digits.
  std::string SpanId_;
};

/// \brief Reads `00-TRACE-SPAN-FLAGS`; empty for any other text.
[[nodiscard]] std::optional<TraceContext>
parseTraceContext(std::string_view Text);
[[nodiscard]] std::string formatTraceContext(const TraceContext &Context);

using SpanPtr = std::unique_ptr<opentracing::Span>;

/// \brief Clocks of a tracer; a test passes virtual ones.
struct TraceClocks {
  request::Clock Now_;
  /// Unix time in microseconds.
  std::function<std::int64_t()> WallUs_;
};

[[nodiscard]] TraceClocks systemTraceClocks();

/// \brief Tracer of one process; safe from any thread.
///
/// Implements the OpenTracing interface. The mock tracer of that library is
/// not used, because its identifiers have 64 bits and its header has a form of
/// its own, so it cannot continue a caller's `traceparent`.
/// \code
/// SpanPtr Span = Spans.start("home.job", Received, Key);
/// Message["trace"] = Spans.contextOf(*Span);
/// \endcode
class Tracer : public opentracing::Tracer {
public:
  /// \p Output outlives the object. \p Process names the process in each span.
  Tracer(SpanFile &Output, std::string Process,
         TraceClocks Clocks = systemTraceClocks());

  /// \brief Starts a span of a job. \p Parent is the text form of a context;
  /// any other text starts a new trace.
  [[nodiscard]] SpanPtr start(const char *Name, std::string_view Parent,
                              const request::JobKey &Key) const;
  /// \brief Text form of a span's context.
  [[nodiscard]] std::string contextOf(const opentracing::Span &Span) const;

  // opentracing::Tracer.
  [[nodiscard]] SpanPtr StartSpanWithOptions(
      opentracing::string_view Name,
      const opentracing::StartSpanOptions &Options) const noexcept override;
  opentracing::expected<void> Inject(const opentracing::SpanContext &Context,
                                     std::ostream &Writer) const override;
  opentracing::expected<void>
  Inject(const opentracing::SpanContext &Context,
         const opentracing::TextMapWriter &Writer) const override;
  opentracing::expected<void>
  Inject(const opentracing::SpanContext &Context,
         const opentracing::HTTPHeadersWriter &Writer) const override;
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
  Extract(std::istream &Reader) const override;
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
  Extract(const opentracing::TextMapReader &Reader) const override;
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
  Extract(const opentracing::HTTPHeadersReader &Reader) const override;

private:
  [[nodiscard]] std::string makeId(unsigned Words) const;

  SpanFile &Output_;
  std::string Process_;
  TraceClocks Clocks_;
  mutable std::mutex RandomMutex_;
  mutable std::mt19937_64 Random_;
};

/// \brief Sets a tag of a span that may be absent.
inline void tagSpan(opentracing::Span *Span, const char *Name,
                    const opentracing::Value &Value) {
  if (Span != nullptr)
    Span->SetTag(Name, Value);
}

} // namespace wigeonwall::process

#endif
