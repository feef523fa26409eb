#include "wigeonwall/connection/http_client.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <map>
#include <optional>

namespace wigeonwall::connection {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

namespace detail {

/// \brief A request that is queued for or uses a connection.
struct PendingRequest {
  http::request<http::string_body> Message_;
  std::chrono::steady_clock::time_point Deadline_;
  HttpCallback Done_;
};

/// \brief Pooled connection; runs at most one request at a time.
///
/// While idle, it waits for the socket to become readable, so that a close by
/// the peer is detected before the next request is written.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  using ReleaseCallback =
      std::function<void(std::shared_ptr<ClientConnection>, bool)>;
  /// Called when a connection closes while idle.
  using IdleCloseCallback = std::function<void(const ClientConnection *)>;

  ClientConnection(asio::io_context &Context, const HttpClientLimits &Limits,
                   ReleaseCallback OnRelease, IdleCloseCallback OnIdleClosed)
      : Stream_(Context), IdleTimer_(Context),
        MaxResponseBytes_(Limits.ResponseBytes_),
        MaxHeaderBytes_(Limits.HeaderBytes_), OnRelease_(std::move(OnRelease)),
        OnIdleClosed_(std::move(OnIdleClosed)), Buffer_(MaxHeaderBytes_) {}

  void connectAndRun(const Tcp::endpoint &Peer,
                     std::chrono::milliseconds ConnectTimeout,
                     PendingRequest Request) {
    Request_.emplace(std::move(Request));
    Stream_.expires_at(
        std::min(Request_->Deadline_,
                 std::chrono::steady_clock::now() + ConnectTimeout));
    Stream_.async_connect(Peer, [Self = shared_from_this()](auto Error) {
      if (Error)
        return Self->fail(TransportError::NotSent, Error.message(),
                          Error == asio::error::connection_refused);
      boost::system::error_code Ignored;
      Self->Stream_.socket().set_option(Tcp::no_delay(true), Ignored);
      Self->write();
    });
  }

  /// \brief Runs a request on an idle connection.
  void run(PendingRequest Request) {
    Request_.emplace(std::move(Request));
    write();
  }

  /// \brief Closes the connection when the peer closes it or after
  /// \p IdleTimeout.
  void startIdleWatch(std::chrono::milliseconds IdleTimeout) {
    ++IdleGeneration_;
    const auto CloseIfIdle = [Weak = weak_from_this(),
                              Generation = IdleGeneration_](auto) {
      auto Self = Weak.lock();
      if (!Self || Self->Request_ || Self->IdleGeneration_ != Generation)
        return;
      Self->close();
      Self->OnIdleClosed_(Self.get());
    };
    // An idle connection becomes readable when the peer closes it.
    Stream_.socket().async_wait(Tcp::socket::wait_read, CloseIfIdle);
    // The timeout of the stream does not apply to the wait on its socket.
    IdleTimer_.expires_after(IdleTimeout);
    IdleTimer_.async_wait(CloseIfIdle);
    IdleUntil_ = std::chrono::steady_clock::now() + IdleTimeout;
  }

  /// \brief True while the peer has neither closed the connection nor sent
  /// data.
  [[nodiscard]] bool isUsable() {
    if (!Open_ || std::chrono::steady_clock::now() >= IdleUntil_)
      return false;
    boost::system::error_code Error;
    char Byte = 0;
    Stream_.socket().non_blocking(true, Error);
    Stream_.socket().receive(asio::buffer(&Byte, 1), Tcp::socket::message_peek,
                             Error);
    return Error == asio::error::would_block;
  }

  void close() {
    Open_ = false;
    ++IdleGeneration_;
    IdleTimer_.cancel();
    boost::system::error_code Ignored;
    Stream_.socket().close(Ignored);
  }

private:
  static constexpr std::size_t KeptBufferBytes = 4 * 1024;

  void write() {
    ++IdleGeneration_;
    IdleTimer_.cancel();
    Stream_.expires_at(Request_->Deadline_);
    http::async_write(
        Stream_, Request_->Message_,
        [Self = shared_from_this()](auto Error, std::size_t Size) {
          if (Error)
            return Self->fail(Size == 0 ? TransportError::NotSent
                                        : TransportError::Ambiguous,
                              Error.message());
          Self->read();
        });
  }

  void read() {
    Parser_.emplace();
    Parser_->body_limit(MaxResponseBytes_);
    Parser_->eager(true);
    HeaderBytes_ = 0;
    readSome();
  }

  /// The parser limits neither all header fields together nor trailers and
  /// chunk extensions. The latter are parsed only when they are complete, so
  /// that the size of the buffer limits them.
  void readSome() {
    http::async_read_some(
        Stream_, Buffer_, *Parser_,
        [Self = shared_from_this()](auto Error, std::size_t Size) {
          if (Error)
            return Self->fail(TransportError::Ambiguous, Error.message());
          if (Self->Parser_->is_done())
            return Self->succeed();
          if (!Self->Parser_->is_header_done())
            Self->HeaderBytes_ += Size;
          if (Self->HeaderBytes_ > Self->MaxHeaderBytes_)
            return Self->fail(TransportError::Ambiguous,
                              "response header too large");
          Self->readSome();
        });
  }

  void succeed() {
    // Extra bytes after the response would be parsed as the next response.
    const bool Reusable = Parser_->get().keep_alive() && Buffer_.size() == 0;
    auto Message = Parser_->release();
    HttpResult Result;
    Result.Response_.Status_ = static_cast<int>(Message.result_int());
    for (const auto &Field : Message)
      Result.Response_.Headers_.emplace_back(
          beast::string_view(Field.name_string()), Field.value());
    for (auto &[Name, Value] : Result.Response_.Headers_)
      for (char &Character : Name)
        Character = static_cast<char>(
            std::tolower(static_cast<unsigned char>(Character)));
    Result.Response_.Body_ = std::move(Message.body());
    complete(std::move(Result), Reusable);
  }

  void fail(TransportError Error, std::string Detail, bool Refused = false) {
    HttpResult Result;
    Result.Error_ = Error;
    Result.Refused_ = Refused;
    Result.Detail_ = std::move(Detail);
    complete(std::move(Result), false);
  }

  void complete(HttpResult Result, bool Reusable) {
    HttpCallback Done = std::move(Request_->Done_);
    Request_.reset();
    // An idle connection keeps no memory of a large response.
    Parser_.reset();
    if (Buffer_.capacity() > KeptBufferBytes)
      Buffer_ = beast::flat_buffer(MaxHeaderBytes_);
    if (!Reusable)
      close();
    // The pool may start the next request on the connection before Done runs.
    OnRelease_(shared_from_this(), Reusable);
    Done(std::move(Result));
  }

  beast::tcp_stream Stream_;
  asio::steady_timer IdleTimer_;
  std::uint64_t MaxResponseBytes_;
  std::size_t MaxHeaderBytes_;
  ReleaseCallback OnRelease_;
  IdleCloseCallback OnIdleClosed_;
  beast::flat_buffer Buffer_;
  std::size_t HeaderBytes_ = 0;
  std::optional<PendingRequest> Request_;
  std::optional<http::response_parser<http::string_body>> Parser_;
  std::chrono::steady_clock::time_point IdleUntil_;
  std::uint64_t IdleGeneration_ = 0;
  bool Open_ = true;
};

/// \brief Connections and queued requests of one peer.
struct PeerPool {
  std::vector<std::shared_ptr<ClientConnection>> Idle_;
  std::deque<PendingRequest> Queued_;
  std::size_t Busy_ = 0;
};

} // namespace detail

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State> {
  State(asio::io_context &Context, HttpClientLimits Limits)
      : Context_(Context), Limits_(Limits) {}

  void submit(const Endpoint &Peer, detail::PendingRequest Request) {
    detail::PeerPool &Pool = Pools_[Peer];
    const auto Deadline = Request.Deadline_;
    Pool.Queued_.push_back(std::move(Request));
    startQueued(Peer, Pool);
    if (!Pool.Queued_.empty())
      scheduleExpiry(Peer, Deadline);
  }

  /// Fails requests that are still queued at their deadline.
  void scheduleExpiry(const Endpoint &Peer,
                      std::chrono::steady_clock::time_point Deadline) {
    auto Timer = std::make_shared<asio::steady_timer>(Context_, Deadline);
    Timer->async_wait([Timer, Peer, Weak = weak_from_this()](auto) {
      const auto Self = Weak.lock();
      if (!Self)
        return;
      const auto Found = Self->Pools_.find(Peer);
      if (Found != Self->Pools_.end())
        Self->expireQueued(Found->second);
    });
  }

  void expireQueued(detail::PeerPool &Pool) {
    const auto Now = std::chrono::steady_clock::now();
    std::deque<detail::PendingRequest> Remaining;
    for (detail::PendingRequest &Each : Pool.Queued_) {
      if (Each.Deadline_ <= Now)
        expire(std::move(Each));
      else
        Remaining.push_back(std::move(Each));
    }
    Pool.Queued_ = std::move(Remaining);
  }

  void startQueued(const Endpoint &Peer, detail::PeerPool &Pool) {
    while (!Pool.Queued_.empty() && Pool.Busy_ < Limits_.ConnectionsPerPeer_) {
      detail::PendingRequest Request = std::move(Pool.Queued_.front());
      Pool.Queued_.pop_front();
      if (std::chrono::steady_clock::now() >= Request.Deadline_) {
        expire(std::move(Request));
        continue;
      }
      ++Pool.Busy_;
      start(Peer, Pool, std::move(Request));
    }
  }

  void start(const Endpoint &Peer, detail::PeerPool &Pool,
             detail::PendingRequest Request) {
    while (!Pool.Idle_.empty()) {
      auto Connection = std::move(Pool.Idle_.back());
      Pool.Idle_.pop_back();
      if (Connection->isUsable())
        return Connection->run(std::move(Request));
      Connection->close();
    }
    auto Connection = std::make_shared<detail::ClientConnection>(
        Context_, Limits_,
        [Weak = weak_from_this(), Peer](auto Self, bool Reusable) {
          if (auto Owner = Weak.lock())
            Owner->release(Peer, std::move(Self), Reusable);
        },
        [Weak = weak_from_this(), Peer](const auto *Self) {
          if (auto Owner = Weak.lock())
            Owner->removeIdle(Peer, Self);
        });
    boost::system::error_code Error;
    const auto Address = asio::ip::make_address(Peer.Host_, Error);
    // With an invalid address, port 0 makes the connect fail; otherwise it
    // would connect to 0.0.0.0.
    const std::uint16_t Port = Error ? 0 : Peer.Port_;
    Connection->connectAndRun({Address, Port}, Limits_.ConnectTimeout_,
                              std::move(Request));
  }

  void removeIdle(const Endpoint &Peer,
                  const detail::ClientConnection *Connection) {
    const auto Found = Pools_.find(Peer);
    if (Found == Pools_.end())
      return;
    auto &Idle = Found->second.Idle_;
    std::erase_if(Idle, [Connection](const auto &Each) {
      return Each.get() == Connection;
    });
    // Erases unused pools, since the set of peers changes over time.
    if (Idle.empty() && Found->second.Busy_ == 0 &&
        Found->second.Queued_.empty())
      Pools_.erase(Found);
  }

  void release(const Endpoint &Peer,
               std::shared_ptr<detail::ClientConnection> Connection,
               bool Reusable) {
    detail::PeerPool &Pool = Pools_[Peer];
    --Pool.Busy_;
    if (Reusable) {
      Connection->startIdleWatch(Limits_.IdleTimeout_);
      Pool.Idle_.push_back(std::move(Connection));
    }
    startQueued(Peer, Pool);
  }

  void expire(detail::PendingRequest Request) {
    asio::post(Context_, [Done = std::move(Request.Done_)] {
      HttpResult Result;
      Result.Error_ = TransportError::NotSent;
      Result.Detail_ = "timed out while waiting for a connection";
      Done(std::move(Result));
    });
  }

  asio::io_context &Context_;
  HttpClientLimits Limits_;
  std::map<Endpoint, detail::PeerPool> Pools_;
};

HttpClient::HttpClient(asio::io_context &Context, HttpClientLimits Limits)
    : State_(std::make_shared<State>(Context, Limits)) {}

HttpClient::~HttpClient() = default;

void HttpClient::send(const Endpoint &Peer, HttpRequest Request,
                      std::chrono::milliseconds Timeout, HttpCallback Done) {
  detail::PendingRequest Pending;
  auto &Message = Pending.Message_;
  Message.method_string(Request.Method_);
  Message.target(Request.Target_);
  Message.version(11);
  Message.set(http::field::host, formatEndpoint(Peer));
  for (const auto &[Name, Value] : Request.Headers_)
    Message.set(Name, Value);
  Message.body() = std::move(Request.Body_);
  Message.prepare_payload();
  Pending.Deadline_ = std::chrono::steady_clock::now() + Timeout;
  Pending.Done_ = std::move(Done);
  State_->submit(Peer, std::move(Pending));
}

void HttpClient::closeIdleConnections(const Endpoint &Peer) {
  const auto Found = State_->Pools_.find(Peer);
  if (Found == State_->Pools_.end())
    return;
  for (const auto &Connection : Found->second.Idle_)
    Connection->close();
  Found->second.Idle_.clear();
}

std::size_t HttpClient::idleCount(const Endpoint &Peer) const {
  const auto Found = State_->Pools_.find(Peer);
  return Found == State_->Pools_.end() ? 0 : Found->second.Idle_.size();
}

} // namespace wigeonwall::connection
