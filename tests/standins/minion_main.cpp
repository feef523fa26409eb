/// \file
/// \brief Backend server stand-in as a process; exits on SIGTERM or SIGINT.
#include "standins/minion_server.h"

#include <docopt/docopt.h>

#include <fstream>
#include <iostream>

namespace {

constexpr const char *Usage = R"(Stand-in of a backend server.

Usage:
  standin_minion --listen=ADDR [--start-log=FILE]

Options:
  --listen=ADDR     IP:port to listen on.
  --start-log=FILE  Append a line "SERVICE JOB TASK" per start.
)";

} // namespace

int main(int Argc, char **Argv) {
  using namespace wigeonwall;
  const auto Options = docopt::docopt(Usage, {Argv + 1, Argv + Argc});
  const auto Address =
      connection::parseEndpoint(Options.at("--listen").asString());
  if (!Address) {
    std::cerr << "standin_minion: --listen: expected IP:port\n";
    return 2;
  }
  std::ofstream StartLog;
  if (Options.at("--start-log"))
    StartLog.open(Options.at("--start-log").asString(), std::ios::app);
  connection::asio::io_context Context{1};
  standins::MinionServer Server(Context, *Address,
                                StartLog.is_open() ? &StartLog : nullptr);
  if (!Server.listen()) {
    std::cerr << "standin_minion: cannot listen on "
              << connection::formatEndpoint(*Address) << "\n";
    return 1;
  }
  connection::asio::signal_set Signals(Context, SIGINT, SIGTERM);
  Signals.async_wait([&](auto, int) { Context.stop(); });
  Context.run();
  return 0;
}
