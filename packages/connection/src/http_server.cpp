#include "wigeonwall/connection/http_server.h"

#include "acceptor.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cctype>
#include <optional>

namespace wigeonwall::connection {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(asio::io_context &Context, Endpoint Address, HttpLimits Limits,
        HttpHandler Handler)
      : Context_(Context), Address_(std::move(Address)), Limits_(Limits),
        Handler_(std::move(Handler)), Acceptor_(Context),
        AcceptRetryTimer_(Context) {}

  void accept();
  void serve(Tcp::socket Socket);
  void acceptPending();

  asio::io_context &Context_;
  Endpoint Address_;
  HttpLimits Limits_;
  HttpHandler Handler_;
  Tcp::acceptor Acceptor_;
  asio::steady_timer AcceptRetryTimer_;
  std::uint16_t Port_ = 0;
  std::size_t Connections_ = 0;
  bool Stopping_ = false;
  bool Closing_ = false;
};

namespace detail {

/// \brief Accepted connection. Reads a request, waits for the handler, writes
/// the response, and repeats.
template <typename ServerState>
class HttpSession
    : public std::enable_shared_from_this<HttpSession<ServerState>> {
public:
  HttpSession(Tcp::socket Socket, std::shared_ptr<ServerState> Server)
      : Stream_(std::move(Socket)), Server_(std::move(Server)) {
    ++Server_->Connections_;
  }
  ~HttpSession() { --Server_->Connections_; }
  HttpSession(const HttpSession &) = delete;
  HttpSession &operator=(const HttpSession &) = delete;

  void waitForRequest() {
    Parser_.emplace();
    Parser_->header_limit(Server_->Limits_.HeaderBytes_);
    Parser_->body_limit(Server_->Limits_.BodyBytes_);
    if (Buffer_.size() > 0)
      return readRequest();
    Stream_.expires_after(Server_->Limits_.IdleTimeout_);
    Stream_.async_read_some(
        Buffer_.prepare(ReadChunkBytes),
        [Self = this->shared_from_this()](auto Error, std::size_t Size) {
          if (Error)
            return Self->close();
          Self->Buffer_.commit(Size);
          Self->readRequest();
        });
  }

private:
  static constexpr std::size_t ReadChunkBytes = 4096;
  /// Time that a peer has to read the last response and close the connection.
  static constexpr std::chrono::milliseconds MaxLingerTime{1'000};

  void readRequest() {
    Stream_.expires_after(Server_->Limits_.ReadTimeout_);
    http::async_read(Stream_, Buffer_, *Parser_,
                     [Self = this->shared_from_this()](
                         auto Error, std::size_t) { Self->onRead(Error); });
  }

  void onRead(beast::error_code Error) {
    if (Error == http::error::body_limit)
      return reject(413, "request body too large");
    if (Error == http::error::header_limit)
      return reject(431, "request header too large");
    if (Error == beast::error::timeout)
      return close();
    if (Error &&
        Error.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        Error != http::error::end_of_stream &&
        Error != http::error::partial_message)
      return reject(400, "malformed HTTP request: " + Error.message());
    if (Error)
      return close();
    dispatch();
  }

  void dispatch() {
    auto Message = Parser_->release();
    KeepAlive_ = Message.keep_alive();
    Version_ = Message.version();
    HttpRequest Request;
    Request.Method_ = std::string(Message.method_string());
    Request.Target_ = std::string(Message.target());
    Request.Body_ = std::move(Message.body());
    for (const auto &Field : Message) {
      std::string Name(Field.name_string());
      std::transform(Name.begin(), Name.end(), Name.begin(),
                     [](unsigned char C) { return std::tolower(C); });
      Request.Headers_.emplace_back(std::move(Name),
                                    std::string(Field.value()));
    }
    if (!Server_->Handler_)
      return close();
    // No timeout: the response may take as long as the job runs.
    Stream_.expires_never();
    Request.NotifyOnClose_ = [Weak = this->weak_from_this()](auto OnClosed) {
      if (const auto Self = Weak.lock())
        Self->watchPeer(std::move(OnClosed));
    };
    Answered_ = false;
    try {
      Server_->Handler_(std::move(Request), [Self = this->shared_from_this()](
                                                HttpResponse Response) {
        // A handler that threw may have kept this callback.
        if (!Self->Answered_)
          Self->write(std::move(Response));
      });
    } catch (...) {
      if (!Answered_)
        reject(500, "internal error");
      throw;
    }
  }

  void watchPeer(std::function<void()> OnClosed) {
    if (peerClosed())
      return OnClosed();
    OnPeerClosed_ = std::move(OnClosed);
    Stream_.socket().async_wait(
        Tcp::socket::wait_read, [Self = this->shared_from_this()](auto Error) {
          if (!Error && Self->OnPeerClosed_ && Self->peerClosed())
            std::exchange(Self->OnPeerClosed_, nullptr)();
        });
  }

  /// Returns false if the peer has already sent its next request.
  [[nodiscard]] bool peerClosed() {
    char Byte = 0;
    beast::error_code Error;
    Stream_.socket().non_blocking(true, Error);
    const std::size_t Size = Stream_.socket().receive(
        asio::buffer(&Byte, 1), Tcp::socket::message_peek, Error);
    return Error != asio::error::would_block && Size == 0;
  }

  void reject(int Status, std::string Message) {
    KeepAlive_ = false;
    HttpResponse Response;
    Response.Status_ = Status;
    Response.ContentType_ = "text/plain";
    Response.Body_ = std::move(Message) + "\n";
    write(std::move(Response));
  }

  void write(HttpResponse Response) {
    Answered_ = true;
    OnPeerClosed_ = nullptr;
    Message_.emplace(static_cast<http::status>(Response.Status_), Version_);
    for (const auto &[Name, Value] : Response.Headers_)
      Message_->set(Name, Value);
    Message_->set(http::field::content_type, Response.ContentType_);
    Message_->body() = std::move(Response.Body_);
    KeepAlive_ = KeepAlive_ && !Server_->Stopping_ && !Server_->Closing_;
    Message_->keep_alive(KeepAlive_);
    Message_->prepare_payload();
    Stream_.expires_after(Server_->Limits_.ReadTimeout_);
    http::async_write(
        Stream_, *Message_,
        [Self = this->shared_from_this()](auto Error, std::size_t) {
          if (Error || !Self->KeepAlive_)
            return Self->close();
          Self->waitForRequest();
        });
  }

  /// Shuts down sending and discards input until the peer closes the
  /// connection. Closing a socket with unread input resets the connection, so
  /// that the peer may lose the response.
  void close() {
    beast::error_code Error;
    Stream_.socket().shutdown(Tcp::socket::shutdown_send, Error);
    if (Error)
      return;
    Stream_.expires_after(
        std::min(Server_->Limits_.ReadTimeout_, MaxLingerTime));
    discard();
  }

  void discard() {
    Buffer_.clear();
    Stream_.async_read_some(
        Buffer_.prepare(ReadChunkBytes),
        [Self = this->shared_from_this()](auto Error, std::size_t) {
          if (!Error)
            Self->discard();
        });
  }

  beast::tcp_stream Stream_;
  std::shared_ptr<ServerState> Server_;
  beast::flat_buffer Buffer_;
  std::optional<http::request_parser<http::string_body>> Parser_;
  std::optional<http::response<http::string_body>> Message_;
  std::function<void()> OnPeerClosed_;
  unsigned Version_ = 11;
  bool KeepAlive_ = false;
  bool Answered_ = false;
};

} // namespace detail

void HttpServer::State::accept() {
  Acceptor_.async_accept(
      [Self = shared_from_this()](auto Error, Tcp::socket Socket) {
        // A connection accepted just before stopAccepting() is still served.
        if (!Error)
          Self->serve(std::move(Socket));
        if (Error == asio::error::operation_aborted || Self->Stopping_)
          return;
        if (!Error)
          return Self->accept();
        // Without free file descriptors each accept fails immediately.
        Self->AcceptRetryTimer_.expires_after(detail::AcceptRetryDelay);
        Self->AcceptRetryTimer_.async_wait([Self](auto Cancelled) {
          if (!Cancelled)
            Self->accept();
        });
      });
}

void HttpServer::State::serve(Tcp::socket Socket) {
  if (Connections_ >= Limits_.Connections_)
    return;
  boost::system::error_code Ignored;
  Socket.set_option(Tcp::no_delay(true), Ignored);
  std::make_shared<detail::HttpSession<State>>(std::move(Socket),
                                               shared_from_this())
      ->waitForRequest();
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
      serve(std::move(Socket));
  }
}

HttpServer::HttpServer(asio::io_context &Context, Endpoint Address,
                       HttpLimits Limits, HttpHandler Handler)
    : State_(std::make_shared<State>(Context, std::move(Address), Limits,
                                     std::move(Handler))) {}

HttpServer::~HttpServer() {
  State_->Stopping_ = true;
  State_->AcceptRetryTimer_.cancel();
  boost::system::error_code Ignored;
  State_->Acceptor_.close(Ignored);
  // Open sessions outlive this object, but the objects that the handler refers
  // to may not.
  State_->Handler_ = nullptr;
}

bool HttpServer::listen() {
  if (!detail::openAcceptor(State_->Acceptor_, State_->Address_,
                            State_->Limits_.ReusePort_))
    return false;
  State_->Port_ = State_->Acceptor_.local_endpoint().port();
  State_->accept();
  return true;
}

std::uint16_t HttpServer::port() const noexcept { return State_->Port_; }

void HttpServer::disableKeepAlive() { State_->Closing_ = true; }

void HttpServer::stopAccepting() {
  if (State_->Stopping_)
    return;
  State_->Stopping_ = true;
  State_->AcceptRetryTimer_.cancel();
  if (State_->Acceptor_.is_open())
    State_->acceptPending();
  boost::system::error_code Ignored;
  State_->Acceptor_.close(Ignored);
}

std::size_t HttpServer::connectionCount() const noexcept {
  return State_->Connections_;
}

} // namespace wigeonwall::connection
