/// \file
/// \brief Opens listening sockets.
#ifndef WIGEONWALL_CONNECTION_ACCEPTOR_H
#define WIGEONWALL_CONNECTION_ACCEPTOR_H

#include "wigeonwall/connection/asio.h"
#include "wigeonwall/connection/endpoint.h"
#include "wigeonwall/connection/socket_buffers.h"

namespace wigeonwall::connection::detail {

/// Delay after a failed accept; without free file descriptors each accept fails
/// immediately.
inline constexpr std::chrono::milliseconds AcceptRetryDelay{50};

/// Connections that the kernel has established and the process has not
/// accepted.
inline constexpr std::size_t MinPendingConnections = 64;
inline constexpr std::size_t MaxPendingConnections = 1'024;

/// \brief Binds \p Acceptor to \p Address and listens; false if the address is
/// invalid or in use.
///
/// Accepted sockets have \p Buffers; connections that wait to be accepted have
/// them too. About as many as \p Connections may wait.
[[nodiscard]] bool openAcceptor(asio::ip::tcp::acceptor &Acceptor,
                                const Endpoint &Address, bool ReusePort,
                                const SocketBuffers &Buffers,
                                std::size_t Connections);

} // namespace wigeonwall::connection::detail

#endif
