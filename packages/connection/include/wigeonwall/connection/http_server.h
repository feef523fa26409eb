/// \file
/// \brief HTTP/1.1 server on Boost.Beast with limits on all input.
#ifndef WIGEONWALL_CONNECTION_HTTP_SERVER_H
#define WIGEONWALL_CONNECTION_HTTP_SERVER_H

#include "wigeonwall/connection/asio.h"
#include "wigeonwall/connection/endpoint.h"
#include "wigeonwall/connection/http_message.h"
#include "wigeonwall/connection/input_budget.h"
#include "wigeonwall/connection/socket_buffers.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace wigeonwall::connection {

/// \brief Sends the response to one request; called once, in the event loop of
/// the server, at any time.
using HttpRespond = std::function<void(HttpResponse)>;

/// \brief Handles one request.
using HttpHandler = std::function<void(HttpRequest, HttpRespond)>;

/// \brief Limits of a server.
struct HttpLimits {
  std::uint32_t HeaderBytes_ = 8 * 1024;
  std::uint64_t BodyBytes_ = 1024 * 1024;
  std::size_t Connections_ = 1024;
  /// Time from the first to the last byte of a request.
  std::chrono::milliseconds ReadTimeout_{5'000};
  /// Time between two requests on a connection.
  std::chrono::milliseconds IdleTimeout_{60'000};
  SocketBuffers Buffers_ = {};
  /// Allows several servers, one per thread, to listen on the address.
  bool ReusePort_ = false;
  /// Requests that are handled and have no response yet; 0 for no limit.
  std::size_t Waiting_ = 0;
  /// Bytes of unfinished requests, shared by the servers of the event loop; no
  /// limit without it.
  std::shared_ptr<InputBudget> Budget_ = {};
  /// Called for each connection that is closed and each request that is
  /// rejected because of a limit.
  CountInputRefusal OnRefused_ = {};
};

namespace detail {
class HttpSessions;
} // namespace detail

/// \brief Accepts connections and passes requests to a handler.
///
/// All handlers run on the given context, which must have one thread. Malformed
/// requests are answered with 400 and oversized ones with 413 or 431. With the
/// budget used up, the unfinished request that the budget chooses is answered
/// with 503. Connections with slow or truncated requests are closed without a
/// response. At the connection limit, the connection that has been idle or
/// unfinished longest is closed, after a minimum time in which accepting
/// pauses; if all of them wait for a response, the new one is.
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

  /// \brief Binds the address and starts accepting; false if the address is in
  /// use.
  [[nodiscard]] bool listen();
  /// \brief Bound port; differs from the requested one if that was 0.
  [[nodiscard]] std::uint16_t port() const noexcept;
  /// \brief Closes each connection after its next response, so that clients
  /// reconnect to another server; new connections are still accepted.
  void disableKeepAlive();
  /// \brief Stops accepting; open connections are closed after their response.
  void stopAccepting();
  [[nodiscard]] std::size_t connectionCount() const noexcept;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace wigeonwall::connection

#endif
