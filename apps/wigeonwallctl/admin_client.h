/// \file
/// \brief Blocking HTTP requests to a single process.
#ifndef WIGEONWALLCTL_ADMIN_CLIENT_H
#define WIGEONWALLCTL_ADMIN_CLIENT_H

#include "wigeonwallctl/command.h"

#include "wigeonwall/connection/http_client.h"

#include <chrono>
#include <optional>

namespace wigeonwall::ctl {

/// \brief Sends one request and blocks until it has a reply or fails.
[[nodiscard]] connection::HttpResult
sendRequest(const connection::Endpoint &Peer, connection::HttpRequest Request,
            std::chrono::milliseconds Timeout);

/// \brief Sends a request to the administration address given by `--admin`.
///
/// Reports an error, sets \p Code and returns no value when the option is
/// invalid, no reply arrives or the status is not 2xx.
[[nodiscard]] std::optional<connection::HttpResponse>
sendAdminRequest(const Arguments &Args, Console Streams, const char *Method,
                 const char *Target, int &Code);

} // namespace wigeonwall::ctl

#endif
