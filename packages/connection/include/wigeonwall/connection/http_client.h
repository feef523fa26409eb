/// \file
/// \brief HTTP/1.1 client with a pool of connections per peer.
#ifndef WIGEONWALL_CONNECTION_HTTP_CLIENT_H
#define WIGEONWALL_CONNECTION_HTTP_CLIENT_H

#include "wigeonwall/connection/asio.h"
#include "wigeonwall/connection/endpoint.h"
#include "wigeonwall/connection/http_message.h"

#include "wigeonwall/request/enum_names.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace wigeonwall::connection {

/// \brief How an exchange ended.
enum class TransportError : std::uint8_t {
  None,
  /// Nothing was written; the peer cannot have acted on the request.
  NotSent,
  /// At least a part was written; the peer may have acted on the request.
  Ambiguous,
};

inline constexpr std::array<request::EnumName<TransportError>, 3>
    TransportErrorNames{{
        {TransportError::None, "none"},
        {TransportError::NotSent, "not_sent"},
        {TransportError::Ambiguous, "ambiguous"},
    }};

struct HttpResult {
  TransportError Error_ = TransportError::None;
  /// The peer's machine refused the connection: no process listens there.
  bool Refused_ = false;
  /// Message of the last system error, for logs.
  std::string Detail_;
  /// Valid when Error_ is None.
  HttpResponse Response_;
};

using HttpCallback = std::function<void(HttpResult)>;

struct HttpClientLimits {
  std::size_t ConnectionsPerPeer_ = 64;
  std::chrono::milliseconds ConnectTimeout_{250};
  /// Shorter than the idle timeout of servers, so that a request is rarely sent
  /// on a connection that the server is closing.
  std::chrono::milliseconds IdleTimeout_{10'000};
  /// A response with a longer body ends its exchange as Ambiguous.
  std::uint64_t ResponseBytes_ = 64ULL * 1024 * 1024;
  /// A response with a longer header, or with longer trailers or a longer
  /// chunk extension, ends its exchange as Ambiguous.
  std::size_t HeaderBytes_ = 32 * 1024;
};

/// \brief Sends requests; each uses one connection until its response is read.
///
/// Requests beyond the connection limit of a peer are queued in order. All
/// handlers run on the given context, which must have one thread.
class HttpClient {
public:
  HttpClient(asio::io_context &Context, HttpClientLimits Limits);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// \brief Sends \p Request; \p Done is called once, asynchronously.
  void send(const Endpoint &Peer, HttpRequest Request,
            std::chrono::milliseconds Timeout, HttpCallback Done);
  /// \brief Closes the idle connections to a peer that has stopped.
  void closeIdleConnections(const Endpoint &Peer);
  /// \brief Number of open connections without a request.
  [[nodiscard]] std::size_t idleCount(const Endpoint &Peer) const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace wigeonwall::connection

#endif
