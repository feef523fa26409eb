/// \file
/// \brief The platform's minion over HTTP: FakeRunMinion in real time.
#ifndef WIGEONWALL_STANDINS_PLATFORM_MINION_SERVER_H
#define WIGEONWALL_STANDINS_PLATFORM_MINION_SERVER_H

#include "standins/fake_run_minion.h"
#include "wigeonwall/connection/http_client.h"
#include "wigeonwall/connection/http_server.h"

#include <json/json.h>

namespace wigeonwall::standins {

/// \brief Reports to an agent and carries out its orders.
class PlatformMinionServer {
public:
  PlatformMinionServer(connection::asio::io_context &Context,
                       connection::Endpoint Address,
                       connection::Endpoint Agent);

  [[nodiscard]] bool listen();
  [[nodiscard]] FakeRunMinion &minion() noexcept { return Minion_; }

private:
  void handle(const connection::HttpRequest &Request,
              const connection::HttpRespond &Respond);
  void start(const Json::Value &Body, const connection::HttpRespond &Respond);
  void hold(const Json::Value &Body, const connection::HttpRespond &Respond);
  void report();
  void advance();

  connection::asio::io_context &Context_;
  connection::Endpoint Address_;
  connection::Endpoint Agent_;
  VirtualTime Time_;
  FakeRunMinion Minion_{Time_, {32'000, 65'536, 0}};
  process::dispatch::MinionCalls Calls_;
  connection::HttpServer Server_;
  connection::HttpClient Client_;
  std::chrono::steady_clock::time_point AdvancedAt_;
};

} // namespace wigeonwall::standins

#endif
