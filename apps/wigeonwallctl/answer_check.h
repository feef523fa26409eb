/// \file
/// \brief Checks that an answer is complete and belongs to its job.
#ifndef WIGEONWALLCTL_ANSWER_CHECK_H
#define WIGEONWALLCTL_ANSWER_CHECK_H

#include "wigeonwallctl/caller_api.h"
#include "wigeonwallctl/workload.h"

namespace wigeonwall::ctl {

/// \brief Result of an answer check, in order of severity.
enum class AnswerCheck : std::uint8_t {
  Good,
  /// Wrong number of results.
  Partial,
  /// A result or the answer belongs to another job or task.
  Crossed,
  /// The reply violates the API in another way.
  Invalid,
};

inline constexpr std::array<request::EnumName<AnswerCheck>, 4> AnswerCheckNames{
    {
        {AnswerCheck::Good, "good"},
        {AnswerCheck::Partial, "partial"},
        {AnswerCheck::Crossed, "crossed"},
        {AnswerCheck::Invalid, "invalid"},
    }};

/// \brief Checks a reply to \p Job, submitted under the id \p JobId.
///
/// The test backend server echoes {"job", "task", "work_ms"} as the result of
/// a task. Replies without an answer are Good, unless they violate the API.
[[nodiscard]] AnswerCheck checkReply(const PlannedJob &Job,
                                     const std::string &JobId,
                                     const CallerReply &Reply);

/// \brief True when two answers to one job are incompatible: complete and
/// not_run, or complete with different results.
///
/// `failed` is compatible with any answer, because the loss of both holders of
/// a job record turns a known answer into `outcome_unknown`.
[[nodiscard]] bool areContradictory(const CallerReply &Left,
                                    const CallerReply &Right);

} // namespace wigeonwall::ctl

#endif
