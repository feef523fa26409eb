#include "wigeonwall/connection/peer_session.h"

#include <memory>

namespace wigeonwall::connection {

std::optional<PeerMessage> parsePeerMessage(const char *Begin,
                                            const char *End) {
  static const Json::CharReaderBuilder Builder;
  // One reader per thread; making one costs more than a short parse.
  thread_local const std::unique_ptr<Json::CharReader> Reader(
      Builder.newCharReader());
  Json::Value Root;
  std::string Errors;
  try {
    if (!Reader->parse(Begin, End, &Root, &Errors) || !Root.isObject())
      return std::nullopt;
    PeerMessage Result;
    Result.Method_ = Root["method"].asString();
    Result.Params_ = std::move(Root["params"]);
    Result.Sequence_ = Root["sequence"].asUInt64();
    Result.Acknowledged_ = Root["acknowledged"].asUInt64();
    return Result;
  } catch (const Json::Exception &) {
    // A field of another type; the caller logs and closes the connection.
    return std::nullopt;
  }
}

std::string PeerSession::line(std::uint64_t Sequence, const std::string &Method,
                              const std::string &Params) const {
  std::string Result = "{\"jsonrpc\":\"2.0\",\"method\":\"" + Method + "\"";
  if (Sequence != 0)
    Result += ",\"sequence\":" + std::to_string(Sequence);
  if (Received_ != 0)
    Result += ",\"acknowledged\":" + std::to_string(Received_);
  return Result + ",\"params\":" + Params + "}\n";
}

std::string PeerSession::number(const std::string &Method,
                                const std::string &Params) {
  ++LastSent_;
  Unacknowledged_.push_back({LastSent_, Method, Params});
  return line(LastSent_, Method, Params);
}

std::string PeerSession::unnumbered(const std::string &Method,
                                    const std::string &Params) const {
  return line(0, Method, Params);
}

bool PeerSession::accept(const PeerMessage &Message) {
  while (!Unacknowledged_.empty() &&
         Unacknowledged_.front().Sequence_ <= Message.Acknowledged_)
    Unacknowledged_.pop_front();
  if (Message.Sequence_ == 0)
    return true;
  if (Message.Sequence_ != Received_ + 1)
    return false;
  Received_ = Message.Sequence_;
  return true;
}

std::vector<std::string> PeerSession::unacknowledged() const {
  std::vector<std::string> Lines;
  for (const Sent &Each : Unacknowledged_)
    Lines.push_back(line(Each.Sequence_, Each.Method_, Each.Params_));
  return Lines;
}

} // namespace wigeonwall::connection
