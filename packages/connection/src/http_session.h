/// \file
/// \brief Connections of an HttpServer.
#ifndef WIGEONWALL_CONNECTION_HTTP_SESSION_H
#define WIGEONWALL_CONNECTION_HTTP_SESSION_H

#include "wigeonwall/connection/http_request_reader.h"
#include "wigeonwall/connection/http_server.h"

#include <array>
#include <list>
#include <optional>
#include <string_view>

namespace wigeonwall::connection::detail {

class HttpSession;

/// \brief What a connection is doing.
enum class SessionPhase : std::uint8_t {
  /// Waits for the first byte of a request.
  Idle,
  Reading,
  /// The handler has the request.
  Handling,
  Writing,
  /// Has stopped sending and discards input until the peer closes.
  Lingering,
  Closed,
};

/// \brief Whether a server at its limit can accept another connection.
enum class Room : std::uint8_t {
  Made,
  /// Connections can be closed soon; they are too new now.
  Later,
  /// All connections wait for a response.
  None,
};

/// \brief Open sessions of one server, in the order in which they entered their
/// phase.
class HttpSessions {
public:
  using Position = std::list<HttpSession *>::iterator;

  HttpSessions(HttpLimits Limits, HttpHandler Handler)
      : Limits_(std::move(Limits)), Handler_(std::move(Handler)) {}

  [[nodiscard]] Position add(HttpSession &Session) {
    List &Idle = list(SessionPhase::Idle);
    return Idle.insert(Idle.end(), &Session);
  }
  void move(Position Session, SessionPhase From, SessionPhase To) {
    list(To).splice(list(To).end(), list(From), Session);
  }
  void remove(Position Session, SessionPhase From) {
    list(From).erase(Session);
  }
  /// \brief Number of connections that are not closed.
  [[nodiscard]] std::size_t count() const noexcept;
  [[nodiscard]] std::size_t handledCount() const noexcept {
    return Lists_[static_cast<std::size_t>(SessionPhase::Handling)].size();
  }
  /// \brief Closes the connection that has been lingering, idle or reading
  /// longest. Idle and reading ones are kept for \p MinTime, in which the
  /// request that a client sends when it is connected arrives.
  [[nodiscard]] Room closeLongestUnused(InputRefusal Why,
                                        std::chrono::milliseconds MinTime);
  void countRefusal(InputRefusal Why) const {
    if (Limits_.OnRefused_)
      Limits_.OnRefused_(Why);
  }

  HttpLimits Limits_;
  HttpHandler Handler_;
  /// Responses close their connection.
  bool Closing_ = false;

private:
  using List = std::list<HttpSession *>;

  [[nodiscard]] List &list(SessionPhase Phase) {
    return Lists_[static_cast<std::size_t>(Phase)];
  }

  std::array<List, static_cast<std::size_t>(SessionPhase::Closed) + 1> Lists_;
};

/// \brief Accepted connection. Reads a request, waits for the handler, writes
/// the response, and repeats.
///
/// Input is read into a buffer of the thread when the socket is readable, so
/// that an idle connection has no buffer.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(asio::ip::tcp::socket Socket,
              std::shared_ptr<HttpSessions> Server);
  ~HttpSession();
  HttpSession(const HttpSession &) = delete;
  HttpSession &operator=(const HttpSession &) = delete;

  void waitForRequest();
  /// \brief Closes the socket immediately.
  void abort();
  /// \brief Time for which an idle or reading connection has been so.
  [[nodiscard]] std::chrono::steady_clock::duration unusedTime() const;

private:
  using Clock = std::chrono::steady_clock;

  void setPhase(SessionPhase Next);
  void setDeadline(std::chrono::milliseconds After);
  void armTimer();
  void onTimer();
  void waitReadable();
  void onReadable(boost::system::error_code Error);
  [[nodiscard]] std::size_t readSize() const;
  void beginRequest();
  void consume(std::string_view Data);
  void evict();
  void refuse(InputRefusal Why);
  void dispatch();
  void watchPeer(std::function<void()> OnClosed);
  /// Reports the end of the connection, or checks again later.
  void checkPeer();
  /// Whether the peer has closed the connection or ended sending.
  [[nodiscard]] bool peerClosed();
  void reject(int Status, std::string Message,
              std::vector<HttpHeader> Headers = {});
  void write(HttpResponse Response);
  /// Counts a large response that only this connection has; false if the budget
  /// has ended it.
  [[nodiscard]] bool holdResponse(const HttpResponse &Response);
  void close();
  void discard();
  void releaseInput();

  asio::ip::tcp::socket Socket_;
  std::shared_ptr<HttpSessions> Server_;
  SessionPhase Phase_ = SessionPhase::Idle;
  HttpSessions::Position Position_;
  asio::steady_timer Timer_;
  Clock::time_point Deadline_ = Clock::time_point::max();
  /// Time at which the pending wait of the timer ends; max() without one.
  Clock::time_point TimerEnd_ = Clock::time_point::max();
  HttpRequestReader Reader_;
  InputAccount Account_;
  /// Body of Message_.
  std::shared_ptr<const std::string> Body_;
  std::optional<
      boost::beast::http::response<boost::beast::http::span_body<const char>>>
      Message_;
  std::function<void()> OnPeerClosed_;
  unsigned Version_ = 11;
  bool KeepAlive_ = false;
  bool Answered_ = false;
};

} // namespace wigeonwall::connection::detail

#endif
