/// \file
/// \brief The callers' API (docs/caller-api.md) from the side of a caller.
#ifndef WIGEONWALLCTL_CALLER_API_H
#define WIGEONWALLCTL_CALLER_API_H

#include "wigeonwall/connection/http_client.h"
#include "wigeonwall/request/types.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace wigeonwall::ctl {

/// \brief What a reply of an entry says about the job.
enum class ReplyKind : std::uint8_t {
  // Answers; final.
  Complete,
  NotRun,
  Failed,
  // No answer yet.
  Running,
  UnknownJob,
  /// The entry refused by itself; says nothing about the job.
  Refused,
  /// The request itself is wrong; no entry accepts it.
  Malformed,
  /// No reply: connection refused, broken or timed out.
  NoReply,
  /// A reply that breaks the API, such as one of another job.
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
  /// Filled for the three answers.
  request::JobAnswer Answer_;
  /// One sentence for a person when there is no answer.
  std::string Detail_;
  /// True for an Invalid reply that names another job.
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

/// \brief Classifies the reply to a request about the job \p Key.
[[nodiscard]] CallerReply classifyReply(const request::JobKey &Key,
                                        const connection::HttpResult &Result);

/// \brief Sends the request to one entry after the other until one replies
/// about the job; returns the last reply.
///
/// Sending to the next entry after NoReply is safe, because all requests of
/// the API may be repeated with the same content.
[[nodiscard]] CallerReply
sendToEntries(const std::vector<connection::Endpoint> &Entries,
              const request::JobKey &Key,
              const connection::HttpRequest &Request,
              std::chrono::milliseconds Timeout);

} // namespace wigeonwall::ctl

#endif
