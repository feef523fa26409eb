/// \file
/// \brief Clients that do not read their answers, or send further input before
/// they have one: what the process and the kernel hold for them stays within
/// the memory of the machine.
#include "standins/untrusted_fixture.h"

using namespace std::chrono_literals;
using namespace wigeonwall::standins;

namespace {

constexpr std::size_t Clients = 100;
constexpr std::size_t BytesPerClient = 4 << 20;

} // namespace

BOOST_FIXTURE_TEST_SUITE(untrusted_answers, UntrustedFixture)

// Guards that a connection has one request at a time, and that its input stays
// unread while the client does not read the response.
BOOST_AUTO_TEST_CASE(requests_sent_ahead_are_bounded) {
  checkWithSockets(
      Listener::Callers, Clients,
      {"", "GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n", BytesPerClient});
}

// The kernel buffered up to 32 MiB behind the request of each waiting job.
BOOST_AUTO_TEST_CASE(input_behind_a_waiting_job_is_bounded) {
  Cluster_.run([this] {
    Cluster_.minion(0).RunTimeOf_ = [](const std::string &Task) {
      return Task.starts_with(jobId(8, 0).substr(0, 8)) ? 20s : 100ms;
    };
    Cluster_.minion(0).Needs_ = {1, 1, 0};
  });
  CrowdScript Script{"", "x", BytesPerClient};
  Script.HeadOf_ = [](std::size_t Client) {
    return wholeRequest("/q/" + jobId(8, static_cast<int>(Client)),
                        R"({"spec":"x","best_effort":true,"steps":)"
                        R"([{"count":1,"cpu":1,"ram_mb":1,)"
                        R"("estimated_ms":20000}]})");
  };
  checkWithSockets(Listener::Callers, Clients, Script);
}

// Each connection held a copy of the configuration until it was sent.
BOOST_AUTO_TEST_CASE(configurations_that_are_not_read_are_bounded) {
  // The store accepts values of up to 1 MiB.
  std::string Routes;
  for (int I = 0; Routes.size() < 900'000; ++I)
    Routes += R"(,{"name":"r)" + std::to_string(I) +
              R"(","host":"h.example","prefix":"/r)" + std::to_string(I) +
              R"(/","service":"permit-desk","target_latency_ms":300,)"
              R"("priority":0,"max_attempts":2,"slack_factor":3})";
  Cluster_.run([&] {
    Cluster_.store().put(
        "op/config",
        R"({"version":2,"routes":[{"name":"r","host":"h.example",)"
        R"("prefix":"/q/","service":"permit-desk","target_latency_ms":300,)"
        R"("priority":0,"max_attempts":2,"slack_factor":3})" +
            Routes + "]}");
  });
  const auto Target = "/r0/" + jobId(9, 1);
  for (int I = 0; I < 100 && Cluster_.requestStatus(0, "GET", Target) == 404;
       ++I)
    std::this_thread::sleep_for(50ms);
  BOOST_REQUIRE(Cluster_.requestStatus(0, "GET", Target) != 404);
  checkWithSockets(
      Listener::EntryPeers, Clients,
      {"", "GET /config?after=0 HTTP/1.1\r\nHost: h.example\r\n\r\n", 40'000});
}

// The error of a malformed body repeated a part of the body in the response.
BOOST_AUTO_TEST_CASE(error_responses_do_not_repeat_the_body) {
  const std::string Request = wholeRequest(
      "/q/" + jobId(8, 1), R"({"spec":1e)" + std::string(900'000, '9') + "}");
  checkWithSockets(Listener::Callers, Clients, {Request, "", 0});
}

BOOST_AUTO_TEST_SUITE_END()
