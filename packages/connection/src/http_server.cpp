#include "wigeonwall/connection/http_server.h"

#include "acceptor.h"
#include "http_session.h"

#include <optional>

namespace wigeonwall::connection {

using Tcp = asio::ip::tcp;

namespace {

/// Connections that are closed at once when no descriptor is free, so that the
/// store, the agents and the files have some as well.
constexpr int ClosedWithoutDescriptors = 16;
/// At the limit of connections, the time that each has for its request before
/// it is closed for a new one, and the period at which this is checked.
constexpr std::chrono::milliseconds MinUnusedTime{50};
constexpr std::chrono::milliseconds RoomCheckPeriod{5};

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(asio::io_context &Context, Endpoint Address, HttpLimits Limits,
        HttpHandler Handler)
      : Context_(Context), Address_(std::move(Address)),
        Sessions_(std::make_shared<detail::HttpSessions>(std::move(Limits),
                                                         std::move(Handler))),
        Acceptor_(Context), AcceptRetryTimer_(Context), RoomTimer_(Context) {}

  void accept();
  /// Serves a new connection, or closes it if there is no room; false if there
  /// will be room soon.
  [[nodiscard]] bool serve(Tcp::socket &Socket,
                           std::chrono::milliseconds MinTime);
  /// Serves Next_ once there is room, then continues accepting.
  void serveNext();
  void acceptPending();
  void onAcceptFailed(boost::system::error_code Error);

  asio::io_context &Context_;
  Endpoint Address_;
  std::shared_ptr<detail::HttpSessions> Sessions_;
  Tcp::acceptor Acceptor_;
  asio::steady_timer AcceptRetryTimer_;
  asio::steady_timer RoomTimer_;
  /// Accepted connection that there is no room for yet.
  std::optional<Tcp::socket> Next_;
  std::uint16_t Port_ = 0;
  bool Stopping_ = false;
};

void HttpServer::State::accept() {
  Acceptor_.async_accept(
      [Self = shared_from_this()](auto Error, Tcp::socket Socket) {
        if (!Error) {
          Self->Next_ = std::move(Socket);
          return Self->serveNext();
        }
        if (Error == asio::error::operation_aborted || Self->Stopping_)
          return;
        Self->onAcceptFailed(Error);
        Self->AcceptRetryTimer_.expires_after(detail::AcceptRetryDelay);
        Self->AcceptRetryTimer_.async_wait([Self](auto Cancelled) {
          if (!Cancelled)
            Self->accept();
        });
      });
}

void HttpServer::State::serveNext() {
  // A connection accepted just before stopAccepting() is still served.
  const auto MinTime =
      Stopping_ ? std::chrono::milliseconds::zero() : MinUnusedTime;
  if (!Next_ || serve(*Next_, MinTime)) {
    Next_.reset();
    if (!Stopping_)
      accept();
    return;
  }
  RoomTimer_.expires_after(RoomCheckPeriod);
  RoomTimer_.async_wait([Self = shared_from_this()](auto Cancelled) {
    if (!Cancelled)
      Self->serveNext();
  });
}

/// Without free descriptors each accept fails immediately, until connections
/// have been closed.
void HttpServer::State::onAcceptFailed(boost::system::error_code Error) {
  if (Error != asio::error::no_descriptors)
    return;
  for (int I = 0; I < ClosedWithoutDescriptors; ++I)
    if (Sessions_->closeLongestUnused(InputRefusal::Descriptors, {}) !=
        detail::Room::Made)
      return;
}

bool HttpServer::State::serve(Tcp::socket &Socket,
                              std::chrono::milliseconds MinTime) {
  if (Sessions_->count() >= Sessions_->Limits_.Connections_) {
    const detail::Room Found =
        Sessions_->closeLongestUnused(InputRefusal::Connections, MinTime);
    if (Found == detail::Room::Later)
      return false;
    if (Found == detail::Room::None) {
      Sessions_->countRefusal(InputRefusal::Connections);
      return true;
    }
  }
  boost::system::error_code Ignored;
  Socket.set_option(Tcp::no_delay(true), Ignored);
  std::make_shared<detail::HttpSession>(std::move(Socket), Sessions_)
      ->waitForRequest();
  return true;
}

/// Serves the connections in the accept queue of the kernel; closing the
/// acceptor would reset them and lose their requests.
void HttpServer::State::acceptPending() {
  boost::system::error_code Error;
  Acceptor_.non_blocking(true, Error);
  while (!Error) {
    Tcp::socket Socket(Context_);
    Acceptor_.accept(Socket, Error);
    if (!Error)
      (void)serve(Socket, {});
  }
}

HttpServer::HttpServer(asio::io_context &Context, Endpoint Address,
                       HttpLimits Limits, HttpHandler Handler)
    : State_(std::make_shared<State>(Context, std::move(Address),
                                     std::move(Limits), std::move(Handler))) {}

HttpServer::~HttpServer() {
  State_->Stopping_ = true;
  State_->AcceptRetryTimer_.cancel();
  State_->RoomTimer_.cancel();
  State_->Next_.reset();
  boost::system::error_code Ignored;
  State_->Acceptor_.close(Ignored);
  // Open sessions outlive this object, but the objects that the handler refers
  // to may not.
  State_->Sessions_->Handler_ = nullptr;
  State_->Sessions_->Limits_.OnRefused_ = nullptr;
  State_->Sessions_->Closing_ = true;
}

bool HttpServer::listen() {
  if (!detail::openAcceptor(State_->Acceptor_, State_->Address_,
                            State_->Sessions_->Limits_.ReusePort_,
                            State_->Sessions_->Limits_.Buffers_,
                            State_->Sessions_->Limits_.Connections_))
    return false;
  State_->Port_ = State_->Acceptor_.local_endpoint().port();
  State_->accept();
  return true;
}

std::uint16_t HttpServer::port() const noexcept { return State_->Port_; }

void HttpServer::disableKeepAlive() { State_->Sessions_->Closing_ = true; }

void HttpServer::stopAccepting() {
  if (State_->Stopping_)
    return;
  State_->Stopping_ = true;
  State_->Sessions_->Closing_ = true;
  State_->AcceptRetryTimer_.cancel();
  State_->RoomTimer_.cancel();
  if (State_->Next_)
    State_->serveNext();
  if (State_->Acceptor_.is_open())
    State_->acceptPending();
  boost::system::error_code Ignored;
  State_->Acceptor_.close(Ignored);
}

std::size_t HttpServer::connectionCount() const noexcept {
  return State_->Sessions_->count();
}

} // namespace wigeonwall::connection
