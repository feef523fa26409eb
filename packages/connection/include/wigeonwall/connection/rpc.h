/// \file
/// \brief JSON-RPC 2.0 server and client for calls between processes.
///
/// The server runs libjsonrpccpp behind an HttpServer. The client builds
/// requests with JsonCpp, because the client headers of libjsonrpccpp require
/// C++14 and its connectors block.
#ifndef WIGEONWALL_CONNECTION_RPC_H
#define WIGEONWALL_CONNECTION_RPC_H

#include "wigeonwall/connection/http_client.h"
#include "wigeonwall/connection/http_server.h"

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace wigeonwall::connection {

/// \brief Handles one call synchronously; throws RpcFault for invalid
/// parameters.
using RpcHandler = std::function<Json::Value(const Json::Value &Params)>;

/// \brief Called for each message, to update the message metrics.
using RpcObserver = std::function<void(const std::string &Method,
                                       std::size_t Bytes, bool Outgoing)>;

/// \brief Error that a handler reports to the peer.
struct RpcFault {
  std::string Message_;
};

/// \brief Serves `POST /rpc`.
class RpcServer {
public:
  RpcServer(asio::io_context &Context, Endpoint Address, HttpLimits Limits,
            RpcObserver Observer);
  ~RpcServer();
  RpcServer(const RpcServer &) = delete;
  RpcServer &operator=(const RpcServer &) = delete;

  /// \brief Adds a method with named parameters; must be called before
  /// listen().
  void addMethod(const std::string &Name, RpcHandler Handler);
  [[nodiscard]] bool listen();
  [[nodiscard]] std::uint16_t port() const noexcept;
  void stopAccepting();

private:
  struct State;
  std::shared_ptr<State> State_;
};

/// \brief Result of a call.
struct RpcResult {
  /// Also Ambiguous if the response is neither a result nor an error.
  TransportError Error_ = TransportError::None;
  /// Set when the peer answered with a JSON-RPC error.
  bool Refused_ = false;
  std::string Detail_;
  Json::Value Value_;

  [[nodiscard]] bool ok() const noexcept {
    return Error_ == TransportError::None && !Refused_;
  }
};

using RpcCallback = std::function<void(RpcResult)>;

/// \brief Calls methods of other processes.
class RpcClient {
public:
  RpcClient(asio::io_context &Context, HttpClientLimits Limits,
            RpcObserver Observer);

  /// \brief Calls \p Method without retries; \p Done is called once,
  /// asynchronously.
  void call(const Endpoint &Peer, const std::string &Method, Json::Value Params,
            std::chrono::milliseconds Timeout, RpcCallback Done);
  void closeIdleConnections(const Endpoint &Peer) {
    Http_.closeIdleConnections(Peer);
  }

private:
  HttpClient Http_;
  RpcObserver Observer_;
  std::uint64_t NextId_ = 1;
};

} // namespace wigeonwall::connection

#endif
