#include "wigeonwall/connection/http_request_reader.h"

#include <iterator>

namespace wigeonwall::connection {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// Estimated memory of the connection and parser of an unfinished request, and
/// of a header field besides its text.
constexpr std::size_t RequestOverheadBytes = 2'048;
constexpr std::size_t FieldOverheadBytes = 96;

/// Returns whether unparsed input contains a chunk header, which is parsed
/// alone unless it is the last one. The end of the chunk before may precede it.
bool inTrailers(std::string_view Unparsed) {
  constexpr std::string_view LineEnd = "\r\n";
  const std::size_t Start = Unparsed.starts_with(LineEnd) ? LineEnd.size() : 0;
  return Unparsed.find(LineEnd, Start) != std::string_view::npos;
}

} // namespace

HttpRequestReader::HttpRequestReader(const HttpMeterLimits &Limits,
                                     std::uint64_t BodyBytes)
    : Limits_(Limits), MaxBodyBytes_(BodyBytes), Meter_(Limits),
      OnChunkHeader_([this](std::uint64_t, beast::string_view Extensions,
                            beast::error_code &Error) {
        Refused_ = Meter_.onExtensions(Extensions.size());
        if (Refused_)
          Error = http::error::header_limit;
      }) {}

void HttpRequestReader::begin() {
  Meter_ = HttpInputMeter(Limits_);
  Refused_.reset();
  Parser_.emplace();
  Parser_->header_limit(static_cast<std::uint32_t>(Limits_.HeaderBytes_));
  Parser_->body_limit(MaxBodyBytes_);
  Parser_->on_chunk_header(OnChunkHeader_);
}

ReadStatus HttpRequestReader::feed(std::string_view Data) {
  const bool Buffered = !Input_.empty();
  if (Buffered) {
    Input_.append(Data);
    Data = Input_;
  }
  const beast::error_code Error = parse(Data);
  if (Buffered)
    Input_.erase(0, Input_.size() - Data.size());
  else
    Input_.assign(Data);
  if (Refused_)
    return ReadStatus::Refused;
  if (Error)
    return fail(Error);
  return Parser_->is_done() ? ReadStatus::Done : ReadStatus::NeedsMore;
}

beast::error_code HttpRequestReader::parse(std::string_view &Data) {
  while (!Data.empty() && !Parser_->is_done()) {
    const bool HeaderWasDone = Parser_->is_header_done();
    // Without eager(), the parser returns at the end of the header.
    Parser_->eager(HeaderWasDone);
    beast::error_code Error;
    const std::size_t Size =
        Parser_->put(boost::asio::buffer(Data.data(), Data.size()), Error);
    Data.remove_prefix(Size);
    const bool NeedsMore = Error == http::error::need_more;
    if (Error && !NeedsMore)
      return Error;
    if (!HeaderWasDone)
      Refused_ = Meter_.onHeader(
          Size, Parser_->is_header_done() ? 0 : Data.size(), fieldCount());
    else if (Parser_->is_done())
      Refused_ = Meter_.onEnd(fieldCount());
    else if (NeedsMore)
      Refused_ = Meter_.onUnparsed(Data.size(), inTrailers(Data));
    if (Refused_ || NeedsMore)
      break;
  }
  return {};
}

ReadStatus HttpRequestReader::fail(beast::error_code Error) {
  if (Error == http::error::body_limit)
    Refused_ = InputRefusal::Body;
  if (Error == http::error::header_limit)
    Refused_ = InputRefusal::Header;
  if (Refused_)
    return ReadStatus::Refused;
  Fault_ = Error.message();
  return ReadStatus::Malformed;
}

HttpRequestReader::Message HttpRequestReader::release() {
  Message Result = Parser_->release();
  Parser_.reset();
  if (Input_.empty())
    Input_ = std::string();
  return Result;
}

void HttpRequestReader::clear() {
  Parser_.reset();
  Input_ = std::string();
}

std::size_t HttpRequestReader::fieldCount() const {
  const auto &Fields = Parser_->get();
  return static_cast<std::size_t>(std::distance(Fields.begin(), Fields.end()));
}

std::size_t HttpRequestReader::heldBytes() const {
  const std::string &Body = Parser_->get().body();
  // The room for a body of announced length is reserved before it is received.
  const std::size_t BodyBytes =
      Parser_->chunked() ? Body.capacity() : Body.size();
  return RequestOverheadBytes + Input_.capacity() + Meter_.headerBytes() +
         FieldOverheadBytes * Meter_.headerFields() + BodyBytes;
}

std::optional<std::uint64_t> HttpRequestReader::remainingBody() const {
  if (!Parser_ || !Parser_->is_header_done())
    return std::nullopt;
  const auto Remaining = Parser_->content_length_remaining();
  return Remaining ? std::optional<std::uint64_t>(*Remaining) : std::nullopt;
}

} // namespace wigeonwall::connection
