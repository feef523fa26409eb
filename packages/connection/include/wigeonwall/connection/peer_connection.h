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
#include "wigeonwall/connection/input_budget.h"
#include "wigeonwall/connection/peer_session.h"
#include "wigeonwall/connection/socket_buffers.h"

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace wigeonwall::connection {

/// \brief Limits of the connections of an event loop.
struct PeerLimits {
  /// The largest message is the order of one job.
  std::size_t MessageBytes_ = 4 * 1024 * 1024;
  /// First message of an accepted connection, which only names the peer.
  std::size_t FirstMessageBytes_ = 4 * 1024;
  /// Time from the first to the last byte of a message, and from accepting a
  /// connection to its first message.
  std::chrono::milliseconds ReadTimeout_{5'000};
  /// Accepted connections of a listener.
  std::size_t Connections_ = 1'024;
  SocketBuffers Buffers_ = {};
  /// Bytes of unfinished messages and unsent output, shared with the servers of
  /// the event loop; no limit without it.
  std::shared_ptr<InputBudget> Budget_ = {};
  CountInputRefusal OnRefused_ = {};
};

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

  explicit PeerConnection(asio::io_context &Context, PeerLimits Limits = {})
      : Socket_(Context), Limits_(std::move(Limits)), Account_(Limits_.Budget_),
        Unsent_(Limits_.Budget_), ReadTimer_(Context) {}
  explicit PeerConnection(asio::ip::tcp::socket Socket, PeerLimits Limits = {})
      : Socket_(std::move(Socket)), Limits_(std::move(Limits)),
        Account_(Limits_.Budget_), Unsent_(Limits_.Budget_),
        ReadTimer_(Socket_.get_executor()) {}

  void connect(const Endpoint &Peer, Callbacks Handlers);
  /// \brief Starts reading from an accepted connection.
  void start(Callbacks Handlers);
  /// \brief Queues a frame; frames queued in one event loop iteration are
  /// written together.
  void send(const std::string &Frame);
  void close();
  [[nodiscard]] bool isOpen() const noexcept { return Open_; }
  /// \brief Time since the connection was accepted.
  [[nodiscard]] std::chrono::steady_clock::duration age() const {
    return std::chrono::steady_clock::now() - CreatedAt_;
  }
  /// \brief Whether a message has been received.
  [[nodiscard]] bool identified() const noexcept { return Identified_; }
  /// \brief Closes the connection because of a limit and reports it as closed.
  void refuse(InputRefusal Why, const std::string &Reason);

private:
  void startReading();
  void waitReadable();
  void readAvailable();
  void handleFrames();
  void flush();
  void fail(const std::string &Reason);
  /// Starts or stops the time limit of an unfinished message.
  void setReadDeadline(bool Unfinished);
  [[nodiscard]] bool holdInput();
  /// Counts large unsent output; false if the budget has ended the connection.
  [[nodiscard]] bool holdOutput();

  asio::ip::tcp::socket Socket_;
  PeerLimits Limits_;
  InputAccount Account_;
  InputAccount Unsent_;
  asio::steady_timer ReadTimer_;
  bool ReadTimerRuns_ = false;
  /// True for accepted connections whose first message is still due.
  bool FirstMessageDue_ = false;
  bool Identified_ = false;
  std::chrono::steady_clock::time_point CreatedAt_ =
      std::chrono::steady_clock::now();
  Callbacks Callbacks_;
  std::string Input_;
  std::string Outgoing_;
  std::string Writing_;
  bool Open_ = false;
  bool FlushPosted_ = false;
};

/// \brief Accepts connections from peers.
///
/// At the limit, the oldest connection without a message is closed for a new
/// one, after a minimum time in which accepting pauses. If all have sent one,
/// \p CloseUnused closes one of them; it returns false if all are in use, and
/// then the new connection is closed.
class PeerListener {
public:
  PeerListener(asio::io_context &Context, Endpoint Address,
               std::function<void(std::shared_ptr<PeerConnection>)> OnAccept,
               PeerLimits Limits = {}, std::function<bool()> CloseUnused = {});
  [[nodiscard]] bool listen();
  void close();

private:
  void accept();
  void serveNext();
  /// Returns false if there will be room for the connection soon.
  [[nodiscard]] bool serve(asio::ip::tcp::socket &Socket);
  void removeClosed();
  /// Returns the oldest connection without a message, or null.
  [[nodiscard]] std::shared_ptr<PeerConnection> oldestUnidentified() const;

  Endpoint Address_;
  asio::ip::tcp::acceptor Acceptor_;
  asio::steady_timer RetryTimer_;
  /// Accepted connection that there is no room for yet.
  std::optional<asio::ip::tcp::socket> Next_;
  std::function<void(std::shared_ptr<PeerConnection>)> OnAccept_;
  PeerLimits Limits_;
  std::function<bool()> CloseUnused_;
  /// Oldest first; closed connections are removed when the limit is reached.
  std::list<std::weak_ptr<PeerConnection>> Accepted_;
};

} // namespace wigeonwall::connection

#endif
