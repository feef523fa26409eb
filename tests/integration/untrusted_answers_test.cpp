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

// The error of a malformed body repeated a part of the body in the response.
BOOST_AUTO_TEST_CASE(error_responses_do_not_repeat_the_body) {
  const std::string Request = wholeRequest(
      "/q/" + jobId(8, 1), R"({"spec":1e)" + std::string(900'000, '9') + "}");
  checkWithSockets(Listener::Callers, Clients, {Request, "", 0});
}

BOOST_AUTO_TEST_SUITE_END()
