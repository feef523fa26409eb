/// \file
/// \brief Tests planned stops and restarts of agents under load.
#include "failure_run.h"

using namespace wigeonwall::integration;

namespace {

/// Time within which a leaving agent may still start tasks.
constexpr seconds LastStartTime{2};
/// Exceeds the longest task plus the transfer of the last results.
constexpr seconds StopTimeout{15};
constexpr seconds ReadyTimeout{10};
/// Jobs created within this time after two restarts may be reported as lost,
/// because clocks decide whether a terminated process can have known them.
constexpr seconds ClockTolerance{5};

} // namespace

/// Guards against a planned stop that loses running tasks or accepts new ones.
BOOST_AUTO_TEST_CASE(agent_stopped) {
  FailureRun Run;
  Run.load(seconds(2));
  BOOST_TEST(!Run.Cluster_.starts("agent-3").empty());
  Run.Cluster_.signal("agent-3", SIGTERM);
  Run.load(LastStartTime);
  const std::size_t Starts = Run.Cluster_.starts("agent-3").size();
  BOOST_TEST(Run.Cluster_.waitExit("agent-3", StopTimeout).value_or(-1) == 0);
  Run.load(seconds(2));
  BOOST_TEST(Run.Cluster_.starts("agent-3").size() == Starts);
  Run.check(0.95);
}

/// Guards against a rolling restart that loses records or tasks, and against
/// restarted agents that are not accepted under their previous id.
BOOST_AUTO_TEST_CASE(all_agents_restarted) {
  FailureRun Run;
  Run.load(seconds(1));
  for (const std::string &Agent : Run.Cluster_.agents()) {
    Run.Cluster_.signal(Agent, SIGTERM);
    BOOST_TEST_CONTEXT(Agent)
    BOOST_TEST(Run.Cluster_.waitExit(Agent, StopTimeout).value_or(-1) == 0);
    Run.Cluster_.startProcess(Agent);
    BOOST_TEST(Run.Cluster_.waitReady(ReadyTimeout));
  }
  Run.load(ClockTolerance + seconds(1));
  const auto Recovered = steady_clock::now();
  Run.load(seconds(2));
  Run.check(0.5);
  Run.checkRecovered(Recovered);
}
