/// \file
/// \brief Counts the parts of an HTTP message that the parser does not limit.
#ifndef WIGEONWALL_CONNECTION_HTTP_INPUT_METER_H
#define WIGEONWALL_CONNECTION_HTTP_INPUT_METER_H

#include "wigeonwall/connection/input_budget.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace wigeonwall::connection {

struct HttpMeterLimits {
  std::size_t HeaderBytes_ = 8 * 1024;
  std::size_t HeaderFields_ = 128;
  std::size_t TrailerBytes_ = 8 * 1024;
  std::size_t TrailerFields_ = 64;
  /// All chunk extensions of a message.
  std::size_t ExtensionBytes_ = 4 * 1024;
  std::size_t Extensions_ = 64;
};

/// \brief Limits on one message; pure.
///
/// Boost.Beast 1.74 applies its header limit to the bytes of one call, not to
/// all fields, and limits neither trailers nor chunk extensions.
class HttpInputMeter {
public:
  explicit HttpInputMeter(const HttpMeterLimits &Limits) : Limits_(Limits) {}

  /// \brief Records bytes that the parser has consumed before the end of the
  /// header; \p Unparsed bytes follow that it cannot parse yet.
  [[nodiscard]] std::optional<InputRefusal>
  onHeader(std::size_t Consumed, std::size_t Unparsed, std::size_t Fields);
  /// \brief Records the extensions of one chunk; empty ones do not count.
  [[nodiscard]] std::optional<InputRefusal> onExtensions(std::size_t Bytes);
  /// \brief Checks the bytes after the header that the parser cannot parse yet:
  /// a chunk header or the trailers.
  [[nodiscard]] std::optional<InputRefusal> onUnparsed(std::size_t Bytes,
                                                       bool InTrailers) const;
  /// \brief Checks the number of all fields at the end of the message.
  [[nodiscard]] std::optional<InputRefusal> onEnd(std::size_t Fields) const;

  [[nodiscard]] std::size_t headerBytes() const noexcept {
    return HeaderBytes_;
  }
  [[nodiscard]] std::size_t headerFields() const noexcept {
    return HeaderFields_;
  }

private:
  HttpMeterLimits Limits_;
  std::size_t HeaderBytes_ = 0;
  std::size_t HeaderFields_ = 0;
  std::size_t ExtensionBytes_ = 0;
  std::size_t Extensions_ = 0;
};

} // namespace wigeonwall::connection

#endif
