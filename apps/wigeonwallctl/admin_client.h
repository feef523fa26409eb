/// \file
/// \brief Calls of one process over blocking HTTP.
#ifndef WIGEONWALLCTL_ADMIN_CLIENT_H
#define WIGEONWALLCTL_ADMIN_CLIENT_H

#include "wigeonwallctl/command.h"

#include "wigeonwall/connection/http_client.h"

#include <chrono>
#include <optional>

namespace wigeonwall::ctl {

/// \brief Sends one request and waits for its reply.
[[nodiscard]] connection::HttpResult
exchange(const connection::Endpoint &Peer, connection::HttpRequest Request,
         std::chrono::milliseconds Timeout);

/// \brief Sends a request to the administration port named by `--admin`.
///
/// Empty after an error was reported; \p Code is then the exit code.
[[nodiscard]] std::optional<connection::HttpResponse>
callAdmin(const Arguments &Args, Console Streams, const char *Method,
          const char *Target, int &Code);

} // namespace wigeonwall::ctl

#endif
