/// \file
/// \brief Opens listening sockets.
#ifndef WIGEONWALL_CONNECTION_ACCEPTOR_H
#define WIGEONWALL_CONNECTION_ACCEPTOR_H

#include "wigeonwall/connection/asio.h"
#include "wigeonwall/connection/endpoint.h"

namespace wigeonwall::connection::detail {

/// Delay after a failed accept; without free file descriptors each accept fails
/// immediately.
inline constexpr std::chrono::milliseconds AcceptRetryDelay{50};

/// \brief Binds \p Acceptor to \p Address and listens; false if the address is
/// invalid or in use.
[[nodiscard]] bool openAcceptor(asio::ip::tcp::acceptor &Acceptor,
                                const Endpoint &Address, bool ReusePort);

} // namespace wigeonwall::connection::detail

#endif
