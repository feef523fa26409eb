/// \file
/// \brief Job traces with expected outcomes, in JSON Lines format.
///
/// One line per job, in order of time:
/// `{"offset_ms":12.5,"expected":["complete"],"job":{"service":"permit-desk",
/// "job_id":"1","kind":"label-lookup","team":"inspectors","timeout_ms":10000,
/// "tasks":[{"payload":{"work_ms":80}}]}}`. With the optional
/// `resubmit_after_ms` the same job is resubmitted through another entry. Each
/// replay adds the creation time and an id prefix.
#ifndef WIGEONWALLCTL_TRACE_FILE_H
#define WIGEONWALLCTL_TRACE_FILE_H

#include "wigeonwallctl/load_run.h"
#include "wigeonwallctl/workload.h"

#include "wigeonwall/request/fault.h"
#include "wigeonwall/request/types.h"

#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwall::ctl {

/// \brief One acceptable outcome of a job: "complete", "not_run", "failed",
/// "no_answer", or "not_run:REASON" and "failed:REASON".
struct ExpectedOutcome {
  /// Empty when no answer is expected.
  std::optional<request::Outcome> Outcome_;
  /// Empty to accept any reason.
  std::optional<request::Reason> Reason_;

  [[nodiscard]] bool matches(const CallerReply &Reply) const noexcept;
};

[[nodiscard]] std::optional<ExpectedOutcome>
parseExpectedOutcome(const std::string &Text);

struct TracedJob {
  PlannedJob Plan_;
  /// Outcome names as written in the file; at least one.
  std::vector<std::string> Expected_;

  [[nodiscard]] bool matches(const CallerReply &Reply) const;
};

/// \brief Errors while reading a trace.
enum class TraceError : std::uint8_t { None, Unreadable, Syntax, Field, Order };

/// Position_ is "FILE:LINE", followed by the JSON pointer of the field, if any.
using TraceFault = request::Fault<TraceError>;

/// \brief Encodes a job as one line without the line terminator.
[[nodiscard]] std::string encodeTracedJob(const TracedJob &Job);

/// \brief Reads a whole trace; \p File is the file name in error positions.
[[nodiscard]] std::optional<std::vector<TracedJob>>
readTrace(std::istream &Stream, const std::string &File, TraceFault &Why);

} // namespace wigeonwall::ctl

#endif
