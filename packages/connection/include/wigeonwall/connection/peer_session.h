/// \file
/// \brief Ordered delivery of messages between two processes across reconnects.
#ifndef WIGEONWALL_CONNECTION_PEER_SESSION_H
#define WIGEONWALL_CONNECTION_PEER_SESSION_H

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwall::connection {

/// \brief A message received from the peer.
struct PeerMessage {
  std::string Method_;
  /// MessagePack parameters; valid only while the message is handled.
  std::string_view Params_;
  /// 0 for messages that are not resent, such as reports.
  std::uint64_t Sequence_ = 0;
  /// Sequence number of the last message that the sender has received.
  std::uint64_t Acknowledged_ = 0;
};

/// Size of the big-endian length in front of each message.
inline constexpr std::size_t FrameHeaderBytes = 4;

/// \brief Decodes the length of a message from its frame header.
[[nodiscard]] std::size_t readFrameLength(std::string_view Header);
/// \brief Decodes a message without its frame header; empty if malformed.
[[nodiscard]] std::optional<PeerMessage>
parsePeerMessage(std::string_view Body);

/// \brief Assigns sequence numbers and keeps messages until they are
/// acknowledged.
///
/// After a reconnect both sides resend their unacknowledged messages and
/// discard duplicates.
class PeerSession {
public:
  /// \brief Returns the frame of a message that is kept for resending.
  std::string sequencedFrame(const std::string &Method,
                             const std::string &Params);
  /// \brief Returns the frame of a message that is not resent.
  [[nodiscard]] std::string unsequencedFrame(const std::string &Method,
                                             const std::string &Params) const;
  /// \brief Processes the acknowledgement and sequence number of a received
  /// message; false if the message is a duplicate or out of order.
  [[nodiscard]] bool accept(const PeerMessage &Message);
  /// \brief Returns the frames to resend after a reconnect.
  [[nodiscard]] std::vector<std::string> unacknowledgedFrames() const;
  /// \brief Estimated memory of the messages that are kept for resending.
  [[nodiscard]] std::size_t unacknowledgedBytes() const noexcept {
    return UnacknowledgedBytes_;
  }
  [[nodiscard]] std::uint64_t lastSent() const noexcept { return LastSent_; }
  [[nodiscard]] std::uint64_t received() const noexcept { return Received_; }

private:
  struct SentMessage {
    std::uint64_t Sequence_;
    std::string Method_;
    std::string Params_;
    [[nodiscard]] std::size_t bytes() const noexcept {
      return sizeof(SentMessage) + Method_.size() + Params_.size();
    }
  };
  [[nodiscard]] std::string encodeFrame(std::uint64_t Sequence,
                                        const std::string &Method,
                                        const std::string &Params) const;

  std::uint64_t LastSent_ = 0;
  std::uint64_t Received_ = 0;
  std::deque<SentMessage> Unacknowledged_;
  std::size_t UnacknowledgedBytes_ = 0;
};

} // namespace wigeonwall::connection

#endif
