/// \file
/// \brief HTTP requests and responses as plain values.
#ifndef WIGEONWALL_CONNECTION_HTTP_MESSAGE_H
#define WIGEONWALL_CONNECTION_HTTP_MESSAGE_H

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwall::connection {

using HttpHeader = std::pair<std::string, std::string>;

struct HttpRequest {
  /// Upper-case method, such as "POST".
  std::string Method_;
  /// Path with query.
  std::string Target_;
  /// Names in lower case.
  std::vector<HttpHeader> Headers_;
  std::string Body_;
  /// Set by the server: registers a function that is called if the peer
  /// closes the connection before the response, at once if it has.
  std::function<void(std::function<void()>)> NotifyOnClose_ = {};
};

struct HttpResponse {
  int Status_ = 200;
  std::vector<HttpHeader> Headers_;
  std::string Body_;
  std::string ContentType_ = "application/json";
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
