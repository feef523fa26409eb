/// \file
/// \brief HTTP API for callers; see docs/caller-api.md.
#ifndef WIGEONWALL_PROCESS_JOBS_CALLER_API_H
#define WIGEONWALL_PROCESS_JOBS_CALLER_API_H

#include "wigeonwall/connection/http_server.h"
#include "wigeonwall/process/jobs/entry.h"
#include "wigeonwall/request/codec.h"

#include <memory>
#include <string>

namespace wigeonwall::process {

/// \brief Maps HTTP requests to calls of an Entry.
class CallerApi {
public:
  CallerApi(AgentContext Context, Entry &Jobs);

  /// \brief Handles one request; \p Respond may run after the function returns.
  void handle(connection::HttpRequest Request,
              const connection::HttpRespond &Respond);

private:
  void submit(const connection::HttpRequest &Request,
              const connection::HttpRespond &Respond);
  void submitBatch(const connection::HttpRequest &Request,
                   const connection::HttpRespond &Respond);
  /// Submits one job and calls \p Done once with the HTTP status and body.
  template <typename Callback>
  void submitJob(const Json::Value &Job,
                 std::optional<request::Duration> MaxWait,
                 const std::string &TraceParent, const Callback &Done);
  void lookup(const request::JobKey &Key,
              const connection::HttpRequest &Request,
              const connection::HttpRespond &Respond);
  [[nodiscard]] std::optional<request::JobSpec>
  decode(const Json::Value &Value, request::CodecFault &Why) const;

  AgentContext Context_;
  Entry &Jobs_;
};

/// \brief HTTP status code of an answer.
[[nodiscard]] int statusOf(const request::JobAnswer &Answer) noexcept;

} // namespace wigeonwall::process

#endif
