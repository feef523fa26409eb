#include "http_session.h"

#include <algorithm>
#include <cctype>
#include <poll.h>

namespace wigeonwall::connection::detail {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

namespace {

/// Largest read of a request whose length is not known. What follows the
/// request in the read is kept while the request is handled.
constexpr std::size_t ReadBytes = 4 * 1024;
/// Largest read of a body of known length.
constexpr std::size_t BodyReadBytes = 16 * 1024;
/// Larger responses count as input of the connection until they are sent.
constexpr std::size_t FreeResponseBytes = 4 * 1024;
/// Time that a peer has to read the last response and close the connection.
constexpr std::chrono::milliseconds MaxLingerTime{1'000};
/// Interval between checks for the end of a connection with unread input, on
/// which a wait for input ends at once.
constexpr std::chrono::milliseconds PeerCheckPeriod{50};

constexpr int StatusMalformed = 400;
constexpr int StatusTooLarge = 413;
constexpr int StatusHeaderTooLarge = 431;
constexpr int StatusUnavailable = 503;

/// Ended and refused input frees the memory within about a request's time.
constexpr const char *RetryAfterSeconds = "1";

constexpr std::string_view TimeoutResponse =
    "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
    "Content-Length: 0\r\n\r\n";

/// Shared by all connections of the thread.
std::array<char, BodyReadBytes> &readBuffer() {
  thread_local std::array<char, BodyReadBytes> Buffer;
  return Buffer;
}

HttpMeterLimits meterLimits(const HttpLimits &Limits) {
  HttpMeterLimits Result;
  Result.HeaderBytes_ = Limits.HeaderBytes_;
  return Result;
}

} // namespace

std::size_t HttpSessions::count() const noexcept {
  std::size_t Result = 0;
  for (const List &Each : Lists_)
    Result += Each.size();
  return Result - Lists_[static_cast<std::size_t>(SessionPhase::Closed)].size();
}

Room HttpSessions::closeLongestUnused(InputRefusal Why,
                                      std::chrono::milliseconds MinTime) {
  for (const SessionPhase Phase :
       {SessionPhase::Lingering, SessionPhase::Idle, SessionPhase::Reading}) {
    if (list(Phase).empty())
      continue;
    HttpSession &Longest = *list(Phase).front();
    if (Phase != SessionPhase::Lingering && Longest.unusedTime() < MinTime)
      return Room::Later;
    countRefusal(Why);
    Longest.abort();
    return Room::Made;
  }
  return Room::None;
}

HttpSession::HttpSession(Tcp::socket Socket,
                         std::shared_ptr<HttpSessions> Server)
    : Socket_(std::move(Socket)), Server_(std::move(Server)),
      Position_(Server_->add(*this)), Timer_(Socket_.get_executor()),
      Reader_(meterLimits(Server_->Limits_), Server_->Limits_.BodyBytes_),
      Account_(Server_->Limits_.Budget_) {
  beast::error_code Ignored;
  Socket_.non_blocking(true, Ignored);
}

HttpSession::~HttpSession() { Server_->remove(Position_, Phase_); }

void HttpSession::setPhase(SessionPhase Next) {
  Server_->move(Position_, Phase_, Next);
  Phase_ = Next;
}

std::chrono::steady_clock::duration HttpSession::unusedTime() const {
  // Both phases begin with a deadline.
  const HttpLimits &Limits = Server_->Limits_;
  return Clock::now() - Deadline_ +
         (Phase_ == SessionPhase::Idle ? Limits.IdleTimeout_
                                       : Limits.ReadTimeout_);
}

void HttpSession::setDeadline(std::chrono::milliseconds After) {
  Deadline_ = Clock::now() + After;
  // A wait that ends earlier is repeated when it ends.
  if (Deadline_ < TimerEnd_)
    armTimer();
}

void HttpSession::armTimer() {
  TimerEnd_ = Deadline_;
  Timer_.expires_at(Deadline_);
  Timer_.async_wait([Weak = weak_from_this()](auto Cancelled) {
    const auto Self = Weak.lock();
    if (!Cancelled && Self)
      Self->onTimer();
  });
}

void HttpSession::onTimer() {
  TimerEnd_ = Clock::time_point::max();
  if (Deadline_ == Clock::time_point::max())
    return;
  if (Clock::now() < Deadline_)
    return armTimer();
  if (Phase_ == SessionPhase::Handling)
    return checkPeer();
  if (Phase_ == SessionPhase::Reading)
    Server_->countRefusal(InputRefusal::Slow);
  if (Phase_ == SessionPhase::Idle || Phase_ == SessionPhase::Reading)
    return close();
  abort();
}

void HttpSession::abort() {
  beast::error_code Ignored;
  if (Phase_ == SessionPhase::Reading)
    Socket_.send(asio::buffer(TimeoutResponse.data(), TimeoutResponse.size()),
                 MSG_NOSIGNAL, Ignored);
  releaseInput();
  OnPeerClosed_ = nullptr;
  setPhase(SessionPhase::Closed);
  Timer_.cancel();
  Socket_.close(Ignored);
}

void HttpSession::releaseInput() {
  Reader_.clear();
  Account_.release();
}

void HttpSession::waitForRequest() {
  Account_.release();
  Body_.reset();
  if (Reader_.hasInput()) {
    beginRequest();
    return consume(std::string_view());
  }
  Message_.reset();
  if (Phase_ != SessionPhase::Idle)
    setPhase(SessionPhase::Idle);
  setDeadline(Server_->Limits_.IdleTimeout_);
  waitReadable();
}

void HttpSession::waitReadable() {
  Socket_.async_wait(
      Tcp::socket::wait_read,
      [Self = shared_from_this()](auto Error) { Self->onReadable(Error); });
}

std::size_t HttpSession::readSize() const {
  const auto Remaining = Reader_.remainingBody();
  if (!Remaining)
    return ReadBytes;
  return static_cast<std::size_t>(
      std::clamp<std::uint64_t>(*Remaining, 1, BodyReadBytes));
}

void HttpSession::onReadable(beast::error_code Error) {
  // The session may have been closed or rejected during the wait.
  if (Phase_ != SessionPhase::Idle && Phase_ != SessionPhase::Reading)
    return;
  std::size_t Size = 0;
  if (!Error)
    Size =
        Socket_.read_some(asio::buffer(readBuffer().data(), readSize()), Error);
  if (Error == asio::error::would_block)
    return waitReadable();
  if (Error)
    return close();
  if (Phase_ == SessionPhase::Idle)
    beginRequest();
  consume({readBuffer().data(), Size});
}

void HttpSession::beginRequest() {
  setPhase(SessionPhase::Reading);
  setDeadline(Server_->Limits_.ReadTimeout_);
  Reader_.begin();
}

void HttpSession::consume(std::string_view Data) {
  switch (Reader_.feed(Data)) {
  case ReadStatus::Done:
    return dispatch();
  case ReadStatus::Refused:
    return refuse(Reader_.refusal());
  case ReadStatus::Malformed:
    return reject(StatusMalformed,
                  "malformed HTTP request: " + Reader_.fault());
  case ReadStatus::NeedsMore:
    break;
  }
  if (Account_.hold(Reader_.heldBytes(), [Weak = weak_from_this()] {
        if (const auto Self = Weak.lock())
          Self->evict();
      }))
    waitReadable();
}

void HttpSession::evict() {
  Server_->countRefusal(InputRefusal::Budget);
  reject(StatusUnavailable, "too many unfinished requests",
         {{"Retry-After", RetryAfterSeconds}});
}

void HttpSession::refuse(InputRefusal Why) {
  Server_->countRefusal(Why);
  if (Why == InputRefusal::Body)
    return reject(StatusTooLarge, "request body too large");
  reject(StatusHeaderTooLarge, Why == InputRefusal::Header
                                   ? "request header too large"
                                   : "request trailers too large");
}

void HttpSession::dispatch() {
  auto Message = Reader_.release();
  Account_.release();
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
    Request.Headers_.emplace_back(std::move(Name), std::string(Field.value()));
  }
  if (!Server_->Handler_)
    return close();
  const std::size_t MaxWaiting = Server_->Limits_.Waiting_;
  if (MaxWaiting != 0 && Server_->handledCount() >= MaxWaiting) {
    Server_->countRefusal(InputRefusal::Waiting);
    return write({StatusUnavailable,
                  {{"Retry-After", RetryAfterSeconds}},
                  "too many requests wait\n",
                  "text/plain"});
  }
  // No timeout: the response may take as long as the job runs.
  Deadline_ = Clock::time_point::max();
  setPhase(SessionPhase::Handling);
  Request.NotifyOnClose_ = [Weak = weak_from_this()](auto OnClosed) {
    if (const auto Self = Weak.lock())
      Self->watchPeer(std::move(OnClosed));
  };
  Answered_ = false;
  try {
    Server_->Handler_(std::move(Request),
                      [Self = shared_from_this()](HttpResponse Response) {
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

void HttpSession::watchPeer(std::function<void()> OnClosed) {
  if (peerClosed())
    return OnClosed();
  OnPeerClosed_ = std::move(OnClosed);
  Socket_.async_wait(Tcp::socket::wait_read,
                     [Self = shared_from_this()](auto Error) {
                       if (!Error)
                         Self->checkPeer();
                     });
}

void HttpSession::checkPeer() {
  // The wait may end after the response, and must not change the next deadline.
  if (!OnPeerClosed_)
    return;
  Deadline_ = Clock::time_point::max();
  if (peerClosed())
    return std::exchange(OnPeerClosed_, nullptr)();
  setDeadline(PeerCheckPeriod);
}

bool HttpSession::peerClosed() {
  // Also set while input before the end of the connection is unread.
  pollfd State{Socket_.native_handle(), POLLRDHUP, 0};
  return !Socket_.is_open() || ::poll(&State, 1, 0) > 0;
}

void HttpSession::reject(int Status, std::string Message,
                         std::vector<HttpHeader> Headers) {
  releaseInput();
  KeepAlive_ = false;
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_ = std::move(Headers);
  Response.ContentType_ = "text/plain";
  Response.Body_ = std::move(Message) + "\n";
  write(std::move(Response));
}

void HttpSession::write(HttpResponse Response) {
  Answered_ = true;
  OnPeerClosed_ = nullptr;
  setPhase(SessionPhase::Writing);
  Message_.emplace(static_cast<http::status>(Response.Status_), Version_);
  for (const auto &[Name, Value] : Response.Headers_)
    Message_->set(Name, Value);
  Message_->set(http::field::content_type, Response.ContentType_);
  if (!holdResponse(Response))
    return;
  Body_ = Response.SharedBody_
              ? std::move(Response.SharedBody_)
              : std::make_shared<const std::string>(std::move(Response.Body_));
  Message_->body() = {Body_->data(), Body_->size()};
  KeepAlive_ = KeepAlive_ && !Server_->Closing_;
  Message_->keep_alive(KeepAlive_);
  Message_->prepare_payload();
  setDeadline(Server_->Limits_.ReadTimeout_);
  http::async_write(Socket_, *Message_,
                    [Self = shared_from_this()](auto Error, std::size_t) {
                      if (Error || !Self->KeepAlive_)
                        return Self->close();
                      Self->waitForRequest();
                    });
}

bool HttpSession::holdResponse(const HttpResponse &Response) {
  if (Response.SharedBody_ || Response.Body_.size() <= FreeResponseBytes)
    return true;
  return Account_.hold(Response.Body_.size(), [Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    Self->Server_->countRefusal(InputRefusal::Unread);
    Self->abort();
  });
}

/// Shuts down sending and discards input until the peer closes the connection.
/// Closing a socket with unread input resets the connection, so that the peer
/// may lose the response.
void HttpSession::close() {
  if (Phase_ == SessionPhase::Closed)
    return;
  releaseInput();
  Message_.reset();
  Body_.reset();
  beast::error_code Error;
  Socket_.shutdown(Tcp::socket::shutdown_send, Error);
  if (Error)
    return abort();
  setPhase(SessionPhase::Lingering);
  setDeadline(std::min(Server_->Limits_.ReadTimeout_, MaxLingerTime));
  discard();
}

void HttpSession::discard() {
  Socket_.async_wait(
      Tcp::socket::wait_read, [Self = shared_from_this()](auto Error) {
        if (Self->Phase_ != SessionPhase::Lingering)
          return;
        if (!Error)
          Self->Socket_.read_some(asio::buffer(readBuffer()), Error);
        if (Error && Error != asio::error::would_block)
          return Self->abort();
        Self->discard();
      });
}

} // namespace wigeonwall::connection::detail
