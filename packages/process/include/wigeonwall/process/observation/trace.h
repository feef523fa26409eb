/// \file
/// \brief Tracer that records the stages of jobs as spans in a JSON lines file.
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

/// \brief HTTP header and text map key that carries a trace context.
inline constexpr const char *TraceHeader = "traceparent";

/// \brief Identifies a span as in W3C Trace Context, without the flags.
struct TraceContext {
  /// 32 lower-case hexadecimal digits.
  std::string TraceId_;
  /// 16 lower-case hexadecimal digits.
  std::string SpanId_;
};

/// \brief Parses `00-TRACE-SPAN-FLAGS`; returns nothing for any other text.
[[nodiscard]] std::optional<TraceContext>
parseTraceContext(std::string_view Text);
/// \brief Formats a context as `00-TRACE-SPAN-01`.
[[nodiscard]] std::string formatTraceContext(const TraceContext &Context);

using SpanPtr = std::unique_ptr<opentracing::Span>;

/// \brief Clocks of a tracer; tests pass virtual clocks.
struct TraceClocks {
  request::Clock Now_;
  /// Unix time in microseconds.
  std::function<std::int64_t()> WallUs_;
};

[[nodiscard]] TraceClocks systemTraceClocks();

/// \brief Tracer of one process; thread-safe.
///
/// Implements the OpenTracing interface. The mock tracer of that library is not
/// suitable: its identifiers have 64 bits and its header is not in the W3C
/// format, so it cannot continue a caller's `traceparent`.
/// \code
/// SpanPtr Span = JobTracer.start("home.job", Received, Key);
/// Message["trace"] = JobTracer.contextOf(*Span);
/// \endcode
class Tracer : public opentracing::Tracer {
public:
  /// \p Output must outlive the tracer. \p Process is the process name in each
  /// span.
  Tracer(SpanFile &Output, std::string Process,
         TraceClocks Clocks = systemTraceClocks());

  /// \brief Starts a span of a job. \p Parent is a formatted context; any other
  /// text starts a new trace.
  [[nodiscard]] SpanPtr start(const char *Name, std::string_view Parent,
                              const request::JobKey &Key) const;
  /// \brief Returns the formatted context of a span.
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

/// \brief Sets a tag of a span; does nothing if the span is null.
inline void tagSpan(opentracing::Span *Span, const char *Name,
                    const opentracing::Value &Value) {
  if (Span != nullptr)
    Span->SetTag(Name, Value);
}

} // namespace wigeonwall::process

#endif
