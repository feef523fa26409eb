/// \file
/// \brief Keeps messages between two processes in order across reconnects.
#ifndef WIGEONWALL_CONNECTION_PEER_SESSION_H
#define WIGEONWALL_CONNECTION_PEER_SESSION_H

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwall::connection {

/// \brief A message on its way between processes.
struct PeerMessage {
  std::string Method_;
  /// Packed parameters; valid while the message is handled.
  std::string_view Params_;
  /// 0 for messages that may be lost, such as reports.
  std::uint64_t Sequence_ = 0;
  /// Last numbered message of the other side that the sender has handled.
  std::uint64_t Acknowledged_ = 0;
};

/// Bytes in front of each message that hold its length, high byte first.
inline constexpr std::size_t FrameHeaderBytes = 4;

/// \brief Reads the length of a message from its header.
[[nodiscard]] std::size_t readFrameLength(std::string_view Header);
/// \brief Reads a message without its header; empty for anything else.
[[nodiscard]] std::optional<PeerMessage>
parsePeerMessage(std::string_view Body);

/// \brief Numbers messages and keeps them until they are acknowledged.
///
/// After a reconnect both sides send again what the other has not
/// acknowledged, and drop what they have handled before.
class PeerSession {
public:
  /// \brief Frame of a message that has to arrive.
  std::string sequencedFrame(const std::string &Method,
                             const std::string &Params);
  /// \brief Frame of a message that may be lost.
  [[nodiscard]] std::string unsequencedFrame(const std::string &Method,
                                             const std::string &Params) const;
  /// \brief Notes a message of the peer; false when it was handled before or
  /// is out of order.
  [[nodiscard]] bool accept(const PeerMessage &Message);
  /// \brief Frames to send again after a reconnect.
  [[nodiscard]] std::vector<std::string> unacknowledgedFrames() const;
  [[nodiscard]] std::uint64_t lastSent() const noexcept { return LastSent_; }
  [[nodiscard]] std::uint64_t received() const noexcept { return Received_; }

private:
  struct Sent {
    std::uint64_t Sequence_;
    std::string Method_;
    std::string Params_;
  };
  [[nodiscard]] std::string frame(std::uint64_t Sequence,
                                  const std::string &Method,
                                  const std::string &Params) const;

  std::uint64_t LastSent_ = 0;
  std::uint64_t Received_ = 0;
  std::deque<Sent> Unacknowledged_;
};

} // namespace wigeonwall::connection

#endif
