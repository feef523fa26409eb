/// \file
/// \brief HTTP interface for callers; see docs/caller-api.md.
#ifndef WIGEONWALL_PROCESS_CALLER_API_H
#define WIGEONWALL_PROCESS_CALLER_API_H

#include "wigeonwall/connection/http_server.h"
#include "wigeonwall/process/entry.h"
#include "wigeonwall/request/codec.h"

#include <memory>
#include <string>

namespace wigeonwall::process {

/// \brief Translates HTTP requests into calls of an Entry.
class CallerApi {
public:
  CallerApi(AgentContext Context, Entry &Jobs);

  /// \brief Handles one request; answers later for a job that is waited for.
  void handle(connection::HttpRequest Request,
              const connection::HttpRespond &Respond);

private:
  void submit(const connection::HttpRequest &Request,
              const connection::HttpRespond &Respond);
  void submitBatch(const connection::HttpRequest &Request,
                   const connection::HttpRespond &Respond);
  void lookup(const connection::HttpRequest &Request,
              const connection::HttpRespond &Respond);
  [[nodiscard]] std::optional<request::JobSpec>
  decode(const Json::Value &Value, request::CodecFault &Why) const;

  AgentContext Context_;
  Entry &Jobs_;
};

/// \brief Status code of an answer.
[[nodiscard]] int statusOf(const request::JobAnswer &Answer) noexcept;

} // namespace wigeonwall::process

#endif
