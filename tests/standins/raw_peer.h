/// \file
/// \brief TCP peer that sends and receives raw text, for transport tests.
#ifndef WIGEONWALL_STANDINS_RAW_PEER_H
#define WIGEONWALL_STANDINS_RAW_PEER_H

#include "wigeonwall/connection/asio.h"

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace wigeonwall::standins {

namespace asio = connection::asio;

/// \brief One end of a connection; collects everything that the peer sends.
class RawPeer : public std::enable_shared_from_this<RawPeer> {
public:
  explicit RawPeer(asio::ip::tcp::socket Socket) : Socket_(std::move(Socket)) {}

  /// \brief Connects to a loopback port; starts reading if \p StartReading is
  /// set.
  static std::shared_ptr<RawPeer> open(asio::io_context &Context,
                                       std::uint16_t Port,
                                       bool StartReading = true) {
    asio::ip::tcp::socket Socket(Context);
    Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
    auto Peer = std::make_shared<RawPeer>(std::move(Socket));
    if (StartReading)
      Peer->read();
    return Peer;
  }

  void read() {
    Socket_.async_read_some(
        asio::buffer(Chunk_),
        [Self = shared_from_this()](auto Error, std::size_t Size) {
          Self->Text_.append(Self->Chunk_.data(), Size);
          Self->Closed_ = static_cast<bool>(Error);
          Self->Reset_ = Error == asio::error::connection_reset;
          if (!Error)
            Self->read();
        });
  }
  /// \brief Sends text that fits into the socket buffers; returns false when
  /// the peer has closed the connection.
  bool send(const std::string &Text) {
    boost::system::error_code Error;
    asio::write(Socket_, asio::buffer(Text), Error);
    return !Error;
  }
  void endSending() {
    boost::system::error_code Ignored;
    Socket_.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  }
  void close() {
    boost::system::error_code Ignored;
    Socket_.close(Ignored);
  }

  /// \brief Everything received so far.
  [[nodiscard]] const std::string &text() const noexcept { return Text_; }
  [[nodiscard]] bool closed() const noexcept { return Closed_; }
  [[nodiscard]] bool reset() const noexcept { return Reset_; }
  /// \brief Non-overlapping occurrences of \p Substring in text().
  [[nodiscard]] std::size_t count(const std::string &Substring) const {
    std::size_t Found = 0;
    for (std::size_t Position = Text_.find(Substring);
         Position != std::string::npos;
         Position = Text_.find(Substring, Position + Substring.size()))
      ++Found;
    return Found;
  }

private:
  asio::ip::tcp::socket Socket_;
  std::array<char, 4096> Chunk_{};
  std::string Text_;
  bool Closed_ = false;
  bool Reset_ = false;
};

/// \brief Runs the event loop until \p Condition is true or \p Timeout has
/// passed; returns whether it became true.
inline bool runUntil(asio::io_context &Context,
                     const std::function<bool()> &Condition,
                     std::chrono::milliseconds Timeout) {
  const auto End = std::chrono::steady_clock::now() + Timeout;
  while (!Condition() && std::chrono::steady_clock::now() < End)
    Context.run_one_for(std::chrono::milliseconds(5));
  return Condition();
}

/// \brief Runs the event loop for \p Duration.
inline void runFor(asio::io_context &Context,
                   std::chrono::milliseconds Duration) {
  runUntil(
      Context, [] { return false; }, Duration);
}

} // namespace wigeonwall::standins

#endif
