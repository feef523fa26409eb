#include "wigeonwall/connection/peer_session.h"

#include "wigeonwall/connection/msgpack_codec.h"

namespace wigeonwall::connection {

namespace {

constexpr unsigned BitsPerByte = 8;

} // namespace

std::size_t readFrameLength(std::string_view Header) {
  std::size_t Length = 0;
  for (std::size_t I = 0; I < FrameHeaderBytes; ++I)
    Length = Length << BitsPerByte | static_cast<unsigned char>(Header.at(I));
  return Length;
}

std::optional<PeerMessage> parsePeerMessage(std::string_view Body) {
  try {
    PeerMessage Result;
    std::tie(Result.Method_, Result.Sequence_, Result.Acknowledged_,
             Result.Params_) =
        unpack<std::string, std::uint64_t, std::uint64_t, std::string_view>(
            Body);
    return Result;
  } catch (const msgpack::unpack_error &) {
    // The caller logs the error and closes the connection.
    return std::nullopt;
  } catch (const msgpack::type_error &) {
    return std::nullopt;
  }
}

std::string PeerSession::encodeFrame(std::uint64_t Sequence,
                                     const std::string &Method,
                                     const std::string &Params) const {
  const std::string Body = pack(Method, Sequence, Received_, Params);
  std::string Result(FrameHeaderBytes, '\0');
  std::size_t Remaining = Body.size();
  for (std::size_t I = FrameHeaderBytes; I-- > 0; Remaining >>= BitsPerByte)
    Result[I] = static_cast<char>(Remaining & 0xFFU);
  return Result + Body;
}

std::string PeerSession::sequencedFrame(const std::string &Method,
                                        const std::string &Params) {
  ++LastSent_;
  Unacknowledged_.push_back({LastSent_, Method, Params});
  UnacknowledgedBytes_ += Unacknowledged_.back().bytes();
  return encodeFrame(LastSent_, Method, Params);
}

std::string PeerSession::unsequencedFrame(const std::string &Method,
                                          const std::string &Params) const {
  return encodeFrame(0, Method, Params);
}

bool PeerSession::accept(const PeerMessage &Message) {
  while (!Unacknowledged_.empty() &&
         Unacknowledged_.front().Sequence_ <= Message.Acknowledged_) {
    UnacknowledgedBytes_ -= Unacknowledged_.front().bytes();
    Unacknowledged_.pop_front();
  }
  if (Message.Sequence_ == 0)
    return true;
  if (Message.Sequence_ != Received_ + 1)
    return false;
  Received_ = Message.Sequence_;
  return true;
}

std::vector<std::string> PeerSession::unacknowledgedFrames() const {
  std::vector<std::string> Frames;
  for (const SentMessage &Each : Unacknowledged_)
    Frames.push_back(encodeFrame(Each.Sequence_, Each.Method_, Each.Params_));
  return Frames;
}

} // namespace wigeonwall::connection
