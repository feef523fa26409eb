#include "wigeonwall/connection/peer_connection.h"

#include "acceptor.h"

#include <netinet/tcp.h>

#include <array>

namespace wigeonwall::connection {

using Tcp = asio::ip::tcp;

namespace {

/// A connection with more unsent bytes is closed, since the peer does not read.
constexpr std::size_t MaxOutgoingBytes = 16 * 1024 * 1024;
/// A peer that reads its messages has less unsent output than this.
constexpr std::size_t FreeOutgoingBytes = 64 * 1024;
constexpr std::size_t ReadChunkBytes = 16 * 1024;
/// Buffers without content that are larger than this are released.
constexpr std::size_t KeptBufferBytes = 16 * 1024;
/// The kernel closes a connection with data unacknowledged for this time;
/// session heartbeats detect an unresponsive peer earlier.
constexpr int UserTimeoutMs = 2'000;

/// At the limit of connections, the time that each has for its first message
/// before it is closed for a new one, and the period at which this is checked.
constexpr std::chrono::milliseconds MinSilentTime{50};
constexpr std::chrono::milliseconds RoomCheckPeriod{5};

void setSocketOptions(Tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(Tcp::no_delay(true), Ignored);
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  Socket.set_option(UserTimeout(UserTimeoutMs), Ignored);
}

} // namespace

void PeerConnection::connect(const Endpoint &Peer, Callbacks Handlers) {
  Callbacks_ = std::move(Handlers);
  Open_ = true;
  boost::system::error_code Error;
  const auto Address = asio::ip::make_address(Peer.Host_, Error);
  const Tcp::endpoint Remote(Address, Error ? 0 : Peer.Port_);
  Socket_.async_connect(Remote, [Self = shared_from_this()](auto Failure) {
    if (!Self->Open_)
      return;
    if (Failure)
      return Self->fail("cannot connect: " + Failure.message());
    Self->startReading();
    if (Self->Callbacks_.OnConnected_)
      Self->Callbacks_.OnConnected_();
  });
}

void PeerConnection::start(Callbacks Handlers) {
  Callbacks_ = std::move(Handlers);
  Open_ = true;
  FirstMessageDue_ = true;
  setReadDeadline(true);
  startReading();
}

void PeerConnection::startReading() {
  setSocketOptions(Socket_);
  boost::system::error_code Error;
  Socket_.non_blocking(true, Error);
  if (Error)
    return fail("cannot read: " + Error.message());
  waitReadable();
}

void PeerConnection::waitReadable() {
  Socket_.async_wait(Tcp::socket::wait_read,
                     [Self = shared_from_this()](auto Error) {
                       if (!Self->Open_)
                         return;
                       if (Error)
                         return Self->fail(Error.message());
                       Self->readAvailable();
                     });
}

void PeerConnection::readAvailable() {
  // Shared by all connections of the thread. An outstanding read would need a
  // buffer per connection.
  thread_local std::array<char, ReadChunkBytes> Chunk;
  boost::system::error_code Error;
  const std::size_t Size = Socket_.read_some(asio::buffer(Chunk), Error);
  if (Error && Error != asio::error::would_block)
    return fail(Error.message());
  Input_.append(Chunk.data(), Size);
  handleFrames();
}

void PeerConnection::handleFrames() {
  std::string_view Remaining = Input_;
  bool Completed = false;
  while (Open_ && Remaining.size() >= FrameHeaderBytes) {
    const std::size_t Length = readFrameLength(Remaining);
    if (Length >
        (FirstMessageDue_ ? Limits_.FirstMessageBytes_ : Limits_.MessageBytes_))
      return refuse(InputRefusal::Message, "message too long");
    if (Remaining.size() - FrameHeaderBytes < Length)
      break;
    auto Message = parsePeerMessage(Remaining.substr(FrameHeaderBytes, Length));
    if (!Message)
      return fail("malformed message");
    FirstMessageDue_ = false;
    Identified_ = true;
    Completed = true;
    try {
      Callbacks_.OnMessage_(std::move(*Message));
    } catch (const std::exception &Error) {
      return fail(std::string("cannot handle a message: ") + Error.what());
    }
    Remaining.remove_prefix(FrameHeaderBytes + Length);
  }
  if (!Open_)
    return;
  Input_.erase(0, Input_.size() - Remaining.size());
  if (Input_.empty() && Input_.capacity() > KeptBufferBytes)
    Input_ = std::string();
  if (Completed)
    setReadDeadline(false);
  setReadDeadline(FirstMessageDue_ || !Input_.empty());
  if (holdInput())
    waitReadable();
}

bool PeerConnection::holdInput() {
  if (Input_.empty()) {
    Account_.release();
    return true;
  }
  return Account_.hold(Input_.capacity(), [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->refuse(InputRefusal::Budget, "too many unfinished messages");
  });
}

void PeerConnection::setReadDeadline(bool Unfinished) {
  if (Unfinished == ReadTimerRuns_)
    return;
  ReadTimerRuns_ = Unfinished;
  if (!Unfinished) {
    ReadTimer_.cancel();
    return;
  }
  ReadTimer_.expires_after(Limits_.ReadTimeout_);
  ReadTimer_.async_wait([Weak = weak_from_this()](auto Cancelled) {
    const auto Self = Weak.lock();
    if (!Cancelled && Self && Self->ReadTimerRuns_)
      Self->refuse(InputRefusal::Slow, "no complete message in time");
  });
}

void PeerConnection::refuse(InputRefusal Why, const std::string &Reason) {
  if (!Open_)
    return;
  if (Limits_.OnRefused_)
    Limits_.OnRefused_(Why);
  fail(Reason);
}

void PeerConnection::send(const std::string &Frame) {
  if (!Open_)
    return;
  if (Outgoing_.size() > MaxOutgoingBytes)
    return fail("too many unsent bytes: the peer does not read");
  Outgoing_ += Frame;
  if (!holdOutput() || FlushPosted_ || !Writing_.empty())
    return;
  FlushPosted_ = true;
  asio::post(Socket_.get_executor(), [Self = shared_from_this()] {
    Self->FlushPosted_ = false;
    Self->flush();
  });
}

bool PeerConnection::holdOutput() {
  const std::size_t Bytes = Outgoing_.capacity() + Writing_.capacity();
  if (Bytes <= FreeOutgoingBytes) {
    Unsent_.release();
    return true;
  }
  return Unsent_.hold(Bytes, [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->refuse(InputRefusal::Unread, "too many unsent bytes in sum");
  });
}

void PeerConnection::flush() {
  if (!Open_ || !Writing_.empty() || Outgoing_.empty())
    return;
  Writing_.swap(Outgoing_);
  asio::async_write(Socket_, asio::buffer(Writing_),
                    [Self = shared_from_this()](auto Error, std::size_t) {
                      Self->Writing_.clear();
                      if (Self->Writing_.capacity() > KeptBufferBytes)
                        Self->Writing_ = std::string();
                      if (!Self->Open_)
                        return;
                      if (Error)
                        return Self->fail(Error.message());
                      if (Self->holdOutput())
                        Self->flush();
                    });
}

void PeerConnection::fail(const std::string &Reason) {
  if (!Open_)
    return;
  const auto OnClosed = Callbacks_.OnClosed_;
  close();
  if (OnClosed)
    asio::post(Socket_.get_executor(),
               [OnClosed, Reason] { OnClosed(Reason); });
}

void PeerConnection::close() {
  Open_ = false;
  Account_.release();
  Unsent_.release();
  Outgoing_ = std::string();
  ReadTimerRuns_ = false;
  ReadTimer_.cancel();
  boost::system::error_code Ignored;
  Socket_.close(Ignored);
  // The callbacks may own the connection through their captures.
  asio::post(Socket_.get_executor(),
             [Self = shared_from_this()] { Self->Callbacks_ = {}; });
}

PeerListener::PeerListener(
    asio::io_context &Context, Endpoint Address,
    std::function<void(std::shared_ptr<PeerConnection>)> OnAccept,
    PeerLimits Limits, std::function<bool()> CloseUnused)
    : Address_(std::move(Address)), Acceptor_(Context), RetryTimer_(Context),
      OnAccept_(std::move(OnAccept)), Limits_(std::move(Limits)),
      CloseUnused_(std::move(CloseUnused)) {}

bool PeerListener::listen() {
  if (!detail::openAcceptor(Acceptor_, Address_, false, Limits_.Buffers_,
                            Limits_.Connections_))
    return false;
  accept();
  return true;
}

void PeerListener::accept() {
  Acceptor_.async_accept([this](auto Error, Tcp::socket Socket) {
    if (Error == asio::error::operation_aborted)
      return;
    if (!Error) {
      Next_ = std::move(Socket);
      return serveNext();
    }
    if (Error == asio::error::no_descriptors)
      if (const auto Oldest = oldestUnidentified())
        Oldest->refuse(InputRefusal::Descriptors, "no free descriptor");
    RetryTimer_.expires_after(detail::AcceptRetryDelay);
    RetryTimer_.async_wait([this](auto Cancelled) {
      if (!Cancelled)
        accept();
    });
  });
}

void PeerListener::serveNext() {
  if (!Next_)
    return;
  if (serve(*Next_)) {
    Next_.reset();
    return accept();
  }
  RetryTimer_.expires_after(RoomCheckPeriod);
  RetryTimer_.async_wait([this](auto Cancelled) {
    if (!Cancelled)
      serveNext();
  });
}

bool PeerListener::serve(Tcp::socket &Socket) {
  if (Accepted_.size() >= Limits_.Connections_)
    removeClosed();
  if (Accepted_.size() >= Limits_.Connections_) {
    const auto Oldest = oldestUnidentified();
    if (Oldest && Oldest->age() < MinSilentTime)
      return false;
    if (Oldest)
      Oldest->refuse(InputRefusal::Connections, "room for another connection");
    else if (Limits_.OnRefused_)
      Limits_.OnRefused_(InputRefusal::Connections);
    if (!Oldest && !(CloseUnused_ && CloseUnused_()))
      return true;
    removeClosed();
  }
  auto Accepted = std::make_shared<PeerConnection>(std::move(Socket), Limits_);
  Accepted_.push_back(Accepted);
  OnAccept_(Accepted);
  return true;
}

void PeerListener::removeClosed() {
  Accepted_.remove_if([](const auto &Each) {
    const auto Connection = Each.lock();
    return !Connection || !Connection->isOpen();
  });
}

std::shared_ptr<PeerConnection> PeerListener::oldestUnidentified() const {
  for (const auto &Each : Accepted_) {
    auto Connection = Each.lock();
    if (Connection && Connection->isOpen() && !Connection->identified())
      return Connection;
  }
  return nullptr;
}

void PeerListener::close() {
  boost::system::error_code Ignored;
  Acceptor_.close(Ignored);
  RetryTimer_.cancel();
  Next_.reset();
}

} // namespace wigeonwall::connection
