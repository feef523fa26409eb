/// \file
/// \brief One TCP connection between processes that carries packed messages.
///
/// libjsonrpccpp answers calls over HTTP one at a time; runs are ordered and
/// end at any moment in both directions, so these connections carry messages
/// without replies instead.
#ifndef WIGEONWALL_CONNECTION_PEER_CONNECTION_H
#define WIGEONWALL_CONNECTION_PEER_CONNECTION_H

#include "wigeonwall/connection/asio.h"
#include "wigeonwall/connection/endpoint.h"
#include "wigeonwall/connection/peer_session.h"

#include <functional>
#include <memory>
#include <string>

namespace wigeonwall::connection {

/// \brief Sends and receives messages; all work runs on one event loop.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
  struct Callbacks {
    /// Set for links that connect; called once the peer has accepted.
    std::function<void()> OnConnected_;
    std::function<void(PeerMessage)> OnMessage_;
    /// Called once, unless close() was called before.
    std::function<void(const std::string &Why)> OnClosed_;
  };

  explicit PeerConnection(asio::io_context &Context) : Socket_(Context) {}
  explicit PeerConnection(asio::ip::tcp::socket Socket)
      : Socket_(std::move(Socket)) {}

  void connect(const Endpoint &Peer, Callbacks Use);
  /// \brief Serves an accepted connection.
  void start(Callbacks Use);
  /// \brief Queues a frame; those of one turn of the loop go out together.
  void send(const std::string &Frame);
  void close();
  [[nodiscard]] bool isOpen() const noexcept { return Open_; }

private:
  void begin();
  void read();
  void readAvailable();
  void handleFrames();
  void flush();
  void fail(const std::string &Why);

  asio::ip::tcp::socket Socket_;
  Callbacks Callbacks_;
  std::string Input_;
  std::string Outgoing_;
  std::string Writing_;
  bool Open_ = false;
  bool FlushPosted_ = false;
};

/// \brief Accepts connections of peers.
class PeerListener {
public:
  PeerListener(asio::io_context &Context, Endpoint Address,
               std::function<void(std::shared_ptr<PeerConnection>)> OnAccept);
  [[nodiscard]] bool listen();
  void close();

private:
  void accept();

  Endpoint Address_;
  asio::ip::tcp::acceptor Acceptor_;
  asio::steady_timer RetryDelay_;
  std::function<void(std::shared_ptr<PeerConnection>)> OnAccept_;
};

} // namespace wigeonwall::connection

#endif
