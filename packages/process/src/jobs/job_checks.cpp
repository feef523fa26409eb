#include "wigeonwall/process/jobs/job_checks.h"

#include "wigeonwall/process/jobs/replies.h"

namespace wigeonwall::process {

using request::JobAnswer;
using request::JobSpec;
using request::Outcome;
using request::Reason;

namespace {

/// Subtracted from the retention: the records of jobs older than that may
/// already have expired.
constexpr std::chrono::seconds ExpiryMargin{60};

} // namespace

std::optional<JobAnswer> checkNotExpired(const JobSpec &Spec,
                                         std::int64_t NowMs,
                                         request::Duration Retention) {
  const auto Limit = std::chrono::duration_cast<std::chrono::milliseconds>(
      Retention - ExpiryMargin);
  if (NowMs - Spec.CreatedAtMs_ <= Limit.count())
    return std::nullopt;
  return negativeAnswer(Outcome::Failed, Reason::Expired,
                        "the job is older than the retention of records");
}

std::optional<JobAnswer> checkAgainstConfig(const JobSpec &Spec,
                                            const version::Config &Config) {
  const auto *Service = Config.findService(Spec.Key_.Service_);
  if (Service == nullptr)
    return negativeAnswer(Outcome::Failed, Reason::UnknownService,
                          "no service " + Spec.Key_.Service_);
  const auto *Kind = Service->findKind(Spec.Kind_);
  if (Kind == nullptr)
    return negativeAnswer(Outcome::Failed, Reason::UnknownKind,
                          "no kind " + Spec.Kind_);
  const auto *Team = Config.findTeam(Spec.Team_);
  if (Team == nullptr)
    return negativeAnswer(Outcome::Failed, Reason::UnknownTeam,
                          "no team " + Spec.Team_);
  if (Kind->QueueLimit_ == 0 || Team->MaxTasksInFlight_ == 0)
    return negativeAnswer(Outcome::Failed, Reason::LimitIsZero,
                          "the kind or the team is closed");
  if (Spec.Timeout_ > Kind->MaxTimeout_)
    return negativeAnswer(
        Outcome::Failed, Reason::TimeoutTooLong,
        "the kind allows " + std::to_string(Kind->MaxTimeout_.count()) + " ms");
  if (Spec.Tasks_.size() > Kind->MaxTasksPerJob_)
    return negativeAnswer(Outcome::Failed, Reason::TooManyTasks,
                          "the kind allows " +
                              std::to_string(Kind->MaxTasksPerJob_) + " tasks");
  return std::nullopt;
}

void markNonIdempotent(JobSpec &Spec, const version::Config &Config) {
  const auto *Service = Config.findService(Spec.Key_.Service_);
  const auto *Kind =
      Service == nullptr ? nullptr : Service->findKind(Spec.Kind_);
  if (Kind != nullptr && Kind->NonIdempotent_)
    Spec.NonIdempotent_ = true;
}

} // namespace wigeonwall::process
