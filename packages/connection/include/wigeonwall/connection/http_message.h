/// \file
/// \brief Value types of HTTP requests and responses.
#ifndef WIGEONWALL_CONNECTION_HTTP_MESSAGE_H
#define WIGEONWALL_CONNECTION_HTTP_MESSAGE_H

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwall::connection {

using HttpHeader = std::pair<std::string, std::string>;

struct HttpRequest {
  /// Upper-case method, such as "POST".
  std::string Method_;
  /// Path and query string.
  std::string Target_;
  /// Header names are in lower case.
  std::vector<HttpHeader> Headers_;
  std::string Body_;
  /// Set by the server. Registers a callback for the peer closing the
  /// connection before the response; called immediately if it already has.
  std::function<void(std::function<void()>)> NotifyOnClose_ = {};
};

struct HttpResponse {
  int Status_ = 200;
  std::vector<HttpHeader> Headers_;
  std::string Body_;
  std::string ContentType_ = "application/json";
  /// Sent in place of Body_ if set, by any number of responses.
  std::shared_ptr<const std::string> SharedBody_ = {};
};

/// \brief Returns the value of the header \p Name (lower case), or "".
[[nodiscard]] inline std::string
findHeader(const std::vector<HttpHeader> &Headers, const std::string &Name) {
  for (const auto &[Key, Value] : Headers)
    if (Key == Name)
      return Value;
  return {};
}

} // namespace wigeonwall::connection

#endif
