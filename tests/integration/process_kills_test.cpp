/// \file
/// \brief Tests the guarantees to callers when processes are killed under load.
#include "failure_run.h"

using namespace wigeonwall::integration;

namespace {

/// Upper bound on the time until a killed process receives no new work (6 s)
/// and has been removed from the agent map of the other processes.
constexpr seconds RemovalTime{8};

} // namespace

/// Guards against a task that runs twice, a job that is never answered and
/// homes that are not reassigned after one agent is lost with its records and
/// tasks.
BOOST_AUTO_TEST_CASE(agent_killed) {
  FailureRun Run;
  Run.load(seconds(2));
  Run.kill("agent-0");
  Run.load(RemovalTime);
  const auto Recovered = steady_clock::now();
  Run.load(seconds(2));
  Run.check(0.7);
  Run.checkRecovered(Recovered);
}

/// A job whose home and copy holder are both lost must end as failed and must
/// not run again.
BOOST_AUTO_TEST_CASE(two_agents_in_two_domains_killed) {
  FailureRun Run;
  Run.load(seconds(2));
  BOOST_REQUIRE(Run.Cluster_.failureDomain("agent-0") !=
                Run.Cluster_.failureDomain("agent-1"));
  Run.kill("agent-0");
  Run.kill("agent-1");
  Run.load(RemovalTime);
  Run.check(0.5);
}

/// Guards against a record and its copy being placed in the same failure
/// domain: losing the domain would lose both, and later jobs could not be
/// settled.
BOOST_AUTO_TEST_CASE(failure_domain_killed) {
  FailureRun Run;
  Run.load(seconds(2));
  for (const std::string &Agent : Run.Cluster_.agents())
    if (Run.Cluster_.failureDomain(Agent) ==
        Run.Cluster_.failureDomain("agent-2"))
      Run.kill(Agent);
  Run.load(RemovalTime);
  const auto Recovered = steady_clock::now();
  Run.load(seconds(2));
  Run.check(0.5);
  Run.checkRecovered(Recovered);
}
