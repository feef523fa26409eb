/// \file
/// \brief HTTP/1.1 server on Boost.Beast with bounds on all input.
#ifndef WIGEONWALL_CONNECTION_HTTP_SERVER_H
#define WIGEONWALL_CONNECTION_HTTP_SERVER_H

#include "wigeonwall/connection/asio.h"
#include "wigeonwall/connection/endpoint.h"
#include "wigeonwall/connection/http_message.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace wigeonwall::connection {

/// \brief Sends the response of one request; called once, on any turn of the
/// server's event loop.
using HttpRespond = std::function<void(HttpResponse)>;

/// \brief Handles one request.
using HttpHandler = std::function<void(HttpRequest, HttpRespond)>;

/// \brief Bounds of a server.
struct HttpLimits {
  std::uint32_t HeaderBytes_ = 8 * 1024;
  std::uint64_t BodyBytes_ = 1024 * 1024;
  std::size_t Connections_ = 1024;
  /// From the first byte of a request to its last.
  std::chrono::milliseconds ReadTimeout_{5'000};
  /// Between requests on a connection.
  std::chrono::milliseconds IdleTimeout_{60'000};
  /// Several servers, one per thread, may listen on the address.
  bool ReusePort_ = false;
};

/// \brief Accepts connections and passes requests to a handler.
///
/// All work runs on the given context, which must have one thread. A malformed
/// request gets 400, an oversized one 413 or 431, a slow or truncated one a
/// close; over the connection limit a connection is closed at once.
/// \code
/// HttpServer Server(Context, {"127.0.0.1", 0}, {}, Handler);
/// Server.listen();
/// \endcode
class HttpServer {
public:
  HttpServer(asio::io_context &Context, Endpoint Address, HttpLimits Limits,
             HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// \brief Binds and starts to accept; false when the address is taken.
  [[nodiscard]] bool listen();
  /// \brief Port in use; differs from the asked one when that was 0.
  [[nodiscard]] std::uint16_t port() const noexcept;
  /// \brief Closes each connection after its next response, so that clients go
  /// elsewhere; still accepts connections.
  void disableKeepAlive();
  /// \brief Stops accepting; open connections close after their response.
  void stopAccepting();
  [[nodiscard]] std::size_t connectionCount() const noexcept;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace wigeonwall::connection

#endif
