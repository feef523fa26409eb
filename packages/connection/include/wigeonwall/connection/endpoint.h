/// \file
/// \brief Network address of a process: IP address and TCP port.
#ifndef WIGEONWALL_CONNECTION_ENDPOINT_H
#define WIGEONWALL_CONNECTION_ENDPOINT_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonwall::connection {

struct Endpoint {
  /// IPv4 or IPv6 address, without brackets.
  std::string Host_;
  std::uint16_t Port_ = 0;

  auto operator<=>(const Endpoint &) const = default;
};

/// \brief Parses "127.0.0.1:8080" or "[::1]:8080"; host names are not resolved.
[[nodiscard]] std::optional<Endpoint> parseEndpoint(std::string_view Text);

/// \brief Formats an endpoint as parseEndpoint() expects it.
[[nodiscard]] std::string formatEndpoint(const Endpoint &Address);

} // namespace wigeonwall::connection

#endif
