/// \file
/// \brief Tests the cluster while the key-value service is unavailable.
#include "failure_run.h"

using namespace wigeonwall::integration;

namespace {

/// Jobs that could not start during the outage count as load until their
/// deadline.
constexpr seconds MaxJobTime{6};

Json::Value storeDownFault() {
  Json::Value Faults;
  Faults["down"] = true;
  return Faults;
}

} // namespace

/// Guards against task starts that depend on the key-value service, and against
/// the loss of jobs whose home is killed while the agent map cannot be updated.
BOOST_AUTO_TEST_CASE(service_down_and_agent_killed) {
  FailureRun Run;
  Run.load(seconds(1));
  Run.Cluster_.setStoreFaults(storeDownFault());
  Run.load(seconds(5));
  Run.kill("agent-2");
  Run.load(seconds(10));
  Run.Cluster_.setStoreFaults(Json::objectValue);
  // The five remaining agents must agree on a map without the killed agent.
  BOOST_TEST(Run.Cluster_.waitReady(seconds(10)));
  Run.load(MaxJobTime);
  const auto Recovered = steady_clock::now();
  Run.load(seconds(2));
  Run.check(0.6);
  Run.checkRecovered(Recovered);
}
