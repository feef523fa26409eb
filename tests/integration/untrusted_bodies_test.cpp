/// \file
/// \brief Clients that send large or unfinished bodies: the process stays
/// within its memory and serves others.
#include "standins/untrusted_fixture.h"

using namespace wigeonwall::standins;

namespace {

std::string encodeHex(std::size_t Value) {
  std::ostringstream Out;
  Out << std::hex << Value;
  return Out.str();
}

std::string chunk(std::size_t Bytes) {
  return encodeHex(Bytes) + "\r\n" + std::string(Bytes, 'x') + "\r\n";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(untrusted_bodies, UntrustedFixture)

// Guards the early refusal of announced bodies over the limit of 1 MiB.
BOOST_AUTO_TEST_CASE(announced_bodies_over_the_limit_are_refused) {
  check(Listener::Callers, 200,
        {"POST /q/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1048577\r\n"
         "\r\n",
         std::string(1024, 'x'), 1 << 20});
}

// The body of a refused request was kept until the client had closed.
BOOST_AUTO_TEST_CASE(unannounced_bodies_over_the_limit_are_refused) {
  check(Listener::Callers, 200, {ChunkedHead, chunk(4'000), 1'300'000});
}

// 400 open bodies of 960 KB took 140 MB, and 900 of 240 KB 246 MB: the limits
// applied to each connection alone.
BOOST_AUTO_TEST_CASE(unfinished_bodies_in_large_chunks) {
  check(Listener::Callers, 250, {ChunkedHead, chunk(16'000), 980'000});
}

// The body of announced length ends 20 KB before its end.
BOOST_AUTO_TEST_CASE(unfinished_bodies_of_announced_length) {
  check(Listener::Callers, 250,
        {"POST /q/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000000\r\n"
         "\r\n",
         std::string(16'000, 'x'), 980'000});
}

BOOST_AUTO_TEST_CASE(unfinished_bodies_in_small_chunks) {
  check(Listener::Callers, 300, {ChunkedHead, chunk(8), 600'000});
}

// The minion's reports and the links between processes had the limits of one
// connection alone as well.
BOOST_AUTO_TEST_CASE(unfinished_reports) {
  check(Listener::Reports, 100, {ChunkedHead, chunk(16'000), 980'000});
}

BOOST_AUTO_TEST_CASE(unfinished_messages_between_processes) {
  // Announces 4 MiB, the longest message, and stops before its end.
  check(
      Listener::AgentPeers, 40,
      {std::string("\x00\x40\x00\x00", 4), std::string(1024, 'x'), 4'000'000});
}

// The limits, and the small buffers of the sockets, must leave room for a
// single request of the largest size.
BOOST_AUTO_TEST_CASE(a_single_body_of_the_largest_size_is_served) {
  const std::string Job =
      R"({"spec":"x","best_effort":true,"steps":[{"count":1,"cpu":3000,)"
      R"("ram_mb":64,"estimated_ms":100}]})";
  BOOST_TEST(Cluster_.requestStatus(0, "POST", "/q/" + jobId(8, 1),
                                    std::string((1 << 20) - Job.size(), ' ') +
                                        Job) == 200);
}

BOOST_AUTO_TEST_SUITE_END()
