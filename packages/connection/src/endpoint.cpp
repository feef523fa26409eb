#include "wigeonwall/connection/endpoint.h"

#include "wigeonwall/connection/asio.h"

#include <charconv>

namespace wigeonwall::connection {

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  const std::string_view Port = Text.substr(Colon + 1);
  const bool Bracketed =
      Host.size() >= 2 && Host.front() == '[' && Host.back() == ']';
  if (Bracketed)
    Host = Host.substr(1, Host.size() - 2);
  Endpoint Result{std::string(Host), 0};
  boost::system::error_code Error;
  const auto Address = asio::ip::make_address(Result.Host_, Error);
  if (Error || Address.is_v6() != Bracketed)
    return std::nullopt;
  const char *End = Port.data() + Port.size();
  const auto [Last, Code] = std::from_chars(Port.data(), End, Result.Port_);
  if (Port.empty() || Code != std::errc() || Last != End)
    return std::nullopt;
  return Result;
}

std::string formatEndpoint(const Endpoint &Address) {
  const bool Brackets = Address.Host_.find(':') != std::string::npos;
  return (Brackets ? "[" + Address.Host_ + "]" : Address.Host_) + ":" +
         std::to_string(Address.Port_);
}

} // namespace wigeonwall::connection
