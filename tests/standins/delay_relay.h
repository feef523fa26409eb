/// \file
/// \brief TCP relay with a fixed delay: stands for the network between failure
/// domains.
#ifndef WIGEONWALL_STANDINS_DELAY_RELAY_H
#define WIGEONWALL_STANDINS_DELAY_RELAY_H

#include "wigeonwall/connection/asio.h"
#include "wigeonwall/connection/endpoint.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace wigeonwall::standins {

/// \brief Passes each accepted connection on to a target.
///
/// The bytes of each direction arrive after a fixed delay and in order. The
/// end of a direction is passed on after the bytes before it, and the other
/// direction stays open. The connection to the target is opened at once, so a
/// new connection costs no delay of its own. A target that refuses the
/// connection ends the accepted one.
class DelayRelay {
public:
  DelayRelay(connection::asio::io_context &Context,
             const connection::Endpoint &Listen,
             const connection::Endpoint &Target,
             std::chrono::microseconds Delay);

  /// \brief False when the address is invalid or taken.
  [[nodiscard]] bool listen();
  [[nodiscard]] std::uint16_t port() const noexcept;

private:
  struct State;

  std::shared_ptr<State> State_;
};

} // namespace wigeonwall::standins

#endif
