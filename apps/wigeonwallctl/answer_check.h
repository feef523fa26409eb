/// \file
/// \brief Checks that an answer is whole and belongs to its job.
#ifndef WIGEONWALLCTL_ANSWER_CHECK_H
#define WIGEONWALLCTL_ANSWER_CHECK_H

#include "wigeonwallctl/caller_api.h"
#include "wigeonwallctl/workload.h"

namespace wigeonwall::ctl {

/// \brief What is wrong with an answer.
enum class AnswerCheck : std::uint8_t {
  Good,
  /// Wrong number of results.
  Partial,
  /// A result or the answer belongs to another job or task.
  Crossed,
  /// The reply breaks the API in another way.
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
/// a task. Replies without an answer are Good, unless they break the API.
[[nodiscard]] AnswerCheck checkReply(const PlannedJob &Job,
                                     const std::string &JobId,
                                     const CallerReply &Reply);

/// \brief True when two answers of one job exclude each other: complete and
/// not_run, or complete with other results.
///
/// `failed` excludes nothing, because the loss of both holders of a record
/// turns a known answer into `outcome_unknown`.
[[nodiscard]] bool contradict(const CallerReply &Left,
                              const CallerReply &Right);

} // namespace wigeonwall::ctl

#endif
