#include "acceptor.h"

#include <algorithm>

namespace wigeonwall::connection::detail {

bool openAcceptor(asio::ip::tcp::acceptor &Acceptor, const Endpoint &Address,
                  bool ReusePort, const SocketBuffers &Buffers,
                  std::size_t Connections) {
  using ReusePortOption =
      asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
  using asio::ip::tcp;
  boost::system::error_code Error;
  const tcp::endpoint Local(asio::ip::make_address(Address.Host_, Error),
                            Address.Port_);
  if (!Error)
    Acceptor.open(Local.protocol(), Error);
  if (!Error)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error && ReusePort)
    Acceptor.set_option(ReusePortOption(true), Error);
  // Accepted sockets inherit both; the window is negotiated with the first
  // packet.
  boost::system::error_code Ignored;
  if (!Error && Buffers.Receive_ != 0)
    Acceptor.set_option(
        asio::socket_base::receive_buffer_size(Buffers.Receive_), Ignored);
  if (!Error && Buffers.Send_ != 0)
    Acceptor.set_option(asio::socket_base::send_buffer_size(Buffers.Send_),
                        Ignored);
  if (!Error)
    Acceptor.bind(Local, Error);
  if (!Error)
    Acceptor.listen(
        static_cast<int>(std::clamp(Connections, MinPendingConnections,
                                    MaxPendingConnections)),
        Error);
  return !Error;
}

} // namespace wigeonwall::connection::detail
