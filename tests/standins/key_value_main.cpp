/// \file
/// \brief Key-value stand-in as a process; exits on SIGTERM or SIGINT.
#include "standins/key_value_server.h"

#include <docopt/docopt.h>

#include <iostream>

namespace {

constexpr char Usage[] = R"(Stand-in of the platform's key-value service.

Usage:
  standin_key_value --listen=ADDR
  standin_key_value (-h | --help)

Options:
  --listen=ADDR  IP:port to listen on; port 0 selects a free port.
)";

} // namespace

int main(int ArgCount, char **Args) {
  using namespace wigeonwall;
  const auto Options =
      docopt::docopt(Usage, {Args + 1, Args + ArgCount}, true, "");
  const auto Address =
      connection::parseEndpoint(Options.at("--listen").asString());
  if (!Address) {
    std::cerr << "--listen: expected IP:port\n";
    return 2;
  }
  connection::asio::io_context Context(1);
  standins::KeyValueServer Server(Context, *Address);
  if (!Server.listen()) {
    std::cerr << "cannot listen on " << connection::formatEndpoint(*Address)
              << "\n";
    return 1;
  }
  std::cout << "listening on "
            << connection::formatEndpoint({Address->Host_, Server.port()})
            << std::endl;
  connection::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](auto, int) { Context.stop(); });
  Context.run();
  return 0;
}
