/// \file
/// \brief Sizes of the kernel's buffers of accepted sockets.
#ifndef WIGEONWALL_CONNECTION_SOCKET_BUFFERS_H
#define WIGEONWALL_CONNECTION_SOCKET_BUFFERS_H

namespace wigeonwall::connection {

/// \brief Sizes in bytes; 0 leaves them to the kernel, which lets the buffers
/// of a connection grow to several MiB.
struct SocketBuffers {
  int Receive_ = 0;
  int Send_ = 0;
};

} // namespace wigeonwall::connection

#endif
