/// \file
/// \brief Guards the promises to callers when processes are killed under load.
#include "failure_run.h"

using namespace wigeonwall::integration;

namespace {

/// Longest time until a killed process gets no new work (6 s) and the map of
/// the others no longer has it.
constexpr seconds RemovalTime{8};

} // namespace

/// Loss of the records and tasks of one agent: a task started again elsewhere,
/// a job without an answer, or homes that never move.
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

/// Loss of both holders of some jobs: such a job must end as failed and never
/// run again.
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

/// A record and its copy in one failure domain: the loss of the domain would
/// lose both, and the jobs after it could not be settled.
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
