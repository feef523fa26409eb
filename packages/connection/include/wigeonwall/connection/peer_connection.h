/// \file
/// \brief TCP connection between processes for MessagePack messages.
///
/// libjsonrpccpp handles HTTP calls one at a time. Run orders and run results
/// are sent at any time in either direction, so these connections carry one-way
/// messages instead.
#ifndef WIGEONWALL_CONNECTION_PEER_CONNECTION_H
#define WIGEONWALL_CONNECTION_PEER_CONNECTION_H

#include "wigeonwall/connection/asio.h"
#include "wigeonwall/connection/endpoint.h"
#include "wigeonwall/connection/peer_session.h"

#include <functional>
#include <memory>
#include <string>

namespace wigeonwall::connection {

/// \brief Sends and receives messages; all handlers run on one event loop.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
  struct Callbacks {
    /// Set for outgoing connections; called when the connection is established.
    std::function<void()> OnConnected_;
    std::function<void(PeerMessage)> OnMessage_;
    /// Called once, unless close() was called first.
    std::function<void(const std::string &Reason)> OnClosed_;
  };

  explicit PeerConnection(asio::io_context &Context) : Socket_(Context) {}
  explicit PeerConnection(asio::ip::tcp::socket Socket)
      : Socket_(std::move(Socket)) {}

  void connect(const Endpoint &Peer, Callbacks Handlers);
  /// \brief Starts reading from an accepted connection.
  void start(Callbacks Handlers);
  /// \brief Queues a frame; frames queued in one event loop iteration are
  /// written together.
  void send(const std::string &Frame);
  void close();
  [[nodiscard]] bool isOpen() const noexcept { return Open_; }

private:
  void startReading();
  void waitReadable();
  void readAvailable();
  void handleFrames();
  void flush();
  void fail(const std::string &Reason);

  asio::ip::tcp::socket Socket_;
  Callbacks Callbacks_;
  std::string Input_;
  std::string Outgoing_;
  std::string Writing_;
  bool Open_ = false;
  bool FlushPosted_ = false;
};

/// \brief Accepts connections from peers.
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
  asio::steady_timer RetryTimer_;
  std::function<void(std::shared_ptr<PeerConnection>)> OnAccept_;
};

} // namespace wigeonwall::connection

#endif
