#include "wigeonwallctl/answer_check.h"

namespace wigeonwall::ctl {

namespace {

bool resultMatches(const Json::Value &Result, const std::string &JobId,
                   std::size_t Task, std::uint32_t WorkMs) {
  return Result.isObject() && Result["job"].isString() &&
         Result["job"].asString() == JobId && Result["task"].isUInt() &&
         Result["task"].asUInt() == Task && Result["work_ms"].isUInt() &&
         Result["work_ms"].asUInt() == WorkMs;
}

} // namespace

AnswerCheck checkReply(const PlannedJob &Job, const std::string &JobId,
                       const CallerReply &Reply) {
  if (Reply.Kind_ == ReplyKind::Invalid)
    return Reply.NamesOtherJob_ ? AnswerCheck::Crossed : AnswerCheck::Invalid;
  if (Reply.Kind_ == ReplyKind::Malformed)
    return AnswerCheck::Invalid;
  if (Reply.Kind_ != ReplyKind::Complete)
    return AnswerCheck::Good;
  const auto &Results = Reply.Answer_.Results_;
  if (Results.size() != Job.WorkMs_.size())
    return AnswerCheck::Partial;
  for (std::size_t I = 0; I < Results.size(); ++I)
    if (!resultMatches(Results[I], JobId, I, Job.WorkMs_[I]))
      return AnswerCheck::Crossed;
  return AnswerCheck::Good;
}

bool areContradictory(const CallerReply &Left, const CallerReply &Right) {
  if (Left.Kind_ == ReplyKind::Complete && Right.Kind_ == ReplyKind::Complete)
    return Left.Answer_.Results_ != Right.Answer_.Results_;
  return (Left.Kind_ == ReplyKind::Complete &&
          Right.Kind_ == ReplyKind::NotRun) ||
         (Left.Kind_ == ReplyKind::NotRun &&
          Right.Kind_ == ReplyKind::Complete);
}

} // namespace wigeonwall::ctl
