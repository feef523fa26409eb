/// \file
/// \brief Entry point for jobs: forwards each job to its home and returns the
/// answer.
#ifndef WIGEONWALL_PROCESS_JOBS_ENTRY_H
#define WIGEONWALL_PROCESS_JOBS_ENTRY_H

#include "wigeonwall/process/jobs/agent_context.h"
#include "wigeonwall/process/observation/metrics.h"
#include "wigeonwall/process/observation/trace.h"
#include "wigeonwall/request/types.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace wigeonwall::process {

/// \brief Receives the answer, or nothing if the wait ended before the job did.
using AnswerCallback = std::function<void(std::optional<request::JobAnswer>)>;

/// \brief Result of a job lookup.
enum class JobLookup : std::uint8_t { Unknown, Running, Final, Unreachable };
using LookupCallback =
    std::function<void(JobLookup, const request::JobAnswer &)>;

/// \brief Why a submission was rejected; says nothing about the job's outcome.
enum class EntryRefusal : std::uint8_t {
  None,
  NotReady,
  Conflict,
  TooManyJobs
};

/// \brief Tracks submitted jobs until they are answered; not thread-safe.
///
/// A job is resubmitted to its home, or to its home in a newer map, until an
/// answer arrives; the home deduplicates submissions. Answers are matched by
/// service and job id.
class Entry {
public:
  Entry(AgentContext Context, std::size_t MaxJobs);

  /// \brief Sets the address that receives `job.finished`; call before the
  /// first submission.
  void setReplyTo(std::string Address) { ReplyTo_ = std::move(Address); }

  /// \brief Submits a job. Unless it is refused, \p Done is called once, at the
  /// latest shortly after the job's deadline.
  ///
  /// If \p Wait elapses first, \p Done is called without an answer and the job
  /// continues. \p TraceParent is the caller's trace context in the format of
  /// the `traceparent` header.
  [[nodiscard]] EntryRefusal
  submit(request::JobSpec Spec, AnswerCallback Done,
         std::optional<request::Duration> Wait = std::nullopt,
         std::string_view TraceParent = {});

  /// \brief Gets the state of a job from its home without submitting it; polls
  /// until the job has ended or \p Wait has elapsed.
  void lookup(const request::JobKey &Key, LookupCallback Done,
              request::Duration Wait = request::Duration::zero());
  /// \brief Cancels a job at its home.
  void cancel(const request::JobKey &Key, LookupCallback Done);

  /// \brief Handles `job.finished`.
  [[nodiscard]] Json::Value finished(const Json::Value &Params);

  /// \brief Fails overdue jobs and resubmits those without a reply; call
  /// periodically.
  void tick();
  /// \brief Number of jobs without an answer plus waiting lookups.
  [[nodiscard]] std::size_t unfinished() const noexcept {
    return PendingJobs_.size() + WaitingLookups_;
  }
  /// \brief Number of callbacks waiting for the answer to a submission.
  [[nodiscard]] std::size_t waiters() const noexcept;

private:
  struct WaitingLookup;
  struct Waiter {
    std::uint64_t Id_ = 0;
    AnswerCallback Done_;
  };
  struct PendingJob {
    request::JobSpec Spec_;
    std::uint64_t Fingerprint_ = 0;
    std::uint64_t Serial_ = 0;
    std::vector<Waiter> Waiting_;
    request::TimePoint SubmittedAt_;
    request::TimePoint Deadline_;
    request::TimePoint ResubmitAt_;
    /// Time of the first of the home's consecutive failures to reply.
    std::optional<request::TimePoint> UnreachableSince_;
    /// Address of the home from a `moved` notification; empty to use the map.
    std::string RedirectAddress_;
    bool CallInFlight_ = false;
    /// Covers submission to answer; null when tracing is off.
    SpanPtr Span_;
  };

  [[nodiscard]] PendingJob *find(const request::JobKey &Key,
                                 std::uint64_t Serial);
  void addWaiter(PendingJob &Job, AnswerCallback Done,
                 std::optional<request::Duration> Wait);
  void expireWaiter(const request::JobKey &Key, std::uint64_t Serial,
                    std::uint64_t Id);
  void submitToHome(PendingJob &Job);
  void failUnknownService(const PendingJob &Job);
  void onReply(PendingJob &Job, const connection::RpcResult &Result);
  void onRefused(PendingJob &Job, request::Reason Why);
  void resubmitLater(PendingJob &Job, request::Duration Delay);
  /// Queries the copy holder when the home is gone and the map cannot change.
  void queryCopyHolder(PendingJob &Job);
  void onCopyHolderReply(PendingJob &Job, const connection::RpcResult &Result);
  void answer(PendingJob &Job, const request::JobAnswer &Answer);
  void queryHome(const std::string &Method, const request::JobKey &Key,
                 LookupCallback Done);
  void pollStatus(const std::shared_ptr<WaitingLookup> &Each);

  AgentContext Context_;
  std::size_t MaxJobs_;
  std::string ReplyTo_;
  std::unordered_map<request::JobKey, std::unique_ptr<PendingJob>,
                     request::JobKeyHash>
      PendingJobs_;
  std::uint64_t NextSerial_ = 1;
  std::uint64_t NextWaiter_ = 1;
  std::size_t WaitingLookups_ = 0;
  EntryMetrics Metrics_;
  /// This entry's contribution to Metrics_.JobsWaiting_.
  std::int64_t PublishedWaiting_ = 0;
};

} // namespace wigeonwall::process

#endif
