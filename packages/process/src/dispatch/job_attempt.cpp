#include "wigeonwall/process/dispatch/job_attempt.h"

#include <algorithm>
#include <utility>

namespace wigeonwall::process::dispatch {

CallerLeft JobCallers::leave(AttemptId Attempt) {
  const auto Found = std::find_if(
      Callers_.begin(), Callers_.end(),
      [Attempt](const Caller &Each) { return Each.Attempt_ == Attempt; });
  if (Found == Callers_.end())
    return CallerLeft::Unknown;
  if (Callers_.size() == 1)
    return CallerLeft::Last;
  const AnswerCallback Reply = std::move(Found->Reply_);
  Callers_.erase(Found);
  Reply({JobResult::Abandoned, JobReason::CallerGone, {}});
  return CallerLeft::OthersWait;
}

AnswerCallback JobCallers::release() {
  return [Released = std::exchange(Callers_, {})](const JobAnswer &Answer) {
    for (const Caller &Each : Released)
      Each.Reply_(Answer);
  };
}

} // namespace wigeonwall::process::dispatch
