/// \file
/// \brief Client side of the caller API (docs/caller-api.md).
#ifndef WIGEONWALLCTL_CALLER_API_H
#define WIGEONWALLCTL_CALLER_API_H

#include "wigeonwall/connection/http_client.h"
#include "wigeonwall/request/types.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace wigeonwall::ctl {

/// \brief Job state or error that an entry's reply expresses.
enum class ReplyKind : std::uint8_t {
  // Final answers.
  Complete,
  NotRun,
  Failed,
  // No final answer.
  Running,
  UnknownJob,
  /// The entry rejected the request (429 or 503); the job state is unknown.
  Refused,
  /// The request is malformed; every entry rejects it.
  Malformed,
  /// Connection refused, closed early or timed out.
  NoReply,
  /// The reply violates the API, for example by naming a different job.
  Invalid,
};

inline constexpr std::array<request::EnumName<ReplyKind>, 9> ReplyKindNames{{
    {ReplyKind::Complete, "complete"},
    {ReplyKind::NotRun, "not_run"},
    {ReplyKind::Failed, "failed"},
    {ReplyKind::Running, "running"},
    {ReplyKind::UnknownJob, "unknown"},
    {ReplyKind::Refused, "refused"},
    {ReplyKind::Malformed, "malformed"},
    {ReplyKind::NoReply, "no_reply"},
    {ReplyKind::Invalid, "invalid"},
}};

struct CallerReply {
  ReplyKind Kind_ = ReplyKind::NoReply;
  /// HTTP status; 0 without a reply.
  int Status_ = 0;
  /// Set for Complete, NotRun and Failed.
  request::JobAnswer Answer_;
  /// Human-readable explanation when there is no answer.
  std::string Detail_;
  /// True for an Invalid reply that names a different job.
  bool NamesOtherJob_ = false;
};

[[nodiscard]] constexpr bool isFinal(ReplyKind Kind) noexcept {
  return Kind == ReplyKind::Complete || Kind == ReplyKind::NotRun ||
         Kind == ReplyKind::Failed;
}

[[nodiscard]] connection::HttpRequest
makeSubmitRequest(std::string Body, std::chrono::milliseconds Wait);
[[nodiscard]] connection::HttpRequest
makeStatusRequest(const request::JobKey &Key, std::chrono::milliseconds Wait);
[[nodiscard]] connection::HttpRequest
makeCancelRequest(const request::JobKey &Key);

/// \brief Classifies an entry's reply to a request for the job \p Key.
[[nodiscard]] CallerReply classifyReply(const request::JobKey &Key,
                                        const connection::HttpResult &Result);

/// \brief Tries the entries in order until one replies with something other
/// than NoReply or Refused; returns the last reply.
///
/// Failing over after NoReply is safe because all requests of the API are
/// idempotent when repeated with the same content.
[[nodiscard]] CallerReply
sendToEntries(const std::vector<connection::Endpoint> &Entries,
              const request::JobKey &Key,
              const connection::HttpRequest &Request,
              std::chrono::milliseconds Timeout);

} // namespace wigeonwall::ctl

#endif
