/// \file
/// \brief Stand-in for a minion of the platform: serves a FakeRunMinion over
/// HTTP in real time.
#ifndef WIGEONWALL_STANDINS_PLATFORM_MINION_SERVER_H
#define WIGEONWALL_STANDINS_PLATFORM_MINION_SERVER_H

#include "standins/fake_run_minion.h"
#include "wigeonwall/connection/http_client.h"
#include "wigeonwall/connection/http_server.h"

#include <json/json.h>

namespace wigeonwall::standins {

/// \brief Sends reports to an agent and executes its calls.
class PlatformMinionServer {
public:
  /// \param Address Endpoint on which the server listens.
  /// \param Advertised Endpoint that the agent is told to connect to.
  /// \param Agent Endpoint to which reports are sent.
  PlatformMinionServer(connection::asio::io_context &Context,
                       connection::Endpoint Address,
                       connection::Endpoint Advertised,
                       connection::Endpoint Agent);

  [[nodiscard]] bool listen();
  [[nodiscard]] FakeRunMinion &minion() noexcept { return Minion_; }
  /// \brief Advances the virtual time of the minion to the present.
  void advance();
  /// Called before each call is executed.
  std::function<void()> BeforeCall_ = [this] { advance(); };

private:
  void handle(const connection::HttpRequest &Request,
              const connection::HttpRespond &Respond);
  void handleStart(const Json::Value &Body,
                   const connection::HttpRespond &Respond);
  void handleHold(const Json::Value &Body,
                  const connection::HttpRespond &Respond);
  void sendReport();

  connection::asio::io_context &Context_;
  connection::Endpoint Advertised_;
  connection::Endpoint Agent_;
  VirtualTime Time_;
  FakeRunMinion Minion_{Time_, {32'000, 65'536, 0}};
  process::dispatch::MinionCalls Calls_;
  connection::HttpServer Server_;
  connection::HttpClient Client_;
  std::chrono::steady_clock::time_point LastAdvanceAt_;
};

} // namespace wigeonwall::standins

#endif
