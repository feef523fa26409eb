/// \file
/// \brief Traces of jobs with their expected outcomes, as JSON Lines.
///
/// One line per job, in order of time:
/// `{"offset_ms":12.5,"expected":["complete"],"job":{"service":"permit-desk",
/// "job_id":"1","kind":"label-lookup","team":"inspectors","timeout_ms":10000,
/// "tasks":[{"payload":{"work_ms":80}}]}}`. The optional `resubmit_after_ms`
/// asks for the same job through another entry. The time of creation and a
/// prefix of the id are added at each replay.
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

/// \brief One acceptable end of a job: "complete", "not_run", "failed",
/// "no_answer", or "not_run:REASON" and "failed:REASON".
struct ExpectedEnd {
  /// Empty for no answer.
  std::optional<request::Outcome> Outcome_;
  /// Empty for any reason.
  std::optional<request::Reason> Reason_;

  [[nodiscard]] bool allows(const CallerReply &Reply) const noexcept;
};

[[nodiscard]] std::optional<ExpectedEnd>
parseExpectedEnd(const std::string &Text);

struct TracedJob {
  PlannedJob Plan_;
  /// Names as in the file; at least one.
  std::vector<std::string> Expected_;

  [[nodiscard]] bool allows(const CallerReply &Reply) const;
};

/// \brief Errors of reading a trace.
enum class TraceError : std::uint8_t { None, Unreadable, Syntax, Field, Order };

/// Position_ is "FILE:LINE", with the JSON pointer of a field after it.
using TraceFault = request::Fault<TraceError>;

/// \brief Writes one line without its end.
[[nodiscard]] std::string encodeTracedJob(const TracedJob &Job);

/// \brief Reads a whole trace; \p File names it in faults.
[[nodiscard]] std::optional<std::vector<TracedJob>>
readTrace(std::istream &Stream, const std::string &File, TraceFault &Why);

} // namespace wigeonwall::ctl

#endif
