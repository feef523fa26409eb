/// \file
/// \brief Many clients of one listener that send more than its limits allow.
#ifndef WIGEONWALL_STANDINS_CLIENT_CROWD_H
#define WIGEONWALL_STANDINS_CLIENT_CROWD_H

#include "wigeonwall/connection/asio.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wigeonwall::standins {

/// \brief What each client sends.
struct CrowdScript {
  std::string Head_;
  /// Sent repeatedly after Head_ until TotalBytes_ of it have been sent; then
  /// the connection stays open.
  std::string Piece_;
  std::size_t TotalBytes_ = 0;
  /// Returns the text that a client sends in place of Head_, if set.
  std::function<std::string(std::size_t Client)> HeadOf_ = {};
};

/// \brief Connections to one port on loopback that all send one script.
///
/// They never read, and stay open until the object is destroyed.
class ClientCrowd {
public:
  ClientCrowd(std::uint16_t Port, std::size_t Clients,
              const CrowdScript &Script);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd &) = delete;
  ClientCrowd &operator=(const ClientCrowd &) = delete;

  /// \brief Sends until each client is done or was closed by the server, at
  /// most for \p MaxTime, then waits for \p Pause; calls \p Sample about every
  /// 5 ms.
  void run(std::chrono::milliseconds MaxTime, std::chrono::milliseconds Pause,
           const std::function<void()> &Sample);

private:
  struct Client;

  connection::asio::io_context Context_{1};
  std::string Block_;
  std::size_t Blocks_;
  std::vector<std::unique_ptr<Client>> Clients_;
};

} // namespace wigeonwall::standins

#endif
