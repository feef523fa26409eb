/// \file
/// \brief Guards the work of the system while the key-value service is down.
#include "failure_run.h"

using namespace wigeonwall::integration;

namespace {

/// Jobs that could not start in the outage count as load until their deadline.
constexpr seconds LongestJob{6};

Json::Value down() {
  Json::Value Faults;
  Faults["down"] = true;
  return Faults;
}

} // namespace

/// Starts that depend on the service, and jobs whose home dies while the map
/// cannot change.
BOOST_AUTO_TEST_CASE(service_down_and_agent_killed) {
  FailureRun Run;
  Run.load(seconds(1));
  Run.Cluster_.setStoreFaults(down());
  Run.load(seconds(5));
  Run.kill("agent-2");
  Run.load(seconds(10));
  Run.Cluster_.setStoreFaults(Json::objectValue);
  // The five remaining agents must agree on a map without the killed one.
  BOOST_TEST(Run.Cluster_.waitReady(seconds(10)));
  Run.load(LongestJob);
  const auto Recovered = steady_clock::now();
  Run.load(seconds(2));
  Run.check(0.6);
  Run.checkRecovered(Recovered);
}
