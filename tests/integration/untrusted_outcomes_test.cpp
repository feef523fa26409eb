/// \file
/// \brief Clients of an agent's listener that behave like entries and confirm
/// no outcome: the agent stays within its memory.
#include "standins/link_scripts.h"
#include "standins/untrusted_fixture.h"

using namespace wigeonwall::process::dispatch;
using namespace wigeonwall::standins;

namespace {

constexpr std::size_t Clients = 40;
constexpr std::size_t BytesPerClient = 2 << 20;

} // namespace

BOOST_FIXTURE_TEST_SUITE(untrusted_outcomes, UntrustedFixture)

// Outcomes were kept until the peer confirmed them.
BOOST_AUTO_TEST_CASE(unconfirmed_outcomes_are_bounded) {
  RunOrder Order;
  Order.Job_ = jobId(8, 1);
  Order.Service_ = "permit-desk";
  for (std::uint32_t I = 0; I < 1'000; ++I)
    Order.Tasks_.push_back({I, 1});
  checkWithSockets(
      Listener::AgentPeers, Clients,
      afterHello(frame("order", encodeOrder(Order)), BytesPerClient / 4));
}

BOOST_AUTO_TEST_SUITE_END()
