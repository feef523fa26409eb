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

// The error of a malformed body repeated a part of the body in the response.
BOOST_AUTO_TEST_CASE(error_responses_do_not_repeat_the_body) {
  const std::string Request = wholeRequest(
      "/q/" + jobId(8, 1), R"({"spec":1e)" + std::string(900'000, '9') + "}");
  checkWithSockets(Listener::Callers, Clients, {Request, "", 0});
}

BOOST_AUTO_TEST_SUITE_END()
