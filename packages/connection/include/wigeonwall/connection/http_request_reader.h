/// \file
/// \brief Parses HTTP requests from pieces of input, with limits on all parts.
#ifndef WIGEONWALL_CONNECTION_HTTP_REQUEST_READER_H
#define WIGEONWALL_CONNECTION_HTTP_REQUEST_READER_H

#include "wigeonwall/connection/asio.h"
#include "wigeonwall/connection/http_input_meter.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonwall::connection {

enum class ReadStatus : std::uint8_t { NeedsMore, Done, Refused, Malformed };

/// \brief Reads one request after another; no network.
///
/// Input that follows a request is kept for the next one.
class HttpRequestReader {
public:
  using Message = boost::beast::http::request<boost::beast::http::string_body>;

  HttpRequestReader(const HttpMeterLimits &Limits, std::uint64_t BodyBytes);
  HttpRequestReader(const HttpRequestReader &) = delete;
  HttpRequestReader &operator=(const HttpRequestReader &) = delete;

  /// \brief Starts a request.
  void begin();
  /// \brief Parses the kept input and \p Data.
  [[nodiscard]] ReadStatus feed(std::string_view Data);
  /// \brief Takes the request after ReadStatus::Done.
  [[nodiscard]] Message release();
  /// \brief Releases all memory, including kept input.
  void clear();

  /// \brief Limit that a refused request exceeds.
  [[nodiscard]] InputRefusal refusal() const noexcept { return *Refused_; }
  [[nodiscard]] const std::string &fault() const noexcept { return Fault_; }
  [[nodiscard]] bool hasInput() const noexcept { return !Input_.empty(); }
  /// \brief Estimated memory of the unfinished request.
  [[nodiscard]] std::size_t heldBytes() const;
  /// \brief Bytes of the body that are still due; empty if not known.
  [[nodiscard]] std::optional<std::uint64_t> remainingBody() const;

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Parses \p Data and removes what was parsed from it.
  [[nodiscard]] boost::system::error_code parse(std::string_view &Data);
  [[nodiscard]] ReadStatus fail(boost::system::error_code Error);
  [[nodiscard]] std::size_t fieldCount() const;

  HttpMeterLimits Limits_;
  std::uint64_t MaxBodyBytes_;
  HttpInputMeter Meter_;
  /// Input that is not parsed yet.
  std::string Input_;
  std::optional<Parser> Parser_;
  /// The parser keeps a reference to it.
  std::function<void(std::uint64_t, boost::beast::string_view,
                     boost::beast::error_code &)>
      OnChunkHeader_;
  std::optional<InputRefusal> Refused_;
  std::string Fault_;
};

} // namespace wigeonwall::connection

#endif
