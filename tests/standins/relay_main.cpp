/// \file
/// \brief Delay relay as a process; exits on SIGTERM or SIGINT.
#include "standins/delay_relay.h"

#include <docopt/docopt.h>

#include <charconv>
#include <iostream>
#include <optional>
#include <vector>

namespace {

using namespace wigeonwall;

constexpr char Usage[] =
    R"(TCP relay that simulates the latency between failure domains by delaying the
bytes of each direction.

Usage:
  standin_relay (--map=MAP)...
  standin_relay (-h | --help)

Options:
  --map=MAP  LISTEN=TARGET=DELAY_US: two addresses as IP:port and the delay of
             one direction in microseconds; may be repeated.
)";

constexpr std::uint32_t MaxDelayUs = 10'000'000;

struct Mapping {
  connection::Endpoint Listen_;
  connection::Endpoint Target_;
  std::chrono::microseconds Delay_{0};
};

std::optional<Mapping> parseMapping(const std::string &Text) {
  const std::size_t First = Text.find('=');
  const std::size_t Last = Text.rfind('=');
  if (First == std::string::npos || First == Last)
    return std::nullopt;
  const auto Listen = connection::parseEndpoint(Text.substr(0, First));
  const auto Target =
      connection::parseEndpoint(Text.substr(First + 1, Last - First - 1));
  std::uint32_t DelayUs = 0;
  const char *End = Text.data() + Text.size();
  const auto [ParseEnd, Code] =
      std::from_chars(Text.data() + Last + 1, End, DelayUs);
  if (!Listen || !Target || Code != std::errc() || ParseEnd != End ||
      DelayUs > MaxDelayUs)
    return std::nullopt;
  return Mapping{*Listen, *Target, std::chrono::microseconds(DelayUs)};
}

} // namespace

int main(int ArgCount, char **Args) {
  const auto Options =
      docopt::docopt(Usage, {Args + 1, Args + ArgCount}, true, "");
  connection::asio::io_context Context(1);
  std::vector<standins::DelayRelay> Relays;
  for (const std::string &Text : Options.at("--map").asStringList()) {
    const auto Parsed = parseMapping(Text);
    if (!Parsed) {
      std::cerr << "--map: expected LISTEN=TARGET=DELAY_US, got \"" << Text
                << "\"\n";
      return 2;
    }
    Relays.emplace_back(Context, Parsed->Listen_, Parsed->Target_,
                        Parsed->Delay_);
    if (!Relays.back().listen()) {
      std::cerr << "cannot listen on "
                << connection::formatEndpoint(Parsed->Listen_) << "\n";
      return 1;
    }
  }
  connection::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](auto, int) { Context.stop(); });
  Context.run();
  return 0;
}
