#include "wigeonwall/connection/http_input_meter.h"

namespace wigeonwall::connection {

std::optional<InputRefusal> HttpInputMeter::onHeader(std::size_t Consumed,
                                                     std::size_t Unparsed,
                                                     std::size_t Fields) {
  HeaderBytes_ += Consumed;
  HeaderFields_ = Fields;
  if (HeaderBytes_ + Unparsed > Limits_.HeaderBytes_ ||
      Fields > Limits_.HeaderFields_)
    return InputRefusal::Header;
  return std::nullopt;
}

std::optional<InputRefusal> HttpInputMeter::onExtensions(std::size_t Bytes) {
  if (Bytes == 0)
    return std::nullopt;
  ExtensionBytes_ += Bytes;
  ++Extensions_;
  if (ExtensionBytes_ > Limits_.ExtensionBytes_ ||
      Extensions_ > Limits_.Extensions_)
    return InputRefusal::Extensions;
  return std::nullopt;
}

std::optional<InputRefusal> HttpInputMeter::onUnparsed(std::size_t Bytes,
                                                       bool InTrailers) const {
  if (InTrailers)
    return Bytes > Limits_.TrailerBytes_ ? std::optional(InputRefusal::Trailers)
                                         : std::nullopt;
  return Bytes > Limits_.ExtensionBytes_
             ? std::optional(InputRefusal::Extensions)
             : std::nullopt;
}

std::optional<InputRefusal> HttpInputMeter::onEnd(std::size_t Fields) const {
  return Fields > HeaderFields_ + Limits_.TrailerFields_
             ? std::optional(InputRefusal::Trailers)
             : std::nullopt;
}

} // namespace wigeonwall::connection
